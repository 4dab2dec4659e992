//! Fairness among organisations and classes, under simulated time.

mod dispatch_sim;

use acacia_policy::dispatch::Mutation;
use acacia_policy::request::Class;
use dispatch_sim::{Outcome, fair, others, overloaded, simulate};

/// Limit of the others' p95 time to first token beside a flood, relative to that without it.
const MAX_P95_RATIO: f64 = 1.2;

#[test]
fn latency_beside_flood() {
    let mut alone = others(&fair(1, false));
    let mut beside = others(&fair(1, true));
    let ratio = beside.quantile(0.95) / alone.quantile(0.95);
    assert_eq!(beside.refused, 0, "requests of other organisations were refused");
    assert!(
        ratio <= MAX_P95_RATIO,
        "p95 time to first token of other organisations grew by a factor of {ratio}"
    );
}

/// Limit of a long request's time to first token, of the ten seconds that its deadline allows.
const MAX_WAIT_S: f64 = 6.0;

fn long_outcome(mutation: Option<Mutation>) -> Outcome {
    let result = simulate(&overloaded(mutation));
    let long = result.outcomes.into_iter().find(|((_, class), _)| *class == Class::Long);
    long.map(|(_, outcome)| outcome).unwrap_or_default()
}

#[test]
fn aging_overloaded() {
    let mut outcome = long_outcome(None);
    assert_eq!(outcome.refused, 0, "a long request was refused");
    assert!(outcome.first_tokens.len() > 10, "{} answered", outcome.first_tokens.len());
    assert!(outcome.quantile(1.0) <= MAX_WAIT_S, "waited {} s", outcome.quantile(1.0));
}

#[test]
fn aging_disabled() {
    let outcome = long_outcome(Some(Mutation::SkipAging));
    assert!(outcome.refused > 0, "no long request starved without aging");
}
