//! Parts that are being saved to KV cache stores.
//!
//! An order to save a part has no deadline: an engine carries it out once it has read the part, after
//! any time in its queue. If the store restarts meanwhile, the part is written anew, and an engine
//! that was told before to fetch the part would read it while it is incomplete. So a part with an
//! outstanding order is neither saved again nor fetched. Instances tell each other their outstanding
//! orders at once and repeat them in each full digest. In a deployment of hundreds of instances, each
//! message is sent as many times, so an order is given only with a prompt that is worth telling
//! them of.
//!
//! An instance that the others don't list is told nothing. So it fetches nothing from the stores until the
//! others have had [`LISTING_TIME`] to list it, and then [`REPETITION_TIME`] to repeat their orders.
//!
//! On the wire an order is a [`Prefill`] at the key of the store. Instances that don't know such
//! orders ignore a prefill at an unknown upstream.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rustc_hash::FxHashMap;

use super::gossip::{Incarnation, PartKey, Prefill, ServerKey, stable_hash};
use super::inventory::Store;
use crate::Time;

/// Time after which a part that no inventory lists is saved again: an engine computes and sends a
/// part within a second, and the inventory lists it within another.
const SAVE_TIMEOUT: Duration = Duration::from_secs(3);

/// Time after which the others know that an instance is listed: the pause between two watches, and the
/// answer of one.
pub const LISTING_TIME: Duration = Duration::from_millis(800);
/// Time within which an instance repeats its outstanding orders to those that it lists: the interval
/// between full digests, and half a second more, as the first listing may also contain a new entry.
pub const REPETITION_TIME: Duration = Duration::from_millis(1_200);

/// Largest number of parts in one prefill, so that those of a digest fit a datagram.
const PARTS_PER_PREFILL: usize = 4;

/// Requested saves that no inventory lists yet, or that engines have not carried out.
#[derive(Debug, Default)]
pub(super) struct Saves {
    pending: FxHashMap<PartKey, Save>,
    /// Parts of which the other instances have to be told that this instance orders or has ended a
    /// save.
    untold: Vec<PartKey>,
}

#[derive(Debug)]
struct Save {
    /// When it was last requested.
    at: Time,
    store: SocketAddr,
    tokens: u32,
    /// Outstanding orders of this instance.
    own: u32,
    /// When the last of them ends at the latest.
    own_until: Time,
    /// Whether the other instances were told of own outstanding orders.
    is_told: bool,
    /// Other instances with outstanding orders, and when these end at the latest.
    others: Vec<(Incarnation, Time)>,
}

impl Save {
    fn new(at: Time, store: SocketAddr, tokens: u32) -> Self {
        Self {
            at,
            store,
            tokens,
            own: 0,
            own_until: Time::ZERO,
            is_told: false,
            others: Vec::new(),
        }
    }

    /// Whether an engine may carry out an order yet.
    fn is_outstanding(&self, now: Time) -> bool {
        self.own > 0 || self.others.iter().any(|(_, until)| now < *until)
    }

    fn is_pending(&self, now: Time) -> bool {
        now < self.at + SAVE_TIMEOUT || self.is_outstanding(now)
    }

    /// Time for which own orders may be outstanding yet.
    fn own_left(&self, now: Time) -> Duration {
        if self.own > 0 { self.own_until.saturating_sub(now) } else { Duration::ZERO }
    }
}

impl Saves {
    /// Records the saves that an attempt requests; its request ends by `until`.
    pub fn begin(
        &mut self,
        now: Time,
        until: Time,
        parts: &[(PartKey, u32)],
        stores: &[Option<SocketAddr>],
    ) {
        self.expire(now);
        for ((key, tokens), store) in parts.iter().zip(stores) {
            let Some(store) = *store else { continue };
            let save = self.pending.entry(*key).or_insert_with(|| Save::new(now, store, *tokens));
            (save.at, save.store) = (now, store);
            save.own += 1;
            save.own_until = save.own_until.max(until);
            self.untold.push(*key);
        }
    }

    /// Records that an attempt has begun to answer, so that its parts are read, or has ended: most
    /// upstreams drop a request whose connection closes.
    pub fn finish(&mut self, parts: &[(PartKey, u32)], stores: &[Option<SocketAddr>]) {
        for ((key, _), _) in parts.iter().zip(stores).filter(|(_, store)| store.is_some()) {
            let Some(save) = self.pending.get_mut(key) else { continue };
            save.own = save.own.saturating_sub(1);
            if save.own == 0 {
                self.untold.push(*key);
            }
        }
    }

