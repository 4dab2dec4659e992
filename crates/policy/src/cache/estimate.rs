//! Rates estimated from samples, with ageing.

use std::time::Duration;

use crate::Time;

/// Weight of a new sample in the moving average.
const GAIN: f64 = 0.2;
/// Age at which an estimate and the prior have equal weight. At twice that age, the estimate has a
/// third of the weight.
const HALF_LIFE: Duration = Duration::from_secs(60);

/// A rate estimated from samples, in units per second.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rate {
    value: Option<f64>,
    at: Time,
}

impl Rate {
    /// Adds a sample: `amount` processed in `took`. Samples without time or amount are ignored.
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

    /// The rate at `now`, which approaches `prior` as the last sample ages.
    pub fn at(&self, now: Time, prior: f64) -> f64 {
        let Some(value) = self.value else { return prior };
        let age = now.saturating_sub(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        let weight = 1.0 / (1.0 + age);
        prior + weight * (value - prior)
    }
}
