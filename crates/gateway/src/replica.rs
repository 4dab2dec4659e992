//! The local replica of the metadata store.
//!
//! The replica never goes back: configurations and weights keep the newest version seen, and after
//! the store was restored from an older copy, [`Carryover`] keeps what the copy lacks until its
//! writers have written it again.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use acacia_platform::document::{self, Announcement, Subject};
use acacia_platform::instance::{AnnouncementTimes, OrderLease, Software};
use acacia_platform::{Document, store};
use acacia_policy::Time;
use acacia_policy::gateway::canary;
use acacia_policy::gateway::configuration::{ModelName, ServiceName, ZoneName};
use acacia_policy::gateway::inventory::{Inventory, Progress};
use acacia_policy::gateway::software;
use acacia_policy::gateway::{
    Configuration, EXPIRY_LIMIT, Server, ServerId, SoftwareVersion, WeightVersion, Weights,
};
use acacia_policy::kv::{Era, LeaseId, Revision};

use crate::carryover::{Carryover, Departures};
use instance::Registration;

mod instance;
mod rollout;
mod view;

/// Longest time from an answer to the next one while this process runs: the pause between two watches
/// and the wait of one.
const ANSWER_GAP: Duration = Duration::from_millis(1_500);
/// Longest time from an answer to the first failure after it while this process runs.
const FAILURE_GAP: Duration = Duration::from_secs(4);
/// How long an expired entry is kept from the return of the metadata store on.
const EXPIRED_RETENTION: Duration = Duration::from_secs(4);

/// A replica of the metadata store's contents.
#[derive(Debug, Default)]
pub struct Replica {
    configuration: Option<Arc<Configuration>>,
    servers: BTreeMap<ServerId, Arc<Server>>,
    /// Upstreams whose entries may have expired in an outage, and when the metadata store was back.
    expired: BTreeMap<ServerId, (Arc<Server>, Time)>,
    evacuated: BTreeSet<ZoneName>,
    weights: BTreeMap<ModelName, Weights>,
    /// Orders to move traffic to new software versions, and their recorded states.
    rollouts: BTreeMap<ServiceName, canary::Listing>,
    /// Announcement times that the metadata store holds.
    announcements: AnnouncementTimes,
    announcements_revision: Revision,
    /// Those times, and times of earlier eras that the store may have lost.
    known_announcements: AnnouncementTimes,
    /// Software versions that the metadata store holds, and the revision of that entry.
    software: Software,
    software_revision: Revision,
    /// When an entry with each version of a service was last received, or was last listed.
    software_seen: BTreeMap<(ServiceName, SoftwareVersion), Time>,
    instances: BTreeMap<String, Registration>,
    holder: Option<Holder>,
    inventories: BTreeMap<String, (Arc<Inventory>, Revision)>,
    era: Era,
    /// The revision up to which changes were applied.
    revision: Revision,
    /// The same for entries that were also read apart, by their prefix in [`document::URGENT`].
    urgent_revisions: [Revision; document::URGENT.len()],
    /// The last known change that removed a part from an inventory.
    last_removal: Revision,
    /// When the current era was noticed; none if no earlier one was seen.
    era_began: Option<Time>,
    carryover: Carryover,
    departures: Departures,
    as_of: Time,
    /// When the contents were last known to be complete; none while the metadata store fails.
    complete_at: Option<Time>,
    /// The changes of the latest answer were made after this time, if it is known.
    changed_after: Option<Time>,
    server_clock: Option<(Time, u64)>,
    last_holder_write: Time,
    /// When the metadata store was last back after an outage.
    returned: Option<Time>,
    /// When the last answer was received.
    answered: Time,
    /// Calls that failed since.
    failures: u32,
    unavailable_since: Option<Time>,
    is_current: bool,
    own_incarnation: u64,
}

/// The holder of the order lease.
#[derive(Clone, Debug, PartialEq)]
pub struct Holder {
    /// The state that it published.
    pub holding: OrderLease,
    /// Revision of its last write.
    pub revision: Revision,
    /// Revision at which it acquired the lease, which determines the fencing token.
    pub created: Revision,
    /// The lease that its entry is under, if the metadata store states it.
    pub lease: Option<LeaseId>,
}

