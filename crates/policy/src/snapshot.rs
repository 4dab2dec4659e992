//! What control knows, as traffic reads it.

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
    /// What is known of each upstream.
    pub upstreams: BTreeMap<UpstreamId, Standing>,
    /// What is known of each store.
    pub stores: BTreeMap<StoreId, Standing>,
    /// Live daemons and their availability zones, this one included.
    pub daemons: BTreeMap<DaemonId, ZoneId>,
    /// Number of the membership that the daemons agree on; zero before the first.
    pub epoch: u64,
    /// Revision in force at each daemon that told it.
    pub in_force: BTreeMap<DaemonId, Revision>,
    /// Cold upstreams whose permits this daemon grants.
    pub owned: Vec<UpstreamId>,
    /// Whether this daemon may take requests.
    pub ready: bool,
}

/// What is known of one upstream or store.
#[derive(Clone, Debug, Default)]
pub struct Standing {
    /// Whether it may take new work, and how much.
    pub warmth: Warmth,
    /// Its process life, as last seen; zero when never seen.
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
    /// Takes requests only under permits; also the state of an instance never seen.
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
    /// When the upstream took the sample, by this daemon's clock.
    pub sampled_at: Time,
    /// Process life that the report is about.
    pub incarnation: Incarnation,
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Slots.
    pub slots: u32,
    /// Whether the upstream says that it is in cold start.
    pub cold: bool,
    /// Weight version loaded, of an engine.
    pub version: Option<VersionId>,
    /// Adapters loaded, of an engine.
    pub adapters: Vec<AdapterId>,
}
