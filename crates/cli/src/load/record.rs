//! What became of each request.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter};

/// One request and its end.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// What kind of request it was.
    pub kind: Kind,
    /// When it was sent, in the model's time from the start.
    pub at: Duration,
    /// How it ended.
    pub end: End,
    /// Wall time to the first token, when one came.
    pub first_token: Option<Duration>,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Fewest prompt tokens that had to be computed.
    pub floor_tokens: u64,
    /// Times that it was sent.
    pub sends: u32,
}

/// Kinds of requests.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, EnumIter, Eq, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Kind {
    /// First turn of a session.
    First,
    /// A later turn of a session.
    Return,
    /// A query without a history.
    Short,
    /// A call that must run at most once.
    Booking,
    /// A call that may be repeated.
    Lookup,
}

/// How a request ended, as its caller saw it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum End {
    /// The whole answer came, and it was the right one.
    Whole,
    /// It was refused; the code and the verdict.
    Refused {
        /// The error's code.
        code: String,
        /// The error's verdict.
        verdict: String,
    },
    /// The answer broke off.
    Broken(String),
    /// The answer was not the one that belongs to the request.
    Wrong(String),
}

impl Record {
    /// Whether the request was answered whole and rightly.
    pub fn is_whole(&self) -> bool {
        self.end == End::Whole
    }
}
