//! Time limits of callers' connections.
//!
//! hyper runs one timer from the end of an exchange to the end of the next request's head. A
//! connection may outlast the configuration that it began with, so [`Timer`] applies the limits
//! that are in force when the timer would end. A head that begins before that end has the time for
//! heads from its first bytes on, by the limits in force then or by later, longer ones.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use acacia_policy::gateway::configuration::Limits;
use hyper::rt::Sleep;
use tokio::sync::watch;
use tokio::time::Instant as TokioInstant;

/// The timer of one connection. Its waits begin at the given time and last as long as the limits
/// allow.
#[derive(Clone, Debug)]
pub struct Timer {
    limits: watch::Receiver<Limits>,
    has_received: HasReceived,
}

/// Whether a connection has received bytes since its wait began.
pub type HasReceived = Arc<AtomicBool>;

impl Timer {
    /// A timer that follows `limits`; the connection sets `has_received`.
    pub fn new(limits: watch::Receiver<Limits>, has_received: HasReceived) -> Self {
        Self { limits, has_received }
    }
}

impl hyper::rt::Timer for Timer {
    fn sleep(&self, duration: Duration) -> Pin<Box<dyn Sleep>> {
        self.sleep_until(Instant::now() + duration)
    }

    /// The deadline is the start, as hyper's own limit is zero.
    fn sleep_until(&self, start: Instant) -> Pin<Box<dyn Sleep>> {
        self.has_received.store(false, Ordering::Relaxed);
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
        if self.head.is_none() && self.timer.has_received.load(Ordering::Relaxed) {
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
