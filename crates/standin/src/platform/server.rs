//! A plain service or a model engine that registers itself in the metadata store.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Weak};
use std::time::Duration;

use bytes::Bytes;
use futures::{StreamExt, stream};
use http::{Method, StatusCode};
use parking_lot::Mutex;
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::sync::watch;
use tokio::time::Instant;

use super::brittle::Period;
use super::limit::Limit;
use super::memory::Memory;
use super::release::{Release, Symptom};
use super::run::{End, Entry, Ledger, Run};
use super::{cache, crash, store};
use crate::counter::{Counter, Tally};
use crate::exchange::{Answer, Call, Disconnect, Reply};
use crate::fault::Fault;
use crate::host::{self, Standin, consume};
use crate::pace::Pace;
use crate::slots::{Slot, Slots};

/// Software version of a server that is of no other one.
const SOFTWARE: &str = "v1";

/// A running server.
pub type Handle = host::Handle<State>;

/// Settings of a server.
#[derive(Clone)]
pub struct Settings {
    /// Instance id.
    pub id: String,
    /// Name of its service.
    pub service: String,
    /// Availability zone.
    pub zone: String,
    /// Run time of a plain request, and time between two events of a stream.
    pub latency: Duration,
    /// Maximum of requests that run concurrently.
    pub slots: usize,
    /// Maximum of requests that wait for a slot; further requests are refused.
    pub queue: usize,
    /// Settings of an engine; none for a plain service.
    pub engine: Option<Engine>,
}

/// Settings of an engine.
#[derive(Clone)]
pub struct Engine {
    /// Name of the model.
    pub model: String,
    /// Time to load new weights.
    pub load_time: Duration,
    /// KV cache stores that the engine can save to and fetch from.
    pub caches: Vec<(SocketAddr, Arc<cache::State>)>,
    /// Engines that the engine can fetch from.
    pub peers: Peers,
    /// Speed and cache capacity.
    pub performance: Performance,
}

/// Speed and cache capacity of an engine.
#[derive(Clone, Copy, Debug)]
pub struct Performance {
    /// Prefill time of one prompt token; prompts are computed sequentially.
    pub prefill_per_token: Duration,
    /// Transfer time of one token; transfers run sequentially.
    pub fetch_per_token: Duration,
    /// Cache capacity, in tokens.
    pub cache_tokens: u64,
}

impl Default for Performance {
    fn default() -> Self {
        Self {
            prefill_per_token: Duration::ZERO,
            fetch_per_token: Duration::ZERO,
            cache_tokens: u64::MAX,
        }
    }
}

/// Engines of a service by address.
pub type Peers = Arc<Mutex<BTreeMap<SocketAddr, Weak<State>>>>;

/// A request that a server executed.
#[derive(Clone, Debug, Default)]
pub struct Execution {
    /// Id of the request.
    pub id: String,
    /// Organisation on whose behalf it was sent.
    pub organisation: String,
    /// Credentials of the organisation, which must not reach a server.
    pub key: String,
    /// Method and path.
    pub target: String,
    /// Body as received.
    pub body: Bytes,
    /// Weight version that the request expected.
    pub weights: String,
    /// Namespace of its cached prompt parts.
    pub salt: String,
    /// Sources to fetch prompt parts from.
    pub fetch: String,
    /// Id of the event after which the stream resumed.
    pub last_event: String,
}

/// Serves a server on a free loopback port and registers it in `store`.
///
/// # Errors
/// If no port can be bound.
pub async fn start(settings: Settings, store: &store::Handle) -> std::io::Result<Handle> {
    start_release(settings, Release::new(SOFTWARE), store).await
}

