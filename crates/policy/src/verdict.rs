//! Whether a request may have run.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

/// What is known about a request that failed or was refused.
#[derive(
    Clone,
    Copy,
    Debug,
    Deserialize,
    Display,
    EnumString,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Verdict {
    /// No upstream ran any part of it.
    NotRun,
    /// An upstream may have run it.
    MayHaveRun,
    /// An upstream ran it to the end.
    Ran,
}

impl Verdict {
    /// The stronger of two verdicts on one request.
    #[must_use]
    pub fn join(self, other: Self) -> Self {
        self.max(other)
    }
}
