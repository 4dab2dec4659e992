//! The key-value service: a subset of the etcd v3 JSON gateway.
//!
//! [`keyspace`] holds keys, leases and history; [`wire`] defines the JSON. This module serves the
//! calls and enforces rate limits.

pub(crate) mod keyspace;
pub mod wire;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use futures::stream;
use http::{Method, StatusCode};
use parking_lot::Mutex;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::json;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::counter::{Counter, Tally};
use crate::exchange::{Answer, Call, Disconnect, Reply};
use crate::fault::Fault;
use crate::host::{self, Standin};
use keyspace::{Keyspace, Refusal};
use wire::{KeepAlive, Lease, LeaseGrant, Range, Transaction, Watch};

/// A running key-value service.
pub type Handle = host::Handle<State>;

/// Interval between checks for expired leases.
const EXPIRY_STEP: Duration = Duration::from_millis(20);

/// Settings of the key-value service.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address of the protocol port.
    pub address: SocketAddr,
    /// Address of the control port.
    pub control: SocketAddr,
    /// Time that each call takes.
    pub latency: Duration,
    /// Writes per second above which calls are refused; zero is unlimited.
    pub writes_per_second: u32,
    /// Reads and watches per second above which calls are refused; zero is unlimited.
    pub reads_per_second: u32,
    /// Changes kept for watches that start at an earlier revision.
    pub history: usize,
    /// Factor by which lease times are shortened.
    pub scale: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            control: SocketAddr::from(([127, 0, 0, 1], 0)),
            latency: Duration::ZERO,
            writes_per_second: 0,
            reads_per_second: 0,
            history: 16_384,
            scale: 1.0,
        }
    }
}

/// Serves the key-value service.
///
/// # Errors
/// If a port can't be bound.
pub async fn start(settings: Settings) -> std::io::Result<Handle> {
    let (address, control) = (settings.address, settings.control);
    let state = Arc::new(State::new(settings));
    tokio::spawn(expire(Arc::downgrade(&state)));
    Handle::start(state, address, control).await
}

/// Expires leases while no calls arrive, so that watches are notified, until the service stops.
async fn expire(state: std::sync::Weak<State>) {
    loop {
        tokio::time::sleep(EXPIRY_STEP).await;
        let Some(state) = state.upgrade() else { return };
        state.change(|_| ());
    }
}

/// State of the service.
pub struct State {
    settings: Settings,
    tally: Tally,
    keyspace: Mutex<Keyspace>,
    revision: watch::Sender<i64>,
    closed: AtomicBool,
    writes: Mutex<Bucket>,
    reads: Mutex<Bucket>,
}

impl State {
    fn new(settings: Settings) -> Self {
        Self {
            tally: Tally::default(),
            keyspace: Mutex::new(Keyspace::new(settings.scale, settings.history)),
            revision: watch::channel(0).0,
            closed: AtomicBool::new(false),
            writes: Mutex::new(Bucket::new(settings.writes_per_second)),
            reads: Mutex::new(Bucket::new(settings.reads_per_second)),
            settings,
        }
    }

