//! Tests of which instance may hold the order lease.

use std::net::SocketAddr;
use std::time::Duration;

use acacia_policy::Time;
use acacia_policy::gateway::duty::{Duty, Next, Sample, Verdict};

const NOW: Time = Duration::from_secs(100);
const NONE: Sample = Sample { asked: 4, answered: 0 };
const MOST: Sample = Sample { asked: 4, answered: 3 };

fn peers(count: u16) -> Vec<SocketAddr> {
    (0..count).map(|port| ([10, 0, 0, 1], 1_000 + port).into()).collect()
}

#[test]
fn next_ignores_one_silent_peer() {
    let (mut duty, peers) = (Duty::default(), peers(9));
    duty.failed(peers[0]);
    assert_eq!(duty.next(NOW, peers.clone()), Next::Hold);
    duty.failed(peers[1]);
    assert_eq!(duty.next(NOW, peers.clone()), Next::Sample);
    duty.answered(peers[1]);
    assert_eq!(duty.next(NOW, peers), Next::Hold);
}

#[test]
fn next_samples_after_two_calls_to_one_peer() {
    for count in [1, 9] {
        let (mut duty, peers) = (Duty::default(), peers(count));
        duty.failed(peers[0]);
        assert_eq!(duty.next(NOW, peers.clone()), Next::Hold);
        duty.failed(peers[0]);
        assert_eq!(duty.next(NOW, peers), Next::Sample);
    }
}

#[test]
fn next_forgets_removed_peers() {
    let (mut duty, all) = (Duty::default(), peers(9));
    duty.failed(all[7]);
    duty.failed(all[8]);
    assert_eq!(duty.next(NOW, peers(7)), Next::Hold);
    assert_eq!(duty.next(NOW, all), Next::Hold, "a peer at the same address is another one");
}

#[test]
fn hold_leaves_lease_without_path() {
    let (mut duty, peers) = (Duty::default(), peers(9));
    assert_eq!(duty.acquire(NOW, MOST), Verdict::Hold);
    peers.iter().for_each(|peer| duty.failed(*peer));
    let later = NOW + Duration::from_secs(2);
    assert_eq!(duty.next(later, peers.clone()), Next::Sample);
    assert_eq!(duty.hold(later, MOST), Verdict::Hold, "a third of the engines may be gone");
    assert_eq!(duty.next(later, peers.clone()), Next::Hold, "a sample has answered");
    peers.iter().for_each(|peer| duty.failed(*peer));
    assert_eq!(duty.next(later, peers.clone()), Next::Hold, "it does not ask without a pause");
    let again = later + Duration::from_secs(2);
    assert_eq!(duty.next(again, peers), Next::Sample);
    assert_eq!(duty.hold(again, NONE), Verdict::Leave);
}

#[test]
fn acquire_waits_for_instances_with_path() {
    let mut duty = Duty::default();
    assert_eq!(duty.acquire(NOW, NONE), Verdict::Leave);
    assert_eq!(duty.acquire(NOW + Duration::from_secs(1), MOST), Verdict::Hold);
}

#[test]
fn acquire_without_path_of_any_instance() {
    let mut duty = Duty::default();
    assert_eq!(duty.acquire(NOW, NONE), Verdict::Leave);
    let later = NOW + Duration::from_secs(6);
    assert_eq!(duty.acquire(later, NONE), Verdict::Hold, "no instance has a path");
    assert_eq!(duty.hold(later + Duration::from_secs(1), NONE), Verdict::Hold);
    assert_eq!(duty.hold(later + Duration::from_secs(6), NONE), Verdict::Leave);
}

#[test]
fn acquire_counts_abstention_since_last_holder() {
    let mut duty = Duty::default();
    assert_eq!(duty.acquire(NOW, NONE), Verdict::Leave);
    duty.taken();
    assert_eq!(duty.acquire(NOW + Duration::from_secs(60), NONE), Verdict::Leave);
}

#[test]
fn acquire_without_engines() {
    let none = Sample { asked: 0, answered: 0 };
    assert_eq!(Duty::default().acquire(NOW, none), Verdict::Hold);
}

/// Engines that are silent to all instances, up to two thirds of them, don't move the lease.
#[test]
fn hold_keeps_lease_while_engines_are_silent_to_all() {
    let mut duty = Duty::default();
    assert_eq!(duty.acquire(NOW, Sample { asked: 4, answered: 2 }), Verdict::Hold);
    for second in 1..60 {
        let sample = Sample { asked: 8, answered: 2 + second % 4 };
        let now = NOW + Duration::from_secs(second as u64);
        assert_eq!(duty.hold(now, sample), Verdict::Hold);
    }
}

#[test]
fn hold_leaves_lease_of_few_engines() {
    for (asked, answered, verdict) in [
        (1, 0, Verdict::Leave),
        (1, 1, Verdict::Hold),
        (3, 0, Verdict::Leave),
        (3, 1, Verdict::Hold),
        (8, 1, Verdict::Leave),
        (8, 2, Verdict::Hold),
        (0, 0, Verdict::Hold),
    ] {
        let sample = Sample { asked, answered };
        assert_eq!(Duty::default().hold(NOW, sample), verdict, "{sample:?}");
    }
}
