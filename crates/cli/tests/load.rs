//! Generated workloads and statistics of reports.

use std::collections::BTreeMap;
use std::time::Duration;

use acacia_cli::load::record::{Ending, Kind, Record};
use acacia_cli::load::report::{self, Phase};
use acacia_cli::load::workload::{Shape, Step, TOKEN_BYTES, User, Workload};

fn record(kind: Kind, at: u64, latency_ms: u64, ending: Ending) -> Record {
    Record {
        kind,
        at: Duration::from_secs(at),
        ending,
        first_token: Some(Duration::from_millis(latency_ms)),
        prompt_tokens: 10,
        floor_tokens: 5,
        sends: 1,
    }
}

#[test]
fn draw_same_seed() {
    let shape = Shape::of(User::Actas);
    assert_eq!(Workload::draw(&shape, 7), Workload::draw(&shape, 7));
    assert_ne!(Workload::draw(&shape, 7), Workload::draw(&shape, 8));
}

#[test]
fn draw_ordered() {
    let workload = Workload::draw(&Shape::of(User::Ferreira), 1);
    assert!(workload.items.is_sorted_by_key(|item| item.at));
    assert!(workload.items.iter().all(|item| item.at <= workload.length));
}

#[test]
fn draw_turns_of_a_session_in_order() {
    let shape = Shape::small();
    let workload = Workload::draw(&shape, 3);
    let mut turns: BTreeMap<usize, Vec<bool>> = BTreeMap::new();
    for item in &workload.items {
        if let Step::Turn { session, returning, text, .. } = &item.step {
            assert_eq!(text.len() % TOKEN_BYTES, 0);
            turns.entry(*session).or_default().push(*returning);
        }
    }
    assert_eq!(turns.len(), shape.sessions);
    for returning in turns.values() {
        assert_eq!(returning.len(), shape.turns);
        assert!(!returning[0] && returning[1..].iter().all(|r| *r));
    }
}

#[test]
fn draw_repeats_after_first() {
    let workload = Workload::draw(&Shape::small(), 5);
    let mut seen = Vec::new();
    let mut repeats = 0;
    for item in &workload.items {
        if let Step::Booking { number, repeat } = item.step {
            assert_eq!(repeat, seen.contains(&number));
            seen.push(number);
            repeats += usize::from(repeat);
        }
    }
    assert_eq!(repeats, 20);
}

#[test]
fn counts_by_ending() {
    let refused = Ending::Refused { code: "queue_full".into(), verdict: "not_run".into() };
    let records = [
        record(Kind::Short, 1, 5, Ending::Complete),
        record(Kind::Short, 1, 5, refused),
        record(Kind::Return, 1, 5, Ending::Wrong("text".into())),
    ];
    let counts = report::counts(&records);
    assert_eq!((counts[&Kind::Short].sent, counts[&Kind::Short].complete), (2, 1));
    assert_eq!((counts[&Kind::Short].refused, counts[&Kind::Return].wrong), (1, 1));
    assert_eq!(report::errors(&records).values().sum::<u64>(), 2);
}

#[test]
fn first_token_scaled() {
    let records = [record(Kind::Return, 1, 10, Ending::Complete)];
    let first = report::first_token(&records, 20.0);
    let p50 = first[&Kind::Return].p50_ms;
    assert!((199.0..=201.0).contains(&p50), "{p50}");
}

#[test]
fn phases_split() {
    let records = [
        record(Kind::Return, 1, 10, Ending::Complete),
        record(Kind::Return, 5, 40, Ending::Complete),
    ];
    let phase = |name: &str, from, to| Phase {
        name: name.to_owned(),
        from: Duration::from_secs(from),
        to: Duration::from_secs(to),
    };
    let split = report::phases(&records, &[phase("steady", 0, 4), phase("out", 4, 9)], 1.0);
    assert_eq!((split["steady"].samples, split["out"].samples), (1, 1));
    assert!(split["steady"].p95_ms < split["out"].p95_ms);
}
