//! What this instance believes of one upstream, from its entry and from its own exchanges.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use rustc_hash::FxHashMap;

use super::configuration::{ModelName, Service};
use super::gossip::{Load, PartKey, ServerKey, server_key};
use super::roster::own_rank;
use super::view::{Server, View, WeightVersion};
use super::window::Window;
use crate::Time;

/// Span in which requests to a cold upstream are counted; the unit of the rate that services state.
pub const COLD_SPAN: Duration = Duration::from_secs(1);
/// Weight of the newest outcome in the share of failures; about the last ten requests count.
const FAILURE_WEIGHT: f64 = 0.15;
/// Seconds after which failures that nobody saw again count half, so that an upstream is tried anew.
const FAILURE_HALF_LIFE_S: f64 = 2.0;
/// What a failure that the upstream itself answers counts; services answer some requests so in good
/// health.
const ANSWERED_FAILURE: f64 = 0.5;
/// Weight of the newest observation of delay; about the last five requests count.
const DELAY_WEIGHT: f64 = 0.3;
/// Seconds after which a delay that nobody saw again counts half; queues of engines drain within it.
const DELAY_HALF_LIFE_S: f64 = 0.7;
/// Pause after a refusal, doubled with each further one: the time of one long prompt's reading.
const REFUSAL_PAUSE: Duration = Duration::from_millis(80);
/// Longest pause after refusals, below the aims of interactive requests.
const REFUSAL_PAUSE_MAX: Duration = Duration::from_millis(320);
/// Pause after a connection could not be made, doubled with each further one.
const UNREACHABLE_PAUSE: Duration = Duration::from_millis(250);
/// Longest pause after connections that could not be made.
const UNREACHABLE_PAUSE_MAX: Duration = Duration::from_secs(2);

/// One upstream.
#[derive(Debug)]
pub struct Member {
    /// Its entry.
    pub server: Arc<Server>,
    /// Its short name.
    pub key: ServerKey,
    /// Own requests there.
    pub own_load: Load,
    /// It counts as cold until then.
    pub cold_until: Time,
    /// It gets nothing until then.
    pub paused_until: Time,
    /// Its cached parts.
    pub cache: Cache,
    /// What the newest view says of it besides its entry.
    pub status: Status,
    sends: Window,
    failures: f64,
    failures_at: Time,
    delay: f64,
    delay_at: Time,
    refusals: u32,
    unreachable: u32,
    weights: BTreeMap<ModelName, WeightVersion>,
}

impl Member {
    /// An upstream that was just seen.
    pub fn new(now: Time, server: Arc<Server>) -> Self {
        let cold_until = now + server.cold_left;
        let weights = server.models.iter().cloned().collect();
        Self {
            key: server_key(&server.id),
            own_load: Load::default(),
            server,
            cold_until,
            paused_until: Time::ZERO,
            cache: Cache::default(),
            status: Status::default(),
            sends: Window::new(COLD_SPAN),
            failures: 0.0,
            failures_at: now,
            delay: 0.0,
            delay_at: now,
            refusals: 0,
            unreachable: 0,
            weights,
        }
    }

    /// Takes a newer entry in.
    pub fn update(&mut self, now: Time, server: Arc<Server>) {
        if Arc::ptr_eq(&self.server, &server) {
            return;
        }
        if !self.server.is_same_incarnation(&server) {
            let (own_load, sends) = (self.own_load, self.sends.clone());
            *self = Self { own_load, sends, ..Self::new(now, server) };
            return;
        }
        for (model, version) in &server.models {
            self.learn_weights(model, *version);
        }
        self.cold_until = self.cold_until.max(now + server.cold_left);
        self.server = server;
    }

    /// Takes in what a newer view says of it besides its entry.
    pub fn observe(&mut self, view: &View) {
        let id = &self.server.id;
        self.status = Status {
            loading: view.loading.contains(id),
            evacuated: view.evacuated.contains(&self.server.zone),
            lapsed: view.lapsed.get(id).map(|(_, since)| *since),
            rank: None,
        };
    }

    /// How many instances come before this one there.
    pub fn rank(&mut self, view: &View) -> usize {
        *self.status.rank.get_or_insert_with(|| own_rank(view, &self.server.id))
    }

    /// Counts a request that goes there.
    pub fn sent(&mut self, now: Time) {
        self.sends.add(now);
    }

    /// When a request may go there under a limit of `share` a second.
    pub fn cold_slot(&mut self, now: Time, share: usize) -> Option<Time> {
        self.sends.free_at(now, share)
    }

    /// Whether it counts as cold.
    pub fn is_cold(&self, now: Time) -> bool {
        now < self.cold_until
    }

    /// It may have started anew: a connection broke or could not be made.
    pub fn suspect_restart(&mut self, now: Time, service: &Service) {
        self.cold_until = self.cold_until.max(now + service.cold_time);
    }

