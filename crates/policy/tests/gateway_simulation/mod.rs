//! Simulation of one gateway with a small configuration, under virtual time.

#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use acacia_policy::Time;
use acacia_policy::gateway::call::content_hash;
use acacia_policy::gateway::canary;
use acacia_policy::gateway::configuration::{
    EngineSpec, Limits, Organisation, Repeat, Role, Route, Service,
};
use acacia_policy::gateway::forward::Passage;
use acacia_policy::gateway::gossip::Digest;
use acacia_policy::gateway::mesh::Detail;
use acacia_policy::gateway::window::{ColdTerms, RetryTerms};
use acacia_policy::gateway::{
    Attempt, Call, Configuration, Ending, Gateway, Notice, Part, Placement, Plan, Prompt, Refusal,
    Server, Step, Terms, View, WeightVersion,
};
use acacia_policy::kv::Revision;

/// The model that all engines serve.
pub const MODEL: &str = "m";

/// A gateway under virtual time.
pub struct Simulation {
    gateway: Gateway,
    view: View,
    now: Time,
    calls: u64,
}

impl Simulation {
    /// A simulation with `count` plain servers and `count` engines, in two zones.
    pub fn new(count: usize) -> Self {
        Self::with_seed(count, 1)
    }

    /// The same with another seed, as another instance has it.
    pub fn with_seed(count: usize, seed: u64) -> Self {
        let mut simulation = Self {
            gateway: Gateway::new(terms(1_000.0), seed),
            view: view(count),
            now: Duration::from_secs(3_600),
            calls: 0,
        };
        simulation.change(|_, _| {});
        // The retry budget grows over the first window.
        simulation.pass(Duration::from_secs(20));
        simulation
    }

    pub fn now(&self) -> Time {
        self.now
    }

    pub fn gateway(&self) -> &Gateway {
        &self.gateway
    }

    pub fn view(&self) -> &View {
        &self.view
    }

    /// Advances the time.
    pub fn pass(&mut self, time: Duration) {
        self.now += time;
    }

    /// Changes the view and passes it to the gateway.
    pub fn change(&mut self, change: impl FnOnce(&mut View, Time)) {
        change(&mut self.view, self.now);
        self.gateway.observe(self.now, Arc::new(self.view.clone()));
    }

    /// Marks all servers as leaving whose id ends with `id`.
    pub fn leave(&mut self, id: &str) {
        self.change(|view, _| {
            for (_, server) in view.servers.iter_mut().filter(|(known, _)| known.ends_with(id)) {
                *server = Arc::new(Server { leaving: true, ..(**server).clone() });
            }
        });
    }

    /// Announces newer weights.
    pub fn announce_weights(&mut self, version: u64) {
        self.change(|view, now| {
            view.weights.entry(MODEL.into()).or_default().announce(version, now);
        });
    }

    /// Allows no more repeats.
    pub fn forbid_repeats(&mut self) {
        self.gateway.set_terms(terms(0.0));
    }

    pub fn admit(&mut self, path: &str, key: &str) -> Result<Plan, Refusal> {
        let prompt = path.starts_with("/ask/").then(|| prompt("shared", 800));
        self.admit_with(path, key, prompt)
    }

    /// Admits a prompt with a shared part of `tokens` tokens.
    pub fn admit_prompt(&mut self, shared: &str, tokens: u32) -> Plan {
        self.admit_with("/ask/", "key", Some(prompt(shared, tokens))).expect("a valid request")
    }

    fn admit_with(
        &mut self,
        path: &str,
        key: &str,
        prompt: Option<Prompt>,
    ) -> Result<Plan, Refusal> {
        self.calls += 1;
        let call = Call {
            id: format!("call-{}", self.calls),
            host: "svc.example".to_owned(),
            path: path.to_owned(),
            key: Some(key.to_owned()),
            timeout: Some(Duration::from_secs(5)),
            prompt,
            content: content_hash("POST", path, b""),
            resumption: None,
        };
        self.gateway.admit(self.now, call)
    }

    pub fn next(&mut self, plan: &mut Plan) -> Step {
        self.gateway.next(self.now, plan)
    }

    /// The attempt of the next step, after waiting if necessary.
    ///
    /// # Panics
    /// If the request is refused.
    pub fn send(&mut self, plan: &mut Plan) -> Attempt {
        loop {
            match self.next(plan) {
                Step::Send(attempt) => return *attempt,
                Step::Wait(at) => self.now = at,
                Step::Forward(_) => unreachable!("no path is probed"),
                Step::Refuse(refusal) => panic!("{refusal:?}"),
            }
        }
    }

    /// Records that an attempt's first event was received now.
    pub fn begin(&mut self, plan: &Plan, attempt: &mut Attempt) {
        self.gateway.began(self.now, plan, attempt);
    }

    pub fn end(&mut self, plan: &mut Plan, attempt: &Attempt, ending: Ending) {
        let instance = Some(&*attempt.server.id);
        self.gateway.ended(self.now, plan, attempt, ending, instance);
    }

    /// Ends an attempt at an engine that states other weights than those asked for.
    pub fn misdirect(&mut self, plan: &mut Plan, attempt: &Attempt, stated: WeightVersion) {
        self.gateway.weights_stated(attempt, stated);
        self.end(plan, attempt, Ending::Misdirected);
    }

    /// Records an attempt that failed without a byte of an answer, on a new connection.
    pub fn fail(&mut self, plan: &mut Plan, attempt: &Attempt, ending: Ending) {
        self.gateway.path_ended(self.now, plan, attempt, ending, false, true);
        self.gateway.ended(self.now, plan, attempt, ending, None);
    }

