//! Counters of what was sent and received.

use std::sync::atomic::{AtomicU64, Ordering};

/// Totals since the start.
#[derive(Debug, Default)]
pub struct Counters {
    /// Batches delivered.
    pub batches: Counter,
    /// Messages in them.
    pub messages: Counter,
    /// Bytes of their bodies.
    pub bytes: Counter,
    /// Messages given up, because a peer or the receiver's queue would not take them.
    pub dropped: Counter,
    /// Bodies refused as malformed or too large.
    pub refused: Counter,
}

/// One total.
#[derive(Debug, Default)]
pub struct Counter(AtomicU64);

impl Counter {
    /// Adds to it.
    pub fn add(&self, n: usize) {
        self.0.fetch_add(n as u64, Ordering::Relaxed);
    }

    /// Its value.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}