/// An update of the replica, for the log.
#[derive(Debug, PartialEq)]
pub enum Update {
    /// A newer configuration.
    Configuration(u64),
    /// An upstream was added or changed.
    Server(ServerId),
    /// An upstream was removed.
    ServerGone(ServerId),
    /// An upstream's entry disappeared during a disruption of the metadata store.
    ServerLapsed(ServerId),
    /// A zone was evacuated; it receives no new requests.
    Evacuated(ZoneName),
    /// A zone's evacuation ended.
    Restored(ZoneName),
    /// Newer weights were announced.
    Weights(ModelName, WeightVersion),
    /// An order to move a service's traffic was written or removed.
    Rollout(ServiceName),
    /// The state of such an order was recorded.
    RolloutState(ServiceName, canary::State),
    /// The holder of the order lease, or its published state, changed.
    Holder,
    /// The registered instances changed; their number.
    Instances(usize),
    /// The inventory of a KV cache store changed.
    Stock(String),
    /// The metadata store was restored from an older copy; its new era.
    Era(Era),
    /// A malformed value was ignored.
    Malformed {
        /// The key.
        key: String,
        /// Why the value is malformed.
        problem: String,
    },
}

impl Replica {
    /// An empty replica; `own_incarnation` identifies this process.
    pub fn new(own_incarnation: u64) -> Self {
        Self { own_incarnation, ..Self::default() }
    }

    /// Announcement times that this instance observed and that the metadata store does not hold
    /// yet, merged with those that it holds.
    pub fn unwritten_announcements(&self) -> Option<(AnnouncementTimes, Revision)> {
        let (known, clock) = self.server_clock?;
        let mut announcements = self.known_announcements.clone();
        for (model, weights) in &self.weights {
            let times = announcements.0.entry(model.clone()).or_default();
            for (version, received) in weights.iter().filter(|(_, received)| *received > Time::ZERO)
            {
                let age = known.saturating_sub(received).as_millis();
                let after = received.saturating_sub(known).as_millis();
                let announced = clock.saturating_add(after as u64).saturating_sub(age as u64);
                times.entry(version).or_insert(announced);
            }
            while times.len() > Weights::VERSIONS {
                times.pop_first();
            }
        }
        announcements.0.retain(|_, times| !times.is_empty());
        let revision = self.revision_in_era(self.announcements_revision);
        let is_held = match revision.number {
            0 => announcements.0.is_empty(),
            _ => announcements == self.announcements,
        };
        (!is_held).then_some((announcements, revision))
    }

    /// The software versions that serve now or did within [`software::RETENTION`], if the metadata
    /// store holds others.
    pub fn unwritten_software(&mut self, now: Time) -> Option<(Software, Revision)> {
        let listed = self.servers.values().map(|server| (&server.service, &server.software));
        for (service, version) in listed {
            self.software_seen.insert((service.clone(), version.clone()), now);
        }
        // What was recorded before this instance started counts as seen then.
        for (service, versions) in &self.software.0 {
            for version in versions {
                self.software_seen.entry((service.clone(), version.clone())).or_insert(now);
            }
        }
        self.software_seen.retain(|_, seen| now < *seen + software::RETENTION);
        let mut software = Software::default();
        for (service, version) in self.software_seen.keys() {
            software.0.entry(service.clone()).or_default().insert(version.clone());
        }
        let revision = self.revision_in_era(self.software_revision);
        let is_held = match revision.number {
            0 => software.0.is_empty(),
            _ => software == self.software,
        };
        (!is_held).then_some((software, revision))
    }

    /// The revision of an entry as far as the current era has it: an entry of an earlier one that
    /// was not written again is absent.
    fn revision_in_era(&self, revision: Revision) -> Revision {
        if revision.era == self.era { revision } else { Revision::absent(self.era) }
    }

    /// The configuration in force.
    pub fn configuration(&self) -> Option<&Arc<Configuration>> {
        self.configuration.as_ref()
    }

