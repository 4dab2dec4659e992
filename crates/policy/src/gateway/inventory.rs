//! Contents of managed KV cache stores, and reclamation of their space.
//!
//! A managed store neither reports to readers whether a part is complete nor waits for readers
//! before it frees one. So the holder of the order lease keeps a [`Ledger`] of each store: a part
//! is listed in the store's [`Inventory`], which is published to all instances, once it is complete
//! in the store's current epoch. An instance reads only listed parts, and sets the engine a
//! deadline of [`READ_LIMIT`] after its own view was current. A part is therefore freed only after
//! it has been unlisted for that long, even if instances were paused or partitioned meanwhile. A
//! store that lost its parts is filled again only after the same time from the publication of its
//! empty inventory, so that no instance mistakes a part that is being written for one that was
//! complete before. A new holder of the lease doesn't know when that was, and waits anew, unless the
//! store is open in the published inventory.
//!
//! If the metadata store is restored from an older copy, an older inventory comes back. Each
//! inventory therefore states the era of the metadata store that it was written in, and is used
//! only in that era.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rustc_hash::FxHashMap;

use super::configuration::{ModelName, ZoneName};
use super::gossip::PartKey;
use super::gossip::part_key;
use super::namespace::{Namespaces, weights_of};
use super::view::WeightVersion;
use crate::Time;
use crate::kv::Era;

/// Time for which a view of an inventory permits reads. Up to two waits of the watch pass before
/// the view is refreshed, and a transfer takes some tens of milliseconds, or a second on slow
/// links.
pub const READ_LIMIT: Duration = Duration::from_millis(2_400);
/// Additional time before a part is freed, for differences between clocks: servers' reports lag by
/// less.
const FREE_MARGIN: Duration = Duration::from_millis(600);
/// Share of the managed stores that retire parts on older weights as soon as newer ones are
/// announced, so that there is room for parts on the newer ones; the other stores serve engines
/// that still have the older ones.
const EARLY_STORES_SHARE: f64 = 0.5;
/// Share of a store's capacity that is filled; the rest allows for parts being rounded up to
/// blocks.
const FILL_SHARE: f64 = 0.96;

/// Number of a store's incarnation.
pub type EpochId = u64;

/// Parts that may be read from one store.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Inventory {
    /// The era of the metadata store in which it was written.
    pub era: Era,
    /// The store's epoch.
    pub epoch: EpochId,
    /// Whether more parts may be saved there.
    pub is_open: bool,
    /// Tokens of parts that may no longer be read and are not freed yet.
    pub retired_tokens: u64,
    /// Complete parts, with their lengths in tokens.
    pub parts: FxHashMap<PartKey, u32>,
}

impl Inventory {
    /// Tokens that occupy its space.
    pub fn tokens(&self) -> u64 {
        self.retired_tokens + self.parts.values().map(|tokens| u64::from(*tokens)).sum::<u64>()
    }

    /// Whether a newer inventory lists all of its parts, in the same incarnation of the store.
    pub fn is_contained_in(&self, newer: &Self) -> bool {
        let lists = |(key, tokens): (&PartKey, &u32)| newer.parts.get(key) == Some(tokens);
        self.era == newer.era && self.epoch == newer.epoch && self.parts.iter().all(lists)
    }

    /// Whether a part of `tokens` fits into `capacity` beside parts that are being saved.
    pub fn has_room(&self, tokens: u32, in_flight_tokens: u64, capacity: u64) -> bool {
        let filled = self.tokens() + in_flight_tokens + u64::from(tokens);
        self.is_open && filled as f64 <= capacity as f64 * FILL_SHARE
    }
}

/// A store in an instance's view.
#[derive(Clone, Debug, PartialEq)]
pub struct Store {
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Capacity in tokens.
    pub capacity_tokens: u64,
    /// Bandwidth of its link, in bytes per second.
    pub link_bytes: f64,
    /// Time until the first byte of a transfer.
    pub first_byte: Duration,
    /// The parts that it holds.
    pub inventory: Arc<Inventory>,
}

