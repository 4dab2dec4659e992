//! Stateful fuzz of several dispatchers that share fake upstreams, under virtual time.
//!
//! `ACACIA_SEEDS=N` plays N further seeds of each size.

mod dispatch_world;

use std::cell::Cell;

use acacia_policy::dispatch::{Mutation, Strategy};
use dispatch_world::World;
use dispatch_world::op::Op;
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};

/// Operations of one case.
const OPS: usize = 400;
/// Cases of one seed.
const CASES: u64 = 40;
/// Seeds of a CI run.
const SEEDS: u64 = 2;
/// Least steps of a CI run.
const STEPS: u64 = 100_000;
/// Cases in which a switched-off rule must be caught.
const BROKEN_CASES: u64 = 40;
/// Cases of each strategy that is compared against.
const STRATEGY_CASES: u64 = 5;

thread_local! {
    static TAKEN: Cell<u64> = const { Cell::new(0) };
}

fn holds(ops: Vec<Op>) -> TestResult {
    let seed = ops.len() as u64;
    let mut world = World::new(seed, Strategy::TimeToFirstToken, None);
    let outcome = world.play(&ops);
    TAKEN.set(TAKEN.get() + world.steps);
    match outcome {
        Ok(()) => TestResult::passed(),
        Err(fault) => TestResult::error(fault),
    }
}

fn play(seed: u64) {
    let random = Gen::from_size_and_seed(OPS, seed);
    QuickCheck::new().rng(random).tests(CASES).quickcheck(holds as fn(Vec<Op>) -> TestResult);
}

#[test]
fn promises_fuzzed() {
    let more = std::env::var("ACACIA_SEEDS").ok().and_then(|n| n.parse().ok()).unwrap_or(0);
    for seed in 0..SEEDS + more {
        play(seed);
    }
    println!("{} steps", TAKEN.get());
    assert!(TAKEN.get() >= STEPS, "only {} steps", TAKEN.get());
}

/// Found by the fuzz: a permit message that came twice, the second time after the permit's end, made
/// the permit be returned twice.
#[test]
fn permit_doubled() {
    let ops = [Op::Burst { dispatcher: 124, org: 220, count: 258 }];
    World::new(1, Strategy::TimeToFirstToken, None).play(&ops).expect("promises hold");
}

#[test]
fn promises_strategies() {
    let others =
        [Strategy::LeastLoaded, Strategy::Affinity, Strategy::NoImport, Strategy::ExportAll];
    for strategy in others {
        for seed in 0..STRATEGY_CASES {
            let mut random = Gen::from_size_and_seed(OPS, seed);
            let ops: Vec<Op> = (0..OPS).map(|_| Op::arbitrary(&mut random)).collect();
            let outcome = World::new(seed, strategy, None).play(&ops);
            assert_eq!(outcome, Ok(()), "{strategy}, seed {seed}");
        }
    }
}

fn is_caught(mutation: Mutation) -> Option<String> {
    (0..BROKEN_CASES).find_map(|seed| {
        let mut random = Gen::from_size_and_seed(OPS, seed);
        let ops: Vec<Op> = (0..OPS).map(|_| Op::arbitrary(&mut random)).collect();
        World::new(seed, Strategy::TimeToFirstToken, Some(mutation)).play(&ops).err()
    })
}

#[test]
fn oracle_once() {
    assert!(is_caught(Mutation::RepeatNonIdempotent).is_some_and(|f| f.contains("may run twice")));
}

#[test]
fn oracle_permits() {
    assert!(is_caught(Mutation::SkipPermits).is_some_and(|f| f.contains("without a permit")));
}

#[test]
fn oracle_returns() {
    assert!(is_caught(Mutation::KeepPermits).is_some_and(|f| f.contains("never returned")));
}

#[test]
fn oracle_closed() {
    assert!(is_caught(Mutation::IgnoreClosed).is_some_and(|f| f.contains("and got work")));
}

#[test]
fn oracle_slots() {
    assert!(is_caught(Mutation::IgnoreSlots).is_some_and(|f| f.contains("slots")));
}

#[test]
fn oracle_verdicts() {
    assert!(
        is_caught(Mutation::UnderstateVerdict).is_some_and(|f| f.contains("refused as not run"))
    );
}

#[test]
fn oracle_superseded() {
    assert!(is_caught(Mutation::AcceptSuperseded).is_some());
}

#[test]
fn oracle_offsets() {
    assert!(is_caught(Mutation::ShiftOffset).is_some_and(|f| f.contains("tokens")));
}

#[test]
fn oracle_names() {
    assert!(is_caught(Mutation::StaleBlockKeys).is_some_and(|f| f.contains("another version")));
}

#[test]
fn oracle_bounds() {
    assert!(is_caught(Mutation::UnboundedQueue).is_some_and(|f| f.contains("wait")));
}

#[test]
fn oracle_answers() {
    assert!(is_caught(Mutation::DropExpired).is_some_and(|f| f.contains("no end")));
}
