//! Checks of instances that are cut off all servers, on made-up observations.

use std::collections::BTreeSet;
use std::time::Duration;

use acacia_soak::culprit::{Role, Service};
use acacia_soak::cut::Span;
use acacia_soak::fault::{Kind, Schedule};
use acacia_soak::oracle::{Evidence, Record, Violation, judge};
use acacia_standin::platform::caller::{Answer, Ending};
use acacia_standin::platform::run::Run;
use tokio::time::Instant;

const LENGTH: Duration = Duration::from_secs(8);
const CUT_OFF: usize = 0;
const OTHER: usize = 1;
const RESTARTED: usize = 2;

/// Observations of a cut that begins at `start` and lasts 10 s.
struct Case {
    start: Instant,
    records: Vec<Record>,
    evidence: Evidence,
}

impl Case {
    fn new() -> Self {
        let start = Instant::now();
        let cut = span(CUT_OFF, start, 10);
        let evidence = Evidence { cuts: vec![cut], ..Evidence::default() };
        Self { start, records: Vec::new(), evidence }
    }

    /// Adds requests that are sent to an instance this many seconds after the begin of the cut.
    fn send(&mut self, instance: usize, seconds: u64, served: usize, failed: usize) {
        let sent = self.start + Duration::from_secs(seconds);
        let served = (0..served).map(|_| Ending::Complete);
        let refused = (0..failed).map(|_| Ending::Refused { status: 503, not_run: true });
        self.records.extend(served.chain(refused).map(|ending| Record {
            id: "read-1".to_owned(),
            organisation: "north".to_owned(),
            is_at_most_once: false,
            is_after_faults: false,
            service: Service::Plain,
            role: Role::Other,
            instance,
            sent,
            leaving: sent,
            deadline: sent,
            latest_timeout: sent,
            ended: sent,
            answer: Answer { ending, first_event: None, attempts: 1 },
        }));
    }

    fn violations(&self) -> BTreeSet<Violation> {
        judge(false, &self.records, &self.evidence)
    }
}

fn span(instance: usize, from: Instant, seconds: u64) -> Span {
    Span { instance, from, until: from + Duration::from_secs(seconds) }
}

#[test]
fn cut_off_instance_serves_less() {
    let mut case = Case::new();
    case.send(CUT_OFF, 4, 0, 13);
    case.send(OTHER, 4, 100, 0);
    let expected =
        Violation::CutOff { served: 0, all: 13, served_by_others: 100, all_of_others: 100 };
    assert_eq!(case.violations(), BTreeSet::from([expected]));
}

#[test]
fn cut_off_instance_fails_few_requests() {
    let mut case = Case::new();
    case.send(CUT_OFF, 4, 0, 12);
    case.send(OTHER, 4, 100, 0);
    assert_eq!(case.violations(), BTreeSet::new());
}

#[test]
fn cut_off_instance_serves_two_thirds() {
    let mut case = Case::new();
    case.send(CUT_OFF, 4, 60, 40);
    case.send(OTHER, 4, 90, 10);
    assert_eq!(case.violations(), BTreeSet::new());
    case.send(CUT_OFF, 4, 0, 1);
    assert_eq!(case.violations().len(), 1);
}

#[test]
fn cut_off_instance_within_settle_time_and_afterwards() {
    let mut case = Case::new();
    case.send(CUT_OFF, 2, 0, 100);
    case.send(CUT_OFF, 10, 0, 100);
    case.send(OTHER, 4, 100, 0);
    assert_eq!(case.violations(), BTreeSet::new());
}

#[test]
fn overlapping_cuts_are_judged_together() {
    let mut case = Case::new();
    case.evidence.cuts.push(span(RESTARTED, case.start + Duration::from_secs(5), 10));
    case.send(CUT_OFF, 9, 0, 7);
    case.send(RESTARTED, 9, 0, 6);
    case.send(OTHER, 9, 100, 0);
    assert_eq!(case.violations().len(), 1);
}

