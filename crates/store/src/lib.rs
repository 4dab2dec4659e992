//! A client of KV cache stores that never yields a block it has not verified.
//!
//! A block is readable only through a [`Manifest`], which is written after all its bytes.
//! [`Client::fetch`] checks length, checksum and the store's process life against it; whatever
//! differs is an [`Error`], and the caller recomputes.

mod client;
mod error;
mod manifest;

pub use client::{Client, Lookup};
pub use error::Error;
pub use manifest::{Manifest, Metadata};
