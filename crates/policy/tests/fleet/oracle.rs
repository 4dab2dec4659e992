//! Properties that must hold in every scenario.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use acacia_catalog::id::{Name, Revision};
use acacia_policy::control::{ChangeOutcome, ClaimOutcome};
use acacia_policy::{Snapshot, Verdict};

use super::engine::Engine;

/// Time within which an accepted change must be in force at every daemon.
pub const IN_FORCE_TIME: Duration = Duration::from_secs(2);
/// Maximum concurrent weight loads.
const MAX_LOADS: u32 = 2;

/// State of one idempotency key.
#[derive(Clone, Debug, Default)]
struct KeyRecord {
    /// Grants, less those whose request is known not to have run.
    open: u32,
    finished: bool,
}

/// Checks the properties.
#[derive(Default)]
pub struct Oracle {
    /// The first violation.
    pub violation: Option<String>,
    keys: BTreeMap<u32, KeyRecord>,
    revisions: BTreeMap<u64, Revision>,
    accepted: BTreeMap<Revision, Accepted>,
    rejected: BTreeSet<Name>,
    pub permitted_starts: u64,
    pub granted_claims: u64,
}

/// An accepted change.
struct Accepted {
    change: Name,
    at: Duration,
    closed: BTreeSet<Name>,
}

impl Oracle {
    /// Checks that a cold upstream doesn't exceed its cold limit.
    pub fn started(&mut self, name: &str, engine: &Engine, permitted: u32) {
        self.permitted_starts += 1;
        if engine.cold && permitted > engine.cold_limit {
            self.fail(format!("cold limit: {name} runs {permitted} of {}", engine.cold_limit));
        }
    }

    /// Checks that a daemon that has seen a cold incarnation sends it nothing without a permit.
    pub fn started_unpermitted(&mut self, name: &str, engine: &Engine, seen: bool) {
        if engine.cold && seen {
            self.fail(format!("cold start: {name} was sent a request without a permit"));
        }
    }

    /// Checks that a daemon that knows an upstream to be closed gets no permit for it.
    pub fn permitted(&mut self, name: &str, closed: bool) {
        if closed {
            self.fail(format!("closed: {name} got a permit"));
        }
    }

    /// Checks that, in the absence of faults, an upstream out of service gets no new requests once
    /// [`IN_FORCE_TIME`] has passed.
    ///
    /// `newest` is the revision held by the service: a later one whose operator got no answer, as
    /// the daemon died, may have opened the upstream again.
    pub fn opened(
        &mut self,
        now: Duration,
        healthy_since: Duration,
        newest: Revision,
        name: &Name,
    ) {
        let Some((revision, last)) = self.accepted.last_key_value() else { return };
        if newest > *revision {
            return;
        }
        if last.closed.contains(name) && now > last.at.max(healthy_since) + IN_FORCE_TIME {
            let revision = *revision;
            self.fail(format!(
                "closed: {name}, out of service by revision {revision}, was sent a request"
            ));
        }
    }

    /// Checks that a claimed request runs at most once.
    pub fn claimed(&mut self, key: u32, outcome: &ClaimOutcome) {
        let record = self.keys.entry(key).or_default();
        match outcome {
            ClaimOutcome::Granted => {
                record.open += 1;
                self.granted_claims += 1;
                if record.open > 1 {
                    self.fail(format!("at most once: key {key} was granted twice"));
                }
            }
            ClaimOutcome::Taken { verdict: Verdict::Ran, .. } if !record.finished => {
                self.fail(format!("claims: key {key} is reported as run but has not finished"));
            }
            _ => {}
        }
    }

    /// Notes the end of a claimed request.
    pub fn claim_ended(&mut self, key: u32, verdict: Verdict) {
        let record = self.keys.entry(key).or_default();
        record.finished |= verdict == Verdict::Ran;
        record.open -= u32::from(verdict == Verdict::NotRun);
    }

    /// Checks that a daemon's configuration never reverts.
    pub fn published(&mut self, node: u64, snapshot: &Snapshot) {
        let known = self.revisions.entry(node).or_default();
        if snapshot.revision < *known {
            let was = *known;
            self.fail(format!("revert: daemon {node} from {was} to {}", snapshot.revision));
            return;
        }
        *known = snapshot.revision;
    }

    /// Notes the outcome of a change; checks that no two changes become the same revision.
    pub fn changed(
        &mut self,
        now: Duration,
        change: &Name,
        outcome: &ChangeOutcome,
        closed: BTreeSet<Name>,
    ) {
        match outcome {
            ChangeOutcome::Accepted(revision) => {
                let accepted = Accepted { change: change.clone(), at: now, closed };
                let other = self.accepted.insert(*revision, accepted);
                if other.is_some_and(|o| o.change != *change) {
                    self.fail(format!("configuration: two changes became revision {revision}"));
                }
            }
            ChangeOutcome::Conflict(_) | ChangeOutcome::Invalid(_) | ChangeOutcome::Unavailable => {
                self.rejected.insert(change.clone());
            }
            ChangeOutcome::Unknown => {}
        }
    }

    /// Checks that, in the absence of faults, an accepted change comes into force in time.
    pub fn in_force(
        &mut self,
        now: Duration,
        healthy_since: Duration,
        revision: Revision,
        node: u64,
    ) {
        let due = |a: &Accepted| now > a.at.max(healthy_since) + IN_FORCE_TIME;
        let late = self.accepted.iter().find(|(r, a)| **r > revision && due(a)).map(|(r, _)| *r);
        if let Some(late) = late {
            self.fail(format!("in force: daemon {node} has {revision}, not {late}"));
        }
    }

    /// Checks that a refused change is in no history.
    pub fn history(&mut self, changes: impl Iterator<Item = Name>) {
        let wrong: Vec<Name> = changes.filter(|c| self.rejected.contains(c)).collect();
        if let Some(change) = wrong.first() {
            self.fail(format!("configuration: refused change {change} is in force"));
        }
    }

    /// Checks that at most two weight loads run at a time.
    pub fn loading(&mut self, engines: impl Iterator<Item = u32>) {
        let loads: u32 = engines.sum();
        if loads > MAX_LOADS {
            self.fail(format!("loads: {loads} run at once"));
        }
    }

    /// Notes a violation.
    pub fn fail(&mut self, what: String) {
        self.violation.get_or_insert(what);
    }
}
