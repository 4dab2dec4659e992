//! The configuration in force.
//!
//! A set is encoded, split into chunks named by hash and published by a compare-and-swap of the
//! root. One daemon in each zone watches the root; the others learn its revision from peers and
//! pull missing parts, so that the service's load doesn't grow with the fleet. The revision never
//! decreases.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use acacia_catalog::chunk::{self, Chunks, Index};
use acacia_catalog::id::Revision;
use acacia_catalog::root::HISTORY_LIMIT;
use acacia_catalog::{Root, Set};
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};

use super::outbox::{Outbox, Purpose};
use super::publication::{Progress, Publication, Stage};
use super::{Action, Change, ChangeId, ChangeOutcome, Line, Mutation, Ticket};
use crate::message::{Chunk, ChunkHash, Message, RootNews};
use crate::{Time, kv};

/// Key of the root.
pub const ROOT_KEY: &str = "acacia/config/root";
/// Prefix of the keys of chunks.
pub const CHUNK_PREFIX: &str = "acacia/config/chunk/";
/// Delay before a failed call is retried, multiplied by the number of failures, up to four.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// Delay before a chunk is pulled again.
const CHUNK_RETRY_DELAY: Duration = Duration::from_millis(400);

/// An accepted change.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Record {
    /// The resulting revision.
    pub revision: Revision,
    /// Its name.
    pub change: ChangeId,
    /// Its author.
    pub author: String,
}

/// Why a call was made.
#[derive(Clone, Debug)]
pub enum Call {
    /// Wait for the root to change.
    Watch,
    /// Read the root.
    Read,
    /// Read a chunk.
    Chunk(ChunkHash),
    /// Publish a change.
    Publish(Ticket, Stage),
}

/// The configuration in force at one daemon, and the state needed to learn of the next.
#[derive(Default)]
pub(super) struct Config {
    mutation: Option<Mutation>,
    root: Root,
    set: Arc<Set>,
    chunks: Chunks,
    entry_revision: kv::ModRevision,
    pending: Option<Pending>,
    calling: bool,
    next_call_at: Time,
    failures: u32,
    publications: BTreeMap<Ticket, Publication>,
    changed: bool,
}

/// A newer configuration with chunks still missing.
struct Pending {
    root: Root,
    pull_at: Time,
    tries: u32,
}

impl Config {
    pub fn new(mutation: Option<Mutation>) -> Self {
        Self { mutation, ..Self::default() }
    }

    /// The configuration in force.
    pub fn set(&self) -> &Arc<Set> {
        &self.set
    }

    /// Its revision.
    pub fn revision(&self) -> Revision {
        self.root.revision
    }

    /// The changes that led to it, oldest first.
    pub fn history(&self) -> Vec<Record> {
        let root = &self.root;
        let past = root.history.iter().rev();
        let earlier = past.map(|p| (p.revision, &p.change, &p.author));
        let all = earlier.chain([(root.revision, &root.change, &root.author)]);
        let accepted = all.filter(|(revision, ..)| *revision > 0);
        let record = |(revision, change, author): (Revision, &ChangeId, &String)| Record {
            revision,
            change: change.clone(),
            author: author.clone(),
        };
        accepted.map(record).collect()
    }

    /// The root's changes since a revision.
    pub fn news(&self, since: Revision) -> RootNews {
        news(&self.root, since)
    }

    /// A chunk of the configuration in force or of the pending one.
    pub fn chunk(&self, hash: &ChunkHash) -> Option<Chunk> {
        let bytes = self.chunks.get(hash)?.clone();
        Some(Chunk { hash: *hash, bytes })
    }

    /// Whether the configuration in force changed since the last call.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Reads or watches the root if this daemon is a watcher or has no configuration, and pulls
    /// missing chunks.
    pub fn tick(&mut self, now: Time, watcher: bool, peers: &[SocketAddr], out: &mut Outbox) {
        self.read(now, watcher, out);
        self.pull_chunks(now, peers, out);
    }

    /// Publishes a change.
    pub fn publish(&mut self, ticket: Ticket, change: Change, out: &mut Outbox) {
        match Publication::new(change) {
            Err(problems) => {
                out.push(Action::Changed(ticket, ChangeOutcome::Invalid(problems)));
            }
            Ok(publication) => {
                self.publications.insert(ticket, publication);
                self.start(ticket, Stage::Read, out);
            }
        }
    }

