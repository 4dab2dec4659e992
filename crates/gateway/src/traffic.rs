//! What the traffic thread shares between its requests.

use std::cell::{Cell, RefCell};
use std::sync::Arc;

use acacia_policy::Time;
use acacia_policy::gateway::{Attempt, Ending, Gateway, Plan, View};

use crate::clock::Clock;
use crate::log::{Budget, Kind};
use crate::metric::Metrics;
use crate::pool::Pool;

/// State of the traffic thread.
pub struct Traffic {
    /// The clock.
    pub clock: Clock,
    /// The decisions.
    pub gateway: RefCell<Gateway>,
    /// Idle connections to upstreams.
    pub pool: RefCell<Pool>,
    /// Metrics.
    pub metrics: Metrics,
    /// Budget of log lines.
    pub log_budget: Budget,
    /// Whether the process is about to stop.
    pub phase: Cell<Phase>,
    /// Requests in hand.
    pub open_connections: Cell<u32>,
}

/// Where the process is in its life.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// It serves.
    Serving,
    /// It serves, but asks callers to go elsewhere.
    Leaving,
    /// It takes nothing new.
    Closing,
}

impl Traffic {
    /// The time.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Whether callers should be sent here.
    pub fn is_ready(&self) -> bool {
        self.phase.get() == Phase::Serving && self.gateway.borrow().view().is_some()
    }

    /// Takes a newer view in.
    pub fn observe(&self, view: Arc<View>) {
        let now = self.now();
        let mut pool = self.pool.borrow_mut();
        pool.sweep(now, |id| view.servers.contains_key(id) || view.lapsed.contains_key(id));
        self.gateway.borrow_mut().observe(now, view);
    }

    /// Takes in how an attempt ended.
    pub fn end_attempt(
        &self,
        plan: &mut Plan,
        attempt: &Attempt,
        ending: Ending,
        instance: Option<&str>,
    ) {
        let now = self.now();
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
            tracing::info!(
                id = plan.id,
                server = &*attempt.server.id,
                ending = outcome,
                answered_by = instance,
                verdict = %plan.verdict,
                after_ms = millis(now.saturating_sub(attempt.sent)),
                "attempt ended"
            );
        }
    }
}

/// A time for the log, in milliseconds.
pub fn millis(time: Time) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
