//! Registrations and claims of the order lease that the metadata store executes late or never, and
//! entries that others replace.

use std::time::Duration;

use acacia_standin::platform::document;
use acacia_standin::platform::store::{self, Lost};
use serde_json::{Value, json};

use crate::fixture::{self, Fixture};

/// Prefix of the instances' entries.
const INSTANCES: &str = "acacia/instances/";
/// Key of the order lease.
const ORDER_LEASE: &str = "acacia/holder";
/// Time after which a write without an answer is executed.
const DELAY: Duration = Duration::from_secs(4);
/// Time after which a lease that is not renewed has ended, from the late write on.
const LEASE_TIME: Duration = Duration::from_secs(8);
/// Time in which the entry of an instance is removed again and again.
const UNLISTED_TIME: Duration = Duration::from_secs(5);
/// Interval between looks at the store.
const INTERVAL: Duration = Duration::from_millis(100);

/// Starts instances whose first registration gets no answer.
async fn start(count: usize, lost: Lost) -> Fixture {
    Fixture::start_prepared(count, |store| store.lose_first_writes(INSTANCES, lost)).await
}

/// The entry of an instance in the metadata store.
fn entry(fixture: &Fixture, instance: usize) -> Option<Value> {
    let value = fixture.store.value(&format!("{INSTANCES}instance-{instance}"))?;
    serde_json::from_slice(&value).ok()
}

fn are_listed(fixture: &Fixture, count: usize) -> bool {
    (0..count).all(|instance| entry(fixture, instance).is_some())
}

/// Waits until all instances are listed, and checks that they are after the late write, and after the
/// end of its lease.
async fn stay_listed(fixture: Fixture, count: usize) {
    fixture::eventually("all are listed", async || are_listed(&fixture, count)).await;
    tokio::time::sleep(DELAY).await;
    let ends = tokio::time::Instant::now() + LEASE_TIME;
    while tokio::time::Instant::now() < ends {
        assert!(are_listed(&fixture, count), "an instance is not listed");
        tokio::time::sleep(INTERVAL).await;
    }
    fixture.stop().await;
}

/// Guards against review case 6: once the lease of a late write had ended, its instance was not listed
/// any more, and was told nothing by the others.
#[tokio::test(flavor = "multi_thread")]
async fn write_executed_late_keeps_instance_listed() {
    let fixture = start(2, Lost::Delayed(DELAY)).await;
    stay_listed(fixture, 2).await;
}

/// The same, where the late write is that of a process that was killed.
#[tokio::test(flavor = "multi_thread")]
async fn write_of_killed_process_keeps_instance_listed() {
    let mut fixture = start(2, Lost::Delayed(DELAY)).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    fixture.kill_instances().await;
    stay_listed(fixture, 2).await;
}

/// Guards against an instance that waits for the watch to show a write that was never executed.
#[tokio::test(flavor = "multi_thread")]
async fn write_never_executed_is_repeated() {
    let fixture = start(2, Lost::Dropped).await;
    fixture::eventually("all are listed", async || are_listed(&fixture, 2)).await;
    fixture.stop().await;
}

/// Guards against the same for entries that an earlier process of the instance replaces or takes with
/// its lease.
#[tokio::test(flavor = "multi_thread")]
async fn entry_replaced_or_removed_is_written_again() {
    let fixture = Fixture::start(1).await;
    let own = async || entry(&fixture, 0).is_some_and(|entry| entry["peer"] != json!(null));
    fixture::eventually("the instance is listed", own).await;
    let key = format!("{INSTANCES}instance-0");
    fixture.store.put(&key, &json!({"peer": null, "zone": "z9"}));
    fixture::eventually("the entry is written again", own).await;
    fixture.store.remove(&key);
    fixture::eventually("the entry is written again", own).await;
    assert!(fixture.logged(0, &["this instance is no longer listed"]) > 0);
    assert!(fixture.logged(0, &["this instance is listed by the entry of another"]) > 0);
    fixture.stop().await;
}

/// An instance whose claim of the order lease gets no answer claims it again, and orders weights.
async fn claim_order_lease(lost: Lost) {
    let prepare = |store: &store::Handle| store.lose_first_writes(ORDER_LEASE, lost);
    let fixture = Fixture::start_prepared(1, prepare).await;
    let (key, value) = document::announcement(2);
    fixture.store.put(&key, &value);
    let is_loaded = async || fixture.weights() == [2; 3];
    fixture::eventually("all engines have the new weights", is_loaded).await;
    assert!(fixture.engines.iter().all(|engine| engine.orders() == 1), "each engine loads once");
    fixture.stop().await;
}

/// Guards against a holder that renews a lease under which nothing was ever written: no instance
/// orders weights then.
#[tokio::test(flavor = "multi_thread")]
async fn order_lease_claim_never_executed_is_repeated() {
    claim_order_lease(Lost::Reset).await;
}

/// The same while the first claim is executed late.
#[tokio::test(flavor = "multi_thread")]
async fn order_lease_claim_executed_late_is_harmless() {
    claim_order_lease(Lost::Delayed(Duration::from_secs(1))).await;
}

/// Guards against a holder that goes on after its entry was removed.
#[tokio::test(flavor = "multi_thread")]
async fn order_lease_removed_is_claimed_again() {
    let fixture = Fixture::start(1).await;
    let is_held = async || fixture.store.value(ORDER_LEASE).is_some();
    fixture::eventually("the order lease is held", is_held).await;
    fixture.store.remove(ORDER_LEASE);
    fixture::eventually("the order lease is held again", is_held).await;
    fixture.stop().await;
}

/// Guards against an instance that asks the others for what it was not told as long as they didn't list
/// it, before they do.
#[tokio::test(flavor = "multi_thread")]
async fn others_are_asked_once_instance_is_listed() {
    let fixture = Fixture::start_beside(&[([127, 0, 0, 1], 1).into()]).await;
    let asked = |cause: &str| fixture.logged(0, &["asked other instances", cause]);
    let ends = tokio::time::Instant::now() + UNLISTED_TIME;
    while tokio::time::Instant::now() < ends {
        fixture.store.remove(&format!("{INSTANCES}instance-0"));
        tokio::time::sleep(INTERVAL).await;
    }
    assert_eq!((asked(r#""start""#), asked(r#""listed""#)), (1, 0));
    fixture::eventually("the others are asked again", async || asked(r#""listed""#) == 1).await;
    fixture.stop().await;
}
