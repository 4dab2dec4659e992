//! A small deployment: stand-ins for the platform, proxies in front of them, and real processes.

use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use acacia_standin::Counter;
use acacia_standin::cut::{Cut, Cuts};
use acacia_standin::platform::brittle::Period;
use acacia_standin::platform::caller::Caller;
use acacia_standin::platform::document::{
    self, Addresses, CONFIGURATION_KEY, Deployment, MODEL, Variation,
};
use acacia_standin::platform::server::{self, Engine, Peers, Performance};
use acacia_standin::platform::{cache, crash, store};
use acacia_standin::proxy::{Mode, Proxy};
use futures::future::join_all;
use rustix::process::{Pid, Signal, kill_process};
use tokio::sync::Mutex;
use tokio::time::Instant;

use crate::fault::Scenario;
use crate::oracle::Evidence;
use crate::terms::{self, CALLER_IDLE_LIMIT, SPLIT_SERVICES};

/// Organisations with their keys.
pub const ORGANISATIONS: [(&str, &str); 2] = [("north", "key-north"), ("south", "key-south")];
/// Key of the instances' entries in the metadata store, without their names.
const INSTANCES_KEY: &str = "acacia/instances";
/// Organisation that changes of the configuration add and remove.
const CHANGING_ORGANISATION: (&str, &str) = ("east", "key-east");
/// Number of plain servers, and of model engines.
const SERVERS_PER_KIND: usize = 4;
/// Number of servers.
pub const SERVERS: usize = SERVERS_PER_KIND * 2;
/// Requests that a server runs concurrently.
const SLOTS: usize = 16;
/// The same in [`Scenario::Brittle`], which sends more than these can run, and requests that wait.
const FEW_SLOTS: usize = 4;
const LONG_QUEUE: usize = 16;
/// Latency of a plain call there.
const LONG_LATENCY: Duration = Duration::from_millis(250);
/// Time between two events of a stream; latency of a plain call.
const EVENT_INTERVAL: Duration = Duration::from_millis(5);
/// The same with silences, which then occur within many streams, and with few slots.
const LONG_EVENT_INTERVAL: Duration = Duration::from_millis(20);
/// Target latency of requests and acceptable gap between two events, in milliseconds.
const TARGET_MS: u64 = 1_000;
/// The same with silences, which then outlast the timeouts of most attempts.
const SHORT_TARGET_MS: u64 = 500;
/// Time until a server that crashed is back.
const CRASH_TIME: Duration = Duration::from_secs(2);
/// Tokens that fit in the managed cache store.
const CACHE_TOKENS: u64 = 40_000;
/// Time between two polls.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Longest wait for an instance to be ready or to stop: twice the grace period.
const START_STOP_TIMEOUT: Duration = Duration::from_secs(16);

/// A running deployment.
pub struct Fixture {
    /// The metadata store.
    pub store: store::Handle,
    /// Proxy in front of the metadata store.
    pub store_proxy: Proxy,
    /// Plain servers, then engines.
    pub servers: Vec<server::Handle>,
    /// Proxies in front of the servers, in the same order.
    pub proxies: Vec<Proxy>,
    /// The managed KV cache store.
    pub cache: cache::Handle,
    cache_proxy: Proxy,
    cuts: Cuts,
    /// Entry instances.
    pub instances: Vec<Instance>,
    folder: PathBuf,
    target_ms: u64,
    scenario: Scenario,
}

/// An entry instance; its process may be replaced.
pub struct Instance {
    /// Sends requests to this instance only.
    pub caller: Caller,
    /// Whether the platform's balancer would send requests to this instance.
    pub is_ready: AtomicBool,
    /// Locked while a fault affects the process.
    pub process: Mutex<Process>,
    addresses: Addresses,
}

/// The process of an instance.
pub struct Process {
    child: Child,
    daemon: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    cuts: Cuts,
}

impl Fixture {
    /// Starts a deployment with the program `daemon`, and waits until its instances are ready. Logs
    /// are written to `folder`.
    ///
    /// # Errors
    /// If something can't be started, or an instance is not ready in time.
    pub async fn start(
        daemon: &Path,
        folder: PathBuf,
        count: usize,
        scenario: Scenario,
    ) -> io::Result<Self> {
        fs::create_dir_all(&folder)?;
        let mut fixture = Self::servers(folder, scenario).await?;
        match scenario {
            Scenario::ShortBudgets => fixture.vary(1, &terms::initial()),
            _ => fixture.configure(1, None),
        }
        for number in 0..count {
            let instance = fixture.instance(daemon, number)?;
            fixture.instances.push(instance);
        }
        for instance in &fixture.instances {
            instance.wait_ready().await?;
        }
        Ok(fixture)
    }

