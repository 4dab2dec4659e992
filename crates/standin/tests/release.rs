//! Software versions of servers: entries, bad answers and counts; orders and their settings.

#![expect(clippy::unwrap_used, reason = "a helper that fails fails its test")]

use std::sync::Arc;
use std::time::Duration;

use acacia_standin::Fault;
use acacia_standin::platform::document::{self, Addresses};
use acacia_standin::platform::release::{Flaw, Onset, Release, Symptom};
use acacia_standin::platform::rollout::{self, Bounds, State, Status};
use acacia_standin::platform::server::{self, Engine, Handle, Peers, Performance, Settings};
use acacia_standin::platform::store;
use reqwest::{Client, Result};
use serde_json::{Value, json};
use tokio::time::Instant;

/// Run time of a plain request, and time between two events.
const LATENCY: Duration = Duration::from_millis(20);
/// Events of an answer.
const EVENTS: u32 = 3;

async fn start(id: &str, release: &Arc<Release>, store: &store::Handle) -> Handle {
    start_with(id, release, store, LATENCY, None).await
}

async fn start_with(
    id: &str,
    release: &Arc<Release>,
    store: &store::Handle,
    latency: Duration,
    engine: Option<Engine>,
) -> Handle {
    let settings = Settings {
        id: id.to_owned(),
        service: "app".to_owned(),
        zone: "z1".to_owned(),
        latency,
        slots: 4,
        queue: 4,
        engine,
    };
    server::start_release(settings, release.clone(), store).await.unwrap()
}

/// Status of the whole answer.
async fn ask(server: &Handle, path: &str) -> Result<u16> {
    // Fails if another test has installed a provider; plain HTTP never uses it.
    let _ = rustls::crypto::ring::default_provider().install_default();
    let client = Client::builder().no_proxy().build()?;
    let request = client.get(format!("http://{}{path}", server.address));
    let request = request.header("x-request-id", "r");
    let answer = request.header("x-token-usage", format!("10,{EVENTS}")).send().await?;
    let status = answer.status().as_u16();
    answer.bytes().await.map(|_| status)
}

fn failure(share: f64, onset: Onset, prefix: Option<&'static str>) -> Option<Flaw> {
    Some(Flaw { symptom: Symptom::Failure, share, onset, prefix })
}

fn entry(store: &store::Handle, key: &str) -> Value {
    serde_json::from_slice(&store.value(key).unwrap()).unwrap()
}

/// Guards against servers of a rollout whose entries don't tell the versions apart.
#[tokio::test]
async fn entry_states_version() {
    let store = store::start().await.unwrap();
    let _old = start("app-1", &Release::new("v1"), &store).await;
    let _new = start("app-2", &Release::new("v2"), &store).await;
    assert_eq!(entry(&store, "servers/app-1")["version"], "v1");
    assert_eq!(entry(&store, "servers/app-2")["version"], "v2");
}

/// Guards against bad answers that are counted by server instead of by version, or are too few.
#[tokio::test]
async fn failures_share_of_all_servers() {
    let store = store::start().await.unwrap();
    let release = Release::new("v2");
    let servers = [start("a", &release, &store).await, start("b", &release, &store).await];
    let begin = Instant::now();
    assert_eq!(ask(&servers[0], "/read/").await.unwrap(), 200);
    release.set_flaw(failure(0.25, Onset::Immediate, None));
    let mut failed = 0;
    for number in 0..8 {
        failed += usize::from(ask(&servers[number % 2], "/read/").await.unwrap() == 500);
    }
    let record = release.record();
    assert_eq!((failed, record.failures.len(), record.arrivals.len()), (2, 2, 9));
    assert_eq!(record.count(begin, Instant::now()), 9);
    assert_eq!(record.count(Instant::now(), Instant::now() + LATENCY), 0);
    assert_eq!(record.late(2, Duration::from_secs(5)), 0);
    // The fourth and the last request of eight are bad: four arrive after the answer to the former.
    assert_eq!(record.late(1, Duration::ZERO), 4);
    assert_eq!(record.late(3, Duration::ZERO), 0);
}

