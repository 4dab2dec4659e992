//! A software version of a service, of which some answers may be bad.
//!
//! All servers of the version share it. It records the requests that reach them and the bad
//! answers that they give, so that a test can check how far a bad version was exposed.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::time::Instant;

use crate::exchange::Call;

/// A software version.
#[derive(Debug)]
pub struct Release {
    version: String,
    flaw: Mutex<Option<(Instant, Flaw)>>,
    record: Mutex<Record>,
}

/// What is bad about a version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Flaw {
    /// How its bad answers differ.
    pub symptom: Symptom,
    /// Share of the answers that are bad, from 0 to 1.
    pub share: f64,
    /// When it begins.
    pub onset: Onset,
    /// Prefix of the paths that have it; all if absent.
    pub prefix: Option<&'static str>,
}

/// How a bad answer differs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Symptom {
    /// It is a failure with status 500.
    Failure,
    /// The answer and each of its events take as many times as long.
    Slowness(f64),
}

/// When a flaw begins.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Onset {
    /// At once.
    Immediate,
    /// Some time after the version has got the flaw.
    Later(Duration),
    /// After as many requests reached the version.
    Requests(usize),
}

/// What reached a version, and what was bad.
#[derive(Clone, Debug, Default)]
pub struct Record {
    /// Requests that reached a server, refused ones included.
    pub arrivals: Vec<Arrival>,
    /// When bad answers were sent.
    pub failures: Vec<Instant>,
    /// Number of answers that could have been bad.
    judged: usize,
}

/// A request that reached a server.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When.
    pub at: Instant,
    /// Its id.
    pub id: String,
    /// Its path.
    pub path: String,
}

impl Release {
    /// A version without flaws that no request has reached.
    pub fn new(version: &str) -> Arc<Self> {
        let (flaw, record) = Default::default();
        Arc::new(Self { version: version.to_owned(), flaw, record })
    }

    /// The version, as entries of its servers state it.
    pub fn version(&self) -> &str {
        &self.version
    }

    /// Gives the version a flaw from now on, or none.
    pub fn set_flaw(&self, flaw: Option<Flaw>) {
        *self.flaw.lock() = flaw.map(|flaw| (Instant::now(), flaw));
    }

    /// What reached it so far.
    pub fn record(&self) -> Record {
        self.record.lock().clone()
    }

    /// Records that a request reached a server.
    pub(super) fn arrive(&self, call: &Call) {
        let (id, path) = (call.header("x-request-id").to_owned(), call.path.clone());
        self.record.lock().arrivals.push(Arrival { at: Instant::now(), id, path });
    }

    /// What is bad about the answer to a request that runs now. Bad answers are spread evenly.
    pub(super) fn draw(&self, call: &Call) -> Option<Symptom> {
        let (since, flaw) = (*self.flaw.lock())?;
        let mut record = self.record.lock();
        let has_begun = match flaw.onset {
            Onset::Immediate => true,
            Onset::Later(time) => Instant::now() >= since + time,
            Onset::Requests(count) => record.arrivals.len() > count,
        };
        if !has_begun || flaw.prefix.is_some_and(|prefix| !call.path.starts_with(prefix)) {
            return None;
        }
        let bad = |judged: usize| (judged as f64 * flaw.share).floor();
        record.judged += 1;
        (bad(record.judged) > bad(record.judged - 1)).then_some(flaw.symptom)
    }

    /// Records that a bad answer is sent.
    pub(super) fn fail(&self) {
        self.record.lock().failures.push(Instant::now());
    }
}

impl Symptom {
    /// The time that an answer takes that would otherwise take `usual`.
    pub(super) fn latency(self, usual: Duration) -> Duration {
        match self {
            Self::Failure => usual,
            Self::Slowness(factor) => usual.mul_f64(factor),
        }
    }
}

impl Record {
    /// Requests that reached the version between two times.
    pub fn count(&self, from: Instant, until: Instant) -> usize {
        let is_within = |arrival: &&Arrival| from <= arrival.at && arrival.at < until;
        self.arrivals.iter().filter(is_within).count()
    }

    /// Requests that reached the version more than `span` after its bad answer of this number.
    pub fn late(&self, number: usize, span: Duration) -> usize {
        let mut failures = self.failures.clone();
        failures.sort_unstable();
        let Some(decisive) = number.checked_sub(1).and_then(|index| failures.get(index)) else {
            return 0;
        };
        self.arrivals.iter().filter(|arrival| arrival.at > *decisive + span).count()
    }
}
