//! Measures costs in real time: configuration checks, idle daemons and requests.

use std::time::{Duration, Instant};

use acacia_catalog::generate::Size;
use acacia_catalog::id::UpstreamId;
use acacia_catalog::object::AdminState;
use acacia_catalog::{Document, Set, chunk};
use acacia_daemon::Running;
use acacia_policy::dispatch::Strategy;
use acacia_standin::counter::Counter;
use futures::StreamExt;

use super::sample::{Catalogue, Fleet, Sample, Traffic};
use super::thread;
use crate::load::client::{Balancer, Client};
use crate::system::layout::{self, Layout};
use crate::system::{Error, System};

/// Organisations and upstreams of each measured configuration.
const CATALOGUE_SIZES: [(usize, usize); 4] = [(10, 10), (10, 100), (100, 1_000), (1_000, 10_000)];
/// Times that each set is checked; the median is reported.
const CHECK_RUNS: usize = 5;
/// Daemons in each measured fleet.
const FLEET_SIZES: [usize; 4] = [3, 9, 18, 36];
/// Time for a fleet to settle before it is measured.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Time over which a fleet is measured.
const MEASURE_TIME: Duration = Duration::from_secs(10);
/// Requests, and output tokens per request, of each traffic measurement.
const TRAFFIC_RUNS: [(usize, usize); 3] = [(2_000, 1), (1_000, 20), (500, 100)];
/// Concurrent requests in a traffic measurement.
const CONCURRENCY: usize = 16;
/// Factor by which the stand-ins' clock is sped up.
const TIME_SCALE: f64 = 20.0;

/// Runs all measurements; `on_sample` receives each sample as soon as it is taken.
///
/// # Errors
/// If a system can't be started.
pub async fn measure(mut on_sample: impl FnMut(&Sample)) -> Result<(), Error> {
    for (organisations, upstreams) in CATALOGUE_SIZES {
        on_sample(&Sample::Catalogue(catalogue(organisations, upstreams)));
    }
    for daemons in FLEET_SIZES {
        on_sample(&Sample::Fleet(fleet(daemons).await?));
    }
    for (requests, tokens) in TRAFFIC_RUNS {
        on_sample(&Sample::Traffic(traffic(requests, tokens).await?));
    }
    Ok(())
}

fn catalogue(organisations: usize, upstreams: usize) -> Catalogue {
    let plan = Size::TwoYears.plan();
    let document =
        acacia_catalog::generate::Plan { organisations, engines: upstreams, ..plan }.document(1);
    let mut times: Vec<f64> = (0..CHECK_RUNS).map(|_| check_ms(&document)).collect();
    times.sort_by(f64::total_cmp);
    let set = Set::check(&document).expect("a generated document is valid");
    let before = chunks(&set);
    let after = chunks(&drained(set));
    let bytes = |chunks: &chunk::Chunks| chunks.values().map(|c| c.len()).sum::<usize>();
    let altered = after.iter().filter(|(hash, _)| !before.contains_key(*hash));
    Catalogue {
        catalogue_organisations: organisations as f64,
        catalogue_upstreams: upstreams as f64,
        check_ms: times[CHECK_RUNS / 2],
        chunks: before.len() as f64,
        set_bytes: bytes(&before) as f64,
        change_bytes: altered.map(|(_, c)| c.len()).sum::<usize>() as f64,
    }
}

fn check_ms(document: &Document) -> f64 {
    let started = Instant::now();
    let set = Set::check(document);
    let duration_ms = started.elapsed().as_secs_f64() * 1_000.0;
    assert!(set.is_ok(), "a generated document is valid");
    duration_ms
}

fn chunks(set: &Set) -> chunk::Chunks {
    chunk::split(set).expect("a checked set can be split").1
}

/// Drains the first upstream of the set.
fn drained(mut set: Set) -> Set {
    let first: Option<UpstreamId> = set.upstreams.keys().next().cloned();
    if let Some(upstream) = first.and_then(|name| set.upstreams.get_mut(&name)) {
        upstream.state = AdminState::Out;
    }
    set
}

async fn fleet(daemons: usize) -> Result<Fleet, Error> {
    let layout = Layout { daemons, ..Layout::small() };
    let system = System::start(layout, Strategy::TimeToFirstToken, TIME_SCALE).await?;
    tokio::time::sleep(SETTLE_TIME).await;
    let before = totals(&system);
    tokio::time::sleep(MEASURE_TIME).await;
    let after = totals(&system);
    system.stop().await;
    let rate = |index: usize| (after[index] - before[index]) / MEASURE_TIME.as_secs_f64();
    Ok(Fleet {
        fleet_daemons: daemons as f64,
        kv_calls_per_second: rate(0),
        peer_bytes_per_second: rate(1) / daemons as f64,
        control_cpu_share: rate(2) / daemons as f64,
    })
}

/// Key-value calls, peer bytes and control CPU seconds of a whole system so far.
fn totals(system: &System) -> [f64; 3] {
    let sum = |name: &str| system.daemons.iter().map(|d| metric(d, name)).sum();
    [
        system.standins.kv.count(Counter::Calls) as f64,
        sum("acacia_peer_bytes_total"),
        sum("acacia_control_cpu_seconds_total"),
    ]
}

/// Value of a daemon's counter, summed over its labels.
fn metric(daemon: &Running, name: &str) -> f64 {
    let text = daemon.metrics();
    let lines = text.lines().filter(|line| line.starts_with(name));
    lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum()
}

async fn traffic(requests: usize, tokens: usize) -> Result<Traffic, Error> {
    let layout = Layout { daemons: 1, slots: 64, ..Layout::small() };
    let system = System::start(layout, Strategy::TimeToFirstToken, TIME_SCALE).await?;
    system.warm_up().await?;
    let client = Client::new(Balancer::new(system.entries()));
    let key = layout::key(0);
    let before = thread::cpu_time("traffic");
    let answers = futures::stream::iter(0..requests).map(|i| {
        let (client, key) = (client.clone(), key.clone());
        async move { client.complete(&key, layout::MODEL, &format!("query {i}"), tokens).await }
    });
    answers.buffer_unordered(CONCURRENCY).for_each(|_| async {}).await;
    let spent = thread::cpu_time("traffic").saturating_sub(before);
    system.stop().await;
    Ok(Traffic {
        traffic_requests: requests as f64,
        traffic_tokens: tokens as f64,
        cpu_us_per_request: spent.as_secs_f64() * 1e6 / requests as f64,
    })
}
