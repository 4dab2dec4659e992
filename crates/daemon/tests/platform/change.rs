//! Changes of the configuration while callers' requests are in progress, and connections that are
//! kept across a change. A request that was sent whole gets a complete answer, or a refusal that
//! tells whether it may have run.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::fixture::{self, Answer, Caller, Fixture, call, request_head};
use crate::raw::{self, End, Request};

/// How long an upstream is silent while a change comes into force.
const SILENCE: Duration = Duration::from_millis(1_500);
/// The routes of the fixture.
const PATHS: [&str; 4] = ["/read/", "/charge/", "/ask/", "/long/"];
/// Events 1 to 8, and the last five of them.
const EVENTS: &str = "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\nid: 4\ndata: x\n\n\
    id: 5\ndata: x\n\nid: 6\ndata: x\n\nid: 7\ndata: x\n\nid: 8\ndata: x\n\n";
const LAST_EVENTS: &str = "id: 4\ndata: x\n\nid: 5\ndata: x\n\nid: 6\ndata: x\n\n\
    id: 7\ndata: x\n\nid: 8\ndata: x\n\n";

/// Answers by the moment that the request's id names: the upstream is silent before its first
/// event, after its third one, or not at all.
fn respond(request: &Request) -> raw::Answer {
    let (events, end) = if request.id.starts_with("waiting") {
        ("", End::Pause(SILENCE, EVENTS))
    } else if request.id.starts_with("running") {
        (EVENTS.strip_suffix(LAST_EVENTS).unwrap(), End::Pause(SILENCE, LAST_EVENTS))
    } else {
        (EVENTS, End::Close)
    };
    raw::Answer { end, ..whole(request, events) }
}

/// Events, and then the end of the stream.
fn whole(request: &Request, events: &str) -> raw::Answer {
    let mut bytes = raw::head(request, "\r\n");
    bytes.extend(events.as_bytes());
    raw::Answer { bytes, end: End::Close }
}

/// A deployment with one upstream of each service.
struct Scene {
    fixture: Fixture,
    app: raw::Server,
    llm: raw::Server,
    version: u64,
}

impl Scene {
    async fn start() -> Self {
        let fixture = Fixture::start(1).await;
        fixture.unregister_services();
        fixture.unregister_engines();
        let (app, llm) = (raw::Server::start(respond).await, raw::Server::start(respond).await);
        fixture.register(&app, "app");
        fixture.register(&llm, "llm");
        fixture.answer_of(&app, "/charge/").await;
        fixture.answer_of(&llm, "/long/").await;
        Self { fixture, app, llm, version: 1 }
    }

    /// Headers of a request with a short prompt.
    fn headers(&self, id: &str) -> Vec<(&'static str, String)> {
        let mut headers = self.fixture.headers(id);
        headers.push(("x-model", "m".to_owned()));
        headers.push(("x-token-usage", "50,8".to_owned()));
        headers.push(("x-prompt-prefix", "aa:40,1:10".to_owned()));
        headers
    }

    fn head(&self, path: &str, id: &str) -> bytes::Bytes {
        request_head("POST", path, &self.headers(id), 1)
    }

    /// Number of times that a request was sent to an upstream.
    fn sends(&self, id: &str) -> usize {
        let requests = [self.app.requests(), self.llm.requests()].concat();
        requests.iter().filter(|request| request.id == id).count()
    }

    /// Opens a connection and sends a request, whole or without its last byte.
    async fn send(&self, path: &str, id: &str, is_whole: bool) -> Caller {
        let mut caller = Caller::connect(self.fixture.address(0)).await.unwrap();
        caller.send(&self.head(path, id)).await.unwrap();
        if is_whole {
            caller.send(b"x").await.unwrap();
        }
        caller
    }

    /// Opens a connection on which a request was answered.
    async fn kept_connection(&self) -> Caller {
        let mut caller = Caller::connect(self.fixture.address(0)).await.unwrap();
        assert!(self.is_served(&mut caller, "first").await);
        caller
    }

    /// Whether a request on a kept connection is answered in full.
    async fn is_served(&self, caller: &mut Caller, id: &str) -> bool {
        let head = self.head("/charge/", id);
        let answer = match caller.send(&[&*head, b"x"].concat()).await {
            Some(()) => caller.answer().await,
            None => None,
        };
        answer.is_some_and(|answer| answer.status == 200 && answer.is_complete)
    }

