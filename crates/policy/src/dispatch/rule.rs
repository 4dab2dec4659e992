//! Rules that a test may switch off, to show that its oracle catches the fault.

use strum::{Display, EnumIter};

/// A rule that keeps one promise.
#[derive(Clone, Copy, Debug, Display, EnumIter, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Rule {
    /// A request that isn't idempotent is repeated only on `not_run`.
    Once,
    /// Cold upstreams get work only under permits.
    Permits,
    /// Every permit is given back.
    Returns,
    /// Closed and down upstreams get nothing new.
    Closed,
    /// No more requests on an upstream than its slots.
    Slots,
    /// A verdict tells all that may have run.
    Verdicts,
    /// Endings of superseded attempts are dropped.
    Superseded,
    /// A stream goes on where it broke.
    Offsets,
    /// Blocks are named for the organisation and version that runs.
    Names,
    /// Queues are bounded.
    Bounds,
    /// Long requests age.
    Ages,
    /// What the dispatcher gives up on is answered.
    Answers,
    /// Retries are a share of first attempts.
    Retries,
}
