//! Tests of orders to move a service's traffic to a new software version: each replays a load with
//! several instances, and checks the requests that a bad version gets and the recorded state.

mod gateway_canary_fleet;
mod gateway_simulation;

use std::time::Duration;

use acacia_policy::gateway::canary::State;

use gateway_canary_fleet::{Answer, Case, Fleet, Outcome, Request};

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn good(request: &Request<'_>) -> Answer {
    request.good()
}

/// Runs a case with several seeds and numbers of instances.
fn each(case: impl Fn() -> Case, check: impl Fn(&Outcome)) {
    for (instances, seeds) in [(9, 1..6), (80, 1..3)] {
        for seed in seeds {
            let case = Case { instances, seed, ..case() };
            let outcome = Fleet::run(case);
            println!("{instances} instances, seed {seed}: {outcome:?}");
            check(&outcome);
        }
    }
}

/// A bad version is rolled back within its bounds.
fn is_rolled_back(outcome: &Outcome) {
    assert_eq!(outcome.state, Some(State::RolledBack), "{outcome:?}");
    assert!(outcome.exposed <= outcome.limit(), "{} {outcome:?}", outcome.limit());
    assert_eq!(outcome.overdue, 0, "{outcome:?}");
    assert!(outcome.recorded <= seconds(12.0), "{outcome:?}");
}

/// A good version is completed by the end of its order.
fn is_completed(outcome: &Outcome) {
    assert_eq!(outcome.state, Some(State::Completed), "{outcome:?}");
    assert!(outcome.recorded <= seconds(12.0), "{outcome:?}");
    assert_eq!((outcome.cut, outcome.lost, outcome.late_old), (0, 0, 0), "{outcome:?}");
}

/// Guards against a good version that isn't completed in time, and against answers that are cut as the
/// old upstreams stop.
#[test]
fn verdict_good() {
    each(|| Case::new(good), is_completed);
}

/// Guards against a bad version that gets more than its share although it fails from the start.
#[test]
fn verdict_bad_at_once() {
    let answer = |request: &Request<'_>| match request.is_target {
        true => request.failing(0.4),
        false => request.good(),
    };
    each(|| Case::new(answer), is_rolled_back);
}

/// Guards against a share that rises before a version that turns bad late has shown itself.
#[test]
fn verdict_bad_late() {
    let answer = |request: &Request<'_>| match request.is_target && request.age > seconds(10.0) {
        true => request.failing(0.4),
        false => request.good(),
    };
    each(|| Case::new(answer), is_rolled_back);
}

/// Guards against a version that bears the small share only.
#[test]
fn verdict_bad_under_load() {
    let answer = |request: &Request<'_>| match request.is_target && request.running > 4 {
        true => request.failing(0.5),
        false => request.good(),
    };
    each(|| Case { rate: 600.0, ..Case::new(answer) }, is_rolled_back);
}

/// Guards against a fault on one route that the other routes' responses cover up.
#[test]
fn verdict_bad_on_one_route() {
    let answer = |request: &Request<'_>| match request.is_target && request.path == "/once/deep/" {
        true => request.failing(0.4),
        false => request.good(),
    };
    each(|| Case::new(answer), is_rolled_back);
}

/// Guards against a version that answers well, but several times slower.
#[test]
fn verdict_slower() {
    let answer = |request: &Request<'_>| match request.is_target {
        true => request.slower(3.0),
        false => request.good(),
    };
    each(|| Case::new(answer), is_rolled_back);
}

/// Guards against a version of whose answers a part is several times slower.
#[test]
fn verdict_partly_slower() {
    let answer = |request: &Request<'_>| match request.is_target && request.chance < 0.3 {
        true => request.slower(4.0),
        false => request.good(),
    };
    each(|| Case::new(answer), is_rolled_back);
}

/// Guards against a good version that is rolled back since its upstreams have just started.
#[test]
fn verdict_good_but_cold() {
    let answer = |request: &Request<'_>| match request.is_target && request.age < seconds(4.0) {
        true => Answer { is_bad: false, ..request.slower(4.0) },
        false => request.good(),
    };
    each(|| Case { cold: seconds(4.0), ..Case::new(answer) }, is_completed);
}

