//! Brings named weights to the engines.
//!
//! One instance at a time holds the right to order; [`LeaseTerm`] says when it may act on it. The
//! [`Rollout`] of that instance looks at an engine, orders the weights under the sequence number
//! that it saw, so that an order which is carried out late changes nothing, and looks again until
//! the weights are there. A few engines reload at a time, spread over the zones, so that the others
//! go on serving.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use strum::{Display, IntoStaticStr};

use super::configuration::ModelName;
use super::view::{Server, ServerId, WeightVersion, Weights};
use crate::Time;

/// Part of a model's engines that reload at once as long as there is time: what the weight stores of
/// the users' deployments serve at full speed. Load is at its worst meanwhile, as the engines that
/// are left have nothing cached.
const CONCURRENT_SHARE: f64 = 0.2;
/// Part of a model's engines that may reload at once at most; the others serve.
const MAX_CONCURRENT_DIVISOR: usize = 3;
/// Time that one engine is out for: its runs end, it loads, and the others hear of it.
const RELOAD_TIME: Duration = Duration::from_millis(1_400);
/// Part of the time until older weights can't be used any more in which the rollout is to end.
const SCHEDULE_SHARE: f64 = 0.7;
/// First look after an order: about the time that a load takes.
const FIRST_POLL_DELAY: Duration = Duration::from_millis(600);
/// Time between looks at an engine that reloads. Reports lag by a little more.
const POLL_INTERVAL: Duration = Duration::from_millis(150);
/// Time until an order is tried again after it failed or was not answered.
const ORDER_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Longest time that an engine counts as reloading without showing it.
const RELOAD_LIMIT: Duration = Duration::from_secs(4);
/// Time before a lease's end when its holder stops: an order is on its way for that long at most,
/// and clocks drift by much less.
pub const LEASE_MARGIN: Duration = Duration::from_millis(300);

/// What an engine reports of itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// Its weights.
    pub models: Vec<(ModelName, WeightVersion)>,
    /// An order is being carried out.
    pub busy: bool,
    /// Orders that it took since its start.
    pub orders: u64,
    /// Start of its life.
    pub born: Option<u64>,
}

/// How an engine took an order.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Receipt {
    /// It is carried out.
    Accepted,
    /// It holds already.
    Holds,
    /// Another order is in progress, or the number of orders differs.
    Conflict,
    /// A holder with a higher fencing token has ordered.
    Fenced,
    /// Another engine has the address.
    Misdirected,
    /// The order is wrong.
    Invalid,
    /// No answer; it may be carried out now or later.
    Unknown,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Reads an engine's report.
    Poll(Arc<Server>),
    /// Orders weights.
    Order {
        /// The engine.
        server: Arc<Server>,
        /// The model.
        model: ModelName,
        /// The weights.
        version: WeightVersion,
        /// Orders that the engine has taken so far.
        expected: u64,
    },
}

/// Progress over all engines.
#[derive(Debug, Default)]
pub struct Rollout {
    engines: BTreeMap<ServerId, Engine>,
}

/// Progress at one engine.
#[derive(Debug)]
struct Engine {
    server: Arc<Server>,
    report: Option<Report>,
    stage: Stage,
    next: Time,
    waiting: bool,
}

/// Where an engine stands.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    /// Nothing ordered.
    Idle,
    /// Its report was read; the order comes next.
    Polled,
    /// Weights were ordered then.
    Ordered(Time),
}

impl Rollout {
    /// What to do now for the named weights, which engines must have `time_limit` after they were named.
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

    /// Takes in how an order was received.
    pub fn received(&mut self, now: Time, id: &str, receipt: Receipt) {
        let Some(engine) = self.engines.get_mut(id) else { return };
        engine.waiting = false;
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

    /// Takes in an engine's report; nothing if it could not be read.
    pub fn polled(&mut self, now: Time, id: &str, report: Option<Report>) {
        let Some(engine) = self.engines.get_mut(id) else { return };
        engine.waiting = false;
        let Some(report) = report else {
            engine.next = now + ORDER_RETRY_DELAY;
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

    /// Forgets what was begun; another instance may have gone on since.
    pub fn reset(&mut self) {
        self.engines.clear();
    }

    /// Engines that reload now.
    pub fn loading(&self) -> BTreeSet<ServerId> {
        let ordered = self.engines.iter().filter(|(_, e)| matches!(e.stage, Stage::Ordered(_)));
        ordered.map(|(id, _)| id.clone()).collect()
    }

    /// Weights that engines were seen to have.
    pub fn loaded(&self) -> Vec<(ServerId, ModelName, WeightVersion)> {
        let seen = self.engines.iter().filter_map(|(id, engine)| {
            let report = engine.report.as_ref().filter(|report| !report.busy)?;
            Some(report.models.iter().map(|(m, version)| (id.clone(), m.clone(), *version)))
        });
        seen.flatten().collect()
    }

    /// Keeps one entry for each engine's life.
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
            });
            engine.server = server.clone();
        }
    }

    /// Looks at engines that reload, and ends what was begun at those that are done.
    fn poll_ordered(&mut self, now: Time, weights: &BTreeMap<ModelName, Weights>) -> Vec<Action> {
        let mut actions = Vec::new();
        for engine in self.engines.values_mut().filter(|engine| !engine.waiting) {
            let is_done = weights.iter().all(|(model, newest)| engine.has(model, newest.version()));
            if is_done {
                // One that was only looked at may have been renewed by the holder before.
                engine.stage = Stage::Idle;
            } else if matches!(engine.stage, Stage::Ordered(_)) && now >= engine.next {
                engine.waiting = true;
                actions.push(Action::Poll(engine.server.clone()));
            }
        }
        actions
    }

    /// Engines that reload at once: few, unless the time gets short.
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

    /// Begins or goes on with engines that have older weights of a model.
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

    /// The engine to go on with: one with the oldest weights, in the zone where the fewest reload.
    fn next_engine(
        &self,
        now: Time,
        model: &ModelName,
        version: WeightVersion,
        limit: usize,
    ) -> Option<ServerId> {
        let active = |engine: &&Engine| engine.stage != Stage::Idle || engine.waiting;
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
            (begun, engine.server.leaving, known, by_zone(engine.server.zone.clone()))
        })
        .map(|(id, _)| id.clone())
    }
}

impl Engine {
    /// Whether it has weights of a model at least as new.
    fn has(&self, model: &ModelName, version: WeightVersion) -> bool {
        self.known(model).is_none_or(|known| known >= version)
    }

    /// Its weights of a model, by its entry or its report.
    fn known(&self, model: &ModelName) -> Option<WeightVersion> {
        let reported = self.report.as_ref().filter(|report| !report.busy).and_then(|report| {
            report.models.iter().find(|(name, _)| name == model).map(|(_, version)| *version)
        });
        self.server.weights(model).max(reported)
    }
}

/// The right to order, held by lease.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeaseTerm {
    /// Fencing token; grows from holder to holder.
    pub fence: u64,
    /// When orders may begin: the holder before may have sent some until its lease ended.
    pub starts_at: Time,
    /// When the lease may have ended.
    pub ends_at: Time,
}

impl LeaseTerm {
    /// Whether orders may be sent now.
    pub fn allows_orders(&self, now: Time) -> bool {
        now >= self.starts_at && now + LEASE_MARGIN < self.ends_at
    }
}
