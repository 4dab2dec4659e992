//! The membership that the daemons agree on.
//!
//! An epoch names the live daemons and up to five witnesses among them. It is one value in the
//! key-value service that is only replaced by compare-and-swap, so epochs are totally ordered.

use acacia_catalog::id::DaemonId;
use serde::{Deserialize, Serialize};

use crate::message::Sender;

/// Number of an epoch; later epochs have larger numbers.
pub type EpochNumber = u64;

/// Key of the epoch.
pub const EPOCH_KEY: &str = "acacia/epoch";
/// Maximum witnesses of an epoch.
const MAX_WITNESSES: usize = 5;

/// Why a call was made.
#[derive(Clone, Debug)]
pub enum Call {
    /// Wait for the epoch to change.
    Watch,
    /// Read the epoch.
    Read,
    /// Replace the epoch by this one.
    Swap(Epoch),
}

/// The members at one point in the epoch order.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Epoch {
    /// Its number; zero before the first.
    pub number: EpochNumber,
    /// The daemons, sorted by name.
    pub members: Vec<Sender>,
    /// Daemons that were members in the previous epoch only.
    pub left: Vec<Sender>,
    /// Daemons that were not members in the previous epoch.
    pub joined: Vec<DaemonId>,
    /// Daemons that confirm to holders that they know no newer epoch.
    pub witnesses: Vec<DaemonId>,
    /// Witnesses of earlier epochs whose holders may not yet know a later one.
    pub earlier: Vec<Vec<DaemonId>>,
}

impl Epoch {
    /// The member with this name.
    pub fn member(&self, daemon: &DaemonId) -> Option<&Sender> {
        let at = self.members.binary_search_by(|m| m.daemon.cmp(daemon)).ok()?;
        Some(&self.members[at])
    }

    /// The member that owns a key: the first by rendezvous hash.
    pub fn owner(&self, key: &str) -> Option<&Sender> {
        first(self.members.iter(), key)
    }

    /// The member that owned a key in the previous epoch.
    pub fn owner_before(&self, key: &str) -> Option<&Sender> {
        let stayed = self.members.iter().filter(|m| !self.joined.contains(&m.daemon));
        first(stayed.chain(&self.left), key)
    }

    /// The first `count` members for a key by rendezvous hash.
    pub fn rank(&self, key: &str, count: usize) -> Vec<&Sender> {
        rank(self.members.iter(), key, count)
    }

    /// The first `count` members for a key within one zone.
    pub fn rank_in_zone(&self, zone: &str, key: &str, count: usize) -> Vec<&Sender> {
        rank(self.members.iter().filter(|m| &*m.zone == zone), key, count)
    }

    /// Whether a member is among the first `count` for a key, not counting `without`.
    pub fn is_ranked(
        &self,
        daemon: &DaemonId,
        key: &str,
        without: &DaemonId,
        count: usize,
    ) -> bool {
        if daemon == without || self.member(daemon).is_none() {
            return false;
        }
        let key = hash(key);
        let score = |d: &DaemonId| mix(hash(d) ^ key);
        let own = (score(daemon), daemon);
        let others = self.members.iter().map(|m| &m.daemon).filter(|d| *d != without);
        others.filter(|d| (score(d), *d) > own).take(count).count() < count
    }

    /// The epoch after this one, without `leaving` and with `joining`.
    ///
    /// `settled`: a majority of the witnesses of every earlier epoch have adopted this one.
    #[must_use]
    pub fn next(&self, leaving: &[DaemonId], joining: Option<&Sender>, settled: bool) -> Self {
        let left: Vec<_> =
            self.members.iter().filter(|m| leaving.contains(&m.daemon)).cloned().collect();
        let stays = self.members.iter().filter(|m| !leaving.contains(&m.daemon));
        let mut members: Vec<_> = stays.chain(joining).cloned().collect();
        members.sort();
        members.dedup();
        let mut earlier = if settled { Vec::new() } else { self.earlier.clone() };
        if !self.witnesses.is_empty() {
            earlier.push(self.witnesses.clone());
        }
        let number = self.number + 1;
        let joined = joining.into_iter().map(|m| m.daemon.clone()).collect();
        let witnesses = witnesses(&members, number);
        Self { number, members, left, joined, witnesses, earlier }
    }
}

/// Witnesses of an epoch, distributed over the zones.
fn witnesses(members: &[Sender], number: EpochNumber) -> Vec<DaemonId> {
    let mut ranked = rank(members.iter(), &format!("witness/{number}"), members.len());
    let mut seen = std::collections::BTreeMap::new();
    // Round-robin over the zones, in rank order within each zone.
    ranked.sort_by_cached_key(|m| {
        let turn = seen.entry(m.zone.clone()).or_insert(0);
        *turn += 1;
        *turn
    });
    ranked.into_iter().take(MAX_WITNESSES).map(|m| m.daemon.clone()).collect()
}

/// Size of a majority of a group.
pub(super) fn majority(group: &[DaemonId]) -> usize {
    group.len() / 2 + 1
}

fn first<'a>(members: impl Iterator<Item = &'a Sender>, key: &str) -> Option<&'a Sender> {
    let key = hash(key);
    members.max_by_key(|m| (mix(hash(&m.daemon) ^ key), &m.daemon))
}

fn rank<'a>(members: impl Iterator<Item = &'a Sender>, key: &str, count: usize) -> Vec<&'a Sender> {
    let key = hash(key);
    let mut ranked: Vec<_> = members.collect();
    ranked
        .sort_by_cached_key(|m| std::cmp::Reverse((mix(hash(&m.daemon) ^ key), m.daemon.clone())));
    ranked.truncate(count);
    ranked
}

/// FNV-1a, for speed: up to 800 members are hashed for each upstream.
fn hash(text: &str) -> u64 {
    const BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    text.bytes().fold(BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(PRIME))
}

/// The finalizer of SplitMix64.
fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
