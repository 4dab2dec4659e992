//! An in-memory backend behind a real HTTP server.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

use acacia_catalog::generate::Size;
use acacia_catalog::id::Revision;
use acacia_catalog::{Document, Set};
use acacia_operator::call::{HistoryEntry, Propagation};
use acacia_operator::{Backend, Client, Key, Keys, Role, Status, server};
use acacia_policy::Snapshot;
use acacia_policy::control::{Change, ChangeOutcome, Order, OrderOutcome};
use salvo::conn::Acceptor;
use salvo::prelude::*;

/// Number of live daemons that the fake reports.
pub const LIVE_DAEMONS: usize = 3;

/// An outcome that is injected into the next change.
#[derive(Clone, Copy, Debug)]
pub enum Injection {
    /// The key-value service is down.
    Unavailable,
    /// The change is accepted, but the answer is lost.
    AnswerLost,
    /// The change is not accepted, and the answer is lost.
    RequestLost,
    /// Another operator's change of a weight comes first.
    CompetingChange,
}

/// A daemon that stores configurations in memory.
#[derive(Default)]
pub struct Fake {
    pub state: Mutex<State>,
}

#[derive(Default)]
pub struct State {
    pub accepted: Vec<(HistoryEntry, Arc<Set>)>,
    pub injections: VecDeque<Injection>,
    pub orders: Vec<Order>,
    pub order_fails: bool,
    pub propagation_polls: usize,
    pub stale_reads: usize,
    pub drops_history: bool,
}

impl State {
    fn accept(&mut self, change: Change) -> ChangeOutcome {
        let known = self.accepted.iter().find(|(past, _)| past.change == change.id);
        if let Some((past, _)) = known {
            return ChangeOutcome::Accepted(past.revision);
        }
        let revision = self.accepted.len() as Revision;
        if change.base != revision {
            return ChangeOutcome::Conflict(revision);
        }
        match Set::check(&change.document) {
            Ok(set) => {
                let Change { id, author, .. } = change;
                let past = HistoryEntry { revision: revision + 1, change: id, author };
                self.accepted.push((past, Arc::new(set)));
                ChangeOutcome::Accepted(revision + 1)
            }
            Err(problems) => ChangeOutcome::Invalid(problems),
        }
    }

    fn accept_competing_change(&mut self) {
        let (past, set) = self.accepted.last().expect("an accepted configuration");
        let mut set = Set::clone(set);
        set.organisations.values_mut().next().expect("an organisation").weight += 1;
        let change = format!("race-{}", past.revision).into();
        let past = HistoryEntry { revision: past.revision + 1, change, author: "rival".to_owned() };
        self.accepted.push((past, Arc::new(set)));
    }
}

impl Fake {
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("lock not poisoned")
    }

    pub fn inject(&self, injection: Injection) {
        self.state().injections.push_back(injection);
    }

    /// The configuration in force.
    pub fn set(&self) -> Set {
        self.state().accepted.last().map(|(_, set)| Set::clone(set)).unwrap_or_default()
    }
}

impl Backend for Fake {
    fn snapshot(&self) -> Arc<Snapshot> {
        let mut state = self.state();
        let hidden = usize::from(state.stale_reads > 0);
        state.stale_reads = state.stale_reads.saturating_sub(1);
        let seen = state.accepted.len().saturating_sub(hidden);
        let last = seen.checked_sub(1).and_then(|i| state.accepted.get(i));
        let set = last.map(|(_, set)| set.clone()).unwrap_or_default();
        let ready = last.is_some();
        Arc::new(Snapshot { revision: seen as Revision, set, ready, ..Snapshot::default() })
    }

    async fn change(&self, change: Change) -> ChangeOutcome {
        let mut state = self.state();
        match state.injections.pop_front() {
            None => state.accept(change),
            Some(Injection::Unavailable) => ChangeOutcome::Unavailable,
            Some(Injection::RequestLost) => ChangeOutcome::Unknown,
            Some(Injection::AnswerLost) => {
                state.accept(change);
                ChangeOutcome::Unknown
            }
            Some(Injection::CompetingChange) => {
                state.accept_competing_change();
                state.accept(change)
            }
        }
    }

    async fn order(&self, order: Order) -> OrderOutcome {
        let mut state = self.state();
        state.orders.push(order);
        if state.order_fails { OrderOutcome::Stale } else { OrderOutcome::Done }
    }

    /// Counts one more daemon with each call.
    fn propagation(&self, _: Revision) -> Propagation {
        let mut state = self.state();
        state.propagation_polls += 1;
        Propagation { daemons: state.propagation_polls.min(LIVE_DAEMONS), live: LIVE_DAEMONS }
    }

    fn status(&self) -> Status {
        Status { epoch: 4, ..Status::of(&self.snapshot()) }
    }

    async fn history(&self) -> Vec<HistoryEntry> {
        self.state().accepted.iter().rev().map(|(past, _)| past.clone()).collect()
    }

    async fn set_at(&self, revision: Revision) -> Option<Arc<Set>> {
        let state = self.state();
        let index = usize::try_from(revision).ok()?.checked_sub(1)?;
        if state.drops_history && index + 1 < state.accepted.len() {
            return None;
        }
        state.accepted.get(index).map(|(_, set)| set.clone())
    }
}

/// A fake backend with its server.
pub struct Served {
    pub fake: Arc<Fake>,
    pub keys: Arc<Keys>,
    pub address: SocketAddr,
}

impl Served {
    pub async fn start() -> Self {
        let fake = Arc::new(Fake::default());
        let all = [Role::Apply, Role::Move];
        let keys = Arc::new(Keys::new(vec![
            Key::of("ana", "key-of-ana", all),
            Key::of("rui", "key-of-rui", [Role::Read]),
            Key::of("ivo", "key-of-ivo", [Role::Move]),
        ]));
        let router = server::router(fake.clone(), keys.clone());
        let acceptor = TcpListener::new("127.0.0.1:0").bind().await;
        let address = acceptor.holdings()[0].local_addr.clone().into_std().expect("an IP address");
        tokio::spawn(Server::new(acceptor).serve(router));
        Self { fake, keys, address }
    }

    /// Starts a server with the example configuration in force.
    pub async fn with_example() -> Self {
        let served = Self::start().await;
        let document = example();
        let change = Change { id: "first".into(), base: 0, author: "ana".to_owned(), document };
        let outcome = served.fake.change(change).await;
        assert_eq!(outcome, ChangeOutcome::Accepted(1));
        served
    }

    pub fn client(&self, operator: &str) -> Client {
        Client::new(self.address.to_string(), format!("key-of-{operator}")).expect("a client")
    }
}

pub fn example() -> Document {
    Size::Actas.plan().document(1)
}
