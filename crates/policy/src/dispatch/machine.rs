//! The dispatcher: first thin version, replaced by the full one.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use acacia_catalog::id::UpstreamId;
use acacia_catalog::object::{Role, Upstream};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha12Rng;

use super::event::{Action, Attempt, AttemptId, Ending, Event, Reason, Refusal, Start, Strategy};
use crate::control::{Claim, ClaimOutcome, Permit, Ticket, Usage};
use crate::request::{Request, Work};
use crate::snapshot::{Snapshot, Warmth};
use crate::{Time, Verdict};

/// Most attempts of one request.
const MAX_ATTEMPTS: u32 = 6;

/// Decides each request of one daemon.
pub struct Dispatcher {
    rng: ChaCha12Rng,
    snapshot: Arc<Snapshot>,
    jobs: HashMap<Ticket, Job>,
    attempts: HashMap<AttemptId, Ticket>,
    waiting: VecDeque<Ticket>,
    in_flight: HashMap<UpstreamId, u32>,
    permits: Vec<Permit>,
    stopping: bool,
}

struct Job {
    request: Request,
    claim: Option<Claim>,
    verdict: Verdict,
    tries: u32,
    sent: u32,
    running: Option<(AttemptId, UpstreamId, Option<Permit>)>,
}

impl Dispatcher {
    /// A dispatcher whose random choices follow from `seed`.
    pub fn new(seed: u64, _strategy: Strategy) -> Self {
        Self {
            rng: ChaCha12Rng::seed_from_u64(seed),
            snapshot: Arc::default(),
            jobs: HashMap::new(),
            attempts: HashMap::new(),
            waiting: VecDeque::new(),
            in_flight: HashMap::new(),
            permits: Vec::new(),
            stopping: false,
        }
    }

