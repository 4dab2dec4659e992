//! Rules that a test may switch off to prove that its checks notice.

use strum::{Display, EnumIter};

/// A rule that is switched off.
#[derive(Clone, Copy, Debug, Display, EnumIter, Eq, PartialEq)]
pub enum Mutation {
    /// A holder acts without confirmations from its witnesses.
    ActUnconfirmed,
    /// A successor doesn't wait for earlier holders to stop.
    SkipWaitOut,
    /// A witness confirms every epoch that it is probed for.
    ConfirmAnything,
    /// A silent witness is considered gone although the list of live instances shows it.
    IgnoreList,
    /// A successor assumes that no requests of its predecessors are running.
    ForgetRunning,
    /// An owner grants more permits than a cold upstream's limit.
    IgnoreColdLimit,
    /// A claim is granted without being written.
    SkipClaim,
    /// Weight loads are started regardless of the limits.
    LoadFreely,
    /// An older configuration replaces a newer one.
    Revert,
    /// Zones and upstreams closed by operators count as open.
    IgnoreClosed,
}
