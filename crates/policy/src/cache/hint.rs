//! Hints at which engines hold which blocks, from the engines' delayed and incomplete events.
//!
//! A wrong hint costs time and nothing else. The table is bounded and evicts the oldest block
//! first. A hint is valid until it is [`AGE`] old or its engine has another incarnation.

use std::collections::VecDeque;
use std::time::Duration;

use acacia_catalog::id::Incarnation;
use rustc_hash::FxHashMap;

use crate::Time;
use crate::request::BlockKey;

/// Limit of the number of blocks in the table.
const BLOCK_LIMIT: usize = 65_536;
/// Engines recorded per block.
const HOLDERS_PER_BLOCK: usize = 3;
/// Age at which a hint becomes invalid.
const AGE: Duration = Duration::from_secs(600);

/// Bounded table of hints about engines identified by `K`.
pub struct Hints<K> {
    blocks: FxHashMap<u64, [Option<Hint<K>>; HOLDERS_PER_BLOCK]>,
    order: VecDeque<u64>,
}

#[derive(Clone, Copy)]
struct Hint<K> {
    holder: K,
    incarnation: Incarnation,
    at: Time,
}

impl<K> Default for Hints<K> {
    fn default() -> Self {
        Self { blocks: FxHashMap::default(), order: VecDeque::new() }
    }
}

impl<K: Copy + PartialEq> Hints<K> {
    /// Number of blocks in the table.
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    /// Records that `holder` holds a block.
    pub fn store(&mut self, now: Time, block: &BlockKey, holder: K, incarnation: Incarnation) {
        let key = table_key(block);
        let hint = Hint { holder, incarnation, at: now };
        if let Some(slots) = self.blocks.get_mut(&key) {
            insert(slots, hint);
            return;
        }
        if self.order.len() >= BLOCK_LIMIT
            && let Some(oldest) = self.order.pop_front()
        {
            self.blocks.remove(&oldest);
        }
        self.order.push_back(key);
        let mut slots = [None; HOLDERS_PER_BLOCK];
        slots[0] = Some(hint);
        self.blocks.insert(key, slots);
    }

    /// Records that `holder` no longer holds a block.
    pub fn remove(&mut self, block: &BlockKey, holder: K) {
        if let Some(slots) = self.blocks.get_mut(&table_key(block)) {
            for slot in slots.iter_mut().filter(|s| s.is_some_and(|h| h.holder == holder)) {
                *slot = None;
            }
        }
    }

    /// Engines that are likely to hold a prefix of `blocks`, with its length in blocks, longest
    /// first.
    pub fn prefixes(&self, now: Time, blocks: &[BlockKey]) -> Vec<(K, Incarnation, usize)> {
        let mut open: Vec<(K, Incarnation)> = Vec::new();
        let mut done = Vec::new();
        for (index, block) in blocks.iter().enumerate() {
            let slots = self.blocks.get(&table_key(block));
            let holds = |holder: K| {
                slots.into_iter().flatten().flatten().any(|h| h.holder == holder && h.is_fresh(now))
            };
            if index == 0 {
                let fresh = slots.into_iter().flatten().flatten().filter(|h| h.is_fresh(now));
                open.extend(fresh.map(|h| (h.holder, h.incarnation)));
            } else {
                done.extend(
                    open.extract_if(.., |(k, _)| !holds(*k))
                        .map(|(k, incarnation)| (k, incarnation, index)),
                );
            }
            if open.is_empty() {
                break;
            }
        }
        done.extend(open.into_iter().map(|(k, incarnation)| (k, incarnation, blocks.len())));
        done.sort_by_key(|(_, _, length)| std::cmp::Reverse(*length));
        done
    }
}

impl<K> Hint<K> {
    fn is_fresh(&self, now: Time) -> bool {
        now < self.at + AGE
    }
}

/// Replaces the holder's earlier hint, fills a free slot, or replaces the oldest hint.
fn insert<K: Copy + PartialEq>(slots: &mut [Option<Hint<K>>; HOLDERS_PER_BLOCK], hint: Hint<K>) {
    let own = slots.iter().position(|s| s.is_some_and(|h| h.holder == hint.holder));
    let index = own.or_else(|| slots.iter().position(Option::is_none)).unwrap_or_else(|| {
        let oldest = (0..HOLDERS_PER_BLOCK).min_by_key(|i| slots[*i].map(|h| h.at));
        oldest.unwrap_or(0)
    });
    slots[index] = Some(hint);
}

/// Part of a block's name that is the key in the table. A collision causes a wrong hint.
fn table_key(block: &BlockKey) -> u64 {
    super::anchor(block)
}
