//! Online estimates that age.

use std::time::Duration;

use crate::Time;

/// Weight of a new sample.
const GAIN: f64 = 0.2;
/// Age at which an estimate counts for half, the rest being the prior; at twice that for a third.
const HALF_LIFE: Duration = Duration::from_secs(60);

/// A rate learnt from samples, in units a second.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rate {
    value: Option<f64>,
    at: Time,
}

impl Rate {
    /// Takes `amount` done in `took` in; too short a time says nothing.
    pub fn observe(&mut self, now: Time, amount: f64, took: Duration) {
        let seconds = took.as_secs_f64();
        if seconds <= 0.0 || amount <= 0.0 {
            return;
        }
        let sample = amount / seconds;
        self.value = Some(match self.value {
            Some(value) => value + GAIN * (sample - value),
            None => sample,
        });
        self.at = now;
    }

    /// The rate at `now`, drawn towards `prior` with age.
    pub fn at(&self, now: Time, prior: f64) -> f64 {
        let Some(value) = self.value else { return prior };
        let age = now.saturating_sub(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        let weight = 1.0 / (1.0 + age);
        prior + weight * (value - prior)
    }
}
