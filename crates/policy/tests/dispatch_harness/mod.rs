//! Several dispatchers under simulated time with fakes of control, claims, stores and upstreams,
//! and an oracle that checks every action.

#![allow(dead_code, reason = "each test file uses only some items")]

pub mod fake;
pub mod fixture;
pub mod op;
pub mod oracle;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use acacia_policy::control::{Answer, Claim, ClaimOutcome, Permit, Ticket, Usage};
use acacia_policy::dispatch::{
    Action, Attempt, AttemptId, Dispatcher, Ending, Event, Holding, Mutation, Reason, Start,
    Strategy,
};
use acacia_policy::snapshot::{Load, Snapshot, Standing, Warmth};
use acacia_policy::{Time, Verdict};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha12Rng;

use fake::{Run, Upstream};
use fixture::Fixture;
use op::Op;
use oracle::{Oracle, Violation};

/// Number of dispatchers.
pub const DISPATCHERS: usize = 3;
/// Time after the last operation within which all requests must end.
const DRAIN_TIME: Duration = Duration::from_secs(60);
/// Longest time to a request's deadline.
const MAX_DEADLINE_MS: u64 = 20_000;

/// The simulated system.
pub struct Simulation {
    /// Simulated time.
    pub now: Time,
    /// Checks the invariants.
    pub oracle: Oracle,
    /// Number of events given to dispatchers.
    pub steps: u64,
    fixture: Fixture,
    dispatchers: Vec<Dispatcher>,
    upstreams: Vec<Upstream>,
    timeline: BinaryHeap<Reverse<Entry>>,
    scheduled: HashMap<u64, Scheduled>,
    sequence: u64,
    rng: ChaCha12Rng,
    next_ticket: Ticket,
    claims: HashMap<Claim, Option<Answer>>,
    permits: BTreeMap<(u64, usize), usize>,
    tickets: Vec<(usize, Ticket)>,
    revision: u64,
    fault_free: bool,
}

type Entry = (Time, u64);

/// A scheduled event.
#[derive(Clone, Debug)]
enum Scheduled {
    Event(usize, Event),
    Progress(usize, usize, AttemptId, Progress),
}

/// The next step of an attempt at a fake upstream.
#[derive(Clone, Debug)]
enum Progress {
    Token(u32),
    Finish,
}

impl Simulation {
    /// A simulation whose random choices follow from `seed`.
    pub fn new(seed: u64, strategy: Strategy, mutation: Option<Mutation>) -> Self {
        let fixture = Fixture::new();
        let upstreams = fixture.upstreams();
        let mut dispatchers: Vec<Dispatcher> =
            (0..DISPATCHERS).map(|i| Dispatcher::new(seed * 31 + i as u64, strategy)).collect();
        for dispatcher in &mut dispatchers {
            if let Some(mutation) = mutation {
                dispatcher.mutate(mutation);
            }
        }
        let mut simulation = Self {
            now: Duration::from_secs(1),
            oracle: Oracle::new(DISPATCHERS),
            steps: 0,
            fixture,
            dispatchers,
            upstreams,
            timeline: BinaryHeap::new(),
            scheduled: HashMap::new(),
            sequence: 0,
            rng: ChaCha12Rng::seed_from_u64(seed),
            next_ticket: 0,
            claims: HashMap::new(),
            permits: BTreeMap::new(),
            tickets: Vec::new(),
            revision: 1,
            fault_free: false,
        };
        for d in 0..DISPATCHERS {
            let snapshot = simulation.snapshot();
            simulation.step(d, Event::Snapshot(snapshot));
        }
        simulation
    }

    /// A simulation without faults other than the operations.
    pub fn fault_free(seed: u64) -> Self {
        Self { fault_free: true, ..Self::new(seed, Strategy::TimeToFirstToken, None) }
    }

    /// Whether to inject a fault now, with probability `chance`.
    fn injects_fault(&mut self, chance: f64) -> bool {
        !self.fault_free && self.rng.random_bool(chance)
    }

    /// Runs operations, then waits for all requests to end; the error is the first violation.
    pub fn run(&mut self, ops: &[Op]) -> Result<(), Violation> {
        for op in ops {
            self.apply(op);
            self.run_until(self.now);
            (0..DISPATCHERS).for_each(|d| self.oracle.check_bounds(d));
            self.oracle.result()?;
        }
        self.drain();
        for dispatcher in &self.dispatchers {
            self.oracle.check_empty(dispatcher.sizes());
        }
        self.oracle.close();
        self.oracle.result()
    }

