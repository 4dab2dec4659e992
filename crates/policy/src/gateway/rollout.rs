//! Rollout of announced weights to the engines.
//!
//! One instance at a time holds the order lease; [`LeaseTerm`] states when it may send orders. The
//! [`Rollout`] of that instance reads an engine's report, orders the weights with the number of
//! orders reported, so that an order executed late has no effect, and polls the report until
//! the weights are loaded. A few engines reload at a time, distributed over the zones, so that the
//! others keep serving.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use strum::{Display, IntoStaticStr};

use super::configuration::ModelName;
use super::view::{Server, ServerId, WeightVersion, Weights};
use crate::Time;

/// Share of a model's engines that reload concurrently while there is time: as many as the weight
/// stores of the deployments serve at full speed. Load peaks during a reload, as the remaining
/// engines have nothing cached.
const CONCURRENT_SHARE: f64 = 0.2;
/// At most the number of a model's engines divided by this reload concurrently; the others serve.
const MAX_CONCURRENT_DIVISOR: usize = 3;
/// Time for which a reload takes an engine out of service: its requests finish, it loads, and the
/// other instances are informed.
const RELOAD_TIME: Duration = Duration::from_millis(1_400);
/// Share of the time until older weights become unusable in which the rollout should complete.
const SCHEDULE_SHARE: f64 = 0.7;
/// Time from an accepted order to the first poll, about the duration of a load.
const FIRST_POLL_DELAY: Duration = Duration::from_millis(600);
/// Time between polls of an engine that reloads. Reports lag by a little more.
const POLL_INTERVAL: Duration = Duration::from_millis(150);
/// Time until a retry after a rejected order or a report that could not be read.
const ORDER_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Maximum time for which an engine counts as reloading although its report does not show it.
const RELOAD_LIMIT: Duration = Duration::from_secs(4);
/// Time before the end of a lease from which its holder sends no more orders: an order takes at
/// most this long to arrive, and clocks drift by much less.
pub const LEASE_MARGIN: Duration = Duration::from_millis(300);

/// An engine's report.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// Its models with the versions of their weights.
    pub models: Vec<(ModelName, WeightVersion)>,
    /// Whether it is executing an order.
    pub busy: bool,
    /// Orders that it accepted since its start.
    pub orders: u64,
    /// When it started, in milliseconds of Unix time.
    pub born: Option<u64>,
}

/// An engine's response to an order.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Receipt {
    /// The order is being executed.
    Accepted,
    /// The engine already has the weights.
    Holds,
    /// Another order is in progress, or the number of accepted orders differs.
    Conflict,
    /// The engine has seen a higher fencing token.
    Fenced,
    /// Another engine has the address.
    Misdirected,
    /// The order is invalid.
    Invalid,
    /// There was no response; the order may be executed now or later.
    Unknown,
}

/// A call to an engine that the rollout requests.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Read an engine's report.
    Poll(Arc<Server>),
    /// Order an engine to load weights.
    Order {
        /// The engine.
        server: Arc<Server>,
        /// The model.
        model: ModelName,
        /// The version of the weights.
        version: WeightVersion,
        /// Number of orders that the engine has accepted so far.
        expected: u64,
    },
}

/// Progress of all engines.
#[derive(Debug, Default)]
pub struct Rollout {
    engines: BTreeMap<ServerId, Engine>,
}

/// Progress of one engine.
#[derive(Debug)]
struct Engine {
    server: Arc<Server>,
    report: Option<Report>,
    stage: Stage,
    next: Time,
    waiting: bool,
    /// Whether it did not answer the last call.
    is_silent: bool,
}

/// Stage of an engine's update.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    /// No order is outstanding.
    Idle,
    /// Its report has been read; the order is next.
    Polled,
    /// Weights were ordered at this time.
    Ordered(Time),
}

impl Rollout {
    /// The calls to make now. Engines must have announced weights within `time_limit`.
    pub fn step(
        &mut self,
        now: Time,
        servers: &BTreeMap<ServerId, Arc<Server>>,
        weights: &BTreeMap<ModelName, Weights>,
        time_limit: Duration,
    ) -> Vec<Action> {
        self.update(servers);
        let mut actions = self.poll_ordered(now, weights);
        for (model, newest) in weights {
            actions.extend(self.advance(now, model, newest, time_limit));
        }
        actions
    }

