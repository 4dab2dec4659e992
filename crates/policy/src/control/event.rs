//! What control is told and what it asks for.

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
/// Number of a question that traffic or an operator asked, unique in one daemon.
pub type Ticket = u64;
/// Number of a permit, unique for its owner.
pub type PermitId = u64;
/// Fencing number: a later holder's is larger.
pub type Fence = u64;
/// Name of a change that its operator chose, unique for ever.
pub type ChangeId = Name;

/// Who a daemon is.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Its name, unique for this process life.
    pub daemon: DaemonId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Where peers reach it.
    pub address: SocketAddr,
    /// Seed of its random choices.
    pub seed: u64,
}

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed; sent at least every [`TICK`].
    Tick,
    /// A call to the key-value service ended.
    Kv(CallId, kv::Outcome),
    /// A peer's message came.
    Message(Envelope),
    /// The live list was read.
    Listed(Vec<Instance>),
    /// An upstream or store showed something of itself.
    Observed(UpstreamId, Observation),
    /// Traffic asks for permits for a cold upstream.
    PermitWanted {
        /// The upstream.
        upstream: UpstreamId,
        /// Requests that wait for it.
        waiting: u32,
    },
    /// Traffic gives a permit back.
    PermitReturned {
        /// The permit.
        permit: Permit,
        /// How the request under it went.
        usage: Usage,
    },
    /// Traffic asks to claim a request that may run only once.
    ClaimWanted(Ticket, Claim),
    /// A claimed request ended.
    ClaimEnded {
        /// Which.
        claim: Claim,
        /// What is known of it.
        verdict: Verdict,
        /// The whole answer, when it is small enough to keep.
        answer: Option<Answer>,
    },
    /// An operator wants a configuration in force.
    ChangeWanted(Ticket, Change),
    /// An operator wants an upstream to do something.
    OrderWanted(Ticket, Order),
    /// An upstream answered an order.
    Ordered(Order, OrderOutcome),
    /// The process was told to stop.
    Stop,
}

/// Longest time between two ticks.
pub const TICK: Duration = Duration::from_millis(100);

/// Something to do.
#[derive(Clone, Debug)]
pub enum Action {
    /// Call the key-value service.
    Kv(CallId, kv::Request),
    /// Send a message to a peer.
    Send(SocketAddr, Envelope),
    /// Hand the snapshot to traffic.
    Publish(Arc<Snapshot>),
    /// Hand a permit to traffic.
    Permit(Permit),
    /// Tell traffic that no permit comes soon.
    PermitRefused {
        /// The upstream.
        upstream: UpstreamId,
        /// When to ask again, from now.
        retry_after: Duration,
    },
    /// Answer `ClaimWanted`.
    Claimed(Ticket, ClaimOutcome),
    /// Answer `ChangeWanted`.
    Changed(Ticket, ChangeOutcome),
    /// Read an upstream's load now and answer with `Observed`.
    Probe(UpstreamId),
    /// Send an order to an upstream.
    Order(Order),
    /// Answer `OrderWanted`.
    OrderEnded(Ticket, OrderOutcome),
    /// Write a line about a change of state.
    Log(Line),
    /// Everything is handed over; the process may end once traffic has drained.
    Stopped,
}

/// An instance on the live list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Instance {
    /// Its name.
    pub name: Name,
    /// What it is.
    pub kind: InstanceKind,
    /// Its address.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Its process life.
    pub incarnation: Incarnation,
}

/// Kinds of instances on the live list.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum InstanceKind {
    /// One of ours.
    Daemon,
    /// An engine or plain service.
    Upstream,
    /// A KV cache store.
    Store,
}

/// What an upstream or store showed of itself.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Observation {
    /// It answered a request well.
    Answered(Incarnation),
    /// It refused as overloaded or cold.
    Overloaded(Incarnation),
    /// It refused because it is leaving.
    Leaving(Incarnation),
    /// A connection broke or could not be made.
    Unreachable,
    /// Its load report.
    Reported(Load),
}

/// The right to run one request on a cold upstream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Permit {
    /// Its number.
    pub id: PermitId,
    /// The daemon that granted it.
    pub owner: DaemonId,
    /// The upstream.
    pub upstream: UpstreamId,
    /// The only process life it is good for.
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

/// The name of a request that may run only once.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Claim {
    /// The caller's organisation.
    pub organisation: Name,
    /// The caller's key.
    pub key: IdempotencyKey,
    /// Hash of the request.
    pub fingerprint: [u8; 32],
}

/// Whether a claimed request may start.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ClaimOutcome {
    /// This daemon, and no other ever, may send it once.
    Granted,
    /// It was claimed before; what is known of it.
    Taken {
        /// Whether it ran.
        verdict: Verdict,
        /// Its answer, when held.
        answer: Option<Answer>,
    },
    /// The key was used for another request.
    Mismatch,
    /// The claim could not be made and is not held; the request did not run.
    Unavailable,
}

/// A small whole answer of a plain service.
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

/// A configuration that an operator wants in force.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Change {
    /// Its name.
    pub id: ChangeId,
    /// The revision that the operator started from.
    pub base: Revision,
    /// Who wants it.
    pub author: String,
    /// The whole configuration.
    pub document: Document,
}

/// What became of a change.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ChangeOutcome {
    /// It is accepted and will be in force everywhere.
    Accepted(Revision),
    /// Another change came first; the revision in force.
    Conflict(Revision),
    /// It was refused.
    Invalid(Vec<Problem>),
    /// The key-value service is down; the change is not accepted and will not be.
    Unavailable,
    /// The service did not tell; ask again with the same change id.
    Unknown,
}

/// Something that an upstream is to do.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Order {
    /// The upstream.
    pub upstream: UpstreamId,
    /// What it is to do.
    pub duty: OrderDuty,
    /// The holder's fencing number.
    pub fence: Fence,
    /// Unique name of the order.
    pub id: Name,
}

/// What an order asks.
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

/// What became of an order.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[strum(serialize_all = "snake_case")]
pub enum OrderOutcome {
    /// The upstream accepted it.
    Accepted,
    /// The upstream has finished it.
    Done,
    /// The upstream has seen a larger fencing number.
    Stale,
    /// It could not be sent, or no answer came.
    Failed,
}

/// A change of state, for the log.
#[derive(Clone, Debug, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Line {
    /// A configuration came into force.
    InForce(Revision),
    /// This daemon began to own an upstream's permits.
    OwnershipTaken(UpstreamId),
    /// This daemon stopped owning an upstream's permits.
    OwnershipLeft(UpstreamId),
    /// An upstream's state changed.
    WarmthChanged(UpstreamId, crate::snapshot::Warmth),
    /// The key-value service stopped answering.
    ServiceDown,
    /// The key-value service answers again.
    ServiceBack,
    /// The membership changed.
    Epoch(u64, usize),
}
