//! Runs a seed: sends requests while faults are injected and after the system has recovered.

use std::collections::BTreeSet;
use std::io;
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use acacia_standin::cut::Cut;
use acacia_standin::platform::caller::{Ending, Request};
use acacia_standin::platform::document::Variation;
use acacia_standin::platform::store::Lost;
use acacia_standin::platform::{crash, document};
use acacia_standin::proxy::{Mode, Proxy};
use acacia_standin::{Fault as StandinFault, Unsupported};
use futures::future::join_all;
use parking_lot::Mutex;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::brittle::falls;
use crate::culprit::{Culprit, Role, Service};
use crate::cut::Span;
use crate::fault::{Fault, Kind, Scenario, Schedule};
use crate::fixture::{Fixture, Instance, ORGANISATIONS, SERVERS};
use crate::isolation;
use crate::oracle::{Crashes, Evidence, Record, Violation, judge};
use crate::request::{self, ANSWER_EVENTS};
use crate::terms;

mod brittle;
mod convergence;
mod cuts;

/// Time between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(15);
/// The same in [`Scenario::Brittle`] until the faults end: more than the servers can run.
const OVERLOAD_INTERVAL: Duration = Duration::from_millis(4);
/// Time after the last fault until every request must be served: half of the required limit.
const RECOVERY_TIME: Duration = Duration::from_secs(7);
/// Time after the recovery in which every request must be served.
const OBSERVATION_TIME: Duration = Duration::from_secs(3);
/// Delay of a slow connection.
const SLOW_DELAY: Duration = Duration::from_millis(120);
/// Calls to the metadata store whose answers one fault loses.
const LOST_ANSWERS: u32 = 5;
/// Prefix of the entries that instances write under their leases or for each other.
const ENTRIES_PREFIX: &str = "acacia/";
/// Event before which streams are interrupted.
const BREAK_EVENT: u32 = 4;

/// Events before which other servers interrupt streams.
const BREAK_EVENTS: Range<u32> = 1..ANSWER_EVENTS;
/// Rate limits of servers, in requests per 1,000 s.
const RATES_PER_1000_S: [u32; 4] = [0, 500, 1_500, 3_200];
/// Pause that refusing servers ask for, in milliseconds.
const REFUSAL_PAUSE_MS: u64 = 1;

/// Time after the period of planned changes in which culprits are still sent.
const CRASH_TIME: Duration = Duration::from_secs(8);

/// Options of a run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Path of the `acaciad` program.
    pub daemon: PathBuf,
    /// Entry instances.
    pub instances: usize,
    /// Period in which faults begin.
    pub length: Duration,
    /// Folder for logs.
    pub folder: PathBuf,
    /// What the faults have in common.
    pub scenario: Scenario,
    /// Whether kinds of faults are added that recorded seeds do not have.
    pub has_later_kinds: bool,
}

/// Result of a run.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The seed.
    pub seed: u64,
    /// What crashed servers.
    pub culprits: Vec<Culprit>,
    /// Number of requests, and of those that were served.
    pub requests: (usize, usize),
    /// Falls of servers in each time in which they were brittle.
    pub falls: Vec<usize>,
    /// Violated guarantees.
    pub violations: BTreeSet<Violation>,
    /// Folder with the logs.
    pub folder: PathBuf,
}

/// Runs a seed.
///
/// # Errors
/// If the deployment can't be started.
pub async fn run(plan: &Plan, seed: u64) -> io::Result<Outcome> {
    let schedule = schedule(plan, seed);
    let culprits = match plan.scenario {
        Scenario::Crashes => Culprit::draw(seed),
        _ => Vec::new(),
    };
    let folder = plan.folder.join(seed.to_string());
    let (daemon, scenario) = (Path::new(&plan.daemon), plan.scenario);
    let fixture = Fixture::start(daemon, folder.clone(), plan.instances, scenario).await?;
    let context = Arc::new(Context::new(fixture, plan.scenario, culprits));
    let readiness = tokio::spawn({
        let context = context.clone();
        async move { context.fixture.watch_ready().await }
    });
    let callers = tokio::spawn(send_requests(context.clone(), seed));
    let crashes = tokio::spawn({
        let context = context.clone();
        async move { context.fixture.crash_servers(context.causes.iter().cloned()).await }
    });
    let faults = join_all(schedule.faults.iter().map(|fault| context.inject(*fault)));
    let (_, crashing_until) = tokio::join!(faults, context.stop_crashes(plan));
    context.observe_recovery().await;
    let records = callers.await.map_err(io::Error::other)?;
    let evidence = context.evidence(seed, crashing_until);
    let mut violations = judge(schedule.is_planned, &records, &evidence);
    violations.extend(context.check_convergence().await);
    violations.extend(context.failures.lock().drain(..).map(Violation::TimedOut));
    crashes.abort();
    readiness.abort();
    let served = records.iter().filter(|record| record.answer.ending == Ending::Complete).count();
    let culprits = context.culprits.clone();
    let falls = evidence.brittle.iter().map(|time| falls(time).count()).collect();
    Ok(Outcome { seed, culprits, requests: (records.len(), served), falls, violations, folder })
}

