//! Daemons that stop or are killed.

use acacia_standin::Counter;
use futures::future::join_all;

use crate::system::{Plan, System, expected, read_stream};

/// Number of streams that are open when a daemon stops.
const STREAMS: usize = 30;
/// Tokens per answer.
const TOKENS: u32 = 150;

/// Starts streams at a daemon and waits until all have begun to answer.
async fn start_streams(
    system: &System,
    daemon: usize,
    number: usize,
) -> Vec<(String, reqwest::Response)> {
    let sends = (0..number).map(|index| async move {
        let prompt = format!("question {index} at {daemon}");
        let request = system.completion(daemon, &prompt, TOKENS, true);
        let response = system.send_ok(daemon, request).await;
        (prompt, response)
    });
    join_all(sends).await
}

/// Number of streams that are completely and correctly received.
async fn count_complete(streams: Vec<(String, reqwest::Response)>) -> usize {
    let reads = streams.into_iter().map(|(prompt, response)| async move {
        read_stream(response).await == (expected(&prompt, TOKENS), true)
    });
    join_all(reads).await.into_iter().filter(|complete| *complete).count()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stop_completes_streams() {
    let mut system = System::start(Plan { slots: 64, ..Plan::default() }).await;
    let running = start_streams(&system, 0, STREAMS).await;
    let others = start_streams(&system, 1, STREAMS).await;
    let address = system.daemons[0].caller_address();
    let stopping = system.daemons.remove(0);
    let stop = tokio::spawn(stopping.stop());
    while !stop.is_finished() {
        let body = serde_json::json!({ "model": "model", "prompt": "late", "max_tokens": 2 });
        let request = system.http.post(format!("http://{address}/v1/completions"));
        let request = request.bearer_auth(crate::system::KEY).json(&body);
        // Once the daemon has stopped, connections are refused, which a load balancer notices too.
        let Ok(response) = request.send().await else { break };
        match response.status().as_u16() {
            200 => assert!(response.text().await.is_ok()),
            503 => assert_eq!(response.headers()["x-acacia-verdict"], "not_run"),
            status => panic!("status {status}"),
        }
    }
    assert_eq!(count_complete(running).await, STREAMS);
    assert_eq!(count_complete(others).await, STREAMS);
    stop.await.unwrap();
    assert_eq!(system.at_engines(Counter::Cancelled), 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stop_rolling_restart() {
    let mut system = System::start(Plan { slots: 64, ..Plan::default() }).await;
    for round in 0..3 {
        let running = start_streams(&system, 0, 8).await;
        let stopping = system.daemons.remove(0);
        let stop = tokio::spawn(stopping.stop());
        assert_eq!(count_complete(running).await, 8);
        stop.await.unwrap();
        system.add_daemon(round, |_| {});
        system.until("the new daemon is ready", |s| s.daemons.iter().all(|d| d.is_ready())).await;
    }
    // All first daemons are replaced, and the configuration is still in force.
    assert_eq!(count_complete(start_streams(&system, 2, 8).await).await, 8);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn kill_breaks_only_own_streams() {
    let mut system = System::start(Plan { slots: 64, ..Plan::default() }).await;
    let own = start_streams(&system, 0, 10).await;
    let others = start_streams(&system, 1, 10).await;
    system.daemons[0].kill();
    assert_eq!(count_complete(others).await, 10);
    let broken = join_all(own.into_iter().map(|(_, response)| read_stream(response))).await;
    // An incomplete stream must not look complete.
    for (tokens, ended) in broken {
        assert_eq!(ended, tokens.len() == TOKENS as usize);
    }
    assert_eq!(count_complete(start_streams(&system, 2, 10).await).await, 10);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn kill_never_repeats_call() {
    let mut plan = Plan::default();
    plan.service.latency = std::time::Duration::from_millis(200);
    let mut system = System::start(plan).await;
    let request = system.charge(0, Some("key"), "one blade");
    let first = tokio::spawn(request.send());
    system.until("the charge runs", |s| s.at_services(Counter::Started) == 1).await;
    system.daemons[0].kill();
    assert!(first.await.unwrap().is_err());
    for daemon in [1, 2] {
        let again = system.charge(daemon, Some("key"), "one blade").send().await.unwrap();
        assert_eq!(again.status(), 409);
        assert_ne!(again.headers()["x-acacia-verdict"], "not_run");
    }
    assert_eq!(system.at_services(Counter::Started), 1);
}
