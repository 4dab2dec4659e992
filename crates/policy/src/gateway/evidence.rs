//! What attempts tell about the suspects and the streams of their requests.

use std::time::Duration;

use super::forward::PROBE_WAIT;
use super::machine::Gateway;
use super::plan::{Attempt, Ending, Plan, Reason, Step};
use super::quarantine::{Cause, Finding, Settlement};
use crate::Time;

/// Time after a crash by which the upstream is no longer listed. Its entry lapses after some
/// heartbeats, which are about a second apart.
const LISTING_TIME: Duration = Duration::from_secs(5);

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
                if self.reach.is_suspect(&plan.service) || self.reach.is_unreachable(&plan.service)
                {
                    self.quarantine.maybe_crashed(now, subjects, server, sent);
                } else {
                    self.quarantine.crashed(now, subjects, server, sent);
                }
            }
            _ => {}
        }
        if attempt.began.is_none() {
            self.quarantine.given_up(sent, &plan.subjects);
        }
    }

    /// The step of a request under which an upstream crashed, if it isn't sent to another one.
    pub(super) fn crash_step(&mut self, now: Time, plan: &mut Plan) -> Option<Step> {
        if !plan.crashed || !self.quarantine.is_restricted(&plan.subjects) {
            return None;
        }
        let is_certain = self.quarantine.is_restricted_for_all(&plan.subjects);
        let step = if is_certain {
            None
        } else if self.reach.is_suspect(&plan.service) {
            Some(Step::Wait(now + PROBE_WAIT))
        } else if self.reach.is_unreachable(&plan.service) {
            // The instance that reaches the upstreams decides.
            self.path_step(now, plan)
        } else {
            None
        };
        Some(step.unwrap_or_else(|| self.refuse(now, plan, Reason::Broken, None)))
    }

    /// Decides on crashes that a lost path may explain.
    pub(super) fn settle_evidence(&mut self, now: Time) {
        let (reach, roster) = (&self.reach, &self.roster);
        let is_current = self.view.as_ref().is_some_and(|view| view.unavailable_since.is_none());
        self.quarantine.settle(now, |crash| {
            let listed = roster.by_server_key(crash.server).map(|key| roster[key].server.born);
            if listed != Some(crash.born) || !reach.explains_break(crash.service, crash.at) {
                Settlement::Crashed
            } else if is_current && now >= crash.at + LISTING_TIME {
                Settlement::Alive
            } else {
                Settlement::Open
            }
        });
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
