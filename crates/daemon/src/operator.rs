//! The daemon as backend of the administration API.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use acacia_catalog::Set;
use acacia_catalog::id::{DaemonId, Revision};
use acacia_etcd::kv;
use acacia_operator::call::{HistoryEntry, Propagation};
use acacia_operator::{Backend, Status};
use acacia_policy::Snapshot;
use acacia_policy::control::{Change, ChangeOutcome, Event, Order, OrderOutcome, Record, Ticket};
use parking_lot::Mutex;
use tokio::sync::{mpsc, oneshot};

use crate::control::Pending;
use crate::traffic::Traffic;

/// Number of configurations kept for diffs and rollbacks.
const KEPT_CONFIGURATIONS: usize = 16;

/// Accepted changes and recent configurations.
#[derive(Default)]
pub struct ChangeLog {
    /// Accepted changes, oldest first.
    history: Mutex<Vec<Record>>,
    /// The latest configurations, oldest first.
    sets: Mutex<VecDeque<(Revision, Arc<Set>)>>,
}

impl ChangeLog {
    /// Records the configuration and history published with a snapshot.
    pub fn update(&self, snapshot: &Snapshot, history: &[Record]) {
        let mut sets = self.sets.lock();
        if sets.back().is_some_and(|(revision, _)| *revision >= snapshot.revision) {
            return;
        }
        sets.push_back((snapshot.revision, snapshot.set.clone()));
        if sets.len() > KEPT_CONFIGURATIONS {
            sets.pop_front();
        }
        *self.history.lock() = history.to_vec();
    }
}

/// The backend of the administration API.
pub struct Operators {
    /// Id of this daemon.
    pub daemon: DaemonId,
    /// State shared with the traffic threads.
    pub traffic: Arc<Traffic>,
    /// Events for the control thread.
    pub control: mpsc::Sender<Event>,
    /// Requests that control has not answered yet.
    pub pending: Arc<Pending>,
    /// Accepted changes and recent configurations.
    pub change_log: Arc<ChangeLog>,
    /// Client of the key-value service, for its counters.
    pub kv: kv::Client,
}

impl Operators {
    /// Sends a request to control and waits for its answer; `None` if the daemon ends first.
    async fn request<T>(
        &self,
        pending: &Mutex<std::collections::HashMap<Ticket, oneshot::Sender<T>>>,
        event: impl FnOnce(Ticket) -> Event,
    ) -> Option<T> {
        let ticket = self.traffic.ticket();
        let (sender, answer) = oneshot::channel();
        pending.lock().insert(ticket, sender);
        if self.control.send(event(ticket)).await.is_err() {
            pending.lock().remove(&ticket);
            return None;
        }
        answer.await.ok()
    }
}

impl Backend for Operators {
    fn snapshot(&self) -> Arc<Snapshot> {
        self.traffic.view().snapshot.clone()
    }

    async fn change(&self, change: Change) -> ChangeOutcome {
        let outcome = self.request(&self.pending.changes, |t| Event::ChangeWanted(t, change));
        outcome.await.unwrap_or(ChangeOutcome::Unknown)
    }

    async fn order(&self, order: Order) -> OrderOutcome {
        let outcome = self.request(&self.pending.orders, |t| Event::OrderWanted(t, order));
        outcome.await.unwrap_or(OrderOutcome::Failed)
    }

    fn propagation(&self, revision: Revision) -> Propagation {
        let snapshot = self.snapshot();
        let has_revision =
            |daemon: &&DaemonId| snapshot.in_force.get(*daemon).is_some_and(|r| *r >= revision);
        let daemons = snapshot.daemons.keys().filter(has_revision).count();
        Propagation { daemons, live: snapshot.daemons.len() }
    }

    fn status(&self) -> Status {
        let snapshot = self.snapshot();
        let counts = self.kv.counts();
        let calls = counts.iter().map(|(kind, count)| (kind.to_string(), count));
        let mut status = Status {
            daemon: Some(self.daemon.clone()),
            epoch: snapshot.epoch,
            kv_calls: calls.collect::<BTreeMap<_, _>>(),
            ..Status::of(&snapshot)
        };
        for daemon in &mut status.daemons {
            daemon.revision = snapshot.in_force.get(&daemon.name).copied();
            if daemon.name == self.daemon {
                daemon.owned = Some(snapshot.owned.len());
            }
        }
        for upstream in &mut status.upstreams {
            if snapshot.owned.contains(&upstream.name) {
                upstream.owner = Some(self.daemon.clone());
            }
        }
        status
    }

    async fn history(&self) -> Vec<HistoryEntry> {
        let past = |r: &Record| HistoryEntry {
            revision: r.revision,
            change: r.change.clone(),
            author: r.author.clone(),
        };
        self.change_log.history.lock().iter().rev().map(past).collect()
    }

    async fn set_at(&self, revision: Revision) -> Option<Arc<Set>> {
        let sets = self.change_log.sets.lock();
        sets.iter().find(|(r, _)| *r == revision).map(|(_, set)| set.clone())
    }
}