/// Starts as [`start`] does, a server of this software version.
///
/// # Errors
/// If no port can be bound.
pub async fn start_release(
    settings: Settings,
    release: Arc<Release>,
    store: &store::Handle,
) -> std::io::Result<Handle> {
    let state = Arc::new(State {
        tally: Tally::default(),
        weights: AtomicU64::new(1),
        orders: AtomicU64::new(0),
        loading: AtomicBool::new(false),
        leaving: AtomicBool::new(false),
        pause_ms: AtomicU64::new(0),
        born: AtomicU64::new(1),
        fence: AtomicU64::new(0),
        failures: AtomicU32::new(0),
        closing: AtomicBool::new(false),
        silent_until: watch::Sender::default(),
        ledger: Arc::default(),
        crash_causes: Mutex::default(),
        limits: Mutex::default(),
        brittle: Mutex::default(),
        is_crashed: watch::Sender::default(),
        renames: AtomicU32::new(0),
        broken: Mutex::default(),
        executions: Mutex::default(),
        run_counts: Mutex::default(),
        memory: Mutex::default(),
        slots: Slots::new(settings.slots),
        prefill_pace: Pace::default(),
        link: Pace::default(),
        release,
        settings,
    });
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let handle = host::Handle::start(state, any, any).await?;
    if let Some(engine) = &handle.settings.engine {
        engine.peers.lock().insert(handle.address, Arc::downgrade(&handle.state()));
    }
    handle.register(store);
    Ok(handle)
}

/// State of a server.
pub struct State {
    settings: Settings,
    tally: Tally,
    weights: AtomicU64,
    orders: AtomicU64,
    loading: AtomicBool,
    leaving: AtomicBool,
    pause_ms: AtomicU64,
    born: AtomicU64,
    fence: AtomicU64,
    failures: AtomicU32,
    closing: AtomicBool,
    silent_until: watch::Sender<Option<Instant>>,
    ledger: Arc<Ledger>,
    crash_causes: Mutex<Vec<Arc<crash::Cause>>>,
    limits: Mutex<Vec<Limit>>,
    brittle: Mutex<Vec<Period>>,
    is_crashed: watch::Sender<bool>,
    renames: AtomicU32,
    broken: Mutex<Option<(u32, u32)>>,
    executions: Mutex<Vec<Execution>>,
    run_counts: Mutex<BTreeMap<String, u32>>,
    memory: Mutex<Memory>,
    slots: Arc<Slots>,
    prefill_pace: Pace,
    link: Pace,
    release: Arc<Release>,
}

impl Handle {
    /// Registers the server in the metadata store.
    pub fn register(&self, store: &store::Handle) {
        self.register_at(store, self.address);
    }

    /// Removes the server from the metadata store.
    pub fn unregister(&self, store: &store::Handle) {
        store.remove(&format!("servers/{}", self.id()));
    }

    /// Registers the server under another address, such as that of a proxy.
    pub fn register_at(&self, store: &store::Handle, address: SocketAddr) {
        store.put(&format!("servers/{}", self.id()), &self.entry(address));
    }
}

impl State {
    /// The instance id.
    pub fn id(&self) -> String {
        let id = &self.settings.id;
        match self.renames.load(Ordering::Relaxed) {
            0 => id.clone(),
            count => format!("{id}-{count}"),
        }
    }

    /// Crashes from now on before it answers a request with this cause.
    pub fn crash_on(&self, cause: Arc<crash::Cause>) {
        self.crash_causes.lock().push(cause);
    }

    /// Waits until the server crashes. Its connections are then to be reset and its entry removed.
    pub async fn crashed(&self) {
        // The sender lives as long as `self`.
        let _ = self.is_crashed.subscribe().wait_for(|is_crashed| *is_crashed).await;
    }

    /// The rate limits that it has stated, with the requests that arrived meanwhile.
    pub fn limits(&self) -> Vec<Limit> {
        self.limits.lock().clone()
    }

    /// States a rate limit from now on, or none.
    fn set_limit(&self, rate: Option<f64>) {
        let mut limits = self.limits.lock();
        if let Some(last) = limits.last_mut() {
            last.until.get_or_insert_with(Instant::now);
        }
        limits.extend(rate.map(Limit::new));
    }

    /// Records the arrival of a request; the rate limit that its answer states.
    fn count_arrival(&self) -> Option<f64> {
        let mut limits = self.limits.lock();
        let limit = limits.last_mut().filter(|limit| limit.until.is_none())?;
        limit.arrivals.push(Instant::now());
        Some(limit.rate)
    }

    /// The periods in which it was brittle.
    pub fn brittle_periods(&self) -> Vec<Period> {
        self.brittle.lock().clone()
    }

    /// States from now on how many refusals it bears in a second, or nothing of the kind.
    fn set_brittle(&self, tolerance: Option<usize>, queue: usize) {
        let mut periods = self.brittle.lock();
        if let Some(last) = periods.last_mut() {
            last.until.get_or_insert_with(Instant::now);
        }
        periods.extend(tolerance.map(|tolerance| Period::new(tolerance, queue)));
    }

