//! What attempts tell about the suspects and the streams of their requests.

use super::machine::Gateway;
use super::plan::{Attempt, Ending, Plan, Reason};
use super::quarantine::{Cause, Finding};
use crate::Time;

impl Gateway {
    /// Records what the end of an attempt tells about the request's suspects and stream.
    pub(super) fn record_evidence(
        &mut self,
        now: Time,
        plan: &mut Plan,
        attempt: &Attempt,
        ending: Ending,
    ) {
        if ending == Ending::Answered {
            self.streams.end(plan.stream);
        }
        let (subjects, server, sent) = (&plan.subjects, &attempt.server, attempt.sent);
        match ending {
            Ending::Answered if attempt.engine.is_none() => {
                self.quarantine.answered(now, subjects, server, sent);
            }
            Ending::Failed if attempt.engine.is_none() => {
                self.quarantine.survived(now, server, sent);
            }
            Ending::Broken if attempt.began.is_none() => {
                plan.crashed = true;
                self.quarantine.crashed(now, subjects, server, sent);
            }
            _ => {}
        }
        if attempt.began.is_none() {
            self.quarantine.given_up(sent, &plan.subjects);
        }
    }

    /// Changes in the restrictions on parts of prompts and on requests since the last call.
    pub fn take_findings(&mut self) -> Vec<Finding> {
        self.quarantine.take_findings()
    }
}

/// The reason for a refusal of a request that a suspect holds back.
pub fn held(cause: Cause) -> Reason {
    match cause {
        Cause::Part(position) => Reason::PartHeld(position),
        Cause::Request => Reason::RequestHeld,
    }
}