/// The faults of a seed.
fn schedule(plan: &Plan, seed: u64) -> Schedule {
    match plan.scenario {
        Scenario::Silences => Schedule::silences(seed, plan.length),
        Scenario::Crashes => Schedule::beside_crashes(seed, plan.length),
        Scenario::Limits => Schedule::limits(seed, plan.length),
        Scenario::ShortBudgets => Schedule::short_budgets(seed, plan.length),
        Scenario::Cuts => Schedule::cuts(seed, plan.length),
        Scenario::Brittle => Schedule::brittle(seed, plan.length),
        Scenario::Mixed if plan.has_later_kinds => {
            Schedule::draw(seed, plan.length).with_later_kinds(seed, plan.length)
        }
        Scenario::Mixed => Schedule::draw(seed, plan.length),
    }
}

/// State shared by the tasks of a run.
struct Context {
    fixture: Fixture,
    /// Latest published configuration.
    configuration_version: AtomicU64,
    /// Latest announced weights.
    weights_version: AtomicU64,
    culprits: Vec<Culprit>,
    /// What servers crash on, culprit by culprit.
    causes: Vec<Arc<crash::Cause>>,
    /// Whether culprits are sent.
    is_crashing: AtomicBool,
    /// Whether more requests are sent than the servers can run.
    is_overloaded: AtomicBool,
    is_after_faults: AtomicBool,
    is_finished: AtomicBool,
    scenario: Scenario,
    /// Settings of the routes in [`Scenario::ShortBudgets`].
    history: terms::History,
    /// When instances were cut off.
    cuts: Mutex<Vec<Span>>,
    /// When instances were restarted by [`Kind::ReplaceOther`] or [`Kind::KillOther`].
    restarts: Mutex<Vec<Span>>,
    /// When weights were announced in [`Scenario::Cuts`].
    announcements: Mutex<Vec<(Instant, u64)>>,
    /// When organisations became isolated or were shared again.
    isolations: Mutex<Vec<isolation::Change>>,
    /// Injected faults that failed.
    failures: Mutex<Vec<String>>,
}

impl Context {
    /// The state at the start of a run.
    fn new(fixture: Fixture, scenario: Scenario, culprits: Vec<Culprit>) -> Self {
        Self {
            fixture,
            configuration_version: AtomicU64::new(1),
            weights_version: AtomicU64::new(1),
            causes: culprits.iter().map(|culprit| Arc::new(culprit.cause())).collect(),
            culprits,
            is_crashing: AtomicBool::new(scenario == Scenario::Crashes),
            is_overloaded: AtomicBool::new(scenario == Scenario::Brittle),
            is_after_faults: AtomicBool::new(false),
            is_finished: AtomicBool::new(false),
            scenario,
            history: terms::History::new(scenario == Scenario::ShortBudgets),
            cuts: Mutex::default(),
            restarts: Mutex::default(),
            announcements: Mutex::default(),
            isolations: Mutex::default(),
            failures: Mutex::default(),
        }
    }

    /// What the culprits caused; they were sent until then.
    fn crashes(&self, until: Instant) -> Vec<Crashes> {
        let causes = self.culprits.iter().zip(&self.causes);
        causes
            .map(|(culprit, cause)| Crashes { culprit: *culprit, record: cause.record(), until })
            .collect()
    }

    /// Stops culprits; returns when that was.
    async fn stop_crashes(&self, plan: &Plan) -> Instant {
        if plan.scenario == Scenario::Crashes {
            tokio::time::sleep(plan.length + CRASH_TIME).await;
        }
        self.is_crashing.store(false, Ordering::Relaxed);
        Instant::now()
    }

