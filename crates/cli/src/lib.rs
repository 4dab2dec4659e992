//! The operators' command.
//!
//! [`command::Command`] is what a command line asks for, one module a command. Commands that change
//! something talk to a daemon's administration API through [`connection`]; what they print goes
//! through [`output`], as text or JSON; what goes wrong is a [`Failure`] with an [`Exit`] code.
//! [`demo`] and [`compare`] start a whole [`system`] of stand-ins and daemons in this process and
//! play a [`load`] against it, [`site`] does the same on the users' platform; [`capacity`] measures what it costs.

pub mod capacity;
pub mod command;
pub mod compare;
pub mod connection;
pub mod demo;
pub mod exit;
pub mod failure;
pub mod load;
pub mod output;
pub mod platform;
pub mod source;
pub mod system;

pub use command::Command;
pub use exit::Exit;
pub use failure::Failure;
