//! The control thread: follows the metadata store and publishes views of it to the traffic thread.

use std::cell::RefCell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use acacia_platform::document::{Subject, URGENT};
use acacia_platform::store::{Changes, Client as StoreClient, Eras, WatchFailure};
use acacia_platform::{Settings, cache};
use acacia_policy::Time;
use acacia_policy::gateway::configuration::Role;
use acacia_policy::gateway::{Server, View};
use acacia_policy::kv::{Failure, Lease, Revision};
use rand::RngExt;
use tokio::sync::{Mutex, Notify, watch};

use crate::canary::Resolutions;
use crate::client::Client;
use crate::clock::Clock;
use crate::holder::Holder;
use crate::metric::Metrics;
use crate::registration::Registration;
use crate::replica::{Replica, Update};
use crate::traffic::millis;

/// Longest wait of a watch. Its answer proves that the replica is current, which reads from managed
/// stores require: two waits fit into the time for which an inventory stays valid.
const WATCH_WAIT: Duration = Duration::from_millis(700);
/// Time after which an answer of a watch is late. Urgent changes are read apart then.
const URGENT_DELAY: Duration = Duration::from_millis(300);
/// Pause between two such reads while the answer is still late.
const URGENT_INTERVAL: Duration = Duration::from_millis(500);
/// Wait of a read of the latest changes, which answers at once.
const CONFIRMATION_WAIT: Duration = Duration::from_millis(1);
/// Shortest interval between two such reads, which bounds their number at hundreds of instances.
const CONFIRMATION_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between reads of the servers' clock. Clocks drift by far less than a millisecond in it.
const CLOCK_INTERVAL: Duration = Duration::from_secs(15);
/// The same while no server has answered.
const CLOCK_RETRY: Duration = Duration::from_secs(1);
/// The pause between two watches is this fraction of the time within which a change must be in
/// force. Changes are batched during the pause.
const WATCH_PAUSE_DIVISOR: u32 = 5;
/// Pause between two watches while engines reload. Each 100 ms for which a ready engine is not yet
/// known to be ready matters.
const RELOAD_WATCH_PAUSE: Duration = Duration::from_millis(200);
/// Pause after the first failed call, doubled after each further one.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
/// Time for an answer of a watch from which it is logged.
const SLOW_TRANSFER: Duration = Duration::from_millis(150);
/// Longest pause after failed calls. A recovered metadata store must be noticed within a second.
const MAX_BACKOFF: Duration = Duration::from_millis(400);

/// State of the control thread.
pub struct Control {
    /// The clock of the process.
    pub clock: Clock,
    /// The settings of the process.
    pub settings: Settings,
    /// The replica of the metadata store.
    pub replica: RefCell<Replica>,
    /// The metrics of the process.
    pub metrics: Metrics,
    /// Random id of this run of the process.
    pub incarnation: u64,
    /// The newest era of the metadata store.
    pub eras: Eras,
    /// The states of orders to move traffic, as the traffic thread has found them.
    pub resolutions: watch::Receiver<Resolutions>,
    views: watch::Sender<Option<Arc<View>>>,
    /// Notified by the traffic thread when a request needs a current view.
    view_doubts: Arc<Notify>,
    /// Held while all entries are read, and while a view is confirmed: a listing must not replace newer
    /// contents.
    listing: Mutex<()>,
}

impl Control {
    /// State with an empty replica.
    pub fn new(
        clock: Clock,
        settings: Settings,
        metrics: Metrics,
        views: watch::Sender<Option<Arc<View>>>,
        view_doubts: Arc<Notify>,
        resolutions: watch::Receiver<Resolutions>,
    ) -> Self {
        // 52 bits, which every JSON reader represents exactly.
        let incarnation = rand::rng().random::<u64>() >> 12;
        let replica = RefCell::new(Replica::new(incarnation));
        Self {
            clock,
            settings,
            replica,
            metrics,
            incarnation,
            eras: Eras::default(),
            resolutions,
            views,
            view_doubts,
            listing: Mutex::default(),
        }
    }

