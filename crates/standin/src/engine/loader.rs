//! Loads weights from a rate-limited store shared by several engines.

use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

/// Concurrent loads that run at full speed.
const FULL_SPEED_LOADS: u32 = 2;
/// Steps of a load; its speed is recalculated at each step.
const STEPS: u32 = 12;

/// Weight store; clone the `Arc` to share it among engines.
#[derive(Debug, Default)]
pub struct Loader {
    running: AtomicU32,
    peak: AtomicU32,
}

impl Loader {
    /// Takes `alone` with at most two concurrent loads, and proportionally longer with more.
    pub async fn load(&self, alone: Duration) {
        let running = Running::start(self);
        for _ in 0..STEPS {
            let concurrent = self.running.load(Ordering::Relaxed).max(FULL_SPEED_LOADS);
            tokio::time::sleep(alone * concurrent / FULL_SPEED_LOADS / STEPS).await;
        }
        drop(running);
    }

    /// Peak of concurrent loads.
    pub fn peak(&self) -> u32 {
        self.peak.load(Ordering::Relaxed)
    }
}

/// Counts a load while it runs.
struct Running<'a>(&'a Loader);

impl<'a> Running<'a> {
    fn start(loader: &'a Loader) -> Self {
        let running = loader.running.fetch_add(1, Ordering::Relaxed) + 1;
        loader.peak.fetch_max(running, Ordering::Relaxed);
        Self(loader)
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::Relaxed);
    }
}
