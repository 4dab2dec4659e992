//! Loads weights from a rate-limited store that several engines share.

use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

/// Loads that go at full speed together.
const FULL_SPEED_LOADS: u32 = 2;
/// Steps of one load; the speed is set anew at each.
const STEPS: u32 = 12;

/// The weight store as engines see it; clone the `Arc` to share it.
#[derive(Debug, Default)]
pub struct Loader {
    running: AtomicU32,
    peak: AtomicU32,
}

impl Loader {
    /// Loads weights that take `alone` when at most two load; slower in proportion above.
    pub async fn load(&self, alone: Duration) {
        let running = Running::begin(self);
        for _ in 0..STEPS {
            let concurrent = self.running.load(Ordering::Relaxed).max(FULL_SPEED_LOADS);
            tokio::time::sleep(alone * concurrent / FULL_SPEED_LOADS / STEPS).await;
        }
        drop(running);
    }

    /// Most loads at once so far.
    pub fn peak(&self) -> u32 {
        self.peak.load(Ordering::Relaxed)
    }
}

/// A load that runs.
struct Running<'a>(&'a Loader);

impl<'a> Running<'a> {
    fn begin(loader: &'a Loader) -> Self {
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
