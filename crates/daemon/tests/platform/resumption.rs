//! Answers to a resumed stream: what may go on with a stream, or end it as complete.

use std::time::Duration;

use crate::answer::until_close;
use crate::fixture::{self, Fixture};
use crate::raw::{self, Answer, End, Request};

/// Bytes that no caller may find in its stream.
const FOREIGN: &str = "FOREIGN";

/// A status, header fields and the body of an answer.
#[derive(Clone, Copy, Debug)]
struct Form {
    status: &'static str,
    fields: &'static str,
    body: &'static str,
}

impl Form {
    /// The answer to a request, sealed unless `fields` say otherwise.
    fn answer(self, request: &Request) -> Answer {
        let Self { status, fields, body } = self;
        let id = &request.id;
        let head = format!("HTTP/1.1 {status}\r\nx-request-id: {id}\r\n{fields}\r\n{body}");
        Answer { bytes: head.into_bytes(), end: End::Close }
    }
}

const fn form(status: &'static str, fields: &'static str, body: &'static str) -> Form {
    Form { status, fields, body }
}

/// Answers that are not the rest of a stream of status 200 and type `text/event-stream`.
const OTHERS: [Form; 21] = [
    form("204 No Content", "x-response-seal: s\r\n", ""),
    form("204 No Content", "x-response-seal: s\r\ncontent-type: text/event-stream\r\n", ""),
    form("205 Reset Content", "x-response-seal: s\r\ncontent-length: 0\r\n", ""),
    form(
        "206 Partial Content",
        "x-response-seal: s\r\ncontent-type: text/event-stream\r\ncontent-length: 21\r\n",
        "id: 4\ndata: FOREIGN\n\n",
    ),
    form("202 Accepted", "x-response-seal: s\r\ncontent-length: 0\r\n", ""),
    form("302 Found", "x-response-seal: s\r\ncontent-length: 0\r\nlocation: /\r\n", ""),
    form("304 Not Modified", "x-response-seal: s\r\n", ""),
    form("200 OK", "x-response-seal: s\r\ncontent-length: 0\r\n", ""),
    form("200 OK", "x-response-seal: s\r\ncontent-type: text/plain\r\ncontent-length: 0\r\n", ""),
    form(
        "200 OK",
        "x-response-seal: s\r\ncontent-type: text/plain\r\ncontent-length: 9\r\n",
        "FOREIGN\n\n",
    ),
    form(
        "200 OK",
        "x-response-seal: s\r\ncontent-type: application/json\r\ntransfer-encoding: chunked\r\n",
        "f\r\n{\"a\":\"FOREIGN\"}\r\n2\r\n\n\n\r\n0\r\n\r\n",
    ),
    form("200 OK", "x-response-seal: s\r\ncontent-type: text/event-stream\r\n", ""),
    form("200 OK", "content-type: text/event-stream\r\ncontent-length: 0\r\n", ""),
    form("200 OK", "content-type: text/event-stream\r\n", "id: 4\ndata: FOREIGN\n\n"),
    form(
        "500 Error",
        "x-response-seal: s\r\ncontent-type: text/event-stream\r\ncontent-length: 21\r\n",
        "id: 4\ndata: FOREIGN\n\n",
    ),
    form(
        "500 Error",
        "x-response-seal: s\r\ntransfer-encoding: chunked\r\n",
        "9\r\nFOREIGN\n\n\r\n0\r\n\r\n",
    ),
    form(
        "500 Error",
        "x-response-seal: s\r\n",
        "HTTP/1.1 500 Error\r\nx-response-seal: s\r\n\r\nFOREIGN\n\n",
    ),
    form("404 Not Found", "x-response-seal: s\r\ncontent-length: 9\r\n", "FOREIGN\n\n"),
    form("400 Bad Request", "x-response-seal: s\r\ncontent-length: 9\r\n", "FOREIGN\n\n"),
    form("503 Busy", "x-not-executed: 1\r\ncontent-length: 9\r\n", "FOREIGN\n\n"),
    form("103 Early Hints", "", "HTTP/1.1 204 No Content\r\nx-response-seal: s\r\n\r\nFOREIGN\n\n"),
];

/// A deployment in which each stream breaks off after its third event, and is resumed at a server
/// that answers in a given form.
struct Scene {
    fixture: Fixture,
    number: usize,
}

impl Scene {
    async fn start() -> Self {
        let fixture = Fixture::start(1).await;
        fixture.unregister_engines();
        Self { fixture, number: 0 }
    }

