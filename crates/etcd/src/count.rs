//! Counts of calls, by kind.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};

use serde::{Deserialize, Serialize};
use strum::{Display, EnumCount, EnumIter, IntoEnumIterator};

/// Kinds of calls to the key-value service, and of their failures.
#[derive(
    Clone,
    Copy,
    Debug,
    Deserialize,
    Display,
    EnumCount,
    EnumIter,
    Eq,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Kind {
    /// Reads of one key.
    Get,
    /// Reads of a prefix.
    List,
    /// Conditional writes.
    Swap,
    /// Creations of a lease.
    Grant,
    /// Renewals of a lease.
    Renew,
    /// Revocations of a lease.
    Revoke,
    /// Watches.
    Watch,
    /// Calls of any kind that failed without effect.
    Unavailable,
    /// Calls of any kind that failed and may have had an effect.
    Ambiguous,
}

/// Counts at one moment; a call attempted at two endpoints counts twice.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Counts(BTreeMap<Kind, u64>);

impl Counts {
    /// The count of one kind.
    pub fn get(&self, kind: Kind) -> u64 {
        self.0.get(&kind).copied().unwrap_or(0)
    }

    /// The number of calls, including those that failed.
    pub fn calls(&self) -> u64 {
        let ended = [Kind::Unavailable, Kind::Ambiguous];
        self.0.iter().filter(|(kind, _)| !ended.contains(kind)).map(|(_, count)| count).sum()
    }

    /// Iterates over all kinds and their counts.
    pub fn iter(&self) -> impl Iterator<Item = (Kind, u64)> {
        self.0.iter().map(|(kind, count)| (*kind, *count))
    }
}

/// Counters shared by threads.
#[derive(Debug)]
pub(crate) struct Counters([AtomicU64; Kind::COUNT]);

impl Default for Counters {
    fn default() -> Self {
        Self(std::array::from_fn(|_| AtomicU64::new(0)))
    }
}

impl Counters {
    pub(crate) fn increment(&self, kind: Kind) {
        self.0[kind as usize].fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn snapshot(&self) -> Counts {
        let values = Kind::iter().map(|kind| (kind, self.0[kind as usize].load(Ordering::Relaxed)));
        Counts(values.collect())
    }
}