    /// The refusals that it bears in a second, if it is brittle.
    fn tolerance(&self) -> Option<usize> {
        let periods = self.brittle.lock();
        periods.last().filter(|period| period.until.is_none()).map(|period| period.tolerance)
    }

    /// Whether there is room for one more request.
    fn has_room(&self) -> bool {
        let periods = self.brittle.lock();
        let period = periods.last().filter(|period| period.until.is_none());
        let queue = period.map_or(self.settings.queue, |p| p.queue(self.settings.queue));
        !self.slots.is_full() || self.slots.waiting() < queue
    }

    /// Records a refusal for want of room, under which a brittle server may fall over.
    fn count_refusal(&self, id: &str) {
        self.tally.count(Counter::Refused);
        let mut periods = self.brittle.lock();
        let period = periods.last_mut().filter(|period| period.until.is_none());
        if !*self.is_crashed.borrow() && period.is_some_and(|period| period.refuse(id)) {
            self.is_crashed.send_replace(true);
        }
    }

    /// Requests executed so far.
    pub fn executions(&self) -> Vec<Execution> {
        self.executions.lock().clone()
    }

    /// Number of executions per request id.
    pub fn runs(&self) -> BTreeMap<String, u32> {
        self.run_counts.lock().clone()
    }

    /// Runs so far, with the times of what was sent and of their ends.
    pub fn ledger(&self) -> Vec<Run> {
        self.ledger.runs()
    }

    /// Version of the loaded weights.
    pub fn weights(&self) -> u64 {
        self.weights.load(Ordering::Relaxed)
    }

    /// Number of accepted orders.
    pub fn orders(&self) -> u64 {
        self.orders.load(Ordering::Relaxed)
    }

    /// Makes the next `times` requests fail with status 500.
    pub fn fail_next(&self, times: u32) {
        self.failures.store(times, Ordering::Relaxed);
    }

    /// Begins a new incarnation as in [`Self::restart`], under a new id.
    pub fn restart_renamed(&self) {
        self.renames.fetch_add(1, Ordering::Relaxed);
        self.restart();
        self.is_crashed.send_replace(false);
    }

    /// Begins a new incarnation, which is not leaving and knows nothing but its weights. The entry
    /// must be registered again.
    pub fn restart(&self) {
        self.leaving.store(false, Ordering::Relaxed);
        self.born.fetch_add(1, Ordering::Relaxed);
        self.orders.store(0, Ordering::Relaxed);
        self.fence.store(0, Ordering::Relaxed);
        *self.memory.lock() = Memory::default();
    }

    fn entry(&self, address: SocketAddr) -> Value {
        let state = if self.leaving.load(Ordering::Relaxed) { "draining" } else { "ready" };
        let mut entry = json!({
            "service": self.settings.service,
            "address": address,
            "zone": self.settings.zone,
            "version": self.release.version(),
            "slots": self.settings.slots,
            "state": state,
            "cold_left_ms": 0,
            "sequence": 1,
            "born": self.born.load(Ordering::Relaxed),
        });
        if let Some(models) = self.models() {
            entry["stage"] = json!("colocated");
            entry["models"] = models;
        }
        entry
    }

    fn models(&self) -> Option<Value> {
        let engine = self.settings.engine.as_ref()?;
        Some(json!([{"name": engine.model, "version": self.weights(), "adapters": []}]))
    }

    async fn run(self: Arc<Self>, call: &Call) -> Reply {
        let mut causes = self.crash_causes.lock().clone();
        causes.retain(|cause| cause.is_in(call));
        causes.iter().for_each(|cause| cause.arrived());
        self.check(call)?;
        if !self.has_room() {
            self.count_refusal(call.header("x-request-id"));
            return Err(not_run());
        }
        let priority = call.header("x-request-priority").parse().unwrap_or(0);
        let slot = self.slots.take(priority).await;
        // The weights may have changed while the request waited.
        self.check(call)?;
        let entry = self.begin(call);
        if let Some(engine) = &self.settings.engine {
            self.prefill(engine, call).await;
        }
        let symptom = self.release.draw(call);
        let latency = symptom.map_or(self.settings.latency, |it| it.latency(self.settings.latency));
        tokio::time::sleep(latency).await;
        self.wait_for_end_of_silence(&entry).await;
        if symptom.is_some() {
            self.release.fail();
        }
        if !causes.is_empty() {
            self.crash(&causes);
            std::future::pending::<()>().await;
        }
        if consume(&self.failures) || symptom == Some(Symptom::Failure) {
            entry.end(End::Answered);
            let body = "injected server failure";
            return Ok(
                Answer::bytes(StatusCode::INTERNAL_SERVER_ERROR, body).with("x-response-seal", "s")
            );
        }
        let answer = match &self.settings.engine {
            Some(_) => {
                let answer = self.clone().stream(slot, call, entry, latency);
                answer.with("x-weight-versions", self.weights())
            }
            None => {
                let body = format!("{} {} {}", call.method, call.path, call.body.len());
                entry.sent();
                entry.end(End::Answered);
                Answer::bytes(StatusCode::OK, body)
            }
        };
        Ok(answer.with("x-response-seal", "s"))
    }