    /// Handles the result of a call; true if it means that a change published here was accepted.
    pub fn ended(
        &mut self,
        now: Time,
        call: Call,
        outcome: &kv::Outcome,
        out: &mut Outbox,
    ) -> bool {
        match call {
            Call::Watch | Call::Read => self.read_ended(now, outcome),
            Call::Chunk(hash) => self.chunk_read(hash, outcome, out),
            Call::Publish(ticket, stage) => {
                return self.published(now, ticket, stage, outcome, out);
            }
        }
        false
    }

    /// Handles a peer's root.
    pub fn receive_news(&mut self, now: Time, news: RootNews, from: SocketAddr, out: &mut Outbox) {
        if news.since == 0 || news.since == self.root.revision {
            let base = if news.since == 0 { Root::default() } else { self.root.clone() };
            self.learn(now, apply(base, news), out);
            // The sender has the chunks.
            self.pull_chunks(now, &[from], out);
        }
    }

    /// Makes a root pending unless it is older than what is known.
    fn learn(&mut self, now: Time, root: Root, out: &mut Outbox) {
        let known = self.pending.as_ref().map_or(self.root.revision, |p| p.root.revision);
        let older = root.revision <= known.max(self.root.revision);
        if older && self.mutation != Some(Mutation::Revert) {
            return;
        }
        self.pending = Some(Pending { root, pull_at: now, tries: 0 });
        self.assemble(out);
    }

    /// Handles a chunk; ignored if it isn't needed or its bytes don't match its hash.
    pub fn receive_chunk(&mut self, chunk: &Chunk, out: &mut Outbox) {
        let Some(pending) = &self.pending else { return };
        let wanted = pending.root.index.values().any(|hash| *hash == chunk.hash);
        if wanted && chunk::verify(chunk.hash, &chunk.bytes) {
            self.chunks.insert(chunk.hash, chunk.bytes.clone());
            self.assemble(out);
        }
    }

    /// Whether a revision is newer than both the one in force and the pending one.
    pub fn is_behind(&self, revision: Revision) -> bool {
        let pending = self.pending.as_ref().map_or(0, |p| p.root.revision);
        revision > self.root.revision.max(pending)
    }

    fn read(&mut self, now: Time, watcher: bool, out: &mut Outbox) {
        let first = self.root.revision == 0 && self.pending.is_none();
        if self.calling || now < self.next_call_at || !(watcher || first) {
            return;
        }
        self.calling = true;
        let key = ROOT_KEY.to_owned();
        let (call, request) = if self.entry_revision == 0 || self.failures > 0 {
            (Call::Read, kv::Request::Get { key })
        } else {
            (Call::Watch, kv::Request::Watch { key, after: self.entry_revision })
        };
        out.call(Purpose::Config(call), request);
    }

    fn read_ended(&mut self, now: Time, outcome: &kv::Outcome) {
        self.calling = false;
        match outcome {
            Ok(kv::Reply::Got(entry)) => {
                self.failures = 0;
                self.next_call_at = if entry.is_none() { now + RETRY_DELAY } else { now };
                self.take_entry(now, entry.as_ref());
            }
            _ => {
                self.failures += 1;
                self.next_call_at = now + RETRY_DELAY * self.failures.min(4);
            }
        }
    }

    fn take_entry(&mut self, now: Time, entry: Option<&kv::Entry>) {
        let Some(found) = entry else { return };
        self.entry_revision = self.entry_revision.max(found.revision);
        let newer = Root::decode(&found.value).ok().filter(|root| self.is_behind(root.revision));
        if let Some(root) = newer {
            self.pending = Some(Pending { root, pull_at: now, tries: 0 });
        }
    }

    fn pull_chunks(&mut self, now: Time, peers: &[SocketAddr], out: &mut Outbox) {
        self.assemble(out);
        let missing = self.missing();
        let Some(pending) = self.pending.as_mut().filter(|p| now >= p.pull_at) else { return };
        pending.pull_at = now + CHUNK_RETRY_DELAY;
        pending.tries += 1;
        // The service is called even if it was last seen down: no other call may be due that would
        // show that it is back.
        let by_peer = pending.tries % 2 == 1;
        match peers.choose(&mut out.rng).filter(|_| by_peer) {
            Some(peer) => out.send(*peer, Message::ChunkPull(missing)),
            None => {
                for hash in missing {
                    let key = chunk_key(&hash);
                    out.call(Purpose::Config(Call::Chunk(hash)), kv::Request::Get { key });
                }
            }
        }
    }

    fn missing(&self) -> Vec<ChunkHash> {
        let pending = self.pending.iter().flat_map(|p| p.root.index.values());
        pending.filter(|hash| !self.chunks.contains_key(*hash)).copied().collect()
    }

