//! Which version of a service a request may go to.

use std::collections::{BTreeMap, BTreeSet};

use crate::Time;
use crate::gateway::configuration::ServiceName;
use crate::gateway::gossip::Incarnation;
use crate::gateway::view::SoftwareVersion;
use crate::kv::Revision;

use super::evidence::Evidence;
use super::{Listing, Order, Progress, Rollout, State, Status, Surroundings, Terms};

/// The versions that an attempt may go to; by default all.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Side {
    /// The only version, if there is one.
    pub only: Option<SoftwareVersion>,
    /// Versions that get no requests.
    pub without: Vec<SoftwareVersion>,
}

impl Side {
    /// Whether a version may get the request.
    pub fn accepts(&self, version: &SoftwareVersion) -> bool {
        self.only.as_ref().is_none_or(|only| only == version) && !self.without.contains(version)
    }
}

/// How an order concerns one request.
#[derive(Clone, Debug, Default)]
pub struct Seat {
    /// The versions that its next attempt may go to.
    pub side: Side,
    /// Its draw between the versions, from zero to one.
    pub draw: Option<f64>,
    /// Whether it was sent to the target.
    pub was_at_target: bool,
}

/// How the requests for a service are divided.
#[derive(Clone, Debug, PartialEq)]
pub struct Split {
    /// The target's share; none if there is no order.
    pub target: Option<(SoftwareVersion, f64)>,
    /// Versions that get no requests.
    pub barred: Vec<SoftwareVersion>,
    /// Whether the old upstreams may have stopped.
    pub is_completed: bool,
}

impl Split {
    /// The versions for a request that is drawn for the target.
    pub fn target_side(&self) -> Side {
        let only = self.target.as_ref().map(|(target, _)| target.clone());
        Side { only, without: self.barred.clone() }
    }

    /// The versions for any other request.
    pub fn old_side(&self) -> Side {
        let target = self.target.iter().map(|(target, _)| target.clone());
        Side { only: None, without: self.barred.iter().cloned().chain(target).collect() }
    }

    /// The versions for a request whose version is bound already.
    pub fn bound_side(&self) -> Side {
        if self.is_completed {
            return self.target_side();
        }
        Side { only: None, without: self.barred.clone() }
    }
}

/// Why a version gets no requests although no order is in force for it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Bar {
    /// It was rolled back.
    RolledBack,
    /// Its order was removed or replaced before it was completed; it gets requests if no other version
    /// is listed.
    Unfinished,
}

/// An outcome to record in the metadata store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Resolution {
    /// The revision of the order.
    pub order: Revision,
    /// Its target.
    pub target: SoftwareVersion,
    /// The state.
    pub state: State,
}

impl Resolution {
    /// Whether the metadata store lacks it for an order. A final state is never replaced.
    pub fn is_unrecorded(&self, order: &Order, status: Option<&Status>) -> bool {
        let recorded = status.filter(|status| status.is_of(order)).map(|status| status.state);
        match recorded {
            None => true,
            Some(State::Running) => self.state != State::Running,
            Some(State::Completed | State::RolledBack) => false,
        }
    }
}

/// A change of an order's progress, for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// The service.
    pub service: ServiceName,
    /// The order's target.
    pub target: SoftwareVersion,
    /// The progress from now on.
    pub progress: Progress,
    /// Time since the order.
    pub age: Time,
    /// Responses and bad responses of the old version and of the target, by all instances.
    pub old: (u32, u32),
    /// The same of the target.
    pub new: (u32, u32),
}

/// The orders of all services.
#[derive(Debug, Default)]
pub struct Canaries {
    rollouts: BTreeMap<ServiceName, Rollout>,
    barred: BTreeMap<ServiceName, BTreeMap<SoftwareVersion, Bar>>,
    /// Services for which a version other than the barred ones is listed.
    has_others: BTreeSet<ServiceName>,
    changes: Vec<Change>,
}

impl Canaries {
    /// Whether there is or was an order.
    pub fn is_empty(&self) -> bool {
        self.rollouts.is_empty() && self.barred.is_empty()
    }

    /// The state of a service's order.
    pub fn rollout(&self, service: &ServiceName) -> Option<&Rollout> {
        self.rollouts.get(service)
    }

    /// The state of a service's order.
    pub fn rollout_mut(&mut self, service: &ServiceName) -> Option<&mut Rollout> {
        self.rollouts.get_mut(service)
    }

    /// The services with an order.
    pub fn services(&self) -> Vec<ServiceName> {
        self.rollouts.keys().cloned().collect()
    }

    /// Updates the orders from what the metadata store has. `versions` are those listed, by service.
    pub fn observe(
        &mut self,
        now: Time,
        listings: &BTreeMap<ServiceName, Listing>,
        versions: &BTreeMap<ServiceName, BTreeSet<SoftwareVersion>>,
        terms: Terms,
        own: Incarnation,
    ) {
        for (service, listing) in listings {
            self.begin(now, service, listing, terms, own);
        }
        let none = Listing::default();
        let rollouts = std::mem::take(&mut self.rollouts);
        for (service, mut rollout) in rollouts {
            let listing = listings.get(&service).unwrap_or(&none);
            let before = rollout.progress();
            rollout.observe(now, listing.order.as_ref(), listing.status.as_ref());
            if rollout.progress() != before {
                self.changes.push(change(now, &service, &rollout));
            }
            // Without its order, a completed rollout restricts nothing.
            if !(rollout.is_withdrawn() && rollout.progress() == Progress::Completed) {
                self.rollouts.insert(service, rollout);
            }
        }
        for (service, listing) in listings {
            self.observe_orphan(service, listing);
        }
        let others = self.restricted().into_iter().filter(|(service, unfinished)| {
            let listed = versions.get(service).into_iter().flatten();
            listed.into_iter().any(|version| !unfinished.contains(version))
        });
        self.has_others = others.map(|(service, _)| service).collect();
    }

