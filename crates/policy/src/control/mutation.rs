//! Rules that a test may break, to show that its checks notice.

use strum::{Display, EnumIter};

/// One broken rule.
#[derive(Clone, Copy, Debug, Display, EnumIter, Eq, PartialEq)]
pub enum Mutation {
    /// A holder acts without its witnesses.
    ActUnconfirmed,
    /// A successor doesn't wait for earlier holders to stop.
    SkipWaitOut,
    /// A witness confirms whatever epoch it is asked about.
    ConfirmAnything,
    /// A silent witness counts as gone although the live list shows it.
    IgnoreList,
    /// A successor takes nothing of its predecessors to be running.
    ForgetRunning,
    /// An owner grants more than a cold upstream bears.
    IgnoreColdLimit,
    /// A claim is granted without writing it.
    SkipClaim,
    /// Loads are started whatever runs.
    LoadFreely,
    /// An older configuration replaces a newer one.
    Revert,
    /// Operators' closing of zones and upstreams is ignored.
    IgnoreClosed,
}
