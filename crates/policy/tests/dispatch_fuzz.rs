//! Stateful fuzz test of several dispatchers that share fake upstreams, under simulated time.
//!
//! `ACACIA_SEEDS=N` runs N further seeds.

mod dispatch_harness;

use std::cell::Cell;

use acacia_policy::dispatch::{Mutation, Strategy};
use dispatch_harness::Simulation;
use dispatch_harness::op::Op;
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};

/// Operations of one case.
const OPS: usize = 400;
/// Cases of one seed.
const CASES: u64 = 40;
/// Seeds of a CI run.
const SEEDS: u64 = 2;
/// Least dispatcher steps of a CI run.
const STEPS: u64 = 100_000;
/// Cases within which the oracle must detect a mutation.
const MUTATION_CASES: u64 = 40;
/// Cases of each strategy other than the default.
const STRATEGY_CASES: u64 = 5;

thread_local! {
    static STEPS_TAKEN: Cell<u64> = const { Cell::new(0) };
}

fn invariants_hold(ops: Vec<Op>) -> TestResult {
    let seed = ops.len() as u64;
    let mut simulation = Simulation::new(seed, Strategy::TimeToFirstToken, None);
    let outcome = simulation.run(&ops);
    STEPS_TAKEN.set(STEPS_TAKEN.get() + simulation.steps);
    match outcome {
        Ok(()) => TestResult::passed(),
        Err(violation) => TestResult::error(violation),
    }
}

fn fuzz_seed(seed: u64) {
    let random = Gen::from_size_and_seed(OPS, seed);
    QuickCheck::new()
        .rng(random)
        .tests(CASES)
        .quickcheck(invariants_hold as fn(Vec<Op>) -> TestResult);
}

#[test]
fn invariants_fuzzed() {
    let more = std::env::var("ACACIA_SEEDS").ok().and_then(|n| n.parse().ok()).unwrap_or(0);
    for seed in 0..SEEDS + more {
        fuzz_seed(seed);
    }
    println!("{} steps", STEPS_TAKEN.get());
    assert!(STEPS_TAKEN.get() >= STEPS, "only {} steps", STEPS_TAKEN.get());
}

/// A permit message that arrives again after the permit's end must not return the permit twice.
#[test]
fn permit_delivered_twice() {
    let ops = [Op::Burst { dispatcher: 124, org: 220, count: 258 }];
    Simulation::new(1, Strategy::TimeToFirstToken, None).run(&ops).expect("invariants hold");
}

#[test]
fn invariants_all_strategies() {
    let strategies =
        [Strategy::LeastLoaded, Strategy::Affinity, Strategy::NoImport, Strategy::ExportAll];
    for strategy in strategies {
        for seed in 0..STRATEGY_CASES {
            let mut random = Gen::from_size_and_seed(OPS, seed);
            let ops: Vec<Op> = (0..OPS).map(|_| Op::arbitrary(&mut random)).collect();
            let outcome = Simulation::new(seed, strategy, None).run(&ops);
            assert_eq!(outcome, Ok(()), "{strategy}, seed {seed}");
        }
    }
}

fn find_violation(mutation: Mutation) -> Option<String> {
    (0..MUTATION_CASES).find_map(|seed| {
        let mut random = Gen::from_size_and_seed(OPS, seed);
        let ops: Vec<Op> = (0..OPS).map(|_| Op::arbitrary(&mut random)).collect();
        Simulation::new(seed, Strategy::TimeToFirstToken, Some(mutation)).run(&ops).err()
    })
}

#[test]
fn oracle_repeated_request() {
    assert!(
        find_violation(Mutation::RepeatNonIdempotent).is_some_and(|f| f.contains("may run twice"))
    );
}

#[test]
fn oracle_missing_permit() {
    assert!(find_violation(Mutation::SkipPermits).is_some_and(|f| f.contains("without a permit")));
}

#[test]
fn oracle_kept_permit() {
    assert!(find_violation(Mutation::KeepPermits).is_some_and(|f| f.contains("never returned")));
}

#[test]
fn oracle_closed_upstream() {
    assert!(find_violation(Mutation::IgnoreClosed).is_some_and(|f| f.contains("and got work")));
}

#[test]
fn oracle_exceeded_slots() {
    assert!(find_violation(Mutation::IgnoreSlots).is_some_and(|f| f.contains("slots")));
}

#[test]
fn oracle_understated_verdict() {
    assert!(
        find_violation(Mutation::UnderstateVerdict)
            .is_some_and(|f| f.contains("refused as not run"))
    );
}

#[test]
fn oracle_superseded_attempt() {
    assert!(find_violation(Mutation::AcceptSuperseded).is_some());
}

#[test]
fn oracle_shifted_offset() {
    assert!(find_violation(Mutation::ShiftOffset).is_some_and(|f| f.contains("tokens")));
}

#[test]
fn oracle_stale_block_keys() {
    assert!(
        find_violation(Mutation::StaleBlockKeys).is_some_and(|f| f.contains("another version"))
    );
}

#[test]
fn oracle_unbounded_queue() {
    assert!(find_violation(Mutation::UnboundedQueue).is_some_and(|f| f.contains("wait")));
}

#[test]
fn oracle_dropped_request() {
    assert!(find_violation(Mutation::DropExpired).is_some_and(|f| f.contains("never ended")));
}
