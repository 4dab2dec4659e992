//! Simulation of several gateways that share engines, under virtual time. Some parts of prompts
//! crash each engine that begins to answer on them; a crashed engine is back after some seconds
//! under a new id. Gateways exchange digests with a delay and losses.

#![allow(dead_code)]

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use acacia_policy::gateway::call::content_hash;
use acacia_policy::gateway::configuration::{EngineSpec, Limits, Repeat, Role, Route, Service};
use acacia_policy::gateway::gossip::Digest;
use acacia_policy::gateway::mesh::Detail;
use acacia_policy::gateway::{
    Attempt, Call, Configuration, Ending, Gateway, Plan, Prompt, Reason, Server, ServerId, Step,
    View,
};
use acacia_policy::{Time, Verdict};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha12Rng;

use super::gateway_simulation::{MODEL, part, terms, view};

/// Resolution of the simulation.
const TICK: Duration = Duration::from_millis(5);
/// Time for which gateways batch changes, in ticks.
const GOSSIP_TICKS: u64 = 3;
/// Every how many digests a full one is sent.
const FULL_DIGEST: u64 = 47;
/// Time that a digest is under way.
const GOSSIP_DELAY: Duration = Duration::from_millis(15);
/// Time until a crashed engine is no longer listed.
const UNLISTED_AFTER: Duration = Duration::from_millis(500);
/// Time until a request at an idle engine begins, and its growth with each running request.
const FIRST_EVENT: (Duration, Duration) = (Duration::from_millis(60), Duration::from_millis(4));
/// Time from the first event to the end of an answer.
const ANSWER: Duration = Duration::from_millis(250);
/// Start of the simulated time.
const START: Time = Duration::from_secs(3_600);
/// The first part of all prompts.
pub const FIRST: &str = "first";

/// How a caller's request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// Answered in full.
    Served,
    /// Refused or failed by the gateway.
    Refused(Reason, Verdict),
    /// The stream ended after its first event.
    BrokenOff,
}

/// A caller's request.
#[derive(Clone, Debug)]
pub struct Request {
    pub arrived: Duration,
    /// Shared parts of its prompt, without the first.
    pub parts: Vec<String>,
    /// Time from the start of the simulation at which it reached each engine.
    pub sends: Vec<Duration>,
    pub outcome: Option<Outcome>,
}

struct Flight {
    request: usize,
    gateway: usize,
    plan: Plan,
    attempt: Attempt,
    begins: Time,
    ends: Time,
    has_begun: bool,
}

/// Gateways, engines, and callers.
pub struct Site {
    pub gateways: Vec<Gateway>,
    /// The parts that crash engines.
    pub poison: BTreeSet<String>,
    /// Share of digests that are lost.
    pub loss: f64,
    /// Share of attempts that a healthy engine resets before they begin.
    pub reset_share: f64,
    /// Time after which a crashed engine is back.
    pub restart: Duration,
    /// All requests.
    pub requests: Vec<Request>,
    /// When engines crashed, since the start.
    pub crashes: Vec<Duration>,
    now: Time,
    ticks: u64,
    view: View,
    flights: Vec<Flight>,
    waiting: Vec<(Time, usize, usize, Plan)>,
    digests: Vec<(Time, usize, Digest)>,
    unlisting: Vec<(Time, ServerId)>,
    starting: Vec<(Time, Server)>,
    servers_started: u32,
    rng: ChaCha12Rng,
}

impl Site {
    pub fn new(seed: u64, gateways: usize, engines: u32) -> Self {
        let mut rng = ChaCha12Rng::seed_from_u64(seed);
        let mut site = Self {
            gateways: Vec::new(),
            poison: BTreeSet::new(),
            loss: 0.02,
            reset_share: 0.0,
            restart: Duration::from_secs(3),
            requests: Vec::new(),
            crashes: Vec::new(),
            now: START,
            ticks: 0,
            view: View { instances: gateways as u32, ..view(0) },
            flights: Vec::new(),
            waiting: Vec::new(),
            digests: Vec::new(),
            unlisting: Vec::new(),
            starting: Vec::new(),
            servers_started: 0,
            rng: ChaCha12Rng::seed_from_u64(rng.random()),
        };
        site.view.configuration = Arc::new(configuration());
        for number in 0..engines {
            let server = site.server(number, &format!("z{}", number % 3));
            site.view.servers.insert(server.id.clone(), Arc::new(server));
        }
        (0..gateways).for_each(|_| site.add_gateway());
        // The retry budget grows over the first window.
        site.now += Duration::from_secs(20);
        site
    }

