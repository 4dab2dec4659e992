//! The promises, a few lines each.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use acacia_catalog::id::{Name, Revision};
use acacia_policy::control::{ChangeOutcome, ClaimOutcome};
use acacia_policy::{Snapshot, Verdict};

use super::engine::Engine;

/// Time in which an accepted change is in force everywhere.
pub const IN_FORCE_TIME: Duration = Duration::from_secs(2);
/// Most weight loads at once.
const MAX_LOADS: u32 = 2;

/// What became of one key.
#[derive(Clone, Debug, Default)]
struct KeyRecord {
    /// Grants whose request was not told to have not run.
    open: u32,
    finished: bool,
}

/// Watches over the promises.
#[derive(Default)]
pub struct Oracle {
    /// The first broken promise.
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
    /// A cold upstream never runs more than it bears.
    pub fn started(&mut self, name: &str, engine: &Engine, permitted: u32) {
        self.permitted_starts += 1;
        if engine.cold && permitted > engine.cold_limit {
            self.fail(format!("cold limit: {name} runs {permitted} of {}", engine.cold_limit));
        }
    }

    /// A daemon that has seen a cold process life sends nothing to it without a permit.
    pub fn started_unpermitted(&mut self, name: &str, engine: &Engine, seen: bool) {
        if engine.cold && seen {
            self.fail(format!("cold start: {name} was sent work without a permit"));
        }
    }

    /// A closed upstream gets no permit at a daemon that knows.
    pub fn permitted(&mut self, name: &str, closed: bool) {
        if closed {
            self.fail(format!("closed: {name} got a permit"));
        }
    }

    /// In calm weather an upstream that is out gets no new work after a while.
    ///
    /// `newest` is the revision that the service holds: a later one whose operator was never told,
    /// because the daemon died, may have opened the upstream again.
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
            self.fail(format!("closed: {name}, out by {revision}, was sent work"));
        }
    }

    /// A claimed request runs at most once.
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
                self.fail(format!("claims: key {key} is said to have run"));
            }
            _ => {}
        }
    }

    /// A claimed request ended.
    pub fn claim_ended(&mut self, key: u32, verdict: Verdict) {
        let record = self.keys.entry(key).or_default();
        record.finished |= verdict == Verdict::Ran;
        record.open -= u32::from(verdict == Verdict::NotRun);
    }

    /// A configuration never reverts, and is the accepted one.
    pub fn published(&mut self, node: u64, snapshot: &Snapshot) {
        let known = self.revisions.entry(node).or_default();
        if snapshot.revision < *known {
            let was = *known;
            self.fail(format!("revert: daemon {node} from {was} to {}", snapshot.revision));
            return;
        }
        *known = snapshot.revision;
    }

    /// An operator was told what became of a change.
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

    /// In calm weather an accepted change is in force everywhere in time.
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

    /// A change that was refused is in no history.
    pub fn history(&mut self, changes: impl Iterator<Item = Name>) {
        let wrong: Vec<Name> = changes.filter(|c| self.rejected.contains(c)).collect();
        if let Some(change) = wrong.first() {
            self.fail(format!("configuration: refused change {change} is in force"));
        }
    }

    /// At most two weight loads run at once.
    pub fn loading(&mut self, engines: impl Iterator<Item = u32>) {
        let loads: u32 = engines.sum();
        if loads > MAX_LOADS {
            self.fail(format!("loads: {loads} at once"));
        }
    }

    /// Notes a broken promise.
    pub fn fail(&mut self, what: String) {
        self.violation.get_or_insert(what);
    }
}
