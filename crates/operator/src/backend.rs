//! What the API asks of the daemon.

use std::sync::Arc;

use acacia_catalog::Set;
use acacia_catalog::id::Revision;
use acacia_policy::Snapshot;
use acacia_policy::control::{Change, ChangeOutcome, Order, OrderOutcome};

use crate::call::{HistoryEntry, Propagation, Trace};
use crate::status::Status;

/// The daemon behind the API.
pub trait Backend: Send + Sync + 'static {
    /// The snapshot that traffic reads.
    fn snapshot(&self) -> Arc<Snapshot>;

    /// Publishes a configuration; a change id that was accepted before yields the same revision.
    fn change(&self, change: Change) -> impl Future<Output = ChangeOutcome> + Send;

    /// Sends an order to an upstream; control sets its fencing number.
    fn order(&self, order: Order) -> impl Future<Output = OrderOutcome> + Send;

    /// On how many live daemons a revision, or a later one, is in force.
    fn propagation(&self, revision: Revision) -> Propagation;

    /// How the daemon and its peers do.
    fn status(&self) -> Status;

    /// Accepted changes, latest first.
    fn history(&self) -> impl Future<Output = Vec<HistoryEntry>> + Send {
        std::future::ready(Vec::new())
    }

    /// The configuration of a revision, while it is remembered.
    fn set_at(&self, revision: Revision) -> impl Future<Output = Option<Arc<Set>>> + Send {
        let snapshot = self.snapshot();
        let found = (snapshot.revision == revision).then(|| snapshot.set.clone());
        std::future::ready(found)
    }

    /// The hops of a recent request.
    fn trace(&self, _id: &str) -> Option<Trace> {
        None
    }
}
