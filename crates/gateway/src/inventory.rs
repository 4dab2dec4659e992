//! The inventories of managed KV cache stores, maintained by the holder of the order lease.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use acacia_platform::cache::{self, Events, Listed, Position};
use acacia_platform::document::inventory_key;
use acacia_platform::instance::encode_inventory;
use acacia_platform::store::{Client as StoreClient, Written};
use acacia_policy::Time;
use acacia_policy::gateway::Weights;
use acacia_policy::gateway::configuration::{Role, ServiceName};
use acacia_policy::gateway::gossip::stable_hash;
use acacia_policy::gateway::inventory::{Ledger, Publication};
use acacia_policy::kv::Revision;
use tokio::sync::Mutex;

use crate::client::Client;
use crate::control::Control;

/// How long a call for events waits at the store: slightly less than the stores' limit.
const EVENTS_WAIT: Duration = Duration::from_millis(950);
/// Pause after events arrived, during which further ones are batched.
const EVENTS_PAUSE: Duration = Duration::from_millis(500);
/// Pause before a store that failed is called again.
const RETRY_PAUSE: Duration = Duration::from_millis(300);
/// Interval at which newer weights, and parts that are due to be freed, are checked for while a
/// call for events waits.
const UPDATE_INTERVAL: Duration = Duration::from_millis(250);
/// Shortest interval between two writes of one store's inventory.
const WRITE_INTERVAL: Duration = Duration::from_millis(300);
/// Longest interval between two writes of an inventory to which parts were added: parts must be listed
/// before they are saved again.
const MAX_WRITE_INTERVAL: Duration = Duration::from_millis(1_200);
/// Rate of the inventories' bytes, as far as they only grow. Each instance reads them, some over links
/// of 10 Mbit/s.
const BYTES_PER_S: f64 = 125_000.0;

/// Runs one task per managed store.
pub struct Manager {
    control: Rc<Control>,
    http: Rc<Client>,
    client: Mutex<StoreClient>,
    tasks: RefCell<HashMap<ServiceName, tokio::task::JoinHandle<()>>>,
    /// Bytes of each inventory that was written.
    sizes: RefCell<HashMap<ServiceName, usize>>,
}

/// A managed store and its ledger.
struct Store {
    service: ServiceName,
    address: SocketAddr,
    ledger: RefCell<Ledger>,
    written: Cell<Time>,
    is_failed: Cell<bool>,
}

impl Store {
    /// Records that the store did not answer; logged once until it answers again.
    fn record_failure(&self, failure: &str) {
        if !self.is_failed.replace(true) {
            tracing::warn!(dependency = %self.address, failure, "dependency lost");
        }
    }

    /// Records that the store answered.
    fn record_answer(&self) {
        if self.is_failed.replace(false) {
            tracing::info!(dependency = %self.address, "dependency regained");
        }
    }
}

impl Manager {
    /// A manager without tasks.
    pub fn new(control: Rc<Control>, http: Rc<Client>) -> Rc<Self> {
        let client = Mutex::new(control.store_client());
        Rc::new(Self {
            control,
            http,
            client,
            tasks: RefCell::default(),
            sizes: RefCell::default(),
        })
    }

    /// Starts tasks for stores that were added to the configuration, and aborts those of removed
    /// ones.
    pub fn reconcile(self: &Rc<Self>) {
        let stores = self.stores();
        let mut tasks = self.tasks.borrow_mut();
        tasks.retain(|service, task| {
            let is_configured = stores.iter().any(|(name, _)| name == service);
            if !is_configured {
                task.abort();
                self.sizes.borrow_mut().remove(service);
            }
            is_configured
        });
        for (service, address) in stores {
            tasks.entry(service.clone()).or_insert_with(|| {
                let store = Store {
                    service,
                    address,
                    ledger: RefCell::new(Ledger::new(self.control.eras.current())),
                    written: Cell::default(),
                    is_failed: Cell::default(),
                };
                tokio::task::spawn_local(self.clone().run(store))
            });
        }
    }

    /// Aborts all tasks. Another instance continues from the written inventories and the stores'
    /// lists.
    pub fn stop_all(&self) {
        for (_, task) in self.tasks.borrow_mut().drain() {
            task.abort();
        }
    }

    /// Managed stores and their addresses.
    fn stores(&self) -> Vec<(ServiceName, SocketAddr)> {
        let replica = self.control.replica.borrow();
        let services = replica.configuration().into_iter().flat_map(|c| c.services.values());
        let managed = services.filter_map(|service| match &service.role {
            Role::Store(terms) if terms.managed => Some((service.name.clone(), terms.address)),
            _ => None,
        });
        managed.collect()
    }

