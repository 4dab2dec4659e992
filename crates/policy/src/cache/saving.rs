//! Which blocks are worth saving after an answer.
//!
//! A block is saved if the time that a return would save, times the learnt chance of one, is worth
//! more than the link time that the save takes. Blocks known to be stored aren't saved again.

use std::collections::{HashMap, VecDeque};

use acacia_catalog::id::OrganisationId;
use rustc_hash::FxHashSet;

use super::plan::Weights;
use crate::request::{BLOCK_TOKENS, BlockKey};

/// Blocks remembered as stored.
const LIMIT: usize = 65_536;
/// Organisations whose returns are counted.
const ORGANISATION_LIMIT: usize = 2_048;
/// Counts at which an organisation's history is halved, so that it follows change.
const COUNT_LIMIT: f64 = 1_000.0;
/// Least chance of a return, so that the question stays open.
const LEAST: f64 = 0.05;
/// Milliseconds in a second.
const MS: f64 = 1_000.0;

/// Bounded memory of blocks that were stored lately; not knowing costs a second save.
#[derive(Default)]
pub struct Saved {
    blocks: FxHashSet<u64>,
    order: VecDeque<u64>,
}

impl Saved {
    /// Takes in that a block is stored.
    pub fn insert(&mut self, block: &BlockKey) {
        let short = super::anchor(block);
        if !self.blocks.insert(short) {
            return;
        }
        self.order.push_back(short);
        if self.order.len() > LIMIT
            && let Some(oldest) = self.order.pop_front()
        {
            self.blocks.remove(&oldest);
        }
    }

    /// Takes in that a block is not stored.
    pub fn remove(&mut self, block: &BlockKey) {
        self.blocks.remove(&super::anchor(block));
    }

    /// Whether a block is known to be stored.
    pub fn contains(&self, block: &BlockKey) -> bool {
        self.blocks.contains(&super::anchor(block))
    }

    /// Blocks remembered.
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }
}

/// How often an organisation's prompts are seen to return.
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
    /// Counts a prompt with full pieces and whether an earlier visit had left any of them.
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

    /// Chance that a prompt of an organisation returns.
    pub fn chance(&self, organisation: &OrganisationId) -> f64 {
        let count = self.counts.get(organisation).copied().unwrap_or_default();
        ((count.returns + 1.0) / (count.prompts + 2.0)).max(LEAST)
    }
}

/// Whether saving one piece is worth its link time.
pub fn is_worth(chance: f64, prefill: f64, link_seconds: f64, weights: Weights) -> bool {
    let compute = BLOCK_TOKENS as f64 / prefill.max(1.0);
    let gain = chance * compute * (MS + weights.recompute_ms);
    gain > link_seconds * weights.link_ms
}
