//! Tests of the plain service over HTTP: runs, duplicates, cold start and faults.

mod http;

use std::time::Duration;

use acacia_standin::service::{Handle, Receipt, Runs, Settings, start};
use acacia_standin::{Counter, Fault};
use http::{Reply, client, get, post, send};
use serde_json::json;

/// High enough that no test waits noticeably for model time.
const SCALE: f64 = 10_000.0;

fn settings() -> Settings {
    Settings { scale: SCALE, ..Settings::default() }
}

async fn service() -> Handle {
    start(settings()).await.expect("a free loopback port")
}

async fn book(service: &Handle, id: &str, key: &str, reference: &str) -> Reply {
    let url = format!("http://{}/bookings/7", service.address);
    let call = client().post(url).header("x-request-id", id).header("idempotency-key", key);
    send(call.json(&json!({"reference": reference}))).await
}

#[tokio::test]
async fn run_receipt() {
    let service = service().await;
    let reply = book(&service, "one", "k1", "r1").await;
    let receipt: Receipt = reply.json();
    assert_eq!(reply.header("x-request-id"), "one");
    let expected = Receipt {
        service: "service".to_owned(),
        request_id: "one".to_owned(),
        method: "POST".to_owned(),
        path: "/bookings/7".to_owned(),
        reference: Some("r1".to_owned()),
        run: 1,
    };
    assert_eq!(receipt, expected);
}

#[tokio::test]
async fn duplicates_counted_by_key_and_reference() {
    let service = service().await;
    book(&service, "one", "k1", "r1").await;
    book(&service, "two", "k2", "r2").await;
    assert_eq!(service.count(Counter::Duplicates), 0);
    assert_eq!(book(&service, "three", "k1", "r3").await.json::<Receipt>().run, 2);
    assert_eq!(service.count(Counter::Duplicates), 1);
    // Without a key, runs are counted by the reference.
    let body = json!({"reference": "r2"});
    post(service.address, "/bookings/7", "four", &body).await;
    assert_eq!(service.count(Counter::Duplicates), 2);
    get(service.address, "/status/7").await;
    get(service.address, "/status/7").await;
    assert_eq!(service.count(Counter::Duplicates), 2);
    let runs: Runs = get(service.control, "/runs").await.json();
    assert_eq!(runs, service.runs());
    assert_eq!((runs.by_key["k1"], runs.by_reference["r2"]), (2, 2));
}

#[tokio::test]
async fn answer_lost_after_run() {
    let service = service().await;
    service.fault(Fault::LostAnswer { times: 1 }).unwrap();
    assert!(book(&service, "one", "k1", "r1").await.disconnected);
    assert_eq!(service.runs().by_key["k1"], 1);
    assert_eq!(service.count(Counter::AnswersLost), 1);
}

#[tokio::test]
async fn run_refused() {
    let service = service().await;
    service.fault(Fault::Leaving { on: true }).unwrap();
    book(&service, "one", "k1", "r1").await.expect_error(503, "leaving");
    service.fault(Fault::Leaving { on: false }).unwrap();
    service.fault(Fault::Down { on: true }).unwrap();
    book(&service, "two", "k1", "r1").await.expect_error(503, "unavailable");
    assert_eq!(service.runs(), Runs::default());
    assert_eq!(service.count(Counter::Started), 0);
}

#[tokio::test]
async fn cold_limit_exceeded() {
    let long = Duration::from_secs(3_600) * SCALE as u32;
    let slow = Settings { latency: long, cold_period: long, cold_limit: 1, ..settings() };
    let service = start(slow).await.unwrap();
    service.fault(Fault::Cold).unwrap();
    let address = service.address;
    let running =
        tokio::spawn(async move { post(address, "/bookings/1", "one", &json!({})).await });
    while service.count(Counter::Started) == 0 {
        tokio::task::yield_now().await;
    }
    assert!(book(&service, "two", "k1", "r1").await.disconnected);
    assert_eq!((service.count(Counter::FellOver), service.count(Counter::ColdPeak)), (1, 1));
    assert_eq!(service.runs(), Runs::default());
    running.abort();
}

#[tokio::test]
async fn answer_truncated() {
    let service = service().await;
    service.fault(Fault::TruncatedAnswer { times: 1 }).unwrap();
    let reply = book(&service, "one", "k1", "r1").await;
    assert!(!reply.disconnected && serde_json::from_slice::<Receipt>(&reply.body).is_err());
}

#[tokio::test]
async fn stop_waits_for_calls() {
    let slow = Settings { latency: Duration::from_millis(100), scale: 1.0, ..settings() };
    let service = start(slow).await.unwrap();
    let address = service.address;
    let running =
        tokio::spawn(async move { post(address, "/bookings/1", "one", &json!({})).await });
    while service.count(Counter::Started) == 0 {
        tokio::task::yield_now().await;
    }
    service.stop().await;
    assert_eq!(running.await.unwrap().status, 200);
}
