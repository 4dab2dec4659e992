//! The lifecycle of one request, with a type for each stage.
//!
//! A request is received, claimed if it may run only once and has a key, admitted, looked up in the
//! KV cache stores if that may save prefill, queued, and run. Each transition consumes the earlier
//! stage, and the ends, such as [`Job::refuse`] and [`Job::answer`], consume the request, so that
//! it ends only once.

use std::sync::Arc;
use std::time::Duration;

use acacia_catalog::id::{Incarnation, VersionId};

use super::event::{Action, AttemptId, Holding, Reason, Refusal};
use super::fleet::{MemberKey, PoolKey};
use super::queue::Org;
use crate::control::{Answer, Claim, Permit, Ticket};
use crate::request::{BlockKey, Request};
use crate::{Time, Verdict};

/// State that all stages share.
pub struct Core {
    /// Its number at this daemon.
    pub ticket: Ticket,
    /// The request.
    pub request: Request,
    /// The organisation that is charged.
    pub org: Org,
    /// The organisation's weight at arrival.
    pub weight: u32,
    /// The pool that serves it.
    pub pool: PoolKey,
    /// When it arrived.
    pub arrived: Time,
    /// When its stage times out.
    pub due: Time,
    /// The claim that it holds or waits for.
    pub claim: Option<Claim>,
    /// Whether any attempt may have run it.
    pub verdict: Verdict,
    /// Attempts so far.
    pub attempts: u32,
    /// Output tokens that were sent to the caller.
    pub sent: u32,
    /// The weight version that it runs on.
    pub version: Option<VersionId>,
    /// Keys of its full blocks under that version.
    pub blocks: Arc<[BlockKey]>,
    /// Stores' holdings of these blocks, once looked up.
    pub holdings: Option<Arc<[Holding]>>,
    /// The interrupted attempt whose stream may be resumed.
    pub interruption: Option<Interruption>,
    /// Whether the caller disconnected; it is sent nothing more.
    pub abandoned: bool,
}

/// An attempt whose stream broke.
#[derive(Clone, Debug)]
pub struct Interruption {
    /// The attempt.
    pub attempt: AttemptId,
    /// The upstream.
    pub member: MemberKey,
    /// The upstream's incarnation.
    pub incarnation: Incarnation,
}

/// A request in one stage.
pub struct Job<S> {
    /// State that all stages share.
    pub core: Box<Core>,
    /// State of this stage.
    pub stage: S,
}

/// Waits for the outcome of its claim.
pub struct Claiming;
/// May run.
pub struct Admitted;
/// Waits for the stores' holdings.
pub struct Finding;
/// Waits in the queue for an upstream.
pub struct Queued;
/// Runs.
pub struct Running {
    /// The attempt.
    pub attempt: AttemptId,
    /// The upstream.
    pub member: MemberKey,
    /// The upstream's incarnation at the start.
    pub incarnation: Incarnation,
    /// The permit that it runs under.
    pub permit: Option<Permit>,
    /// When it was sent.
    pub since: Time,
    /// Prompt tokens that the engine is expected to compute.
    pub computed: u64,
    /// Whether the first byte was received.
    pub has_first_byte: bool,
    /// Full blocks that the engine was expected to hold or import.
    pub covered: usize,
    /// Whether the attempt resumes an earlier one.
    pub resumes: bool,
}
/// Its last attempt ended.
pub struct Failed;

/// A request in any stage.
pub enum Stage {
    /// Waits for the outcome of its claim.
    Claiming(Job<Claiming>),
    /// Waits for the stores' holdings.
    Finding(Job<Finding>),
    /// Waits in the queue for an upstream.
    Queued(Job<Queued>),
    /// Runs.
    Running(Job<Running>),
}

impl Stage {
    /// State that all stages share.
    pub fn core(&self) -> &Core {
        match self {
            Self::Claiming(job) => &job.core,
            Self::Finding(job) => &job.core,
            Self::Queued(job) => &job.core,
            Self::Running(job) => &job.core,
        }
    }

    /// Mutable state that all stages share.
    pub fn core_mut(&mut self) -> &mut Core {
        match self {
            Self::Claiming(job) => &mut job.core,
            Self::Finding(job) => &mut job.core,
            Self::Queued(job) => &mut job.core,
            Self::Running(job) => &mut job.core,
        }
    }
}

impl<S> Job<S> {
    fn into_stage<T>(self, stage: T) -> Job<T> {
        Job { core: self.core, stage }
    }

    /// Ends a request whose caller disconnected, and its claim.
    pub fn discard(self, out: &mut Vec<Action>) {
        let core = *self.core;
        if let Some(claim) = core.claim {
            out.push(Action::ClaimEnded { claim, verdict: core.verdict, answer: None });
        }
    }

    /// Ends the request without an answer.
    pub fn refuse(self, reason: Reason, retry_after: Option<Duration>, out: &mut Vec<Action>) {
        let core = *self.core;
        if let Some(claim) = core.claim {
            out.push(Action::ClaimEnded { claim, verdict: core.verdict, answer: None });
        }
        if !core.abandoned {
            let refusal = Refusal { reason, verdict: core.verdict, retry_after };
            out.push(Action::Refuse(core.ticket, refusal));
        }
    }
}

impl Job<Claiming> {
    /// Starts a request that needs a claim.
    pub fn claim(core: Core) -> Self {
        Self { core: Box::new(core), stage: Claiming }
    }

    /// Admits the request; its claim was granted.
    pub fn grant(self) -> Job<Admitted> {
        self.into_stage(Admitted)
    }

    /// Ends the request with `last`; its claim wasn't granted.
    pub fn deny(self, last: Action, out: &mut Vec<Action>) {
        out.push(last);
    }

    /// Ends a request whose caller disconnected; returns the claim, to be released once granted.
    pub fn abandon(self) -> Option<Claim> {
        self.core.claim
    }
}

impl Job<Admitted> {
    /// Starts a request that needs no claim.
    pub fn admit(core: Core) -> Self {
        Self { core: Box::new(core), stage: Admitted }
    }

    /// Waits for the stores' holdings.
    pub fn find(self) -> Job<Finding> {
        self.into_stage(Finding)
    }

    /// Waits in the queue.
    pub fn queue(self) -> Job<Queued> {
        self.into_stage(Queued)
    }
}

impl Job<Finding> {
    /// Continues with the stores' answers; none if the lookup timed out.
    pub fn found(mut self, holdings: Vec<Holding>) -> Job<Admitted> {
        self.core.holdings = Some(holdings.into());
        self.into_stage(Admitted)
    }
}

impl Job<Queued> {
    /// Starts an attempt.
    pub fn run(mut self, running: Running) -> Job<Running> {
        self.core.attempts += 1;
        self.into_stage(running)
    }
}

impl Job<Running> {
    /// Ends the attempt.
    pub fn end(self) -> (Job<Failed>, Running) {
        (Job { core: self.core, stage: Failed }, self.stage)
    }
}

impl Job<Failed> {
    /// Admits the request again.
    pub fn retry(self) -> Job<Admitted> {
        self.into_stage(Admitted)
    }

    /// Ends an answered request.
    pub fn answer(self, answer: Option<Answer>, out: &mut Vec<Action>) {
        let core = *self.core;
        if let Some(claim) = core.claim {
            out.push(Action::ClaimEnded { claim, verdict: Verdict::Ran, answer });
        }
        if !core.abandoned {
            out.push(Action::Finish(core.ticket));
        }
    }
}
