//! Several gateways that serve one service under an order, with its upstreams, a metadata store and
//! the messages between the instances, under virtual time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::sync::Arc;
use std::time::Duration;

use acacia_policy::Time;
use acacia_policy::gateway::call::content_hash;
use acacia_policy::gateway::canary::{Listing, Order, State, Status};
use acacia_policy::gateway::configuration::Repeat;
use acacia_policy::gateway::gossip::Digest;
use acacia_policy::gateway::mesh::{Detail, Peer};
use acacia_policy::gateway::{Attempt, Call, Ending, Gateway, Plan, Server, Step, Terms, View};
use acacia_policy::kv::Revision;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha12Rng;

use crate::gateway_simulation::{terms, view};

/// Service, old version and target of all orders.
pub const SERVICE: &str = "app";
pub const OLD: &str = "v1";
pub const TARGET: &str = "v2";
/// Upstreams of each version.
const UPSTREAMS: usize = 6;
/// Step of the virtual time.
const STEP: Duration = Duration::from_millis(5);
/// Time between two digests, and between full ones.
const DIGEST_INTERVAL: Duration = Duration::from_millis(30);
const FULL_INTERVAL: Duration = Duration::from_millis(700);
/// Time before the order.
const LEAD: Duration = Duration::from_secs(3);
/// Longest time until an instance sees a change in the metadata store.
const WATCH_DELAY: f64 = 0.4;
/// Bad response from which the target must get no more requests soon.
const FIFTIETH: usize = 50;
/// Time after it.
const ROLLBACK: Duration = Duration::from_secs(5);

/// How an upstream answers.
pub struct Answer {
    /// Time until the answer.
    pub took: Duration,
    /// Whether it is a failure.
    pub has_failed: bool,
    /// Whether it counts as bad.
    pub is_bad: bool,
}

/// What an answer depends on.
pub struct Request<'a> {
    /// Whether the upstream runs the target version.
    pub is_target: bool,
    /// The path.
    pub path: &'a str,
    /// Time since the order.
    pub age: Duration,
    /// Requests at all upstreams of the same version.
    pub running: usize,
    /// A random number from zero to one.
    pub chance: f64,
    /// Another one.
    pub spread: f64,
}

impl Request<'_> {
    /// A good answer.
    pub fn good(&self) -> Answer {
        let took = Duration::from_millis(40).mul_f64(0.7 + 0.6 * self.spread);
        Answer { took, has_failed: false, is_bad: false }
    }

    /// A failure with a probability.
    pub fn failing(&self, share: f64) -> Answer {
        let is_bad = self.chance < share;
        Answer { has_failed: is_bad, is_bad, ..self.good() }
    }

    /// An answer that takes longer by a factor.
    pub fn slower(&self, factor: f64) -> Answer {
        let good = self.good();
        Answer { took: good.took.mul_f64(factor), is_bad: true, ..good }
    }
}

