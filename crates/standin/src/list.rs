//! The platform's list of live and leaving instances; changes are visible only after a lag.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use acacia_catalog::id::{Incarnation, Name, ZoneId};
use http::{Method, StatusCode};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use strum::Display;
use tokio::time::Instant;

use crate::counter::{Counter, Tally};
use crate::exchange::{Answer, Call};
use crate::fault::Fault;
use crate::host::{self, Standin};

/// A running list of live instances.
pub type Handle = host::Handle<State>;

/// Settings of the list of live instances.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address of the protocol port.
    pub address: SocketAddr,
    /// Address of the control port.
    pub control: SocketAddr,
    /// Time until a change is visible.
    pub lag: Duration,
    /// Instances listed from the start.
    pub instances: Vec<Instance>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            control: SocketAddr::from(([127, 0, 0, 1], 0)),
            lag: Duration::ZERO,
            instances: Vec::new(),
        }
    }
}

/// Serves the list of live instances.
///
/// # Errors
/// If a port can't be bound.
pub async fn start(settings: Settings) -> std::io::Result<Handle> {
    let (address, control) = (settings.address, settings.control);
    Handle::start(Arc::new(State::new(settings)), address, control).await
}

/// Kinds of instances.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Kind {
    /// An Acacia daemon.
    Daemon,
    /// An engine or plain service.
    Upstream,
    /// A KV cache store.
    Store,
}

/// Whether an instance is staying or leaving.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Presence {
    /// It serves and stays.
    Live,
    /// It is about to stop.
    Leaving,
}

/// A listed instance.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Instance {
    /// Unique name.
    pub name: Name,
    /// Kind of instance.
    pub kind: Kind,
    /// Address of its service.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: ZoneId,
    /// Whether it is staying or leaving.
    pub state: Presence,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
}

/// The list as readers receive it.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Listing {
    /// Increases with every visible change.
    pub generation: u64,
    /// Instances sorted by name.
    pub instances: Vec<Instance>,
}

/// A change that is not yet visible.
#[derive(Clone, Debug)]
enum Change {
    Put(Instance),
    Remove(Name),
}

/// State of the list of live instances.
pub struct State {
    lag: Duration,
    tally: Tally,
    table: Mutex<Table>,
}

struct Table {
    generation: u64,
    visible: BTreeMap<Name, Instance>,
    pending: VecDeque<(Instant, Change)>,
}

impl State {
    fn new(settings: Settings) -> Self {
        let by_name = settings.instances.into_iter().map(|i| (i.name.clone(), i));
        let table = Table { generation: 1, visible: by_name.collect(), pending: VecDeque::new() };
        Self { lag: settings.lag, tally: Tally::default(), table: Mutex::new(table) }
    }

    /// Adds or replaces an instance; visible after the lag.
    pub fn put(&self, instance: Instance) {
        self.change(Change::Put(instance));
    }

    /// Removes an instance; visible after the lag.
    pub fn remove(&self, name: &str) {
        self.change(Change::Remove(name.into()));
    }

    /// The list currently visible to readers.
    pub fn listing(&self) -> Listing {
        let mut table = self.table.lock();
        table.advance(Instant::now());
        Listing {
            generation: table.generation,
            instances: table.visible.values().cloned().collect(),
        }
    }

    fn change(&self, change: Change) {
        self.table.lock().pending.push_back((Instant::now() + self.lag, change));
    }
}

impl Table {
    fn advance(&mut self, now: Instant) {
        while self.pending.front().is_some_and(|(at, _)| *at <= now) {
            let Some((_, change)) = self.pending.pop_front() else { return };
            self.generation += 1;
            match change {
                Change::Put(instance) => {
                    self.visible.insert(instance.name.clone(), instance);
                }
                Change::Remove(name) => {
                    self.visible.remove(&name);
                }
            }
        }
    }
}

impl Standin for State {
    const NAME: &'static str = "list";

    fn tally(&self) -> &Tally {
        &self.tally
    }

    async fn respond(self: Arc<Self>, call: Call) -> Answer {
        match (&call.method, call.path.as_str()) {
            (&Method::GET, "/v1/instances") => {
                self.tally.count(Counter::Reads);
                Answer::json(StatusCode::OK, &self.listing())
            }
            _ => Answer::unknown_path(),
        }
    }

    fn fault(&self, _: &Fault) -> bool {
        false
    }

    fn control(&self, call: &Call) -> Option<Answer> {
        match (&call.method, call.path.split_at_checked("/instances".len())?) {
            (&Method::PUT, ("/instances", "")) => Some(match call.json::<Instance>() {
                Ok(instance) => {
                    self.put(instance.clone());
                    Answer::json(StatusCode::OK, &instance)
                }
                Err(answer) => answer,
            }),
            (&Method::DELETE, ("/instances", name)) => {
                self.remove(name.trim_start_matches('/'));
                Some(Answer::json(StatusCode::OK, &serde_json::json!({})))
            }
            _ => None,
        }
    }
}
