//! What daemons tell one another.
//!
//! Messages go one way; they may be lost, doubled, late or out of order. Each is therefore either a
//! statement that stays true, or carries the number of the question that it answers.

use acacia_catalog::chunk::Slot;
use acacia_catalog::id::{DaemonId, Incarnation, Name, Revision, UpstreamId, ZoneId};
use acacia_catalog::root::Past;
use serde::{Deserialize, Serialize};

use crate::Time;
use crate::control::{
    Claim, ClaimOutcome, Ending, Epoch, EpochNumber, Order, OrderOutcome, PermitId, Ticket,
};

/// Name of a chunk.
pub type ChunkHash = acacia_catalog::chunk::Hash;

/// A message and its sender.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Envelope {
    /// Who sends.
    pub from: Sender,
    /// What is sent.
    pub message: Message,
}

/// The daemon that sent a message.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Sender {
    /// Its name.
    pub daemon: DaemonId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Where peers reach it.
    pub address: std::net::SocketAddr,
}

/// What one daemon tells another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// The sender lives.
    Hello,
    /// What the sender knows, in short.
    Digest(Digest),
    /// Asks for the membership that the peer knows.
    EpochPull,
    /// A membership.
    Epoch(Epoch),
    /// Asks a witness to confirm that it knows no newer membership.
    Probe(Probe),
    /// Answers a probe.
    Confirm(Confirm),
    /// Asks for the root of the configuration in force, by one who has this revision.
    RootPull(Revision),
    /// What is new in a root.
    Root(RootNews),
    /// Asks for chunks.
    ChunkPull(Vec<ChunkHash>),
    /// A chunk.
    Chunk(Chunk),
    /// Tells an owner what permits the sender holds and wants.
    Permits(PermitState),
    /// The owner's answer.
    Grant(Grant),
    /// A leaving owner's state, for its successor.
    HandOver(HandOver),
    /// Claims for the shard's committer.
    Claims(Vec<ClaimEntry>),
    /// What became of a claim.
    Claimed(Ticket, ClaimOutcome),
    /// An order for the daemon that gives orders.
    Order(Order),
    /// What became of an order.
    Ordered(Order, OrderOutcome),
}

/// What a daemon knows, in short.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Digest {
    /// Number of its membership.
    pub epoch: EpochNumber,
    /// Revision in force at it.
    pub revision: Revision,
    /// News of upstreams since the last digest.
    pub rumours: Vec<Rumour>,
}

/// News of one upstream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Rumour {
    /// The upstream.
    pub upstream: UpstreamId,
    /// The process life that it is about.
    pub incarnation: Incarnation,
    /// What is said.
    pub news: News,
    /// Hops that it may still go.
    pub hops: u8,
}

/// What is said of an upstream.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum News {
    /// Its owner has seen it through its cold start.
    Warm,
    /// It restarted, broke a connection or refused as overloaded.
    Cold,
    /// It is leaving.
    Leaving,
}

/// A question to a witness.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Probe {
    /// The membership that the sender acts under.
    pub epoch: EpochNumber,
    /// When it was sent, by the sender's clock.
    pub sent: Time,
}

/// A witness's answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Confirm {
    /// The newest membership that the witness knows.
    pub epoch: EpochNumber,
    /// The probe's `sent`.
    pub echo: Time,
    /// Revision in force at the witness.
    pub revision: Revision,
}

/// What is new in a root since an earlier revision; whole when that is zero.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RootNews {
    /// The earlier revision.
    pub since: Revision,
    /// The root's revision.
    pub revision: Revision,
    /// Name of the change that made it.
    pub change: Name,
    /// Who made the change.
    pub author: String,
    /// Slots of the index that differ.
    pub altered: Vec<(Slot, Option<ChunkHash>)>,
    /// Revisions in between, and the earlier one itself, latest first.
    pub history: Vec<Past>,
}

/// A piece of the configuration.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Chunk {
    /// Its name.
    pub hash: ChunkHash,
    /// Its bytes.
    #[serde(with = "serde_bytes")]
    pub bytes: Vec<u8>,
}

/// The permits of one daemon for one upstream; the latest of a sender replaces the earlier ones.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PermitState {
    /// The upstream.
    pub upstream: UpstreamId,
    /// The membership by which the receiver is the owner.
    pub epoch: EpochNumber,
    /// Number of this statement; grants for earlier ones are no longer accepted.
    pub number: u64,
    /// When it was sent, by the sender's clock.
    pub sent: Time,
    /// Requests that wait.
    pub waiting: u32,
    /// Permits in use or to be used.
    pub held: Vec<PermitId>,
    /// Permits returned after an answer, since the owner took over.
    pub answered: u32,
    /// When the sender last saw for itself that the upstream is cold, by its clock.
    pub cold_at: Option<Time>,
    /// The upstream's process life as the sender knows it; zero when never seen.
    pub incarnation: Incarnation,
}

/// An owner's answer to a [`PermitState`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Grant {
    /// The upstream.
    pub upstream: UpstreamId,
    /// The membership by which the sender is the owner.
    pub epoch: EpochNumber,
    /// Number of the statement that it answers.
    pub number: u64,
    /// When that statement was sent, by its sender's clock.
    pub echo: Time,
    /// The process life that the permits are good for.
    pub incarnation: Incarnation,
    /// New permits.
    pub permits: Vec<PermitId>,
    /// Whether the upstream is warm and needs none.
    pub warm: bool,
}

/// What a leaving owner tells its successor.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct HandOver {
    /// The membership without the sender.
    pub epoch: EpochNumber,
    /// Upstreams and the requests that may be running under the sender's permits.
    pub running: Vec<(UpstreamId, u32)>,
    /// Whether nothing runs at any other upstream that the receiver gets from the sender.
    pub clean: bool,
}

/// A claim on its way to a committer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ClaimEntry {
    /// A claim that the sender wants.
    Want(Ticket, Claim),
    /// The end of a claim that the sender held.
    End(Ending),
}
