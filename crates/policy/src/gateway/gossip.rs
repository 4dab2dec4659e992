//! Load digests that instances exchange about the requests that they sent to upstreams.
//!
//! Each instance sees only some of the callers, and engines report late. So instances send each
//! other, within tens of milliseconds, what they have running where and which prompt parts they
//! sent there. A lost or late [`Digest`] only worsens the choice of upstreams, with one exception:
//! outstanding orders to save a part, which are repeated until they have ended (see [`super::save`]).

use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};
use std::time::Duration;

use rustc_hash::{FxHashMap, FxHasher};
use serde::{Deserialize, Serialize};
use strum::EnumIter;

use super::brittle::Refusal;
use super::call::Prompt;
use super::canary::evidence::Evidence;
use super::confirmation::Confirmation;
use super::forward::Outage;
use super::limit;
use super::notice::Departure;
use super::quarantine::{Clearance, SuspectKey, Suspicion};
use super::software::Beginnings;
use super::statement;
use crate::Time;

/// Age from which another instance's digest is ignored. Full digests are sent more often, so that
/// one may be lost.
const DIGEST_TTL: Duration = Duration::from_millis(1_500);

/// Random id of one run of a process.
pub type Incarnation = u64;
/// Hash of an upstream's id, equal on all instances.
pub type ServerKey = u64;
/// Hash of a part's name and salt, equal on all instances.
pub type PartKey = u64;

/// One instance's load digest.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Digest {
    /// The sender.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// Increases with each digest of an incarnation.
    pub sequence: u64,
    /// Whether upstreams that are not listed have no requests of the sender; otherwise their load
    /// is unchanged.
    #[serde(rename = "whole")]
    pub is_full: bool,
    /// Load by the sender's running requests, by upstream.
    pub loads: BTreeMap<ServerKey, Load>,
    /// Prompts that it sent to engines since its last digest.
    #[serde(rename = "reads")]
    pub prefills: Vec<Prefill>,
    /// What else it tells.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub notes: Vec<Note>,
}

/// A statement in a digest besides load.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Note {
    /// An upstream told the sender that it is leaving.
    Departed(Departure),
    /// The inventories of KV cache stores were current at a time.
    Confirmed(Confirmation),
    /// Upstreams crashed under a part or a request.
    Suspected(Suspicion),
    /// The sender tries a suspect.
    Tried(SuspectKey),
    /// An upstream has answered on a suspect.
    Cleared(Clearance),
    /// An upstream's rate limit.
    Limited(limit::Report),
    /// Streams began.
    Began(Beginnings),
    /// The sender has lost the path to services.
    CutOff(Outage),
    /// An upstream's limit on refusals.
    Brittle(statement::Report),
    /// A brittle upstream refused a request of the sender.
    Refused(Refusal),
    /// Responses of the versions of a service.
    Canary(Evidence),
}

/// What a note is about. Instances of an earlier version can't read a message with notes that they
/// don't know, so each kind but the first is sent in messages of its own.
#[derive(Clone, Copy, Debug, EnumIter, Eq, PartialEq)]
pub enum Subject {
    /// Departures and confirmations.
    General,
    /// Suspects.
    Suspect,
    /// Rate limits.
    Limit,
    /// Streams.
    Stream,
    /// Paths to upstreams.
    Path,
    /// Brittle upstreams.
    Brittle,
    /// Orders to move traffic to new software versions.
    Canary,
}

impl Note {
    /// What it is about.
    pub fn subject(&self) -> Subject {
        match self {
            Self::Departed(_) | Self::Confirmed(_) => Subject::General,
            Self::Suspected(_) | Self::Tried(_) | Self::Cleared(_) => Subject::Suspect,
            Self::Limited(_) => Subject::Limit,
            Self::Began(_) => Subject::Stream,
            Self::CutOff(_) => Subject::Path,
            Self::Brittle(_) | Self::Refused(_) => Subject::Brittle,
            Self::Canary(_) => Subject::Canary,
        }
    }

    /// Upper bound of its encoded size in bytes.
    pub fn size_limit(&self) -> usize {
        match self {
            Self::Suspected(suspicion) => 42 + suspicion.crashes.len() * 29,
            Self::Began(Beginnings(streams)) => 42 + streams.len() * 11,
            Self::CutOff(outage) => 84 + outage.services.len() * 9,
            Self::Canary(evidence) => 42 + evidence.rows.len() * 40,
            _ => 42,
        }
    }
}

/// The contents of one datagram.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Message {
    /// Whether the recipient forwards it to the instances in its availability zone.
    #[serde(rename = "pass_on")]
    pub forward: bool,
    /// Digests of one or several instances.
    #[serde(rename = "tallies")]
    pub digests: Vec<Digest>,
}

/// Load at one upstream.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Load {
    /// Requests that run or are queued.
    pub running: u32,
    /// Prompt tokens whose prefill is outstanding.
    #[serde(rename = "unread_tokens")]
    pub prefill_tokens: u64,
    /// Tokens that the requests occupy in memory when they complete.
    pub memory_tokens: u64,
}

