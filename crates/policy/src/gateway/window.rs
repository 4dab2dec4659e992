//! Counts over a sliding span of time, and the limits that instances share.
//!
//! No instance asks another before it sends, so each keeps to a share of a common limit that holds
//! in sum even if all of them use theirs up at the same moment.

use std::collections::VecDeque;
use std::time::Duration;

use crate::Time;

/// Events of the last span.
#[derive(Clone, Debug)]
pub struct Window {
    span: Duration,
    events: VecDeque<Time>,
}

impl Window {
    /// An empty window.
    pub fn new(span: Duration) -> Self {
        Self { span, events: VecDeque::new() }
    }

    /// Counts an event.
    pub fn add(&mut self, now: Time) {
        self.expire(now);
        self.events.push_back(now);
    }

    /// Events within the span.
    pub fn count(&mut self, now: Time) -> usize {
        self.expire(now);
        self.events.len()
    }

    /// When fewer than `limit` events remain within the span.
    pub fn free_at(&mut self, now: Time, limit: usize) -> Option<Time> {
        self.expire(now);
        if self.events.len() < limit {
            return Some(now);
        }
        let at = self.events.len().checked_sub(limit)?;
        self.events.get(at).map(|event| *event + self.span)
    }

    fn expire(&mut self, now: Time) {
        while self.events.front().is_some_and(|event| *event + self.span <= now) {
            self.events.pop_front();
        }
    }
}

/// Repeats that one service may get from this instance.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    started: Time,
    first_sends: Window,
    repeats: Window,
}

/// What the deployment allows in repeats.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryTerms {
    /// Repeats for each request of the window.
    pub ratio: f64,
    /// Repeats that are allowed besides, over all instances.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

/// Part of the allowance that is used, so that windows which other instances count a moment earlier
/// or later never sum up to more.
const RETRY_MARGIN: f64 = 0.8;

impl RetryBudget {
    /// The budget of an instance that began at `started`. Its share of what all instances have grows
    /// over the first window: a life of this instance that ended just before may have used it.
    pub fn new(terms: RetryTerms, started: Time) -> Self {
        Self { started, first_sends: Window::new(terms.window), repeats: Window::new(terms.window) }
    }

    /// Counts a request's first send.
    pub fn record_first(&mut self, now: Time) {
        self.first_sends.add(now);
    }

    /// Whether a repeat is left among `instances`.
    pub fn has_room(&mut self, now: Time, terms: RetryTerms, instances: u32) -> bool {
        let own = terms.ratio * self.first_sends.count(now) as f64;
        let age = now.saturating_sub(self.started).as_secs_f64();
        let grown = (age / terms.window.as_secs_f64()).min(1.0);
        let shared = terms.slack / f64::from(instances.max(1)) * grown;
        let allowed = ((own + shared) * RETRY_MARGIN) as usize;
        self.repeats.count(now) < allowed
    }

    /// Takes one repeat, if there is one left among `instances`.
    pub fn take(&mut self, now: Time, terms: RetryTerms, instances: u32) -> bool {
        let has_room = self.has_room(now, terms, instances);
        if has_room {
            self.repeats.add(now);
        }
        has_room
    }
}

/// What a cold upstream bears.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdTerms {
    /// Factor on the rate that a service states.
    pub factor: f64,
    /// Requests besides, in any second.
    pub slack: f64,
}

/// Requests in one second that make up the smallest share; with less, a share is of little use.
const MIN_SHARE: f64 = 2.0;
/// Part of the limit that is dealt out where not all instances have a share: they may differ for a
/// moment on who they are.
const DISTRIBUTED_SHARE: f64 = 0.8;

/// What one instance may send to a cold upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ColdShare {
    /// Each instance may send as many in one second.
    Each(usize),
    /// Only the first instances, by a rank that all of them compute alike, may send as many.
    First {
        /// Instances with a share.
        instances: usize,
        /// Requests of each.
        requests: usize,
    },
}

impl ColdShare {
    /// Deals the limit of an upstream that bears `rate` requests a second out.
    pub fn new(rate: f64, terms: ColdTerms, instances: u32) -> Self {
        let limit = rate * terms.factor + terms.slack;
        let each = limit / f64::from(instances.max(1));
        if each >= MIN_SHARE {
            return Self::Each(each as usize);
        }
        let instances = (limit * DISTRIBUTED_SHARE / MIN_SHARE) as usize;
        Self::First { instances, requests: MIN_SHARE as usize }
    }
}
