//! Counters of sent and received batches.

use std::sync::atomic::{AtomicU64, Ordering};

/// Totals since the start of the process.
#[derive(Debug, Default)]
pub struct Counters {
    /// Batches delivered.
    pub batches: Counter,
    /// Messages in delivered batches.
    pub messages: Counter,
    /// Bytes of delivered batches.
    pub bytes: Counter,
    /// Messages dropped because they could not be delivered or the receiver's queue was full.
    pub dropped: Counter,
    /// Requests rejected as malformed or too large.
    pub refused: Counter,
}

/// A monotonic counter.
#[derive(Debug, Default)]
pub struct Counter(AtomicU64);

impl Counter {
    /// Adds `n`.
    pub fn add(&self, n: usize) {
        self.0.fetch_add(n as u64, Ordering::Relaxed);
    }

    /// The current value.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}
