//! One run: callers ask while a schedule is played, and in the calm after it.

use std::collections::BTreeSet;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use acacia_standin::platform::caller::{Ending, Operation, Request};
use acacia_standin::platform::document;
use acacia_standin::{Fault as Shown, Unsupported};
use futures::future::join_all;
use parking_lot::Mutex;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::fault::{Fault, Kind, Schedule};
use crate::oracle::{Broken, Record, judge};
use crate::proxy::Mode;
use crate::scene::{ORGANISATIONS, Scene};

/// Time between two requests.
const INTERVAL: Duration = Duration::from_millis(15);
/// Longest wait of a caller.
const PATIENCE: Duration = Duration::from_secs(8);
/// Time after the last fault until all must be well again: half of what the users' sheets allow.
const RECOVERY: Duration = Duration::from_secs(7);
/// Time of calm in which every request must be served.
const CALM: Duration = Duration::from_secs(3);
/// Longest wait for what must come about after the calm: the users' bound on weights, and on keys.
const LAST_WAIT: Duration = Duration::from_secs(14);
/// Events of an answer.
const EVENTS: u32 = 12;
/// Different shared parts, and their tokens: more than the engines hold together.
const SUBJECTS: (usize, u32) = (12, 4_000);
/// Delay of a slow way.
const DELAY: Duration = Duration::from_millis(120);
/// Calls of the metadata store whose answers are lost at a time.
const LOST_ANSWERS: u32 = 5;
/// Event before which broken streams end.
const BREAK_EVENT: u32 = 4;

/// What a run is asked.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The program.
    pub daemon: PathBuf,
    /// Entry instances.
    pub instances: usize,
    /// Time in which faults begin.
    pub length: Duration,
    /// Where logs go.
    pub folder: PathBuf,
}

/// What came of a seed.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The seed.
    pub seed: u64,
    /// Requests, and those that were served.
    pub requests: (usize, usize),
    /// Promises that were broken.
    pub broken: BTreeSet<Broken>,
    /// Where the logs lie.
    pub folder: PathBuf,
}

/// Plays a seed.
///
/// # Errors
/// If the deployment can't be started.
pub async fn run(plan: &Plan, seed: u64) -> io::Result<Outcome> {
    let schedule = Schedule::draw(seed, plan.length);
    let folder = plan.folder.join(seed.to_string());
    let scene = Scene::start(Path::new(&plan.daemon), folder.clone(), plan.instances).await?;
    let stage = Arc::new(Stage {
        scene,
        versions: AtomicU64::new(1),
        weights: AtomicU64::new(1),
        is_calm: AtomicBool::new(false),
        is_over: AtomicBool::new(false),
        failures: Mutex::default(),
    });
    let watch = tokio::spawn({
        let stage = stage.clone();
        async move { stage.scene.watch_ready().await }
    });
    let asking = tokio::spawn(ask_all(stage.clone(), seed));
    join_all(schedule.faults.iter().map(|fault| stage.play(*fault))).await;
    tokio::time::sleep(RECOVERY).await;
    stage.is_calm.store(true, Ordering::Relaxed);
    tokio::time::sleep(CALM).await;
    stage.is_over.store(true, Ordering::Relaxed);
    let records = asking.await.map_err(io::Error::other)?;
    let mut broken = judge(schedule.is_planned, &records, &stage.scene.evidence());
    broken.extend(stage.last_changes().await);
    broken.extend(stage.failures.lock().drain(..).map(Broken::Never));
    watch.abort();
    let served = records.iter().filter(|record| record.answer.ending == Ending::Complete).count();
    Ok(Outcome { seed, requests: (records.len(), served), broken, folder })
}

/// What the tasks of a run share.
struct Stage {
    scene: Scene,
    /// The newest configuration, and weights.
    versions: AtomicU64,
    weights: AtomicU64,
    is_calm: AtomicBool,
    is_over: AtomicBool,
    /// What a process did not do.
    failures: Mutex<Vec<String>>,
}

impl Stage {
    /// Lets a fault come and go.
    async fn play(&self, fault: Fault) {
        tokio::time::sleep(fault.at).await;
        if let Err(error) = self.begin_and_end(fault).await {
            self.failures.lock().push(format!("{}: {error}", fault.kind));
        }
    }

    async fn begin_and_end(&self, fault: Fault) -> io::Result<()> {
        match fault.kind {
            Kind::Replace | Kind::Reload | Kind::Kill | Kind::Pause => self.instance(fault).await,
            Kind::Configure => {
                self.scene.configure(self.versions.fetch_add(1, Ordering::Relaxed) + 1);
                Ok(())
            }
            Kind::Renew => {
                self.renew();
                Ok(())
            }
            Kind::StoreDown
            | Kind::StoreFrozen
            | Kind::StoreLosesAnswers
            | Kind::LeasesLapse
            | Kind::StoreSlow => self.store(fault).await.map_err(io::Error::other),
            _ => self.server(fault).await.map_err(io::Error::other),
        }
    }

