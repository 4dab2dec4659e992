//! Requests that crash every upstream that begins to run them.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use futures::future::{self, join_all};
use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::answer::until_close;
use crate::fixture::{self, Answer, Fixture};
use crate::raw::{self, End, Request};

/// Number of upstreams, all of which run the request sooner or later.
const UPSTREAMS: usize = 6;
/// Time for which a request runs until it is answered, or has crashed the upstream.
const RUN_TIME: Duration = Duration::from_millis(50);
/// Time until an upstream that crashed is back.
const CRASH_TIME: Duration = Duration::from_secs(2);
/// Crashes under one request after which it is held.
const CRASHES: usize = 3;
/// Time after the last of these crashes until it is held.
const HOLD_TIME: Duration = Duration::from_secs(3);
/// Time for which the request is then still sent.
const HELD_TIME: Duration = Duration::from_secs(6);
/// Requests that may reach upstreams in that time.
const LATER_ARRIVALS: usize = 3;
/// Events of an answer to a prompt.
const EVENTS: u32 = 8;
/// Time between two requests of a caller.
const SPACING: Duration = Duration::from_millis(100);

/// What a caller sends, under a new request id each time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Ask {
    method: &'static str,
    target: &'static str,
    /// Parts of the prompt, if it has one.
    parts: Option<&'static str>,
    body: &'static [u8],
}

impl Ask {
    /// Whether an upstream received it, under any id.
    fn is(&self, request: &Request) -> bool {
        request.target == format!("{} {}", self.method, self.target)
            && request.prompt == self.parts.unwrap_or_default()
            && request.body == self.body
    }
}

/// An answer to a request that was sent after it had to be held.
struct Late {
    ask: Ask,
    answer: Answer,
}

/// What a service's upstreams and callers have seen.
#[derive(Default)]
struct Observation {
    arrivals: AtomicUsize,
    crashes: AtomicUsize,
    is_late: AtomicBool,
    is_finished: AtomicBool,
    late: Mutex<Vec<Late>>,
}

/// Regression, BUDGET on Actas Litoral: a request that crashed its upstreams was sent to the next
/// one, by retries and under the new ids of its repeats.
#[tokio::test(flavor = "multi_thread")]
async fn plain_request_crashes_servers_request_held() {
    let ask = |method, target, body| Ask { method, target, parts: None, body };
    let culprit = ask("POST", "/read/culprit?page=1", b"culprit");
    let sound = [
        ask("POST", "/read/culprit?page=2", b"culprit"),
        ask("POST", "/read/culprit?page=1", b"sound"),
        ask("GET", "/read/popular", b""),
    ];
    hold("app", culprit, &sound).await;
}

/// Regression, BUDGET on Actas Litoral: as above, with requests that are never retried.
#[tokio::test(flavor = "multi_thread")]
async fn at_most_once_request_crashes_servers_request_held() {
    let ask = |method, target, body| Ask { method, target, parts: None, body };
    let culprit = ask("POST", "/charge/culprit?page=1", b"culprit");
    let sound = [
        ask("POST", "/charge/culprit?page=2", b"culprit"),
        ask("POST", "/charge/culprit?page=1", b"sound"),
        ask("GET", "/read/popular", b""),
    ];
    hold("app", culprit, &sound).await;
}

/// Regression, BUDGET on Actas Litoral: as above, with a prompt each part of which is answered in
/// other prompts.
#[tokio::test(flavor = "multi_thread")]
async fn prompt_crashes_engines_request_held() {
    let ask = |target, parts, body| Ask { method: "POST", target, parts: Some(parts), body };
    let culprit = ask("/ask/culprit", "aa:3000,b1:1000,c1:1000", b"culprit");
    let sound = [
        ask("/ask/sound", "aa:3000,b1:1000,c1:1000", b"culprit"),
        ask("/ask/culprit", "aa:3000,b1:1000,c1:1000", b"sound"),
        ask("/ask/culprit", "aa:3000,b1:1000,c2:1000", b"culprit"),
    ];
    hold("llm", culprit, &sound).await;
}

