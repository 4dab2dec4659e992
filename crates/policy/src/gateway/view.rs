//! What the platform's store says, as one immutable picture.
//!
//! The control thread makes a new [`View`] for each change that it hears of; traffic reads the
//! newest.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::configuration::{Configuration, ModelName, ServiceName, ZoneName};
use super::inventory::Store;
use super::mesh::Peer;
use crate::Time;

/// Id of an upstream, drawn anew at most of its starts.
pub type ServerId = Arc<str>;
/// Version of a model's weights.
pub type WeightVersion = u64;

/// What is known at one moment.
#[derive(Clone, Debug)]
pub struct View {
    /// The configuration in force.
    pub configuration: Arc<Configuration>,
    /// Every listed upstream.
    pub servers: BTreeMap<ServerId, Arc<Server>>,
    /// Upstreams that left the list while the store was in trouble, and when that was heard.
    pub lapsed: BTreeMap<ServerId, (Arc<Server>, Time)>,
    /// Availability zones that get no new work.
    pub evacuated: BTreeSet<ZoneName>,
    /// The newest weights of each model, and when they were heard of.
    pub weights: BTreeMap<ModelName, Weights>,
    /// Upstreams that load weights now.
    pub loading: BTreeSet<ServerId>,
    /// Weights that upstreams were seen to have loaded.
    pub loaded: Vec<(ServerId, ModelName, WeightVersion)>,
    /// Entry instances that may share a limit with this one.
    pub instances: u32,
    /// Where this instance listens for the others' word.
    pub own_address: Option<SocketAddr>,
    /// The other instances that listen for this one's word.
    pub peers: Vec<Peer>,
    /// Stores of KV cache.
    pub stores: Vec<Store>,
    /// When a call of the metadata store was sent that this view is as new as.
    pub as_of: Time,
    /// The servers' clock, in milliseconds, at a time of ours.
    pub server_clock: Option<(Time, u64)>,
    /// Since when the store gives no answers; none while it does.
    pub unavailable_since: Option<Time>,
}

impl View {
    /// The servers' clock at a time of ours, in milliseconds.
    pub fn server_time(&self, at: Time) -> Option<u64> {
        let (known, clock) = self.server_clock?;
        let passed = u64::try_from(at.saturating_sub(known).as_millis()).ok()?;
        let before = u64::try_from(known.saturating_sub(at).as_millis()).ok()?;
        (clock + passed).checked_sub(before)
    }
}

/// The weights that operators want of a model.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Weights {
    /// Versions with the time when each was named, as far as is known; long ago if nothing is known.
    /// The newest is last.
    announced: Vec<(WeightVersion, Time)>,
}

/// Versions that are remembered of a model; engines are seldom more than two behind.
const VERSIONS: usize = 8;

impl Weights {
    /// Weights of which one version was named.
    pub fn new(version: WeightVersion, announced_at: Time) -> Self {
        Self { announced: vec![(version, announced_at)] }
    }

    /// The newest version.
    pub fn version(&self) -> WeightVersion {
        self.announced.last().map_or(0, |(version, _)| *version)
    }

    /// When the newest version was named.
    pub fn announced_at(&self) -> Time {
        self.announced.last().map_or(Time::ZERO, |(_, announced_at)| *announced_at)
    }

    /// A newer version is named; an older one changes nothing.
    pub fn announce(&mut self, version: WeightVersion, announced_at: Time) {
        if version > self.version() {
            self.announced.push((version, announced_at));
            let surplus = self.announced.len().saturating_sub(VERSIONS);
            self.announced.drain(..surplus);
        }
    }

    /// Since when weights of a version are not the newest; each version that is named later is
    /// judged from its own naming.
    pub fn outdated_since(&self, version: WeightVersion) -> Option<Time> {
        self.announced
            .iter()
            .filter(|(newer, _)| *newer > version)
            .map(|(_, announced_at)| *announced_at)
            .min()
    }

    /// All versions with their times.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = (WeightVersion, Time)> {
        self.announced.iter().copied()
    }
}

impl FromIterator<(WeightVersion, Time)> for Weights {
    fn from_iter<I: IntoIterator<Item = (WeightVersion, Time)>>(versions: I) -> Self {
        Self { announced: versions.into_iter().collect() }
    }
}

/// An upstream's own entry.
#[derive(Clone, Debug, PartialEq)]
pub struct Server {
    /// Its id.
    pub id: ServerId,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Requests that it works on at once.
    pub slots: u32,
    /// It takes no new work.
    pub leaving: bool,
    /// How long it stays cold, when the entry was read.
    pub cold_left: Duration,
    /// Weights that it has.
    pub models: Vec<(ModelName, WeightVersion)>,
    /// Start of this life, in milliseconds of Unix time.
    pub born: Option<u64>,
}

impl Server {
    /// Its weights of a model.
    pub fn weights(&self, model: &str) -> Option<WeightVersion> {
        self.models.iter().find(|(name, _)| &**name == model).map(|(_, version)| *version)
    }

    /// The same life at the same place.
    pub fn is_same_incarnation(&self, other: &Self) -> bool {
        self.born == other.born && self.address == other.address && self.service == other.service
    }
}
