//! Whether an engine or service takes requests: loading, cold, warm or leaving, in which process life.

use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use parking_lot::{Mutex, MutexGuard};
use strum::IntoStaticStr;
use tokio::time::Instant;

use crate::counter::{Counter, Tally};
use crate::exchange::Answer;

/// Seconds after which a refused caller may come back.
const RETRY_AFTER: u32 = 1;

/// Lets requests in and knows how many are inside.
#[derive(Debug)]
pub struct Admission {
    warmth: Mutex<Warmth>,
    /// Requests waiting and running at most.
    limit: usize,
    /// Requests that a cold instance bears.
    cold_limit: usize,
}

impl Admission {
    /// The door of a warm instance in process life `incarnation`.
    pub fn new(incarnation: u64, limit: usize, cold_limit: usize) -> Arc<Self> {
        Arc::new(Self { warmth: Mutex::new(Warmth::new(incarnation)), limit, cold_limit })
    }

    /// The state now; held for a moment only.
    pub fn warmth(&self) -> MutexGuard<'_, Warmth> {
        self.warmth.lock()
    }

    /// Number of the process life.
    pub fn incarnation(&self) -> u64 {
        self.warmth().incarnation
    }

    /// Lets a request in until its place is dropped, or says why not.
    pub fn admit(self: &Arc<Self>, tally: &Tally) -> Result<Guard, Refusal> {
        let mut warmth = self.warmth();
        let entry = warmth.admit(self.limit, self.cold_limit);
        if warmth.is_cold() {
            tally.raise(Counter::ColdPeak, warmth.in_flight as u64);
        }
        let incarnation = warmth.incarnation;
        drop(warmth);
        match entry {
            Ok(()) => {}
            Err(Refusal::FellOver) => {
                tally.count(Counter::ColdExcess);
                tally.count(Counter::FellOver);
            }
            Err(_) => tally.count(Counter::Refused),
        }
        entry.map(|()| Guard { admission: self.clone(), incarnation })
    }
}

/// A request's place inside, waiting or running.
#[derive(Debug)]
pub struct Guard {
    admission: Arc<Admission>,
    /// The process life that let it in.
    pub incarnation: u64,
}

impl Guard {
    /// Whether the process life that let it in goes on.
    pub fn is_current(&self) -> bool {
        self.admission.incarnation() == self.incarnation
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        let mut warmth = self.admission.warmth();
        if warmth.incarnation == self.incarnation {
            warmth.in_flight = warmth.in_flight.saturating_sub(1);
        }
    }
}

/// State of one process life.
#[derive(Debug)]
pub struct Warmth {
    /// Number of the process life.
    pub incarnation: u64,
    /// Whether weights are being loaded for the first time.
    pub loading: bool,
    /// Whether new work is refused.
    pub leaving: bool,
    /// Requests waiting or running.
    pub in_flight: usize,
    cold_until: Option<Instant>,
}

/// Why a request does not come in.
#[derive(Clone, Copy, Debug, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Refusal {
    /// The instance is starting.
    #[strum(serialize = "cold")]
    Loading,
    /// The instance is leaving.
    Leaving,
    /// Too many wait.
    Overloaded,
    /// It was more than the cold instance bears, which dies of it.
    FellOver,
}

impl Refusal {
    /// The answer: a broken connection when the instance dies, else that nothing ran.
    pub fn answer(self) -> Answer {
        if self == Self::FellOver {
            return Answer::disconnect();
        }
        let (status, message) = (StatusCode::SERVICE_UNAVAILABLE, "the request was not run");
        Answer::error(status, self.into(), message).with("retry-after", RETRY_AFTER)
    }
}

impl Warmth {
    /// A process life that is warm already.
    pub fn new(incarnation: u64) -> Self {
        Self { incarnation, loading: false, leaving: false, in_flight: 0, cold_until: None }
    }

    /// Begins the next process life.
    pub fn restart(&mut self) {
        self.incarnation += 1;
        self.loading = true;
        self.in_flight = 0;
        self.cold_until = None;
    }

    /// Ends loading, or turns cold without warning, for `period`.
    pub fn turn_cold(&mut self, period: Duration) {
        self.loading = false;
        self.cold_until = Some(Instant::now() + period);
    }

    /// Whether it is in cold start.
    pub fn is_cold(&self) -> bool {
        self.loading || self.cold_until.is_some_and(|until| Instant::now() < until)
    }

    /// Counts a request in, or says why not.
    fn admit(&mut self, limit: usize, cold_limit: usize) -> Result<(), Refusal> {
        if self.leaving {
            return Err(Refusal::Leaving);
        }
        if self.loading {
            return Err(Refusal::Loading);
        }
        if self.in_flight >= limit {
            return Err(Refusal::Overloaded);
        }
        if self.is_cold() && self.in_flight >= cold_limit {
            return Err(Refusal::FellOver);
        }
        self.in_flight += 1;
        Ok(())
    }
}
