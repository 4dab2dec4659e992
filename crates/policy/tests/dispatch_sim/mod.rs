//! Simulation of dispatchers and engines, under simulated time, for measurements.
//!
//! An engine runs as many requests at once as it has slots, computes prompts one after another, and
//! queues further requests by priority. Its load reports arrive late.

#![allow(dead_code, reason = "each user uses only some items")]

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use acacia_catalog::Set;
use acacia_catalog::id::OrganisationId;
use acacia_catalog::object::{
    AdminState, Model, Organisation, Profile, Role, Upstream, Version, Zone,
};
use acacia_catalog::tokenizer::Tokenizer;
use acacia_policy::Time;
use acacia_policy::control::{TICK, Ticket};
use acacia_policy::dispatch::{
    Action, Attempt, AttemptId, Dispatcher, Ending, Event, Mutation, Strategy,
};
use acacia_policy::request::{BlockKey, Class, Prompt, Request, Work};
use acacia_policy::snapshot::{Load, Snapshot, Standing, Warmth};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha12Rng;

/// Parameters of a simulation.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Seed of arrivals and choices.
    pub seed: u64,
    /// Number of daemons.
    pub daemons: usize,
    /// Number of engines.
    pub engines: usize,
    /// Slots of each engine.
    pub slots: u32,
    /// Prefill rate of an engine in prompt tokens per second.
    pub prefill: f64,
    /// Time of one output token.
    pub decode: Duration,
    /// Time from a load sample to its arrival.
    pub lag: Duration,
    /// Time between load samples.
    pub every: Duration,
    /// Simulated time.
    pub length: Duration,
    /// How requests are distributed.
    pub strategy: Strategy,
    /// Whether the damping of herds is enabled.
    pub damped: bool,
    /// From when to when engines break attempts before the first token, and with what probability.
    pub breaks: Option<(Time, Time, f64)>,
    /// A mutation of the dispatchers.
    pub mutation: Option<Mutation>,
    /// Requests of each organisation.
    pub streams: Vec<Stream>,
}

/// The requests of one organisation.
#[derive(Clone, Debug)]
pub struct Stream {
    /// The organisation.
    pub organisation: String,
    /// Requests per second.
    pub rate: f64,
    /// Prompt tokens.
    pub tokens: usize,
    /// Output tokens.
    pub answer: u32,
    /// Class of the requests.
    pub class: Class,
}

/// Outcomes of one organisation's requests.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Seconds to the first token of each answered request.
    pub first_tokens: Vec<f64>,
    /// Number of refused requests.
    pub refused: usize,
}

impl Outcome {
    /// Quantile of the seconds to the first token; NaN without answers.
    pub fn quantile(&mut self, q: f64) -> f64 {
        self.first_tokens.sort_by(f64::total_cmp);
        let index = (self.first_tokens.len() as f64 * q) as usize;
        self.first_tokens
            .get(index.min(self.first_tokens.len().saturating_sub(1)))
            .copied()
            .unwrap_or(f64::NAN)
    }
}

/// Result of a simulation.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    /// Outcomes by organisation and class.
    pub outcomes: BTreeMap<(OrganisationId, Class), Outcome>,
    /// Most requests waiting inside one engine.
    pub most_waiting: usize,
    /// Number of attempts.
    pub attempts: usize,
}

struct Engine {
    running: usize,
    waiting: Vec<(u32, u64, Job)>,
    computing_until: Time,
}

#[derive(Clone, Debug)]
struct Job {
    daemon: usize,
    attempt: AttemptId,
    tokens: usize,
    answer: u32,
}

enum Scheduled {
    Arrive(usize),
    FirstToken(usize, Job),
    Done(usize, Job),
    Report(usize, Load),
    Sample,
    Tick,
}

/// The simulation.
pub struct Simulation {
    settings: Settings,
    now: Time,
    rng: ChaCha12Rng,
    dispatchers: Vec<Dispatcher>,
    engines: Vec<Engine>,
    timeline: BinaryHeap<Reverse<(Time, u64)>>,
    events: HashMap<u64, Scheduled>,
    sequence: u64,
    arrivals: HashMap<Ticket, (Time, usize)>,
    started: HashMap<AttemptId, Ticket>,
    broken_attempts: HashSet<AttemptId>,
    result: Summary,
}

