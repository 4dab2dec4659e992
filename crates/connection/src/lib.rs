//! One HTTP/1.1 connection to a peer, held by hand.
//!
//! A client library with a pool of its own hides what decides here whether an answer may be used
//! and whether a connection may be used again: bytes beyond an answer, an answer that came before
//! the request was written, an answer to another request, a body that ended by a reset. So a
//! [`Connection`] writes one request, reads its answer's [`Head`] and then its body, chunk by
//! chunk, and [`Connection::is_reusable`] holds only if every byte was where it belongs.

mod body;
mod connection;
mod head;

pub use connection::{Connection, Fault, IdleState, KeepAlive};
pub use head::{Framing, Head, encode_head};
