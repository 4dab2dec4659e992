//! Fuzz test of several instances with the same servers, under virtual time, random load and
//! faults.
//!
//! The oracle checks these invariants: a request that may run once runs at most once; a request
//! refused as not run has not run; attempts are bounded; all instances together keep to the limit
//! of cold servers and to the retry budget; no instance sends to a server that it knows to be
//! leaving, or into an evacuated zone; no instance sends to a server that told it in this
//! incarnation that it is leaving, or that asked it for a pause; the namespace of cached parts
//! matches the weights.
//!
//! `ACACIA_SEEDS` sets the number of scenarios.

mod gateway_simulation;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use acacia_policy::gateway::call::content_hash;
use acacia_policy::gateway::configuration::Repeat;
use acacia_policy::gateway::gossip::Digest;
use acacia_policy::gateway::mesh::{Detail, Peer};
use acacia_policy::gateway::{
    Attempt, Call, Ending, Gateway, Notice, Plan, Prompt, Server, ServerId, Step, View, Weights,
};
use acacia_policy::{Time, Verdict};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha12Rng;

use gateway_simulation::{MODEL, part, terms, view};

/// Default number of scenarios.
const SCENARIOS: u64 = 150;
/// Steps of a scenario.
const STEPS: usize = 3_000;
/// Numbers of instances, used in turn: with few, each has a share of a cold limit; with many, only
/// some do.
const INSTANCE_COUNTS: [usize; 2] = [5, 48];
/// Repeats allowed in a window, over all instances, in addition to the ratio.
const SLACK: f64 = 40.0;
/// Repeats allowed per request.
const RATIO: f64 = 0.2;
/// Window of the retry budget.
const WINDOW: Duration = Duration::from_secs(10);
/// Time for which a server stays cold.
const COLD_TIME: Duration = Duration::from_secs(3);

/// A fault of the test driver that the oracle must detect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Mutation {
    /// None.
    None,
    /// Reports an attempt that may have run as refused.
    ReportRefused,
    /// Tells each instance that there is no other.
    CountOneInstance,
    /// Hides from instances that servers are leaving.
    MissLeaving,
    /// Hides from instances what servers state in their answers.
    MissNotices,
}

struct Instance {
    gateway: Gateway,
    view: View,
    running: Vec<(Plan, Attempt)>,
    /// Incarnations that told this instance that they are leaving.
    left: BTreeSet<(String, Option<u64>)>,
    /// Until when servers want no request from this instance, by incarnation.
    paused: BTreeMap<(String, Option<u64>), Time>,
}

struct Scenario {
    rng: ChaCha12Rng,
    mutation: Mutation,
    now: Time,
    actual: View,
    count_index: usize,
    instances: Vec<Instance>,
    cold_sends: BTreeMap<String, VecDeque<Time>>,
    /// Cold servers, and since when all instances know that they are cold.
    cold: BTreeMap<String, Time>,
    first_sends: VecDeque<Time>,
    repeats: VecDeque<Time>,
    ran: BTreeMap<String, u32>,
    calls: u64,
    sends: u64,
}

impl Scenario {
    fn new(seed: u64, mutation: Mutation) -> Self {
        let mut rng = ChaCha12Rng::seed_from_u64(seed);
        let mut actual = view(4);
        let count = INSTANCE_COUNTS[seed as usize % INSTANCE_COUNTS.len()];
        actual.instances = if mutation == Mutation::CountOneInstance { 1 } else { count as u32 };
        let mut scenario = Self {
            now: Duration::from_secs(3_600),
            instances: Vec::new(),
            actual,
            count_index: seed as usize % INSTANCE_COUNTS.len(),
            cold_sends: BTreeMap::new(),
            cold: BTreeMap::new(),
            first_sends: VecDeque::new(),
            repeats: VecDeque::new(),
            ran: BTreeMap::new(),
            calls: 0,
            sends: 0,
            mutation,
            rng: ChaCha12Rng::seed_from_u64(rng.random()),
        };
        scenario.instances = (0..count).map(|at| scenario.instance(at)).collect();
        scenario
    }

