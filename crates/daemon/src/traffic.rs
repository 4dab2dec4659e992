//! State shared by the traffic threads: the dispatcher, the view and the open requests.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use acacia_caller::answer::{Delta, Reply};
use acacia_catalog::id::{StoreId, UpstreamId};
use acacia_catalog::object::Role;
use acacia_policy::control::{self, Claim, ClaimOutcome, Observation, Ticket};
use acacia_policy::dispatch::{Action, Attempt, AttemptId, Dispatcher, Ending, Event, Refusal};
use acacia_policy::snapshot::Warmth;
use acacia_policy::{Snapshot, Verdict};
use acacia_upstream::pool::Pool;
use acacia_upstream::{Failure, engine, service};
use arc_swap::ArcSwap;
use parking_lot::Mutex;
use tokio::runtime::Handle;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::attempt;
use crate::clock::Clock;
use crate::job::{Job, Work};
use crate::metric::Metrics;
use crate::settings::Settings;
use crate::transfer::{self, Export};
use crate::view::View;

/// State shared by the traffic threads.
pub struct Traffic {
    /// The daemon's clock.
    pub clock: Clock,
    /// The daemon's settings.
    pub settings: Settings,
    /// The daemon's counters.
    pub metrics: Metrics,
    /// The runtime of the traffic threads.
    pub runtime: Handle,
    view: ArcSwap<View>,
    dispatcher: Mutex<Dispatcher>,
    jobs: Mutex<HashMap<Ticket, Arc<Job>>>,
    running: Mutex<HashMap<AttemptId, CancellationToken>>,
    tickets: AtomicU64,
    leaving: AtomicBool,
    control: mpsc::Sender<control::Event>,
    exports: mpsc::Sender<Export>,
    pool: Pool,
    stores: Mutex<HashMap<SocketAddr, acacia_store::Client>>,
}

impl Traffic {
    /// Creates the state before the first snapshot.
    pub fn new(
        settings: Settings,
        seed: u64,
        metrics: Metrics,
        runtime: Handle,
        control: mpsc::Sender<control::Event>,
        exports: mpsc::Sender<Export>,
    ) -> Self {
        let dispatcher = Mutex::new(Dispatcher::new(seed, settings.strategy));
        Self {
            clock: Clock::start(),
            settings,
            metrics,
            runtime,
            view: ArcSwap::default(),
            dispatcher,
            jobs: Mutex::default(),
            running: Mutex::default(),
            tickets: AtomicU64::new(1),
            leaving: AtomicBool::new(false),
            control,
            exports,
            pool: Pool::new(),
            stores: Mutex::default(),
        }
    }

    /// The current view.
    pub fn view(&self) -> Arc<View> {
        self.view.load_full()
    }

    /// Whether the load balancer should send requests to this daemon.
    pub fn is_ready(&self) -> bool {
        self.view.load().snapshot.ready && !self.leaving.load(Ordering::Relaxed)
    }

    /// Makes the daemon unready for good.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Publishes a snapshot.
    pub fn publish(self: &Arc<Self>, snapshot: Arc<Snapshot>) {
        let view = View::new(snapshot.clone(), &self.view.load());
        self.view.store(Arc::new(view));
        self.step(Event::Snapshot(snapshot));
    }

    /// A new number for a caller's or an operator's request.
    pub fn ticket(&self) -> Ticket {
        self.tickets.fetch_add(1, Ordering::Relaxed)
    }

    /// Number of unanswered requests.
    pub fn open(&self) -> usize {
        self.jobs.lock().len()
    }

    /// Admits a request.
    pub fn arrive(self: &Arc<Self>, job: Job, request: acacia_policy::Request) {
        let ticket = job.ticket;
        self.jobs.lock().insert(ticket, Arc::new(job));
        self.step(Event::Arrived(ticket, request));
    }

    /// Reports that a request's caller has left; ignored if the request was answered.
    pub fn caller_left(self: &Arc<Self>, ticket: Ticket) {
        let job = self.jobs.lock().get(&ticket).cloned();
        if job.is_some_and(|job| !job.answered.load(Ordering::Relaxed)) {
            self.step(Event::Abandoned(ticket));
        }
    }

    /// Reports the end of an attempt.
    pub fn ended(self: &Arc<Self>, attempt: AttemptId, ending: Ending) {
        self.running.lock().remove(&attempt);
        self.step(Event::Ended { attempt, ending });
    }

    /// Passes an event to the dispatcher and performs the resulting actions. This happens under the
    /// dispatcher's lock, so that a cancellation never overtakes the start of its attempt; no
    /// action blocks or calls `step` itself.
    pub fn step(self: &Arc<Self>, event: Event) {
        let mut dispatcher = self.dispatcher.lock();
        for action in dispatcher.step(self.clock.now(), event) {
            self.perform(action);
        }
    }

    fn perform(self: &Arc<Self>, action: Action) {
        match action {
            Action::Claim(ticket, claim) => self.claim(ticket, claim),
            Action::ClaimEnded { claim, verdict, answer } => {
                self.notify_control(control::Event::ClaimEnded { claim, verdict, answer });
            }
            Action::AskPermit { upstream, waiting } => {
                // Dropped if control's queue is full; the dispatcher asks again.
                let _ = self.control.try_send(control::Event::PermitWanted { upstream, waiting });
            }
            Action::ReturnPermit(permit, usage) => {
                self.notify_control(control::Event::PermitReturned { permit, usage });
            }
            Action::Find(ticket, stores) => self.find(ticket, stores),
            Action::Start(ticket, attempt) => self.start(ticket, attempt),
            Action::Cancel(attempt, upstream) => self.cancel(attempt, &upstream),
            Action::Replay(ticket, answer) => self.replay(ticket, answer),
            Action::Refuse(ticket, refusal) => self.refuse(ticket, refusal),
            Action::Finish(ticket) => {
                self.jobs.lock().remove(&ticket);
            }
            Action::Export { upstream, version, blocks, bytes_per_second } => {
                let export = Export { upstream, version, blocks, bytes_per_second };
                if self.exports.try_send(export).is_err() {
                    self.metrics.exports_dropped.add(1, &[]);
                }
            }
        }
    }

