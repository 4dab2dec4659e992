//! Deterministic answers.
//!
//! Each token depends only on the weights and on all tokens before it. An answer can therefore be
//! continued elsewhere, with the output so far appended to the prompt, and stays the same.

use acacia_catalog::tokenizer::Token;

/// Alphabet of the answers; its size is a power of two.
const LETTERS: &[u8; 32] = b"abcdefghijklmnopqrstuvwxyz .,-;:";
/// Letters per token.
const TOKEN_LETTERS: usize = 4;
/// Bits that select a letter.
const LETTER_BITS: u32 = LETTERS.len().ilog2();

/// The first `n` output tokens of weights `version` for `prompt`.
///
/// With an adapter, `version` is the combined name that [`weights`] returns.
pub fn answer(version: &str, prompt: &[Token], n: usize) -> Vec<Token> {
    let mut generator = Generator::new(version);
    prompt.iter().for_each(|token| generator.feed(*token));
    (0..n).map(|_| generator.next_token()).collect()
}

/// Combined name of a weight version and an adapter.
pub fn weights(version: &str, adapter: Option<&str>) -> String {
    match adapter {
        Some(adapter) => format!("{version}+{adapter}"),
        None => version.to_owned(),
    }
}

/// Generates tokens from a hash of the weights and all tokens so far.
#[derive(Clone, Debug)]
pub struct Generator(u64);

impl Generator {
    /// The state before the first prompt token.
    pub fn new(weights: &str) -> Self {
        let mut generator = Self(weights.len() as u64);
        weights.bytes().for_each(|byte| generator.feed(byte.into()));
        generator
    }

    /// Adds a prompt token to the hash.
    pub fn feed(&mut self, token: Token) {
        self.0 = mix(self.0 ^ u64::from(token));
    }

    /// Generates the next token and adds it to the hash.
    pub fn next_token(&mut self) -> Token {
        let letter = |i: usize| {
            let index = self.0 >> (i as u32 * LETTER_BITS);
            LETTERS[index as usize % LETTERS.len()]
        };
        let token = Token::from_le_bytes(std::array::from_fn::<_, TOKEN_LETTERS, _>(letter));
        self.feed(token);
        token
    }

    /// Identifies the sequence of tokens so far.
    pub fn fingerprint(&self) -> u64 {
        self.0
    }
}

/// SplitMix64.
fn mix(state: u64) -> u64 {
    let z = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
