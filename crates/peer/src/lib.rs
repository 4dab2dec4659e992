//! Messages between daemons: batches of envelopes, encoded by `rmp-serde`, one way over HTTP.
//!
//! [`Client`] doesn't retry: a batch that can't be delivered is dropped and counted, because the
//! protocol tolerates the loss of any message. [`server`] decodes a batch within fixed limits and
//! passes it to a [`server::Sink`]; it responds before the batch is processed.

pub mod client;
pub mod codec;
pub mod count;
pub mod server;

pub use client::Client;
pub use count::Counters;

/// URL path to which batches are posted.
pub const PATH: &str = "/v1/peer/messages";
/// Maximum size of an encoded batch, in bytes.
pub const MAX_BODY_BYTES: usize = 4 << 20;