/// Runs a simulation to its end.
pub fn simulate(settings: &Settings) -> Summary {
    let mut simulation = Simulation::new(settings.clone());
    simulation.run();
    simulation.result
}

impl Simulation {
    fn new(settings: Settings) -> Self {
        let set = Arc::new(set(&settings));
        let dispatchers = (0..settings.daemons)
            .map(|d| {
                let mut dispatcher = Dispatcher::new(settings.seed + d as u64, settings.strategy);
                if let Some(mutation) = settings.mutation {
                    dispatcher.mutate(mutation);
                }
                if !settings.damped {
                    dispatcher.disable_herd_damping();
                }
                let event = Event::Snapshot(Arc::new(snapshot(&set, settings.daemons)));
                dispatcher.step(Time::ZERO, event);
                dispatcher
            })
            .collect();
        let engine = || Engine { running: 0, waiting: Vec::new(), computing_until: Time::ZERO };
        let engines = (0..settings.engines).map(|_| engine()).collect();
        let mut simulation = Self {
            now: Time::ZERO,
            rng: ChaCha12Rng::seed_from_u64(settings.seed),
            dispatchers,
            engines,
            timeline: BinaryHeap::new(),
            events: HashMap::new(),
            sequence: 0,
            arrivals: HashMap::new(),
            started: HashMap::new(),
            broken_attempts: HashSet::new(),
            result: Summary::default(),
            settings,
        };
        for stream in 0..simulation.settings.streams.len() {
            simulation.next_arrival(stream);
        }
        simulation.schedule(Duration::ZERO, Scheduled::Sample);
        simulation.schedule(TICK, Scheduled::Tick);
        simulation
    }

    fn run(&mut self) {
        while let Some(Reverse((at, id))) = self.timeline.pop() {
            self.now = at;
            if at > self.settings.length {
                break;
            }
            match self.events.remove(&id) {
                Some(Scheduled::Arrive(stream)) => self.arrive(stream),
                Some(Scheduled::FirstToken(engine, job)) => self.first_token(engine, &job),
                Some(Scheduled::Done(engine, job)) => self.done(engine, &job),
                Some(Scheduled::Report(engine, load)) => {
                    for d in 0..self.dispatchers.len() {
                        self.step(d, Event::Reported(name(engine).into(), load.clone()));
                    }
                }
                Some(Scheduled::Sample) => self.sample(),
                Some(Scheduled::Tick) => self.tick(),
                None => {}
            }
        }
    }

    fn schedule(&mut self, delay: Duration, event: Scheduled) {
        self.sequence += 1;
        self.events.insert(self.sequence, event);
        self.timeline.push(Reverse((self.now + delay, self.sequence)));
    }

    fn next_arrival(&mut self, stream: usize) {
        let rate = self.settings.streams[stream].rate;
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / rate;
        self.schedule(Duration::from_secs_f64(gap), Scheduled::Arrive(stream));
    }

    fn arrive(&mut self, index: usize) {
        self.next_arrival(index);
        let stream = &self.settings.streams[index];
        self.sequence += 1;
        let ticket = self.sequence;
        let request = Request {
            organisation: stream.organisation.as_str().into(),
            work: Work::Prompt(Prompt {
                model: "m".into(),
                version: "v".into(),
                adapter: None,
                tokens: vec![0; stream.tokens].into(),
                blocks: Arc::<[BlockKey]>::default(),
                max_tokens: stream.answer,
            }),
            class: stream.class,
            deadline: self.now + Duration::from_secs(10),
        };
        self.arrivals.insert(ticket, (self.now, index));
        let d = self.rng.random_range(0..self.dispatchers.len());
        self.step(d, Event::Arrived(ticket, request));
    }

    fn step(&mut self, d: usize, event: Event) {
        for action in self.dispatchers[d].step(self.now, event) {
            match action {
                Action::Start(ticket, attempt) => self.start(d, ticket, &attempt),
                Action::Refuse(ticket, _) => {
                    if let Some((_, stream)) = self.arrivals.remove(&ticket) {
                        self.outcome(stream).refused += 1;
                    }
                }
                _ => {}
            }
        }
    }