    /// Sends a request with a head of some 20 KiB.
    async fn send_long_head(&self, caller: &mut Caller, id: &str) -> Option<Answer> {
        let mut headers = self.headers(id);
        headers.push(("x-long", "x".repeat(20 << 10)));
        let head = request_head("POST", "/charge/", &headers, 1);
        caller.send(&[&*head, b"x"].concat()).await?;
        caller.answer().await
    }

    /// Writes a version of the configuration.
    fn write(&mut self, change: impl FnOnce(&mut Value)) {
        self.version += 1;
        let mut configuration = self.fixture.configuration(self.version, "key-1");
        configuration["routes"].as_array_mut().unwrap().push(json!({
            "name": "marker", "host": self.marker(), "path_prefix": "/", "kind": "idempotent",
            "timeout_ms": 20_000, "service": "app", "public": true,
        }));
        change(&mut configuration);
        self.fixture.store.put("op/config", &configuration);
    }

    /// Waits until the latest version is in force.
    async fn in_force(&self) {
        let headers = [("host", self.marker()), ("x-request-id", "marker".to_owned())];
        let is_known =
            async || call(self.fixture.address(0), "GET", "/", &headers, b"").await.status != 404;
        fixture::eventually("the configuration is in force", is_known).await;
    }

    async fn change(&mut self, change: impl FnOnce(&mut Value)) {
        self.write(change);
        self.in_force().await;
    }

    /// Host of a route that only the latest version has.
    fn marker(&self) -> String {
        format!("version-{}.example", self.version)
    }

    /// Checks that an answer is complete, a refusal of a request that was not sent, or a timeout of one
    /// that was; returns its status.
    fn check(&self, name: &str, id: &str, answer: Option<Answer>) -> u16 {
        let Some(answer) = answer else {
            panic!("{name}: {id} got neither an answer nor a refusal");
        };
        assert!(answer.is_complete, "{name}: the answer to {id} was broken off");
        let is_sent = [200, 504].contains(&answer.status);
        assert_eq!(self.sends(id), usize::from(is_sent), "{name}: {id} got {}", answer.status);
        if answer.status == 200 {
            assert_eq!(answer.event_ids(), self.fixture.all_events(), "{name}: {id}");
        }
        answer.status
    }

    /// Makes a change while requests are in progress, and checks their answers. `allowed` are the
    /// statuses of requests that the change may concern: those whose last byte comes after it.
    async fn change_during_requests(
        &mut self,
        name: &str,
        change: impl AsyncFnOnce(&mut Self),
        allowed: &[u16],
    ) {
        let mut begun = Vec::new();
        let mut incomplete = Vec::new();
        for path in PATHS {
            for moment in ["waiting", "running"] {
                let id = format!("{moment}{path}{}", self.version);
                let caller = self.send(path, &id, true).await;
                let is_sent = async || self.sends(&id) > 0;
                fixture::eventually("the request reaches the upstream", is_sent).await;
                begun.push((caller, id));
            }
            let id = format!("incomplete{path}{}", self.version);
            incomplete.push((self.send(path, &id, false).await, id));
        }
        let mut kept = self.kept_connection().await;
        change(self).await;
        for (mut caller, id) in incomplete {
            caller.send(b"x").await.expect("an open connection");
            let status = self.check(name, &id, caller.answer().await);
            assert!(allowed.contains(&status), "{name}: {id} got {status}");
        }
        let id = format!("kept{}", self.version);
        kept.send(&[&*self.head("/charge/", &id), b"x"].concat()).await.expect("a connection");
        let status = self.check(name, &id, kept.answer().await);
        assert!(allowed.contains(&status), "{name}: {id} got {status}");
        for (mut caller, id) in begun {
            let status = self.check(name, &id, caller.answer().await);
            assert_eq!(status, 200, "{name}: {id}");
        }
    }
}

/// The routes of a configuration that callers use.
fn routes(configuration: &mut Value) -> impl Iterator<Item = &mut Value> {
    let routes = configuration["routes"].as_array_mut().unwrap().iter_mut();
    routes.filter(|route| route["name"] != "marker")
}

fn services(configuration: &mut Value) -> impl Iterator<Item = &mut Value> {
    configuration["services"].as_array_mut().unwrap().iter_mut()
}

fn limits(head_bytes: usize, body_bytes: usize, head_ms: u64, idle_ms: u64) -> Value {
    json!({
        "max_header_bytes": head_bytes, "max_body_bytes": body_bytes,
        "header_timeout_ms": head_ms, "idle_timeout_ms": idle_ms,
    })
}

