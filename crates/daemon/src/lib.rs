//! The daemon of an entry instance.
//!
//! [`Daemon::start`] starts all parts: one thread owns the control state machine (`control`), the
//! others process traffic. Traffic threads share the dispatcher and read an immutable [`view`].
//! They send events to control over a bounded channel, and a request to a warm upstream never waits
//! for it. `caller`, `operator` and `observe` are the backends of the servers; `attempt` runs
//! requests at upstreams, `transfer` moves KV cache blocks, `poll` reads the state of upstreams and
//! the platform's list of live instances.

mod assembly;
mod attempt;
mod caller;
mod clock;
mod control;
mod daemon;
mod job;
mod metric;
mod observe;
mod operator;
mod poll;
pub mod settings;
pub mod telemetry;
mod traffic;
mod transfer;
mod view;

pub use daemon::{Daemon, Running, StartError};
pub use settings::Settings;
