//! The administration API: operators change the configuration and see how the daemons do.
//!
//! [`server`] serves [`call`]s over a [`Backend`], which the daemon implements; [`Client`] makes
//! them. An operator is known by a [`key`]; an error is a [`Fault`] with a code, a message and a hint.

pub mod backend;
pub mod call;
pub mod client;
pub mod fault;
pub mod key;
pub mod server;
pub mod status;

mod change;
mod order;

pub use backend::Backend;
pub use client::Client;
pub use fault::Fault;
pub use key::{Key, Keys, Role};
pub use status::Status;
