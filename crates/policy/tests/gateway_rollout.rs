//! Tests of the weight rollout: concurrency, order numbers, lost orders and the order lease.

#![expect(clippy::unwrap_used, reason = "a helper that fails fails its test")]

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use acacia_policy::Time;
use acacia_policy::gateway::rollout::{Action, LeaseTerm, Receipt, Report, Rollout};
use acacia_policy::gateway::{Server, ServerId, WeightVersion, Weights};

const MODEL: &str = "m";

/// Simulated engines that execute orders, under virtual time.
struct Fleet {
    now: Time,
    servers: BTreeMap<ServerId, Arc<Server>>,
    engines: BTreeMap<ServerId, Engine>,
    rollout: Rollout,
    newest: WeightVersion,
    announced_at: Time,
    limit: Duration,
    peak_loading: usize,
    /// Orders without a response that are executed later.
    late: Vec<(Time, ServerId, WeightVersion, u64)>,
}

#[derive(Clone, Default)]
struct Engine {
    weights: WeightVersion,
    orders: u64,
    loading: Option<(Time, WeightVersion)>,
}

const LOAD: Duration = Duration::from_millis(600);
const LIMIT: Duration = Duration::from_secs(8);
const STEP: Duration = Duration::from_millis(50);

impl Fleet {
    fn new(count: usize) -> Self {
        let ids = (0..count).map(|number| ServerId::from(format!("e{number}")));
        let servers =
            ids.map(|id| (id.clone(), Arc::new(server(&id, 1)))).collect::<BTreeMap<_, _>>();
        let engines =
            servers.keys().map(|id| (id.clone(), Engine { weights: 1, ..Engine::default() }));
        Self {
            now: Duration::from_secs(1),
            engines: engines.collect(),
            servers,
            rollout: Rollout::default(),
            newest: 1,
            announced_at: Duration::ZERO,
            limit: LIMIT,
            peak_loading: 0,
            late: Vec::new(),
        }
    }

    fn announce(&mut self, version: WeightVersion) {
        self.newest = version;
        self.announced_at = self.now;
    }

    /// Runs one step. Orders to engines whose id `drops` accepts get no response and arrive late.
    fn step(&mut self, drops: impl Fn(&str) -> bool) {
        self.now += STEP;
        for engine in self.engines.values_mut() {
            if let Some((_, version)) = engine.loading.filter(|(end, _)| *end <= self.now) {
                engine.weights = version;
                engine.loading = None;
            }
        }
        let (due, rest) = std::mem::take(&mut self.late).into_iter().partition(|l| l.0 <= self.now);
        self.late = rest;
        for (_, id, version, expected) in due as Vec<(Time, ServerId, WeightVersion, u64)> {
            self.order(&id, version, expected);
        }
        let weights = Weights::new(self.newest, self.announced_at);
        let weights = BTreeMap::from([(MODEL.into(), weights)]);
        for action in self.rollout.step(self.now, &self.servers, &weights, self.limit) {
            match action {
                Action::Poll(server) => {
                    let engine = &self.engines[&server.id];
                    let report = Report {
                        models: vec![(MODEL.into(), engine.weights)],
                        busy: engine.loading.is_some(),
                        orders: engine.orders,
                        born: None,
                    };
                    self.rollout.polled(self.now, &server.id, Some(report));
                }
                Action::Order { server, version, expected, .. } => {
                    let receipt = if drops(&server.id) {
                        let at = self.now + Duration::from_secs(3);
                        self.late.push((at, server.id.clone(), version, expected));
                        Receipt::Unknown
                    } else {
                        self.order(&server.id, version, expected)
                    };
                    self.rollout.received(self.now, &server.id, receipt);
                }
            }
        }
        let loading = self.engines.values().filter(|engine| engine.loading.is_some()).count();
        self.peak_loading = self.peak_loading.max(loading);
    }

    fn order(&mut self, id: &ServerId, version: WeightVersion, expected: u64) -> Receipt {
        let engine = self.engines.get_mut(id).unwrap();
        if engine.weights == version {
            return Receipt::Holds;
        }
        if engine.loading.is_some() || engine.orders != expected {
            return Receipt::Conflict;
        }
        engine.orders += 1;
        engine.loading = Some((self.now + LOAD, version));
        Receipt::Accepted
    }

