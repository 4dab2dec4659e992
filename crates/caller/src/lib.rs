//! HTTP server for callers.
//!
//! [`server`] defines the routes, which call a [`Backend`] that the daemon implements. A completion
//! is streamed through a bounded channel of [`answer::Delta`]s: a slow reader slows its sender
//! down, and a caller that disconnects closes the channel. Every error is an [`Error`], whose
//! verdict says whether the request may have run.

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
