//! Time limits of callers' connections.
//!
//! hyper runs one timer from the end of an exchange to the end of the next request's head. A
//! connection may outlast the configuration that it began with, so [`Timer`] applies the limits
//! that are in force when the timer would end. A head that begins before that end has the time for
//! heads from its first bytes on, by the limits in force then or by later, longer ones.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use acacia_policy::Time;
use acacia_policy::gateway::configuration::Limits;
use hyper::rt::Sleep;
use tokio::sync::watch;
use tokio::time::Instant as TokioInstant;

use crate::clock::Clock;

/// The timer of one connection. Its waits begin at the given time and last as long as the limits
/// allow.
#[derive(Clone, Debug)]
pub struct Timer {
    limits: watch::Receiver<Limits>,
    activity: Activity,
}

/// What a connection does, for its timer and for the decision which connections are closed.
#[derive(Clone, Debug)]
pub struct Activity(Arc<Marks>);

#[derive(Debug)]
struct Marks {
    clock: Clock,
    /// Whether bytes were received since the wait for a request began.
    has_received: AtomicBool,
    /// When that wait began, in milliseconds of the clock; zero while there is a request.
    idle_since: AtomicU64,
}

impl Activity {
    /// The activity of a new connection.
    pub fn new(clock: Clock) -> Self {
        let marks =
            Marks { clock, has_received: AtomicBool::default(), idle_since: AtomicU64::default() };
        let activity = Self(Arc::new(marks));
        activity.begin_wait();
        activity
    }

    /// Records that bytes were received.
    pub fn receive(&self) {
        self.0.has_received.store(true, Ordering::Relaxed);
    }

    /// Records that the connection has a request.
    pub fn begin_request(&self) {
        self.0.idle_since.store(0, Ordering::Relaxed);
    }

    /// Since when the connection waits for a request; none if it has one.
    pub fn idle_since(&self) -> Option<Time> {
        let since = self.0.idle_since.load(Ordering::Relaxed);
        (since > 0).then(|| Time::from_millis(since))
    }

    fn begin_wait(&self) {
        self.0.has_received.store(false, Ordering::Relaxed);
        let now = u64::try_from(self.0.clock.now().as_millis()).unwrap_or(u64::MAX);
        self.0.idle_since.store(now, Ordering::Relaxed);
    }

    fn has_received(&self) -> bool {
        self.0.has_received.load(Ordering::Relaxed)
    }
}

impl Timer {
    /// A timer that follows `limits`; the connection records its `activity`.
    pub fn new(limits: watch::Receiver<Limits>, activity: Activity) -> Self {
        Self { limits, activity }
    }
}

impl hyper::rt::Timer for Timer {
    fn sleep(&self, duration: Duration) -> Pin<Box<dyn Sleep>> {
        self.sleep_until(Instant::now() + duration)
    }

    /// The deadline is the start, as hyper's own limit is zero.
    fn sleep_until(&self, start: Instant) -> Pin<Box<dyn Sleep>> {
        self.activity.begin_wait();
        Box::pin(Wait::new(start, self.clone()))
    }
}

/// A wait for the next request's head.
#[derive(Debug)]
struct Wait {
    start: Instant,
    /// The head that has begun.
    head: Option<Head>,
    timer: Timer,
    sleep: Pin<Box<tokio::time::Sleep>>,
}

/// A head of which bytes have arrived.
#[derive(Clone, Copy, Debug)]
struct Head {
    /// When the first ones arrived.
    start: Instant,
    /// The limit in force then.
    time: Duration,
}

impl Wait {
    fn new(start: Instant, timer: Timer) -> Self {
        let end = end(start, None, &timer.limits.borrow());
        Self { start, head: None, timer, sleep: Box::pin(tokio::time::sleep_until(end)) }
    }
}

impl Future for Wait {
    type Output = ();

    /// Polled by hyper after it has received bytes that don't complete a head, too.
    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        if self.head.is_none() && self.timer.activity.has_received() {
            let time = self.timer.limits.borrow().head_time;
            self.head = Some(Head { start: Instant::now(), time });
        }
        loop {
            ready!(self.sleep.as_mut().poll(context));
            // A limit that became shorter holds from the next wait on.
            let end = end(self.start, self.head, &self.timer.limits.borrow());
            if end <= self.sleep.deadline() {
                return Poll::Ready(());
            }
            self.sleep.as_mut().reset(end);
        }
    }
}

impl Sleep for Wait {}

/// When a wait that began at `start` ends.
fn end(start: Instant, head: Option<Head>, limits: &Limits) -> TokioInstant {
    let idle = start + limits.idle_time.max(limits.head_time);
    head.map_or(idle, |head| idle.max(head.start + head.time.max(limits.head_time))).into()
}
