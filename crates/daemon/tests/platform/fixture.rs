//! A small deployment of stand-in platform services and `acaciad` processes.

use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use acacia_standin::cut::{Cut, Cuts};
use acacia_standin::platform::document::{
    self, Addresses, CONFIGURATION_KEY, Deployment, MODEL, Machine,
};
use acacia_standin::platform::server::{self, Engine, Execution, Peers, Performance, Settings};
use acacia_standin::platform::{cache, rollout, store};
use acacia_standin::proxy::Proxy;
use parking_lot::Mutex;
use serde_json::{Value, json};
use tokio::io::{AsyncWrite, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::caller::try_call;
pub use crate::caller::{Answer, Caller, call, request_head};
use crate::raw;

/// Timeout of waits in tests; not a bound on the system's behaviour.
pub const TIMEOUT: Duration = Duration::from_secs(30);
/// Deadline of requests to raw upstreams, some of which never end their answers.
const RAW_DEADLINE_MS: u32 = 1_500;
/// Latency target of a deployment whose instances soon ask a second upstream.
const SHORT_TARGET_MS: u64 = 1_000;
/// Gap target of such a deployment.
const SHORT_GAP_MS: u64 = 100;
/// Events per stream.
const EVENTS: u32 = 8;
/// Concurrent requests per server.
const SLOTS: usize = 8;
/// Queued requests per server.
const QUEUE: usize = 100;

/// The deployment.
pub struct Fixture {
    pub store: store::Handle,
    pub services: Vec<server::Handle>,
    pub engines: Vec<server::Handle>,
    pub cache: cache::Handle,
    instances: Vec<Instance>,
    /// Limits that the instances' settings state.
    machine: Option<Machine>,
    /// Cuts between instances and the plain services behind proxies.
    service_cuts: Cuts,
    /// The same for engines.
    engine_cuts: Cuts,
    proxies: Vec<Proxy>,
    peers: Peers,
    /// Bounds in a deployment that has rollouts.
    rollouts: Option<rollout::Bounds>,
}

struct Instance {
    process: Mutex<Child>,
    address: SocketAddr,
    ready: SocketAddr,
    folder: PathBuf,
}

impl Fixture {
    /// Starts the stand-in services and `count` instances, and waits until the instances are ready.
    pub async fn start(count: usize) -> Self {
        let mut fixture = Self::upstreams().await;
        fixture.start_instances(count).await;
        fixture
    }

    /// Starts as [`Self::start`] does, with a metadata store that `prepare` has changed.
    #[allow(dead_code, reason = "the tests of crowds change nothing in the store")]
    pub async fn start_prepared(count: usize, prepare: impl FnOnce(&store::Handle)) -> Self {
        let mut fixture = Self::upstreams().await;
        prepare(&fixture.store);
        fixture.start_instances(count).await;
        fixture
    }

    /// Starts as [`Self::start`] does, a deployment that has rollouts with these bounds.
    pub async fn start_with_rollouts(count: usize, bounds: rollout::Bounds) -> Self {
        let mut fixture = Self::upstreams().await;
        fixture.rollouts = Some(bounds);
        fixture.start_instances(count).await;
        fixture
    }

    /// Starts as [`Self::start`] does, with a proxy in front of each server and engine, so that
    /// instances can be cut off.
    pub async fn start_behind_proxies(count: usize) -> Self {
        let mut fixture = Self::upstreams().await;
        let services = fixture.services.iter().map(|server| (server, &fixture.service_cuts));
        let engines = fixture.engines.iter().map(|server| (server, &fixture.engine_cuts));
        for (server, cuts) in services.chain(engines) {
            let proxy = Proxy::start_with(server.address, cuts.clone()).await.unwrap();
            server.register_at(&fixture.store, proxy.address);
            fixture.peers.lock().insert(proxy.address, Arc::downgrade(&server.state()));
            fixture.proxies.push(proxy);
        }
        fixture.start_instances(count).await;
        fixture
    }

    /// Starts the stand-in services.
    async fn upstreams() -> Self {
        let store = store::start().await.unwrap();
        let cache = cache::start(100_000).await.unwrap();
        let peers = Peers::default();
        let mut services = Vec::new();
        let mut engines = Vec::new();
        for number in 0..3 {
            let settings = settings(&format!("app-{number}"), "app", None);
            services.push(server::start(settings, &store).await.unwrap());
            let engine = Engine {
                model: MODEL.to_owned(),
                load_time: Duration::from_millis(50),
                caches: vec![(cache.address, cache.state())],
                peers: peers.clone(),
                performance: Performance::default(),
            };
            let settings = engine_settings(&format!("llm-{number}"), engine);
            engines.push(server::start(settings, &store).await.unwrap());
        }
        // Malformed entries must be ignored.
        store.put("servers/forged-1", &json!("no object"));
        store.put("servers/forged-2", &json!({"service": "app", "state": "ready"}));
        let fixture = Self {
            store,
            services,
            engines,
            cache,
            instances: Vec::new(),
            machine: None,
            service_cuts: Cuts::default(),
            engine_cuts: Cuts::default(),
            proxies: Vec::new(),
            peers,
            rollouts: None,
        };
        fixture.store.put(CONFIGURATION_KEY, &fixture.configuration(1, "key-1"));
        fixture
    }

    /// Starts as [`Self::start`] does, one instance whose settings state the limits of its machine.
    #[allow(dead_code, reason = "only the tests of crowds state the machine")]
    pub async fn start_on(machine: Machine) -> Self {
        let mut fixture = Self::upstreams().await;
        fixture.machine = Some(machine);
        fixture.start_instances(1).await;
        fixture
    }

    /// Starts as [`Self::start`] does, one instance beside others that the metadata store lists at
    /// these addresses for messages.
    pub async fn start_beside(peers: &[SocketAddr]) -> Self {
        let mut fixture = Self::upstreams().await;
        for (number, peer) in peers.iter().enumerate() {
            let presence = json!({"peer": peer.to_string(), "zone": "z1"});
            fixture.store.put(&format!("acacia/instances/other-{number}"), &presence);
        }
        fixture.start_instances(1).await;
        fixture
    }

    /// Stops an instance as planned, and starts it again at other addresses.
    pub async fn restart(&mut self, instance: usize) {
        self.terminate(instance);
        eventually("the instance has ended", async || self.has_ended(instance)).await;
        self.all_cuts().for_each(|cuts| cuts.remove(self.process_id(instance)));
        self.instances[instance] = self.start_instance(instance, self.store.address);
        eventually("the instance is ready", async || self.is_ready(instance).await).await;
    }

    /// Starts instances and waits until they are ready.
    async fn start_instances(&mut self, count: usize) {
        self.start_instances_at(count, self.store.address).await;
    }

    /// Starts instances that reach the metadata store at this address, and waits until they are ready.
    pub async fn start_instances_at(&mut self, count: usize, store: SocketAddr) {
        let started: Vec<_> = (0..count).map(|number| self.start_instance(number, store)).collect();
        self.instances = started;
        for number in 0..count {
            eventually("the instance is ready", async || self.is_ready(number).await).await;
        }
    }

    /// Cuts an instance off all upstreams behind proxies.
    pub fn cut(&self, instance: usize, cut: Cut) {
        self.service_cuts.set(self.process_id(instance), cut);
        self.cut_engines(instance, cut);
    }

    /// Cuts an instance off the engines behind proxies.
    pub fn cut_engines(&self, instance: usize, cut: Cut) {
        self.engine_cuts.set(self.process_id(instance), cut);
    }

    /// Ends the cut of an instance.
    pub fn heal(&self, instance: usize) {
        self.all_cuts().for_each(|cuts| cuts.heal(self.process_id(instance)));
    }

    fn all_cuts(&self) -> impl Iterator<Item = &Cuts> {
        [&self.service_cuts, &self.engine_cuts].into_iter()
    }

    /// Id of an instance's process.
    pub fn process_id(&self, instance: usize) -> u32 {
        self.instances[instance].process.lock().id()
    }

    /// Lines of an instance's log that contain all these texts.
    pub fn logged(&self, instance: usize, texts: &[&str]) -> usize {
        let log = fs::read_to_string(self.instances[instance].folder.join("log")).unwrap();
        log.lines().filter(|line| texts.iter().all(|text| line.contains(text))).count()
    }

    fn start_instance(&self, number: usize, store: SocketAddr) -> Instance {
        static FOLDERS: AtomicU32 = AtomicU32::new(0);
        let folder = std::env::temp_dir().join(format!(
            "acacia-platform-{}-{}",
            std::process::id(),
            FOLDERS.fetch_add(1, Ordering::Relaxed)
        ));
        fs::create_dir_all(&folder).unwrap();
        let addresses = Addresses::free().unwrap();
        let name = format!("instance-{number}");
        let mut text = document::settings_with(&name, "z1", &addresses, store, self.rollouts);
        text.extend(self.machine.iter().map(Machine::section));
        let path = folder.join("boot.toml");
        fs::write(&path, text).unwrap();
        let log = fs::File::create(folder.join("log")).unwrap();
        let process = Command::new(env!("CARGO_BIN_EXE_acaciad"))
            .arg("--platform")
            .env("ACACIAARCH_SETTINGS", &path)
            .stdout(log)
            .stderr(Stdio::inherit())
            .spawn()
            .unwrap();
        self.all_cuts().for_each(|cuts| cuts.register(process.id()));
        Instance {
            process: Mutex::new(process),
            address: addresses.callers,
            ready: addresses.ready,
            folder,
        }
    }

    /// Kills all instances at the same time, and starts as many new ones.
    pub async fn kill_instances(&mut self) {
        let count = self.instances.len();
        for instance in std::mem::take(&mut self.instances) {
            self.all_cuts().for_each(|cuts| cuts.remove(instance.process.lock().id()));
        }
        self.start_instances(count).await;
    }

    /// An instance's address for callers.
    pub fn address(&self, instance: usize) -> SocketAddr {
        self.instances[instance].address
    }

    /// Sends a prompt whose stream can be resumed.
    pub async fn send_prompt(&self, instance: usize, id: &str) -> Answer {
        call(self.address(instance), "POST", "/ask/", &self.prompt(id, 1), b"x").await
    }

    /// Sends a prompt with the shared part of the given number.
    pub async fn send_prompt_about(&self, instance: usize, subject: usize) -> Answer {
        let mut headers = self.prompt("subject", 1);
        headers.retain(|(name, _)| *name != "x-prompt-prefix");
        headers.push(("x-prompt-prefix", format!("b{subject}:4000,1:1000")));
        call(self.address(instance), "POST", "/ask/", &headers, b"x").await
    }

    /// Adds an upstream that sends given bytes.
    pub fn register(&self, raw: &raw::Server, service: &str) {
        self.store.put(&format!("servers/{}", raw.id), &raw.entry(service));
    }

    /// Adds an upstream that sends given bytes, behind a proxy, so that instances can be cut off.
    pub async fn register_behind_proxy(&mut self, raw: &raw::Server, service: &str) {
        let cuts = if service == "llm" { &self.engine_cuts } else { &self.service_cuts };
        let mut entry = raw.entry(service);
        let address = entry["address"].as_str().unwrap().parse().unwrap();
        let proxy = Proxy::start_with(address, cuts.clone()).await.unwrap();
        entry["address"] = json!(proxy.address);
        self.store.put(&format!("servers/{}", raw.id), &entry);
        self.proxies.push(proxy);
    }

    /// Removes an upstream that sends given bytes.
    pub fn unregister(&self, raw: &raw::Server) {
        self.unregister_id(&raw.id);
    }

    /// Removes the engines.
    pub fn unregister_engines(&self) {
        self.engines.iter().for_each(|engine| self.unregister_id(&engine.id()));
    }

    /// Removes the plain services.
    pub fn unregister_services(&self) {
        self.services.iter().for_each(|service| self.unregister_id(&service.id()));
    }

    fn unregister_id(&self, id: &str) {
        self.store.remove(&format!("servers/{id}"));
    }

    /// Sends requests to `path` until one reaches the upstream, and returns its answer.
    pub async fn answer_of(&self, raw: &raw::Server, path: &str) -> Answer {
        let before = raw.requests().len();
        let mut answer = None;
        eventually("the raw upstream gets a request", async || {
            answer = Some(call(self.address(0), "POST", path, &self.raw_prompt(), b"x").await);
            raw.requests().len() > before
        })
        .await;
        answer.unwrap()
    }

    /// Shortens the latency and gap targets, so that instances soon ask a second upstream beside
    /// one that does not respond.
    pub fn shorten_targets(&self) {
        let deployment = Deployment {
            target_latency_ms: SHORT_TARGET_MS,
            gap_target_ms: SHORT_GAP_MS,
            ..self.deployment()
        };
        self.store.put(CONFIGURATION_KEY, &deployment.configuration(2, &[("acme", "key-1")]));
    }

    /// Headers of a prompt for an upstream that sends given bytes.
    fn raw_prompt(&self) -> Vec<(&'static str, String)> {
        let mut headers = self.prompt("raw-prompt", 1);
        headers.retain(|(name, _)| *name != "x-deadline-ms");
        headers.push(("x-deadline-ms", RAW_DEADLINE_MS.to_string()));
        headers
    }

    /// Sends a prompt in HTTP/1.0 to the first instance and reads until the connection ends.
    pub async fn send_http_1_0(
        &self,
        path: &str,
        received: &mut (impl AsyncWrite + Unpin),
    ) -> io::Result<u64> {
        let mut stream = TcpStream::connect(self.address(0)).await?;
        let mut head = format!("POST {path} HTTP/1.0\r\ncontent-length: 1\r\n");
        for (name, value) in self.raw_prompt() {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        stream.write_all(format!("{head}\r\nx").as_bytes()).await?;
        tokio::io::copy(&mut stream, received).await
    }

    /// Headers of a request.
    pub fn headers(&self, id: &str) -> Vec<(&'static str, String)> {
        vec![
            ("host", "app.example".to_owned()),
            ("x-request-id", id.to_owned()),
            ("x-deadline-ms", "20000".to_owned()),
            ("x-tenant", "forged".to_owned()),
            ("authorization", "Bearer key-1".to_owned()),
        ]
    }

    /// Headers of a request with a prompt whose last part has the number `own`.
    pub fn prompt(&self, id: &str, own: usize) -> Vec<(&'static str, String)> {
        let mut headers = self.headers(id);
        headers.push(("x-model", "m".to_owned()));
        headers.push(("x-token-usage", format!("5000,{EVENTS}")));
        headers.push(("x-prompt-prefix", format!("aa:4000,{own:x}:1000")));
        headers
    }

    /// Ids of all events of a complete stream.
    pub fn all_events(&self) -> Vec<u32> {
        (1..=EVENTS).collect()
    }

    /// All requests that ran at any server.
    pub fn seen(&self) -> Vec<Execution> {
        self.services.iter().chain(&self.engines).flat_map(|server| server.executions()).collect()
    }

    /// Number of times that a request ran.
    pub fn runs(&self, id: &str) -> usize {
        self.seen().iter().filter(|seen| seen.id == id).count()
    }

    /// Weight versions of the engines.
    pub fn weights(&self) -> Vec<u64> {
        self.engines.iter().map(|engine| engine.weights()).collect()
    }

    /// Whether an instance reports that it is ready.
    pub async fn is_ready(&self, instance: usize) -> bool {
        let ready = self.instances[instance].ready;
        let headers = [("host", "x".to_owned())];
        try_call(ready, "GET", "/acaciaarch/readyz", &headers, b"")
            .await
            .is_some_and(|answer| answer.status == 200)
    }

    /// Sends SIGTERM to an instance.
    pub fn terminate(&self, instance: usize) {
        self.signal(instance, "-TERM");
    }

    /// Kills an instance.
    pub fn kill(&self, instance: usize) {
        self.signal(instance, "-KILL");
    }

    /// Makes an instance read its settings again.
    pub fn reload(&self, instance: usize) {
        self.signal(instance, "-HUP");
    }

    /// Sends a signal to an instance.
    pub fn signal(&self, instance: usize, signal: &str) {
        let id = self.process_id(instance).to_string();
        assert!(Command::new("kill").args([signal, &id]).status().unwrap().success());
    }

    /// Peak of the memory that an instance's process has used.
    pub fn peak_memory_kib(&self, instance: usize) -> u64 {
        let id = self.process_id(instance);
        let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap();
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
        peak.trim().trim_end_matches(" kB").parse().unwrap()
    }

    /// Whether an instance's process has ended.
    pub fn has_ended(&self, instance: usize) -> bool {
        self.instances[instance].process.lock().try_wait().unwrap().is_some()
    }

    /// Stops the deployment.
    pub async fn stop(self) {
        drop(self);
    }

    /// A configuration with one organisation, which has one API key.
    pub fn configuration(&self, version: u64, key: &str) -> Value {
        self.deployment().configuration(version, &[("acme", key)])
    }

    /// A configuration with these organisations and their keys.
    #[allow(dead_code, reason = "the tests of crowds have one organisation")]
    pub fn configuration_of(&self, version: u64, organisations: &[(&str, &str)]) -> Value {
        self.deployment().configuration(version, organisations)
    }

    fn deployment(&self) -> Deployment {
        Deployment {
            timeout_ms: 20_000,
            target_latency_ms: 2_000,
            gap_target_ms: 2_000,
            engine_slots: SLOTS,
            engine_tokens: 12_000,
            token_bytes: 1_000,
            link_mbps: 100_000.0,
            cache: Some((self.cache.address, 100_000)),
        }
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        let mut process = self.process.lock();
        if matches!(process.try_wait(), Ok(None)) {
            // Fails if the process ends by itself between the two calls.
            let _ = process.kill();
            let _ = process.wait();
        }
        if std::thread::panicking() {
            eprintln!("the instance's log is in {}", self.folder.display());
        } else {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

fn settings(id: &str, service: &str, engine: Option<Engine>) -> Settings {
    Settings {
        id: id.to_owned(),
        service: service.to_owned(),
        zone: "z1".to_owned(),
        latency: Duration::from_millis(5),
        slots: SLOTS,
        queue: QUEUE,
        engine,
    }
}

fn engine_settings(id: &str, engine: Engine) -> Settings {
    settings(id, "llm", Some(engine))
}

/// Waits until a condition holds.
pub async fn eventually(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let end = tokio::time::Instant::now() + TIMEOUT;
    while !condition().await {
        assert!(tokio::time::Instant::now() < end, "timeout: {what}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
