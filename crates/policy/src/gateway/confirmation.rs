//! Confirmation that the inventories of KV cache stores are current, from other instances.
//!
//! A part of a managed store may be read only until shortly after the reader's inventories were
//! known to be current. An instance that the metadata store does not answer would therefore compute
//! every part again. But only removals matter: an instance whose inventories include the last
//! removal lists no part that was removed since, even if it misses additions. So instances tell
//! each other at what time their own inventories were current, by the servers' clock, and what the
//! last removal was.
//!
//! The time is that of the sender's call to the metadata store, so a late datagram proves less, not
//! more. A conversion to the receiver's clock and back to the servers' clock, in which the end of a
//! read is stated, cancels the error of the receiver's clock.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::view::View;
use crate::Time;
use crate::kv::Revision;

/// Longest time for which confirmations of others replace the own view's freshness. An instance
/// that is cut off for longer misses too many additions to profit.
const MAX_LEAD: Duration = Duration::from_secs(30);

/// One instance's statement about the metadata store.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Confirmation {
    /// When the sender's inventories were current, in milliseconds of the servers' clock.
    pub as_of_ms: u64,
    /// The last change known then that removed a part from an inventory.
    pub last_removal: Revision,
}

impl Confirmation {
    /// What an instance's own view confirms; none if it does not know the servers' clock.
    pub fn of(view: &View) -> Option<Self> {
        let as_of_ms = view.server_time(view.as_of)?;
        Some(Self { as_of_ms, last_removal: view.last_removal })
    }
}

/// The latest time confirmed by other instances.
#[derive(Debug, Default)]
pub struct Confirmed {
    as_of: Time,
    /// The revision of the view that it applies to.
    revision: Revision,
}

impl Confirmed {
    /// Records another instance's statement, if it holds for the inventories of the own view.
    pub fn receive(&mut self, view: &View, confirmation: &Confirmation) {
        let is_same_era = confirmation.last_removal.era == view.revision.era;
        if !is_same_era || view.revision < confirmation.last_removal {
            return;
        }
        let Some(as_of) = view.local_time(confirmation.as_of_ms) else { return };
        let latest = view.as_of.saturating_add(MAX_LEAD);
        if as_of <= latest && as_of > self.as_of(view) {
            *self = Self { as_of, revision: view.revision };
        }
    }

    /// When the inventories of the own view were last known to be current.
    pub fn as_of(&self, view: &View) -> Time {
        let is_valid = self.revision.era == view.revision.era && self.revision <= view.revision;
        if is_valid { self.as_of.max(view.as_of) } else { view.as_of }
    }
}
