//! Decoding of tokens to text.

use acacia_caller::text::Decoder;
use acacia_catalog::tokenizer::Tokenizer;
use quickcheck::quickcheck;

quickcheck! {
fn push_valid_text_in_pieces(text: String, cuts: Vec<u8>) -> bool {
        let text = text.replace('\0', "");
        let tokens = Tokenizer::QuadByte.encode(&text);
        let mut decoder = Decoder::new(Tokenizer::QuadByte);
        let mut rest = tokens.as_slice();
        let mut out = String::new();
        for cut in cuts {
            let (now, later) = rest.split_at(usize::from(cut % 3).min(rest.len()));
            out.push_str(&decoder.push(now));
            rest = later;
        }
        out.push_str(&decoder.push(rest));
        out.push_str(&decoder.finish());
        out == text
    }

fn push_any_tokens(tokens: Vec<u32>) -> bool {
let bytes = Tokenizer::QuadByte.decode(&tokens);
        let mut decoder = Decoder::new(Tokenizer::QuadByte);
        let mut out = String::new();
        for token in &tokens {
            out.push_str(&decoder.push(&[*token]));
        }
        out.push_str(&decoder.finish());
        out == String::from_utf8_lossy(&bytes)
    }
}
