//! The state of one order: how far it is, and what was counted for it.
//!
//! The schedule, counted back from the order's end:
//!
//! | phase | share of the target | until |
//! |---|---|---|
//! | canary | a quarter of the bound | the final window begins |
//! | ramp | 0.3 | a quarter of the window has passed and nothing is suspicious |
//! | full | 1 | nothing runs at the old upstreams, or the end is near |
//! | completed | 1 | |
//!
//! The window is so long that its requests, with those before, are about as many as the bound allows:
//! a version that turns bad within it has got no more by the end.

use std::collections::BTreeMap;
use std::time::Duration;

use super::evidence::{
    Cell, EARLY_SPANS, Evidence, FULL_SPAN, Ledger, MESSAGE_ROWS, RAMP_SPAN, Strength, Timing,
    Version,
};
use super::{Identity, Order, Progress, RouteKey, State, Status, Terms};
use crate::Time;
use crate::gateway::configuration::ServiceName;
use crate::gateway::gossip::Incarnation;

/// Part of the allowed share that the target gets until the final window.
const CANARY_PART: f64 = 0.25;
/// Part of the allowed share that is planned for; each instance draws at random.
const PLANNED_PART: f64 = 0.9;
/// Requests of the slack that are left for chance.
const SPARE_SLACK: f64 = 10.0;
/// Part of the remaining slack that is planned for, as the rate of requests may change.
const SLACK_PART: f64 = 0.85;
/// Share of the target while it rises: enough to show within a moment whether it bears load.
const RAMP_SHARE: f64 = 0.3;
/// Length of the final window for each second of requests that are allowed in it.
const WINDOW_FACTOR: f64 = 1.2;
/// Least length of the final window: responses, messages, and a write to the metadata store need it.
const MIN_WINDOW: Duration = Duration::from_millis(1_350);
/// Greatest length of the final window; longer than most requests run.
const MAX_WINDOW: Duration = Duration::from_secs(8);
/// Longest time for which the share rises.
const MAX_RAMP: Duration = Duration::from_secs(1);
/// Longest time before the end at which completion is recorded at the latest.
const MAX_TAIL: Duration = Duration::from_millis(800);
/// Longest time for which requests at old upstreams are waited for once the order's end has passed, as
/// the metadata store was silent.
const LATE_DRAIN: Duration = Duration::from_secs(3);
/// Responses of the target while it gets all requests, without which completion waits for more.
const ENOUGH_RESPONSES: u32 = 100;
/// Old responses in the ramp from which a target without any has not proved itself.
const UNPROVEN_RESPONSES: u32 = 20;
/// Time over which the rate of requests is measured at least.
const RATE_SPAN: Duration = Duration::from_secs(1);
/// Time between two messages to few instances, and to hundreds.
const TELL_INTERVAL: Duration = Duration::from_millis(250);
const WIDE_TELL_INTERVAL: Duration = Duration::from_millis(650);
/// The same after a response of the target. If only bad ones were told early, they would seem more
/// frequent than they are.
const URGENT_INTERVAL: Duration = Duration::from_millis(60);
const WIDE_URGENT_INTERVAL: Duration = Duration::from_millis(150);
/// Time for which the evidence must be conclusive: when something else makes both versions fail, the
/// others' responses of the old version are known by then.
const CONFIRMATION: Duration = Duration::from_millis(800);
/// The same while the target gets many requests; all instances tell their responses at once then.
const LATE_CONFIRMATION: Duration = Duration::from_millis(250);
/// Time for which a final state is told, as the metadata store tells it too.
const FINAL_RETENTION: Duration = Duration::from_secs(10);

/// The state of one order.
#[derive(Clone, Debug)]
pub struct Rollout {
    order: Order,
    service: ServiceName,
    terms: Terms,
    identity: Identity,
    /// When any instance first saw the order, as far as it is known.
    started: Time,
    progress: Progress,
    /// When the target's share began to rise.
    ramp_at: Option<Time>,
    /// When it began to get all requests.
    full_at: Option<Time>,
    /// When the state became final here.
    final_at: Option<Time>,
    /// Whether the metadata store has a final state.
    is_recorded: bool,
    /// Whether the operator removed the order.
    is_withdrawn: bool,
    /// When the metadata store or another instance was last heard.
    contact: Time,
    ledger: Ledger,
    /// How far the others are.
    others: BTreeMap<Incarnation, Progress>,
    /// When the others were last told, and whether there is news that they need at once.
    told_at: Time,
    is_urgent: bool,
    /// How clearly the evidence is against the target, and whether it changed since it was weighed.
    strength: Strength,
    is_changed: bool,
    /// Since when the evidence is conclusive.
    conclusive_since: Option<Time>,
}

