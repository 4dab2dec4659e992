//! The accounts of the managed stores, kept by the holder of the right to order.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use acacia_platform::cache::{self, Events, Listed, Position};
use acacia_platform::document::inventory_key;
use acacia_platform::instance::encode_inventory;
use acacia_platform::store::{Client, Written};
use acacia_policy::Time;
use acacia_policy::gateway::Weights;
use acacia_policy::gateway::configuration::{Role, ServiceName};
use acacia_policy::gateway::gossip::stable_hash;
use acacia_policy::gateway::inventory::Ledger;
use tokio::sync::Mutex;

use crate::control::Control;
use crate::errand::Caller;
use crate::holder::NO_LEASE;

/// How long a call for events waits at the store, nearly the longest that stores allow.
const EVENTS_WAIT: Duration = Duration::from_millis(950);
/// Pause after events came, in which others gather.
const GATHER: Duration = Duration::from_millis(500);
/// Pause after a store could not be reached.
const FAILURE_PAUSE: Duration = Duration::from_millis(300);
/// Shortest time between two lists of one store that are written.
const WRITE_PAUSE: Duration = Duration::from_millis(300);

/// Keeps the accounts while it lives.
pub struct Librarian {
    control: Rc<Control>,
    caller: Rc<Caller>,
    client: Mutex<Client>,
    tasks: RefCell<HashMap<ServiceName, tokio::task::JoinHandle<()>>>,
}

/// One store and its account.
struct Account {
    service: ServiceName,
    address: SocketAddr,
    ledger: RefCell<Ledger>,
    written: Cell<Time>,
    is_lost: Cell<bool>,
}

impl Account {
    /// The store does not answer; logged once until it does.
    fn lose(&self, failure: &str) {
        if !self.is_lost.replace(true) {
            tracing::warn!(dependency = %self.address, failure, "dependency lost");
        }
    }

    /// The store answers.
    fn regain(&self) {
        if self.is_lost.replace(false) {
            tracing::info!(dependency = %self.address, "dependency regained");
        }
    }
}

impl Librarian {
    /// A librarian without accounts.
    pub fn new(control: Rc<Control>, caller: Rc<Caller>) -> Rc<Self> {
        let client = Mutex::new(Client::new(control.settings.store_address));
        Rc::new(Self { control, caller, client, tasks: RefCell::default() })
    }

    /// Begins with stores that the configuration names, and ends with those that it no longer names.
    pub fn work(self: &Rc<Self>) {
        let stores = self.stores();
        let mut tasks = self.tasks.borrow_mut();
        tasks.retain(|service, task| {
            let is_named = stores.iter().any(|(name, _)| name == service);
            if !is_named {
                task.abort();
            }
            is_named
        });
        for (service, address) in stores {
            tasks.entry(service.clone()).or_insert_with(|| {
                let account = Account {
                    service,
                    address,
                    ledger: RefCell::default(),
                    written: Cell::default(),
                    is_lost: Cell::default(),
                };
                tokio::task::spawn_local(self.clone().keep(account))
            });
        }
    }

    /// Ends all accounts; another instance goes on from what is written and what stores list.
    pub fn rest(&self) {
        for (_, task) in self.tasks.borrow_mut().drain() {
            task.abort();
        }
    }

    /// Managed stores by service.
    fn stores(&self) -> Vec<(ServiceName, SocketAddr)> {
        let picture = self.control.picture.borrow();
        let services = picture.configuration().into_iter().flat_map(|c| c.services.values());
        let managed = services.filter_map(|service| match &service.role {
            Role::Store(store) if store.managed => Some((service.name.clone(), store.address)),
            _ => None,
        });
        managed.collect()
    }

    /// Keeps one account.
    async fn keep(self: Rc<Self>, account: Account) {
        loop {
            match self.list(&account).await {
                Some(next) => self.follow(&account, next).await,
                None => {
                    account.ledger.borrow_mut().clear();
                    self.settle(&account).await;
                }
            }
            tokio::time::sleep(FAILURE_PAUSE).await;
        }
    }

