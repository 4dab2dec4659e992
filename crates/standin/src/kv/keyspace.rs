//! Keys with revisions, leases, and a change history for watches.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use tokio::time::Instant;

use super::wire::{
    Delete, EventKind, Header, KeyValue, LeaseGrant, LeaseStatus, Operation, Put, Range,
    RangeResponse, Response, Transaction, TransactionResponse, WatchEvent, WatchLine, WatchResult,
};

/// Maximum size of a value, in bytes.
const MAX_VALUE: usize = 1 << 20;

/// Why a transaction was refused without effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// A value exceeds 1 MiB.
    TooLarge,
    /// A key was to be attached to a lease that does not exist.
    NoLease,
}

/// Keys, leases and history.
#[derive(Clone)]
pub struct Keyspace {
    scale: f64,
    revision: i64,
    keys: BTreeMap<Vec<u8>, KeyValue>,
    leases: HashMap<i64, Lease>,
    next_lease: i64,
    history: VecDeque<WatchEvent>,
    /// Maximum number of changes in the history.
    capacity: usize,
    compacted: i64,
}

/// An active lease.
#[derive(Clone)]
struct Lease {
    ttl: i64,
    expires_at: Instant,
    keys: BTreeSet<Vec<u8>>,
}

/// A batch of changes for one watch.
pub struct Batch {
    /// Changes in order.
    pub events: Vec<WatchEvent>,
    /// Start revision of the next batch.
    pub next: i64,
    /// First revision in the history if requested changes were compacted; otherwise zero.
    pub compacted: i64,
}

impl Batch {
    /// Converts the batch to a line of the watch stream.
    pub fn into_line(self) -> WatchLine {
        let header = Header { revision: self.next - 1 };
        let result = WatchResult { header, events: self.events, compact_revision: self.compacted };
        WatchLine { result }
    }
}

impl Keyspace {
    /// An empty keyspace with lease times divided by `scale` and a history of `capacity` changes.
    pub fn new(scale: f64, capacity: usize) -> Self {
        Self {
            scale,
            revision: 1,
            keys: BTreeMap::new(),
            leases: HashMap::new(),
            next_lease: 1,
            history: VecDeque::new(),
            capacity,
            compacted: 0,
        }
    }

    /// Revision of the last change.
    pub fn revision(&self) -> i64 {
        self.revision
    }

    /// State of a key.
    pub fn get(&self, key: &[u8]) -> Option<&KeyValue> {
        self.keys.get(key)
    }

    /// Reads a range of keys.
    pub fn range(&self, range: &Range) -> RangeResponse {
        let all = self.keys.range(range.key.clone()..);
        let within = all.take_while(|(key, _)| covers(&range.key, &range.range_end, key));
        let mut kvs: Vec<_> = within.map(|(_, value)| value.clone()).collect();
        let count = kvs.len() as i64;
        if range.limit > 0 {
            kvs.truncate(range.limit as usize);
        }
        RangeResponse { header: self.header(), kvs, count }
    }

    /// Runs a transaction.
    ///
    /// # Errors
    /// If a value is too large or a lease does not exist; nothing is changed then.
    pub fn transact(&mut self, transaction: &Transaction) -> Result<TransactionResponse, Refusal> {
        let succeeded = transaction.compare.iter().all(|compare| {
            let now = self.keys.get(&compare.key).map_or(0, |value| value.mod_revision);
            now == compare.mod_revision
        });
        let steps = if succeeded { &transaction.success } else { &transaction.failure };
        if steps.iter().any(too_large) {
            return Err(Refusal::TooLarge);
        }
        if steps.iter().any(|step| self.lacks_lease(step)) {
            return Err(Refusal::NoLease);
        }
        let writes = steps.iter().any(|step| !matches!(step, Operation::RequestRange(_)));
        if writes {
            self.revision += 1;
        }
        let responses = steps.iter().map(|step| self.run(step)).collect();
        Ok(TransactionResponse { header: self.header(), succeeded, responses })
    }

    /// Grants a lease.
    pub fn grant(&mut self, grant: &LeaseGrant, now: Instant) -> LeaseStatus {
        let id = if grant.id == 0 { self.next_lease } else { grant.id };
        self.next_lease = self.next_lease.max(id) + 1;
        let ttl = grant.ttl.max(1);
        let expires_at = now + self.real_time(ttl);
        self.leases.insert(id, Lease { ttl, expires_at, keys: BTreeSet::new() });
        LeaseStatus { id, ttl }
    }

