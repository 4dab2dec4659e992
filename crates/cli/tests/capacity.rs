//! Fits of measured samples and the tables rendered from them.

use acacia_cli::capacity::fit::{self, TWO_YEARS};
use acacia_cli::capacity::sample::{Control, Sample};
use acacia_cli::capacity::table;

fn control(daemons: f64, upstreams: f64, bytes: f64) -> Control {
    Control {
        phase: "work".to_owned(),
        daemons,
        upstreams,
        organisations: TWO_YEARS.organisations,
        changes_per_minute: TWO_YEARS.changes_per_minute,
        claims_per_second: 0.0,
        kv_reads_per_second: 1.0,
        kv_writes_per_second: 1.0,
        kv_claim_writes_per_second: 0.0,
        kv_watch_calls_per_second: 0.0,
        kv_watches_waiting: 0.0,
        messages_per_second_per_daemon: 1.0,
        bytes_per_second_per_daemon: bytes,
        cpu_share_per_daemon: 0.5,
        memory_bytes_per_daemon: 1.0,
        change_spread_ms: 1.0,
        epoch_bytes: Some(20_000.0),
    }
}

#[test]
fn slope_of_line() {
    assert_eq!(fit::least_squares(&[(0.0, 1.0), (2.0, 5.0), (4.0, 9.0)]), 2.0);
}

#[test]
fn slope_equal_x() {
    assert_eq!(fit::least_squares(&[(3.0, 1.0), (3.0, 5.0)]), 0.0);
}

#[test]
fn estimate_follows_slope() {
    let samples =
        [control(40.0, 100.0, 10.0), control(40.0, 1_100.0, 110.0), control(800.0, 100.0, 20.0)];
    let all: Vec<&Control> = samples.iter().collect();
    let estimate = fit::estimate(&all, |c| c.bytes_per_second_per_daemon).unwrap();
    assert_eq!(estimate.from, (800.0, 20.0));
    assert!((estimate.value - (20.0 + 0.1 * 9_900.0)).abs() < 1e-6, "{estimate:?}");
}

#[test]
fn table_marks_exceeded_budget() {
    let samples = [Sample::Control(control(800.0, 10_000.0, 100.0))];
    let page = table::render(&samples);
    let line = |start: &str| page.lines().find(|l| l.contains(start)).unwrap().to_owned();
    assert!(line("control processor time").contains("**no**"), "{page}");
    assert!(line("control messages").contains("| yes |"), "{page}");
}