/// What a decision depends on besides the evidence.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Surroundings {
    /// Whether the metadata store doesn't answer.
    pub is_store_silent: bool,
    /// Whether an upstream of the target may get requests.
    pub has_target: bool,
    /// Whether nothing of this instance runs at old upstreams.
    pub is_drained: bool,
    /// Number of other instances.
    pub others: usize,
}

impl Rollout {
    /// The state of an order that was just seen.
    pub fn new(
        now: Time,
        service: ServiceName,
        order: Order,
        terms: Terms,
        own: Incarnation,
    ) -> Self {
        let identity = Identity { incarnation: own, order: order.key(&service) };
        Self {
            started: order.seen.min(now),
            order,
            service,
            terms,
            identity,
            progress: Progress::Canary,
            ramp_at: None,
            full_at: None,
            final_at: None,
            is_recorded: false,
            is_withdrawn: false,
            contact: now,
            ledger: Ledger::default(),
            others: BTreeMap::new(),
            told_at: Time::ZERO,
            is_urgent: true,
            strength: Strength::default(),
            is_changed: false,
            conclusive_since: None,
        }
    }

    /// The order.
    pub fn order(&self) -> &Order {
        &self.order
    }

    /// How far it is.
    pub fn progress(&self) -> Progress {
        self.progress
    }

    /// What was counted.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Whether the operator removed the order.
    pub fn is_withdrawn(&self) -> bool {
        self.is_withdrawn
    }

    /// When any instance first saw the order.
    pub fn started(&self) -> Time {
        self.started
    }

    /// Updates it from what the metadata store has; a state that it has as final is final.
    pub fn observe(&mut self, now: Time, order: Option<&Order>, status: Option<&Status>) {
        self.is_withdrawn = order.is_none();
        if let Some(order) = order.filter(|order| order.revision != self.order.revision) {
            self.order.revision = order.revision;
            self.identity.order = self.order.key(&self.service);
        }
        let status = status.filter(|status| status.is_of(&self.order));
        let progress = match status.map(|status| status.state) {
            Some(State::Completed) => Progress::Completed,
            Some(State::RolledBack) => Progress::RolledBack,
            Some(State::Running) | None => {
                self.is_recorded = false;
                return;
            }
        };
        self.is_recorded = true;
        self.enter(now, progress);
    }

    /// The target's share of the requests.
    pub fn share(&self, now: Time) -> f64 {
        match self.progress {
            Progress::RolledBack => 0.0,
            _ if self.is_withdrawn => 0.0,
            // Others may have rolled it back without this instance knowing.
            Progress::Canary if now >= self.contact + self.terms.rollback / 2 => 0.0,
            Progress::Canary => self.canary_share(),
            Progress::Ramp => RAMP_SHARE.max(self.canary_share()),
            Progress::Full | Progress::Drained | Progress::Completed => 1.0,
        }
    }

    fn canary_share(&self) -> f64 {
        (self.terms.share * CANARY_PART).clamp(0.0, 1.0)
    }

    /// Records a response to a request that was sent at `sent`.
    pub fn record(
        &mut self,
        sent: Time,
        route: RouteKey,
        version: Version,
        has_failed: bool,
        timing: Option<Timing>,
    ) {
        // What was sent before the order was sent under another load.
        if sent < self.started || self.is_over() {
            return;
        }
        let cell = Cell { route, span: self.span(sent), version };
        self.ledger.record(self.identity.incarnation, cell, has_failed, timing);
        self.is_changed = true;
        self.is_urgent |= version == Version::Target || self.ramp_at.is_some();
    }

    /// Whether no more responses are counted.
    fn is_over(&self) -> bool {
        matches!(self.progress, Progress::Completed | Progress::RolledBack)
    }

    /// The span in which a request was sent.
    fn span(&self, sent: Time) -> u8 {
        if self.full_at.is_some_and(|at| sent >= at) {
            return FULL_SPAN;
        }
        if self.ramp_at.is_some_and(|at| sent >= at) {
            return RAMP_SPAN;
        }
        let length = (self.order.duration / u32::from(EARLY_SPANS)).max(Duration::from_millis(1));
        let number = sent.saturating_sub(self.started).as_millis() / length.as_millis();
        u8::try_from(number).unwrap_or(u8::MAX).min(EARLY_SPANS - 1)
    }