    /// Waits for the recovery and observes the requests after it.
    async fn observe_recovery(&self) {
        self.is_overloaded.store(false, Ordering::Relaxed);
        if self.scenario == Scenario::ShortBudgets {
            self.vary(terms::relaxed());
        }
        tokio::time::sleep(RECOVERY_TIME).await;
        self.is_after_faults.store(true, Ordering::Relaxed);
        tokio::time::sleep(OBSERVATION_TIME).await;
        self.is_finished.store(true, Ordering::Relaxed);
    }

    fn evidence(&self, seed: u64, crashing_until: Instant) -> Evidence {
        let is_short = self.scenario == Scenario::ShortBudgets;
        Evidence {
            crashes: self.crashes(crashing_until),
            has_steady_instances: is_short,
            has_sound_servers: is_short && Schedule::has_sound_servers(seed),
            cuts: self.cuts.lock().clone(),
            restarts: self.restarts.lock().clone(),
            announcements: self.announcements.lock().clone(),
            isolations: self.isolations.lock().clone(),
            ..self.fixture.evidence()
        }
    }

    /// Injects a fault at its time; records a failure to do so.
    async fn inject(&self, fault: Fault) {
        tokio::time::sleep(fault.at).await;
        if let Err(error) = self.apply(fault).await {
            self.failures.lock().push(format!("{}: {error}", fault.kind));
        }
    }

    async fn apply(&self, fault: Fault) -> io::Result<()> {
        match fault.kind {
            Kind::Replace | Kind::Reload | Kind::Kill | Kind::Pause => self.instance(fault).await,
            Kind::ReplaceOther | Kind::KillOther => self.restart_other(fault).await,
            Kind::CutHang => self.cut(fault, Cut::Hang).await,
            Kind::CutReset => self.cut(fault, Cut::Reset).await,
            Kind::CutRefuseNew => self.cut(fault, Cut::RefuseNew).await,
            Kind::ServersBrittle => self.embrittle(fault).await.map_err(io::Error::other),
            Kind::Configure => {
                self.configure();
                Ok(())
            }
            Kind::Vary => {
                self.vary(terms::changed(fault.target));
                Ok(())
            }
            Kind::EntryRemoved => {
                self.fixture.server(fault.target).unregister(&self.fixture.store);
                tokio::time::sleep(fault.length).await;
                self.fixture.register(fault.target);
                Ok(())
            }
            Kind::AnnounceWeights => {
                self.announce_weights();
                Ok(())
            }
            Kind::Isolate => {
                self.isolate(fault).await;
                Ok(())
            }
            Kind::StoreDown
            | Kind::StoreFrozen
            | Kind::StoreLosesAnswers
            | Kind::LeasesLapse
            | Kind::StoreRestored
            | Kind::StoreDelaysWrites
            | Kind::StoreSlow => self.store(fault).await.map_err(io::Error::other),
            Kind::OthersRefuse | Kind::OthersClose | Kind::OthersBreakOff => {
                self.others(fault).await.map_err(io::Error::other)
            }
            _ => self.server(fault).await.map_err(io::Error::other),
        }
    }

    /// Injects a fault into an instance. A new process gets no signal until it is ready, as with
    /// operators: a signal before its handler is installed ends the process.
    async fn instance(&self, fault: Fault) -> io::Result<()> {
        let instances = &self.fixture.instances;
        let instance = &instances[fault.target % instances.len()];
        let mut process = instance.process.lock().await;
        match fault.kind {
            Kind::Replace => {
                process.replace().await?;
                instance.wait_ready().await?;
            }
            Kind::Kill => {
                process.kill(fault.length).await?;
                instance.wait_ready().await?;
            }
            Kind::Pause => {
                process.signal(Signal::STOP)?;
                tokio::time::sleep(fault.length).await;
                process.signal(Signal::CONT)?;
            }
            _ => process.reload()?,
        }
        Ok(())
    }