    /// Starts the stand-ins and their proxies.
    async fn servers(folder: PathBuf, scenario: Scenario) -> io::Result<Self> {
        let (interval, target_ms) = match scenario {
            Scenario::Silences | Scenario::ShortBudgets => (LONG_EVENT_INTERVAL, SHORT_TARGET_MS),
            Scenario::Brittle => (LONG_EVENT_INTERVAL, TARGET_MS),
            _ => (EVENT_INTERVAL, TARGET_MS),
        };
        let cuts = Cuts::default();
        // Elsewhere the proxies need not search for the processes of connections.
        let applied = if scenario == Scenario::Cuts { cuts.clone() } else { Cuts::default() };
        let store = store::start().await?;
        let store_proxy = Proxy::start(store.address).await?;
        let cache = cache::start(CACHE_TOKENS).await?;
        let cache_proxy = Proxy::start_with(cache.address, applied.clone()).await?;
        let others = Peers::default();
        let (mut servers, mut proxies) = (Vec::new(), Vec::new());
        for number in 0..SERVERS {
            let engine =
                (number >= SERVERS_PER_KIND).then(|| engine(&cache, &cache_proxy, &others));
            let mut settings = server_settings(number, engine, interval, scenario);
            if scenario == Scenario::ShortBudgets {
                settings.service = split_service(&settings.service, number);
            }
            let server = server::start(settings, &store).await?;
            let proxy = Proxy::start_with(server.address, applied.clone()).await?;
            others.lock().insert(proxy.address, Arc::downgrade(&server.state()));
            server.register_at(&store, proxy.address);
            servers.push(server);
            proxies.push(proxy);
        }
        let instances = Vec::new();
        Ok(Self {
            store,
            store_proxy,
            servers,
            proxies,
            cache,
            cache_proxy,
            cuts,
            instances,
            folder,
            target_ms,
            scenario,
        })
    }

    fn instance(&self, daemon: &Path, number: usize) -> io::Result<Instance> {
        let addresses = Addresses::free()?;
        let settings = self.folder.join(format!("{number}.toml"));
        let name = instance_name(number);
        let text = document::settings(&name, &zone(number), &addresses, self.store_proxy.address);
        fs::write(&settings, text)?;
        let log = self.folder.join(format!("{number}.log"));
        let child = spawn(daemon, &settings, &log, &self.cuts)?;
        let (daemon, cuts) = (daemon.to_owned(), self.cuts.clone());
        let process = Process { child, daemon, settings, log, cuts };
        let callers = vec![addresses.callers];
        let caller = match self.scenario {
            Scenario::ShortBudgets => Caller::with_idle_limit(callers, CALLER_IDLE_LIMIT),
            _ => Caller::new(callers),
        };
        let caller = caller.map_err(io::Error::other)?;
        let is_ready = AtomicBool::new(false);
        Ok(Instance { caller, is_ready, process: Mutex::new(process), addresses })
    }

    /// Publishes a configuration with all organisations, one of which may be isolated.
    pub fn configure(&self, version: u64, isolated: Option<&str>) {
        self.publish(version, &ORGANISATIONS, isolated);
    }

    /// Publishes a configuration with the given organisations.
    pub fn publish(&self, version: u64, organisations: &[(&str, &str)], isolated: Option<&str>) {
        let mut configuration = self.deployment().configuration(version, organisations);
        for organisation in configuration["tenants"].as_array_mut().into_iter().flatten() {
            let is_isolated = isolated.is_some_and(|name| organisation["name"] == name);
            organisation["isolated"] = is_isolated.into();
        }
        self.store.put(CONFIGURATION_KEY, &configuration);
    }

    /// Publishes a configuration with all organisations and other settings of the routes. Every
    /// second version has one more organisation.
    pub fn vary(&self, version: u64, variation: &Variation) {
        let mut organisations = ORGANISATIONS.to_vec();
        if version.is_multiple_of(2) {
            organisations.push(CHANGING_ORGANISATION);
        }
        let configuration = self.deployment().varied(version, &organisations, variation);
        self.store.put(CONFIGURATION_KEY, &configuration);
    }

    fn deployment(&self) -> Deployment {
        Deployment {
            timeout_ms: 10_000,
            target_latency_ms: self.target_ms,
            gap_target_ms: self.target_ms,
            engine_slots: if self.scenario == Scenario::Brittle { FEW_SLOTS } else { SLOTS },
            engine_tokens: 20_000,
            token_bytes: 1_000,
            link_mbps: 100_000.0,
            cache: Some((self.cache_proxy.address, CACHE_TOKENS)),
        }
    }

