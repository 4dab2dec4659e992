//! A client for KV cache stores that never returns an unverified block.
//!
//! A block is readable only through a [`Manifest`], which is written after all its bytes.
//! [`Client::fetch`] verifies the length, checksum and store incarnation against it; a mismatch is
//! an [`Error`], upon which the block is recomputed.

mod client;
mod error;
mod manifest;

pub use client::{Client, Lookup};
pub use error::Error;
pub use manifest::{Manifest, Metadata};
