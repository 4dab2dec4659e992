//! Simulation of several gateways that share model engines, with callers that have deadlines and
//! come back after a refusal, under virtual time.

#![allow(dead_code)]

pub mod engine;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use acacia_policy::Time;
use acacia_policy::gateway::call::content_hash;
use acacia_policy::gateway::configuration::{EngineSpec, Limits, Repeat, Role, Route, Service};
use acacia_policy::gateway::mesh::Detail;
use acacia_policy::gateway::{
    Attempt, Call, Configuration, Ending, Gateway, Part, Plan, Prompt, Server, ServerId, Step, View,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha12Rng;

use engine::{Engine, Event, FlightId, Job, MEMORY_TOKENS, SLOTS};

/// Resolution of the simulation.
const TICK: Duration = Duration::from_millis(1);
/// Time for which gateways batch load digests, in ticks.
const GOSSIP_TICKS: u64 = 15;
/// Every how many digests a full one is sent.
const FULL_DIGEST: u64 = 47;
/// Time until a gateway notices that an engine acknowledges nothing.
const LOST_AFTER: Duration = Duration::from_secs(4);
/// Start of the simulated time.
const START: Time = Duration::from_secs(3_600);

/// A kind of prompt.
#[derive(Clone, Copy, Debug)]
pub struct Class {
    pub path: &'static str,
    /// Arrivals per second over all gateways.
    pub rate: f64,
    pub subjects: u32,
    pub shared_tokens: u32,
    pub own_tokens: u32,
    pub output_tokens: u32,
    pub target: Duration,
    pub timeout: Duration,
    /// Time without an event after which a caller gives up.
    pub patience: Duration,
    pub priority: u32,
    pub repeat: Repeat,
}

/// Long prompts of many subjects, each of which occupies a tenth of an engine's memory.
pub const LONG: Class = Class {
    path: "/long/",
    rate: 15.0,
    subjects: 60,
    shared_tokens: 9_000,
    own_tokens: 3_000,
    output_tokens: 384,
    target: Duration::from_millis(800),
    timeout: Duration::from_secs(15),
    patience: Duration::from_millis(3_200),
    priority: 1,
    repeat: Repeat::Stream,
};

/// Short, urgent prompts.
pub const SHORT: Class = Class {
    path: "/short/",
    rate: 60.0,
    subjects: 200,
    shared_tokens: 1_800,
    own_tokens: 500,
    output_tokens: 24,
    target: Duration::from_millis(400),
    timeout: Duration::from_secs(3),
    patience: Duration::from_secs(2),
    priority: 0,
    repeat: Repeat::ResumableStream,
};

/// What became of one caller's request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    InTime,
    Late,
    Unserved,
}

#[derive(Clone, Debug)]
struct Caller {
    class: Class,
    subject: u32,
    arrived: Time,
    retries_left: u32,
    outcome: Option<Outcome>,
}

struct Flight {
    caller: usize,
    gateway: usize,
    /// The request, which its attempts share.
    plan: Rc<RefCell<Plan>>,
    attempt: Attempt,
    engine: usize,
    has_begun: bool,
    /// When the caller sent this attempt.
    sent: Time,
    /// The other attempt of the request that is in progress.
    other: Option<FlightId>,
    /// Whether this is the second attempt.
    is_second: bool,
}

/// Gateways, engines and callers.
pub struct Fleet {
    now: Time,
    ticks: u64,
    rng: ChaCha12Rng,
    classes: Vec<Class>,
    gateways: Vec<Gateway>,
    engines: Vec<Engine>,
    view: View,
    callers: Vec<Caller>,
    flights: BTreeMap<FlightId, Flight>,
    next_flight: FlightId,
    /// Requests that wait in a gateway: when they go on, and when the caller sent them.
    waiting: Vec<(Time, usize, usize, Plan, Time)>,
    /// Callers that come back.
    returning: Vec<(Time, usize)>,
}

impl Fleet {
    /// A fleet of gateways and engines under a load of some classes.
    pub fn new(seed: u64, gateways: usize, engines: usize, classes: &[Class]) -> Self {
        let mut rng = ChaCha12Rng::seed_from_u64(seed);
        let view = view(engines, gateways, classes);
        let mut fleet = Self {
            now: START,
            ticks: 0,
            gateways: Vec::new(),
            engines: (0..engines).map(|_| Engine::default()).collect(),
            view,
            classes: classes.to_vec(),
            callers: Vec::new(),
            flights: BTreeMap::new(),
            next_flight: 0,
            waiting: Vec::new(),
            returning: Vec::new(),
            rng: ChaCha12Rng::seed_from_u64(rng.random()),
        };
        for _ in 0..gateways {
            let gateway = fleet.gateway();
            fleet.gateways.push(gateway);
        }
        fleet
    }

