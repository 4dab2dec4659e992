//! What the metadata store says, kept up by its changes.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use acacia_platform::document::{self, Subject, WeightOrder};
use acacia_platform::own::{Holding, Naming, Presence};
use acacia_platform::{Document, store};
use acacia_policy::Time;
use acacia_policy::gateway::configuration::{ModelName, Role, ZoneName};
use acacia_policy::gateway::mesh::Peer;
use acacia_policy::gateway::stock::{Renewal, Shelf, Stock};
use acacia_policy::gateway::{Configuration, Server, ServerId, View, WeightVersion, Weights};
use acacia_policy::kv::{Entry, ModRevision};

/// Time after trouble with the store in which a missing entry may only have lapsed: the time within
/// which a connection that fell silent is noticed, and the entry is back.
const LAPSE_WINDOW: Duration = Duration::from_millis(5_500);
/// Time that a lapsed entry is remembered for.
const LAPSED_RETENTION: Duration = Duration::from_secs(4);
/// Instances that a limit is shared with at least: a fleet that starts at one moment is not yet
/// listed when the first of it looks.
const MIN_INSTANCES: u32 = 8;
/// Instances that may have come since the list was read.
const UNSEEN_INSTANCES: u32 = 1;

/// The picture.
#[derive(Debug, Default)]
pub struct Replica {
    configuration: Option<Arc<Configuration>>,
    servers: BTreeMap<ServerId, Arc<Server>>,
    lapsed: BTreeMap<ServerId, (Arc<Server>, Time)>,
    evacuated: BTreeSet<ZoneName>,
    weights: BTreeMap<ModelName, Weights>,
    announcements: Naming,
    announcements_revision: ModRevision,
    instances: BTreeMap<String, Presence>,
    holder: Option<Holder>,
    inventories: BTreeMap<String, (Arc<Stock>, ModRevision)>,
    as_of: Time,
    server_clock: Option<(Time, u64)>,
    last_holder_write: Time,
    disrupted: Option<Time>,
    unavailable_since: Option<Time>,
    is_current: bool,
    own_incarnation: u64,
}

/// Who holds the right to order.
#[derive(Clone, Debug, PartialEq)]
pub struct Holder {
    /// What it tells.
    pub holding: Holding,
    /// Revision of its last word.
    pub revision: ModRevision,
    /// Revision at which it took the right; the fencing token.
    pub created: ModRevision,
}

/// A change in what is believed, for the log.
#[derive(Debug, PartialEq)]
pub enum Update {
    /// A newer configuration.
    Configuration(u64),
    /// An upstream came or changed.
    Server(ServerId),
    /// An upstream left the list.
    ServerGone(ServerId),
    /// An upstream's entry lapsed while the store was in trouble.
    ServerLapsed(ServerId),
    /// A zone gets no new work.
    Evacuated(ZoneName),
    /// A zone is back.
    Restored(ZoneName),
    /// Newer weights are wanted.
    Weights(ModelName, WeightVersion),
    /// The holder of the right to order changed, or told something.
    Holder,
    /// The instances changed.
    Instances(usize),
    /// A store of KV cache holds other parts.
    Stock(String),
    /// A value can't be used and changes nothing.
    Malformed {
        /// Its key.
        key: String,
        /// Why.
        problem: String,
    },
}

impl Replica {
    /// An empty picture of the process with that life.
    pub fn new(own_incarnation: u64) -> Self {
        Self { own_incarnation, ..Self::default() }
    }

    /// The present view for the instance `own`; none before a configuration is known.
    pub fn view(&self, own: &str) -> Option<View> {
        let holding = self.holder.as_ref().map(|holder| &holder.holding);
        let loaded = holding.into_iter().flat_map(|holding| {
            holding.loaded.iter().flat_map(|(id, models)| {
                models.iter().map(|(model, version)| (id.clone(), model.clone(), *version))
            })
        });
        let others = self.instances.iter().filter(|(name, _)| *name != own);
        Some(View {
            configuration: self.configuration.clone()?,
            servers: self.servers.clone(),
            lapsed: self.lapsed.clone(),
            evacuated: self.evacuated.clone(),
            weights: self.announced_weights(),
            loading: holding.map(|h| h.loading.iter().cloned().collect()).unwrap_or_default(),
            loaded: loaded.collect(),
            instances: self.instance_count(),
            own: self.instances.get(own).and_then(|presence| presence.peer),
            peers: others.filter_map(|(_, presence)| peer(presence)).collect(),
            shelves: self.cache_stores(),
            heard: self.as_of,
            server_clock: self.server_clock,
            detached: self.unavailable_since,
        })
    }

