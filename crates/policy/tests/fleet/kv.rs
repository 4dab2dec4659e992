//! An in-memory key-value service.

use std::collections::BTreeMap;

use acacia_policy::control::CallId;
use acacia_policy::kv::{Entry, Failure, Key, ModRevision, Outcome, Reply, Request};

use super::NodeId;

/// A waiting watch.
pub struct Waiter {
    pub node: NodeId,
    pub call: CallId,
    key: Key,
    after: ModRevision,
}

/// Number of calls by kind.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    pub reads: u64,
    pub writes: u64,
    pub claim_writes: u64,
    pub watches: u64,
}

/// The key-value service.
#[derive(Default)]
pub struct Kv {
    entries: BTreeMap<Key, (Vec<u8>, ModRevision)>,
    revision: ModRevision,
    waiters: Vec<Waiter>,
    pub down: bool,
    pub counts: Counts,
}

impl Kv {
    /// Executes a call; none for a watch that has to wait.
    pub fn call(&mut self, node: NodeId, call: CallId, request: Request) -> Option<Outcome> {
        self.count(&request);
        if self.down {
            return Some(Err(Failure::Unavailable));
        }
        Some(Ok(match request {
            Request::Get { key } => Reply::Got(self.entry(&key)),
            Request::List { prefix } => {
                let keys: Vec<Key> =
                    self.entries.keys().filter(|k| k.starts_with(&prefix)).cloned().collect();
                Reply::Listed(keys.iter().filter_map(|k| self.entry(k)).collect())
            }
            Request::Swap { key, expected, value, .. } => self.swap(key, expected, value),
            Request::Watch { key, after } => {
                if self.entries.get(&key).is_none_or(|(_, r)| *r <= after) {
                    self.waiters.push(Waiter { node, call, key, after });
                    return None;
                }
                Reply::Got(self.entry(&key))
            }
            Request::Grant { .. } | Request::Renew { .. } | Request::Revoke { .. } => {
                return Some(Err(Failure::Unavailable));
            }
        }))
    }

    /// Removes and returns the watches that end now, with their outcomes.
    pub fn take_ended(&mut self) -> Vec<(Waiter, Outcome)> {
        let (ended, waiting): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.waiters).into_iter().partition(|w| {
                self.down || self.entries.get(&w.key).is_some_and(|(_, r)| *r > w.after)
            });
        self.waiters = waiting;
        let down = self.down;
        let outcome = |key: &Key| {
            if down { Err(Failure::Ambiguous) } else { Ok(Reply::Got(self.entry(key))) }
        };
        ended
            .into_iter()
            .map(|w| {
                let o = outcome(&w.key);
                (w, o)
            })
            .collect()
    }

    /// Writes a key.
    pub fn put(&mut self, key: &str, value: Vec<u8>) {
        self.revision += 1;
        self.entries.insert(key.to_owned(), (value, self.revision));
    }

    /// A key's value.
    pub fn value(&self, key: &str) -> Option<&[u8]> {
        self.entries.get(key).map(|(value, _)| value.as_slice())
    }

    /// Size of the largest value in bytes.
    pub fn largest(&self) -> usize {
        self.entries.values().map(|(v, _)| v.len()).max().unwrap_or_default()
    }

    /// Number of waiting watches.
    pub fn waiting(&self) -> usize {
        self.waiters.len()
    }

    fn entry(&self, key: &Key) -> Option<Entry> {
        let (value, revision) = self.entries.get(key)?;
        Some(Entry { key: key.clone(), value: value.clone(), revision: *revision })
    }

    fn swap(&mut self, key: Key, expected: ModRevision, value: Option<Vec<u8>>) -> Reply {
        let found = self.entries.get(&key).map_or(0, |(_, r)| *r);
        if found != expected {
            return Reply::Conflict(self.entry(&key));
        }
        self.revision += 1;
        match value {
            Some(value) => self.entries.insert(key, (value, self.revision)),
            None => self.entries.remove(&key),
        };
        Reply::Swapped(self.revision)
    }

    fn count(&mut self, request: &Request) {
        match request {
            Request::Get { .. } | Request::List { .. } => self.counts.reads += 1,
            Request::Watch { .. } => self.counts.watches += 1,
            Request::Swap { key, .. } => {
                self.counts.writes += 1;
                self.counts.claim_writes += u64::from(key.starts_with("acacia/claims/"));
            }
            _ => self.counts.writes += 1,
        }
    }
}
