//! Requests that an instance without a path to the upstreams passes on to another one, while their
//! callers leave, the other instance stops, or paths are lost midway.

use std::time::Duration;

use acacia_standin::Fault;
use acacia_standin::cut::Cut;
use acacia_standin::platform::run::{End, Run};
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::fixture::{Answer, Caller, Fixture, call, eventually, request_head};

/// Events of a long stream, one of which is made every five milliseconds.
const LONG_EVENTS: u32 = 300;
/// Time within which the work for a caller that has left stops.
const GONE_TIME: Duration = Duration::from_millis(500);
/// Requests of each kind whose callers leave.
const CALLERS: usize = 6;
/// Time for which servers keep silent.
const SILENCE: Duration = Duration::from_millis(1_500);

/// Starts instances, the first of which has lost the path to all upstreams and passes requests on.
async fn start_cut(instances: usize) -> Fixture {
    let fixture = Fixture::start_behind_proxies(instances).await;
    fixture.cut(0, Cut::Reset);
    eventually("requests are passed on", async || {
        let headers = fixture.headers("first");
        let plain = call(fixture.address(0), "GET", "/read/", &headers, b"").await;
        plain.status == 200 && fixture.send_prompt(0, "first").await.status == 200
    })
    .await;
    fixture
}

/// Headers of a prompt with a long answer.
fn long_prompt(fixture: &Fixture, id: &str) -> Vec<(&'static str, String)> {
    let mut headers = fixture.prompt(id, 1);
    headers.retain(|(name, _)| *name != "x-token-usage");
    headers.push(("x-token-usage", format!("5000,{LONG_EVENTS}")));
    headers
}