    /// Sends prompts until a stream is resumed, and returns the answer to its caller.
    async fn answer(
        &mut self,
        resume: impl Fn(&Request) -> Answer + Send + Sync + Copy + 'static,
    ) -> fixture::Answer {
        let respond = move |request: &Request| match request.last_event {
            None => until_close(request, 3, "id: 4\n"),
            Some(_) => resume(request),
        };
        let servers = [raw::Server::start(respond).await, raw::Server::start(respond).await];
        servers.iter().for_each(|server| self.fixture.register(server, "llm"));
        let mut answer = None;
        let is_resumed = async || {
            self.number += 1;
            answer = Some(self.fixture.send_prompt_about(0, self.number).await);
            let mut seen = servers.iter().flat_map(raw::Server::requests);
            seen.any(|request| request.last_event == Some(3))
        };
        fixture::eventually("a stream is resumed", is_resumed).await;
        servers.iter().for_each(|server| self.fixture.unregister(server));
        // The instance learns that they have gone.
        tokio::time::sleep(Duration::from_millis(500)).await;
        answer.unwrap()
    }
}

/// Regression, ORDER: a stream that broke off ended as complete because the next upstream answered
/// with an empty success.
#[tokio::test(flavor = "multi_thread")]
async fn stream_resumed_other_answer_breaks_off() {
    let mut scene = Scene::start().await;
    let mut failures = Vec::new();
    for form in OTHERS {
        let answer = scene.answer(move |request| form.answer(request)).await;
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        if answer.is_complete || answer.event_ids() != [1, 2, 3] || text.contains(FOREIGN) {
            failures.push(format!("{form:?}: complete {}, {text:?}", answer.is_complete));
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
    scene.fixture.stop().await;
}

/// The caller already has the last event: the rest of the stream is empty.
#[tokio::test(flavor = "multi_thread")]
async fn stream_resumed_after_last_event_is_complete() {
    let mut scene = Scene::start().await;
    for form in [
        form(
            "200 OK",
            "x-response-seal: s\r\ncontent-type: text/event-stream\r\ncontent-length: 0\r\n",
            "",
        ),
        form(
            "200 OK",
            "x-response-seal: s\r\ncontent-type: Text/Event-Stream; charset=utf-8\r\n\
             transfer-encoding: chunked\r\n",
            "0\r\n\r\n",
        ),
    ] {
        let answer = scene.answer(move |request| form.answer(request)).await;
        assert!(answer.is_complete, "{form:?}");
        assert_eq!(answer.event_ids(), [1, 2, 3]);
    }
    scene.fixture.stop().await;
}

/// Events that the caller already has are not repeated.
#[tokio::test(flavor = "multi_thread")]
async fn stream_resumed_from_earlier_event() {
    let mut scene = Scene::start().await;
    for first in [1, 2, 3] {
        let resume = move |request: &Request| {
            let from_start = Request { last_event: Some(first - 1), ..request.clone() };
            until_close(&from_start, 8, "")
        };
        let answer = scene.answer(resume).await;
        assert!(answer.is_complete, "resumed from event {first}");
        assert_eq!(answer.event_ids(), scene.fixture.all_events(), "resumed from event {first}");
    }
    scene.fixture.stop().await;
}

/// Regression, ORDER: an upstream wrote another answer behind the events of a stream that ends with
/// its connection, and the caller found its head and text in the stream.
#[tokio::test(flavor = "multi_thread")]
async fn stream_followed_by_other_answer() {
    const OTHER: &str = "HTTP/1.1 500 Error\r\nx-request-id: r\r\n\r\nFOREIGN\n\n";
    const CUT: &str = "id: 9\ndata: abcHTTP/1.1 500 Error\r\nx-request-id: r\r\n\r\nFOREIGN\n\n";
    let fixture = Fixture::start(1).await;
    fixture.unregister_engines();
    let rest = "x-response-seal: s\r\ncontent-type: text/event-stream\r\ncontent-length: 0\r\n";
    let rest = form("200 OK", rest, "");
    for (path, other) in [("/ask/", OTHER), ("/long/", OTHER), ("/ask/", CUT), ("/long/", CUT)] {
        let respond = move |request: &Request| match request.last_event {
            Some(8) => rest.answer(request),
            _ => until_close(request, 8, other),
        };
        let servers = [raw::Server::start(respond).await, raw::Server::start(respond).await];
        servers.iter().for_each(|server| fixture.register(server, "llm"));
        let mut answer = None;
        fixture::eventually("an upstream is asked", async || {
            let headers = fixture.prompt("overrun", 1);
            let address = fixture.address(0);
            answer = Some(fixture::call(address, "POST", path, &headers, b"x").await);
            servers.iter().any(|server| !server.requests().is_empty())
        })
        .await;
        let answer = answer.unwrap();
        assert_eq!(answer.event_ids(), fixture.all_events(), "{path}");
        assert!(!String::from_utf8_lossy(&answer.body).contains(FOREIGN), "{path}");
        // The other upstream knows that nothing follows, if the stream may be resumed.
        assert_eq!(answer.is_complete, path == "/ask/", "{path}");
        servers.iter().for_each(|server| fixture.unregister(server));
    }
    fixture.stop().await;
}
