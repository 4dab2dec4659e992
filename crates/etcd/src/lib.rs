//! Clients of what the platform gives: its key-value service and its live list.
//!
//! [`kv::Client`] turns a [`acacia_policy::kv::Request`] into one HTTP call and its answer, or what
//! is known without one, into an [`acacia_policy::kv::Outcome`]. [`list::Client`] reads the list.

pub mod count;
pub mod kv;
pub mod list;

pub use count::Counts;

use std::time::Duration;

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A client of plain HTTP, direct to the platform's addresses.
fn http_client() -> reqwest::Client {
    // The library asks for a TLS provider even where no TLS is spoken; a second install is refused.
    let _ = rustls::crypto::ring::default_provider().install_default();
    let builder = reqwest::Client::builder().connect_timeout(CONNECT_TIMEOUT).no_proxy();
    builder.tls_certs_only([]).build().unwrap_or_default()
}
