//! The right to order weights, and the orders of its holder.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use acacia_connection::Fault;
use acacia_platform::document::{announcement_times_key, holder_key};
use acacia_platform::instance::OrderLease;
use acacia_platform::store::{Client, Written};
use acacia_platform::upstream::{self, Request};
use acacia_policy::Time;
use acacia_policy::gateway::Server;
use acacia_policy::gateway::rollout::{Action, LEASE_MARGIN, LeaseTerm, Receipt, Rollout};
use acacia_policy::kv::{Failure, LeaseId};
use bytes::Bytes;
use http::StatusCode;

use crate::control::Control;
use crate::errand::Caller;
use crate::librarian::Librarian;
use crate::traffic::millis;

/// Time that the right outlives its holder's last sign of life. Short, as wanted weights wait for
/// it, yet several renewals long.
const HOLD: Duration = Duration::from_millis(1_500);
/// Time between renewals.
const RENEWAL: Duration = Duration::from_millis(350);
/// Time between two rounds of the rollout.
const ROUND: Duration = Duration::from_millis(60);
/// Pause of an instance for each other that may take the right before it.
const TURN: Duration = Duration::from_millis(40);
/// Time between a word to the store and the last order that follows it.
const ORDER_WINDOW: Duration = Duration::from_millis(1_000);
/// Time for a word from the store to the other instances, beside the pause between two watches.
const WORD_WAY: Duration = Duration::from_millis(60);
/// Most turns that an instance waits for others.
const MOST_TURNS: u32 = 16;
/// Time until a date that the watch does not show is written again.
const DATE_AGAIN: Duration = Duration::from_secs(1);
/// The lease of keys that outlive their writer.
pub const NO_LEASE: LeaseId = 0;

/// Takes the right to order when nobody has it, and orders while it has.
pub struct Orderer {
    control: Rc<Control>,
    lease: Cell<Option<Lease>>,
    rollout: RefCell<Rollout>,
    told: RefCell<OrderLease>,
    fenced: Cell<bool>,
    dated: Cell<Time>,
    caller: Rc<Caller>,
    librarian: Rc<Librarian>,
}

/// A lease of the store.
#[derive(Clone, Copy, Debug)]
struct Lease {
    id: LeaseId,
    ends: Time,
}

impl Orderer {
    /// An orderer without the right.
    pub fn new(control: Rc<Control>) -> Rc<Self> {
        let caller = Rc::new(Caller::default());
        let librarian = Librarian::new(control.clone(), caller.clone());
        Rc::new(Self {
            control,
            caller,
            librarian,
            lease: Cell::default(),
            rollout: RefCell::default(),
            told: RefCell::default(),
            fenced: Cell::default(),
            dated: Cell::default(),
        })
    }

    /// Runs until it is dropped.
    pub async fn run(self: Rc<Self>) {
        let mut client = Client::new(self.control.settings.store_address);
        let mut renewed = self.control.clock.now();
        loop {
            let now = self.control.clock.now();
            match self.lease.get() {
                Some(lease) if now >= lease.ends => self.lose("the lease ended"),
                Some(_) if self.fenced.replace(false) => {
                    // Whoever takes the right next has a higher token.
                    self.give_back().await;
                    self.lose("an engine has seen a higher fencing token");
                }
                Some(lease) if now >= renewed + RENEWAL => {
                    renewed = now;
                    self.renew(&mut client, lease).await;
                }
                Some(_) => self.order(&mut client).await,
                None if self.is_vacant() => {
                    tokio::time::sleep(self.turn()).await;
                    if self.is_vacant() {
                        renewed = self.control.clock.now();
                        self.take(&mut client).await;
                    }
                }
                None => {}
            }
            tokio::time::sleep(ROUND).await;
        }
    }

    /// Gives the right back.
    pub async fn stop(&self) {
        self.librarian.rest();
        self.give_back().await;
    }

    /// Ends the lease, if there is one.
    async fn give_back(&self) {
        if let Some(lease) = self.lease.take() {
            self.control.end_lease(lease.id).await;
        }
    }

    /// Whether nobody has the right.
    fn is_vacant(&self) -> bool {
        let picture = self.control.picture.borrow();
        picture.is_current() && picture.holder().is_none()
    }