/// A change's name, the change, and the statuses of requests that it may concern.
type Change = (&'static str, fn(&mut Value), &'static [u16]);

const ROUTE_CHANGES: [Change; 5] = [
    ("longer timeout", |c| routes(c).for_each(|r| r["timeout_ms"] = json!(40_000)), &[200]),
    ("one attempt", |c| routes(c).for_each(|r| r["max_attempts"] = json!(1)), &[200]),
    ("other service", |c| routes(c).for_each(|r| r["service"] = swapped(&r["service"])), &[200]),
    // A request may be sent before the timeout and end with it.
    ("shorter timeout", |c| routes(c).for_each(|r| r["timeout_ms"] = json!(300)), &[200, 503, 504]),
    ("no routes", |c| c["routes"].as_array_mut().unwrap().retain(is_marker), &[404]),
];

const ACCESS_CHANGES: [Change; 2] = [
    ("other key", |c| c["tenants"][0]["api_keys"] = json!(["key-2"]), &[401]),
    ("no keys needed", |c| c["tenants"] = Value::Null, &[200]),
];

const SERVICE_CHANGES: [Change; 5] = [
    ("few connections", |c| services(c).for_each(|s| s["max_conns"] = json!(1)), &[503]),
    ("no limit of connections", |c| services(c).for_each(|s| s["max_conns"] = Value::Null), &[200]),
    ("small engines", |c| c["services"][1]["engine"] = json!({"kv_capacity": 10}), &[200, 503]),
    ("no engines", |c| c["services"][1]["engine"] = Value::Null, &[200]),
    ("no services", |c| c["services"] = json!([]), &[503]),
];

const LIMIT_CHANGES: [Change; 3] = [
    ("longer limits", |c| c["limits"] = limits(64 << 10, 8 << 20, 6_000, 60_000), &[200]),
    ("shorter limits", |c| c["limits"] = limits(8 << 10, 1 << 10, 500, 800), &[200]),
    ("default limits", |c| c["limits"] = Value::Null, &[200]),
];

fn is_marker(route: &Value) -> bool {
    route["name"] == "marker"
}

/// The other one of the services that routes refer to.
fn swapped(service: &Value) -> Value {
    json!(if service == "app" { "llm" } else { "app" })
}

