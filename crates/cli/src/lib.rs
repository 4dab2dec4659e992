//! The operators' command.
//!
//! [`command::Command`] is a parsed command line, with one module per command. Commands call a
//! daemon's administration API through a [`connection`], print text or JSON through [`output`], and
//! report errors as a [`Failure`] with an [`Exit`] code. [`demo`] and [`compare`] start a whole
//! [`system`] of stand-ins and daemons in this process and put it under [`load`]; [`platform`] does
//! the same with stand-ins of the deployment platform. [`capacity`] measures resource costs.

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
