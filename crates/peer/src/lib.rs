//! Messages between daemons: batches of envelopes, encoded by `rmp-serde`, one way over HTTP.
//!
//! [`Client`] sends and forgets: a batch that cannot be delivered is dropped and counted, because
//! every message may be lost anyway. [`server`] decodes a batch within fixed limits and hands it to
//! a [`server::Sink`]; it answers before anything is done with it.

pub mod client;
pub mod codec;
pub mod count;
pub mod server;

pub use client::Client;
pub use count::Counters;

/// Path that batches are posted to.
pub const PATH: &str = "/v1/peer/messages";
/// Largest body of a batch, in bytes.
pub const MAX_BODY_BYTES: usize = 4 << 20;
