//! Failures of calls to upstreams.

use std::time::Duration;

use acacia_catalog::id::Incarnation;
use acacia_policy::Verdict;
use acacia_policy::dispatch::Reason;
use http::header::RETRY_AFTER;
use http::{HeaderMap, StatusCode};
use serde::Deserialize;
use thiserror::Error;

use crate::pool;

/// Why an upstream gave no complete answer.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum Failure {
    /// No connection could be opened, so no byte was sent.
    #[error("can't connect to the upstream")]
    Unsent,
    /// The upstream refused the request without running it.
    #[error("the upstream refused: {reason}")]
    Refused {
        /// Why it refused.
        reason: Reason,
        /// Delay before a retry, if the upstream named one.
        retry_after: Option<Duration>,
        /// Incarnation of the upstream; zero if unknown.
        incarnation: Incarnation,
    },
    /// The upstream rejected the request as invalid.
    #[error("the upstream rejected the request with {status}: {message}")]
    Rejected {
        /// HTTP status.
        status: StatusCode,
        /// Error code of the upstream.
        code: String,
        /// Error message of the upstream.
        message: String,
    },
    /// The answer is incomplete or invalid, and the request may have been sent.
    #[error("the upstream gave no complete answer: {0}")]
    Broken(Fault),
}

/// Why an answer is incomplete or invalid.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum Fault {
    /// The connection ended before the answer did.
    #[error("the connection ended early")]
    Ended,
    /// The upstream didn't answer in time.
    #[error("the upstream did not answer in time")]
    Timeout,
    /// The answer names another attempt.
    #[error("the answer names another attempt")]
    WrongAttempt,
    /// Tokens are missing or repeated.
    #[error("the answer continues at token {found}, not {expected}")]
    Gap {
        /// Offset of the next expected token.
        expected: u32,
        /// Offset in the answer.
        found: u32,
    },
    /// The answer violates the protocol.
    #[error("the answer is malformed: {0}")]
    Malformed(String),
    /// The upstream answered with an error status.
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

    /// Classifies the error of a call without a response.
    pub(crate) fn from_transport(error: &reqwest::Error) -> Self {
        if error.is_connect() || error.is_builder() {
            return Self::Unsent;
        }
        Self::Broken(if error.is_timeout() { Fault::Timeout } else { Fault::Ended })
    }

    /// Classifies an error response.
    pub(crate) fn from_response(status: StatusCode, headers: &HeaderMap, body: &[u8]) -> Self {
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

/// Error body of all upstreams.
#[derive(Deserialize)]
struct Body {
    error: Detail,
}

/// Description of an error.
#[derive(Deserialize)]
struct Detail {
    code: String,
    #[serde(default)]
    message: String,
}

/// The reason of a response that guarantees that the request did not run.
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