impl Load {
    /// The sum of two loads.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            running: self.running + other.running,
            prefill_tokens: self.prefill_tokens + other.prefill_tokens,
            memory_tokens: self.memory_tokens + other.memory_tokens,
        }
    }

    /// Whether it differs enough from another load to be sent to hundreds of instances.
    pub fn is_far_from(self, other: Self) -> bool {
        // Plain upstreams are few and have few slots, so a single request matters.
        if self.memory_tokens == 0 && other.memory_tokens == 0 {
            return self != other;
        }
        self.prefill_tokens.abs_diff(other.prefill_tokens) >= LARGE_TOKENS
            || self.memory_tokens.abs_diff(other.memory_tokens) >= LARGE_MEMORY_TOKENS
            || self.running.abs_diff(other.running) >= LARGE_RUNNING
    }

    /// The difference of two loads; zero where it would be negative.
    #[must_use]
    pub fn minus(self, other: Self) -> Self {
        Self {
            running: self.running.saturating_sub(other.running),
            prefill_tokens: self.prefill_tokens.saturating_sub(other.prefill_tokens),
            memory_tokens: self.memory_tokens.saturating_sub(other.memory_tokens),
        }
    }
}

/// Tokens from which a prompt, or a change in an engine's outstanding prefill, is large: its
/// prefill takes about as long as the delivery of a message.
const LARGE_TOKENS: u64 = 1_000;
/// Tokens from which a change in an engine's occupied memory is large: that of a long prompt.
const LARGE_MEMORY_TOKENS: u64 = 8_000;
/// Number of requests from which a change in an engine's running requests is large.
const LARGE_RUNNING: u32 = 3;

/// A prompt that was sent to an engine, or an order to save parts to a KV cache store.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Prefill {
    /// The engine, or the store.
    pub server: ServerKey,
    /// Its parts in order, with their lengths in tokens.
    pub parts: Vec<(PartKey, u32)>,
    /// Expected time for which it occupies the engine's memory, or for which the order may be
    /// outstanding, in milliseconds; zero if the order has ended.
    pub residence_ms: u32,
}

/// Whether the prefill of these parts takes long enough to be told to hundreds of instances.
pub fn is_large(parts: &[(PartKey, u32)]) -> bool {
    parts.iter().map(|(_, tokens)| u64::from(*tokens)).sum::<u64>() >= LARGE_TOKENS
}

/// The other instances' latest digests, and their summed load by upstream.
#[derive(Debug, Default)]
pub struct Digests {
    received: FxHashMap<Incarnation, Received>,
    sums: FxHashMap<ServerKey, Load>,
}

#[derive(Debug)]
struct Received {
    at: Time,
    sequence: u64,
    loads: BTreeMap<ServerKey, Load>,
}

impl Digests {
    /// Records a digest, unless a later one of its sender was received before; returns its prefills
    /// in either case.
    pub fn receive(&mut self, now: Time, digest: Digest) -> Vec<Prefill> {
        self.expire(now);
        let known = self.received.get(&digest.incarnation).map_or(0, |received| received.sequence);
        if digest.sequence > known {
            let old = self.received.remove(&digest.incarnation);
            let mut loads = digest.loads;
            if let Some(old) = old {
                self.forget(&old);
                if !digest.is_full {
                    let changed = std::mem::replace(&mut loads, old.loads);
                    loads.extend(changed);
                    loads.retain(|_, load| *load != Load::default());
                }
            }
            for (server, load) in &loads {
                let sum = self.sums.entry(*server).or_default();
                *sum = sum.plus(*load);
            }
            let received = Received { at: now, sequence: digest.sequence, loads };
            self.received.insert(digest.incarnation, received);
        }
        digest.prefills
    }

    /// The other instances' load at one upstream.
    pub fn load(&self, server: ServerKey) -> Load {
        self.sums.get(&server).copied().unwrap_or_default()
    }

    /// Drops digests of instances that have sent none for too long.
    pub fn expire(&mut self, now: Time) {
        let old = self.received.extract_if(|_, received| now >= received.at + DIGEST_TTL);
        for (_, received) in old.collect::<Vec<_>>() {
            self.forget(&received);
        }
    }

    fn forget(&mut self, received: &Received) {
        for (server, load) in &received.loads {
            if let Some(sum) = self.sums.get_mut(server) {
                *sum = sum.minus(*load);
            }
        }
    }
}

/// A hash that is equal on all instances and spread evenly over its range.
pub fn stable_hash(value: &impl Hash) -> u64 {
    let mut hasher = FxHasher::default();
    value.hash(&mut hasher);
    // The hash alone leaves similar keys close together.
    hasher.finish().wrapping_mul(0x9E37_79B9_7F4A_7C15).rotate_left(31)
}

/// The key of an upstream.
pub fn server_key(id: &str) -> ServerKey {
    let mut hasher = FxHasher::default();
    id.hash(&mut hasher);
    hasher.finish()
}

/// The key of a part under a salt.
pub fn part_key(salt: &str, id: &str) -> PartKey {
    let mut hasher = FxHasher::default();
    salt.hash(&mut hasher);
    id.hash(&mut hasher);
    hasher.finish()
}

/// The keys of a prompt's parts under a salt, with their lengths in tokens.
pub fn part_keys(prompt: &Prompt, salt: &str) -> Vec<(PartKey, u32)> {
    prompt.parts.iter().map(|part| (part_key(salt, &part.id), part.tokens)).collect()
}
