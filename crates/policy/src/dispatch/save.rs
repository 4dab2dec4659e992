//! Lookups in KV cache stores before an attempt, and exports to them after an answer.

use std::time::Duration;

use acacia_catalog::id::{Incarnation, StoreId, UpstreamId, VersionId};

use super::event::{Action, Holding, Strategy};
use super::fleet::MemberKey;
use super::job::Core;
use super::machine::Dispatcher;
use crate::Time;
use crate::cache::is_worthwhile;
use crate::request::{BLOCK_TOKENS, BlockKey};
use crate::snapshot::Warmth;

/// Most exports that wait for a link.
const PENDING_LIMIT: usize = 256;
/// Wait after which an export is dropped.
const PENDING_TIMEOUT: Duration = Duration::from_secs(20);
/// Prefill rate assumed before any sample.
const PREFILL_TOKENS_PER_S: f64 = 8_000.0;
/// Ranks of stores beyond the number of copies that are asked, for blocks that were exported while
/// a store was out of service.
const EXTRA_RANKS: u32 = 1;

/// An export that waits for its link.
pub struct Pending {
    upstream: UpstreamId,
    incarnation: Incarnation,
    member: MemberKey,
    version: VersionId,
    store: StoreId,
    blocks: Vec<BlockKey>,
    bytes: u64,
    since: Time,
}

impl Dispatcher {
    /// The stores to ask for a request's blocks; none if an engine with a free slot seems to hold
    /// them.
    pub(super) fn stores_to_ask(&self, now: Time, core: &Core) -> Vec<StoreId> {
        let imports = matches!(self.strategy, Strategy::TimeToFirstToken | Strategy::ExportAll);
        let known = core.holdings.is_some() || core.blocks.is_empty() || core.attempts > 0;
        if !imports || known || self.stores.is_empty() || self.is_held(now, core) {
            return Vec::new();
        }
        self.stores.sources(&core.blocks, self.copies(core) + EXTRA_RANKS)
    }

    /// Whether an engine with a free slot seems to hold all blocks but one or a tenth.
    fn is_held(&self, now: Time, core: &Core) -> bool {
        let daemons = self.fleet.sharing_daemons();
        let missing = (core.blocks.len() / 10).max(1);
        self.hints.prefixes(now, &core.blocks).iter().any(|(key, incarnation, length)| {
            let Some(member) = self.fleet.members.get(*key) else { return false };
            length + missing >= core.blocks.len().max(missing + 1)
                && member.incarnation == *incarnation
                && member.warmth(now) == Warmth::Warm
                && member.has_free_slot(now, daemons)
        })
    }

    fn copies(&self, core: &Core) -> u32 {
        self.profile(&core.request.organisation).map_or(1, |p| p.copies.max(1))
    }

    /// Learns from the stores' answers which blocks are stored and how often prompts recur.
    pub(super) fn learn_stored(&mut self, core: &Core, holdings: &[Holding]) {
        let mut held = vec![false; core.blocks.len()];
        for holding in holdings {
            for (held, bytes) in held.iter_mut().zip(&holding.blocks) {
                *held |= bytes.is_some();
            }
        }
        let missing = core.blocks.iter().zip(&held).filter(|(_, held)| !**held);
        missing.for_each(|(block, _)| self.saved.remove(block));
        let any = held.contains(&true);
        self.returns.count(&core.request.organisation, any);
    }

    /// Applies an engine's report of its cache.
    pub(super) fn cached(
        &mut self,
        now: Time,
        upstream: &UpstreamId,
        incarnation: Incarnation,
        stored: &[BlockKey],
        removed: &[BlockKey],
    ) {
        let Some(key) = self.fleet.member(upstream) else { return };
        for block in stored {
            self.hints.store(now, block, key, incarnation);
        }
        for block in removed {
            self.hints.remove(block, key);
        }
    }

    /// Records that an engine holds the blocks of a prompt that it answered.
    pub(super) fn remember_blocks(
        &mut self,
        now: Time,
        core: &Core,
        member: MemberKey,
        incarnation: Incarnation,
    ) {
        for block in core.blocks.iter() {
            self.hints.store(now, block, member, incarnation);
        }
    }

    /// Samples the bandwidth of the link between a store and an engine.
    pub(super) fn observe_transfer(
        &mut self,
        now: Time,
        store: &StoreId,
        upstream: &UpstreamId,
        bytes: u64,
        took: Duration,
    ) {
        let Some(key) = self.fleet.member(upstream) else { return };
        if let (Some(from), Some(to)) =
            (self.stores.zone(store), self.fleet.members[key].zone_index)
        {
            self.links.observe(now, from, to, bytes, took);
        }
    }

