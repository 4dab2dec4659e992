//! Metadata store of the platform.

use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use http::{Method, StatusCode};
use parking_lot::Mutex;
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::counter::{Counter, Tally};
use crate::exchange::{Answer, Call, Reply};
use crate::fault::Fault;
use crate::host::{self, Standin};
use crate::kv::keyspace::Keyspace;
use crate::kv::wire::{
    Compare, Delete, EventKind, KeyValue, LeaseGrant, Operation, Put, Range, Relation, Target,
    Transaction, WatchEvent,
};

/// A running metadata store.
pub type Handle = host::Handle<State>;

/// Lease times are in milliseconds, while the keyspace counts in seconds.
const LEASE_SCALE: f64 = 1_000.0;
/// Number of changes kept for watches.
const HISTORY: usize = 4_096;
/// Interval between checks for expired leases.
const EXPIRY_STEP: Duration = Duration::from_millis(20);
/// Interval between two copies of the keyspace.
const COPY_INTERVAL: Duration = Duration::from_millis(200);
/// Age from which a copy is discarded.
const COPY_RETENTION: Duration = Duration::from_secs(15);
/// The first era.
const FIRST_ERA: u64 = 1;
/// Maximum number of items on a page.
const PAGE_ITEMS: usize = 500;

/// Serves a store on a free loopback port.
///
/// # Errors
/// If no port can be bound.
pub async fn start() -> std::io::Result<Handle> {
    let state = Arc::new(State {
        tally: Tally::default(),
        keyspace: Mutex::new(Keyspace::new(LEASE_SCALE, HISTORY)),
        revision: watch::channel(0).0,
        discarded: AtomicI64::new(0),
        era: AtomicU64::new(FIRST_ERA),
        copies: Mutex::default(),
        outside_writes: Mutex::default(),
        loss: Mutex::default(),
    });
    tokio::spawn(expire(Arc::downgrade(&state)));
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    host::Handle::start(state, any, any).await
}

async fn expire(state: std::sync::Weak<State>) {
    loop {
        tokio::time::sleep(EXPIRY_STEP).await;
        let Some(state) = state.upgrade() else { return };
        state.change(|_| ());
        state.copy();
    }
}

/// State of the store.
pub struct State {
    tally: Tally,
    keyspace: Mutex<Keyspace>,
    revision: watch::Sender<i64>,
    discarded: AtomicI64,
    era: AtomicU64,
    /// Copies of the keyspace, oldest first.
    copies: Mutex<VecDeque<(Instant, Keyspace)>>,
    /// Writes of operators and servers, which they repeat after a restore, oldest first.
    outside_writes: Mutex<VecDeque<(Instant, Operation)>>,
    loss: Mutex<Option<Loss>>,
}

/// What happens to a write whose answer is lost.
#[derive(Clone, Copy, Debug)]
pub enum Lost {
    /// It is never executed.
    Dropped,
    /// It is never executed, and its connection closes.
    Reset,
    /// It is executed after some time, if its condition still holds.
    Delayed(Duration),
}

/// Calls whose answers are lost: the first write of each key with a prefix.
struct Loss {
    prefix: String,
    lost: Lost,
    /// Keys of the writes so far.
    keys: BTreeSet<String>,
}

impl State {
    /// Loses the answer to the first write of each key that begins with `prefix`.
    pub fn lose_first_writes(&self, prefix: &str, lost: Lost) {
        let (prefix, keys) = (prefix.to_owned(), BTreeSet::new());
        *self.loss.lock() = Some(Loss { prefix, lost, keys });
    }

    /// Answers all writes again. Those that are delayed are still executed.
    pub fn answer_writes(&self) {
        *self.loss.lock() = None;
    }

    /// What happens to a call, if its answer is lost.
    fn loses(&self, call: &Call) -> Option<Lost> {
        let mut loss = self.loss.lock();
        let loss = loss.as_mut().filter(|_| call.path.ends_with("/kv-txn"))?;
        let body: TransactionBody = call.json().ok()?;
        let keys = body.set_keys.into_iter().map(|row| row.key);
        let mut keys = keys.filter(|key| key.starts_with(&loss.prefix));
        keys.any(|key| loss.keys.insert(key)).then_some(loss.lost)
    }

