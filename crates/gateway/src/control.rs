//! The control thread: follows the metadata store and hands traffic a view of it.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use acacia_platform::document::instance_key;
use acacia_platform::own::Presence;
use acacia_platform::store::{Client as StoreClient, WatchFailure, Written};
use acacia_platform::{Settings, cache};
use acacia_policy::Time;
use acacia_policy::gateway::View;
use acacia_policy::gateway::configuration::Role;
use acacia_policy::kv::{Failure, LeaseId, ModRevision};
use rand::RngExt;
use tokio::sync::watch;

use crate::client::Client;
use crate::clock::Clock;
use crate::holder::Holder;
use crate::metric::Metrics;
use crate::replica::{Replica, Update};
use crate::traffic::millis;

/// Longest wait of a watch. Its answer shows that nothing was missed, and reads from managed stores
/// rest on that: two waits fit into the time for which a stock may be read by.
const WATCH_WAIT: Duration = Duration::from_millis(700);
/// Time between looks at the servers' clock; clocks drift by far less than a millisecond in it.
const CLOCK_INTERVAL: Duration = Duration::from_secs(15);
/// Part of the time within which a change must be in force that passes between two watches; changes
/// gather in it.
const WATCH_PAUSE_DIVISOR: u32 = 5;
/// The same while engines reload: each tenth of a second that an engine is ready and unknown counts.
const RELOAD_WATCH_PAUSE: Duration = Duration::from_millis(200);
/// Pause after a failed call, doubled with each further one.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
/// Longest pause after failed calls: a store that is back must be heard within a second.
const MAX_BACKOFF: Duration = Duration::from_millis(400);
/// How long this instance stays listed after its last sign of life.
const REGISTRATION_TTL: Duration = Duration::from_secs(10);
/// Time between its signs of life: three fit into the lease.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(3);

/// State of the control thread.
pub struct Control {
    /// The clock.
    pub clock: Clock,
    /// Settings of the process.
    pub settings: Settings,
    /// What the store says.
    pub replica: RefCell<Replica>,
    /// Metrics.
    pub metrics: Metrics,
    /// Random id of this process's life.
    pub incarnation: u64,
    views: watch::Sender<Option<Arc<View>>>,
}

impl Control {
    /// A control thread's state before it has heard anything.
    pub fn new(
        clock: Clock,
        settings: Settings,
        metrics: Metrics,
        views: watch::Sender<Option<Arc<View>>>,
    ) -> Self {
        // Keys and messages hold numbers that every JSON reader takes whole.
        let incarnation = rand::rng().random::<u64>() >> 12;
        let replica = RefCell::new(Replica::new(incarnation));
        Self { clock, settings, replica, metrics, incarnation, views }
    }

    /// Runs until `stop` tells to stop.
    pub async fn run(self: Rc<Self>, mut stop: watch::Receiver<bool>) {
        let follow = tokio::task::spawn_local(self.clone().follow());
        let lease = Rc::new(RefCell::new(None));
        let registration = tokio::task::spawn_local(self.clone().keep_registered(lease.clone()));
        let sync = tokio::task::spawn_local(self.clone().sync_clock());
        let holder = Holder::new(self.clone());
        let ordering = tokio::task::spawn_local(holder.clone().run());
        let _ = stop.wait_for(|stop| *stop).await;
        ordering.abort();
        registration.abort();
        sync.abort();
        holder.stop().await;
        let lease = *lease.borrow();
        if let Some(lease) = lease {
            self.end_lease(lease).await;
        }
        follow.abort();
    }

    /// Hands traffic the present view.
    pub fn publish(&self) {
        if let Some(view) = self.replica.borrow().view(&self.settings.instance) {
            self.views.send_replace(Some(Arc::new(view)));
        }
    }

    /// Gives a lease back; if that fails it ends by itself.
    pub async fn end_lease(&self, lease: LeaseId) {
        self.metrics.store_call("revoke");
        if let Err(failure) = StoreClient::new(self.settings.store_address).revoke(lease).await {
            tracing::info!(%failure, lease, "a lease could not be given back and will lapse");
        }
    }

    /// Reads everything, then follows the changes.
    async fn follow(self: Rc<Self>) {
        let mut client = StoreClient::new(self.settings.store_address);
        let mut failures = 0;
        let mut after: Option<ModRevision> = None;
        loop {
            let result = match after {
                None => self.read_all(&mut client).await,
                Some(revision) => self.watch(&mut client, revision).await,
            };
            match result {
                Ok(revision) => {
                    failures = 0;
                    after = Some(revision);
                }
                Err(WatchFailure::HistoryLost) => {
                    tracing::warn!(after, "the store's history is gone; everything is read anew");
                    after = None;
                }
                Err(WatchFailure::Call(failure)) => {
                    self.record_failure(failure);
                    let backoff = MIN_BACKOFF * 2_u32.pow(failures);
                    failures = (failures + 1).min(4);
                    let jitter = rand::rng().random_range(0.5..1.0);
                    tokio::time::sleep(backoff.min(MAX_BACKOFF).mul_f64(jitter)).await;
                }
            }
        }
    }

    async fn read_all(&self, client: &mut StoreClient) -> Result<ModRevision, WatchFailure> {
        let mut entries = Vec::new();
        let mut after = String::new();
        let mut first = None;
        loop {
            self.metrics.store_call("list");
            let sent = self.clock.now();
            let page = client.list("", &after).await?;
            // Pages are read one after the other: what changed since the first one is watched for.
            let (revision, first_sent) = *first.get_or_insert((page.revision, sent));
            after = page.entries.last().map(|entry| entry.key.clone()).unwrap_or_default();
            let is_last = !page.has_more || page.entries.is_empty();
            entries.extend(page.entries);
            if is_last {
                self.record_answer(first_sent);
                let updates = self.replica.borrow_mut().replace(self.clock.now(), entries);
                self.log_updates(updates, revision);
                self.publish();
                return Ok(revision);
            }
        }
    }

