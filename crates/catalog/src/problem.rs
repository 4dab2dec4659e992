//! Validation errors of a document.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::Object;
use crate::id::Name;

/// A validation error in one field of an object.
#[derive(Clone, Debug, Deserialize, Eq, Error, PartialEq, Serialize)]
#[error("{kind} `{object}`, field `{field}`: {reason}")]
pub struct Problem {
    /// Kind of the object.
    pub kind: String,
    /// Name of the object.
    pub object: Name,
    /// Path of the invalid field.
    pub field: String,
    /// Why the field is invalid.
    pub reason: String,
    /// How to correct it.
    #[serde(default)]
    pub hint: String,
}

impl Problem {
    /// Creates a problem in a field of `object`.
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
