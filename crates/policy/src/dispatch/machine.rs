//! The dispatcher's state, and a request's way from arrival to the queue.

use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use acacia_catalog::id::OrganisationId;
use acacia_catalog::object::Profile;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha12Rng;
use rustc_hash::FxHashMap;

use super::event::{Action, AttemptId, Event, Holding, Reason, Refusal, Strategy};
use super::fleet::{Fleet, MemberKey, PoolKey, Target};
use super::job::{Admitted, Claiming, Core, Finding, Job, Stage};
use super::mutation::Mutation;
use super::queue::{Admission, Entry, Org};
use super::retry::Budget;
use super::save::Pending;
use crate::cache::{Hints, Links, Rate, Returns, Saved, Stores, Weights};
use crate::control::{Claim, ClaimOutcome, Permit, Ticket, Usage};
use crate::request::{Request, Work};
use crate::snapshot::Snapshot;
use crate::{Time, Verdict};

/// Longest wait for the stores' answers to a lookup.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(50);
/// Longest wait of an interrupted stream for an upstream to continue on.
pub const CONTINUE_TIMEOUT: Duration = Duration::from_secs(10);
/// Requests held at once; more are refused.
const JOB_LIMIT: usize = 20_000;
/// Least delay that a refused caller is told to wait before a retry.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// How long a detached attempt counts as running unless it ends earlier.
pub const CANCEL_GRACE: Duration = Duration::from_secs(2);
/// Cost of one call of a plain service in the fair queue, in prompt tokens.
const CALL_COST_TOKENS: u64 = 1_000;
/// Cost of one output token, in prompt tokens.
const OUTPUT_TOKEN_COST: u64 = 4;
/// Most output tokens that a request is charged for in advance.
const CHARGED_OUTPUT_TOKENS_LIMIT: u32 = 256;

/// Dispatches the requests of one daemon.
pub struct Dispatcher {
    pub(super) strategy: Strategy,
    pub(super) rng: ChaCha12Rng,
    pub(super) snapshot: Arc<Snapshot>,
    pub(super) fleet: Fleet,
    pub(super) stores: Stores,
    pub(super) links: Links,
    pub(super) hints: Hints<MemberKey>,
    pub(super) saved: Saved,
    pub(super) returns: Returns,
    pub(super) prefill: Rate,
    pub(super) exports: VecDeque<Pending>,
    pub(super) jobs: FxHashMap<Ticket, Stage>,
    pub(super) attempts: FxHashMap<AttemptId, Ticket>,
    pub(super) detached: FxHashMap<AttemptId, Detached>,
    pub(super) budget: Budget,
    pub(super) mutation: Option<Mutation>,
    timers: BTreeSet<(Time, Ticket)>,
    orphaned_claims: FxHashMap<Ticket, Claim>,
    orgs: FxHashMap<OrganisationId, Org>,
    stopping: bool,
}

/// An attempt that was cancelled or interrupted and may still run.
pub struct Detached {
    /// The upstream.
    pub member: MemberKey,
    /// The permit that it runs under.
    pub permit: Option<Permit>,
    /// When it no longer counts as running.
    pub until: Time,
}

impl Dispatcher {
    /// A dispatcher whose random choices follow from `seed`.
    pub fn new(seed: u64, strategy: Strategy) -> Self {
        let mut rng = ChaCha12Rng::seed_from_u64(seed);
        let fleet = Fleet::new(rng.random());
        Self {
            strategy,
            rng,
            snapshot: Arc::default(),
            fleet,
            stores: Stores::default(),
            links: Links::default(),
            hints: Hints::default(),
            saved: Saved::default(),
            returns: Returns::default(),
            prefill: Rate::default(),
            exports: VecDeque::new(),
            jobs: FxHashMap::default(),
            attempts: FxHashMap::default(),
            detached: FxHashMap::default(),
            budget: Budget::default(),
            mutation: None,
            timers: BTreeSet::new(),
            orphaned_claims: FxHashMap::default(),
            orgs: FxHashMap::default(),
            stopping: false,
        }
    }

    /// Breaks a rule, for tests that the oracle detects it.
    #[doc(hidden)]
    pub fn mutate(&mut self, mutation: Mutation) {
        self.mutation = Some(mutation);
    }

    /// Disables the damping of herds, for measurements.
    #[doc(hidden)]
    pub fn disable_herd_damping(&mut self) {
        self.fleet.herd_damping = false;
    }

    /// Sizes of the dispatcher's tables.
    pub fn sizes(&self) -> Sizes {
        Sizes {
            jobs: self.jobs.len(),
            attempts: self.attempts.len() + self.detached.len(),
            queued: self.fleet.pools.values().map(|p| p.queue.len()).sum(),
            permits: self.fleet.members.values().map(|m| m.permits.len()).sum(),
            hints: self.hints.len() + self.saved.len(),
        }
    }

