//! Why an upstream gave no whole answer.

use std::time::Duration;

use acacia_catalog::id::Incarnation;
use acacia_policy::Verdict;
use acacia_policy::dispatch::Reason;
use http::header::RETRY_AFTER;
use http::{HeaderMap, StatusCode};
use serde::Deserialize;
use thiserror::Error;

use crate::pool;

/// Why an upstream gave no whole answer.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum Failure {
    /// No connection could be opened, so that no byte left.
    #[error("no connection to the upstream")]
    Unsent,
    /// The upstream said that it did not run the request.
    #[error("the upstream refused: {reason}")]
    Refused {
        /// Why.
        reason: Reason,
        /// When to come back, when it said.
        retry_after: Option<Duration>,
        /// The process life that refused; zero when unknown.
        incarnation: Incarnation,
    },
    /// The upstream found the request itself at fault.
    #[error("the upstream rejected the request with {status}: {message}")]
    Rejected {
        /// HTTP status.
        status: StatusCode,
        /// The upstream's code.
        code: String,
        /// The upstream's message.
        message: String,
    },
    /// The answer stopped or was wrong after a byte may have left.
    #[error("the answer broke off: {0}")]
    Broken(Fault),
}

/// What was wrong with an answer.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum Fault {
    /// The connection ended before the answer did.
    #[error("the connection ended early")]
    Ended,
    /// No byte came in time.
    #[error("no byte came in time")]
    Timeout,
    /// The answer was for another attempt.
    #[error("the answer names another attempt")]
    WrongAttempt,
    /// Tokens are missing or repeated.
    #[error("the answer continues at token {found}, not {expected}")]
    Gap {
        /// Offset that had to follow.
        expected: u32,
        /// Offset that came.
        found: u32,
    },
    /// The answer is not what the protocol allows.
    #[error("the answer is malformed: {0}")]
    Malformed(String),
    /// The upstream failed.
    #[error("the upstream answered {0}")]
    Status(StatusCode),
}

impl Failure {
    /// Whether the upstream may have run the request.
    pub fn verdict(&self) -> Verdict {
        match self {
            Self::Unsent | Self::Refused { .. } | Self::Rejected { .. } => Verdict::NotRun,
            Self::Broken(_) => Verdict::MayHaveRun,
        }
    }

    /// The failure of a call that got no answer.
    pub(crate) fn transport(error: &reqwest::Error) -> Self {
        if error.is_connect() || error.is_builder() {
            return Self::Unsent;
        }
        Self::Broken(if error.is_timeout() { Fault::Timeout } else { Fault::Ended })
    }

    /// The failure that an error answer tells of.
    pub(crate) fn answer(status: StatusCode, headers: &HeaderMap, body: &[u8]) -> Self {
        let Ok(Body { error }) = serde_json::from_slice::<Body>(body) else {
            return Self::Broken(Fault::Status(status));
        };
        match refusal(status, &error.code) {
            Some(reason) => Self::Refused {
                reason,
                retry_after: retry_after(headers),
                incarnation: pool::incarnation(headers),
            },
            None if status.is_client_error() => {
                Self::Rejected { status, code: error.code, message: error.message }
            }
            None => Self::Broken(Fault::Status(status)),
        }
    }
}

/// The error body of every upstream.
#[derive(Deserialize)]
struct Body {
    error: Detail,
}

/// What went wrong.
#[derive(Deserialize)]
struct Detail {
    code: String,
    #[serde(default)]
    message: String,
}

/// The reason of an answer that says "not run".
fn refusal(status: StatusCode, code: &str) -> Option<Reason> {
    match (status, code) {
        (StatusCode::CONFLICT, "wrong_version") => Some(Reason::WrongVersion),
        (StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE, code) => match code {
            "overloaded" => Some(Reason::Overloaded),
            "cold" => Some(Reason::Cold),
            "leaving" => Some(Reason::Leaving),
            _ => None,
        },
        _ => None,
    }
}

fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let seconds = headers.get(RETRY_AFTER)?.to_str().ok()?.parse().ok()?;
    Some(Duration::from_secs(seconds))
}
