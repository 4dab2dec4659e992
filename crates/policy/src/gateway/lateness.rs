//! How much later than expected a peer answers, as an average that decays with time.

use std::time::Duration;

use crate::Time;

/// Weight of the latest observation, which makes the average cover about the last five.
const WEIGHT: f64 = 0.3;

/// An average of recent delays. It decays, so that a peer that was avoided is tried again.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lateness {
    seconds: f64,
    at: Time,
}

impl Lateness {
    /// Adds a delay. The average halves within each `half_life` without observations.
    pub fn observe(&mut self, now: Time, late: Duration, half_life: Duration) {
        let before = self.seconds(now, half_life);
        self.seconds = before + WEIGHT * (late.as_secs_f64() - before);
        self.at = now;
    }

    /// The average in seconds.
    pub fn seconds(&self, now: Time, half_life: Duration) -> f64 {
        if self.seconds == 0.0 {
            return 0.0;
        }
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.seconds * 0.5_f64.powf(age / half_life.as_secs_f64())
    }
}
