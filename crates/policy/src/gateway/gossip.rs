//! What instances tell each other of the work that they gave to engines.
//!
//! Each instance sees a part of the callers only, and engines report late. So instances tell each
//! other, within tens of milliseconds, what they have running where and which parts of prompts they
//! sent there. A [`Digest`] that is lost or late costs a worse choice and nothing else: no promise
//! rests on it.

use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};
use std::time::Duration;

use rustc_hash::{FxHashMap, FxHasher};
use serde::{Deserialize, Serialize};

use super::call::Prompt;
use crate::Time;

/// Age from which another instance's tally no longer counts: it is told again several times within.
const DIGEST_TTL: Duration = Duration::from_millis(1_500);

/// Random id of a process's life.
pub type Incarnation = u64;
/// Short name of an upstream, the same on all instances.
pub type ServerKey = u64;
/// Short name of a part under its salt, the same on all instances.
pub type PartKey = u64;

/// One instance's word to the others.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Digest {
    /// The sender.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// Grows with each tally of a life.
    pub sequence: u64,
    /// Engines that are not named have no work of the sender; else they have what they had.
    #[serde(rename = "whole")]
    pub is_full: bool,
    /// Work that the sender has running, by engine.
    pub loads: BTreeMap<ServerKey, Load>,
    /// Prompts that it sent since its last tally.
    #[serde(rename = "reads")]
    pub prefills: Vec<Prefill>,
}

/// What one datagram holds.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Message {
    /// The instance that hears it passes it on to those of its zone.
    #[serde(rename = "pass_on")]
    pub forward: bool,
    /// Tallies of one or several instances.
    #[serde(rename = "tallies")]
    pub digests: Vec<Digest>,
}

/// Work at one engine.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Load {
    /// Requests that run or wait.
    pub running: u32,
    /// Tokens that they still have to read.
    #[serde(rename = "unread_tokens")]
    pub prefill_tokens: u64,
    /// Tokens that they hold in memory when they end.
    pub memory_tokens: u64,
}

impl Load {
    /// The work of two instances.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            running: self.running + other.running,
            prefill_tokens: self.prefill_tokens + other.prefill_tokens,
            memory_tokens: self.memory_tokens + other.memory_tokens,
        }
    }

    /// Whether it differs enough from another one to be told to hundreds.
    pub fn is_far_from(self, other: Self) -> bool {
        // Plain upstreams are few and have few slots, so one request more tells.
        if self.memory_tokens == 0 && other.memory_tokens == 0 {
            return self != other;
        }
        self.prefill_tokens.abs_diff(other.prefill_tokens) >= LARGE_TOKENS
            || self.running.abs_diff(other.running) >= LARGE_RUNNING
    }

    /// What is left of it without some work.
    #[must_use]
    pub fn minus(self, other: Self) -> Self {
        Self {
            running: self.running.saturating_sub(other.running),
            prefill_tokens: self.prefill_tokens.saturating_sub(other.prefill_tokens),
            memory_tokens: self.memory_tokens.saturating_sub(other.memory_tokens),
        }
    }
}

/// Tokens from which a prompt, or a change in the tokens that an engine has to read, is large: about
/// the time that a word takes.
const LARGE_TOKENS: u64 = 1_000;
/// Change in the requests that run at an engine from which it is large.
const LARGE_RUNNING: u32 = 3;

/// A prompt that an engine reads.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Prefill {
    /// The engine.
    pub server: ServerKey,
    /// Its parts in order.
    pub parts: Vec<(PartKey, u32)>,
}

impl Prefill {
    /// Whether it keeps an engine busy for a while.
    pub fn is_large(&self) -> bool {
        self.parts.iter().map(|(_, tokens)| u64::from(*tokens)).sum::<u64>() >= LARGE_TOKENS
    }
}

/// What the other instances told last, and its sum by engine.
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
    /// Takes a tally in, unless a later one of its sender came before; gives its reads.
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

    /// The others' work at one engine.
    pub fn load(&self, server: ServerKey) -> Load {
        self.sums.get(&server).copied().unwrap_or_default()
    }

    /// Drops what is too old to count.
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

/// A point that all instances compute alike.
pub fn stable_hash(value: &impl Hash) -> u64 {
    let mut hasher = FxHasher::default();
    value.hash(&mut hasher);
    // The last steps of the hash leave similar keys close together.
    hasher.finish().wrapping_mul(0x9E37_79B9_7F4A_7C15).rotate_left(31)
}

/// The short name of an upstream.
pub fn server_key(id: &str) -> ServerKey {
    let mut hasher = FxHasher::default();
    id.hash(&mut hasher);
    hasher.finish()
}

/// The short name of a part under its salt.
pub fn part_key(salt: &str, id: &str) -> PartKey {
    let mut hasher = FxHasher::default();
    salt.hash(&mut hasher);
    id.hash(&mut hasher);
    hasher.finish()
}

/// The short names of a prompt's parts under a salt.
pub fn part_keys(prompt: &Prompt, salt: &str) -> Vec<(PartKey, u32)> {
    prompt.parts.iter().map(|part| (part_key(salt, &part.id), part.tokens)).collect()
}