    /// Pause before this instance takes the right, so that few try at once.
    fn turn(&self) -> Duration {
        let picture = self.control.picture.borrow();
        let own = &self.control.settings.instance;
        let before = picture.instances().keys().take_while(|name| *name < own).count();
        TURN * u32::try_from(before).unwrap_or(0).min(MOST_TURNS)
    }

    async fn take(&self, client: &mut Client) {
        let now = self.control.clock.now();
        let taken = async {
            self.control.metrics.store_call("grant");
            let (id, ttl) = client.grant(HOLD.max(self.control.settings.min_lease_ttl)).await?;
            self.lease.set(Some(Lease { id, ends: now + ttl }));
            let holding = self.holding();
            self.control.metrics.store_call("write");
            let written = client.write(&holder_key(), &holding.encode(), Some(0), id).await?;
            self.told.replace(holding);
            Ok::<_, Failure>(written)
        };
        match taken.await {
            Ok(Written::Done(revision)) => {
                self.fenced.set(false);
                self.rollout.borrow_mut().reset();
                tracing::info!(fence = revision, "took the right to order weights");
            }
            // The watch shows whether the right is ours after all.
            Err(Failure::Ambiguous) => tracing::info!("no answer on who has the right to order"),
            Ok(Written::Conflict | Written::LeaseEnded) | Err(_) => self.give_back().await,
        }
    }

    async fn renew(&self, client: &mut Client, lease: Lease) {
        let sent = self.control.clock.now();
        self.control.metrics.store_call("renew");
        match client.renew(lease.id).await {
            Ok(true) => {
                let ttl = HOLD.max(self.control.settings.min_lease_ttl);
                self.lease.set(Some(Lease { ends: sent + ttl, ..lease }));
            }
            Ok(false) => self.lose("the store ended the lease"),
            Err(failure) => tracing::debug!(%failure, "the right could not be renewed"),
        }
    }

    fn lose(&self, reason: &str) {
        tracing::warn!(reason, "lost the right to order weights");
        self.lease.set(None);
        self.librarian.rest();
        self.rollout.borrow_mut().reset();
    }

    /// The right, if the store shows that it is ours.
    fn tenure(&self) -> Option<LeaseTerm> {
        let lease = self.lease.get()?;
        let picture = self.control.picture.borrow();
        let holder = picture.holder().filter(|h| h.holding.incarnation == self.control.life)?;
        let starts_at = picture.last_word() + ORDER_WINDOW + self.control.settings.bounds.lease;
        let fence = u64::try_from(holder.created).ok()?;
        (!self.fenced.get()).then_some(LeaseTerm { fence, starts_at, ends_at: lease.ends })
    }

    /// Does what the rollout asks for. An order follows a word to the store: late enough that the
    /// other instances have heard it and send the engine nothing more, and soon enough that the next
    /// holder, who has seen every word, knows when the last order may have been sent.
    async fn order(self: &Rc<Self>, client: &mut Client) {
        let Some(tenure) = self.tenure() else { return };
        self.librarian.work();
        self.date_weights(client).await;
        let now = self.control.clock.now();
        if !tenure.allows_orders(now) {
            return;
        }
        let acts = {
            let picture = self.control.picture.borrow();
            let time = self.control.settings.bounds.weights;
            self.rollout.borrow_mut().step(now, picture.servers(), &picture.dated_weights(), time)
        };
        let (orders, looks): (Vec<_>, Vec<_>) =
            acts.into_iter().partition(|act| matches!(act, Action::Order { .. }));
        for look in looks {
            tokio::task::spawn_local(self.clone().act(look, tenure));
        }
        if orders.is_empty() && !self.has_news() {
            return;
        }
        let is_told = self.tell(client, &orders).await;
        let limit =
            LeaseTerm { ends_at: tenure.ends_at.min(now + ORDER_WINDOW + LEASE_MARGIN), ..tenure };
        for order in orders {
            if let (Action::Order { server, .. }, false) = (&order, is_told) {
                let mut rollout = self.rollout.borrow_mut();
                rollout.received(self.control.clock.now(), &server.id, Receipt::Conflict);
                continue;
            }
            tokio::task::spawn_local(self.clone().act(order, limit));
        }
    }

