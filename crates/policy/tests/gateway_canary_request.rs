//! Tests of the versions that single requests may go to under an order.

mod gateway_simulation;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use acacia_policy::gateway::call::{Resumption, content_hash};
use acacia_policy::gateway::canary::{Listing, Order, Progress, State, Status};
use acacia_policy::gateway::{Call, Gateway, Plan, Reason, Refusal, Step, View};
use acacia_policy::kv::Revision;

use gateway_simulation::{terms, view};

const NOW: Duration = Duration::from_secs(3_600);
const LATER: Duration = Duration::from_secs(3_602);

fn order(target: &str, number: i64) -> Order {
    let revision = Revision { era: 0, number };
    Order { target: target.into(), duration: Duration::from_secs(12), revision, seen: NOW }
}

fn status(target: &str, state: State, number: i64) -> Status {
    Status { target: target.into(), state, revision: Revision { era: 0, number } }
}

/// A view with upstreams of two versions, and what the metadata store has on the rollout.
fn mixed(order: Option<Order>, status: Option<Status>) -> View {
    let mut view = View { as_of: NOW, ..view(6) };
    for (number, server) in view.servers.values_mut().enumerate() {
        Arc::make_mut(server).software = if number % 2 == 0 { "v1" } else { "v2" }.into();
    }
    let listing = Listing { order, status };
    view.rollouts = ["app", "llm"].map(|service| (service.into(), listing.clone())).into();
    view
}

fn gateway(view: View) -> Gateway {
    let mut gateway = Gateway::new(terms(1_000.0), 1);
    gateway.observe(NOW, Arc::new(view));
    gateway
}

fn admit(gateway: &mut Gateway, path: &str, origin: Option<&str>) -> Result<Plan, Refusal> {
    let call = Call {
        id: "call".to_owned(),
        host: "svc.example".to_owned(),
        path: path.to_owned(),
        key: Some("key".to_owned()),
        timeout: Some(Duration::from_secs(5)),
        prompt: None,
        content: content_hash("POST", path, b""),
        resumption: origin.map(|origin| Resumption { origin: Some(origin.to_owned()) }),
    };
    gateway.admit(NOW, call)
}

/// The version of the first attempt, or why there is none.
fn version(gateway: &mut Gateway, plan: &mut Plan) -> Result<String, Reason> {
    match gateway.next(LATER, plan) {
        Step::Send(attempt) => Ok(attempt.server.software.to_string()),
        Step::Refuse(refusal) => Err(refusal.reason),
        step => panic!("{step:?}"),
    }
}

/// The versions that requests go to, whatever they draw.
fn versions(gateway: &mut Gateway) -> Vec<String> {
    let mut versions = Vec::new();
    for _ in 0..200 {
        let mut plan = admit(gateway, "/read/", None).expect("a valid request");
        if let Ok(version) = version(gateway, &mut plan)
            && !versions.contains(&version)
        {
            versions.push(version);
        }
        *gateway = renewed(gateway);
    }
    versions.sort();
    versions
}

/// A gateway with the same view and no load, with other draws.
fn renewed(gateway: &mut Gateway) -> Gateway {
    use std::sync::atomic::{AtomicU64, Ordering};
    static SEED: AtomicU64 = AtomicU64::new(2);
    let mut newer = Gateway::new(terms(1_000.0), SEED.fetch_add(1, Ordering::Relaxed));
    newer.observe(NOW, gateway.view().expect("a view").clone());
    newer
}

/// Without an order, all versions get requests as before.
#[test]
fn next_without_order() {
    let mut gateway = gateway(View { rollouts: BTreeMap::new(), ..mixed(None, None) });
    assert_eq!(versions(&mut gateway), ["v1", "v2"]);
    assert!(!gateway.has_orders());
}

/// Guards against a restarted instance that sends requests to a version that was rolled back, also
/// after its order was removed, or to an old one after completion.
#[test]
fn next_after_final_state() {
    let rolled_back = Some(status("v2", State::RolledBack, 3));
    for order in [Some(order("v2", 2)), None] {
        let mut gateway = gateway(mixed(order, rolled_back.clone()));
        assert_eq!(versions(&mut gateway), ["v1"]);
    }
    let completed = Some(status("v2", State::Completed, 3));
    let mut completed = gateway(mixed(Some(order("v2", 2)), completed));
    assert_eq!(versions(&mut completed), ["v2"]);
    // An order that is repeated later begins anew, with its small share.
    let mut repeated = gateway(mixed(Some(order("v2", 4)), rolled_back));
    assert_eq!(versions(&mut repeated), ["v1", "v2"]);
}

