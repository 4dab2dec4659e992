//! The entry in the metadata store that names the holder of the order lease.

use acacia_platform::document::holder_key;
use acacia_platform::store::{Client as StoreClient, Written};
use acacia_policy::Time;
use acacia_policy::gateway::ephemeral::{Entry, Status};
use acacia_policy::kv::{Failure, Revision};

use super::{Grant, Holder};

impl Holder {
    /// Whether the entry of this holder is there.
    fn status(&self) -> Status {
        let listing = self.control.replica.borrow().order_lease();
        self.entry.borrow_mut().status(listing)
    }

    /// Whether this instance has a lease, but is not the holder any more.
    pub(super) fn is_replaced(&self) -> bool {
        matches!(self.status(), Status::Occupied | Status::Missing | Status::Displaced)
    }

    /// Whether the entry is to be written again, as a write without an answer may never be executed.
    pub(super) fn is_claim_due(&self, now: Time) -> bool {
        self.status() == Status::Unwritten && self.entry.borrow().may_write(now)
    }

    /// Requests a lease, and claims the order lease with it.
    pub(super) async fn acquire(&self, client: &mut StoreClient) {
        let now = self.control.clock.now();
        self.control.metrics.store_call("grant");
        match client.grant(self.lease_ttl()).await {
            Ok((lease, ttl)) => {
                let grant = Grant { lease, ends: now + ttl };
                self.grant.set(Some(grant));
                self.entry.borrow_mut().granted(lease);
                self.fenced.set(false);
                self.rollout.borrow_mut().reset();
                self.claim(client, grant).await;
            }
            Err(failure) => tracing::debug!(%failure, "no lease granted for orders"),
        }
    }

    /// Writes the entry that names this instance as the holder, if there is none.
    pub(super) async fn claim(&self, client: &mut StoreClient, grant: Grant) {
        let holding = self.holding();
        self.published.replace(holding.clone());
        let is_repeated = self.entry.borrow().is_attempted();
        self.entry.borrow_mut().attempted(self.control.clock.now());
        self.control.metrics.store_call("write");
        let (value, absent) = (holding.encode(), Revision::absent(grant.lease.era));
        match client.write(&holder_key(), &value, Some(absent), Some(grant.lease)).await {
            Ok(Written::Done(revision)) => {
                self.entry.borrow_mut().written(revision);
                tracing::info!(fence = revision.fencing_token(), "acquired the order lease");
            }
            Err(Failure::Ambiguous) => {
                tracing::info!(is_repeated, "no answer on acquiring the order lease");
            }
            // An earlier write may have been executed. The watch will show whose entry it is.
            Ok(Written::Conflict) if is_repeated => {}
            Ok(Written::Conflict | Written::LeaseEnded) | Err(_) => self.release().await,
        }
    }

    pub(super) async fn renew(&self, client: &mut StoreClient, grant: Grant) {
        let sent = self.control.clock.now();
        self.control.metrics.store_call("renew");
        match client.renew(grant.lease).await {
            Ok(true) => self.grant.set(Some(Grant { ends: sent + self.lease_ttl(), ..grant })),
            Ok(false) => self.lose("the lease expired in the metadata store"),
            Err(failure) => tracing::debug!(%failure, "order lease not renewed"),
        }
    }

    pub(super) fn lose(&self, reason: &str) {
        tracing::warn!(reason, "lost the order lease");
        self.grant.set(None);
        self.entry.replace(Entry::default());
        self.inventory.stop_all();
        self.rollout.borrow_mut().reset();
    }
}
