//! The control thread: follows the metadata store and hands traffic a view of it.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use acacia_platform::document::instance_key;
use acacia_platform::instance::Presence;
use acacia_platform::store::{Client, WatchFailure, Written};
use acacia_platform::{Settings, cache};
use acacia_policy::Time;
use acacia_policy::gateway::View;
use acacia_policy::gateway::configuration::Role;
use acacia_policy::kv::{Failure, LeaseId, ModRevision};
use rand::RngExt;
use tokio::sync::watch;

use crate::clock::Clock;
use crate::errand::Caller;
use crate::holder::Orderer;
use crate::metric::Metrics;
use crate::picture::{Belief, Picture};
use crate::traffic::millis;

/// Longest wait of a watch. Its answer shows that nothing was missed, and reads from managed stores
/// rest on that: two waits fit into the time for which a stock may be read by.
const WATCH_WAIT: Duration = Duration::from_millis(700);
/// Time between looks at the servers' clock; clocks drift by far less than a millisecond in it.
const CLOCK_LOOK: Duration = Duration::from_secs(15);
/// Part of the time within which a change must be in force that passes between two watches; changes
/// gather in it.
const WATCH_PAUSE_PART: u32 = 5;
/// The same while engines reload: each tenth of a second that an engine is ready and unknown counts.
const RELOAD_PAUSE: Duration = Duration::from_millis(200);
/// Pause after a failed call, doubled with each further one.
const FAILURE_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause after failed calls: a store that is back must be heard within a second.
const FAILURE_PAUSE_LIMIT: Duration = Duration::from_millis(400);
/// How long this instance stays listed after its last sign of life.
const LISTED: Duration = Duration::from_secs(10);
/// Time between its signs of life: three fit into the lease.
const SIGN_OF_LIFE: Duration = Duration::from_secs(3);

