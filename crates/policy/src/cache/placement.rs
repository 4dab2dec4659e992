//! Choice of the stores for a block, by weighted rendezvous hashing over the live stores.
//!
//! Blocks are placed in segments of [`SEGMENT_BLOCKS`], keyed by the segment's first block, so that
//! a long prompt is found by asking few stores, while prompts that share only a beginning are
//! spread over different stores. Further copies go to other availability zones if there are any.

use std::collections::HashMap;

use acacia_catalog::id::{StoreId, ZoneId};
use acacia_catalog::object::AdminState;

use super::link::{Links, ZoneIndex};
use crate::request::BlockKey;
use crate::snapshot::{Snapshot, Warmth};

/// Blocks that are placed together.
pub const SEGMENT_BLOCKS: usize = 8;

/// The stores of a configuration.
#[derive(Default)]
pub struct Stores {
    stores: Vec<Store>,
    zones: HashMap<StoreId, ZoneIndex>,
}

/// A store and its rendezvous parameters.
#[derive(Clone, Debug)]
struct Store {
    name: StoreId,
    zone: ZoneId,
    seed: u64,
    bytes: f64,
    readable: bool,
    writable: bool,
}

impl Stores {
    /// Applies a snapshot. Its zones must already be configured in `links`.
    pub fn refresh(&mut self, snapshot: &Snapshot, links: &Links) {
        let set = &snapshot.set;
        self.stores = set
            .stores
            .values()
            .map(|store| {
                let warmth = snapshot.stores.get(&store.name).map(|s| s.warmth);
                let out = set.zones.get(&store.zone).is_some_and(|z| z.state == AdminState::Out);
                Store {
                    name: store.name.clone(),
                    zone: store.zone.clone(),
                    seed: seed(&store.name),
                    bytes: (store.memory_bytes as f64 + store.disk_bytes as f64).max(1.0),
                    readable: warmth != Some(Warmth::Down),
                    writable: !out && !matches!(warmth, Some(Warmth::Down | Warmth::Closed)),
                }
            })
            .collect();
        let zone = |p: &Store| Some((p.name.clone(), links.zone_index(&p.zone)?));
        self.zones = self.stores.iter().filter_map(zone).collect();
    }

    /// Whether no store can be read.
    pub fn is_empty(&self) -> bool {
        !self.stores.iter().any(|p| p.readable)
    }

    /// The index of a store's zone; none if unknown.
    pub fn zone(&self, store: &StoreId) -> Option<ZoneIndex> {
        self.zones.get(store).copied()
    }

    /// Stores that may hold blocks of a prompt, without duplicates.
    pub fn sources(&self, blocks: &[BlockKey], copies: u32) -> Vec<StoreId> {
        let mut found = Vec::new();
        for segment in blocks.chunks(SEGMENT_BLOCKS) {
            for store in self.ranked(anchor(&segment[0]), copies, |p| p.readable) {
                if !found.contains(&store.name) {
                    found.push(store.name.clone());
                }
            }
        }
        found
    }

    /// Stores to save the block at `index` of a prompt to.
    pub fn targets(&self, blocks: &[BlockKey], index: usize, copies: u32) -> Vec<StoreId> {
        let first = index - index % SEGMENT_BLOCKS;
        let stores = self.ranked(anchor(&blocks[first]), copies, |p| p.writable);
        stores.into_iter().map(|p| p.name.clone()).collect()
    }

    /// The `copies` highest-scoring stores, each further one in an unused zone if there is one.
    fn ranked(&self, anchor: u64, copies: u32, may: impl Fn(&Store) -> bool) -> Vec<&Store> {
        let equal = self.stores.windows(2).all(|pair| pair[0].bytes == pair[1].bytes);
        let may_hold = self.stores.iter().filter(|p| may(p));
        let mut scored: Vec<(f64, &Store)> =
            may_hold.map(|p| (p.score(anchor, equal), p)).collect();
        let mut chosen: Vec<&Store> = Vec::new();
        for _ in 0..copies {
            let is_elsewhere = |p: &Store| chosen.iter().all(|c| c.zone != p.zone);
            let next = best(&scored, is_elsewhere).or_else(|| best(&scored, |_| true));
            let Some(index) = next else { break };
            chosen.push(scored.swap_remove(index).1);
        }
        chosen
    }
}

/// Index of the highest score among stores that satisfy `may`.
fn best(scored: &[(f64, &Store)], may: impl Fn(&Store) -> bool) -> Option<usize> {
    let allowed = scored.iter().enumerate().filter(|(_, (_, store))| may(store));
    allowed.max_by(|(_, a), (_, b)| a.0.total_cmp(&b.0)).map(|(index, _)| index)
}

impl Store {
    /// Weighted rendezvous score: each store wins with a probability in proportion to its bytes.
    fn score(&self, anchor: u64, equal: bool) -> f64 {
        let rank = rank(self.seed, anchor) as f64;
        if equal {
            return rank;
        }
        let unit = (rank + 1.0) / (u64::MAX as f64 + 2.0);
        -self.bytes / unit.ln()
    }
}

/// Rendezvous seed of a name.
pub fn seed(name: &str) -> u64 {
    anchor(blake3::hash(name.as_bytes()).as_bytes())
}

/// Rendezvous key of a prompt, from one of its blocks.
pub fn anchor(block: &BlockKey) -> u64 {
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&block[..8]);
    u64::from_le_bytes(bytes)
}

/// Rank of a candidate with `seed` for the prompt with `anchor`; the highest is preferred. Uses the
/// finaliser of SplitMix64.
pub fn rank(seed: u64, anchor: u64) -> u64 {
    let mut z = seed ^ anchor.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
