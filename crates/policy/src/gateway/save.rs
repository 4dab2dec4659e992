//! Parts that are on their way to stores.

use std::net::SocketAddr;
use std::time::Duration;

use rustc_hash::FxHashMap;

use super::gossip::PartKey;
use super::stock::Shelf;
use crate::Time;

/// Time after which a part that no stock lists is saved again: an engine reads and sends a part
/// within a second, and the stock tells it within another.
const SAVE_TIME: Duration = Duration::from_secs(3);

/// Saves that were asked for and are not listed yet.
#[derive(Debug, Default)]
pub struct Saves {
    begun: FxHashMap<PartKey, Save>,
}

#[derive(Debug)]
struct Save {
    at: Time,
    store: SocketAddr,
    tokens: u32,
}

impl Saves {
    /// Takes note of saves that an attempt asks for.
    pub fn begin(&mut self, now: Time, parts: &[(PartKey, u32)], stores: &[Option<SocketAddr>]) {
        self.begun.retain(|_, save| now < save.at + SAVE_TIME);
        for ((key, tokens), store) in parts.iter().zip(stores) {
            if let Some(store) = *store {
                self.begun.insert(*key, Save { at: now, store, tokens: *tokens });
            }
        }
    }

    /// The store that a part should be saved to; none if one has it, it is on its way, or there is
    /// no room. All instances prefer the same one, so that a part which two of them save at a time
    /// takes space once.
    pub fn store(
        &self,
        now: Time,
        (key, tokens): (PartKey, u32),
        shelves: &[Shelf],
    ) -> Option<SocketAddr> {
        let is_held = shelves.iter().any(|shelf| shelf.stock.parts.contains_key(&key));
        let is_begun = self.begun.get(&key).is_some_and(|save| now < save.at + SAVE_TIME);
        if is_held || is_begun {
            return None;
        }
        let open = shelves.iter().filter(|shelf| {
            let on_the_way = self.on_the_way(now, shelf);
            shelf.stock.has_room(tokens, on_the_way, shelf.capacity_tokens)
        });
        open.max_by(|a, b| preference(key, a).total_cmp(&preference(key, b)))
            .map(|shelf| shelf.address)
    }

    fn on_the_way(&self, now: Time, shelf: &Shelf) -> u64 {
        let saves = self.begun.iter().filter(|(key, save)| {
            let is_listed = shelf.stock.parts.contains_key(*key);
            save.store == shelf.address && now < save.at + SAVE_TIME && !is_listed
        });
        saves.map(|(_, save)| u64::from(save.tokens)).sum()
    }
}

/// Rank of a store for a part: rendezvous hashing, weighted by capacity.
fn preference(key: PartKey, shelf: &Shelf) -> f64 {
    use std::hash::{Hash, Hasher};
    let mut hasher = rustc_hash::FxHasher::default();
    shelf.address.hash(&mut hasher);
    key.hash(&mut hasher);
    // Into the open interval from zero to one.
    let point = ((hasher.finish() >> 12) as f64 + 0.5) / (1_u64 << 52) as f64;
    -(shelf.capacity_tokens as f64) / point.ln()
}
