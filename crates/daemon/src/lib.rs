//! The daemon of an entry instance.
//!
//! [`Daemon::start`] sets the parts up: one thread owns the control machine (`control`), others run
//! traffic. Traffic shares the dispatcher and reads an immutable [`view`]; it sends events to control
//! over a bounded channel and never waits for it on the path of a warm request. `caller`, `operator`
//! and `observe` are what the servers need; `attempt` runs requests at upstreams, `transfer` moves
//! cache pieces, `poll` reads what upstreams and the live list tell.

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
