//! Long requests that an upstream answers before it has read them; after the answer it resets the
//! connection.
//!
//! The instance that sends the request is suspended while the answer and the reset arrive, so it sees
//! both at the same time, as on a busy machine.

use std::time::Duration;

use acacia_standin::cut::Cut;

use crate::fixture::{self, Answer, Fixture, call};
use crate::raw::{self, End, Request};

/// Size of a request's body, in bytes: the largest legal one, more than the kernel buffers.
const BODY_BYTES: usize = 4 << 20;
const BODY: &[u8] = &[b'x'; BODY_BYTES];
/// Time between the head of a request and the answer to it, in which the instance is suspended.
const PAUSE: Duration = Duration::from_millis(250);
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// An upstream's answer: the bytes before its status, its status, and the bytes after its fields.
type Parts = (&'static str, &'static str, &'static str);

/// Answers that only the end of the connection delimits.
const UNFRAMED: [Parts; 8] = [
    ("HTTP/1.1 ", "200 OK", "\r\nhel"),
    ("HTTP/1.1 ", "200 OK", "\r\n"),
    ("HTTP/1.1 ", "200 OK", "connection: close\r\n\r\nhel"),
    ("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 ", "200 OK", "\r\nhel"),
    ("HTTP/1.0 ", "200 OK", "\r\nhel"),
    ("HTTP/1.1 ", "404 Not Found", "\r\nhel"),
    ("HTTP/1.1 ", "200 OK", "content-type: text/event-stream\r\n\r\nid: 1\ndata: x\n\n"),
    ("HTTP/1.1 ", "500 Internal Server Error", "\r\nhel"),
];

/// Answers that are whole by their framing, with their status and body.
const FRAMED: [(Parts, u16, &str); 3] = [
    (("HTTP/1.1 ", "200 OK", "content-length: 5\r\n\r\nhello"), 200, "hello"),
    (
        ("HTTP/1.1 ", "200 OK", "transfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"),
        200,
        "hello",
    ),
    (("HTTP/1.1 ", "404 Not Found", "content-length: 4\r\n\r\nnone"), 404, "none"),
];

fn encode((before, status, after): Parts, request: &Request) -> Vec<u8> {
    let fields = format!("x-request-id: {}\r\nx-response-seal: s\r\n", request.id);
    format!("{before}{status}\r\n{fields}{after}").into_bytes()
}

/// Starts an instance without upstreams.
async fn start() -> Fixture {
    let fixture = Fixture::start(1).await;
    fixture.unregister_engines();
    fixture.unregister_services();
    fixture
}

/// Headers of a request about a part of its own, so that no part is held back.
fn headers(fixture: &Fixture, number: usize) -> Vec<(&'static str, String)> {
    let mut headers = fixture.prompt("upload", 1);
    headers.retain(|(name, _)| *name != "x-prompt-prefix");
    headers.push(("x-prompt-prefix", format!("b{number:x}:4000,1:1000")));
    headers
}

/// Starts an upstream that answers with these parts and resets the connection.
async fn start_upstream(parts: Parts) -> raw::Server {
    raw::Server::start_early(PAUSE, move |request| raw::Answer {
        bytes: encode(parts, request),
        end: End::ResetAtOnce,
    })
    .await
}

/// Sends requests to the first instance until one reaches the upstream, and returns its answer. The
/// instance `suspended` is suspended while the upstream answers. Each case has a number of its own.
async fn answer_of(
    fixture: &Fixture,
    raw: &raw::Server,
    suspended: usize,
    path: &str,
    number: usize,
) -> Answer {
    let mut answer = None;
    fixture::eventually("the upstream gets a request", async || {
        let (address, path) = (fixture.address(0), format!("{path}{number}"));
        let headers = headers(fixture, number);
        let call = tokio::spawn(async move { call(address, "POST", &path, &headers, BODY).await });
        while raw.requests().is_empty() && !call.is_finished() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        if !raw.requests().is_empty() {
            fixture.signal(suspended, "-STOP");
            tokio::time::sleep(PAUSE * 2).await;
            fixture.signal(suspended, "-CONT");
        }
        answer = Some(call.await.unwrap());
        !raw.requests().is_empty()
    })
    .await;
    answer.unwrap()
}

/// The answer of an instance whose only upstream of a service gives this one.
async fn answer_with(
    fixture: &Fixture,
    (service, path): (&str, &str),
    number: usize,
    parts: Parts,
) -> Answer {
    let raw = start_upstream(parts).await;
    fixture.register(&raw, service);
    let answer = answer_of(fixture, &raw, 0, path, number).await;
    fixture.unregister(&raw);
    answer
}

/// Checks that callers get no part of an answer without a length as a whole one.
async fn check_unframed(route: (&str, &str)) {
    let fixture = start().await;
    let mut passed = Vec::new();
    for (number, parts) in UNFRAMED.into_iter().enumerate() {
        let answer = answer_with(&fixture, route, number, parts).await;
        let is_broken_off = answer.status == 200 && !answer.is_complete;
        if answer.status != 502 && !is_broken_off {
            passed.push((parts, answer));
        }
    }
    assert!(passed.is_empty(), "{} passed as whole: {passed:#?}", passed.len());
    fixture.stop().await;
}

/// MIXED: callers got part of a body as a whole answer, 200 or 404, where the upstream reset the
/// connection while the request was still being written to it.
#[tokio::test(flavor = "multi_thread")]
async fn once_until_close_reset() {
    check_unframed(("app", "/charge/")).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn idempotent_until_close_reset() {
    check_unframed(("app", "/read/")).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_until_close_reset() {
    check_unframed(("llm", "/long/")).await;
}

/// The same, where another instance passes the request on to the one that sends it.
#[tokio::test(flavor = "multi_thread")]
async fn passed_on_until_close_reset() {
    let mut fixture = Fixture::start_behind_proxies(2).await;
    fixture.unregister_engines();
    fixture.unregister_services();
    fixture.cut(0, Cut::Reset);
    for (number, parts) in UNFRAMED.into_iter().enumerate() {
        let raw = start_upstream(parts).await;
        fixture.register_behind_proxy(&raw, "app").await;
        let answer = answer_of(&fixture, &raw, 1, "/charge/", number).await;
        assert_eq!(answer.status, 502, "{parts:?}: {answer:?}");
        fixture.unregister(&raw);
    }
    fixture.stop().await;
}

/// An answer that is whole by its framing is delivered, whatever happens to its connection.
#[tokio::test(flavor = "multi_thread")]
async fn framed_reset() {
    let fixture = start().await;
    for (number, (parts, status, body)) in FRAMED.into_iter().enumerate() {
        let answer = answer_with(&fixture, ("app", "/charge/"), number, parts).await;
        assert!(answer.is_complete, "{parts:?}: {answer:?}");
        assert_eq!((answer.status, &*answer.body), (status, body.as_bytes()), "{parts:?}");
    }
    fixture.stop().await;
}

/// The head of a refusal says that the request was not run; callers get a refusal, too.
#[tokio::test(flavor = "multi_thread")]
async fn refusal_reset() {
    let fixture = start().await;
    let parts = ("HTTP/1.1 ", "503 Service Unavailable", "x-not-executed: 1\r\n\r\nbu");
    let answer = answer_with(&fixture, ("app", "/charge/"), 0, parts).await;
    assert!(answer.status == 503 && answer.is_complete, "{answer:?}");
    fixture.stop().await;
}
