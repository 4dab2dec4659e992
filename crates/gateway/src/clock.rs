//! The monotonic clock that decisions use.

use std::time::Duration;

use acacia_policy::Time;
use rustix::time::{ClockId, clock_gettime};

/// Counts the time since two days before the process started, so that earlier events have a time
/// too.
///
/// Unlike the standard library's clock, it includes the time for which the machine was suspended,
/// so that a lease that expired meanwhile is recognised as expired.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Option<Duration>,
}

impl Clock {
    /// Starts a clock.
    pub fn start() -> Self {
        Self { start: boot_time().checked_sub(HISTORY) }
    }

    /// The current time.
    pub fn now(&self) -> Time {
        match self.start {
            Some(start) => boot_time().saturating_sub(start),
            // The machine itself booted less than an hour ago.
            None => boot_time() + HISTORY,
        }
    }
}

/// How far back before the process's start the clock can express a time: longer than other
/// instances hold back a request.
const HISTORY: Duration = Duration::from_secs(172_800);

fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec.unsigned_abs(), u32::try_from(time.tv_nsec).unwrap_or(0))
}
