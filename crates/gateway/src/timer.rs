//! Time limits of callers' connections.
//!
//! hyper runs one timer from the end of an exchange to the end of the next request's head. A
//! connection may outlast the configuration that it began with, so [`Timer`] applies the limits
//! that are in force when the timer would end.

use std::pin::Pin;
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
}

impl Timer {
    /// A timer that follows `limits`.
    pub fn new(limits: watch::Receiver<Limits>) -> Self {
        Self { limits }
    }
}

impl hyper::rt::Timer for Timer {
    fn sleep(&self, duration: Duration) -> Pin<Box<dyn Sleep>> {
        self.sleep_until(Instant::now() + duration)
    }

    fn sleep_until(&self, start: Instant) -> Pin<Box<dyn Sleep>> {
        Box::pin(Wait::new(start, self.limits.clone()))
    }
}

/// A wait for the next request's head.
#[derive(Debug)]
struct Wait {
    start: Instant,
    limits: watch::Receiver<Limits>,
    sleep: Pin<Box<tokio::time::Sleep>>,
}

impl Wait {
    fn new(start: Instant, limits: watch::Receiver<Limits>) -> Self {
        let end = end(start, &limits.borrow());
        Self { start, limits, sleep: Box::pin(tokio::time::sleep_until(end)) }
    }
}

impl Future for Wait {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        loop {
            ready!(self.sleep.as_mut().poll(context));
            // A limit that became shorter holds from the next wait on.
            let end = end(self.start, &self.limits.borrow());
            if end <= self.sleep.deadline() {
                return Poll::Ready(());
            }
            self.sleep.as_mut().reset(end);
        }
    }
}

impl Sleep for Wait {}

/// When a wait ends that began at `start`.
fn end(start: Instant, limits: &Limits) -> TokioInstant {
    // hyper includes the idle time between requests in the time for reading a head.
    (start + limits.idle_time.max(limits.head_time)).into()
}
