//! Calls over a real socket to an in-memory backend.

mod common;

use acacia_catalog::Document;
use acacia_catalog::diff::Change;
use acacia_catalog::object::{AdminState, Object};
use acacia_catalog::secret::REDACTED;
use acacia_operator::call::{Apply, Order, Ordered, Rollback, SetState};
use acacia_operator::client::{Error, Outcome};
use acacia_operator::fault::Code;
use acacia_operator::server::BODY_LIMIT_BYTES;
use acacia_operator::{Backend, Fault, Key, Role};
use acacia_policy::control::{OrderDuty, OrderOutcome};
use acacia_standin::early::{self, LONG_BYTES};
use common::{Injection, LIVE_DAEMONS, Served, example};

fn apply(id: &str, base: u64, document: Document) -> Apply {
    Apply { id: id.into(), base, document, wait_ms: 0 }
}

fn set_state(id: &str, state: AdminState) -> SetState {
    SetState { id: id.into(), state, wait_ms: 0 }
}

fn fault<T: std::fmt::Debug>(outcome: Outcome<T>) -> Fault {
    match outcome {
        Err(Error::Refused(fault)) => fault,
        other => panic!("expected a refusal, got {other:?}"),
    }
}

/// The example with `weight` for all organisations.
fn weighted(weight: u32) -> Document {
    let mut document = example();
    for object in &mut document.objects {
        if let Object::Organisation(o) = object {
            o.weight = weight;
        }
    }
    document
}

#[tokio::test]
async fn authenticate_roles() {
    let served = Served::with_example().await;
    let nobody = served.client("nobody");
    assert_eq!(fault(nobody.status().await).code, Code::Unauthenticated);
    let reader = served.client("rui");
    assert!(reader.status().await.is_ok());
    assert_eq!(fault(reader.apply(&apply("x", 1, example())).await).code, Code::Forbidden);
    let out = set_state("y", AdminState::Out);
    assert_eq!(fault(reader.set_zone_state("zone-1", &out).await).code, Code::Forbidden);
    let mover = served.client("ivo");
    assert!(mover.history().await.is_ok());
    assert!(mover.set_zone_state("zone-1", &out).await.is_ok());
    assert_eq!(fault(mover.apply(&apply("x", 2, example())).await).code, Code::Forbidden);
    let order = Order { id: "o".to_owned(), duty: OrderDuty::SetRole("prefill".into()) };
    assert_eq!(fault(mover.order("engine-1", &order).await).code, Code::Forbidden);
    assert_eq!(reader.status().await.unwrap().refused, 5);
    assert_eq!(served.fake.state().accepted.len(), 2);
}

#[tokio::test]
async fn authenticate_replaced_keys() {
    let served = Served::with_example().await;
    let client = served.client("ana");
    assert!(client.status().await.is_ok());
    served.keys.replace(vec![Key::of("eva", "key-of-eva", [Role::Read])]);
    assert_eq!(fault(client.status().await).code, Code::Unauthenticated);
    assert!(served.client("eva").status().await.is_ok());
}

#[tokio::test]
async fn check_differences() {
    let served = Served::with_example().await;
    let client = served.client("rui");
    let checked = client.check(&weighted(9)).await.unwrap();
    assert_eq!((checked.revision, checked.differences.len()), (1, 10));
    let checked = client.check(&example().redact()).await.unwrap();
    assert_eq!(checked.differences, []);
    let refused = fault(client.check(&weighted(0)).await);
    assert_eq!((refused.code, refused.problems.len()), (Code::Invalid, 10));
    assert_eq!(served.fake.state().accepted.len(), 1);
}

#[tokio::test]
async fn apply_accepted() {
    let served = Served::start().await;
    let client = served.client("ana");
    let accepted = client.apply(&apply("a", 0, example())).await.unwrap();
    assert_eq!((accepted.revision, accepted.changed), (1, true));
    let again = client.apply(&apply("a", 0, example())).await.unwrap();
    assert_eq!(again.revision, 1);
    assert_eq!(served.fake.state().accepted.len(), 1);
    let past = client.history().await.unwrap();
    assert_eq!((past[0].author.as_str(), &*past[0].change), ("ana", "a"));
}