    /// The last written inventory of a KV cache store, and its revision.
    pub fn inventory(&self, service: &str) -> Option<(&Arc<Inventory>, Revision)> {
        self.inventories.get(service).map(|(inventory, revision)| (inventory, *revision))
    }

    /// The time up to which all changes are known.
    pub fn as_of(&self) -> Time {
        self.as_of
    }

    /// Records that a call sent at `sent` was answered, so that the replica is at least as recent.
    pub fn confirm(&mut self, sent: Time) {
        self.as_of = self.as_of.max(sent);
    }

    /// The revision up to which all changes were applied.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Records that all changes up to a revision were applied.
    pub fn advance(&mut self, revision: Revision) {
        self.revision = self.revision.max(revision);
    }

    /// The revision up to which all changes with an urgent prefix were applied.
    pub fn urgent_revision(&self, prefix: usize) -> Revision {
        self.revision.max(self.urgent_revisions[prefix])
    }

    /// Records that all changes with an urgent prefix were applied up to a revision.
    pub fn advance_urgent(&mut self, prefix: usize, revision: Revision) {
        self.urgent_revisions[prefix] = self.urgent_revision(prefix).max(revision);
    }

    /// The revision up to which changes of a key were applied.
    fn applied_revision(&self, key: &str) -> Revision {
        let prefix = document::URGENT.iter().position(|prefix| key.starts_with(prefix));
        prefix.map_or(self.revision, |prefix| self.urgent_revision(prefix))
    }

    /// Records that the servers' clock showed `millis`, in milliseconds, at `now`.
    pub fn set_server_clock(&mut self, now: Time, millis: u64) {
        self.server_clock = Some((now, millis));
    }

    /// The listed upstreams.
    pub fn servers(&self) -> &BTreeMap<ServerId, Arc<Server>> {
        &self.servers
    }

    /// The announced weights by model.
    pub fn weights(&self) -> &BTreeMap<ModelName, Weights> {
        &self.weights
    }

    /// How many engines already have the newest weights, and when these were announced.
    pub fn rollout_progress(&self, now: Time, limit: Duration) -> Progress {
        let loaded = self.holder.as_ref().map(|holder| &holder.holding.loaded);
        let (mut engines, mut current) = (0_u32, 0_u32);
        for (id, server) in &self.servers {
            for (model, version) in &server.models {
                let Some(newest) = self.weights.get(model).map(Weights::version) else { continue };
                let seen = loaded.and_then(|loaded| loaded.get(id)?.get(model));
                engines += 1;
                current += u32::from(*version >= newest || seen.is_some_and(|v| *v >= newest));
            }
        }
        let announced = self.weights.values().map(Weights::announced_at).max().unwrap_or_default();
        let updated_share = f64::from(current) / f64::from(engines.max(1));
        Progress { updated_share, age: now.saturating_sub(announced), limit }
    }

    /// The holder of the order lease.
    pub fn holder(&self) -> Option<&Holder> {
        self.holder.as_ref()
    }

    /// Applies this instance's own write as the holder, before the watch delivers it.
    pub fn apply_own_write(&mut self, holding: OrderLease, revision: Revision) {
        if let Some(holder) =
            self.holder.as_mut().filter(|h| h.holding.incarnation == holding.incarnation)
            && holder.revision < revision
        {
            holder.holding = holding;
            holder.revision = revision;
        }
    }

    /// The latest time at which another holder may have written its state.
    pub fn last_holder_write(&self) -> Time {
        self.last_holder_write
    }

    /// Whether any engine is reloading.
    pub fn is_reloading(&self) -> bool {
        self.holder.as_ref().is_some_and(|holder| !holder.holding.loading.is_empty())
    }

    /// Whether all entries were read at least once and the metadata store answers.
    pub fn is_current(&self) -> bool {
        self.is_current && self.unavailable_since.is_none()
    }

    /// The era of the metadata store that the replica reflects.
    pub fn era(&self) -> Era {
        self.era
    }

    /// When that era was noticed; none if no earlier one was seen.
    pub fn era_began(&self) -> Option<Time> {
        self.era_began
    }

