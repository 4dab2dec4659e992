//! Text out of tokens whose borders may split a character.

use acacia_catalog::tokenizer::{Token, Tokenizer};

/// Turns tokens into text and holds an incomplete character back.
#[derive(Clone, Debug)]
pub struct Decoder {
    tokenizer: Tokenizer,
    held: Vec<u8>,
}

impl Decoder {
    /// A decoder at the start of an answer.
    pub fn new(tokenizer: Tokenizer) -> Self {
        Self { tokenizer, held: Vec::new() }
    }

    /// Text of the next tokens, up to the last whole character. Bytes that can be no part of a
    /// character become the replacement character.
    pub fn push(&mut self, tokens: &[Token]) -> String {
        self.held.extend(self.tokenizer.decode(tokens));
        let mut text = String::new();
        let mut rest = self.held.as_slice();
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
                    let Some(wrong) = error.error_len() else { break };
                    text.push(char::REPLACEMENT_CHARACTER);
                    rest = &rest[wrong..];
                }
            }
        }
        self.held = rest.to_vec();
        text
    }

    /// What is still held at the end of the answer.
    pub fn finish(&mut self) -> String {
        let held = std::mem::take(&mut self.held);
        String::from_utf8_lossy(&held).into_owned()
    }
}
