//! A client for single HTTP/1.1 connections, without a pool.
//!
//! HTTP client libraries with a pool hide what decides whether a response is valid and whether a
//! connection may be reused: bytes after a response, a response that arrives before the request is
//! written, a response to another request, a body ended by a reset. A [`Connection`] therefore
//! writes one request, reads the [`Head`] of its response and then the body in chunks;
//! [`Connection::is_reusable`] requires a complete exchange without extra bytes.

mod body;
mod connection;
mod head;

pub use connection::{Connection, Fault, IdleState, KeepAlive};
pub use head::{Framing, Head, encode_head};
