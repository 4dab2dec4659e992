//! Refusals that an upstream writes once more on a kept connection. They answer no request: a
//! request that runs is neither refused nor sent again.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;

use crate::fixture::{self, Fixture, call};
use crate::raw::{self, Answer, End, Request};

/// Pause after which a refusal is written once more while the connection is idle, and longer than
/// it, the pause before the next request.
const LATE: Duration = Duration::from_millis(20);
const IDLE: Duration = Duration::from_millis(150);
/// Requests of each kind.
const REQUESTS: usize = 3;

/// A head without a body, with the id of a request.
fn empty(status: &str, id: &str, fields: &str) -> String {
    format!("HTTP/1.1 {status}\r\nx-request-id: {id}\r\n{fields}content-length: 0\r\n\r\n")
}

/// A refusal of a request.
fn refusal(status: &str, id: &str) -> String {
    empty(status, id, "x-not-executed: 1\r\n")
}

/// The whole answer to a request.
fn whole(request: &Request) -> String {
    let event = "id: 1\ndata: x\n\n";
    String::from_utf8(raw::head(request, "content-length: 15\r\n\r\n")).unwrap() + event
}

/// Regression, TWICE: an upstream refused a request, got it again on the same connection, and
/// wrote the refusal once more. The request was sent again while it ran.
#[tokio::test(flavor = "multi_thread")]
async fn refusal_repeated_for_same_request() {
    let fixture = Fixture::start(1).await;
    fixture.unregister_engines();
    fixture.unregister_services();
    for (service, path) in [("app", "/charge/"), ("llm", "/long/")] {
        let refused = Arc::new(Mutex::new(HashMap::new()));
        let server_id = Arc::new(Mutex::new(String::new()));
        let runs = Arc::new(Mutex::new(Vec::new()));
        let (seen, id, run) = (refused.clone(), server_id.clone(), runs.clone());
        let raw = raw::Server::start(move |request| {
            // The upstream has other weights than the request asks for, at first.
            let fields = format!("x-not-executed: 1\r\nx-instance-id: {}\r\n", id.lock());
            let refusal = empty("421 Misdirected Request", &request.id, &fields);
            let before = seen.lock().insert(request.id.clone(), request.connection);
            if before.is_none() {
                return Answer { bytes: refusal.into_bytes(), end: End::Keep };
            }
            run.lock().push(request.id.clone());
            let repeated = if before == Some(request.connection) { &*refusal } else { "" };
            let bytes = repeated.to_owned() + &whole(request);
            Answer { bytes: bytes.into_bytes(), end: End::Keep }
        })
        .await;
        *server_id.lock() = raw.id.clone();
        fixture.register(&raw, service);
        for number in 0..REQUESTS {
            let id = format!("{service}-{number}");
            let headers = fixture.prompt(&id, 1);
            let mut status = 0;
            fixture::eventually("the request is run", async || {
                let answer = call(fixture.address(0), "POST", path, &headers, b"x").await;
                status = answer.status;
                runs.lock().contains(&id)
            })
            .await;
            assert_eq!(status, 200, "{id}");
            let count = runs.lock().iter().filter(|run| **run == id).count();
            assert_eq!(count, 1, "{id} ran {count} times");
        }
        fixture.unregister(&raw);
    }
    fixture.stop().await;
}

/// How an earlier refusal is written once more.
#[derive(Clone, Copy, Debug)]
enum Repetition {
    /// In the same packet as the refusal.
    Behind,
    /// While the connection is idle.
    Late,
    /// Before the answer to the next request.
    Before,
    /// The same, without an id.
    Unnamed,
    /// After an interim head.
    AfterInterim,
    /// Before an interim head.
    BeforeInterim,
    /// Several times, more often than earlier answers are skipped.
    Often,
}

impl Repetition {
    const ALL: [Self; 7] = [
        Self::Behind,
        Self::Late,
        Self::Before,
        Self::Unnamed,
        Self::AfterInterim,
        Self::BeforeInterim,
        Self::Often,
    ];

    /// What is written before the answer to the next request.
    fn text(self, refusal: &str) -> String {
        let interim = "HTTP/1.1 103 Early Hints\r\nx-not-executed: 1\r\n\r\n";
        match self {
            Self::Behind | Self::Late => String::new(),
            Self::Before => refusal.to_owned(),
            Self::Unnamed => refusal.replace("x-request-id", "x-other"),
            Self::AfterInterim => interim.to_owned() + refusal,
            Self::BeforeInterim => refusal.to_owned() + interim,
            Self::Often => refusal.repeat(4),
        }
    }
}