    /// Maintains the inventory of one store.
    async fn run(self: Rc<Self>, store: Store) {
        loop {
            match self.list(&store).await {
                Some(next) => self.follow(&store, next).await,
                None => {
                    store.ledger.borrow_mut().clear();
                    self.update(&store).await;
                }
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    /// Reads the list of a store's contents; returns the position at which its events continue.
    async fn list(&self, store: &Store) -> Option<Position> {
        let request = cache::list_request(store.address);
        let answer = self.http.call(store.address, &request, Duration::ZERO).await;
        let listed = answer.ok().and_then(|(status, body)| cache::listed(status, &body));
        let Some(Listed { listing, next }) = listed else {
            store.record_failure("no answer to the request for its list");
            return None;
        };
        store.record_answer();
        tracing::info!(
            store = %store.address,
            epoch = listing.epoch,
            held = listing.held.len(),
            incomplete = listing.incomplete.len(),
            "listed a KV cache store"
        );
        let before =
            self.control.replica.borrow().inventory(&store.service).map(|(s, _)| s.clone());
        let now = self.control.clock.now();
        store.ledger.borrow_mut().list(now, listing, before.as_deref());
        Some(next)
    }

    /// Follows a store's events until its contents must be listed again.
    async fn follow(&self, store: &Store, mut next: Position) {
        loop {
            self.update(store).await;
            let request = cache::events_request(store.address, next, EVENTS_WAIT);
            let answer = {
                let call = self.http.call(store.address, &request, EVENTS_WAIT);
                let mut call = std::pin::pin!(call);
                loop {
                    match tokio::time::timeout(UPDATE_INTERVAL, &mut call).await {
                        Ok(answer) => break answer,
                        Err(_) => self.update(store).await,
                    }
                }
            };
            let events = answer.ok().and_then(|(status, body)| cache::events(status, &body));
            let Some(Events { epoch, next: after, has_gap, changes }) = events else {
                store.record_failure("no answer to the request for events");
                store.ledger.borrow_mut().clear();
                self.update(store).await;
                return;
            };
            if epoch != store.ledger.borrow().epoch() || has_gap {
                tracing::info!(store = %store.address, epoch, has_gap, "listing a cache store again");
                return;
            }
            next = after;
            if changes.is_empty() {
                continue;
            }
            for change in changes {
                store.ledger.borrow_mut().change(change);
            }
            self.update(store).await;
            tokio::time::sleep(EVENTS_PAUSE).await;
        }
    }

    /// Retires prompt parts of older weights and in unused namespaces, writes the inventory if it
    /// changed, and frees the parts that are due.
    async fn update(&self, store: &Store) {
        if store.ledger.borrow().era() != self.control.eras.current() {
            return;
        }
        let now = self.control.clock.now();
        if self.may_retire(store) {
            let weights = self.control.replica.borrow().weights().clone();
            store.ledger.borrow_mut().retire(|model| weights.get(model).map(Weights::version));
        }
        if let Some(configuration) = self.control.replica.borrow().configuration() {
            store.ledger.borrow_mut().retire_unused(&configuration.namespaces);
        }
        let (written, revision) = match self.control.replica.borrow().inventory(&store.service) {
            Some((inventory, revision)) => (Some(inventory.clone()), revision),
            None => (None, Revision::absent(self.control.eras.current())),
        };
        let interval = match store.ledger.borrow().publication(now, written.as_deref()) {
            Publication::Current => None,
            Publication::Batched => Some(self.batch_interval()),
            Publication::Immediate => Some(WRITE_INTERVAL),
        };
        if interval.is_some_and(|interval| now >= store.written.get() + interval) {
            store.written.set(now);
            self.write(store, revision).await;
        }
        let due = store.ledger.borrow_mut().take_due(now);
        if !due.is_empty() {
            let epoch = store.ledger.borrow().epoch();
            let request = cache::free_request(store.address, epoch, &due);
            let answer = self.http.call(store.address, &request, Duration::ZERO).await;
            let status = answer.map(|(status, _)| status.as_u16());
            tracing::info!(store = %store.address, parts = due.len(), ?status, "freed parts");
        }
    }

    /// Interval between two writes of an inventory that only grows, so that those of all stores stay
    /// within a rate.
    fn batch_interval(&self) -> Duration {
        let bytes: usize = self.sizes.borrow().values().sum();
        let interval = Duration::from_secs_f64(bytes as f64 / BYTES_PER_S);
        interval.clamp(WRITE_INTERVAL, MAX_WRITE_INTERVAL)
    }

    /// Whether a store may retire prompt parts of older weights now.
    fn may_retire(&self, store: &Store) -> bool {
        let mut stores = self.stores();
        // Ordered by hash, so that small and large stores alternate.
        stores.sort_unstable_by_key(|(_, address)| stable_hash(address));
        let own = stores.iter().position(|(service, _)| *service == store.service);
        let limit = self.control.settings.bounds.weights;
        let progress =
            self.control.replica.borrow().rollout_progress(self.control.clock.now(), limit);
        own.is_none_or(|own| progress.is_due(own, stores.len()))
    }

    async fn write(&self, store: &Store, revision: Revision) {
        let inventory = store.ledger.borrow().inventory(self.control.clock.now());
        let value = encode_inventory(&inventory);
        self.sizes.borrow_mut().insert(store.service.clone(), value.len());
        self.control.metrics.store_call("write");
        let key = inventory_key(&store.service);
        let written = self.client.lock().await.write(&key, &value, Some(revision), None).await;
        match written {
            Ok(Written::Done(_)) => {
                store.ledger.borrow_mut().published(self.control.clock.now());
            }
            Ok(Written::Conflict | Written::LeaseEnded) => {
                tracing::debug!(store = %store.address, "earlier inventory write still pending");
            }
            Err(failure) => {
                tracing::info!(store = %store.address, %failure, "inventory not written");
            }
        }
    }
}
