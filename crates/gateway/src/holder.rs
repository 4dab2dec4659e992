//! The order lease, and the weight orders that its holder sends.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use acacia_connection::Fault;
use acacia_platform::document::{announcement_times_key, holder_key, software_key};
use acacia_platform::instance::OrderLease;
use acacia_platform::store::{Client as StoreClient, Written};
use acacia_platform::upstream::{self, Request};
use acacia_policy::Time;
use acacia_policy::gateway::Server;
use acacia_policy::gateway::duty::{self, Duty};
use acacia_policy::gateway::ephemeral::Entry;
use acacia_policy::gateway::rollout::{Action, LEASE_MARGIN, LeaseTerm, Receipt, Rollout};
use acacia_policy::kv::Lease;
use bytes::Bytes;
use futures::future::join_all;
use http::StatusCode;
use rand::seq::SliceRandom;

use crate::canary::Recorder;
use crate::client::{ANSWER_TIMEOUT, Client};
use crate::control::Control;
use crate::inventory::Manager;
use crate::traffic::millis;

mod claim;

/// Duration of the order lease after the last renewal. Short, as announced weights wait for the
/// next holder, yet several renewals long.
const LEASE_TTL: Duration = Duration::from_millis(1_500);
/// Interval between renewals of the lease.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(350);
/// Interval between two rounds of the rollout.
const ROUND_INTERVAL: Duration = Duration::from_millis(60);
/// Delay before acquiring the lease, for each instance that precedes this one in name order.
const ACQUIRE_DELAY_STEP: Duration = Duration::from_millis(40);
/// Time after a write to the metadata store within which the orders that it lists may be sent.
const ORDER_WINDOW: Duration = Duration::from_millis(1_000);
/// Time for a change to travel from the metadata store to the other instances, in addition to the
/// pause between two watches.
const PROPAGATION_MARGIN: Duration = Duration::from_millis(60);
/// Number of engines that the holder asks after calls got no answer.
const HOLDER_SAMPLE: usize = 8;
/// Number of engines that an instance asks before it acquires the lease.
const ACQUIRE_SAMPLE: usize = 4;
/// Time within which an engine of a sample answers. Reports need no slot.
const SAMPLE_TIMEOUT: Duration = Duration::from_millis(400);
/// Limit of the number of delay steps.
const MAX_DELAY_STEPS: u32 = 16;
/// Time after which announcement times and software versions are written again if the watch has not
/// shown them.
const ANNOUNCEMENT_RETRY: Duration = Duration::from_secs(1);
/// Longest time that an order may take to reach an engine; then the call is abandoned.
const ORDER_TRANSIT: Duration = ANSWER_TIMEOUT;

/// Acquires the order lease when it is free, and orders weights while holding it.
pub struct Holder {
    control: Rc<Control>,
    grant: Cell<Option<Grant>>,
    /// The entry that names this instance as the holder.
    entry: RefCell<Entry>,
    rollout: RefCell<Rollout>,
    published: RefCell<OrderLease>,
    fenced: Cell<bool>,
    announcements_written: Cell<Time>,
    software_written: Cell<Time>,
    recorder: tokio::sync::Mutex<Recorder>,
    http: Rc<Client>,
    /// Whether this instance may hold the lease.
    duty: Rc<RefCell<Duty>>,
    inventory: Rc<Manager>,
}

/// A lease granted by the metadata store.
#[derive(Clone, Copy, Debug)]
struct Grant {
    lease: Lease,
    ends: Time,
}

impl Holder {
    /// A holder that has not acquired the lease yet.
    pub fn new(control: Rc<Control>) -> Rc<Self> {
        let duty = Rc::<RefCell<Duty>>::default();
        let http = Rc::new(Client::new(duty.clone()));
        let inventory = Manager::new(control.clone(), http.clone());
        Rc::new(Self {
            control,
            http,
            duty,
            inventory,
            grant: Cell::default(),
            entry: RefCell::default(),
            rollout: RefCell::default(),
            published: RefCell::default(),
            fenced: Cell::default(),
            announcements_written: Cell::default(),
            software_written: Cell::default(),
            recorder: tokio::sync::Mutex::default(),
        })
    }

