//! The encoding of a batch.

use acacia_policy::message::Envelope;
use rmp_serde::Deserializer;
use serde::Deserialize;
use thiserror::Error;

use crate::MAX_BODY_BYTES;

/// Most envelopes in one batch.
pub const MAX_BATCH_MESSAGES: usize = 4_096;
/// Deepest nesting of values in one batch.
const DEPTH_LIMIT: usize = 32;

/// Why bytes are not a batch.
#[derive(Debug, Error)]
pub enum Error {
    /// Longer than [`MAX_BODY_BYTES`].
    #[error("a batch of {0} bytes is above the limit")]
    TooLarge(usize),
    /// More envelopes than [`MAX_BATCH_MESSAGES`].
    #[error("a batch of {0} messages is above the limit")]
    TooMany(usize),
    /// Not the encoding of a batch; sent by another program or another version.
    #[error("not a batch: {0}")]
    Malformed(#[from] rmp_serde::decode::Error),
    /// Bytes follow the batch.
    #[error("{0} bytes follow the batch")]
    Trailing(usize),
    /// An envelope that has no encoding.
    #[error("a message can't be encoded: {0}")]
    Unencodable(#[from] rmp_serde::encode::Error),
}

/// Encodes one batch; refuses what [`decode`] would refuse.
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

/// Decodes one batch, in memory proportional to `bytes`.
pub fn decode(bytes: &[u8]) -> Result<Vec<Envelope>, Error> {
    if bytes.len() > MAX_BODY_BYTES {
        return Err(Error::TooLarge(bytes.len()));
    }
    let mut rest = bytes;
    let mut decoder = Deserializer::new(&mut rest);
    decoder.set_max_depth(DEPTH_LIMIT);
    let batch = Vec::<Envelope>::deserialize(&mut decoder)?;
    if batch.len() > MAX_BATCH_MESSAGES {
        return Err(Error::TooMany(batch.len()));
    }
    if !rest.is_empty() {
        return Err(Error::Trailing(rest.len()));
    }
    Ok(batch)
}
