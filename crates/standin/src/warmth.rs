//! Admission to an engine or service by its state: loading, cold, warm or leaving.

use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use parking_lot::{Mutex, MutexGuard};
use strum::IntoStaticStr;
use tokio::time::Instant;

use crate::counter::{Counter, Tally};
use crate::exchange::Answer;

/// Value of `retry-after` in refusals, in seconds.
const RETRY_AFTER: u32 = 1;

/// Admits requests and counts those in flight.
#[derive(Debug)]
pub struct Admission {
    warmth: Mutex<Warmth>,
    /// Maximum of requests waiting or running.
    limit: usize,
    /// Maximum of requests in flight while cold; one more crashes the instance.
    cold_limit: usize,
}

impl Admission {
    /// Admission of a warm instance.
    pub fn new(incarnation: u64, limit: usize, cold_limit: usize) -> Arc<Self> {
        Arc::new(Self { warmth: Mutex::new(Warmth::new(incarnation)), limit, cold_limit })
    }

    /// Locks the state; to be held only briefly.
    pub fn warmth(&self) -> MutexGuard<'_, Warmth> {
        self.warmth.lock()
    }

    /// Current incarnation.
    pub fn incarnation(&self) -> u64 {
        self.warmth().incarnation
    }

    /// Admits a request until its guard is dropped.
    ///
    /// # Errors
    /// The reason for refusal.
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

/// Keeps a request counted as in flight, waiting or running.
#[derive(Debug)]
pub struct Guard {
    admission: Arc<Admission>,
    /// Incarnation that admitted the request.
    pub incarnation: u64,
}

impl Guard {
    /// Whether the instance has not restarted since admission.
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

/// State of one incarnation.
#[derive(Debug)]
pub struct Warmth {
    /// Incarnation number.
    pub incarnation: u64,
    /// Whether the instance is starting and loads its weights.
    pub loading: bool,
    /// Whether new requests are refused because the instance is leaving.
    pub leaving: bool,
    /// Number of requests waiting or running.
    pub in_flight: usize,
    cold_until: Option<Instant>,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Refusal {
    /// The instance is still loading.
    #[strum(serialize = "cold")]
    Loading,
    /// The instance is leaving.
    Leaving,
    /// The queue is full.
    Overloaded,
    /// The request exceeded the cold limit, which crashes the instance.
    FellOver,
}

impl Refusal {
    /// A dropped connection if the instance crashes, else a `503` that promises that nothing ran.
    pub fn answer(self) -> Answer {
        if self == Self::FellOver {
            return Answer::disconnect();
        }
        let (status, message) = (StatusCode::SERVICE_UNAVAILABLE, "the request was not executed");
        Answer::error(status, self.into(), message).with("retry-after", RETRY_AFTER)
    }
}

impl Warmth {
    /// State of an instance that is already warm.
    pub fn new(incarnation: u64) -> Self {
        Self { incarnation, loading: false, leaving: false, in_flight: 0, cold_until: None }
    }

    /// Starts the next incarnation, which loads first.
    pub fn restart(&mut self) {
        self.incarnation += 1;
        self.loading = true;
        self.in_flight = 0;
        self.cold_until = None;
    }

    /// Ends loading, or makes a running instance cold, for `period`.
    pub fn turn_cold(&mut self, period: Duration) {
        self.loading = false;
        self.cold_until = Some(Instant::now() + period);
    }

    /// Whether the instance is loading or cold.
    pub fn is_cold(&self) -> bool {
        self.loading || self.cold_until.is_some_and(|until| Instant::now() < until)
    }

    /// Counts a request as in flight, unless it is refused.
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