/// Sends `culprit`, which crashes the upstreams of `service`, and sound requests through two
/// instances; checks that the culprit is held and the others are served.
async fn hold(service: &str, culprit: Ask, sound: &[Ask]) {
    let fixture = Fixture::start(2).await;
    fixture.unregister_services();
    fixture.unregister_engines();
    let observation = Arc::new(Observation::default());
    let upstreams =
        join_all((0..UPSTREAMS).map(|_| run_upstream(&fixture, service, culprit, &observation)));
    let asks = [&[culprit], sound].concat();
    let callers = join_all((0..2).flat_map(|instance| {
        let (fixture, observation) = (&fixture, &observation);
        asks.iter().map(move |ask| send(fixture, instance, *ask, observation))
    }));
    let phases = async {
        fixture::eventually("three upstreams crash", async || {
            observation.crashes.load(Ordering::Relaxed) >= CRASHES
        })
        .await;
        tokio::time::sleep(HOLD_TIME).await;
        let before = observation.arrivals.load(Ordering::Relaxed);
        observation.is_late.store(true, Ordering::Relaxed);
        tokio::time::sleep(HELD_TIME).await;
        observation.is_finished.store(true, Ordering::Relaxed);
        before
    };
    let before = tokio::select! {
        _ = upstreams => unreachable!("upstreams come back"),
        (before, _) = future::join(phases, callers) => before,
    };
    check(&observation, before, culprit);
    fixture.stop().await;
}

/// Sends a request again and again, under a new id each time.
async fn send(fixture: &Fixture, instance: usize, ask: Ask, observation: &Observation) {
    static COUNT: AtomicUsize = AtomicUsize::new(0);
    while !observation.is_finished.load(Ordering::Relaxed) {
        let id = format!("crash-{}", COUNT.fetch_add(1, Ordering::Relaxed));
        let mut headers = match ask.parts {
            Some(_) => fixture.prompt(&id, 1),
            None => fixture.headers(&id),
        };
        headers.retain(|(name, _)| *name != "x-prompt-prefix");
        headers.extend(ask.parts.map(|parts| ("x-prompt-prefix", parts.to_owned())));
        let is_late = observation.is_late.load(Ordering::Relaxed);
        let address = fixture.address(instance);
        let answer = fixture::call(address, ask.method, ask.target, &headers, ask.body).await;
        if is_late {
            observation.late.lock().push(Late { ask, answer });
        }
        tokio::time::sleep(SPACING).await;
    }
}

/// Checks what was seen after the culprit had reached upstreams `before` times.
fn check(observation: &Observation, before: usize, culprit: Ask) {
    let late = observation.late.lock();
    let (culprits, sound): (Vec<&Late>, Vec<&Late>) =
        late.iter().partition(|late| late.ask == culprit);
    let held = culprits.iter().filter(|late| is_held(&late.answer)).count();
    let served = sound.iter().filter(|late| is_served(&late.answer)).count();
    let arrivals = observation.arrivals.load(Ordering::Relaxed) - before;
    let summary = format!(
        "{before} requests reached upstreams until 3 s after the third crash, {arrivals} later; \
         {} crashes; of {} late requests {held} were refused as held; of {} others {served} were \
         served",
        observation.crashes.load(Ordering::Relaxed),
        culprits.len(),
        sound.len(),
    );
    println!("{summary}");
    assert!(arrivals <= LATER_ARRIVALS, "{summary}");
    assert!(culprits.len() > LATER_ARRIVALS, "{summary}");
    assert!(held + arrivals >= culprits.len(), "{summary}");
    // A trial may take another request with its upstream.
    assert!(!sound.is_empty() && served + arrivals >= sound.len(), "{summary}");
}

fn is_held(answer: &Answer) -> bool {
    let text = String::from_utf8_lossy(&answer.body);
    answer.status == 503 && answer.retry_after.is_some() && text.contains("request_held")
}

fn is_served(answer: &Answer) -> bool {
    answer.status == 200 && answer.is_complete
}

/// Runs an upstream that crashes under the culprit and comes back under a new id.
async fn run_upstream(
    fixture: &Fixture,
    service: &str,
    culprit: Ask,
    observation: &Arc<Observation>,
) {
    loop {
        let reached = Arc::new(Notify::new());
        let (signal, seen) = (reached.clone(), observation.clone());
        let upstream = raw::Server::start_slow(RUN_TIME, move |request| {
            if culprit.is(request) {
                seen.arrivals.fetch_add(1, Ordering::Relaxed);
                signal.notify_one();
                return raw::Answer { bytes: Vec::new(), end: End::Silence };
            }
            if culprit.parts.is_some() { until_close(request, EVENTS, "") } else { page(request) }
        })
        .await;
        fixture.register(&upstream, service);
        reached.notified().await;
        tokio::time::sleep(RUN_TIME).await;
        fixture.unregister(&upstream);
        upstream.crash();
        observation.crashes.fetch_add(1, Ordering::Relaxed);
        tokio::time::sleep(CRASH_TIME).await;
    }
}

/// A complete answer of a plain service.
fn page(request: &Request) -> raw::Answer {
    let fields = "content-length: 4\r\nconnection: close\r\n\r\npage";
    raw::Answer { bytes: raw::head(request, fields), end: End::Close }
}
