//! The process's monotonic clock, as the decisions count time.

use std::time::{Duration, Instant};

use acacia_policy::Time;

/// Time since a daemon started.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self(Instant::now())
    }

    /// The time now.
    pub fn now(&self) -> Time {
        self.0.elapsed()
    }

    /// How long from now until `time`; zero when it has passed.
    pub fn until(&self, time: Time) -> Duration {
        time.saturating_sub(self.now())
    }
}