/// Guards against an unfinished version that gets all requests as its order is removed or replaced.
#[test]
fn next_after_withdrawal() {
    let mut gateway = gateway(mixed(Some(order("v2", 2)), None));
    gateway.observe(NOW, Arc::new(mixed(None, None)));
    for _ in 0..100 {
        let mut plan = admit(&mut gateway, "/read/", None).expect("a valid request");
        if let Ok(version) = version(&mut gateway, &mut plan) {
            assert_eq!(version, "v1");
        }
    }
    let mut replaced = Gateway::new(terms(1_000.0), 1);
    replaced.observe(NOW, Arc::new(mixed(Some(order("v2", 2)), None)));
    replaced.observe(NOW, Arc::new(mixed(Some(order("v3", 3)), None)));
    for _ in 0..100 {
        let mut plan = admit(&mut replaced, "/read/", None).expect("a valid request");
        if let Ok(version) = version(&mut replaced, &mut plan) {
            assert_eq!(version, "v1");
        }
    }
}

/// Guards against a stream that goes on at a version that was rolled back, or at another one.
#[test]
fn next_stream_of_rolled_back_version() {
    let mut gateway = gateway(mixed(Some(order("v2", 2)), None));
    let mut plan = admit(&mut gateway, "/ask/", None).expect("a valid request");
    plan.software = Some("v2".into());
    assert_eq!(version(&mut gateway, &mut plan), Ok("v2".to_owned()));
    let mut plan = admit(&mut gateway, "/ask/", None).expect("a valid request");
    plan.software = Some("v2".into());
    let rolled_back = Some(status("v2", State::RolledBack, 3));
    gateway.observe(NOW, Arc::new(mixed(Some(order("v2", 2)), rolled_back)));
    assert_eq!(version(&mut gateway, &mut plan), Err(Reason::NoUpstream));
}

/// Guards against a draw for the target that fails as none of its upstreams is listed.
#[test]
fn next_without_target() {
    let mut view = mixed(Some(order("v2", 2)), None);
    view.servers.retain(|_, server| &*server.software == "v1");
    let mut gateway = gateway(view);
    assert_eq!(versions(&mut gateway), ["v1"]);
}

/// Guards against an instance that starts within an order and counts its time from then, or does not
/// know what the others have found out.
#[test]
fn receive_handover_of_order() {
    let old = {
        let mut gateway = gateway(mixed(Some(order("v2", 2)), None));
        gateway.advance_orders(NOW);
        gateway.handover(NOW + Duration::from_secs(7), true)
    };
    let mut new = Gateway::new(terms(1_000.0), 9);
    let late = Order { seen: NOW + Duration::from_secs(7), ..order("v2", 2) };
    let now = NOW + Duration::from_secs(7);
    new.observe(now, Arc::new(mixed(Some(late), None)));
    assert_eq!(new.rollout("app").map(|rollout| rollout.started()), Some(now));
    for part in old {
        new.receive_handover(now, 7, part);
    }
    let rollout = new.rollout("app").expect("an order");
    assert_eq!((rollout.started(), rollout.progress()), (NOW, Progress::Canary));
}

/// Guards against an order that begins anew, or loses its outcome, as the metadata store is restored
/// from an older copy.
#[test]
fn observe_restored_copy() {
    let rolled_back = Some(status("v2", State::RolledBack, 3));
    let mut gateway = gateway(mixed(Some(order("v2", 2)), rolled_back));
    let revision = Revision { era: 1, number: 9 };
    let restored = Order { revision, ..order("v2", 9) };
    gateway.observe(NOW, Arc::new(mixed(Some(restored.clone()), None)));
    let found = gateway.resolutions(NOW).remove("app").expect("an order");
    assert_eq!((found.state, found.order), (State::RolledBack, revision));
    assert!(found.is_unrecorded(&restored, None), "it is written again");
}
