//! A memory tier that overflows to a disk tier, both with least-recently-used eviction.

use bytes::Bytes;
use lru::LruCache;

/// A stored block.
#[derive(Clone, Debug)]
pub struct Block {
    /// Body as written.
    pub body: Bytes,
    /// Size charged to the capacity, in bytes.
    pub logical_bytes: u64,
}

/// Tier that holds a block.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Location {
    /// Memory tier.
    Memory,
    /// Disk tier.
    Disk,
}

/// Blocks of one tier in order of use, with their total size.
struct Tier {
    blocks: LruCache<String, Block>,
    used: u64,
    capacity: u64,
}

impl Tier {
    fn new(capacity: u64) -> Self {
        Self { blocks: LruCache::unbounded(), used: 0, capacity }
    }

    fn insert(&mut self, key: &str, block: Block) {
        self.used += block.logical_bytes;
        self.blocks.put(key.to_owned(), block);
    }

    fn remove(&mut self, key: &str) -> Option<Block> {
        let block = self.blocks.pop(key)?;
        self.used -= block.logical_bytes;
        Some(block)
    }

    /// Removes the least recently used block if the tier exceeds its capacity.
    fn overflow(&mut self) -> Option<(String, Block)> {
        if self.used <= self.capacity {
            return None;
        }
        let (key, block) = self.blocks.pop_lru()?;
        self.used -= block.logical_bytes;
        Some((key, block))
    }
}

/// Memory and disk tier.
pub struct Tiers {
    memory: Tier,
    disk: Tier,
    evicts: bool,
}

impl Tiers {
    /// Empty tiers with capacities in logical bytes.
    pub fn new(memory_bytes: u64, disk_bytes: u64, evicts: bool) -> Self {
        Self { memory: Tier::new(memory_bytes), disk: Tier::new(disk_bytes), evicts }
    }

    /// Adds or replaces a block; returns the evicted keys, or `None` if there is no room.
    pub fn insert(&mut self, key: &str, block: Block) -> Option<Vec<String>> {
        let before = self.peek(key);
        let used = self.memory.used + self.disk.used - before;
        let room = self.memory.capacity + self.disk.capacity;
        if block.logical_bytes > room || (used + block.logical_bytes > room && !self.evicts) {
            return None;
        }
        self.remove(key);
        self.memory.insert(key, block);
        while let Some((key, block)) = self.memory.overflow() {
            self.disk.insert(&key, block);
        }
        let mut dropped = Vec::new();
        while let Some((key, _)) = self.disk.overflow() {
            dropped.push(key);
        }
        Some(dropped)
    }

    /// Returns a block and its tier, and marks it as used.
    pub fn get(&mut self, key: &str) -> Option<(Block, Location)> {
        if let Some(block) = self.memory.blocks.get(key) {
            return Some((block.clone(), Location::Memory));
        }
        self.disk.blocks.get(key).map(|block| (block.clone(), Location::Disk))
    }

    /// Removes a block; returns whether it existed.
    pub fn remove(&mut self, key: &str) -> bool {
        self.memory.remove(key).or_else(|| self.disk.remove(key)).is_some()
    }

    /// Logical bytes in use in a tier.
    pub fn used(&self, location: Location) -> u64 {
        match location {
            Location::Memory => self.memory.used,
            Location::Disk => self.disk.used,
        }
    }

    fn peek(&self, key: &str) -> u64 {
        let block = self.memory.blocks.peek(key).or_else(|| self.disk.blocks.peek(key));
        block.map_or(0, |block| block.logical_bytes)
    }
}
