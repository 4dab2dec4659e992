//! Fairness among organisations, under virtual time.

mod dispatch_sim;

use dispatch_sim::{fair, others};

/// Most that the others' p95 time to first token may grow beside a flood.
const BOUND: f64 = 1.2;

#[test]
fn others_flooded() {
    let mut alone = others(&fair(1, false));
    let mut beside = others(&fair(1, true));
    let ratio = beside.quantile(0.95) / alone.quantile(0.95);
    assert_eq!(beside.refused, 0, "others were refused");
    assert!(ratio <= BOUND, "others' p95 time to first token grew {ratio} times");
}
