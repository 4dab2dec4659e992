//! Keeps this instance listed in the metadata store.
//!
//! Limits are divided by the number of listed instances, and only a listed instance is told what the
//! others know, and gets requests passed on. [`ephemeral`](acacia_policy::gateway::ephemeral) tells
//! whether its entry is there.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use acacia_platform::document::instance_key;
use acacia_platform::instance::Presence;
use acacia_platform::store::{Client as StoreClient, Written};
use acacia_policy::Time;
use acacia_policy::gateway::ephemeral::{Entry, Status};
use acacia_policy::kv::{Failure, Lease};

use crate::control::Control;

/// How long this instance stays registered after its last heartbeat.
const TTL: Duration = Duration::from_secs(10);
/// Interval between heartbeats. Three fit into the lease.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(3);
/// Interval between checks whether the entry is there.
const CHECK_INTERVAL: Duration = Duration::from_millis(400);

/// The registration of this instance.
pub struct Registration {
    control: Rc<Control>,
    entry: RefCell<Entry>,
    /// When the lease was last renewed.
    renewed: Cell<Time>,
    /// The status that was last logged.
    reported: Cell<Status>,
}

impl Registration {
    /// A registration that has not begun.
    pub fn new(control: Rc<Control>) -> Rc<Self> {
        Rc::new(Self {
            control,
            entry: RefCell::default(),
            renewed: Cell::default(),
            reported: Cell::default(),
        })
    }

    /// Keeps this instance listed until it is dropped.
    pub async fn run(self: Rc<Self>) {
        let mut client = self.control.store_client();
        loop {
            if let Err(failure) = self.advance(&mut client).await {
                tracing::debug!(%failure, "registration not kept");
            }
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
    }

    /// Ends the lease, so that the others don't list this instance any more.
    pub async fn stop(&self) {
        let lease = self.entry.borrow().lease();
        if let Some(lease) = lease {
            self.control.end_lease(lease).await;
        }
    }

    /// Makes the calls that are due.
    async fn advance(&self, client: &mut StoreClient) -> Result<(), Failure> {
        let now = self.control.clock.now();
        let held = self.entry.borrow().lease();
        let held = match held {
            Some(lease) if now >= self.renewed.get() + HEARTBEAT_INTERVAL => {
                self.renew(client, lease).await?
            }
            held => held,
        };
        let lease = match held {
            Some(lease) if self.status() != Status::Unleased => lease,
            _ => self.grant(client).await?,
        };
        match self.status() {
            Status::Unwritten | Status::Occupied | Status::Missing | Status::Displaced => {
                self.write(client, lease).await
            }
            Status::Unleased | Status::Unseen | Status::Listed => Ok(()),
        }
    }

    async fn grant(&self, client: &mut StoreClient) -> Result<Lease, Failure> {
        self.control.metrics.store_call("grant");
        let sent = self.control.clock.now();
        let (lease, _) = client.grant(TTL.max(self.control.settings.min_lease_ttl)).await?;
        self.entry.borrow_mut().granted(lease);
        self.renewed.set(sent);
        Ok(lease)
    }

    /// Renews the lease; returns none if it is over.
    async fn renew(
        &self,
        client: &mut StoreClient,
        lease: Lease,
    ) -> Result<Option<Lease>, Failure> {
        self.control.metrics.store_call("renew");
        let sent = self.control.clock.now();
        if client.renew(lease).await? {
            self.renewed.set(sent);
            return Ok(Some(lease));
        }
        self.entry.borrow_mut().ended();
        Ok(None)
    }

    async fn write(&self, client: &mut StoreClient, lease: Lease) -> Result<(), Failure> {
        let now = self.control.clock.now();
        if !self.entry.borrow().may_write(now) {
            return Ok(());
        }
        let settings = &self.control.settings;
        let listing = self.control.replica.borrow().registration(&settings.instance);
        let expected = self.entry.borrow().replaced(listing);
        let presence = Presence { peer: settings.peer_address, zone: settings.zone.clone() };
        let (key, value) = (instance_key(&settings.instance), presence.encode());
        self.entry.borrow_mut().attempted(now);
        self.control.metrics.store_call("write");
        match client.write(&key, &value, Some(expected), Some(lease)).await? {
            Written::Done(revision) => self.entry.borrow_mut().written(revision),
            // The watch will show what the key holds.
            Written::Conflict => {}
            Written::LeaseEnded => self.entry.borrow_mut().ended(),
        }
        Ok(())
    }

    /// The status of the entry. Logs and counts each change of it.
    fn status(&self) -> Status {
        let listing = self.control.replica.borrow().registration(&self.control.settings.instance);
        let status = self.entry.borrow_mut().status(listing);
        let before = self.reported.replace(status);
        if status == before {
            return status;
        }
        self.control.metrics.registration(status.into());
        let (revision, lease) = (listing.as_of.number, self.entry.borrow().lease());
        let (lease, found) = (lease.map(|l| l.id), listing.row.and_then(|row| row.lease));
        match status {
            Status::Missing => {
                tracing::warn!(revision, lease, "this instance is no longer listed");
            }
            Status::Occupied => {
                tracing::info!(revision, lease, found, "an earlier process's entry is replaced");
            }
            Status::Displaced => tracing::warn!(
                revision,
                lease,
                found,
                "this instance is listed by the entry of another process"
            ),
            Status::Listed => tracing::info!(revision, lease, "this instance is listed"),
            _ => {}
        }
        status
    }
}