    /// Runs until it is dropped.
    pub async fn run(self: Rc<Self>) {
        let mut client = self.control.store_client();
        let mut renewed = self.control.clock.now();
        loop {
            let now = self.control.clock.now();
            match self.grant.get() {
                Some(grant) if now >= grant.ends => self.lose("the lease expired"),
                Some(grant) if grant.lease.era != self.control.eras.current() => {
                    self.lose("the metadata store was restored from an older copy");
                }
                Some(_) if self.fenced.replace(false) => {
                    // The next holder gets a higher fencing token.
                    self.release().await;
                    self.lose("an engine has seen a higher fencing token");
                }
                Some(_) if self.is_replaced() => {
                    self.release().await;
                    self.lose("its entry is gone, or is another holder's");
                }
                Some(_) if self.is_sample_due(now) => self.check_path().await,
                Some(grant) if now >= renewed + RENEWAL_INTERVAL => {
                    renewed = now;
                    self.renew(&mut client, grant).await;
                }
                Some(grant) if self.is_claim_due(now) => self.claim(&mut client, grant).await,
                Some(_) => self.order(&mut client).await,
                None if self.is_vacant() => {
                    tokio::time::sleep(self.acquire_delay()).await;
                    if self.is_vacant() && self.may_acquire().await {
                        renewed = self.control.clock.now();
                        self.acquire(&mut client).await;
                    }
                }
                None => self.note_holder(),
            }
            tokio::time::sleep(ROUND_INTERVAL).await;
        }
    }

    /// Whether calls suggest that this holder has lost the path to engines and KV cache stores.
    fn is_sample_due(&self, now: Time) -> bool {
        let mut duty = self.duty.borrow_mut();
        if duty.has_answers() {
            return false;
        }
        let engines = self.control.engines().into_iter().map(|engine| engine.address);
        duty.next(now, engines.chain(self.control.store_addresses())) == duty::Next::Sample
    }

    /// Releases the lease if hardly any engine of a sample answers.
    async fn check_path(&self) {
        let sample = self.sample(HOLDER_SAMPLE).await;
        let verdict = self.duty.borrow_mut().hold(self.control.clock.now(), sample);
        let duty::Sample { asked, answered } = sample;
        tracing::warn!(asked, answered, verdict = ?verdict, "asked engines as calls got no answer");
        if verdict == duty::Verdict::Leave {
            self.release().await;
            self.lose("most engines don't answer this instance");
        }
    }

    /// Whether this instance may acquire the free lease: an instance without a path to the engines
    /// leaves it to one that has one.
    async fn may_acquire(&self) -> bool {
        let sample = self.sample(ACQUIRE_SAMPLE).await;
        let verdict = self.duty.borrow_mut().acquire(self.control.clock.now(), sample);
        if verdict == duty::Verdict::Leave {
            let duty::Sample { asked, answered } = sample;
            tracing::info!(asked, answered, "left the order lease to other instances");
        }
        // It may have been acquired meanwhile.
        verdict == duty::Verdict::Hold && self.is_vacant()
    }

    /// Records whether another instance holds the lease.
    fn note_holder(&self) {
        if self.control.replica.borrow().holder().is_some() {
            self.duty.borrow_mut().taken();
        }
    }

    /// Asks some random engines for their reports.
    async fn sample(&self, size: usize) -> duty::Sample {
        let mut engines = self.control.engines();
        let size = size.min(engines.len());
        let (engines, _) = engines.partial_shuffle(&mut rand::rng(), size);
        let answers = engines.iter().map(async |engine| {
            let report = upstream::report_request(engine);
            self.http.call_within(engine.address, &report, SAMPLE_TIMEOUT).await.is_ok()
        });
        let answers = join_all(answers).await;
        let answered = answers.into_iter().filter(|is_answered| *is_answered).count();
        duty::Sample { asked: size, answered }
    }

    /// Stops the inventory tasks and releases the lease.
    pub async fn stop(&self) {
        self.inventory.stop_all();
        self.release().await;
    }

    /// Revokes the lease, if there is one.
    async fn release(&self) {
        self.entry.replace(Entry::default());
        if let Some(grant) = self.grant.take() {
            self.control.end_lease(grant.lease).await;
        }
    }

    /// Whether nobody holds the order lease. A holder of an earlier era may not have noticed yet
    /// that its lease is over, so its time to live is waited for.
    fn is_vacant(&self) -> bool {
        let replica = self.control.replica.borrow();
        let is_over = replica.era_began().is_none_or(|began| {
            self.control.clock.now() >= began + self.lease_ttl() + LEASE_MARGIN
        });
        self.control.is_current() && replica.holder().is_none() && is_over
    }