    fn outcome(&mut self, stream: usize) -> &mut Outcome {
        let stream = &self.settings.streams[stream];
        let key = (stream.organisation.as_str().into(), stream.class);
        self.result.outcomes.entry(key).or_default()
    }

    fn start(&mut self, daemon: usize, ticket: Ticket, attempt: &Attempt) {
        let engine: usize = attempt.upstream.trim_start_matches('e').parse().expect("engine name");
        let stream = &self.settings.streams[self.arrivals[&ticket].1];
        let job = Job { daemon, attempt: attempt.id, tokens: stream.tokens, answer: stream.answer };
        self.started.insert(attempt.id, ticket);
        self.result.attempts += 1;
        self.sequence += 1;
        let entry = (attempt.priority, self.sequence, job);
        self.engines[engine].waiting.push(entry);
        self.fill(engine);
        self.result.most_waiting = self.result.most_waiting.max(self.engines[engine].waiting.len());
    }

    /// Starts waiting requests in the free slots of an engine.
    fn fill(&mut self, at: usize) {
        let engine = &mut self.engines[at];
        if engine.running >= self.settings.slots as usize || engine.waiting.is_empty() {
            return;
        }
        engine.waiting.sort_by_key(|(priority, order, _)| (*priority, *order));
        let (_, _, job) = engine.waiting.remove(0);
        engine.running += 1;
        let compute = Duration::from_secs_f64(job.tokens as f64 / self.settings.prefill);
        engine.computing_until = engine.computing_until.max(self.now) + compute;
        let first = engine.computing_until - self.now;
        let done = first + self.settings.decode * job.answer;
        self.schedule(first, Scheduled::FirstToken(at, job.clone()));
        self.schedule(done, Scheduled::Done(at, job));
        self.fill(at);
    }

    /// Whether an engine breaks an attempt now.
    fn breaks(&mut self) -> bool {
        let Some((from, to, chance)) = self.settings.breaks else { return false };
        (from..to).contains(&self.now) && self.rng.random_bool(chance)
    }

    fn first_token(&mut self, engine: usize, job: &Job) {
        if self.breaks() {
            self.broken_attempts.insert(job.attempt);
            self.engines[engine].running -= 1;
            self.fill(engine);
            let ending = Ending::Broken { tokens: 0 };
            return self.step(job.daemon, Event::Ended { attempt: job.attempt, ending });
        }
        let ticket = self.started[&job.attempt];
        if let Some((asked, stream)) = self.arrivals.remove(&ticket) {
            let waited = (self.now - asked).as_secs_f64();
            self.outcome(stream).first_tokens.push(waited);
        }
        self.step(job.daemon, Event::Progress { attempt: job.attempt, tokens: 1 });
    }

    fn done(&mut self, engine: usize, job: &Job) {
        if self.broken_attempts.remove(&job.attempt) {
            return;
        }
        self.engines[engine].running -= 1;
        self.fill(engine);
        let first_byte = Duration::from_millis(1);
        let ending = Ending::Complete { cached_tokens: 0, first_byte, answer: None };
        self.step(job.daemon, Event::Ended { attempt: job.attempt, ending });
    }

    fn sample(&mut self) {
        for at in 0..self.engines.len() {
            let engine = &self.engines[at];
            let load = Load {
                sampled_at: self.now,
                incarnation: 1,
                running: engine.running as u32,
                waiting: engine.waiting.len() as u32,
                slots: self.settings.slots,
                cold: false,
                version: Some("v".into()),
                adapters: Vec::new(),
            };
            self.schedule(self.settings.lag, Scheduled::Report(at, load));
        }
        self.schedule(self.settings.every, Scheduled::Sample);
    }

    fn tick(&mut self) {
        for d in 0..self.dispatchers.len() {
            self.step(d, Event::Tick);
        }
        self.schedule(TICK, Scheduled::Tick);
    }
}

fn name(engine: usize) -> String {
    format!("e{engine}")
}