    /// It refused a request that it did not run.
    pub fn refused(&mut self, now: Time) {
        let pause = REFUSAL_PAUSE * 2_u32.pow(self.refusals.min(4));
        self.refusals += 1;
        self.paused_until = self.paused_until.max(now + pause.min(REFUSAL_PAUSE_MAX));
    }

    /// No connection could be made, or one fell silent.
    pub fn unreachable(&mut self, now: Time) {
        let pause = UNREACHABLE_PAUSE * 2_u32.pow(self.unreachable.min(4));
        self.unreachable += 1;
        self.paused_until = self.paused_until.max(now + pause.min(UNREACHABLE_PAUSE_MAX));
    }

    /// It answered, by itself, well or with a failure.
    pub fn responded(&mut self, now: Time, failed: bool) {
        self.refusals = 0;
        self.unreachable = 0;
        self.count_failure(now, if failed { ANSWERED_FAILURE } else { 0.0 });
    }

    /// An exchange broke or fell silent.
    pub fn broke(&mut self, now: Time) {
        self.count_failure(now, 1.0);
    }

    /// Share of recent requests that failed, from zero to one.
    pub fn failure_share(&self, now: Time) -> f64 {
        if self.failures == 0.0 {
            return 0.0;
        }
        let age = now.saturating_sub(self.failures_at).as_secs_f64();
        self.failures * 0.5_f64.powf(age / FAILURE_HALF_LIFE_S)
    }

    fn count_failure(&mut self, now: Time, failure: f64) {
        let before = self.failure_share(now);
        self.failures = before + FAILURE_WEIGHT * (failure - before);
        self.failures_at = now;
    }

    /// Takes in how much later than expected an answer began.
    pub fn observe_delay(&mut self, now: Time, late: Duration) {
        let before = self.delay(now);
        self.delay = before + DELAY_WEIGHT * (late.as_secs_f64() - before);
        self.delay_at = now;
    }

    /// Expected wait in its queue, in seconds.
    pub fn delay(&self, now: Time) -> f64 {
        if self.delay == 0.0 {
            return 0.0;
        }
        let age = now.saturating_sub(self.delay_at).as_secs_f64();
        self.delay * 0.5_f64.powf(age / DELAY_HALF_LIFE_S)
    }

    /// Its weights of a model.
    pub fn weights(&self, model: &str) -> Option<WeightVersion> {
        self.weights.get(model).copied()
    }

    /// It showed weights of a model; they only grow within one life.
    pub fn learn_weights(&mut self, model: &ModelName, version: WeightVersion) {
        let known = self.weights.entry(model.clone()).or_insert(version);
        if *known < version {
            *known = version;
            self.cache = Cache::default();
        }
    }

    /// It turned a request for `asked` weights away: it has the newest ones already, or, where those
    /// were asked for, still those of its entry.
    pub fn correct_weights(
        &mut self,
        model: &ModelName,
        asked: WeightVersion,
        newest: WeightVersion,
    ) {
        let entry = self.server.weights(model).unwrap_or(newest);
        let Some(known) = self.weights.get_mut(model) else { return };
        if *known != asked {
            return;
        }
        *known = if asked < newest { newest } else { entry };
        self.cache = Cache::default();
    }
}

/// What a view says of an upstream besides its entry.
#[derive(Clone, Copy, Debug, Default)]
pub struct Status {
    /// It loads weights.
    pub loading: bool,
    /// Its availability zone gets no new work.
    pub evacuated: bool,
    /// Its entry left the list then, while the store was in trouble.
    pub lapsed: Option<Time>,
    /// Instances that come before this one there, once somebody asked.
    rank: Option<usize>,
}

/// Parts that an engine probably holds, least recently used last.
#[derive(Debug, Default)]
pub struct Cache {
    parts: FxHashMap<PartKey, (u32, u64)>,
    tokens: u64,
    clock: u64,
}

impl Cache {
    /// Tokens at the prompt's start that need no reading.
    pub fn held_tokens(&self, parts: &[(PartKey, u32)]) -> u32 {
        let held = parts.iter().take_while(|(key, _)| self.parts.contains_key(key));
        held.map(|(_, tokens)| tokens).sum()
    }

    /// Whether a part needs no reading.
    pub fn holds(&self, part: PartKey) -> bool {
        self.parts.contains_key(&part)
    }

    /// The engine reads a prompt, and keeps its parts while they fit into `capacity` tokens.
    pub fn record_prefill(&mut self, parts: &[(PartKey, u32)], capacity: u64) {
        for (key, tokens) in parts {
            self.clock += 1;
            let old = self.parts.insert(*key, (*tokens, self.clock));
            self.tokens += u64::from(*tokens) - old.map_or(0, |(tokens, _)| u64::from(tokens));
        }
        while self.tokens > capacity {
            let oldest = self.parts.iter().min_by_key(|(_, (_, used))| *used);
            let Some((&oldest, &(tokens, _))) = oldest else { return };
            self.parts.remove(&oldest);
            self.tokens -= u64::from(tokens);
        }
    }
}