    /// Exports the new blocks of an answered prompt that are worth storing.
    pub(super) fn export(
        &mut self,
        now: Time,
        core: &Core,
        member: MemberKey,
        covered: usize,
        out: &mut Vec<Action>,
    ) {
        let exports = matches!(self.strategy, Strategy::TimeToFirstToken | Strategy::ExportAll);
        if !exports || core.blocks.is_empty() {
            return;
        }
        for pending in self.choose_exports(now, core, member, covered) {
            self.exports.push_back(pending);
        }
        while self.exports.len() > PENDING_LIMIT {
            self.exports.pop_front();
        }
        self.export_pending(now, out);
    }

    fn choose_exports(
        &mut self,
        now: Time,
        core: &Core,
        key: MemberKey,
        covered: usize,
    ) -> Vec<Pending> {
        let Some(version) = core.version.clone() else { return Vec::new() };
        let bytes = self.block_bytes(&version);
        let mut grouped: Vec<Pending> = Vec::new();
        for index in 0..core.blocks.len() {
            if !self.is_new(core, index, covered) {
                continue;
            }
            for store in self.stores.targets(&core.blocks, index, self.copies(core)) {
                if !self.is_worth_saving(now, core, key, &store, bytes) {
                    continue;
                }
                let position = grouped.iter().position(|p| p.store == store);
                let at = position.unwrap_or_else(|| {
                    grouped.push(self.pending(now, key, &version, store.clone()));
                    grouped.len() - 1
                });
                grouped[at].blocks.push(core.blocks[index]);
                grouped[at].bytes += bytes;
            }
            self.saved.insert(&core.blocks[index]);
        }
        grouped
    }

    fn pending(&self, now: Time, key: MemberKey, version: &VersionId, store: StoreId) -> Pending {
        let member = &self.fleet.members[key];
        Pending {
            upstream: member.name.clone(),
            incarnation: member.incarnation,
            member: key,
            version: version.clone(),
            store,
            blocks: Vec::new(),
            bytes: 0,
            since: now,
        }
    }

    /// Whether a block isn't known to be stored.
    fn is_new(&self, core: &Core, index: usize, covered: usize) -> bool {
        if self.strategy == Strategy::ExportAll {
            return true;
        }
        let stored = match &core.holdings {
            Some(holdings) => {
                holdings.iter().any(|h| h.blocks.get(index).is_some_and(Option::is_some))
            }
            None => index < covered,
        };
        !stored && !self.saved.contains(&core.blocks[index])
    }

    fn is_worth_saving(
        &mut self,
        now: Time,
        core: &Core,
        key: MemberKey,
        store: &StoreId,
        bytes: u64,
    ) -> bool {
        if self.strategy == Strategy::ExportAll {
            return true;
        }
        let organisation = &core.request.organisation;
        let weights = self.weights(organisation);
        let member = &self.fleet.members[key];
        let prefill = member.prefill.at(now, self.prefill.at(now, PREFILL_TOKENS_PER_S));
        let (Some(from), Some(to)) = (member.zone_index, self.stores.zone(store)) else {
            return false;
        };
        let Some(quote) = self.links.quote(now, from, to, core.org) else {
            return false;
        };
        let link = bytes as f64 * quote.seconds_per_byte;
        is_worthwhile(self.returns.chance(organisation), prefill, link, weights)
    }

    fn block_bytes(&self, version: &VersionId) -> u64 {
        let version = self.snapshot.set.versions.get(version);
        version.map_or(1, |v| u64::from(v.bytes_per_token)) * BLOCK_TOKENS as u64
    }

    /// Starts the exports for which their links have capacity, and drops outdated ones.
    pub(super) fn export_pending(&mut self, now: Time, out: &mut Vec<Action>) {
        for pending in std::mem::take(&mut self.exports) {
            let Some(member) = self.fleet.members.get(pending.member) else { continue };
            let is_same_process = member.incarnation == pending.incarnation;
            let (Some(from), Some(to)) = (member.zone_index, self.stores.zone(&pending.store))
            else {
                continue;
            };
            if !is_same_process || pending.since + PENDING_TIMEOUT <= now {
                continue;
            }
            match self.links.export(now, from, to, pending.bytes) {
                Some(bytes_per_second) => out.push(Action::Export {
                    upstream: pending.upstream,
                    version: pending.version,
                    blocks: pending.blocks.iter().map(|b| (*b, pending.store.clone())).collect(),
                    bytes_per_second,
                }),
                None => self.exports.push_back(pending),
            }
        }
    }
}
