//! The replica of the metadata store, with changes in any order and with gaps.

use std::time::Duration;

use acacia_gateway::replica::{Replica, Update};
use acacia_platform::store::Change;
use acacia_policy::Time;
use acacia_policy::kv::Revision;
use serde_json::{Value, json};

const OWN: u64 = 1;

fn at(seconds: u64) -> Time {
    Duration::from_secs(3_600 + seconds)
}

fn revision(number: i64) -> Revision {
    Revision { era: 0, number }
}

fn set(key: &str, value: Value, number: i64) -> Change {
    let (revision, value) = (revision(number), Some(value.to_string().into_bytes()));
    Change { key: key.to_owned(), value, revision, created: revision, lease: None }
}

fn removed(key: &str, number: i64) -> Change {
    Change {
        key: key.to_owned(),
        value: None,
        revision: revision(number),
        created: revision(0),
        lease: None,
    }
}

/// The same change in another era.
fn in_era(era: u64, change: Change) -> Change {
    let of = |revision: Revision| Revision { era, ..revision };
    Change { revision: of(change.revision), created: of(change.created), ..change }
}

fn server() -> Value {
    json!({"service": "s", "address": "10.0.0.1:80", "zone": "z", "slots": 6, "state": "ready"})
}

fn configuration(version: u64) -> Value {
    json!({"version": version})
}