    /// Time to live of the order lease.
    fn lease_ttl(&self) -> Duration {
        LEASE_TTL.max(self.control.settings.min_lease_ttl)
    }

    /// Delay before this instance tries to acquire the lease, so that few try at once.
    fn acquire_delay(&self) -> Duration {
        let replica = self.control.replica.borrow();
        let own = &self.control.settings.instance;
        let before = replica.instances().take_while(|name| *name < own).count();
        ACQUIRE_DELAY_STEP * u32::try_from(before).unwrap_or(0).min(MAX_DELAY_STEPS)
    }

    /// The lease term, if the replica shows this instance as the holder.
    fn term(&self) -> Option<LeaseTerm> {
        let grant = self.grant.get()?;
        let replica = self.control.replica.borrow();
        let holder = replica.holder().filter(|holder| {
            holder.holding.incarnation == self.control.incarnation
                && holder.created.era == grant.lease.era
                && holder.lease.is_none_or(|lease| lease == grant.lease.id)
        })?;
        let bounds = &self.control.settings.bounds;
        // Engines that check no fencing tokens execute an order of the previous holder even if it
        // arrives after the first one of this holder.
        let transit = if bounds.fencing { Duration::ZERO } else { ORDER_TRANSIT };
        let starts_at = replica.last_holder_write() + ORDER_WINDOW + bounds.lease + transit;
        let fence = holder.created.fencing_token();
        (!self.fenced.get()).then_some(LeaseTerm { fence, starts_at, ends_at: grant.ends })
    }

    /// Performs the rollout's next actions. An order follows a write to the metadata store that
    /// lists its engine: late enough that the other instances know of it and send the engine no
    /// more requests, and soon enough that the next holder, who has seen every write, knows when
    /// the last order may have been sent.
    async fn order(self: &Rc<Self>, client: &mut StoreClient) {
        let Some(term) = self.term() else { return };
        self.inventory.reconcile();
        self.write_announcements(client).await;
        self.write_software(client).await;
        self.recorder.lock().await.record(&self.control, client).await;
        let now = self.control.clock.now();
        if !term.allows_orders(now) {
            return;
        }
        let acts = {
            let replica = self.control.replica.borrow();
            let time = self.control.settings.bounds.weights;
            self.rollout.borrow_mut().step(
                now,
                replica.servers(),
                &replica.announced_weights(),
                time,
            )
        };
        let (orders, polls): (Vec<_>, Vec<_>) =
            acts.into_iter().partition(|act| matches!(act, Action::Order { .. }));
        for poll in polls {
            tokio::task::spawn_local(self.clone().perform(poll, term));
        }
        if orders.is_empty() && !self.has_changes() {
            return;
        }
        let is_published = self.publish(client, &orders).await;
        let limit =
            LeaseTerm { ends_at: term.ends_at.min(now + ORDER_WINDOW + LEASE_MARGIN), ..term };
        for order in orders {
            if let (Action::Order { server, .. }, false) = (&order, is_published) {
                let mut rollout = self.rollout.borrow_mut();
                rollout.received(self.control.clock.now(), &server.id, Receipt::Conflict);
                continue;
            }
            tokio::task::spawn_local(self.clone().perform(order, limit));
        }
    }

    /// Writes the announcement times of weights to the metadata store.
    async fn write_announcements(&self, client: &mut StoreClient) {
        let update = self.control.replica.borrow().unwritten_announcements();
        let now = self.control.clock.now();
        let (Some((announcements, revision)), true) =
            (update, now >= self.announcements_written.get() + ANNOUNCEMENT_RETRY)
        else {
            return;
        };
        self.announcements_written.set(now);
        self.control.metrics.store_call("write");
        let value = announcements.encode();
        if let Err(failure) =
            client.write(&announcement_times_key(), &value, Some(revision), None).await
        {
            tracing::info!(%failure, "announcement times of weights not written");
        }
    }

