//! The state of one upstream, from its entry and from this instance's requests to it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::brittle::Room;
use super::cache::Cache;
use super::configuration::{ModelName, Service};
use super::gossip::{Load, ServerKey, server_key};
use super::lateness::Lateness;
use super::limit;
use super::notice::Standing;
use super::roster::own_rank;
use super::view::{Server, View, WeightVersion};
use super::window::Window;
use crate::Time;

/// Window in which requests to a cold upstream are counted; the configured rates are per second.
pub const COLD_SPAN: Duration = Duration::from_secs(1);
/// Weight of the latest outcome in the failure share, which covers about the last ten requests.
const FAILURE_WEIGHT: f64 = 0.15;
/// Half-life of the failure share, in seconds, so that an upstream without requests is tried again.
const FAILURE_HALF_LIFE_S: f64 = 2.0;
/// Weight of a failure that the upstream itself reported; healthy services fail some requests too.
const ANSWERED_FAILURE: f64 = 0.5;
/// Half-life of the average delay; queues of engines drain within it.
const DELAY_HALF_LIFE: Duration = Duration::from_millis(700);
/// Pause after a refusal, doubled with each further one: the prefill time of one long prompt.
const REFUSAL_PAUSE: Duration = Duration::from_millis(80);
/// Maximum pause after refusals, below the latency targets of interactive requests.
const REFUSAL_PAUSE_MAX: Duration = Duration::from_millis(320);
/// Pause after a failed connection attempt, doubled with each further one.
const UNREACHABLE_PAUSE: Duration = Duration::from_millis(250);
/// Time for which failures are attributed to a path that is then found to be lost.
const BLAME_TIME: Duration = Duration::from_millis(1_500);
/// Maximum pause after failed connection attempts.
const UNREACHABLE_PAUSE_MAX: Duration = Duration::from_secs(2);

/// One upstream.
#[derive(Debug)]
pub struct Member {
    /// Its entry.
    pub server: Arc<Server>,
    /// Hash of its id.
    pub key: ServerKey,
    /// Load by this instance's requests.
    pub own_load: Load,
    /// When it stops being cold.
    pub cold_until: Time,
    /// Until when it gets no requests after refusals or failures.
    pub paused_until: Time,
    /// What it stated about itself in its answers.
    pub standing: Standing,
    /// Whether an answer has stated whether it is brittle.
    pub is_tolerance_known: bool,
    /// Its room, if it is brittle.
    pub room: Room,
    /// The parts that it probably holds.
    pub cache: Cache,
    /// Its status in the latest view.
    pub status: Status,
    sends: Window,
    failures: f64,
    failures_at: Time,
    delay: Lateness,
    lateness: Lateness,
    refusals: u32,
    unreachable: u32,
    weights: BTreeMap<ModelName, WeightVersion>,
    /// Its state before recent failures.
    before: Option<Before>,
}

/// What failures change, as it was before the first of several.
#[derive(Clone, Copy, Debug)]
struct Before {
    at: Time,
    cold_until: Time,
    paused_until: Time,
    unreachable: u32,
    failures: f64,
    failures_at: Time,
}

impl Member {
    /// A newly listed upstream.
    pub fn new(now: Time, server: Arc<Server>) -> Self {
        let cold_until = now + server.cold_left;
        let weights = server.models.iter().cloned().collect();
        Self {
            key: server_key(&server.id),
            own_load: Load::default(),
            server,
            cold_until,
            paused_until: Time::ZERO,
            standing: Standing::default(),
            is_tolerance_known: false,
            room: Room::default(),
            cache: Cache::default(),
            status: Status::default(),
            sends: Window::new(limit::SPAN),
            failures: 0.0,
            failures_at: now,
            delay: Lateness::default(),
            lateness: Lateness::default(),
            refusals: 0,
            unreachable: 0,
            weights,
            before: None,
        }
    }

    /// Replaces its entry by a newer one.
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

    /// Updates its status from a newer view.
    pub fn observe(&mut self, view: &View) {
        let id = &self.server.id;
        self.status = Status {
            loading: view.loading.contains(id),
            evacuated: view.evacuated.contains(&self.server.zone),
            expired: view.expired.get(id).map(|(_, returned)| *returned),
            rank: None,
            turn: None,
        };
    }

    /// Number of instances that rank before this one for the upstream.
    pub fn rank(&mut self, view: &View) -> usize {
        *self.status.rank.get_or_insert_with(|| own_rank(view, &self.server.id))
    }

    /// Whether it takes no new requests, by its entry or its own answers.
    pub fn is_leaving(&self) -> bool {
        self.server.leaving || self.standing.is_leaving
    }

    /// When it may get requests again.
    pub fn available_at(&self) -> Time {
        self.paused_until.max(self.standing.paused_until)
    }

    /// Counts a request that is sent to it.
    pub fn sent(&mut self, now: Time) {
        self.sends.add(now);
    }

    /// When the next request may be sent under a limit of `share` per second.
    pub fn cold_slot(&mut self, now: Time, share: usize) -> Option<Time> {
        self.sends.free_at(now, COLD_SPAN, share)
    }

