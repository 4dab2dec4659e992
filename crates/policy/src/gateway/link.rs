//! Delays of fetches from KV cache stores.
//!
//! Load pattern: the link of a store turns slow. Fetches queue there for up to seconds, although
//! the engines could compute the parts in a fraction of that time. A prompt that fetches from
//! stores and begins late by more than its engine's known delay is attributed to the stores, not to
//! the engine, so that the engine keeps getting prompts that need none of them.

use std::net::SocketAddr;
use std::time::Duration;

use rustc_hash::FxHashMap;

use super::lateness::Lateness;
use crate::Time;

/// Half-life of a store's average delay; then it is tried again.
const HALF_LIFE: Duration = Duration::from_secs(2);
/// Lateness that is within the error of the estimate.
const TOLERANCE: Duration = Duration::from_millis(40);

/// The average delay of each store.
#[derive(Debug, Default)]
pub struct Links {
    delays: FxHashMap<SocketAddr, Lateness>,
}

/// How much of a late beginning is attributed to the engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Blame {
    /// All of it.
    Engine(Duration),
    /// Only what was known of the engine before.
    Stores,
}

impl Links {
    /// Attributes the lateness of a prompt that fetched from `stores`, at an engine that was known
    /// to be late by `known`.
    pub fn attribute(
        &mut self,
        now: Time,
        stores: impl IntoIterator<Item = SocketAddr>,
        late: Duration,
        known: Duration,
    ) -> Blame {
        let excess = late.saturating_sub(known + TOLERANCE);
        let mut has_stores = false;
        for store in stores {
            has_stores = true;
            self.delays.entry(store).or_default().observe(now, excess, HALF_LIFE);
        }
        if has_stores && !excess.is_zero() { Blame::Stores } else { Blame::Engine(late) }
    }

    /// Expected delay of a fetch from a store, in seconds.
    pub fn delay(&self, now: Time, store: SocketAddr) -> f64 {
        self.delays.get(&store).map_or(0.0, |delay| delay.seconds(now, HALF_LIFE))
    }

    /// Forgets stores that are not configured any more.
    pub fn retain(&mut self, is_known: impl Fn(SocketAddr) -> bool) {
        self.delays.retain(|store, _| is_known(*store));
    }
}
