//! A model engine: continuous batching, a prefix cache, cold start, orders and KV transfer.
//!
//! [`run`] executes attempts, [`cache`] is the prefix cache, [`loader`] loads weights and
//! [`answer`] generates the output tokens.

pub mod answer;
pub mod cache;
pub mod loader;
mod route;
pub mod run;
pub mod wire;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicUsize, Ordering};
use std::time::Duration;

use acacia_policy::request::BLOCK_TOKENS;
use parking_lot::Mutex;
use tokio::time::Instant;

use crate::counter::{Counter, Tally};
use crate::exchange::{Answer, Call};
use crate::fault::Fault;
use crate::host::{self, Standin, consume};
use crate::pace::{Pace, scaled, transfer};
use crate::slots::{Priority, Slots};
use crate::warmth::{Admission, Guard, Refusal};

pub use answer::{answer, weights};
use cache::Cache;
use loader::Loader;
use route::Orders;
use run::{ALWAYS, Attempts, Prefill, Trigger};
use wire::Load;

/// A running engine.
pub type Handle = host::Handle<State>;

/// Prompt tokens computed before another request may continue its prefill.
const PREFILL_CHUNK: u32 = 512;

/// Settings of the engine; durations are model time.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address of the protocol port.
    pub address: SocketAddr,
    /// Address of the control port.
    pub control: SocketAddr,
    /// Model served.
    pub model: String,
    /// Weight version loaded at start.
    pub version: String,
    /// Adapters loaded at start.
    pub adapters: Vec<String>,
    /// First incarnation number.
    pub incarnation: u64,
    /// Maximum of requests that run concurrently.
    pub slots: usize,
    /// Maximum of waiting requests; further requests are refused as overloaded.
    pub queue: usize,
    /// Prefill time of one prompt token.
    pub prefill_per_token: Duration,
    /// Time between two output tokens.
    pub decode_per_token: Duration,
    /// Time that each running request adds between two output tokens.
    pub decode_per_running: Duration,
    /// Output tokens per stream chunk.
    pub chunk_tokens: u32,
    /// Capacity of the prefix cache, in tokens.
    pub cache_tokens: usize,
    /// KV cache bytes per token.
    pub bytes_per_token: u64,
    /// Bytes per second of KV cache imports and exports together; zero is unlimited.
    pub transfer_bytes_per_second: u64,
    /// Time to load weights while at most two engines load.
    pub load_time: Duration,
    /// Weight store, to be shared among engines.
    pub loader: Arc<Loader>,
    /// Whether the engine starts by loading weights and being cold.
    pub start_cold: bool,
    /// Duration of the cold phase after loading.
    pub cold_period: Duration,
    /// Maximum of requests in flight while cold; one more crashes the engine.
    pub cold_limit: usize,
    /// Time until a cache event is visible.
    pub event_lag: Duration,
    /// Every n-th cache event is lost; zero loses none.
    pub event_gap_every: u64,
    /// Interval between samples of the load report.
    pub load_lag: Duration,
    /// Whether orders with an outdated fencing token are refused.
    pub checks_fence: bool,
    /// Divisor of all model times.
    pub scale: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            control: SocketAddr::from(([127, 0, 0, 1], 0)),
            model: "model".to_owned(),
            version: "v1".to_owned(),
            adapters: Vec::new(),
            incarnation: 1,
            slots: 32,
            queue: 1_024,
            prefill_per_token: Duration::from_micros(100),
            decode_per_token: Duration::from_millis(15),
            decode_per_running: Duration::ZERO,
            chunk_tokens: 1,
            cache_tokens: 200_000,
            bytes_per_token: 16_384,
            transfer_bytes_per_second: 2_000_000_000,
            load_time: Duration::from_millis(600),
            loader: Arc::default(),
            start_cold: false,
            cold_period: Duration::from_secs(2),
            cold_limit: 2,
            event_lag: Duration::from_millis(200),
            event_gap_every: 0,
            load_lag: Duration::from_millis(100),
            checks_fence: true,
            scale: 1.0,
        }
    }
}

