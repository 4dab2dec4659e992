//! Exit codes.

use std::process::ExitCode;

/// How a command ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub enum Exit {
    /// Success.
    Done = 0,
    /// Refused, invalid, or failed without effect.
    Refused = 1,
    /// The command line is wrong.
    Usage = 2,
    /// Another change was accepted first.
    Conflict = 3,
    /// The daemon or its key-value service can't be reached; nothing was done.
    Unreachable = 4,
    /// It is unknown whether the change was accepted; retry with the same change id.
    Unknown = 5,
    /// Accepted, but not yet in force on every live daemon when the wait ended.
    Pending = 6,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}