/// The full name of a part.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Name {
    /// The namespace.
    pub salt: String,
    /// The name in it.
    pub id: String,
}

/// A part that a store reports.
#[derive(Clone, Debug, PartialEq)]
pub struct Item {
    /// Its name.
    pub name: Name,
    /// Length of the part in tokens.
    pub tokens: u32,
    /// Its model.
    pub model: ModelName,
}

/// The complete contents of a store.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Listing {
    /// The store's epoch.
    pub epoch: EpochId,
    /// Complete parts.
    pub held: Vec<Item>,
    /// Parts whose writes are in progress or were interrupted, with the tokens that they occupy.
    pub incomplete: Vec<(Name, u32)>,
}

/// A change of a store's contents.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// A part was completed.
    Added(Item),
    /// A part was removed.
    Removed(Name),
}

/// Progress of the rollout of newer weights.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Progress {
    /// Share of the engines that have them, from zero to one.
    pub updated_share: f64,
    /// Time since they were announced.
    pub age: Duration,
    /// Time since the announcement after which no request begins on older ones.
    pub limit: Duration,
}

impl Progress {
    /// Whether a store retires parts on older weights, by its index among all managed stores.
    pub fn is_due(&self, index: usize, stores: usize) -> bool {
        let due = stores as f64 * self.updated_share.max(EARLY_STORES_SHARE);
        (index as f64) < due || self.age >= self.limit
    }
}

/// When parts may be saved to a store.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum Opening {
    /// Some time after the inventory of its epoch is published, which is not the case yet.
    #[default]
    Unpublished,
    /// From this time on.
    At(Time),
}

/// How soon the inventory of a ledger must be written.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Publication {
    /// The written one is equal.
    Current,
    /// The written one only lacks parts; each instance reads a whole inventory for them.
    Batched,
    /// The written one allows reads or saves that are not allowed any more, or the reverse.
    Immediate,
}

/// Tracks the contents of one store.
#[derive(Debug, Default)]
pub struct Ledger {
    era: Era,
    epoch: EpochId,
    opening: Opening,
    held: BTreeMap<Name, (u32, ModelName)>,
    incomplete: Vec<(Name, u32)>,
    retired: Vec<(Name, u32)>,
    /// Models of all parts retired so far; a store does not report the model of an incomplete part.
    retired_models: BTreeSet<ModelName>,
    due: Option<Time>,
    is_published: bool,
    /// Whether more than additions is unpublished.
    is_restricted: bool,
}

impl Ledger {
    /// An empty ledger for an era of the metadata store.
    pub fn new(era: Era) -> Self {
        Self { era, ..Self::default() }
    }

    /// Replaces the contents by a complete listing. `before` is the inventory that instances may
    /// still use.
    pub fn list(&mut self, now: Time, listing: Listing, before: Option<&Inventory>) {
        let is_same = before.is_some_and(|old| old.epoch == listing.epoch && old.era == self.era);
        if is_same && before.is_some_and(|old| old.is_open) {
            self.opening = Opening::At(now);
        } else if !is_same || self.epoch != listing.epoch {
            self.opening = Opening::Unpublished;
        }
        self.epoch = listing.epoch;
        self.held = listing.held.into_iter().map(|i| (i.name, (i.tokens, i.model))).collect();
        self.incomplete = listing.incomplete;
        self.retired.clear();
        self.due = None;
        self.restrict();
    }

    /// Applies one change.
    pub fn change(&mut self, change: Change) {
        self.is_published = false;
        match change {
            Change::Added(item) => {
                self.incomplete.retain(|(name, _)| *name != item.name);
                self.retired.retain(|(name, _)| *name != item.name);
                self.held.insert(item.name, (item.tokens, item.model));
            }
            Change::Removed(name) => {
                if self.held.remove(&name).is_some() {
                    self.restrict();
                }
            }
        }
    }

