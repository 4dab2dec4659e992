//! Routes whose time budgets are shorter than a silence, and changes of their settings.

use std::time::Duration;

use acacia_standin::platform::caller::Operation;
use acacia_standin::platform::document::{RouteTerms, SplitService, Variation};
use parking_lot::Mutex;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

/// Services that take a share of the plain requests and of the prompts.
pub const SPLIT_SERVICES: [(&str, &str); 2] = [("app-b", "app"), ("llm-b", "llm")];
/// The routes before any change.
const ROUTES: [RouteTerms; 4] = [
    terms("/read/", 600, 120, 2),
    terms("/charge/", 800, 120, 1),
    terms("/ask/", 4_000, 500, 2),
    terms("/long/", 8_000, 800, 1),
];
/// Timeout of the routes after all faults, in milliseconds.
const RELAXED_TIMEOUT_MS: u64 = 10_000;
/// Acceptable gap between two events of a stream, in milliseconds.
const GAP_TARGET_MS: u64 = 500;
/// Factors by which changes multiply the timeouts of routes.
const TIMEOUT_FACTORS: [f64; 4] = [0.75, 1.0, 1.0, 1.5];
/// Factor of a budget that is longer than the timeout.
const LONG_BUDGET_FACTOR: u32 = 3;
/// Attempts that changes give to routes.
const ATTEMPTS: [u32; 4] = [1, 2, 2, 3];
/// Shares that changes give to services.
const SHARES: [f64; 5] = [0.0, 0.2, 0.5, 0.8, 1.0];
/// Idle times that changes set, in milliseconds.
const IDLE_MS: [u64; 4] = [500, 1_000, 3_000, 10_000];
/// Callers don't use a connection again that was idle for four fifths of the shortest idle time.
pub const CALLER_IDLE_LIMIT: Duration = Duration::from_millis(IDLE_MS[0] * 4 / 5);
/// Time after which a configuration is in force at all instances.
const APPLY_TIME: Duration = Duration::from_secs(3);
/// Time after which a request that was sent is admitted.
const ADMISSION_TIME: Duration = Duration::from_millis(250);

const fn terms(
    prefix: &'static str,
    timeout_ms: u64,
    target_latency_ms: u64,
    attempts: u32,
) -> RouteTerms {
    RouteTerms { prefix, timeout_ms, target_latency_ms, gap_target_ms: GAP_TARGET_MS, attempts }
}

/// The settings before any change.
pub fn initial() -> Variation {
    Variation { routes: ROUTES.to_vec(), services: split([0.5, 0.5]), idle_ms: IDLE_MS[3] }
}

/// The settings after all faults: requests have time, as the machine may be loaded.
pub fn relaxed() -> Variation {
    let routes = ROUTES.map(|route| RouteTerms { timeout_ms: RELAXED_TIMEOUT_MS, ..route });
    Variation { routes: routes.into(), ..initial() }
}

/// The settings after the change with this number.
pub fn changed(number: usize) -> Variation {
    let mut rng = ChaCha8Rng::seed_from_u64(number as u64);
    let mut pick = |count: usize| rng.random_range(0..count);
    let routes = ROUTES.map(|route| {
        let factor = TIMEOUT_FACTORS[pick(TIMEOUT_FACTORS.len())];
        let timeout_ms = (route.timeout_ms as f64 * factor) as u64;
        RouteTerms { timeout_ms, attempts: ATTEMPTS[pick(ATTEMPTS.len())], ..route }
    });
    let services = split([(); 2].map(|()| SHARES[pick(SHARES.len())]));
    Variation { routes: routes.into(), services, idle_ms: IDLE_MS[pick(IDLE_MS.len())] }
}

fn split(shares: [f64; 2]) -> Vec<SplitService> {
    let services = SPLIT_SERVICES.iter().zip(shares);
    services.map(|((name, copied), share)| SplitService { name, copied, share }).collect()
}

/// How long callers wait for an operation: its route's timeout before any change, or for every
/// second plain request longer than any timeout.
pub fn budget(operation: &Operation, number: usize) -> Duration {
    let prefix = prefix(operation);
    let route = ROUTES.iter().find(|route| route.prefix == prefix);
    let timeout = Duration::from_millis(route.map_or(0, |route| route.timeout_ms));
    let is_long = !operation.is_stream() && number.is_multiple_of(2);
    timeout * if is_long { LONG_BUDGET_FACTOR } else { 1 }
}

/// The prefix of an operation's route.
fn prefix(operation: &Operation) -> &'static str {
    match operation {
        Operation::Read => "/read/",
        Operation::Charge => "/charge/",
        Operation::Prompt { .. } => "/ask/",
        Operation::LongPrompt { .. } => "/long/",
    }
}

/// The settings that were published, in order.
#[derive(Debug)]
pub struct History(Mutex<Vec<(Instant, Variation)>>);

impl History {
    /// The settings [`initial`], or none if the deployment's own are never varied.
    pub fn new(is_varied: bool) -> Self {
        let first = is_varied.then(|| (Instant::now(), initial()));
        Self(Mutex::new(first.into_iter().collect()))
    }

    /// Records settings that are published at `at`, or just after.
    pub fn push(&self, at: Instant, variation: Variation) {
        self.0.lock().push((at, variation));
    }

    /// The shortest and the longest timeout of an operation's route that may have been in force
    /// when a request that was sent at `sent` was admitted; none if its settings did not vary.
    pub fn timeouts(&self, operation: &Operation, sent: Instant) -> Option<(Duration, Duration)> {
        let prefix = prefix(operation);
        let history = self.0.lock();
        let earlier = history.partition_point(|(at, _)| *at + APPLY_TIME <= sent);
        let later = history.partition_point(|(at, _)| *at <= sent + ADMISSION_TIME);
        let possible = &history[earlier.saturating_sub(1)..later];
        let routes = possible.iter().flat_map(|(_, variation)| &variation.routes);
        let routes = routes.filter(|route| route.prefix == prefix);
        let timeouts = routes.map(|route| Duration::from_millis(route.timeout_ms));
        timeouts.clone().min().zip(timeouts.max())
    }
}
