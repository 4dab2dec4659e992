//! State that the requests of the traffic thread share.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use acacia_policy::gateway::configuration::{Limits, ModelName};
use acacia_policy::gateway::quarantine::Kind as SuspectKind;
use acacia_policy::gateway::{Attempt, Ending, Gateway, Plan, View, WeightVersion, Weights};
use acacia_policy::{Time, Verdict};
use tokio::sync::{Notify, watch};

use crate::attempt::Progress;
use crate::clock::Clock;
use crate::log::{Budget, Kind};
use crate::memory::Memory;
use crate::metric::Metrics;
use crate::pool::Pool;

/// Longest wait for a view that is known to be current: a hundred times the latency of the metadata
/// store.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of parts in a log line.
const LOGGED_PARTS: usize = 32;

/// State of the traffic thread.
pub struct Traffic {
    /// The clock of the process.
    pub clock: Clock,
    /// The state and the decisions of the gateway.
    pub gateway: RefCell<Gateway>,
    /// Idle connections to upstreams.
    pub pool: RefCell<Pool>,
    /// The metrics of the process.
    pub metrics: Metrics,
    /// Budget of log lines on requests.
    pub log_budget: Budget,
    /// Memory that requests, answers and connections share.
    pub memory: Memory,
    /// The phase of the process.
    pub phase: Cell<Phase>,
    /// Whether this instance has asked others what they know, or had none to ask.
    pub is_informed: Cell<bool>,
    /// When the process ends at the latest, once it accepts no new connections.
    pub ends: Cell<Option<Time>>,
    /// Limits on callers' requests and connections, by the latest view.
    pub limits: watch::Sender<Limits>,
    /// The announced weights, by the latest view.
    pub weights: watch::Sender<BTreeMap<ModelName, Weights>>,
    /// The time up to which the latest view contains all changes.
    pub view_time: watch::Sender<Time>,
    /// Tells the control thread that a request needs a current view.
    pub view_doubts: Arc<Notify>,
    /// Counts paths to upstreams that were lost or regained.
    pub path_changes: watch::Sender<u64>,
    /// Tells the prober of paths that a failure put in doubt.
    pub path_doubts: Notify,
    /// Wakes the exchange of messages, as a long prompt was sent.
    pub untold_prompts: Notify,
    /// Open connections of callers.
    pub open_connections: Cell<u32>,
}

/// Phase of the process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// Serves requests.
    Serving,
    /// Still serves, but is not ready and closes connections after the answer.
    Leaving,
    /// Accepts no new connections.
    Closing,
}

impl Traffic {
    /// The current time.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Whether the instance accepts new callers.
    pub fn is_ready(&self) -> bool {
        self.phase.get() == Phase::Serving && self.is_informed.get()
    }

    /// Whether the process may end before a request that was not sent yet. The caller gets a refusal
    /// then, and not a connection that is cut while an upstream runs the request.
    pub fn may_end_before(&self, plan: &Plan) -> bool {
        let is_unsent = plan.sends == 0 && plan.verdict == Verdict::NotRun;
        is_unsent && self.ends.get().is_some_and(|ends| plan.deadline > ends)
    }

    /// Applies a newer view.
    pub fn observe(&self, view: Arc<View>) {
        let now = self.now();
        let newer = &view.configuration.limits;
        self.limits.send_if_modified(|limits| {
            let is_changed = limits != newer;
            limits.clone_from(newer);
            is_changed
        });
        self.log_isolation(&view);
        let mut pool = self.pool.borrow_mut();
        pool.sweep(now, |id| view.servers.contains_key(id) || view.expired.contains_key(id));
        self.gateway.borrow_mut().observe(now, view.clone());
        self.view_time.send_replace(view.as_of);
        self.weights.send_if_modified(|weights| {
            let is_changed = *weights != view.weights;
            weights.clone_from(&view.weights);
            is_changed
        });
    }

    /// Logs a change of the isolated organisations, after which shared parts are computed anew.
    fn log_isolation(&self, view: &View) {
        let gateway = self.gateway.borrow();
        let known = gateway.view().map(|known| &known.configuration.namespaces);
        let namespaces = &view.configuration.namespaces;
        let is_changed = known.map_or(namespaces.isolated() > 0, |known| known != namespaces);
        if is_changed {
            let (isolated, version) = (namespaces.isolated(), view.configuration.version);
            tracing::info!(isolated, version, "isolated organisations changed");
        }
    }

    /// Waits for a view that contains all changes up to a time, for as long as one is likely to come.
    pub async fn confirm_view(&self, time: Time) {
        let mut view_time = self.view_time.subscribe();
        self.view_doubts.notify_one();
        let is_current = view_time.wait_for(|as_of| *as_of >= time);
        let _ = tokio::time::timeout(CONFIRMATION_TIMEOUT, is_current).await;
    }

    /// Waits until prompts that were sent for these weights are given up if they have not begun.
    pub async fn start_ended(&self, model: &ModelName, version: WeightVersion) {
        let mut announced = self.weights.subscribe();
        loop {
            let end = self.gateway.borrow().start_end(model, version);
            let now = self.now();
            let changed = announced.changed();
            match end {
                Some(end) if now >= end => return,
                Some(end) => {
                    // A newer announcement, or its earlier time, moves the end.
                    let _ = tokio::time::timeout(end.saturating_sub(now), changed).await;
                }
                None if changed.await.is_err() => return std::future::pending().await,
                None => {}
            }
        }
    }

