//! Upstreams whose answers have malformed heads, or break off inside their heads.

use std::sync::Arc;

use futures::StreamExt;
use futures::stream;

use crate::fixture::{self, Fixture, call};
use crate::raw::{self, Answer, End, Request};

/// Answers at a time.
const CONCURRENCY: usize = 8;
/// A whole body: the events of a stream, or the bytes of a plain answer.
const BODY: &str = "id: 1\ndata: x\n\n";

/// Status lines without a valid status code.
const STATUS_LINES: [&str; 12] = [
    "HTTP/1.1 000 OK",
    "HTTP/1.1 001 OK",
    "HTTP/1.1 099 OK",
    "HTTP/1.1 600 OK",
    "HTTP/1.1 999 OK",
    "HTTP/1.1 20 OK",
    "HTTP/1.1 2000 OK",
    "HTTP/1.1 -20 OK",
    "HTTP/1.1 0200 OK",
    "HTTP/1.1  200 OK",
    "HTTP/1.1 2 0 OK",
    "HTTP/1.0 000 OK",
];

/// Lines of a head whose field has a name that holds a blank or a control byte, or none.
const FIELD_LINES: [&str; 16] = [
    "x more: 3",
    "x-more : 3",
    " x-more: 3",
    "x-more\t: 3",
    "\tx-more: 3",
    "x\0more: 3",
    "x\x01more: 3",
    "x\x0bmore: 3",
    "x\x7fmore: 3",
    "x\rmore: 3",
    ": 3",
    "x-more",
    "content-length : 3",
    "content-length\t: 3",
    "transfer-encoding : chunked",
    "transfer\x01-encoding: chunked",
];

/// The answer that a request asks for with its id: whole, with a malformed head, or the first bytes of
/// it.
fn respond(request: &Request) -> Answer {
    if let Some((_, number)) = request.id.split_once("-field-") {
        let line = FIELD_LINES[number.parse::<usize>().unwrap()];
        let fields = format!("{line}\r\ncontent-length: {}\r\n\r\n{BODY}", BODY.len());
        return Answer { bytes: raw::head(request, &fields), end: End::Keep };
    }
    if let Some((_, number)) = request.id.split_once("-status-") {
        let head = raw::head(request, &format!("content-length: {}\r\n\r\n", BODY.len()));
        let (_, fields) = std::str::from_utf8(&head).unwrap().split_once("\r\n").unwrap();
        let line = STATUS_LINES[number.parse::<usize>().unwrap()];
        let bytes = format!("{line}\r\n{fields}{BODY}").into_bytes();
        return Answer { bytes, end: End::Keep };
    }
    let mut bytes = raw::head(request, &format!("content-length: {}\r\n\r\n", BODY.len()));
    let head_bytes = bytes.len();
    bytes.extend(BODY.as_bytes());
    match request.id.split_once("-cut-").and_then(|(_, length)| length.parse::<usize>().ok()) {
        Some(length) => {
            bytes.truncate(length.min(head_bytes - 1));
            Answer { bytes, end: End::Close }
        }
        None => Answer { bytes, end: End::Keep },
    }
}

/// Headers of a request whose prompt has parts of its own, so that no part is held back.
fn headers(fixture: &Fixture, id: &str) -> Vec<(&'static str, String)> {
    let mut headers = fixture.prompt(id, 1);
    headers.retain(|(name, _)| *name != "x-prompt-prefix");
    let part = u64::from_str_radix(&id.replace(|c: char| !c.is_ascii_hexdigit(), ""), 16);
    headers.push(("x-prompt-prefix", format!("{:x}:4000,1:1000", part.unwrap_or(7))));
    headers
}

/// Sends requests whose answers break off after each byte of the head; returns how many of them
/// reached an upstream.
async fn check_all_lengths(fixture: &Fixture, servers: [&raw::Server; 2]) -> usize {
    let longest = respond(&Request { id: "x-cut-999999".to_owned(), ..blank() }).bytes.len();
    let lengths = (0..=longest).flat_map(|length| [("/charge/", length), ("/long/", length)]);
    let answers = stream::iter(lengths).map(async |(path, length)| {
        let kind = path.trim_matches('/');
        // Leaves a connection for the next request.
        let id = format!("{kind}-whole-{length}");
        let path = format!("{path}{length}");
        call(fixture.address(0), "POST", &path, &headers(fixture, &id), b"x").await;
        let id = format!("{kind}-cut-{length}");
        let answer = call(fixture.address(0), "POST", &path, &headers(fixture, &id), b"x").await;
        assert!(answer.status >= 500, "{id}: {}, {:?}", answer.status, answer.body);
    });
    answers.buffer_unordered(CONCURRENCY).collect::<Vec<_>>().await;
    let requests = servers.into_iter().flat_map(raw::Server::requests);
    requests.filter(|request| request.id.contains("-cut-")).count()
}

