//! Events that control handles and actions that it returns.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use acacia_catalog::id::{DaemonId, Incarnation, Name, Revision, UpstreamId, VersionId, ZoneId};
use acacia_catalog::{Document, Problem};
use serde::{Deserialize, Serialize};
use strum::{Display, IntoStaticStr};

use crate::message::Envelope;
use crate::request::IdempotencyKey;
use crate::snapshot::{Load, Snapshot};
use crate::{Time, Verdict, kv};

/// Number of a call to the key-value service, unique in one daemon.
pub type CallId = u64;
/// Number of a request from traffic or an operator, unique in one daemon.
pub type Ticket = u64;
/// Number of a permit, unique within its owner.
pub type PermitId = u64;
/// Fencing token: later holders have larger ones.
pub type Fence = u64;
/// Name of a change, chosen by its operator and never reused.
pub type ChangeId = Name;

/// Identity of a daemon.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Its name, unique to this incarnation.
    pub daemon: DaemonId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Address at which peers reach it.
    pub address: SocketAddr,
    /// Seed of its random number generator.
    pub seed: u64,
}

/// An input to control.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed; sent at least once per [`TICK`].
    Tick,
    /// A call to the key-value service ended.
    Kv(CallId, kv::Outcome),
    /// A message from a peer arrived.
    Message(Envelope),
    /// The list of live instances was read.
    Listed(Vec<Instance>),
    /// The state of an upstream or KV cache store was observed.
    Observed(UpstreamId, Observation),
    /// Traffic requests permits for a cold upstream.
    PermitWanted {
        /// The upstream.
        upstream: UpstreamId,
        /// Requests waiting for it.
        waiting: u32,
    },
    /// Traffic returns a permit.
    PermitReturned {
        /// The permit.
        permit: Permit,
        /// How it was used.
        usage: Usage,
    },
    /// Traffic requests the claim of a request that may run only once.
    ClaimWanted(Ticket, Claim),
    /// A claimed request ended.
    ClaimEnded {
        /// The claim.
        claim: Claim,
        /// Whether the request ran.
        verdict: Verdict,
        /// The whole answer, if it is small enough to keep.
        answer: Option<Answer>,
    },
    /// An operator publishes a configuration.
    ChangeWanted(Ticket, Change),
    /// An operator orders an upstream to do something.
    OrderWanted(Ticket, Order),
    /// An upstream answered an order.
    Ordered(Order, OrderOutcome),
    /// The process was told to stop.
    Stop,
}

/// Maximum time between two ticks.
pub const TICK: Duration = Duration::from_millis(100);

/// An action for the caller of control to carry out.
#[derive(Clone, Debug)]
pub enum Action {
    /// Call the key-value service.
    Kv(CallId, kv::Request),
    /// Send a message to a peer.
    Send(SocketAddr, Envelope),
    /// Give the snapshot to traffic.
    Publish(Arc<Snapshot>),
    /// Give a permit to traffic.
    Permit(Permit),
    /// Tell traffic that no permit will be granted soon.
    PermitRefused {
        /// The upstream.
        upstream: UpstreamId,
        /// Delay until the next request for permits.
        retry_after: Duration,
    },
    /// Answer `ClaimWanted`.
    Claimed(Ticket, ClaimOutcome),
    /// Answer `ChangeWanted`.
    Changed(Ticket, ChangeOutcome),
    /// Read an upstream's load now; answered by `Observed`.
    Probe(UpstreamId),
    /// Send an order to an upstream.
    Order(Order),
    /// Answer `OrderWanted`.
    OrderEnded(Ticket, OrderOutcome),
    /// Log a state change.
    Log(Line),
    /// Control has handed over its state; the process may exit once traffic has drained.
    Stopped,
}

/// An instance on the list of live instances.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Instance {
    /// Its name.
    pub name: Name,
    /// Its kind.
    pub kind: InstanceKind,
    /// Its address.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Its incarnation.
    pub incarnation: Incarnation,
}

/// Kinds of instances on the list of live instances.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum InstanceKind {
    /// A daemon of this fleet.
    Daemon,
    /// An engine or an instance of a plain service.
    Upstream,
    /// A KV cache store.
    Store,
}

