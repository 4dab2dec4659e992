//! What a server knows of its runs: when each sent something and how it ended.

use std::sync::Arc;

use parking_lot::Mutex;
use tokio::time::Instant;

/// A run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    /// Id of the request.
    pub id: String,
    /// Version of the weights that it began on; none at a plain service.
    pub weights: Option<u64>,
    /// When it began.
    pub began: Instant,
    /// When events, or a whole plain answer, were sent.
    pub sent: Vec<Instant>,
    /// Until when the server is silent, if it is.
    pub silent_until: Option<Instant>,
    /// When and how it ended; none while it runs.
    pub end: Option<(Instant, End)>,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// The whole answer was sent.
    Answered,
    /// The server closed the connection before the end of the answer.
    BrokenOff,
    /// The other side closed the connection before the end of the answer.
    Cancelled,
}

/// The runs of a server.
#[derive(Debug, Default)]
pub struct Ledger(Mutex<Vec<Run>>);

impl Ledger {
    /// The runs so far, in the order in which they began.
    pub fn runs(&self) -> Vec<Run> {
        self.0.lock().clone()
    }

    /// Records the begin of a run.
    pub fn begin(self: &Arc<Self>, id: String, weights: Option<u64>) -> Entry {
        let mut runs = self.0.lock();
        let began = Instant::now();
        runs.push(Run { id, weights, began, sent: Vec::new(), silent_until: None, end: None });
        Entry { ledger: self.clone(), index: runs.len() - 1 }
    }
}

/// A run in progress; dropping it records that it was cancelled, unless it has ended.
#[derive(Debug)]
pub struct Entry {
    ledger: Arc<Ledger>,
    index: usize,
}

impl Entry {
    /// Records that an event was sent.
    pub fn sent(&self) {
        self.change(|run| run.sent.push(Instant::now()));
    }

    /// Records a silence, or its end.
    pub fn silent(&self, until: Option<Instant>) {
        self.change(|run| run.silent_until = until);
    }

    /// Records the end of the run, unless it has ended.
    pub fn end(&self, end: End) {
        self.change(|run| {
            run.end.get_or_insert((Instant::now(), end));
        });
    }

    fn change(&self, change: impl FnOnce(&mut Run)) {
        change(&mut self.ledger.0.lock()[self.index]);
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.end(End::Cancelled);
    }
}