/// Conditions of a run.
pub struct Case {
    /// Number of instances.
    pub instances: usize,
    /// Requests per second at all of them.
    pub rate: f64,
    /// Duration of the order.
    pub duration: Duration,
    /// How upstreams answer.
    pub answer: fn(&Request<'_>) -> Answer,
    /// Time for which upstreams of the target are cold.
    pub cold: Duration,
    /// Instances that send and receive no digests.
    pub mute: BTreeSet<usize>,
    /// Share of the digests that are lost.
    pub loss: f64,
    /// Since when the metadata store answers nobody, and until when, counted from the order.
    pub outage: Option<(Duration, Duration)>,
    /// When the holder of the order lease is killed; the next one holds it 2 s later.
    pub holder_killed: Option<Duration>,
    /// Instances that never get an answer of the metadata store.
    pub cut_off: BTreeSet<usize>,
    /// Time after the order's end for which the run goes on.
    pub tail: Duration,
    /// Determines all random choices.
    pub seed: u64,
}

impl Case {
    /// Nine instances, 12 s and a version with these answers.
    pub fn new(answer: fn(&Request<'_>) -> Answer) -> Self {
        Self {
            instances: 9,
            rate: 400.0,
            duration: Duration::from_secs(12),
            answer,
            cold: Duration::ZERO,
            mute: BTreeSet::new(),
            loss: 0.0,
            outage: None,
            holder_killed: None,
            cut_off: BTreeSet::new(),
            tail: Duration::from_secs(2),
            seed: 1,
        }
    }
}

/// What came of a run.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Requests to the target until the order's end.
    pub exposed: usize,
    /// Requests of callers until then.
    pub requests: usize,
    /// Bad responses of the target.
    pub bad: usize,
    /// Requests that were sent to the target too late after the fiftieth one.
    pub overdue: usize,
    /// Requests that were refused or failed.
    pub lost: usize,
    /// Requests that must not be repeated and ran at old upstreams when the order was completed.
    pub cut: usize,
    /// The last recorded state, and when it was recorded after the order.
    pub state: Option<State>,
    /// When that was, after the order.
    pub recorded: Duration,
    /// Requests to old upstreams after all instances know of the completion.
    pub late_old: usize,
    /// Encoded size of all notes on orders that were sent, once for each sender.
    pub note_bytes: usize,
}

impl Outcome {
    /// The bound on the requests that a bad version gets.
    pub fn limit(&self) -> usize {
        self.requests / 10 + 50
    }
}

struct Pending {
    instance: usize,
    plan: Plan,
    attempt: Attempt,
    answer: Answer,
}

/// The state of a run.
pub struct Fleet {
    case: Case,
    rng: ChaCha12Rng,
    now: Time,
    ordered: Time,
    gateways: Vec<Gateway>,
    view: View,
    order: Option<Order>,
    status: Option<Status>,
    /// When each instance sees the store's contents.
    sees_at: Vec<Time>,
    pending: BTreeMap<u64, Pending>,
    due: BinaryHeap<Reverse<(Time, u64)>>,
    waiting: Vec<(Time, usize, Plan)>,
    running: BTreeMap<bool, usize>,
    number: u64,
    revision: i64,
    fiftieth: Option<Time>,
    outcome: Outcome,
}

impl Fleet {
    /// Runs a case.
    pub fn run(case: Case) -> Outcome {
        let mut fleet = Self::new(case);
        let end = fleet.ordered + fleet.case.duration + fleet.case.tail;
        let mut arriving = 0.0;
        while fleet.now < end {
            fleet.now += STEP;
            fleet.finish_due();
            arriving += fleet.case.rate * STEP.as_secs_f64();
            while arriving >= 1.0 {
                arriving -= 1.0;
                fleet.arrive();
            }
            fleet.follow_store();
            fleet.exchange();
            for gateway in &mut fleet.gateways {
                gateway.advance_orders(fleet.now);
            }
            fleet.record();
        }
        fleet.outcome
    }

    fn new(case: Case) -> Self {
        let now = Duration::from_secs(3_600);
        let mut view = View { instances: case.instances as u32, ..view(UPSTREAMS * 2) };
        view.servers.retain(|_, server| &*server.service == SERVICE);
        for (at, server) in view.servers.values_mut().enumerate() {
            let software = if at < UPSTREAMS { OLD } else { TARGET };
            let cold_left = if at < UPSTREAMS { Duration::ZERO } else { LEAD + case.cold };
            let cold_left = if case.cold.is_zero() { Duration::ZERO } else { cold_left };
            *server = Arc::new(Server {
                software: software.into(),
                slots: 40,
                cold_left,
                ..(**server).clone()
            });
        }
        let peer =
            |at: usize| Peer { address: ([127, 0, 1, at as u8], 1).into(), zone: "z".into() };
        view.peers = (1..case.instances).map(peer).collect();
        let gateways = (0..case.instances).map(|at| {
            let terms = Terms { ..terms(10_000.0) };
            Gateway::new(terms, case.seed * 1_000 + at as u64)
        });
        let mut fleet = Self {
            rng: ChaCha12Rng::seed_from_u64(case.seed),
            now,
            ordered: now + LEAD,
            gateways: gateways.collect(),
            view,
            order: None,
            status: None,
            sees_at: vec![Time::ZERO; case.instances],
            pending: BTreeMap::new(),
            due: BinaryHeap::new(),
            waiting: Vec::new(),
            running: BTreeMap::new(),
            number: 0,
            revision: 10,
            fiftieth: None,
            outcome: Outcome::default(),
            case,
        };
        // Until the order, the old upstreams alone are listed.
        let mut before = fleet.view.clone();
        before.servers.retain(|_, server| &*server.software == OLD);
        let before = Arc::new(before);
        fleet.gateways.iter_mut().for_each(|gateway| gateway.observe(now, before.clone()));
        fleet
    }