    /// Renews a lease; the answer has a TTL of zero if it does not exist.
    pub fn keep_alive(&mut self, id: i64, now: Instant) -> LeaseStatus {
        let scale = self.scale;
        let Some(lease) = self.leases.get_mut(&id) else {
            return LeaseStatus { id, ttl: 0 };
        };
        lease.expires_at = now + Duration::from_secs_f64(lease.ttl as f64 / scale);
        LeaseStatus { id, ttl: lease.ttl }
    }

    /// Revokes a lease and deletes its keys.
    pub fn revoke(&mut self, id: i64) {
        let Some(lease) = self.leases.remove(&id) else { return };
        if lease.keys.is_empty() {
            return;
        }
        self.revision += 1;
        for key in lease.keys {
            self.remove(&key);
        }
    }

    /// Revokes the expired leases and returns their number.
    pub fn expire(&mut self, now: Instant) -> usize {
        let expired =
            self.leases.iter().filter(|(_, lease)| lease.expires_at <= now).map(|(id, _)| *id);
        let expired: Vec<_> = expired.collect();
        expired.iter().for_each(|id| self.revoke(*id));
        expired.len()
    }

    /// Revokes all leases and returns their number.
    pub fn expire_all(&mut self) -> usize {
        let all: Vec<_> = self.leases.keys().copied().collect();
        all.iter().for_each(|id| self.revoke(*id));
        all.len()
    }

    /// Changes in a range of keys since revision `start`, inclusive.
    pub fn events(&self, (key, range_end): (&[u8], &[u8]), start: i64) -> Batch {
        let first = self.history.partition_point(|event| event.kv.mod_revision < start);
        let later = self.history.range(first..);
        let events = later.filter(|event| covers(key, range_end, &event.kv.key)).cloned();
        let compacted = if start <= self.compacted { self.compacted + 1 } else { 0 };
        let events = if compacted == 0 { events.collect() } else { Vec::new() };
        Batch { events, next: start.max(self.revision + 1), compacted }
    }

    fn run(&mut self, step: &Operation) -> Response {
        match step {
            Operation::RequestPut(put) => self.put(put),
            Operation::RequestRange(range) => Response::ResponseRange(self.range(range)),
            Operation::RequestDeleteRange(Delete { key }) => {
                self.remove(key);
                Response::ResponseDeleteRange { header: self.header() }
            }
        }
    }

    fn lacks_lease(&self, step: &Operation) -> bool {
        let Operation::RequestPut(put) = step else { return false };
        put.lease != 0 && !self.leases.contains_key(&put.lease)
    }

    fn put(&mut self, put: &Put) -> Response {
        let before = self.keys.get(&put.key);
        let create_revision = before.map_or(self.revision, |value| value.create_revision);
        let version = before.map_or(0, |value| value.version) + 1;
        let held_by = before.map_or(0, |value| value.lease);
        self.release(held_by, &put.key);
        let value = KeyValue {
            key: put.key.clone(),
            value: put.value.clone(),
            create_revision,
            mod_revision: self.revision,
            version,
            lease: put.lease,
        };
        self.keys.insert(put.key.clone(), value.clone());
        if let Some(lease) = self.leases.get_mut(&put.lease) {
            lease.keys.insert(put.key.clone());
        }
        self.record(WatchEvent { kind: EventKind::Put, kv: value });
        Response::ResponsePut { header: self.header() }
    }

    fn remove(&mut self, key: &[u8]) {
        let Some(before) = self.keys.remove(key) else { return };
        self.release(before.lease, key);
        let kv = KeyValue { key: key.to_vec(), mod_revision: self.revision, ..KeyValue::default() };
        self.record(WatchEvent { kind: EventKind::Delete, kv });
    }

    fn release(&mut self, lease: i64, key: &[u8]) {
        if let Some(lease) = self.leases.get_mut(&lease) {
            lease.keys.remove(key);
        }
    }

    fn record(&mut self, event: WatchEvent) {
        self.history.push_back(event);
        if self.history.len() > self.capacity
            && let Some(dropped) = self.history.pop_front()
        {
            self.compacted = dropped.kv.mod_revision;
        }
    }

    fn header(&self) -> Header {
        Header { revision: self.revision }
    }

    fn real_time(&self, seconds: i64) -> Duration {
        Duration::from_secs_f64(seconds as f64 / self.scale)
    }
}

/// Whether a range contains a key; an empty end means the single key, `[0]` no upper bound.
fn covers(key: &[u8], range_end: &[u8], candidate: &[u8]) -> bool {
    match range_end {
        [] => candidate == key,
        [0] => candidate >= key,
        end => candidate >= key && candidate < end,
    }
}

fn too_large(step: &Operation) -> bool {
    matches!(step, Operation::RequestPut(put) if put.value.len() > MAX_VALUE)
}
