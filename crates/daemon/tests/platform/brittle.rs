//! Upstreams that state how many refusals a second they bear.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use acacia_standin::Fault;
use acacia_standin::platform::brittle::WARNING;
use acacia_standin::platform::server::{self, Settings};
use futures::future::{join, join_all, select};

use crate::fixture::{self, Fixture};

/// Requests that an upstream lets wait before it is brittle.
const QUEUE: usize = 24;
/// Time for which a request runs.
const RUN_TIME: Duration = Duration::from_millis(250);
/// Time after which an upstream that fell over is back.
const RESTART_TIME: Duration = Duration::from_secs(2);
/// Time for which the upstreams let no request wait.
const FULL_TIME: Duration = Duration::from_secs(8);
/// Instances.
const INSTANCES: usize = 3;

/// Upstreams, all of which are brittle, and a load.
#[derive(Clone, Copy, Debug)]
struct Case {
    upstreams: usize,
    /// Requests that each runs at a time.
    slots: usize,
    /// Refusals in a second that each bears.
    tolerance: u32,
    /// Requests a second from all callers.
    load: f64,
}

/// Upstreams that are brittle and let no request wait any more don't fall over more often than the
/// rule allows, and their slots are used, under twice as many requests as they can run.
#[tokio::test(flavor = "multi_thread")]
async fn upstreams_are_brittle_instances_keep_refusals_within_limit() {
    let case = Case { upstreams: 2, slots: 6, tolerance: 5, load: 100.0 };
    let served = serve(case).await;
    let possible =
        FULL_TIME.as_secs_f64() / RUN_TIME.as_secs_f64() * (case.upstreams * case.slots) as f64;
    assert!(served as f64 > possible / 2.0, "{served} served, {possible} possible");
}

/// Two of three slots are used, so that one instance has none: it passes on what arrives there.
#[tokio::test(flavor = "multi_thread")]
async fn upstream_is_brittle_instance_without_slot_serves() {
    let case = Case { upstreams: 1, slots: 3, tolerance: 0, load: 3.0 };
    let served = serve(case).await;
    let sent = case.load * FULL_TIME.as_secs_f64();
    assert!(served as f64 > sent * 0.9, "{served} served of {sent}");
}

/// Number of requests that are served while the upstreams let none wait.
async fn serve(case: Case) -> usize {
    let fixture = Fixture::start(INSTANCES).await;
    fixture.unregister_services();
    let numbers = 0..case.upstreams;
    let upstreams = join_all(numbers.map(|number| start(&fixture, number, case.slots))).await;
    let is_full = AtomicBool::new(false);
    let served = AtomicUsize::new(0);
    let phases = async {
        tokio::time::sleep(Duration::from_secs(2)).await;
        for upstream in &upstreams {
            upstream.fault(Fault::Brittle { refusals: Some(case.tolerance), queue: 0 }).unwrap();
        }
        tokio::time::sleep(WARNING).await;
        is_full.store(true, Ordering::Relaxed);
        tokio::time::sleep(FULL_TIME).await;
        is_full.store(false, Ordering::Relaxed);
    };
    let callers = send(&fixture, case.load, &is_full, &served);
    let crashes = join_all(upstreams.iter().map(|upstream| run(&fixture, upstream)));
    select(Box::pin(phases), Box::pin(join(callers, crashes))).await;
    let periods: Vec<_> =
        upstreams.iter().flat_map(|upstream| upstream.brittle_periods()).collect();
    let falls: usize = periods.iter().map(|period| period.falls.len()).sum();
    let peaks: Vec<usize> = periods.iter().map(|period| period.peak()).collect();
    let served = served.load(Ordering::Relaxed);
    let summary =
        format!("{case:?}: {falls} falls, at most {peaks:?} refusals in a second; {served} served");
    println!("{summary}");
    assert!(falls <= 2 + case.upstreams / 10, "{summary}");
    fixture.stop().await;
    served
}

/// Starts an upstream.
async fn start(fixture: &Fixture, number: usize, slots: usize) -> server::Handle {
    let settings = Settings {
        id: format!("brittle-{number}"),
        service: "app".to_owned(),
        zone: "z1".to_owned(),
        latency: RUN_TIME,
        slots,
        queue: QUEUE,
        engine: None,
    };
    server::start(settings, &fixture.store).await.unwrap()
}

/// Resets an upstream's connections when it falls over, and brings it back later under a new id.
async fn run(fixture: &Fixture, upstream: &server::Handle) {
    loop {
        upstream.crashed().await;
        upstream.fault(Fault::Unreachable { on: true }).unwrap();
        upstream.unregister(&fixture.store);
        tokio::time::sleep(RESTART_TIME).await;
        upstream.restart_renamed();
        upstream.fault(Fault::Unreachable { on: false }).unwrap();
        upstream.register(&fixture.store);
    }
}

/// Sends requests at a steady rate; counts those that are served while the upstreams are full.
async fn send(fixture: &Fixture, load: f64, is_full: &AtomicBool, served: &AtomicUsize) {
    let callers = (0..).map(async |number: usize| {
        tokio::time::sleep(Duration::from_secs_f64(number as f64 / load)).await;
        let address = fixture.address(number % INSTANCES);
        let headers = fixture.headers(&format!("brittle-{number}"));
        let answer = fixture::call(address, "GET", "/read/page", &headers, b"").await;
        if answer.status == 200 && is_full.load(Ordering::Relaxed) {
            served.fetch_add(1, Ordering::Relaxed);
        }
    });
    let count = (load * 30.0) as usize;
    join_all(callers.take(count)).await;
}