    fn apply(&mut self, op: &Op) {
        match *op {
            Op::Arrive { dispatcher, kind, org, history, class, key, deadline } => {
                let deadline =
                    self.now + Duration::from_millis(u64::from(deadline) % MAX_DEADLINE_MS);
                let request = self.fixture.request(kind, org, history, class, key, deadline);
                self.arrive(usize::from(dispatcher) % DISPATCHERS, request);
            }
            Op::Burst { dispatcher, org, count } => {
                for i in 0..count {
                    let deadline = self.now + Duration::from_secs(15);
                    let request =
                        self.fixture.request(0, org, (i % 4) as u8, i % 3 == 0, 0, deadline);
                    self.arrive(usize::from(dispatcher) % DISPATCHERS, request);
                }
            }
            Op::Leave { which } => self.disconnect_caller(usize::from(which)),
            Op::Pass { ms } => {
                let target = self.now + Duration::from_millis(u64::from(ms) % 400 + 1);
                self.run_until(target);
                self.tick();
            }
            Op::Restart { upstream } => self.restart(usize::from(upstream)),
            Op::Break { upstream } => self.break_connections(usize::from(upstream)),
            Op::Warm { upstream } => self.change(upstream, |u| u.warmth = Warmth::Warm),
            Op::Close { upstream } => self.change(upstream, |u| u.warmth = Warmth::Closed),
            Op::Down { upstream } => self.change(upstream, |u| u.warmth = Warmth::Down),
            Op::Cool { upstream } => self.change(upstream, |u| u.warmth = Warmth::Cold),
            Op::Swap { upstream } => self.change(upstream, Upstream::swap),
            Op::Serve { version } => {
                self.fixture.serve(usize::from(version) % 2);
                self.publish();
            }
            Op::Report { upstream } => self.report(usize::from(upstream)),
            Op::Evict { which } => self.fixture.evict(usize::from(which)),
        }
    }

    fn arrive(&mut self, d: usize, request: acacia_policy::Request) {
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        self.oracle.arrived(d, ticket, &request);
        self.tickets.push((d, ticket));
        self.step(d, Event::Arrived(ticket, request));
    }

    fn disconnect_caller(&mut self, which: usize) {
        if self.tickets.is_empty() {
            return;
        }
        let recent = self.tickets.len().min(64);
        let (d, ticket) = self.tickets[self.tickets.len() - 1 - which % recent];
        if self.oracle.caller_left(ticket) {
            self.step(d, Event::Abandoned(ticket));
        }
    }

    fn change(&mut self, upstream: u8, change: impl FnOnce(&mut Upstream)) {
        let at = usize::from(upstream) % self.upstreams.len();
        change(&mut self.upstreams[at]);
        self.publish();
    }

    fn restart(&mut self, upstream: usize) {
        let at = upstream % self.upstreams.len();
        let runs = self.upstreams[at].restart();
        for run in runs {
            self.end(run.dispatcher, run.attempt, Ending::Broken { tokens: run.sent });
        }
        self.publish();
    }

    fn break_connections(&mut self, upstream: usize) {
        let at = upstream % self.upstreams.len();
        for run in std::mem::take(&mut self.upstreams[at].runs) {
            self.end(run.dispatcher, run.attempt, Ending::Broken { tokens: run.sent });
        }
    }

    /// Publishes a snapshot, which reaches each dispatcher after a random delay.
    fn publish(&mut self) {
        self.revision += 1;
        for d in 0..DISPATCHERS {
            let snapshot = self.snapshot();
            self.schedule(0, 150, Scheduled::Event(d, Event::Snapshot(snapshot)));
        }
    }

    fn snapshot(&self) -> Arc<Snapshot> {
        let upstreams = self
            .upstreams
            .iter()
            .map(|u| {
                let standing =
                    Standing { warmth: u.warmth, incarnation: u.incarnation, load: None };
                (u.name.clone(), standing)
            })
            .collect();
        let daemons = (0..DISPATCHERS).map(|d| (format!("d{d}").into(), "za".into())).collect();
        Arc::new(Snapshot {
            revision: self.revision,
            set: self.fixture.set(),
            upstreams,
            stores: BTreeMap::new(),
            daemons,
            ready: true,
            ..Snapshot::default()
        })
    }

