//! Clients for the platform's key-value service and its list of instances.
//!
//! [`kv::Client`] makes an HTTP call for each [`acacia_policy::kv::Request`] and returns an
//! [`acacia_policy::kv::Outcome`], which says whether a failed call may have run. [`list::Client`]
//! reads the list of instances.

pub mod count;
pub mod kv;
pub mod list;

pub use count::Counts;

use std::time::Duration;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Creates an HTTP client without TLS or proxy.
fn http_client() -> reqwest::Client {
    // The library requires a TLS provider even without TLS. Fails if one is installed already.
    let _ = rustls::crypto::ring::default_provider().install_default();
    let builder = reqwest::Client::builder().connect_timeout(CONNECT_TIMEOUT).no_proxy();
    builder.tls_certs_only([]).build().unwrap_or_default()
}
