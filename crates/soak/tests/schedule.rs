//! Schedules of faults and the settings that changes give to routes.

use std::time::Duration;

use acacia_soak::fault::{Kind, Schedule};
use acacia_soak::terms::{self, History};
use acacia_standin::platform::caller::Operation;
use tokio::time::Instant;

const LENGTH: Duration = Duration::from_secs(8);

fn count(schedule: &Schedule, kinds: &[Kind]) -> usize {
    schedule.faults.iter().filter(|fault| kinds.contains(&fault.kind)).count()
}

#[test]
fn short_budgets_every_third_seed_without_failures() {
    for seed in 1..=30 {
        let schedule = Schedule::short_budgets(seed, LENGTH);
        let failures = [Kind::OthersRefuse, Kind::OthersClose, Kind::OthersBreakOff];
        let has_failures = count(&schedule, &failures) > 0;
        assert_eq!(has_failures, !seed.is_multiple_of(3), "seed {seed}");
        assert_eq!(has_failures, !Schedule::has_sound_servers(seed), "seed {seed}");
    }
}

#[test]
fn short_budgets_silences_and_changes() {
    for seed in 1..=30 {
        let schedule = Schedule::short_budgets(seed, LENGTH);
        assert!(count(&schedule, &[Kind::Silence, Kind::ServerSilent]) >= 2, "seed {seed}");
        assert!(count(&schedule, &[Kind::Vary]) >= 5, "seed {seed}");
        assert!(count(&schedule, &[Kind::Reload]) >= 1, "seed {seed}");
        // Instances run on, so that each request ends by itself.
        assert_eq!(count(&schedule, &[Kind::Replace, Kind::Kill, Kind::Pause]), 0, "seed {seed}");
    }
}

#[test]
fn kinds_of_one_scenario_only() {
    for seed in 1..=200 {
        let mixed = Schedule::draw(seed, LENGTH).with_later_kinds(seed, LENGTH);
        let others = [mixed, Schedule::silences(seed, LENGTH)];
        for schedule in &others {
            assert_eq!(count(schedule, &[Kind::Vary, Kind::EntryRemoved]), 0, "seed {seed}");
        }
    }
}

#[test]
fn timeouts_possibly_in_force() {
    let history = History::new(true);
    let now = Instant::now();
    let after = |seconds| now + Duration::from_secs(seconds);
    history.push(after(10), terms::relaxed());
    let timeouts = |sent| history.timeouts(&Operation::Read, sent).unwrap();
    let (first, relaxed) = (Duration::from_millis(600), Duration::from_secs(10));
    assert_eq!(timeouts(after(9)), (first, first));
    assert_eq!(timeouts(after(10)), (first, relaxed));
    assert_eq!(timeouts(after(12)), (first, relaxed));
    assert_eq!(timeouts(after(13)), (relaxed, relaxed));
}

#[test]
fn timeouts_of_unvaried_routes() {
    assert_eq!(History::new(false).timeouts(&Operation::Read, Instant::now()), None);
}
