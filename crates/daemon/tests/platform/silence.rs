//! Upstreams that are silent for about as long as a request's whole time, alone and beside changes
//! of the configuration. A request that was sent whole gets a complete answer, or one that is cut
//! only once its time has passed.

use std::collections::{HashMap, HashSet};
use std::fmt::Display;
use std::sync::Arc;
use std::time::{Duration, Instant};

use acacia_standin::platform::document;
use futures::future::join_all;
use parking_lot::Mutex;
use serde_json::{Value, json};
use tokio::task::JoinHandle;

use crate::fixture::{self, Answer, Caller, Fixture, call, request_head};
use crate::raw::{self, End, Request};

/// Timeout of the idempotent route, in milliseconds.
const READ_TIMEOUT_MS: u64 = 600;
/// Timeout of the other routes, in milliseconds.
const ONCE_TIMEOUT_MS: u64 = 800;
/// Events 1 to 8, and the last five of them.
const EVENTS: &str = "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\nid: 4\ndata: x\n\n\
    id: 5\ndata: x\n\nid: 6\ndata: x\n\nid: 7\ndata: x\n\nid: 8\ndata: x\n\n";
const LAST_EVENTS: &str = "id: 4\ndata: x\n\nid: 5\ndata: x\n\nid: 6\ndata: x\n\n\
    id: 7\ndata: x\n\nid: 8\ndata: x\n\n";
/// Length of an event.
const EVENT_BYTES: usize = EVENTS.len() / 8;
/// Silences within the time of a request, and beyond it, in milliseconds.
const SHORT: u64 = 250;
const LONG: u64 = 1_300;

/// When an upstream falls silent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    /// Before the head.
    Head,
    /// After the head, before the body or the first event.
    Begin,
    /// In the middle of a body with a length.
    Length,
    /// In the middle of a chunked body.
    Chunk,
    /// Between events.
    Event,
    /// Not at all.
    Never,
}

impl Stage {
    const PLAIN: [Self; 4] = [Self::Head, Self::Begin, Self::Length, Self::Chunk];
    const STREAM: [Self; 3] = [Self::Head, Self::Begin, Self::Event];

    fn of(id: &str) -> Self {
        let all = [Self::Head, Self::Begin, Self::Length, Self::Chunk, Self::Event];
        let found = all.into_iter().find(|stage| id.starts_with(&format!("{stage:?}-")));
        found.unwrap_or(Self::Never)
    }
}

