//! Inputs and outputs of the dispatcher.

use std::sync::Arc;
use std::time::Duration;

use acacia_catalog::id::{Incarnation, StoreId, UpstreamId, VersionId};
use strum::{Display, EnumString, IntoStaticStr, VariantNames};

use crate::control::{Answer, Claim, ClaimOutcome, Permit, Ticket, Usage};
use crate::request::{BlockKey, Request};
use crate::snapshot::{Load, Snapshot};
use crate::{Time, Verdict};

/// How requests are distributed over upstreams.
#[derive(
    Clone, Copy, Debug, Default, Display, EnumString, Eq, IntoStaticStr, PartialEq, VariantNames,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Strategy {
    /// By estimated time to first token, with imports and worthwhile exports of KV cache blocks.
    #[default]
    #[strum(serialize = "ours")]
    TimeToFirstToken,
    /// To the least loaded upstream; no imports.
    LeastLoaded,
    /// By rendezvous hash of the prompt's first block, to the next in rank when full; no imports.
    Affinity,
    /// As [`Self::TimeToFirstToken`], without imports and exports.
    NoImport,
    /// As [`Self::TimeToFirstToken`], exporting every block after every answer.
    ExportAll,
}

/// Unguessable id of one attempt; an answer must echo it.
pub type AttemptId = u128;

/// An input of the dispatcher.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed; sent at least every [`crate::control::TICK`].
    Tick,
    /// The control thread published a snapshot.
    Snapshot(Arc<Snapshot>),
    /// A request arrived.
    Arrived(Ticket, Request),
    /// The caller of a request disconnected.
    Abandoned(Ticket),
    /// The outcome of a claim.
    Claimed(Ticket, ClaimOutcome),
    /// A permit was granted.
    Permit(Permit),
    /// No permit is granted; when to ask again.
    PermitRefused(UpstreamId, Duration),
    /// The blocks of a prompt that the KV cache stores hold.
    Found(Ticket, Vec<Holding>),
    /// Bytes of an answer were received.
    Progress {
        /// The attempt.
        attempt: AttemptId,
        /// Output tokens that were sent to the caller, over all attempts.
        tokens: u32,
    },
    /// An attempt ended.
    Ended {
        /// The attempt.
        attempt: AttemptId,
        /// How it ended.
        ending: Ending,
    },
    /// An upstream reported its load.
    Reported(UpstreamId, Load),
    /// An engine reported blocks that it stored or removed. Reports are late and incomplete.
    Cached {
        /// The engine.
        upstream: UpstreamId,
        /// Its incarnation.
        incarnation: Incarnation,
        /// Blocks stored.
        stored: Vec<BlockKey>,
        /// Blocks removed.
        removed: Vec<BlockKey>,
    },
    /// An import or export transferred bytes over a link.
    Transferred {
        /// The store.
        store: StoreId,
        /// The upstream.
        upstream: UpstreamId,
        /// Bytes transferred.
        bytes: u64,
        /// How long it took.
        took: Duration,
        /// Whether it succeeded.
        ok: bool,
    },
    /// The process is stopping; requests that arrive from now on are refused.
    Stop,
}

/// Blocks of one prompt that one KV cache store holds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Holding {
    /// The store.
    pub store: StoreId,
    /// The store's incarnation.
    pub incarnation: Incarnation,
    /// For each block of the prompt in order, the logical bytes in its manifest if held.
    pub blocks: Vec<Option<u64>>,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Ending {
    /// The complete answer was received.
    Complete {
        /// Prompt tokens that the engine found in its cache.
        cached_tokens: u32,
        /// Time from dispatch to the first byte.
        first_byte: Duration,
        /// The answer of a plain service if small, to be stored with the claim.
        answer: Option<Answer>,
    },
    /// The upstream refused the request and did not run it.
    Refused {
        /// Why.
        reason: Reason,
        /// Delay before a retry, if the upstream named one.
        retry_after: Option<Duration>,
    },
    /// No byte can have reached the upstream.
    Unsent,
    /// The connection broke, the answer was malformed or timed out, after bytes may have been sent.
    Broken {
        /// Output tokens that were sent to the caller so far, over all attempts.
        tokens: u32,
    },
    /// The upstream rejected the request as invalid; its answer was passed on to the caller.
    Rejected,
}

