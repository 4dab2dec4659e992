//! The replica of the metadata store, with changes in any order and with gaps.

use std::time::Duration;

use acacia_gateway::replica::{Replica, Update};
use acacia_platform::store::Change;
use acacia_policy::Time;
use acacia_policy::kv::Entry;
use serde_json::{Value, json};

const OWN: u64 = 1;

fn at(seconds: u64) -> Time {
    Duration::from_secs(3_600 + seconds)
}

fn set(key: &str, value: Value, revision: i64) -> Change {
    let value = Some(value.to_string().into_bytes());
    Change { key: key.to_owned(), value, revision, created: revision }
}

fn removed(key: &str, revision: i64) -> Change {
    Change { key: key.to_owned(), value: None, revision, created: 0 }
}

fn server() -> Value {
    json!({"service": "s", "address": "10.0.0.1:80", "zone": "z", "slots": 6, "state": "ready"})
}

fn configuration(version: u64) -> Value {
    json!({"version": version})
}

fn replica() -> Replica {
    let mut replica = Replica::new(OWN);
    replica.replace(at(0), Vec::new());
    replica.apply(at(0), &set("op/config", configuration(3), 1));
    replica
}

fn entry(key: &str, value: Value, revision: i64) -> Entry {
    Entry { key: key.to_owned(), value: value.to_string().into_bytes(), revision }
}

#[test]
fn view_without_configuration() {
    assert!(Replica::new(OWN).view("own").is_none());
    assert!(replica().view("own").is_some());
}

#[test]
fn apply_older_versions() {
    let mut replica = replica();
    assert_eq!(replica.apply(at(1), &set("op/config", configuration(2), 2)), None);
    assert_eq!(replica.view("own").unwrap().configuration.version, 3);
    replica.apply(at(1), &set("op/version/m", json!({"model": "m", "version": 5}), 3));
    assert_eq!(replica.apply(at(2), &set("op/version/m", json!({"version": 4}), 4)), None);
    assert_eq!(replica.view("own").unwrap().weights["m"].version(), 5);
    replica.apply(at(3), &removed("op/config", 5));
    assert_eq!(replica.view("own").unwrap().configuration.version, 3);
}

#[test]
fn apply_malformed_values() {
    let mut replica = replica();
    let update = replica.apply(at(1), &set("servers/i-1", json!(7), 2));
    assert!(matches!(update, Some(Update::Malformed { .. })));
    let update = replica.apply(at(1), &set("op/config", json!({"version": "x"}), 3));
    assert!(matches!(update, Some(Update::Malformed { .. })));
    let view = replica.view("own").unwrap();
    assert!(view.servers.is_empty());
    assert_eq!(view.configuration.version, 3);
}

#[test]
fn remove_server_store_undisrupted() {
    let mut replica = replica();
    replica.apply(at(60), &set("servers/i-1", server(), 2));
    replica.apply(at(60), &removed("servers/i-1", 3));
    let view = replica.view("own").unwrap();
    assert!(view.servers.is_empty() && view.expired.is_empty());
}

#[test]
fn remove_server_store_disrupted() {
    let mut replica = replica();
    replica.apply(at(1), &set("servers/i-1", server(), 2));
    assert!(replica.fail(at(60)));
    replica.recover(at(62));
    replica.apply(at(62), &removed("servers/i-1", 3));
    let view = replica.view("own").unwrap();
    assert!(view.servers.is_empty());
    assert_eq!(view.expired.len(), 1);
    replica.apply(at(63), &set("servers/i-1", server(), 4));
    let view = replica.view("own").unwrap();
    assert_eq!((view.servers.len(), view.expired.len()), (1, 0));
}

#[test]
fn replace_unlisted_entries() {
    let mut replica = replica();
    replica.apply(at(1), &set("servers/i-1", server(), 2));
    replica.apply(at(1), &set("servers/i-2", server(), 3));
    replica.apply(at(1), &set("op/evacuate/z", json!({}), 4));
    replica.replace(at(60), vec![entry("servers/i-2", server(), 3)]);
    let view = replica.view("own").unwrap();
    assert_eq!(view.servers.keys().map(|id| &**id).collect::<Vec<_>>(), ["i-2"]);
    assert!(view.evacuated.is_empty());
}

/// Weights that an instance finds at its start must not be dated as just announced. Regression test
/// for trouble-2 --seed 352892507247 of Ferreira.
#[test]
fn view_announcement_times() {
    let order = json!({"model": "m", "version": 3});
    let mut started = Replica::new(OWN);
    started.replace(
        at(0),
        vec![entry("op/config", configuration(1), 1), entry("op/version/m", order.clone(), 2)],
    );
    assert_eq!(
        started.view("own").unwrap().weights["m"].announced_at(),
        Time::ZERO,
        "announced at an unknown time"
    );
    // Announced 6 s earlier by the servers' clock.
    started.set_server_clock(at(0), 100_000);
    started.apply(at(0), &set("acacia/naming", json!({"m": {"3": 94_000}}), 3));
    let announced_at = started.view("own").unwrap().weights["m"].announced_at();
    assert_eq!(announced_at, at(0) - Duration::from_secs(6));

    // Weights announced after the last read of the servers' clock must not be dated to that read.
    // Regression test for quiet-1 of Actas.
    started.apply(at(0), &set("acacia/naming", json!({"m": {"3": 107_000}}), 4));
    let announced_at = started.view("own").unwrap().weights["m"].announced_at();
    assert_eq!(announced_at, at(0) + Duration::from_secs(7));

    let mut running = replica();
    running.apply(at(10), &set("op/version/m", order, 2));
    assert_eq!(running.view("own").unwrap().weights["m"].announced_at(), at(10));
    assert!(running.unwritten_announcements().is_none(), "the servers' clock is unknown");
    running.set_server_clock(at(0), 100_000);
    let (announcements, _) = running.unwritten_announcements().unwrap();
    assert_eq!(announcements.0["m"][&3], 110_000);
}

#[test]
fn apply_own_write_before_watch() {
    let mut replica = replica();
    let holding = json!({"instance": "own", "life": OWN, "word": 1, "loading": [], "loaded": {}});
    replica.apply(at(1), &set("acacia/holder", holding, 10));
    let before = replica.last_holder_write();
    let mut next = replica.holder().unwrap().holding.clone();
    next.sequence = 2;
    replica.apply_own_write(next, 12);
    let holder = replica.holder().unwrap();
    assert_eq!((holder.revision, holder.created), (12, 10));
    assert_eq!(
        replica.last_holder_write(),
        before,
        "an instance's own writes don't delay its orders"
    );
}
