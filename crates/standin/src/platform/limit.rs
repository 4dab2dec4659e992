//! The rate limit that a server states in its answers, and the requests that it gets meanwhile.

use std::time::Duration;

use tokio::time::Instant;

/// A limit that was stated for a while.
#[derive(Clone, Debug)]
pub struct Limit {
    /// Requests per second from all instances together.
    pub rate: f64,
    /// When it was first stated.
    pub since: Instant,
    /// When it was no longer stated.
    pub until: Option<Instant>,
    /// When requests arrived while it was stated.
    pub arrivals: Vec<Instant>,
}

impl Limit {
    /// A limit that is stated from now on.
    pub fn new(rate: f64) -> Self {
        Self { rate, since: Instant::now(), until: None, arrivals: Vec::new() }
    }

    /// Most requests in any `span` that begins `after` the limit was first stated.
    pub fn peak(&self, after: Duration, span: Duration) -> usize {
        let from = self.since + after;
        let arrivals: Vec<Instant> =
            self.arrivals.iter().copied().filter(|at| *at >= from).collect();
        let within = |start: &Instant| {
            let window = *start..*start + span;
            arrivals.iter().filter(|at| window.contains(*at)).count()
        };
        arrivals.iter().map(within).max().unwrap_or(0)
    }
}
