//! The deterministic answers of every engine.
//!
//! Each token depends on the weights and on all tokens before it, and on nothing else, so that an
//! answer continued with the tokens so far as prompt goes on as if it had never stopped.

use acacia_catalog::tokenizer::Token;

/// Letters that answers are made of; their number is a power of two.
const LETTERS: &[u8; 32] = b"abcdefghijklmnopqrstuvwxyz .,-;:";
/// Letters in one token.
const TOKEN_LETTERS: usize = 4;
/// Bits that choose one letter.
const LETTER_BITS: u32 = LETTERS.len().ilog2();

/// The first `n` tokens that weights `version` answer to `prompt`.
///
/// With an adapter, `version` is what [`weights`] makes of both.
pub fn answer(version: &str, prompt: &[Token], n: usize) -> Vec<Token> {
    let mut generator = Generator::new(version);
    prompt.iter().for_each(|token| generator.feed(*token));
    (0..n).map(|_| generator.next_token()).collect()
}

/// The name of a version together with an adapter.
pub fn weights(version: &str, adapter: Option<&str>) -> String {
    match adapter {
        Some(adapter) => format!("{version}+{adapter}"),
        None => version.to_owned(),
    }
}

/// A hash of the weights and of all tokens so far.
#[derive(Clone, Debug)]
pub struct Generator(u64);

impl Generator {
    /// Before the first token.
    pub fn new(weights: &str) -> Self {
        let mut generator = Self(weights.len() as u64);
        weights.bytes().for_each(|byte| generator.feed(byte.into()));
        generator
    }

    /// Takes in a token of the prompt.
    pub fn feed(&mut self, token: Token) {
        self.0 = mix(self.0 ^ u64::from(token));
    }

    /// Generates the next token and takes it in.
    pub fn next_token(&mut self) -> Token {
        let letter = |i: usize| {
            let index = self.0 >> (i as u32 * LETTER_BITS);
            LETTERS[index as usize % LETTERS.len()]
        };
        let token = Token::from_le_bytes(std::array::from_fn::<_, TOKEN_LETTERS, _>(letter));
        self.feed(token);
        token
    }

    /// What tells one sequence of tokens from another.
    pub fn fingerprint(&self) -> u64 {
        self.0
    }
}

/// The SplitMix64 step.
fn mix(state: u64) -> u64 {
    let z = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
