//! The clock that decisions go by.

use std::time::Duration;

use acacia_policy::Time;
use rustix::time::{ClockId, clock_gettime};

/// Time since the process started.
///
/// It counts the time for which the instance was suspended, unlike the standard library's, so that
/// a lease which ended meanwhile is seen to have ended.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Duration,
}

impl Clock {
    /// A clock that starts at zero.
    pub fn start() -> Self {
        Self { start: boot_time() }
    }

    /// The time.
    pub fn now(&self) -> Time {
        boot_time().saturating_sub(self.start)
    }
}

fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec.unsigned_abs(), u32::try_from(time.tv_nsec).unwrap_or(0))
}
