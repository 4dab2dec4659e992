//! Calls to the metadata store after failures.
//!
//! Load pattern: the store answers nothing for some seconds, and changes are waiting when it is
//! back. A call that hangs at that moment is only given up at its timeout. So after a failure calls
//! don't wait for changes and are given up early: a store that answers at all answers these within
//! milliseconds, a slow one within a few hundred.

use std::time::Duration;

/// Pause after the first failed call, doubled after each further one.
const MIN_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause after failed calls. A recovered metadata store must be noticed within a second.
const MAX_PAUSE: Duration = Duration::from_millis(400);
/// Time for an answer after a failure.
const PROBE_TIMEOUT: Duration = Duration::from_millis(900);
/// Failures from which the pause no longer grows.
const MAX_FAILURES: u32 = 4;

/// The failures since the last answer.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backoff {
    failures: u32,
}

/// How long a watch lasts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Terms {
    /// How long the store may wait for changes.
    pub wait: Duration,
    /// Time for the answer beyond that.
    pub timeout: Duration,
}

impl Backoff {
    /// Records an answer.
    pub fn answered(&mut self) {
        self.failures = 0;
    }

    /// Records a failure; returns the pause before the next call.
    pub fn failed(&mut self) -> Duration {
        let pause = (MIN_PAUSE * 2_u32.pow(self.failures)).min(MAX_PAUSE);
        self.failures = (self.failures + 1).min(MAX_FAILURES);
        pause
    }

    /// The terms of the next watch, `usual` unless the last call failed.
    pub fn watch(&self, usual: Terms) -> Terms {
        if self.failures == 0 {
            return usual;
        }
        Terms { wait: Duration::ZERO, timeout: PROBE_TIMEOUT.min(usual.timeout) }
    }
}
