//! What the dispatcher is told and what it asks for.

use std::sync::Arc;
use std::time::Duration;

use acacia_catalog::id::{Incarnation, StoreId, UpstreamId, VersionId};
use strum::{Display, EnumString, IntoStaticStr, VariantNames};

use crate::control::{Answer, Claim, ClaimOutcome, Permit, Ticket, Usage};
use crate::request::{BlockKey, Request};
use crate::snapshot::{Load, Snapshot};
use crate::{Time, Verdict};

/// How requests are spread over upstreams.
#[derive(
    Clone, Copy, Debug, Default, Display, EnumString, Eq, IntoStaticStr, PartialEq, VariantNames,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Strategy {
    /// By estimated time to first token, with cache imports and chosen exports.
    #[default]
    #[strum(serialize = "ours")]
    TimeToFirstToken,
    /// To the least loaded upstream; no imports.
    LeastLoaded,
    /// By rendezvous of the history, spilling when full; no imports.
    Affinity,
    /// As ours, without imports and exports.
    NoImport,
    /// As ours, exporting every block after every answer.
    ExportAll,
}

/// Unguessable name of one attempt; an answer must echo it.
pub type AttemptId = u128;

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed; sent at least every [`crate::control::TICK`].
    Tick,
    /// Control published a snapshot.
    Snapshot(Arc<Snapshot>),
    /// A caller's request came.
    Arrived(Ticket, Request),
    /// The caller of a request went away.
    Abandoned(Ticket),
    /// Control answered a claim.
    Claimed(Ticket, ClaimOutcome),
    /// Control granted a permit.
    Permit(Permit),
    /// Control grants no permit for now.
    PermitRefused(UpstreamId, Duration),
    /// The stores answered which blocks of a prompt they hold.
    Found(Ticket, Vec<Holding>),
    /// Bytes of the answer came; `tokens` so far in the whole answer, over all attempts.
    Progress {
        /// The attempt.
        attempt: AttemptId,
        /// Output tokens that the caller has been sent.
        tokens: u32,
    },
    /// An attempt ended.
    Ended {
        /// The attempt.
        attempt: AttemptId,
        /// How.
        ending: Ending,
    },
    /// An upstream reported its load.
    Reported(UpstreamId, Load),
    /// An engine told that it holds, or no longer holds, blocks. Late and with gaps.
    Cached {
        /// The engine.
        upstream: UpstreamId,
        /// Its process life.
        incarnation: Incarnation,
        /// Blocks stored.
        stored: Vec<BlockKey>,
        /// Blocks removed.
        removed: Vec<BlockKey>,
    },
    /// An import or export moved bytes over a link.
    Transferred {
        /// The store.
        store: StoreId,
        /// The upstream.
        upstream: UpstreamId,
        /// Bytes moved.
        bytes: u64,
        /// How long it took.
        took: Duration,
        /// Whether it succeeded.
        ok: bool,
    },
    /// The process was told to stop; arrivals are refused from now on.
    Stop,
}

/// Blocks of one prompt that one store holds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Holding {
    /// The store.
    pub store: StoreId,
    /// The store's process life.
    pub incarnation: Incarnation,
    /// For each block of the prompt in order, its manifest's logical bytes if held.
    pub blocks: Vec<Option<u64>>,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Ending {
    /// The whole answer came.
    Complete {
        /// Prompt tokens that the engine found in its cache.
        cached_tokens: u32,
        /// Time from dispatch to the first byte.
        first_byte: Duration,
        /// A small answer of a plain service, for the claim.
        answer: Option<Answer>,
    },
    /// The upstream said that it did not run the request.
    Refused {
        /// Why.
        reason: Reason,
        /// When to come back, when it said.
        retry_after: Option<Duration>,
    },
    /// No byte may have reached the upstream.
    Unsent,
    /// The connection broke, a byte was wrong, or time ran out, after a byte may have left.
    Broken {
        /// Output tokens that the caller has been sent so far, over all attempts.
        tokens: u32,
    },
    /// The upstream answered with an error that is the caller's to mend; the answer was passed on.
    Rejected,
}