    /// The wanted weights with the earliest time that is known of each.
    pub fn announced_weights(&self) -> BTreeMap<ModelName, Weights> {
        let announced = self.weights.iter().map(|(model, weights)| {
            let times = self.announcements.0.get(model);
            let versions = weights.iter().map(|(version, received)| {
                let announced = times.and_then(|times| times.get(&version));
                (version, self.earliest(received, announced.copied()))
            });
            (model.clone(), versions.collect())
        });
        announced.collect()
    }

    /// The earlier of the times when a version was heard of and when it is told to have been named.
    fn earliest(&self, received: Time, announced: Option<u64>) -> Time {
        let announced = announced.zip(self.server_clock).map(|(announced, (known, clock))| {
            let before = Duration::from_millis(clock.saturating_sub(announced));
            let after = Duration::from_millis(announced.saturating_sub(clock));
            (known + after).saturating_sub(before)
        });
        match (received, announced) {
            (Time::ZERO, announced) => announced.unwrap_or(Time::ZERO),
            (received, announced) => {
                announced.map_or(received, |announced| announced.min(received))
            }
        }
    }

    /// When weights were named, if this instance heard it and nobody has told the store yet.
    pub fn unwritten_announcements(&self) -> Option<(Naming, ModRevision)> {
        let (known, clock) = self.server_clock?;
        let mut announcements = self.announcements.clone();
        for (model, weights) in &self.weights {
            let times = announcements.0.entry(model.clone()).or_default();
            for (version, received) in weights.iter().filter(|(_, received)| *received > Time::ZERO)
            {
                let age = known.saturating_sub(received).as_millis();
                let after = received.saturating_sub(known).as_millis();
                let announced = clock.saturating_add(after as u64).saturating_sub(age as u64);
                times.entry(version).or_insert(announced);
            }
            // Versions that no instance remembers need no date.
            let oldest = weights.iter().next().map_or(0, |(version, _)| version);
            times.retain(|version, _| *version >= oldest);
        }
        announcements.0.retain(|_, times| !times.is_empty());
        (announcements != self.announcements)
            .then_some((announcements, self.announcements_revision))
    }

    /// Stores of KV cache whose stock is known.
    fn cache_stores(&self) -> Vec<Shelf> {
        let services = self.configuration.iter().flat_map(|c| c.services.values());
        let stores = services.filter_map(|service| {
            let Role::Store(terms) = &service.role else { return None };
            let (inventory, _) = self.inventories.get(&*service.name)?;
            Some(Shelf {
                address: terms.address,
                zone: terms.zone.clone(),
                capacity_tokens: terms.capacity_tokens,
                link_bytes: terms.link_bytes,
                first_byte: terms.first_byte,
                stock: inventory.clone(),
            })
        });
        stores.collect()
    }

    /// The configuration in force.
    pub fn configuration(&self) -> Option<&Arc<Configuration>> {
        self.configuration.as_ref()
    }

    /// What was written last of a store's stock, and at which revision.
    pub fn inventory(&self, service: &str) -> Option<(&Arc<Stock>, ModRevision)> {
        self.inventories.get(service).map(|(inventory, revision)| (inventory, *revision))
    }

    /// A call that was sent at `sent` was answered: the picture is at least as new.
    pub fn confirm(&mut self, sent: Time) {
        self.as_of = self.as_of.max(sent);
    }

    /// The servers' clock showed `millis` at `now`.
    pub fn set_server_clock(&mut self, now: Time, millis: u64) {
        self.server_clock = Some((now, millis));
    }

    /// Every listed upstream.
    pub fn servers(&self) -> &BTreeMap<ServerId, Arc<Server>> {
        &self.servers
    }

    /// The wanted weights by model.
    pub fn weights(&self) -> &BTreeMap<ModelName, Weights> {
        &self.weights
    }