    fn age(&self) -> Duration {
        self.now.saturating_sub(self.ordered)
    }

    fn is_store_silent(&self, at: usize) -> bool {
        let age = self.age();
        let is_out = self.case.outage.is_some_and(|(from, until)| age >= from && age < until);
        self.now >= self.ordered && (is_out || self.case.cut_off.contains(&at) && age > LEAD)
    }

    /// Writes the order, and passes on what instances see.
    fn follow_store(&mut self) {
        if self.order.is_none() && self.now >= self.ordered {
            self.revision += 1;
            let revision = Revision { era: 0, number: self.revision };
            let (target, duration, seen) = (TARGET.into(), self.case.duration, self.now);
            self.order = Some(Order { target, duration, revision, seen });
            self.spread_change();
        }
        let Some(order) = &self.order else { return };
        for at in 0..self.gateways.len() {
            let is_silent = self.is_store_silent(at);
            let view = self.gateways[at].view().expect("a view").clone();
            let was_silent = view.unavailable_since.is_some();
            let is_due = self.sees_at[at] > Time::ZERO && self.now >= self.sees_at[at];
            if is_silent && !was_silent {
                let view = View { unavailable_since: Some(self.now), ..(*view).clone() };
                self.gateways[at].observe(self.now, Arc::new(view));
            } else if !is_silent && (is_due || was_silent) {
                self.sees_at[at] = Time::ZERO;
                let known = view.rollouts.get(SERVICE).and_then(|listing| listing.order.clone());
                let seen = known.map_or(self.now, |known| known.seen);
                let order = Order { seen, ..order.clone() };
                let listing = Listing { order: Some(order), status: self.status.clone() };
                let rollouts = BTreeMap::from([(SERVICE.into(), listing)]);
                let view = View { rollouts, ..self.view.clone() };
                self.gateways[at].observe(self.now, Arc::new(view));
            }
        }
    }

    /// Lets each instance see the latest contents some time later.
    fn spread_change(&mut self) {
        for sees_at in &mut self.sees_at {
            *sees_at = self.now + Duration::from_secs_f64(self.rng.random::<f64>() * WATCH_DELAY);
        }
    }

    /// Records what the holder of the order lease finds.
    fn record(&mut self) {
        let killed = self.case.holder_killed;
        let holder = match killed {
            Some(at) if self.age() >= at + Duration::from_secs(2) => 1,
            Some(at) if self.age() >= at => return,
            _ => 0,
        };
        if self.is_store_silent(holder) {
            return;
        }
        let resolutions = self.gateways[holder].resolutions(self.now);
        let (Some(order), Some(found)) = (&self.order, resolutions.get(SERVICE)) else { return };
        if !found.is_unrecorded(order, self.status.as_ref()) {
            return;
        }
        self.revision += 1;
        let revision = Revision { era: 0, number: self.revision };
        let (target, state) = (found.target.clone(), found.state);
        self.status = Some(Status { target, state, revision });
        (self.outcome.state, self.outcome.recorded) = (Some(state), self.age());
        if state == State::Completed {
            let cut = self.pending.values().filter(|pending| {
                &*pending.attempt.server.software == OLD
                    && pending.plan.route.repeat != Repeat::Idempotent
            });
            self.outcome.cut = cut.count();
        }
        self.spread_change();
    }

    fn exchange(&mut self) {
        let phase =
            |interval: Duration| self.now.as_millis() % interval.as_millis() < STEP.as_millis();
        let is_full = phase(FULL_INTERVAL);
        if !is_full && !phase(DIGEST_INTERVAL) {
            return;
        }
        let mut digests: Vec<(usize, Digest)> = Vec::new();
        for (at, gateway) in self.gateways.iter_mut().enumerate() {
            let detail = if self.case.instances > 17 { Detail::Large } else { Detail::All };
            let digest = if is_full {
                gateway.full_digest(self.now, detail)
            } else {
                gateway.digest(self.now, detail)
            };
            let notes = digest.map(|digest| digest.notes).unwrap_or_default();
            let is_canary = |note: &acacia_policy::gateway::gossip::Note| {
                note.subject() == acacia_policy::gateway::gossip::Subject::Canary
            };
            let notes: Vec<_> = notes.into_iter().filter(is_canary).collect();
            if !notes.is_empty() && !self.case.mute.contains(&at) {
                let digest = Digest { incarnation: at as u64 + 1, notes, ..Digest::default() };
                let bytes = rmp_serde::to_vec(&digest).expect("a digest can be encoded");
                self.outcome.note_bytes += bytes.len();
                digests.push((at, digest));
            }
        }
        digests.shuffle(&mut self.rng);
        for (sender, digest) in digests {
            for at in 0..self.gateways.len() {
                let is_lost = self.rng.random::<f64>() < self.case.loss;
                if at != sender && !self.case.mute.contains(&at) && !is_lost {
                    self.gateways[at].receive(self.now, digest.clone());
                }
            }
        }
    }