    /// Reads all that a store holds; gives where its events go on.
    async fn list(&self, account: &Account) -> Option<Position> {
        let errand = cache::list_request(account.address);
        let answer = self.caller.call(account.address, &errand, Duration::ZERO).await;
        let listed = answer.ok().and_then(|(status, body)| cache::listed(status, &body));
        let Some(Listed { listing, next }) = listed else {
            account.lose("no list");
            return None;
        };
        account.regain();
        tracing::info!(
            store = %account.address,
            epoch = listing.epoch,
            held = listing.held.len(),
            incomplete = listing.incomplete.len(),
            "listed a store of KV cache"
        );
        let before = self.control.picture.borrow().stock(&account.service).map(|(s, _)| s.clone());
        let now = self.control.clock.now();
        account.ledger.borrow_mut().list(now, listing, before.as_deref());
        Some(next)
    }

    /// Follows a store's events until a list is needed again.
    async fn follow(&self, account: &Account, mut next: Position) {
        loop {
            self.settle(account).await;
            let errand = cache::events_request(account.address, next, EVENTS_WAIT);
            let answer = self.caller.call(account.address, &errand, EVENTS_WAIT).await;
            let events = answer.ok().and_then(|(status, body)| cache::events(status, &body));
            let Some(Events { epoch, next: after, has_gap, changes }) = events else {
                account.lose("no events");
                account.ledger.borrow_mut().clear();
                self.settle(account).await;
                return;
            };
            if epoch != account.ledger.borrow().epoch() || has_gap {
                tracing::info!(store = %account.address, epoch, has_gap, "a store is listed anew");
                return;
            }
            next = after;
            if changes.is_empty() {
                continue;
            }
            for change in changes {
                account.ledger.borrow_mut().change(change);
            }
            self.settle(account).await;
            tokio::time::sleep(GATHER).await;
        }
    }

    /// Retires parts of older weights, writes the list if it changed, and frees what is due.
    async fn settle(&self, account: &Account) {
        let now = self.control.clock.now();
        if self.gives_up(account) {
            let weights = self.control.picture.borrow().weights().clone();
            account.ledger.borrow_mut().retire(|model| weights.get(model).map(Weights::version));
        }
        let (written, revision) = match self.control.picture.borrow().stock(&account.service) {
            Some((stock, revision)) => (Some(stock.clone()), revision),
            None => (None, 0),
        };
        let is_published = account.ledger.borrow().is_published(now, written.as_deref());
        if !is_published && now >= account.written.get() + WRITE_PAUSE {
            account.written.set(now);
            self.write(account, revision).await;
        }
        let due = account.ledger.borrow_mut().take_due(now);
        if !due.is_empty() {
            let epoch = account.ledger.borrow().epoch();
            let errand = cache::free_request(account.address, epoch, &due);
            let answer = self.caller.call(account.address, &errand, Duration::ZERO).await;
            let status = answer.map(|(status, _)| status.as_u16());
            tracing::info!(store = %account.address, parts = due.len(), ?status, "freed parts");
        }
    }

    /// Whether a store is to give parts of older weights up now.
    fn gives_up(&self, account: &Account) -> bool {
        let mut stores = self.stores();
        // By a hash, so that small and large stores come by turns.
        stores.sort_unstable_by_key(|(_, address)| stable_hash(address));
        let own = stores.iter().position(|(service, _)| *service == account.service);
        let limit = self.control.settings.bounds.weights;
        let renewal = self.control.picture.borrow().renewal(self.control.clock.now(), limit);
        own.is_none_or(|own| renewal.is_due(own, stores.len()))
    }

    async fn write(&self, account: &Account, revision: i64) {
        let stock = account.ledger.borrow().inventory(self.control.clock.now());
        let value = encode_inventory(&stock);
        self.control.metrics.store_call("write");
        let key = inventory_key(&account.service);
        let written = self.client.lock().await.write(&key, &value, Some(revision), NO_LEASE).await;
        match written {
            Ok(Written::Done(_)) => {
                account.ledger.borrow_mut().published(self.control.clock.now());
            }
            Ok(Written::Conflict | Written::LeaseEnded) => {
                tracing::debug!(store = %account.address, "the list written before is on its way");
            }
            Err(failure) => {
                tracing::info!(store = %account.address, %failure, "a store's list is not written");
            }
        }
    }
}
