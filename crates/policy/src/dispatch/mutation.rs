//! Faults that a test injects into the dispatcher, to show that its oracle detects them.

use strum::{Display, EnumIter};

/// A broken rule of the dispatcher.
#[derive(Clone, Copy, Debug, Display, EnumIter, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Mutation {
    /// Repeats requests that aren't idempotent although they may have run.
    #[strum(serialize = "once")]
    RepeatNonIdempotent,
    /// Sends requests to cold upstreams without permits.
    #[strum(serialize = "permits")]
    SkipPermits,
    /// Does not return used permits.
    #[strum(serialize = "returns")]
    KeepPermits,
    /// Sends requests to upstreams that are closed or down.
    #[strum(serialize = "closed")]
    IgnoreClosed,
    /// Sends an upstream more requests than it has slots.
    #[strum(serialize = "slots")]
    IgnoreSlots,
    /// Refuses requests that may have run as not run.
    #[strum(serialize = "verdicts")]
    UnderstateVerdict,
    /// Handles the ends of superseded attempts.
    #[strum(serialize = "superseded")]
    AcceptSuperseded,
    /// Continues streams one token too late.
    #[strum(serialize = "offsets")]
    ShiftOffset,
    /// Keeps the block keys of the original weight version after a change of version.
    #[strum(serialize = "names")]
    StaleBlockKeys,
    /// Ignores the limit of queues.
    #[strum(serialize = "bounds")]
    UnboundedQueue,
    /// Does not age long requests, so that they starve behind short ones.
    #[strum(serialize = "ages")]
    SkipAging,
    /// Drops requests that expire in the queue without an answer.
    #[strum(serialize = "answers")]
    DropExpired,
    /// Ignores the retry budget.
    #[strum(serialize = "retries")]
    UnlimitedRetries,
}
