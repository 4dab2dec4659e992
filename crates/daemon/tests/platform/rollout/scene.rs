//! A deployment with two versions of each service, its load and what must hold of an order.
//!
//! Two services, one of plain servers and one of engines, have two servers of each version.
//! Callers send a steady load on a route of each kind. Requests and bad answers are counted at the
//! servers, and the old ones stop at once when the status says that the order is completed.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use acacia_standin::Fault;
use acacia_standin::platform::document::MODEL;
use acacia_standin::platform::release::{Flaw, Release};
use acacia_standin::platform::rollout::{self, Bounds, State, Status};
use acacia_standin::platform::server::{self, Engine, Handle, Peers, Performance, Settings};
use futures::future::{Either, join, join_all, select};
use parking_lot::Mutex;
use tokio::time::Instant;

use crate::caller::try_call;
use crate::fixture::{self, Answer, Fixture};

/// Entry instances.
const INSTANCES: usize = 3;
/// Servers of a version of a service.
const SERVERS: usize = 2;
/// Run time of a plain request.
const RUN_TIME: Duration = Duration::from_millis(30);
/// Time between two events of a stream.
const EVENT_TIME: Duration = Duration::from_millis(10);
/// Events of a stream.
const EVENTS: usize = 8;
/// Pause of a caller between two requests, and before it repeats one that did not run.
const PAUSE: Duration = Duration::from_millis(100);
/// Times that a caller sends a request that did not run.
const ATTEMPTS: usize = 20;
/// Statuses that promise that a request has not run and never will.
const NOT_RUN: [u16; 4] = [503, 429, 408, 421];
/// The version that serves, and the one of the order.
const VERSIONS: [&str; 2] = ["v1", "v2"];
/// Time for which the load goes on after the end.
const TAIL: Duration = Duration::from_secs(1);
/// Bad answers from which the time runs in which requests to a bad version must end.
const DECISIVE_FAILURE: usize = 50;

/// Callers that send the same kind of request one after the other.
struct Load {
    route: Route,
    callers: usize,
}

/// A route of each kind.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Route {
    /// Idempotent.
    Read,
    /// Not idempotent.
    Charge,
    /// Streams that can't be resumed.
    Long,
}

const LOADS: [Load; 3] = [
    Load { route: Route::Read, callers: 8 },
    Load { route: Route::Charge, callers: 6 },
    Load { route: Route::Long, callers: 8 },
];

/// A service with two versions.
pub struct Service {
    pub name: &'static str,
    releases: [Arc<Release>; 2],
    servers: Mutex<Vec<Handle>>,
    states: Mutex<Vec<(Instant, State)>>,
    is_old_stopped: AtomicBool,
}

/// A request that its caller did not get served.
#[derive(Debug)]
#[expect(dead_code, reason = "printed if a test fails")]
struct Loss {
    id: String,
    instance: usize,
    status: Option<u16>,
    after_s: f64,
}

/// The deployment, its callers and what they lost.
pub struct Scene {
    pub fixture: Fixture,
    pub services: [Service; 2],
    begin: Instant,
    is_finished: AtomicBool,
    numbers: AtomicUsize,
    /// An instance that was killed.
    killed: Mutex<Option<usize>>,
    losses: Mutex<Vec<Loss>>,
}

/// An order and what is bad about its version.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    pub service: usize,
    pub duration: Duration,
    pub flaw: Option<Flaw>,
}

/// Number of the service of plain servers.
pub const APP: usize = 0;
/// Number of the service of engines.
pub const LLM: usize = 1;

impl Service {
    fn new(name: &'static str) -> Self {
        Self {
            name,
            releases: VERSIONS.map(Release::new),
            servers: Mutex::default(),
            states: Mutex::default(),
            is_old_stopped: AtomicBool::new(false),
        }
    }

    /// Starts the servers of a version.
    pub async fn start(&self, fixture: &Fixture, version: usize) {
        for number in 0..SERVERS {
            let engine = (self.name == "llm").then(|| Engine {
                model: MODEL.to_owned(),
                load_time: Duration::from_millis(50),
                caches: Vec::new(),
                peers: Peers::default(),
                performance: Performance::default(),
            });
            let settings = Settings {
                id: format!("{}-{}-{number}", self.name, VERSIONS[version]),
                service: self.name.to_owned(),
                zone: "z1".to_owned(),
                latency: if engine.is_some() { EVENT_TIME } else { RUN_TIME },
                slots: 8,
                queue: 100,
                engine,
            };
            let release = self.releases[version].clone();
            let server = server::start_release(settings, release, &fixture.store).await.unwrap();
            self.servers.lock().push(server);
        }
    }

