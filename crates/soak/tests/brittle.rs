//! Schedules and checks of brittle servers.

use std::collections::BTreeSet;
use std::time::Duration;

use acacia_soak::culprit::{Role, Service};
use acacia_soak::cut::Span;
use acacia_soak::fault::{Kind, Schedule};
use acacia_soak::oracle::{Evidence, Record, Violation, judge};
use acacia_standin::platform::brittle::{Period, Refusal, WARNING};
use acacia_standin::platform::caller::{Answer, Ending};
use tokio::time::Instant;

const LENGTH: Duration = Duration::from_secs(8);
/// Refusals in a second that each server bears.
const TOLERANCE: usize = 2;

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// Requests sent to each of two instances, which were refused.
fn records(start: Instant) -> Vec<Record> {
    let ending = Ending::Refused { status: 503, not_run: true };
    let answer = Answer { ending, first_event: None, attempts: 1 };
    let record = |instance: usize| Record {
        id: format!("read-{instance}"),
        organisation: "north".to_owned(),
        is_at_most_once: false,
        is_after_faults: false,
        service: Service::Plain,
        role: Role::Other,
        instance,
        sent: start,
        leaving: start + seconds(8.0),
        deadline: start + seconds(8.0),
        latest_timeout: start + seconds(8.0),
        ended: start,
        answer: answer.clone(),
    };
    (0..2).map(record).collect()
}

/// A server that refused a request of each of these instances, and fell over `falls` times.
fn period(start: Instant, instances: &[usize], falls: usize) -> Period {
    let (since, at) = (start, start + WARNING + seconds(5.0));
    let refusals = instances.iter().map(|instance| Refusal { at, id: format!("read-{instance}") });
    let mut period = Period::new(TOLERANCE, 0);
    (period.since, period.refusals, period.falls) = (since, refusals.collect(), vec![at; falls]);
    period
}

fn violations(time: Vec<Period>, restarts: Vec<Span>, start: Instant) -> BTreeSet<Violation> {
    let evidence = Evidence { brittle: vec![time], restarts, ..Evidence::default() };
    judge(false, &records(start), &evidence)
}

#[test]
fn judge_falls_of_all_servers_together() {
    let start = Instant::now();
    let time = |falls: &[usize]| falls.iter().map(|falls| period(start, &[0, 1], *falls)).collect();
    assert!(violations(time(&[1, 1, 0, 0]), Vec::new(), start).is_empty());
    let fell_over = Violation::FellOver { falls: 3, servers: 4 };
    assert_eq!(violations(time(&[1, 2, 0, 0]), Vec::new(), start), BTreeSet::from([fell_over]));
    let fell_over = Violation::FellOver { falls: 4, servers: 10 };
    let falls = [1, 2, 1, 0, 0, 0, 0, 0, 0, 0];
    assert_eq!(violations(time(&falls), Vec::new(), start), BTreeSet::from([fell_over]));
    let falls = [1, 1, 1, 0, 0, 0, 0, 0, 0, 0];
    assert!(violations(time(&falls), Vec::new(), start).is_empty());
}

#[test]
fn judge_falls_after_requests_of_restarting_instance() {
    let start = Instant::now();
    let time = |instances: &[usize]| vec![period(start, instances, 3)];
    let restart = |until: f64| Span { instance: 0, from: start, until: start + seconds(until) };
    // The refusals are 8 s after the start.
    assert!(violations(time(&[0, 0, 1]), vec![restart(6.0)], start).is_empty());
    assert!(violations(time(&[0, 1]), vec![restart(6.0)], start).is_empty());
    let fell_over = BTreeSet::from([Violation::FellOver { falls: 3, servers: 1 }]);
    assert_eq!(violations(time(&[0, 1, 1]), vec![restart(6.0)], start), fell_over);
    assert_eq!(violations(time(&[0, 0, 1]), vec![restart(4.0)], start), fell_over);
}

#[test]
fn brittle_both_services_beside_restarts() {
    for seed in 1..=30 {
        let schedule = Schedule::brittle(seed, LENGTH);
        let of = |kind: Kind| schedule.faults.iter().filter(move |fault| fault.kind == kind);
        let services: BTreeSet<usize> =
            of(Kind::ServersBrittle).map(|fault| fault.target % 2).collect();
        assert_eq!(services, BTreeSet::from([0, 1]), "seed {seed}");
        assert!(of(Kind::ServersBrittle).all(|fault| fault.length > WARNING), "seed {seed}");
        let restarts = of(Kind::ReplaceOther).chain(of(Kind::KillOther)).count();
        assert!(restarts > 0, "seed {seed}");
        for service in 0..2 {
            let mut times: Vec<_> = of(Kind::ServersBrittle)
                .filter(|fault| fault.target % 2 == service)
                .map(|fault| (fault.at, fault.at + fault.length))
                .collect();
            times.sort_unstable();
            let is_apart = times.windows(2).all(|pair| pair[0].1 < pair[1].0);
            assert!(is_apart, "seed {seed}: {times:?}");
        }
    }
}