    /// Records what another instance tells of its orders at a store.
    pub fn receive(&mut self, now: Time, sender: Incarnation, store: SocketAddr, order: &Prefill) {
        let until = now + Duration::from_millis(order.residence_ms.into());
        for (key, tokens) in &order.parts {
            let save = self.pending.entry(*key).or_insert_with(|| Save::new(now, store, *tokens));
            // A view that is still without the part must not cause another save.
            save.at = now;
            save.others.retain(|(other, until)| *other != sender && now < *until);
            if now < until {
                save.others.push((sender, until));
            }
        }
    }

    /// The orders that were given or ended since the last call, for the other instances: one prefill
    /// for the orders at one store that end at the same time. An order that ended before it was told
    /// is left out.
    pub fn take_untold(&mut self, now: Time) -> Vec<Prefill> {
        let mut untold = std::mem::take(&mut self.untold);
        untold.sort_unstable();
        untold.dedup();
        let mut orders: BTreeMap<(SocketAddr, Duration), Vec<(PartKey, u32)>> = BTreeMap::new();
        for key in untold {
            let Some(save) = self.pending.get_mut(&key) else { continue };
            let is_outstanding = save.own > 0;
            let was_told = std::mem::replace(&mut save.is_told, is_outstanding);
            if is_outstanding || was_told {
                let parts = orders.entry((save.store, save.own_left(now))).or_default();
                parts.push((key, save.tokens));
            }
        }
        let prefills = orders.iter().flat_map(|((store, left), parts)| {
            let prefill = |parts: &[(PartKey, u32)]| Prefill {
                server: store_key(*store),
                parts: parts.to_vec(),
                residence_ms: u32::try_from(left.as_millis()).unwrap_or(u32::MAX),
            };
            parts.chunks(PARTS_PER_PREFILL).map(prefill)
        });
        prefills.collect()
    }

    /// All outstanding orders, and those that ended since the last call.
    pub fn take_all(&mut self, now: Time) -> Vec<Prefill> {
        self.expire(now);
        let outstanding = self.pending.iter().filter(|(_, save)| save.own > 0);
        self.untold.extend(outstanding.map(|(key, _)| *key));
        self.take_untold(now)
    }

    /// Whether a listed part may be fetched: no engine may write it anew if its store restarts.
    pub fn is_settled(&self, now: Time, key: PartKey) -> bool {
        self.pending.get(&key).is_none_or(|save| !save.is_outstanding(now))
    }

    /// The store that each part should be saved to; none if a store holds it, it is being saved, or
    /// no store has room. All instances prefer the same store, so that a part saved by two of them at
    /// the same time takes space once.
    pub fn targets(
        &self,
        now: Time,
        parts: &[(PartKey, u32)],
        stores: &[Store],
    ) -> Vec<Option<SocketAddr>> {
        let is_new = |(key, _): &(PartKey, u32)| {
            let is_held = stores.iter().any(|store| store.inventory.parts.contains_key(key));
            !is_held && self.pending.get(key).is_none_or(|save| !save.is_pending(now))
        };
        if !parts.iter().any(is_new) {
            return vec![None; parts.len()];
        }
        let in_flight = self.in_flight_tokens(now, stores);
        let target = |part: &(PartKey, u32)| {
            let (key, tokens) = *part;
            let open = stores.iter().filter(|store| {
                let in_flight = in_flight.get(&store.address).copied().unwrap_or(0);
                store.inventory.has_room(tokens, in_flight, store.capacity_tokens)
            });
            let open = open.filter(|_| is_new(part));
            let best = open.max_by(|a, b| preference(key, a).total_cmp(&preference(key, b)));
            best.map(|store| store.address)
        };
        parts.iter().map(target).collect()
    }

    /// Tokens that are being saved to each store and that it does not list yet.
    fn in_flight_tokens(&self, now: Time, stores: &[Store]) -> FxHashMap<SocketAddr, u64> {
        let stores: FxHashMap<_, _> = stores.iter().map(|store| (store.address, store)).collect();
        let mut tokens = FxHashMap::default();
        for (key, save) in self.pending.iter().filter(|(_, save)| save.is_pending(now)) {
            let store = stores.get(&save.store);
            if store.is_some_and(|store| !store.inventory.parts.contains_key(key)) {
                *tokens.entry(save.store).or_insert(0) += u64::from(save.tokens);
            }
        }
        tokens
    }

    fn expire(&mut self, now: Time) {
        self.pending.retain(|_, save| save.is_pending(now));
    }
}

/// The key of a store in messages between instances.
pub(super) fn store_key(store: SocketAddr) -> ServerKey {
    stable_hash(&store)
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