    /// Records a failed call to the metadata store; true if it was the first after an answer.
    pub fn fail(&mut self, now: Time) -> bool {
        self.failures += 1;
        // After a longer gap, this process was suspended before the failure.
        self.complete_at = self.complete_at.filter(|at| now > *at + FAILURE_GAP);
        let was_available = self.unavailable_since.is_none();
        self.unavailable_since.get_or_insert(now);
        was_available
    }

    /// Records an answer; returns the time of the first failure before it.
    pub fn recover(&mut self, now: Time) -> Option<Time> {
        // A watch that is cut once is no outage: no lease expires meanwhile.
        let is_outage = self.failures > 1 || now > self.answered + ANSWER_GAP;
        if self.unavailable_since.is_some() && is_outage {
            self.returned = Some(now);
        }
        (self.failures, self.answered) = (0, now);
        self.changed_after = self.complete_at;
        // An answer that took longer may have been in transit for all the time.
        let is_prompt = now <= self.as_of + ANSWER_GAP;
        self.complete_at = Some(if is_prompt { now } else { self.as_of });
        self.unavailable_since.take()
    }

    /// Replaces the contents with all entries of the metadata store, read at a revision. A listing
    /// of an earlier era is ignored.
    pub fn replace(
        &mut self,
        now: Time,
        revision: Revision,
        entries: &[store::Change],
    ) -> Vec<Update> {
        let mut updates = Vec::new();
        if revision.era < self.era {
            return updates;
        }
        if self.is_current && revision.era > self.era {
            self.begin_era(now);
            updates.push(Update::Era(revision.era));
        }
        self.era = revision.era;
        self.revision = revision;
        // Removals before it may have been missed.
        self.last_removal = revision;
        let listed: BTreeSet<&str> = entries.iter().map(|entry| &*entry.key).collect();
        // Urgent entries may be known at a later revision than that of the listing.
        let is_older = |key: &str| self.applied_revision(key) > revision;
        let keys = self.keys().into_iter();
        let removed: Vec<String> =
            keys.filter(|key| !listed.contains(&**key) && !is_older(key)).collect();
        for key in removed {
            updates.extend(self.remove(now, &key));
        }
        for entry in entries {
            let applied = self.applied_revision(&entry.key);
            if applied <= revision || entry.revision > applied {
                updates.extend(self.set(now, entry));
            }
        }
        // Earlier writes of another holder may have been missed.
        self.last_holder_write = now;
        self.is_current = true;
        updates
    }

    /// Applies one change from the watch; one of another era, or one that was applied before, is ignored.
    pub fn apply(&mut self, now: Time, change: &store::Change) -> Option<Update> {
        // Two reads of changes may overlap.
        let is_applied = change.revision <= self.applied_revision(&change.key);
        if change.revision.era != self.era || is_applied {
            return None;
        }
        // Its writer has written the entry again.
        self.carryover.forget(&Subject::of(&change.key));
        if let (None, Subject::Inventory(_)) = (&change.value, Subject::of(&change.key)) {
            self.last_removal = self.last_removal.max(change.revision);
        }
        match &change.value {
            Some(_) => self.set(now, change),
            None => self.remove(now, &change.key),
        }
    }

    /// Prepares for the contents of an older copy.
    fn begin_era(&mut self, now: Time) {
        self.era_began = Some(now);
        // Servers may have to write their entries again.
        self.returned = Some(now);
        let closed = self.servers.values().filter(|server| server.leaving).cloned();
        let closed = closed.chain(self.departures.recent(now)).collect();
        self.carryover = Carryover::new(now, self.evacuated.clone(), self.presences(), closed);
    }

