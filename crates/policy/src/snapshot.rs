//! The control thread's state, as the traffic threads read it.

use std::collections::BTreeMap;
use std::sync::Arc;

use acacia_catalog::Set;
use acacia_catalog::id::{
    AdapterId, DaemonId, Incarnation, Revision, StoreId, UpstreamId, VersionId, ZoneId,
};
use serde::{Deserialize, Serialize};
use strum::Display;

use crate::Time;

/// An immutable view of the configuration in force and of every instance.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// Revision of the configuration; zero before the first.
    pub revision: Revision,
    /// The configuration.
    pub set: Arc<Set>,
    /// Status of each upstream.
    pub upstreams: BTreeMap<UpstreamId, Standing>,
    /// Status of each KV cache store.
    pub stores: BTreeMap<StoreId, Standing>,
    /// Live daemons and their availability zones, this one included.
    pub daemons: BTreeMap<DaemonId, ZoneId>,
    /// Epoch of the membership that the daemons agree on; zero before the first.
    pub epoch: u64,
    /// Revision in force at each daemon that reported it.
    pub in_force: BTreeMap<DaemonId, Revision>,
    /// Cold upstreams whose permits this daemon grants.
    pub owned: Vec<UpstreamId>,
    /// Whether this daemon may take requests.
    pub ready: bool,
}

/// Status of one upstream or store.
#[derive(Clone, Debug, Default)]
pub struct Standing {
    /// Whether it may take new work.
    pub warmth: Warmth,
    /// Its last known incarnation; zero if never seen.
    pub incarnation: Incarnation,
    /// Its last load report.
    pub load: Option<Load>,
}

/// Whether an instance may take new work.
#[derive(Clone, Copy, Debug, Default, Deserialize, Display, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Warmth {
    /// Takes requests up to its slots.
    Warm,
    /// Takes requests only under permits; also the state of an unknown instance.
    #[default]
    Cold,
    /// Takes no new work: out, draining, leaving, or in a zone that is out.
    Closed,
    /// Does not answer.
    Down,
}

/// A load report of an engine or a service.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Load {
    /// When the sample was taken, by this daemon's clock.
    pub sampled_at: Time,
    /// Incarnation of the sampled process.
    pub incarnation: Incarnation,
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Requests that may run at once.
    pub slots: u32,
    /// Whether it reports that it is in cold start.
    pub cold: bool,
    /// Weight version that an engine has loaded.
    pub version: Option<VersionId>,
    /// Adapters that an engine has loaded.
    pub adapters: Vec<AdapterId>,
}
