//! Seeds that failed once, with the cause. CI runs them.

/// Seeds and the causes of their failures.
pub const REGRESSIONS: [(u64, &str); 2] = [
    (5, "an engine that a new lease holder found updated blocked the rollout to the others"),
    (11, "as seed 5, after all leases had expired"),
];
