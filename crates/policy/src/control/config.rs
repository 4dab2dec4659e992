//! The configuration in force.
//!
//! A set is encoded, cut into chunks named by hash and published by one compare-and-swap on the
//! root. A few daemons of each zone watch the root; the others hear its revision from peers and pull
//! what they miss, so that the service's load doesn't grow with the fleet. The revision only grows.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use acacia_catalog::Set;
use acacia_catalog::id::Revision;
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};

use super::outbox::{Outbox, Purpose};
use super::publication::{Publication, Stage, Verdict};
use super::{Action, Change, ChangeId, ChangeOutcome, Line, Sabotage, Ticket};
use crate::message::{Chunk, ChunkHash, Message};
use crate::{Time, kv};

/// Key of the root.
pub const ROOT_KEY: &str = "acacia/config/root";
/// Where chunks lie.
pub const CHUNK_PREFIX: &str = "acacia/config/chunk/";
/// Wait before a failed call is made again.
const RETRY: Duration = Duration::from_millis(300);
/// Wait before a chunk is asked for again.
const CHUNK_RETRY: Duration = Duration::from_millis(400);
/// Changes that the root remembers, so that a lost answer can be resolved.
const HISTORY: usize = 64;

/// What is published by one compare-and-swap.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Root {
    /// Number of the configuration.
    pub revision: Revision,
    /// Its chunks in order.
    pub chunks: Vec<ChunkHash>,
    /// The latest changes, oldest first.
    pub history: Vec<Record>,
}

impl Root {
    /// The revision that a change led to, when it is remembered.
    pub fn find(&self, change: &ChangeId) -> Option<Revision> {
        self.history.iter().find(|r| r.change == *change).map(|r| r.revision)
    }

    /// The root that follows.
    #[must_use]
    pub fn next(&self, change: &Change, chunks: Vec<ChunkHash>) -> Self {
        let revision = self.revision + 1;
        let record = Record { revision, change: change.id.clone(), author: change.author.clone() };
        let skip = (self.history.len() + 1).saturating_sub(HISTORY);
        let kept = self.history.iter().skip(skip).cloned();
        Self { revision, chunks, history: kept.chain([record]).collect() }
    }

    fn decode(entry: Option<&kv::Entry>) -> Option<Self> {
        rmp_serde::from_slice(&entry?.value).ok()
    }
}

/// An accepted change.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Record {
    /// The revision that it led to.
    pub revision: Revision,
    /// Its name.
    pub change: ChangeId,
    /// Who wanted it.
    pub author: String,
}

/// Why a call was made.
#[derive(Clone, Debug)]
pub enum Call {
    /// Waiting for the root to change.
    Watch,
    /// Reading the root.
    Read,
    /// Reading a chunk.
    Chunk(ChunkHash),
    /// Publishing a change.
    Publish(Ticket, Stage),
}

/// The configuration that one daemon has in force, and what it does to learn of the next.
#[derive(Default)]
pub(super) struct Config {
    sabotage: Option<Sabotage>,
    root: Root,
    set: Arc<Set>,
    chunks: BTreeMap<ChunkHash, Arc<[u8]>>,
    entry_revision: kv::ModRevision,
    pending: Option<Pending>,
    calling: bool,
    call_at: Time,
    failures: u32,
    publications: BTreeMap<Ticket, Publication>,
    changed: bool,
}

/// A newer configuration whose chunks are still missing.
struct Pending {
    root: Root,
    ask_at: Time,
    tries: u32,
}

impl Config {
    pub fn new(sabotage: Option<Sabotage>) -> Self {
        Self { sabotage, ..Self::default() }
    }

    /// The configuration in force.
    pub fn set(&self) -> &Arc<Set> {
        &self.set
    }

    /// Its number.
    pub fn revision(&self) -> Revision {
        self.root.revision
    }

    /// Its root.
    pub fn root(&self) -> &Root {
        &self.root
    }

    /// A chunk of the configuration in force, or of the next.
    pub fn chunk(&self, hash: &ChunkHash) -> Option<Chunk> {
        let bytes = self.chunks.get(hash)?.to_vec();
        Some(Chunk { hash: *hash, bytes })
    }

