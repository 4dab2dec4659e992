//! Errors of block reads and writes.

use thiserror::Error;

/// Why a block was not read or written.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum Error {
    /// The store does not hold the block.
    #[error("the store does not hold the block")]
    Missing,
    /// The bytes don't match the length or checksum.
    #[error("the bytes do not match the block's length or checksum")]
    Corrupt,
    /// The store has restarted since the block was written or looked up.
    #[error("the store has restarted since the block was written or looked up")]
    Stale,
    /// The store has no free space.
    #[error("the store is full")]
    Full,
    /// The store gave no complete and valid answer.
    #[error("the store gave no valid answer: {0}")]
    Unreachable(String),
}

impl From<reqwest::Error> for Error {
    fn from(error: reqwest::Error) -> Self {
        Self::Unreachable(error.to_string())
    }
}
