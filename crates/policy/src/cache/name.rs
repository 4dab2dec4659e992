//! Names of KV cache blocks.
//!
//! A block's name is the keyed hash of its predecessor's name and its own tokens. The chain starts
//! from the model, the weight version and the adapter. The key is derived from the organisation's
//! secret, so no request can compute the name of another organisation's or version's block.

use acacia_catalog::tokenizer::Token;

use crate::request::{BLOCK_TOKENS, BlockKey};

/// Context string that separates the keys derived here from any other use of the secret.
const CONTEXT: &str = "acaciaarch 2026 cache block names";

/// Names of the full blocks of a prompt, in order. A partial last block has no name.
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
    for block in tokens.chunks_exact(BLOCK_TOKENS) {
        bytes.clear();
        bytes.extend(block.iter().flat_map(|t| t.to_le_bytes()));
        parent = child(&key, &parent, &bytes);
        names.push(parent);
    }
    names
}

/// The predecessor name of the first block.
fn root(key: &[u8; 32], model: &str, version: &str, adapter: Option<&str>) -> BlockKey {
    let mut hasher = blake3::Hasher::new_keyed(key);
    for part in [Some(model), Some(version), adapter] {
        field(&mut hasher, part);
    }
    hasher.finalize().into()
}

/// Hashes a field with its presence and length, so that different lists of fields never produce the
/// same input.
fn field(hasher: &mut blake3::Hasher, part: Option<&str>) {
    hasher.update(&[u8::from(part.is_some())]);
    let bytes = part.unwrap_or_default().as_bytes();
    hasher.update(&(bytes.len() as u64).to_le_bytes());
    hasher.update(bytes);
}

fn child(key: &[u8; 32], parent: &BlockKey, bytes: &[u8]) -> BlockKey {
    let mut hasher = blake3::Hasher::new_keyed(key);
    hasher.update(parent);
    hasher.update(bytes);
    hasher.finalize().into()
}
