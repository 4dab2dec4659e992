//! MessagePack encoding of batches.

use acacia_policy::message::Envelope;
use rmp_serde::Deserializer;
use serde::Deserialize;
use thiserror::Error;

use crate::MAX_BODY_BYTES;

/// Maximum number of envelopes in one batch.
pub const MAX_BATCH_MESSAGES: usize = 4_096;
/// Maximum nesting depth of values in one batch.
const MAX_DEPTH: usize = 32;

/// Why a batch can't be encoded or decoded.
#[derive(Debug, Error)]
pub enum Error {
    /// Longer than [`MAX_BODY_BYTES`].
    #[error("a batch of {0} bytes exceeds the limit of {MAX_BODY_BYTES}")]
    TooLarge(usize),
    /// More envelopes than [`MAX_BATCH_MESSAGES`].
    #[error("a batch of {0} messages exceeds the limit of {MAX_BATCH_MESSAGES}")]
    TooMany(usize),
    /// Not an encoded batch, for instance because another program or version sent it.
    #[error("the bytes are not a batch: {0}")]
    Malformed(#[from] rmp_serde::decode::Error),
    /// The batch is followed by this number of bytes.
    #[error("{0} bytes follow the batch")]
    Trailing(usize),
    /// An envelope can't be encoded.
    #[error("a message can't be encoded: {0}")]
    Unencodable(#[from] rmp_serde::encode::Error),
}

/// Encodes one batch; enforces the same size limits as [`decode`].
pub fn encode(batch: &[Envelope]) -> Result<Vec<u8>, Error> {
    if batch.len() > MAX_BATCH_MESSAGES {
        return Err(Error::TooMany(batch.len()));
    }
    let bytes = rmp_serde::to_vec(batch)?;
    if bytes.len() > MAX_BODY_BYTES {
        return Err(Error::TooLarge(bytes.len()));
    }
    Ok(bytes)
}

/// Decodes one batch; uses memory proportional to the length of `bytes`.
pub fn decode(bytes: &[u8]) -> Result<Vec<Envelope>, Error> {
    if bytes.len() > MAX_BODY_BYTES {
        return Err(Error::TooLarge(bytes.len()));
    }
    let mut rest = bytes;
    let mut decoder = Deserializer::new(&mut rest);
    decoder.set_max_depth(MAX_DEPTH);
    let batch = Vec::<Envelope>::deserialize(&mut decoder)?;
    if batch.len() > MAX_BATCH_MESSAGES {
        return Err(Error::TooMany(batch.len()));
    }
    if !rest.is_empty() {
        return Err(Error::Trailing(rest.len()));
    }
    Ok(batch)
}
