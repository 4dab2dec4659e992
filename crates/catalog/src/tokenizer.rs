//! Conversion between text and tokens.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// A token id.
pub type Token = u32;

/// Bytes of text per token of [`Tokenizer::QuadByte`].
const QUAD_BYTES: usize = 4;

/// How a model's text is tokenized.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Tokenizer {
    /// Four UTF-8 bytes per token, little-endian, the last token padded with zeros.
    #[default]
    QuadByte,
}

impl Tokenizer {
    /// Converts text into tokens.
    pub fn encode(self, text: &str) -> Vec<Token> {
        match self {
            Self::QuadByte => text.as_bytes().chunks(QUAD_BYTES).map(quad_token).collect(),
        }
    }

    /// Converts tokens into UTF-8 bytes; a character may be truncated at either end.
    pub fn decode(self, tokens: &[Token]) -> Vec<u8> {
        match self {
            Self::QuadByte => {
                tokens.iter().flat_map(|t| t.to_le_bytes()).filter(|b| *b != 0).collect()
            }
        }
    }
}

fn quad_token(bytes: &[u8]) -> Token {
    let mut padded = [0; QUAD_BYTES];
    padded[..bytes.len()].copy_from_slice(bytes);
    Token::from_le_bytes(padded)
}