    fn instance(&mut self, at: usize) -> Instance {
        let mut terms = terms(SLACK);
        terms.retries.ratio = RATIO;
        let mut gateway = Gateway::new(terms, self.rng.random());
        let view = self.view_of(at);
        gateway.observe(self.now, Arc::new(view.clone()));
        let (left, paused) = (BTreeSet::new(), BTreeMap::new());
        Instance { gateway, view, running: Vec::new(), left, paused }
    }

    fn run(mut self) -> Result<u64, String> {
        for _ in 0..STEPS {
            self.now += Duration::from_micros(self.rng.random_range(0..8_000));
            match self.rng.random_range(0..100) {
                0..60 => self.arrive()?,
                60..90 => self.end()?,
                90..95 => self.gossip(),
                95..97 => self.refresh_view(),
                _ => self.inject_change(),
            }
        }
        Ok(self.sends)
    }

    /// Sends a request through a random instance.
    fn arrive(&mut self) -> Result<(), String> {
        let at = self.rng.random_range(0..self.instances.len());
        self.calls += 1;
        let path = ["/once/", "/read/", "/ask/"][self.rng.random_range(0..3)];
        let subject = format!("subject-{}", self.rng.random_range(0..5));
        let prompt = (path == "/ask/").then(|| Prompt {
            model: MODEL.into(),
            input_tokens: 3_000,
            output_tokens: 10,
            parts: vec![part(&subject, 2_500), part("own", 500)],
        });
        let call = Call {
            id: format!("call-{}", self.calls),
            host: "svc.example".to_owned(),
            path: path.to_owned(),
            key: Some("key".to_owned()),
            timeout: Some(Duration::from_secs(2)),
            prompt,
            content: content_hash("POST", path, b""),
            resumption: None,
        };
        self.first_sends.push_back(self.now);
        let admitted = self.instances[at].gateway.admit(self.now, call);
        let plan = admitted.map_err(|refusal| format!("a valid request is denied: {refusal:?}"))?;
        self.go_on(at, plan)
    }

    fn go_on(&mut self, at: usize, mut plan: Plan) -> Result<(), String> {
        match self.instances[at].gateway.next(self.now, &mut plan) {
            Step::Send(attempt) => self.check_send(at, &plan, &attempt).map(|()| {
                self.instances[at].running.push((plan, *attempt));
            }),
            Step::Wait(_) => Ok(()),
            Step::Forward(_) => unreachable!("no path is probed"),
            Step::Refuse(refusal) => {
                let ran = self.ran.get(&plan.id).copied().unwrap_or(0);
                if refusal.verdict == Verdict::NotRun && ran > 0 {
                    return Err(format!("{} is refused as not run, but has run", plan.id));
                }
                Ok(())
            }
        }
    }

    fn check_send(&mut self, at: usize, plan: &Plan, attempt: &Attempt) -> Result<(), String> {
        self.sends += 1;
        let id = attempt.server.id.to_string();
        let known = &self.instances[at].view;
        let entry = known.servers.get(&*id).ok_or(format!("{id} is not listed"))?;
        let entry =
            if self.mutation == Mutation::MissLeaving { &self.actual.servers[&*id] } else { entry };
        if entry.leaving {
            return Err(format!("{id} is leaving and gets {}", plan.id));
        }
        if known.evacuated.contains(&entry.zone) {
            return Err(format!("{id} is in an evacuated zone and gets {}", plan.id));
        }
        let incarnation = (id.clone(), entry.born);
        if self.instances[at].left.contains(&incarnation) {
            return Err(format!("{id} said that it is leaving and gets {}", plan.id));
        }
        if self.instances[at].paused.get(&incarnation).is_some_and(|end| self.now < *end) {
            return Err(format!("{id} asked for a pause and gets {}", plan.id));
        }
        if let Some(run) = &attempt.engine {
            let salt = run.weights.to_string();
            if run.salt != salt {
                return Err(format!(
                    "{} runs on weights {} in namespace {}",
                    plan.id, run.weights, run.salt
                ));
            }
        }
        if plan.sends > 1 {
            self.repeats.push_back(self.now);
            self.check_budget()?;
        }
        self.check_cold(&id)
    }

