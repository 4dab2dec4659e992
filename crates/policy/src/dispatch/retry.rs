//! Whether a request is retried after a failed attempt.

use super::event::Reason;
use crate::Verdict;

/// Most attempts of one request.
pub const MAX_ATTEMPTS: u32 = 6;
/// Retries that one first attempt adds to the budget.
const RETRIES_PER_REQUEST: f64 = 0.2;
/// Most retries that the budget may accumulate.
const MAX_SAVED_RETRIES: f64 = 100.0;
/// Retries in the budget at the start.
const INITIAL_RETRIES: f64 = 10.0;

/// What to do with a request after an attempt failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Next {
    /// Try again from the first output token.
    Retry,
    /// Continue after the output that was sent to the caller.
    Continue,
    /// Refuse it.
    GiveUp(Reason),
}

/// State of a request after a failed attempt.
#[derive(Clone, Copy, Debug)]
pub struct State {
    /// Whether running the request twice does no harm.
    pub idempotent: bool,
    /// Whether the request is a prompt, whose stream can continue on another engine.
    pub resumable: bool,
    /// Whether any attempt so far may have run it.
    pub verdict: Verdict,
    /// Attempts so far.
    pub attempts: u32,
    /// Output tokens that were sent to the caller.
    pub sent: u32,
    /// Whether the deadline for the first byte has passed.
    pub deadline_passed: bool,
}

/// Decides what follows a failed attempt; only a retry that repeats work is charged to `budget`.
pub fn next(state: State, budget: &mut Budget) -> Next {
    if state.verdict != Verdict::NotRun && !state.idempotent {
        return Next::GiveUp(Reason::Interrupted);
    }
    if state.attempts >= MAX_ATTEMPTS {
        return Next::GiveUp(Reason::RetriesSpent);
    }
    if state.sent > 0 {
        return if state.resumable { Next::Continue } else { Next::GiveUp(Reason::Interrupted) };
    }
    if state.deadline_passed {
        return Next::GiveUp(Reason::Deadline);
    }
    if state.verdict != Verdict::NotRun && !budget.spend() {
        return Next::GiveUp(Reason::RetriesSpent);
    }
    Next::Retry
}

/// Limits retries to a share of first attempts.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    available: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Self { available: INITIAL_RETRIES }
    }
}

impl Budget {
    /// Counts a first attempt.
    pub fn earn(&mut self) {
        self.available = (self.available + RETRIES_PER_REQUEST).min(MAX_SAVED_RETRIES);
    }

    /// A budget without a limit, for measurements.
    pub fn unlimited() -> Self {
        Self { available: f64::INFINITY }
    }

    fn spend(&mut self) -> bool {
        let allowed = self.available >= 1.0;
        if allowed {
            self.available -= 1.0;
        }
        allowed
    }
}
