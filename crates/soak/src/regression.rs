//! Seeds that failed once, with what was found. They are played in CI.

/// Seeds with the cause of their failure.
pub const REGRESSIONS: [(u64, &str); 2] = [
    (5, "an engine that the new holder found renewed kept the others from their weights"),
    (11, "the same, after all leases had run out"),
];
