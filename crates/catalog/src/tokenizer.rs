//! Turning text into the tokens that a model counts.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// One token id.
pub type Token = u32;

/// Bytes of text in one token of [`Tokenizer::QuadByte`].
const QUAD: usize = 4;

/// The rule by which a model's text becomes tokens.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Tokenizer {
    /// Four UTF-8 bytes a token, little-endian, the last padded with zeros.
    #[default]
    QuadByte,
}

impl Tokenizer {
    /// Tokens of `text`.
    pub fn encode(self, text: &str) -> Vec<Token> {
        match self {
            Self::QuadByte => text.as_bytes().chunks(QUAD).map(quad).collect(),
        }
    }

    /// Bytes of `tokens`; a character may be split at either end.
    pub fn decode(self, tokens: &[Token]) -> Vec<u8> {
        match self {
            Self::QuadByte => {
                tokens.iter().flat_map(|t| t.to_le_bytes()).filter(|b| *b != 0).collect()
            }
        }
    }
}

fn quad(bytes: &[u8]) -> Token {
    let mut padded = [0; QUAD];
    padded[..bytes.len()].copy_from_slice(bytes);
    Token::from_le_bytes(padded)
}