    fn chunk_read(&mut self, hash: ChunkHash, outcome: &kv::Outcome, out: &mut Outbox) {
        if let Ok(kv::Reply::Got(Some(entry))) = outcome {
            self.receive_chunk(&Chunk { hash, bytes: entry.value.clone() }, out);
        }
    }

    /// Brings the pending configuration into force once all its chunks are present.
    fn assemble(&mut self, out: &mut Outbox) {
        let complete =
            |p: &mut Pending| p.root.index.values().all(|hash| self.chunks.contains_key(hash));
        let Some(pending) = self.pending.take_if(complete) else { return };
        let Ok(set) = chunk::join(&pending.root.index, &self.chunks) else { return };
        self.activate(pending.root, Arc::new(set), out);
    }

    fn activate(&mut self, root: Root, set: Arc<Set>, out: &mut Outbox) {
        let kept: BTreeSet<_> = root.index.values().copied().collect();
        self.chunks.retain(|hash, _| kept.contains(hash));
        out.push(Action::Log(Line::InForce(root.revision)));
        (self.root, self.set, self.changed) = (root, set, true);
    }

    fn start(&mut self, ticket: Ticket, stage: Stage, out: &mut Outbox) {
        let Some(publication) = self.publications.get(&ticket) else { return };
        for (stage, request) in publication.requests(stage) {
            out.call(Purpose::Config(Call::Publish(ticket, stage)), request);
        }
    }

    fn published(
        &mut self,
        now: Time,
        ticket: Ticket,
        stage: Stage,
        outcome: &kv::Outcome,
        out: &mut Outbox,
    ) -> bool {
        let Some(publication) = self.publications.get_mut(&ticket) else { return false };
        match publication.ended(stage, outcome) {
            Progress::Wait => false,
            Progress::Next(stage) => {
                self.start(ticket, stage, out);
                false
            }
            Progress::End(outcome) => {
                self.accept(now, ticket, &outcome, out);
                let accepted = matches!(outcome, ChangeOutcome::Accepted(_));
                out.push(Action::Changed(ticket, outcome));
                accepted
            }
        }
    }

    /// Brings an accepted change into force at this daemon immediately.
    fn accept(&mut self, now: Time, ticket: Ticket, outcome: &ChangeOutcome, out: &mut Outbox) {
        let Some(publication) = self.publications.remove(&ticket) else { return };
        if !matches!(outcome, ChangeOutcome::Accepted(_)) {
            return;
        }
        let Some(root) = publication.root().filter(|r| self.is_behind(r.revision)) else { return };
        self.chunks.extend(publication.chunks().iter().map(|(h, b)| (*h, b.clone())));
        self.learn(now, root.clone(), out);
    }
}

/// Key of a chunk.
pub(super) fn chunk_key(hash: &ChunkHash) -> kv::Key {
    format!("{CHUNK_PREFIX}{hash}")
}

/// Decodes the root in an entry; the initial root if the key is absent.
pub(super) fn decode(entry: Option<&kv::Entry>) -> Option<Root> {
    match entry {
        None => Some(Root::default()),
        Some(entry) => Root::decode(&entry.value).ok(),
    }
}

/// Changes to a root since a revision; the whole root if the history no longer covers it.
fn news(root: &Root, since: Revision) -> RootNews {
    let known = root.index_at(since).filter(|_| since > 0 && since < root.revision);
    let (since, before) = known.map_or((0, Index::new()), |index| (since, index));
    let gone = before.keys().filter(|slot| !root.index.contains_key(*slot));
    let new = root.index.iter().filter(|(slot, hash)| before.get(slot) != Some(hash));
    let altered = new.map(|(s, h)| (*s, Some(*h))).chain(gone.map(|s| (*s, None))).collect();
    RootNews {
        since,
        revision: root.revision,
        change: root.change.clone(),
        author: root.author.clone(),
        altered,
        history: root.history.iter().filter(|p| p.revision >= since).cloned().collect(),
    }
}

/// Applies changes to an earlier root.
fn apply(base: Root, news: RootNews) -> Root {
    let mut index = base.index;
    for (slot, hash) in news.altered {
        match hash {
            Some(hash) => index.insert(slot, hash),
            None => index.remove(&slot),
        };
    }
    let mut history = news.history;
    history.extend(base.history);
    history.truncate(HISTORY_LIMIT);
    Root { revision: news.revision, change: news.change, author: news.author, index, history }
}
