//! Decodes tokens to text; a character may span several tokens.

use acacia_catalog::tokenizer::{Token, Tokenizer};

/// Decodes tokens and buffers the bytes of an incomplete character.
#[derive(Clone, Debug)]
pub struct Decoder {
    tokenizer: Tokenizer,
    pending: Vec<u8>,
}

impl Decoder {
    /// Creates a decoder for a new answer.
    pub fn new(tokenizer: Tokenizer) -> Self {
        Self { tokenizer, pending: Vec::new() }
    }

    /// Decodes the next tokens, up to the last complete character. Invalid bytes become the
    /// replacement character.
    pub fn push(&mut self, tokens: &[Token]) -> String {
        self.pending.extend(self.tokenizer.decode(tokens));
        let mut text = String::new();
        let mut rest = self.pending.as_slice();
        loop {
            match std::str::from_utf8(rest) {
                Ok(valid) => {
                    text.push_str(valid);
                    rest = &[];
                    break;
                }
                Err(error) => {
                    let (valid, after) = rest.split_at(error.valid_up_to());
                    text.push_str(&String::from_utf8_lossy(valid));
                    rest = after;
                    let Some(invalid) = error.error_len() else { break };
                    text.push(char::REPLACEMENT_CHARACTER);
                    rest = &rest[invalid..];
                }
            }
        }
        self.pending = rest.to_vec();
        text
    }

    /// Decodes the bytes that remain at the end of the answer.
    pub fn finish(&mut self) -> String {
        let pending = std::mem::take(&mut self.pending);
        String::from_utf8_lossy(&pending).into_owned()
    }
}
