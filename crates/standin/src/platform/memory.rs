//! KV cache in the memory of an engine.

use std::collections::BTreeMap;

use super::cache;

/// Prompt parts cached by an engine, with least-recently-used eviction.
#[derive(Debug, Default)]
pub struct Memory {
    parts: BTreeMap<cache::Name, Part>,
    uses: u64,
}

/// A cached prompt part.
#[derive(Clone, Copy, Debug)]
pub struct Part {
    pub tokens: u32,
    /// Version of the weights that computed the part.
    pub weights: u64,
    /// Value of the use counter at the last use; a use inserts the part again.
    last_use: u64,
}

impl Memory {
    /// Returns a cached part.
    pub fn get(&self, name: &cache::Name) -> Option<Part> {
        self.parts.get(name).copied()
    }

    /// Inserts or renews a part, and evicts the least recently used ones above `capacity` tokens.
    pub fn insert(&mut self, name: cache::Name, tokens: u32, weights: u64, capacity: u64) {
        self.uses += 1;
        self.parts.insert(name, Part { tokens, weights, last_use: self.uses });
        while self.parts.values().map(|part| u64::from(part.tokens)).sum::<u64>() > capacity {
            let oldest = self.parts.iter().min_by_key(|(_, part)| part.last_use);
            let Some(name) = oldest.map(|(name, _)| name.clone()) else { return };
            self.parts.remove(&name);
        }
    }
}