    /// Servers of the same kind as a server.
    pub fn of_kind(&self, target: usize) -> &[server::Handle] {
        let first = target % self.servers.len() / SERVERS_PER_KIND * SERVERS_PER_KIND;
        &self.servers[first..first + SERVERS_PER_KIND]
    }

    /// The periods of the servers of each kind, for each time in which they were brittle.
    fn brittle_periods(&self) -> Vec<Vec<Period>> {
        let kinds = self.servers.chunks(SERVERS_PER_KIND).map(|servers| {
            servers.iter().map(|server| server.brittle_periods()).collect::<Vec<_>>()
        });
        let times = kinds.flat_map(|servers| {
            let count = servers.iter().map(Vec::len).max().unwrap_or(0);
            let time = move |number: usize| {
                servers.iter().filter_map(|periods| periods.get(number).cloned()).collect()
            };
            (0..count).map(time)
        });
        times.collect()
    }

    /// The model engines.
    pub fn engines(&self) -> &[server::Handle] {
        &self.servers[SERVERS_PER_KIND..]
    }

    /// Proxies in front of the model engines.
    pub fn engine_proxies(&self) -> &[Proxy] {
        &self.proxies[SERVERS_PER_KIND..]
    }

    /// A server, modulo their count.
    pub fn server(&self, target: usize) -> &server::Handle {
        &self.servers[target % self.servers.len()]
    }

    /// The other servers of the same service, modulo their count.
    pub fn others(&self, target: usize) -> impl Iterator<Item = &server::Handle> {
        let target = target % self.servers.len();
        let is_same = move |at: usize| at / SERVERS_PER_KIND == target / SERVERS_PER_KIND;
        let others = self.servers.iter().enumerate();
        others.filter(move |(at, _)| *at != target && is_same(*at)).map(|(_, server)| server)
    }

    /// Registers a server again, at the address of its proxy.
    pub fn register(&self, target: usize) {
        let address = self.proxies[target % self.proxies.len()].address;
        self.server(target).register_at(&self.store, address);
    }

    /// Makes the servers crash on these causes until dropped. One that crashes resets its
    /// connections, loses its entry and is back after a while under a new id.
    pub async fn crash_servers(&self, causes: impl Iterator<Item = Arc<crash::Cause>> + Clone) {
        let servers = self.servers.iter().zip(&self.proxies);
        let crashes = servers.map(async |(server, proxy)| {
            causes.clone().for_each(|cause| server.crash_on(cause));
            loop {
                server.crashed().await;
                proxy.set(Mode::Refuse);
                proxy.reset();
                server.unregister(&self.store);
                tokio::time::sleep(CRASH_TIME).await;
                server.restart_renamed();
                proxy.set(Mode::Pass);
                server.register_at(&self.store, proxy.address);
            }
        });
        join_all(crashes).await;
    }

    /// Number of instances that the metadata store lists.
    pub fn listed_instances(&self) -> usize {
        let key = |number| format!("{INSTANCES_KEY}/{}", instance_name(number));
        let instances = 0..self.instances.len();
        instances.filter(|number| self.store.value(&key(*number)).is_some()).count()
    }

    /// Observations of the servers.
    pub fn evidence(&self) -> Evidence {
        let wrong = self.engines().iter().map(|engine| engine.count(Counter::WrongPrefixRead));
        Evidence {
            seen: self.servers.iter().flat_map(|server| server.executions()).collect(),
            runs: self.servers.iter().flat_map(|server| server.ledger()).collect(),
            brittle: self.brittle_periods(),
            limits: self.servers.iter().flat_map(|server| server.limits()).collect(),
            wrong_parts: wrong.sum::<u64>() + self.cache.count(Counter::WrongBlockRead),
            ..Evidence::default()
        }
    }

    /// Polls the readiness of each instance until dropped. As on the platform, one positive answer
    /// makes an instance ready, and two negative answers in a row make it not ready.
    pub async fn watch_ready(&self) {
        let mut before = vec![true; self.instances.len()];
        loop {
            for (instance, before) in self.instances.iter().zip(&mut before) {
                let now = instance.caller.is_ready(instance.addresses.ready).await;
                if now || !*before {
                    instance.is_ready.store(now, Ordering::Relaxed);
                }
                *before = now;
            }
            tokio::time::sleep(POLL_INTERVAL * 5).await;
        }
    }
}