    /// What happens to an instance. A new process is left alone until it is ready, as operators do: a
    /// signal that comes before it can be heard ends it.
    async fn instance(&self, fault: Fault) -> io::Result<()> {
        let instances = &self.scene.instances;
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

    /// What happens to the metadata store.
    async fn store(&self, fault: Fault) -> Result<(), Unsupported> {
        let Scene { store, store_way, .. } = &self.scene;
        match fault.kind {
            Kind::StoreDown => {
                store.fault(Shown::Down { on: true })?;
                tokio::time::sleep(fault.length).await;
                store.fault(Shown::Down { on: false })
            }
            Kind::StoreFrozen => {
                store.fault(Shown::Frozen { on: true })?;
                tokio::time::sleep(fault.length).await;
                store.fault(Shown::Frozen { on: false })
            }
            Kind::StoreLosesAnswers => store.fault(Shown::LostAnswer { times: LOST_ANSWERS }),
            Kind::LeasesLapse => store.fault(Shown::LeaseLapse),
            _ => {
                hold(store_way, Mode::Delay(DELAY), fault).await;
                Ok(())
            }
        }
    }

    /// What happens to a server or to the way to it.
    async fn server(&self, fault: Fault) -> Result<(), Unsupported> {
        let way = &self.scene.ways[fault.target % self.scene.ways.len()];
        match fault.kind {
            Kind::ServerGone => hold(way, Mode::Refuse, fault).await,
            Kind::ServerSilent => hold(way, Mode::Silent, fault).await,
            Kind::ServerOneWay => hold(way, Mode::OneWay, fault).await,
            Kind::ServerSlow => hold(way, Mode::Delay(DELAY), fault).await,
            Kind::ServerReset => way.reset(),
            Kind::StreamsBreak => {
                let engines = self.scene.engines();
                let engine = &engines[fault.target % engines.len()];
                let broken = |times| Shown::BrokenStream { token: BREAK_EVENT, times };
                engine.fault(broken(None))?;
                tokio::time::sleep(fault.length).await;
                engine.fault(broken(Some(0)))?;
            }
            _ => self.scene.cache.fault(Shown::Restart)?,
        }
        Ok(())
    }

    /// Names newer weights.
    fn renew(&self) {
        let version = self.weights.fetch_add(1, Ordering::Relaxed) + 1;
        let (key, value) = document::announcement(version);
        self.scene.store.put(&key, &value);
    }

    /// Changes that must come about in the calm: newest weights everywhere, a revoked key denied.
    async fn last_changes(&self) -> Vec<Broken> {
        let mut broken = Vec::new();
        let newest = self.weights.load(Ordering::Relaxed);
        let renewed = async || self.scene.engines().iter().all(|e| e.weights() == newest);
        if !eventually(renewed).await {
            broken.push(Broken::Never(format!("all engines have weights {newest}")));
        }
        let version = self.versions.fetch_add(1, Ordering::Relaxed) + 1;
        self.scene.name(version, &ORGANISATIONS[..1]);
        let (_, revoked) = ORGANISATIONS[1];
        for (number, instance) in self.scene.instances.iter().enumerate() {
            let is_denied = async || {
                let id = format!("revoked-{number}");
                let answer = instance.caller.send(&plain(id, revoked, Operation::Read)).await;
                answer.ending == Ending::Refused { status: 401, not_run: true }
            };
            if !eventually(is_denied).await {
                broken.push(Broken::Never(format!("instance {number} denies a revoked key")));
            }
        }
        broken
    }
}

/// Sets a mode of a way for as long as a fault lasts.
async fn hold(way: &crate::proxy::Proxy, mode: Mode, fault: Fault) {
    way.set(mode);
    tokio::time::sleep(fault.length).await;
    way.set(Mode::Pass);
}

/// Whether something comes about in time.
async fn eventually(mut holds: impl AsyncFnMut() -> bool) -> bool {
    let end = Instant::now() + LAST_WAIT;
    while Instant::now() < end {
        if holds().await {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    false
}

/// Asks until the run is over.
async fn ask_all(stage: Arc<Stage>, seed: u64) -> Vec<Record> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ u64::MAX);
    let mut running = JoinSet::new();
    let mut number = 0;
    while !stage.is_over.load(Ordering::Relaxed) {
        number += 1;
        let ready: Vec<usize> = (0..stage.scene.instances.len())
            .filter(|at| stage.scene.instances[*at].is_ready.load(Ordering::Relaxed))
            .collect();
        if let Some(at) = ready.get(number % ready.len().max(1)).copied() {
            let (organisation, key) = ORGANISATIONS[rng.random_range(0..ORGANISATIONS.len())];
            let ask = draw(number, key, &mut rng);
            let stage = stage.clone();
            running.spawn(async move {
                let is_calm = stage.is_calm.load(Ordering::Relaxed);
                let answer = stage.scene.instances[at].caller.send(&ask).await;
                let is_once = matches!(ask.operation, Operation::Charge);
                let organisation = organisation.to_owned();
                Record { id: ask.id, organisation, is_once, is_calm, answer }
            });
        }
        tokio::time::sleep(INTERVAL).await;
    }
    running.join_all().await
}

fn draw(number: usize, key: &str, rng: &mut ChaCha8Rng) -> Request {
    let (kind, subject) = match rng.random_range(0..10) {
        0..3 => ("read", Operation::Read),
        3..5 => ("charge", Operation::Charge),
        _ => {
            let (subjects, tokens) = SUBJECTS;
            let shared = format!("a{:x}", rng.random_range(0..subjects));
            let parts = vec![(shared, tokens), (format!("f{number:x}"), 200)];
            ("prompt", Operation::Prompt { parts, output: EVENTS })
        }
    };
    plain(format!("{kind}-{number}"), key, subject)
}

/// A request that is sent once: each has an id of its own, so that all runs of it are its own.
fn plain(id: String, key: &str, subject: Operation) -> Request {
    Request { id, key: key.to_owned(), operation: subject, timeout: PATIENCE, retries: 0 }
}