    /// How far the newest weights have come.
    pub fn rollout_progress(&self, now: Time, limit: Duration) -> Renewal {
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
        let announced = self.weights.values().map(Weights::named).max().unwrap_or_default();
        let part = f64::from(current) / f64::from(engines.max(1));
        Renewal { part, age: now.saturating_sub(announced), limit }
    }

    /// Who holds the right to order.
    pub fn holder(&self) -> Option<&Holder> {
        self.holder.as_ref()
    }

    /// An own word as the holder was taken by the store, before the watch tells it.
    pub fn apply_own_write(&mut self, holding: Holding, revision: ModRevision) {
        if let Some(holder) = self.holder.as_mut().filter(|h| h.holding.life == holding.life)
            && holder.revision < revision
        {
            holder.holding = holding;
            holder.revision = revision;
        }
    }

    /// When another holder may have given its last word to the store.
    pub fn last_holder_write(&self) -> Time {
        self.last_holder_write
    }

    /// Listed instances.
    pub fn instances(&self) -> &BTreeMap<String, Presence> {
        &self.instances
    }

    /// Whether engines reload now.
    pub fn is_reloading(&self) -> bool {
        self.holder.as_ref().is_some_and(|holder| !holder.holding.loading.is_empty())
    }

    /// Whether the store was read to the end at least once and answers.
    pub fn is_current(&self) -> bool {
        self.is_current && self.unavailable_since.is_none()
    }

    /// The store failed; true if it answered until now.
    pub fn fail(&mut self, now: Time) -> bool {
        self.disrupted = Some(now);
        let was_available = self.unavailable_since.is_none();
        self.unavailable_since.get_or_insert(now);
        was_available
    }

    /// The store answered; gives since when it had not.
    pub fn recover(&mut self, now: Time) -> Option<Time> {
        if self.unavailable_since.is_some() {
            self.disrupted = Some(now);
        }
        self.unavailable_since.take()
    }

    /// Takes in all that the store holds.
    pub fn replace(&mut self, now: Time, entries: Vec<Entry>) -> Vec<Update> {
        let mut updates = Vec::new();
        let listed: BTreeSet<&str> = entries.iter().map(|entry| &*entry.key).collect();
        for key in self.keys().into_iter().filter(|key| !listed.contains(&**key)) {
            updates.extend(self.remove(now, &key));
        }
        for entry in entries {
            let created = entry.revision;
            updates.extend(self.set(now, &entry.key, &entry.value, entry.revision, created));
        }
        // Words that were given before may have gone unheard.
        self.last_holder_write = now;
        self.is_current = true;
        updates
    }

    /// Takes in one change.
    pub fn apply(&mut self, now: Time, change: &store::Change) -> Option<Update> {
        match &change.value {
            Some(value) => self.set(now, &change.key, value, change.revision, change.created),
            None => self.remove(now, &change.key),
        }
    }

    fn set(
        &mut self,
        now: Time,
        key: &str,
        value: &[u8],
        revision: ModRevision,
        created: ModRevision,
    ) -> Option<Update> {
        match Subject::of(key) {
            Subject::Configuration => self.set_configuration(key, value),
            Subject::Evacuation(zone) => {
                let zone: ZoneName = zone.into();
                self.evacuated.insert(zone.clone()).then_some(Update::Evacuated(zone))
            }
            Subject::Weights(model) => self.set_weights(now, key, model, value),
            Subject::Server(id) => self.set_server(now, key, id, value),
            Subject::Instance(name) => match Presence::decode(name, value) {
                Ok(presence) => {
                    let old = self.instances.insert(name.to_owned(), presence.clone());
                    (old != Some(presence)).then_some(Update::Instances(self.instances.len()))
                }
                Err(problem) => Some(malformed(key, value, &problem)),
            },
            Subject::Naming => match Naming::decode("", value) {
                Ok(announcements) => {
                    self.announcements = announcements;
                    self.announcements_revision = revision;
                    None
                }
                Err(problem) => Some(malformed(key, value, &problem)),
            },
            Subject::Stock(service) => match Stock::decode(service, value) {
                Ok(inventory) => {
                    self.inventories.insert(service.to_owned(), (Arc::new(inventory), revision));
                    Some(Update::Stock(service.to_owned()))
                }
                Err(problem) => Some(malformed(key, value, &problem)),
            },
            Subject::Holder => match Holding::decode("", value) {
                Ok(holding) => {
                    let created = match &self.holder {
                        Some(old) if old.holding.life == holding.life => old.created,
                        _ => created,
                    };
                    if holding.life != self.own_incarnation {
                        self.last_holder_write = now;
                    }
                    if self.holder.as_ref().is_some_and(|known| known.revision >= revision) {
                        return None;
                    }
                    self.holder = Some(Holder { holding, revision, created });
                    Some(Update::Holder)
                }
                Err(problem) => Some(malformed(key, value, &problem)),
            },
            Subject::Other => None,
        }
    }