/// Why an upstream or this system refuses.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// Too much work.
    Overloaded,
    /// In cold start.
    Cold,
    /// Leaving.
    Leaving,
    /// The engine holds another weight version.
    WrongVersion,
    /// No upstream can serve it.
    NoUpstream,
    /// The organisation's queue is full.
    QueueFull,
    /// It cannot be served before its deadline.
    Deadline,
    /// A claim could not be made.
    ClaimUnavailable,
    /// The key was used for another request.
    KeyMismatch,
    /// The same request ran before, or may have, and its answer is not held.
    Repeated,
    /// This daemon is stopping.
    Stopping,
    /// This daemon has no configuration yet.
    NotReady,
    /// The upstream broke off and the request may not be repeated.
    Interrupted,
    /// Retries are spent.
    RetriesSpent,
}

/// Something to do.
#[derive(Clone, Debug)]
pub enum Action {
    /// Ask control for a claim.
    Claim(Ticket, Claim),
    /// Tell control how a claimed request ended.
    ClaimEnded {
        /// The claim.
        claim: Claim,
        /// What is known of it.
        verdict: Verdict,
        /// Its answer, when small.
        answer: Option<Answer>,
    },
    /// Ask control for permits.
    AskPermit {
        /// The upstream.
        upstream: UpstreamId,
        /// Requests that wait for it.
        waiting: u32,
    },
    /// Give a permit back.
    ReturnPermit(Permit, Usage),
    /// Ask these stores which blocks of the prompt they hold; answer with `Found`.
    Find(Ticket, Vec<StoreId>),
    /// Run an attempt.
    Start(Ticket, Attempt),
    /// Tell an upstream to drop an attempt that was superseded or whose caller left.
    Cancel(AttemptId, UpstreamId),
    /// Answer the caller from a stored answer.
    Replay(Ticket, Answer),
    /// Refuse or fail the request; final.
    Refuse(Ticket, Refusal),
    /// The request is answered, or its caller left; forget it.
    Finish(Ticket),
    /// Save blocks from an engine to stores, after the answer.
    Export {
        /// The engine that holds them.
        upstream: UpstreamId,
        /// The version they belong to.
        version: VersionId,
        /// The blocks and where each goes.
        blocks: Vec<(BlockKey, StoreId)>,
        /// Most bytes a second to use.
        bytes_per_second: u64,
    },
}

/// One attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Attempt {
    /// Its name.
    pub id: AttemptId,
    /// Where it runs.
    pub upstream: UpstreamId,
    /// The permit that it runs under, on a cold upstream.
    pub permit: Option<Permit>,
    /// The process life it was chosen for; zero when unknown.
    pub incarnation: Incarnation,
    /// The weight version that it must run on, of a prompt.
    pub version: Option<VersionId>,
    /// Names of the prompt's full pieces under that version.
    pub blocks: Arc<[BlockKey]>,
    /// Blocks to import before it starts, in order.
    pub imports: Vec<Import>,
    /// How it continues what the caller has been sent.
    pub start: Start,
    /// Priority at the engine; lower is sooner.
    pub priority: u32,
    /// When the first byte must have come.
    pub first_byte_by: Time,
}

/// How an attempt begins.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Start {
    /// From nothing.
    Fresh,
    /// By the resume call of the engine that ran an earlier attempt.
    Resume {
        /// The earlier attempt.
        earlier: AttemptId,
        /// Output tokens already sent.
        offset: u32,
    },
    /// On another engine, with the tokens so far as part of the prompt.
    Continue {
        /// Output tokens already sent.
        offset: u32,
    },
}

/// A block to bring into an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Import {
    /// The block.
    pub block: BlockKey,
    /// Where it lies.
    pub store: StoreId,
    /// The store's process life when it was found.
    pub incarnation: Incarnation,
    /// Bytes that it counts for on the link.
    pub logical_bytes: u64,
}

/// The end of a request that was not answered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// Whether it may have run.
    pub verdict: Verdict,
    /// When to come back.
    pub retry_after: Option<Duration>,
}