    /// Follows the status, and stops the old servers as soon as an order is completed.
    async fn follow(&self, fixture: &Fixture) {
        loop {
            if let Some(status) = Status::read(&fixture.store, self.name).unwrap() {
                assert_eq!((&*status.service, &*status.target), (self.name, VERSIONS[1]));
                let mut states = self.states.lock();
                if states.last().is_none_or(|(_, last)| *last != status.state) {
                    states.push((Instant::now(), status.state));
                }
            }
            let is_completed = self.state() == Some(State::Completed);
            if is_completed && !self.is_old_stopped.swap(true, Ordering::Relaxed) {
                for server in &self.servers.lock()[..SERVERS] {
                    server.fault(Fault::Unreachable { on: true }).unwrap();
                    server.unregister(&fixture.store);
                }
            }
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    }

    /// The last state of the order.
    pub fn state(&self) -> Option<State> {
        self.states.lock().last().map(|(_, state)| *state)
    }

    /// The version that serves when the order is given.
    pub fn old_release(&self) -> &Release {
        &self.releases[0]
    }

    /// The version of the order.
    pub fn new_release(&self) -> &Release {
        &self.releases[1]
    }
}

impl Scene {
    /// Starts the instances and the servers of the old versions.
    pub async fn start() -> Self {
        let fixture = Fixture::start_with_rollouts(INSTANCES, Bounds::default()).await;
        fixture.unregister_services();
        fixture.unregister_engines();
        let services = ["app", "llm"].map(Service::new);
        for service in &services {
            service.start(&fixture, 0).await;
        }
        let scene = Self {
            fixture,
            services,
            begin: Instant::now(),
            is_finished: AtomicBool::new(false),
            numbers: AtomicUsize::new(0),
            killed: Mutex::default(),
            losses: Mutex::default(),
        };
        for (instance, load) in (0..INSTANCES).flat_map(|it| LOADS.iter().map(move |l| (it, l))) {
            fixture::eventually("the old version serves", async || {
                let answer = scene.call(instance, load.route, "warm-up").await;
                load.route.is_served(answer.as_ref())
            })
            .await;
        }
        scene
    }

    async fn call(&self, instance: usize, route: Route, id: &str) -> Option<Answer> {
        let address = self.fixture.address(instance);
        let headers = self.fixture.headers(id);
        match route {
            Route::Read => try_call(address, "GET", "/read/x", &headers, b"").await,
            Route::Charge => try_call(address, "POST", "/charge/x", &headers, b"").await,
            Route::Long => {
                let mut headers = headers;
                let number = self.numbers.fetch_add(1, Ordering::Relaxed);
                headers.push(("x-model", MODEL.to_owned()));
                headers.push(("x-token-usage", format!("400,{EVENTS}")));
                // No two prompts have a part in common, so that no engine is preferred for its cache.
                headers.push(("x-prompt-prefix", format!("{:x}:400", 0xb000 + number)));
                try_call(address, "POST", "/long/x", &headers, b"x").await
            }
        }
    }

    /// Sends one request after the other, until the test is finished.
    async fn send(&self, route: Route, caller: usize) {
        for number in 0.. {
            if self.is_finished.load(Ordering::Relaxed) {
                return;
            }
            let id = format!("{route:?}-{caller}-{number}").to_lowercase();
            self.ask(route, &id, caller + number).await;
            tokio::time::sleep(PAUSE).await;
        }
    }

    /// Sends a request, again while it has not run, and records it as lost unless it is served. What
    /// happens to requests at an instance that is killed doesn't count.
    async fn ask(&self, route: Route, id: &str, first: usize) {
        let mut lost = None;
        for attempt in 0..ATTEMPTS {
            let mut instance = (first + attempt) % INSTANCES;
            if *self.killed.lock() == Some(instance) {
                instance = (instance + 1) % INSTANCES;
            }
            let answer = self.call(instance, route, id).await;
            if route.is_served(answer.as_ref()) || *self.killed.lock() == Some(instance) {
                return;
            }
            let status = answer.map(|answer| answer.status);
            let after_s = self.begin.elapsed().as_secs_f64();
            lost = Some(Loss { id: id.to_owned(), instance, status, after_s });
            if !status.is_some_and(|status| NOT_RUN.contains(&status)) {
                break;
            }
            tokio::time::sleep(PAUSE).await;
        }
        self.losses.lock().extend(lost);
    }

    /// Runs the load and follows the statuses while something happens.
    pub async fn run<T>(&self, events: impl Future<Output = T>) -> T {
        let callers = LOADS
            .iter()
            .flat_map(|load| (0..load.callers).map(move |caller| self.send(load.route, caller)));
        let events = async {
            let result = events.await;
            self.is_finished.store(true, Ordering::Relaxed);
            result
        };
        let work = join(events, join_all(callers));
        let followers = join_all(self.services.iter().map(|it| it.follow(&self.fixture)));
        let Either::Left(((result, _), _)) = select(Box::pin(work), Box::pin(followers)).await
        else {
            unreachable!("statuses are followed for ever")
        };
        let ids = self.services.iter().map(|service| {
            let servers = service.servers.lock();
            let repeated = server::repeated(&*servers);
            repeated.into_iter().filter(|id| id.starts_with("charge")).collect::<Vec<_>>()
        });
        assert_eq!(ids.flatten().collect::<Vec<_>>(), Vec::<String>::new(), "ran twice");
        result
    }

