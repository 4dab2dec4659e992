//! Parts that are being saved to KV cache stores.

use std::net::SocketAddr;
use std::time::Duration;

use rustc_hash::FxHashMap;

use super::gossip::PartKey;
use super::inventory::Store;
use crate::Time;

/// Time after which a part that no inventory lists is saved again: an engine computes and sends a
/// part within a second, and the inventory lists it within another.
const SAVE_TIMEOUT: Duration = Duration::from_secs(3);

/// Requested saves that no inventory lists yet.
#[derive(Debug, Default)]
pub struct Saves {
    pending: FxHashMap<PartKey, Save>,
}

#[derive(Debug)]
struct Save {
    at: Time,
    store: SocketAddr,
    tokens: u32,
}

impl Saves {
    /// Records the saves that an attempt requests.
    pub fn begin(&mut self, now: Time, parts: &[(PartKey, u32)], stores: &[Option<SocketAddr>]) {
        self.pending.retain(|_, save| now < save.at + SAVE_TIMEOUT);
        for ((key, tokens), store) in parts.iter().zip(stores) {
            if let Some(store) = *store {
                self.pending.insert(*key, Save { at: now, store, tokens: *tokens });
            }
        }
    }

    /// The store that a part should be saved to; none if a store holds it, it is being saved, or no
    /// store has room. All instances prefer the same store, so that a part saved by two of them at
    /// the same time takes space once.
    pub fn store(
        &self,
        now: Time,
        (key, tokens): (PartKey, u32),
        stores: &[Store],
    ) -> Option<SocketAddr> {
        let is_held = stores.iter().any(|store| store.inventory.parts.contains_key(&key));
        let is_begun = self.pending.get(&key).is_some_and(|save| now < save.at + SAVE_TIMEOUT);
        if is_held || is_begun {
            return None;
        }
        let open = stores.iter().filter(|store| {
            let in_flight_tokens = self.in_flight_tokens(now, store);
            store.inventory.has_room(tokens, in_flight_tokens, store.capacity_tokens)
        });
        open.max_by(|a, b| preference(key, a).total_cmp(&preference(key, b)))
            .map(|store| store.address)
    }

    fn in_flight_tokens(&self, now: Time, store: &Store) -> u64 {
        let saves = self.pending.iter().filter(|(key, save)| {
            let is_listed = store.inventory.parts.contains_key(*key);
            save.store == store.address && now < save.at + SAVE_TIMEOUT && !is_listed
        });
        saves.map(|(_, save)| u64::from(save.tokens)).sum()
    }
}

/// Score of a store for a part, by rendezvous hashing weighted by capacity.
fn preference(key: PartKey, store: &Store) -> f64 {
    use std::hash::{Hash, Hasher};
    let mut hasher = rustc_hash::FxHasher::default();
    store.address.hash(&mut hasher);
    key.hash(&mut hasher);
    // Maps the hash into the open interval from zero to one.
    let point = ((hasher.finish() >> 12) as f64 + 0.5) / (1_u64 << 52) as f64;
    -(store.capacity_tokens as f64) / point.ln()
}
