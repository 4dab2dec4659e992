//! Records of requests and their results.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter};

/// One request and its result.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// Kind of the request.
    pub kind: Kind,
    /// When it was sent, in the stand-ins' time from the start.
    pub at: Duration,
    /// How it ended.
    pub ending: Ending,
    /// Wall time to the first token, if one was received.
    pub first_token: Option<Duration>,
    /// Tokens in the prompt.
    pub prompt_tokens: u64,
    /// Lower bound of the prompt tokens that an engine has to compute.
    pub floor_tokens: u64,
    /// Number of attempts.
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
    /// A prompt outside any session.
    Short,
    /// A call that must run at most once.
    Booking,
    /// A call that may run more than once.
    Lookup,
}

/// How a request ended, as its caller saw it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Ending {
    /// The expected answer was received in full.
    Complete,
    /// The request was refused.
    Refused {
        /// The error's code.
        code: String,
        /// The error's verdict.
        verdict: String,
    },
    /// The answer was interrupted; the reason.
    Broken(String),
    /// The answer was not the expected one; the difference.
    Wrong(String),
}

impl Record {
    /// Whether the expected answer was received in full.
    pub fn is_complete(&self) -> bool {
        self.ending == Ending::Complete
    }
}