    fn check_budget(&mut self) -> Result<(), String> {
        let start = self.now.saturating_sub(WINDOW);
        for events in [&mut self.first_sends, &mut self.repeats] {
            while events.front().is_some_and(|event| *event <= start) {
                events.pop_front();
            }
        }
        let allowed = RATIO * self.first_sends.len() as f64 + SLACK;
        if self.repeats.len() as f64 > allowed {
            return Err(format!("{} repeats, {allowed} allowed", self.repeats.len()));
        }
        Ok(())
    }

    fn check_cold(&mut self, id: &str) -> Result<(), String> {
        let sends = self.cold_sends.entry(id.to_owned()).or_default();
        sends.push_back(self.now);
        let Some(since) = self.cold.get(id) else { return Ok(()) };
        if self.now >= *since + COLD_TIME {
            return Ok(());
        }
        let start = self.now.saturating_sub(Duration::from_secs(1)).max(*since);
        while sends.front().is_some_and(|send| *send <= start) {
            sends.pop_front();
        }
        // The configured rate is 35 per second; the terms have a factor of 1.5 and a slack of 5.
        if sends.len() as f64 > 35.0 * 1.5 + 5.0 {
            return Err(format!("the cold {id} gets {} requests in a second", sends.len()));
        }
        Ok(())
    }

    /// Ends a random attempt with a random outcome.
    fn end(&mut self) -> Result<(), String> {
        let at = self.rng.random_range(0..self.instances.len());
        let count = self.instances[at].running.len();
        if count == 0 {
            return Ok(());
        }
        let chosen = self.rng.random_range(0..count);
        let (mut plan, attempt) = self.instances[at].running.swap_remove(chosen);
        let ending = match self.rng.random_range(0..20) {
            0 => Ending::Unreachable,
            1 => Ending::Refused,
            2 => Ending::Misdirected,
            3 => Ending::Silent,
            4 => Ending::Broken,
            5 => Ending::Failed,
            6 => Ending::Cancelled,
            _ => Ending::Answered,
        };
        if ending.verdict() != Verdict::NotRun {
            let runs = self.ran.entry(plan.id.clone()).or_default();
            *runs += 1;
            let limit = if plan.route.repeat == Repeat::Once { 1 } else { plan.route.attempts };
            if *runs > limit {
                return Err(format!("{} ran {runs} times, {limit} allowed", plan.id));
            }
        }
        let reported = match (self.mutation, ending) {
            (Mutation::ReportRefused, Ending::Broken | Ending::Silent) => Ending::Refused,
            (_, ending) => ending,
        };
        self.notify(at, &attempt, ending);
        let instance = Some(&*attempt.server.id);
        self.instances[at].gateway.ended(self.now, &mut plan, &attempt, reported, instance);
        match ending {
            Ending::Answered | Ending::Cancelled => Ok(()),
            _ => self.go_on(at, plan),
        }
    }

    /// Some answers state that their sender is leaving or wants a pause.
    fn notify(&mut self, at: usize, attempt: &Attempt, ending: Ending) {
        let has_answer = matches!(ending, Ending::Answered | Ending::Failed | Ending::Refused);
        if !has_answer || self.rng.random::<f64>() > 0.02 {
            return;
        }
        let id = attempt.server.id.to_string();
        let instance = &mut self.instances[at];
        let incarnation = (id.clone(), attempt.server.born);
        let notice = if ending == Ending::Refused {
            let pause = Duration::from_millis(self.rng.random_range(100..4_000));
            let end = instance.paused.entry(incarnation).or_default();
            *end = (*end).max(self.now + pause);
            Notice { pause: Some(pause), ..Notice::default() }
        } else {
            instance.left.insert(incarnation);
            Notice { is_leaving: true, ..Notice::default() }
        };
        if self.mutation != Mutation::MissNotices {
            instance.gateway.heard(self.now, attempt.sent, &attempt.server, notice);
        }
    }

    /// Delivers one instance's digest to some of the others.
    fn gossip(&mut self) {
        let at = self.rng.random_range(0..self.instances.len());
        let digest: Option<Digest> = self.instances[at].gateway.digest(self.now, Detail::All);
        let Some(digest) = digest else { return };
        for other in 0..self.instances.len() {
            if other != at && self.rng.random::<f64>() < 0.8 {
                self.instances[other].gateway.receive(self.now, digest.clone());
            }
        }
    }

    /// Gives a random instance the current view.
    fn refresh_view(&mut self) {
        let at = self.rng.random_range(0..self.instances.len());
        self.update_view(at);
    }