    /// Records that the published inventory is wrong in more than what it lacks.
    fn restrict(&mut self) {
        self.is_published = false;
        self.is_restricted = true;
    }

    /// Clears the contents, as the store is unreachable and must not be read from.
    pub fn clear(&mut self) {
        self.held.clear();
        self.epoch = 0;
        self.restrict();
    }

    /// Unlists parts on other than the newest weights. They are due to be freed some time after the
    /// inventory without them was published.
    pub fn retire(&mut self, newest: impl Fn(&ModelName) -> Option<WeightVersion>) {
        self.retire_if(|name, model| {
            let version = weights_of(&name.salt);
            newest(model).is_some_and(|newest| version.is_none_or(|version| version < newest))
        });
    }

    /// Unlists parts in namespaces that are not in use any more, likewise.
    pub fn retire_unused(&mut self, namespaces: &Namespaces) {
        self.retire_if(|name, _| !namespaces.contains(&name.salt));
    }

    fn retire_if(&mut self, is_over: impl Fn(&Name, &ModelName) -> bool) {
        let before = self.retired.len();
        self.held.retain(|name, (tokens, model)| {
            let is_kept = !is_over(name, model);
            if !is_kept {
                self.retired.push((name.clone(), *tokens));
                self.retired_models.insert(model.clone());
            }
            is_kept
        });
        if self.retired.len() == before {
            return;
        }
        // An incomplete part is freed with the others that are over; one on newer weights may still be
        // in progress.
        let incomplete = std::mem::take(&mut self.incomplete);
        let (old, kept) = incomplete.into_iter().partition(|(name, _)| {
            let models = self.retired_models.iter();
            !self.retired_models.is_empty() && models.clone().all(|model| is_over(name, model))
        });
        self.incomplete = kept;
        self.retired.extend::<Vec<_>>(old);
        self.due = None;
        self.restrict();
    }

    /// Records that the inventory was published at `now`; instances that receive it don't read the
    /// retired parts.
    pub fn published(&mut self, now: Time) {
        self.is_published = true;
        self.is_restricted = false;
        if self.epoch != 0 && self.opening == Opening::Unpublished {
            self.opening = Opening::At(now + READ_LIMIT + FREE_MARGIN);
        }
        if !self.retired.is_empty() && self.due.is_none() {
            self.due = Some(now + READ_LIMIT + FREE_MARGIN);
        }
    }

    /// Parts to free now.
    pub fn take_due(&mut self, now: Time) -> Vec<Name> {
        if self.due.is_none_or(|due| now < due) {
            return Vec::new();
        }
        self.due = None;
        self.restrict();
        std::mem::take(&mut self.retired).into_iter().map(|(name, _)| name).collect()
    }

    /// How soon the inventory must be written, given the one that is.
    pub fn publication(&self, now: Time, written: Option<&Inventory>) -> Publication {
        let allows_same =
            |written: &Inventory| written.era == self.era && written.is_open == self.is_open(now);
        if self.is_restricted || !written.is_some_and(allows_same) {
            Publication::Immediate
        } else if self.is_published {
            Publication::Current
        } else {
            Publication::Batched
        }
    }

    /// The era of the metadata store that it publishes in.
    pub fn era(&self) -> Era {
        self.era
    }

    /// The store's epoch.
    pub fn epoch(&self) -> EpochId {
        self.epoch
    }

    /// The inventory to publish.
    pub fn inventory(&self, now: Time) -> Inventory {
        let parts =
            self.held.iter().map(|(name, (tokens, _))| (part_key(&name.salt, &name.id), *tokens));
        Inventory {
            era: self.era,
            epoch: self.epoch,
            is_open: self.is_open(now),
            retired_tokens: self.retired.iter().map(|(_, tokens)| u64::from(*tokens)).sum(),
            parts: parts.collect(),
        }
    }

    fn is_open(&self, now: Time) -> bool {
        self.epoch != 0 && matches!(self.opening, Opening::At(at) if now >= at)
    }
}
