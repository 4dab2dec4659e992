//! Errors returned to callers.

use std::time::Duration;

use acacia_policy::Verdict;
use acacia_policy::dispatch::{Reason, Refusal};
use http::StatusCode;
use serde::Serialize;
use thiserror::Error;

use crate::trace::Trace;

/// Header that says whether the request may have run.
pub const VERDICT_HEADER: &str = "x-acacia-verdict";

/// Why a request failed.
#[derive(Clone, Debug, Error, PartialEq)]
#[error("{code}: {message}")]
pub struct Error {
    /// HTTP status.
    pub status: StatusCode,
    /// Stable, machine-readable name of the error.
    pub code: &'static str,
    /// What happened.
    pub message: String,
    /// What the caller can do.
    pub hint: &'static str,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Delay before the caller should retry.
    pub retry_after: Option<Duration>,
}

impl Error {
    /// The request itself is invalid.
    pub fn invalid(message: impl Into<String>, hint: &'static str) -> Self {
        Self::new(StatusCode::BAD_REQUEST, "invalid_request", message, hint)
    }

    /// The named object does not exist, or the organisation may not use it.
    pub fn not_found(what: &str, name: &str) -> Self {
        let message = format!("there is no {what} `{name}`");
        Self::new(StatusCode::NOT_FOUND, "not_found", message, "check the name, or list the models")
    }

    /// The API key is missing or unknown.
    pub fn unauthorized() -> Self {
        let hint = "send `authorization: Bearer KEY` with a valid key";
        Self::new(
            StatusCode::UNAUTHORIZED,
            "unauthorized",
            "the API key is missing or not valid",
            hint,
        )
    }

    /// The body exceeds `limit` bytes.
    pub fn too_large(limit: usize) -> Self {
        let message = format!("the body is larger than {limit} bytes");
        Self::new(StatusCode::PAYLOAD_TOO_LARGE, "too_large", message, "send a smaller body")
    }

    /// An upstream rejected the request as invalid.
    pub fn rejected(status: StatusCode, message: String) -> Self {
        Self::new(status, "rejected", message, "correct the request as the message says")
    }

    /// Creates an error for a request that did not run.
    fn new(
        status: StatusCode,
        code: &'static str,
        message: impl Into<String>,
        hint: &'static str,
    ) -> Self {
        let (message, verdict) = (message.into(), Verdict::NotRun);
        Self { status, code, message, hint, verdict, retry_after: None }
    }

    /// Encodes the JSON body of the error.
    pub fn body(&self, trace: &Trace) -> Vec<u8> {
        let detail = Detail {
            code: self.code,
            message: &self.message,
            hint: self.hint,
            verdict: self.verdict,
            trace_id: trace.to_string(),
        };
        // A struct of strings always serializes.
        serde_json::to_vec(&Body { error: detail }).unwrap_or_default()
    }
}

impl From<Refusal> for Error {
    fn from(refusal: Refusal) -> Self {
        let (status, message, hint) = describe(refusal.reason);
        Self {
            verdict: refusal.verdict,
            retry_after: refusal.retry_after,
            ..Self::new(status, refusal.reason.into(), message, hint)
        }
    }
}

/// Body of every error.
#[derive(Serialize)]
struct Body<'a> {
    error: Detail<'a>,
}

/// Description of an error.
#[derive(Serialize)]
struct Detail<'a> {
    code: &'a str,
    message: &'a str,
    hint: &'a str,
    verdict: Verdict,
    trace_id: String,
}

/// Status, message and hint for a reason.
fn describe(reason: Reason) -> (StatusCode, &'static str, &'static str) {
    const RETRY: &str = "retry after the time in `retry-after`";
    const CHECK: &str = "check the verdict before you retry";
    match reason {
        Reason::Overloaded => {
            (StatusCode::SERVICE_UNAVAILABLE, "the system is overloaded at the moment", RETRY)
        }
        Reason::Cold => (StatusCode::SERVICE_UNAVAILABLE, "the upstreams are starting", RETRY),
        Reason::Leaving => (StatusCode::SERVICE_UNAVAILABLE, "the upstream is stopping", RETRY),
        Reason::WrongVersion => {
            (StatusCode::SERVICE_UNAVAILABLE, "the weight version is being loaded", RETRY)
        }
        Reason::NoUpstream => {
            (StatusCode::SERVICE_UNAVAILABLE, "no upstream can serve the request now", RETRY)
        }
        Reason::QueueFull => {
            (StatusCode::TOO_MANY_REQUESTS, "the organisation's queue is full", RETRY)
        }
        Reason::Deadline => {
            (StatusCode::SERVICE_UNAVAILABLE, "the request can't meet its deadline", RETRY)
        }
        Reason::ClaimUnavailable => (
            StatusCode::SERVICE_UNAVAILABLE,
            "the idempotency key can't be recorded at the moment",
            "retry with the same key",
        ),
        Reason::KeyMismatch => (
            StatusCode::UNPROCESSABLE_ENTITY,
            "the idempotency key was used for another request",
            "use a new key for a new request",
        ),
        Reason::Repeated => (
            StatusCode::CONFLICT,
            "a request with this key was sent before and its answer is not stored",
            CHECK,
        ),
        Reason::Stopping => {
            (StatusCode::SERVICE_UNAVAILABLE, "this instance is stopping", "retry the request")
        }
        Reason::NotReady => {
            (StatusCode::SERVICE_UNAVAILABLE, "this instance is starting", "retry the request")
        }
        Reason::Interrupted => (StatusCode::BAD_GATEWAY, "the answer was interrupted", CHECK),
        Reason::RetriesSpent => {
            (StatusCode::BAD_GATEWAY, "the upstreams failed several times", CHECK)
        }
    }
}
