//! Moves the traffic of a service to upstreams of a new software version, by an operator's order.
//!
//! Load pattern: a version is started beside the old one, and the traffic is to be moved to it within
//! a given time. Some versions are bad: a part of their responses are failures or several times
//! slower, from the start or later, under load only, or on one route only. A bad version may get only
//! a small share of all requests until the order's end, and none soon after it has shown itself.
//!
//! As a version may turn bad late, it gets a small constant share until close to the end; each
//! instance draws for itself, so that the share holds for all together without messages. Then the
//! share rises steeply, all requests go to the target until what runs at the old upstreams has ended,
//! and the order is completed before its end. [`Rollout`] is the state of one order,
//! [`evidence`] what the responses of both versions show, [`split`] the choice for one request.
//!
//! Each instance goes by its own evidence and the others', so that no instance and no answer of the
//! metadata store is needed for taking back a bad version. The holder of the order lease records the
//! outcome there, which is final.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, FromRepr, IntoStaticStr};

use super::configuration::ServiceName;
use super::gossip::{Incarnation, stable_hash};
use super::view::SoftwareVersion;
use crate::Time;
use crate::kv::Revision;

pub mod evidence;
mod record;
mod rollout;
pub mod split;

pub use rollout::{Rollout, Surroundings};
pub use split::{Canaries, Change, Resolution, Seat, Side};

/// Hash of an order, equal on all instances.
pub type OrderKey = u32;
/// Hash of a route's name, equal on all instances.
pub type RouteKey = u32;

/// Bounds on the requests that a bad version gets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// Share of all requests until the order's end.
    pub share: f64,
    /// Requests in addition to that share.
    pub slack: f64,
    /// Time after the fiftieth bad response from which the version gets none.
    pub rollback: Duration,
}

impl Default for Terms {
    /// The bounds of the platform's documented deployments.
    fn default() -> Self {
        Self { share: 0.1, slack: 50.0, rollback: Duration::from_secs(5) }
    }
}

/// An operator's order to move a service's traffic.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Order {
    /// The version that the traffic is moved to.
    pub target: SoftwareVersion,
    /// Time from the order to its end.
    pub duration: Duration,
    /// The revision of its key, which identifies it.
    pub revision: Revision,
    /// When it was first seen here.
    pub seen: Time,
}

impl Order {
    /// The key of the order for a service. A restored copy of the metadata store has it under the same
    /// number in another era.
    pub fn key(&self, service: &ServiceName) -> OrderKey {
        short_hash(stable_hash(&(&**service, &*self.target, self.revision.number)))
    }

    /// Whether both are one order. In a newer era, an equal one is the same: the copy has it, or its
    /// writer has written it again.
    pub fn is_same(&self, newer: &Self) -> bool {
        let is_equal = self.target == newer.target && self.duration == newer.duration;
        self.revision == newer.revision || (newer.revision.era > self.revision.era && is_equal)
    }
}

/// The state of an order, as recorded in the metadata store.
#[derive(Clone, Copy, Debug, Display, EnumString, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum State {
    /// Undecided.
    Running,
    /// All traffic goes to the target; the old upstreams may stop.
    Completed,
    /// The target was bad and gets no more requests.
    RolledBack,
}

/// The state that the metadata store has for a service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Status {
    /// The target of the order that it belongs to.
    pub target: SoftwareVersion,
    /// The state.
    pub state: State,
    /// The revision of its key.
    pub revision: Revision,
}

impl Status {
    /// Whether it was written for an order: after it, and for its target.
    pub fn is_of(&self, order: &Order) -> bool {
        self.target == order.target && self.revision > order.revision
    }
}

/// What the metadata store has on the rollout of a service.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Listing {
    /// The order in force.
    pub order: Option<Order>,
    /// The last recorded state.
    pub status: Option<Status>,
}

/// How far an instance is with an order.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Deserialize,
    Display,
    Eq,
    FromRepr,
    IntoStaticStr,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
#[serde(from = "u8", into = "u8")]
#[strum(serialize_all = "snake_case")]
#[repr(u8)]
pub enum Progress {
    /// The target gets a small share.
    #[default]
    Canary,
    /// The share rises.
    Ramp,
    /// The target gets all requests.
    Full,
    /// The same, and nothing runs at the old upstreams.
    Drained,
    /// The metadata store has the order as completed.
    Completed,
    /// The target gets no requests.
    RolledBack,
}

impl From<u8> for Progress {
    /// A value of a later build counts as the least progress.
    fn from(value: u8) -> Self {
        Self::from_repr(value).unwrap_or_default()
    }
}

impl From<Progress> for u8 {
    fn from(progress: Progress) -> Self {
        progress as Self
    }
}

/// The key of a route.
pub fn route_key(name: &str) -> RouteKey {
    short_hash(stable_hash(&name))
}

/// A hash that is shortened because it is sent often.
fn short_hash(hash: u64) -> u32 {
    (hash >> 32) as u32
}

/// The instance that counts responses and the order that it counts them for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Identity {
    /// The instance.
    pub incarnation: Incarnation,
    /// The order.
    pub order: OrderKey,
}