#[test]
fn restarted_instance_is_no_other() {
    let mut case = Case::new();
    case.evidence.restarts.push(span(RESTARTED, case.start + Duration::from_secs(4), 1));
    case.send(CUT_OFF, 6, 0, 100);
    case.send(RESTARTED, 6, 0, 1_000);
    case.send(OTHER, 6, 100, 0);
    assert_eq!(case.violations().len(), 1);
}

#[test]
fn all_instances_cut_off() {
    let mut case = Case::new();
    case.evidence.cuts.push(span(OTHER, case.start, 10));
    case.send(CUT_OFF, 4, 0, 100);
    case.send(OTHER, 4, 100, 0);
    assert_eq!(case.violations(), BTreeSet::new());
}

/// No instance can serve then; what fails at other times still counts.
#[test]
fn cut_off_instance_while_all_are() {
    let mut case = Case::new();
    case.evidence.cuts.push(span(OTHER, case.start + Duration::from_secs(6), 3));
    case.send(CUT_OFF, 4, 100, 0);
    case.send(OTHER, 4, 100, 0);
    case.send(CUT_OFF, 7, 0, 1_000);
    assert_eq!(case.violations(), BTreeSet::new());
    case.send(CUT_OFF, 5, 0, 100);
    assert_eq!(case.violations().len(), 1);
}

#[test]
fn weights_older_than_announced() {
    let announced = Instant::now();
    let outdated = |weights, millis| {
        let run = Run {
            id: "prompt-1".to_owned(),
            weights,
            began: announced + Duration::from_millis(millis),
            sent: Vec::new(),
            silent_until: None,
            end: None,
        };
        let announcements = vec![(announced, 2), (announced + Duration::from_secs(1), 3)];
        let evidence = Evidence { runs: vec![run], announcements, ..Evidence::default() };
        judge(false, &[], &evidence).into_iter().next()
    };
    let violation = |weights, version| {
        let id = "prompt-1".to_owned();
        Some(Violation::Outdated {
            id,
            weights,
            version,
            ms: 9_001 - (version as u128 - 2) * 1_000,
        })
    };
    assert_eq!(outdated(Some(1), 8_000), None);
    assert_eq!(outdated(Some(1), 9_001), violation(1, 2));
    assert_eq!(outdated(Some(2), 9_001), violation(2, 3));
    assert_eq!(outdated(Some(3), 9_001), None);
    assert_eq!(outdated(None, 9_001), None);
}

#[test]
fn cuts_with_announcements_and_restarts() {
    let cuts = [Kind::CutHang, Kind::CutReset, Kind::CutRefuseNew];
    for seed in 1..=30 {
        let faults = Schedule::cuts(seed, LENGTH).faults;
        let find = |kinds: &[Kind]| -> Vec<_> {
            faults.iter().filter(|fault| kinds.contains(&fault.kind)).collect()
        };
        let found = find(&cuts);
        assert!(!found.is_empty(), "seed {seed}");
        for cut in found {
            let seconds = cut.length.as_secs();
            assert!((4..12).contains(&seconds), "seed {seed}");
            let is_soon = |at: Duration| at >= cut.at && at - cut.at < Duration::from_secs(1);
            let announced = find(&[Kind::AnnounceWeights]);
            assert!(announced.iter().any(|fault| is_soon(fault.at)), "seed {seed}");
        }
        assert!(!find(&[Kind::KillOther]).is_empty(), "seed {seed}");
        assert!(!find(&[Kind::ReplaceOther]).is_empty(), "seed {seed}");
    }
}

#[test]
fn cuts_in_one_scenario_only() {
    let kinds =
        [Kind::CutHang, Kind::CutReset, Kind::CutRefuseNew, Kind::ReplaceOther, Kind::KillOther];
    for seed in 1..=200 {
        let mixed = Schedule::draw(seed, LENGTH).with_later_kinds(seed, LENGTH);
        assert!(mixed.faults.iter().all(|fault| !kinds.contains(&fault.kind)), "seed {seed}");
    }
}
