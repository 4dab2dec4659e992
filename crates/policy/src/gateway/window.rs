//! Sliding-window counters, and limits shared by all instances.
//!
//! Instances don't coordinate before they send, so each keeps to a share of a common limit. The sum
//! stays within the limit even if all of them use up their shares at the same moment.

use std::collections::VecDeque;
use std::time::Duration;

use crate::Time;

/// A sliding-window counter of events.
#[derive(Clone, Debug)]
pub struct Window {
    span: Duration,
    events: VecDeque<Time>,
}

impl Window {
    /// An empty window of the given length.
    pub fn new(span: Duration) -> Self {
        Self { span, events: VecDeque::new() }
    }

    /// Counts an event.
    pub fn add(&mut self, now: Time) {
        self.expire(now);
        self.events.push_back(now);
    }

    /// Number of events within the window.
    pub fn count(&mut self, now: Time) -> usize {
        self.expire(now);
        self.events.len()
    }

    /// When fewer than `limit` events remain within the last `span`, which is at most the length of
    /// the window; none if never.
    pub fn free_at(&mut self, now: Time, span: Duration, limit: usize) -> Option<Time> {
        self.expire(now);
        let Some(at) = self.events.len().checked_sub(limit) else { return Some(now) };
        self.events.get(at).map(|event| now.max(*event + span))
    }

    fn expire(&mut self, now: Time) {
        while self.events.front().is_some_and(|event| *event + self.span <= now) {
            self.events.pop_front();
        }
    }
}

/// Budget of this instance for repeats to one service.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    started: Time,
    first_sends: Window,
    repeats: Window,
}

/// The deployment's limits on repeats.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryTerms {
    /// Repeats allowed per request in the window.
    pub ratio: f64,
    /// Additional repeats allowed in the window, over all instances.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

/// Share of the allowance that is used, so that the sum stays within it although the instances'
/// windows are slightly shifted against each other.
const RETRY_MARGIN: f64 = 0.8;

impl RetryBudget {
    /// The budget of an instance that started at `started`. Its share of the common allowance grows
    /// over the first window, as its previous incarnation may just have used the share up.
    pub fn new(terms: RetryTerms, started: Time) -> Self {
        Self { started, first_sends: Window::new(terms.window), repeats: Window::new(terms.window) }
    }

    /// Counts a request's first send.
    pub fn record_first(&mut self, now: Time) {
        self.first_sends.add(now);
    }

    /// Whether a repeat is left in this instance's share, one of `instances`.
    pub fn has_room(&mut self, now: Time, terms: RetryTerms, instances: u32) -> bool {
        let own = terms.ratio * self.first_sends.count(now) as f64;
        let age = now.saturating_sub(self.started).as_secs_f64();
        let grown = (age / terms.window.as_secs_f64()).min(1.0);
        let shared = terms.slack / f64::from(instances.max(1)) * grown;
        let allowed = ((own + shared) * RETRY_MARGIN) as usize;
        self.repeats.count(now) < allowed
    }

    /// Takes one repeat, if one is left in this instance's share, one of `instances`.
    pub fn take(&mut self, now: Time, terms: RetryTerms, instances: u32) -> bool {
        let has_room = self.has_room(now, terms, instances);
        if has_room {
            self.repeats.add(now);
        }
        has_room
    }
}

/// The deployment's limits on requests to cold upstreams.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdTerms {
    /// Factor on the configured rate of a service.
    pub factor: f64,
    /// Additional requests in any second.
    pub slack: f64,
}

/// Minimum share of an instance, in requests per second; a smaller one is of little use.
const MIN_SHARE: f64 = 2.0;
/// Share of the limit that is distributed if not all instances get a part of it: their views of the
/// list of instances may differ for a moment.
const DISTRIBUTED_SHARE: f64 = 0.8;

/// Limit of one instance on requests to a cold upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ColdShare {
    /// Each instance may send this many per second.
    Each(usize),
    /// Only the first instances, by a rank that is equal on all of them, may send requests.
    First {
        /// Number of instances with a share.
        instances: usize,
        /// Requests per second of each.
        requests: usize,
    },
}

impl ColdShare {
    /// Divides the limit of an upstream that takes `rate` requests per second when cold.
    pub fn new(rate: f64, terms: ColdTerms, instances: u32) -> Self {
        let limit = rate * terms.factor + terms.slack;
        let each = limit / f64::from(instances.max(1));
        if each >= MIN_SHARE {
            return Self::Each(each as usize);
        }
        let instances = distributed(limit / MIN_SHARE);
        Self::First { instances, requests: MIN_SHARE as usize }
    }
}

/// Number of instances that may get a share of a limit if not all do.
pub fn distributed(shares: f64) -> usize {
    (shares * DISTRIBUTED_SHARE) as usize
}
