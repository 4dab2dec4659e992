//! Rollouts of weights while instances have lost the path to the upstreams.

use std::sync::Arc;
use std::time::Duration;

use acacia_standin::cut::Cut;
use acacia_standin::platform::document;
use futures::future::join_all;
use parking_lot::Mutex;
use serde_json::Value;

use crate::fixture::{Fixture, call, eventually};
use crate::raw::{self, Answer, End};

/// Bound on requests that begin on older weights, by the settings.
const WEIGHTS_LIMIT: Duration = Duration::from_secs(8);
/// Prompts on the way when the path is lost.
const PROMPTS: usize = 6;

/// Index of the instance that holds the order lease.
async fn holder(fixture: &Fixture) -> usize {
    let mut found = None;
    eventually("an instance holds the order lease", async || {
        let value = fixture.store.value("acacia/holder").unwrap_or_default();
        let holding: Value = serde_json::from_slice(&value).unwrap_or_default();
        let name = holding["instance"].as_str().and_then(|name| name.strip_prefix("instance-"));
        found = name.and_then(|number| number.parse().ok());
        found.is_some()
    })
    .await;
    found.unwrap()
}

/// The holder of the order lease loses the path to the engines; another instance orders the weights.
async fn load_without_holder(cut: Cut) {
    let fixture = Fixture::start_behind_proxies(3).await;
    let holder = holder(&fixture).await;
    fixture.cut(holder, cut);
    let (key, value) = document::announcement(2);
    fixture.store.put(&key, &value);
    eventually("all engines have the new weights", async || fixture.weights() == [2; 3]).await;
    assert!(fixture.engines.iter().all(|engine| engine.orders() == 1), "each engine loads once");
    fixture.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn weights_loaded_while_connections_of_holder_hang() {
    load_without_holder(Cut::Hang).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn weights_loaded_while_connections_of_holder_are_reset() {
    load_without_holder(Cut::Reset).await;
}

/// Prompts are on the way to engines when newer weights are announced, and would arrive after the
/// bound, as the path is lost until then.
#[tokio::test(flavor = "multi_thread")]
async fn prompt_held_up_never_begins_on_replaced_weights() {
    let fixture = Fixture::start_behind_proxies(1).await;
    fixture.cut(0, Cut::Hang);
    let ids: Vec<String> = (0..PROMPTS).map(|number| format!("held-{number}")).collect();
    let prompts = ids.iter().enumerate().map(async |(number, id)| {
        let path = if number % 2 == 0 { "/ask/" } else { "/long/" };
        call(fixture.address(0), "POST", path, &fixture.prompt(id, number + 1), b"x").await
    });
    let rollout = async {
        // The prompts are sent.
        tokio::time::sleep(Duration::from_millis(500)).await;
        let (key, value) = document::announcement(2);
        fixture.store.put(&key, &value);
        tokio::time::sleep(WEIGHTS_LIMIT).await;
        fixture.heal(0);
    };
    tokio::join!(join_all(prompts), rollout);
    eventually("all engines have the new weights", async || fixture.weights() == [2; 3]).await;
    let late: Vec<_> = fixture.seen().into_iter().filter(|seen| seen.weights == "1").collect();
    assert!(late.is_empty(), "{} prompts began on replaced weights", late.len());
    fixture.stop().await;
}

/// An engine has weights that the instance does not know of, as if the metadata store did not answer
/// this instance while another one ordered them.
#[tokio::test(flavor = "multi_thread")]
async fn prompt_uses_weights_that_engine_states() {
    let fixture = Fixture::start(1).await;
    fixture.unregister_engines();
    let server_id = Arc::new(Mutex::new(String::new()));
    let id = server_id.clone();
    let raw = raw::Server::start(move |request| {
        let bytes = if request.weights == "2" {
            raw::head(request, "content-length: 15\r\n\r\nid: 1\ndata: x\n\n")
        } else {
            format!(
                "HTTP/1.1 421 Misdirected Request\r\nx-request-id: {}\r\nx-instance-id: {}\r\n\
                 x-not-executed: 1\r\nx-weight-versions: 2\r\ncontent-length: 0\r\n\r\n",
                request.id,
                id.lock()
            )
            .into_bytes()
        };
        Answer { bytes, end: End::Keep }
    })
    .await;
    *server_id.lock() = raw.id.clone();
    fixture.register(&raw, "llm");
    let answer = fixture.answer_of(&raw, "/ask/").await;
    assert_eq!(answer.status, 200);
    for number in 0..PROMPTS {
        assert_eq!(fixture.send_prompt(0, &format!("later-{number}")).await.status, 200);
    }
    let asked = raw.requests().iter().filter(|request| request.weights == "1").count();
    assert_eq!(asked, 1, "it asks for the weights that the engine has");
    fixture.stop().await;
}

/// An instance is suspended while newer weights are announced, and serves on its own until it has
/// ordered them.
#[tokio::test(flavor = "multi_thread")]
async fn prompt_after_suspension_never_begins_on_replaced_weights() {
    let fixture = Fixture::start(1).await;
    holder(&fixture).await;
    fixture.send_prompt(0, "before").await;
    fixture.signal(0, "-STOP");
    let (key, value) = document::announcement(2);
    fixture.store.put(&key, &value);
    tokio::time::sleep(WEIGHTS_LIMIT).await;
    fixture.signal(0, "-CONT");
    // The answer of the metadata store is read.
    tokio::time::sleep(Duration::from_millis(100)).await;
    let ids: Vec<String> = (0..30).map(|number| format!("late-{number}")).collect();
    let prompts = ids.iter().enumerate().map(async |(number, id)| {
        tokio::time::sleep(Duration::from_millis(100) * number as u32).await;
        call(fixture.address(0), "POST", "/ask/", &fixture.prompt(id, number + 1), b"x").await
    });
    join_all(prompts).await;
    eventually("all engines have the new weights", async || fixture.weights() == [2; 3]).await;
    let seen = fixture.seen();
    let late = seen.iter().filter(|seen| seen.id.starts_with("late") && seen.weights == "1");
    assert_eq!(late.count(), 0, "prompts began on replaced weights");
    fixture.stop().await;
}
