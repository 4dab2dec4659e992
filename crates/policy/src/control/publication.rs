//! One change on its way into the key-value service.
//!
//! The stages are: read the root, write the chunks, swap the root. When the swap's answer is lost,
//! the root is read again and the change's own id looked for. A swap that may still be on its way
//! can only succeed on the root that was read, so a root that moved on settles the matter.

use acacia_catalog::{Problem, Set};

use super::config::{self, ROOT_KEY, Root};
use super::{Change, ChangeOutcome};
use crate::kv;
use crate::message::{Chunk, ChunkHash};

/// Bytes of a chunk; the service holds values up to a megabyte.
const CHUNK_BYTES: usize = 256 * 1024;
/// Swaps that are tried when no answer comes.
const TRIES: u32 = 4;

/// Where a publication stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    /// Reading the root.
    Read,
    /// Writing the chunks.
    Write,
    /// Swapping the root.
    Swap,
    /// Reading the root after a swap whose answer was lost.
    Resolve,
}

/// What comes next.
pub enum Verdict {
    /// More answers of this stage.
    Wait,
    /// The next stage.
    Next(Stage),
    /// The end.
    End(ChangeOutcome),
}

/// One change on its way.
pub struct Publication {
    change: Change,
    chunks: Vec<Chunk>,
    base: Root,
    entry_revision: kv::ModRevision,
    next: Option<Root>,
    written: usize,
    failed: bool,
    tries: u32,
    lost: bool,
}

impl Publication {
    /// Checks a change and cuts it into chunks.
    pub fn new(change: Change) -> Result<Self, Vec<Problem>> {
        let set = Set::check(&change.document)?;
        let bytes = rmp_serde::to_vec(&set).unwrap_or_default();
        let chunks = bytes.chunks(CHUNK_BYTES).map(chunk).collect();
        Ok(Self {
            change,
            chunks,
            base: Root::default(),
            entry_revision: 0,
            next: None,
            written: 0,
            failed: false,
            tries: 0,
            lost: false,
        })
    }

    /// The root that the change leads to, once the base is known.
    pub fn root(&self) -> Option<&Root> {
        self.next.as_ref()
    }

    /// The chunks of the set.
    pub fn chunks(&self) -> &[Chunk] {
        &self.chunks
    }

    /// The calls of a stage.
    pub fn requests(&self, stage: Stage) -> Vec<(Stage, kv::Request)> {
        let key = ROOT_KEY.to_owned();
        match stage {
            Stage::Read | Stage::Resolve => vec![(stage, kv::Request::Get { key })],
            Stage::Write => self.chunks.iter().map(|c| (stage, write(c))).collect(),
            Stage::Swap => {
                let value = self.next.as_ref().and_then(|root| rmp_serde::to_vec(root).ok());
                let expected = self.entry_revision;
                vec![(stage, kv::Request::Swap { key, expected, value, lease: None })]
            }
        }
    }

    /// Takes the answer to a call of a stage.
    pub fn ended(&mut self, stage: Stage, outcome: &kv::Outcome) -> Verdict {
        match stage {
            Stage::Read => self.read(outcome),
            Stage::Write => self.wrote(outcome),
            Stage::Swap => self.swapped(outcome),
            Stage::Resolve => self.resolved(outcome),
        }
    }

    fn read(&mut self, outcome: &kv::Outcome) -> Verdict {
        let Ok(kv::Reply::Got(entry)) = outcome else {
            return Verdict::End(ChangeOutcome::Unavailable);
        };
        let Some(root) = config::decode(entry.as_ref()) else {
            return Verdict::End(ChangeOutcome::Unavailable);
        };
        if let Some(revision) = root.find(&self.change.id) {
            return Verdict::End(ChangeOutcome::Accepted(revision));
        }
        if root.revision != self.change.base {
            return Verdict::End(ChangeOutcome::Conflict(root.revision));
        }
        let hashes: Vec<ChunkHash> = self.chunks.iter().map(|c| c.hash).collect();
        self.next = Some(root.next(&self.change, hashes));
        self.base = root;
        self.entry_revision = entry.as_ref().map_or(0, |e| e.revision);
        Verdict::Next(Stage::Write)
    }

    fn wrote(&mut self, outcome: &kv::Outcome) -> Verdict {
        self.written += 1;
        // A conflict means that the chunk is there already: its name is its content.
        let held = matches!(outcome, Ok(kv::Reply::Swapped(_) | kv::Reply::Conflict(Some(_))));
        self.failed |= !held;
        match (self.written == self.chunks.len(), self.failed) {
            (false, _) => Verdict::Wait,
            (true, true) => Verdict::End(ChangeOutcome::Unavailable),
            (true, false) => Verdict::Next(Stage::Swap),
        }
    }

    fn swapped(&mut self, outcome: &kv::Outcome) -> Verdict {
        match outcome {
            Ok(kv::Reply::Swapped(_)) => Verdict::End(self.accepted()),
            Ok(kv::Reply::Conflict(entry)) => self.settle(entry.as_ref()),
            Err(kv::Failure::Unavailable) if !self.lost => Verdict::End(ChangeOutcome::Unavailable),
            Err(kv::Failure::TooLarge) => Verdict::End(ChangeOutcome::Unavailable),
            _ => {
                self.lost = true;
                Verdict::Next(Stage::Resolve)
            }
        }
    }

    fn resolved(&mut self, outcome: &kv::Outcome) -> Verdict {
        self.tries += 1;
        match outcome {
            Ok(kv::Reply::Got(entry)) => self.settle(entry.as_ref()),
            _ if self.tries < TRIES => Verdict::Next(Stage::Resolve),
            _ => Verdict::End(ChangeOutcome::Unknown),
        }
    }

    /// Decides by the root that the service holds.
    fn settle(&self, entry: Option<&kv::Entry>) -> Verdict {
        let Some(root) = config::decode(entry) else {
            return Verdict::End(ChangeOutcome::Unknown);
        };
        if let Some(revision) = root.find(&self.change.id) {
            return Verdict::End(ChangeOutcome::Accepted(revision));
        }
        if root.revision != self.base.revision {
            return Verdict::End(ChangeOutcome::Conflict(root.revision));
        }
        if self.tries < TRIES {
            Verdict::Next(Stage::Swap)
        } else {
            Verdict::End(ChangeOutcome::Unknown)
        }
    }

    fn accepted(&self) -> ChangeOutcome {
        ChangeOutcome::Accepted(self.base.revision + 1)
    }
}

fn chunk(bytes: &[u8]) -> Chunk {
    Chunk { hash: *blake3::hash(bytes).as_bytes(), bytes: bytes.to_vec() }
}

fn write(chunk: &Chunk) -> kv::Request {
    let key = config::chunk_key(&chunk.hash);
    kv::Request::Swap { key, expected: 0, value: Some(chunk.bytes.clone()), lease: None }
}