    /// Copies the keyspace from time to time.
    fn copy(&self) {
        let now = Instant::now();
        let mut copies = self.copies.lock();
        if copies.back().is_none_or(|(at, _)| *at + COPY_INTERVAL <= now) {
            copies.push_back((now, self.keyspace.lock().clone()));
        }
        while copies.front().is_some_and(|(at, _)| *at + COPY_RETENTION < now) {
            copies.pop_front();
        }
        let mut writes = self.outside_writes.lock();
        while writes.front().is_some_and(|(at, _)| *at + COPY_RETENTION < now) {
            writes.pop_front();
        }
    }

    /// Restores the newest copy that is at least as old as `age`, or the oldest one, and begins a
    /// new era. Operators and servers write again what they wrote since.
    pub fn restore(&self, age: Duration) {
        let limit = Instant::now().checked_sub(age);
        let restored = {
            let mut copies = self.copies.lock();
            let found = copies.iter().rposition(|(at, _)| limit.is_some_and(|limit| *at <= limit));
            let copy = copies.get(found.unwrap_or(0)).cloned();
            // Copies of the lost time belong to no era that can be restored.
            copies.truncate(found.unwrap_or(0) + 1);
            copy
        };
        let Some((copied_at, copy)) = restored else { return };
        let revision = copy.revision();
        *self.keyspace.lock() = copy;
        self.era.fetch_add(1, Ordering::Relaxed);
        self.discarded.fetch_min(revision, Ordering::Relaxed);
        self.revision.send_replace(revision);
        let writes: Vec<Operation> = {
            let writes = self.outside_writes.lock();
            let lost = writes.iter().filter(|(at, _)| *at >= copied_at);
            lost.map(|(_, operation)| operation.clone()).collect()
        };
        for operation in writes {
            self.apply(operation);
        }
    }

    /// Writes a key as operators and servers do, without a lease; returns the revision.
    pub fn put(&self, key: &str, value: &Value) -> i64 {
        self.put_bytes(key, value.to_string().into_bytes())
    }

    /// Writes a key with any bytes, as another writer may.
    pub fn put_bytes(&self, key: &str, value: Vec<u8>) -> i64 {
        let put = Put { key: key.into(), value, lease: 0 };
        self.write(Operation::RequestPut(put))
    }

    /// Removes a key as operators and servers do; returns the revision.
    pub fn remove(&self, key: &str) -> i64 {
        self.write(Operation::RequestDeleteRange(Delete { key: key.into() }))
    }

