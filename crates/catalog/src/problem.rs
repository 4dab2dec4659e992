//! A fault in a document.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::Object;
use crate::id::Name;

/// What is wrong with one field of one object.
#[derive(Clone, Debug, Deserialize, Eq, Error, PartialEq, Serialize)]
#[error("{kind} `{object}`, field `{field}`: {reason}")]
pub struct Problem {
    /// Kind of the object.
    pub kind: String,
    /// Name of the object.
    pub object: Name,
    /// The field at fault.
    pub field: String,
    /// What is wrong.
    pub reason: String,
    /// What to do.
    #[serde(default)]
    pub hint: String,
}

impl Problem {
    /// A problem of `object`.
    pub fn new(
        object: &Object,
        field: impl Into<String>,
        reason: impl Into<String>,
        hint: impl Into<String>,
    ) -> Self {
        Self {
            kind: object.kind().to_owned(),
            object: object.name().clone(),
            field: field.into(),
            reason: reason.into(),
            hint: hint.into(),
        }
    }
}