    /// Records the begin of a run.
    fn begin(&self, call: &Call) -> Entry {
        let id = call.header("x-request-id").to_owned();
        *self.run_counts.lock().entry(id.clone()).or_default() += 1;
        self.tally.count(Counter::Started);
        let weights = self.settings.engine.as_ref().map(|_| self.weights());
        let entry = self.ledger.begin(id.clone(), weights);
        self.executions.lock().push(Execution {
            id,
            organisation: call.header("x-tenant").to_owned(),
            key: call.header("authorization").to_owned(),
            target: format!("{} {}", call.method, call.path),
            body: call.body.clone(),
            weights: call.header("x-expect-version").to_owned(),
            salt: call.header("x-cache-salt").to_owned(),
            fetch: call.header("x-kv-fetch").to_owned(),
            last_event: call.header("last-event-id").to_owned(),
        });
        entry
    }

    /// Refuses requests for another server or weight version, and all requests while loading.
    fn check(&self, call: &Call) -> Result<(), Answer> {
        let other = |name, actual: &str| !["", actual].contains(&call.header(name));
        let weights = self.weights().to_string();
        if other("x-expect-instance", &self.id()) || other("x-expect-version", &weights) {
            return Err(Answer::bytes(StatusCode::MISDIRECTED_REQUEST, ""));
        }
        if self.loading.load(Ordering::Relaxed) {
            return Err(not_run());
        }
        let pause_ms = self.pause_ms.load(Ordering::Relaxed);
        if pause_ms > 0 {
            self.tally.count(Counter::Refused);
            return Err(not_run().with("retry-after", pause_ms as f64 / 1_000.0));
        }
        if self.leaving.load(Ordering::Relaxed) {
            self.tally.count(Counter::StartedWhileLeaving);
        }
        Ok(())
    }

    /// Fetches, computes and saves the parts of a prompt; counts parts computed with other weights.
    async fn prefill(&self, engine: &Engine, call: &Call) {
        let salt = call.header("x-cache-salt").to_owned();
        let list = |name: &str| -> Vec<String> {
            call.header(name).split(',').map(str::to_owned).collect()
        };
        let (fetch, save) = (list("x-kv-fetch"), list("x-kv-save"));
        let weights = self.weights();
        let (mut uncached, mut fetched) = (0, 0);
        // All parts after a missing one must be computed, even if they are cached.
        let mut is_missing = false;
        for (at, part) in call.header("x-prompt-prefix").split(',').enumerate() {
            let Some((id, tokens)) = part.split_once(':') else { continue };
            let tokens: u32 = tokens.parse().unwrap_or(0);
            let name = (salt.clone(), id.to_owned());
            let local = self.memory.lock().get(&name).map(|part| part.weights);
            let source = fetch.get(if fetch.len() == 1 { 0 } else { at });
            let elsewhere = || source.and_then(|source| engine.fetch(source, &name));
            let found = local.or_else(elsewhere).filter(|_| !is_missing);
            is_missing |= found.is_none();
            match found {
                Some(part_weights) => {
                    let is_wrong = part_weights != weights;
                    self.tally.add(Counter::WrongPrefixRead, u64::from(is_wrong));
                    self.tally.add(Counter::PromptTokensCached, tokens.into());
                    fetched += if local.is_none() { tokens } else { 0 };
                }
                None => {
                    self.tally.add(Counter::PromptTokensComputed, tokens.into());
                    uncached += tokens;
                }
            }
            let capacity = engine.performance.cache_tokens;
            self.memory.lock().insert(name.clone(), tokens, found.unwrap_or(weights), capacity);
            if let Some(cache) = save.get(at).and_then(|address| engine.cache(address))
                && cache.reserve(&name, tokens, &engine.model, weights)
            {
                let latency = self.settings.latency;
                tokio::spawn(async move {
                    tokio::time::sleep(latency).await;
                    cache.finish(&name);
                });
            }
        }
        if fetched > 0 {
            self.link.occupy(engine.performance.fetch_per_token * fetched).await;
        }
        self.prefill_pace.occupy(engine.performance.prefill_per_token * uncached).await;
    }