    /// Makes the probes that are due.
    pub fn probe(&mut self, is_open: bool) {
        for probe in self.gateway.probes(self.now) {
            self.gateway.probed(self.now, &probe.service, is_open);
        }
    }

    /// Admits a request that another instance passed on.
    pub fn admit_forwarded(&mut self, path: &str, service: &str) -> Plan {
        let call = Call {
            id: "forwarded".to_owned(),
            host: "svc.example".to_owned(),
            path: path.to_owned(),
            key: Some("key".to_owned()),
            timeout: Some(Duration::from_secs(5)),
            prompt: None,
            content: content_hash("POST", path, b""),
            resumption: None,
        };
        self.gateway.admit_for(self.now, call, Some(service)).expect("a valid request")
    }

    /// Records how the passing on of a request ended.
    pub fn forwarded(&mut self, plan: &mut Plan, peer: SocketAddr, passage: Passage) {
        self.gateway.forwarded(self.now, plan, peer, passage);
    }

    /// Passes on what a server states about itself in an answer.
    pub fn hear(&mut self, server: &str, notice: Notice) {
        let server = self.view.servers[server].clone();
        self.gateway.heard(self.now, self.now, &server, notice);
    }

    /// Passes on another instance's digest.
    pub fn receive(&mut self, digest: Digest) {
        self.gateway.receive(self.now, digest);
    }

    pub fn digest(&mut self, detail: Detail) -> Option<Digest> {
        self.gateway.digest(self.now, detail)
    }

    /// A digest of the full state.
    pub fn full_digest(&mut self, detail: Detail) -> Option<Digest> {
        self.gateway.full_digest(self.now, detail)
    }

    pub fn hedge(&mut self, plan: &mut Plan, attempt: &Attempt) -> Option<Attempt> {
        self.gateway.hedge(self.now, plan, attempt)
    }
}

fn prompt(shared: &str, tokens: u32) -> Prompt {
    Prompt {
        model: MODEL.into(),
        input_tokens: tokens + 200,
        output_tokens: 10,
        parts: vec![part(shared, tokens), part("own", 200)],
    }
}

pub fn part(id: &str, tokens: u32) -> Part {
    Part { id: id.to_owned(), tokens }
}

/// Terms with a retry budget of `slack` repeats per window.
pub fn terms(slack: f64) -> Terms {
    Terms {
        zone: "z1".into(),
        retries: RetryTerms { ratio: 0.0, slack, window: Duration::from_secs(10) },
        cold: ColdTerms { factor: 1.5, slack: 5.0 },
        weights_limit: Duration::from_secs(8),
        stale_after: Duration::from_millis(500),
        placement: Placement::default(),
        under_pressure: false,
        canary: canary::Terms::default(),
    }
}

/// A view of `count` plain servers `s0..` and engines `es0..`, in alternating zones.
pub fn view(count: usize) -> View {
    let servers = (0..count).flat_map(|number| {
        let zone = if number % 2 == 0 { "z0" } else { "z1" };
        [server(&format!("s{number}"), "app", zone, false), {
            server(&format!("es{number}"), "llm", zone, true)
        }]
    });
    View {
        configuration: Arc::new(configuration()),
        servers: servers.map(|server| (server.id.clone(), Arc::new(server))).collect(),
        expired: BTreeMap::new(),
        software: BTreeMap::new(),
        rollouts: BTreeMap::new(),
        evacuated: BTreeSet::new(),
        weights: BTreeMap::new(),
        loading: BTreeSet::new(),
        loaded: Vec::new(),
        instances: 3,
        own_address: None,
        told_from: Some(Time::ZERO),
        peers: Vec::new(),
        stores: Vec::new(),
        as_of: Time::ZERO,
        revision: Revision::default(),
        last_removal: Revision::default(),
        server_clock: None,
        unavailable_since: None,
    }
}

fn server(id: &str, service: &str, zone: &str, is_engine: bool) -> Server {
    Server {
        id: id.into(),
        service: service.into(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: zone.into(),
        slots: 8,
        leaving: false,
        cold_left: Duration::ZERO,
        models: if is_engine { vec![(MODEL.into(), 1)] } else { Vec::new() },
        born: None,
        software: "v1".into(),
    }
}

pub fn configuration() -> Configuration {
    let route = |name: &str, prefix: &str, repeat, service: &str| Route {
        name: name.to_owned(),
        host: "svc.example".to_owned(),
        prefix: prefix.to_owned(),
        repeat,
        timeout: Duration::from_secs(5),
        latency_target: Duration::from_millis(400),
        gap_target: None,
        attempts: 2,
        priority: 1,
        split: vec![(service.into(), 1)],
        public: false,
    };
    let service = |name: &str, role| Service {
        name: name.into(),
        connections: Some(1_000),
        cold_time: Duration::from_secs(3),
        cold_rate: Some(35.0),
        role,
    };
    let engine = Role::Engine(EngineSpec {
        slots: 8,
        memory_tokens: 50_000,
        token_bytes: 163_840,
        link_bytes: 35e9,
        models: vec![MODEL.into()],
    });
    let organisation = Organisation { name: "acme".to_owned(), priority: None, isolated: false };
    Configuration::new(
        1,
        [
            route("once", "/once/", Repeat::Once, "app"),
            route("deep", "/once/deep/", Repeat::Once, "app"),
            route("read", "/read/", Repeat::Idempotent, "app"),
            route("ask", "/ask/", Repeat::ResumableStream, "llm"),
        ],
        [service("app", Role::Plain), service("llm", engine)],
        Some(vec![(organisation, vec!["key".to_owned()])]),
        Limits::default(),
    )
}
