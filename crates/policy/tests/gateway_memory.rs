//! Who loses memory and connections when a process runs short, under the loads of crowds of callers.

use std::time::Duration;

use acacia_policy::Time;
use acacia_policy::gateway::memory::{
    CONNECTION_BYTES, Cause, ConnectionKey, Entry, HolderKey, Kind, Ledger, Step, Terms,
};

const MB: usize = 1_000_000;
const LEGAL: usize = 4 << 20;
/// Longer than a holder may be silent.
const LATER: Duration = Duration::from_secs(1);

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn ledger(memory_mb: u64) -> Ledger {
    Ledger::new(Terms::new(Some(memory_mb * 1_000_000), Some(4_096)))
}

/// Reserves for a body until it has so many bytes or is refused; returns those that lost theirs.
fn fill(
    ledger: &mut Ledger,
    now: Time,
    key: HolderKey,
    bytes: usize,
) -> Result<Vec<(HolderKey, Cause)>, Cause> {
    ledger.progressed(now, key);
    let mut evicted = Vec::new();
    loop {
        match ledger.enlarge(now, key, bytes) {
            Step::Granted => return Ok(evicted),
            Step::Evict(loser, cause) => evicted.push((loser, cause)),
            Step::Refused(cause) => return Err(cause),
        }
    }
}

/// Fails if a small machine can't take a request of full legal size.
#[test]
fn terms_smallest_machine() {
    let mut ledger = ledger(88);
    let key = ledger.begin_body(at(0), 1);
    assert_eq!(fill(&mut ledger, at(0), key, LEGAL), Ok(vec![]));
    assert!(Terms::new(Some(1), Some(1)).bytes > 2 * LEGAL);
}

#[test]
fn terms_absent() {
    assert_eq!(Terms::new(None, None), Terms::new(Some(160_000_000), Some(4_096)));
    assert!(Terms::default().bytes <= 60 * MB);
}

/// A crowd stops just short of the end: a later caller gets the memory of the stalest.
#[test]
fn enlarge_stalled_crowd() {
    let mut ledger = ledger(160);
    let mut kept = Vec::new();
    for number in 0..160 {
        let key = ledger.begin_body(at(number), 1);
        match fill(&mut ledger, at(number), key, LEGAL) {
            Ok(evicted) => {
                assert!(evicted.is_empty());
                kept.push(key);
            }
            Err(cause) => {
                assert_eq!(cause, Cause::Newest);
                ledger.cancel_body(key);
            }
        }
    }
    assert_eq!(kept.len(), 45 * MB / LEGAL);
    let later = at(200) + LATER;
    let key = ledger.begin_body(later, 1);
    assert_eq!(fill(&mut ledger, later, key, LEGAL), Ok(vec![(kept[0], Cause::Stalled)]));
}

/// Bodies that all progress: the newest loses, also to an older one that grows.
#[test]
fn enlarge_all_progress() {
    let mut ledger = ledger(160);
    let keys: Vec<_> = (0..20).map(|number| ledger.begin_body(at(number), 1)).collect();
    for key in &keys {
        assert!(fill(&mut ledger, at(30), *key, 2 * MB).is_ok());
    }
    let lost = fill(&mut ledger, at(40), keys[0], LEGAL + 2 * MB).unwrap();
    assert!(lost.is_empty());
    let lost = fill(&mut ledger, at(40), keys[1], LEGAL).unwrap();
    assert_eq!(lost, [(keys[19], Cause::Newest)]);
    assert_eq!(fill(&mut ledger, at(41), keys[19], 1), Err(Cause::Stalled));
}

/// Slow bodies keep their memory while there is enough of it.
#[test]
fn enlarge_slow_in_calm() {
    let mut ledger = ledger(88);
    let slow = ledger.begin_body(at(0), 1);
    assert_eq!(fill(&mut ledger, at(0), slow, MB), Ok(vec![]));
    for second in 1..60 {
        let other = ledger.begin_body(at(second * 1_000), 1);
        assert_eq!(fill(&mut ledger, at(second * 1_000), other, LEGAL), Ok(vec![]));
        ledger.cancel_body(other);
    }
    assert_eq!(fill(&mut ledger, at(60_000), slow, LEGAL), Ok(vec![]));
}

