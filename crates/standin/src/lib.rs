//! Small stand-ins for the external systems that Acacia talks to, with fault injection.
//!
//! Each of [`kv`], [`list`], [`engine`], [`store`] and [`service`] has a `start(Settings)` that
//! serves its protocol (`docs/PROTOCOLS.md`) on loopback and returns a [`Handle`] with the
//! addresses, [`Counters`] for a test oracle, and [`Fault`] switches. The control port offers
//! counters and faults over HTTP. [`platform`] has stand-ins for the platform that Acacia runs
//! on. A [`proxy`] stands in front of a server, and a [`cut`] separates one process from all
//! servers behind proxies. An [`early`] server answers before it has read a request. Only [`host`]
//! depends on the HTTP server; [`warmth`], [`slots`] and [`pace`] are the shared parts of the
//! timing model.

pub mod command;
pub mod counter;
pub mod cut;
pub mod early;
pub mod engine;
pub mod exchange;
pub mod fault;
pub mod host;
pub mod kv;
pub mod list;
pub mod pace;
pub mod platform;
pub mod proxy;
pub mod service;
pub mod slots;
pub mod store;
pub mod warmth;

pub use counter::{Counter, Counters};
pub use fault::{Fault, Unsupported};
pub use host::Handle;