    /// Injects a fault into the metadata store or its proxy.
    async fn store(&self, fault: Fault) -> Result<(), Unsupported> {
        let Fixture { store, store_proxy, .. } = &self.fixture;
        match fault.kind {
            Kind::StoreDown => {
                store.fault(StandinFault::Down { on: true })?;
                tokio::time::sleep(fault.length).await;
                store.fault(StandinFault::Down { on: false })
            }
            Kind::StoreFrozen => {
                store.fault(StandinFault::Frozen { on: true })?;
                tokio::time::sleep(fault.length).await;
                store.fault(StandinFault::Frozen { on: false })
            }
            Kind::StoreLosesAnswers => {
                store.fault(StandinFault::LostAnswer { times: LOST_ANSWERS })
            }
            Kind::LeasesLapse => store.fault(StandinFault::LeaseLapse),
            Kind::StoreRestored => store.fault(StandinFault::Restored {
                millis: u64::try_from(fault.length.as_millis()).unwrap_or(u64::MAX),
            }),
            Kind::StoreDelaysWrites => {
                store.lose_first_writes(ENTRIES_PREFIX, Lost::Delayed(fault.length * 2));
                store.fault(StandinFault::LeaseLapse)?;
                tokio::time::sleep(fault.length).await;
                store.answer_writes();
                Ok(())
            }
            _ => {
                set_during(store_proxy, Mode::Delay(SLOW_DELAY), fault).await;
                Ok(())
            }
        }
    }

    /// Injects a fault into a server, its proxy or the cache store.
    async fn server(&self, fault: Fault) -> Result<(), Unsupported> {
        let proxy = &self.fixture.proxies[fault.target % self.fixture.proxies.len()];
        match fault.kind {
            Kind::ServerGone => set_during(proxy, Mode::Refuse, fault).await,
            Kind::ServerSilent => set_during(proxy, Mode::Stall, fault).await,
            Kind::ServerOneWay => set_during(proxy, Mode::StallServer, fault).await,
            Kind::ServerSlow => set_during(proxy, Mode::Delay(SLOW_DELAY), fault).await,
            Kind::ServerReset => proxy.reset(),
            Kind::StreamsBreak => self.break_streams(fault).await?,
            Kind::StreamsBreakUntilClose => {
                let proxies = self.fixture.engine_proxies();
                let proxy = &proxies[fault.target % proxies.len()];
                proxy.set(Mode::UntilClose);
                let broken = self.break_streams(fault).await;
                proxy.set(Mode::Pass);
                broken?;
            }
            Kind::ServerLeaving => {
                let server = self.fixture.server(fault.target);
                server.fault(StandinFault::Leaving { on: true })?;
                tokio::time::sleep(fault.length).await;
                server.restart();
                self.fixture.register(fault.target);
            }
            Kind::Silence => {
                let millis = u64::try_from(fault.length.as_millis()).unwrap_or(u64::MAX);
                self.fixture.server(fault.target).fault(StandinFault::Silent { millis })?;
            }
            Kind::ServerLimited => {
                let server = self.fixture.server(fault.target);
                let rate = RATES_PER_1000_S[fault.target / SERVERS % RATES_PER_1000_S.len()];
                server.fault(StandinFault::Limited { per_1000_s: Some(rate) })?;
                tokio::time::sleep(fault.length).await;
                server.fault(StandinFault::Limited { per_1000_s: None })?;
            }
            Kind::ServerPaused => {
                let server = self.fixture.server(fault.target);
                let millis = u64::try_from(fault.length.as_millis()).unwrap_or(u64::MAX);
                server.fault(StandinFault::Paused { millis })?;
                tokio::time::sleep(fault.length).await;
                server.fault(StandinFault::Paused { millis: 0 })?;
            }
            _ => self.fixture.cache.fault(StandinFault::Restart)?,
        }
        Ok(())
    }

    /// Injects a fault into all servers of a service but one.
    async fn others(&self, fault: Fault) -> Result<(), Unsupported> {
        let token =
            BREAK_EVENTS.start + fault.target as u32 % (BREAK_EVENTS.end - BREAK_EVENTS.start);
        let set = |on: bool| match fault.kind {
            Kind::OthersRefuse => {
                StandinFault::Paused { millis: if on { REFUSAL_PAUSE_MS } else { 0 } }
            }
            Kind::OthersClose => StandinFault::Closing { on },
            _ => StandinFault::BrokenStream { token, times: (!on).then_some(0) },
        };
        self.fixture.others(fault.target).try_for_each(|server| server.fault(set(true)))?;
        tokio::time::sleep(fault.length).await;
        self.fixture.others(fault.target).try_for_each(|server| server.fault(set(false)))
    }

