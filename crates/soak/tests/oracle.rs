//! Each promise bites: evidence that breaks it is found, and only that.

use std::collections::BTreeSet;

use acacia_soak::oracle::{Broken, Evidence, Record, judge};
use acacia_standin::platform::caller::{Answer, Ending};
use acacia_standin::platform::server::Execution;

fn record(end: Ending) -> Record {
    let answer = Answer { ending: end, first_event: None, attempts: 1 };
    Record {
        id: "charge-1".to_owned(),
        organisation: "north".to_owned(),
        is_once: true,
        is_calm: false,
        answer,
    }
}

fn seen(id: &str) -> Execution {
    Execution { id: id.to_owned(), organisation: "north".to_owned(), ..Execution::default() }
}

fn broken(records: &[Record], seen: Vec<Execution>) -> BTreeSet<Broken> {
    judge(false, records, &Evidence { seen, wrong_parts: 0 })
}

#[test]
fn judge_finds_nothing_where_all_is_well() {
    assert!(broken(&[record(Ending::Complete)], vec![seen("charge-1")]).is_empty());
    let refused = Ending::Refused { status: 503, not_run: true };
    assert!(broken(&[record(refused)], Vec::new()).is_empty());
    assert!(
        broken(&[record(Ending::Broken("reset".to_owned()))], vec![seen("charge-1")]).is_empty()
    );
}

#[test]
fn judge_finds_second_run() {
    let runs = vec![seen("charge-1"), seen("charge-1")];
    let twice = BTreeSet::from([Broken::Twice("charge-1".to_owned(), 2)]);
    assert_eq!(broken(&[record(Ending::Complete)], runs.clone()), twice);
    let repeatable = Record { is_once: false, ..record(Ending::Complete) };
    assert!(broken(&[repeatable], runs).is_empty());
}

#[test]
fn judge_finds_refused_request_that_ran() {
    let refused = record(Ending::Refused { status: 503, not_run: true });
    let expected = BTreeSet::from([Broken::Refused("charge-1".to_owned())]);
    assert_eq!(broken(&[refused], vec![seen("charge-1")]), expected);
    let unsure = record(Ending::Refused { status: 502, not_run: false });
    assert!(broken(&[unsure], vec![seen("charge-1")]).is_empty());
}

#[test]
fn judge_finds_mixed_answers_and_organisations() {
    let mixed = record(Ending::Wrong("the event 3".to_owned()));
    assert_eq!(broken(&[mixed], Vec::new()).len(), 1);
    let whole = [record(Ending::Complete)];
    let other = Execution { organisation: "south".to_owned(), ..seen("charge-1") };
    assert_eq!(broken(&whole, vec![other]).len(), 1);
    let key = Execution { key: "Bearer key-north".to_owned(), ..seen("charge-1") };
    assert_eq!(broken(&whole, vec![key]).len(), 1);
    let unasked = BTreeSet::from([Broken::Unasked("charge-2".to_owned())]);
    assert_eq!(broken(&whole, vec![seen("charge-2")]), unasked);
}

#[test]
fn judge_finds_wrong_parts() {
    let evidence = Evidence { seen: Vec::new(), wrong_parts: 3 };
    assert_eq!(judge(false, &[], &evidence), BTreeSet::from([Broken::Parts(3)]));
}

#[test]
fn judge_finds_losses_by_planned_changes_and_in_the_calm() {
    let lost = record(Ending::Broken("reset".to_owned()));
    assert_eq!(judge(true, &[lost], &Evidence::default()).len(), 1);
    let refused = Ending::Refused { status: 503, not_run: true };
    let calm = Record { is_calm: true, ..record(refused) };
    assert_eq!(judge(false, &[calm], &Evidence::default()).len(), 1);
}