    async fn watch(
        &self,
        client: &mut StoreClient,
        after: ModRevision,
    ) -> Result<ModRevision, WatchFailure> {
        self.metrics.store_call("watch");
        let sent = self.clock.now();
        let changes = client.watch("", after, WATCH_WAIT).await?;
        self.record_answer(sent);
        let now = self.clock.now();
        let mut updates = Vec::new();
        for change in &changes.changes {
            updates.extend(self.replica.borrow_mut().apply(now, change));
        }
        if !updates.is_empty() {
            self.log_updates(updates, changes.revision);
        }
        self.publish();
        if !changes.changes.is_empty() {
            tokio::time::sleep(self.watch_pause()).await;
        }
        Ok(changes.revision)
    }

    /// Pause between two watches.
    pub fn watch_pause(&self) -> Duration {
        if self.replica.borrow().is_reloading() {
            return RELOAD_WATCH_PAUSE;
        }
        let bounds = &self.settings.bounds;
        bounds.drain.min(bounds.apply) / WATCH_PAUSE_DIVISOR
    }

    /// Logs what is believed now.
    fn log_updates(&self, updates: Vec<Update>, revision: ModRevision) {
        for update in updates {
            match update {
                Update::Malformed { key, problem } => {
                    self.metrics.value_skipped();
                    tracing::warn!(revision, key, problem, "a value in the store is passed over");
                }
                Update::Holder | Update::Stock(_) => {
                    tracing::debug!(revision, belief = ?update, "the holder told something");
                }
                update => tracing::info!(revision, belief = ?update, "belief changed"),
            }
        }
    }

    /// The store failed.
    fn record_failure(&self, failure: Failure) {
        if self.replica.borrow_mut().fail(self.clock.now()) {
            tracing::warn!(dependency = "store", %failure, "dependency lost");
            self.publish();
        }
    }

    /// The store answered a call that was sent at `sent`.
    fn record_answer(&self, sent: Time) {
        let now = self.clock.now();
        self.replica.borrow_mut().confirm(sent);
        let lost = self.replica.borrow_mut().recover(now);
        if let Some(since) = lost {
            let after_ms = millis(now.saturating_sub(since));
            tracing::info!(dependency = "store", after_ms, "dependency regained");
            self.publish();
        }
    }

    /// Learns the servers' clock, by which reads from stores are limited.
    async fn sync_clock(self: Rc<Self>) {
        let http = Client::default();
        loop {
            let stores: Vec<SocketAddr> = self.store_addresses();
            let mut is_known = false;
            for address in stores {
                let request = cache::clock_errand(address);
                // The clock runs on while the answer is on its way; the earlier time is the safe one.
                let Ok((status, body)) = http.call(address, &request, Duration::ZERO).await else {
                    continue;
                };
                if let Some(millis) = cache::clock(status, &body) {
                    self.replica.borrow_mut().set_server_clock(self.clock.now(), millis);
                    is_known = true;
                    break;
                }
            }
            tokio::time::sleep(if is_known { CLOCK_INTERVAL } else { REGISTRATION_TTL / 10 }).await;
        }
    }

    /// Stores of KV cache, those of this zone first.
    fn store_addresses(&self) -> Vec<SocketAddr> {
        let replica = self.replica.borrow();
        let services = replica.configuration().into_iter().flat_map(|c| c.services.values());
        let mut stores: Vec<_> = services
            .filter_map(|service| match &service.role {
                Role::Store(store) if store.managed => {
                    Some((*store.zone != *self.settings.zone, store.address))
                }
                _ => None,
            })
            .collect();
        stores.sort_unstable();
        stores.into_iter().map(|(_, address)| address).collect()
    }

    /// Keeps this instance on the list that limits are shared by.
    async fn keep_registered(self: Rc<Self>, lease: Rc<RefCell<Option<LeaseId>>>) {
        let mut client = StoreClient::new(self.settings.store_address);
        loop {
            let kept = *lease.borrow();
            let registered = match kept {
                Some(kept) => {
                    self.metrics.store_call("renew");
                    client.renew(kept).await.map(|is_alive| is_alive.then_some(kept))
                }
                None => self.register(&mut client).await,
            };
            match registered {
                Ok(Some(kept)) => {
                    lease.replace(Some(kept));
                    tokio::time::sleep(HEARTBEAT_INTERVAL).await;
                }
                Ok(None) => {
                    lease.replace(None);
                    tokio::time::sleep(MIN_BACKOFF).await;
                }
                Err(failure) => {
                    tracing::debug!(%failure, "the sign of life failed");
                    tokio::time::sleep(MAX_BACKOFF).await;
                }
            }
        }
    }

    async fn register(&self, client: &mut StoreClient) -> Result<Option<LeaseId>, Failure> {
        self.metrics.store_call("grant");
        let (lease, _) = client.grant(REGISTRATION_TTL.max(self.settings.least_lease)).await?;
        self.metrics.store_call("write");
        let key = instance_key(&self.settings.instance);
        let presence =
            Presence { peer: self.settings.peer_address, zone: self.settings.zone.clone() };
        match client.write(&key, &presence.encode(), None, lease).await? {
            Written::Done(_) => Ok(Some(lease)),
            Written::Conflict | Written::LeaseEnded => Ok(None),
        }
    }
}