/// Sends requests whose ids ask for answers with these malformed heads, on all kinds of routes, until
/// each has reached an upstream. Checks that callers get no such answer.
async fn check_malformed(
    fixture: &Fixture,
    servers: [&raw::Server; 2],
    name: &'static str,
    count: usize,
) {
    let routes = [("/charge/", 0), ("/read/", 0), ("/long/", 1)];
    let cases = (0..count).flat_map(|number| routes.map(|(path, server)| (path, server, number)));
    let checks = stream::iter(cases).map(async |(path, server, number)| {
        let kind = path.trim_matches('/');
        let path = format!("{path}{name}-{number}");
        // Leaves a connection for the next request.
        let id = format!("{kind}-whole-{number}");
        call(fixture.address(0), "POST", &path, &headers(fixture, &id), b"x").await;
        let id = format!("{kind}-{name}-{number}");
        let server: &raw::Server = servers[server];
        fixture::eventually("the request reaches an upstream", async || {
            let headers = headers(fixture, &id);
            let answer = call(fixture.address(0), "POST", &path, &headers, b"x").await;
            assert!((500..600).contains(&answer.status), "{id}: {answer:?}");
            let is_reached = server.requests().iter().any(|request| request.id == id);
            assert!(!is_reached || answer.status == 502, "{id}: {answer:?}");
            is_reached
        })
        .await;
    });
    checks.buffer_unordered(CONCURRENCY).collect::<Vec<_>>().await;
}

/// Starts upstreams of both services for an instance without others.
async fn start_alone() -> (Fixture, [raw::Server; 2]) {
    let fixture = Fixture::start(1).await;
    fixture.unregister_services();
    fixture.unregister_engines();
    let servers = [raw::Server::start(respond).await, raw::Server::start(respond).await];
    fixture.register(&servers[0], "app");
    fixture.register(&servers[1], "llm");
    fixture.answer_of(&servers[0], "/charge/").await;
    fixture.answer_of(&servers[1], "/long/").await;
    (fixture, servers)
}

/// A request without contents.
fn blank() -> Request {
    Request {
        id: String::new(),
        target: String::new(),
        prompt: String::new(),
        body: Default::default(),
        last_event: None,
        weights: String::new(),
        connection: 0,
    }
}

/// MIXED, ORDER of another operator's report: callers got a success with an empty or short body.
#[tokio::test(flavor = "multi_thread")]
async fn head_broken_off_is_no_success() {
    let (fixture, servers) = start_alone().await;
    let reached = check_all_lengths(&fixture, [&servers[0], &servers[1]]).await;
    assert!(reached > 100, "only {reached} requests reached an upstream");
    fixture.stop().await;
}

/// The same for an instance that passes requests on to another one.
#[tokio::test(flavor = "multi_thread")]
async fn head_broken_off_passed_on_is_no_success() {
    let mut fixture = Fixture::start_behind_proxies(2).await;
    fixture.unregister_services();
    fixture.unregister_engines();
    let servers = Arc::new([raw::Server::start(respond).await, raw::Server::start(respond).await]);
    fixture.register_behind_proxy(&servers[0], "app").await;
    fixture.register_behind_proxy(&servers[1], "llm").await;
    fixture.cut(0, acacia_standin::cut::Cut::Reset);
    for (path, server) in ["/charge/", "/long/"].into_iter().zip(&*servers) {
        fixture::eventually("requests are passed on to the upstream", async || {
            let headers = headers(&fixture, "first");
            call(fixture.address(0), "POST", path, &headers, b"x").await;
            !server.requests().is_empty()
        })
        .await;
    }
    let reached = check_all_lengths(&fixture, [&servers[0], &servers[1]]).await;
    assert!(reached > 100, "only {reached} requests reached an upstream");
    fixture.stop().await;
}

/// MIXED: callers got an answer whose status was 600 or 999.
#[tokio::test(flavor = "multi_thread")]
async fn status_invalid_is_no_answer() {
    let (fixture, servers) = start_alone().await;
    let servers = [&servers[0], &servers[1]];
    check_malformed(&fixture, servers, "status", STATUS_LINES.len()).await;
    fixture.stop().await;
}

/// A line that can't be a field is not passed on, and does not decide where the body ends.
#[tokio::test(flavor = "multi_thread")]
async fn field_name_invalid_is_no_answer() {
    let (fixture, servers) = start_alone().await;
    let servers = [&servers[0], &servers[1]];
    check_malformed(&fixture, servers, "field", FIELD_LINES.len()).await;
    fixture.stop().await;
}