    /// A new client of the metadata store.
    pub fn store_client(&self) -> StoreClient {
        StoreClient::new(self.settings.store_address, self.eras.clone())
    }

    /// Whether the replica reflects the metadata store's current era, and the store answers.
    pub fn is_current(&self) -> bool {
        let replica = self.replica.borrow();
        replica.is_current() && replica.era() == self.eras.current()
    }

    /// Runs until `stop` becomes true, then ends the leases.
    pub async fn run(self: Rc<Self>, mut stop: watch::Receiver<bool>) {
        let follow = tokio::task::spawn_local(self.clone().follow());
        let registration = Registration::new(self.clone());
        let registering = tokio::task::spawn_local(registration.clone().run());
        let sync = tokio::task::spawn_local(self.clone().sync_clock());
        let confirmation = tokio::task::spawn_local(self.clone().confirm_views());
        let holder = Holder::new(self.clone());
        let ordering = tokio::task::spawn_local(holder.clone().run());
        let _ = stop.wait_for(|stop| *stop).await;
        ordering.abort();
        registering.abort();
        sync.abort();
        confirmation.abort();
        holder.stop().await;
        registration.stop().await;
        follow.abort();
    }

    /// Publishes the current view to the traffic thread.
    pub fn publish(&self) {
        if let Some(view) = self.replica.borrow().view(&self.settings.instance) {
            self.views.send_replace(Some(Arc::new(view)));
        }
    }

    /// Revokes a lease. If that fails, the lease expires by itself.
    pub async fn end_lease(&self, lease: Lease) {
        self.metrics.store_call("revoke");
        if let Err(failure) = self.store_client().revoke(lease).await {
            tracing::info!(%failure, lease = lease.id, "lease not revoked; it will expire");
        }
    }

    /// Reads all entries, then watches for changes.
    async fn follow(self: Rc<Self>) {
        let (mut client, mut urgent) = (self.store_client(), self.store_client());
        let mut failures = 0;
        let mut after: Option<Revision> = None;
        loop {
            let result = match after {
                None => self.read_all(&mut client).await,
                Some(revision) => self.watch(&mut client, &mut urgent, revision).await,
            };
            match result {
                Ok(revision) => {
                    failures = 0;
                    after = Some(revision);
                }
                Err(WatchFailure::HistoryLost) => {
                    let after = after.take();
                    tracing::warn!(
                        after = after.map(|revision| revision.number),
                        era = after.map(|revision| revision.era),
                        current_era = self.eras.current(),
                        "watch history lost in the metadata store; reading all entries again"
                    );
                }
                Err(WatchFailure::Call(failure)) => {
                    self.record_failure(failure);
                    let age = self.clock.now().saturating_sub(self.replica.borrow().as_of());
                    tracing::info!(%failure, failures, age_ms = millis(age), "watch failed");
                    let backoff = MIN_BACKOFF * 2_u32.pow(failures);
                    failures = (failures + 1).min(4);
                    let jitter = rand::rng().random_range(0.5..1.0);
                    tokio::time::sleep(backoff.min(MAX_BACKOFF).mul_f64(jitter)).await;
                }
            }
        }
    }

    async fn read_all(&self, client: &mut StoreClient) -> Result<Revision, WatchFailure> {
        let _listing = self.listing.lock().await;
        let mut entries = Vec::new();
        let mut after = String::new();
        let mut first = None;
        loop {
            self.metrics.store_call("list");
            let sent = self.clock.now();
            let page = client.list("", &after).await?;
            // Pages are read one after the other. The watch starts at the first page's revision, so
            // that changes made while reading are not missed.
            let (revision, first_sent) = *first.get_or_insert((page.revision, sent));
            if page.revision.era != revision.era {
                return Err(WatchFailure::HistoryLost);
            }
            after = page.entries.last().map(|entry| entry.key.clone()).unwrap_or_default();
            let is_last = !page.has_more || page.entries.is_empty();
            entries.extend(page.entries);
            if is_last {
                self.record_answer(first_sent);
                let now = self.clock.now();
                let updates = self.replica.borrow_mut().replace(now, revision, &entries);
                self.log_updates(updates, revision);
                self.publish();
                return Ok(revision);
            }
        }
    }

