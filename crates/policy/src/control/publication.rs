//! Publication of one change in the key-value service.
//!
//! The stages are: read the root, write the chunks, swap the root. If the swap's answer is lost,
//! the root is read again and searched for the change's id. A swap that is still in flight can only
//! succeed on the root that was read first, so a newer root decides the outcome.

use std::collections::BTreeSet;

use acacia_catalog::chunk::{self, Chunks, Index};
use acacia_catalog::{Problem, Root, Set};

use super::config::{self, ROOT_KEY};
use super::{Change, ChangeOutcome};
use crate::kv;
use crate::message::ChunkHash;

/// Maximum reads of the root to find out the outcome of a swap without an answer.
const MAX_TRIES: u32 = 4;

/// A stage of a publication.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    /// Read the root.
    Read,
    /// Write the chunks.
    Write,
    /// Swap the root.
    Swap,
    /// Read the root after a swap whose answer was lost.
    Resolve,
}

/// What follows from a call's result.
pub enum Progress {
    /// Wait for the other calls of the stage.
    Wait,
    /// Start a stage.
    Next(Stage),
    /// The publication ended.
    End(ChangeOutcome),
}

/// A change that is being published.
pub struct Publication {
    change: Change,
    index: Index,
    chunks: Chunks,
    /// Chunks that the base root doesn't refer to.
    unwritten: Vec<ChunkHash>,
    base: Root,
    entry_revision: kv::ModRevision,
    next: Option<Root>,
    written: usize,
    failed: bool,
    tries: u32,
    answer_lost: bool,
}

impl Publication {
    /// Checks a change and splits it into chunks.
    pub fn new(change: Change) -> Result<Self, Vec<Problem>> {
        let set = Set::check(&change.document)?;
        let (index, chunks) = chunk::split(&set).map_err(|e| vec![too_large(&e)])?;
        Ok(Self {
            change,
            index,
            chunks,
            unwritten: Vec::new(),
            base: Root::default(),
            entry_revision: 0,
            next: None,
            written: 0,
            failed: false,
            tries: 0,
            answer_lost: false,
        })
    }

    /// The root with the change applied, once the base is known.
    pub fn root(&self) -> Option<&Root> {
        self.next.as_ref()
    }

    /// The chunks of the set.
    pub fn chunks(&self) -> &Chunks {
        &self.chunks
    }

    /// The calls of a stage.
    pub fn requests(&self, stage: Stage) -> Vec<(Stage, kv::Request)> {
        let key = ROOT_KEY.to_owned();
        match stage {
            Stage::Read | Stage::Resolve => vec![(stage, kv::Request::Get { key })],
            Stage::Write => self.unwritten.iter().map(|h| (stage, self.write(h))).collect(),
            Stage::Swap => {
                let value = self.next.as_ref().and_then(|root| root.encode().ok());
                let expected = self.entry_revision;
                vec![(stage, kv::Request::Swap { key, expected, value, lease: None })]
            }
        }
    }

    /// Handles the result of a call of a stage.
    pub fn ended(&mut self, stage: Stage, outcome: &kv::Outcome) -> Progress {
        match stage {
            Stage::Read => self.read(outcome),
            Stage::Write => self.wrote(outcome),
            Stage::Swap => self.swapped(outcome),
            Stage::Resolve => self.resolved(outcome),
        }
    }

    fn read(&mut self, outcome: &kv::Outcome) -> Progress {
        let Ok(kv::Reply::Got(entry)) = outcome else {
            return Progress::End(ChangeOutcome::Unavailable);
        };
        let Some(root) = config::decode(entry.as_ref()) else {
            return Progress::End(ChangeOutcome::Unavailable);
        };
        if let Some(revision) = root.find(&self.change.id) {
            return Progress::End(ChangeOutcome::Accepted(revision));
        }
        if root.revision != self.change.base {
            return Progress::End(ChangeOutcome::Conflict(root.revision));
        }
        let (id, author) = (self.change.id.clone(), self.change.author.clone());
        self.next = Some(root.next(id, author, self.index.clone()));
        let held: BTreeSet<&ChunkHash> = root.index.values().collect();
        self.unwritten = self.chunks.keys().filter(|h| !held.contains(h)).copied().collect();
        self.unwritten.sort();
        self.base = root;
        self.entry_revision = entry.as_ref().map_or(0, |e| e.revision);
        Progress::Next(if self.unwritten.is_empty() { Stage::Swap } else { Stage::Write })
    }

