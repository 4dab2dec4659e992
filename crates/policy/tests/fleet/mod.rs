//! Simulation of the control state machines of several daemons in virtual time, with fakes of the
//! network, the key-value service and the upstreams.

#![allow(dead_code)]

pub mod document;
pub mod engine;
pub mod kv;
pub mod node;
pub mod op;
pub mod oracle;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::time::Duration;

use acacia_catalog::id::Name;
use acacia_catalog::{Document, Root};
use acacia_policy::control::{
    Action, CallId, Change, Control, Event, Instance, InstanceKind, Mutation, Observation, Order,
    OrderDuty, OrderOutcome, Permit, Usage,
};
use acacia_policy::kv::{Failure, Outcome, Request};
use acacia_policy::message::{Envelope, Message};
use acacia_policy::snapshot::{Load, Warmth};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use engine::{Engine, RunId};
use kv::Kv;
use node::Node;
use oracle::Oracle;

/// Number of a daemon, in start order.
pub type NodeId = u64;

/// Time between two ticks.
const TICK: Duration = Duration::from_millis(100);
/// Time after which a call to the key-value service times out.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// How long the list of live instances shows a daemon that died.
const LIST_LAG: Duration = Duration::from_secs(4);
/// Duration of a weight load.
const LOAD_TIME: Duration = Duration::from_millis(600);

/// Faults of the network and the key-value service.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Percentage of messages lost.
    pub drop: u32,
    /// Percentage of messages duplicated.
    pub duplicate: u32,
    /// Maximum extra delay of a message.
    pub delay: Duration,
    /// Percentage of the key-value service's answers lost.
    pub lose_answers: u32,
    /// Maximum extra delay of a call to the key-value service.
    pub slow: Duration,
    /// Side of each daemon in a network partition; messages between sides are lost.
    pub partition: BTreeMap<NodeId, u8>,
    /// Whether side 1 can't reach the key-value service.
    pub service_cut: bool,
    /// Daemons that receive no epochs, digests or hand-overs, and no answers of the key-value
    /// service.
    pub uninformed: BTreeSet<NodeId>,
}

impl Faults {
    /// Whether nothing is lost, duplicated, delayed or partitioned.
    fn is_empty(&self) -> bool {
        let lost = self.drop + self.duplicate + self.lose_answers;
        lost == 0
            && self.uninformed.is_empty()
            && self.delay.is_zero()
            && self.slow.is_zero()
            && self.partition.is_empty()
    }
}

/// A scheduled event.
enum Item {
    Tick(NodeId),
    Deliver(NodeId, Envelope),
    Call(NodeId, CallId, Request, bool),
    Answer(NodeId, CallId, Outcome),
    Start(NodeId, Permit),
    Finish(NodeId, Name, RunId, u64, Option<Permit>),
    Sample(NodeId, Name, Duration),
    Report(NodeId, Name, Load),
    Ordered(NodeId, Order),
    OrderAnswer(NodeId, Order, OrderOutcome),
    Loaded(Name, u64, Order),
}

/// An item and its time; the earliest is the greatest.
struct Timed(Reverse<(Duration, u64)>, Item);

impl PartialEq for Timed {
    fn eq(&self, other: &Self) -> bool {
        self.0 == other.0
    }
}
impl Eq for Timed {}
impl PartialOrd for Timed {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Timed {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.cmp(&other.0)
    }
}

/// Counts of messages between the daemons and of their steps.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    pub messages: u64,
    pub bytes: u64,
    pub steps: u64,
    pub step_time: Duration,
}

/// The daemons and their simulated environment.
pub struct Simulation {
    pub now: Duration,
    pub nodes: BTreeMap<NodeId, Node>,
    /// When daemons died.
    dead: BTreeMap<NodeId, Duration>,
    pub kv: Kv,
    pub engines: BTreeMap<Name, Engine>,
    pub faults: Faults,
    pub oracle: Oracle,
    pub traffic: Traffic,
    pub out: BTreeMap<Name, bool>,
    documents: BTreeMap<Name, BTreeMap<Name, bool>>,
    pub healthy_since: Duration,
    pub zones: Vec<Name>,
    /// Configuration to use instead of the small one; each change increases one of its weights.
    pub base: Option<Document>,
    pub is_measured: bool,
    /// Log of outcomes and state changes.
    pub log: Vec<String>,
    queue: BinaryHeap<Timed>,
    next: u64,
    next_node: NodeId,
    next_run: RunId,
    mutation: Option<Mutation>,
    pub rng: ChaCha8Rng,
}