    /// When the next request may be sent under its rate limit of `rate` per second; none if this
    /// instance has no share of it.
    pub fn limited_slot(&mut self, now: Time, rate: f64, view: &View) -> Option<Time> {
        let rank = self.rank(view);
        limit::Share::new(rate, view.instances, rank).free_at(now, &mut self.sends)
    }

    /// Whether it states a rate limit.
    pub fn is_limited(&self, now: Time) -> bool {
        self.standing.limit.in_force(now).is_some()
    }

    /// Number of requests that this instance sent to it within [`limit::SPAN`].
    pub fn recent_sends(&mut self, now: Time) -> usize {
        self.sends.count(now)
    }

    /// Whether it is cold.
    pub fn is_cold(&self, now: Time) -> bool {
        now < self.cold_until
    }

    /// Marks it cold, as it may have restarted: a connection broke or could not be made.
    pub fn suspect_restart(&mut self, now: Time, service: Option<&Service>) {
        let Some(service) = service else { return };
        self.keep_before(now);
        self.cold_until = self.cold_until.max(now + service.cold_time);
    }

    /// Pauses it after it refused a request without running it.
    pub fn refused(&mut self, now: Time) {
        let pause = REFUSAL_PAUSE * 2_u32.pow(self.refusals.min(4));
        self.refusals += 1;
        self.paused_until = self.paused_until.max(now + pause.min(REFUSAL_PAUSE_MAX));
    }

    /// Pauses it after no connection could be made, or an upstream acknowledged nothing.
    pub fn unreachable(&mut self, now: Time) {
        self.keep_before(now);
        let pause = UNREACHABLE_PAUSE * 2_u32.pow(self.unreachable.min(4));
        self.unreachable += 1;
        self.paused_until = self.paused_until.max(now + pause.min(UNREACHABLE_PAUSE_MAX));
    }

    /// Records an answer, either a success or a failure reported by the upstream.
    pub fn responded(&mut self, now: Time, failed: bool) {
        self.refusals = 0;
        self.unreachable = 0;
        self.count_failure(now, if failed { ANSWERED_FAILURE } else { 0.0 });
    }

    /// Records an exchange that broke or timed out.
    pub fn broke(&mut self, now: Time) {
        self.keep_before(now);
        self.count_failure(now, 1.0);
    }

    /// Takes back what failures since [`BLAME_TIME`] ago changed, as the path to it was lost.
    pub fn take_back(&mut self, now: Time) {
        let Some(before) = self.before.take() else { return };
        if now < before.at + BLAME_TIME {
            self.cold_until = before.cold_until;
            self.paused_until = before.paused_until;
            self.unreachable = before.unreachable;
            (self.failures, self.failures_at) = (before.failures, before.failures_at);
        }
    }

    fn keep_before(&mut self, now: Time) {
        if self.before.is_none_or(|before| now >= before.at + BLAME_TIME) {
            self.before = Some(Before {
                at: now,
                cold_until: self.cold_until,
                paused_until: self.paused_until,
                unreachable: self.unreachable,
                failures: self.failures,
                failures_at: self.failures_at,
            });
        }
    }

    /// Share of recent requests that failed, from zero to one, decaying with time.
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

    /// Records how much later than expected an answer began, as far as the engine's queue caused it.
    pub fn observe_delay(&mut self, now: Time, late: Duration) {
        self.delay.observe(now, late, DELAY_HALF_LIFE);
    }

    /// Records how much later than expected an answer began, whatever caused it.
    pub fn observe_lateness(&mut self, now: Time, late: Duration) {
        self.lateness.observe(now, late, DELAY_HALF_LIFE);
    }

    /// How much later than expected its answers begin, in seconds.
    pub fn lateness(&self, now: Time) -> f64 {
        self.lateness.seconds(now, DELAY_HALF_LIFE)
    }

    /// Expected wait in its queue, in seconds.
    pub fn delay(&self, now: Time) -> f64 {
        self.delay.seconds(now, DELAY_HALF_LIFE)
    }

    /// The version of a model's weights that it has.
    pub fn weights(&self, model: &str) -> Option<WeightVersion> {
        self.weights.get(model).copied()
    }

    /// Records its weights of a model; the version only increases within one incarnation.
    pub fn learn_weights(&mut self, model: &ModelName, version: WeightVersion) {
        let known = self.weights.entry(model.clone()).or_insert(version);
        if *known < version {
            *known = version;
            self.cache = Cache::default();
        }
    }

    /// Corrects its weights after it rejected a request for `asked` ones: it has the newest ones
    /// already, or, if those were asked for, still those of its entry.
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

/// What a view contains about an upstream besides its entry.
#[derive(Clone, Copy, Debug, Default)]
pub struct Status {
    /// Whether it is loading weights.
    pub loading: bool,
    /// Whether its availability zone is evacuated.
    pub evacuated: bool,
    /// When the metadata store was back, if the entry expired in its outage.
    pub expired: Option<Time>,
    /// Number of instances that rank before this one; computed on first use.
    rank: Option<usize>,
    /// Number of instances that come before this one in the division of its slots; computed on first
    /// use.
    pub turn: Option<usize>,
}
