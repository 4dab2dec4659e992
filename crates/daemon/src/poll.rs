//! Polls the engines' load and cache events, and the platform's list of live instances.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use acacia_catalog::id::{DaemonId, Incarnation, UpstreamId};
use acacia_catalog::object::Role;
use acacia_etcd::list;
use acacia_policy::control::{self, Observation};
use acacia_policy::dispatch::Event;
use futures::{StreamExt, stream};
use parking_lot::Mutex;
use tokio::sync::mpsc;
use tokio::time::{MissedTickBehavior, interval};

use crate::traffic::Traffic;

/// Most engines that one daemon polls.
const MAX_ENGINES: usize = 64;
/// Most engines read at once.
const MAX_CONCURRENT_READS: usize = 16;
/// Most engines read per second.
const MAX_READS_PER_SECOND: u32 = 256;

/// Polls the load and events of this daemon's share of the engines.
pub async fn engines(traffic: Arc<Traffic>, daemon: DaemonId) {
    let min_period = Duration::from_secs(1) * MAX_ENGINES as u32 / MAX_READS_PER_SECOND;
    let mut ticks = interval(traffic.settings.times.poll.max(min_period));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let positions = Mutex::new(HashMap::new());
    loop {
        ticks.tick().await;
        let share = share(&traffic, &daemon);
        positions.lock().retain(|upstream, _| share.contains(upstream));
        let read = |upstream| read(&traffic, &positions, upstream);
        stream::iter(share.clone()).for_each_concurrent(MAX_CONCURRENT_READS, read).await;
    }
}

/// Reads one engine's load and passes it to control and the dispatcher.
pub async fn probe(traffic: &Arc<Traffic>, upstream: &UpstreamId) {
    let Some(client) = traffic.engine(upstream) else { return };
    match client.load(traffic.clock.now()).await {
        Ok(load) => {
            traffic.observe(upstream, Observation::Reported(load.clone()));
            traffic.step(Event::Reported(upstream.clone(), load));
        }
        Err(failure) => traffic.observe_failure(upstream, &failure),
    }
}

/// Incarnation of each engine and the position after the last event read.
type Positions = Mutex<HashMap<UpstreamId, (Incarnation, u64)>>;

async fn read(traffic: &Arc<Traffic>, positions: &Positions, upstream: UpstreamId) {
    probe(traffic, &upstream).await;
    let Some(client) = traffic.engine(&upstream) else { return };
    let (incarnation, after) = positions.lock().get(&upstream).copied().unwrap_or_default();
    let Ok(events) = client.events(after).await else { return };
    // A new incarnation numbers its events from the start.
    let next = if events.incarnation == incarnation || incarnation == 0 { events.next } else { 0 };
    positions.lock().insert(upstream.clone(), (events.incarnation, next));
    if events.stored.is_empty() && events.removed.is_empty() {
        return;
    }
    traffic.step(Event::Cached {
        upstream,
        incarnation: events.incarnation,
        stored: events.stored,
        removed: events.removed,
    });
}

/// The engines that this daemon polls: all, or the first by rendezvous hash if there are too many.
fn share(traffic: &Traffic, daemon: &str) -> Vec<UpstreamId> {
    let view = traffic.view();
    let engines = view.snapshot.set.upstreams.values();
    let engines = engines.filter(|upstream| matches!(upstream.role, Role::Engine { .. }));
    let mut names: Vec<_> = engines.map(|upstream| upstream.name.clone()).collect();
    if names.len() > MAX_ENGINES {
        names.sort_by_cached_key(|name| rank(daemon, name));
        names.truncate(MAX_ENGINES);
    }
    names
}

fn rank(daemon: &str, upstream: &str) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(daemon.as_bytes()).update(&[0]).update(upstream.as_bytes());
    hasher.finalize().into()
}

/// Polls the list of live instances.
pub async fn list(traffic: Arc<Traffic>, control: mpsc::Sender<control::Event>) {
    let client = list::Client::new(traffic.settings.list);
    let mut ticks = interval(traffic.settings.times.list);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        // If the list can't be read, the previous one stays in use.
        let Ok(instances) = client.read().await else { continue };
        if control.send(control::Event::Listed(instances)).await.is_err() {
            return;
        }
    }
}