    /// Records what another instance tells; true if it concerns this order.
    pub fn receive(&mut self, now: Time, evidence: &Evidence) -> bool {
        if evidence.order != self.identity.order {
            return false;
        }
        self.contact = self.contact.max(now);
        let age = Duration::from_millis(evidence.age_ms.into());
        self.started = self.started.min(now.saturating_sub(age));
        if evidence.reporter != self.identity.incarnation {
            self.others.insert(evidence.reporter, evidence.progress);
        }
        self.ledger.receive(evidence.reporter, &evidence.rows);
        self.is_changed = true;
        // What one instance has found out holds for all, unless the metadata store has it otherwise.
        if evidence.progress == Progress::RolledBack && !self.is_over() {
            self.enter(now, Progress::RolledBack);
        }
        true
    }

    /// Takes the next step that is due; the progress if it has changed.
    pub fn advance(&mut self, now: Time, around: Surroundings) -> Option<Progress> {
        let before = self.progress;
        if !around.is_store_silent {
            self.contact = self.contact.max(now);
        }
        if !self.is_over() && !self.is_withdrawn {
            let next = self.next(now, around);
            self.enter(now, next);
        }
        (self.progress != before).then_some(self.progress)
    }

    fn next(&mut self, now: Time, around: Surroundings) -> Progress {
        let strength = self.weigh();
        if strength.is_conclusive() {
            let since = *self.conclusive_since.get_or_insert(now);
            let is_early = self.progress == Progress::Canary;
            let time = if is_early { CONFIRMATION } else { LATE_CONFIRMATION };
            let is_confirmed = now >= since + time;
            return if is_confirmed { Progress::RolledBack } else { self.progress };
        }
        self.conclusive_since = None;
        let window = self.window();
        let is_held = strength.is_suspicious() || !around.has_target || self.is_unproven();
        let is_late = !around.is_store_silent && now >= self.end().saturating_sub(tail(window));
        match self.progress {
            Progress::Canary if around.is_store_silent => Progress::Canary,
            Progress::Canary if now >= self.end().saturating_sub(window) => Progress::Ramp,
            Progress::Ramp if around.is_store_silent => Progress::Canary,
            Progress::Ramp if is_held && is_late => Progress::RolledBack,
            Progress::Ramp if is_held || now < self.ramp_end(window) => Progress::Ramp,
            Progress::Ramp => Progress::Full,
            Progress::Full | Progress::Drained if is_held && is_late => Progress::RolledBack,
            Progress::Full | Progress::Drained if around.is_drained => Progress::Drained,
            Progress::Full | Progress::Drained => Progress::Full,
            progress => progress,
        }
    }

    fn weigh(&mut self) -> Strength {
        if std::mem::take(&mut self.is_changed) {
            self.strength = self.ledger.strength();
        }
        self.strength
    }

    fn enter(&mut self, now: Time, progress: Progress) {
        if progress == self.progress {
            return;
        }
        match progress {
            Progress::Canary => self.ramp_at = None,
            Progress::Ramp => self.ramp_at = Some(now),
            Progress::Full | Progress::Drained => {
                self.full_at.get_or_insert(now);
            }
            Progress::Completed | Progress::RolledBack => self.final_at = Some(now),
        }
        self.progress = progress;
        self.is_urgent = true;
    }

    /// The order's end.
    pub fn end(&self) -> Time {
        self.started + self.order.duration
    }

    /// Length of the final window.
    fn window(&self) -> Duration {
        let duration = self.order.duration.as_secs_f64();
        let share = (self.terms.share * PLANNED_PART - self.canary_share()).max(0.0) * duration;
        let slack = (self.terms.slack - SPARE_SLACK).max(0.0) * SLACK_PART;
        let seconds = share + self.rate().map_or(0.0, |rate| slack / rate);
        let window = Duration::from_secs_f64((seconds * WINDOW_FACTOR).min(3_600.0));
        window.clamp(MIN_WINDOW, MAX_WINDOW).min(self.order.duration / 2)
    }

    /// Requests per second at all instances in the time at the small share; none if it is unknown.
    fn rate(&self) -> Option<f64> {
        let until = self.end().saturating_sub(MAX_WINDOW.min(self.order.duration / 2));
        let span = until.saturating_sub(self.started);
        let spans = EARLY_SPANS / 2;
        let first = self.order.duration / u32::from(EARLY_SPANS) * u32::from(spans);
        let seen = self.ledger.sum(|cell| cell.span < spans).responses;
        let time = first.min(span).max(RATE_SPAN).as_secs_f64();
        (seen > 0).then(|| f64::from(seen) / time)
    }

