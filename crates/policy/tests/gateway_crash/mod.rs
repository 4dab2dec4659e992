//! Simulation of several gateways that share engines and plain servers, under virtual time. Some
//! parts of prompts crash each engine that begins to answer on them, and some requests each server
//! that runs them; a crashed server is back after some seconds under a new id. Gateways exchange
//! digests with a delay and losses.

#![allow(dead_code)]

pub mod brittle;
pub mod load;
pub mod path;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use acacia_policy::gateway::configuration::{EngineSpec, Limits, Repeat, Role, Route, Service};
use acacia_policy::gateway::gossip::Digest;
use acacia_policy::gateway::limit::{SPAN, Statement};
use acacia_policy::gateway::mesh::{Detail, Peer};
use acacia_policy::gateway::{
    Attempt, Call, Configuration, Ending, Gateway, Notice, Plan, Reason, Server, ServerId, Step,
    View,
};
use acacia_policy::{Time, Verdict};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha12Rng;

use super::gateway_simulation::{MODEL, terms, view};
use brittle::Brittleness;
use path::Paths;

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
/// Time that a plain server runs a request, and the random addition to it.
const RUN: (Duration, Duration) = (Duration::from_millis(40), Duration::from_millis(60));
/// Time from the start of a run to the crash of a plain server.
const CRASH_AFTER: Duration = Duration::from_millis(55);
/// Requests that a plain server runs at a time.
const SLOTS: usize = 6;
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
    /// What its caller's repeats of it have in common.
    pub name: String,
    /// Shared parts of its prompt, without the first.
    pub parts: Vec<String>,
    /// Time from the start of the simulation at which it reached each server.
    pub sends: Vec<Duration>,
    pub outcome: Option<Outcome>,
    call: Call,
}

struct Flight {
    request: usize,
    gateway: usize,
    plan: Plan,
    attempt: Attempt,
    begins: Time,
    ends: Time,
    has_begun: bool,
    /// Whether the server has no room for it.
    is_refused: bool,
}

impl Flight {
    /// Whether its connection was made for it.
    fn has_new_connection(&self) -> bool {
        self.request.is_multiple_of(2)
    }
}

/// Gateways, servers, and callers.
pub struct Site {
    pub gateways: Vec<Gateway>,
    /// The parts that crash engines.
    pub poison: BTreeSet<String>,
    /// Names of the requests that crash servers.
    pub culprit: BTreeSet<String>,
    /// Share of digests that are lost.
    pub loss: f64,
    /// Share of attempts that a healthy engine resets before they begin.
    pub reset_share: f64,
    /// Time after which a crashed engine is back.
    pub restart: Duration,
    /// Rate limits that servers state in their answers, in requests per second.
    pub limits: BTreeMap<ServerId, f64>,
    /// Requests that a server takes at a time.
    pub room: usize,
    /// What servers state about refusals in their answers, and how they bear them.
    pub brittleness: Option<Brittleness>,
    /// When servers refused requests for want of room, since the start.
    pub refusals: Vec<(Duration, ServerId)>,
    /// When servers fell over, since the start.
    pub falls: Vec<(Duration, ServerId)>,
    /// When requests arrived at servers, since the start.
    pub arrivals: Vec<(Duration, ServerId)>,
    /// All requests.
    pub requests: Vec<Request>,
    /// Most requests at a time that were passed on to one gateway.
    pub most_passed: usize,
    /// When servers crashed, since the start.
    pub crashes: Vec<Duration>,
    /// When they crashed under a culprit.
    pub culprit_crashes: Vec<Duration>,
    pub paths: Paths,
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
    /// Gateways and engines.
    pub fn new(seed: u64, gateways: usize, engines: u32) -> Self {
        Self::with(seed, gateways, "llm", engines)
    }

    /// Gateways and plain servers.
    pub fn plain(seed: u64, gateways: usize, servers: u32) -> Self {
        Self { restart: Duration::from_millis(2_500), ..Self::with(seed, gateways, "app", servers) }
    }

