//! The daemon's monotonic clock.

use std::time::{Duration, Instant};

use acacia_policy::Time;

/// Time since a daemon started.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Clock {
    /// Starts a clock at zero.
    pub fn start() -> Self {
        Self(Instant::now())
    }

    /// The current time.
    pub fn now(&self) -> Time {
        self.0.elapsed()
    }

    /// Time left until `time`; zero if it has passed.
    pub fn until(&self, time: Time) -> Duration {
        time.saturating_sub(self.now())
    }
}
