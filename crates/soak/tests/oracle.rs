//! The oracle reports each violated guarantee, and only that.

use std::collections::BTreeSet;

use acacia_soak::oracle::{Evidence, Record, Violation, judge};
use acacia_standin::platform::caller::{Answer, Ending};
use acacia_standin::platform::server::Execution;

fn record(end: Ending) -> Record {
    let answer = Answer { ending: end, first_event: None, attempts: 1 };
    Record {
        id: "charge-1".to_owned(),
        organisation: "north".to_owned(),
        is_at_most_once: true,
        is_after_faults: false,
        answer,
    }
}

fn seen(id: &str) -> Execution {
    Execution { id: id.to_owned(), organisation: "north".to_owned(), ..Execution::default() }
}

fn violations(records: &[Record], seen: Vec<Execution>) -> BTreeSet<Violation> {
    judge(false, records, &Evidence { seen, wrong_parts: 0 })
}

#[test]
fn judge_no_violation() {
    assert!(violations(&[record(Ending::Complete)], vec![seen("charge-1")]).is_empty());
    let refused = Ending::Refused { status: 503, not_run: true };
    assert!(violations(&[record(refused)], Vec::new()).is_empty());
    assert!(
        violations(&[record(Ending::Broken("reset".to_owned()))], vec![seen("charge-1")])
            .is_empty()
    );
}

#[test]
fn judge_second_run() {
    let runs = vec![seen("charge-1"), seen("charge-1")];
    let twice = BTreeSet::from([Violation::Repeated("charge-1".to_owned(), 2)]);
    assert_eq!(violations(&[record(Ending::Complete)], runs.clone()), twice);
    let repeatable = Record { is_at_most_once: false, ..record(Ending::Complete) };
    assert!(violations(&[repeatable], runs).is_empty());
}

#[test]
fn judge_refused_request_ran() {
    let refused = record(Ending::Refused { status: 503, not_run: true });
    let expected = BTreeSet::from([Violation::RefusedButRan("charge-1".to_owned())]);
    assert_eq!(violations(&[refused], vec![seen("charge-1")]), expected);
    let undecided = record(Ending::Refused { status: 502, not_run: false });
    assert!(violations(&[undecided], vec![seen("charge-1")]).is_empty());
}

#[test]
fn judge_wrong_answer_and_organisation() {
    let mixed = record(Ending::Wrong("the event 3".to_owned()));
    assert_eq!(violations(&[mixed], Vec::new()).len(), 1);
    let whole = [record(Ending::Complete)];
    let other = Execution { organisation: "south".to_owned(), ..seen("charge-1") };
    assert_eq!(violations(&whole, vec![other]).len(), 1);
    let key = Execution { key: "Bearer key-north".to_owned(), ..seen("charge-1") };
    assert_eq!(violations(&whole, vec![key]).len(), 1);
    let unasked = BTreeSet::from([Violation::Unsent("charge-2".to_owned())]);
    assert_eq!(violations(&whole, vec![seen("charge-2")]), unasked);
}

#[test]
fn judge_wrong_parts() {
    let evidence = Evidence { seen: Vec::new(), wrong_parts: 3 };
    assert_eq!(judge(false, &[], &evidence), BTreeSet::from([Violation::WrongParts(3)]));
}

#[test]
fn judge_lost_and_unrecovered() {
    let lost = record(Ending::Broken("reset".to_owned()));
    assert_eq!(judge(true, &[lost], &Evidence::default()).len(), 1);
    let refused = Ending::Refused { status: 503, not_run: true };
    let unserved = Record { is_after_faults: true, ..record(refused) };
    assert_eq!(judge(false, &[unserved], &Evidence::default()).len(), 1);
}