/// An observation of an upstream or KV cache store.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Observation {
    /// It answered a request successfully.
    Answered(Incarnation),
    /// It refused a request as overloaded or cold.
    Overloaded(Incarnation),
    /// It refused a request because it is leaving.
    Leaving(Incarnation),
    /// A connection broke or could not be established.
    Unreachable,
    /// It reported its load.
    Reported(Load),
}

/// Permission to run one request on a cold upstream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Permit {
    /// Its number.
    pub id: PermitId,
    /// The daemon that granted it.
    pub owner: DaemonId,
    /// The upstream.
    pub upstream: UpstreamId,
    /// The only incarnation that it is valid for.
    pub incarnation: Incarnation,
    /// Latest start of the request, by the receiving daemon's clock.
    pub until: Time,
}

/// How a permit was used.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Usage {
    /// No request was sent under it.
    Unused,
    /// The request was answered.
    Answered,
    /// The request failed.
    Failed,
}

/// Identifies a request that may run only once.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Claim {
    /// The caller's organisation.
    pub organisation: Name,
    /// The caller's idempotency key.
    pub key: IdempotencyKey,
    /// Hash of the request.
    pub fingerprint: [u8; 32],
}

/// The outcome of a claim.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ClaimOutcome {
    /// This daemon may send the request once; no other ever may.
    Granted,
    /// It was claimed before.
    Taken {
        /// Whether it ran.
        verdict: Verdict,
        /// Its answer, if kept.
        answer: Option<Answer>,
    },
    /// The key was used for another request.
    Mismatch,
    /// The claim could not be made; the request did not run.
    Unavailable,
}

/// A complete, small answer of a plain service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: String,
    /// Body.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

/// A configuration published by an operator.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Change {
    /// Its name.
    pub id: ChangeId,
    /// The revision that it is based on.
    pub base: Revision,
    /// Its author.
    pub author: String,
    /// The whole configuration.
    pub document: Document,
}

/// The outcome of a change.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ChangeOutcome {
    /// It is accepted as this revision and will come into force at every daemon.
    Accepted(Revision),
    /// Another change was accepted first; the latest revision.
    Conflict(Revision),
    /// The document is invalid.
    Invalid(Vec<Problem>),
    /// The key-value service is unavailable; the change is not accepted and never will be.
    Unavailable,
    /// The service's answer was lost; repeat the change with the same id to learn its outcome.
    Unknown,
}

/// An order to an upstream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Order {
    /// The upstream.
    pub upstream: UpstreamId,
    /// What the upstream is to do.
    pub duty: OrderDuty,
    /// Fencing token of the daemon that sends it.
    pub fence: Fence,
    /// Unique name of the order.
    pub id: Name,
}

/// What an upstream is ordered to do.
#[derive(Clone, Debug, Deserialize, Eq, IntoStaticStr, PartialEq, Serialize)]
#[strum(serialize_all = "snake_case")]
pub enum OrderDuty {
    /// Load a weight version.
    LoadVersion(VersionId),
    /// Load an adapter.
    LoadAdapter(Name),
    /// Change role.
    SetRole(Name),
}

/// The outcome of an order.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[strum(serialize_all = "snake_case")]
pub enum OrderOutcome {
    /// The upstream accepted it.
    Accepted,
    /// The upstream has finished it.
    Done,
    /// The upstream has seen a larger fencing token.
    Stale,
    /// It could not be sent, or no answer arrived.
    Failed,
}

/// A state change to be logged.
#[derive(Clone, Debug, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Line {
    /// A configuration came into force.
    InForce(Revision),
    /// This daemon began to own an upstream's permits.
    OwnershipTaken(UpstreamId),
    /// This daemon stopped owning an upstream's permits.
    OwnershipLeft(UpstreamId),
    /// The warmth of an upstream or KV cache store changed.
    WarmthChanged(UpstreamId, crate::snapshot::Warmth),
    /// The key-value service stopped answering.
    ServiceDown,
    /// The key-value service answers again.
    ServiceBack,
    /// The membership changed: the epoch's number and its count of members.
    Epoch(u64, usize),
}