    /// Tells the store when weights were named.
    async fn date_weights(&self, client: &mut Client) {
        let news = self.control.picture.borrow().naming_news();
        let now = self.control.clock.now();
        let (Some((naming, revision)), true) = (news, now >= self.dated.get() + DATE_AGAIN) else {
            return;
        };
        self.dated.set(now);
        self.control.metrics.store_call("write");
        let value = naming.encode();
        if let Err(failure) =
            client.write(&announcement_times_key(), &value, Some(revision), NO_LEASE).await
        {
            tracing::info!(%failure, "when weights were named could not be told");
        }
    }

    async fn act(self: Rc<Self>, act: Action, tenure: LeaseTerm) {
        match act {
            Action::Poll(server) => {
                let answer = self.call(&server, &upstream::report_request(&server)).await;
                let report = answer.ok().and_then(|(status, body)| upstream::report(status, &body));
                tracing::info!(server = &*server.id, report = ?report, "looked at an engine");
                self.rollout.borrow_mut().polled(self.control.clock.now(), &server.id, report);
            }
            Action::Order { server, model, version, expected } => {
                tokio::time::sleep(self.control.watch_pause() + WORD_WAY).await;
                // The lease may have ended meanwhile.
                if !tenure.allows_orders(self.control.clock.now()) {
                    let now = self.control.clock.now();
                    self.rollout.borrow_mut().received(now, &server.id, Receipt::Conflict);
                    return;
                }
                let holder = &self.control.settings.instance;
                let fence = tenure.fence;
                let order =
                    upstream::order_request(&server, &model, version, expected, holder, fence);
                let sent = self.control.clock.now();
                let receipt = match self.call(&server, &order).await {
                    Ok((status, _)) => upstream::receipt(status),
                    Err(_) => Receipt::Unknown,
                };
                let now = self.control.clock.now();
                tracing::info!(
                    server = &*server.id,
                    model = &*model,
                    version,
                    expected,
                    fence,
                    receipt = %receipt,
                    took_ms = millis(now.saturating_sub(sent)),
                    "ordered weights"
                );
                if receipt == Receipt::Fenced {
                    self.fenced.set(true);
                }
                self.rollout.borrow_mut().received(now, &server.id, receipt);
            }
        }
    }

    async fn call(&self, server: &Server, errand: &Request) -> Result<(StatusCode, Bytes), Fault> {
        self.caller.call(server.address, errand, Duration::ZERO).await
    }

    /// Whether the others don't know yet which engines reload.
    fn has_news(&self) -> bool {
        let told = self.told.borrow();
        OrderLease { sequence: told.sequence, ..self.holding() } != *told
    }

    /// What the other instances should know.
    fn holding(&self) -> OrderLease {
        let rollout = self.rollout.borrow();
        let mut loaded: BTreeMap<_, BTreeMap<_, _>> = BTreeMap::new();
        for (id, model, version) in rollout.loaded() {
            loaded.entry(id).or_default().insert(model, version);
        }
        OrderLease {
            instance: self.control.settings.instance.clone(),
            incarnation: self.control.life,
            sequence: self.told.borrow().sequence + 1,
            loading: rollout.loading().into_iter().collect(),
            loaded,
        }
    }

    /// Tells the other instances which engines reload, with those that are ordered to next; false
    /// if the store did not take it.
    async fn tell(&self, client: &mut Client, orders: &[Action]) -> bool {
        let revision = self.control.picture.borrow().holder().map(|holder| holder.revision);
        let (Some(lease), Some(revision)) = (self.lease.get(), revision) else { return false };
        let holding = self.holding();
        let mut word = holding.clone();
        word.loading.extend(orders.iter().filter_map(|order| match order {
            Action::Order { server, .. } => Some(server.id.clone()),
            Action::Poll(_) => None,
        }));
        self.control.metrics.store_call("write");
        let written = client.write(&holder_key(), &word.encode(), Some(revision), lease.id).await;
        match written {
            Ok(Written::Done(revision)) => {
                self.control.picture.borrow_mut().own_word(word.clone(), revision);
                self.told.replace(word);
                return true;
            }
            Ok(Written::Conflict) => {
                tracing::debug!("an own word to the store is still on its way")
            }
            Ok(Written::LeaseEnded) => self.lose("the store ended the lease"),
            Err(failure) => tracing::debug!(%failure, "the others could not be told"),
        }
        false
    }
}
