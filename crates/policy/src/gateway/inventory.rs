//! What the managed stores of KV cache hold, and how their space is used again.
//!
//! A managed store neither says whether a part is whole when it is read nor waits for readers when
//! it frees one. So one instance, the one that holds the right to order, keeps a [`Ledger`] of each
//! store: a part is listed in the store's [`Inventory`], which all instances see, once it is whole in
//! the store's present life. An instance reads only what a stock lists, and tells the engine to give
//! a read up [`READ_LIMIT`] after its own knowledge was fresh. A part is therefore freed only that
//! long after it was taken off the list, whichever instances were paused or cut off meanwhile. A
//! store that lost its parts is filled again only after the same time, so that no instance takes a
//! part that is being written for one that was whole before.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rustc_hash::FxHashMap;

use super::configuration::{ModelName, ZoneName};
use super::gossip::PartKey;
use super::gossip::part_key;
use super::view::WeightVersion;
use crate::Time;

/// Time for which knowledge of a stock may be read by. Two waits of the watch pass before it is
/// renewed, and a transfer takes some tens of milliseconds, or a second where links are slow.
pub const READ_LIMIT: Duration = Duration::from_millis(2_400);
/// Time for clocks to differ in while a part is not yet freed: servers' reports lag by less.
const FREE_MARGIN: Duration = Duration::from_millis(600);
/// Part of the managed stores that give parts of older weights up as soon as newer ones are named, so
/// that there is room for parts that are made on these; the rest serves engines that still have the
/// older ones.
const EARLY_STORES_SHARE: f64 = 0.5;
/// Part of a store that is filled; parts are rounded up to blocks.
const FILL_SHARE: f64 = 0.96;

/// Counts a store's lives.
pub type EpochId = u64;

/// What may be read from one store.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Inventory {
    /// The store's life.
    pub epoch: EpochId,
    /// More may be saved there.
    pub is_open: bool,
    /// Tokens of parts that are no longer to be read and not freed yet.
    pub retired_tokens: u64,
    /// Whole parts.
    pub parts: FxHashMap<PartKey, u32>,
}

impl Inventory {
    /// Tokens that take its space.
    pub fn tokens(&self) -> u64 {
        self.retired_tokens + self.parts.values().map(|tokens| u64::from(*tokens)).sum::<u64>()
    }

    /// Whether a part of `tokens` fits into `capacity` beside what is on its way.
    pub fn has_room(&self, tokens: u32, in_flight_tokens: u64, capacity: u64) -> bool {
        let filled = self.tokens() + in_flight_tokens + u64::from(tokens);
        self.is_open && filled as f64 <= capacity as f64 * FILL_SHARE
    }
}

/// A store, as an instance sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct Store {
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Tokens that it has room for.
    pub capacity_tokens: u64,
    /// Bytes a second that its link carries.
    pub link_bytes: f64,
    /// Time before a transfer begins.
    pub first_byte: Duration,
    /// What may be read.
    pub inventory: Arc<Inventory>,
}

/// A part by its full name.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Name {
    /// The name space.
    pub salt: String,
    /// The part.
    pub id: String,
}

/// A part that a store reports.
#[derive(Clone, Debug, PartialEq)]
pub struct Item {
    /// Its name.
    pub name: Name,
    /// Tokens that are whole.
    pub tokens: u32,
    /// Its model.
    pub model: ModelName,
}

/// All that a store holds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Listing {
    /// The store's life.
    pub epoch: EpochId,
    /// Whole parts.
    pub held: Vec<Item>,
    /// Parts that are being written, or were broken off, and the tokens that they take.
    pub incomplete: Vec<(Name, u32)>,
}

/// A change in a store.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// A part is whole.
    Added(Item),
    /// A part is gone.
    Removed(Name),
}

/// How far newer weights have come to the engines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Progress {
    /// Part of the engines that have them, from zero to one.
    pub updated_share: f64,
    /// Time since they were named.
    pub age: Duration,
    /// Time after which no request begins on older ones.
    pub limit: Duration,
}

impl Progress {
    /// Whether a store gives parts of older weights up, by its place among all managed stores.
    pub fn is_due(&self, index: usize, stores: usize) -> bool {
        let due = stores as f64 * self.updated_share.max(EARLY_STORES_SHARE);
        (index as f64) < due || self.age >= self.limit
    }
}

