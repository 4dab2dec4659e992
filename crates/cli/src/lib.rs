//! The operators' command.
//!
//! Commands that talk to a running system are under [`command`]; [`demo`] and [`compare`] start a
//! whole [`system`] of stand-ins and daemons in this process and play a [`load`] against it.

pub mod compare;
pub mod demo;
pub mod load;
pub mod system;
