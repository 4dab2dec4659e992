//! Checks that the oracle's properties hold in random scenarios with faults.
//!
//! Mutations of the rules of holders and successors are tested in `control_scenario`.

mod fleet;

use acacia_policy::control::Mutation;
use fleet::op::Scenario;
use quickcheck::{Arbitrary, Gen};

/// Scenarios of one CI run.
const SCENARIOS: u64 = 24;
/// Operations of one scenario.
const OPERATIONS: usize = 60;
/// Minimum steps of control in one CI run.
const MIN_STEPS: u64 = 200_000;

/// Number of scenarios; set `ACACIA_SEEDS` for longer runs.
fn scenarios() -> u64 {
    std::env::var("ACACIA_SEEDS").ok().and_then(|n| n.parse().ok()).unwrap_or(SCENARIOS)
}

fn scenario(seed: u64) -> Scenario {
    Scenario::arbitrary(&mut Gen::from_size_and_seed(OPERATIONS, seed))
}

/// The smallest scenario found that still violates the same property.
fn shrink(mut scenario: Scenario, mutation: Option<Mutation>) -> Scenario {
    let property =
        |s: &Scenario| Some(s.run(mutation).oracle.violation?.split(':').next()?.to_owned());
    let first = property(&scenario);
    'again: loop {
        for smaller in scenario.shrink().take(200) {
            if property(&smaller) == first {
                scenario = smaller;
                continue 'again;
            }
        }
        return scenario;
    }
}

#[test]
fn scenarios_hold() {
    let (mut steps, mut starts, mut claims) = (0, 0, 0);
    for seed in 0..scenarios() {
        let simulation = scenario(seed).run(None);
        if let Some(violation) = simulation.oracle.violation {
            let small = shrink(scenario(seed), None);
            let found = small.run(None).oracle.violation;
            panic!("seed {seed}: {violation}\nshrunk: {found:?} by {small:?}");
        }
        steps += simulation.traffic.steps;
        starts += simulation.oracle.permitted_starts;
        claims += simulation.oracle.granted_claims;
    }
    println!("{steps} steps, {starts} permitted starts, {claims} claims granted");
    assert!(steps >= MIN_STEPS, "only {steps} steps");
    assert!(starts > 0 && claims > 0);
}

/// Scenarios within which a mutation must be noticed.
const MUTATED_SCENARIOS: u64 = 60;

/// Panics unless a mutation violates a property whose message starts with `property`.
fn is_noticed(mutation: Mutation, property: &str) {
    for seed in 0..MUTATED_SCENARIOS {
        let violation = scenario(seed).run(Some(mutation)).oracle.violation;
        if violation.is_some_and(|v| v.starts_with(property)) {
            return;
        }
    }
    panic!("{mutation} was not noticed as a violation of {property}");
}

#[test]
fn mutation_ignore_cold_limit() {
    is_noticed(Mutation::IgnoreColdLimit, "cold limit");
}

#[test]
fn mutation_skip_claim() {
    is_noticed(Mutation::SkipClaim, "at most once");
}

#[test]
fn mutation_load_freely() {
    is_noticed(Mutation::LoadFreely, "loads");
}

#[test]
fn mutation_revert() {
    is_noticed(Mutation::Revert, "revert");
}

#[test]
fn mutation_ignore_closed() {
    is_noticed(Mutation::IgnoreClosed, "closed");
}