    /// Orders the versions and starts their servers; returns when that was.
    pub async fn order(&self, cases: &[Case]) -> Instant {
        tokio::time::sleep(TAIL).await;
        let ordered = Instant::now();
        for case in cases {
            let service = &self.services[case.service];
            let (key, value) = rollout::order(service.name, VERSIONS[1], case.duration);
            self.fixture.store.put(&key, &value);
            service.new_release().set_flaw(case.flaw);
            service.start(&self.fixture, 1).await;
        }
        ordered
    }

    /// Waits until the order has ended and what a bad version may still get is known.
    pub async fn end(&self, case: Case, ordered: Instant) {
        tokio::time::sleep_until(ordered + case.duration + TAIL).await;
        let service = &self.services[case.service];
        let is_final = || service.state().is_some_and(|state| state != State::Running);
        let timeout = Instant::now() + fixture::TIMEOUT;
        while !is_final() && Instant::now() < timeout {
            tokio::time::sleep(PAUSE).await;
        }
        let mut failures = service.new_release().record().failures;
        failures.sort_unstable();
        if let Some(decisive) = failures.get(DECISIVE_FAILURE - 1) {
            tokio::time::sleep_until(*decisive + Bounds::default().rollback + TAIL).await;
        }
    }

    /// Kills the instance that holds the order lease.
    pub async fn kill_holder(&self) {
        let value = self.fixture.store.value("acacia/holder").expect("a holder");
        let value: serde_json::Value = serde_json::from_slice(&value).unwrap();
        let name = value["instance"].as_str().expect("the holder's name").to_owned();
        let holder = (0..INSTANCES).find(|number| name == format!("instance-{number}"));
        let holder = holder.expect("a known instance");
        *self.killed.lock() = Some(holder);
        self.fixture.kill(holder);
    }

    /// The new version is completed before the order's duration is over, and the end of the old
    /// servers cost no caller an answer that can't be asked for again.
    pub fn check_completed(&self, case: Case, ordered: Instant) {
        let service = &self.services[case.service];
        let states = service.states.lock();
        println!("{}: {states:?}", service.name);
        let completed = states.last().filter(|(_, state)| *state == State::Completed);
        let (at, _) = completed.unwrap_or_else(|| panic!("not completed: {states:?}"));
        assert!(*at <= ordered + case.duration, "completed after {:?}", *at - ordered);
        let finals = states.iter().filter(|(_, state)| *state != State::Running).count();
        assert_eq!(finals, 1, "the end is final: {states:?}");
        let routes: &[&str] = if case.service == APP { &["charge"] } else { &["long"] };
        let losses = self.losses.lock();
        let lost = losses.iter().filter(|loss| routes.iter().any(|r| loss.id.starts_with(r)));
        let lost: Vec<&Loss> = lost.collect();
        assert!(lost.is_empty(), "completed {:?} after the start: {lost:?}", *at - self.begin);
        assert!(service.new_release().record().count(*at, *at + TAIL) > 0);
    }

    /// No caller lost a request.
    pub fn check_all_served(&self) {
        let losses = self.losses.lock();
        assert!(losses.is_empty(), "{losses:?}");
    }

    /// The new version is rolled back, and got no more requests than a bad one may get.
    pub fn check_rolled_back(&self, case: Case, ordered: Instant) {
        let service = &self.services[case.service];
        let states = service.states.lock();
        let finals: Vec<State> = states
            .iter()
            .map(|(_, state)| *state)
            .filter(|state| *state != State::Running)
            .collect();
        self.check_exposure(case, ordered);
        assert_eq!(finals, [State::RolledBack], "{states:?}");
    }

    /// A bad version got no more requests than it may get.
    pub fn check_exposure(&self, case: Case, ordered: Instant) {
        let service = &self.services[case.service];
        let Bounds { share, slack, rollback } = Bounds::default();
        let records = service.releases.each_ref().map(|release| release.record());
        let [old, new] =
            records.each_ref().map(|record| record.count(ordered, ordered + case.duration));
        let allowed = share * (old + new) as f64 + f64::from(slack);
        let late = records[1].late(DECISIVE_FAILURE, rollback);
        let bad = records[1].failures.len();
        let summary = format!(
            "{}: {new} requests at the new version, {allowed} allowed of {}; {bad} bad answers, \
             {late} requests too late",
            service.name,
            old + new,
        );
        println!("{summary}");
        assert!(new as f64 <= allowed, "{summary}");
        assert_eq!(late, 0, "{summary}");
        // Without bad answers, nothing is tested.
        assert!(bad > 0, "{summary}");
    }
}

impl Route {
    fn is_served(self, answer: Option<&Answer>) -> bool {
        let is_whole = |answer: &Answer| match self {
            Self::Long => answer.event_ids().len() == EVENTS,
            Self::Read | Self::Charge => true,
        };
        answer.is_some_and(|answer| answer.status == 200 && answer.is_complete && is_whole(answer))
    }
}
