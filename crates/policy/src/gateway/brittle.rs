//! Upstreams that state how many refusals a second they bear.

use super::machine::Gateway;
use super::view::ServerId;
use crate::Time;

/// News of brittle upstreams that were not passed on yet.
#[derive(Debug, Default)]
pub struct Outbox {
    /// For the log.
    changes: Vec<Change>,
}

/// A change of an upstream's limit on refusals, for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// The upstream.
    pub server: ServerId,
    /// The refusals per second that it bears from now on; none if there is no limit.
    pub tolerance: Option<f64>,
}

impl Gateway {
    /// Records a change of an upstream's limit on refusals.
    pub(super) fn tolerance_changed(&mut self, now: Time, id: &ServerId) {
        let Some(member) = self.roster.get(id) else { return };
        let tolerance = member.standing.tolerance.in_force(now);
        self.brittle.changes.push(Change { server: id.clone(), tolerance });
    }

    /// Changes of upstreams' limits on refusals since the last call.
    pub fn take_tolerance_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.brittle.changes)
    }
}
