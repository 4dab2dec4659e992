//! What crashes each server that begins to run a request with it.

use bytes::Bytes;
use http::Method;
use parking_lot::Mutex;
use tokio::time::Instant;

use crate::exchange::Call;

/// A cause of crashes, with the times of what it did at all servers.
#[derive(Debug)]
pub struct Cause {
    trigger: Trigger,
    record: Mutex<Record>,
}

/// By what a request is recognised.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Trigger {
    /// A part of its prompt with this id.
    Part(String),
    /// The request as a whole, under any id.
    Request {
        /// HTTP method.
        method: Method,
        /// Path with the query.
        path: String,
        /// Complete body.
        body: Bytes,
    },
}

/// Requests with the cause that reached servers, and crashes.
#[derive(Clone, Debug, Default)]
pub struct Record {
    /// When requests reached a server, repeats included.
    pub arrivals: Vec<Instant>,
    /// When a server crashed.
    pub crashes: Vec<Instant>,
}

impl Cause {
    /// A cause that no server has met.
    pub fn new(trigger: Trigger) -> Self {
        Self { trigger, record: Mutex::default() }
    }

    /// What it did so far.
    pub fn record(&self) -> Record {
        self.record.lock().clone()
    }

    /// Whether a request has it.
    pub(super) fn is_in(&self, call: &Call) -> bool {
        match &self.trigger {
            Trigger::Part(part) => {
                let mut parts = call.header("x-prompt-prefix").split(',');
                parts.any(|other| other.split_once(':').is_some_and(|(id, _)| id == part))
            }
            Trigger::Request { method, path, body } => {
                let (target, query) = path.split_once('?').unwrap_or((path, ""));
                call.method == *method
                    && call.path == target
                    && call.query == query
                    && call.body == *body
            }
        }
    }

    pub(super) fn arrived(&self) {
        self.record.lock().arrivals.push(Instant::now());
    }

    pub(super) fn crashed(&self) {
        self.record.lock().crashes.push(Instant::now());
    }
}
