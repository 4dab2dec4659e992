//! Long bodies of requests.

use std::time::Duration;

use crate::fixture::{self, Caller, Fixture};
use crate::raw::{self, Answer, End, Request};

/// Time for which a host is silent.
const SILENCE: Duration = Duration::from_millis(1_300);
/// A body that a silent host acknowledges in part.
const BODY: &[u8] = &[b'x'; raw::SHORT_BODY_BYTES];

/// Regression, LOST: an engine that read a long body late counted as lost.
#[tokio::test(flavor = "multi_thread")]
async fn engine_reads_long_body_late() {
    const LONG_BODY: &[u8] = &[b'x'; 256 << 10];
    const REST: [&str; 3] = ["id: 2\ndata: x\n\n", "id: 3\ndata: x\n\n", ""];
    let fixture = Fixture::start(1).await;
    fixture.unregister_engines();
    let raw = raw::Server::start(|request| {
        let mut bytes = raw::head(request, "\r\n");
        bytes.extend(b"id: 1\ndata: x\n\n");
        Answer { bytes, end: End::Drip(Duration::from_millis(500), &REST) }
    })
    .await;
    fixture.register(&raw, "llm");
    let headers = fixture.prompt("raw-prompt", 1);
    let mut answer = None;
    fixture::eventually("the engine is asked", async || {
        let address = fixture.address(0);
        answer = Some(fixture::call(address, "POST", "/long/", &headers, LONG_BODY).await);
        !raw.requests().is_empty()
    })
    .await;
    assert_eq!(answer.unwrap().event_ids(), [1, 2, 3]);
    fixture.stop().await;
}

/// Checks that a request that an upstream does not acknowledge for a while is answered.
async fn silent_host_answers(service: &str, path: &str, respond: fn(&Request) -> Answer) {
    let fixture = Fixture::start(1).await;
    fixture.unregister_engines();
    fixture.unregister_services();
    let raw = raw::Server::start_silent(SILENCE, respond).await;
    fixture.register(&raw, service);
    fixture.answer_of(&raw, path).await;
    let headers = fixture.prompt("raw-prompt", 1);
    let answer = fixture::call(fixture.address(0), "POST", path, &headers, BODY).await;
    assert_eq!(answer.status, 200, "{}", String::from_utf8_lossy(&answer.body));
    assert!(answer.is_complete);
    fixture.stop().await;
}

fn plain(request: &Request) -> Answer {
    let bytes = raw::head(request, "content-length: 5\r\n\r\nhello");
    Answer { bytes, end: End::Close }
}

/// Regression, LOST: the kernel ended an exchange with a host that acknowledged nothing for half a
/// second and then went on.
#[tokio::test(flavor = "multi_thread")]
async fn silent_host_at_most_once() {
    silent_host_answers("app", "/charge/", plain).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_host_idempotent() {
    silent_host_answers("app", "/read/", plain).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_host_stream() {
    let stream = |request: &Request| {
        let mut bytes = raw::head(request, "\r\n");
        bytes.extend(b"id: 1\ndata: x\n\n");
        Answer { bytes, end: End::Close }
    };
    silent_host_answers("llm", "/long/", stream).await;
}

/// Regression, GONE: the kernel went on sending a request that its host had not acknowledged, long
/// after the caller had left.
#[tokio::test(flavor = "multi_thread")]
async fn silent_host_caller_gone() {
    let (fixture, raw) = silent_host().await;
    let mut callers = Vec::new();
    for number in 0..8 {
        let headers = fixture.headers(&format!("gone-{number}"));
        let head = fixture::request_head("POST", "/read/", &headers, BODY.len());
        let mut caller = Caller::connect(fixture.address(0)).await.unwrap();
        caller.send(&[&*head, BODY].concat()).await.unwrap();
        callers.push(caller);
    }
    tokio::time::sleep(Duration::from_millis(200)).await;
    drop(callers);
    check_arrivals(&raw, "gone").await;
    fixture.stop().await;
}

/// Regression, GONE: the same after the deadline.
#[tokio::test(flavor = "multi_thread")]
async fn silent_host_expired() {
    let (fixture, raw) = silent_host().await;
    let mut headers = fixture.headers("expired");
    headers.retain(|(name, _)| *name != "x-deadline-ms");
    headers.push(("x-deadline-ms", "600".to_owned()));
    let answer = fixture::call(fixture.address(0), "POST", "/charge/", &headers, BODY).await;
    assert_eq!(answer.status, 504);
    check_arrivals(&raw, "expired").await;
    fixture.stop().await;
}

/// A plain upstream whose host is silent after it accepted a connection.
async fn silent_host() -> (Fixture, raw::Server) {
    let fixture = Fixture::start(1).await;
    fixture.unregister_services();
    let raw = raw::Server::start_silent(SILENCE, plain).await;
    fixture.register(&raw, "app");
    fixture.answer_of(&raw, "/read/").await;
    (fixture, raw)
}

/// Checks that requests whose attempts have ended don't arrive once the host goes on.
async fn check_arrivals(raw: &raw::Server, name: &str) {
    tokio::time::sleep(SILENCE * 2).await;
    let requests = raw.requests();
    let late = requests.iter().filter(|request| request.id.starts_with(name)).count();
    assert_eq!(late, 0, "requests that arrived after their attempts had ended");
}