/// An organisation that sends many bodies loses its own, not the newer one of another.
#[test]
fn enlarge_organisation_over_share() {
    let mut ledger = ledger(160);
    let crowd: Vec<_> = (0..10).map(|number| ledger.begin_body(at(number), 1)).collect();
    for key in &crowd {
        assert!(fill(&mut ledger, at(10), *key, LEGAL).is_ok());
    }
    let other = ledger.begin_body(at(20), 2);
    assert_eq!(fill(&mut ledger, at(20), other, LEGAL), Ok(vec![(crowd[9], Cause::Share)]));
}

/// Bodies never take what is left to answers; answers take the memory of stalled bodies.
#[test]
fn enlarge_answer_beside_crowd() {
    let mut ledger = ledger(160);
    for _ in 0..10 {
        let key = ledger.begin_body(at(0), 1);
        assert!(fill(&mut ledger, at(0), key, LEGAL).is_ok());
    }
    assert_eq!(ledger.enlarge_answer(at(1), 15 * MB), Step::Granted);
    let step = ledger.enlarge_answer(at(1), 12 * MB);
    assert!(matches!(step, Step::Evict(_, Cause::Newest)), "{step:?}");
    for _ in 0..2 {
        let step = ledger.enlarge_answer(at(1) + LATER, 12 * MB);
        assert!(matches!(step, Step::Evict(_, Cause::Stalled)), "{step:?}");
    }
    assert_eq!(ledger.enlarge_answer(at(1) + LATER, 12 * MB), Step::Granted);
}

/// A slow reader's answer is given up when it has stalled, not before.
#[test]
fn enlarge_slow_reader() {
    let mut ledger = ledger(88);
    assert_eq!(ledger.enlarge_answer(at(0), 12 * MB), Step::Granted);
    let answer = ledger.begin_answer(at(0), 12 * MB);
    let keys: Vec<_> = (0..3).map(|_| ledger.begin_body(at(0), 1)).collect();
    assert!(fill(&mut ledger, at(1), keys[0], LEGAL).is_ok());
    assert!(fill(&mut ledger, at(1), keys[1], LEGAL).is_ok());
    assert_eq!(fill(&mut ledger, at(1), keys[2], LEGAL), Err(Cause::Newest));
    let later = at(1) + LATER;
    ledger.progressed(later, keys[0]);
    ledger.progressed(later, keys[1]);
    let step = ledger.enlarge(later, keys[2], LEGAL);
    assert_eq!(step, Step::Evict(answer, Cause::Stalled));
    ledger.release(Kind::Answer, 12 * MB);
    assert_eq!(ledger.enlarge(later, keys[2], LEGAL), Step::Granted);
}

/// What is held comes back to zero.
#[test]
fn release_all() {
    let mut ledger = ledger(160);
    let key = ledger.begin_body(at(0), 1);
    assert!(fill(&mut ledger, at(0), key, LEGAL).is_ok());
    ledger.end(key);
    assert_eq!(ledger.used(Kind::Body), LEGAL);
    ledger.release(Kind::Body, LEGAL);
    assert_eq!(ledger.used(Kind::Body), 0);
    assert_eq!(ledger.enlarge(at(1), key, LEGAL), Step::Refused(Cause::Stalled));
}

fn connect(ledger: &mut Ledger, now: Time) -> ConnectionKey {
    match ledger.connect(now) {
        Entry::Admitted(key) | Entry::Replaces(key, _) => key,
        Entry::Closed => panic!("the connection is closed"),
    }
}

/// Idle connections make room for new ones, the longest idle first; busy ones don't.
#[test]
fn connect_exhausted() {
    let mut ledger = Ledger::new(Terms::new(Some(160_000_000), Some(64 + 2 * 3)));
    let keys: Vec<_> = (0..3).map(|number| connect(&mut ledger, at(number))).collect();
    ledger.set_idle(keys[0], None);
    let Entry::Replaces(new, closed) = ledger.connect(at(10)) else { panic!("none is closed") };
    assert_eq!(closed, keys[1]);
    ledger.set_idle(keys[2], None);
    ledger.set_idle(new, None);
    assert_eq!(ledger.connect(at(11)), Entry::Closed);
    ledger.set_idle(keys[0], Some(at(12)));
    assert!(matches!(ledger.connect(at(13)), Entry::Replaces(_, closed) if closed == keys[0]));
    assert_eq!(ledger.used(Kind::Connection), 3 * CONNECTION_BYTES);
}