/// State of the control thread.
pub struct Control {
    /// The clock.
    pub clock: Clock,
    /// Settings of the process.
    pub settings: Settings,
    /// What the store says.
    pub picture: RefCell<Picture>,
    /// Metrics.
    pub metrics: Metrics,
    /// Random id of this process's life.
    pub life: u64,
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
        let life = rand::rng().random::<u64>() >> 12;
        let picture = RefCell::new(Picture::new(life));
        Self { clock, settings, picture, metrics, life, views }
    }

    /// Runs until `stop` tells to stop.
    pub async fn run(self: Rc<Self>, mut stop: watch::Receiver<bool>) {
        let follow = tokio::task::spawn_local(self.clone().follow());
        let lease = Rc::new(RefCell::new(None));
        let list = tokio::task::spawn_local(self.clone().stay_listed(lease.clone()));
        let tell_time = tokio::task::spawn_local(self.clone().follow_clock());
        let orderer = Orderer::new(self.clone());
        let order = tokio::task::spawn_local(orderer.clone().run());
        let _ = stop.wait_for(|stop| *stop).await;
        order.abort();
        list.abort();
        tell_time.abort();
        orderer.stop().await;
        let lease = *lease.borrow();
        if let Some(lease) = lease {
            self.end_lease(lease).await;
        }
        follow.abort();
    }

    /// Hands traffic the present view.
    pub fn publish(&self) {
        if let Some(view) = self.picture.borrow().view(&self.settings.instance) {
            self.views.send_replace(Some(Arc::new(view)));
        }
    }

    /// Gives a lease back; if that fails it ends by itself.
    pub async fn end_lease(&self, lease: LeaseId) {
        self.metrics.store_call("revoke");
        if let Err(failure) = Client::new(self.settings.store_address).revoke(lease).await {
            tracing::info!(%failure, lease, "a lease could not be given back and will lapse");
        }
    }

    /// Reads everything, then follows the changes.
    async fn follow(self: Rc<Self>) {
        let mut client = Client::new(self.settings.store_address);
        let mut failures = 0;
        let mut after: Option<ModRevision> = None;
        loop {
            let heard = match after {
                None => self.read_all(&mut client).await,
                Some(revision) => self.watch(&mut client, revision).await,
            };
            match heard {
                Ok(revision) => {
                    failures = 0;
                    after = Some(revision);
                }
                Err(WatchFailure::HistoryLost) => {
                    tracing::warn!(after, "the store's history is gone; everything is read anew");
                    after = None;
                }
                Err(WatchFailure::Call(failure)) => {
                    self.lose(failure);
                    let pause = FAILURE_PAUSE * 2_u32.pow(failures);
                    failures = (failures + 1).min(4);
                    let spread = rand::rng().random_range(0.5..1.0);
                    tokio::time::sleep(pause.min(FAILURE_PAUSE_LIMIT).mul_f64(spread)).await;
                }
            }
        }
    }

    async fn read_all(&self, client: &mut Client) -> Result<ModRevision, WatchFailure> {
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
                self.regain(first_sent);
                let beliefs = self.picture.borrow_mut().replace(self.clock.now(), entries);
                self.tell(beliefs, revision);
                self.publish();
                return Ok(revision);
            }
        }
    }

    async fn watch(
        &self,
        client: &mut Client,
        after: ModRevision,
    ) -> Result<ModRevision, WatchFailure> {
        self.metrics.store_call("watch");
        let sent = self.clock.now();
        let changes = client.watch("", after, WATCH_WAIT).await?;
        self.regain(sent);
        let now = self.clock.now();
        let mut beliefs = Vec::new();
        for change in &changes.changes {
            beliefs.extend(self.picture.borrow_mut().apply(now, change));
        }
        if !beliefs.is_empty() {
            self.tell(beliefs, changes.revision);
        }
        self.publish();
        if !changes.changes.is_empty() {
            tokio::time::sleep(self.watch_pause()).await;
        }
        Ok(changes.revision)
    }

    /// Pause between two watches.
    pub fn watch_pause(&self) -> Duration {
        if self.picture.borrow().is_reloading() {
            return RELOAD_PAUSE;
        }
        let bounds = &self.settings.bounds;
        bounds.drain.min(bounds.apply) / WATCH_PAUSE_PART
    }

    /// Logs what is believed now.
    fn tell(&self, beliefs: Vec<Belief>, revision: ModRevision) {
        for belief in beliefs {
            match belief {
                Belief::Malformed { key, problem } => {
                    self.metrics.value_skipped();
                    tracing::warn!(revision, key, problem, "a value in the store is passed over");
                }
                Belief::Holder | Belief::Stock(_) => {
                    tracing::debug!(revision, ?belief, "the holder told something");
                }
                belief => tracing::info!(revision, belief = ?belief, "belief changed"),
            }
        }
    }

    /// The store failed.
    fn lose(&self, failure: Failure) {
        if self.picture.borrow_mut().fail(self.clock.now()) {
            tracing::warn!(dependency = "store", %failure, "dependency lost");
            self.publish();
        }
    }

    /// The store answered a call that was sent at `sent`.
    fn regain(&self, sent: Time) {
        let now = self.clock.now();
        self.picture.borrow_mut().hear(sent);
        let lost = self.picture.borrow_mut().recover(now);
        if let Some(since) = lost {
            let after_ms = millis(now.saturating_sub(since));
            tracing::info!(dependency = "store", after_ms, "dependency regained");
            self.publish();
        }
    }

    /// Learns the servers' clock, by which reads from stores are limited.
    async fn follow_clock(self: Rc<Self>) {
        let caller = Caller::default();
        loop {
            let stores: Vec<SocketAddr> = self.store_addresses();
            let mut is_known = false;
            for address in stores {
                let errand = cache::clock_request(address);
                // The clock runs on while the answer is on its way; the earlier time is the safe one.
                let Ok((status, body)) = caller.call(address, &errand, Duration::ZERO).await else {
                    continue;
                };
                if let Some(millis) = cache::clock(status, &body) {
                    self.picture.borrow_mut().set_server_clock(self.clock.now(), millis);
                    is_known = true;
                    break;
                }
            }
            tokio::time::sleep(if is_known { CLOCK_LOOK } else { LISTED / 10 }).await;
        }
    }

    /// Stores of KV cache, those of this zone first.
    fn store_addresses(&self) -> Vec<SocketAddr> {
        let picture = self.picture.borrow();
        let services = picture.configuration().into_iter().flat_map(|c| c.services.values());
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
    async fn stay_listed(self: Rc<Self>, lease: Rc<RefCell<Option<LeaseId>>>) {
        let mut client = Client::new(self.settings.store_address);
        loop {
            let kept = *lease.borrow();
            let listed = match kept {
                Some(kept) => {
                    self.metrics.store_call("renew");
                    client.renew(kept).await.map(|is_alive| is_alive.then_some(kept))
                }
                None => self.list(&mut client).await,
            };
            match listed {
                Ok(Some(kept)) => {
                    lease.replace(Some(kept));
                    tokio::time::sleep(SIGN_OF_LIFE).await;
                }
                Ok(None) => {
                    lease.replace(None);
                    tokio::time::sleep(FAILURE_PAUSE).await;
                }
                Err(failure) => {
                    tracing::debug!(%failure, "the sign of life failed");
                    tokio::time::sleep(FAILURE_PAUSE_LIMIT).await;
                }
            }
        }
    }

    async fn list(&self, client: &mut Client) -> Result<Option<LeaseId>, Failure> {
        self.metrics.store_call("grant");
        let (lease, _) = client.grant(LISTED.max(self.settings.min_lease_ttl)).await?;
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