    /// Watches for changes once, then pauses if there were any. While the answer is late, urgent
    /// changes are read over another connection.
    async fn watch(
        &self,
        client: &mut StoreClient,
        urgent: &mut StoreClient,
        after: Revision,
    ) -> Result<Revision, WatchFailure> {
        let changes = tokio::select! {
            changes = self.read_changes(client, after, WATCH_WAIT) => changes?,
            never = self.read_urgent(urgent) => match never {},
        };
        if !changes.changes.is_empty() {
            tokio::time::sleep(self.watch_pause()).await;
        }
        Ok(changes.revision)
    }

    /// Applies the changes after a revision, and publishes the view.
    async fn read_changes(
        &self,
        client: &mut StoreClient,
        after: Revision,
        wait: Duration,
    ) -> Result<Changes, WatchFailure> {
        self.metrics.store_call("watch");
        let sent = self.clock.now();
        let changes = client.watch("", after, wait).await?;
        self.record_volume(&changes);
        self.record_answer(sent);
        let now = self.clock.now();
        let mut updates = Vec::new();
        for change in &changes.changes {
            updates.extend(self.replica.borrow_mut().apply(now, change));
        }
        self.replica.borrow_mut().advance(changes.revision);
        if !updates.is_empty() {
            self.log_updates(updates, changes.revision);
        }
        self.publish();
        Ok(changes)
    }

    /// Reads urgent changes from the time on at which a watch that begins now is late.
    async fn read_urgent(&self, client: &mut StoreClient) -> Infallible {
        let is_available = self.replica.borrow().is_current();
        let wait = if is_available { WATCH_WAIT } else { Duration::ZERO };
        tokio::time::sleep(wait + URGENT_DELAY).await;
        loop {
            for (index, prefix) in URGENT.into_iter().enumerate() {
                if let Err(failure) = self.read_urgent_changes(client, index, prefix).await {
                    tracing::info!(%failure, prefix, "urgent changes not read");
                }
            }
            tokio::time::sleep(URGENT_INTERVAL).await;
        }
    }

    /// Applies the latest changes with an urgent prefix, and publishes the view.
    async fn read_urgent_changes(
        &self,
        client: &mut StoreClient,
        index: usize,
        prefix: &str,
    ) -> Result<(), WatchFailure> {
        self.metrics.store_call("watch");
        let after = self.replica.borrow().urgent_revision(index);
        let changes = client.watch(prefix, after, CONFIRMATION_WAIT).await?;
        let (now, revision) = (self.clock.now(), changes.revision);
        let mut updates = Vec::new();
        for change in &changes.changes {
            updates.extend(self.replica.borrow_mut().apply(now, change));
        }
        self.replica.borrow_mut().advance_urgent(index, revision);
        if !updates.is_empty() {
            let age = self.clock.now().saturating_sub(self.replica.borrow().as_of());
            let changes = updates.len();
            tracing::info!(prefix, changes, age_ms = millis(age), "urgent changes read apart");
            self.log_updates(updates, revision);
            self.publish();
        }
        Ok(())
    }

    /// Reads the latest changes when a request needs a current view, as the watch may wait or pause.
    async fn confirm_views(self: Rc<Self>) {
        let mut client = self.store_client();
        loop {
            self.view_doubts.notified().await;
            let listing = self.listing.lock().await;
            if !self.is_current() {
                continue;
            }
            let after = self.replica.borrow().revision();
            if let Err(failure) = self.read_changes(&mut client, after, CONFIRMATION_WAIT).await {
                // The watch notices a lost history and an outage.
                tracing::info!(%failure, "view not confirmed");
            }
            drop(listing);
            tokio::time::sleep(CONFIRMATION_INTERVAL).await;
        }
    }

