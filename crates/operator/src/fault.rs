//! Errors of the administration API.

use acacia_catalog::Problem;
use acacia_catalog::diff::Difference;
use acacia_catalog::id::Revision;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};
use thiserror::Error;

/// The body of an error response.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Body {
    /// The error.
    pub error: Fault,
}

/// An error of a call.
#[derive(Clone, Debug, Deserialize, Error, PartialEq, Serialize)]
#[error("{message}")]
pub struct Fault {
    /// Kind of the error.
    pub code: Code,
    /// Description of the error.
    pub message: String,
    /// How to resolve it.
    pub hint: String,
    /// For a conflict: the revision in force.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub revision: Option<Revision>,
    /// For an invalid configuration: every problem found.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub problems: Vec<Problem>,
    /// For a conflict: changes by others since the operator's base; absent if no longer available.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub differences: Option<Vec<Difference>>,
}

/// Kinds of errors.
#[derive(Clone, Copy, Debug, Deserialize, Display, EnumString, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Code {
    /// The operator's key is missing or invalid.
    Unauthenticated,
    /// The key lacks the required role.
    Forbidden,
    /// The request can't be parsed.
    Malformed,
    /// The body is too large.
    TooLarge,
    /// The configuration or order is invalid.
    Invalid,
    /// Another change came first, or the change id was already used.
    Conflict,
    /// The requested object, revision or trace does not exist.
    NotFound,
    /// The key-value service is unavailable; the change was not and will not be accepted.
    Unavailable,
    /// It is unknown whether the change was accepted.
    Unknown,
    /// The upstream did not accept the order.
    OrderFailed,
}

impl Code {
    /// The HTTP status code of the error.
    pub fn status(self) -> u16 {
        match self {
            Self::Unauthenticated => 401,
            Self::Forbidden => 403,
            Self::Malformed => 400,
            Self::TooLarge => 413,
            Self::Invalid => 422,
            Self::Conflict => 409,
            Self::NotFound => 404,
            Self::Unavailable => 503,
            Self::Unknown => 504,
            Self::OrderFailed => 502,
        }
    }
}

impl Fault {
    /// Creates an error without details.
    pub fn new(code: Code, message: impl Into<String>, hint: impl Into<String>) -> Self {
        let (message, hint) = (message.into(), hint.into());
        Self { code, message, hint, revision: None, problems: Vec::new(), differences: None }
    }

    /// Creates the error of a configuration with these problems.
    pub fn invalid(problems: Vec<Problem>) -> Self {
        let message = format!("the configuration has {} problems", problems.len());
        let hint = "correct all problems and retry; nothing was changed";
        Self { problems, ..Self::new(Code::Invalid, message, hint) }
    }

    /// Creates the error of a missing object.
    pub fn not_found(kind: &str, name: &str) -> Self {
        let message = format!("there is no {kind} `{name}`");
        Self::new(Code::NotFound, message, "list the names with `acacia status` or `acacia get`")
    }
}
