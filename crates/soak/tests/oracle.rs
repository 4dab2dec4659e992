//! The oracle reports each violated guarantee, and only that.

use std::collections::BTreeSet;
use std::time::Duration;

use acacia_soak::culprit::{Culprit, Role, Service};
use acacia_soak::oracle::{Crashes, Evidence, Group, Record, Violation, judge};
use acacia_standin::platform::caller::{Answer, Ending};
use acacia_standin::platform::crash;
use acacia_standin::platform::limit::Limit;
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
        service: Service::Plain,
        role: Role::Other,
        instance: 0,
        sent: ended,
        leaving: ended + Duration::from_secs(8),
        deadline: ended + Duration::from_secs(8),
        latest_timeout: ended + Duration::from_secs(8),
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

/// A server gets 11 requests in 4 s at a limit of one a second; ten more before all instances keep
/// to it are no violation.
#[test]
fn judge_limit() {
    let since = Instant::now();
    let at = |seconds: f64| since + Duration::from_secs_f64(seconds);
    let early = (0..10).map(|number| at(f64::from(number) * 0.2));
    let late = |count: u32| (0..count).map(move |number| at(4.0 + f64::from(number) * 0.3));
    let violations = |count| {
        let arrivals = early.clone().chain(late(count)).collect();
        let limit = Limit { rate: 1.0, since, until: None, arrivals };
        judge(false, &[], &Evidence { limits: vec![limit], ..Evidence::default() })
    };
    assert!(violations(11).is_empty());
    let exceeded = Violation::Exceeded { rate: "1".to_owned(), peak: 12 };
    assert_eq!(violations(12), BTreeSet::from([exceeded]));
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
        weights: None,
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

/// A request whose answer has begun.
fn begun(end: Ending) -> Record {
    let mut record = record(end);
    record.answer.first_event = Some(Duration::ZERO);
    record
}

fn unbegun(mut record: Record) -> Record {
    record.answer.first_event = None;
    record
}

/// Whether a request is reported as cut if instances run on.
fn is_cut(record: &Record, runs: Vec<Run>, has_sound_servers: bool) -> bool {
    let evidence =
        Evidence { runs, has_steady_instances: true, has_sound_servers, ..Evidence::default() };
    let violations = judge(false, std::slice::from_ref(record), &evidence);
    violations.iter().any(|violation| matches!(violation, Violation::Cut(..)))
}

#[test]
fn judge_cut_no_answer() {
    for sound in [true, false] {
        let lost = record(Ending::Broken("closed".to_owned()));
        assert!(is_cut(&lost, Vec::new(), sound));
        for ending in [
            Ending::Complete,
            Ending::Refused { status: 502, not_run: false },
            Ending::Refused { status: 503, not_run: true },
            Ending::Refused { status: 504, not_run: false },
        ] {
            assert!(!is_cut(&record(ending), Vec::new(), sound));
        }
    }
}

#[test]
fn judge_cut_until_deadline() {
    let lost = begun(Ending::Broken("closed".to_owned()));
    let left = |ms| lost.ended + Duration::from_millis(ms);
    let leaving = |ms| Record { leaving: left(ms), ..lost.clone() };
    assert!(!is_cut(&leaving(0), Vec::new(), true));
    assert!(is_cut(&leaving(5), Vec::new(), true));
    let timeout = |ms| Record { deadline: left(ms), ..lost.clone() };
    assert!(!is_cut(&timeout(0), Vec::new(), true));
    assert!(is_cut(&timeout(5), Vec::new(), true));
    // An answer that has not begun is a failure at the route's timeout.
    assert!(is_cut(&unbegun(timeout(0)), Vec::new(), true));
}

#[test]
fn judge_held_after_timeout() {
    let lost = record(Ending::Broken("no answer before the deadline".to_owned()));
    let is_held = |ms| {
        let latest_timeout = lost.ended - Duration::from_millis(ms);
        let record = Record { leaving: lost.ended, latest_timeout, ..lost.clone() };
        let evidence = Evidence { has_steady_instances: true, ..Evidence::default() };
        let violations = judge(false, &[record], &evidence);
        violations.iter().any(|violation| matches!(violation, Violation::Held(..)))
    };
    assert!(is_held(501));
    assert!(!is_held(500));
}

#[test]
fn judge_cut_only_with_steady_instances() {
    let lost = record(Ending::Broken("closed".to_owned()));
    assert!(judge(false, &[lost], &Evidence::default()).is_empty());
}

/// Only the server of the last run excuses a cut, by breaking it off.
#[test]
fn judge_cut_server_broke_off() {
    let cut = begun(Ending::Broken("closed".to_owned()));
    let at = cut.ended - Duration::from_millis(100);
    let working = Run {
        id: cut.id.clone(),
        weights: None,
        began: at - Duration::from_secs(1),
        sent: vec![at - Duration::from_millis(600)],
        silent_until: None,
        end: Some((at, End::Cancelled)),
    };
    let broken_off = Run { end: Some((at, End::BrokenOff)), ..working.clone() };
    let unfinished = Run { end: None, ..working.clone() };
    assert!(!is_cut(&cut, vec![broken_off.clone()], false));
    assert!(is_cut(&cut, vec![broken_off.clone()], true));
    assert!(is_cut(&unbegun(cut.clone()), vec![broken_off.clone()], false));
    for run in [working, unfinished] {
        assert!(is_cut(&cut, vec![run.clone()], false));
        assert!(is_cut(&cut, vec![run, broken_off.clone()], false));
    }
}

/// A run that was cancelled when another one had taken its place could not have gone on.
#[test]
fn judge_cut_replaced_run() {
    let cut = begun(Ending::Broken("closed".to_owned()));
    let at = cut.ended - Duration::from_millis(100);
    let replaced = Run {
        id: cut.id.clone(),
        weights: None,
        began: at - Duration::from_secs(1),
        sent: vec![at - Duration::from_millis(600)],
        silent_until: None,
        end: Some((at, End::Cancelled)),
    };
    let replacement =
        |sent| Run { sent: vec![sent], end: Some((cut.ended, End::BrokenOff)), ..replaced.clone() };
    let before = replacement(at - Duration::from_millis(1));
    assert!(!is_cut(&cut, vec![replaced.clone(), before], false));
    let after = replacement(at + Duration::from_millis(1));
    assert!(is_cut(&cut, vec![replaced, after], false));
}

/// Crashes a second apart, the last of them 60 s after `start`, and arrivals in seconds after it.
fn crashes(culprit: Culprit, start: Instant, count: u64, arrivals: &[u64]) -> Crashes {
    let last = start + Duration::from_secs(60);
    let crashes = (0..count).rev().map(|before| last - Duration::from_secs(before)).collect();
    let arrivals = arrivals.iter().map(|after| last + Duration::from_secs(*after)).collect();
    let until = last + Duration::from_secs(56);
    Crashes { culprit, record: crash::Record { arrivals, crashes }, until }
}

fn judge_culprits(records: &[Record], crashes: Vec<Crashes>) -> BTreeSet<Violation> {
    judge(false, records, &Evidence { crashes, ..Evidence::default() })
}

#[test]
fn judge_crashes_held() {
    let start = Instant::now();
    let culprits =
        [(Culprit::Part, 5), (Culprit::Read, 3), (Culprit::Charge, 3), (Culprit::Prompt, 3)];
    for (culprit, last) in culprits {
        let judged = |count, arrivals: &[u64]| {
            judge_culprits(&[], vec![crashes(culprit, start, count, arrivals)])
        };
        let last_crash = last as u64;
        assert!(judged(last_crash, &[0, 1, 2, 2, 3, 4, 5, 6]).is_empty());
        let expected = Violation::CrashesOn { culprit, later: 4, last, crashes: last };
        assert_eq!(judged(last_crash, &[1, 4, 5, 6, 7]), BTreeSet::from([expected]));
        // Later crashes don't extend the time.
        let expected = Violation::CrashesOn { culprit, later: 4, last, crashes: last + 4 };
        assert_eq!(judged(last_crash + 4, &[0, 1, 2, 3]), BTreeSet::from([expected]));
        assert!(judged(last_crash - 1, &[4, 5, 6, 7]).is_empty());
        assert_eq!(judged(0, &[0]), BTreeSet::from([Violation::NotCrashed(culprit)]));
    }
}

/// Sound requests in the milliseconds after `from`, the first of which are served.
fn sound(service: Service, count: u64, served: u64, from: Instant) -> Vec<Record> {
    let requests = (0..count).map(|number| {
        let sent = from + Duration::from_millis(number);
        let refused = Ending::Refused { status: 503, not_run: true };
        let ending = if number < served { Ending::Complete } else { refused };
        Record { service, sent, ended: sent, ..record(ending) }
    });
    requests.collect()
}

#[test]
fn judge_crashes_sound_requests_served() {
    let start = Instant::now();
    let culprits = [
        (Culprit::Part, Service::Engine, Service::Plain),
        (Culprit::Read, Service::Plain, Service::Engine),
        (Culprit::Charge, Service::Plain, Service::Engine),
        (Culprit::Prompt, Service::Engine, Service::Plain),
    ];
    for (culprit, service, other) in culprits {
        let starved = |service, served, sent_after: u64| {
            let mut records = sound(service, 20, 20, start);
            let after = start + Duration::from_secs(60 + sent_after);
            records.extend(sound(service, 20, served, after));
            judge_culprits(&records, vec![crashes(culprit, start, 5, &[])])
        };
        assert!(starved(service, 10, 7).is_empty());
        let group = Group::Service(service);
        let expected =
            Violation::Starved { group, after: 9, all_after: 20, before: 20, all_before: 20 };
        assert_eq!(starved(service, 9, 7), BTreeSet::from([expected]));
        // Sent too early, after the last culprit, or to another service.
        let early = if culprit == Culprit::Part { 5 } else { 3 };
        assert!(starved(service, 0, early).is_empty());
        assert!(starved(service, 0, 57).is_empty());
        assert!(starved(other, 0, 7).is_empty());
    }
}

#[test]
fn judge_crashes_resembling_requests_served() {
    let start = Instant::now();
    let after = start + Duration::from_secs(67);
    let culprit = Culprit::Read;
    let starved = |served, resembled| {
        let mut records = sound(Service::Plain, 20, 20, start);
        records.extend(sound(Service::Plain, 100, 100, after));
        let role = Role::Resembling(resembled);
        let resembling = sound(Service::Plain, 20, served, after);
        records.extend(resembling.into_iter().map(|record| Record { role, ..record }));
        judge_culprits(&records, vec![crashes(culprit, start, 3, &[])])
    };
    assert!(starved(10, culprit).is_empty());
    let group = Group::Resembling(culprit);
    let expected =
        Violation::Starved { group, after: 9, all_after: 20, before: 20, all_before: 20 };
    assert_eq!(starved(9, culprit), BTreeSet::from([expected]));
    assert!(starved(9, Culprit::Charge).is_empty());
}

/// Culprits themselves need not be served, and those of one service are held separately.
#[test]
fn judge_crashes_two_culprits() {
    let start = Instant::now();
    let role = Role::Culprit(Culprit::Charge);
    let refused = sound(Service::Plain, 40, 0, start + Duration::from_secs(67));
    let mut records: Vec<Record> =
        refused.into_iter().map(|record| Record { role, ..record }).collect();
    records.extend(sound(Service::Plain, 20, 20, start));
    records.extend(sound(Service::Plain, 20, 20, start + Duration::from_secs(67)));
    let held = crashes(Culprit::Read, start, 3, &[0, 1]);
    let late = crashes(Culprit::Charge, start, 3, &[4, 5, 6, 7]);
    let expected = Violation::CrashesOn { culprit: Culprit::Charge, later: 4, last: 3, crashes: 3 };
    assert_eq!(judge_culprits(&records, vec![held, late]), BTreeSet::from([expected]));
}