    fn is_done(&self) -> bool {
        self.engines.values().all(|engine| engine.weights == self.newest)
    }

    /// Runs steps until all engines have the newest weights; returns their number.
    fn run(&mut self, drops: impl Fn(&str) -> bool) -> usize {
        (1..=1_000)
            .find(|_| {
                self.step(&drops);
                self.is_done()
            })
            .expect("all engines have the newest weights")
    }
}

fn server(id: &str, weights: WeightVersion) -> Server {
    Server {
        id: id.into(),
        service: "llm".into(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: "z".into(),
        slots: 8,
        leaving: false,
        cold_left: Duration::ZERO,
        models: vec![(MODEL.into(), weights)],
        born: None,
        software: "v1".into(),
    }
}

#[test]
fn step_updates_all_engines() {
    let mut fleet = Fleet::new(9);
    fleet.announce(2);
    fleet.run(|_| false);
    assert!(fleet.engines.values().all(|engine| engine.orders == 1), "each engine loads once");
    assert!(fleet.now < fleet.announced_at + LIMIT);
}

#[test]
fn step_limits_reloads_while_time_remains() {
    let mut fleet = Fleet::new(10);
    fleet.limit = 10 * LIMIT;
    fleet.announce(2);
    fleet.run(|_| false);
    assert_eq!(fleet.peak_loading, 2);
}

#[test]
fn step_speeds_up_near_deadline() {
    let mut fleet = Fleet::new(30);
    fleet.announce(2);
    fleet.now += Duration::from_secs(4);
    fleet.run(|_| false);
    assert!(fleet.peak_loading > 6, "{}", fleet.peak_loading);
    assert!(fleet.now < fleet.announced_at + LIMIT);
}

#[test]
fn step_keeps_two_thirds_serving() {
    for count in 1..12 {
        let mut fleet = Fleet::new(count);
        fleet.announce(2);
        fleet.run(|_| false);
        assert!(fleet.peak_loading <= (count / 3).max(1), "{count} engines");
    }
}

#[test]
fn step_recovers_from_lost_orders() {
    let mut fleet = Fleet::new(6);
    fleet.announce(2);
    fleet.run(|id| id == "e1" || id == "e4");
    // The lost orders arrive after newer weights were announced.
    fleet.announce(3);
    fleet.run(|_| false);
    for _ in 0..200 {
        fleet.step(|_| false);
        assert!(fleet.is_done(), "a late order brought older weights back");
    }
}

#[test]
fn step_orders_oldest_weights_first() {
    let mut fleet = Fleet::new(6);
    fleet.announce(2);
    while fleet.engines.values().filter(|engine| engine.weights == 2).count() < 2 {
        fleet.step(|_| false);
    }
    fleet.announce(3);
    while fleet.engines.values().all(|engine| engine.weights != 3) {
        fleet.step(|_| false);
    }
    let first = fleet.engines.values().find(|engine| engine.weights == 3).unwrap();
    assert!(first.orders <= 2);
    fleet.run(|_| false);
    let loads: u64 = fleet.engines.values().map(|engine| engine.orders).sum();
    assert!(loads <= 6 + 4, "only engines that had started to load load twice: {loads}");
}

#[test]
fn allows_orders_only_within_lease() {
    let at = Duration::from_secs;
    let term = LeaseTerm { fence: 1, starts_at: at(5), ends_at: at(9) };
    assert!(!term.allows_orders(at(4)));
    assert!(term.allows_orders(at(5)));
    assert!(!term.allows_orders(at(9)));
    assert!(
        !term.allows_orders(at(9) - Duration::from_millis(100)),
        "an order takes time to arrive"
    );
}

/// Regression, soak seed 11: a new lease holder polls an engine that already has the newest weights
/// while its entry still lists older ones. It needs no order and must not block orders to the
/// others.
#[test]
fn step_skips_updated_engine() {
    let mut fleet = Fleet::new(3);
    fleet.announce(2);
    let servers = fleet.servers.clone();
    let weights = BTreeMap::from([(MODEL.into(), Weights::new(2, fleet.now))]);
    let mut rollout = Rollout::default();
    let mut ordered = Vec::new();
    for round in 0..100 {
        let now = fleet.now + STEP * round;
        for action in rollout.step(now, &servers, &weights, LIMIT) {
            match action {
                Action::Poll(server) => {
                    let version = if &*server.id == "e0" { 2 } else { 1 };
                    let models = vec![(MODEL.into(), version)];
                    let report = Report { models, orders: 1, ..Report::default() };
                    rollout.polled(now, &server.id, Some(report));
                }
                Action::Order { server, .. } => ordered.push(server.id.to_string()),
            }
        }
    }
    assert_eq!(ordered.first().map(String::as_str), Some("e1"));
}

#[test]
fn loading_ends_for_engine_that_never_answers() {
    let fleet = Fleet::new(3);
    let weights = BTreeMap::from([(MODEL.into(), Weights::new(2, fleet.now))]);
    let mut rollout = Rollout::default();
    let (mut now, mut was_loading) = (fleet.now, false);
    for _ in 0..200 {
        now += STEP;
        for action in rollout.step(now, &fleet.servers, &weights, LIMIT) {
            match action {
                // The first report is answered, nothing after it is.
                Action::Poll(server) => {
                    let models = vec![(MODEL.into(), 1)];
                    let report = Report { models, ..Report::default() };
                    rollout.polled(now, &server.id, (!was_loading).then_some(report));
                }
                Action::Order { server, .. } => {
                    rollout.received(now, &server.id, Receipt::Unknown);
                }
            }
            was_loading |= !rollout.loading().is_empty();
        }
    }
    assert!(was_loading);
    assert!(rollout.loading().is_empty(), "instances that reach the engines leave them out");
}

#[test]
fn step_reaches_sound_engine_beside_silent_ones() {
    let fleet = Fleet::new(3);
    let weights = BTreeMap::from([(MODEL.into(), Weights::new(2, fleet.now))]);
    let mut rollout = Rollout::default();
    let mut calls: Vec<(Time, ServerId)> = Vec::new();
    let mut now = fleet.now;
    for _ in 0..200 {
        now += STEP;
        // Calls to silent engines take their whole timeout.
        for (_, id) in calls.extract_if(.., |(end, _)| *end <= now) {
            rollout.polled(now, &id, None);
        }
        for action in rollout.step(now, &fleet.servers, &weights, LIMIT) {
            match action {
                Action::Poll(server) if &*server.id == "e2" => {
                    let models = vec![(MODEL.into(), 1)];
                    rollout.polled(now, &server.id, Some(Report { models, ..Report::default() }));
                }
                Action::Poll(server) => calls.push((now + 16 * STEP, server.id.clone())),
                Action::Order { server, .. } => {
                    assert_eq!(&*server.id, "e2");
                    return;
                }
            }
        }
    }
    panic!("the engine that answers got no order");
}

/// Engines of one model that are silent must not keep those of another from their orders.
#[test]
fn step_reaches_engines_of_other_model_beside_silent_ones() {
    let mut servers = Fleet::new(12).servers;
    let other = Server { models: vec![("n".into(), 1)], ..server("n0", 1) };
    servers.insert(other.id.clone(), Arc::new(other));
    let mut now = Duration::from_secs(1);
    let weights = ["m", "n"].map(|model| (model.into(), Weights::new(2, now)));
    let weights = BTreeMap::from(weights);
    let mut rollout = Rollout::default();
    let mut calls: Vec<(Time, ServerId)> = Vec::new();
    for _ in 0..200 {
        now += STEP;
        // Calls to silent engines take their whole timeout.
        for (_, id) in calls.extract_if(.., |(end, _)| *end <= now) {
            rollout.polled(now, &id, None);
        }
        for action in rollout.step(now, &servers, &weights, LIMIT) {
            match action {
                Action::Poll(server) if &*server.id == "n0" => {
                    let models = vec![("n".into(), 1)];
                    rollout.polled(now, &server.id, Some(Report { models, ..Report::default() }));
                }
                Action::Poll(server) => calls.push((now + 16 * STEP, server.id.clone())),
                Action::Order { server, .. } => {
                    assert_eq!(&*server.id, "n0");
                    return;
                }
            }
        }
    }
    panic!("the engine of the other model got no order");
}
