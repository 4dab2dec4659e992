//! Upstreams that state a rate limit in their answers.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use futures::future::join_all;
use parking_lot::Mutex;

use crate::fixture::{self, Fixture};
use crate::raw::{self, End, Request};

/// Requests per second that the limited upstream takes.
const RATE: f64 = 3.2;
/// Window in which requests are counted.
const SPAN: Duration = Duration::from_secs(4);
/// Time from the first statement of the limit until all instances keep to it.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Time for which the limit is stated.
const LIMITED_TIME: Duration = Duration::from_secs(10);
/// Time between two requests of a caller.
const SPACING: Duration = Duration::from_millis(100);
/// Time for which a request runs.
const RUN_TIME: Duration = Duration::from_millis(20);
/// Callers at each instance.
const CALLERS: usize = 2;
/// Upstreams, one of which is limited.
const UPSTREAMS: usize = 4;

/// Regression, LIMIT on Actas Litoral: an upstream that had stated a limit got several times as
/// many requests, as no instance kept to it.
#[tokio::test(flavor = "multi_thread")]
async fn upstream_states_limit_instances_keep_it() {
    let fixture = Fixture::start(2).await;
    fixture.unregister_services();
    let is_limited = Arc::new(AtomicBool::new(false));
    let arrivals = Arc::<Mutex<Vec<Instant>>>::default();
    let (states, seen) = (is_limited.clone(), arrivals.clone());
    let limited = raw::Server::start_slow(RUN_TIME, move |request| {
        seen.lock().push(Instant::now());
        let field = format!("server-limit: {RATE}\r\n");
        page(request, if states.load(Ordering::Relaxed) { &field } else { "" })
    })
    .await;
    let others = join_all(
        (1..UPSTREAMS).map(|_| raw::Server::start_slow(RUN_TIME, |request| page(request, ""))),
    );
    let others = others.await;
    others.iter().chain([&limited]).for_each(|upstream| fixture.register(upstream, "app"));
    let is_finished = AtomicBool::new(false);
    let served = AtomicUsize::new(0);
    let callers =
        join_all((0..2 * CALLERS).map(|caller| send(&fixture, caller % 2, &is_finished, &served)));
    let phases = async {
        fixture::eventually("the upstream gets requests", async || arrivals.lock().len() > 20)
            .await;
        is_limited.store(true, Ordering::Relaxed);
        let stated = Instant::now();
        tokio::time::sleep(LIMITED_TIME).await;
        is_limited.store(false, Ordering::Relaxed);
        let ended = Instant::now();
        let before = arrivals.lock().len();
        let resumes = async || arrivals.lock().len() > before + 20;
        fixture::eventually("the upstream gets as many requests as before", resumes).await;
        is_finished.store(true, Ordering::Relaxed);
        (stated, ended)
    };
    let ((stated, ended), sent) = futures::future::join(phases, callers).await;
    let peak = peak(&arrivals.lock(), stated + SETTLE_TIME, ended);
    let allowed = (RATE * SPAN.as_secs_f64() * 1.5) as usize + 5;
    let summary = format!(
        "at most {peak} requests in 4 s, {allowed} allowed; {} of {} requests served",
        served.load(Ordering::Relaxed),
        sent.iter().sum::<usize>(),
    );
    println!("{summary}");
    assert!(peak <= allowed, "{summary}");
    assert!(peak > 0, "{summary}");
    assert_eq!(served.load(Ordering::Relaxed), sent.iter().sum::<usize>(), "{summary}");
    fixture.stop().await;
}

/// Sends requests until the test is finished; returns their number.
async fn send(
    fixture: &Fixture,
    instance: usize,
    is_finished: &AtomicBool,
    served: &AtomicUsize,
) -> usize {
    let mut sent = 0;
    while !is_finished.load(Ordering::Relaxed) {
        let headers = fixture.headers("limit");
        let answer =
            fixture::call(fixture.address(instance), "GET", "/read/page", &headers, b"").await;
        served.fetch_add(usize::from(answer.status == 200), Ordering::Relaxed);
        sent += 1;
        tokio::time::sleep(SPACING).await;
    }
    sent
}

/// Most arrivals in any [`SPAN`] between two times.
fn peak(arrivals: &[Instant], from: Instant, to: Instant) -> usize {
    let times: Vec<Instant> =
        arrivals.iter().copied().filter(|at| (from..to).contains(at)).collect();
    let within =
        |start: &Instant| times.iter().filter(|at| (*start..*start + SPAN).contains(*at)).count();
    times.iter().map(within).max().unwrap_or(0)
}

/// A complete answer of a plain service, with additional fields in its head.
fn page(request: &Request, fields: &str) -> raw::Answer {
    let fields = format!("{fields}content-length: 4\r\nconnection: close\r\n\r\npage");
    raw::Answer { bytes: raw::head(request, &fields), end: End::Close }
}