#[tokio::test]
async fn apply_wait() {
    let served = Served::start().await;
    let wait_ms = 60_000;
    let request = Apply { wait_ms, ..apply("a", 0, example()) };
    let accepted = served.client("ana").apply(&request).await.unwrap();
    assert_eq!(
        (accepted.propagation.daemons, accepted.propagation.live),
        (LIVE_DAEMONS, LIVE_DAEMONS)
    );
}

#[tokio::test]
async fn apply_conflict() {
    let served = Served::with_example().await;
    let client = served.client("ana");
    client.apply(&apply("a", 1, weighted(9))).await.unwrap();
    let refused = fault(client.apply(&apply("b", 1, weighted(7))).await);
    assert_eq!((refused.code, refused.revision), (Code::Conflict, Some(2)));
    let differences = refused.differences.unwrap();
    assert_eq!(differences.len(), 10);
    assert!(differences.iter().all(|d| matches!(&d.change, Change::Altered(f) if f[0].after == 9)));
}

#[tokio::test]
async fn apply_conflict_base_not_in_history() {
    let served = Served::with_example().await;
    served.fake.state().drops_history = true;
    let client = served.client("ana");
    client.apply(&apply("a", 1, weighted(9))).await.unwrap();
    let refused = fault(client.apply(&apply("b", 1, weighted(7))).await);
    assert_eq!((refused.code, refused.differences), (Code::Conflict, None));
}

#[tokio::test]
async fn apply_answer_lost() {
    let served = Served::with_example().await;
    let client = served.client("ana");
    served.fake.inject(Injection::AnswerLost);
    let request = apply("a", 1, weighted(9));
    assert_eq!(fault(client.apply(&request).await).code, Code::Unknown);
    assert_eq!(client.apply(&request).await.unwrap().revision, 2);
    assert_eq!(served.fake.state().accepted.len(), 2);
}

#[tokio::test]
async fn apply_answer_lost_then_other_change() {
    let served = Served::with_example().await;
    let client = served.client("ana");
    served.fake.inject(Injection::AnswerLost);
    let request = apply("a", 1, weighted(9).redact());
    assert_eq!(fault(client.apply(&request).await).code, Code::Unknown);
    client.apply(&apply("b", 2, weighted(7))).await.unwrap();
    assert_eq!(client.apply(&request).await.unwrap().revision, 2);
    assert_eq!(served.fake.state().accepted.len(), 3);
}

#[tokio::test]
async fn apply_request_lost() {
    let served = Served::with_example().await;
    let client = served.client("ana");
    served.fake.inject(Injection::RequestLost);
    let request = apply("a", 1, weighted(9));
    assert_eq!(fault(client.apply(&request).await).code, Code::Unknown);
    assert_eq!(served.fake.state().accepted.len(), 1);
    assert_eq!(client.apply(&request).await.unwrap().revision, 2);
}

#[tokio::test]
async fn apply_unavailable() {
    let served = Served::with_example().await;
    served.fake.inject(Injection::Unavailable);
    let refused = fault(served.client("ana").apply(&apply("a", 1, weighted(9))).await);
    assert_eq!(refused.code, Code::Unavailable);
    assert_eq!(served.fake.state().accepted.len(), 1);
}

#[tokio::test]
async fn apply_id_reused() {
    let served = Served::with_example().await;
    let client = served.client("ana");
    client.apply(&apply("a", 1, weighted(9))).await.unwrap();
    let refused = fault(client.apply(&apply("a", 2, weighted(7))).await);
    assert_eq!(refused.code, Code::Conflict);
    assert!(refused.message.contains("change id"));
}

#[tokio::test]
async fn apply_redacted() {
    let served = Served::with_example().await;
    let client = served.client("ana");
    let before = served.fake.set();
    client.apply(&apply("a", 1, weighted(9).redact())).await.unwrap();
    for (name, organisation) in served.fake.set().organisations {
        assert_eq!(organisation.cache_secret, before.organisations[&name].cache_secret);
        assert_eq!(organisation.weight, 9);
    }
}

#[tokio::test]
async fn apply_redacted_first() {
    let served = Served::start().await;
    let refused = fault(served.client("ana").apply(&apply("a", 0, example().redact())).await);
    assert_eq!((refused.code, refused.problems.len()), (Code::Invalid, 10));
}

