//! Callers that leave, read slowly or send malformed requests.

use std::time::Duration;

use acacia_standin::Counter;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpSocket;

use crate::system::{KEY, Plan, System};

/// Receive buffer of a slow reader, in bytes.
const SMALL_BUFFER: u32 = 4_096;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn caller_gone_streaming() {
    let system = System::start(Plan::default()).await;
    let mut response = system.completion(0, "a question", 5_000, true).send().await.unwrap();
    response.chunk().await.unwrap().unwrap();
    drop(response);
    system.until("the run is cancelled", |s| s.at_engines(Counter::Cancelled) == 1).await;
    assert_eq!(system.at_engines(Counter::Finished), 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn caller_gone_waiting() {
    let system = System::start(Plan::default()).await;
    let request = system.completion(0, "a question", 5_000, false);
    let waiting = tokio::spawn(request.send());
    system.until("the run has started", |s| s.at_engines(Counter::Started) == 1).await;
    waiting.abort();
    system.until("the run is cancelled", |s| s.at_engines(Counter::Cancelled) == 1).await;
    assert_eq!(system.at_engines(Counter::Finished), 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn caller_reads_slowly() {
    let mut plan = Plan { daemons: 1, engines: 1, ..Plan::default() };
    plan.configure = |settings| settings.times.stall = Duration::from_millis(300);
    plan.engine.chunk_tokens = 4_096;
    plan.engine.decode_per_token = Duration::ZERO;
    let system = System::start(plan).await;
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(SMALL_BUFFER).unwrap();
    let mut stream = socket.connect(system.daemons[0].caller_address()).await.unwrap();
    let body = serde_json::json!({
        "model": "model", "prompt": "a question", "max_tokens": 3_000_000, "stream": true,
        "return_token_ids": true,
    });
    let body = body.to_string();
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: test\r\nauthorization: Bearer {KEY}\r\n\
         content-length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(format!("{head}{body}").as_bytes()).await.unwrap();
    let mut start = [0; 12];
    stream.read_exact(&mut start).await.unwrap();
    assert_eq!(&start, b"HTTP/1.1 200");
    system.until("the run is cancelled", |s| s.at_engines(Counter::Cancelled) == 1).await;
    assert_eq!(system.at_engines(Counter::Finished), 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn caller_sends_invalid_bodies() {
    let system = System::start(Plan { daemons: 1, ..Plan::default() }).await;
    let address = system.daemons[0].caller_address();
    let url = format!("http://{address}/v1/completions");
    let bodies = [
        String::new(),
        "{".to_owned(),
        "[]".to_owned(),
        r#"{"model":"model"}"#.to_owned(),
        r#"{"model":"model","prompt":""}"#.to_owned(),
        r#"{"model":"model","prompt":"x","max_tokens":0}"#.to_owned(),
        r#"{"model":"model","prompt":"x","max_tokens":-1}"#.to_owned(),
        r#"{"model":"model","prompt":"x","max_tokens":4294967295}"#.to_owned(),
        r#"{"model":"model","prompt":[-1]}"#.to_owned(),
        r#"{"model":"model","prompt":"x","n":2}"#.to_owned(),
        r#"{"model":"model","messages":[]}"#.to_owned(),
        "[".repeat(100_000),
    ];
    for body in bodies {
        let response = system.http.post(&url).bearer_auth(KEY).body(body).send().await.unwrap();
        assert_eq!(response.status(), 400);
        assert_eq!(response.headers()["x-acacia-verdict"], "not_run");
        let error: serde_json::Value = response.json().await.unwrap();
        for field in ["code", "message", "hint", "verdict", "trace_id"] {
            assert!(error["error"][field].is_string(), "{field} in {error}");
        }
    }
    let huge = vec![b' '; 9 << 20];
    let response = system.http.post(&url).bearer_auth(KEY).body(huge).send().await.unwrap();
    assert_eq!(response.status(), 413);
    assert_eq!(system.at_engines(Counter::Started), 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn caller_trace_echoed() {
    let system = System::start(Plan { daemons: 1, ..Plan::default() }).await;
    let parent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    let request = system.completion(0, "a question", 2, false).header("traceparent", parent);
    let response = request.send().await.unwrap();
    assert_eq!(response.headers()["x-trace-id"], "0af7651916cd43dd8448eb211c80319c");
}
