//! Replays recorded traces, one JSON value per line, and checks the outcomes stated in them.

mod fleet;

use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

use acacia_catalog::id::{Name, Revision};
use acacia_policy::snapshot::Warmth;
use fleet::Simulation;
use fleet::op::Op;
use serde::Deserialize;

/// One line of a trace.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
enum Line {
    /// A fleet starts and publishes its first configuration.
    Fleet { seed: u64, daemons: u32 },
    /// An operation.
    Op(Op),
    /// The expected state at this line.
    Outcome(Outcome),
}

/// An expected state; absent fields are not checked.
#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Outcome {
    /// The live daemons, which every one of them must know as the members.
    members: Option<Vec<Name>>,
    /// Revision in force at every daemon.
    revision: Option<Revision>,
    /// Warmth of upstreams at every daemon.
    warmth: BTreeMap<Name, Warmth>,
    /// Claims granted so far.
    claims: Option<u64>,
    /// Minimum requests started under permits so far.
    permitted: u64,
}

fn replay(name: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/traces/control").join(name);
    let text = std::fs::read_to_string(path).expect("a trace");
    let mut simulation = Simulation::new(0, None);
    let mut outcomes = 0;
    for (at, line) in text.lines().enumerate() {
        match serde_json::from_str(line).expect(line) {
            Line::Fleet { seed, daemons } => simulation = start(seed, daemons),
            Line::Op(op) => simulation.apply(&op),
            Line::Outcome(outcome) => {
                outcomes += 1;
                check(&simulation, &outcome, at + 1);
            }
        }
        assert_eq!(simulation.oracle.violation, None, "line {}", at + 1);
    }
    assert!(outcomes > 0, "the trace states no outcome");
}

fn start(seed: u64, daemons: u32) -> Simulation {
    let mut simulation = Simulation::new(seed, None);
    for _ in 0..daemons {
        simulation.start();
    }
    simulation.run_for(Duration::from_secs(3));
    simulation.change(1);
    simulation.run_for(Duration::from_secs(2));
    simulation
}

fn check(simulation: &Simulation, outcome: &Outcome, line: usize) {
    for (id, node) in &simulation.nodes {
        if let Some(members) = &outcome.members {
            let known: Vec<Name> =
                node.control.epoch().members.iter().map(|m| m.daemon.clone()).collect();
            assert_eq!(known, *members, "line {line}: members at daemon {id}");
            assert_eq!(members.len(), simulation.nodes.len(), "line {line}: live daemons");
        }
        if let Some(revision) = outcome.revision {
            assert_eq!(node.snapshot.revision, revision, "line {line}: revision at daemon {id}");
        }
        for (upstream, warmth) in &outcome.warmth {
            assert_eq!(node.warmth(upstream), *warmth, "line {line}: {upstream} at daemon {id}");
        }
    }
    if let Some(claims) = outcome.claims {
        assert_eq!(simulation.oracle.granted_claims, claims, "line {line}: claims");
    }
    let permitted = simulation.oracle.permitted_starts;
    assert!(permitted >= outcome.permitted, "line {line}: {permitted} permitted starts");
}

#[test]
fn replay_owner_killed() {
    replay("owner_killed.jsonl");
}

#[test]
fn replay_zone_out_in_outage() {
    replay("zone_out_in_outage.jsonl");
}

#[test]
fn replay_rolling_replacement() {
    replay("rolling_replacement.jsonl");
}

#[test]
fn replay_repeated_claim() {
    replay("repeated_claim.jsonl");
}

#[test]
fn replay_all_restarted() {
    replay("all_restarted.jsonl");
}