/// Why an upstream or this daemon refuses a request.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// Overloaded.
    Overloaded,
    /// In cold start.
    Cold,
    /// Leaving.
    Leaving,
    /// The engine holds another weight version.
    WrongVersion,
    /// No upstream can serve the request.
    NoUpstream,
    /// The organisation's queue is full.
    QueueFull,
    /// The request cannot be served before its deadline.
    Deadline,
    /// The claim could not be written.
    ClaimUnavailable,
    /// The idempotency key was used for another request.
    KeyMismatch,
    /// The same request ran or may have run before, and its answer is not stored.
    Repeated,
    /// This daemon is stopping.
    Stopping,
    /// This daemon has no configuration yet.
    NotReady,
    /// The attempt was interrupted and the request may not be repeated.
    Interrupted,
    /// No retries are left.
    RetriesSpent,
}

/// An output of the dispatcher.
#[derive(Clone, Debug)]
pub enum Action {
    /// Ask the control thread for a claim.
    Claim(Ticket, Claim),
    /// Tell the control thread how a claimed request ended.
    ClaimEnded {
        /// The claim.
        claim: Claim,
        /// Whether it ran.
        verdict: Verdict,
        /// Its answer, if small.
        answer: Option<Answer>,
    },
    /// Ask the control thread for permits.
    AskPermit {
        /// The upstream.
        upstream: UpstreamId,
        /// Requests that wait for it.
        waiting: u32,
    },
    /// Return a permit.
    ReturnPermit(Permit, Usage),
    /// Ask these stores which blocks of the prompt they hold; answered by [`Event::Found`].
    Find(Ticket, Vec<StoreId>),
    /// Run an attempt.
    Start(Ticket, Attempt),
    /// Cancel an attempt that was superseded or whose caller disconnected.
    Cancel(AttemptId, UpstreamId),
    /// Send the caller a stored answer.
    Replay(Ticket, Answer),
    /// Refuse or fail the request; ends it.
    Refuse(Ticket, Refusal),
    /// The request was answered or its caller disconnected; ends it.
    Finish(Ticket),
    /// Export blocks from an engine to KV cache stores after an answer.
    Export {
        /// The engine that holds them.
        upstream: UpstreamId,
        /// The weight version that computed them.
        version: VersionId,
        /// The blocks and the store for each.
        blocks: Vec<(BlockKey, StoreId)>,
        /// Bandwidth limit.
        bytes_per_second: u64,
    },
}

/// One attempt to run a request on an upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Attempt {
    /// Its id.
    pub id: AttemptId,
    /// Where it runs.
    pub upstream: UpstreamId,
    /// The permit that it runs under, on a cold upstream.
    pub permit: Option<Permit>,
    /// Incarnation of the upstream; zero if unknown.
    pub incarnation: Incarnation,
    /// The weight version that a prompt must run on.
    pub version: Option<VersionId>,
    /// Keys of the prompt's full blocks under that version.
    pub blocks: Arc<[BlockKey]>,
    /// Blocks to import before the prefill, in order.
    pub imports: Vec<Import>,
    /// Whether it continues an earlier attempt.
    pub start: Start,
    /// Priority at the engine; lower is served first.
    pub priority: u32,
    /// Deadline of the first byte.
    pub first_byte_by: Time,
}

/// How an attempt begins.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Start {
    /// From the first output token.
    Fresh,
    /// By the resume call of the engine that ran the earlier attempt.
    Resume {
        /// The earlier attempt.
        earlier: AttemptId,
        /// Output tokens already sent.
        offset: u32,
    },
    /// On another engine, with the output tokens so far appended to the prompt.
    Continue {
        /// Output tokens already sent.
        offset: u32,
    },
}

/// A KV cache block to import into an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Import {
    /// The block.
    pub block: BlockKey,
    /// The store that holds it.
    pub store: StoreId,
    /// The store's incarnation at the lookup.
    pub incarnation: Incarnation,
    /// Bytes that are charged to the link.
    pub logical_bytes: u64,
}

/// The end of a request that was not answered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Delay after which the caller may retry.
    pub retry_after: Option<Duration>,
}
