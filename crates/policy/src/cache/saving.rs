//! Choice of the blocks to save to KV cache stores after an answer.
//!
//! A block is saved if the prefill time that it would spare a returning prompt, times the estimated
//! probability of a return, is worth more than the link time of the save. Blocks known to be stored
//! aren't saved again.

use std::collections::{HashMap, VecDeque};

use acacia_catalog::id::OrganisationId;
use rustc_hash::FxHashSet;

use super::plan::Weights;
use crate::request::{BLOCK_TOKENS, BlockKey};

/// Limit of the number of blocks recorded as stored.
const BLOCK_LIMIT: usize = 65_536;
/// Limit of the number of organisations whose returns are counted.
const ORGANISATION_LIMIT: usize = 2_048;
/// Prompt count at which an organisation's counts are halved, so that the estimate follows changes.
const COUNT_LIMIT: f64 = 1_000.0;
/// Lower bound of the probability of a return, so that some blocks are still saved and returns can
/// be observed.
const MIN_CHANCE: f64 = 0.05;
const MS_PER_S: f64 = 1_000.0;

/// Bounded record of recently stored blocks. A block missing from it may be saved twice.
#[derive(Default)]
pub struct Saved {
    blocks: FxHashSet<u64>,
    order: VecDeque<u64>,
}

impl Saved {
    /// Records that a block is stored.
    pub fn insert(&mut self, block: &BlockKey) {
        let key = super::anchor(block);
        if !self.blocks.insert(key) {
            return;
        }
        self.order.push_back(key);
        if self.order.len() > BLOCK_LIMIT
            && let Some(oldest) = self.order.pop_front()
        {
            self.blocks.remove(&oldest);
        }
    }

    /// Records that a block is not stored.
    pub fn remove(&mut self, block: &BlockKey) {
        self.blocks.remove(&super::anchor(block));
    }

    /// Whether a block is known to be stored.
    pub fn contains(&self, block: &BlockKey) -> bool {
        self.blocks.contains(&super::anchor(block))
    }

    /// Number of blocks recorded.
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Whether no block is recorded.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }
}

/// How often the prompts of each organisation return.
#[derive(Default)]
pub struct Returns {
    counts: HashMap<OrganisationId, Count>,
}

#[derive(Clone, Copy, Default)]
struct Count {
    prompts: f64,
    returns: f64,
}

impl Returns {
    /// Counts a prompt that has full blocks; `returned` if an earlier request had left any of them.
    pub fn count(&mut self, organisation: &OrganisationId, returned: bool) {
        if self.counts.len() >= ORGANISATION_LIMIT && !self.counts.contains_key(organisation) {
            self.counts.clear();
        }
        let count = self.counts.entry(organisation.clone()).or_default();
        if count.prompts >= COUNT_LIMIT {
            count.prompts /= 2.0;
            count.returns /= 2.0;
        }
        count.prompts += 1.0;
        count.returns += f64::from(u8::from(returned));
    }

    /// Estimated probability that a prompt of an organisation returns.
    pub fn chance(&self, organisation: &OrganisationId) -> f64 {
        let count = self.counts.get(organisation).copied().unwrap_or_default();
        ((count.returns + 1.0) / (count.prompts + 2.0)).max(MIN_CHANCE)
    }
}

/// Whether saving one block is worth its link time.
pub fn is_worthwhile(chance: f64, prefill: f64, link_seconds: f64, weights: Weights) -> bool {
    let compute = BLOCK_TOKENS as f64 / prefill.max(1.0);
    let gain = chance * compute * (MS_PER_S + weights.recompute_ms);
    gain > link_seconds * weights.link_ms
}
