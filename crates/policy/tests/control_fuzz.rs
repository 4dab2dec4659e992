//! Stories of random faults against the promises.
//!
//! The rules of holders and successors are broken on purpose in `control_scenario`.

mod fleet;

use acacia_policy::control::Sabotage;
use fleet::op::Story;
use quickcheck::{Arbitrary, Gen};

/// Stories of one CI run.
const STORIES: u64 = 24;
/// Things that happen in one story.
const LENGTH: usize = 60;
/// Least steps of one CI run.
const STEPS: u64 = 200_000;

/// Stories to play: `ACACIA_SEEDS` for long runs by hand.
fn stories() -> u64 {
    std::env::var("ACACIA_SEEDS").ok().and_then(|n| n.parse().ok()).unwrap_or(STORIES)
}

fn story(seed: u64) -> Story {
    Story::arbitrary(&mut Gen::from_size_and_seed(LENGTH, seed))
}

/// The smallest story that still breaks the same promise.
fn shrink(mut story: Story, sabotage: Option<Sabotage>) -> Story {
    let promise = |s: &Story| Some(s.play(sabotage).oracle.broken?.split(':').next()?.to_owned());
    let first = promise(&story);
    'again: loop {
        for smaller in story.shrink().take(200) {
            if promise(&smaller) == first {
                story = smaller;
                continue 'again;
            }
        }
        return story;
    }
}

#[test]
fn promises_hold() {
    let (mut steps, mut starts, mut claims) = (0, 0, 0);
    for seed in 0..stories() {
        let world = story(seed).play(None);
        if let Some(broken) = world.oracle.broken {
            let small = shrink(story(seed), None);
            let found = small.play(None).oracle.broken;
            panic!("seed {seed}: {broken}\nshrunk: {found:?} by {small:?}");
        }
        steps += world.traffic.steps;
        starts += world.oracle.permitted_starts;
        claims += world.oracle.granted_claims;
    }
    println!("{steps} steps, {starts} permitted starts, {claims} claims granted");
    assert!(steps >= STEPS, "only {steps} steps");
    assert!(starts > 0 && claims > 0);
}

/// Stories in which a broken rule must be noticed.
const SABOTAGED_STORIES: u64 = 60;

/// Whether a broken rule breaks a promise whose name starts as told.
fn is_noticed(sabotage: Sabotage, promise: &str) {
    for seed in 0..SABOTAGED_STORIES {
        let broken = story(seed).play(Some(sabotage)).oracle.broken;
        if broken.is_some_and(|b| b.starts_with(promise)) {
            return;
        }
    }
    panic!("{sabotage} was not noticed as a broken promise of {promise}");
}

#[test]
fn sabotage_ignore_cold_limit() {
    is_noticed(Sabotage::IgnoreColdLimit, "cold limit");
}

#[test]
fn sabotage_skip_claim() {
    is_noticed(Sabotage::SkipClaim, "at most once");
}

#[test]
fn sabotage_load_freely() {
    is_noticed(Sabotage::LoadFreely, "loads");
}

#[test]
fn sabotage_revert() {
    is_noticed(Sabotage::Revert, "revert");
}

#[test]
fn sabotage_ignore_closed() {
    is_noticed(Sabotage::IgnoreClosed, "closed");
}
