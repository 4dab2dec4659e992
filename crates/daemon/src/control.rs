//! The control thread, which owns [`Control`] and performs its actions.

use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;

use acacia_catalog::id::DaemonId;
use acacia_etcd::count::Kind;
use acacia_etcd::kv;
use acacia_policy::control::{
    Action, ChangeOutcome, Control, Event, Line, OrderOutcome, TICK, Ticket,
};
use acacia_policy::dispatch;
use acacia_policy::message::Envelope;
use parking_lot::Mutex;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{MissedTickBehavior, interval};
use tokio_util::sync::CancellationToken;
use tracing::Instrument;

use crate::operator::ChangeLog;
use crate::poll;
use crate::traffic::Traffic;

/// Most events handled before the resulting messages to peers are sent.
const BATCH: usize = 256;

/// Operators' requests that control has not answered yet.
#[derive(Default)]
pub struct Pending {
    /// Changes of the configuration.
    pub changes: Mutex<HashMap<Ticket, oneshot::Sender<ChangeOutcome>>>,
    /// Orders to upstreams.
    pub orders: Mutex<HashMap<Ticket, oneshot::Sender<OrderOutcome>>>,
}

/// State of the control thread.
pub struct Thread {
    /// Id of this daemon.
    pub daemon: DaemonId,
    /// The state machine.
    pub control: Control,
    /// Events from traffic, peers and operators.
    pub inbox: mpsc::Receiver<Event>,
    /// State shared with the traffic threads.
    pub traffic: Arc<Traffic>,
    /// Client of the key-value service.
    pub kv: kv::Client,
    /// Client of other daemons.
    pub peers: acacia_peer::Client,
    /// Operators' unanswered requests.
    pub pending: Arc<Pending>,
    /// Earlier configurations, for operators.
    pub change_log: Arc<ChangeLog>,
    /// Set once all ownership is handed over.
    pub stopped: watch::Sender<bool>,
    /// Ends the thread.
    pub killed: CancellationToken,
}

impl Thread {
    /// Starts the thread.
    pub fn spawn(self) -> io::Result<JoinHandle<()>> {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let killed = self.killed.clone();
        std::thread::Builder::new().name("control".to_owned()).spawn(move || {
            runtime.block_on(async {
                tokio::select! {
                    () = killed.cancelled() => {}
                    () = self.run() => {}
                }
            });
        })
    }

    #[tracing::instrument(level = "debug", name = "control", skip_all, fields(daemon = %self.daemon))]
    async fn run(mut self) {
        let (answers, mut answered) = mpsc::unbounded_channel();
        let mut ticks = interval(TICK / 2);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut meter = Meter::default();
        let mut events = Vec::with_capacity(BATCH);
        loop {
            tokio::select! {
                _ = ticks.tick() => {
                    events.push(Event::Tick);
                    meter.update(&self);
                }
                Some(answer) = answered.recv() => events.push(answer),
                count = self.inbox.recv_many(&mut events, BATCH) => {
                    if count == 0 {
                        return;
                    }
                }
            }
            let mut outbox: HashMap<SocketAddr, Vec<Envelope>> = HashMap::new();
            for event in events.drain(..) {
                tracing::trace!(?event, "control");
                for action in self.control.step(self.traffic.clock.now(), event) {
                    tracing::trace!(?action, "control");
                    match action {
                        Action::Send(peer, envelope) => {
                            outbox.entry(peer).or_default().push(envelope);
                        }
                        action => self.perform(action, &answers),
                    }
                }
            }
            self.send(outbox);
        }
    }

    /// Sends the messages of one round of events, in one batch per peer.
    fn send(&self, outbox: HashMap<SocketAddr, Vec<Envelope>>) {
        for (peer, batch) in outbox {
            let peers = self.peers.clone();
            let span = tracing::debug_span!("peer", %peer, messages = batch.len());
            // The client counts lost batches.
            tokio::spawn(async move { peers.send(peer, &batch).await }.instrument(span));
        }
    }

