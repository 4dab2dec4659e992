//! The platform's servers: faults and the ledger of runs.

#![expect(clippy::unwrap_used, reason = "a helper that fails fails its test")]

use std::sync::Arc;
use std::time::Duration;

use acacia_standin::Fault;
use acacia_standin::platform::run::{End, Run};
use acacia_standin::platform::server::{self, Engine, Handle, Peers, Performance, Settings};
use acacia_standin::platform::{crash, store};
use reqwest::{Client, Method, Response, Result};

/// Longer than any test lasts.
const FOREVER_MS: u64 = 3_600_000;
/// Events of an answer.
const EVENTS: u32 = 3;

async fn engine() -> (store::Handle, Handle) {
    let store = store::start().await.unwrap();
    let engine = Engine {
        model: "m".to_owned(),
        load_time: Duration::ZERO,
        caches: Vec::new(),
        peers: Peers::default(),
        performance: Performance::default(),
    };
    let settings = Settings {
        id: "llm-1".to_owned(),
        service: "llm".to_owned(),
        zone: "z1".to_owned(),
        latency: Duration::from_millis(1),
        slots: 4,
        queue: 4,
        engine: Some(engine),
    };
    let server = server::start(settings, &store).await.unwrap();
    (store, server)
}

async fn ask(server: &Handle) -> Result<Response> {
    ask_prompt(server, "").await
}

async fn ask_prompt(server: &Handle, parts: &str) -> Result<Response> {
    // Fails if another test has installed a provider; plain HTTP never uses it.
    let _ = rustls::crypto::ring::default_provider().install_default();
    let client = Client::builder().no_proxy().build()?;
    let request = client.post(format!("http://{}/ask/x", server.address));
    let request = request.header("x-request-id", "r").header("x-prompt-prefix", parts);
    request.header("x-token-usage", format!("10,{EVENTS}")).body("x").send().await
}

/// Waits until a condition holds of the only run.
async fn run_with(server: &Handle, condition: impl Fn(&Run) -> bool) -> Run {
    loop {
        if let Some(run) = server.ledger().into_iter().find(&condition) {
            return run;
        }
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

#[tokio::test]
async fn ledger_whole_answer() {
    let (_store, server) = engine().await;
    ask(&server).await.unwrap().bytes().await.unwrap();
    let run = run_with(&server, |run| run.end.is_some()).await;
    assert_eq!((run.sent.len(), run.end.unwrap().1), (EVENTS as usize, End::Answered));
}

#[tokio::test]
async fn silent_goes_on() {
    let (_store, server) = engine().await;
    server.fault(Fault::Silent { millis: FOREVER_MS }).unwrap();
    let (answer, ()) = tokio::join!(ask(&server), async {
        run_with(&server, |run| run.silent_until.is_some()).await;
        server.fault(Fault::Silent { millis: 0 }).unwrap();
    });
    answer.unwrap().bytes().await.unwrap();
    let run = run_with(&server, |run| run.end.is_some()).await;
    assert_eq!((run.silent_until, run.end.unwrap().1), (None, End::Answered));
}

#[tokio::test]
async fn silent_cancelled() {
    let (_store, server) = engine().await;
    server.fault(Fault::Silent { millis: FOREVER_MS }).unwrap();
    tokio::select! {
        _ = ask(&server) => unreachable!("the server is silent"),
        _ = run_with(&server, |run| run.silent_until.is_some()) => {}
    }
    let run = run_with(&server, |run| run.end.is_some()).await;
    assert!(run.silent_until.is_some());
    assert_eq!((run.sent.len(), run.end.unwrap().1), (0, End::Cancelled));
}

#[tokio::test]
async fn broken_stream_recorded() {
    let (_store, server) = engine().await;
    server.fault(Fault::BrokenStream { token: 2, times: Some(1) }).unwrap();
    let body = ask(&server).await.unwrap().bytes().await;
    assert!(body.is_err());
    let run = run_with(&server, |run| run.end.is_some()).await;
    assert_eq!((run.sent.len(), run.end.unwrap().1), (1, End::BrokenOff));
}

#[tokio::test]
async fn closing_runs_nothing() {
    let (_store, server) = engine().await;
    server.fault(Fault::Closing { on: true }).unwrap();
    assert!(ask(&server).await.is_err());
    assert!(server.ledger().is_empty());
    server.fault(Fault::Closing { on: false }).unwrap();
    assert!(ask(&server).await.is_ok());
}

#[tokio::test]
async fn crash_on_part() {
    let (_store, server) = engine().await;
    let part = Arc::new(crash::Cause::new(crash::Trigger::Part("c".to_owned())));
    server.crash_on(part.clone());
    ask_prompt(&server, "a:1,b:1").await.unwrap();
    assert!(part.record().arrivals.is_empty());
    tokio::select! {
        _ = ask_prompt(&server, "a:1,c:1,d:1") => unreachable!("the server crashes"),
        () = server.crashed() => {}
    }
    let record = part.record();
    assert_eq!((record.arrivals.len(), record.crashes.len()), (1, 1));
    server.restart_renamed();
    assert_eq!(server.id(), "llm-1-1");
    ask_prompt(&server, "a:1,b:1").await.unwrap();
    assert_eq!(part.record().crashes.len(), 1);
}

#[tokio::test]
async fn crash_on_request() {
    let (_store, server) = engine().await;
    let request = |method: Method, path: &str, body: &str| {
        let (path, body) = (path.to_owned(), body.to_owned().into());
        Arc::new(crash::Cause::new(crash::Trigger::Request { method, path, body }))
    };
    let others = [
        request(Method::GET, "/ask/x", "x"),
        request(Method::POST, "/ask/x?page=1", "x"),
        request(Method::POST, "/ask/y", "x"),
        request(Method::POST, "/ask/x", ""),
    ];
    others.iter().for_each(|other| server.crash_on(other.clone()));
    assert!(ask(&server).await.is_ok());
    let culprit = request(Method::POST, "/ask/x", "x");
    server.crash_on(culprit.clone());
    tokio::select! {
        _ = ask(&server) => unreachable!("the server crashes"),
        () = server.crashed() => {}
    }
    assert_eq!((culprit.record().arrivals.len(), culprit.record().crashes.len()), (1, 1));
    assert!(others.iter().all(|other| other.record().arrivals.is_empty()));
}