    /// When the share has risen for long enough.
    fn ramp_end(&self, window: Duration) -> Time {
        self.ramp_at.unwrap_or_default() + (window / 4).min(MAX_RAMP)
    }

    /// Whether the target has not answered at all while the old version has.
    fn is_unproven(&self) -> bool {
        self.late_responses(Version::Target) == 0
            && self.late_responses(Version::Old) >= UNPROVEN_RESPONSES
    }

    /// Responses to requests of the final window.
    fn late_responses(&self, version: Version) -> u32 {
        self.ledger.sum(|cell| cell.span >= RAMP_SPAN && cell.version == version).responses
    }

    /// The state that belongs into the metadata store.
    pub fn verdict(&self, now: Time, around: Surroundings) -> State {
        match self.progress {
            Progress::RolledBack => State::RolledBack,
            Progress::Completed => State::Completed,
            _ if self.may_complete(now, around) => State::Completed,
            _ => State::Running,
        }
    }

    /// Whether the old upstreams may stop: nothing runs there any more, or the end is near.
    fn may_complete(&self, now: Time, around: Surroundings) -> bool {
        let Some(full_at) = self.full_at else { return false };
        if self.progress < Progress::Full || self.strength.is_suspicious() {
            return false;
        }
        let window = self.window();
        let earliest = full_at + window.mul_f64(0.3);
        let latest = if full_at < self.end() {
            earliest.max(self.end().saturating_sub(tail(window)))
        } else {
            full_at + LATE_DRAIN
        };
        let drained = self.others.values().filter(|progress| **progress >= Progress::Drained);
        let is_drained = self.progress == Progress::Drained && drained.count() >= around.others;
        let full = |cell: &Cell| cell.span == FULL_SPAN && cell.version == Version::Target;
        let is_proven = self.ledger.sum(full).responses >= ENOUGH_RESPONSES;
        now >= earliest && around.has_target && ((is_drained && is_proven) || now >= latest)
    }

    /// What the others are to be told now, with all rows of the latest spans if `is_full`.
    pub fn take_evidence(&mut self, now: Time, is_full: bool, is_wide: bool) -> Vec<Evidence> {
        let interval = match (self.is_urgent, is_wide) {
            (true, false) => URGENT_INTERVAL,
            (true, true) => WIDE_URGENT_INTERVAL,
            (false, false) => TELL_INTERVAL,
            (false, true) => WIDE_TELL_INTERVAL,
        };
        let is_settled = self.is_recorded || self.is_withdrawn;
        let is_old = self.final_at.is_some_and(|at| is_settled && now >= at + FINAL_RETENTION);
        let is_due = now >= self.told_at + interval && (is_full || !is_wide || self.is_urgent);
        if is_old || self.is_withdrawn || !is_due {
            return Vec::new();
        }
        self.told_at = now;
        self.is_urgent = false;
        let from = self.span(now).saturating_sub(1);
        self.evidence(now, self.identity.incarnation, self.progress, from)
    }

    /// All that is known, for an instance that starts.
    pub fn all_evidence(&self, now: Time) -> Vec<Evidence> {
        let own = self.identity.incarnation;
        let others = self.ledger.reporters().filter(|reporter| *reporter != own);
        let others = others.flat_map(|reporter| {
            let progress = self.others.get(&reporter).copied().unwrap_or_default();
            self.evidence(now, reporter, progress, 0)
        });
        others.chain(self.evidence(now, own, self.progress, 0)).collect()
    }

    fn evidence(
        &self,
        now: Time,
        reporter: Incarnation,
        progress: Progress,
        from: u8,
    ) -> Vec<Evidence> {
        let age = now.saturating_sub(self.started).as_millis();
        let age_ms = u32::try_from(age).unwrap_or(u32::MAX);
        let order = self.identity.order;
        let message = |rows: &[_]| {
            let rows = rows.to_vec();
            Evidence { order, reporter, age_ms, progress, rows }
        };
        let rows = self.ledger.rows(reporter, from);
        if rows.is_empty() {
            return vec![message(&[])];
        }
        rows.chunks(MESSAGE_ROWS).map(message).collect()
    }
}

/// Time before the end at which completion is recorded at the latest.
fn tail(window: Duration) -> Duration {
    window.mul_f64(0.37).min(MAX_TAIL)
}
