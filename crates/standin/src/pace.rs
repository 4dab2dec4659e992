//! Scaled model time, and resources used by one caller at a time.

use std::time::Duration;

use parking_lot::Mutex;
use tokio::time::Instant;

/// Timer resolution; shorter waits are not slept but accumulate in the resource's schedule.
const TIMER_STEP: Duration = Duration::from_millis(1);

/// Converts model time to real time, which is `scale` times shorter.
pub fn scaled(model: Duration, scale: f64) -> Duration {
    model.div_f64(scale)
}

/// Time to transfer `bytes` at a rate; zero if the rate is zero, which means unlimited.
pub fn transfer(bytes: u64, bytes_per_second: u64) -> Duration {
    match bytes_per_second {
        0 => Duration::ZERO,
        rate => Duration::from_secs_f64(bytes as f64 / rate as f64),
    }
}

/// A resource that is used sequentially; many short uses take the right time in total.
#[derive(Debug)]
pub struct Pace(Mutex<Instant>);

impl Default for Pace {
    fn default() -> Self {
        Self(Mutex::new(Instant::now()))
    }
}

impl Pace {
    /// Waits for earlier uses, then occupies the resource for `cost`.
    pub async fn occupy(&self, cost: Duration) {
        let now = Instant::now();
        let end = self.reserve(now, cost);
        if end > now + TIMER_STEP {
            tokio::time::sleep_until(end).await;
        }
    }

    fn reserve(&self, now: Instant, cost: Duration) -> Instant {
        let mut busy_until = self.0.lock();
        let idle = now.saturating_duration_since(*busy_until) > 2 * TIMER_STEP;
        let start = if idle { now } else { *busy_until };
        *busy_until = start + cost;
        *busy_until
    }
}
