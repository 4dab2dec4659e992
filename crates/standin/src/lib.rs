//! Small stand-ins for every system outside of ours, with fault switches.
//!
//! Each of [`kv`], [`list`], [`engine`], [`store`] and [`service`] has a `start(Settings)` that
//! serves its protocol (`docs/PROTOCOLS.md`) on loopback and yields a [`Handle`]: addresses,
//! [`Counters`] for an oracle, and [`Fault`] switches, which the control port offers over HTTP too.
//! [`platform`] has those of the users' platform. [`host`] is the only module that knows of an HTTP server; [`warmth`], [`slots`] and [`pace`] are the
//! parts of a time model that several share.

pub mod command;
pub mod counter;
pub mod engine;
pub mod exchange;
pub mod fault;
pub mod host;
pub mod kv;
pub mod list;
pub mod pace;
pub mod platform;
pub mod service;
pub mod slots;
pub mod store;
pub mod warmth;

pub use counter::{Counter, Counters};
pub use fault::{Fault, Unsupported};
pub use host::Handle;