    /// Writes the software versions that serve to the metadata store.
    async fn write_software(&self, client: &mut StoreClient) {
        let now = self.control.clock.now();
        let update = self.control.replica.borrow_mut().unwritten_software(now);
        let (Some((software, revision)), true) =
            (update, now >= self.software_written.get() + ANNOUNCEMENT_RETRY)
        else {
            return;
        };
        self.software_written.set(now);
        self.control.metrics.store_call("write");
        match client.write(&software_key(), &software.encode(), Some(revision), None).await {
            Ok(Written::Done(_)) => {
                tracing::info!(versions = ?software.0, "recorded software versions");
            }
            // The watch will show what another instance has written.
            Ok(Written::Conflict | Written::LeaseEnded) => {}
            Err(failure) => tracing::info!(%failure, "software versions not recorded"),
        }
    }

    async fn perform(self: Rc<Self>, act: Action, term: LeaseTerm) {
        match act {
            Action::Poll(server) => {
                let answer = self.call(&server, &upstream::report_request(&server)).await;
                let fault: Option<&'static str> =
                    answer.as_ref().err().map(|fault| (*fault).into());
                let report = answer.ok().and_then(|(status, body)| upstream::report(status, &body));
                tracing::info!(server = &*server.id, report = ?report, fault, "polled an engine");
                self.rollout.borrow_mut().polled(self.control.clock.now(), &server.id, report);
            }
            Action::Order { server, model, version, expected } => {
                tokio::time::sleep(self.control.watch_pause() + PROPAGATION_MARGIN).await;
                // The lease may have expired meanwhile.
                if !term.allows_orders(self.control.clock.now()) {
                    let now = self.control.clock.now();
                    self.rollout.borrow_mut().received(now, &server.id, Receipt::Conflict);
                    return;
                }
                let holder = &self.control.settings.instance;
                let fence = term.fence;
                let order =
                    upstream::order_request(&server, &model, version, expected, holder, fence);
                let sent = self.control.clock.now();
                let answer = self.call(&server, &order).await;
                let fault: Option<&'static str> =
                    answer.as_ref().err().map(|fault| (*fault).into());
                let receipt =
                    answer.map_or(Receipt::Unknown, |(status, _)| upstream::receipt(status));
                let now = self.control.clock.now();
                tracing::info!(
                    server = &*server.id,
                    model = &*model,
                    version,
                    expected,
                    fence,
                    receipt = %receipt,
                    fault,
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

    async fn call(&self, server: &Server, request: &Request) -> Result<(StatusCode, Bytes), Fault> {
        self.http.call(server.address, request, Duration::ZERO).await
    }

    /// Whether the state of the engines differs from what was last published.
    fn has_changes(&self) -> bool {
        let published = self.published.borrow();
        OrderLease { sequence: published.sequence, ..self.holding() } != *published
    }

    /// The state to publish to the other instances.
    fn holding(&self) -> OrderLease {
        let rollout = self.rollout.borrow();
        let mut loaded: BTreeMap<_, BTreeMap<_, _>> = BTreeMap::new();
        for (id, model, version) in rollout.loaded() {
            loaded.entry(id).or_default().insert(model, version);
        }
        OrderLease {
            instance: self.control.settings.instance.clone(),
            incarnation: self.control.incarnation,
            sequence: self.published.borrow().sequence + 1,
            loading: rollout.loading().into_iter().collect(),
            loaded,
        }
    }

    /// Publishes which engines reload, including those that `orders` go to; false if the metadata
    /// store did not accept the write.
    async fn publish(&self, client: &mut StoreClient, orders: &[Action]) -> bool {
        let revision = self.control.replica.borrow().holder().map(|holder| holder.revision);
        let (Some(grant), Some(revision)) = (self.grant.get(), revision) else { return false };
        let holding = self.holding();
        let mut next = holding.clone();
        next.loading.extend(orders.iter().filter_map(|order| match order {
            Action::Order { server, .. } => Some(server.id.clone()),
            Action::Poll(_) => None,
        }));
        self.control.metrics.store_call("write");
        let written =
            client.write(&holder_key(), &next.encode(), Some(revision), Some(grant.lease)).await;
        match written {
            Ok(Written::Done(revision)) => {
                self.control.replica.borrow_mut().apply_own_write(next.clone(), revision);
                self.published.replace(next);
                return true;
            }
            Ok(Written::Conflict) => {
                tracing::debug!("an earlier write of this holder has not reached the replica yet")
            }
            Ok(Written::LeaseEnded) => self.lose("the lease expired in the metadata store"),
            Err(failure) => tracing::debug!(%failure, "state of the engines not published"),
        }
        false
    }
}
