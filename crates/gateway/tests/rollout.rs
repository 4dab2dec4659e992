//! Orders to move a service's traffic, and their recorded states, in the replica.

use std::time::Duration;

use acacia_gateway::replica::{Replica, Update};
use acacia_platform::store::Change;
use acacia_policy::Time;
use acacia_policy::gateway::canary::{Listing, State};
use acacia_policy::kv::Revision;
use serde_json::{Value, json};

const ORDER: &str = "op/rollout/s";
const STATE: &str = "status/rollout/s";

fn at(seconds: u64) -> Time {
    Duration::from_secs(3_600 + seconds)
}

fn revision(era: u64, number: i64) -> Revision {
    Revision { era, number }
}

fn set(key: &str, value: Value, revision: Revision) -> Change {
    let value = Some(value.to_string().into_bytes());
    Change { key: key.to_owned(), value, revision, created: revision, lease: None }
}

fn removed(key: &str, number: i64) -> Change {
    let revision = revision(0, number);
    Change { key: key.to_owned(), value: None, revision, created: revision, lease: None }
}

fn order(target: &str) -> Value {
    json!({"service": "s", "target": target, "duration_s": 12})
}

fn state(state: &str) -> Value {
    json!({"service": "s", "target": "v2", "state": state})
}

fn replica() -> Replica {
    let mut replica = Replica::new(1);
    replica.replace(at(0), revision(0, 0), &[]);
    replica.apply(at(0), &set("op/config", json!({"version": 1}), revision(0, 1)));
    replica
}

fn listing(replica: &Replica) -> Listing {
    replica.view("own").expect("a view").rollouts.get("s").cloned().unwrap_or_default()
}

#[test]
fn apply_order() {
    let mut replica = replica();
    assert_eq!(listing(&replica), Listing::default());
    let update = replica.apply(at(5), &set(ORDER, order("v2"), revision(0, 2)));
    assert_eq!(update, Some(Update::Rollout("s".into())));
    let seen = listing(&replica).order.expect("an order");
    assert_eq!((&*seen.target, seen.revision, seen.seen), ("v2", revision(0, 2), at(5)));
    // A repeated order is another one.
    replica.apply(at(9), &set(ORDER, order("v2"), revision(0, 4)));
    assert_eq!(listing(&replica).order.map(|order| order.seen), Some(at(9)));
    replica.apply(at(10), &removed(ORDER, 5));
    assert_eq!(listing(&replica).order, None);
}

/// Guards against a state of an earlier order that counts for a repeated one.
#[test]
fn apply_state() {
    let mut replica = replica();
    replica.apply(at(5), &set(ORDER, order("v2"), revision(0, 2)));
    replica.apply(at(6), &set(STATE, state("rolled_back"), revision(0, 3)));
    let Listing { order: Some(known), status: Some(status) } = listing(&replica) else {
        panic!("both are listed")
    };
    assert!(status.state == State::RolledBack && status.is_of(&known));
    replica.apply(at(7), &set(ORDER, order("v2"), revision(0, 4)));
    assert!(!status.is_of(&listing(&replica).order.expect("an order")));
    assert_eq!(replica.rollout_state_revision(&"s".into()), revision(0, 3));
}

/// Guards against a malformed order that ends a valid one, and against an order that is kept although
/// the listing lacks it.
#[test]
fn replace_orders() {
    let mut replica = replica();
    replica.apply(at(5), &set(ORDER, order("v2"), revision(0, 2)));
    let update = replica.apply(at(6), &set(ORDER, json!({"target": "v3"}), revision(0, 3)));
    assert!(matches!(update, Some(Update::Malformed { .. })));
    assert!(listing(&replica).order.is_some());
    // The order keeps its age when all entries are read again.
    let entry = set(ORDER, order("v2"), revision(0, 2));
    replica.replace(at(8), revision(0, 9), std::slice::from_ref(&entry));
    assert_eq!(listing(&replica).order.map(|order| order.seen), Some(at(5)));
    replica.replace(at(9), revision(0, 10), &[]);
    assert_eq!(listing(&replica), Listing::default());
}

/// A restored copy that lacks the state: it is written as a new key of the era.
#[test]
fn replace_in_new_era() {
    let mut replica = replica();
    replica.apply(at(5), &set(ORDER, order("v2"), revision(0, 2)));
    replica.apply(at(6), &set(STATE, state("running"), revision(0, 3)));
    let entry = set(ORDER, order("v2"), revision(1, 2));
    replica.replace(at(8), revision(1, 2), std::slice::from_ref(&entry));
    assert_eq!(replica.rollout_state_revision(&"s".into()), revision(1, 0));
    let order = listing(&replica).order.expect("an order");
    assert_eq!(order.revision, revision(1, 2));
}