fn replica() -> Replica {
    let mut replica = Replica::new(OWN);
    replica.replace(at(0), revision(0), &[]);
    replica.apply(at(0), &set("op/config", configuration(3), 1));
    replica
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

/// Receives answers of a metadata store without changes, one each second.
fn follow(replica: &mut Replica, seconds: std::ops::RangeInclusive<u64>) {
    seconds.for_each(|second| {
        replica.confirm(at(second));
        replica.recover(at(second));
    });
}

/// Regression, DRAIN of review case 4: after a watch was cut, a server whose entry was removed got
/// requests for as long as one whose entry may have expired.
#[test]
fn remove_server_after_cut_watch() {
    let mut replica = replica();
    replica.apply(at(1), &set("servers/i-1", server(), 2));
    follow(&mut replica, 1..=59);
    replica.fail(at(60));
    follow(&mut replica, 60..=60);
    replica.apply(at(60), &removed("servers/i-1", 3));
    assert!(replica.view("own").unwrap().expired.is_empty(), "no lease expires meanwhile");
}

/// Regression, DRAIN of review case 4: the same, after an outage that had ended long before.
#[test]
fn remove_server_after_return() {
    let mut replica = replica();
    for (number, id) in (2..).zip(["servers/i-1", "servers/i-2"]) {
        replica.apply(at(1), &set(id, server(), number));
    }
    follow(&mut replica, 1..=59);
    replica.fail(at(60));
    replica.fail(at(60));
    follow(&mut replica, 61..=63);
    replica.apply(at(63), &removed("servers/i-1", 4));
    let view = replica.view("own").unwrap();
    assert_eq!(view.expired["i-1"].1, at(61), "it may be used for some time from the return on");
    follow(&mut replica, 64..=64);
    replica.apply(at(64), &removed("servers/i-2", 5));
    assert_eq!(replica.view("own").unwrap().expired.len(), 1, "a running server is back by then");
}

/// A server that came and left between two views tells that its version has served.
#[test]
fn view_keeps_software_of_departed_server() {
    let mut replica = replica();
    let mut entry = server();
    entry["version"] = json!("v2");
    replica.apply(at(1), &set("servers/i-1", entry, 2));
    replica.apply(at(1), &removed("servers/i-1", 3));
    replica.confirm(at(1));
    assert!(replica.view("own").unwrap().software["s"].contains("v2"));
    replica.confirm(at(60));
    assert!(!replica.view("own").unwrap().software.contains_key("s"));
}

/// A change that two reads contain is applied once, in the order of revisions.
#[test]
fn apply_changes_again() {
    let mut replica = replica();
    let (added, gone) = (set("servers/i-1", server(), 2), removed("servers/i-1", 3));
    for change in [&added, &gone] {
        replica.apply(at(1), change);
    }
    replica.advance(revision(3));
    assert_eq!(replica.apply(at(2), &added), None);
    assert!(replica.view("own").unwrap().servers.is_empty());
}

#[test]
fn replace_unlisted_entries() {
    let mut replica = replica();
    replica.apply(at(1), &set("servers/i-1", server(), 2));
    replica.apply(at(1), &set("servers/i-2", server(), 3));
    replica.apply(at(1), &set("op/evacuate/z", json!({}), 4));
    replica.replace(at(60), revision(5), &[set("servers/i-2", server(), 3)]);
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
        revision(2),
        &[set("op/config", configuration(1), 1), set("op/version/m", order.clone(), 2)],
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
    let mut started = Replica::new(OWN);
    let entries = [set("op/config", configuration(1), 1), set("op/version/m", order.clone(), 2)];
    started.replace(at(0), revision(2), &entries);
    started.set_server_clock(at(0), 100_000);
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

/// Regression, soak cuts seed 3: an instance that started after a third version was announced counted
/// the time of the first one from then, not from the announcement of the second one.
#[test]
fn view_announcement_of_version_before_start() {
    let mut started = Replica::new(OWN);
    let entries = [
        set("op/config", configuration(1), 1),
        set("op/version/m", json!({"model": "m", "version": 4}), 2),
        set("acacia/naming", json!({"m": {"2": 94_000, "4": 99_000}}), 3),
    ];
    started.replace(at(0), revision(3), &entries);
    started.set_server_clock(at(0), 100_000);
    let weights = started.view("own").unwrap().weights["m"].clone();
    assert_eq!(weights.version(), 4);
    assert_eq!(weights.outdated_since(1), Some(at(0) - Duration::from_secs(6)));
    assert_eq!(weights.outdated_since(3), Some(at(0) - Duration::from_secs(1)));
    started.apply(at(10), &set("op/version/m", json!({"model": "m", "version": 5}), 4));
    let (announcements, _) = started.unwritten_announcements().unwrap();
    assert_eq!(announcements.0["m"][&2], 94_000, "others may still have the first version");
}

/// Records the answer at `now` to a call sent at `sent`.
fn answer(replica: &mut Replica, sent: Time, now: Time) {
    replica.confirm(sent);
    replica.recover(now);
}

/// An announcement that arrives while the process is suspended is not dated to its resumption.
#[test]
fn view_announcement_during_suspension() {
    let order = set("op/version/m", json!({"model": "m", "version": 2}), 2);
    let check = |suspended: &mut Replica, case: &str| {
        let outdated_since = suspended.view("own").unwrap().weights["m"].outdated_since(1);
        assert!(outdated_since.is_some_and(|since| since <= at(11)), "{case}: {outdated_since:?}");
        suspended.set_server_clock(at(0), 100_000);
        let (announcements, _) = suspended.unwritten_announcements().unwrap();
        assert!(announcements.0["m"][&2] <= 111_000, "{case}: other instances rely on it");
    };

    let mut waiting = replica();
    answer(&mut waiting, at(9), at(10));
    answer(&mut waiting, at(10), at(11));
    answer(&mut waiting, at(11), at(17));
    waiting.apply(at(17), &order);
    check(&mut waiting, "while a watch waits");

    let mut pausing = replica();
    answer(&mut pausing, at(10), at(11));
    answer(&mut pausing, at(17), at(17));
    pausing.apply(at(17), &order);
    check(&mut pausing, "between two watches");

    let mut reading = replica();
    answer(&mut reading, at(10), at(11));
    answer(&mut reading, at(11), at(17));
    answer(&mut reading, at(17), at(17));
    reading.apply(at(17), &order);
    check(&mut reading, "with an unread answer");

    let mut failing = replica();
    answer(&mut failing, at(10), at(11));
    failing.fail(at(17));
    answer(&mut failing, at(17), at(17));
    failing.apply(at(17), &order);
    check(&mut failing, "with a connection that is lost meanwhile");

    let mut listing = replica();
    answer(&mut listing, at(10), at(11));
    answer(&mut listing, at(17), at(17));
    let entries = [set("op/config", configuration(3), 1), order];
    listing.replace(at(17), revision(2), &entries);
    check(&mut listing, "as the history of the metadata store is lost");
}

/// A slow answer is no suspension of more than its time.
#[test]
fn view_announcement_after_slow_answer() {
    let mut replica = replica();
    answer(&mut replica, at(10), at(11));
    answer(&mut replica, at(11), at(14));
    answer(&mut replica, at(14), at(15));
    replica.apply(at(15), &set("op/version/m", json!({"model": "m", "version": 2}), 2));
    let outdated_since = replica.view("own").unwrap().weights["m"].outdated_since(1);
    assert_eq!(outdated_since, Some(at(11)));
    answer(&mut replica, at(15), at(16));
    replica.apply(at(16), &set("op/version/m", json!({"model": "m", "version": 3}), 3));
    assert_eq!(replica.view("own").unwrap().weights["m"].outdated_since(2), Some(at(16)));
}

/// While the metadata store does not answer, nobody orders the weights, so that the time for which
/// the older ones may be used begins when it answers again.
#[test]
fn view_announcement_during_outage() {
    let mut replica = replica();
    replica.confirm(at(10));
    replica.fail(at(12));
    replica.confirm(at(30));
    replica.recover(at(31));
    replica.apply(at(31), &set("op/version/m", json!({"model": "m", "version": 2}), 2));
    assert_eq!(replica.view("own").unwrap().weights["m"].outdated_since(1), Some(at(31)));
}

/// An instance that started after a restore and saw the weights announced again must not put off the
/// limit of those that know of the first announcement.
#[test]
fn view_keeps_earliest_announcement() {
    let mut started = Replica::new(OWN);
    let order = json!({"model": "m", "version": 2});
    let entries = [
        set("op/config", configuration(1), 1),
        set("op/version/m", order.clone(), 2),
        set("acacia/naming", json!({"m": {"2": 94_000}}), 3),
    ];
    started.replace(at(0), revision(3), &entries);
    started.set_server_clock(at(0), 100_000);
    let copy = [set("op/config", configuration(1), 1), set("op/version/m", order, 2)];
    let copy = copy.map(|entry| in_era(1, entry));
    started.replace(at(5), Revision { era: 1, number: 2 }, &copy);
    let written = set("acacia/naming", json!({"m": {"2": 105_000}}), 3);
    started.apply(at(6), &in_era(1, written));
    let outdated_since = started.view("own").unwrap().weights["m"].outdated_since(1);
    assert_eq!(outdated_since, Some(at(0) - Duration::from_secs(6)));
    let (announcements, _) = started.unwritten_announcements().unwrap();
    assert_eq!(announcements.0["m"][&2], 94_000);
}

/// Regression, by review: with more than eight announcements within the bound, the limit on the first
/// weights moved with each further one.
#[test]
fn view_announcements_in_quick_succession() {
    let outdated_since =
        |replica: &Replica| replica.view("own").unwrap().weights["m"].outdated_since(1);
    let mut running = replica();
    running.set_server_clock(at(0), 100_000);
    let (mut naming, mut number) = (json!({}), 10);
    for version in 2_u64..14 {
        number += 2;
        let order = json!({"model": "m", "version": version});
        running.apply(at(version), &set("op/version/m", order, number));
        if let Some((announcements, _)) = running.unwritten_announcements() {
            naming = serde_json::from_slice(&announcements.encode()).unwrap();
            running.apply(at(version), &set("acacia/naming", naming.clone(), number + 1));
        }
    }
    assert_eq!(outdated_since(&running), Some(at(2)));
    let entries = [
        set("op/config", configuration(3), 1),
        set("op/version/m", json!({"model": "m", "version": 13}), number),
        set("acacia/naming", naming, number + 1),
    ];
    let mut started = Replica::new(OWN);
    started.replace(at(14), revision(number + 1), &entries);
    started.set_server_clock(at(0), 100_000);
    assert_eq!(outdated_since(&started), Some(at(2)));
}

/// Regression: in later eras, announcement times were never written, as the absent entry was taken
/// for one of era zero.
#[test]
fn unwritten_announcements_later_era() {
    let order = json!({"model": "m", "version": 3});
    let mut replica = Replica::new(OWN);
    let era = Revision { era: 2, number: 1 };
    replica.replace(at(0), era, &[in_era(2, set("op/config", configuration(3), 1))]);
    replica.apply(at(10), &in_era(2, set("op/version/m", order, 2)));
    replica.set_server_clock(at(0), 100_000);
    let (announcements, revision) = replica.unwritten_announcements().unwrap();
    assert_eq!(announcements.0["m"][&3], 110_000);
    assert_eq!(revision, Revision::absent(2));
    let written = in_era(2, set("acacia/naming", json!({"m": {"3": 110_000}}), 3));
    replica.apply(at(11), &written);
    assert!(replica.unwritten_announcements().is_none());
}

/// What the metadata store held before it was restored from an older copy is written again.
#[test]
fn unwritten_entries_lost_in_restore() {
    let order = set("op/version/m", json!({"model": "m", "version": 3}), 2);
    let mut replica = replica();
    replica.apply(at(10), &order);
    replica.apply(at(10), &set("servers/i-1", server(), 3));
    replica.set_server_clock(at(0), 100_000);
    replica.apply(at(11), &set("acacia/naming", json!({"m": {"3": 110_000}}), 4));
    replica.apply(at(11), &set("acacia/software", json!({"s": [""]}), 5));
    assert!(replica.unwritten_announcements().is_none());
    assert!(replica.unwritten_software(at(12)).is_none());

    let copy = [
        in_era(1, set("op/config", configuration(3), 1)),
        in_era(1, set("servers/i-1", server(), 3)),
    ];
    replica.replace(at(13), Revision { era: 1, number: 3 }, &copy);
    let (announcements, revision) = replica.unwritten_announcements().unwrap();
    assert_eq!((announcements.0["m"][&3], revision), (110_000, Revision::absent(1)));
    let (software, revision) = replica.unwritten_software(at(14)).unwrap();
    assert_eq!((software.0.len(), revision), (1, Revision::absent(1)));
}

#[test]
fn apply_own_write_before_watch() {
    let mut replica = replica();
    let holding = json!({"instance": "own", "life": OWN, "word": 1, "loading": [], "loaded": {}});
    replica.apply(at(1), &set("acacia/holder", holding, 10));
    let before = replica.last_holder_write();
    let mut next = replica.holder().unwrap().holding.clone();
    next.sequence = 2;
    replica.apply_own_write(next, revision(12));
    let holder = replica.holder().unwrap();
    assert_eq!((holder.revision, holder.created), (revision(12), revision(10)));
    assert_eq!(
        replica.last_holder_write(),
        before,
        "an instance's own writes don't delay its orders"
    );
}

/// An instance is told what the others tell all from some time after its entry is listed.
#[test]
fn view_told_from_own_registration() {
    let mut replica = replica();
    assert_eq!(replica.view("own").unwrap().told_from, None);
    let entry = |number| set("acacia/instances/own", json!({"peer": null}), number);
    replica.apply(at(10), &entry(2));
    replica.apply(at(11), &Change { lease: Some(7), created: revision(2), ..entry(3) });
    assert_eq!(replica.view("own").unwrap().told_from, Some(at(12)));
    assert_eq!(replica.view("other").unwrap().told_from, None);
    let row = replica.registration("own").row.unwrap();
    assert_eq!((row.lease, row.revision), (Some(7), revision(3)));
    replica.apply(at(20), &removed("acacia/instances/own", 4));
    assert_eq!(replica.view("own").unwrap().told_from, None);
    replica.apply(at(21), &entry(5));
    let listed = [set("op/config", configuration(3), 1), entry(9)];
    replica.replace(at(30), revision(9), &listed);
    assert_eq!(replica.view("own").unwrap().told_from, Some(at(32)), "it was gone in between");
    let moved = set("acacia/instances/own", json!({"peer": "127.0.0.1:9"}), 10);
    replica.apply(at(40), &Change { created: revision(9), ..moved });
    assert_eq!(replica.view("own").unwrap().told_from, Some(at(42)), "at another address");

    let mut started = Replica::new(OWN);
    started.replace(at(50), revision(9), &listed);
    let listed_already = at(50) + Duration::from_millis(1_200);
    assert_eq!(
        started.view("own").unwrap().told_from,
        Some(listed_already),
        "the others list it already"
    );
}

fn holding(incarnation: u64, word: u64) -> Value {
    json!({"instance": "i", "life": incarnation, "word": word, "loading": [], "loaded": {}})
}

fn inventory(era: u64) -> Value {
    json!({"era": era, "epoch": 3, "open": true, "parts": [[7, 100]]})
}

fn store_service() -> Value {
    json!({"version": 4, "services": [
        {"name": "kv", "kv_store_addr": "10.0.0.9:80", "zone": "z", "kv_capacity": 1000,
         "managed": true, "link_mbps": 1000.0, "first_ms": 1.0}]})
}

/// Regression: after a full read, the fencing token was the revision of the holder's last write. It
/// went down at the next change.
#[test]
fn replace_keeps_fencing_token() {
    let mut replica = replica();
    replica.apply(at(1), &set("acacia/holder", holding(OWN, 1), 10));
    let written = Change { created: revision(10), ..set("acacia/holder", holding(OWN, 2), 25) };
    replica.replace(at(2), revision(30), &[written]);
    assert_eq!(replica.holder().unwrap().created.fencing_token(), 10);
}

/// Regression: an inventory that was removed while the replica did not follow stayed.
#[test]
fn replace_unlisted_inventory() {
    let mut replica = replica();
    replica.apply(at(1), &set("op/config", store_service(), 2));
    replica.apply(at(1), &set("acacia/stocks/kv", inventory(0), 3));
    assert_eq!(replica.view("own").unwrap().stores.len(), 1);
    replica.replace(at(2), revision(5), &[]);
    assert!(replica.view("own").unwrap().stores.is_empty());
}

#[test]
fn fencing_token_over_eras() {
    let token = |era, number| Revision { era, number }.fencing_token();
    assert_eq!(token(0, 41), 41, "as before eras were stated");
    assert!(token(1, 1) > token(0, 1_000_000_000));
    assert!(token(2, 5) > token(1, 1_000_000_000));
    assert!(token(1_000, 1_000_000_000) < 1 << 53);
}

/// A copy that is some seconds old lacks an evacuation, the leaving of a server, the end of
/// another, newer weights, a newer configuration and an instance.
#[test]
fn replace_older_copy() {
    let mut replica = replica();
    let leaving = json!({"service": "s", "address": "10.0.0.1:80", "zone": "z", "slots": 6,
        "state": "draining"});
    for (key, value) in [
        ("servers/i-1", leaving),
        ("servers/i-2", server()),
        ("op/evacuate/z", json!({})),
        ("op/version/m", json!({"model": "m", "version": 5})),
        ("acacia/instances/a", json!({"peer": "10.0.0.8:1", "zone": "z"})),
        ("acacia/holder", holding(9, 1)),
    ] {
        replica.apply(at(1), &set(key, value, 10));
    }
    replica.apply(at(2), &removed("servers/i-2", 11));
    let before = replica.view("own").unwrap();

    let copy = [
        in_era(1, set("op/config", configuration(2), 3)),
        in_era(1, set("op/version/m", json!({"model": "m", "version": 4}), 4)),
        in_era(1, set("servers/i-1", server(), 5)),
        in_era(1, set("servers/i-2", server(), 6)),
    ];
    let updates = replica.replace(at(10), Revision { era: 1, number: 8 }, &copy);
    assert_eq!(updates[0], Update::Era(1));
    replica.confirm(at(10));
    let view = replica.view("own").unwrap();
    assert_eq!(view.configuration.version, 3);
    assert_eq!(view.weights["m"].version(), 5);
    assert!(view.evacuated.contains("z"));
    assert!(view.servers.values().all(|server| server.leaving), "{:?}", view.servers);
    assert_eq!((view.instances, &view.peers), (before.instances, &before.peers));
    assert!(replica.holder().is_none(), "leases of the earlier era are over");
    assert_eq!(replica.last_holder_write(), at(10));

    // A change of the earlier era that arrives late is ignored.
    assert_eq!(replica.apply(at(11), &set("acacia/holder", holding(9, 2), 12)), None);
    assert!(replica.holder().is_none());

    // Writers in the new era say otherwise.
    replica.apply(at(12), &in_era(1, set("servers/i-1", server(), 9)));
    replica.apply(at(12), &in_era(1, set("op/evacuate/z", json!({}), 10)));
    replica.apply(at(12), &in_era(1, removed("op/evacuate/z", 11)));
    let view = replica.view("own").unwrap();
    assert!(!view.servers["i-1"].leaving);
    assert!(view.evacuated.is_empty());

    // What nobody writes again is forgotten after a while.
    replica.confirm(at(30));
    assert!(replica.view("own").unwrap().peers.is_empty());
}

#[test]
fn view_inventory_of_earlier_era() {
    let mut replica = replica();
    replica.apply(at(1), &set("op/config", store_service(), 2));
    replica.apply(at(1), &set("acacia/stocks/kv", inventory(0), 3));
    let parts = |replica: &Replica| replica.view("own").unwrap().stores[0].inventory.parts.len();
    assert_eq!(parts(&replica), 1);
    let listed = in_era(1, set("acacia/stocks/kv", inventory(0), 3));
    replica.replace(at(2), Revision { era: 1, number: 3 }, &[listed]);
    assert_eq!(parts(&replica), 0, "it may list parts that were freed since");
    replica.apply(at(3), &in_era(1, set("acacia/stocks/kv", inventory(1), 4)));
    assert_eq!(parts(&replica), 1);
}

/// Regression, EVAC on Actas large: changes that were read apart are not applied again when a late
/// answer repeats what preceded them.
#[test]
fn apply_changes_read_apart() {
    let mut replica = replica();
    let evacuated = |replica: &Replica| !replica.view("own").unwrap().evacuated.is_empty();
    let (first, gone) = (set("op/evacuate/z", json!({}), 4), removed("op/evacuate/z", 6));
    let again = set("op/evacuate/z", json!({}), 9);
    for change in [&first, &gone, &again] {
        replica.apply(at(1), change);
    }
    replica.advance_urgent(0, revision(9));
    assert!(evacuated(&replica));
    // The answer to the watch of all entries ends before the latest change.
    for change in [&first, &set("servers/i-1", server(), 5), &gone] {
        replica.apply(at(2), change);
    }
    replica.advance(revision(6));
    assert!(evacuated(&replica), "its end was superseded");
    assert_eq!(replica.view("own").unwrap().servers.len(), 1);
    assert_eq!(
        (replica.urgent_revision(0), replica.urgent_revision(1)),
        (revision(9), revision(6))
    );
}

/// A listing that was read before the latest urgent changes does not undo them.
#[test]
fn replace_after_changes_read_apart() {
    let mut replica = replica();
    replica.apply(at(1), &set("op/evacuate/y", json!({}), 4));
    replica.apply(at(1), &set("op/evacuate/z", json!({}), 8));
    replica.apply(at(1), &removed("op/evacuate/y", 9));
    replica.advance_urgent(0, revision(9));
    replica.replace(at(2), revision(7), &[set("op/evacuate/y", json!({}), 4)]);
    let view = replica.view("own").unwrap();
    assert_eq!(view.evacuated.iter().map(|zone| &**zone).collect::<Vec<_>>(), ["z"]);
    // Another era begins with its own contents.
    replica.replace(at(3), Revision { era: 1, number: 2 }, &[]);
    assert_eq!(replica.urgent_revision(0), Revision { era: 1, number: 2 });
}
