//! All decisions of the system, as pure state machines.
//!
//! Each daemon runs two state machines. Both are driven by `step(now, event) -> actions`, do no
//! I/O, read no clock and take randomness only from a seed:
//!
//! - [`control::Control`] agrees with the other daemons: membership, the configuration in force,
//!   cold upstreams, claims of requests that may run only once, orders to upstreams. It is owned by
//!   one thread.
//! - [`dispatch::Dispatcher`] decides each request: admission, routing, cache, retries, resumption.
//!   The traffic threads share it.
//!
//! Control passes the dispatcher an immutable [`Snapshot`] and answers its queries by events. A
//! [`Verdict`] tells whether a request was executed. [`gateway`] holds the decisions of an instance
//! that uses the platform's metadata store instead of [`control`] and [`dispatch`].

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

/// Time since the process started, by its monotonic clock; in [`gateway`], since one hour before.
pub type Time = std::time::Duration;