/// Serves an engine.
///
/// # Errors
/// If a port can't be bound.
pub async fn start(settings: Settings) -> std::io::Result<Handle> {
    let (address, control) = (settings.address, settings.control);
    let start_cold = settings.start_cold;
    let state = Arc::new_cyclic(|this| State::new(settings, this.clone()));
    if start_cold {
        state.admission.warmth().loading = true;
        state.load();
    }
    Handle::start(state, address, control).await
}

/// State of the engine.
pub struct State {
    this: std::sync::Weak<Self>,
    settings: Settings,
    tally: Tally,
    admission: Arc<Admission>,
    version: Mutex<String>,
    adapters: Mutex<Vec<String>>,
    slots: Arc<Slots>,
    running: AtomicUsize,
    prefill_turn: Arc<Slots>,
    prefill_pace: Pace,
    link: Pace,
    cache: Mutex<Cache>,
    attempts: Mutex<Attempts>,
    orders: Mutex<Orders>,
    sample: Mutex<Option<(Instant, Load)>>,
    broken: Trigger,
    crossed: Trigger,
    duplicated: Trigger,
    truncated: AtomicU32,
}

impl State {
    fn new(settings: Settings, this: std::sync::Weak<Self>) -> Self {
        Self {
            this,
            tally: Tally::default(),
            admission: Admission::new(
                settings.incarnation,
                settings.slots + settings.queue,
                settings.cold_limit,
            ),
            version: Mutex::new(settings.version.clone()),
            adapters: Mutex::new(settings.adapters.clone()),
            slots: Slots::new(settings.slots),
            running: AtomicUsize::new(0),
            prefill_turn: Slots::new(1),
            prefill_pace: Pace::default(),
            link: Pace::default(),
            cache: Mutex::new(Cache::new(settings.cache_tokens, settings.event_gap_every)),
            attempts: Mutex::default(),
            orders: Mutex::new(Orders::new(settings.checks_fence)),
            sample: Mutex::default(),
            broken: Trigger::default(),
            crossed: Trigger::default(),
            duplicated: Trigger::default(),
            truncated: AtomicU32::new(0),
            settings,
        }
    }

    /// Current incarnation.
    pub fn incarnation(&self) -> u64 {
        self.admission.incarnation()
    }

    /// Weight version currently loaded.
    pub fn version(&self) -> String {
        self.version.lock().clone()
    }

    /// Admits a request until its guard is dropped; a crash restarts the engine.
    fn admit(&self) -> Result<Guard, Answer> {
        let entered = self.admission.admit(&self.tally);
        match entered {
            Ok(_) => self.tally.count(Counter::Started),
            Err(Refusal::FellOver) => self.restart(),
            Err(_) => {}
        }
        entered.map_err(Refusal::answer)
    }

    /// Number of running requests.
    fn running(&self) -> usize {
        let in_flight = self.admission.warmth().in_flight;
        in_flight.saturating_sub(self.slots.waiting())
    }

    fn record_running(&self) {
        let running = self.running();
        self.running.store(running, Ordering::Relaxed);
        self.tally.raise(Counter::RunningPeak, running as u64);
    }

    /// Crashes and starts a new incarnation with empty caches.
    fn restart(&self) {
        self.admission.warmth().restart();
        self.cache.lock().clear();
        let attempts = std::mem::take(&mut *self.attempts.lock());
        for attempt in attempts.iter() {
            attempt.stop.request();
        }
        *self.sample.lock() = None;
        self.tally.count(Counter::Restarts);
        self.load();
    }

    /// Loads weights, then enters the cold phase.
    fn load(&self) {
        let Some(this) = self.this.upgrade() else { return };
        tokio::spawn(async move {
            let incarnation = this.incarnation();
            this.load_weights().await;
            let mut warmth = this.admission.warmth();
            if warmth.incarnation == incarnation {
                warmth.turn_cold(scaled(this.settings.cold_period, this.settings.scale));
            }
        });
    }

    async fn load_weights(&self) {
        let loader = &self.settings.loader;
        loader.load(scaled(self.settings.load_time, self.settings.scale)).await;
        self.tally.raise(Counter::LoadingPeak, loader.peak().into());
    }