    fn report(&mut self, upstream: usize) {
        let at = upstream % self.upstreams.len();
        let u = &self.upstreams[at];
        let load = Load {
            sampled_at: self.now,
            incarnation: u.incarnation,
            running: u.runs.len() as u32,
            waiting: 0,
            slots: u.slots,
            cold: u.warmth == Warmth::Cold,
            version: u.version.clone(),
            adapters: Vec::new(),
        };
        let name = u.name.clone();
        for d in 0..DISPATCHERS {
            let event = Event::Reported(name.clone(), load.clone());
            self.schedule(0, 300, Scheduled::Event(d, event));
        }
    }

    fn tick(&mut self) {
        for d in 0..DISPATCHERS {
            self.step(d, Event::Tick);
        }
    }

    fn drain(&mut self) {
        let end = self.now + DRAIN_TIME;
        while self.now < end {
            self.run_until(self.now + Duration::from_millis(100));
            self.tick();
        }
    }

    fn run_until(&mut self, target: Time) {
        while let Some(Reverse((due, id))) = self.timeline.peek().copied()
            && due <= target
        {
            self.timeline.pop();
            self.now = self.now.max(due);
            match self.scheduled.remove(&id) {
                Some(Scheduled::Event(d, event)) => self.step(d, event),
                Some(Scheduled::Progress(d, u, attempt, progress)) => {
                    self.advance(d, u, attempt, &progress)
                }
                None => {}
            }
        }
        self.now = self.now.max(target);
    }

    fn schedule(&mut self, least: u64, most: u64, scheduled: Scheduled) {
        let delay = Duration::from_millis(self.rng.random_range(least..=most));
        self.sequence += 1;
        self.scheduled.insert(self.sequence, scheduled);
        self.timeline.push(Reverse((self.now + delay, self.sequence)));
    }

    /// Gives a dispatcher an event and performs its actions.
    fn step(&mut self, d: usize, event: Event) {
        self.steps += 1;
        self.oracle.observe_event(self.now, d, &event);
        let actions = self.dispatchers[d].step(self.now, event);
        for action in actions {
            self.oracle.observe_action(self.now, d, &action, &self.fixture);
            self.perform(d, action);
        }
    }

    fn perform(&mut self, d: usize, action: Action) {
        match action {
            Action::Claim(ticket, claim) => self.claim(d, ticket, claim),
            Action::ClaimEnded { claim, verdict, answer } => {
                if verdict == Verdict::NotRun {
                    self.claims.remove(&claim);
                } else {
                    self.claims.insert(claim, answer);
                }
            }
            Action::AskPermit { upstream, waiting } => self.permit(d, &upstream, waiting),
            Action::ReturnPermit(permit, _) => {
                self.permits.remove(&(permit.id, d));
            }
            Action::Find(ticket, stores) => self.find(d, ticket, &stores),
            Action::Start(_, attempt) => self.start(d, &attempt),
            Action::Cancel(attempt, upstream) => self.cancel(d, attempt, &upstream),
            Action::Export { blocks, .. } => {
                self.fixture.save(blocks);
            }
            Action::Replay(..) | Action::Refuse(..) | Action::Finish(_) => {}
        }
    }

    fn claim(&mut self, d: usize, ticket: Ticket, claim: Claim) {
        let outcome = if self.injects_fault(0.1) {
            ClaimOutcome::Unavailable
        } else if let Some(answer) = self.claims.get(&claim) {
            let verdict = if answer.is_some() { Verdict::Ran } else { Verdict::MayHaveRun };
            ClaimOutcome::Taken { verdict, answer: answer.clone() }
        } else {
            self.claims.insert(claim, None);
            ClaimOutcome::Granted
        };
        self.schedule(0, 800, Scheduled::Event(d, Event::Claimed(ticket, outcome)));
    }

    fn permit(&mut self, d: usize, upstream: &str, waiting: u32) {
        let at = self.upstreams.iter().position(|u| *u.name == *upstream).expect("known upstream");
        let refused = self.injects_fault(0.2);
        let u = &self.upstreams[at];
        let out = self.permits.values().filter(|i| **i == at).count() as u32;
        let free = u.cold_limit.saturating_sub(out);
        if free == 0 || refused {
            let event = Event::PermitRefused(u.name.clone(), Duration::from_millis(100));
            self.schedule(0, 50, Scheduled::Event(d, event));
            return;
        }
        let (name, incarnation) = (u.name.clone(), u.incarnation);
        for _ in 0..free.min(waiting) {
            self.sequence += 1;
            let permit = Permit {
                id: self.sequence,
                owner: "owner".into(),
                upstream: name.clone(),
                incarnation,
                until: self.now + Duration::from_millis(self.rng.random_range(1..600)),
            };
            self.permits.insert((permit.id, d), at);
            self.oracle.granted(d, &permit);
            self.schedule(0, 100, Scheduled::Event(d, Event::Permit(permit.clone())));
            if self.injects_fault(0.1) {
                self.schedule(0, 200, Scheduled::Event(d, Event::Permit(permit)));
            }
        }
    }

