//! What a restored copy of the metadata store may lack.
//!
//! A copy is some seconds old. Operators, servers and instances write again what they wrote since,
//! but not at the same moment. Until then the copy may lack an evacuation or the registration of an
//! instance, and may list a server as ready that is leaving or gone. Each fact is carried over
//! until its writer has written the entry again, for at most [`CARRYOVER_TIME`].

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use acacia_platform::document::Subject;
use acacia_platform::instance::Presence;
use acacia_policy::Time;
use acacia_policy::gateway::configuration::ZoneName;
use acacia_policy::gateway::{Server, ServerId};

/// Time after a restore for which facts of the previous era are kept: as long as an instance stays
/// registered without a heartbeat.
const CARRYOVER_TIME: Duration = Duration::from_secs(10);
/// Time for which departed servers are remembered, longer than a copy is usually old.
const DEPARTURE_RETENTION: Duration = Duration::from_secs(60);

/// Facts of the previous era.
#[derive(Debug, Default)]
pub struct Carryover {
    ends: Time,
    evacuated: BTreeSet<ZoneName>,
    instances: BTreeMap<String, Presence>,
    /// Servers that were leaving or gone.
    closed: BTreeMap<ServerId, Arc<Server>>,
}

impl Carryover {
    /// The facts that were known when the new era was noticed.
    pub fn new(
        now: Time,
        evacuated: BTreeSet<ZoneName>,
        instances: BTreeMap<String, Presence>,
        closed: Vec<Arc<Server>>,
    ) -> Self {
        let closed = closed.into_iter().map(|server| (server.id.clone(), server)).collect();
        Self { ends: now + CARRYOVER_TIME, evacuated, instances, closed }
    }

    /// Drops the fact that a change in the new era supersedes.
    pub fn forget(&mut self, subject: &Subject<'_>) {
        match subject {
            Subject::Evacuation(zone) => {
                self.evacuated.remove(*zone);
            }
            Subject::Server(id) => {
                self.closed.remove(*id);
            }
            Subject::Instance(name) => {
                self.instances.remove(*name);
            }
            _ => {}
        }
    }

    /// Zones that were evacuated.
    pub fn evacuated(&self, now: Time) -> impl Iterator<Item = &ZoneName> {
        self.evacuated.iter().filter(move |_| now < self.ends)
    }

    /// Instances that were registered.
    pub fn instances(&self, now: Time) -> impl Iterator<Item = (&String, &Presence)> {
        self.instances.iter().filter(move |_| now < self.ends)
    }

    /// Whether a listed server was already leaving or gone.
    pub fn is_closed(&self, now: Time, server: &Server) -> bool {
        let known = self.closed.get(&server.id).filter(|_| now < self.ends);
        known.is_some_and(|known| known.is_same_incarnation(server))
    }
}

/// Servers whose entries were removed lately.
#[derive(Debug, Default)]
pub struct Departures {
    servers: BTreeMap<ServerId, (Arc<Server>, Time)>,
}

impl Departures {
    /// Records a removal.
    pub fn add(&mut self, now: Time, server: Arc<Server>) {
        self.servers.retain(|_, (_, since)| now < *since + DEPARTURE_RETENTION);
        self.servers.insert(server.id.clone(), (server, now));
    }

    /// Forgets a server that is listed again.
    pub fn forget(&mut self, id: &str) {
        self.servers.remove(id);
    }

    /// The servers that are still remembered.
    pub fn recent(&self, now: Time) -> impl Iterator<Item = Arc<Server>> {
        let recent =
            self.servers.values().filter(move |(_, since)| now < *since + DEPARTURE_RETENTION);
        recent.map(|(server, _)| server.clone())
    }
}
