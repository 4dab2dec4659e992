//! Why a block was not read or kept.

use thiserror::Error;

/// Why a block was not read or kept; none of these yields bytes.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum Error {
    /// The store does not hold the block.
    #[error("the store does not hold the block")]
    Missing,
    /// The bytes are not those that the manifest names.
    #[error("the bytes are not those that the manifest names")]
    Corrupt,
    /// The store has restarted since the block was written or found.
    #[error("the store has restarted since")]
    Stale,
    /// The store has no room.
    #[error("the store is full")]
    Full,
    /// No whole answer came, or one that makes no sense.
    #[error("the store does not answer: {0}")]
    Unreachable(String),
}

impl From<reqwest::Error> for Error {
    fn from(error: reqwest::Error) -> Self {
        Self::Unreachable(error.to_string())
    }
}