fn snapshot(set: &Arc<Set>, daemons: usize) -> Snapshot {
    let standing = Standing { warmth: Warmth::Warm, incarnation: 1, load: None };
    let upstreams = set.upstreams.keys().map(|name| (name.clone(), standing.clone())).collect();
    let daemons = (0..daemons).map(|d| (format!("d{d}").into(), "z".into())).collect();
    let set = Arc::clone(set);
    Snapshot { revision: 1, set, upstreams, daemons, ready: true, ..Snapshot::default() }
}

fn set(settings: &Settings) -> Set {
    let mut set = Set::default();
    let zone = Zone { name: "z".into(), region: "r".into(), state: AdminState::In };
    set.zones.insert("z".into(), zone);
    let version = Version { name: "v".into(), model: "m".into(), bytes_per_token: 1 };
    set.versions.insert("v".into(), version);
    let model = Model {
        name: "m".into(),
        serving: "v".into(),
        tokenizer: Tokenizer::QuadByte,
        context_tokens: 100_000,
    };
    set.models.insert("m".into(), model);
    let profile = Profile {
        name: "p".into(),
        short_tokens: 1_000,
        short_deadline_ms: 10_000,
        long_deadline_ms: 10_000,
        recompute_weight_ms: 0,
        link_weight_ms: 0,
        copies: 1,
    };
    set.profiles.insert("p".into(), profile);
    for stream in &settings.streams {
        let organisation = organisation(&stream.organisation);
        set.organisations.insert(organisation.name.clone(), organisation);
    }
    for engine in 0..settings.engines {
        let upstream = upstream(&name(engine), settings.slots);
        set.upstreams.insert(upstream.name.clone(), upstream);
    }
    set
}

fn organisation(name: &str) -> Organisation {
    Organisation {
        name: name.into(),
        key_hashes: Vec::new(),
        cache_secret: name.to_owned(),
        weight: 1,
        models: vec!["m".into()],
        services: Vec::new(),
        profile: "p".into(),
    }
}

fn upstream(name: &str, slots: u32) -> Upstream {
    Upstream {
        name: name.into(),
        zone: "z".into(),
        address: ([127, 0, 0, 1], 1).into(),
        role: Role::Engine { model: "m".into(), adapters: Vec::new() },
        slots,
        cold_limit: 1,
        checks_fence: true,
        state: AdminState::In,
    }
}

/// Nine daemons and nine engines, as in both current deployments, without requests.
pub fn nine_daemons(seed: u64) -> Settings {
    Settings {
        seed,
        daemons: 9,
        engines: 9,
        slots: 8,
        prefill: 8_000.0,
        decode: Duration::from_millis(20),
        lag: Duration::from_millis(500),
        every: Duration::from_millis(500),
        length: Duration::from_secs(60),
        strategy: Strategy::TimeToFirstToken,
        damped: true,
        breaks: None,
        mutation: None,
        streams: Vec::new(),
    }
}

/// Nine organisations that use their share, and a tenth that uses 20 times that if `flooded`.
pub fn fair(seed: u64, flooded: bool) -> Settings {
    let stream = |organisation: String, rate: f64| Stream {
        organisation,
        rate,
        tokens: 500,
        answer: 20,
        class: Class::Short,
    };
    let share = 6.0;
    let mut streams: Vec<Stream> = (0..9).map(|i| stream(format!("other-{i}"), share)).collect();
    if flooded {
        streams.push(stream("flood".into(), 20.0 * share));
    }
    Settings { streams, ..nine_daemons(seed) }
}

/// Outcome of all organisations except the flooding one.
pub fn others(settings: &Settings) -> Outcome {
    let mut all = Outcome::default();
    for ((organisation, _), outcome) in simulate(settings).outcomes {
        if &*organisation != "flood" {
            all.first_tokens.extend(outcome.first_tokens);
            all.refused += outcome.refused;
        }
    }
    all
}

/// One engine, with many more short requests than it can serve and a few long ones.
pub fn overloaded(mutation: Option<Mutation>) -> Settings {
    let stream = |rate: f64, tokens: usize, class: Class| Stream {
        organisation: "one".to_owned(),
        rate,
        tokens,
        answer: 5,
        class,
    };
    let streams = vec![stream(100.0, 500, Class::Short), stream(0.5, 2_000, Class::Long)];
    Settings { daemons: 1, engines: 1, slots: 4, mutation, streams, ..nine_daemons(1) }
}