    fn arrive(&mut self) {
        self.number += 1;
        let path = ["/read/", "/once/", "/once/deep/"][self.rng.random_range(0..3)];
        let instance = self.rng.random_range(0..self.gateways.len());
        let call = Call {
            id: format!("call-{}", self.number),
            host: "svc.example".to_owned(),
            path: path.to_owned(),
            key: Some("key".to_owned()),
            timeout: Some(Duration::from_secs(5)),
            prompt: None,
            content: content_hash("POST", path, self.number.to_string().as_bytes()),
            resumption: None,
        };
        if self.is_counted() {
            self.outcome.requests += 1;
        }
        let plan = self.gateways[instance].admit(self.now, call).expect("a valid request");
        self.step(instance, plan);
    }

    /// Whether the time counts for the bound.
    fn is_counted(&self) -> bool {
        self.now >= self.ordered && self.age() < self.case.duration
    }

    fn step(&mut self, instance: usize, mut plan: Plan) {
        match self.gateways[instance].next(self.now, &mut plan) {
            Step::Send(attempt) => self.send(instance, plan, *attempt),
            Step::Wait(at) => self.waiting.push((at, instance, plan)),
            Step::Forward(_) | Step::Refuse(_) => self.outcome.lost += 1,
        }
    }

    fn send(&mut self, instance: usize, plan: Plan, attempt: Attempt) {
        let is_target = &*attempt.server.software == TARGET;
        if is_target {
            self.outcome.exposed += usize::from(self.is_counted());
            let is_overdue = self.fiftieth.is_some_and(|at| self.now > at + ROLLBACK);
            self.outcome.overdue += usize::from(is_overdue);
        } else if self.status.as_ref().is_some_and(|status| status.state == State::Completed) {
            let is_known = self.sees_at.iter().all(|at| *at == Time::ZERO);
            self.outcome.late_old += usize::from(is_known);
        }
        let running = self.running.entry(is_target).or_default();
        *running += 1;
        let (chance, spread) = (self.rng.random(), self.rng.random());
        let request = Request {
            is_target,
            path: &plan.route.prefix,
            age: self.now.saturating_sub(self.ordered),
            running: *running,
            chance,
            spread,
        };
        let answer = (self.case.answer)(&request);
        self.number += 1;
        self.due.push(Reverse((self.now + answer.took, self.number)));
        self.pending.insert(self.number, Pending { instance, plan, attempt, answer });
    }

    /// Ends attempts, and goes on with requests that waited.
    fn finish_due(&mut self) {
        let waiting = std::mem::take(&mut self.waiting);
        for (at, instance, plan) in waiting {
            if at <= self.now {
                self.step(instance, plan);
            } else {
                self.waiting.push((at, instance, plan));
            }
        }
        while let Some(Reverse((at, number))) = self.due.peek().copied() {
            if at > self.now {
                return;
            }
            self.due.pop();
            let Some(pending) = self.pending.remove(&number) else { continue };
            self.end(pending);
        }
    }

    fn end(&mut self, pending: Pending) {
        let Pending { instance, mut plan, mut attempt, answer } = pending;
        let is_target = &*attempt.server.software == TARGET;
        *self.running.entry(is_target).or_default() -= 1;
        if is_target && answer.is_bad {
            self.outcome.bad += 1;
            if self.outcome.bad == FIFTIETH {
                self.fiftieth = Some(self.now);
            }
        }
        let gateway = &mut self.gateways[instance];
        gateway.began(self.now, &plan, &mut attempt);
        let ending = if answer.has_failed { Ending::Failed } else { Ending::Answered };
        let server = attempt.server.id.clone();
        gateway.ended(self.now, &mut plan, &attempt, ending, Some(&server));
        if !answer.has_failed {
            return;
        }
        if plan.may_run_again() {
            self.step(instance, plan);
        } else {
            self.outcome.lost += 1;
        }
    }
}