    /// Handles `event` at `now`; returns the actions to perform.
    pub fn step(&mut self, now: Time, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        match event {
            Event::Tick => self.tick(now, &mut out),
            Event::Snapshot(snapshot) => self.refresh(now, snapshot, &mut out),
            Event::Arrived(ticket, request) => self.arrive(now, ticket, request, &mut out),
            Event::Abandoned(ticket) => self.caller_left(now, ticket, &mut out),
            Event::Claimed(ticket, outcome) => self.claimed(now, ticket, outcome, &mut out),
            Event::Permit(permit) => self.permit_granted(now, permit, &mut out),
            Event::PermitRefused(upstream, wait) => self.permit_refused(now, &upstream, wait),
            Event::Found(ticket, holdings) => self.found(now, ticket, holdings, &mut out),
            Event::Progress { attempt, tokens } => self.progress(now, attempt, tokens),
            Event::Ended { attempt, ending } => self.ended(now, attempt, ending, &mut out),
            Event::Reported(upstream, load) => {
                if let Some(pool) = self.fleet.report(&upstream, load) {
                    self.dispatch_queued(now, pool, &mut out);
                }
            }
            Event::Cached { upstream, incarnation, stored, removed } => {
                self.cached(now, &upstream, incarnation, &stored, &removed);
            }
            Event::Transferred { store, upstream, bytes, took, ok } => {
                if ok {
                    self.observe_transfer(now, &store, &upstream, bytes, took);
                }
            }
            Event::Stop => self.stopping = true,
        }
        out
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Action>) {
        while let Some((due, ticket)) = self.timers.first().copied()
            && due <= now
        {
            self.timers.pop_first();
            self.expire(now, ticket, out);
        }
        self.expire_detached(now, out);
        self.return_permits(now, out);
        self.export_pending(now, out);
        self.dispatch_all_queued(now, out);
    }

    fn refresh(&mut self, now: Time, snapshot: Arc<Snapshot>, out: &mut Vec<Action>) {
        self.links.configure(&snapshot.set, snapshot.daemons.len());
        for permit in self.fleet.refresh(&snapshot, &self.links) {
            out.push(Action::ReturnPermit(permit, Usage::Unused));
        }
        self.stores.refresh(&snapshot, &self.links);
        self.snapshot = snapshot;
        self.dispatch_all_queued(now, out);
    }

    fn dispatch_all_queued(&mut self, now: Time, out: &mut Vec<Action>) {
        let waiting: Vec<PoolKey> =
            self.fleet.pools.iter().filter(|(_, p)| !p.queue.is_empty()).map(|(k, _)| k).collect();
        for pool in waiting {
            self.dispatch_queued(now, pool, out);
        }
    }

    fn arrive(&mut self, now: Time, ticket: Ticket, request: Request, out: &mut Vec<Action>) {
        let pool = match self.precheck(now, &request) {
            Precheck::Passed(pool) => pool,
            Precheck::Refused(reason, retry_after) => {
                let refusal = Refusal { reason, verdict: Verdict::NotRun, retry_after };
                out.push(Action::Refuse(ticket, refusal));
                return;
            }
        };
        let core = self.core(now, ticket, request, pool);
        let Some(claim) = core.claim.clone() else {
            return self.admit(now, Job::admit(core), out);
        };
        self.insert_job(core.request.deadline, Stage::Claiming(Job::claim(core)));
        out.push(Action::Claim(ticket, claim));
    }

    /// Checks whether a request may be accepted, before any claim.
    fn precheck(&self, now: Time, request: &Request) -> Precheck {
        let retry_after = Some(RETRY_AFTER);
        if self.stopping {
            return Precheck::Refused(Reason::Stopping, retry_after);
        }
        if self.snapshot.revision == 0 && self.snapshot.set.upstreams.is_empty() {
            return Precheck::Refused(Reason::NotReady, retry_after);
        }
        if now >= request.deadline {
            return Precheck::Refused(Reason::Deadline, None);
        }
        if self.jobs.len() >= JOB_LIMIT {
            return Precheck::Refused(Reason::Overloaded, retry_after);
        }
        match self.fleet.pool(&Target::of(request)) {
            Some(pool) if self.is_served(now, pool) => Precheck::Passed(pool),
            _ => Precheck::Refused(Reason::NoUpstream, retry_after),
        }
    }