    fn perform(&self, action: Action, answers: &mpsc::UnboundedSender<Event>) {
        let traffic = &self.traffic;
        match action {
            Action::Kv(call, request) => {
                let (kv, answers) = (self.kv.clone(), answers.clone());
                tokio::spawn(async move {
                    // Fails only if the thread ends.
                    let _ = answers.send(Event::Kv(call, kv.call(request).await));
                });
            }
            Action::Publish(snapshot) => {
                self.change_log.update(&snapshot, &self.control.history());
                traffic.publish(snapshot);
            }
            Action::Permit(permit) => traffic.step(dispatch::Event::Permit(permit)),
            Action::PermitRefused { upstream, retry_after } => {
                traffic.step(dispatch::Event::PermitRefused(upstream, retry_after));
            }
            Action::Claimed(ticket, outcome) => {
                traffic.step(dispatch::Event::Claimed(ticket, outcome));
            }
            Action::Changed(ticket, outcome) => {
                answer(&self.pending.changes, ticket, outcome);
            }
            Action::OrderEnded(ticket, outcome) => {
                answer(&self.pending.orders, ticket, outcome);
            }
            Action::Order(order) => {
                let (traffic, answers) = (traffic.clone(), answers.clone());
                tokio::spawn(async move {
                    let outcome = match traffic.engine(&order.upstream) {
                        Some(client) => client.order(&order).await,
                        None => OrderOutcome::Failed,
                    };
                    let _ = answers.send(Event::Ordered(order, outcome));
                });
            }
            Action::Log(line) => log(&line),
            Action::Stopped => {
                self.stopped.send_replace(true);
            }
            Action::Probe(upstream) => {
                let traffic = traffic.clone();
                let runtime = traffic.runtime.clone();
                runtime.spawn(async move { poll::probe(&traffic, &upstream).await });
            }
            Action::Send(..) => {}
        }
    }
}

/// Answers an operator's request, unless the operator has left.
fn answer<T>(pending: &Mutex<HashMap<Ticket, oneshot::Sender<T>>>, ticket: Ticket, outcome: T) {
    if let Some(sender) = pending.lock().remove(&ticket) {
        let _ = sender.send(outcome);
    }
}

/// Logs a change of state.
fn log(line: &Line) {
    let kind: &'static str = line.into();
    tracing::info!(kind, detail = ?line, "state");
}

/// Last values of the counters of the clients and of the thread.
#[derive(Default)]
struct Meter {
    ticks: u32,
    nanos: u64,
    calls: BTreeMap<Kind, u64>,
    bytes: u64,
    messages: u64,
}

/// Ticks between two updates of the metrics.
const METER_TICKS: u32 = 20;

impl Meter {
    /// Adds the counters' growth to the metrics every [`METER_TICKS`] ticks.
    fn update(&mut self, thread: &Thread) {
        self.ticks += 1;
        if !self.ticks.is_multiple_of(METER_TICKS) {
            return;
        }
        let metrics = &thread.traffic.metrics;
        if let Some(nanos) = thread_nanos() {
            let seconds = (nanos - self.nanos.min(nanos)) as f64 / 1e9;
            metrics.control_seconds.add(seconds, &[]);
            self.nanos = nanos;
        }
        for (kind, count) in thread.kv.counts().iter() {
            let before = self.calls.insert(kind, count).unwrap_or_default();
            let label = opentelemetry::KeyValue::new("kind", kind.to_string());
            metrics.kv_calls.add(count - before, &[label]);
        }
        let sent = thread.peers.counters();
        let (bytes, messages) = (sent.bytes.get(), sent.messages.get());
        metrics.peer_bytes.add(bytes - self.bytes, &[]);
        metrics.peer_messages.add(messages - self.messages, &[]);
        (self.bytes, self.messages) = (bytes, messages);
    }
}

/// Processor time of this thread, in nanoseconds, if the system reports it.
fn thread_nanos() -> Option<u64> {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").ok()?;
    text.split_whitespace().next()?.parse().ok()
}