    fn with(seed: u64, gateways: usize, service: &str, servers: u32) -> Self {
        let mut rng = ChaCha12Rng::seed_from_u64(seed);
        let mut site = Self {
            gateways: Vec::new(),
            poison: BTreeSet::new(),
            culprit: BTreeSet::new(),
            loss: 0.02,
            reset_share: 0.0,
            restart: Duration::from_secs(3),
            limits: BTreeMap::new(),
            room: usize::MAX,
            brittleness: None,
            refusals: Vec::new(),
            falls: Vec::new(),
            arrivals: Vec::new(),
            requests: Vec::new(),
            most_passed: 0,
            crashes: Vec::new(),
            culprit_crashes: Vec::new(),
            paths: Paths::default(),
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
        for number in 0..servers {
            let server = site.server(service, &format!("z{}", number % 3));
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
        gateway.observe(self.now, Arc::new(self.view_of(self.gateways.len())));
        self.gateways.push(gateway);
    }

    /// The view of one gateway, in which it has an address of its own.
    fn view_of(&self, gateway: usize) -> View {
        let others = (0..self.view.instances as usize).filter(|other| *other != gateway);
        let peers = others.map(|other| Peer { address: self.address(other), zone: "z1".into() });
        let own_address = Some(self.address(gateway));
        View { own_address, peers: peers.collect(), ..self.view.clone() }
    }

    /// Time since the start.
    pub fn elapsed(&self) -> Duration {
        self.now - START
    }

    /// The current time.
    pub fn now(&self) -> Time {
        self.now
    }

    /// Ids of the listed servers.
    pub fn servers(&self) -> Vec<ServerId> {
        self.view.servers.keys().cloned().collect()
    }

    /// Servers of an availability zone.
    pub fn servers_of(&self, zone: &str) -> Vec<ServerId> {
        let servers = self.view.servers.values().filter(|server| &*server.zone == zone);
        servers.map(|server| server.id.clone()).collect()
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
        self.culprit.contains(&request.name)
            || request.parts.iter().any(|part| self.poison.contains(part))
    }

    /// Number of times that culprits reached engines later than `after` after the fifth crash.
    pub fn late_culprit_sends(&self, after: Duration) -> usize {
        let Some(fifth) = self.crashes.get(4) else { return 0 };
        let sends = self.culprits().flat_map(|request| &request.sends);
        sends.filter(|at| **at > *fifth + after).count()
    }

    /// Number of times that culprits reached servers later than `after` after the third crash under
    /// them.
    pub fn late_sends(&self, after: Duration) -> usize {
        let Some(third) = self.culprit_crashes.get(2) else { return 0 };
        let sends = self.culprits().flat_map(|request| &request.sends);
        sends.filter(|at| **at > *third + after).count()
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

    /// Sound requests that were refused for a suspect.
    pub fn sound_held(&self) -> usize {
        self.sound_held_since(Duration::ZERO)
    }

    /// Sound requests that arrived from `since` on and were refused for a suspect.
    pub fn sound_held_since(&self, since: Duration) -> usize {
        let is_held = |request: &&Request| {
            matches!(request.outcome, Some(Outcome::Refused(reason, _))
                if <&'static str>::from(reason).ends_with("_held"))
        };
        self.sound().filter(|request| request.arrived >= since).filter(is_held).count()
    }

    /// Crashes a server: everything on it ends, and it is back later under a new id.
    pub fn crash(&mut self, id: &ServerId) {
        let Some(server) = self.view.servers.get(id).cloned() else { return };
        self.crashes.push(self.elapsed());
        self.unlisting.push((self.now + UNLISTED_AFTER, id.clone()));
        let next = self.server(&server.service, &server.zone);
        self.starting.push((self.now + self.restart, next));
        for flight in self
            .flights
            .extract_if(.., |flight| flight.attempt.server.id == *id)
            .collect::<Vec<_>>()
        {
            self.end(flight, Ending::Broken);
        }
    }

    fn server(&mut self, service: &str, zone: &str) -> Server {
        let number = self.servers_started;
        self.servers_started += 1;
        let port = u16::try_from(number + 1).expect("few servers are started");
        let is_engine = service == "llm";
        Server {
            id: format!("{}{number}", if is_engine { "e" } else { "s" }).into(),
            service: service.into(),
            address: ([127, 0, 0, 1], port).into(),
            zone: zone.into(),
            slots: if is_engine { 128 } else { SLOTS as u32 },
            leaving: false,
            cold_left: Duration::ZERO,
            models: if is_engine { vec![(MODEL.into(), 1)] } else { Vec::new() },
            born: Some(u64::from(number)),
            software: "v1".into(),
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
        self.probe_paths();
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
        let views: Vec<View> = (0..self.gateways.len()).map(|at| self.view_of(at)).collect();
        for (gateway, view) in self.gateways.iter_mut().zip(views) {
            gateway.observe(now, Arc::new(view));
        }
    }

    fn go_on(&mut self, gateway: usize, request: usize, mut plan: Plan) {
        match self.gateways[gateway].next(self.now, &mut plan) {
            Step::Send(attempt) => self.send(gateway, request, plan, *attempt),
            Step::Wait(at) => {
                assert!(at > self.now, "a wait ends later");
                self.waiting.push((at, gateway, request, plan));
            }
            Step::Forward(peer) => self.pass_on(gateway, request, plan, peer),
            Step::Refuse(refusal) => {
                let outcome = Outcome::Refused(refusal.reason, refusal.verdict);
                self.conclude(gateway, request, outcome);
            }
        }
    }

    fn send(&mut self, gateway: usize, request: usize, mut plan: Plan, attempt: Attempt) {
        let server = attempt.server.id.clone();
        if !self.is_up(&server) || self.is_cut(gateway) {
            // The connections of a gateway that is cut off are accepted and reset.
            let is_reset = self.is_cut(gateway);
            let ending = if is_reset { Ending::Broken } else { Ending::Unreachable };
            let own = &mut self.gateways[gateway];
            own.path_ended(self.now, &plan, &attempt, ending, false, true);
            own.ended(self.now, &mut plan, &attempt, ending, None);
            return self.go_on(gateway, request, plan);
        }
        let elapsed = self.elapsed();
        self.requests[request].sends.push(elapsed);
        self.arrivals.push((elapsed, server.clone()));
        if !self.has_room(&server) {
            return self.turn_away(Flight {
                request,
                gateway,
                plan,
                attempt,
                begins: self.now,
                ends: self.now + TICK,
                has_begun: false,
                is_refused: true,
            });
        }
        let running = self.running(&server);
        let (begins, ends) = if attempt.engine.is_some() {
            let begins = self.now + FIRST_EVENT.0 + FIRST_EVENT.1 * running.count() as u32;
            (begins, begins + ANSWER)
        } else {
            let mut busy: Vec<Time> = running.map(|flight| flight.ends).collect();
            busy.sort_unstable();
            let begins = busy.iter().rev().nth(SLOTS - 1).copied().unwrap_or(self.now);
            (begins, begins + RUN.0 + RUN.1.mul_f64(self.rng.random()))
        };
        let (has_begun, is_refused) = (false, false);
        self.flights.push(Flight {
            request,
            gateway,
            plan,
            attempt,
            begins,
            ends,
            has_begun,
            is_refused,
        });
    }

    fn advance_flights(&mut self) {
        let now = self.now;
        let mut at = 0;
        while at < self.flights.len() {
            let flight = &self.flights[at];
            let is_engine = flight.attempt.engine.is_some();
            let is_culprit = self.is_culprit(&self.requests[flight.request]);
            let crashes_at = flight.begins + if is_engine { Duration::ZERO } else { CRASH_AFTER };
            if flight.is_refused {
                if now < flight.ends {
                    at += 1;
                    continue;
                }
                let flight = self.flights.swap_remove(at);
                self.state_limit(flight.gateway, &flight.attempt);
                self.end(flight, Ending::Refused);
            } else if is_culprit && now >= crashes_at && !flight.has_begun {
                let server = flight.attempt.server.id.clone();
                self.culprit_crashes.push(self.elapsed());
                self.crash(&server);
                at = 0;
            } else if is_culprit && !is_engine {
                at += 1;
            } else if now >= flight.ends {
                let flight = self.flights.swap_remove(at);
                self.complete(flight);
            } else if is_engine && !flight.has_begun && now >= flight.begins {
                if self.rng.random::<f64>() < self.reset_share {
                    let flight = self.flights.swap_remove(at);
                    self.end(flight, Ending::Broken);
                } else {
                    let flight = &mut self.flights[at];
                    flight.has_begun = true;
                    let own = &mut self.gateways[flight.gateway];
                    own.path_heard(now, &flight.plan, &flight.attempt, flight.has_new_connection());
                    own.began(now, &flight.plan, &mut flight.attempt);
                    let (gateway, attempt) = (flight.gateway, flight.attempt.clone());
                    self.state_limit(gateway, &attempt);
                    at += 1;
                }
            } else {
                at += 1;
            }
        }
    }

    /// Ends a flight with its whole answer, unless its plain server resets it.
    fn complete(&mut self, mut flight: Flight) {
        if flight.attempt.engine.is_none() {
            if self.rng.random::<f64>() < self.reset_share {
                return self.end(flight, Ending::Broken);
            }
            let gateway = &mut self.gateways[flight.gateway];
            let is_new = flight.has_new_connection();
            gateway.path_heard(self.now, &flight.plan, &flight.attempt, is_new);
            gateway.began(self.now, &flight.plan, &mut flight.attempt);
            self.state_limit(flight.gateway, &flight.attempt);
        }
        self.conclude(flight.gateway, flight.request, Outcome::Served);
        self.end(flight, Ending::Answered);
    }

    /// Passes on what an answer states about its server's limits.
    fn state_limit(&mut self, gateway: usize, attempt: &Attempt) {
        let rate = self.limits.get(&attempt.server.id).copied();
        let limit = rate.map_or(Statement::Unlimited, Statement::Limited);
        let notice = Notice { limit, tolerance: self.tolerance(), ..Notice::default() };
        self.gateways[gateway].heard(self.now, attempt.sent, &attempt.server, notice);
    }

    /// Most requests that a server got in any [`SPAN`] between two times.
    pub fn peak(&self, server: &ServerId, from: Duration, to: Duration) -> usize {
        let arrivals =
            self.arrivals.iter().filter(|(at, id)| id == server && (from..to).contains(at));
        let times: Vec<Duration> = arrivals.map(|(at, _)| *at).collect();
        let within = |start: &Duration| {
            times.iter().filter(|at| (*start..*start + SPAN).contains(at)).count()
        };
        times.iter().map(within).max().unwrap_or(0)
    }

    fn end(&mut self, mut flight: Flight, ending: Ending) {
        let gateway = &mut self.gateways[flight.gateway];
        let id = flight.attempt.server.id.clone();
        let (has_answer, is_new) =
            (flight.has_begun || ending == Ending::Answered, flight.has_new_connection());
        gateway.path_ended(self.now, &flight.plan, &flight.attempt, ending, has_answer, is_new);
        gateway.ended(self.now, &mut flight.plan, &flight.attempt, ending, Some(&id));
        if ending == Ending::Answered {
            return;
        }
        if flight.has_begun {
            self.conclude(flight.gateway, flight.request, Outcome::BrokenOff);
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
                self.gateways[from].digest(self.now, Detail::All)
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
    let route = |name: &str, repeat, service: &str, attempts| Route {
        name: name.to_owned(),
        host: "svc.example".to_owned(),
        prefix: format!("/{name}/"),
        repeat,
        timeout: Duration::from_secs(5),
        latency_target: Duration::from_millis(400),
        gap_target: None,
        attempts,
        priority: 1,
        split: vec![(service.into(), 1)],
        public: true,
    };
    let engine = Role::Engine(EngineSpec {
        slots: 128,
        memory_tokens: 123_000,
        token_bytes: 35_136,
        link_bytes: 1e11,
        models: vec![MODEL.into()],
    });
    let service = |name: &str, role| Service {
        name: name.into(),
        connections: None,
        cold_time: Duration::from_secs(3),
        cold_rate: None,
        role,
    };
    let routes = [
        route("ask", Repeat::ResumableStream, "llm", 3),
        route("read", Repeat::Idempotent, "app", 2),
        route("once", Repeat::Once, "app", 2),
    ];
    let services = [service("llm", engine), service("app", Role::Plain)];
    Configuration::new(1, routes, services, None, Limits::default())
}