    /// Current value of a key, for tests and oracles.
    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        self.change(|keyspace| keyspace.get(key.as_bytes()).map(|entry| entry.value.clone()))
    }

    /// Expires leases, applies a change and wakes the watches if the revision changed.
    fn change<T>(&self, change: impl FnOnce(&mut Keyspace) -> T) -> T {
        let (value, revision) = {
            let mut keyspace = self.keyspace.lock();
            let expired = keyspace.expire(Instant::now());
            self.tally.add(Counter::Expiries, expired as u64);
            let value = change(&mut keyspace);
            (value, keyspace.revision())
        };
        self.revision.send_if_modified(|now| std::mem::replace(now, revision) != revision);
        value
    }

    async fn route(self: Arc<Self>, call: Call) -> Reply {
        if call.method != Method::POST {
            return Err(Answer::unknown_path());
        }
        match call.path.as_str() {
            "/v3/kv/range" => self.range(&call),
            "/v3/kv/txn" => self.transaction(&call),
            "/v3/lease/grant" => self.grant(&call),
            "/v3/lease/keepalive" => self.keep_alive(&call),
            "/v3/lease/revoke" => self.revoke(&call),
            "/v3/watch" => self.watch(&call),
            _ => Err(Answer::unknown_path()),
        }
    }

    fn range(&self, call: &Call) -> Reply {
        let range: Range = parse(call)?;
        self.admit(&self.reads)?;
        self.tally.count(Counter::Ranges);
        Ok(ok(&self.change(|keyspace| keyspace.range(&range))))
    }

    fn transaction(&self, call: &Call) -> Reply {
        let transaction: Transaction = parse(call)?;
        self.admit(if transaction.writes() { &self.writes } else { &self.reads })?;
        self.tally.count(Counter::Transactions);
        let done = self.change(|keyspace| keyspace.transact(&transaction));
        let done = done.map_err(refusal_answer)?;
        let wrote = done.succeeded && transaction.writes();
        self.tally.count(if done.succeeded { Counter::Writes } else { Counter::Conflicts });
        let answer = ok(&done);
        Ok(if wrote { answer.with_effect() } else { answer })
    }

    fn grant(&self, call: &Call) -> Reply {
        let grant: LeaseGrant = parse(call)?;
        self.admit(&self.writes)?;
        self.tally.count(Counter::Grants);
        Ok(ok(&self.change(|keyspace| keyspace.grant(&grant, Instant::now()))).with_effect())
    }

    fn keep_alive(&self, call: &Call) -> Reply {
        let lease: Lease = parse(call)?;
        self.admit(&self.writes)?;
        self.tally.count(Counter::Renewals);
        let result = self.change(|keyspace| keyspace.keep_alive(lease.id, Instant::now()));
        Ok(ok(&KeepAlive { result }).with_effect())
    }

    fn revoke(&self, call: &Call) -> Reply {
        let lease: Lease = parse(call)?;
        self.admit(&self.writes)?;
        self.tally.count(Counter::Revocations);
        self.change(|keyspace| keyspace.revoke(lease.id));
        Ok(ok(&json!({})).with_effect())
    }

    fn watch(self: &Arc<Self>, call: &Call) -> Reply {
        let watch: Watch = parse(call)?;
        self.admit(&self.reads)?;
        self.tally.count(Counter::Watches);
        let revision = self.revision.subscribe();
        let start = match watch.create_request.start_revision {
            0 => self.keyspace.lock().revision() + 1,
            start => start,
        };
        let range = watch.create_request;
        let watcher = Watcher { state: self.clone(), range, start, revision, ended: false };
        let events = stream::unfold(watcher, |mut watcher| async move {
            let line = watcher.next().await?;
            Some((Ok::<Bytes, Disconnect>(line), watcher))
        });
        Ok(Answer::stream("application/json", events))
    }

    fn admit(&self, bucket: &Mutex<Bucket>) -> Result<(), Answer> {
        if bucket.lock().take(Instant::now()) {
            return Ok(());
        }
        self.tally.count(Counter::Refused);
        Err(Answer::error(
            StatusCode::TOO_MANY_REQUESTS,
            "too_many_requests",
            "the rate limit is exceeded",
        ))
    }
}

impl Standin for State {
    const NAME: &'static str = "kv";

    fn tally(&self) -> &Tally {
        &self.tally
    }

    async fn respond(self: Arc<Self>, call: Call) -> Answer {
        if !self.settings.latency.is_zero() {
            tokio::time::sleep(self.settings.latency).await;
        }
        self.route(call).await.unwrap_or_else(|refusal| refusal)
    }

    fn close(&self) {
        self.closed.store(true, Ordering::Relaxed);
        // Wakes the watches, which end when they see `closed`.
        self.revision.send_modify(|_| ());
    }

    fn fault(&self, fault: &Fault) -> bool {
        match fault {
            Fault::LeaseLapse => {
                let expired = self.change(Keyspace::expire_all);
                self.tally.add(Counter::Expiries, expired as u64);
                true
            }
            _ => false,
        }
    }
}

/// A watch that waits for changes.
struct Watcher {
    state: Arc<State>,
    range: wire::WatchCreate,
    start: i64,
    revision: watch::Receiver<i64>,
    ended: bool,
}

impl Watcher {
    /// The next line; `None` after the service stopped, or after a line reported a compacted start.
    async fn next(&mut self) -> Option<Bytes> {
        while !self.ended && !self.state.closed.load(Ordering::Relaxed) {
            self.revision.borrow_and_update();
            let range = (self.range.key.as_slice(), self.range.range_end.as_slice());
            let batch = self.state.keyspace.lock().events(range, self.start);
            self.start = batch.next;
            self.ended = batch.compacted > 0;
            if self.ended || !batch.events.is_empty() {
                let mut line = serde_json::to_vec(&batch.into_line()).ok()?;
                line.push(b'\n');
                return Some(line.into());
            }
            self.revision.changed().await.ok()?;
        }
        None
    }
}

/// A token bucket that allows a burst of one second.
struct Bucket {
    rate: f64,
    tokens: f64,
    filled: Instant,
}

impl Bucket {
    fn new(rate: u32) -> Self {
        Self { rate: rate.into(), tokens: rate.into(), filled: Instant::now() }
    }

    fn take(&mut self, now: Instant) -> bool {
        if self.rate == 0.0 {
            return true;
        }
        let new = now.duration_since(self.filled).as_secs_f64() * self.rate;
        self.tokens = (self.tokens + new).min(self.rate);
        self.filled = now;
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

fn parse<T: DeserializeOwned>(call: &Call) -> Result<T, Answer> {
    call.json()
}

fn ok(value: &impl Serialize) -> Answer {
    Answer::json(StatusCode::OK, value)
}

fn refusal_answer(refusal: Refusal) -> Answer {
    match refusal {
        Refusal::TooLarge => Answer::error(
            StatusCode::PAYLOAD_TOO_LARGE,
            "too_large",
            "the value is larger than the limit of 1 MiB",
        ),
        Refusal::NoLease => Answer::error(
            StatusCode::NOT_FOUND,
            "lease_not_found",
            "the lease has expired or was revoked; request a new one",
        ),
    }
}