/// The account of one store.
#[derive(Debug, Default)]
pub struct Ledger {
    epoch: EpochId,
    opens_at: Time,
    held: BTreeMap<Name, (u32, ModelName)>,
    incomplete: Vec<(Name, u32)>,
    retired: Vec<(Name, u32)>,
    /// Models of parts that were ever retired; a store does not say the model of a broken part.
    retired_models: BTreeSet<ModelName>,
    due: Option<Time>,
    is_published: bool,
}

impl Ledger {
    /// Takes a whole listing in. `before` is the stock that instances may still read by.
    pub fn list(&mut self, now: Time, listing: Listing, before: Option<&Inventory>) {
        let is_new_life = before.is_none_or(|before| before.epoch != listing.epoch);
        if is_new_life {
            self.opens_at = now + READ_LIMIT + FREE_MARGIN;
        }
        self.epoch = listing.epoch;
        self.held = listing.held.into_iter().map(|i| (i.name, (i.tokens, i.model))).collect();
        self.incomplete = listing.incomplete;
        self.retired.clear();
        self.due = None;
        self.is_published = false;
    }

    /// Takes one change in.
    pub fn change(&mut self, change: Change) {
        self.is_published = false;
        match change {
            Change::Added(item) => {
                self.incomplete.retain(|(name, _)| *name != item.name);
                self.retired.retain(|(name, _)| *name != item.name);
                self.held.insert(item.name, (item.tokens, item.model));
            }
            Change::Removed(name) => {
                self.held.remove(&name);
            }
        }
    }

    /// The store can't be reached: nothing is to be read from it.
    pub fn clear(&mut self) {
        self.held.clear();
        self.epoch = 0;
        self.is_published = false;
    }

    /// Takes parts of other than the newest weights off the list. They are due to be freed some
    /// time after the list without them was written.
    pub fn retire(&mut self, newest: impl Fn(&ModelName) -> Option<WeightVersion>) {
        let is_old = |name: &Name, model: &ModelName| {
            let version = weights_of(&name.salt);
            newest(model).is_some_and(|newest| version.is_none_or(|version| version < newest))
        };
        let before = self.retired.len();
        self.held.retain(|name, (tokens, model)| {
            let is_kept = !is_old(name, model);
            if !is_kept {
                self.retired.push((name.clone(), *tokens));
                self.retired_models.insert(model.clone());
            }
            is_kept
        });
        if self.retired.len() == before {
            return;
        }
        // A broken part is freed with those of its weights; one on newer weights may be on its way.
        let incomplete = std::mem::take(&mut self.incomplete);
        let (old, kept) = incomplete.into_iter().partition(|(name, _)| {
            let models = self.retired_models.iter();
            !self.retired_models.is_empty() && models.clone().all(|model| is_old(name, model))
        });
        self.incomplete = kept;
        self.retired.extend::<Vec<_>>(old);
        self.due = None;
        self.is_published = false;
    }

    /// Takes note that the stock was written at `now`; no instance that reads the list later sees
    /// the retired parts.
    pub fn published(&mut self, now: Time) {
        self.is_published = true;
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
        self.is_published = false;
        std::mem::take(&mut self.retired).into_iter().map(|(name, _)| name).collect()
    }

    /// Whether the stock differs from what was written.
    pub fn is_published(&self, now: Time, written: Option<&Inventory>) -> bool {
        self.is_published && written.is_some_and(|inventory| inventory.is_open == self.is_open(now))
    }

    /// The store's life.
    pub fn epoch(&self) -> EpochId {
        self.epoch
    }

    /// What instances may read.
    pub fn inventory(&self, now: Time) -> Inventory {
        let parts =
            self.held.iter().map(|(name, (tokens, _))| (part_key(&name.salt, &name.id), *tokens));
        Inventory {
            epoch: self.epoch,
            is_open: self.is_open(now),
            retired_tokens: self.retired.iter().map(|(_, tokens)| u64::from(*tokens)).sum(),
            parts: parts.collect(),
        }
    }

    fn is_open(&self, now: Time) -> bool {
        self.epoch != 0 && now >= self.opens_at
    }
}

/// The name space of cached parts made on some weights, for one organisation if it is isolated.
pub fn salt(weights: WeightVersion, isolated: Option<&str>) -> String {
    match isolated {
        Some(organisation) => format!("{weights}/{organisation}"),
        None => weights.to_string(),
    }
}

/// The weights that a name space belongs to.
fn weights_of(salt: &str) -> Option<WeightVersion> {
    salt.split('/').next()?.parse().ok()
}
