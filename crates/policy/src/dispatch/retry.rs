//! What follows when an attempt did not answer.

use super::event::Reason;
use crate::Verdict;

/// Most attempts of one request.
pub const MAX_ATTEMPTS: u32 = 6;
/// Retries that one first attempt pays for.
const SHARE: f64 = 0.2;
/// Retries that may be saved up.
const BURST: f64 = 100.0;
/// Retries allowed from the start.
const INITIAL: f64 = 10.0;

/// What to do with a request after an attempt failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Next {
    /// Try again from nothing.
    Again,
    /// Go on from what the caller has been sent.
    Continue,
    /// Refuse it.
    GiveUp(Reason),
}

/// What the rule looks at.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    /// Whether running the request twice does no harm.
    pub idempotent: bool,
    /// Whether the request is a prompt, whose stream can go on elsewhere.
    pub resumable: bool,
    /// What is known of all attempts so far.
    pub verdict: Verdict,
    /// Attempts so far.
    pub attempts: u32,
    /// Output tokens that the caller has been sent.
    pub sent: u32,
    /// Whether the deadline for the first byte has passed.
    pub late: bool,
}

/// Decides what follows a failed attempt; `budget` is asked only for a retry that repeats work.
pub fn next(case: Case, budget: &mut Budget) -> Next {
    if case.verdict != Verdict::NotRun && !case.idempotent {
        return Next::GiveUp(Reason::Interrupted);
    }
    if case.attempts >= MAX_ATTEMPTS {
        return Next::GiveUp(Reason::RetriesSpent);
    }
    if case.sent > 0 {
        return if case.resumable { Next::Continue } else { Next::GiveUp(Reason::Interrupted) };
    }
    if case.late {
        return Next::GiveUp(Reason::Deadline);
    }
    if case.verdict != Verdict::NotRun && !budget.spend() {
        return Next::GiveUp(Reason::RetriesSpent);
    }
    Next::Again
}

/// Caps retries at a share of first attempts.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    saved: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Self { saved: INITIAL }
    }
}

impl Budget {
    /// Counts a first attempt.
    pub fn earn(&mut self) {
        self.saved = (self.saved + SHARE).min(BURST);
    }

    /// No cap, for a measurement.
    pub fn unlimited() -> Self {
        Self { saved: f64::INFINITY }
    }

    fn spend(&mut self) -> bool {
        let may = self.saved >= 1.0;
        if may {
            self.saved -= 1.0;
        }
        may
    }
}