    /// Records the response to an order.
    pub fn received(&mut self, now: Time, id: &str, receipt: Receipt) {
        let Some(engine) = self.engines.get_mut(id) else { return };
        engine.waiting = false;
        engine.is_silent = receipt == Receipt::Unknown;
        match receipt {
            Receipt::Accepted => {
                engine.stage = Stage::Ordered(now);
                engine.next = now + FIRST_POLL_DELAY;
            }
            Receipt::Holds => {
                engine.stage = Stage::Ordered(now);
                engine.next = now;
            }
            Receipt::Unknown => {
                engine.stage = Stage::Ordered(now);
                engine.next = now + POLL_INTERVAL;
            }
            Receipt::Conflict | Receipt::Fenced | Receipt::Misdirected | Receipt::Invalid => {
                engine.stage = Stage::Idle;
                engine.report = None;
                engine.next = now + ORDER_RETRY_DELAY;
            }
        }
    }

    /// Records an engine's report; none if it could not be read.
    pub fn polled(&mut self, now: Time, id: &str, report: Option<Report>) {
        let Some(engine) = self.engines.get_mut(id) else { return };
        engine.waiting = false;
        engine.is_silent = report.is_none();
        let Some(report) = report else {
            engine.next = now + ORDER_RETRY_DELAY;
            // Whether the order arrived isn't known. The other instances may reach the engine.
            if matches!(engine.stage, Stage::Ordered(since) if now >= since + RELOAD_LIMIT) {
                engine.stage = Stage::Idle;
                engine.report = None;
            }
            return;
        };
        engine.next = now;
        match engine.stage {
            Stage::Idle | Stage::Polled => engine.stage = Stage::Polled,
            Stage::Ordered(since) => {
                engine.next = now + POLL_INTERVAL;
                let taken = engine.report.as_ref().is_none_or(|old| report.orders > old.orders);
                if now >= since + RELOAD_LIMIT
                    || (!report.busy && !taken && now > since + FIRST_POLL_DELAY)
                {
                    engine.stage = Stage::Polled;
                    engine.next = now;
                }
            }
        }
        if report.busy && engine.stage == Stage::Polled {
            engine.stage = Stage::Ordered(now);
            engine.next = now + POLL_INTERVAL;
        }
        if !matches!(engine.stage, Stage::Ordered(_)) || !report.busy {
            engine.report = Some(report);
        }
    }

    /// Clears all progress, as another instance may have continued the rollout since.
    pub fn reset(&mut self) {
        self.engines.clear();
    }

    /// Engines that are reloading.
    pub fn loading(&self) -> BTreeSet<ServerId> {
        let ordered = self.engines.iter().filter(|(_, e)| matches!(e.stage, Stage::Ordered(_)));
        ordered.map(|(id, _)| id.clone()).collect()
    }

    /// Weights that engines have by their reports.
    pub fn loaded(&self) -> Vec<(ServerId, ModelName, WeightVersion)> {
        let seen = self.engines.iter().filter_map(|(id, engine)| {
            let report = engine.report.as_ref().filter(|report| !report.busy)?;
            Some(report.models.iter().map(|(m, version)| (id.clone(), m.clone(), *version)))
        });
        seen.flatten().collect()
    }

    /// Keeps one entry for each incarnation of an engine.
    fn update(&mut self, servers: &BTreeMap<ServerId, Arc<Server>>) {
        self.engines.retain(|id, engine| {
            servers.get(id).is_some_and(|server| server.is_same_incarnation(&engine.server))
        });
        for (id, server) in servers.iter().filter(|(_, server)| !server.models.is_empty()) {
            let engine = self.engines.entry(id.clone()).or_insert_with(|| Engine {
                server: server.clone(),
                report: None,
                stage: Stage::Idle,
                next: Time::ZERO,
                waiting: false,
                is_silent: false,
            });
            engine.server = server.clone();
        }
    }

    /// Polls engines that reload, and resets those that have all announced weights.
    fn poll_ordered(&mut self, now: Time, weights: &BTreeMap<ModelName, Weights>) -> Vec<Action> {
        let mut actions = Vec::new();
        for engine in self.engines.values_mut().filter(|engine| !engine.waiting) {
            let is_done = weights.iter().all(|(model, newest)| engine.has(model, newest.version()));
            if is_done {
                // The previous lease holder may have updated an engine that was only polled.
                engine.stage = Stage::Idle;
            } else if matches!(engine.stage, Stage::Ordered(_)) && now >= engine.next {
                engine.waiting = true;
                actions.push(Action::Poll(engine.server.clone()));
            }
        }
        actions
    }