async fn change_during_requests(changes: &[Change]) {
    let mut scene = Scene::start().await;
    for (name, change, allowed) in changes {
        scene.change_during_requests(name, async |scene| scene.change(change).await, allowed).await;
        // The next change starts from the fixture's configuration.
        scene.change(|_| {}).await;
    }
    scene.fixture.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn route_changed_during_requests() {
    change_during_requests(&ROUTE_CHANGES).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn access_changed_during_requests() {
    change_during_requests(&ACCESS_CHANGES).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn service_changed_during_requests() {
    change_during_requests(&SERVICE_CHANGES).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn limits_changed_during_requests() {
    change_during_requests(&LIMIT_CHANGES).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn upstreams_gone_during_requests() {
    let mut scene = Scene::start().await;
    let draining = async |scene: &mut Scene| {
        for (raw, service) in [(&scene.app, "app"), (&scene.llm, "llm")] {
            let mut entry = raw.entry(service);
            entry["state"] = json!("draining");
            scene.fixture.store.put(&format!("servers/{}", raw.id), &entry);
        }
        scene.change(|_| {}).await;
    };
    scene.change_during_requests("draining", draining, &[503]).await;
    let scene_registered = async |scene: &mut Scene| {
        scene.fixture.register(&scene.app, "app");
        scene.fixture.register(&scene.llm, "llm");
        scene.change(|_| {}).await;
    };
    scene_registered(&mut scene).await;
    let removed = async |scene: &mut Scene| {
        scene.fixture.unregister(&scene.app);
        scene.fixture.unregister(&scene.llm);
        scene.change(|_| {}).await;
    };
    scene.change_during_requests("removed", removed, &[503]).await;
    scene_registered(&mut scene).await;
    // Their entries are removed and written again while they answer.
    let replaced = async |scene: &mut Scene| {
        removed(scene).await;
        scene_registered(scene).await;
    };
    scene.change_during_requests("removed for a moment", replaced, &[200]).await;
    scene.fixture.stop().await;
}

/// How long an upstream is silent before it breaks a request off.
const SHORT_SILENCE: Duration = Duration::from_millis(800);

/// Requests that an upstream breaks off after a change go on at another one.
#[tokio::test(flavor = "multi_thread")]
async fn request_repeated_after_change() {
    let mut scene = Scene::start().await;
    scene.fixture.unregister(&scene.app);
    scene.fixture.unregister(&scene.llm);
    let begun = Arc::<Mutex<HashSet<String>>>::default();
    let mut upstreams = Vec::new();
    for service in ["app", "app", "llm", "llm"] {
        let begun = begun.clone();
        let breaks_once = move |request: &Request| match request.last_event {
            Some(_) => whole(request, LAST_EVENTS),
            None if !begun.lock().insert(request.id.clone()) => whole(request, EVENTS),
            None if request.id.starts_with("/read/") => {
                raw::Answer { bytes: Vec::new(), end: End::Pause(SHORT_SILENCE, "") }
            }
            None => {
                let mut answer = whole(request, EVENTS.strip_suffix(LAST_EVENTS).unwrap());
                answer.end = End::Pause(SHORT_SILENCE, "id: 4\n");
                answer
            }
        };
        let raw = raw::Server::start(breaks_once).await;
        scene.fixture.register(&raw, service);
        upstreams.push(raw);
    }
    for (name, change, _) in [ROUTE_CHANGES[1], ROUTE_CHANGES[2], ROUTE_CHANGES[4]] {
        scene.change(|_| {}).await;
        let mut callers = Vec::new();
        for path in ["/read/", "/ask/"] {
            let id = format!("{path}{}", scene.version);
            callers.push(scene.send(path, &id, true).await);
            let is_sent = async || begun.lock().contains(&id);
            fixture::eventually("the request reaches an upstream", is_sent).await;
        }
        scene.change(change).await;
        for mut caller in callers {
            let answer = caller.answer().await.expect("an answer");
            assert_eq!(answer.status, 200, "{name}");
            assert!(answer.is_complete, "{name}");
            assert_eq!(answer.event_ids(), scene.fixture.all_events(), "{name}");
        }
    }
    scene.fixture.stop().await;
}

/// Time between the versions of a burst.
const BURST_INTERVAL: Duration = Duration::from_millis(6);

#[tokio::test(flavor = "multi_thread")]
async fn changes_in_burst_during_requests() {
    let mut scene = Scene::start().await;
    let burst = async |scene: &mut Scene| {
        let changes = ROUTE_CHANGES.iter().chain(&ACCESS_CHANGES).chain(&SERVICE_CHANGES);
        for (_, change, _) in changes.chain(&LIMIT_CHANGES) {
            scene.write(change);
            tokio::time::sleep(BURST_INTERVAL).await;
        }
        scene.change(|_| {}).await;
    };
    scene.change_during_requests("burst", burst, &[200]).await;
    scene.fixture.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn change_while_stopping() {
    let mut scene = Scene::start().await;
    let stopping = async |scene: &mut Scene| {
        scene.fixture.terminate(0);
        ROUTE_CHANGES.iter().for_each(|(_, change, _)| scene.write(change));
        scene.change(|_| {}).await;
    };
    scene.change_during_requests("stopping", stopping, &[200]).await;
    scene.fixture.stop().await;
}

/// Regression: a connection kept the idle time of its beginning, and was closed before the end of
/// the longer one that callers had been told.
#[tokio::test(flavor = "multi_thread")]
async fn kept_connection_after_longer_idle_time() {
    let mut scene = Scene::start().await;
    scene.change(|c| c["limits"] = limits(16 << 10, 4 << 20, 500, 2_000)).await;
    let mut kept = scene.kept_connection().await;
    scene.change(|c| c["limits"] = limits(16 << 10, 4 << 20, 500, 8_000)).await;
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    assert!(scene.is_served(&mut kept, "late").await, "the connection was closed too early");
    scene.fixture.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn kept_connection_after_shorter_idle_time() {
    let mut scene = Scene::start().await;
    scene.change(|c| c["limits"] = limits(16 << 10, 4 << 20, 500, 5_000)).await;
    let mut kept = scene.kept_connection().await;
    scene.change(|c| c["limits"] = limits(16 << 10, 4 << 20, 500, 2_000)).await;
    assert!(scene.is_served(&mut kept, "after the change").await);
    tokio::time::sleep(Duration::from_millis(1_400)).await;
    assert!(scene.is_served(&mut kept, "before the end of the idle time").await);
    fixture::eventually("the idle connection is closed", async || !kept.is_open()).await;
    scene.fixture.stop().await;
}

/// A request that arrives when its connection is closed is answered, or not sent to an upstream.
#[tokio::test(flavor = "multi_thread")]
async fn kept_connection_closed_as_request_arrives() {
    let mut scene = Scene::start().await;
    scene.change(|c| c["limits"] = limits(16 << 10, 4 << 20, 400, 400)).await;
    let requests = (0..60).map(async |number| {
        let mut kept = scene.kept_connection().await;
        tokio::time::sleep(Duration::from_millis(380 + number)).await;
        let id = format!("crossing-{number}");
        let is_served = scene.is_served(&mut kept, &id).await;
        (id, is_served)
    });
    let requests = futures::future::join_all(requests).await;
    for (id, is_served) in requests {
        assert_eq!(scene.sends(&id), usize::from(is_served), "{id}");
    }
    scene.fixture.stop().await;
}

/// Regression: a connection kept the limit of a head's size of its beginning.
#[tokio::test(flavor = "multi_thread")]
async fn kept_connection_after_longer_heads() {
    let mut scene = Scene::start().await;
    scene.change(|c| c["limits"] = limits(8 << 10, 4 << 20, 3_000, 15_000)).await;
    let mut kept = scene.kept_connection().await;
    scene.change(|c| c["limits"] = limits(32 << 10, 4 << 20, 3_000, 15_000)).await;
    let answer = scene.send_long_head(&mut kept, "long-head").await;
    assert_eq!(scene.check("longer heads", "long-head", answer), 200);
    scene.change(|c| c["limits"] = limits(8 << 10, 4 << 20, 3_000, 15_000)).await;
    let answer = scene.send_long_head(&mut kept, "refused-head").await;
    assert_eq!(scene.check("shorter heads", "refused-head", answer), 431);
    scene.fixture.stop().await;
}

/// Regression: the idle time before a head counted as time for the head.
#[tokio::test(flavor = "multi_thread")]
async fn kept_connection_slow_head_after_idle_time() {
    let mut scene = Scene::start().await;
    scene.change(|c| c["limits"] = limits(16 << 10, 4 << 20, 2_000, 2_000)).await;
    let mut kept = scene.kept_connection().await;
    tokio::time::sleep(Duration::from_millis(1_300)).await;
    let request = [&*scene.head("/charge/", "slow-head"), b"x"].concat();
    let (start, rest) = request.split_at(request.len() / 2);
    kept.send(start).await.expect("an open connection");
    tokio::time::sleep(Duration::from_millis(1_300)).await;
    kept.send(rest).await.expect("an open connection");
    assert_eq!(scene.check("slow head", "slow-head", kept.answer().await), 200);
    scene.fixture.stop().await;
}

/// Regression: a head that had begun got no more time than a later, shorter limit allows.
#[tokio::test(flavor = "multi_thread")]
async fn kept_connection_head_begun_before_shorter_limits() {
    let mut scene = Scene::start().await;
    scene.change(|c| c["limits"] = limits(16 << 10, 4 << 20, 2_000, 2_000)).await;
    let mut kept = scene.kept_connection().await;
    tokio::time::sleep(Duration::from_millis(1_300)).await;
    let request = [&*scene.head("/charge/", "begun-head"), b"x"].concat();
    let (start, rest) = request.split_at(request.len() / 2);
    kept.send(start).await.expect("an open connection");
    scene.change(|c| c["limits"] = limits(16 << 10, 4 << 20, 300, 300)).await;
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    kept.send(rest).await.expect("an open connection");
    assert_eq!(scene.check("begun head", "begun-head", kept.answer().await), 200);
    scene.fixture.stop().await;
}

/// A caller that sends all of a body over a shorter limit gets the refusal, not a reset.
#[tokio::test(flavor = "multi_thread")]
async fn body_over_shorter_limit() {
    let mut scene = Scene::start().await;
    scene.change(|c| c["limits"] = limits(16 << 10, 64 << 10, 3_000, 15_000)).await;
    let body = vec![b'x'; 2 << 20];
    let head = request_head("POST", "/charge/", &scene.headers("large-body"), body.len());
    for _ in 0..20 {
        let mut stream = TcpStream::connect(scene.fixture.address(0)).await.unwrap();
        stream.write_all(&[&*head, &*body].concat()).await.expect("an open connection");
        let mut answer = [0; 1 << 10];
        let received = stream.read(&mut answer).await.expect("an answer that no reset discards");
        assert!(answer[..received].starts_with(b"HTTP/1.1 413 "), "{received} bytes");
    }
    scene.fixture.stop().await;
}