    /// Records how an attempt ended.
    pub fn end_attempt(
        &self,
        plan: &mut Plan,
        attempt: &Attempt,
        ending: Ending,
        instance: Option<&str>,
        progress: Progress,
    ) {
        let now = self.now();
        let (has_answer, is_new) = (progress.framing.is_some(), progress.is_new_connection);
        self.gateway.borrow_mut().path_ended(now, plan, attempt, ending, has_answer, is_new);
        if self.gateway.borrow().is_path_in_doubt(&plan.service) {
            self.path_doubts.notify_one();
        }
        self.gateway.borrow_mut().ended(now, plan, attempt, ending, instance);
        if matches!(ending, Ending::Broken | Ending::Lost | Ending::Unreachable | Ending::Silent) {
            self.pool.borrow_mut().close_all(&attempt.server.id);
        }
        let outcome: &'static str = ending.into();
        self.metrics.attempt(outcome);
        let kind = match ending {
            Ending::Answered => Kind::Usual,
            _ => Kind::Failure,
        };
        if self.log_budget.admits(now, kind) {
            let shared_parts = (ending == Ending::Broken).then(|| shared_parts(plan)).flatten();
            let is_crash = ending == Ending::Broken && attempt.began.is_none();
            let request_key = is_crash.then(|| format!("{:016x}", plan.subjects.request()));
            let started = attempt.began.unwrap_or(now);
            let outdated = self.gateway.borrow().outdated_for(started, attempt);
            tracing::info!(
                id = plan.id,
                server = &*attempt.server.id,
                ending = outcome,
                began = attempt.began.is_some(),
                started_after_ms = millis(started.saturating_sub(attempt.sent)),
                weights = attempt.engine.as_ref().map(|run| run.weights),
                outdated_ms = outdated.map(millis),
                shared_parts,
                request_key,
                answered_by = instance,
                framing = progress.framing.map(<&'static str>::from),
                incomplete_bytes = progress.incomplete_bytes,
                fault = progress.fault,
                verdict = %plan.verdict,
                after_ms = millis(now.saturating_sub(attempt.sent)),
                "attempt ended"
            );
        }
        self.report_findings();
    }

    /// Logs and counts paths to upstreams that were lost or regained.
    pub fn report_paths(&self) {
        let changes = self.gateway.borrow_mut().take_path_changes();
        if !changes.is_empty() {
            self.path_changes.send_modify(|count| *count += 1);
        }
        for change in changes {
            self.metrics.path(if change.lost.is_some() { "lost" } else { "regained" });
            tracing::warn!(
                service = &*change.service,
                lost = change.lost.map(<&'static str>::from),
                failed_upstreams = change.failed,
                unanswered = change.pending,
                silence_ms = change.silence.map(millis),
                after_ms = millis(change.after),
                "path to upstreams changed"
            );
        }
    }

    /// Logs and counts changes of upstreams' limits on requests and on refusals.
    pub fn report_limits(&self) {
        let changes = self.gateway.borrow_mut().take_limit_changes();
        for change in changes {
            self.metrics.limit(if change.rate.is_some() { "limited" } else { "unlimited" });
            if self.log_budget.admits(self.now(), Kind::Failure) {
                tracing::warn!(
                    server = &*change.server,
                    requests_per_s = change.rate,
                    recent_sends = change.recent_sends,
                    "rate limit changed"
                );
            }
        }
        let changes = self.gateway.borrow_mut().take_tolerance_changes();
        for change in changes {
            self.metrics.tolerance(if change.tolerance.is_some() {
                "limited"
            } else {
                "unlimited"
            });
            if self.log_budget.admits(self.now(), Kind::Failure) {
                tracing::warn!(
                    server = &*change.server,
                    refusals_per_s = change.tolerance,
                    "limit on refusals changed"
                );
            }
        }
    }

    /// Logs and counts changes in the restrictions on parts of prompts and on requests.
    pub fn report_findings(&self) {
        let findings = self.gateway.borrow_mut().take_findings();
        for finding in findings {
            let state: &'static str = finding.state.into();
            self.metrics.suspect(finding.kind.into(), state);
            if !self.log_budget.admits(self.now(), Kind::Failure) {
                continue;
            }
            let crashes = finding.crashes.iter();
            let crashes: Vec<String> =
                crashes.map(|(server, age)| format!("{server} {} ms ago", millis(*age))).collect();
            let key = format!("{:016x}", finding.key);
            let (crashes, hold_ms) = (crashes.join(", "), finding.hold.map(millis));
            match finding.kind {
                SuspectKind::Part => tracing::warn!(
                    part = finding.id,
                    part_key = key,
                    state,
                    crashes,
                    hold_ms,
                    "part restricted or cleared"
                ),
                SuspectKind::Request => tracing::warn!(
                    request_key = key,
                    state,
                    crashes,
                    hold_ms,
                    "request restricted or cleared"
                ),
            }
        }
    }
}

/// Ids of the parts of a prompt that other requests may contain, for the log.
fn shared_parts(plan: &Plan) -> Option<String> {
    let shared = plan.prompt.as_ref()?.shared();
    let ids: Vec<&str> = shared.iter().take(LOGGED_PARTS).map(|part| &*part.id).collect();
    Some(ids.join(" "))
}

/// Milliseconds of a time, for the log.
pub fn millis(time: Time) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
