//! The HTTP interface towards callers.
//!
//! [`server`] holds the routes; what they need is a [`Backend`], which the daemon implements. A
//! prompt's answer comes as a bounded channel of [`answer::Delta`]s: a slow reader holds its sender
//! back, and a caller that leaves closes it. Every error is an [`Error`], whose verdict tells
//! whether the request may have run.

pub mod answer;
pub mod backend;
pub mod body;
pub mod chat;
pub mod error;
mod route;
pub mod server;
pub mod text;
pub mod trace;

pub use backend::Backend;
pub use error::Error;
pub use server::{Limits, Server};