    fn set(&mut self, now: Time, change: &store::Change) -> Option<Update> {
        let store::Change { key, value, revision, .. } = change;
        let (value, revision) = (value.as_deref()?, *revision);
        match Subject::of(key) {
            Subject::Configuration => self.set_configuration(key, value),
            Subject::Evacuation(zone) => {
                let zone: ZoneName = zone.into();
                self.evacuated.insert(zone.clone()).then_some(Update::Evacuated(zone))
            }
            Subject::Weights(model) => self.set_weights(now, key, model, value),
            Subject::Rollout(service) => self.set_rollout(now, change, service, value),
            Subject::RolloutState(service) => self.set_rollout_state(change, service, value),
            Subject::Server(id) => self.set_server(now, key, id, value),
            Subject::Instance(name) => self.set_instance(now, change, name, value),
            Subject::AnnouncementTimes => self.set_announcement_times(key, value, revision),
            Subject::Software => match Software::decode("", value) {
                Ok(software) => {
                    (self.software, self.software_revision) = (software, revision);
                    None
                }
                Err(problem) => Some(malformed(key, value, &problem)),
            },
            Subject::Inventory(service) => self.set_inventory(key, service, value, revision),
            Subject::Holder => self.set_holder(now, change, value),
            Subject::Other => None,
        }
    }

    fn set_announcement_times(
        &mut self,
        key: &str,
        value: &[u8],
        revision: Revision,
    ) -> Option<Update> {
        match AnnouncementTimes::decode("", value) {
            Ok(announcements) => {
                for (model, times) in &announcements.0 {
                    let known = self.known_announcements.0.entry(model.clone()).or_default();
                    for (version, announced) in times {
                        // An instance that started later may have seen the version announced again.
                        let earliest = known.entry(*version).or_insert(*announced);
                        *earliest = (*earliest).min(*announced);
                    }
                }
                self.announcements = announcements;
                self.announcements_revision = revision;
                None
            }
            Err(problem) => Some(malformed(key, value, &problem)),
        }
    }

    fn set_inventory(
        &mut self,
        key: &str,
        service: &str,
        value: &[u8],
        revision: Revision,
    ) -> Option<Update> {
        match Inventory::decode(service, value) {
            Ok(inventory) => {
                let old = self.inventories.get(service).map(|(old, _)| old);
                if old.is_some_and(|old| !old.is_contained_in(&inventory)) {
                    self.last_removal = self.last_removal.max(revision);
                }
                self.inventories.insert(service.to_owned(), (Arc::new(inventory), revision));
                Some(Update::Stock(service.to_owned()))
            }
            Err(problem) => Some(malformed(key, value, &problem)),
        }
    }

    fn set_holder(&mut self, now: Time, change: &store::Change, value: &[u8]) -> Option<Update> {
        let store::Change { key, revision, created, lease, .. } = change;
        let revision = *revision;
        match OrderLease::decode("", value) {
            Ok(holding) => {
                let created = match &self.holder {
                    Some(old) if created.number == 0 => old.created,
                    _ => *created,
                };
                if holding.incarnation != self.own_incarnation {
                    self.last_holder_write = now;
                }
                if self.holder.as_ref().is_some_and(|known| known.revision >= revision) {
                    return None;
                }
                self.holder = Some(Holder { holding, revision, created, lease: *lease });
                Some(Update::Holder)
            }
            Err(problem) => Some(malformed(key, value, &problem)),
        }
    }

    /// Applies a configuration; one that is not newer is ignored, whatever order answers arrive in.
    fn set_configuration(&mut self, key: &str, value: &[u8]) -> Option<Update> {
        match Configuration::decode("", value) {
            Ok(configuration) => {
                let known = self.configuration.as_ref().map(|known| known.version);
                if known.is_some_and(|known| known >= configuration.version) {
                    return None;
                }
                let version = configuration.version;
                self.configuration = Some(Arc::new(configuration));
                Some(Update::Configuration(version))
            }
            Err(problem) => Some(malformed(key, value, &problem)),
        }
    }

    fn set_weights(&mut self, now: Time, key: &str, model: &str, value: &[u8]) -> Option<Update> {
        let order = match Announcement::decode(model, value) {
            Ok(order) => order,
            Err(problem) => return Some(malformed(key, value, &problem)),
        };
        // Weights found by the first read were announced at an unknown time.
        let announced = if self.is_current { self.changed_at(now) } else { Time::ZERO };
        let model: ModelName = model.into();
        let weights = self.weights.entry(model.clone()).or_default();
        if weights.version() >= order.version {
            return None;
        }
        weights.announce(order.version, announced);
        Some(Update::Weights(model, order.version))
    }

