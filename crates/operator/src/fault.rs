//! Why a call was not done.

use acacia_catalog::Problem;
use acacia_catalog::diff::Difference;
use acacia_catalog::id::Revision;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};
use thiserror::Error;

/// The body of every error.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Body {
    /// The fault.
    pub error: Fault,
}

/// Why a call was not done.
#[derive(Clone, Debug, Deserialize, Error, PartialEq, Serialize)]
#[error("{message}")]
pub struct Fault {
    /// What kind of fault.
    pub code: Code,
    /// What is wrong.
    pub message: String,
    /// What to do.
    pub hint: String,
    /// The revision in force, of a conflict.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub revision: Option<Revision>,
    /// Every problem of an invalid configuration.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub problems: Vec<Problem>,
    /// Of a conflict: what others changed since the operator's base; absent when not remembered.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub differences: Option<Vec<Difference>>,
}

/// Kinds of faults.
#[derive(Clone, Copy, Debug, Deserialize, Display, EnumString, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Code {
    /// No operator's key, or one that is not in force.
    Unauthenticated,
    /// The key lacks a role.
    Forbidden,
    /// The body can't be read.
    Malformed,
    /// The body is too large.
    TooLarge,
    /// The configuration breaks a rule.
    Invalid,
    /// Another change came first.
    Conflict,
    /// There is no such thing.
    NotFound,
    /// The key-value service is down; nothing was done and nothing will be.
    Unavailable,
    /// It is not known whether the change was accepted.
    Unknown,
    /// An upstream did not take an order.
    OrderFailed,
}

impl Code {
    /// The HTTP status of the fault.
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
    /// A fault without details.
    pub fn new(code: Code, message: impl Into<String>, hint: impl Into<String>) -> Self {
        let (message, hint) = (message.into(), hint.into());
        Self { code, message, hint, revision: None, problems: Vec::new(), differences: None }
    }

    /// The configuration breaks these rules.
    pub fn invalid(problems: Vec<Problem>) -> Self {
        let message = format!("the configuration has {} problems", problems.len());
        let hint = "mend every problem and ask again; nothing was changed";
        Self { problems, ..Self::new(Code::Invalid, message, hint) }
    }

    /// There is no such object.
    pub fn not_found(kind: &str, name: &str) -> Self {
        let message = format!("there is no {kind} `{name}`");
        Self::new(Code::NotFound, message, "see the names with `acacia status` or `acacia get`")
    }
}