/// A kind of request: its path, and when and for how long the upstreams of its first and later
/// attempts are silent.
type Kind = (&'static str, Stage, [u64; 2]);

/// An id that states when and for how long upstreams are silent.
fn id((path, stage, [first, later]): Kind, name: impl Display) -> String {
    format!("{stage:?}-{first}-{later}-{}-{name}", path.trim_matches('/'))
}

/// Answers by the moment and the silences that the request's id names; `attempts` counts the
/// requests with each id.
fn respond(attempts: &Mutex<HashMap<String, usize>>, request: &Request) -> raw::Answer {
    let attempt = {
        let mut attempts = attempts.lock();
        let count = attempts.entry(request.id.clone()).or_default();
        *count += 1;
        *count
    };
    let mut silences = request.id.split('-').skip(1).filter_map(|millis| millis.parse().ok());
    let silence = Duration::from_millis(silences.nth((attempt - 1).min(1)).unwrap_or(0));
    let events = request.last_event.map_or(EVENTS, |last| &EVENTS[last as usize * EVENT_BYTES..]);
    let stage = Stage::of(&request.id);
    let (framing, body) = match stage {
        Stage::Chunk => {
            let chunk = format!("{:x}\r\n{EVENTS}\r\n0\r\n\r\n", EVENTS.len());
            ("transfer-encoding: chunked".to_owned(), chunk)
        }
        _ => (format!("content-length: {}", events.len()), events.to_owned()),
    };
    let head = raw::head(request, &format!("connection: close\r\n{framing}\r\n\r\n"));
    let length = head.len() + body.len();
    let begin = match stage {
        Stage::Never => length,
        Stage::Head => 0,
        Stage::Begin => head.len(),
        Stage::Event => (length - LAST_EVENTS.len()).max(head.len()),
        Stage::Length | Stage::Chunk => head.len() + body.len() / 2,
    };
    let mut bytes = [head, body.into()].concat();
    let rest = String::from_utf8(bytes.split_off(begin)).unwrap();
    raw::Answer { bytes, end: End::Pause(silence, Box::leak(rest.into_boxed_str())) }
}

fn limits(head_ms: u64, idle_ms: u64) -> Value {
    json!({
        "max_header_bytes": 16 << 10, "max_body_bytes": 4 << 20,
        "header_timeout_ms": head_ms, "idle_timeout_ms": idle_ms,
    })
}

/// A deployment whose requests have little time.
struct Scene {
    fixture: Fixture,
    upstreams: Vec<(raw::Server, &'static str)>,
    version: u64,
    /// Timeouts of the latest configuration and the one before it, by path.
    timeouts: [HashMap<String, Duration>; 2],
}

impl Scene {
    /// Starts with three upstreams of each service.
    async fn start() -> Self {
        let fixture = Fixture::start(1).await;
        fixture.unregister_services();
        fixture.unregister_engines();
        let attempts = Arc::<Mutex<HashMap<String, usize>>>::default();
        let mut upstreams = Vec::new();
        for service in ["app", "llm"].repeat(3) {
            let attempts = attempts.clone();
            let raw = raw::Server::start(move |request| respond(&attempts, request)).await;
            fixture.register(&raw, service);
            upstreams.push((raw, service));
        }
        let mut scene = Self { fixture, upstreams, version: 1, timeouts: Default::default() };
        scene.change(|_| {}).await;
        scene
    }

    /// Writes a version of the configuration.
    fn write(&mut self, change: impl FnOnce(&mut Value)) {
        self.version += 1;
        let mut configuration = self.fixture.configuration(self.version, "key-1");
        let routes = configuration["routes"].as_array_mut().unwrap();
        for route in routes.iter_mut() {
            let is_read = route["kind"] == "idempotent";
            route["timeout_ms"] = json!(if is_read { READ_TIMEOUT_MS } else { ONCE_TIMEOUT_MS });
            route["target_latency_ms"] = json!(120);
        }
        routes[3]["gap_target_ms"] = json!(100);
        routes.push(json!({
            "name": "marker", "host": self.marker(), "path_prefix": "/", "kind": "idempotent",
            "timeout_ms": 20_000, "service": "app", "public": true,
        }));
        change(&mut configuration);
        let timeout = |route: &Value| {
            let path = route["path_prefix"].as_str().unwrap().to_owned();
            (path, Duration::from_millis(route["timeout_ms"].as_u64().unwrap()))
        };
        let timeouts = configuration["routes"].as_array().unwrap().iter().map(timeout).collect();
        self.timeouts = [timeouts, std::mem::take(&mut self.timeouts[0])];
        self.fixture.store.put("op/config", &configuration);
    }

    /// Writes a version of the configuration and waits until it is in force.
    async fn change(&mut self, change: impl FnOnce(&mut Value)) {
        self.write(change);
        let headers = [("host", self.marker()), ("x-request-id", "marker".to_owned())];
        let is_known =
            async || call(self.fixture.address(0), "GET", "/", &headers, b"").await.status == 200;
        fixture::eventually("the configuration is in force", is_known).await;
    }

    /// Sends requests and makes a change once they have reached upstreams; checks their answers.
    async fn change_during_silence(&mut self, name: &str, change: impl AsyncFnOnce(&mut Self)) {
        let sent = self.send(&kinds(&[[SHORT, SHORT], [LONG, SHORT]]), name).await;
        change(self).await;
        self.check(sent).await;
    }

    /// Writes the entries of the upstreams.
    fn put_upstreams(&self, state: &str) {
        for (raw, service) in &self.upstreams {
            let mut entry = raw.entry(service);
            entry["state"] = json!(state);
            self.fixture.store.put(&format!("servers/{}", raw.id), &entry);
        }
    }

    /// Host of a route that only the latest version has.
    fn marker(&self) -> String {
        format!("version-{}.example", self.version)
    }

    fn request(&self, path: &str, id: &str) -> Vec<u8> {
        let mut headers = self.fixture.headers(id);
        headers.push(("x-model", "m".to_owned()));
        headers.push(("x-token-usage", "50,8".to_owned()));
        headers.push(("x-prompt-prefix", "aa:40,1:10".to_owned()));
        [&*request_head("POST", path, &headers, 1), b"x"].concat()
    }

    /// Opens a connection on which a request was answered.
    async fn kept_connection(&self) -> Caller {
        let mut caller = Caller::connect(self.fixture.address(0)).await.unwrap();
        caller.send(&self.request("/charge/", "first")).await.unwrap();
        assert_eq!(caller.answer().await.unwrap().status, 200);
        caller
    }

    /// Sends requests over connections of their own, and waits until they have reached upstreams.
    async fn send(&self, kinds: &[Kind], name: &str) -> Vec<Sent> {
        let send = async |(number, &kind): (usize, &Kind)| {
            let mut caller = Caller::connect(self.fixture.address(0)).await.unwrap();
            let id = id(kind, format!("{name}-{number}"));
            let at = Instant::now();
            caller.send(&self.request(kind.0, &id)).await.unwrap();
            let timeouts = self.timeouts.iter().filter_map(|timeouts| timeouts.get(kind.0));
            let timeout = timeouts.min().copied().unwrap();
            let answer = tokio::spawn(async move {
                let answer = caller.answer().await;
                (caller, answer, at.elapsed())
            });
            Sent { answer, kind, id, timeout }
        };
        let sent = join_all(kinds.iter().enumerate().map(send)).await;
        fixture::eventually("the requests reach upstreams", async || {
            let requests = self.upstreams.iter().flat_map(|(raw, _)| raw.requests());
            let seen: HashSet<_> = requests.map(|request| request.id).collect();
            sent.iter().all(|sent| seen.contains(&sent.id))
        })
        .await;
        sent
    }

    /// Checks the answers to requests, and that their connections are kept; returns the kinds that
    /// were answered by upstreams in full.
    async fn check(&self, sent: Vec<Sent>) -> Vec<Kind> {
        let answered = sent.into_iter().map(async |sent| {
            let kind = sent.kind;
            self.check_answer(sent).await.then_some(kind)
        });
        join_all(answered).await.into_iter().flatten().collect()
    }

    async fn check_answer(&self, sent: Sent) -> bool {
        let Sent { answer, kind: (path, ..), id, timeout } = sent;
        let (mut caller, answer, took) = answer.await.unwrap();
        let answer = answer.unwrap_or_else(|| panic!("{id}: no answer, after {took:?}"));
        if !answer.is_complete {
            let is_stream = ["/long/", "/ask/"].contains(&path);
            assert!(is_stream && took >= timeout, "{id}: cut after {took:?}");
            assert_eq!(answer.event_ids(), [1, 2, 3], "{id}");
            return false;
        }
        match answer.status {
            200 => assert_eq!(answer.event_ids(), self.fixture.all_events(), "{id}"),
            504 => assert!(took >= timeout, "{id}: expired after {took:?}"),
            status => panic!("{id}: {status}, {:?}", answer.body),
        }
        let after = format!("after-{id}");
        assert!(caller.send(&self.request(path, &after)).await.is_some(), "{after}: closed");
        let next = caller.answer().await;
        assert!(next.is_some_and(|answer| answer.is_complete), "{after}: no answer");
        answer.status == 200
    }
}

/// A request that waits for its answer.
struct Sent {
    kind: Kind,
    id: String,
    /// The least time that it may have.
    timeout: Duration,
    /// The connection, the answer and the time until its end.
    answer: JoinHandle<(Caller, Option<Answer>, Duration)>,
}

/// Requests on all routes, at each stage, with these silences.
fn kinds(silences: &[[u64; 2]]) -> Vec<Kind> {
    let plain = ["/read/", "/charge/"].map(|path| Stage::PLAIN.map(|stage| (path, stage)));
    let streams = ["/ask/", "/long/"].map(|path| Stage::STREAM.map(|stage| (path, stage)));
    let stages = plain.as_flattened().iter().chain(streams.as_flattened());
    stages.flat_map(|(path, stage)| silences.iter().map(|ms| (*path, *stage, *ms))).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn silence_at_each_stage() {
    let scene = Scene::start().await;
    let mut answered = Vec::new();
    for silences in [[SHORT, SHORT], [SHORT, LONG], [LONG, SHORT], [LONG, LONG]] {
        let sent = scene.send(&kinds(&[silences]), "alone").await;
        answered.push(scene.check(sent).await);
    }
    let all = kinds(&[[0, 0]]).len();
    let is_repeated = |kind: &Kind| ["/read/", "/ask/"].contains(&kind.0);
    assert!(answered[0].len() > all / 2 && answered[1].len() > all / 2, "{answered:?}");
    assert!(answered[2].iter().any(is_repeated), "{answered:?}");
    assert!(answered[3].len() < all / 2, "{answered:?}");
    scene.fixture.stop().await;
}

/// The routes of a configuration that callers use.
fn routes(configuration: &mut Value) -> impl Iterator<Item = &mut Value> {
    configuration["routes"].as_array_mut().unwrap().iter_mut().take(4)
}

/// A change's name, the change, and whether requests are still served after it.
type Change = (&'static str, fn(&mut Value), bool);

const ROUTE_CHANGES: [Change; 4] = [
    ("shorter timeout", |c| routes(c).for_each(|r| r["timeout_ms"] = json!(300)), true),
    ("longer timeout", |c| routes(c).for_each(|r| r["timeout_ms"] = json!(1_500)), true),
    ("one attempt", |c| routes(c).for_each(|r| r["max_attempts"] = json!(1)), true),
    ("no routes", |c| c["routes"].as_array_mut().unwrap().retain(|r| r["name"] == "marker"), false),
];

const SERVICE_CHANGES: [Change; 3] = [
    ("other service", |c| routes(c).for_each(|r| r["service"] = json!(other(&r["service"]))), true),
    (
        "split",
        |c| {
            routes(c).for_each(|r| {
                let shares = [(r["service"].clone(), 1), (json!(other(&r["service"])), 3)];
                r["traffic_split"] = json!(
                    shares.map(|(service, weight)| json!({"service": service, "weight": weight}))
                );
            });
        },
        true,
    ),
    ("no services", |c| c["services"] = json!([]), false),
];

const ACCESS_CHANGES: [Change; 3] = [
    ("other key", |c| c["tenants"][0]["api_keys"] = json!(["key-2"]), false),
    ("isolated", |c| c["tenants"][0]["isolated"] = json!(true), true),
    ("shorter limits", |c| c["limits"] = limits(500, 500), true),
];

fn other(service: &Value) -> &'static str {
    if service == "app" { "llm" } else { "app" }
}

async fn changes_during_silence(changes: &[Change]) {
    let mut scene = Scene::start().await;
    for (name, change, is_served) in changes {
        scene.change_during_silence(name, async |scene| scene.write(change)).await;
        let unchanged = async |scene: &mut Scene| scene.change(|_| {}).await;
        if *is_served {
            scene.change_during_silence(&format!("after {name}"), unchanged).await;
        } else {
            unchanged(&mut scene).await;
        }
    }
    scene.fixture.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn route_changed_during_silence() {
    changes_during_silence(&ROUTE_CHANGES).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn service_changed_during_silence() {
    changes_during_silence(&SERVICE_CHANGES).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn access_changed_during_silence() {
    changes_during_silence(&ACCESS_CHANGES).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn upstreams_changed_during_silence() {
    let mut scene = Scene::start().await;
    let registered = async |scene: &mut Scene| {
        scene.put_upstreams("ready");
        scene.change(|_| {}).await;
    };
    let draining = async |scene: &mut Scene| scene.put_upstreams("draining");
    scene.change_during_silence("draining", draining).await;
    registered(&mut scene).await;
    let removed = async |scene: &mut Scene| {
        scene.upstreams.iter().for_each(|(raw, _)| scene.fixture.unregister(raw));
    };
    scene.change_during_silence("removed", removed).await;
    registered(&mut scene).await;
    let (weights, newer) = document::announcement(2);
    for (key, value) in [("op/evacuate/z1", &json!({})), (&weights, &newer)] {
        let written = async |scene: &mut Scene| _ = scene.fixture.store.put(key, value);
        scene.change_during_silence("written", written).await;
        scene.fixture.store.remove(key);
        registered(&mut scene).await;
    }
    scene.fixture.stop().await;
}

/// Ten changes in quick succession, with requests before each one.
#[tokio::test(flavor = "multi_thread")]
async fn changes_in_succession_during_silence() {
    let mut scene = Scene::start().await;
    let changes = [&ROUTE_CHANGES[..3], &SERVICE_CHANGES[..2], &ACCESS_CHANGES[1..]].concat();
    let kinds = kinds(&[[LONG, SHORT], [SHORT, SHORT], [LONG, LONG]]);
    let mut sent = Vec::new();
    for number in 0..10 {
        let some: Vec<_> = kinds.iter().copied().skip(number % 4).step_by(4).collect();
        sent.extend(scene.send(&some, &format!("succession-{number}")).await);
        scene.write(changes[number % changes.len()].1);
        scene.fixture.reload(0);
        tokio::time::sleep(Duration::from_millis(100 + 25 * number as u64)).await;
    }
    scene.check(sent).await;
    scene.fixture.stop().await;
}

/// Heads in pieces, and requests in one packet with the one before, while limits become shorter.
#[tokio::test(flavor = "multi_thread")]
async fn kept_connections_beside_shorter_limits() {
    let mut scene = Scene::start().await;
    scene.change(|c| c["limits"] = limits(4_000, 4_000)).await;
    let callers = join_all((0..20).map(|_| scene.kept_connection())).await;
    let kind = ("/charge/", Stage::Head, [SHORT, SHORT]);
    let requests = callers.into_iter().zip(0..).map(|(mut caller, number)| {
        let ids = ["early", "late"].map(|name| id(kind, format!("{name}-{number}")));
        let both = ids.clone().map(|id| scene.request("/charge/", &id)).concat();
        async move {
            let pieces = if number % 2 == 0 { both.len() } else { both.len() / 5 };
            for piece in both.chunks(pieces) {
                assert!(caller.send(piece).await.is_some(), "{ids:?}: closed");
                tokio::time::sleep(Duration::from_millis(60 + number)).await;
            }
            for id in ids {
                let answer = caller.answer().await;
                assert!(answer.is_some_and(|answer| answer.status == 200), "{id}");
            }
        }
    });
    let requests = join_all(requests.collect::<Vec<_>>());
    let changes = async {
        for limit in [500, 400, 300] {
            tokio::time::sleep(Duration::from_millis(60)).await;
            scene.write(|c| c["limits"] = limits(4_000, limit));
            scene.fixture.reload(0);
        }
    };
    futures::future::join(requests, changes).await;
    scene.fixture.stop().await;
}