    /// Records a crash, unless the server has crashed already.
    fn crash(&self, causes: &[Arc<crash::Cause>]) {
        if !self.is_crashed.send_replace(true) {
            causes.iter().for_each(|cause| cause.crashed());
        }
    }

    /// Waits until the server is no longer silent.
    async fn wait_for_end_of_silence(&self, entry: &Entry) {
        let mut changes = self.silent_until.subscribe();
        loop {
            let until = *changes.borrow_and_update();
            let until = until.filter(|until| Instant::now() < *until);
            entry.silent(until);
            let Some(until) = until else { return };
            // Also returns when the silence is extended or cleared; the sender outlives the wait.
            let _ = tokio::time::timeout_at(until, changes.changed()).await;
        }
    }

    /// The events of an answer, after the one in `last-event-id`, with this time between them.
    fn stream(self: Arc<Self>, slot: Slot, call: &Call, entry: Entry, latency: Duration) -> Answer {
        let first = call.header("last-event-id").parse::<u32>().map_or(1, |last| last + 1);
        let usage = call.header("x-token-usage").split_once(',');
        let count = usage.and_then(|(_, output)| output.trim().parse().ok()).unwrap_or(1);
        let id = call.header("x-request-id").to_owned();
        let broken = self.broken.lock().as_mut().and_then(|(event, times)| {
            *times = times.checked_sub(1)?;
            Some(*event)
        });
        // The slot is held until the last event is sent or the caller disconnects.
        let slot = Arc::new(slot);
        if first > count {
            entry.end(End::Answered);
        }
        let entry = Arc::new(entry);
        let events = stream::iter(first..=count).then(move |number| {
            let (id, slot, entry) = (id.clone(), slot.clone(), entry.clone());
            let server = self.clone();
            async move {
                tokio::time::sleep(latency).await;
                server.wait_for_end_of_silence(&entry).await;
                drop(slot);
                let event = format!("id: {number}\ndata: {id} {number}\n\n");
                if broken == Some(number) {
                    entry.end(End::BrokenOff);
                    // Half of the event is sent before the connection drops.
                    return [Ok(Bytes::from(event[..event.len() / 2].to_owned())), Err(Disconnect)]
                        .to_vec();
                }
                entry.sent();
                if number == count {
                    entry.end(End::Answered);
                }
                vec![Ok(Bytes::from(event))]
            }
        });
        let chunks = events.flat_map(|chunks| {
            stream::iter(chunks).then(|chunk| async move {
                if chunk.is_err() {
                    // The server flushes earlier bytes only if this task yields before the error.
                    tokio::task::yield_now().await;
                }
                chunk
            })
        });
        Answer::stream("text/event-stream", chunks)
    }

    fn order(self: Arc<Self>, call: &Call) -> Reply {
        #[derive(Deserialize)]
        struct Body {
            version: u64,
            fence: u64,
            expected: Option<u64>,
        }
        let body: Body = call.json()?;
        let refuse = |status| Err(Answer::json(status, &json!({})));
        if body.fence < self.fence.fetch_max(body.fence, Ordering::Relaxed) {
            self.tally.count(Counter::StaleOrdersRefused);
            return refuse(StatusCode::PRECONDITION_FAILED);
        }
        if self.weights() == body.version {
            return refuse(StatusCode::OK);
        }
        let is_busy = self.loading.load(Ordering::Relaxed);
        if is_busy || body.expected.is_some_and(|expected| expected != self.orders()) {
            return refuse(StatusCode::CONFLICT);
        }
        self.tally.count(Counter::Orders);
        self.orders.fetch_add(1, Ordering::Relaxed);
        self.loading.store(true, Ordering::Relaxed);
        let load_time = self.settings.engine.as_ref().map_or(Duration::ZERO, |e| e.load_time);
        tokio::spawn(async move {
            tokio::time::sleep(load_time).await;
            *self.memory.lock() = Memory::default();
            self.weights.store(body.version, Ordering::Relaxed);
            self.loading.store(false, Ordering::Relaxed);
        });
        Ok(Answer::json(StatusCode::ACCEPTED, &json!({})))
    }

