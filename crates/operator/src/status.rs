//! How the daemons, upstreams and stores do, as one daemon sees it.

use std::collections::BTreeMap;

use acacia_catalog::id::{DaemonId, Incarnation, Name, Revision, StoreId, UpstreamId, ZoneId};
use acacia_policy::Snapshot;
use acacia_policy::snapshot::{Standing, Warmth};
use serde::{Deserialize, Serialize};

/// What one daemon knows.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Status {
    /// The daemon that answers.
    pub daemon: Option<DaemonId>,
    /// Whether it takes requests.
    pub ready: bool,
    /// Revision of its configuration.
    pub revision: Revision,
    /// Membership epoch.
    pub epoch: u64,
    /// Live daemons.
    pub daemons: Vec<Daemon>,
    /// Availability zones that are out.
    pub zones_out: Vec<ZoneId>,
    /// Upstreams.
    pub upstreams: Vec<Instance>,
    /// KV cache stores.
    pub stores: Vec<Instance>,
    /// Calls of this daemon to the key-value service, by kind.
    pub kv_calls: BTreeMap<String, u64>,
    /// Operators' calls that this daemon refused for want of a key or a role.
    #[serde(default)]
    pub refused: u64,
}

/// A live daemon.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Daemon {
    /// Its name.
    pub name: Name,
    /// Its availability zone.
    pub zone: Name,
    /// Its revision, as far as the answering daemon knows.
    pub revision: Option<Revision>,
    /// Cold upstreams whose permits it owns, as far as known.
    pub owned: Option<usize>,
}

/// An upstream or a store.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Instance {
    /// Its name.
    pub name: Name,
    /// Its availability zone.
    pub zone: Name,
    /// Whether it may take new work.
    pub warmth: Warmth,
    /// Its process life; zero when never seen.
    pub incarnation: Incarnation,
    /// Requests running, by its last report.
    pub running: Option<u32>,
    /// Requests waiting, by its last report.
    pub waiting: Option<u32>,
    /// Slots.
    pub slots: Option<u32>,
    /// The daemon that owns its permits.
    pub owner: Option<DaemonId>,
}

impl Status {
    /// What a snapshot tells; the daemon adds its name, epoch, ownership and calls.
    pub fn of(snapshot: &Snapshot) -> Self {
        let set = &snapshot.set;
        let daemon = |(name, zone): (&DaemonId, &ZoneId)| Daemon {
            name: name.clone(),
            zone: zone.clone(),
            ..Daemon::default()
        };
        let out = set.zones.values().filter(|z| z.state == acacia_catalog::object::AdminState::Out);
        let upstream = |(name, u): (&UpstreamId, &acacia_catalog::object::Upstream)| {
            let slots = Some(u.slots);
            Instance { slots, ..Instance::of(name, &u.zone, snapshot.upstreams.get(name)) }
        };
        let store = |(name, s): (&StoreId, &acacia_catalog::object::Store)| {
            Instance::of(name, &s.zone, snapshot.stores.get(name))
        };
        Self {
            ready: snapshot.ready,
            revision: snapshot.revision,
            daemons: snapshot.daemons.iter().map(daemon).collect(),
            zones_out: out.map(|z| z.name.clone()).collect(),
            upstreams: set.upstreams.iter().map(upstream).collect(),
            stores: set.stores.iter().map(store).collect(),
            ..Self::default()
        }
    }
}

impl Instance {
    fn of(name: &Name, zone: &ZoneId, standing: Option<&Standing>) -> Self {
        let load = standing.and_then(|s| s.load.as_ref());
        Self {
            name: name.clone(),
            zone: zone.clone(),
            warmth: standing.map(|s| s.warmth).unwrap_or_default(),
            incarnation: standing.map(|s| s.incarnation).unwrap_or_default(),
            running: load.map(|l| l.running),
            waiting: load.map(|l| l.waiting),
            slots: None,
            owner: None,
        }
    }
}
