//! Rules that a test may switch off, to show that its oracle catches the fault.

use strum::{Display, EnumIter};

/// A rule that keeps one promise.
#[derive(Clone, Copy, Debug, Display, EnumIter, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Mutation {
    /// A request that isn't idempotent is repeated only on `not_run`.
    #[strum(serialize = "once")]
    RepeatNonIdempotent,
    /// Cold upstreams get work only under permits.
    #[strum(serialize = "permits")]
    SkipPermits,
    /// Every permit is given back.
    #[strum(serialize = "returns")]
    KeepPermits,
    /// Closed and down upstreams get nothing new.
    #[strum(serialize = "closed")]
    IgnoreClosed,
    /// No more requests on an upstream than its slots.
    #[strum(serialize = "slots")]
    IgnoreSlots,
    /// A verdict tells all that may have run.
    #[strum(serialize = "verdicts")]
    UnderstateVerdict,
    /// Endings of superseded attempts are dropped.
    #[strum(serialize = "superseded")]
    AcceptSuperseded,
    /// A stream goes on where it broke.
    #[strum(serialize = "offsets")]
    ShiftOffset,
    /// Blocks are named for the organisation and version that runs.
    #[strum(serialize = "names")]
    StaleBlockKeys,
    /// Queues are bounded.
    #[strum(serialize = "bounds")]
    UnboundedQueue,
    /// Long requests age.
    #[strum(serialize = "ages")]
    SkipAging,
    /// What the dispatcher gives up on is answered.
    #[strum(serialize = "answers")]
    DropExpired,
    /// Retries are a share of first attempts.
    #[strum(serialize = "retries")]
    UnlimitedRetries,
}
