//! Recorded traces replayed against stated outcomes.
//!
//! A trace is JSON lines: the seed and the stated outcome, then one operation a line.

mod dispatch_world;

use std::path::Path;

use dispatch_world::World;
use dispatch_world::op::Op;
use dispatch_world::oracle::Tally;
use serde::Deserialize;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Head {
    seed: u64,
    outcome: Tally,
}

fn replay(name: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/traces/dispatch").join(name);
    let text = std::fs::read_to_string(path).expect("the trace is there");
    let mut lines = text.lines();
    let head: Head = serde_json::from_str(lines.next().expect("a head")).expect("a sound head");
    let ops: Vec<Op> =
        lines.map(|line| serde_json::from_str(line).expect("a sound operation")).collect();
    let mut world = World::calm(head.seed);
    world.play(&ops).expect("promises hold");
    assert_eq!(world.oracle.tally, head.outcome);
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
