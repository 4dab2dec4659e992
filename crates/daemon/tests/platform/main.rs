//! Tests of `acaciad` processes against stand-ins for the platform. Checks what callers and
//! servers received.

#![expect(clippy::unwrap_used, reason = "an error in a helper fails the test")]

mod answer;
mod body;
mod brittle;
mod caller;
mod change;
mod crash;
mod cut;
mod entry;
mod fixture;
mod handover;
mod head;
mod isolation;
mod limit;
mod passage;
mod path;
mod raw;
mod refusal;
mod registration;
mod resumption;
mod rollout;
mod silence;
mod slow;
mod software;
mod stop;
mod upload;
mod weights;

use std::time::Duration;

use acacia_standin::platform::server::repeated;
use acacia_standin::{Counter, Fault};
use serde_json::json;

use fixture::{Answer, Fixture, call};

/// Number of shared prompt parts; together they exceed the memory of all engines.
const SHARED_PARTS: usize = 9;

#[tokio::test(flavor = "multi_thread")]
async fn request_each_kind() {
    let fixture = Fixture::start(2).await;
    for instance in 0..2 {
        let plain =
            call(fixture.address(instance), "GET", "/read/a?b=c", &fixture.headers("r1"), b"")
                .await;
        assert_eq!((plain.status, &*plain.body), (200, &b"GET /read/a 0"[..]));
        let once =
            call(fixture.address(instance), "POST", "/charge/", &fixture.headers("c1"), b"12345")
                .await;
        assert_eq!((once.status, &*once.body), (200, &b"POST /charge/ 5"[..]));
        let stream = fixture.send_prompt(instance, "s1").await;
        assert_eq!(stream.event_ids(), fixture.all_events());
        assert!(stream.is_complete);
    }
    let seen = fixture.seen();
    assert!(seen.iter().all(|seen| seen.organisation == "acme" && seen.key.is_empty()));
    fixture.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn request_unknown_route_or_key() {
    let fixture = Fixture::start(1).await;
    let unknown = call(fixture.address(0), "GET", "/nowhere/", &fixture.headers("d1"), b"").await;
    assert_eq!(unknown.status, 404);
    let mut headers = fixture.headers("d2");
    headers.retain(|(name, _)| *name != "authorization");
    let denied = call(fixture.address(0), "GET", "/read/", &headers, b"").await;
    assert_eq!(denied.status, 401);
    headers.retain(|(name, _)| *name != "x-request-id");
    let malformed = call(fixture.address(0), "GET", "/read/", &headers, b"").await;
    assert_eq!(malformed.status, 400);
    assert!(fixture.seen().is_empty());
    fixture.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn configuration_replaced() {
    let fixture = Fixture::start(2).await;
    fixture.store.put("op/config", &fixture.configuration(2, "key-2"));
    for instance in 0..2 {
        let is_denied = async || {
            let answer =
                call(fixture.address(instance), "GET", "/read/", &fixture.headers("k"), b"").await;
            answer.status == 401
        };
        fixture::eventually("the old key is denied", is_denied).await;
    }
    fixture.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_resumed() {
    let fixture = Fixture::start(1).await;
    for engine in &fixture.engines[1..] {
        engine.fault(Fault::BrokenStream { token: 4, times: None }).unwrap();
    }
    for number in 0..12 {
        let answer = fixture.send_prompt(0, &format!("b{number}")).await;
        assert!(answer.is_complete);
        assert_eq!(answer.event_ids(), fixture.all_events());
    }
    assert!(fixture.seen().iter().any(|seen| seen.last_event == "3"), "resumed after event 3");
    fixture.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_not_repeatable_breaks_off() {
    let fixture = Fixture::start(1).await;
    for engine in &fixture.engines {
        engine.fault(Fault::BrokenStream { token: 4, times: None }).unwrap();
    }
    let answer = call(fixture.address(0), "POST", "/long/", &fixture.prompt("o1", 1), b"x").await;
    assert!(!answer.is_complete, "a broken answer must not look complete");
    assert_eq!(answer.event_ids(), vec![1, 2, 3], "no partial event is forwarded");
    assert!(repeated(&fixture.engines).is_empty());
    fixture.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn retry_only_idempotent() {
    let fixture = Fixture::start(1).await;
    let fail = |times| fixture.services.iter().for_each(|service| service.fail_next(times));
    fail(1);
    let once = call(fixture.address(0), "POST", "/charge/", &fixture.headers("f1"), b"1").await;
    assert_eq!(once.status, 500);
    fail(1);
    let read = call(fixture.address(0), "GET", "/read/", &fixture.headers("f2"), b"").await;
    assert_eq!(read.status, 500, "both attempts failed, and the failure is returned");
    fail(0);
    let again = call(fixture.address(0), "GET", "/read/", &fixture.headers("f3"), b"").await;
    assert_eq!(again.status, 200);
    assert_eq!(fixture.runs("f1"), 1);
    assert_eq!(fixture.runs("f2"), 2);
    fixture.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn routing_skips_draining_server() {
    let fixture = Fixture::start(1).await;
    fixture.services[0].fault(Fault::Leaving { on: true }).unwrap();
    fixture.services[0].register(&fixture.store);
    let is_skipped = async || {
        let before = fixture.services[0].count(Counter::StartedWhileLeaving);
        for number in 0..20 {
            let headers = fixture.headers(&format!("l{number}"));
            call(fixture.address(0), "GET", "/read/", &headers, b"").await;
        }
        fixture.services[0].count(Counter::StartedWhileLeaving) == before
    };
    fixture::eventually("the draining server gets no requests", is_skipped).await;
    fixture.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn rollout_reaches_all_engines() {
    let fixture = Fixture::start(2).await;
    for number in 0..10 {
        assert_eq!(fixture.send_prompt(number % 2, &format!("w{number}")).await.status, 200);
    }
    fixture.store.put("op/version/m", &json!({"model": "m", "version": 2}));
    let mut number = 10;
    let mut statuses = Vec::new();
    while fixture.engines.iter().any(|engine| engine.weights() != 2) {
        statuses.push(fixture.send_prompt(number % 2, &format!("w{number}")).await.status);
        number += 1;
        assert!(number < 2_000, "the engines have {:?}", fixture.weights());
    }
    for _ in 0..10 {
        statuses.push(fixture.send_prompt(number % 2, &format!("w{number}")).await.status);
        number += 1;
    }
    assert!(statuses.iter().all(|status| [200, 503].contains(status)), "{statuses:?}");
    assert_eq!(statuses.iter().rev().take(10).filter(|status| **status == 200).count(), 10);
    assert!(fixture.engines.iter().all(|engine| engine.orders() == 1));
    let mixed = fixture.engines.iter().map(|engine| engine.count(Counter::WrongPrefixRead));
    assert_eq!(mixed.sum::<u64>(), 0, "no run used parts computed with other weights");
    fixture.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn cache_store_saves_and_frees_parts() {
    let fixture = Fixture::start(2).await;
    // A cache store whose incarnation is new to the instances is used only after some seconds.
    let mut number = 0;
    let is_saved = async || {
        number += 1;
        fixture.send_prompt_about(number % 2, number % SHARED_PARTS).await;
        !fixture.cache.complete_parts().is_empty()
    };
    fixture::eventually("the shared part is saved", is_saved).await;
    let is_fetched = async || {
        number += 1;
        fixture.send_prompt_about(number % 2, number % SHARED_PARTS).await;
        fixture.cache.count(Counter::BlockReads) > 0
    };
    fixture::eventually("the shared part is fetched", is_fetched).await;
    assert_eq!(fixture.cache.count(Counter::WrongBlockRead), 0);
    // Parts of older weights are freed some time after newer weights are announced.
    fixture.store.put("op/version/m", &json!({"model": "m", "version": 2}));
    let is_freed = async || fixture.cache.complete_parts().iter().all(|(salt, _)| salt != "1");
    fixture::eventually("parts of older weights are freed", is_freed).await;
    fixture.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn stop_completes_open_requests() {
    let fixture = Fixture::start(1).await;
    let address = fixture.address(0);
    let requests: Vec<_> = (0..8)
        .map(|number| {
            let headers = fixture.prompt(&format!("t{number}"), number);
            tokio::spawn(async move { call(address, "POST", "/ask/", &headers, b"x").await })
        })
        .collect();
    tokio::time::sleep(Duration::from_millis(30)).await;
    fixture.terminate(0);
    let answers: Vec<Answer> =
        futures::future::join_all(requests).await.into_iter().map(Result::unwrap).collect();
    assert!(answers.iter().all(|answer| answer.is_complete), "{answers:?}");
    fixture::eventually("readiness ends", async || !fixture.is_ready(0).await).await;
    fixture::eventually("the process ends by itself", async || fixture.has_ended(0)).await;
    fixture.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_served_without_metadata_store() {
    let fixture = Fixture::start(1).await;
    fixture.store.fault(Fault::Unreachable { on: true }).unwrap();
    for number in 0..20 {
        let answer =
            call(fixture.address(0), "GET", "/read/", &fixture.headers(&format!("a{number}")), b"")
                .await;
        assert_eq!(answer.status, 200);
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let mut headers = fixture.headers("a-new");
    headers.retain(|(name, _)| *name != "authorization");
    headers.push(("authorization", "Bearer added-meanwhile".to_owned()));
    let is_unavailable = async || {
        let answer = call(fixture.address(0), "GET", "/read/", &headers, b"").await;
        answer.status == 503
    };
    fixture::eventually("a stale configuration rejects no key", is_unavailable).await;
    fixture.store.fault(Fault::Unreachable { on: false }).unwrap();
    fixture.store.put("op/config", &fixture.configuration(2, "added-meanwhile"));
    let admitted = async || {
        let answer = call(fixture.address(0), "GET", "/read/", &headers, b"").await;
        answer.status == 200
    };
    fixture::eventually("the new configuration is in force", admitted).await;
    fixture.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn watch_restarted_after_history_loss() {
    let fixture = Fixture::start(1).await;
    fixture.store.discard_history();
    fixture.store.put("op/config", &fixture.configuration(7, "key-7"));
    fixture.store.discard_history();
    let in_force = async || {
        let mut headers = fixture.headers("h");
        headers.retain(|(name, _)| *name != "authorization");
        headers.push(("authorization", "Bearer key-7".to_owned()));
        call(fixture.address(0), "GET", "/read/", &headers, b"").await.status == 200
    };
    fixture::eventually("the configuration is in force", in_force).await;
    fixture.stop().await;
}

/// Regression: a server that says in its answers that it is leaving got requests until its entry
/// changed.
#[tokio::test(flavor = "multi_thread")]
async fn routing_skips_server_that_says_it_leaves() {
    let fixture = Fixture::start(1).await;
    // Its entry stays as it is.
    fixture.services[0].fault(Fault::Leaving { on: true }).unwrap();
    let mut number = 0;
    let is_told = async || {
        number += 1;
        let headers = fixture.headers(&format!("l{number}"));
        call(fixture.address(0), "GET", "/read/", &headers, b"").await;
        fixture.services[0].count(Counter::StartedWhileLeaving) > 0
    };
    fixture::eventually("the server has said that it leaves", is_told).await;
    let started = fixture.services[0].count(Counter::StartedWhileLeaving);
    for number in 0..30 {
        let headers = fixture.headers(&format!("m{number}"));
        assert_eq!(call(fixture.address(0), "GET", "/read/", &headers, b"").await.status, 200);
    }
    assert_eq!(fixture.services[0].count(Counter::StartedWhileLeaving), started);
    // A new incarnation is another server.
    fixture.services[0].restart();
    fixture.services[0].register(&fixture.store);
    let ran = || fixture.services[0].executions().len();
    let before = ran();
    let is_used = async || {
        let headers = fixture.headers("n");
        call(fixture.address(0), "GET", "/read/", &headers, b"").await;
        ran() > before
    };
    fixture::eventually("the new incarnation gets requests", is_used).await;
    fixture.stop().await;
}

/// Regression: a server that asks for a pause got requests after the pause of its refusals, 80 ms.
#[tokio::test(flavor = "multi_thread")]
async fn requests_refused_while_all_servers_pause() {
    let fixture = Fixture::start(1).await;
    let pause = Fault::Paused { millis: 5_000 };
    fixture.services.iter().for_each(|service| service.fault(pause.clone()).unwrap());
    for number in 0..40 {
        let headers = fixture.headers(&format!("p{number}"));
        let answer = call(fixture.address(0), "GET", "/read/", &headers, b"").await;
        assert_eq!(answer.status, 503);
        let after = answer.retry_after.expect("a time to come back");
        assert!(number < 3 || after > 1.0, "request {number} is told to come back after {after} s");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    for service in &fixture.services {
        assert!(service.count(Counter::Refused) <= 2, "{}", service.count(Counter::Refused));
        assert!(service.executions().is_empty());
        service.fault(Fault::Paused { millis: 0 }).unwrap();
    }
    let is_served = async || {
        let headers = fixture.headers("q");
        call(fixture.address(0), "GET", "/read/", &headers, b"").await.status == 200
    };
    fixture::eventually("the servers get requests after the pause", is_served).await;
    fixture.stop().await;
}

/// The metadata store is restored from a copy that is three seconds old, twice, while a revoked
/// key, newer weights and an evacuation are among what the copy lacks.
#[tokio::test(flavor = "multi_thread")]
async fn metadata_store_restored_from_copy() {
    let fixture = Fixture::start(2).await;
    for restore in 1..=2_u64 {
        let (configuration, weights) = (restore + 1, restore + 1);
        let revoked = fixture.headers("revoked");
        fixture.store.put("op/config", &fixture.configuration(configuration, "key-new"));
        fixture.store.put("op/version/m", &json!({"model": "m", "version": weights}));
        for instance in 0..2 {
            let is_denied = async || {
                call(fixture.address(instance), "GET", "/read/", &revoked, b"").await.status == 401
            };
            fixture::eventually("the old key is denied", is_denied).await;
        }
        fixture.store.fault(Fault::Restored { millis: 3_000 }).unwrap();
        let mut headers = revoked.clone();
        headers.retain(|(name, _)| *name != "authorization");
        headers.push(("authorization", "Bearer key-new".to_owned()));
        for number in 0..40 {
            let instance = number % 2;
            assert!(fixture.is_ready(instance).await, "readiness must not drop");
            let denied = call(fixture.address(instance), "GET", "/read/", &revoked, b"").await;
            assert!([401, 503].contains(&denied.status), "{}", denied.status);
            let served = call(fixture.address(instance), "GET", "/read/", &headers, b"").await;
            assert_eq!(served.status, 200);
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        let is_updated = async || fixture.weights().iter().all(|loaded| *loaded == weights);
        fixture::eventually("all engines have the newest weights", is_updated).await;
    }
    let stale = fixture.engines.iter().map(|engine| engine.count(Counter::StaleOrdersRefused));
    assert_eq!(stale.sum::<u64>(), 0, "fencing tokens never go back");
    fixture.stop().await;
}