    fn core(&mut self, now: Time, ticket: Ticket, request: Request, pool: PoolKey) -> Core {
        let next = Org::try_from(self.orgs.len()).unwrap_or(Org::MAX);
        let org = *self.orgs.entry(request.organisation.clone()).or_insert(next);
        let (version, blocks) = match &request.work {
            Work::Prompt(p) => (Some(p.version.clone()), Arc::clone(&p.blocks)),
            Work::Call(_) => (None, Arc::default()),
        };
        Core {
            ticket,
            org,
            weight: self.weight(&request.organisation),
            pool,
            arrived: now,
            due: now,
            claim: claim(&request),
            verdict: Verdict::NotRun,
            attempts: 0,
            sent: 0,
            version,
            blocks,
            holdings: None,
            interruption: None,
            abandoned: false,
            request,
        }
    }

    /// Inserts a request into the table, with a timer at `due`.
    pub(super) fn insert_job(&mut self, due: Time, mut stage: Stage) {
        let core = stage.core_mut();
        core.due = due;
        let ticket = core.ticket;
        self.timers.insert((due, ticket));
        self.jobs.insert(ticket, stage);
    }

    /// Removes a request and its timer from the table.
    pub(super) fn take(&mut self, ticket: Ticket) -> Option<Stage> {
        let stage = self.jobs.remove(&ticket)?;
        self.timers.remove(&(stage.core().due, ticket));
        Some(stage)
    }

    fn claimed(&mut self, now: Time, ticket: Ticket, outcome: ClaimOutcome, out: &mut Vec<Action>) {
        if let Some(claim) = self.orphaned_claims.remove(&ticket) {
            if outcome == ClaimOutcome::Granted {
                out.push(Action::ClaimEnded { claim, verdict: Verdict::NotRun, answer: None });
            }
            return;
        }
        if !matches!(self.jobs.get(&ticket), Some(Stage::Claiming(_))) {
            return;
        }
        let Some(Stage::Claiming(job)) = self.take(ticket) else { return };
        let last = match outcome {
            ClaimOutcome::Granted => return self.admit(now, job.grant(), out),
            ClaimOutcome::Taken { answer: Some(answer), .. } => Action::Replay(ticket, answer),
            ClaimOutcome::Taken { verdict, .. } => repeated(ticket, verdict),
            ClaimOutcome::Mismatch => denial(ticket, Reason::KeyMismatch, Verdict::NotRun),
            ClaimOutcome::Unavailable => denial(ticket, Reason::ClaimUnavailable, Verdict::NotRun),
        };
        job.deny(last, out);
    }

    /// Looks up a request's blocks in the stores if worthwhile, or queues it.
    pub(super) fn admit(&mut self, now: Time, job: Job<Admitted>, out: &mut Vec<Action>) {
        let stores = self.stores_to_ask(now, &job.core);
        if stores.is_empty() {
            return self.enqueue(now, job, out);
        }
        let due = job.core.request.deadline.min(now + LOOKUP_TIMEOUT);
        out.push(Action::Find(job.core.ticket, stores));
        self.insert_job(due, Stage::Finding(job.find()));
    }

    fn found(&mut self, now: Time, ticket: Ticket, holdings: Vec<Holding>, out: &mut Vec<Action>) {
        if !matches!(self.jobs.get(&ticket), Some(Stage::Finding(_))) {
            return;
        }
        let Some(Stage::Finding(job)) = self.take(ticket) else { return };
        self.learn_stored(&job.core, &holdings);
        self.lookup_finished(now, job, holdings, out);
    }

    fn lookup_finished(
        &mut self,
        now: Time,
        job: Job<Finding>,
        holdings: Vec<Holding>,
        out: &mut Vec<Action>,
    ) {
        self.enqueue(now, job.found(holdings), out);
    }

    /// Queues a request and dispatches what can run; refuses a new one that would wait too long.
    pub(super) fn enqueue(&mut self, now: Time, job: Job<Admitted>, out: &mut Vec<Action>) {
        let core = &job.core;
        let (org, pool) = (core.org, core.pool);
        let weight = core.weight;
        let fresh = core.attempts == 0;
        let entry = self.entry(core);
        let queue = &mut self.fleet.pools[pool].queue;
        let expected = queue.expected_wait(org, weight, core.request.class);
        let late = expected.is_some_and(|wait| now + wait > core.request.deadline);
        let retry_after = expected.unwrap_or_default().max(RETRY_AFTER);
        if fresh && late && !queue.is_empty() {
            return job.refuse(Reason::Overloaded, Some(retry_after), out);
        }
        if !fresh || self.mutation == Some(Mutation::UnboundedQueue) {
            queue.push_front(entry, weight);
        } else if queue.push(entry, weight) == Admission::Full {
            return job.refuse(Reason::QueueFull, Some(retry_after), out);
        }
        let due = match core.sent {
            0 => core.request.deadline,
            _ => now + CONTINUE_TIMEOUT,
        };
        self.insert_job(due, Stage::Queued(job.queue()));
        self.dispatch_queued(now, pool, out);
    }

