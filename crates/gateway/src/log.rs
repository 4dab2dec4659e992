//! The log: one JSON line a decision, on standard output.
//!
//! A thread of its own writes, so that no decision waits for a reader; what does not fit its queue
//! is dropped and counted. Requests share a budget of lines: those that failed have the larger part
//! to themselves, so that they are still explained when many succeed.

use std::cell::Cell;
use std::time::Duration;

use acacia_policy::Time;
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

/// Lines that wait for the writer.
const QUEUE_LINES: usize = 8_192;
/// Lines a second on requests that go well: three a request at twice an instance's usual load.
const USUAL_LINES_PER_S: f64 = 150.0;
/// Lines a second on requests that fail or are tried again.
const FAILURE_LINES_PER_S: f64 = 300.0;
/// Seconds of lines that may be written at once.
const BURST_SECONDS: f64 = 2.0;

/// Starts the log. The writer stops when the guard is dropped.
///
/// # Errors
/// If the process has a log already.
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
        .map_err(|error| miette::miette!("the log can't be set up: {error}"))?;
    Ok((guard, dropped))
}

/// How many lines on requests may be written.
#[derive(Debug, Default)]
pub struct Budget {
    usual: Bucket,
    failures: Bucket,
    dropped: Cell<u64>,
}

/// What a line is about.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// A request that goes well.
    Usual,
    /// A failure, or what follows one.
    Failure,
}

impl Budget {
    /// Whether a line may be written; counts it if not.
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

    /// Lines left out since the last call.
    pub fn dropped(&self) -> u64 {
        self.dropped.take()
    }
}

/// A budget that fills with time.
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