/// Guards against a version that is bad on routes or at times at which a test wants it good.
#[tokio::test]
async fn failures_later_and_on_route() {
    let store = store::start().await.unwrap();
    let release = Release::new("v2");
    let server = start("a", &release, &store).await;
    release.set_flaw(failure(1.0, Onset::Requests(2), Some("/charge/")));
    let mut statuses = Vec::new();
    for path in ["/charge/", "/read/", "/charge/", "/read/"] {
        statuses.push(ask(&server, path).await.unwrap());
    }
    assert_eq!(statuses, [200, 200, 500, 200]);
    release.set_flaw(failure(1.0, Onset::Later(Duration::from_millis(300)), None));
    let since = Instant::now();
    let first = ask(&server, "/read/").await.unwrap();
    assert!(first == 200 || since.elapsed() > Duration::from_millis(300));
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(ask(&server, "/read/").await.unwrap(), 500);
}

/// Guards against a slow version whose streams are slow only up to their first event.
#[tokio::test]
async fn slowness_whole_answers() {
    let store = store::start().await.unwrap();
    let release = Release::new("v2");
    let engine = Engine {
        model: "m".to_owned(),
        load_time: Duration::ZERO,
        caches: Vec::new(),
        peers: Peers::default(),
        performance: Performance::default(),
    };
    let server = start_with("a", &release, &store, LATENCY, Some(engine)).await;
    let symptom = Symptom::Slowness(3.0);
    release.set_flaw(Some(Flaw { symptom, share: 1.0, onset: Onset::Immediate, prefix: None }));
    let begin = Instant::now();
    assert_eq!(ask(&server, "/ask/").await.unwrap(), 200);
    // The head and each event take three times as long.
    assert!(begin.elapsed() >= LATENCY * 3 * (EVENTS + 1));
    assert_eq!(release.record().failures.len(), 1);
}

/// Guards against old servers that go on answering after they were to stop at once.
#[tokio::test]
async fn unreachable_ends_running_requests() {
    let store = store::start().await.unwrap();
    let release = Release::new("v1");
    let server = start_with("a", &release, &store, Duration::from_secs(2), None).await;
    let (answer, ()) = tokio::join!(ask(&server, "/charge/"), async {
        while release.record().arrivals.is_empty() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        server.fault(Fault::Unreachable { on: true }).unwrap();
    });
    assert!(answer.is_err(), "{answer:?}");
    assert!(ask(&server, "/charge/").await.is_err());
    assert_eq!(release.record().arrivals.len(), 1);
}

/// Guards against orders, statuses and settings in another format than the platform's.
#[tokio::test]
async fn documents_of_rollout() {
    let store = store::start().await.unwrap();
    let (key, value) = rollout::order("app", "v2", Duration::from_secs(12));
    assert_eq!(key, "op/rollout/app");
    assert_eq!(value, json!({"service": "app", "target": "v2", "duration_s": 12}));
    assert_eq!(Status::read(&store, "app").unwrap(), None);
    let status = json!({"service": "app", "target": "v2", "state": "rolled_back"});
    store.put("status/rollout/app", &status);
    let status = Status::read(&store, "app").unwrap().unwrap();
    assert_eq!((&*status.service, &*status.target, status.state), ("app", "v2", State::RolledBack));
    store.put("status/rollout/app", &json!({"service": "app", "target": "v2", "state": "done"}));
    assert!(Status::read(&store, "app").is_err());
    let addresses = Addresses::free().unwrap();
    let settings =
        |rollouts| document::settings_with("n", "z1", &addresses, store.address, rollouts);
    let (plain, other) = (settings(None), settings(Some(Bounds::default())));
    assert_eq!(plain, document::settings("n", "z1", &addresses, store.address));
    let added: Vec<&str> =
        other.lines().filter(|line| !plain.lines().any(|old| old == *line)).collect();
    let contracts = "contracts = [\"other\", \"rollout\"]";
    let bounds = ["expose_share = 0.1", "expose_slack = 50", "rollback_ms = 5000"];
    assert_eq!(added, [&[contracts][..], &bounds].concat());
    // The list precedes all sections, and the bounds are in theirs.
    assert!(other.find(contracts) < other.find("[listen_addrs]"));
    assert!(other.find("[bounds]") < other.find(bounds[0]));
    assert!(other.find(bounds[2]) < other.find("[provider]"));
}