    /// Value of a key.
    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        self.change(|keyspace| keyspace.get(key.as_bytes()).map(|entry| entry.value.clone()))
    }

    /// Discards the change history, so that watches from earlier revisions fail with `410`.
    pub fn discard_history(&self) {
        let now = self.change(|keyspace| keyspace.revision());
        self.discarded.store(now, Ordering::Relaxed);
        self.revision.send_modify(|_| ());
    }

    fn write(&self, operation: Operation) -> i64 {
        self.outside_writes.lock().push_back((Instant::now(), operation.clone()));
        self.apply(operation)
    }

    fn apply(&self, operation: Operation) -> i64 {
        let transaction =
            Transaction { compare: Vec::new(), success: vec![operation], failure: Vec::new() };
        self.change(|keyspace| {
            // Can't fail: no lease is involved, and values are small.
            let _ = keyspace.transact(&transaction);
            keyspace.revision()
        })
    }

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

    async fn route(&self, call: &Call) -> Reply {
        let path = call.path.strip_prefix("/acaciaarch/").unwrap_or("");
        match (&call.method, path) {
            (&Method::GET, "kv-range") => Ok(self.range(call)),
            (&Method::GET, "kv-watch") => Ok(self.watch(call).await),
            (&Method::POST, "kv-txn") => self.transaction(call),
            (&Method::POST, "kv-lease") => self.grant(call),
            (&Method::POST, path) if path.starts_with("kv-keep/") => self.renew(path),
            (&Method::DELETE, path) if path.starts_with("kv-lease-end/") => self.end_lease(path),
            _ => Err(Answer::unknown_path()),
        }
    }

    fn range(&self, call: &Call) -> Answer {
        self.tally.count(Counter::Ranges);
        let prefix = call.parameter("path_prefix").unwrap_or("");
        let after = call.parameter("after").unwrap_or("");
        let (all, revision) = self
            .change(|keyspace| (keyspace.range(&prefix_range(prefix)).kvs, keyspace.revision()));
        let later: Vec<_> = all.into_iter().filter(|item| &*item.key > after.as_bytes()).collect();
        let items: Vec<Value> = later.iter().take(PAGE_ITEMS).map(item).collect();
        let body =
            json!({"items": items, "truncated": later.len() > PAGE_ITEMS, "as_of": revision});
        Answer::json(StatusCode::OK, &body)
    }

    async fn watch(&self, call: &Call) -> Answer {
        self.tally.count(Counter::Watches);
        let prefix = call.parameter("path_prefix").unwrap_or("").to_owned();
        let number = |name| call.parameter(name).and_then(|text| text.parse::<i64>().ok());
        let (after, wait) = (number("after").unwrap_or(0), number("wait_ms").unwrap_or(0));
        let end = Instant::now() + Duration::from_millis(wait.unsigned_abs());
        let mut revisions = self.revision.subscribe();
        loop {
            revisions.borrow_and_update();
            let range = prefix_range(&prefix);
            let (batch, revision) = self.change(|keyspace| {
                let range = (&*range.key, &*range.range_end);
                (keyspace.events(range, after + 1), keyspace.revision())
            });
            let is_unknown = after > revision || after < self.discarded.load(Ordering::Relaxed);
            if batch.compacted > 0 || is_unknown {
                return Answer::json(StatusCode::GONE, &json!({}));
            }
            let changed = tokio::time::timeout_at(end, revisions.changed());
            if !batch.events.is_empty() || Instant::now() >= end {
                let events: Vec<Value> = batch.events.iter().map(event).collect();
                return Answer::json(StatusCode::OK, &json!({"events": events, "as_of": revision}));
            }
            // On a timeout, the next pass returns because `end` has passed.
            let _ = changed.await;
        }
    }

    fn transaction(&self, call: &Call) -> Reply {
        self.tally.count(Counter::Transactions);
        let body: TransactionBody = call.json()?;
        let compare = body.expected.iter().map(|row| Compare {
            key: row.key.clone().into_bytes(),
            target: Target::Mod,
            result: Relation::Equal,
            mod_revision: row.revision,
        });
        let puts = body.set_keys.iter().map(|row| {
            let value = STANDARD.decode(&row.value).unwrap_or_default();
            let key = row.key.clone().into_bytes();
            Operation::RequestPut(Put { key, value, lease: row.lease })
        });
        let removals = body
            .remove
            .iter()
            .map(|key| Operation::RequestDeleteRange(Delete { key: key.clone().into_bytes() }));
        let transaction = Transaction {
            compare: compare.collect(),
            success: puts.chain(removals).collect(),
            failure: Vec::new(),
        };
        match self.change(|keyspace| keyspace.transact(&transaction)) {
            Ok(done) if done.succeeded => {
                self.tally.count(Counter::Writes);
                let body = json!({"revision": done.header.revision});
                Ok(Answer::json(StatusCode::OK, &body).with_effect())
            }
            Ok(_) => {
                self.tally.count(Counter::Conflicts);
                Ok(Answer::json(StatusCode::PRECONDITION_FAILED, &json!({"items": []})))
            }
            Err(_) => Err(Answer::json(StatusCode::NOT_FOUND, &json!({}))),
        }
    }

    fn grant(&self, call: &Call) -> Reply {
        #[derive(Deserialize)]
        struct Body {
            ttl_ms: i64,
        }
        self.tally.count(Counter::Grants);
        let body: Body = call.json()?;
        let grant = LeaseGrant { ttl: body.ttl_ms, id: 0 };
        let leased = self.change(|keyspace| keyspace.grant(&grant, Instant::now()));
        let body = json!({"lease": leased.id, "ttl_ms": leased.ttl});
        Ok(Answer::json(StatusCode::OK, &body).with_effect())
    }

    fn renew(&self, path: &str) -> Reply {
        self.tally.count(Counter::Renewals);
        let leased = self.change(|keyspace| keyspace.keep_alive(lease_id(path), Instant::now()));
        if leased.ttl == 0 {
            return Err(Answer::json(StatusCode::NOT_FOUND, &json!({})));
        }
        Ok(Answer::json(StatusCode::OK, &json!({"ttl_ms": leased.ttl})))
    }

    fn end_lease(&self, path: &str) -> Reply {
        self.tally.count(Counter::Revocations);
        self.change(|keyspace| keyspace.revoke(lease_id(path)));
        Ok(Answer::json(StatusCode::OK, &json!({})).with_effect())
    }
}

