//! Permits of instances whose incarnation is unknown to the permits' owner or to the daemon.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use acacia_catalog::Set;
use acacia_catalog::id::Incarnation;
use acacia_catalog::object::{AdminState, Document, Object, Role, Service, Upstream, Zone};
use acacia_policy::control::Permit;
use acacia_policy::dispatch::{Action, Dispatcher, Event, Strategy};
use acacia_policy::request::{Call, Class, Request, Work};
use acacia_policy::snapshot::{Snapshot, Standing, Warmth};

const NOW: Duration = Duration::from_secs(1);

fn set() -> Set {
    let zone = Zone { name: "z".into(), region: "r".into(), state: AdminState::In };
    let service = Service { name: "desk".into(), idempotent: Vec::new() };
    let upstream = Upstream {
        name: "desk-0".into(),
        zone: "z".into(),
        address: ([127, 0, 0, 1], 1).into(),
        role: Role::Service { service: "desk".into() },
        slots: 8,
        cold_limit: 2,
        checks_fence: false,
        state: AdminState::In,
    };
    let objects = vec![Object::Zone(zone), Object::Service(service), Object::Upstream(upstream)];
    Set::check(&Document { objects }).expect("the document is valid")
}

fn snapshot(incarnation: Incarnation) -> Snapshot {
    let standing = Standing { warmth: Warmth::Cold, incarnation, load: None };
    Snapshot {
        revision: 1,
        set: Arc::new(set()),
        upstreams: BTreeMap::from([("desk-0".into(), standing)]),
        ready: true,
        ..Snapshot::default()
    }
}

/// Actions on a permit for `incarnation` while a call waits and the daemon has seen `seen`.
fn permitted(incarnation: Incarnation, seen: Incarnation) -> Vec<Action> {
    let mut dispatcher = Dispatcher::new(1, Strategy::TimeToFirstToken);
    dispatcher.step(NOW, Event::Snapshot(Arc::new(snapshot(seen))));
    let call = Call {
        service: "desk".into(),
        idempotent: true,
        key: None,
        fingerprint: Default::default(),
    };
    let request = Request {
        organisation: "o".into(),
        work: Work::Call(call),
        class: Class::Short,
        deadline: NOW * 30,
    };
    let asked = dispatcher.step(NOW, Event::Arrived(1, request));
    assert!(matches!(asked.as_slice(), [Action::AskPermit { .. }]), "{asked:?}");
    let permit = Permit {
        id: 1,
        owner: "d".into(),
        upstream: "desk-0".into(),
        incarnation,
        until: NOW + Duration::from_millis(400),
    };
    dispatcher.step(NOW, Event::Permit(permit))
}

#[test]
fn permit_unknown_incarnation() {
    assert!(matches!(permitted(0, 1).as_slice(), [Action::Start(1, _)]));
}

#[test]
fn permit_same_incarnation() {
    assert!(matches!(permitted(1, 1).as_slice(), [Action::Start(1, _)]));
}

#[test]
fn permit_other_incarnation() {
    let actions = permitted(2, 1);
    assert!(actions.iter().any(|a| matches!(a, Action::ReturnPermit(..))), "{actions:?}");
    assert!(!actions.iter().any(|a| matches!(a, Action::Start(..))), "{actions:?}");
}

#[test]
fn permit_incarnation_not_seen_yet() {
    assert!(matches!(permitted(1, 0).as_slice(), [Action::Start(1, _)]));
}