    /// Makes an engine interrupt its streams.
    async fn break_streams(&self, fault: Fault) -> Result<(), Unsupported> {
        let engines = self.fixture.engines();
        let engine = &engines[fault.target % engines.len()];
        engine.fault(StandinFault::BrokenStream { token: BREAK_EVENT, times: None })?;
        tokio::time::sleep(fault.length).await;
        engine.fault(StandinFault::BrokenStream { token: BREAK_EVENT, times: Some(0) })
    }

    fn next_version(&self) -> u64 {
        self.configuration_version.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Publishes a configuration with the same routes.
    fn configure(&self) {
        let isolated = self.isolations.lock().last().and_then(|change| change.isolated);
        self.fixture.configure(self.next_version(), isolated);
    }

    /// Isolates an organisation twice, and shares it in between.
    async fn isolate(&self, fault: Fault) {
        let (organisation, _) = ORGANISATIONS[fault.target % ORGANISATIONS.len()];
        for isolated in [Some(organisation), None, Some(organisation)] {
            self.isolations.lock().push(isolation::Change { at: Instant::now(), isolated });
            self.configure();
            tokio::time::sleep(fault.length).await;
        }
    }

    /// Publishes a configuration with other settings of the routes.
    fn vary(&self, variation: Variation) {
        self.history.push(Instant::now(), variation.clone());
        self.fixture.vary(self.next_version(), &variation);
    }

    /// Announces newer weights.
    fn announce_weights(&self) {
        let version = self.weights_version.fetch_add(1, Ordering::Relaxed) + 1;
        let (key, value) = document::announcement(version);
        self.fixture.store.put(&key, &value);
        if self.scenario == Scenario::Cuts {
            self.announcements.lock().push((Instant::now(), version));
        }
    }
}

/// Sets a proxy's mode for the duration of a fault.
async fn set_during(proxy: &Proxy, mode: Mode, fault: Fault) {
    proxy.set(mode);
    tokio::time::sleep(fault.length).await;
    proxy.set(Mode::Pass);
}

/// Sends requests to ready instances until the run is finished.
async fn send_requests(context: Arc<Context>, seed: u64) -> Vec<Record> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ u64::MAX);
    let mut running = JoinSet::new();
    let mut number = 0;
    while !context.is_finished.load(Ordering::Relaxed) {
        number += 1;
        let ready: Vec<usize> = (0..context.fixture.instances.len())
            .filter(|at| context.fixture.instances[*at].is_ready.load(Ordering::Relaxed))
            .collect();
        if let Some(at) = ready.get(number % ready.len().max(1)).copied() {
            let (organisation, key) = ORGANISATIONS[rng.random_range(0..ORGANISATIONS.len())];
            let is_after_faults = context.is_after_faults.load(Ordering::Relaxed);
            let ask = match context.scenario {
                Scenario::ShortBudgets => request::short(number, key, !is_after_faults, &mut rng),
                _ => request::draw(number, key, &mut rng),
            };
            let role = match Role::new(&context.culprits, number) {
                Role::Culprit(_) if !context.is_crashing.load(Ordering::Relaxed) => Role::Other,
                role => role,
            };
            let (organisation, ask) = role.request(number, (organisation, ask), &mut rng);
            let context = context.clone();
            running.spawn(async move {
                let instance = &context.fixture.instances[at];
                let record = observe(instance, &context.history, organisation, ask).await;
                Record { is_after_faults, role, instance: at, ..record }
            });
        }
        let is_overloaded = context.is_overloaded.load(Ordering::Relaxed);
        tokio::time::sleep(if is_overloaded { OVERLOAD_INTERVAL } else { REQUEST_INTERVAL }).await;
    }
    running.join_all().await
}

/// Sends a request to an instance and records its result.
async fn observe(
    instance: &Instance,
    history: &terms::History,
    organisation: &str,
    ask: Request,
) -> Record {
    let sent = Instant::now();
    let answer = instance.caller.send(&ask).await;
    let ended = Instant::now();
    let timeouts = history.timeouts(&ask.operation, sent);
    let (shortest, longest) = timeouts.unwrap_or((ask.timeout, ask.timeout));
    Record {
        id: ask.id,
        organisation: organisation.to_owned(),
        is_at_most_once: ask.operation.is_at_most_once(),
        is_after_faults: false,
        service: Service::of(&ask.operation),
        role: Role::Other,
        instance: 0,
        sent,
        leaving: sent + ask.timeout,
        deadline: sent + shortest.min(ask.timeout),
        latest_timeout: sent + longest,
        ended,
        answer,
    }
}