#[tokio::test]
async fn apply_redacted_stale_snapshot() {
    let served = Served::with_example().await;
    let client = served.client("ana");
    let mut rotated = example();
    for object in &mut rotated.objects {
        if let Object::Organisation(o) = object {
            o.cache_secret = "a rotated secret of this organisation".to_owned();
        }
    }
    client.apply(&apply("a", 1, rotated)).await.unwrap();
    served.fake.state().stale_reads = 3;
    client.apply(&apply("b", 2, weighted(9).redact())).await.unwrap();
    let mut organisations = served.fake.set().organisations.into_values();
    assert!(organisations.all(|o| o.cache_secret.starts_with("a rotated")));
}

#[tokio::test]
async fn apply_concurrent_operators() {
    let served = Served::with_example().await;
    let calls = (2..12).map(|weight| {
        let client = served.client("ana");
        async move { client.apply(&apply(&format!("w{weight}"), 1, weighted(weight))).await }
    });
    let outcomes = futures::future::join_all(calls).await;
    let accepted = outcomes.iter().filter(|o| o.is_ok()).count();
    assert_eq!((accepted, served.fake.state().accepted.len()), (1, 2));
    for refused in outcomes.into_iter().filter(Result::is_err) {
        assert_eq!(fault(refused).code, Code::Conflict);
    }
}

#[tokio::test]
async fn configuration_redacted() {
    let served = Served::with_example().await;
    let client = served.client("rui");
    served.client("ana").apply(&apply("a", 1, weighted(9))).await.unwrap();
    for revision in [None, Some(1), Some(2)] {
        let found = client.configuration(revision).await.unwrap();
        assert_eq!(found.revision, revision.unwrap_or(2));
        let text = serde_json::to_string(&found).unwrap();
        assert!(text.contains(REDACTED));
        let secrets = served.fake.set().organisations.into_values().map(|o| o.cache_secret);
        assert!(secrets.into_iter().all(|secret| !text.contains(&secret)));
    }
    assert_eq!(fault(client.configuration(Some(9)).await).code, Code::NotFound);
}

#[tokio::test]
async fn zone_out_and_back() {
    let served = Served::with_example().await;
    let client = served.client("ivo");
    let accepted = client.set_zone_state("zone-2", &set_state("a", AdminState::Out)).await.unwrap();
    assert_eq!((accepted.revision, accepted.changed), (2, true));
    assert_eq!(served.fake.set().zones["zone-2"].state, AdminState::Out);
    assert_eq!(client.status().await.unwrap().zones_out, ["zone-2".into()]);
    let again = client.set_zone_state("zone-2", &set_state("b", AdminState::Out)).await.unwrap();
    assert!(!again.changed);
    client.set_zone_state("zone-2", &set_state("c", AdminState::In)).await.unwrap();
    assert_eq!(served.fake.set().zones["zone-2"].state, AdminState::In);
    assert_eq!(
        fault(client.set_zone_state("zone-9", &set_state("d", AdminState::In)).await).code,
        Code::NotFound
    );
}

#[tokio::test]
async fn zone_out_competing_changes() {
    let served = Served::with_example().await;
    served.fake.inject(Injection::CompetingChange);
    served.fake.inject(Injection::CompetingChange);
    let accepted = served
        .client("ivo")
        .set_zone_state("zone-2", &set_state("a", AdminState::Out))
        .await
        .unwrap();
    assert_eq!(accepted.revision, 4);
    let set = served.fake.set();
    assert_eq!(set.zones["zone-2"].state, AdminState::Out);
    let first = set.organisations.values().next().unwrap();
    assert_eq!(first.weight, 10, "the other operator's two changes are kept");
}

#[tokio::test]
async fn zone_out_stale_snapshot() {
    let served = Served::with_example().await;
    let client = served.client("ivo");
    client.set_zone_state("zone-2", &set_state("a", AdminState::Out)).await.unwrap();
    client.set_zone_state("zone-2", &set_state("b", AdminState::In)).await.unwrap();
    // This daemon's snapshot still shows the zone as out.
    served.fake.state().stale_reads = 2;
    client.set_zone_state("zone-2", &set_state("c", AdminState::Out)).await.unwrap();
    assert_eq!(served.fake.set().zones["zone-2"].state, AdminState::Out);
}

