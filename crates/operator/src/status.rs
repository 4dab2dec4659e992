//! Status of the daemons, upstreams and stores, as seen by one daemon.

use std::collections::BTreeMap;

use acacia_catalog::id::{DaemonId, Incarnation, Name, Revision, StoreId, UpstreamId, ZoneId};
use acacia_policy::Snapshot;
use acacia_policy::snapshot::{Standing, Warmth};
use serde::{Deserialize, Serialize};

/// Status as known to one daemon.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Status {
    /// The daemon that answers.
    pub daemon: Option<DaemonId>,
    /// Whether it takes requests.
    pub ready: bool,
    /// Its configuration revision.
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
    /// Number of this daemon's calls to the key-value service, by kind.
    pub kv_calls: BTreeMap<String, u64>,
    /// Number of operator calls that this daemon refused because of a missing key or role.
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
    /// Its configuration revision, if known to the answering daemon.
    pub revision: Option<Revision>,
    /// Number of cold upstreams whose permits it owns, if known.
    pub owned: Option<usize>,
}

/// An upstream or a store.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Instance {
    /// Its name.
    pub name: Name,
    /// Its availability zone.
    pub zone: Name,
    /// Whether it is warm, cold, or can't be used.
    pub warmth: Warmth,
    /// Incarnation of its process; zero if never seen.
    pub incarnation: Incarnation,
    /// Number of running requests in its last report.
    pub running: Option<u32>,
    /// Number of waiting requests in its last report.
    pub waiting: Option<u32>,
    /// Maximum number of concurrent requests.
    pub slots: Option<u32>,
    /// The daemon that owns its permits.
    pub owner: Option<DaemonId>,
}

impl Status {
    /// Creates the status from a snapshot; the daemon adds its name, epoch, ownership and calls.
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
    fn of(name: &Name, zone: &ZoneId, status: Option<&Standing>) -> Self {
        let load = status.and_then(|s| s.load.as_ref());
        Self {
            name: name.clone(),
            zone: zone.clone(),
            warmth: status.map(|s| s.warmth).unwrap_or_default(),
            incarnation: status.map(|s| s.incarnation).unwrap_or_default(),
            running: load.map(|l| l.running),
            waiting: load.map(|l| l.waiting),
            slots: None,
            owner: None,
        }
    }
}
