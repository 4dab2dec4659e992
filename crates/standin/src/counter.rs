//! Counters that an oracle reads.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};

use serde::{Deserialize, Serialize};
use strum::{Display, EnumCount, EnumIter, EnumString, IntoEnumIterator};

/// What a stand-in counts.
#[derive(
    Clone,
    Copy,
    Debug,
    Deserialize,
    Display,
    EnumCount,
    EnumIter,
    EnumString,
    Eq,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Counter {
    /// Calls of any kind that reached the stand-in.
    Calls,
    /// Calls refused with no effect.
    Refused,
    /// Bytes of request bodies.
    BytesIn,
    /// Bytes of whole answers and stream chunks.
    BytesOut,
    /// Answers withheld after the call took effect.
    AnswersLost,
    /// Reads of one key or a range.
    Ranges,
    /// Transactions.
    Transactions,
    /// Transactions that wrote.
    Writes,
    /// Transactions whose comparison failed.
    Conflicts,
    /// Leases granted.
    Grants,
    /// Leases renewed.
    Renewals,
    /// Leases given back.
    Revocations,
    /// Leases that ran out.
    Expiries,
    /// Watches begun.
    Watches,
    /// Reads of the live list.
    Reads,
    /// Requests that began to run.
    Started,
    /// Requests that ran to the end.
    Finished,
    /// Requests whose caller went away first.
    Abandoned,
    /// Runs resumed by attempt id.
    Resumed,
    /// Runs cancelled by attempt id.
    Cancelled,
    /// Streams broken by a fault.
    Broken,
    /// Prompt tokens computed.
    PromptTokensComputed,
    /// Prompt tokens found in the cache.
    PromptTokensCached,
    /// Tokens generated.
    TokensGenerated,
    /// Most requests in the instance at once while cold.
    ColdPeak,
    /// Requests above the cold limit.
    ColdExcess,
    /// Times that the instance fell over in cold start.
    FellOver,
    /// Most requests running at once.
    RunningPeak,
    /// Requests accepted after the instance said that it is leaving.
    StartedWhileLeaving,
    /// Requests of another weight version refused.
    WrongVersion,
    /// Pieces imported.
    Imports,
    /// Logical bytes imported.
    ImportedBytes,
    /// Pieces exported.
    Exports,
    /// Logical bytes exported.
    ExportedBytes,
    /// Imported pieces whose bytes were not those of their key and version.
    WrongBlockRead,
    /// Cached pieces used for a prompt with other tokens.
    WrongPrefixRead,
    /// Orders carried out.
    Orders,
    /// Orders carried out with an old fencing number.
    StaleOrdersRun,
    /// Orders refused for an old fencing number.
    StaleOrdersRefused,
    /// Most weight loads at once over every engine with the same loader.
    LoadingPeak,
    /// Blocks written.
    BlockWrites,
    /// Logical bytes of blocks written.
    BlockBytesWritten,
    /// Blocks read.
    BlockReads,
    /// Logical bytes of blocks read.
    BlockBytesRead,
    /// Block reads answered from disk.
    DiskReads,
    /// Manifests written.
    ManifestWrites,
    /// Manifest lookups.
    Lookups,
    /// Writes refused as full.
    Full,
    /// Runs of a key or body reference that had run before, by unsafe methods.
    Duplicates,
    /// Process lives after the first.
    Restarts,
}

/// The counters of one stand-in at one moment.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Counters(BTreeMap<Counter, u64>);

impl Counters {
    /// One counter's value.
    pub fn get(&self, counter: Counter) -> u64 {
        self.0.get(&counter).copied().unwrap_or(0)
    }

    /// The counters above zero, by name.
    pub fn iter(&self) -> impl Iterator<Item = (Counter, u64)> {
        self.0.iter().map(|(counter, value)| (*counter, *value))
    }
}

/// Counters that many threads add to.
#[derive(Debug)]
pub struct Tally([AtomicU64; Counter::COUNT]);

impl Default for Tally {
    fn default() -> Self {
        Self(std::array::from_fn(|_| AtomicU64::new(0)))
    }
}

impl Tally {
    /// Adds one.
    pub fn count(&self, counter: Counter) {
        self.add(counter, 1);
    }

    /// Adds a number.
    pub fn add(&self, counter: Counter, number: u64) {
        self.0[counter as usize].fetch_add(number, Ordering::Relaxed);
    }

    /// Raises a counter to at least `number`.
    pub fn raise(&self, counter: Counter, number: u64) {
        self.0[counter as usize].fetch_max(number, Ordering::Relaxed);
    }

    /// The values now; zeros are left out.
    pub fn read(&self) -> Counters {
        let values = Counter::iter().map(|c| (c, self.0[c as usize].load(Ordering::Relaxed)));
        Counters(values.filter(|(_, value)| *value > 0).collect())
    }
}
