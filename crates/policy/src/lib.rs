//! Every decision of the system, pure.
//!
//! Two machines run side by side in each daemon, both driven by `step(now, event) -> actions`, with
//! no I/O, no clock and randomness only from a seed:
//!
//! - [`control::Control`] agrees with the other daemons: membership, the configuration in force,
//!   cold upstreams, claims of requests that may run once, orders to upstreams. One thread owns it.
//! - [`dispatch::Dispatcher`] decides each request: admission, routing, cache, retries, resumption.
//!   Traffic threads share it.
//!
//! Control hands the dispatcher an immutable [`Snapshot`] and answers its questions by event. What
//! became of a request is told by a [`Verdict`].

pub mod cache;
pub mod control;
pub mod dispatch;
pub mod gateway;
pub mod kv;
pub mod message;
pub mod request;
pub mod snapshot;
pub mod verdict;

pub use request::Request;
pub use snapshot::Snapshot;
pub use verdict::Verdict;

/// Time since the process started, by its monotonic clock.
pub type Time = std::time::Duration;