    /// Pause between two watches.
    pub fn watch_pause(&self) -> Duration {
        if self.replica.borrow().is_reloading() {
            return RELOAD_WATCH_PAUSE;
        }
        let bounds = &self.settings.bounds;
        bounds.drain.min(bounds.apply) / WATCH_PAUSE_DIVISOR
    }

    /// Logs updates of the replica and counts malformed values.
    fn log_updates(&self, updates: Vec<Update>, revision: Revision) {
        let revision = revision.number;
        for update in updates {
            match update {
                Update::Malformed { key, problem } => {
                    self.metrics.value_skipped();
                    tracing::warn!(
                        revision,
                        key,
                        problem,
                        "skipped a malformed value in the metadata store"
                    );
                }
                Update::Holder | Update::Stock(_) => {
                    tracing::debug!(revision, belief = ?update, "holder or inventory updated");
                }
                update => tracing::info!(revision, belief = ?update, "replica updated"),
            }
        }
    }

    /// Records a failed call to the metadata store.
    fn record_failure(&self, failure: Failure) {
        if self.replica.borrow_mut().fail(self.clock.now()) {
            tracing::warn!(dependency = "store", %failure, "dependency lost");
            self.publish();
        }
    }

    /// Counts the bytes of the changed values, and logs an answer that took long.
    fn record_volume(&self, changes: &Changes) {
        let (mut inventories, mut others) = (0, 0);
        for change in &changes.changes {
            let bytes = change.value.as_ref().map_or(0, Vec::len) as u64;
            match Subject::of(&change.key) {
                Subject::Inventory(_) => inventories += bytes,
                _ => others += bytes,
            }
        }
        self.metrics.store_bytes("inventory", inventories);
        self.metrics.store_bytes("other", others);
        if changes.transfer >= SLOW_TRANSFER {
            tracing::info!(
                revision = changes.revision.number,
                changes = changes.changes.len(),
                inventory_bytes = inventories,
                other_bytes = others,
                transfer_ms = millis(changes.transfer),
                "slow answer of the metadata store"
            );
        }
    }

    /// Records that the metadata store answered a call sent at `sent`. The caller publishes a view
    /// after it has applied the answer: until then, the view would seem newer than it is.
    fn record_answer(&self, sent: Time) {
        let now = self.clock.now();
        self.replica.borrow_mut().confirm(sent);
        let lost = self.replica.borrow_mut().recover(now);
        if let Some(since) = lost {
            let after_ms = millis(now.saturating_sub(since));
            tracing::info!(dependency = "store", after_ms, "dependency regained");
        }
    }

    /// Reads the servers' clock regularly. Deadlines of reads from KV cache stores are stated in
    /// it.
    async fn sync_clock(self: Rc<Self>) {
        let http = Client::default();
        loop {
            let stores: Vec<SocketAddr> = self.store_addresses();
            let mut is_known = false;
            for address in stores {
                let request = cache::clock_request(address);
                // The clock advances while the answer is in transit, so the time read is early.
                // That is the safe side.
                let Ok((status, body)) = http.call(address, &request, Duration::ZERO).await else {
                    continue;
                };
                if let Some(millis) = cache::clock(status, &body) {
                    self.replica.borrow_mut().set_server_clock(self.clock.now(), millis);
                    is_known = true;
                    break;
                }
            }
            tokio::time::sleep(if is_known { CLOCK_INTERVAL } else { CLOCK_RETRY }).await;
        }
    }

    /// The listed engines that are not leaving.
    pub fn engines(&self) -> Vec<Arc<Server>> {
        let replica = self.replica.borrow();
        let engines = replica.servers().values();
        engines.filter(|server| !server.models.is_empty() && !server.leaving).cloned().collect()
    }

    /// Addresses of the managed KV cache stores, those of this zone first.
    pub fn store_addresses(&self) -> Vec<SocketAddr> {
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
}
