//! Whether the engine takes requests: loading, cold, warm or leaving, and what a process life is.

use std::time::Duration;

use tokio::time::Instant;

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

/// Whether a request comes in.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Entry {
    /// It does.
    Admitted,
    /// Weights are being loaded.
    Loading,
    /// The engine is leaving.
    Leaving,
    /// Too many wait.
    Overloaded,
    /// It was more than the cold engine bears.
    FellOver,
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

    /// Lets a request in, or not.
    pub fn enter(&mut self, limit: usize, cold_limit: usize) -> Entry {
        if self.leaving {
            return Entry::Leaving;
        }
        if self.loading {
            return Entry::Loading;
        }
        if self.in_flight >= limit {
            return Entry::Overloaded;
        }
        if self.is_cold() && self.in_flight >= cold_limit {
            return Entry::FellOver;
        }
        self.in_flight += 1;
        Entry::Admitted
    }
}