    /// Number of engines that may reload concurrently, raised when the remaining time requires it.
    fn limit(&self, now: Time, model: &ModelName, newest: &Weights, time_limit: Duration) -> usize {
        let serving = self.engines.values().filter(|e| e.server.weights(model).is_some());
        let all = serving.clone().count();
        let old = serving.filter(|engine| !engine.has(model, newest.version())).count();
        let end = newest.announced_at() + time_limit.mul_f64(SCHEDULE_SHARE);
        let left = end.saturating_sub(now).max(RELOAD_TIME);
        let needed = (old as f64 * RELOAD_TIME.as_secs_f64() / left.as_secs_f64()).ceil();
        let usual = (all as f64 * CONCURRENT_SHARE).ceil();
        (usual.max(needed) as usize).min(all / MAX_CONCURRENT_DIVISOR).max(1)
    }

    /// Polls or orders engines that have older weights of a model.
    fn advance(
        &mut self,
        now: Time,
        model: &ModelName,
        newest: &Weights,
        time_limit: Duration,
    ) -> Vec<Action> {
        let limit = self.limit(now, model, newest, time_limit);
        let version = newest.version();
        let mut actions = Vec::new();
        while let Some(id) = self.next_engine(now, model, version, limit) {
            let Some(engine) = self.engines.get_mut(&id) else { break };
            engine.waiting = true;
            let expected = engine.report.as_ref().map(|report| report.orders);
            actions.push(match (engine.stage, expected) {
                (Stage::Polled, Some(expected)) => Action::Order {
                    server: engine.server.clone(),
                    model: model.clone(),
                    version,
                    expected,
                },
                _ => Action::Poll(engine.server.clone()),
            });
        }
        actions
    }

    /// The engine to handle next: polled ones first, leaving ones and then silent ones last, then those
    /// with the oldest weights, then those in the zone with the fewest reloads.
    fn next_engine(
        &self,
        now: Time,
        model: &ModelName,
        version: WeightVersion,
        limit: usize,
    ) -> Option<ServerId> {
        // Engines of other models leave as many of this one in service.
        let active = |engine: &&Engine| {
            engine.server.weights(model).is_some()
                && (engine.stage != Stage::Idle || engine.waiting)
        };
        let begun = self.engines.values().filter(active).count();
        let open = self.engines.iter().filter(|(_, engine)| {
            let is_next = engine.stage == Stage::Polled || begun < limit;
            let is_old = engine.server.weights(model).is_some() && !engine.has(model, version);
            let is_ordered = matches!(engine.stage, Stage::Ordered(_));
            is_next && is_old && !is_ordered && !engine.waiting && now >= engine.next
        });
        let by_zone =
            |zone| self.engines.values().filter(active).filter(|e| e.server.zone == zone).count();
        open.min_by_key(|(_, engine)| {
            let begun = u8::from(engine.stage != Stage::Polled);
            let known = engine.known(model);
            let is_last = (engine.server.leaving, engine.is_silent);
            (begun, is_last, known, by_zone(engine.server.zone.clone()))
        })
        .map(|(id, _)| id.clone())
    }
}

impl Engine {
    /// Whether it has weights of a model that are at least as new; also if it does not serve the
    /// model.
    fn has(&self, model: &ModelName, version: WeightVersion) -> bool {
        self.known(model).is_none_or(|known| known >= version)
    }

    /// Its weights of a model, by its entry or its report, whichever is newer.
    fn known(&self, model: &ModelName) -> Option<WeightVersion> {
        let reported = self.report.as_ref().filter(|report| !report.busy).and_then(|report| {
            report.models.iter().find(|(name, _)| name == model).map(|(_, version)| *version)
        });
        self.server.weights(model).max(reported)
    }
}

/// The time span in which the holder of the order lease may send orders.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeaseTerm {
    /// Fencing token; increases with each holder.
    pub fence: u64,
    /// When orders may begin; the previous holder may have sent orders until its lease ended.
    pub starts_at: Time,
    /// Earliest end of the lease.
    pub ends_at: Time,
}

impl LeaseTerm {
    /// Whether orders may be sent now.
    pub fn allows_orders(&self, now: Time) -> bool {
        now >= self.starts_at && now + LEASE_MARGIN < self.ends_at
    }
}
