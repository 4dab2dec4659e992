//! Stateful fuzz of several dispatchers that share fake upstreams, under virtual time.
//!
//! `ACACIA_SEEDS=N` plays N further seeds of each size.

mod dispatch_world;

use std::cell::Cell;

use acacia_policy::dispatch::{Rule, Strategy};
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
    let mut world = World::new(seed, Strategy::Ours, None);
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
    World::new(1, Strategy::Ours, None).play(&ops).expect("promises hold");
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

fn is_caught(rule: Rule) -> Option<String> {
    (0..BROKEN_CASES).find_map(|seed| {
        let mut random = Gen::from_size_and_seed(OPS, seed);
        let ops: Vec<Op> = (0..OPS).map(|_| Op::arbitrary(&mut random)).collect();
        World::new(seed, Strategy::Ours, Some(rule)).play(&ops).err()
    })
}

#[test]
fn oracle_once() {
    assert!(is_caught(Rule::Once).is_some_and(|f| f.contains("may run twice")));
}

#[test]
fn oracle_permits() {
    assert!(is_caught(Rule::Permits).is_some_and(|f| f.contains("without a permit")));
}

#[test]
fn oracle_returns() {
    assert!(is_caught(Rule::Returns).is_some_and(|f| f.contains("never returned")));
}

#[test]
fn oracle_closed() {
    assert!(is_caught(Rule::Closed).is_some_and(|f| f.contains("and got work")));
}

#[test]
fn oracle_slots() {
    assert!(is_caught(Rule::Slots).is_some_and(|f| f.contains("slots")));
}

#[test]
fn oracle_verdicts() {
    assert!(is_caught(Rule::Verdicts).is_some_and(|f| f.contains("refused as not run")));
}

#[test]
fn oracle_superseded() {
    assert!(is_caught(Rule::Superseded).is_some());
}

#[test]
fn oracle_offsets() {
    assert!(is_caught(Rule::Offsets).is_some_and(|f| f.contains("tokens")));
}

#[test]
fn oracle_names() {
    assert!(is_caught(Rule::Names).is_some_and(|f| f.contains("another version")));
}

#[test]
fn oracle_bounds() {
    assert!(is_caught(Rule::Bounds).is_some_and(|f| f.contains("wait")));
}

#[test]
fn oracle_answers() {
    assert!(is_caught(Rule::Answers).is_some_and(|f| f.contains("no end")));
}