    /// Starts one more gateway.
    pub fn add_gateway(&mut self) {
        let mut terms = terms(20.0);
        terms.retries.ratio = 0.2;
        let mut gateway = Gateway::new(terms, self.rng.random());
        gateway.observe(self.now, Arc::new(self.view.clone()));
        self.gateways.push(gateway);
    }

    /// Time since the start.
    pub fn elapsed(&self) -> Duration {
        self.now - START
    }

    /// Ids of the listed engines.
    pub fn engines(&self) -> Vec<ServerId> {
        self.view.servers.keys().cloned().collect()
    }

    /// Engines of an availability zone.
    pub fn engines_of(&self, zone: &str) -> Vec<ServerId> {
        let servers = self.view.servers.values().filter(|server| &*server.zone == zone);
        servers.map(|server| server.id.clone()).collect()
    }

    /// A caller sends a request with these shared parts after the first, through a random gateway
    /// or the given one; returns its index.
    pub fn call(&mut self, parts: &[&str], gateway: Option<usize>) -> usize {
        let request = self.requests.len();
        let gateway = gateway.unwrap_or_else(|| self.rng.random_range(0..self.gateways.len()));
        let own = format!("own-{request}");
        let shared = [FIRST].into_iter().chain(parts.iter().copied()).map(|id| part(id, 800));
        let parts_with_own: Vec<_> = shared.chain([part(&own, 200)]).collect();
        let call = Call {
            id: format!("call-{request}"),
            host: "svc.example".to_owned(),
            path: "/ask/".to_owned(),
            key: None,
            timeout: Some(Duration::from_secs(5)),
            prompt: Some(Prompt {
                model: MODEL.into(),
                input_tokens: parts_with_own.iter().map(|part| part.tokens).sum(),
                output_tokens: 100,
                parts: parts_with_own,
            }),
            content: content_hash("POST", "/ask/", b""),
        };
        let plan = self.gateways[gateway].admit(self.now, call).expect("the route is public");
        self.requests.push(Request {
            arrived: self.elapsed(),
            parts: parts.iter().map(|part| (*part).to_owned()).collect(),
            sends: Vec::new(),
            outcome: None,
        });
        self.go_on(gateway, request, plan);
        request
    }

    /// Calls at random times for a while: `sound` requests a second on random subjects, and
    /// `culprits` a second that also have a part that crashes engines.
    pub fn run_load(&mut self, time: Duration, sound: f64, culprits: f64) {
        let end = self.now + time;
        let poison: Vec<String> = self.poison.iter().cloned().collect();
        while self.now < end {
            for (rate, is_culprit) in [(sound, false), (culprits, true)] {
                if self.rng.random::<f64>() >= rate * TICK.as_secs_f64() {
                    continue;
                }
                let subject = format!("subject-{}", self.rng.random_range(0..60));
                match poison.first().filter(|_| is_culprit) {
                    Some(poison) => self.call(&[&subject, poison], None),
                    None => self.call(&[&subject], None),
                };
            }
            self.tick();
        }
    }

    /// Lets time pass without new requests.
    pub fn pass(&mut self, time: Duration) {
        self.run_load(time, 0.0, 0.0);
    }

    /// Requests whose parts crash engines.
    pub fn culprits(&self) -> impl Iterator<Item = &Request> {
        self.requests.iter().filter(|request| self.is_culprit(request))
    }

    /// All other requests.
    pub fn sound(&self) -> impl Iterator<Item = &Request> {
        self.requests.iter().filter(|request| !self.is_culprit(request))
    }

    fn is_culprit(&self, request: &Request) -> bool {
        request.parts.iter().any(|part| self.poison.contains(part))
    }

