//! Immutable snapshots of the metadata store's contents.
//!
//! The control thread creates a new [`View`] for each change; requests use the latest one.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::canary;
use super::configuration::{Configuration, ModelName, ServiceName, ZoneName};
use super::inventory::Store;
use super::mesh::Peer;
use super::software::Versions;
use crate::Time;
use crate::kv::Revision;

/// Time after the return of the metadata store within which a running upstream restores an entry that
/// expired in the outage, and its restoration is noticed. An entry that is missing for longer, or that
/// disappears later, was removed.
pub const EXPIRY_LIMIT: Duration = Duration::from_millis(2_300);

/// Id of an upstream, usually new at each of its starts.
pub type ServerId = Arc<str>;
/// Version of a model's weights.
pub type WeightVersion = u64;
/// Version of an upstream's software; versions have no order.
pub type SoftwareVersion = Arc<str>;

/// A snapshot of the metadata store.
#[derive(Clone, Debug)]
pub struct View {
    /// The configuration in force.
    pub configuration: Arc<Configuration>,
    /// Every listed upstream.
    pub servers: BTreeMap<ServerId, Arc<Server>>,
    /// Upstreams whose entries may have expired in an outage of the metadata store, and when it was
    /// back.
    pub expired: BTreeMap<ServerId, (Arc<Server>, Time)>,
    /// Software versions that serve or served recently.
    pub software: Versions,
    /// Orders to move traffic to new software versions, by service.
    pub rollouts: BTreeMap<ServiceName, canary::Listing>,
    /// Availability zones that get no new requests.
    pub evacuated: BTreeSet<ZoneName>,
    /// The announced weights of each model.
    pub weights: BTreeMap<ModelName, Weights>,
    /// Upstreams that are loading weights.
    pub loading: BTreeSet<ServerId>,
    /// Weights that upstreams have loaded, as reported by the holder of the order lease.
    pub loaded: Vec<(ServerId, ModelName, WeightVersion)>,
    /// Number of entry instances, including this one, that may share a limit.
    pub instances: u32,
    /// Where this instance listens for messages of the others.
    pub own_address: Option<SocketAddr>,
    /// From when on the others have told this instance what they tell all; none while they don't list
    /// it.
    pub told_from: Option<Time>,
    /// The other instances that listen for messages.
    pub peers: Vec<Peer>,
    /// KV cache stores.
    pub stores: Vec<Store>,
    /// The view is at least as new as this: when the latest answered call to the metadata store was
    /// sent.
    pub as_of: Time,
    /// The revision that the view reflects.
    pub revision: Revision,
    /// The last known change that removed a part from an inventory.
    pub last_removal: Revision,
    /// A time of this instance's clock, and the servers' clock in milliseconds at that time.
    pub server_clock: Option<(Time, u64)>,
    /// Since when the metadata store has not answered; none while it does.
    pub unavailable_since: Option<Time>,
}

impl View {
    /// The servers' clock, in milliseconds, at a time of this instance's clock.
    pub fn server_time(&self, at: Time) -> Option<u64> {
        let (known, clock) = self.server_clock?;
        let passed = u64::try_from(at.saturating_sub(known).as_millis()).ok()?;
        let before = u64::try_from(known.saturating_sub(at).as_millis()).ok()?;
        (clock + passed).checked_sub(before)
    }

    /// The time of this instance's clock at which the servers' clock shows `millis`.
    pub fn local_time(&self, millis: u64) -> Option<Time> {
        let (known, clock) = self.server_clock?;
        let after = Duration::from_millis(millis.saturating_sub(clock));
        let before = Duration::from_millis(clock.saturating_sub(millis));
        (known + after).checked_sub(before)
    }
}

/// The announced versions of a model's weights.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Weights {
    /// Versions with the time of their announcement, or [`Time::ZERO`] if it is unknown. The newest
    /// is last.
    announced: Vec<(WeightVersion, Time)>,
}

impl Weights {
    /// Number of versions kept of a model. All that are announced within the time for which replaced
    /// weights may be used must be among them, or that time would begin anew with each.
    pub const VERSIONS: usize = 32;

    /// Weights with one announced version.
    pub fn new(version: WeightVersion, announced_at: Time) -> Self {
        Self { announced: vec![(version, announced_at)] }
    }

    /// The newest version.
    pub fn version(&self) -> WeightVersion {
        self.announced.last().map_or(0, |(version, _)| *version)
    }

    /// When the newest version was announced.
    pub fn announced_at(&self) -> Time {
        self.announced.last().map_or(Time::ZERO, |(_, announced_at)| *announced_at)
    }

    /// Adds a newer version; an older one is ignored.
    pub fn announce(&mut self, version: WeightVersion, announced_at: Time) {
        if version > self.version() {
            self.announced.push((version, announced_at));
            let surplus = self.announced.len().saturating_sub(Self::VERSIONS);
            self.announced.drain(..surplus);
        }
    }

    /// Since when a version has not been the newest one: the earliest announcement of a newer
    /// version. Later announcements don't extend the time for which it may be used.
    pub fn outdated_since(&self, version: WeightVersion) -> Option<Time> {
        self.announced
            .iter()
            .filter(|(newer, _)| *newer > version)
            .map(|(_, announced_at)| *announced_at)
            .min()
    }

    /// All versions with the times of their announcement.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = (WeightVersion, Time)> {
        self.announced.iter().copied()
    }
}

impl FromIterator<(WeightVersion, Time)> for Weights {
    fn from_iter<I: IntoIterator<Item = (WeightVersion, Time)>>(versions: I) -> Self {
        Self { announced: versions.into_iter().collect() }
    }
}

/// An upstream's entry in the metadata store.
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
    /// Number of requests that it processes concurrently.
    pub slots: u32,
    /// Whether it takes no new requests.
    pub leaving: bool,
    /// Time for which it stays cold, from when the entry was read.
    pub cold_left: Duration,
    /// Its models with the versions of their weights.
    pub models: Vec<(ModelName, WeightVersion)>,
    /// Start of this incarnation, in milliseconds of Unix time.
    pub born: Option<u64>,
    /// The version of its software. Events of two versions don't fit into one stream.
    pub software: SoftwareVersion,
}

impl Server {
    /// The version of a model's weights that it has.
    pub fn weights(&self, model: &str) -> Option<WeightVersion> {
        self.models.iter().find(|(name, _)| &**name == model).map(|(_, version)| *version)
    }

    /// Whether both entries belong to the same incarnation at the same address.
    pub fn is_same_incarnation(&self, other: &Self) -> bool {
        self.born == other.born && self.address == other.address && self.service == other.service
    }
}
