//! The oracle reports each violated guarantee, and only that.

use std::collections::BTreeSet;
use std::time::Duration;

use acacia_soak::oracle::{Evidence, Record, Violation, judge};
use acacia_standin::platform::caller::{Answer, Ending};
use acacia_standin::platform::crash;
use acacia_standin::platform::run::{End, Run};
use acacia_standin::platform::server::Execution;
use tokio::time::Instant;

fn record(end: Ending) -> Record {
    let answer = Answer { ending: end, first_event: None, attempts: 1 };
    let ended = Instant::now();
    Record {
        id: "charge-1".to_owned(),
        organisation: "north".to_owned(),
        is_at_most_once: true,
        is_after_faults: false,
        is_sound_prompt: false,
        sent: ended,
        deadline: ended + Duration::from_secs(8),
        ended,
        answer,
    }
}

fn seen(id: &str) -> Execution {
    Execution { id: id.to_owned(), organisation: "north".to_owned(), ..Execution::default() }
}

fn violations(records: &[Record], seen: Vec<Execution>) -> BTreeSet<Violation> {
    judge(false, records, &Evidence { seen, ..Evidence::default() })
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
    let evidence = Evidence { wrong_parts: 3, ..Evidence::default() };
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

/// A run that was cancelled in a silence of a second, 500 ms before the request ended.
fn silenced(record: &Record) -> Run {
    let cancelled = record.ended - Duration::from_millis(500);
    Run {
        id: record.id.clone(),
        began: cancelled - Duration::from_secs(1),
        sent: vec![cancelled - Duration::from_millis(600)],
        silent_until: Some(cancelled + Duration::from_millis(400)),
        end: Some((cancelled, End::Cancelled)),
    }
}

fn is_abandoned(record: &Record, runs: Vec<Run>) -> bool {
    let evidence = Evidence { runs, ..Evidence::default() };
    let violations = judge(false, std::slice::from_ref(record), &evidence);
    violations.iter().any(|violation| matches!(violation, Violation::Abandoned(..)))
}

#[test]
fn judge_silence_cancelled() {
    for ending in [
        Ending::Broken("closed".to_owned()),
        Ending::Refused { status: 502, not_run: false },
        Ending::Refused { status: 504, not_run: false },
    ] {
        let failed = record(ending);
        assert!(is_abandoned(&failed, vec![silenced(&failed)]));
    }
    let whole = record(Ending::Complete);
    assert!(!is_abandoned(&whole, vec![silenced(&whole)]));
}

#[test]
fn judge_silence_only_that_run() {
    let failed = record(Ending::Broken("closed".to_owned()));
    let run = silenced(&failed);
    let broken_off = Run { end: Some((failed.ended, End::BrokenOff)), ..run.clone() };
    let not_silent = Run { silent_until: None, ..run.clone() };
    let other = Run { id: "charge-2".to_owned(), ..run };
    for run in [broken_off, not_silent, other] {
        assert!(!is_abandoned(&failed, vec![run]));
    }
}

#[test]
fn judge_silence_until_deadline() {
    let failed = record(Ending::Broken("closed".to_owned()));
    let run = silenced(&failed);
    let expired = Record { deadline: failed.ended, ..failed.clone() };
    assert!(!is_abandoned(&expired, vec![run.clone()]));
    let endless = Run { silent_until: Some(failed.deadline), ..run };
    assert!(!is_abandoned(&failed, vec![endless]));
}

/// A run that has taken the place of a silent one may break off; one that takes it after the cancel
/// excuses nothing.
#[test]
fn judge_silence_replaced() {
    let failed = record(Ending::Broken("closed".to_owned()));
    let run = silenced(&failed);
    let cancelled = failed.ended - Duration::from_millis(500);
    let replacement = |sent| Run {
        sent: vec![sent],
        silent_until: None,
        end: Some((failed.ended, End::BrokenOff)),
        ..run.clone()
    };
    let before = replacement(cancelled - Duration::from_millis(1));
    assert!(!is_abandoned(&failed, vec![run.clone(), before]));
    let after = replacement(cancelled + Duration::from_millis(1));
    assert!(is_abandoned(&failed, vec![run.clone(), after]));
    let earlier = replacement(cancelled - Duration::from_millis(700));
    assert!(is_abandoned(&failed, vec![earlier, run]));
}

/// Five crashes, a second apart, and arrivals in seconds after the fifth one.
fn crashes(start: Instant, arrivals: &[u64]) -> crash::Record {
    let at = |seconds| start + Duration::from_secs(seconds);
    let crashes = (0..5).map(at).collect();
    crash::Record { arrivals: arrivals.iter().map(|after| at(4 + after)).collect(), crashes }
}

#[test]
fn judge_crashes_held_back() {
    let start = Instant::now();
    let until = start + Duration::from_secs(60);
    let judged = |record| {
        judge(false, &[], &Evidence { crashes: Some((record, until)), ..Evidence::default() })
    };
    assert!(judged(crashes(start, &[0, 1, 2, 2, 3, 4, 5, 6])).is_empty());
    let expected = BTreeSet::from([Violation::CrashesOn(4, 5)]);
    assert_eq!(judged(crashes(start, &[1, 4, 5, 6, 7])), expected);
    let mut fewer = crashes(start, &[4, 5, 6, 7]);
    fewer.crashes.pop();
    assert!(judged(fewer).is_empty());
}

#[test]
fn judge_crashes_sound_prompts_served() {
    let start = Instant::now() + Duration::from_secs(60);
    let until = start + Duration::from_secs(60);
    let prompts = |count: u64, served: u64, from: Instant| {
        (0..count).map(move |number| {
            let sent = from + Duration::from_millis(number);
            let refused = Ending::Refused { status: 503, not_run: true };
            let ending = if number < served { Ending::Complete } else { refused };
            Record { is_sound_prompt: true, sent, ended: sent, ..record(ending) }
        })
    };
    let starved = |served, sent_after| {
        let before = prompts(20, 20, start - Duration::from_secs(5));
        let after = prompts(20, served, start + Duration::from_secs(sent_after));
        let records: Vec<Record> = before.chain(after).collect();
        let crashes = Some((crashes(start, &[]), until));
        judge(false, &records, &Evidence { crashes, ..Evidence::default() })
    };
    assert!(starved(10, 11).is_empty());
    assert_eq!(starved(9, 11), BTreeSet::from([Violation::Starved(9, 20, 20, 20)]));
    // Sent too early, or after the last request with the part.
    assert!(starved(0, 9).is_empty());
    assert!(starved(0, 61).is_empty());
}