    fn gateway(&mut self) -> Gateway {
        let mut terms = super::gateway_simulation::terms(1_000.0);
        terms.retries.ratio = 0.2;
        let mut gateway = Gateway::new(terms, self.rng.random());
        gateway.observe(self.now, Arc::new(self.view.clone()));
        gateway
    }

    /// Time since the start.
    pub fn elapsed(&self) -> Duration {
        self.now - START
    }

    /// Lets some engines do nothing for a while.
    pub fn darken(&mut self, count: usize, time: Duration) {
        for engine in &mut self.engines[..count] {
            engine.dark_until = self.now + time;
        }
    }

    /// Restarts a gateway, whose requests are lost.
    pub fn restart_gateway(&mut self, index: usize) {
        let lost: Vec<FlightId> =
            self.flights.iter().filter(|(_, f)| f.gateway == index).map(|(id, _)| *id).collect();
        for id in lost {
            if let Some(flight) = self.flights.remove(&id) {
                self.engines[flight.engine].cancel(id);
                self.callers[flight.caller].outcome.get_or_insert(Outcome::Unserved);
            }
        }
        self.waiting.retain(|(_, gateway, ..)| *gateway != index);
        self.gateways[index] = self.gateway();
    }

    /// Clears the memory of all engines, as newer weights do, and lets a third of them do nothing
    /// for a while.
    pub fn reload(&mut self, time: Duration) {
        let loading = self.engines.len() / 3;
        for (at, engine) in self.engines.iter_mut().enumerate() {
            engine.forget();
            if at < loading {
                engine.dark_until = self.now + time;
            }
        }
    }

    /// Multiplies the rate of arrivals.
    pub fn scale_load(&mut self, factor: f64) {
        self.classes.iter_mut().for_each(|class| class.rate *= factor);
    }

    /// Runs until a time since the start.
    pub fn run_until(&mut self, end: Duration) {
        while self.elapsed() < end {
            self.tick();
        }
    }

    /// Share of the requests in time among those that arrived in a period.
    pub fn in_time_share(&self, from: Duration, to: Duration) -> f64 {
        let period = START + from..START + to;
        let callers = self.callers.iter().filter(|caller| period.contains(&caller.arrived));
        let (mut all, mut in_time) = (0_u32, 0_u32);
        for caller in callers {
            all += 1;
            in_time += u32::from(caller.outcome == Some(Outcome::InTime));
        }
        f64::from(in_time) / f64::from(all.max(1))
    }

    fn tick(&mut self) {
        self.now += TICK;
        self.ticks += 1;
        for class in self.classes.clone() {
            if self.rng.random::<f64>() < class.rate * TICK.as_secs_f64() {
                self.callers.push(Caller {
                    class,
                    subject: self.rng.random_range(0..class.subjects),
                    arrived: self.now,
                    retries_left: 1,
                    outcome: None,
                });
                self.call(self.callers.len() - 1);
            }
        }
        let now = self.now;
        for (_, caller) in self.returning.extract_if(.., |(at, _)| *at <= now).collect::<Vec<_>>() {
            self.call(caller);
        }
        for (_, gateway, caller, plan, sent) in
            self.waiting.extract_if(.., |(at, ..)| *at <= now).collect::<Vec<_>>()
        {
            self.go_on(gateway, caller, plan, sent);
        }
        for at in 0..self.engines.len() {
            for event in self.engines[at].advance(now) {
                self.apply(event);
            }
        }
        if self.ticks.is_multiple_of(10) {
            self.check_flights();
        }
        if self.ticks.is_multiple_of(GOSSIP_TICKS) {
            self.gossip();
        }
    }

    /// A caller sends its request to a random gateway.
    fn call(&mut self, caller: usize) {
        let Caller { class, subject, arrived, .. } = self.callers[caller];
        let gateway = self.rng.random_range(0..self.gateways.len());
        let part = |id: String, tokens| Part { id, tokens };
        let parts = vec![
            part(format!("{}{subject}", class.path), class.shared_tokens),
            part(format!("own-{caller}"), class.own_tokens),
        ];
        let call = Call {
            id: format!("call-{caller}-{}", self.ticks),
            host: "svc.example".to_owned(),
            path: class.path.to_owned(),
            key: None,
            timeout: Some((arrived + class.timeout).saturating_sub(self.now)),
            prompt: Some(Prompt {
                model: super::gateway_simulation::MODEL.into(),
                input_tokens: class.shared_tokens + class.own_tokens,
                output_tokens: class.output_tokens,
                parts,
            }),
            content: content_hash("POST", class.path, b""),
            resumption: None,
        };
        match self.gateways[gateway].admit(self.now, call) {
            Ok(plan) => self.go_on(gateway, caller, plan, self.now),
            Err(refusal) => self.refused(caller, refusal.retry_after),
        }
    }