    fn report(&self) -> Answer {
        let body = json!({
            "models": self.models(),
            "busy": self.loading.load(Ordering::Relaxed),
            "sequence": self.orders(),
            "born": self.born.load(Ordering::Relaxed),
        });
        Answer::json(StatusCode::OK, &body)
    }
}

impl Standin for State {
    const NAME: &'static str = "platform_server";

    fn tally(&self) -> &Tally {
        &self.tally
    }

    async fn respond(self: Arc<Self>, call: Call) -> Answer {
        let id = call.header("x-request-id").to_owned();
        let instance = self.id();
        let is_leaving = self.leaving.load(Ordering::Relaxed);
        let (mut limit, tolerance) = (None, self.tolerance());
        let answer = match (&call.method, &*call.path) {
            (&Method::GET, "/acaciaarch/report") => Ok(self.report()),
            (&Method::POST, "/acaciaarch/order") => self.order(&call),
            _ if self.closing.load(Ordering::Relaxed) => return Answer::disconnect(),
            _ => {
                limit = self.count_arrival();
                self.release.arrive(&call);
                self.run(&call).await
            }
        };
        let answer = answer.unwrap_or_else(|refusal| refusal);
        let answer = answer.with("x-request-id", id).with("x-instance-id", instance);
        let answer = if is_leaving { answer.with("server-leaving", 1) } else { answer };
        let answer = match limit {
            Some(rate) => answer.with("server-limit", rate),
            None => answer,
        };
        match tolerance {
            Some(tolerance) => answer.with("server-brittle", tolerance),
            None => answer,
        }
    }

    fn fault(&self, fault: &Fault) -> bool {
        match fault {
            Fault::BrokenStream { token, times } => {
                *self.broken.lock() = Some((*token, times.unwrap_or(u32::MAX)));
            }
            Fault::Leaving { on } => self.leaving.store(*on, Ordering::Relaxed),
            Fault::Closing { on } => self.closing.store(*on, Ordering::Relaxed),
            Fault::Silent { millis } => {
                let until = Instant::now() + Duration::from_millis(*millis);
                self.silent_until.send_replace(Some(until));
            }
            Fault::Limited { per_1000_s } => {
                self.set_limit(per_1000_s.map(|count| f64::from(count) / 1_000.0));
            }
            Fault::Brittle { refusals, queue } => {
                let number = |count: u32| count as usize;
                self.set_brittle(refusals.map(number), number(*queue));
            }
            Fault::Paused { millis } => self.pause_ms.store(*millis, Ordering::Relaxed),
            _ => return false,
        }
        true
    }
}

impl Engine {
    /// Weights of a part held by a cache store or another engine.
    fn fetch(&self, source: &str, name: &cache::Name) -> Option<u64> {
        if let Some(cache) = self.cache(source) {
            return cache.read(name).map(|(_, weights)| weights);
        }
        let source = self.peers.lock().get(&source.parse().ok()?)?.upgrade()?;
        let part = source.memory.lock().get(name);
        part.map(|part| part.weights)
    }

    fn cache(&self, address: &str) -> Option<Arc<cache::State>> {
        let address: SocketAddr = address.parse().ok()?;
        self.caches.iter().find(|(at, _)| *at == address).map(|(_, cache)| cache.clone())
    }
}

/// A refusal that promises that nothing ran.
fn not_run() -> Answer {
    Answer::bytes(StatusCode::SERVICE_UNAVAILABLE, "").with("x-not-executed", 1)
}

/// Ids of requests that ran more than once in total on several servers.
pub fn repeated<'a>(servers: impl IntoIterator<Item = &'a Handle>) -> BTreeSet<String> {
    let mut runs: BTreeMap<String, u32> = BTreeMap::new();
    for server in servers {
        for (id, count) in server.runs() {
            *runs.entry(id).or_default() += count;
        }
    }
    runs.into_iter().filter(|(_, count)| *count > 1).map(|(id, _)| id).collect()
}
