//! The one value that says which configuration is in force.
//!
//! A change is published by replacing the root, which names the chunks of its revision. The tail of
//! its history tells an operator whose answer was lost what became of the change, and names the
//! chunks of earlier revisions, which therefore must not be collected yet.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::chunk::{Hash, Index, Slot};
use crate::id::{Name, Revision};

/// Most earlier revisions that a root remembers.
pub const HISTORY_LIMIT: usize = 64;
/// Most altered slots over all earlier revisions that a root remembers.
const ALTERED_LIMIT: usize = 4_096;
/// Longest encoding, in bytes.
const BYTES_LIMIT: usize = 512 << 10;

/// A revision in force.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Root {
    /// Its number; zero before the first change.
    pub revision: Revision,
    /// Name of the change that made it.
    pub change: Name,
    /// Who made the change.
    pub author: String,
    /// Its chunks.
    pub index: Index,
    /// Earlier revisions, latest first.
    pub history: Vec<Past>,
}

/// A revision that was in force before.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Past {
    /// Its number.
    pub revision: Revision,
    /// Name of the change that made it.
    pub change: Name,
    /// Who made the change.
    pub author: String,
    /// Slots that the following revision altered, and what they were.
    pub altered: Vec<(Slot, Option<Hash>)>,
}

/// Why bytes are not a root.
#[derive(Debug, Error)]
pub enum Error {
    /// Longer than a root can be.
    #[error("a root of {0} bytes is above the limit of {BYTES_LIMIT}")]
    TooLarge(usize),
    /// Not the encoding of a root.
    #[error("the root can't be read: {0}")]
    Malformed(#[from] rmp_serde::decode::Error),
    /// Something in it has no encoding.
    #[error("the root can't be encoded: {0}")]
    Unencodable(#[from] rmp_serde::encode::Error),
}

impl Root {
    /// The root that follows this one.
    #[must_use]
    pub fn next(&self, change: Name, author: impl Into<String>, index: Index) -> Self {
        let past = Past {
            revision: self.revision,
            change: self.change.clone(),
            author: self.author.clone(),
            altered: altered(&index, &self.index),
        };
        let mut history = vec![past];
        history.extend(self.history.iter().cloned());
        history.truncate(kept(&history));
        let revision = self.revision + 1;
        Self { revision, change, author: author.into(), index, history }
    }

    /// The revision that a change made, if it is remembered.
    pub fn find(&self, change: &str) -> Option<Revision> {
        if self.revision > 0 && &*self.change == change {
            return Some(self.revision);
        }
        let past = self.history.iter().find(|p| p.revision > 0 && &*p.change == change);
        past.map(|p| p.revision)
    }

    /// The chunks of an earlier revision, if it is remembered.
    pub fn index_at(&self, revision: Revision) -> Option<Index> {
        let mut index = self.index.clone();
        if revision == self.revision {
            return Some(index);
        }
        for past in &self.history {
            for (slot, hash) in &past.altered {
                match hash {
                    Some(hash) => index.insert(*slot, *hash),
                    None => index.remove(slot),
                };
            }
            if past.revision == revision {
                return Some(index);
            }
        }
        None
    }

    /// Every chunk that this root or its history names.
    pub fn referenced(&self) -> BTreeSet<Hash> {
        let past = self.history.iter().flat_map(|p| &p.altered).filter_map(|(_, hash)| *hash);
        self.index.values().copied().chain(past).collect()
    }

    /// Its bytes.
    pub fn encode(&self) -> Result<Vec<u8>, Error> {
        let bytes = rmp_serde::to_vec(self)?;
        if bytes.len() > BYTES_LIMIT {
            return Err(Error::TooLarge(bytes.len()));
        }
        Ok(bytes)
    }

    /// The root that `bytes` encode.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        if bytes.len() > BYTES_LIMIT {
            return Err(Error::TooLarge(bytes.len()));
        }
        Ok(rmp_serde::from_slice(bytes)?)
    }
}

/// What turns `from` into `to`.
fn altered(from: &Index, to: &Index) -> Vec<(Slot, Option<Hash>)> {
    let slots: BTreeSet<Slot> = from.keys().chain(to.keys()).copied().collect();
    let differing = slots.into_iter().filter(|slot| from.get(slot) != to.get(slot));
    differing.map(|slot| (slot, to.get(&slot).copied())).collect()
}

/// How many entries of `history` are within the limits; always one.
fn kept(history: &[Past]) -> usize {
    let mut slots = 0;
    let within = |past: &&Past| {
        slots += past.altered.len();
        slots <= ALTERED_LIMIT
    };
    history.iter().take(HISTORY_LIMIT).take_while(within).count().max(1)
}