#[tokio::test]
async fn zone_out_concurrent() {
    let served = Served::with_example().await;
    let moves = ["zone-1", "zone-2", "zone-3", "zone-4"].map(|zone| {
        let client = served.client("ivo");
        async move { client.set_zone_state(zone, &set_state(zone, AdminState::Out)).await }
    });
    for outcome in futures::future::join_all(moves).await {
        assert!(outcome.is_ok());
    }
    assert!(served.fake.set().zones.values().all(|zone| zone.state == AdminState::Out));
}

#[tokio::test]
async fn upstream_drain() {
    let served = Served::with_example().await;
    let client = served.client("ivo");
    client.set_upstream_state("engine-3", &set_state("a", AdminState::Out)).await.unwrap();
    assert_eq!(served.fake.set().upstreams["engine-3"].state, AdminState::Out);
    client.set_upstream_state("engine-3", &set_state("b", AdminState::In)).await.unwrap();
    assert_eq!(served.fake.set().upstreams["engine-3"].state, AdminState::In);
    assert_eq!(
        fault(client.set_upstream_state("x", &set_state("c", AdminState::In)).await).code,
        Code::NotFound
    );
}

#[tokio::test]
async fn rollback_keeps_admin_states() {
    let served = Served::with_example().await;
    let client = served.client("ana");
    client.apply(&apply("a", 1, weighted(9))).await.unwrap();
    client.set_zone_state("zone-1", &set_state("b", AdminState::Out)).await.unwrap();
    client.set_upstream_state("engine-3", &set_state("c", AdminState::Out)).await.unwrap();
    let rollback = Rollback { id: "d".into(), base: 4, revision: 1, wait_ms: 0 };
    assert_eq!(client.rollback(&rollback).await.unwrap().revision, 5);
    let set = served.fake.set();
    assert_eq!(set.organisations["organisation-2"].weight, 1);
    assert_eq!(set.zones["zone-1"].state, AdminState::Out);
    assert_eq!(set.upstreams["engine-3"].state, AdminState::Out);
    assert_eq!(client.rollback(&rollback).await.unwrap().revision, 5);
    let unknown = Rollback { id: "e".into(), base: 5, revision: 77, wait_ms: 0 };
    assert_eq!(fault(client.rollback(&unknown).await).code, Code::NotFound);
}

#[tokio::test]
async fn order_sent() {
    let served = Served::with_example().await;
    let client = served.client("ana");
    let order = Order { id: "o1".to_owned(), duty: OrderDuty::LoadVersion("query-v1".into()) };
    assert_eq!(client.order("engine-1", &order).await.unwrap().outcome, OrderOutcome::Done);
    assert_eq!(fault(client.order("engine-99", &order).await).code, Code::NotFound);
    served.fake.state().order_fails = true;
    assert_eq!(fault(client.order("engine-1", &order).await).code, Code::OrderFailed);
    assert_eq!(served.fake.state().orders.len(), 2);
}

#[tokio::test]
async fn order_not_matching_configuration() {
    let served = Served::with_example().await;
    let client = served.client("ana");
    let cases = [
        ("engine-1", OrderDuty::LoadVersion("query-v9".into()), Code::NotFound),
        ("engine-1", OrderDuty::LoadVersion("summary-v1".into()), Code::Invalid),
        ("engine-1", OrderDuty::LoadAdapter("x".into()), Code::NotFound),
        ("engine-1", OrderDuty::LoadAdapter("summary-v1-adapter".into()), Code::Invalid),
        ("instance-1", OrderDuty::LoadVersion("query-v1".into()), Code::Invalid),
    ];
    for (upstream, duty, code) in cases {
        let order = Order { id: "o".to_owned(), duty };
        assert_eq!(fault(client.order(upstream, &order).await).code, code, "{order:?}");
    }
    assert_eq!(served.fake.state().orders.len(), 0);
    let order = Order { id: "o".to_owned(), duty: OrderDuty::LoadVersion("summary-v1".into()) };
    assert!(client.order("engine-2", &order).await.is_ok());
}

