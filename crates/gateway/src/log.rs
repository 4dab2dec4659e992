//! The log: one JSON line per decision, on standard output.
//!
//! A separate thread writes the lines, so that no decision waits for a slow reader. Lines that do
//! not fit its queue are dropped and counted. Lines on requests are limited by a budget, the larger
//! part of which is reserved for failures, so that failures are still logged when many requests
//! succeed.

use std::cell::Cell;
use std::time::Duration;

use acacia_policy::Time;
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

/// Lines that may wait for the writer.
const QUEUE_LINES: usize = 8_192;
/// Lines per second on successful requests: three per request at twice an instance's usual load.
const USUAL_LINES_PER_S: f64 = 150.0;
/// Lines per second on requests that fail or are retried.
const FAILURE_LINES_PER_S: f64 = 300.0;
/// Burst size of the budget, in seconds of lines.
const BURST_SECONDS: f64 = 2.0;

/// Starts the log. The writer stops when the guard is dropped.
///
/// # Errors
/// If the process already has a log.
pub fn start() -> miette::Result<(WorkerGuard, ErrorCounter)> {
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(QUEUE_LINES)
        .finish(std::io::stdout());
    let dropped = writer.error_counter();
    let filter = EnvFilter::builder()
        .parse_lossy("info,hyper=warn,opentelemetry=warn,opentelemetry_sdk=warn");
    tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_current_span(false)
        .with_span_list(false)
        .with_target(false)
        .with_writer(writer)
        .with_env_filter(filter)
        .try_init()
        .map_err(|error| miette::miette!("failed to set up the log: {error}"))?;
    Ok((guard, dropped))
}

/// The budget of lines on requests.
#[derive(Debug, Default)]
pub struct Budget {
    usual: Bucket,
    failures: Bucket,
    dropped: Cell<u64>,
}

/// The kind of event that a line describes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// A step of a successful request.
    Usual,
    /// A failure or its consequence, such as a retry.
    Failure,
}

impl Budget {
    /// Whether a line may be written; counts it as dropped if not.
    pub fn admits(&self, now: Time, kind: Kind) -> bool {
        let admitted = match kind {
            Kind::Usual => self.usual.take(now, USUAL_LINES_PER_S),
            Kind::Failure => self.failures.take(now, FAILURE_LINES_PER_S),
        };
        if !admitted {
            self.dropped.set(self.dropped.get() + 1);
        }
        admitted
    }

    /// Lines dropped since the last call.
    pub fn dropped(&self) -> u64 {
        self.dropped.take()
    }
}

/// A leaky bucket of lines.
#[derive(Debug, Default)]
struct Bucket {
    spent: Cell<f64>,
    at: Cell<Duration>,
}

impl Bucket {
    fn take(&self, now: Time, rate: f64) -> bool {
        let passed = now.saturating_sub(self.at.replace(now)).as_secs_f64();
        let spent = (self.spent.get() - passed * rate).max(0.0);
        let fits = spent + 1.0 <= rate * BURST_SECONDS;
        self.spent.set(if fits { spent + 1.0 } else { spent });
        fits
    }
}