    fn claim(self: &Arc<Self>, ticket: Ticket, claim: Claim) {
        if self.control.try_send(control::Event::ClaimWanted(ticket, claim)).is_err() {
            let traffic = self.clone();
            self.runtime.spawn(async move {
                traffic.step(Event::Claimed(ticket, ClaimOutcome::Unavailable));
            });
        }
    }

    /// Sends an event that control must not miss.
    fn notify_control(&self, event: control::Event) {
        if let Err(mpsc::error::TrySendError::Full(event)) = self.control.try_send(event) {
            let control = self.control.clone();
            self.runtime.spawn(async move {
                // Fails only if the daemon ends.
                let _ = control.send(event).await;
            });
        }
    }

    fn find(self: &Arc<Self>, ticket: Ticket, stores: Vec<StoreId>) {
        let job = self.jobs.lock().get(&ticket).cloned();
        if let Some(job) = job {
            self.runtime.spawn(transfer::find(self.clone(), job, stores));
        }
    }

    fn start(self: &Arc<Self>, ticket: Ticket, attempt: Attempt) {
        let Some(job) = self.jobs.lock().get(&ticket).cloned() else {
            let traffic = self.clone();
            self.runtime.spawn(async move { traffic.ended(attempt.id, Ending::Unsent) });
            return;
        };
        if let Work::Prompt(prompt) = &job.work {
            prompt.output.lock().current = Some(attempt.id);
        }
        let token = CancellationToken::new();
        self.running.lock().insert(attempt.id, token.clone());
        self.runtime.spawn(attempt::run(self.clone(), job, attempt, token));
    }

    fn cancel(&self, attempt: AttemptId, upstream: &UpstreamId) {
        if let Some(token) = self.running.lock().remove(&attempt) {
            token.cancel();
        }
        if let Some(client) = self.engine(upstream) {
            // If the engine can't be reached, it ends the attempt by itself.
            self.runtime.spawn(async move { client.cancel(attempt).await });
        }
    }

    fn replay(&self, ticket: Ticket, answer: control::Answer) {
        self.metrics.verdict(Verdict::Ran);
        let Some(job) = self.jobs.lock().remove(&ticket) else { return };
        if let Work::Call(call) = &job.work {
            call.finish(Ok(Reply {
                status: answer.status,
                content_type: answer.content_type,
                body: answer.body.into(),
            }));
        }
    }

    fn refuse(&self, ticket: Ticket, refusal: Refusal) {
        self.metrics.refused(&refusal);
        let Some(job) = self.jobs.lock().remove(&ticket) else { return };
        match &job.work {
            Work::Call(call) => call.finish(Err(refusal.into())),
            Work::Prompt(prompt) => {
                let failed = Delta::Failed(refusal.into());
                let Err(mpsc::error::TrySendError::Full(failed)) = prompt.deltas.try_send(failed)
                else {
                    return;
                };
                let (deltas, stall) = (prompt.deltas.clone(), self.settings.times.stall);
                self.runtime.spawn(async move {
                    // A caller that doesn't read in time is disconnected instead.
                    let _ = deltas.send_timeout(failed, stall).await;
                });
            }
        }
    }

    /// Reports an observation of an upstream to control, except for answers of an upstream that is
    /// known to be warm.
    pub fn observe(&self, upstream: &UpstreamId, observation: Observation) {
        if let Observation::Answered(incarnation) = &observation {
            let view = self.view.load();
            let status = view.snapshot.upstreams.get(upstream);
            let known = |s: &acacia_policy::snapshot::Standing| {
                s.warmth == Warmth::Warm && s.incarnation == *incarnation
            };
            if status.is_some_and(known) {
                return;
            }
        }
        // Dropped if control's queue is full; the next answer leads to the same observation.
        let _ = self.control.try_send(control::Event::Observed(upstream.clone(), observation));
    }

    /// Reports to control what a failure shows of the state of an upstream.
    pub fn observe_failure(&self, upstream: &UpstreamId, failure: &Failure) {
        tracing::debug!(%upstream, %failure, "attempt failed");
        if let Some(observation) = attempt::observation(failure) {
            self.observe(upstream, observation);
        }
    }

    /// A client of an engine; `None` if the configuration has no such engine.
    pub fn engine(&self, upstream: &UpstreamId) -> Option<engine::Client> {
        let view = self.view.load();
        let upstream = view.snapshot.set.upstreams.get(upstream)?;
        let Role::Engine { .. } = upstream.role else { return None };
        Some(engine::Client::new(self.pool.clone(), upstream.address))
    }

    /// A client of a plain service's upstream; `None` if the configuration has no such upstream.
    pub fn service(&self, upstream: &UpstreamId) -> Option<service::Client> {
        let view = self.view.load();
        let upstream = view.snapshot.set.upstreams.get(upstream)?;
        let Role::Service { .. } = upstream.role else { return None };
        Some(service::Client::new(self.pool.clone(), upstream.address))
    }

    /// A client of a cache store; `None` if the configuration has no such store.
    pub fn store(&self, store: &StoreId) -> Option<acacia_store::Client> {
        let address = self.view.load().snapshot.set.stores.get(store)?.address;
        let mut stores = self.stores.lock();
        Some(stores.entry(address).or_insert_with(|| acacia_store::Client::new(address)).clone())
    }
}