    /// Versions only grow, whatever order answers come in.
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
        let order = match WeightOrder::decode(model, value) {
            Ok(order) => order,
            Err(problem) => return Some(malformed(key, value, &problem)),
        };
        let model: ModelName = model.into();
        let weights = self.weights.entry(model.clone()).or_default();
        if weights.version() >= order.version {
            return None;
        }
        // What was there before this process looked was named at an unknown time.
        let announced = if self.is_current { now } else { Time::ZERO };
        weights.name(order.version, announced);
        Some(Update::Weights(model, order.version))
    }

    fn set_server(&mut self, now: Time, key: &str, id: &str, value: &[u8]) -> Option<Update> {
        match Server::decode(id, value) {
            Ok(server) => {
                let id = server.id.clone();
                let was_lapsed = self.lapsed.remove(&id).is_some();
                let server = Arc::new(server);
                let old = self.servers.insert(id.clone(), server.clone());
                (was_lapsed || old != Some(server)).then_some(Update::Server(id))
            }
            Err(problem) => {
                // An entry that no longer says where its upstream is names none to use.
                let _ = self.remove(now, key);
                Some(malformed(key, value, &problem))
            }
        }
    }

    fn remove(&mut self, now: Time, key: &str) -> Option<Update> {
        match Subject::of(key) {
            Subject::Evacuation(zone) => {
                self.evacuated.remove(zone).then(|| Update::Restored(zone.into()))
            }
            Subject::Server(id) => self.remove_server(now, id),
            Subject::Instance(name) => {
                self.instances.remove(name).map(|_| Update::Instances(self.instances.len()))
            }
            Subject::Holder => self.holder.take().map(|_| Update::Holder),
            Subject::Stock(service) => {
                self.inventories.remove(service).map(|_| Update::Stock(service.to_owned()))
            }
            Subject::Configuration | Subject::Weights(_) | Subject::Naming | Subject::Other => None,
        }
    }

    fn remove_server(&mut self, now: Time, id: &str) -> Option<Update> {
        let server = self.servers.remove(id)?;
        self.lapsed.retain(|_, (_, since)| now < *since + LAPSED_RETENTION);
        let is_disrupted = self.disrupted.is_some_and(|at| now < at + LAPSE_WINDOW);
        let id = server.id.clone();
        if is_disrupted && !server.leaving {
            self.lapsed.insert(id.clone(), (server, now));
            return Some(Update::ServerLapsed(id));
        }
        Some(Update::ServerGone(id))
    }

    /// Keys of all that is known.
    fn keys(&self) -> Vec<String> {
        let servers = self.servers.keys().map(|id| document::server_key(id));
        let zones = self.evacuated.iter().map(|zone| document::evacuation_key(zone));
        let instances = self.instances.keys().map(|name| document::instance_key(name));
        let holder = self.holder.iter().map(|_| document::holder_key());
        servers.chain(zones).chain(instances).chain(holder).collect()
    }

    fn instance_count(&self) -> u32 {
        let listed = u32::try_from(self.instances.len()).unwrap_or(u32::MAX - UNSEEN_INSTANCES);
        listed.max(MIN_INSTANCES) + UNSEEN_INSTANCES
    }
}

fn malformed(key: &str, value: &[u8], problem: &document::Problem) -> Update {
    let problem = format!("{problem}; the value is {}", document::shape(value));
    Update::Malformed { key: key.to_owned(), problem }
}

/// An instance that listens for a word.
fn peer(presence: &Presence) -> Option<Peer> {
    let zone = presence.zone.as_str().into();
    presence.peer.map(|address| Peer { address, zone })
}