    /// When a change that is received at `now` counts as made: if this process was suspended before, at
    /// the earliest possible time, as the other instances went on. An outage of the metadata store does
    /// not count, as nobody orders weights meanwhile.
    fn changed_at(&self, now: Time) -> Time {
        self.changed_after.filter(|after| now > *after + ANSWER_GAP).unwrap_or(now)
    }

    fn set_server(&mut self, now: Time, key: &str, id: &str, value: &[u8]) -> Option<Update> {
        match Server::decode(id, value) {
            Ok(server) => {
                let id = server.id.clone();
                self.departures.forget(&id);
                let was_expired = self.expired.remove(&id).is_some();
                let server = Arc::new(server);
                self.see_software(now, &server);
                let old = self.servers.insert(id.clone(), server.clone());
                (was_expired || old != Some(server)).then_some(Update::Server(id))
            }
            Err(problem) => {
                // Without a valid entry, the upstream's address is unknown.
                let _ = self.remove(now, key);
                Some(malformed(key, value, &problem))
            }
        }
    }

    fn remove(&mut self, now: Time, key: &str) -> Option<Update> {
        match Subject::of(key) {
            Subject::Evacuation(zone) => {
                let was_evacuated = self.evacuated.remove(zone);
                let is_carried = self.carryover.evacuated(now).any(|carried| **carried == *zone);
                (was_evacuated && !is_carried).then(|| Update::Restored(zone.into()))
            }
            Subject::Rollout(service) => self.remove_rollout(service),
            Subject::RolloutState(service) => self.remove_rollout_state(service),
            Subject::Server(id) => self.remove_server(now, id),
            Subject::Instance(name) => {
                self.instances.remove(name).map(|_| Update::Instances(self.instances.len()))
            }
            Subject::Holder => self.holder.take().map(|_| Update::Holder),
            Subject::Inventory(service) => {
                self.inventories.remove(service).map(|_| Update::Stock(service.to_owned()))
            }
            Subject::Configuration
            | Subject::Weights(_)
            | Subject::AnnouncementTimes
            | Subject::Software
            | Subject::Other => None,
        }
    }

    /// Records the version of a server that is or was listed. It may disappear before a view shows it.
    fn see_software(&mut self, now: Time, server: &Server) {
        self.software_seen.retain(|_, seen| now < *seen + software::RETENTION);
        let version = (server.service.clone(), server.software.clone());
        self.software_seen.insert(version, now);
    }

    fn remove_server(&mut self, now: Time, id: &str) -> Option<Update> {
        let server = self.servers.remove(id)?;
        self.see_software(now, &server);
        self.departures.add(now, server.clone());
        self.expired.retain(|_, (_, returned)| now < *returned + EXPIRED_RETENTION);
        let id = server.id.clone();
        match self.returned.filter(|at| now < *at + EXPIRY_LIMIT) {
            Some(returned) if !server.leaving => {
                self.expired.insert(id.clone(), (server, returned));
                Some(Update::ServerLapsed(id))
            }
            _ => Some(Update::ServerGone(id)),
        }
    }

    /// Keys of the entries that disappear when they are no longer listed.
    fn keys(&self) -> Vec<String> {
        let servers = self.servers.keys().map(|id| document::server_key(id));
        let zones = self.evacuated.iter().map(|zone| document::evacuation_key(zone));
        let instances = self.instances.keys().map(|name| document::instance_key(name));
        let holder = self.holder.iter().map(|_| document::holder_key());
        let inventories = self.inventories.keys().map(|service| document::inventory_key(service));
        let keys = servers.chain(zones).chain(instances).chain(holder);
        keys.chain(inventories).chain(self.rollout_keys()).collect()
    }
}

fn malformed(key: &str, value: &[u8], problem: &document::Problem) -> Update {
    let problem = format!("{problem}; the value is {}", document::shape(value));
    Update::Malformed { key: key.to_owned(), problem }
}