    fn go_on(&mut self, gateway: usize, caller: usize, mut plan: Plan, sent: Time) {
        match self.gateways[gateway].next(self.now, &mut plan) {
            Step::Send(attempt) => {
                let engine = self.engine_of(&attempt.server.id);
                let (attempt, has_begun, other, is_second) = (*attempt, false, None, false);
                let plan = Rc::new(RefCell::new(plan));
                self.depart(Flight {
                    caller,
                    gateway,
                    plan,
                    attempt,
                    engine,
                    has_begun,
                    sent,
                    other,
                    is_second,
                });
            }
            Step::Wait(at) => self.waiting.push((at, gateway, caller, plan, sent)),
            Step::Forward(_) => unreachable!("no path is probed"),
            Step::Refuse(refusal) => self.refused(caller, refusal.retry_after),
        }
    }

    /// Submits an attempt to its engine.
    fn depart(&mut self, flight: Flight) -> FlightId {
        let Caller { class, subject, .. } = self.callers[flight.caller];
        let id = self.next_flight;
        self.engines[flight.engine].submit(Job {
            flight: id,
            priority: class.priority,
            // Subjects of different classes are different parts.
            subject: subject * 2 + class.priority,
            shared_tokens: class.shared_tokens.into(),
            input_tokens: u64::from(class.shared_tokens + class.own_tokens),
            output_tokens: class.output_tokens.into(),
        });
        self.flights.insert(id, flight);
        self.next_flight += 1;
        id
    }

    /// Starts a second attempt beside one that does not respond, if its gateway does.
    fn hedge(&mut self, id: FlightId) {
        let flight = &self.flights[&id];
        let plan = flight.plan.clone();
        let gateway = &mut self.gateways[flight.gateway];
        let second = gateway.hedge(self.now, &mut plan.borrow_mut(), &flight.attempt);
        let Some(attempt) = second else { return };
        let second = Flight {
            caller: flight.caller,
            gateway: flight.gateway,
            plan,
            engine: self.engine_of(&attempt.server.id),
            attempt,
            has_begun: false,
            sent: flight.sent,
            other: Some(id),
            is_second: true,
        };
        let second = self.depart(second);
        if let Some(flight) = self.flights.get_mut(&id) {
            flight.other = Some(second);
        }
    }

    /// Cancels the other attempt of a request one of whose attempts has begun.
    fn cancel_other(&mut self, id: FlightId) {
        let Some(other) = self.flights.get_mut(&id).and_then(|flight| flight.other.take()) else {
            return;
        };
        let Some(flight) = self.flights.remove(&other) else { return };
        self.engines[flight.engine].cancel(other);
        let ending = if flight.is_second { Ending::Cancelled } else { Ending::Silent };
        self.end(flight, ending);
    }

    /// Ends an attempt and lets the request's other one go on alone.
    fn leave_to_other(&mut self, flight: Flight, ending: Ending) {
        let Some(other) = flight.other else { return };
        self.end(flight, ending);
        let Some(other) = self.flights.get_mut(&other) else { return };
        (other.other, other.is_second) = (None, false);
    }

