//! Memory above disk, each least recently used out first.

use bytes::Bytes;
use lru::LruCache;

/// A stored block.
#[derive(Clone, Debug)]
pub struct Block {
    /// Its bytes.
    pub body: Bytes,
    /// Bytes that it counts for.
    pub logical: u64,
}

/// Where a block lies.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Location {
    /// In memory.
    Memory,
    /// On disk.
    Disk,
}

/// One tier.
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
        self.used += block.logical;
        self.blocks.put(key.to_owned(), block);
    }

    fn remove(&mut self, key: &str) -> Option<Block> {
        let block = self.blocks.pop(key)?;
        self.used -= block.logical;
        Some(block)
    }

    /// Takes out what was used longest ago, when the tier holds too much.
    fn overflow(&mut self) -> Option<(String, Block)> {
        if self.used <= self.capacity {
            return None;
        }
        let (key, block) = self.blocks.pop_lru()?;
        self.used -= block.logical;
        Some((key, block))
    }
}

/// Memory and disk together.
pub struct Tiers {
    memory: Tier,
    disk: Tier,
    evicts: bool,
}

impl Tiers {
    /// Empty tiers of so many logical bytes.
    pub fn new(memory_bytes: u64, disk_bytes: u64, evicts: bool) -> Self {
        Self { memory: Tier::new(memory_bytes), disk: Tier::new(disk_bytes), evicts }
    }

    /// Adds a block in place of the one of that key; the keys dropped, or nothing when full.
    pub fn insert(&mut self, key: &str, block: Block) -> Option<Vec<String>> {
        let before = self.peek(key);
        let used = self.memory.used + self.disk.used - before;
        let room = self.memory.capacity + self.disk.capacity;
        if block.logical > room || (used + block.logical > room && !self.evicts) {
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

    /// A block and where it lies.
    pub fn get(&mut self, key: &str) -> Option<(Block, Location)> {
        if let Some(block) = self.memory.blocks.get(key) {
            return Some((block.clone(), Location::Memory));
        }
        self.disk.blocks.get(key).map(|block| (block.clone(), Location::Disk))
    }

    /// Removes a block; whether there was one.
    pub fn remove(&mut self, key: &str) -> bool {
        self.memory.remove(key).or_else(|| self.disk.remove(key)).is_some()
    }

    /// Logical bytes that a tier holds.
    pub fn used(&self, location: Location) -> u64 {
        match location {
            Location::Memory => self.memory.used,
            Location::Disk => self.disk.used,
        }
    }

    fn peek(&self, key: &str) -> u64 {
        let block = self.memory.blocks.peek(key).or_else(|| self.disk.blocks.peek(key));
        block.map_or(0, |block| block.logical)
    }
}