/// Sends a request to the first instance over a connection of its own.
async fn send(path: &str, fixture: &Fixture, headers: &[(&'static str, String)]) -> Caller {
    let mut caller = Caller::connect(fixture.address(0)).await.unwrap();
    let head = request_head("POST", path, headers, 1);
    caller.send(&[&*head, b"x"].concat()).await.unwrap();
    caller
}

/// Starts a stream at the first instance and waits until its caller has the begin.
async fn begin_stream(fixture: &Fixture, id: &str) -> JoinHandle<Answer> {
    let mut caller = send("/ask/", fixture, &long_prompt(fixture, id)).await;
    let head = caller.head().await.expect("the head of an answer");
    assert_eq!(head.status, 200);
    tokio::spawn(async move { caller.rest(&head).await })
}

/// The runs of requests whose ids start so.
fn runs(fixture: &Fixture, id: &str) -> Vec<Run> {
    let servers = fixture.services.iter().chain(&fixture.engines);
    servers.flat_map(|server| server.ledger()).filter(|run| run.id.starts_with(id)).collect()
}

/// Checks that the caller of a broken stream can tell, and that the rest is had from the first
/// instance.
async fn check_take_up(fixture: &Fixture, id: &str, broken: &Answer) {
    assert!(!broken.is_complete, "a broken stream looks complete");
    let first = broken.event_ids();
    let last = u32::try_from(first.len()).unwrap();
    assert!((1..LONG_EVENTS).contains(&last), "{last} events before the break");
    assert_eq!(first, (1..=last).collect::<Vec<_>>());
    let mut rest = None;
    let mut number = 0;
    eventually("the rest of the stream is served", async || {
        number += 1;
        let mut headers = long_prompt(fixture, &format!("{id}-again-{number}"));
        headers.push(("last-event-id", last.to_string()));
        headers.push(("resumes", id.to_owned()));
        let answer = call(fixture.address(0), "POST", "/ask/", &headers, b"x").await;
        rest = Some(answer).filter(|answer| answer.status == 200);
        rest.is_some()
    })
    .await;
    let rest = rest.unwrap();
    assert!(rest.is_complete);
    assert_eq!(rest.event_ids(), (last + 1..=LONG_EVENTS).collect::<Vec<_>>());
}

/// GONE: the callers of requests that are passed on leave.
#[tokio::test(flavor = "multi_thread")]
async fn caller_leaves_upstreams_stop() {
    let fixture = start_cut(3).await;
    let silence = Fault::Silent { millis: 10_000 };
    fixture.services.iter().for_each(|server| server.fault(silence.clone()).unwrap());
    let mut callers = Vec::new();
    for number in 0..CALLERS {
        let headers = fixture.headers(&format!("gone-plain-{number}"));
        callers.push(send("/read/", &fixture, &headers).await);
        let headers = long_prompt(&fixture, &format!("gone-stream-{number}"));
        callers.push(send("/ask/", &fixture, &headers).await);
    }
    let working = || runs(&fixture, "gone").into_iter().filter(|run| run.end.is_none()).count();
    eventually("all requests are at work", async || working() == CALLERS * 2).await;
    let left = Instant::now();
    drop(callers);
    tokio::time::sleep(GONE_TIME * 2).await;
    let runs = runs(&fixture, "gone");
    let late = runs.iter().filter(|run| run.end.is_none_or(|(at, _)| at > left + GONE_TIME));
    let (late, begun) = (late.count(), runs.iter().filter(|run| run.began > left + GONE_TIME));
    let slowest = runs.iter().filter_map(|run| run.end).map(|(at, _)| at - left).max();
    println!("{late} of {} were at work half a second later; slowest end {slowest:?}", runs.len());
    assert_eq!(begun.count(), 0, "requests reached upstreams after their callers had left");
    assert!(late * 4 <= runs.len(), "{late} of {} were still at work", runs.len());
    let cancelled = runs.iter().filter(|run| matches!(run.end, Some((_, End::Cancelled)))).count();
    assert!(cancelled >= CALLERS, "only {cancelled} runs were cancelled");
}

/// The instance that a stream was passed on to loses its path, too.
#[tokio::test(flavor = "multi_thread")]
async fn other_instance_is_cut_stream_is_incomplete() {
    let fixture = start_cut(3).await;
    let stream = begin_stream(&fixture, "midway").await;
    (1..3).for_each(|instance| fixture.cut(instance, Cut::Reset));
    let broken = stream.await.unwrap();
    (1..3).for_each(|instance| fixture.heal(instance));
    check_take_up(&fixture, "midway", &broken).await;
}

/// The instance that a stream was passed on to is killed.
#[tokio::test(flavor = "multi_thread")]
async fn other_instance_is_killed_stream_is_incomplete() {
    let fixture = start_cut(3).await;
    let stream = begin_stream(&fixture, "midway").await;
    let is_passed_on = |instance| fixture.logged(instance, &["\"sent\"", "\"midway\""]) > 0;
    let mut helper = None;
    eventually("the log tells the other instance", async || {
        helper = (1..3).find(|instance| is_passed_on(*instance));
        helper.is_some()
    })
    .await;
    fixture.kill(helper.unwrap());
    let broken = stream.await.unwrap();
    check_take_up(&fixture, "midway", &broken).await;
}

/// The path breaks below a stream that its instance receives from the engine itself.
#[tokio::test(flavor = "multi_thread")]
async fn own_path_breaks_stream_is_taken_up_through_other() {
    let fixture = Fixture::start_behind_proxies(3).await;
    let stream = begin_stream(&fixture, "midway").await;
    fixture.cut(0, Cut::Reset);
    let broken = stream.await.unwrap();
    check_take_up(&fixture, "midway", &broken).await;
}

/// LOST: the only instance with a path gets SIGTERM while it works on requests that were passed on.
#[tokio::test(flavor = "multi_thread")]
async fn other_instance_is_stopped_exchanges_complete() {
    let fixture = start_cut(2).await;
    let silence = Fault::Silent { millis: u64::try_from(SILENCE.as_millis()).unwrap() };
    fixture.services.iter().for_each(|server| server.fault(silence.clone()).unwrap());
    let stream = begin_stream(&fixture, "stopped-stream").await;
    let mut plain = Vec::new();
    for number in 0..CALLERS {
        let headers = fixture.headers(&format!("stopped-{number}"));
        let path = if number % 2 == 0 { "/read/" } else { "/charge/" };
        let mut caller = send(path, &fixture, &headers).await;
        plain.push(tokio::spawn(async move { caller.answer().await }));
    }
    let working = async || runs(&fixture, "stopped-").len() > CALLERS;
    eventually("all requests are at work", working).await;
    fixture.terminate(1);
    for answer in plain {
        let answer = answer.await.unwrap().expect("an answer");
        assert!(answer.status == 200 && answer.is_complete, "{answer:?}");
    }
    let stream = stream.await.unwrap();
    assert_eq!(stream.event_ids(), (1..=LONG_EVENTS).collect::<Vec<_>>());
    assert!(stream.is_complete);
    assert!((0..CALLERS).all(|number| fixture.runs(&format!("stopped-{number}")) == 1));
}

/// An instance loses the path to one service only.
#[tokio::test(flavor = "multi_thread")]
async fn path_to_one_service_lost_other_is_served_directly() {
    let fixture = Fixture::start_behind_proxies(2).await;
    fixture.cut_engines(0, Cut::Reset);
    eventually("prompts are passed on", async || {
        fixture.send_prompt(0, "first").await.status == 200
    })
    .await;
    for number in 0..20 {
        let (plain, once) = (format!("plain-{number}"), format!("once-{number}"));
        let headers = fixture.headers(&plain);
        let read = call(fixture.address(0), "GET", "/read/", &headers, b"").await;
        assert_eq!(read.status, 200);
        let headers = fixture.headers(&once);
        let charge = call(fixture.address(0), "POST", "/charge/", &headers, b"1").await;
        assert_eq!((charge.status, fixture.runs(&once)), (200, 1));
        let prompt = fixture.send_prompt(0, &format!("prompt-{number}")).await;
        assert_eq!((prompt.status, prompt.event_ids()), (200, fixture.all_events()));
    }
    eventually("the log tells that a prompt was passed on", async || {
        fixture.logged(0, &["\"passed on\"", "\"llm\""]) > 0
    })
    .await;
    assert_eq!(fixture.logged(0, &["\"passed on\"", "\"app\""]), 0);
}
