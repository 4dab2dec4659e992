//! Event counters, read by test oracles.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};

use serde::{Deserialize, Serialize};
use strum::{Display, EnumCount, EnumIter, EnumString, IntoEnumIterator};

/// Names of the counters.
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
    /// Calls refused without effect.
    Refused,
    /// Bytes of received request bodies.
    BytesIn,
    /// Bytes sent in answer bodies and stream chunks.
    BytesOut,
    /// Answers withheld after the call took effect.
    AnswersLost,
    /// Reads of a key or a range.
    Ranges,
    /// Transactions.
    Transactions,
    /// Transactions whose comparisons held.
    Writes,
    /// Transactions with a failed comparison.
    Conflicts,
    /// Leases granted.
    Grants,
    /// Leases renewed.
    Renewals,
    /// Leases revoked by their holder.
    Revocations,
    /// Leases that expired.
    Expiries,
    /// Watches started.
    Watches,
    /// Reads of the list of live instances.
    Reads,
    /// Requests started; an engine counts them on admission, before they get a slot.
    Started,
    /// Requests completed.
    Finished,
    /// Requests that ended before completion.
    Abandoned,
    /// Attempts resumed by attempt id.
    Resumed,
    /// Attempts cancelled by attempt id.
    Cancelled,
    /// Streams dropped by a fault.
    Broken,
    /// Prompt tokens computed.
    PromptTokensComputed,
    /// Prompt tokens found in the cache.
    PromptTokensCached,
    /// Tokens generated.
    TokensGenerated,
    /// Peak of concurrent requests while cold.
    ColdPeak,
    /// Requests that exceeded the cold limit.
    ColdExcess,
    /// Crashes caused by exceeding the cold limit.
    FellOver,
    /// Peak of concurrently running requests.
    RunningPeak,
    /// Requests accepted after the instance announced that it is leaving.
    StartedWhileLeaving,
    /// Requests or imports refused for another weight version.
    WrongVersion,
    /// KV cache blocks imported.
    Imports,
    /// Logical bytes imported.
    ImportedBytes,
    /// KV cache blocks exported.
    Exports,
    /// Logical bytes exported.
    ExportedBytes,
    /// Blocks whose bytes do not match their key and version, or that were read while incomplete.
    WrongBlockRead,
    /// Cached blocks used although computed from other tokens or weights.
    WrongPrefixRead,
    /// Orders executed.
    Orders,
    /// Orders executed despite an outdated fencing token.
    StaleOrdersRun,
    /// Orders refused for an outdated fencing token.
    StaleOrdersRefused,
    /// Peak of concurrent weight loads over all engines that share a loader.
    LoadingPeak,
    /// Blocks written.
    BlockWrites,
    /// Logical bytes written to blocks.
    BlockBytesWritten,
    /// Blocks read.
    BlockReads,
    /// Logical bytes read from blocks.
    BlockBytesRead,
    /// Block reads served from disk.
    DiskReads,
    /// Manifests written.
    ManifestWrites,
    /// Manifest lookups.
    Lookups,
    /// Block writes refused because the store is full.
    Full,
    /// Repeated attempt ids, or repeated runs of an idempotency key or body reference by unsafe
    /// methods.
    Duplicates,
    /// Restarts of the process.
    Restarts,
}

/// Snapshot of a stand-in's counters.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Counters(BTreeMap<Counter, u64>);

impl Counters {
    /// Value of a counter.
    pub fn get(&self, counter: Counter) -> u64 {
        self.0.get(&counter).copied().unwrap_or(0)
    }

    /// Counters above zero, in the order of [`Counter`].
    pub fn iter(&self) -> impl Iterator<Item = (Counter, u64)> {
        self.0.iter().map(|(counter, value)| (*counter, *value))
    }
}

/// Counters shared between threads.
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

    /// Adds `number`.
    pub fn add(&self, counter: Counter, number: u64) {
        self.0[counter as usize].fetch_add(number, Ordering::Relaxed);
    }

    /// Raises a counter to at least `number`.
    pub fn raise(&self, counter: Counter, number: u64) {
        self.0[counter as usize].fetch_max(number, Ordering::Relaxed);
    }

    /// Current values, without zeros.
    pub fn read(&self) -> Counters {
        let values = Counter::iter().map(|c| (c, self.0[c as usize].load(Ordering::Relaxed)));
        Counters(values.filter(|(_, value)| *value > 0).collect())
    }
}