    fn update_view(&mut self, at: usize) {
        let mut view = self.view_of(at);
        if self.mutation == Mutation::MissLeaving {
            for server in view.servers.values_mut() {
                *server = Arc::new(Server { leaving: false, ..(**server).clone() });
            }
        }
        self.instances[at].view = view.clone();
        self.instances[at].gateway.observe(self.now, Arc::new(view));
    }

    /// The current view of one instance.
    fn view_of(&self, at: usize) -> View {
        let count = INSTANCE_COUNTS[self.count_index];
        let address = |at: usize| SocketAddr::from(([10, 0, 0, 1], at as u16 + 1));
        let peer = |other| Peer { address: address(other), zone: "z1".into() };
        let peers = (0..count).filter(|other| *other != at).map(peer).collect();
        View { own_address: Some(address(at)), peers, ..self.actual.clone() }
    }

    /// Restarts a server as cold, and informs all instances.
    fn restart_cold(&mut self, id: &ServerId) {
        let born = self.rng.random();
        if let Some(server) = self.actual.servers.get_mut(id) {
            let (born, cold_left) = (Some(born), COLD_TIME);
            *server = Arc::new(Server { born, cold_left, ..(**server).clone() });
        }
        (0..self.instances.len()).for_each(|at| self.update_view(at));
        self.cold.insert(id.to_string(), self.now);
    }

    /// Makes a random change to servers, zones, weights, instances or the time.
    fn inject_change(&mut self) {
        let ids: Vec<_> = self.actual.servers.keys().cloned().collect();
        let id = ids[self.rng.random_range(0..ids.len())].clone();
        let change = |scenario: &mut Self, change: &dyn Fn(&mut Server)| {
            if let Some(server) = scenario.actual.servers.get_mut(&id) {
                let mut changed = (**server).clone();
                change(&mut changed);
                *server = Arc::new(changed);
            }
        };
        match self.rng.random_range(0..8) {
            0 => {
                let leaving = self.rng.random();
                change(self, &|server| server.leaving = leaving);
            }
            1 | 2 => self.restart_cold(&id),
            3 => {
                let zone = format!("z{}", self.rng.random_range(0..2));
                if !self.actual.evacuated.remove(&*zone) {
                    self.actual.evacuated.insert(zone.into());
                }
            }
            4 => {
                let weights = self.actual.weights.entry(MODEL.into()).or_default();
                weights.announce(weights.version().max(1) + 1, self.now);
            }
            5 => {
                let newest = self.actual.weights.get(MODEL).map_or(1, Weights::version);
                change(self, &|server| {
                    server.models.iter_mut().for_each(|(_, version)| *version = newest);
                });
            }
            6 => {
                let at = self.rng.random_range(0..self.instances.len());
                self.instances[at].running.clear();
                self.instances[at] = self.instance(at);
            }
            _ => self.now += Duration::from_millis(self.rng.random_range(0..3_000)),
        }
        // A server updates its entry once it is no longer cold.
        let now = self.now;
        self.cold.retain(|id, since| {
            let is_cold = now < *since + COLD_TIME;
            if let (false, Some(server)) = (is_cold, self.actual.servers.get_mut(&**id)) {
                *server = Arc::new(Server { cold_left: Duration::ZERO, ..(**server).clone() });
            }
            is_cold
        });
    }
}

fn scenarios() -> u64 {
    std::env::var("ACACIA_SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(SCENARIOS)
}

#[test]
fn gateway_keeps_invariants() {
    let mut sends = 0;
    for seed in 0..scenarios() {
        match Scenario::new(seed, Mutation::None).run() {
            Ok(count) => sends += count,
            Err(broken) => panic!("seed {seed}: {broken}"),
        }
    }
    assert!(
        sends > 500 * scenarios(),
        "the scenarios send too few requests to be conclusive: {sends}"
    );
}

#[test]
fn oracle_detects_mutations() {
    for mutation in [
        Mutation::ReportRefused,
        Mutation::CountOneInstance,
        Mutation::MissLeaving,
        Mutation::MissNotices,
    ] {
        let noticed = (0..scenarios()).any(|seed| Scenario::new(seed, mutation).run().is_err());
        assert!(noticed, "{mutation:?}");
    }
}