    /// Begins a newer order.
    fn begin(
        &mut self,
        now: Time,
        service: &ServiceName,
        listing: &Listing,
        terms: Terms,
        own: Incarnation,
    ) {
        let Some(order) = &listing.order else { return };
        let known = self.rollouts.get(service);
        if known.is_some_and(|known| known.order().is_same(order)) {
            return;
        }
        let barred = self.barred.entry(service.clone()).or_default();
        if let Some(known) = known {
            let bar = match known.progress() {
                Progress::Completed => None,
                Progress::RolledBack => Some(Bar::RolledBack),
                _ => Some(Bar::Unfinished),
            };
            barred.extend(bar.map(|bar| (known.order().target.clone(), bar)));
        } else if let Some(status) = &listing.status
            && status.state == State::RolledBack
        {
            barred.insert(status.target.clone(), Bar::RolledBack);
        }
        barred.remove(&order.target);
        if barred.is_empty() {
            self.barred.remove(service);
        }
        let rollout = Rollout::new(now, service.clone(), order.clone(), terms, own);
        self.changes.push(change(now, service, &rollout));
        self.rollouts.insert(service.clone(), rollout);
    }

    /// Learns from a state whose order this instance never saw.
    fn observe_orphan(&mut self, service: &ServiceName, listing: &Listing) {
        let (None, Some(status)) = (&listing.order, &listing.status) else { return };
        if self.rollouts.contains_key(service) {
            return;
        }
        let bar = match status.state {
            State::Completed => return,
            State::RolledBack => Bar::RolledBack,
            State::Running => Bar::Unfinished,
        };
        self.barred.entry(service.clone()).or_default().insert(status.target.clone(), bar);
    }

    /// Services with versions whose order is unfinished, and these versions.
    fn restricted(&self) -> BTreeMap<ServiceName, BTreeSet<SoftwareVersion>> {
        let mut restricted = BTreeMap::<_, BTreeSet<_>>::new();
        for (service, barred) in &self.barred {
            let versions = barred.keys().cloned();
            restricted.entry(service.clone()).or_default().extend(versions);
        }
        for (service, rollout) in self.rollouts.iter().filter(|(_, r)| r.is_withdrawn()) {
            let target = rollout.order().target.clone();
            restricted.entry(service.clone()).or_default().insert(target);
        }
        restricted
    }

    /// How the requests for a service are divided; none if no order concerns it.
    pub fn split(&self, now: Time, service: &ServiceName) -> Option<Split> {
        if self.is_empty() {
            return None;
        }
        let rollout = self.rollouts.get(service);
        let known = self.barred.get(service);
        if rollout.is_none() && known.is_none() {
            return None;
        }
        let has_others = self.has_others.contains(service);
        let is_barred = |bar: Bar| bar == Bar::RolledBack || has_others;
        let known = known.into_iter().flatten().filter(|(_, bar)| is_barred(**bar));
        let mut barred: Vec<_> = known.map(|(version, _)| version.clone()).collect();
        let mut split = Split { target: None, barred: Vec::new(), is_completed: false };
        if let Some(rollout) = rollout {
            let target = rollout.order().target.clone();
            match rollout.progress() {
                Progress::RolledBack => barred.push(target),
                _ if rollout.is_withdrawn() && has_others => barred.push(target),
                _ if rollout.is_withdrawn() => {}
                progress => {
                    split.target = Some((target, rollout.share(now)));
                    split.is_completed = progress == Progress::Completed;
                }
            }
        }
        Some(Split { barred, ..split })
    }

    /// Records what another instance tells.
    pub fn receive(&mut self, now: Time, evidence: &Evidence) {
        for (service, rollout) in &mut self.rollouts {
            let before = rollout.progress();
            if rollout.receive(now, evidence) && rollout.progress() != before {
                self.changes.push(change(now, service, rollout));
            }
        }
    }

    /// Takes the step of a service's order that is due.
    pub fn advance(&mut self, now: Time, service: &ServiceName, around: Surroundings) {
        let Some(rollout) = self.rollouts.get_mut(service) else { return };
        if rollout.advance(now, around).is_some() {
            self.changes.push(change(now, service, rollout));
        }
    }

    /// What the others are to be told.
    pub fn take_evidence(&mut self, now: Time, is_full: bool, is_wide: bool) -> Vec<Evidence> {
        let rollouts = self.rollouts.values_mut();
        rollouts.flat_map(|rollout| rollout.take_evidence(now, is_full, is_wide)).collect()
    }

    /// All that is known, for an instance that starts.
    pub fn all_evidence(&self, now: Time) -> Vec<Evidence> {
        self.rollouts.values().flat_map(|rollout| rollout.all_evidence(now)).collect()
    }

    /// Changes of progress since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }
}

fn change(now: Time, service: &ServiceName, rollout: &Rollout) -> Change {
    let sum = |version| {
        let tally = rollout.ledger().sum(|cell| bool::from(cell.version) == version);
        (tally.responses, tally.failed + tally.slow)
    };
    Change {
        service: service.clone(),
        target: rollout.order().target.clone(),
        progress: rollout.progress(),
        age: now.saturating_sub(rollout.started()),
        old: sum(false),
        new: sum(true),
    }
}