/// Guards against a fault of something else, which both versions suffer, that is blamed on the target.
#[test]
fn verdict_both_bad() {
    let answer = |request: &Request<'_>| request.failing(0.2);
    let check = |outcome: &Outcome| {
        assert_eq!(outcome.state, Some(State::Completed), "{outcome:?}");
    };
    each(|| Case::new(answer), check);
    let late = |request: &Request<'_>| match request.age > seconds(6.0) {
        true => request.failing(0.3),
        false => request.good(),
    };
    each(|| Case::new(late), check);
}

/// Guards against a verdict by chance, and against none, where requests are few.
#[test]
fn verdict_few_requests() {
    each(|| Case { rate: 12.0, ..Case::new(good) }, is_completed);
    let answer = |request: &Request<'_>| match request.is_target {
        true => request.failing(0.5),
        false => request.good(),
    };
    each(|| Case { rate: 12.0, ..Case::new(answer) }, is_rolled_back);
}

/// A service without any request is moved as well.
#[test]
fn verdict_without_requests() {
    each(|| Case { rate: 0.0, ..Case::new(good) }, is_completed);
}

/// Guards against a longer order whose share is too large or too small.
#[test]
fn verdict_long_order() {
    let duration = seconds(40.0);
    let outcome = Fleet::run(Case { duration, ..Case::new(good) });
    assert_eq!(outcome.state, Some(State::Completed), "{outcome:?}");
    assert!(outcome.recorded <= duration && outcome.cut == 0, "{outcome:?}");
    // A version that turns bad in the last moment has got no more than this.
    assert!(outcome.exposed <= outcome.limit(), "{outcome:?}");
}

/// Guards against a verdict that is lost with the instance that would have recorded it.
#[test]
fn verdict_decider_killed() {
    let answer = |request: &Request<'_>| match request.is_target {
        true => request.failing(0.4),
        false => request.good(),
    };
    let holder_killed = Some(seconds(0.5));
    each(|| Case { holder_killed, ..Case::new(answer) }, is_rolled_back);
    // The next holder has time left to complete a good version.
    let holder_killed = Some(seconds(8.0));
    each(|| Case { holder_killed, ..Case::new(good) }, is_completed);
}

/// Guards against a rollback that waits for the metadata store, and a share that rises without it.
#[test]
fn verdict_store_silent() {
    let answer = |request: &Request<'_>| match request.is_target {
        true => request.failing(0.4),
        false => request.good(),
    };
    let outage = Some((seconds(1.0), seconds(14.0)));
    let check = |outcome: &Outcome| {
        assert!(outcome.exposed <= outcome.limit(), "{outcome:?}");
        assert_eq!(outcome.overdue, 0, "{outcome:?}");
        assert_eq!(outcome.state, Some(State::RolledBack), "{outcome:?}");
    };
    each(|| Case { outage, tail: seconds(6.0), ..Case::new(answer) }, check);
    // A good version waits for the store, and is completed soon after its return.
    let check = |outcome: &Outcome| {
        assert!(outcome.exposed <= outcome.limit(), "{outcome:?}");
        assert_eq!(outcome.state, Some(State::Completed), "{outcome:?}");
        assert!(outcome.recorded < seconds(18.0), "{outcome:?}");
    };
    each(|| Case { outage, tail: seconds(6.0), ..Case::new(good) }, check);
}

/// Guards against evidence that is lost with a message.
#[test]
fn verdict_digests_lost() {
    let answer = |request: &Request<'_>| match request.is_target {
        true => request.failing(0.4),
        false => request.good(),
    };
    each(|| Case { loss: 0.5, ..Case::new(answer) }, is_rolled_back);
    each(|| Case { loss: 0.5, ..Case::new(good) }, is_completed);
}

/// Guards against an instance that goes on with a bad version as the others' messages don't reach it:
/// with the metadata store it learns of the rollback there, and without it, it stops by itself.
#[test]
fn verdict_out_of_contact() {
    let answer = |request: &Request<'_>| match request.is_target {
        true => request.failing(0.4),
        false => request.good(),
    };
    each(|| Case { mute: [3, 4].into(), ..Case::new(answer) }, is_rolled_back);
    each(|| Case { mute: [3].into(), cut_off: [3].into(), ..Case::new(answer) }, is_rolled_back);
}
