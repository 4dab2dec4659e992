//! The single value that defines which configuration is in force.
//!
//! A change is published by replacing the root, which references the chunks of its revision. Its
//! history lets an operator whose answer was lost look up the outcome of the change, and references
//! the chunks of earlier revisions, which must not be garbage-collected yet.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::chunk::{Hash, Index, Slot};
use crate::id::{Name, Revision};

/// Maximum number of earlier revisions in a root's history.
pub const HISTORY_LIMIT: usize = 64;
/// Maximum number of altered slots in a root's history, over all revisions.
const ALTERED_LIMIT: usize = 4_096;
/// Maximum size of an encoded root, in bytes.
const BYTES_LIMIT: usize = 512 << 10;

/// The revision in force and its history.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Root {
    /// Its revision; zero before the first change.
    pub revision: Revision,
    /// Id of the change that created it.
    pub change: Name,
    /// The operator who made the change.
    pub author: String,
    /// Its chunks.
    pub index: Index,
    /// Earlier revisions, latest first.
    pub history: Vec<Past>,
}

/// A revision that was in force before.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Past {
    /// Its revision.
    pub revision: Revision,
    /// Id of the change that created it.
    pub change: Name,
    /// The operator who made the change.
    pub author: String,
    /// Slots that the following revision altered, with their previous hashes.
    pub altered: Vec<(Slot, Option<Hash>)>,
}

/// Why a root can't be encoded or decoded.
#[derive(Debug, Error)]
pub enum Error {
    /// The encoding exceeds the size limit.
    #[error("root of {0} bytes exceeds the limit of {BYTES_LIMIT} bytes")]
    TooLarge(usize),
    /// The bytes are not an encoded root.
    #[error("failed to decode the root: {0}")]
    Malformed(#[from] rmp_serde::decode::Error),
    /// The root can't be serialized.
    #[error("failed to encode the root: {0}")]
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
            altered: altered_slots(&index, &self.index),
        };
        let mut history = vec![past];
        history.extend(self.history.iter().cloned());
        history.truncate(retained(&history));
        let revision = self.revision + 1;
        Self { revision, change, author: author.into(), index, history }
    }

    /// The revision that a change created, if it is in the history.
    pub fn find(&self, change: &str) -> Option<Revision> {
        if self.revision > 0 && &*self.change == change {
            return Some(self.revision);
        }
        let past = self.history.iter().find(|p| p.revision > 0 && &*p.change == change);
        past.map(|p| p.revision)
    }

    /// The chunk index of a revision, if it is current or in the history.
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

    /// Hashes of all chunks that this root or its history references.
    pub fn referenced(&self) -> BTreeSet<Hash> {
        let past = self.history.iter().flat_map(|p| &p.altered).filter_map(|(_, hash)| *hash);
        self.index.values().copied().chain(past).collect()
    }

    /// Encodes the root.
    pub fn encode(&self) -> Result<Vec<u8>, Error> {
        let bytes = rmp_serde::to_vec(self)?;
        if bytes.len() > BYTES_LIMIT {
            return Err(Error::TooLarge(bytes.len()));
        }
        Ok(bytes)
    }

    /// Decodes a root.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        if bytes.len() > BYTES_LIMIT {
            return Err(Error::TooLarge(bytes.len()));
        }
        Ok(rmp_serde::from_slice(bytes)?)
    }
}

/// The slots that differ, with their hashes in `to`.
fn altered_slots(from: &Index, to: &Index) -> Vec<(Slot, Option<Hash>)> {
    let slots: BTreeSet<Slot> = from.keys().chain(to.keys()).copied().collect();
    let differing = slots.into_iter().filter(|slot| from.get(slot) != to.get(slot));
    differing.map(|slot| (slot, to.get(&slot).copied())).collect()
}

/// Number of latest entries of `history` within the limits; at least one.
fn retained(history: &[Past]) -> usize {
    let mut slots = 0;
    let within = |past: &&Past| {
        slots += past.altered.len();
        slots <= ALTERED_LIMIT
    };
    history.iter().take(HISTORY_LIMIT).take_while(within).count().max(1)
}
