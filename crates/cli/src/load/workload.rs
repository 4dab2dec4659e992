//! Workloads, generated from a seed.
//!
//! The gap between two turns of a session is long enough for engines to evict its cache. Short
//! prompts arrive in between. Some keyed calls of a plain service are sent twice, as by a retrying
//! caller or balancer.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

/// Organisations in a workload.
pub const ORGANISATIONS: usize = 10;
/// Bytes of text in one token of the stand-in engines.
pub const TOKEN_BYTES: usize = 4;

/// Users with a workload of their own.
#[derive(Clone, Copy, Debug, Deserialize, Display, EnumString, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum User {
    /// Actas Municipales: short deadlines, zones taken out of service.
    Actas,
    /// Ferreira & Netos: long prompts with long deadlines.
    Ferreira,
}

/// Size of a workload.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Shape {
    /// Number of sessions.
    pub sessions: usize,
    /// Turns per session.
    pub turns: usize,
    /// Range of the tokens in a session's first prompt.
    pub first_tokens: (usize, usize),
    /// Range of the new tokens in each later turn.
    pub new_tokens: (usize, usize),
    /// Tokens in an answer to a turn.
    pub answer_tokens: usize,
    /// Short prompts per turn.
    pub shorts: usize,
    /// Tokens in a short prompt.
    pub short_tokens: usize,
    /// Tokens in an answer to a short prompt.
    pub short_answer_tokens: usize,
    /// Total number of keyed calls of the plain service.
    pub bookings: usize,
    /// Every n-th booking is sent twice.
    pub repeat_every: usize,
    /// Time between two turns of a session, in the stand-ins' time.
    pub gap: Duration,
}

impl Shape {
    /// A user's workload at its present size.
    pub fn of(user: User) -> Self {
        match user {
            User::Actas => Self {
                sessions: 90,
                turns: 4,
                first_tokens: (8_000, 24_000),
                new_tokens: (300, 1_500),
                answer_tokens: 60,
                shorts: 4,
                short_tokens: 200,
                short_answer_tokens: 20,
                bookings: 200,
                repeat_every: 4,
                gap: Duration::from_secs(60),
            },
            User::Ferreira => Self {
                sessions: 60,
                turns: 4,
                first_tokens: (20_000, 60_000),
                new_tokens: (500, 3_000),
                answer_tokens: 120,
                shorts: 3,
                short_tokens: 80,
                short_answer_tokens: 8,
                bookings: 200,
                repeat_every: 4,
                gap: Duration::from_secs(90),
            },
        }
    }

    /// A small workload for the demo.
    pub fn small() -> Self {
        Self {
            sessions: 24,
            turns: 3,
            first_tokens: (6_000, 16_000),
            new_tokens: (200, 900),
            answer_tokens: 24,
            shorts: 2,
            short_tokens: 120,
            short_answer_tokens: 8,
            bookings: 60,
            repeat_every: 3,
            gap: Duration::from_secs(20),
        }
    }
}

/// A workload.
#[derive(Clone, Debug, PartialEq)]
pub struct Workload {
    /// Requests in order of time.
    pub items: Vec<Item>,
    /// Number of sessions.
    pub sessions: usize,
    /// Duration of the workload, in the stand-ins' time.
    pub length: Duration,
}

impl Workload {
    /// Generates a workload from a seed.
    pub fn draw(shape: &Shape, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut items = Vec::new();
        for session in 0..shape.sessions {
            turns(&mut items, shape, session, &mut rng);
        }
        let length = shape.gap * u32::try_from(shape.turns).unwrap_or(u32::MAX);
        bookings(&mut items, shape, length, &mut rng);
        items.sort_by_key(|item| item.at);
        Self { items, sessions: shape.sessions, length }
    }
}

/// One request.
#[derive(Clone, Debug, PartialEq)]
pub struct Item {
    /// When it is sent, in the stand-ins' time from the start.
    pub at: Duration,
    /// Index of the organisation that sends it.
    pub organisation: usize,
    /// Content of the request.
    pub step: Step,
}

/// Content of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// The next turn of a session.
    Turn {
        /// The session.
        session: usize,
        /// Whether the session had an earlier turn.
        returning: bool,
        /// Text added to the history.
        text: String,
        /// Tokens in the answer.
        answer: usize,
    },
    /// A prompt outside any session.
    Short {
        /// The prompt.
        text: String,
        /// Tokens in the answer.
        answer: usize,
    },
    /// A call that must run at most once.
    Booking {
        /// Number in the call's idempotency key and reference.
        number: usize,
        /// Whether the call was sent before.
        repeat: bool,
    },
    /// A lookup that may be repeated.
    Lookup {
        /// The reference.
        number: usize,
    },
}

fn turns(items: &mut Vec<Item>, shape: &Shape, session: usize, rng: &mut ChaCha8Rng) {
    let organisation = organisation(rng);
    let phase = rng.random_range(0.0..1.0);
    for turn in 0..shape.turns {
        let (from, to) = if turn == 0 { shape.first_tokens } else { shape.new_tokens };
        let at = shape.gap.mul_f64(turn as f64 + phase);
        let step = Step::Turn {
            session,
            returning: turn > 0,
            text: text(rng.random_range(from..=to), rng),
            answer: shape.answer_tokens,
        };
        items.push(Item { at, organisation, step });
        for _ in 0..shape.shorts {
            items.push(short(shape, turn, rng));
        }
    }
}

fn short(shape: &Shape, turn: usize, rng: &mut ChaCha8Rng) -> Item {
    let at = shape.gap.mul_f64(turn as f64 + rng.random_range(0.0..1.0));
    let step =
        Step::Short { text: text(shape.short_tokens, rng), answer: shape.short_answer_tokens };
    Item { at, organisation: organisation(rng), step }
}

fn bookings(items: &mut Vec<Item>, shape: &Shape, length: Duration, rng: &mut ChaCha8Rng) {
    for number in 0..shape.bookings {
        let at = length.mul_f64(rng.random_range(0.0..0.98));
        let organisation = organisation(rng);
        items.push(Item { at, organisation, step: Step::Booking { number, repeat: false } });
        if number % shape.repeat_every == 0 {
            let later = at + length.mul_f64(rng.random_range(0.0..0.01));
            let step = Step::Booking { number, repeat: true };
            items.push(Item { at: later, organisation, step });
        }
        if number % 2 == 0 {
            items.push(Item { at, organisation, step: Step::Lookup { number } });
        }
    }
}

/// Draws an organisation; the first few send most of the requests.
fn organisation(rng: &mut ChaCha8Rng) -> usize {
    let share: f64 = rng.random_range(0.0..1.0);
    ((share * share * share) * ORGANISATIONS as f64) as usize
}

/// Text of exactly `tokens` tokens.
fn text(tokens: usize, rng: &mut ChaCha8Rng) -> String {
    (0..tokens * TOKEN_BYTES).map(|_| char::from(rng.random_range(b'a'..=b'z'))).collect()
}
