//! The clock that decisions go by.

use std::time::Duration;

use acacia_policy::Time;
use rustix::time::{ClockId, clock_gettime};

/// Time since an hour before the process started, so that what happened before has a time too.
///
/// It counts the time for which the instance was suspended, unlike the standard library's, so that
/// a lease which ended meanwhile is seen to have ended.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Option<Duration>,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self { start: boot_time().checked_sub(HISTORY) }
    }

    /// The time.
    pub fn now(&self) -> Time {
        match self.start {
            Some(start) => boot_time().saturating_sub(start),
            // The machine itself started within the hour.
            None => boot_time() + HISTORY,
        }
    }
}

/// Time before the start that can be told.
const HISTORY: Duration = Duration::from_secs(3_600);

fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec.unsigned_abs(), u32::try_from(time.tv_nsec).unwrap_or(0))
}