    /// Number of times that culprits reached engines later than `after` after the fifth crash.
    pub fn late_culprit_sends(&self, after: Duration) -> usize {
        let Some(fifth) = self.crashes.get(4) else { return 0 };
        let sends = self.culprits().flat_map(|request| &request.sends);
        sends.filter(|at| **at > *fifth + after).count()
    }

    /// Share of sound requests that were served among those that arrived in a period.
    pub fn sound_share(&self, from: Duration, to: Duration) -> f64 {
        let period = from..to;
        let arrived = self.sound().filter(|request| period.contains(&request.arrived));
        let (mut all, mut served) = (0_u32, 0_u32);
        for request in arrived {
            all += 1;
            served += u32::from(request.outcome == Some(Outcome::Served));
        }
        f64::from(served) / f64::from(all.max(1))
    }

    /// Sound requests that were refused for a part.
    pub fn sound_held(&self) -> usize {
        let is_held = |request: &&Request| {
            matches!(request.outcome, Some(Outcome::Refused(reason, _))
                if <&'static str>::from(reason) == "part_held")
        };
        self.sound().filter(is_held).count()
    }

    /// Crashes an engine: everything on it ends, and it is back later under a new id.
    pub fn crash(&mut self, id: &ServerId) {
        let Some(server) = self.view.servers.get(id).cloned() else { return };
        self.crashes.push(self.elapsed());
        self.unlisting.push((self.now + UNLISTED_AFTER, id.clone()));
        let number = self.servers_started;
        let next = self.server(number, &server.zone);
        self.starting.push((self.now + self.restart, next));
        for flight in self
            .flights
            .extract_if(.., |flight| flight.attempt.server.id == *id)
            .collect::<Vec<_>>()
        {
            self.end(flight, Ending::Broken);
        }
    }

    fn server(&mut self, number: u32, zone: &str) -> Server {
        self.servers_started = self.servers_started.max(number + 1);
        let port = u16::try_from(number + 1).expect("few engines are started");
        Server {
            id: format!("e{number}").into(),
            service: "llm".into(),
            address: ([127, 0, 0, 1], port).into(),
            zone: zone.into(),
            slots: 128,
            leaving: false,
            cold_left: Duration::ZERO,
            models: vec![(MODEL.into(), 1)],
            born: Some(u64::from(number)),
        }
    }

    fn is_up(&self, id: &ServerId) -> bool {
        let is_crashed = self.unlisting.iter().any(|(_, crashed)| crashed == id);
        self.view.servers.contains_key(id) && !is_crashed
    }

    fn tick(&mut self) {
        self.now += TICK;
        self.ticks += 1;
        let now = self.now;
        self.update_view();
        for (_, to, digest) in
            self.digests.extract_if(.., |(at, ..)| *at <= now).collect::<Vec<_>>()
        {
            self.gateways[to].receive(now, digest);
        }
        for (_, gateway, request, plan) in
            self.waiting.extract_if(.., |(at, ..)| *at <= now).collect::<Vec<_>>()
        {
            self.go_on(gateway, request, plan);
        }
        self.advance_flights();
        if self.ticks.is_multiple_of(GOSSIP_TICKS) {
            self.gossip();
        }
    }

    fn update_view(&mut self) {
        let now = self.now;
        let gone: Vec<_> = self.unlisting.extract_if(.., |(at, _)| *at <= now).collect();
        let started: Vec<_> = self.starting.extract_if(.., |(at, _)| *at <= now).collect();
        if gone.is_empty() && started.is_empty() {
            return;
        }
        gone.iter().for_each(|(_, id)| {
            self.view.servers.remove(id);
        });
        for (_, server) in started {
            self.view.servers.insert(server.id.clone(), Arc::new(server));
        }
        let view = Arc::new(self.view.clone());
        self.gateways.iter_mut().for_each(|gateway| gateway.observe(now, view.clone()));
    }

    fn go_on(&mut self, gateway: usize, request: usize, mut plan: Plan) {
        match self.gateways[gateway].next(self.now, &mut plan) {
            Step::Send(attempt) => self.send(gateway, request, plan, *attempt),
            Step::Wait(at) => {
                assert!(at > self.now, "a wait ends later");
                self.waiting.push((at, gateway, request, plan));
            }
            Step::Refuse(refusal) => {
                let outcome = Outcome::Refused(refusal.reason, refusal.verdict);
                self.requests[request].outcome.get_or_insert(outcome);
            }
        }
    }

    fn send(&mut self, gateway: usize, request: usize, mut plan: Plan, attempt: Attempt) {
        let server = attempt.server.id.clone();
        if !self.is_up(&server) {
            self.gateways[gateway].ended(self.now, &mut plan, &attempt, Ending::Unreachable, None);
            return self.go_on(gateway, request, plan);
        }
        let elapsed = self.elapsed();
        self.requests[request].sends.push(elapsed);
        let running = self.flights.iter().filter(|flight| flight.attempt.server.id == server);
        let begins = self.now + FIRST_EVENT.0 + FIRST_EVENT.1 * running.count() as u32;
        let ends = begins + ANSWER;
        let has_begun = false;
        self.flights.push(Flight { request, gateway, plan, attempt, begins, ends, has_begun });
    }

    fn advance_flights(&mut self) {
        let now = self.now;
        let mut at = 0;
        while at < self.flights.len() {
            let flight = &mut self.flights[at];
            if now >= flight.ends {
                let flight = self.flights.swap_remove(at);
                self.requests[flight.request].outcome.get_or_insert(Outcome::Served);
                self.end(flight, Ending::Answered);
                continue;
            }
            if flight.has_begun || now < flight.begins {
                at += 1;
                continue;
            }
            if self.requests[flight.request].parts.iter().any(|part| self.poison.contains(part)) {
                let server = flight.attempt.server.id.clone();
                self.crash(&server);
                at = 0;
            } else if self.rng.random::<f64>() < self.reset_share {
                let flight = self.flights.swap_remove(at);
                self.end(flight, Ending::Broken);
            } else {
                flight.has_begun = true;
                self.gateways[flight.gateway].began(now, &flight.plan, &mut flight.attempt);
                at += 1;
            }
        }
    }

    fn end(&mut self, mut flight: Flight, ending: Ending) {
        let gateway = &mut self.gateways[flight.gateway];
        let id = flight.attempt.server.id.clone();
        gateway.ended(self.now, &mut flight.plan, &flight.attempt, ending, Some(&id));
        if ending == Ending::Answered {
            return;
        }
        if flight.has_begun {
            self.requests[flight.request].outcome.get_or_insert(Outcome::BrokenOff);
        } else {
            self.go_on(flight.gateway, flight.request, flight.plan);
        }
    }

    fn gossip(&mut self) {
        let is_full = (self.ticks / GOSSIP_TICKS).is_multiple_of(FULL_DIGEST);
        let at = self.now + GOSSIP_DELAY;
        for from in 0..self.gateways.len() {
            let digest = if is_full {
                self.gateways[from].full_digest(self.now, Detail::All)
            } else {
                self.gateways[from].digest(Detail::All)
            };
            let Some(digest) = digest else { continue };
            for to in (0..self.gateways.len()).filter(|to| *to != from) {
                if self.rng.random::<f64>() >= self.loss {
                    self.digests.push((at, to, digest.clone()));
                }
            }
        }
    }
}

fn configuration() -> Configuration {
    let route = Route {
        name: "ask".to_owned(),
        host: "svc.example".to_owned(),
        prefix: "/ask/".to_owned(),
        repeat: Repeat::ResumableStream,
        timeout: Duration::from_secs(5),
        latency_target: Duration::from_millis(400),
        gap_target: None,
        attempts: 3,
        priority: 1,
        split: vec![("llm".into(), 1)],
        public: true,
    };
    let engine = Role::Engine(EngineSpec {
        slots: 128,
        memory_tokens: 123_000,
        token_bytes: 35_136,
        link_bytes: 1e11,
        models: vec![MODEL.into()],
    });
    let service = Service {
        name: "llm".into(),
        connections: None,
        cold_time: Duration::from_secs(3),
        cold_rate: None,
        role: engine,
    };
    Configuration::new(1, [route], [service], None, Limits::default())
}
