//! The prefix cache: pieces by key, least recently used out first, and the events that tell of it.

use std::collections::VecDeque;
use std::num::NonZeroUsize;
use std::time::Duration;

use acacia_policy::request::{BLOCK_TOKENS, BlockKey};
use bytes::Bytes;
use lru::LruCache;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Events held for readers.
const HISTORY: usize = 16_384;
/// Bytes of a piece's body on the wire.
const BODY_BYTES: usize = 1_024;

/// A cached piece.
#[derive(Clone, Debug, Default)]
pub struct Block {
    /// Hash of all prompt tokens up to its end; absent until a prompt first uses an import.
    pub fingerprint: Option<u64>,
    /// Its bytes when they are not those of its key.
    pub foreign_body: Option<Bytes>,
}

/// What happened to a piece.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EventKind {
    /// It is in the cache.
    Stored,
    /// It is no longer.
    Removed,
}

/// A cache event.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Event {
    /// Its number.
    pub seq: u64,
    /// What happened.
    pub kind: EventKind,
    /// The piece, in hex.
    pub key: String,
}

/// The prefix cache of one engine.
pub struct Cache {
    blocks: LruCache<BlockKey, Block>,
    log: VecDeque<(Instant, Event)>,
    next: u64,
    /// Every event with a number that this divides is lost; zero loses none.
    gap_every: u64,
}

/// What a prompt found.
#[derive(Clone, Copy, Debug, Default)]
pub struct Hit {
    /// Pieces from its start.
    pub blocks: usize,
    /// Of these, pieces that were computed from other tokens.
    pub mismatched: usize,
}

impl Cache {
    /// An empty cache that holds `tokens` tokens.
    pub fn new(tokens: usize, gap_every: u64) -> Self {
        let blocks = NonZeroUsize::new(tokens / BLOCK_TOKENS).unwrap_or(NonZeroUsize::MIN);
        Self { blocks: LruCache::new(blocks), log: VecDeque::new(), next: 1, gap_every }
    }

    /// Finds the longest cached start of a prompt; `fingerprints` are those of its pieces.
    pub fn find(&mut self, keys: &[BlockKey], fingerprints: &[u64]) -> Hit {
        let present = keys.iter().zip(fingerprints);
        let held = present.take_while(|(key, _)| self.blocks.contains(*key)).count();
        let mut found = Hit { blocks: held, mismatched: 0 };
        // The first piece is used last, so that a chain is dropped from its end.
        for (key, fingerprint) in keys[..held].iter().zip(fingerprints).rev() {
            if let Some(block) = self.blocks.get_mut(key) {
                let known = *block.fingerprint.get_or_insert(*fingerprint);
                found.mismatched += usize::from(known != *fingerprint);
            }
        }
        found
    }

    /// Adds the pieces of a prompt that were computed.
    pub fn store(&mut self, keys: &[BlockKey], fingerprints: &[u64]) {
        for (key, fingerprint) in keys.iter().zip(fingerprints).rev() {
            let block = Block { fingerprint: Some(*fingerprint), foreign_body: None };
            self.insert(*key, block);
        }
    }

    /// Adds one piece.
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

    /// A piece, if cached.
    pub fn get(&mut self, key: &BlockKey) -> Option<&Block> {
        self.blocks.get(key)
    }

    /// Drops everything with the process or with its weights.
    pub fn clear(&mut self) {
        while let Some((key, _)) = self.blocks.pop_lru() {
            self.record(EventKind::Removed, &key);
        }
    }

    /// Tokens cached.
    pub fn tokens(&self) -> usize {
        self.blocks.len() * BLOCK_TOKENS
    }

    /// Events after number `after` that are at least `lag` old, and the number to ask after next.
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

/// The bytes of a piece, which only its key and version yield.
pub fn block_body(key: &BlockKey, version: &str) -> Bytes {
    let mut bytes = vec![0; BODY_BYTES];
    let mut hasher = blake3::Hasher::new_keyed(key);
    hasher.update(version.as_bytes());
    hasher.finalize_xof().fill(&mut bytes);
    bytes.into()
}

/// A key from hex.
pub fn parse_key(hex: &str) -> Option<BlockKey> {
    blake3::Hash::from_hex(hex).ok().map(|hash| *hash.as_bytes())
}