    /// What follows from `event` at `now`.
    pub fn step(&mut self, now: Time, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Snapshot(snapshot) => self.snapshot = snapshot,
            Event::Arrived(ticket, request) => self.arrive(ticket, request, &mut actions),
            Event::Gone(ticket) => self.leave(ticket, &mut actions),
            Event::Claimed(ticket, outcome) => self.claimed(ticket, outcome, &mut actions),
            Event::Permit(permit) => self.permits.push(permit),
            Event::Progress { attempt, tokens } => self.progress(attempt, tokens),
            Event::Ended { attempt, ending } => self.end(attempt, ending, &mut actions),
            Event::Stop => self.stopping = true,
            _ => {}
        }
        self.pump(now, &mut actions);
        actions
    }

    fn arrive(&mut self, ticket: Ticket, request: Request, actions: &mut Vec<Action>) {
        if self.stopping {
            actions.push(refuse(ticket, Reason::Stopping, Verdict::NotRun));
            return;
        }
        let claim = claim(&request);
        let job = Job {
            request,
            claim: claim.clone(),
            verdict: Verdict::NotRun,
            tries: 0,
            sent: 0,
            running: None,
        };
        self.jobs.insert(ticket, job);
        match claim {
            Some(claim) => actions.push(Action::Claim(ticket, claim)),
            None => self.waiting.push_back(ticket),
        }
    }

    fn claimed(&mut self, ticket: Ticket, outcome: ClaimOutcome, actions: &mut Vec<Action>) {
        if !self.jobs.contains_key(&ticket) {
            return;
        }
        let refusal = match outcome {
            ClaimOutcome::Granted => return self.waiting.push_back(ticket),
            ClaimOutcome::Taken { answer: Some(answer), .. } => Action::Replay(ticket, answer),
            ClaimOutcome::Taken { verdict, .. } => refuse(ticket, Reason::Repeated, verdict),
            ClaimOutcome::Mismatch => refuse(ticket, Reason::KeyMismatch, Verdict::NotRun),
            ClaimOutcome::Unavailable => refuse(ticket, Reason::ClaimUnavailable, Verdict::NotRun),
        };
        self.jobs.remove(&ticket);
        actions.push(refusal);
    }

    fn leave(&mut self, ticket: Ticket, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.remove(&ticket) else { return };
        self.waiting.retain(|t| *t != ticket);
        if let Some((id, upstream, permit)) = job.running {
            self.free(id, &upstream);
            actions.push(Action::Cancel(id, upstream));
            actions.extend(permit.map(|p| Action::ReturnPermit(p, Usage::Failed)));
        }
        actions.push(Action::Finish(ticket));
    }

    fn progress(&mut self, attempt: AttemptId, tokens: u32) {
        let job = self.attempts.get(&attempt).and_then(|t| self.jobs.get_mut(t));
        if let Some(job) = job {
            job.sent = job.sent.max(tokens);
        }
    }

    fn end(&mut self, attempt: AttemptId, ending: Ending, actions: &mut Vec<Action>) {
        let Some(ticket) = self.attempts.get(&attempt).copied() else { return };
        let Some(mut job) = self.jobs.remove(&ticket) else { return };
        let Some((id, upstream, permit)) = job.running.take() else { return };
        self.free(id, &upstream);
        let answered = matches!(ending, Ending::Complete { .. } | Ending::Rejected);
        let usage = if answered { Usage::Answered } else { Usage::Failed };
        actions.extend(permit.map(|p| Action::ReturnPermit(p, usage)));
        let answer = match ending {
            Ending::Complete { answer, .. } => answer,
            Ending::Rejected => None,
            Ending::Refused { .. } | Ending::Unsent => {
                return self.retry(ticket, job, Reason::Overloaded, actions);
            }
            Ending::Broken { tokens } => {
                job.verdict = job.verdict.join(Verdict::MayHaveRun);
                job.sent = job.sent.max(tokens);
                return self.retry(ticket, job, Reason::Interrupted, actions);
            }
        };
        if let Some(claim) = job.claim {
            actions.push(Action::ClaimEnded { claim, verdict: Verdict::Ran, answer });
        }
        actions.push(Action::Finish(ticket));
    }

    fn retry(&mut self, ticket: Ticket, job: Job, reason: Reason, actions: &mut Vec<Action>) {
        let harmless = job.verdict == Verdict::NotRun || job.request.is_idempotent();
        if harmless && job.tries < MAX_ATTEMPTS {
            self.jobs.insert(ticket, job);
            self.waiting.push_front(ticket);
            return;
        }
        give_up(ticket, job, reason, actions);
    }

    fn free(&mut self, attempt: AttemptId, upstream: &UpstreamId) {
        self.attempts.remove(&attempt);
        if let Some(count) = self.in_flight.get_mut(upstream) {
            *count -= 1;
        }
    }

    fn pump(&mut self, now: Time, actions: &mut Vec<Action>) {
        for ticket in std::mem::take(&mut self.waiting) {
            let Some(mut job) = self.jobs.remove(&ticket) else { continue };
            if now >= job.request.deadline {
                give_up(ticket, job, Reason::Deadline, actions);
                continue;
            }
            if let Some((upstream, permit)) = self.choose(now, &job, actions) {
                actions.push(self.start(ticket, &mut job, upstream, permit));
            } else {
                self.waiting.push_back(ticket);
            }
            self.jobs.insert(ticket, job);
        }
    }

    fn choose(
        &mut self,
        now: Time,
        job: &Job,
        actions: &mut Vec<Action>,
    ) -> Option<(UpstreamId, Option<Permit>)> {
        let mut best: Option<(u32, UpstreamId)> = None;
        let mut cold = None;
        let snapshot = Arc::clone(&self.snapshot);
        for upstream in snapshot.set.upstreams.values().filter(|u| serves(u, &job.request)) {
            let busy = self.in_flight.get(&upstream.name).copied().unwrap_or(0);
            let warmth = snapshot.upstreams.get(&upstream.name).map(|s| s.warmth);
            match warmth.unwrap_or_default() {
                Warmth::Warm
                    if busy < upstream.slots
                        && best.as_ref().is_none_or(|(least, _)| busy < *least) =>
                {
                    best = Some((busy, upstream.name.clone()));
                }
                Warmth::Cold => cold = Some(upstream.name.clone()),
                _ => {}
            }
        }
        if let Some((_, upstream)) = best {
            return Some((upstream, None));
        }
        let upstream = cold?;
        while let Some(index) = self.permits.iter().position(|p| p.upstream == upstream) {
            let permit = self.permits.swap_remove(index);
            if now < permit.until {
                return Some((upstream, Some(permit)));
            }
            actions.push(Action::ReturnPermit(permit, Usage::Unused));
        }
        actions.push(Action::AskPermit { upstream, waiting: 1 });
        None
    }

    fn start(
        &mut self,
        ticket: Ticket,
        job: &mut Job,
        upstream: UpstreamId,
        permit: Option<Permit>,
    ) -> Action {
        let id = self.rng.random();
        job.tries += 1;
        *self.in_flight.entry(upstream.clone()).or_default() += 1;
        self.attempts.insert(id, ticket);
        job.running = Some((id, upstream.clone(), permit));
        let standing = self.snapshot.upstreams.get(&upstream);
        let (version, blocks) = match &job.request.work {
            Work::Prompt(p) => (Some(p.version.clone()), Arc::clone(&p.blocks)),
            Work::Call(_) => (None, Arc::default()),
        };
        let start = if job.sent > 0 { Start::Continue { offset: job.sent } } else { Start::Fresh };
        Action::Start(
            ticket,
            Attempt {
                id,
                incarnation: standing.map_or(0, |s| s.incarnation),
                upstream,
                version,
                blocks,
                imports: Vec::new(),
                start,
                priority: 0,
                first_byte_by: job.request.deadline,
            },
        )
    }
}

fn claim(request: &Request) -> Option<Claim> {
    let Work::Call(call) = &request.work else { return None };
    let key = call.key.clone().filter(|_| !call.idempotent)?;
    let organisation = request.organisation.clone();
    Some(Claim { organisation, key, fingerprint: call.fingerprint })
}

fn serves(upstream: &Upstream, request: &Request) -> bool {
    match (&upstream.role, &request.work) {
        (Role::Engine { model, .. }, Work::Prompt(prompt)) => *model == prompt.model,
        (Role::Service { service }, Work::Call(call)) => *service == call.service,
        _ => false,
    }
}

fn give_up(ticket: Ticket, job: Job, reason: Reason, actions: &mut Vec<Action>) {
    if let Some(claim) = job.claim {
        actions.push(Action::ClaimEnded { claim, verdict: job.verdict, answer: None });
    }
    actions.push(refuse(ticket, reason, job.verdict));
}

fn refuse(ticket: Ticket, reason: Reason, verdict: Verdict) -> Action {
    Action::Refuse(ticket, Refusal { reason, verdict, retry_after: None })
}
