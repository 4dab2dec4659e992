//! Recorded traces replayed and compared with expected outcomes.
//!
//! A trace consists of JSON lines: the seed and the expected outcome, then one operation per line.

mod dispatch_harness;

use std::path::Path;

use dispatch_harness::Simulation;
use dispatch_harness::op::Op;
use dispatch_harness::oracle::Totals;
use serde::Deserialize;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Header {
    seed: u64,
    outcome: Totals,
}

fn replay(name: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/traces/dispatch").join(name);
    let text = std::fs::read_to_string(path).expect("the trace exists");
    let mut lines = text.lines();
    let header: Header =
        serde_json::from_str(lines.next().expect("a header")).expect("a valid header");
    let ops: Vec<Op> =
        lines.map(|line| serde_json::from_str(line).expect("a valid operation")).collect();
    let mut simulation = Simulation::fault_free(header.seed);
    simulation.run(&ops).expect("invariants hold");
    assert_eq!(simulation.oracle.totals, header.outcome);
}

#[test]
fn stream_continued() {
    replay("stream_continued.jsonl");
}

#[test]
fn stream_resumed() {
    replay("stream_resumed.jsonl");
}

#[test]
fn version_swapped() {
    replay("version_swapped.jsonl");
}

#[test]
fn upstreams_closed() {
    replay("upstreams_closed.jsonl");
}

#[test]
fn call_repeated() {
    replay("call_repeated.jsonl");
}
