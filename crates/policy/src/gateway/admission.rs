//! Whether a prompt is worth a place in its engine's queue.
//!
//! Load pattern: more prompts than the engines can serve, for seconds, as after newer weights are
//! announced or while a quarter of the engines is lost. Whatever waits in an engine's queue until
//! it is late takes the engine's time from prompts that could still be in time, so that in the end
//! none is. An engine's queue therefore holds only what can begin in time; everything else is
//! refused at once, as nothing has run yet, and told when room is expected.
//!
//! A refused caller is late when it comes back, however soon that is. So it is told to come back
//! when the queue has probably drained, rather than at the first chance, at which it would often be
//! refused again.
//!
//! A late answer is still of some value to its caller. A prompt that is late already, as its caller
//! was refused before, is served where the wait is short, and yields otherwise. A prompt whose own
//! prefill takes most of the target gets a minimum wait, so that long prompts are not starved.

use std::time::Duration;

use super::call::Prompt;
use super::configuration::EngineSpec;
use super::plan::Plan;
use crate::{Time, Verdict};

/// Share of the latency target within which the first event is expected; the rest allows for the
/// error of the estimate.
const TARGET_SHARE: f64 = 0.9;
/// Wait that any prompt may have that is not late yet, in latency targets.
const MIN_WAIT_TARGETS: f64 = 0.25;
/// Wait that a prompt may have that is late already, in latency targets.
const LATE_WAIT_TARGETS: f64 = 0.3;

/// What to do with a prompt whose best engine is known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// Send it.
    Send,
    /// Refuse it; room is expected after this time.
    Refuse(Duration),
}

/// An engine's memory divided by this is the size up to which a prompt is negligible.
const NEGLIGIBLE_DIVISOR: u64 = 150;

/// Whether a prompt is so small that turning it away would free nothing that others could use.
pub fn is_negligible(prompt: &Prompt, spec: &EngineSpec) -> bool {
    prompt.memory_tokens() * NEGLIGIBLE_DIVISOR <= spec.memory_tokens
}

/// Decides on a prompt that waits for `wait` at its engine and then needs `service` until its first
/// event.
pub fn decide(now: Time, plan: &Plan, wait: Duration, service: Duration) -> Admission {
    // The caller of a request that may have run already would not be told to come back.
    if plan.verdict != Verdict::NotRun {
        return Admission::Send;
    }
    let target = plan.route.latency_target;
    let elapsed = plan.waited + now.saturating_sub(plan.arrived);
    let floor = if elapsed < target { MIN_WAIT_TARGETS } else { LATE_WAIT_TARGETS };
    let in_time = target.mul_f64(TARGET_SHARE).saturating_sub(elapsed + service);
    let allowed = in_time.max(target.mul_f64(floor));
    if wait <= allowed { Admission::Send } else { Admission::Refuse(wait - allowed + target) }
}
