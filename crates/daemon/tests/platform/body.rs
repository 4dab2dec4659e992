//! Long bodies of requests.

use std::time::Duration;

use crate::fixture::{self, Fixture};
use crate::raw::{self, Answer, End, Request};

/// Regression, LOST: an engine that read a long body late counted as lost.
#[tokio::test(flavor = "multi_thread")]
async fn engine_reads_long_body_late() {
    const BODY: &[u8] = &[b'x'; 256 << 10];
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
        answer = Some(fixture::call(address, "POST", "/long/", &headers, BODY).await);
        !raw.requests().is_empty()
    })
    .await;
    assert_eq!(answer.unwrap().event_ids(), [1, 2, 3]);
    fixture.stop().await;
}

/// Checks that a request that an upstream does not acknowledge for a while is answered.
async fn silent_host_answers(service: &str, path: &str, respond: fn(&Request) -> Answer) {
    const BODY: &[u8] = &[b'x'; raw::SHORT_BODY_BYTES];
    const SILENCE: Duration = Duration::from_millis(1_300);
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