    fn wrote(&mut self, outcome: &kv::Outcome) -> Progress {
        self.written += 1;
        // A conflict means that the chunk already exists, as its name is the hash of its content.
        let held = matches!(outcome, Ok(kv::Reply::Swapped(_) | kv::Reply::Conflict(Some(_))));
        self.failed |= !held;
        match (self.written == self.unwritten.len(), self.failed) {
            (false, _) => Progress::Wait,
            (true, true) => Progress::End(ChangeOutcome::Unavailable),
            (true, false) => Progress::Next(Stage::Swap),
        }
    }

    fn swapped(&mut self, outcome: &kv::Outcome) -> Progress {
        match outcome {
            Ok(kv::Reply::Swapped(_)) => Progress::End(self.accepted()),
            Ok(kv::Reply::Conflict(entry)) => self.decide(entry.as_ref()),
            Err(kv::Failure::Unavailable) if !self.answer_lost => {
                Progress::End(ChangeOutcome::Unavailable)
            }
            Err(kv::Failure::TooLarge) => Progress::End(ChangeOutcome::Unavailable),
            _ => {
                self.answer_lost = true;
                Progress::Next(Stage::Resolve)
            }
        }
    }

    fn resolved(&mut self, outcome: &kv::Outcome) -> Progress {
        self.tries += 1;
        match outcome {
            Ok(kv::Reply::Got(entry)) => self.decide(entry.as_ref()),
            _ if self.tries < MAX_TRIES => Progress::Next(Stage::Resolve),
            _ => Progress::End(ChangeOutcome::Unknown),
        }
    }

    /// Decides by the root held by the service.
    fn decide(&self, entry: Option<&kv::Entry>) -> Progress {
        let Some(root) = config::decode(entry) else {
            return Progress::End(ChangeOutcome::Unknown);
        };
        if let Some(revision) = root.find(&self.change.id) {
            return Progress::End(ChangeOutcome::Accepted(revision));
        }
        if root.revision != self.base.revision {
            return Progress::End(self.overtaken_outcome(&root));
        }
        if self.tries < MAX_TRIES {
            Progress::Next(Stage::Swap)
        } else {
            Progress::End(ChangeOutcome::Unknown)
        }
    }

    /// The outcome when other changes were accepted since the base; unknown if the history no
    /// longer shows whether this one was among them.
    fn overtaken_outcome(&self, root: &Root) -> ChangeOutcome {
        let ours = self.base.revision + 1;
        let remembers = root.revision == ours || root.history.iter().any(|p| p.revision <= ours);
        if self.answer_lost && !remembers {
            return ChangeOutcome::Unknown;
        }
        ChangeOutcome::Conflict(root.revision)
    }

    fn write(&self, hash: &ChunkHash) -> kv::Request {
        let key = config::chunk_key(hash);
        let value = self.chunks.get(hash).cloned();
        kv::Request::Swap { key, expected: 0, value, lease: None }
    }

    fn accepted(&self) -> ChangeOutcome {
        ChangeOutcome::Accepted(self.base.revision + 1)
    }
}

/// The problem reported for a set that is too large to encode.
fn too_large(error: &chunk::Error) -> Problem {
    Problem {
        kind: "document".to_owned(),
        object: "".into(),
        field: "objects".to_owned(),
        reason: error.to_string(),
        hint: "split large objects".to_owned(),
    }
}