    fn refused(&mut self, caller: usize, after: Option<Duration>) {
        let Caller { class, arrived, retries_left, .. } = self.callers[caller];
        let left = (arrived + class.timeout).saturating_sub(self.now);
        if retries_left == 0 || left.is_zero() {
            self.callers[caller].outcome.get_or_insert(Outcome::Unserved);
            return;
        }
        self.callers[caller].retries_left -= 1;
        let after = after.unwrap_or_default().min(left / 3);
        self.returning.push((self.now + after, caller));
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Began(id) => {
                let Some(flight) = self.flights.get_mut(&id) else { return };
                flight.has_begun = true;
                let gateway = &mut self.gateways[flight.gateway];
                gateway.began(self.now, &flight.plan.borrow(), &mut flight.attempt);
                let caller = &mut self.callers[flight.caller];
                let is_in_time = self.now <= caller.arrived + caller.class.target;
                let outcome = if is_in_time { Outcome::InTime } else { Outcome::Late };
                caller.outcome.get_or_insert(outcome);
                self.cancel_other(id);
            }
            Event::Ended(id) => {
                if let Some(flight) = self.flights.remove(&id) {
                    self.end(flight, Ending::Answered);
                }
            }
        }
    }

    fn end(&mut self, flight: Flight, ending: Ending) -> (usize, usize, Plan, Time) {
        let gateway = &mut self.gateways[flight.gateway];
        let id = flight.attempt.server.id.clone();
        let mut plan = flight.plan.borrow_mut();
        gateway.ended(self.now, &mut plan, &flight.attempt, ending, Some(&id));
        (flight.gateway, flight.caller, plan.clone(), flight.sent)
    }

    /// Callers give up, gateways notice dark engines and try others.
    fn check_flights(&mut self) {
        let ids: Vec<FlightId> = self.flights.keys().copied().collect();
        for id in ids {
            let Some(flight) = self.flights.get(&id) else { continue };
            let class = self.callers[flight.caller].class;
            let age = self.now.saturating_sub(flight.attempt.sent);
            let is_dark = self.now < self.engines[flight.engine].dark_until;
            let ending = if flight.has_begun {
                continue;
            } else if self.now >= flight.sent + class.patience {
                Ending::Cancelled
            } else if is_dark && age >= LOST_AFTER {
                Ending::Lost
            } else if flight.other.is_none()
                && flight.attempt.response_timeout.is_some_and(|timeout| age >= timeout)
            {
                self.hedge(id);
                continue;
            } else {
                continue;
            };
            let Some(mut flight) = self.flights.remove(&id) else { continue };
            self.engines[flight.engine].cancel(id);
            if ending == Ending::Lost && flight.other.is_some() {
                self.leave_to_other(flight, ending);
                continue;
            }
            flight.other = None;
            let (gateway, caller, plan, sent) = self.end(flight, ending);
            if ending == Ending::Cancelled {
                self.callers[caller].outcome.get_or_insert(Outcome::Unserved);
            } else {
                self.go_on(gateway, caller, plan, sent);
            }
        }
    }

    fn gossip(&mut self) {
        let is_full = (self.ticks / GOSSIP_TICKS).is_multiple_of(FULL_DIGEST);
        for at in 0..self.gateways.len() {
            let digest = if is_full {
                self.gateways[at].full_digest(self.now, Detail::All)
            } else {
                self.gateways[at].digest(self.now, Detail::All)
            };
            let Some(digest) = digest else { continue };
            for other in (0..self.gateways.len()).filter(|other| *other != at) {
                self.gateways[other].receive(self.now, digest.clone());
            }
        }
    }

    fn engine_of(&self, id: &ServerId) -> usize {
        id.trim_start_matches('e').parse().expect("engines are named by their index")
    }
}

fn view(engines: usize, gateways: usize, classes: &[Class]) -> View {
    let servers = (0..engines).map(|number| Server {
        id: format!("e{number}").into(),
        service: "llm".into(),
        address: ([127, 0, 0, 1], 1 + number as u16).into(),
        zone: "z1".into(),
        slots: SLOTS,
        leaving: false,
        cold_left: Duration::ZERO,
        models: vec![(super::gateway_simulation::MODEL.into(), 1)],
        born: None,
        software: "v1".into(),
    });
    View {
        configuration: Arc::new(configuration(classes)),
        servers: servers.map(|server| (server.id.clone(), Arc::new(server))).collect(),
        instances: gateways as u32,
        ..super::gateway_simulation::view(0)
    }
}

fn configuration(classes: &[Class]) -> Configuration {
    let routes = classes.iter().map(|class| Route {
        name: class.path.to_owned(),
        host: "svc.example".to_owned(),
        prefix: class.path.to_owned(),
        repeat: class.repeat,
        timeout: class.timeout,
        latency_target: class.target,
        gap_target: None,
        attempts: 2,
        priority: class.priority,
        split: vec![("llm".into(), 1)],
        public: true,
    });
    let engine = Role::Engine(EngineSpec {
        slots: SLOTS,
        memory_tokens: MEMORY_TOKENS,
        token_bytes: 35_136,
        link_bytes: 1e11,
        models: vec![super::gateway_simulation::MODEL.into()],
    });
    let service = Service {
        name: "llm".into(),
        connections: None,
        cold_time: Duration::from_secs(3),
        cold_rate: None,
        role: engine,
    };
    Configuration::new(1, routes, [service], None, Limits::default())
}