#[tokio::test]
async fn status_and_trace() {
    let served = Served::with_example().await;
    let client = served.client("rui");
    let status = client.status().await.unwrap();
    assert_eq!((status.revision, status.epoch, status.ready), (1, 4, true));
    assert_eq!((status.upstreams.len(), status.stores.len()), (13, 2));
    assert_eq!(fault(client.trace("abc").await).code, Code::NotFound);
}

#[tokio::test]
async fn body_malformed_or_too_large() {
    let served = Served::with_example().await;
    let http = reqwest::Client::builder().no_proxy().build().unwrap();
    let post = |body: Vec<u8>| {
        let url = format!("http://{}/v1/admin/apply", served.address);
        http.post(url).bearer_auth("key-of-ana").body(body).send()
    };
    for body in [&b""[..], b"{", b"null", b"{} {}", b"{\"id\":1}", &[0xff; 100], &[b'['; 100_000]] {
        let answer = post(body.to_vec()).await.unwrap();
        assert_eq!(answer.status().as_u16(), 400);
        let text = answer.text().await.unwrap();
        assert!(text.contains("\"malformed\"") && text.contains("\"hint\""), "{text}");
    }
    assert_eq!(post(vec![b' '; BODY_LIMIT_BYTES + 1]).await.unwrap().status().as_u16(), 413);
    assert_eq!(served.fake.snapshot().revision, 1);
}

#[tokio::test]
async fn body_error_position() {
    let served = Served::with_example().await;
    let http = reqwest::Client::builder().no_proxy().build().unwrap();
    let url = format!("http://{}/v1/admin/check", served.address);
    let body =
        r#"{"objects":[{"kind":"zone","name":"a","region":"r"},{"kind":"zone","nome":"b"}]}"#;
    let answer = http.post(url).bearer_auth("key-of-rui").body(body).send().await.unwrap();
    let text = answer.text().await.unwrap();
    assert!(text.contains("objects[1]") && text.contains("nome"), "{text}");
}

#[tokio::test]
async fn client_unreachable() {
    let closed = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let client = acacia_operator::Client::new(closed.to_string(), "key").unwrap();
    assert!(matches!(client.status().await, Err(Error::Unreachable(_))));
}

/// Sends a long order to a server that answers early.
async fn order_answered(answer: &str) -> Outcome<Ordered> {
    let server = early::Server::start(answer.to_owned()).expect("a loopback port");
    let client =
        acacia_operator::Client::new(server.address.to_string(), "token").expect("a client");
    let order = Order { id: "x".repeat(LONG_BYTES), duty: OrderDuty::SetRole("prefill".into()) };
    client.order("engine-1", &order).await
}

/// After an answer that breaks off or is malformed, the call may have been processed.
#[tokio::test]
async fn answer_broken() {
    let body = r#"{"id": "o", "outcome": "Accepted"}"#;
    let framed = format!("content-length: {}\r\n\r\n{body}", body.len());
    for answer in [
        format!("HTTP/1.1 200 OK\r\n\r\n{body}"),
        "HTTP/1.1 200 OK\r\n\r\n".to_owned(),
        format!("HTTP/1.1 200 OK\r\ncontent-length: 900\r\n\r\n{body}"),
        format!("HTTP/1.1 403 Forbidden\r\n\r\n{body}"),
        format!("HTTP/1.1 000 OK\r\n{framed}"),
        format!("HTTP/1.1 200 OK\r\nx more: 1\r\n{framed}"),
        format!("HTTP/1.1 200 OK\r\ncontent-length : 3\r\n{framed}"),
    ] {
        let outcome = order_answered(&answer).await;
        assert!(matches!(outcome, Err(Error::AnswerLost(_))), "{answer:?}: {outcome:?}");
    }
    let outcome = order_answered(&format!("HTTP/1.1 999 OK\r\n{framed}")).await;
    assert!(matches!(outcome, Err(Error::Unexpected { status: 999, .. })), "{outcome:?}");
    let outcome = order_answered(&format!("HTTP/1.1 200 OK\r\n{framed}")).await;
    assert!(matches!(&outcome, Ok(ordered) if ordered.id == "o"), "{outcome:?}");
}