    /// Handles an expired timer of a request.
    fn expire(&mut self, now: Time, ticket: Ticket, out: &mut Vec<Action>) {
        match self.take(ticket) {
            Some(Stage::Claiming(job)) => self.claim_timed_out(job, out),
            Some(Stage::Finding(job)) => self.lookup_finished(now, job, Vec::new(), out),
            Some(Stage::Queued(job)) => {
                let core = &job.core;
                let queue = &mut self.fleet.pools[core.pool].queue;
                queue.remove(core.org, core.request.class, ticket, now);
                let reason = if core.sent > 0 { Reason::Interrupted } else { Reason::Deadline };
                if self.mutation != Some(Mutation::DropExpired) {
                    job.refuse(reason, Some(RETRY_AFTER), out);
                }
            }
            Some(stage @ Stage::Running(_)) => {
                self.jobs.insert(ticket, stage);
            }
            None => {}
        }
    }

    /// Refuses a request whose claim was not granted by its deadline; a later grant is released.
    fn claim_timed_out(&mut self, job: Job<Claiming>, out: &mut Vec<Action>) {
        let ticket = job.core.ticket;
        let last = denial(ticket, Reason::ClaimUnavailable, Verdict::NotRun);
        self.orphaned_claims.extend(job.core.claim.clone().map(|claim| (ticket, claim)));
        job.deny(last, out);
    }

    /// Handles the disconnection of a request's caller.
    fn caller_left(&mut self, now: Time, ticket: Ticket, out: &mut Vec<Action>) {
        match self.take(ticket) {
            Some(Stage::Claiming(job)) => {
                self.orphaned_claims.extend(job.abandon().map(|claim| (ticket, claim)));
            }
            Some(Stage::Finding(job)) => job.discard(out),
            Some(Stage::Queued(job)) => {
                let core = &job.core;
                let queue = &mut self.fleet.pools[core.pool].queue;
                queue.remove(core.org, core.request.class, ticket, now);
                job.discard(out);
            }
            Some(Stage::Running(job)) => self.abandon_running(now, job, out),
            None => return,
        }
        out.push(Action::Finish(ticket));
    }

    pub(super) fn entry(&self, core: &Core) -> Entry {
        let cost = match &core.request.work {
            Work::Prompt(prompt) => {
                let answer = u64::from(prompt.max_tokens.min(CHARGED_OUTPUT_TOKENS_LIMIT))
                    * OUTPUT_TOKEN_COST;
                prompt.tokens.len() as u64 + answer
            }
            Work::Call(_) => CALL_COST_TOKENS,
        };
        let since =
            if self.mutation == Some(Mutation::SkipAging) { Time::MAX / 2 } else { core.arrived };
        let class = core.request.class;
        Entry { ticket: core.ticket, org: core.org, class, cost, since }
    }

    fn weight(&self, organisation: &OrganisationId) -> u32 {
        self.snapshot.set.organisations.get(organisation).map_or(1, |o| o.weight)
    }

    pub(super) fn profile(&self, organisation: &OrganisationId) -> Option<&Profile> {
        let set = &self.snapshot.set;
        set.profiles.get(&set.organisations.get(organisation)?.profile)
    }

    pub(super) fn weights(&self, organisation: &OrganisationId) -> Weights {
        self.profile(organisation).map(Weights::from).unwrap_or_default()
    }
}

/// Sizes of a dispatcher's tables.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Sizes {
    /// Requests.
    pub jobs: usize,
    /// Attempts running or detached.
    pub attempts: usize,
    /// Requests that wait for an upstream.
    pub queued: usize,
    /// Permits held.
    pub permits: usize,
    /// Hints about blocks in engines and stores.
    pub hints: usize,
}

/// Whether a request may be accepted.
enum Precheck {
    /// Accepted into this pool.
    Passed(PoolKey),
    /// Refused for this reason; delay before a retry.
    Refused(Reason, Option<Duration>),
}

/// The claim that a request needs, if any.
fn claim(request: &Request) -> Option<Claim> {
    let Work::Call(call) = &request.work else { return None };
    let key = call.key.clone().filter(|_| !call.idempotent)?;
    let organisation = request.organisation.clone();
    Some(Claim { organisation, key, fingerprint: call.fingerprint })
}

/// Refuses a repeated call whose answer isn't stored. If the call may still run, the answer may be
/// stored soon, so the caller may retry.
fn repeated(ticket: Ticket, verdict: Verdict) -> Action {
    let retry_after = (verdict == Verdict::MayHaveRun).then_some(RETRY_AFTER);
    Action::Refuse(ticket, Refusal { reason: Reason::Repeated, verdict, retry_after })
}

fn denial(ticket: Ticket, reason: Reason, verdict: Verdict) -> Action {
    Action::Refuse(ticket, Refusal { reason, verdict, retry_after: None })
}