    fn find(&mut self, d: usize, ticket: Ticket, stores: &[acacia_catalog::id::StoreId]) {
        let blocks = self.oracle.blocks(ticket);
        let found: Vec<Holding> = self.fixture.holdings(stores, &blocks);
        self.schedule(0, 90, Scheduled::Event(d, Event::Found(ticket, found)));
    }

    fn start(&mut self, d: usize, attempt: &Attempt) {
        let at =
            self.upstreams.iter().position(|u| u.name == attempt.upstream).expect("known upstream");
        let id = attempt.id;
        if self.injects_fault(0.05) {
            return self.end(d, id, Ending::Unsent);
        }
        if let Some(reason) = self.upstreams[at].refusal(attempt, self.fault_free, &mut self.rng) {
            return self.end(d, id, Ending::Refused { reason, retry_after: None });
        }
        let offset = match attempt.start {
            Start::Fresh => 0,
            Start::Resume { offset, .. } | Start::Continue { offset } => offset,
        };
        let forgotten = self.upstreams[at].incarnation != attempt.incarnation;
        if matches!(attempt.start, Start::Resume { .. }) && forgotten {
            return self.end(d, id, Ending::Broken { tokens: offset });
        }
        self.oracle.ran(id);
        let prompt = self.upstreams[at].is_engine;
        self.upstreams[at].runs.push(Run { dispatcher: d, attempt: id, sent: offset });
        let progress = if prompt { Progress::Token(offset + 1) } else { Progress::Finish };
        self.schedule(1, 200, Scheduled::Progress(d, at, id, progress));
    }

    /// Advances an attempt at a fake upstream.
    fn advance(&mut self, d: usize, at: usize, id: AttemptId, progress: &Progress) {
        let Some(index) = self.upstreams[at].runs.iter().position(|r| r.attempt == id) else {
            return;
        };
        if self.injects_fault(0.1) {
            let run = self.upstreams[at].runs.swap_remove(index);
            return self.end(d, id, Ending::Broken { tokens: run.sent });
        }
        match *progress {
            Progress::Token(token) => {
                self.upstreams[at].runs[index].sent = token;
                let event = Event::Progress { attempt: id, tokens: token };
                self.step(d, event);
                let next = if self.rng.random_bool(0.3) {
                    Progress::Finish
                } else {
                    Progress::Token(token + 1)
                };
                self.schedule(1, 200, Scheduled::Progress(d, at, id, next));
            }
            Progress::Finish => {
                self.upstreams[at].runs.swap_remove(index);
                let answer = self.answer(at);
                let first_byte = Duration::from_millis(5);
                self.end(d, id, Ending::Complete { cached_tokens: 0, first_byte, answer });
            }
        }
    }

    fn answer(&mut self, at: usize) -> Option<Answer> {
        let small = !self.upstreams[at].is_engine && self.rng.random_bool(0.5);
        small.then(|| Answer { status: 200, content_type: "text/plain".into(), body: vec![1] })
    }

    fn cancel(&mut self, d: usize, id: AttemptId, upstream: &str) {
        let at = self.upstreams.iter().position(|u| *u.name == *upstream).expect("known upstream");
        let u = &mut self.upstreams[at];
        let Some(index) = u.runs.iter().position(|r| r.attempt == id) else { return };
        let run = u.runs.swap_remove(index);
        if self.rng.random_bool(0.7) {
            self.end(d, id, Ending::Broken { tokens: run.sent });
        }
    }

    /// Reports the end of an attempt to its dispatcher, sometimes twice.
    fn end(&mut self, d: usize, id: AttemptId, ending: Ending) {
        let event = Event::Ended { attempt: id, ending };
        if self.injects_fault(0.15) {
            self.schedule(10, 2_500, Scheduled::Event(d, event.clone()));
        }
        self.schedule(0, 0, Scheduled::Event(d, event));
    }
}

/// Whether an upstream may refuse for a reason.
pub fn is_upstream_reason(reason: Reason) -> bool {
    matches!(reason, Reason::Overloaded | Reason::Cold | Reason::Leaving | Reason::WrongVersion)
}

/// Name of a permit's usage, for messages.
pub fn usage(usage: Usage) -> &'static str {
    match usage {
        Usage::Unused => "unused",
        Usage::Answered => "answered",
        Usage::Failed => "failed",
    }
}