impl Standin for State {
    const NAME: &'static str = "platform_store";

    fn tally(&self) -> &Tally {
        &self.tally
    }

    async fn respond(self: Arc<Self>, call: Call) -> Answer {
        match self.loses(&call) {
            Some(Lost::Dropped) => return std::future::pending().await,
            Some(Lost::Reset) => return Answer::disconnect(),
            Some(Lost::Delayed(delay)) => {
                let store = self.clone();
                tokio::spawn(async move {
                    tokio::time::sleep(delay).await;
                    // Nobody reads the answer.
                    let _ = store.transaction(&call);
                });
                return std::future::pending().await;
            }
            None => {}
        }
        let answer = self.route(&call).await.unwrap_or_else(|refusal| refusal);
        answer.with("store-era", self.era.load(Ordering::Relaxed))
    }

    fn fault(&self, fault: &Fault) -> bool {
        match fault {
            Fault::LeaseLapse => {
                let expired = self.change(Keyspace::expire_all);
                self.tally.add(Counter::Expiries, expired as u64);
            }
            Fault::Restored { millis } => self.restore(Duration::from_millis(*millis)),
            _ => return false,
        }
        true
    }
}

#[derive(Deserialize)]
struct TransactionBody {
    #[serde(default)]
    expected: Vec<ExpectedRow>,
    #[serde(default)]
    set_keys: Vec<SetRow>,
    #[serde(default)]
    remove: Vec<String>,
}

#[derive(Deserialize)]
struct ExpectedRow {
    key: String,
    revision: i64,
}

#[derive(Deserialize)]
struct SetRow {
    key: String,
    value: String,
    #[serde(default)]
    lease: i64,
}

/// Range of all keys that start with a prefix.
fn prefix_range(prefix: &str) -> Range {
    let mut range_end = prefix.as_bytes().to_vec();
    match range_end.last_mut() {
        Some(last) => *last += 1,
        None => range_end = vec![0],
    }
    let key = if prefix.is_empty() { vec![0] } else { prefix.as_bytes().to_vec() };
    Range { key, range_end, limit: 0 }
}

fn item(entry: &KeyValue) -> Value {
    json!({
        "key": String::from_utf8_lossy(&entry.key),
        "value": STANDARD.encode(&entry.value),
        "revision": entry.mod_revision,
        "created": entry.create_revision,
        "lease": entry.lease,
    })
}

fn event(event: &WatchEvent) -> Value {
    match event.kind {
        EventKind::Put => item(&event.kv),
        EventKind::Delete => json!({
            "key": String::from_utf8_lossy(&event.kv.key),
            "revision": event.kv.mod_revision,
            "removed": true,
        }),
    }
}

/// Lease id at the end of a path; zero, which no lease has, if there is none.
fn lease_id(path: &str) -> i64 {
    path.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0)
}
