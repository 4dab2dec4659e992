//! A managed KV cache store. Engines of the same process read and write it directly; the manager
//! calls it over HTTP.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use http::{Method, StatusCode};
use parking_lot::Mutex;
use serde::Deserialize;
use serde_json::json;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::counter::{Counter, Tally};
use crate::exchange::{Answer, Call, Reply};
use crate::fault::Fault;
use crate::host::{self, Standin};

/// A running KV cache store.
pub type Handle = host::Handle<State>;

/// Maximum wait of a call for events, in milliseconds.
const MAX_EVENTS_WAIT_MS: u64 = 1_000;

/// Full name of a prompt part: its namespace (salt) and its id.
pub type Name = (String, String);

/// Serves a store with a capacity of `capacity` tokens on a free loopback port.
///
/// # Errors
/// If no port can be bound.
pub async fn start(capacity: u64) -> std::io::Result<Handle> {
    let state = Arc::new(State {
        tally: Tally::default(),
        capacity,
        epoch: AtomicU64::new(1),
        contents: Mutex::default(),
        changed: watch::channel(0).0,
        started: Instant::now(),
    });
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    host::Handle::start(state, any, any).await
}

/// State of the store.
pub struct State {
    tally: Tally,
    capacity: u64,
    epoch: AtomicU64,
    contents: Mutex<Contents>,
    changed: watch::Sender<u64>,
    started: Instant,
}

#[derive(Debug, Default)]
struct Contents {
    parts: BTreeMap<Name, Part>,
    events: Vec<(char, Name, u32, String)>,
}

/// A prompt part that is stored or being written.
#[derive(Clone, Debug)]
struct Part {
    tokens: u32,
    model: String,
    /// Version of the weights that computed the part.
    weights: u64,
    is_complete: bool,
}

impl State {
    /// Starts writing a part; false if there is no room or the part exists.
    pub fn reserve(&self, name: &Name, tokens: u32, model: &str, weights: u64) -> bool {
        let mut contents = self.contents.lock();
        let used: u64 = contents.parts.values().map(|part| u64::from(part.tokens)).sum();
        if contents.parts.contains_key(name) || used + u64::from(tokens) > self.capacity {
            return false;
        }
        let part = Part { tokens, model: model.to_owned(), weights, is_complete: false };
        contents.parts.insert(name.clone(), part);
        true
    }

    /// Completes a part and publishes its event.
    pub fn finish(&self, name: &Name) {
        let mut contents = self.contents.lock();
        let Some(part) = contents.parts.get_mut(name) else { return };
        part.is_complete = true;
        let (tokens, model) = (part.tokens, part.model.clone());
        contents.events.push(('+', name.clone(), tokens, model));
        self.tally.count(Counter::BlockWrites);
        let count = contents.events.len() as u64;
        drop(contents);
        self.changed.send_replace(count);
    }

    /// Returns the tokens and weights of a part; counts reads of incomplete parts.
    pub fn read(&self, name: &Name) -> Option<(u32, u64)> {
        let contents = self.contents.lock();
        let part = contents.parts.get(name)?;
        self.tally.count(Counter::BlockReads);
        if !part.is_complete {
            self.tally.count(Counter::WrongBlockRead);
        }
        Some((part.tokens, part.weights))
    }

    /// Names of the complete parts.
    pub fn complete_parts(&self) -> Vec<Name> {
        let contents = self.contents.lock();
        contents
            .parts
            .iter()
            .filter(|(_, part)| part.is_complete)
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Clock of the store, in milliseconds.
    pub fn clock(&self) -> u64 {
        // The origin is arbitrary; callers only compare times of one clock.
        self.started.elapsed().as_millis() as u64 + 1_000_000
    }

    fn list(&self) -> Answer {
        let contents = self.contents.lock();
        let of = |is_complete: bool| {
            contents.parts.iter().filter(move |(_, part)| part.is_complete == is_complete)
        };
        let held: Vec<_> =
            of(true).map(|((salt, id), p)| json!([salt, id, p.tokens, p.model])).collect();
        let incomplete: Vec<_> =
            of(false).map(|((salt, id), p)| json!([salt, id, 0, p.tokens])).collect();
        let body = json!({
            "boot_epoch": self.epoch.load(Ordering::Relaxed),
            "next_token": contents.events.len(),
            "held": held,
            "incomplete": incomplete,
        });
        Answer::json(StatusCode::OK, &body)
    }

    async fn events(&self, call: &Call) -> Answer {
        let since =
            call.parameter("since").and_then(|text| text.parse::<usize>().ok()).unwrap_or(0);
        let wait = call.header("wait-ms").parse::<u64>().unwrap_or(0).min(MAX_EVENTS_WAIT_MS);
        let mut changed = self.changed.subscribe();
        let is_new = |count: &u64| *count > since as u64;
        // Without new events the call returns after the wait.
        let _ = tokio::time::timeout(Duration::from_millis(wait), changed.wait_for(is_new)).await;
        let contents = self.contents.lock();
        let new_events = contents.events.iter().enumerate().skip(since);
        let events: Vec<_> = new_events
            .map(|(at, (kind, (salt, id), tokens, model))| {
                json!([at + 1, kind.to_string(), salt, id, tokens, model])
            })
            .collect();
        let body = json!({
            "boot_epoch": self.epoch.load(Ordering::Relaxed),
            "next_token": contents.events.len(),
            "lost": false,
            "events": events,
            "clock_ms": self.clock(),
        });
        Answer::json(StatusCode::OK, &body)
    }

    fn free(&self, call: &Call) -> Reply {
        #[derive(Deserialize)]
        struct Body {
            parts: Vec<Name>,
            boot_epoch: Option<u64>,
        }
        let body: Body = call.json()?;
        let epoch = self.epoch.load(Ordering::Relaxed);
        if body.boot_epoch.is_some_and(|expected| expected != epoch) {
            return Err(Answer::json(StatusCode::CONFLICT, &json!({})));
        }
        let mut contents = self.contents.lock();
        for name in body.parts {
            contents.parts.remove(&name);
        }
        Ok(Answer::json(StatusCode::OK, &json!({})))
    }

    fn report(&self) -> Answer {
        let contents = self.contents.lock();
        let used: u64 = contents.parts.values().map(|part| u64::from(part.tokens)).sum();
        let body = json!({
            "kv_used": used,
            "kv_total": self.capacity,
            "boot_epoch": self.epoch.load(Ordering::Relaxed),
            "clock_ms": self.clock(),
        });
        Answer::json(StatusCode::OK, &body)
    }
}

impl Standin for State {
    const NAME: &'static str = "platform_cache";

    fn tally(&self) -> &Tally {
        &self.tally
    }

    async fn respond(self: Arc<Self>, call: Call) -> Answer {
        let path = call.path.strip_prefix("/acaciaarch/").unwrap_or("");
        match (&call.method, path) {
            (&Method::GET, "kv-list") => self.list(),
            (&Method::GET, "kv-events") => self.events(&call).await,
            (&Method::GET, "report") => self.report(),
            (&Method::POST, "kv-free") => self.free(&call).unwrap_or_else(|refusal| refusal),
            _ => Answer::unknown_path(),
        }
    }

    fn fault(&self, fault: &Fault) -> bool {
        if *fault == Fault::Restart {
            self.tally.count(Counter::Restarts);
            self.epoch.fetch_add(1, Ordering::Relaxed);
            *self.contents.lock() = Contents::default();
            self.changed.send_replace(u64::MAX);
            return true;
        }
        false
    }
}