    /// Whether another configuration came into force since the last call.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Reads or watches the root when it is this daemon's turn, and asks for missing chunks.
    pub fn tick(&mut self, now: Time, watcher: bool, peers: &[SocketAddr], out: &mut Outbox) {
        self.read(now, watcher, out);
        self.ask(now, peers, out);
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

    /// Takes the answer to a call.
    pub fn ended(&mut self, now: Time, call: Call, outcome: &kv::Outcome, out: &mut Outbox) {
        match call {
            Call::Watch | Call::Read => self.read_ended(now, outcome),
            Call::Chunk(hash) => self.chunk_read(hash, outcome, out),
            Call::Publish(ticket, stage) => self.published(now, ticket, stage, outcome, out),
        }
    }

    /// Takes a root that a peer or the service told.
    pub fn learn(&mut self, now: Time, root: Root, out: &mut Outbox) {
        let known = self.pending.as_ref().map_or(self.root.revision, |p| p.root.revision);
        let older = root.revision <= known.max(self.root.revision);
        if older && self.sabotage != Some(Sabotage::Revert) {
            return;
        }
        self.pending = Some(Pending { root, ask_at: now, tries: 0 });
        self.assemble(out);
    }

    /// Takes a chunk; ignored when its bytes don't have its name.
    pub fn learn_chunk(&mut self, chunk: &Chunk, out: &mut Outbox) {
        let Some(pending) = &self.pending else { return };
        let wanted = pending.root.chunks.contains(&chunk.hash);
        if wanted && blake3::hash(&chunk.bytes) == chunk.hash {
            self.chunks.insert(chunk.hash, chunk.bytes.as_slice().into());
            self.assemble(out);
        }
    }

    /// Whether a peer's revision is newer than any that this daemon has heard of.
    pub fn is_behind(&self, revision: Revision) -> bool {
        let pending = self.pending.as_ref().map_or(0, |p| p.root.revision);
        revision > self.root.revision.max(pending)
    }

    fn read(&mut self, now: Time, watcher: bool, out: &mut Outbox) {
        let first = self.root.revision == 0 && self.pending.is_none();
        if self.calling || now < self.call_at || !(watcher || first) {
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
                self.call_at = if entry.is_none() { now + RETRY } else { now };
                self.take_entry(now, entry.as_ref());
            }
            _ => {
                self.failures += 1;
                self.call_at = now + RETRY * self.failures.min(4);
            }
        }
    }

    fn take_entry(&mut self, now: Time, entry: Option<&kv::Entry>) {
        let Some(found) = entry else { return };
        self.entry_revision = self.entry_revision.max(found.revision);
        let newer = Root::decode(entry).filter(|root| self.is_behind(root.revision));
        if let Some(root) = newer {
            self.pending = Some(Pending { root, ask_at: now, tries: 0 });
        }
    }

    fn ask(&mut self, now: Time, peers: &[SocketAddr], out: &mut Outbox) {
        self.assemble(out);
        let missing = self.missing();
        let Some(pending) = self.pending.as_mut().filter(|p| now >= p.ask_at) else { return };
        pending.ask_at = now + CHUNK_RETRY;
        pending.tries += 1;
        let by_peer = pending.tries % 2 == 1 || !out.service_up();
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
        let pending = self.pending.iter().flat_map(|p| &p.root.chunks);
        pending.filter(|hash| !self.chunks.contains_key(*hash)).copied().collect()
    }

    fn chunk_read(&mut self, hash: ChunkHash, outcome: &kv::Outcome, out: &mut Outbox) {
        if let Ok(kv::Reply::Got(Some(entry))) = outcome {
            self.learn_chunk(&Chunk { hash, bytes: entry.value.clone() }, out);
        }
    }

    /// Brings the pending configuration into force once every chunk is there.
    fn assemble(&mut self, out: &mut Outbox) {
        let Some(pending) = self
            .pending
            .take_if(|p| p.root.chunks.iter().all(|hash| self.chunks.contains_key(hash)))
        else {
            return;
        };
        let bytes: Vec<u8> =
            pending.root.chunks.iter().flat_map(|hash| self.chunks[hash].iter().copied()).collect();
        let Ok(set) = rmp_serde::from_slice::<Set>(&bytes) else { return };
        self.enter(pending.root, Arc::new(set), out);
    }

    fn enter(&mut self, root: Root, set: Arc<Set>, out: &mut Outbox) {
        let kept: BTreeSet<_> = root.chunks.iter().copied().collect();
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
    ) {
        let Some(publication) = self.publications.get_mut(&ticket) else { return };
        match publication.ended(stage, outcome) {
            Verdict::Wait => {}
            Verdict::Next(stage) => self.start(ticket, stage, out),
            Verdict::End(outcome) => {
                self.accept(now, ticket, &outcome, out);
                out.push(Action::Changed(ticket, outcome));
            }
        }
    }

    /// Brings an accepted change into force here at once.
    fn accept(&mut self, now: Time, ticket: Ticket, outcome: &ChangeOutcome, out: &mut Outbox) {
        let Some(publication) = self.publications.remove(&ticket) else { return };
        if !matches!(outcome, ChangeOutcome::Accepted(_)) {
            return;
        }
        let Some(root) = publication.root().filter(|r| self.is_behind(r.revision)) else { return };
        for chunk in publication.chunks() {
            self.chunks.insert(chunk.hash, chunk.bytes.as_slice().into());
        }
        self.learn(now, root.clone(), out);
    }
}

/// Key of a chunk.
pub(super) fn chunk_key(hash: &ChunkHash) -> kv::Key {
    format!("{CHUNK_PREFIX}{}", blake3::Hash::from_bytes(*hash).to_hex())
}

/// Decodes the root that an entry holds; the first root when the key is absent.
pub(super) fn decode(entry: Option<&kv::Entry>) -> Option<Root> {
    if entry.is_none() { Some(Root::default()) } else { Root::decode(entry) }
}