impl Simulation {
    /// A simulation without daemons.
    pub fn new(seed: u64, mutation: Option<Mutation>) -> Self {
        Self {
            now: Duration::ZERO,
            nodes: BTreeMap::new(),
            dead: BTreeMap::new(),
            kv: Kv::default(),
            engines: document::engines(),
            faults: Faults::default(),
            oracle: Oracle::default(),
            traffic: Traffic::default(),
            out: BTreeMap::new(),
            documents: BTreeMap::new(),
            healthy_since: Duration::ZERO,
            zones: document::zones(),
            base: None,
            is_measured: false,
            log: Vec::new(),
            queue: BinaryHeap::new(),
            next: 0,
            next_node: 1,
            next_run: 1,
            mutation,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Starts a daemon.
    pub fn start(&mut self) -> NodeId {
        let id = self.next_node;
        self.next_node += 1;
        let zone = self.zones[id as usize % self.zones.len()].clone();
        let identity = node::identity(id, zone, self.rng.random());
        let peers = self.nodes.keys().map(|n| node::address(*n)).collect();
        let control = match self.mutation {
            None => Control::new(identity, peers),
            Some(mutation) => Control::mutated(identity, peers, mutation),
        };
        let rate = self.rng.random_range(0.98..1.02);
        self.nodes.insert(id, Node::new(control, self.now, rate));
        let first = self.now + self.millis(0, 100);
        self.at(first, Item::Tick(id));
        id
    }

    /// Kills a daemon.
    pub fn kill(&mut self, id: NodeId) {
        self.nodes.remove(&id);
        self.dead.insert(id, self.now);
        self.note_fault();
    }

    /// Pauses a daemon.
    pub fn pause(&mut self, id: NodeId, time: Duration) {
        let until = self.now + time;
        if let Some(node) = self.nodes.get_mut(&id) {
            node.paused_until = until;
        }
        self.note_fault();
        self.healthy_since = self.healthy_since.max(until);
    }

    /// Notes that a fault occurs now.
    pub fn note_fault(&mut self) {
        self.healthy_since = self.healthy_since.max(self.now);
    }

    /// Ends every fault.
    pub fn heal(&mut self) {
        self.faults = Faults::default();
        self.kv.down = false;
        self.note_fault();
    }

    /// Makes the key-value service unavailable.
    pub fn stop_service(&mut self) {
        self.kv.down = true;
        self.end_watches();
        self.note_fault();
    }

    /// Runs the simulation for some time, or until the first violation.
    pub fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(Timed(Reverse((at, _)), _)) = self.queue.peek() {
            if *at > end || self.oracle.violation.is_some() {
                break;
            }
            let Some(Timed(Reverse((at, _)), item)) = self.queue.pop() else { break };
            self.now = at;
            self.handle(item);
        }
        self.now = end;
    }

    /// Sends requests for an upstream to a daemon.
    pub fn request(&mut self, id: NodeId, upstream: &Name, count: u32) {
        let Some(node) = self.awake_node(id) else { return };
        match node.warmth(upstream) {
            Warmth::Warm => (0..count).for_each(|_| self.start_unpermitted(id, upstream)),
            Warmth::Cold => {
                let waiting = node.waiting.entry(upstream.clone()).or_default();
                *waiting += count;
                let event = Event::PermitWanted { upstream: upstream.clone(), waiting: *waiting };
                self.step(id, event);
            }
            Warmth::Closed | Warmth::Down => {}
        }
    }

    /// Publishes the document, with the zones and upstreams in `out` out of service, at a daemon.
    pub fn change(&mut self, id: NodeId) {
        let Some(node) = self.awake_node(id) else { return };
        node.changes += 1;
        let name: Name = format!("change-{id}-{}", node.changes).into();
        let ticket = node.changes;
        node.change_names.insert(ticket, name.clone());
        let base = node.snapshot.revision;
        self.documents.insert(name.clone(), self.out.clone());
        let document = match &mut self.base {
            None => document::document(&self.out),
            Some(base) => document::alter(base),
        };
        let change = Change { id: name, base, author: "operator".into(), document };
        self.step(id, Event::ChangeWanted(ticket, change));
    }

    /// Requests a claim at a daemon.
    pub fn claim(&mut self, id: NodeId, key: u32) {
        let Some(node) = self.awake_node(id) else { return };
        node.tickets += 1;
        let ticket = node.tickets;
        node.claims.insert(ticket, key);
        self.step(id, Event::ClaimWanted(ticket, document::claim(key)));
    }

    /// Orders an upstream to load a version, at a daemon.
    pub fn order(&mut self, id: NodeId, upstream: &Name) {
        let Some(node) = self.awake_node(id) else { return };
        node.tickets += 1;
        let ticket = node.tickets;
        let order = Order {
            upstream: upstream.clone(),
            duty: OrderDuty::LoadVersion(format!("v{id}-{ticket}").into()),
            fence: 0,
            id: format!("order-{id}-{ticket}").into(),
        };
        self.step(id, Event::OrderWanted(ticket, order));
    }

    /// Restarts an upstream, cold.
    pub fn restart(&mut self, upstream: &Name) {
        if let Some(engine) = self.engines.get_mut(upstream) {
            engine.restart(self.now);
        }
    }

    /// Gives a daemon an event.
    pub fn step(&mut self, id: NodeId, event: Event) {
        let Some(node) = self.nodes.get_mut(&id) else { return };
        let started = self.is_measured.then(std::time::Instant::now);
        let actions = node.control.step(node.local(self.now), event);
        self.traffic.steps += 1;
        if let Some(started) = started {
            self.traffic.step_time += started.elapsed();
        }
        for action in actions {
            self.act(id, action);
        }
    }

    /// The root held by the key-value service.
    pub fn root(&self) -> Option<Root> {
        Root::decode(self.kv.value(acacia_policy::control::ROOT_KEY)?).ok()
    }

    /// True with a probability of `of` in `all`.
    pub fn rng_ratio(&mut self, of: u32, all: u32) -> bool {
        self.rng.random_ratio(of, all)
    }

    /// A random duration between two numbers of milliseconds.
    pub fn millis(&mut self, from: u64, to: u64) -> Duration {
        Duration::from_micros(self.rng.random_range(from * 1_000..to * 1_000))
    }

    fn awake_node(&mut self, id: NodeId) -> Option<&mut Node> {
        self.nodes.get_mut(&id).filter(|n| n.paused_until <= self.now)
    }

    fn at(&mut self, at: Duration, item: Item) {
        self.next += 1;
        self.queue.push(Timed(Reverse((at, self.next)), item));
    }

    fn soon(&mut self, item: Item) {
        let delay = self.millis(0, 3);
        self.at(self.now + delay, item);
    }

    /// Postpones an item while its daemon is paused; none if postponed or if the daemon is gone.
    fn awake(&mut self, item: Item) -> Option<Item> {
        let id = match &item {
            Item::Tick(id)
            | Item::Deliver(id, _)
            | Item::Answer(id, ..)
            | Item::Start(id, _)
            | Item::Report(id, ..)
            | Item::OrderAnswer(id, ..)
            | Item::Finish(id, ..) => *id,
            _ => return Some(item),
        };
        let until = self.nodes.get(&id).map(|n| n.paused_until);
        match until {
            Some(until) if until > self.now => {
                self.at(until, item);
                None
            }
            None if !matches!(item, Item::Finish(..)) => None,
            _ => Some(item),
        }
    }

    fn handle(&mut self, item: Item) {
        let Some(item) = self.awake(item) else { return };
        match item {
            Item::Tick(id) => self.tick(id),
            Item::Deliver(id, envelope) => self.step(id, Event::Message(envelope)),
            Item::Call(id, call, request, is_answered) => self.call(id, call, request, is_answered),
            Item::Answer(id, call, outcome) => {
                let uninformed = self.faults.uninformed.contains(&id);
                let outcome = if uninformed { Err(Failure::Ambiguous) } else { outcome };
                self.step(id, Event::Kv(call, outcome));
            }
            Item::Start(id, permit) => self.start_permitted(id, permit),
            Item::Finish(id, name, run, incarnation, permit) => {
                self.finish(id, &name, run, incarnation, permit);
            }
            Item::Sample(id, name, sent) => self.sample(id, &name, sent),
            Item::Report(id, name, load) => {
                self.see(id, &name, load.incarnation);
                self.step(id, Event::Observed(name, Observation::Reported(load)));
            }
            Item::Ordered(id, order) => self.ordered(id, order),
            Item::OrderAnswer(id, order, outcome) => {
                self.step(id, Event::Ordered(order, outcome));
            }
            Item::Loaded(name, incarnation, order) => self.loaded(&name, incarnation, &order),
        }
    }

    fn tick(&mut self, id: NodeId) {
        self.step(id, Event::Tick);
        if !self.faults.is_empty() || self.kv.down {
            self.note_fault();
        }
        let Some(node) = self.nodes.get(&id) else { return };
        let revision = node.snapshot.revision;
        let since = self.healthy_since.max(node.started_at);
        self.oracle.in_force(self.now, since, revision, id);
        if self.rng.random_ratio(1, 20) {
            self.list(id);
        }
        if self.rng.random_ratio(1, 10) {
            let names: Vec<Name> = self.engines.keys().cloned().collect();
            let name = names[self.rng.random_range(0..names.len())].clone();
            self.probe(id, &name);
        }
        self.at(self.now + TICK, Item::Tick(id));
    }

    /// Gives a daemon the list of live instances, which shows dead daemons for [`LIST_LAG`].
    fn list(&mut self, id: NodeId) {
        let now = self.now;
        self.dead.retain(|_, died| now < *died + LIST_LAG);
        let ids: Vec<NodeId> = self.nodes.keys().chain(self.dead.keys()).copied().collect();
        let instances = ids.into_iter().map(|n| Instance {
            name: format!("d{n}").into(),
            kind: InstanceKind::Daemon,
            address: node::address(n),
            zone: self.zones[0].clone(),
            leaving: false,
            incarnation: 1,
        });
        let instances = instances.collect();
        self.step(id, Event::Listed(instances));
    }

    fn act(&mut self, id: NodeId, action: Action) {
        match action {
            Action::Kv(call, request) => self.send_call(id, call, request),
            Action::Send(to, envelope) => self.send(id, node::id(to), &envelope),
            Action::Publish(snapshot) => {
                self.oracle.published(id, &snapshot);
                if let Some(node) = self.nodes.get_mut(&id) {
                    node.snapshot = snapshot;
                }
                self.send_waiting(id);
            }
            Action::Permit(permit) => {
                let closed = self.nodes[&id].warmth(&permit.upstream) == Warmth::Closed;
                self.oracle.permitted(&permit.upstream, closed);
                let delay = self.millis(0, 20);
                self.at(self.now + delay, Item::Start(id, permit));
            }
            Action::PermitRefused { upstream, .. } => {
                if let Some(node) = self.nodes.get_mut(&id) {
                    node.waiting.remove(&upstream);
                    node.refused += 1;
                }
            }
            Action::Probe(upstream) => self.probe(id, &upstream),
            Action::Claimed(ticket, outcome) => self.claimed(id, ticket, &outcome),
            Action::Changed(ticket, outcome) => {
                let name = self.nodes.get_mut(&id).and_then(|n| n.change_names.remove(&ticket));
                if let Some(name) = name {
                    self.log.push(format!("{name}: {outcome:?}"));
                    let out = self.documents.remove(&name).unwrap_or_default();
                    let closed = document::closed(&out);
                    self.oracle.changed(self.now, &name, &outcome, closed);
                }
            }
            Action::Order(order) => self.soon(Item::Ordered(id, order)),
            Action::OrderEnded(_, outcome) => self.log.push(format!("order {id}: {outcome}")),
            Action::Stopped => {
                self.nodes.remove(&id);
            }
            Action::Log(l) => self.log.push(format!("{:?} {id} {l:?}\n", self.now)),
        }
    }

    fn send(&mut self, from: NodeId, to: NodeId, envelope: &Envelope) {
        self.traffic.messages += 1;
        if self.is_measured {
            self.traffic.bytes += rmp_serde::to_vec(envelope).map_or(0, |b| b.len() as u64);
        }
        let side = |n: &NodeId| self.faults.partition.get(n).copied().unwrap_or_default();
        if side(&from) != side(&to) || self.rng.random_ratio(self.faults.drop, 100) {
            return;
        }
        let news = matches!(
            envelope.message,
            Message::Epoch(_) | Message::Digest(_) | Message::HandOver(_)
        );
        if news && self.faults.uninformed.contains(&to) {
            return;
        }
        let copies = 1 + u32::from(self.rng.random_ratio(self.faults.duplicate, 100));
        for _ in 0..copies {
            let extra = self.faults.delay.mul_f64(self.rng.random());
            let delay = self.millis(1, 3) + extra;
            self.at(self.now + delay, Item::Deliver(to, envelope.clone()));
        }
    }

    fn send_call(&mut self, id: NodeId, call: CallId, request: Request) {
        let side = self.faults.partition.get(&id).copied().unwrap_or_default();
        if self.faults.service_cut && side == 1 {
            self.at(self.now + CALL_TIMEOUT, Item::Answer(id, call, Err(Failure::Ambiguous)));
            return;
        }
        let delay = self.millis(1, 4) + self.faults.slow.mul_f64(self.rng.random());
        let lost = self.rng.random_ratio(self.faults.lose_answers, 100);
        let late = delay > CALL_TIMEOUT;
        if lost || late {
            self.at(self.now + CALL_TIMEOUT, Item::Answer(id, call, Err(Failure::Ambiguous)));
        }
        self.at(self.now + delay, Item::Call(id, call, request, !lost && !late));
    }

    fn call(&mut self, id: NodeId, call: CallId, request: Request, is_answered: bool) {
        let outcome = self.kv.call(id, call, request);
        self.end_watches();
        if let Some(outcome) = outcome.filter(|_| is_answered) {
            let delay = self.millis(1, 4);
            self.at(self.now + delay, Item::Answer(id, call, outcome));
        }
    }

    fn end_watches(&mut self) {
        for (waiter, outcome) in self.kv.take_ended() {
            let delay = self.millis(1, 4);
            self.at(self.now + delay, Item::Answer(waiter.node, waiter.call, outcome));
        }
    }

    fn claimed(&mut self, id: NodeId, ticket: u64, outcome: &acacia_policy::control::ClaimOutcome) {
        let Some(key) = self.nodes.get_mut(&id).and_then(|n| n.claims.remove(&ticket)) else {
            return;
        };
        self.oracle.claimed(key, outcome);
        if *outcome != acacia_policy::control::ClaimOutcome::Granted {
            return;
        }
        let event = document::ending(key, self.rng.random_ratio(1, 4));
        if let Event::ClaimEnded { verdict, .. } = &event {
            self.oracle.claim_ended(key, *verdict);
        }
        self.step(id, event);
    }

    fn probe(&mut self, id: NodeId, name: &Name) {
        let Some(node) = self.nodes.get(&id) else { return };
        let sent = node.local(self.now);
        self.soon(Item::Sample(id, name.clone(), sent));
    }

    fn sample(&mut self, id: NodeId, name: &Name, sent: Duration) {
        let Some(engine) = self.engines.get(name).filter(|e| e.reports) else { return };
        let load = Load {
            sampled_at: sent,
            incarnation: engine.incarnation,
            running: engine.runs.len() as u32,
            waiting: 0,
            slots: document::SLOTS,
            cold: engine.cold,
            version: engine.version.clone(),
            adapters: Vec::new(),
        };
        self.soon(Item::Report(id, name.clone(), load));
    }

    fn see(&mut self, id: NodeId, name: &Name, incarnation: u64) {
        if let Some(node) = self.nodes.get_mut(&id) {
            node.seen.insert(name.clone(), incarnation);
        }
    }

    /// Sends the waiting requests whose upstream has become warm.
    fn send_waiting(&mut self, id: NodeId) {
        let Some(node) = self.nodes.get_mut(&id) else { return };
        let waiting = std::mem::take(&mut node.waiting);
        for (name, count) in waiting {
            match self.nodes[&id].warmth(&name) {
                Warmth::Warm => (0..count).for_each(|_| self.start_unpermitted(id, &name)),
                Warmth::Closed => {}
                _ => {
                    if let Some(node) = self.nodes.get_mut(&id) {
                        node.waiting.insert(name, count);
                    }
                }
            }
        }
    }

    fn start_unpermitted(&mut self, id: NodeId, name: &Name) {
        let newest = self.root().map_or(0, |r| r.revision);
        self.oracle.opened(self.now, self.healthy_since, newest, name);
        let Some(engine) = self.engines.get_mut(name) else { return };
        let seen = self.nodes[&id].seen.get(name) == Some(&engine.incarnation);
        self.oracle.started_unpermitted(name, engine, seen);
        self.next_run += 1;
        engine.start(self.next_run, false);
        let (run, incarnation) = (self.next_run, engine.incarnation);
        let end = self.now + self.millis(20, 200);
        self.at(end, Item::Finish(id, name.clone(), run, incarnation, None));
    }

    fn start_permitted(&mut self, id: NodeId, permit: Permit) {
        let name = permit.upstream.clone();
        let newest = self.root().map_or(0, |r| r.revision);
        let Some(node) = self.nodes.get_mut(&id) else { return };
        let late = node.local(self.now) >= permit.until;
        let waiting = node.waiting.get_mut(&name).filter(|w| **w > 0 && !late);
        let Some(waiting) = waiting else {
            self.step(id, Event::PermitReturned { permit, usage: Usage::Unused });
            self.request(id, &name, 0);
            return;
        };
        *waiting -= 1;
        node.started += 1;
        node.last_start = self.now;
        self.oracle.opened(self.now, self.healthy_since, newest, &name);
        let Some(engine) = self.engines.get_mut(&name) else { return };
        self.next_run += 1;
        let current = permit.incarnation == 0 || permit.incarnation == engine.incarnation;
        let permitted = engine.start(self.next_run, current);
        if current {
            self.oracle.started(&name, engine, permitted);
        }
        let (run, incarnation) = (self.next_run, engine.incarnation);
        let end = self.now + self.millis(20, 2_500);
        self.at(end, Item::Finish(id, name, run, incarnation, Some(permit)));
    }

    fn finish(
        &mut self,
        id: NodeId,
        name: &Name,
        run: RunId,
        incarnation: u64,
        permit: Option<Permit>,
    ) {
        let Some(engine) = self.engines.get_mut(name) else { return };
        let well = engine.finish(run);
        if well {
            self.see(id, name, incarnation);
        }
        let observation =
            if well { Observation::Answered(incarnation) } else { Observation::Unreachable };
        self.step(id, Event::Observed(name.clone(), observation));
        if let Some(permit) = permit {
            let usage = if well { Usage::Answered } else { Usage::Failed };
            self.step(id, Event::PermitReturned { permit, usage });
        }
    }

    fn ordered(&mut self, id: NodeId, order: Order) {
        let Some(engine) = self.engines.get_mut(&order.upstream) else { return };
        let stale = engine.checks_fence && order.fence < engine.fence;
        let taken = engine.orders.get(&order.id).copied();
        let outcome = match taken {
            _ if stale => OrderOutcome::Stale,
            Some(true) => OrderOutcome::Done,
            _ => OrderOutcome::Accepted,
        };
        if !stale && taken.is_none() {
            engine.fence = engine.fence.max(order.fence);
            engine.loading += 1;
            engine.orders.insert(order.id.clone(), false);
            let (name, incarnation) = (order.upstream.clone(), engine.incarnation);
            let end = self.now + LOAD_TIME;
            self.at(end, Item::Loaded(name, incarnation, order.clone()));
        }
        self.oracle.loading(self.engines.values().map(|e| e.loading));
        self.soon(Item::OrderAnswer(id, order, outcome));
    }

    fn loaded(&mut self, name: &Name, incarnation: u64, order: &Order) {
        let Some(engine) = self.engines.get_mut(name).filter(|e| e.incarnation == incarnation)
        else {
            return;
        };
        engine.loading = engine.loading.saturating_sub(1);
        engine.orders.insert(order.id.clone(), true);
        if let OrderDuty::LoadVersion(version) = &order.duty {
            engine.version = Some(version.clone());
        }
    }
}
