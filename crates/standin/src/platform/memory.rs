//! The memory of an engine.

use std::collections::BTreeMap;

use super::cache;

/// The parts that an engine keeps.
#[derive(Debug, Default)]
pub struct Memory {
    parts: BTreeMap<cache::Name, Part>,
    uses: u64,
}

/// A part that an engine keeps.
#[derive(Clone, Copy, Debug)]
pub struct Part {
    pub tokens: u32,
    /// The weights that made it.
    pub weights: u64,
    /// Grows with each use of any part.
    last_use: u64,
}

impl Memory {
    /// A part that is kept.
    pub fn get(&self, name: &cache::Name) -> Option<Part> {
        self.parts.get(name).copied()
    }

    /// Keeps a part, at the cost of those that were used longest ago.
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
