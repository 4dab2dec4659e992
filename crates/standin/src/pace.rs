//! Scaled model time, and resources that serve one after the other.

use std::time::Duration;

use parking_lot::Mutex;
use tokio::time::Instant;

/// Waits below the timer's step are owed instead of slept.
const TIMER_STEP: Duration = Duration::from_millis(1);

/// Real time of a model time, `scale` times faster.
pub fn scaled(model: Duration, scale: f64) -> Duration {
    model.div_f64(scale)
}

/// Time that moving `bytes` takes at a rate; none when the rate is zero.
pub fn transfer(bytes: u64, bytes_per_second: u64) -> Duration {
    match bytes_per_second {
        0 => Duration::ZERO,
        rate => Duration::from_secs_f64(bytes as f64 / rate as f64),
    }
}

/// A resource that serves one after the other, exact on average over many short uses.
#[derive(Debug)]
pub struct Pace(Mutex<Instant>);

impl Default for Pace {
    fn default() -> Self {
        Self(Mutex::new(Instant::now()))
    }
}

impl Pace {
    /// Uses the resource for a while, after those before.
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