/// Requests whose ids begin so are refused.
const REFUSED: &str = "refused";
/// The refusal that is written once more while the connection is idle.
const LATE_REFUSAL: &str = "HTTP/1.1 503 Busy\r\nx-request-id: refused-Late-503 Busy\r\n\
                            x-not-executed: 1\r\ncontent-length: 0\r\n\r\n";

/// A request that ran, and whether its connection had refused another before.
#[derive(Debug)]
struct Run {
    id: String,
    is_after_refusal: bool,
}

/// An upstream that refuses some requests, and writes the refusals once more.
struct Repeater {
    raw: raw::Server,
    runs: Arc<Mutex<Vec<Run>>>,
}

impl Repeater {
    async fn start(repetition: Repetition, status: &'static str) -> Self {
        // The last id that was refused on each connection.
        let refused = Mutex::new(HashMap::<u32, String>::new());
        let runs = Arc::new(Mutex::new(Vec::new()));
        let ran = runs.clone();
        let raw = raw::Server::start(move |request| {
            if request.id.starts_with(REFUSED) {
                refused.lock().insert(request.connection, request.id.clone());
                let refusal = refusal(status, &request.id);
                let (times, end) = match repetition {
                    Repetition::Behind => (2, End::Keep),
                    Repetition::Late => (1, End::Late(LATE, LATE_REFUSAL)),
                    _ => (1, End::Keep),
                };
                return Answer { bytes: refusal.repeat(times).into_bytes(), end };
            }
            let earlier = refused.lock().get(&request.connection).cloned();
            ran.lock().push(Run { id: request.id.clone(), is_after_refusal: earlier.is_some() });
            let repeated = earlier.map(|id| repetition.text(&refusal(status, &id)));
            let bytes = repeated.unwrap_or_default() + &whole(request);
            Answer { bytes: bytes.into_bytes(), end: End::Keep }
        })
        .await;
        Self { raw, runs }
    }

    /// Sends requests until one is refused.
    async fn refuse(&self, fixture: &Fixture, id: &str) {
        let before = self.raw.requests().len();
        fixture::eventually("a request is refused", async || {
            call(fixture.address(0), "POST", "/charge/", &fixture.headers(id), b"x").await;
            self.raw.requests().len() > before
        })
        .await;
    }

    /// Sends a request until it is run; returns the status of the answer.
    async fn run(&self, fixture: &Fixture, id: &str) -> u16 {
        let mut status = 0;
        fixture::eventually("a request is run", async || {
            let headers = fixture.headers(id);
            status = call(fixture.address(0), "POST", "/charge/", &headers, b"x").await.status;
            self.runs.lock().iter().any(|run| run.id == id)
        })
        .await;
        status
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn refusal_repeated_for_next_request() {
    let fixture = Fixture::start(1).await;
    fixture.unregister_services();
    let mut failures = Vec::new();
    for repetition in Repetition::ALL {
        for status in ["503 Busy", "429 Too Many Requests", "421 Misdirected Request"] {
            let server = Repeater::start(repetition, status).await;
            fixture.register(&server.raw, "app");
            for number in 0..REQUESTS {
                server.refuse(&fixture, &format!("{REFUSED}-{repetition:?}-{status}")).await;
                tokio::time::sleep(IDLE).await;
                let id = format!("run-{repetition:?}-{status}-{number}");
                let answered = server.run(&fixture, &id).await;
                // After too many earlier answers, the request may have run.
                let is_often = matches!(repetition, Repetition::Often);
                if answered != 200 && !(is_often && answered == 502) {
                    failures.push(format!("{id}: {answered}"));
                }
            }
            fixture.unregister(&server.raw);
            let runs = server.runs.lock();
            assert_eq!(runs.len(), REQUESTS, "a request ran twice: {runs:?}");
            let is_kept = runs.iter().any(|run| run.is_after_refusal);
            let is_noticed = matches!(repetition, Repetition::Behind | Repetition::Late);
            let is_closed = is_noticed || status.starts_with("421");
            assert_eq!(is_kept, !is_closed, "{repetition:?} {status}: connections are kept");
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
    fixture.stop().await;
}
