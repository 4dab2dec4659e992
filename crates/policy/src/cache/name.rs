//! Names of cache blocks.
//!
//! A block's name is the keyed hash of its predecessor's name and its own tokens, starting from the
//! model, the weight version and the adapter. The key is derived from the organisation's secret, so
//! a block of another organisation or version has a name that a request can't arrive at.

use acacia_catalog::tokenizer::Token;

use crate::request::{BLOCK_TOKENS, BlockKey};

/// Separates the keys derived here from any other use of the secret.
const CONTEXT: &str = "acaciaarch 2026 cache block names";

/// Names the full pieces of a prompt, in order; a partial last piece has no name.
pub fn chain(
    secret: &str,
    model: &str,
    version: &str,
    adapter: Option<&str>,
    tokens: &[Token],
) -> Vec<BlockKey> {
    let key = blake3::derive_key(CONTEXT, secret.as_bytes());
    let mut parent = root(&key, model, version, adapter);
    let mut names = Vec::with_capacity(tokens.len() / BLOCK_TOKENS);
    let mut bytes = Vec::with_capacity(BLOCK_TOKENS * size_of::<Token>());
    for piece in tokens.chunks_exact(BLOCK_TOKENS) {
        bytes.clear();
        bytes.extend(piece.iter().flat_map(|t| t.to_le_bytes()));
        parent = link(&key, &parent, &bytes);
        names.push(parent);
    }
    names
}

/// The name that the first piece follows.
fn root(key: &[u8; 32], model: &str, version: &str, adapter: Option<&str>) -> BlockKey {
    let mut hasher = blake3::Hasher::new_keyed(key);
    for part in [Some(model), Some(version), adapter] {
        field(&mut hasher, part);
    }
    hasher.finalize().into()
}

/// Adds a field with its presence and length, so that two lists of fields never read alike.
fn field(hasher: &mut blake3::Hasher, part: Option<&str>) {
    hasher.update(&[u8::from(part.is_some())]);
    let bytes = part.unwrap_or_default().as_bytes();
    hasher.update(&(bytes.len() as u64).to_le_bytes());
    hasher.update(bytes);
}

fn link(key: &[u8; 32], parent: &BlockKey, bytes: &[u8]) -> BlockKey {
    let mut hasher = blake3::Hasher::new_keyed(key);
    hasher.update(parent);
    hasher.update(bytes);
    hasher.finalize().into()
}
