//! What a request's suspects allow.

use std::time::Duration;

use super::Cause;
use super::suspect::{Stage, Trial};
use crate::Time;

/// Time between the claim to a trial and its start, in which claims of other instances arrive.
const CLAIM_DELAY: Duration = Duration::from_millis(60);
/// Time after which a trial without an outcome is given up.
pub const TRIAL_SPAN: Duration = Duration::from_secs(1);
/// The same for a suspect that was held.
const HELD_TRIAL_SPAN: Duration = Duration::from_secs(5);
/// Time after which a request that waits for another's trial is decided on again.
const RECHECK_INTERVAL: Duration = Duration::from_millis(25);

/// What the suspects of a request allow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Gate {
    /// The request is sent like any other.
    Open,
    /// The request is sent as the trial of a suspect.
    Trial,
    /// The request is the next trial; decide again at this time.
    Claimed(Time),
    /// Another trial of a suspect is under way.
    Busy {
        /// The suspect.
        cause: Cause,
        /// When to decide again.
        at: Time,
        /// When the trial ends at the latest.
        until: Time,
    },
    /// A suspect is held.
    Held {
        /// The suspect.
        cause: Cause,
        /// When it may be tried.
        until: Time,
    },
}

impl Gate {
    /// The most severe gate of a request's suspects counts.
    pub(super) fn severity(&self) -> (u32, Time) {
        match self {
            Self::Open => (0, Time::ZERO),
            Self::Trial => (1, Time::ZERO),
            Self::Claimed(at) => (2, *at),
            Self::Busy { until, .. } => (3, *until),
            Self::Held { until, .. } => (4, *until),
        }
    }
}

/// What the crashes of one suspect allow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Restriction {
    None,
    Trial,
    /// A trial after a hold.
    HeldTrial,
    Hold(Time),
}

impl Restriction {
    /// Time after which a trial is given up.
    pub fn span(self) -> Duration {
        match self {
            Self::HeldTrial => HELD_TRIAL_SPAN,
            _ => TRIAL_SPAN,
        }
    }

    pub fn gate(self, now: Time, cause: Cause, trial: Option<Trial>) -> Gate {
        match (self, trial) {
            (Self::None, _) => Gate::Open,
            (Self::Hold(until), _) => Gate::Held { cause, until },
            (_, Some(trial)) if now < trial.since + self.span() => {
                let until = trial.since + self.span();
                match (trial.stage, self) {
                    (Stage::Claimed, _) if now >= trial.since + CLAIM_DELAY => Gate::Trial,
                    (Stage::Claimed, _) => Gate::Claimed(trial.since + CLAIM_DELAY),
                    (_, Self::HeldTrial) => Gate::Held { cause, until },
                    _ => Gate::Busy { cause, at: now + RECHECK_INTERVAL, until },
                }
            }
            _ => Gate::Claimed(now + CLAIM_DELAY),
        }
    }
}
