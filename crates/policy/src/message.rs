//! Messages between daemons.
//!
//! Messages are one-way and may be lost, duplicated, delayed or reordered. Each therefore either
//! stays true, or carries the number of the message that it answers.

use acacia_catalog::chunk::Slot;
use acacia_catalog::id::{DaemonId, Incarnation, Name, Revision, UpstreamId, ZoneId};
use acacia_catalog::root::Past;
use serde::{Deserialize, Serialize};

use crate::Time;
use crate::control::{
    Claim, ClaimOutcome, Ending, Epoch, EpochNumber, Order, OrderOutcome, PermitId, Ticket,
};

/// Content hash that names a chunk.
pub type ChunkHash = acacia_catalog::chunk::Hash;

/// A message and its sender.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Envelope {
    /// The sender.
    pub from: Sender,
    /// The message.
    pub message: Message,
}

/// The daemon that sent a message.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Sender {
    /// Its name.
    pub daemon: DaemonId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Address at which peers reach it.
    pub address: std::net::SocketAddr,
}

/// A message from one daemon to another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// The sender is alive.
    Hello,
    /// Summary of the sender's state.
    Digest(Digest),
    /// Requests the newest epoch that the peer knows.
    EpochPull,
    /// An epoch.
    Epoch(Epoch),
    /// Asks a witness to confirm that it knows no newer epoch.
    Probe(Probe),
    /// Answers a probe.
    Confirm(Confirm),
    /// Requests the root of the configuration in force; the sender has this revision.
    RootPull(Revision),
    /// Changes to the root.
    Root(RootNews),
    /// Requests chunks.
    ChunkPull(Vec<ChunkHash>),
    /// A chunk.
    Chunk(Chunk),
    /// The permits that the sender holds and wants, for the owner.
    Permits(PermitState),
    /// The owner's answer to [`Self::Permits`].
    Grant(Grant),
    /// An earlier owner's state, for its successor.
    HandOver(HandOver),
    /// Claims for the shard's committer.
    Claims(Vec<ClaimEntry>),
    /// The outcome of a claim.
    Claimed(Ticket, ClaimOutcome),
    /// An order for the daemon that sends orders.
    Order(Order),
    /// The outcome of an order.
    Ordered(Order, OrderOutcome),
}

/// Summary of a daemon's state.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Digest {
    /// Number of its newest epoch.
    pub epoch: EpochNumber,
    /// Revision in force at it.
    pub revision: Revision,
    /// Changes of upstreams to pass on; empty in periodic digests.
    pub rumours: Vec<Rumour>,
}

/// A change of one upstream's state, passed on from daemon to daemon.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Rumour {
    /// The upstream.
    pub upstream: UpstreamId,
    /// The incarnation that it is about.
    pub incarnation: Incarnation,
    /// The new state.
    pub news: News,
    /// Remaining hops.
    pub hops: u8,
}

/// State of an upstream in a rumour.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum News {
    /// Its cold start is over, according to its owner.
    Warm,
    /// It restarted, broke a connection, refused as overloaded or reported itself cold.
    Cold,
    /// It is leaving.
    Leaving,
}

/// A holder's query to a witness.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Probe {
    /// The epoch that the sender acts under.
    pub epoch: EpochNumber,
    /// When it was sent, by the sender's clock.
    pub sent: Time,
}

/// A witness's answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Confirm {
    /// The newest epoch that the witness knows.
    pub epoch: EpochNumber,
    /// The probe's `sent`.
    pub echo: Time,
    /// Revision in force at the witness.
    pub revision: Revision,
}

/// Changes to the root since an earlier revision; the whole root if that is zero.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RootNews {
    /// The earlier revision.
    pub since: Revision,
    /// The root's revision.
    pub revision: Revision,
    /// Name of the change that led to it.
    pub change: Name,
    /// Author of the change.
    pub author: String,
    /// Index slots that differ; `None` removes one.
    pub altered: Vec<(Slot, Option<ChunkHash>)>,
    /// Revisions between the two, and the earlier one itself, latest first.
    pub history: Vec<Past>,
}

/// A chunk of the encoded configuration.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Chunk {
    /// Hash of its bytes.
    pub hash: ChunkHash,
    /// Its bytes.
    #[serde(with = "serde_bytes")]
    pub bytes: Vec<u8>,
}

/// The permits that one daemon holds and wants for one upstream; replaces its earlier states.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PermitState {
    /// The upstream.
    pub upstream: UpstreamId,
    /// The epoch in which the receiver is the owner.
    pub epoch: EpochNumber,
    /// Number of this state; grants for earlier ones are no longer accepted.
    pub number: u64,
    /// When it was sent, by the sender's clock.
    pub sent: Time,
    /// Waiting requests.
    pub waiting: u32,
    /// Permits that are in use or may still be used.
    pub held: Vec<PermitId>,
    /// Number of permits returned after an answer since the owner took over.
    pub answered: u32,
    /// When the sender itself last observed that the upstream is cold, by its clock.
    pub cold_at: Option<Time>,
    /// The upstream's incarnation as known to the sender; zero if never seen.
    pub incarnation: Incarnation,
}

/// An owner's answer to a [`PermitState`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Grant {
    /// The upstream.
    pub upstream: UpstreamId,
    /// The epoch in which the sender is the owner.
    pub epoch: EpochNumber,
    /// Number of the permit state that it answers.
    pub number: u64,
    /// When that permit state was sent, by its sender's clock.
    pub echo: Time,
    /// The incarnation that the permits are valid for.
    pub incarnation: Incarnation,
    /// New permits.
    pub permits: Vec<PermitId>,
    /// Whether the upstream is warm and needs no permits.
    pub warm: bool,
}

/// An earlier owner's state, for its successor.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct HandOver {
    /// The epoch in which the receiver is the owner.
    pub epoch: EpochNumber,
    /// Upstreams, and how many requests may be running on each under the sender's permits.
    pub running: Vec<(UpstreamId, u32)>,
    /// Whether no requests run on the other upstreams that the receiver takes over from the sender.
    pub clean: bool,
}

/// An entry in a message to a committer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ClaimEntry {
    /// A claim that the sender requests.
    Want(Ticket, Claim),
    /// The end of a claim that the sender held.
    End(Ending),
}
