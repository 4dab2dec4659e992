//! The life of one request, a type for each stage.
//!
//! A request is received, admitted, claimed if it may run only once and has a key, looked up in the
//! stores if that may pay, queued, and run. Each transition consumes the earlier stage, and the two
//! ends, [`Job::refuse`] and [`Job::answer`], consume the request: it ends once.

use std::sync::Arc;
use std::time::Duration;

use acacia_catalog::id::{Incarnation, VersionId};

use super::event::{Action, AttemptId, Holding, Reason, Refusal};
use super::fleet::{MemberKey, PoolKey};
use super::queue::Org;
use crate::control::{Answer, Claim, Permit, Ticket};
use crate::request::{BlockKey, Request};
use crate::{Time, Verdict};

/// What every stage knows.
pub struct Core {
    /// The daemon's number for it.
    pub ticket: Ticket,
    /// What was asked.
    pub request: Request,
    /// Who pays.
    pub org: Org,
    /// The payer's weight at arrival.
    pub weight: u32,
    /// The pool that serves it.
    pub pool: PoolKey,
    /// When it came.
    pub arrived: Time,
    /// When it is looked at again unless something happens.
    pub due: Time,
    /// The claim that it holds or asks for.
    pub claim: Option<Claim>,
    /// What is known of its attempts.
    pub verdict: Verdict,
    /// Attempts so far.
    pub attempts: u32,
    /// Output tokens that the caller has been sent.
    pub sent: u32,
    /// The weight version that it runs on.
    pub version: Option<VersionId>,
    /// Names of its full pieces under that version.
    pub blocks: Arc<[BlockKey]>,
    /// What the stores hold of them, once asked.
    pub holdings: Option<Arc<[Holding]>>,
    /// The attempt that a broken stream may be resumed from.
    pub interruption: Option<Interruption>,
    /// Whether its caller left; nothing more is said to it.
    pub abandoned: bool,
}

/// An attempt whose stream broke.
#[derive(Clone, Debug)]
pub struct Interruption {
    /// The attempt.
    pub attempt: AttemptId,
    /// Where it ran.
    pub member: MemberKey,
    /// The process life that it ran in.
    pub incarnation: Incarnation,
}

/// A request in one stage.
pub struct Job<S> {
    /// What every stage knows.
    pub core: Box<Core>,
    /// What only this stage knows.
    pub stage: S,
}

/// Waits for the answer to its claim.
pub struct Claiming;
/// Free to run.
pub struct Admitted;
/// Waits for what the stores hold.
pub struct Finding;
/// Waits for an upstream.
pub struct Queued;
/// Runs.
pub struct Running {
    /// The attempt.
    pub attempt: AttemptId,
    /// Where.
    pub member: MemberKey,
    /// The process life that it was sent to.
    pub incarnation: Incarnation,
    /// The permit that it runs under.
    pub permit: Option<Permit>,
    /// When it was sent.
    pub since: Time,
    /// Prompt tokens expected to be computed.
    pub computed: u64,
    /// Whether a first byte came.
    pub has_first_byte: bool,
    /// Full pieces that the engine was expected to hold or import.
    pub covered: usize,
    /// Whether the attempt resumes an earlier one.
    pub resumes: bool,
}
/// Its last attempt failed.
pub struct Failed;

/// A request in any stage.
pub enum Stage {
    /// Waits for the answer to its claim.
    Claiming(Job<Claiming>),
    /// Waits for what the stores hold.
    Finding(Job<Finding>),
    /// Waits for an upstream.
    Queued(Job<Queued>),
    /// Runs.
    Running(Job<Running>),
}

impl Stage {
    /// What every stage knows.
    pub fn core(&self) -> &Core {
        match self {
            Self::Claiming(job) => &job.core,
            Self::Finding(job) => &job.core,
            Self::Queued(job) => &job.core,
            Self::Running(job) => &job.core,
        }
    }

    /// What every stage knows, to change.
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

    /// Ends a request whose caller left; a claim that it holds is released.
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
    /// A request that needs a claim.
    pub fn claim(core: Core) -> Self {
        Self { core: Box::new(core), stage: Claiming }
    }

    /// The claim is held.
    pub fn grant(self) -> Job<Admitted> {
        self.into_stage(Admitted)
    }

    /// The claim isn't held; the request ends with `last`.
    pub fn deny(self, last: Action, out: &mut Vec<Action>) {
        out.push(last);
    }

    /// The caller left; gives the claim to release once it is answered.
    pub fn abandon(self) -> Option<Claim> {
        self.core.claim
    }
}

impl Job<Admitted> {
    /// A request that needs no claim.
    pub fn admit(core: Core) -> Self {
        Self { core: Box::new(core), stage: Admitted }
    }

    /// Asks the stores first.
    pub fn find(self) -> Job<Finding> {
        self.into_stage(Finding)
    }

    /// Waits for an upstream.
    pub fn queue(self) -> Job<Queued> {
        self.into_stage(Queued)
    }
}

impl Job<Finding> {
    /// The stores answered, or didn't in time.
    pub fn found(mut self, holdings: Vec<Holding>) -> Job<Admitted> {
        self.core.holdings = Some(holdings.into());
        self.into_stage(Admitted)
    }
}

impl Job<Queued> {
    /// Sends it to an upstream.
    pub fn run(mut self, running: Running) -> Job<Running> {
        self.core.attempts += 1;
        self.into_stage(running)
    }
}

impl Job<Running> {
    /// The attempt is over.
    pub fn end(self) -> (Job<Failed>, Running) {
        (Job { core: self.core, stage: Failed }, self.stage)
    }
}

impl Job<Failed> {
    /// Tries again.
    pub fn retry(self) -> Job<Admitted> {
        self.into_stage(Admitted)
    }

    /// The caller has its answer.
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
