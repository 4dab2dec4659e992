//! The prefix cache: blocks by key with least-recently-used eviction, and a log of its changes.

use std::collections::VecDeque;
use std::num::NonZeroUsize;
use std::time::Duration;

use acacia_policy::request::{BLOCK_TOKENS, BlockKey};
use bytes::Bytes;
use lru::LruCache;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Number of events kept for readers.
const HISTORY: usize = 16_384;
/// Size of an exported block, in bytes.
const BODY_BYTES: usize = 1_024;

/// A cached block.
#[derive(Clone, Debug, Default)]
pub struct Block {
    /// Hash of all prompt tokens up to the end of the block; unknown for an imported block until a
    /// prompt uses it.
    pub fingerprint: Option<u64>,
    /// Imported bytes, if they do not match the key.
    pub foreign_body: Option<Bytes>,
}

/// Kind of a cache event.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EventKind {
    /// The block was added.
    Stored,
    /// The block was removed.
    Removed,
}

/// A change of the cache.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Event {
    /// Sequence number.
    pub seq: u64,
    /// Kind of the change.
    pub kind: EventKind,
    /// Key of the block, in hex.
    pub key: String,
}

/// Prefix cache of an engine.
pub struct Cache {
    blocks: LruCache<BlockKey, Block>,
    log: VecDeque<(Instant, Event)>,
    next: u64,
    /// Events whose number is a multiple of this are lost; zero loses none.
    gap_every: u64,
}

/// Cached prefix of a prompt.
#[derive(Clone, Copy, Debug, Default)]
pub struct Hit {
    /// Number of cached blocks from the start of the prompt.
    pub blocks: usize,
    /// Number of these blocks that were computed from other tokens.
    pub mismatched: usize,
}

impl Cache {
    /// An empty cache with a capacity of `tokens` tokens.
    pub fn new(tokens: usize, gap_every: u64) -> Self {
        let blocks = NonZeroUsize::new(tokens / BLOCK_TOKENS).unwrap_or(NonZeroUsize::MIN);
        Self { blocks: LruCache::new(blocks), log: VecDeque::new(), next: 1, gap_every }
    }

    /// Finds the longest cached prefix of a prompt, given the keys and fingerprints of its blocks.
    pub fn find(&mut self, keys: &[BlockKey], fingerprints: &[u64]) -> Hit {
        let present = keys.iter().zip(fingerprints);
        let cached = present.take_while(|(key, _)| self.blocks.contains(*key)).count();
        let mut hit = Hit { blocks: cached, mismatched: 0 };
        // The first block is touched last, so that a chain is evicted from its end.
        for (key, fingerprint) in keys[..cached].iter().zip(fingerprints).rev() {
            if let Some(block) = self.blocks.get_mut(key) {
                let known = *block.fingerprint.get_or_insert(*fingerprint);
                hit.mismatched += usize::from(known != *fingerprint);
            }
        }
        hit
    }

    /// Adds the computed blocks of a prompt.
    pub fn store(&mut self, keys: &[BlockKey], fingerprints: &[u64]) {
        for (key, fingerprint) in keys.iter().zip(fingerprints).rev() {
            let block = Block { fingerprint: Some(*fingerprint), foreign_body: None };
            self.insert(*key, block);
        }
    }

    /// Adds a block, or marks a cached one as used.
    pub fn insert(&mut self, key: BlockKey, block: Block) {
        if self.blocks.contains(&key) {
            self.blocks.promote(&key);
            return;
        }
        if let Some((removed, _)) = self.blocks.push(key, block) {
            self.record(EventKind::Removed, &removed);
        }
        self.record(EventKind::Stored, &key);
    }

    /// Returns a block and marks it as used.
    pub fn get(&mut self, key: &BlockKey) -> Option<&Block> {
        self.blocks.get(key)
    }

    /// Removes all blocks, after a restart or a change of weights.
    pub fn clear(&mut self) {
        while let Some((key, _)) = self.blocks.pop_lru() {
            self.record(EventKind::Removed, &key);
        }
    }

    /// Number of cached tokens.
    pub fn tokens(&self) -> usize {
        self.blocks.len() * BLOCK_TOKENS
    }

    /// Events after number `after` that are at least `lag` old, and the number to continue after.
    pub fn events(&self, after: u64, lag: Duration) -> (u64, Vec<Event>) {
        let now = Instant::now();
        let due = self.log.iter().filter(|(at, event)| event.seq > after && *at + lag <= now);
        let events: Vec<_> = due.map(|(_, event)| event.clone()).collect();
        (events.last().map_or(after, |event| event.seq), events)
    }

    fn record(&mut self, kind: EventKind, key: &BlockKey) {
        let seq = self.next;
        self.next += 1;
        if self.gap_every > 0 && seq.is_multiple_of(self.gap_every) {
            return;
        }
        let key = blake3::Hash::from_bytes(*key).to_hex().to_string();
        self.log.push_back((Instant::now(), Event { seq, kind, key }));
        if self.log.len() > HISTORY {
            self.log.pop_front();
        }
    }
}

/// Content of a block, determined by its key and the weight version.
pub fn block_body(key: &BlockKey, version: &str) -> Bytes {
    let mut bytes = vec![0; BODY_BYTES];
    let mut hasher = blake3::Hasher::new_keyed(key);
    hasher.update(version.as_bytes());
    hasher.finalize_xof().fill(&mut bytes);
    bytes.into()
}

/// Parses a key from 64 hex digits.
pub fn parse_key(hex: &str) -> Option<BlockKey> {
    blake3::Hash::from_hex(hex).ok().map(|hash| *hash.as_bytes())
}