    /// Number of prompt tokens found in the cache.
    fn find(&self, prefill: &Prefill, prompt_tokens: u32) -> u32 {
        let hit = self.cache.lock().find(&prefill.keys, &prefill.fingerprints);
        self.tally.add(Counter::WrongPrefixRead, hit.mismatched as u64);
        // The last prompt token is always computed, because it yields the first output token.
        let cached = (hit.blocks * BLOCK_TOKENS) as u32;
        cached.min(prompt_tokens.saturating_sub(1))
    }

    /// Caches the computed blocks, unless other weights were loaded in the meantime.
    fn store(&self, prefill: &Prefill) {
        let version = self.version.lock();
        if *version == prefill.version {
            self.cache.lock().store(&prefill.keys, &prefill.fingerprints);
        }
    }

    /// Computes prompt tokens in chunks, alternating with other prompts.
    async fn compute(&self, tokens: u32, priority: Priority) {
        let mut left = tokens;
        while left > 0 {
            let chunk = left.min(PREFILL_CHUNK);
            let turn = self.prefill_turn.take(priority).await;
            let cost = self.settings.prefill_per_token * chunk;
            self.prefill_pace.occupy(scaled(cost, self.settings.scale)).await;
            drop(turn);
            left -= chunk;
        }
    }

    /// Current time between two output tokens.
    fn time_per_token(&self) -> Duration {
        let running = self.running.load(Ordering::Relaxed) as u32;
        let model = self.settings.decode_per_token + self.settings.decode_per_running * running;
        scaled(model, self.settings.scale)
    }

    /// Transfers KV cache bytes in or out.
    async fn transfer(&self, bytes: u64) {
        let cost = transfer(bytes, self.settings.transfer_bytes_per_second);
        self.link.occupy(scaled(cost, self.settings.scale)).await;
    }

    fn take_truncation(&self) -> bool {
        consume(&self.truncated)
    }

    /// Latest load sample, renewed when older than the load lag.
    fn load_report(&self) -> Load {
        let mut sample = self.sample.lock();
        let now = Instant::now();
        let lag = scaled(self.settings.load_lag, self.settings.scale);
        let (at, load) = match sample.take() {
            Some((at, load)) if now < at + lag => (at, load),
            _ => (now, self.load_now()),
        };
        *sample = Some((at, load.clone()));
        Load { sampled_ms_ago: now.duration_since(at).as_millis() as u64, ..load }
    }

    fn load_now(&self) -> Load {
        let waiting = self.slots.waiting();
        let warmth = self.admission.warmth();
        Load {
            incarnation: warmth.incarnation,
            version: self.version.lock().clone(),
            adapters: self.adapters.lock().clone(),
            running: warmth.in_flight.saturating_sub(waiting),
            waiting,
            slots: self.settings.slots,
            cold: warmth.is_cold(),
            cached_tokens: self.cache.lock().tokens(),
            sampled_ms_ago: 0,
        }
    }
}

impl Standin for State {
    const NAME: &'static str = "engine";

    fn tally(&self) -> &Tally {
        &self.tally
    }

    async fn respond(self: Arc<Self>, call: Call) -> Answer {
        let request_id = call.header("x-request-id").to_owned();
        let answer = self.clone().route(call).await.unwrap_or_else(|refusal| refusal);
        answer.with("x-incarnation", self.incarnation()).with("x-request-id", request_id)
    }

    fn fault(&self, fault: &Fault) -> bool {
        match fault {
            Fault::Cold => {
                let period = scaled(self.settings.cold_period, self.settings.scale);
                self.admission.warmth().turn_cold(period);
            }
            Fault::Restart => self.restart(),
            Fault::Leaving { on } => self.admission.warmth().leaving = *on,
            Fault::IgnoredFence { on } => self.orders.lock().checks_fence = !on,
            Fault::BrokenStream { token, times } => {
                self.broken.set(*token, times.unwrap_or(ALWAYS));
            }
            Fault::CrossedChunk { token, times } => self.crossed.set(*token, *times),
            Fault::DuplicateChunk { token, times } => self.duplicated.set(*token, *times),
            Fault::TruncatedAnswer { times } => self.truncated.store(*times, Ordering::Relaxed),
            _ => return false,
        }
        true
    }
}
