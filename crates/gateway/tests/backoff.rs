//! Pauses and timeouts of calls to the metadata store after failures.

use std::time::Duration;

use acacia_gateway::backoff::{Backoff, Terms};

const USUAL: Terms =
    Terms { wait: Duration::from_millis(700), timeout: Duration::from_millis(1_500) };

#[test]
fn watch_after_answer() {
    let mut backoff = Backoff::default();
    assert_eq!(backoff.watch(USUAL), USUAL);
    backoff.failed();
    backoff.answered();
    assert_eq!(backoff.watch(USUAL), USUAL);
}

/// Regression, trouble-3 of Keystone Hearth grown: a call that hung while the store came back was
/// given up after 2.2 s, and a new configuration was in force too late.
#[test]
fn watch_after_failure() {
    let mut backoff = Backoff::default();
    for _ in 0..10 {
        let pause = backoff.failed();
        let Terms { wait, timeout } = backoff.watch(USUAL);
        assert_eq!(wait, Duration::ZERO);
        assert!(pause + timeout <= Duration::from_millis(1_300), "{pause:?} {timeout:?}");
    }
}

#[test]
fn failed_pauses_grow_to_limit() {
    let mut backoff = Backoff::default();
    let pauses: Vec<u128> = (0..5).map(|_| backoff.failed().as_millis()).collect();
    assert_eq!(pauses, [100, 200, 400, 400, 400]);
}
