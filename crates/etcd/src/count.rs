//! How many calls were made, by kind.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};

use serde::{Deserialize, Serialize};
use strum::{Display, EnumCount, EnumIter, IntoEnumIterator};

/// Kinds of calls to the key-value service.
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
    /// Leases asked for.
    Grant,
    /// Leases renewed.
    Renew,
    /// Leases given back.
    Revoke,
    /// Watches.
    Watch,
    /// Calls of any kind that ended as unavailable.
    Unavailable,
    /// Calls of any kind that ended as ambiguous.
    Ambiguous,
}

/// Counts at one moment; a call tried at two endpoints counts twice.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Counts(BTreeMap<Kind, u64>);

impl Counts {
    /// One count.
    pub fn get(&self, kind: Kind) -> u64 {
        self.0.get(&kind).copied().unwrap_or(0)
    }

    /// Calls that the service may have seen, failed ones included.
    pub fn calls(&self) -> u64 {
        let ended = [Kind::Unavailable, Kind::Ambiguous];
        self.0.iter().filter(|(kind, _)| !ended.contains(kind)).map(|(_, count)| count).sum()
    }

    /// Every kind with its count.
    pub fn iter(&self) -> impl Iterator<Item = (Kind, u64)> {
        self.0.iter().map(|(kind, count)| (*kind, *count))
    }
}

/// Counts that many threads add to.
#[derive(Debug)]
pub(crate) struct Tally([AtomicU64; Kind::COUNT]);

impl Default for Tally {
    fn default() -> Self {
        Self(std::array::from_fn(|_| AtomicU64::new(0)))
    }
}

impl Tally {
    pub(crate) fn count(&self, kind: Kind) {
        self.0[kind as usize].fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn read(&self) -> Counts {
        let values = Kind::iter().map(|kind| (kind, self.0[kind as usize].load(Ordering::Relaxed)));
        Counts(values.collect())
    }
}