impl Instance {
    /// Waits until the instance is ready.
    ///
    /// # Errors
    /// If it is not ready in time.
    pub async fn wait_ready(&self) -> io::Result<()> {
        let end = Instant::now() + START_STOP_TIMEOUT;
        while !self.caller.is_ready(self.addresses.ready).await {
            if Instant::now() > end {
                return Err(io::Error::other("an instance was not ready in time; see its log"));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        self.is_ready.store(true, Ordering::Relaxed);
        Ok(())
    }
}

impl Process {
    /// Sends a signal.
    ///
    /// # Errors
    /// If the process has ended.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        Ok(kill_process(Pid::from_child(&self.child), signal)?)
    }

    /// Cuts the process off all servers for a while.
    pub async fn cut(&self, cut: Cut, length: Duration) {
        self.cuts.set(self.child.id(), cut);
        tokio::time::sleep(length).await;
        self.cuts.heal(self.child.id());
    }

    /// Kills the process and starts it again after a pause.
    ///
    /// # Errors
    /// If the process can't be killed or started.
    pub async fn kill(&mut self, pause: Duration) -> io::Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        tokio::time::sleep(pause).await;
        self.restart()
    }

    /// Stops the process gracefully and starts it again.
    ///
    /// # Errors
    /// If the process does not stop in time, exits with an error, or can't be started.
    pub async fn replace(&mut self) -> io::Result<()> {
        self.signal(Signal::TERM)?;
        let end = Instant::now() + START_STOP_TIMEOUT;
        let status = loop {
            match self.child.try_wait()? {
                Some(status) => break status,
                None if Instant::now() > end => {
                    return Err(io::Error::other("an instance did not stop in time"));
                }
                None => tokio::time::sleep(POLL_INTERVAL).await,
            }
        };
        if !status.success() {
            return Err(io::Error::other(format!("an instance ended with {status}")));
        }
        self.restart()
    }

    fn restart(&mut self) -> io::Result<()> {
        self.cuts.remove(self.child.id());
        self.child = spawn(&self.daemon, &self.settings, &self.log, &self.cuts)?;
        Ok(())
    }

    /// Rewrites the settings file and signals the process to reload it.
    ///
    /// # Errors
    /// If the file can't be written or the process has ended.
    pub fn reload(&self) -> io::Result<()> {
        let text = fs::read_to_string(&self.settings)?;
        fs::write(&self.settings, text)?;
        self.signal(Signal::HUP)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // The process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn spawn(daemon: &Path, settings: &Path, log: &Path, cuts: &Cuts) -> io::Result<Child> {
    let log = File::options().create(true).append(true).open(log)?;
    let child = Command::new(daemon)
        .arg("--platform")
        .env("ACACIAARCH_SETTINGS", settings)
        .stdout(log)
        .stderr(Stdio::inherit())
        .spawn()?;
    cuts.register(child.id());
    Ok(child)
}

fn engine(cache: &cache::Handle, proxy: &Proxy, others: &Peers) -> Engine {
    Engine {
        model: MODEL.to_owned(),
        load_time: Duration::from_millis(300),
        caches: vec![(proxy.address, cache.state())],
        peers: others.clone(),
        performance: Performance {
            prefill_per_token: Duration::from_micros(20),
            fetch_per_token: Duration::from_micros(2),
            cache_tokens: 20_000,
        },
    }
}

fn server_settings(
    number: usize,
    engine: Option<Engine>,
    interval: Duration,
    scenario: Scenario,
) -> server::Settings {
    let (slots, queue, latency) = match scenario {
        Scenario::Brittle => (FEW_SLOTS, LONG_QUEUE, LONG_LATENCY),
        _ => (SLOTS, SLOTS, interval),
    };
    let latency = if engine.is_some() { interval } else { latency };
    let service = if engine.is_some() { "llm" } else { "app" };
    server::Settings {
        id: format!("{service}-{number}"),
        service: service.to_owned(),
        zone: zone(number),
        latency,
        slots,
        queue,
        engine,
    }
}

/// The service of a server where every second pair of servers has a split service.
fn split_service(service: &str, number: usize) -> String {
    let split = SPLIT_SERVICES.iter().find(|(_, copied)| *copied == service);
    let name = split.filter(|_| number % SERVERS_PER_KIND >= SERVERS_PER_KIND / 2);
    name.map_or(service, |(name, _)| name).to_owned()
}

fn zone(number: usize) -> String {
    format!("z{}", 1 + number % 2)
}

/// Name of an instance.
fn instance_name(number: usize) -> String {
    format!("instance-{number}")
}
