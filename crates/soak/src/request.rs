//! Draws callers' requests.

use std::time::Duration;

use acacia_standin::platform::caller::{Operation, Request};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::terms;

/// Time after which a caller abandons a request.
const TIMEOUT: Duration = Duration::from_secs(8);
/// Events in an answer.
pub const ANSWER_EVENTS: u32 = 12;
/// Events in an answer that can't be resumed.
const LONG_ANSWER_EVENTS: u32 = 17;
/// Number of shared prompt parts and tokens in each: more in total than the engines' caches hold.
const SUBJECTS: (usize, u32) = (12, 4_000);
/// Tokens of a shared part with short budgets: an engine has room for all prompts that run, so that
/// none is refused for lack of it.
const SHORT_SUBJECT_TOKENS: u32 = 2_000;
/// Tokens of the last part of a prompt.
const OWN_TOKENS: u32 = 200;

/// A request of any kind.
pub fn draw(number: usize, key: &str, rng: &mut ChaCha8Rng) -> Request {
    let (kind, operation) = match rng.random_range(0..10) {
        0..3 => ("read", Operation::Read),
        3..5 => ("charge", Operation::Charge),
        _ => {
            let parts = vec![shared_part(rng), own_part(number)];
            ("prompt", prompt(parts))
        }
    };
    single(format!("{kind}-{number}"), key, operation)
}

/// A request of any kind, also a prompt whose stream can't be resumed, with the budget of its route
/// if `is_short`.
pub fn short(number: usize, key: &str, is_short: bool, rng: &mut ChaCha8Rng) -> Request {
    let (kind, operation) = match rng.random_range(0..10) {
        0..3 => ("read", Operation::Read),
        3..6 => ("charge", Operation::Charge),
        kind => {
            let (shared, _) = shared_part(rng);
            let parts = vec![(shared, SHORT_SUBJECT_TOKENS), own_part(number)];
            match kind {
                6..8 => ("prompt", prompt(parts)),
                _ => ("long", Operation::LongPrompt { parts, output: LONG_ANSWER_EVENTS }),
            }
        }
    };
    let timeout = if is_short { terms::budget(&operation, number) } else { TIMEOUT };
    Request { timeout, ..single(format!("{kind}-{number}"), key, operation) }
}

/// A prompt with these parts.
pub fn prompt(parts: Vec<(String, u32)>) -> Operation {
    Operation::Prompt { parts, output: ANSWER_EVENTS }
}

/// A request without retries. As ids are unique, servers' runs can be attributed to one request.
pub fn single(id: String, key: &str, operation: Operation) -> Request {
    let (key, resource) = (key.to_owned(), operation.resource());
    Request { id, key, operation, resource, timeout: TIMEOUT, retries: 0 }
}

/// A prompt part that other prompts share.
pub fn shared_part(rng: &mut ChaCha8Rng) -> (String, u32) {
    let (subjects, tokens) = SUBJECTS;
    (format!("a{:x}", rng.random_range(0..subjects)), tokens)
}

/// The last part of a prompt, which no other one has.
pub fn own_part(number: usize) -> (String, u32) {
    (format!("f{number:x}"), OWN_TOKENS)
}
