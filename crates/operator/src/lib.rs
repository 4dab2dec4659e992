//! The administration API, which lets operators change the configuration and query the status.
//!
//! [`server`] handles [`call`]s using a [`Backend`], which the daemon implements; [`Client`] sends
//! them. Operators authenticate with a [`key`]. A [`Fault`] has a code, a message and a hint.

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
