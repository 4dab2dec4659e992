//! Which instance may hold the order lease.
//!
//! The lease is renewed at the metadata store, but its duties are done at engines and KV cache stores.
//! An instance that has lost the path to them still renews the lease, so its own calls decide: after
//! calls to several peers got no answer, the holder asks a sample of engines for their reports, and
//! releases the lease if most of them don't answer. An instance acquires the lease only after most of
//! a sample have answered it. Engines that have failed answer no instance; so that the lease is not
//! passed around for them, an instance also acquires it if nobody has for [`ABSTENTION_LIMIT`], and
//! then holds it for at least as long.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use crate::Time;

/// Number of peers without an answer, or of calls in a row to one peer, from which the holder asks a
/// sample of engines. One peer may be silent for a moment by itself.
const SUSPECTED: usize = 2;
/// A path is lost if at most one in this number of a sample answers.
const LOST_DIVISOR: usize = 8;
/// Time between two samples of the holder.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which a free lease is left to instances that reach engines.
const ABSTENTION_LIMIT: Duration = Duration::from_secs(5);

/// What an instance knows about its path to engines and KV cache stores.
#[derive(Debug, Default)]
pub struct Duty {
    /// Number of unanswered calls since the last answer of each peer.
    unanswered: BTreeMap<SocketAddr, usize>,
    /// When the last sample was asked.
    sampled_at: Option<Time>,
    /// Since when the lease has been left to other instances.
    abstains_since: Option<Time>,
    /// When the lease was acquired without a path to most of a sample.
    acquired_without_path: Option<Time>,
}

/// Answers of a sample of engines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Sample {
    /// Engines asked.
    pub asked: usize,
    /// Engines that answered.
    pub answered: usize,
}

/// What the holder does next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Next {
    /// Its duties.
    Hold,
    /// Ask a sample of engines.
    Sample,
}

/// What an instance does after a sample has answered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It acquires or holds the lease.
    Hold,
    /// It leaves the lease to an instance that reaches more engines.
    Leave,
}

impl Sample {
    /// Whether half of it answered; also if there was none to ask.
    fn has_path(self) -> bool {
        self.answered * 2 >= self.asked
    }

    /// Whether hardly any answered.
    fn has_lost_path(self) -> bool {
        self.answered < self.asked && self.answered <= self.asked / LOST_DIVISOR
    }
}

impl Duty {
    /// Records that a peer answered a call.
    pub fn answered(&mut self, address: SocketAddr) {
        self.unanswered.remove(&address);
    }

    /// Records that a call to a peer got no answer.
    pub fn failed(&mut self, address: SocketAddr) {
        *self.unanswered.entry(address).or_default() += 1;
    }

    /// Whether all peers have answered the last call.
    pub fn has_answers(&self) -> bool {
        self.unanswered.is_empty()
    }

    /// What the holder does next; `peers` are all engines and KV cache stores.
    pub fn next(&mut self, now: Time, peers: impl IntoIterator<Item = SocketAddr>) -> Next {
        let peers: BTreeSet<SocketAddr> = peers.into_iter().collect();
        self.unanswered.retain(|address, _| peers.contains(address));
        let is_repeated = self.unanswered.values().any(|calls| *calls >= SUSPECTED);
        let is_suspected = is_repeated || self.unanswered.len() >= SUSPECTED;
        if !is_suspected || self.sampled_at.is_some_and(|at| now < at + SAMPLE_INTERVAL) {
            return Next::Hold;
        }
        Next::Sample
    }

    /// Whether the holder keeps the lease after a sample.
    pub fn hold(&mut self, now: Time, sample: Sample) -> Verdict {
        self.sampled_at = Some(now);
        if !sample.has_lost_path() {
            // The peers that did not answer have failed by themselves.
            self.unanswered.clear();
            self.acquired_without_path = None;
            return Verdict::Hold;
        }
        match self.acquired_without_path {
            Some(at) if now < at + ABSTENTION_LIMIT => Verdict::Hold,
            _ => Verdict::Leave,
        }
    }

    /// Whether an instance acquires the free lease after a sample.
    pub fn acquire(&mut self, now: Time, sample: Sample) -> Verdict {
        self.sampled_at = Some(now);
        let since = *self.abstains_since.get_or_insert(now);
        let has_path = sample.has_path();
        if has_path {
            self.unanswered.clear();
        }
        if !has_path && now < since + ABSTENTION_LIMIT {
            return Verdict::Leave;
        }
        self.abstains_since = None;
        self.acquired_without_path = (!has_path).then_some(now);
        Verdict::Hold
    }

    /// Records that another instance holds the lease.
    pub fn taken(&mut self) {
        self.abstains_since = None;
    }
}
