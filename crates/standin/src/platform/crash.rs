//! A prompt part that crashes each engine that begins to write an answer on it.

use parking_lot::Mutex;
use tokio::time::Instant;

/// The part, with the times of what it caused at all engines.
#[derive(Debug)]
pub struct Part {
    id: String,
    record: Mutex<Record>,
}

/// Requests with the part that reached engines, and crashes.
#[derive(Clone, Debug, Default)]
pub struct Record {
    /// When requests reached an engine, repeats included.
    pub arrivals: Vec<Instant>,
    /// When an engine crashed.
    pub crashes: Vec<Instant>,
}

impl Part {
    /// The part with this id.
    pub fn new(id: impl Into<String>) -> Self {
        Self { id: id.into(), record: Mutex::default() }
    }

    /// What it caused so far.
    pub fn record(&self) -> Record {
        self.record.lock().clone()
    }

    /// Whether it is one of the parts in the prompt header of a request.
    pub(super) fn is_in(&self, prompt: &str) -> bool {
        let ids = prompt.split(',').filter_map(|part| part.split_once(':'));
        ids.into_iter().any(|(id, _)| id == self.id)
    }

    pub(super) fn arrived(&self) {
        self.record.lock().arrivals.push(Instant::now());
    }

    pub(super) fn crashed(&self) {
        self.record.lock().crashes.push(Instant::now());
    }
}
