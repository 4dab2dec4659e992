//! The interface between the API and the daemon.

use std::sync::Arc;

use acacia_catalog::Set;
use acacia_catalog::id::Revision;
use acacia_policy::Snapshot;
use acacia_policy::control::{Change, ChangeOutcome, Order, OrderOutcome};

use crate::call::{HistoryEntry, Propagation, Trace};
use crate::status::Status;

/// Operations that the daemon provides to the API.
pub trait Backend: Send + Sync + 'static {
    /// The snapshot currently used for traffic.
    fn snapshot(&self) -> Arc<Snapshot>;

    /// Publishes a configuration; repeating an accepted change id returns the same revision.
    fn change(&self, change: Change) -> impl Future<Output = ChangeOutcome> + Send;

    /// Sends an order to an upstream; the control thread sets its fencing token.
    fn order(&self, order: Order) -> impl Future<Output = OrderOutcome> + Send;

    /// On how many live daemons this or a later revision is in force.
    fn propagation(&self, revision: Revision) -> Propagation;

    /// Status of the daemon, its peers, the upstreams and stores.
    fn status(&self) -> Status;

    /// Accepted changes, latest first.
    fn history(&self) -> impl Future<Output = Vec<HistoryEntry>> + Send {
        std::future::ready(Vec::new())
    }

    /// The configuration of a revision, if it is still in the history.
    fn set_at(&self, revision: Revision) -> impl Future<Output = Option<Arc<Set>>> + Send {
        let snapshot = self.snapshot();
        let found = (snapshot.revision == revision).then(|| snapshot.set.clone());
        std::future::ready(found)
    }

    /// The spans of a recent request.
    fn trace(&self, _id: &str) -> Option<Trace> {
        None
    }
}
