//! Estimates of how long a prompt waits at an engine.
//!
//! Load pattern: prompts arrive faster than the engines' memory is released. A running prompt
//! occupies its tokens until its last event, so memory is exhausted long before slots are. An
//! engine then queues what it can't hold, preempts running prompts and computes them again, and
//! every prompt holds its memory for longer: at an unchanged rate of arrivals the queue never
//! drains. So the wait is estimated from what all instances have running there, by three
//! resources: outstanding prefill, memory and slots. [`Pace`] learns how fast a service's engines
//! release them.

use std::time::Duration;

use super::call::Prompt;
use super::configuration::EngineSpec;
use super::gossip::Load;

/// Prefill rate of an engine before one was observed, in tokens per second: that of the slowest
/// engine in the platform's specifications.
const INITIAL_PREFILL_RATE: f64 = 51_000.0;
/// Factors on the initial rate within which a rate is learned.
const PREFILL_RATE_RANGE: (f64, f64) = (0.5, 4.0);
/// Shortest prefill, in tokens, from which the rate is learned; others take about as long as the
/// rest of the time to the first token.
const MIN_PREFILL_SAMPLE: u64 = 4_000;
/// Weight of one sample in the learned prefill rate.
const PREFILL_RATE_WEIGHT: f64 = 0.05;
/// Time for which a prompt occupies an engine before one was observed.
const INITIAL_RESIDENCE_S: f64 = 1.0;
/// Share of the past that remains in a mean after each sample, which covers about the last hundred.
const MEAN_RETENTION: f64 = 0.99;
/// Share of an engine's memory that running prompts may fill.
const MEMORY_SHARE: f64 = 0.96;
/// Largest share of an engine's memory that a long prompt leaves free, so that short prompts find
/// room beside long ones.
const RESERVE_SHARE: f64 = 0.1;
/// Time to the first token besides prefill and queueing, in seconds, by the platform's
/// specifications.
pub const FIRST_TOKEN_S: f64 = 0.050;

/// Speed of a service's engines, learned from this instance's own requests.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    prefill_rate: f64,
    /// Time for which a prompt occupies memory, weighted by tokens.
    residence: Mean,
    /// Time for which a prompt occupies a slot.
    occupancy: Mean,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            prefill_rate: INITIAL_PREFILL_RATE,
            residence: Mean::default(),
            occupancy: Mean::default(),
        }
    }
}

impl Pace {
    /// Prompt tokens that an engine computes in a second.
    pub fn prefill_rate(&self) -> f64 {
        self.prefill_rate
    }

    /// Records the time to the first token of a prompt that did not wait.
    pub fn observe_prefill(&mut self, tokens: u64, took: Duration) {
        let seconds = took.as_secs_f64() - FIRST_TOKEN_S;
        if tokens < MIN_PREFILL_SAMPLE || seconds <= 0.0 {
            return;
        }
        let (low, high) = PREFILL_RATE_RANGE;
        let sample = tokens as f64 / seconds;
        let sample = sample.clamp(INITIAL_PREFILL_RATE * low, INITIAL_PREFILL_RATE * high);
        self.prefill_rate += PREFILL_RATE_WEIGHT * (sample - self.prefill_rate);
    }

    /// Records for how long a prompt of `tokens` occupied an engine.
    pub fn observe_run(&mut self, tokens: u64, occupied: Duration) {
        self.residence.add(occupied, tokens as f64);
        self.occupancy.add(occupied, 1.0);
    }

    /// Expected time, in seconds, until an engine with a load begins a prompt.
    pub fn wait(&self, load: Load, prompt: &Prompt, spec: &EngineSpec) -> f64 {
        if load.running == 0 {
            return 0.0;
        }
        let prefill = load.prefill_tokens as f64 / self.prefill_rate;
        let capacity = spec.memory_tokens as f64;
        let needed = prompt.memory_tokens() as f64;
        let reserve = needed.min(capacity * RESERVE_SHARE);
        let used = load.memory_tokens as f64;
        let excess = used + needed + reserve - capacity * MEMORY_SHARE;
        let memory = self.residence.seconds() * (excess / used.max(1.0)).clamp(0.0, 1.0);
        let running = f64::from(load.running);
        let excess = running + 1.0 - f64::from(spec.slots.max(1));
        let slots = self.occupancy.seconds() * (excess / running).clamp(0.0, 1.0);
        prefill.max(memory).max(slots)
    }
}

/// A weighted mean of recent times.
#[derive(Clone, Copy, Debug, Default)]
pub struct Mean {
    sum: f64,
    weight: f64,
}

impl Mean {
    /// Adds a time.
    pub fn add(&mut self, time: Duration, weight: f64) {
        self.sum = self.sum * MEAN_RETENTION + time.as_secs_f64() * weight;
        self.weight = self.weight * MEAN_RETENTION + weight;
    }

    /// The mean in seconds; an initial estimate if no time was added.
    pub fn seconds(&self) -> f64 {
        if self.weight > 0.0 { self.sum / self.weight } else { INITIAL_RESIDENCE_S }
    }
}
