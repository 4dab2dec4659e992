//! How an engine would obtain the KV cache of a prompt's parts: from its own cache, by prefill, or
//! by a fetch from another engine or from cache stores.

use std::time::Duration;

use rand::RngExt;

use super::call::Prompt;
use super::choice::Chooser;
use super::configuration::EngineSpec;
use super::gossip::{PartKey, part_keys};
use super::inventory::{READ_LIMIT, Store};
use super::member::Member;
use super::roster::MemberKey;
use super::view::WeightVersion;

/// Cost reduction, in seconds, for the engine that all instances rank first for a part that no
/// engine holds: two instances that send the part at the same moment then pick the same engine.
const PRIMARY_BONUS_S: f64 = 0.010;
/// Share of a link's bandwidth available to one fetch; other transfers use the rest.
const LINK_SHARE: f64 = 0.7;
/// Factor on the transfer time of a fetch from another availability zone.
const CROSS_ZONE_FACTOR: f64 = 2.0;
/// Cost, in seconds, of the risk that another engine no longer holds the part to be fetched.
const FETCH_RISK_S: f64 = 0.015;
/// Minimum time left for a fetch from a store; with less, the fetch would be aborted midway.
const MIN_FETCH_TIME: Duration = Duration::from_millis(600);
/// Additional cost of recomputing parts that could be fetched, as a factor on the prefill time: the
/// engine serves no other prompts meanwhile.
const RECOMPUTE_COST_FACTOR: f64 = 1.0;

/// How an engine would obtain a prompt's parts.
pub struct Access {
    /// Index of the prompt in [`Chooser::variants`].
    pub(super) variant: usize,
    pub(super) source: Source,
    /// Time until all parts are present, in seconds.
    pub(super) time: f64,
    /// That time, in seconds, plus the cost of blocking other prompts.
    pub(super) cost: f64,
    pub(super) prefill_tokens: u32,
}

/// Source of parts that an engine does not hold.
pub enum Source {
    Nowhere,
    Engine(MemberKey),
    Stores,
}

/// A prompt on one version of the weights.
pub struct Variant<'a> {
    pub(super) weights: WeightVersion,
    pub(super) salt: String,
    pub(super) parts: Vec<(PartKey, u32)>,
    /// Engines that hold the most of it, with the number of tokens held.
    pub(super) holders: Vec<(MemberKey, u32)>,
    /// The stores that hold each part.
    stores: Vec<Vec<&'a Store>>,
}

impl Chooser<'_> {
    /// Index in `variants` of the prompt on a version of the weights.
    pub(super) fn variant(&mut self, weights: WeightVersion, prompt: &Prompt) -> usize {
        let known = self.variants.iter().position(|variant| variant.weights == weights);
        if let Some(known) = known {
            return known;
        }
        // The plan's organisation is as of its admission; the configuration may have isolated it since.
        let organisation = self.plan.organisation.as_ref().map(|organisation| &*organisation.name);
        let salt = self.view.configuration.namespaces.name(weights, organisation);
        let parts = part_keys(prompt, &salt);
        let point = self.rng.random::<u32>() as usize;
        let holders = self.roster.holders(&parts, point, |member| {
            self.now >= member.available_at()
                && !member.status.loading
                && !member.status.evacuated
                && member.status.expired.is_none()
                && member.server.service == self.plan.service
                && member.weights(&prompt.model) == Some(weights)
        });
        let stores = parts.iter().map(|(key, tokens)| {
            let is_settled = self.saves.is_settled(self.now, *key);
            let stores = self.view.stores.iter().filter(|store| {
                is_settled
                    && store.inventory.parts.get(key).is_some_and(|held| held >= tokens)
                    && !self.view.evacuated.contains(&store.zone)
            });
            stores.collect()
        });
        let stores = stores.collect();
        self.variants.push(Variant { weights, salt, parts, holders, stores });
        self.variants.len() - 1
    }

    /// The cheapest way for an engine to obtain the prompt's parts.
    pub(super) fn access(
        &self,
        key: MemberKey,
        variant: usize,
        spec: &EngineSpec,
        is_primary: bool,
    ) -> Access {
        let parts = &self.variants[variant].parts;
        let held = self.roster[key].cache.held_tokens(parts);
        let uncached = self.input_tokens().saturating_sub(held);
        let time = self.prefill_time(uncached);
        let cost = time - if is_primary { PRIMARY_BONUS_S } else { 0.0 };
        let plain =
            Access { variant, source: Source::Nowhere, time, cost, prefill_tokens: uncached };
        let stored = self.store_access(key, variant, spec);
        let elsewhere = self.engine_access(key, variant, spec, held);
        let fetched = [stored, elsewhere].into_iter().flatten();
        let Some(best) = fetched.min_by(|a, b| a.cost.total_cmp(&b.cost)) else { return plain };
        let recomputed = uncached.saturating_sub(best.prefill_tokens);
        let recompute_cost = self.prefill_time(recomputed) * RECOMPUTE_COST_FACTOR;
        if best.cost >= cost + recompute_cost {
            return Access { cost: cost + recompute_cost, ..plain };
        }
        best
    }

    /// Duration of a prefill, in seconds.
    fn prefill_time(&self, tokens: u32) -> f64 {
        f64::from(tokens) / self.pace.prefill_rate()
    }

    fn input_tokens(&self) -> u32 {
        self.plan.prompt.as_ref().map_or(0, |prompt| prompt.input_tokens)
    }

    /// A fetch of the parts that another engine holds and this one does not.
    fn engine_access(
        &self,
        key: MemberKey,
        variant: usize,
        spec: &EngineSpec,
        held: u32,
    ) -> Option<Access> {
        let zone = &self.roster[key].server.zone;
        let others = self.variants[variant].holders.iter().filter(|(other, _)| *other != key);
        let is_near = |other: &MemberKey| self.roster[*other].server.zone == *zone;
        let (source, found) =
            others.max_by_key(|(other, tokens)| (*tokens, is_near(other))).copied()?;
        let fetched = found.checked_sub(held).filter(|tokens| *tokens > 0)?;
        let rest = self.input_tokens().saturating_sub(found);
        let transfer_time = transfer(fetched, spec, spec.link_bytes.max(1.0), is_near(&source));
        let time = self.prefill_time(rest) + transfer_time + FETCH_RISK_S;
        let source = Source::Engine(source);
        Some(Access { variant, source, time, cost: time, prefill_tokens: rest })
    }

    /// A fetch of the parts that stores hold and this engine does not, up to the first gap.
    fn store_access(&self, key: MemberKey, variant: usize, spec: &EngineSpec) -> Option<Access> {
        // Without the servers' clock no deadline can be set for a fetch.
        if self.inventories_as_of + READ_LIMIT < self.now + MIN_FETCH_TIME
            || self.view.server_clock.is_none()
            || !self.knows_orders()
        {
            return None;
        }
        let zone = &self.roster[key].server.zone;
        let (mut transfer_time, mut delay, mut is_useful) = (0.0, 0.0_f64, false);
        let known = self.stored(key, variant, |_, tokens, store| {
            let link = spec.link_bytes.min(store.link_bytes).max(1.0);
            transfer_time += transfer(tokens, spec, link, store.zone == *zone);
            transfer_time += store.first_byte.as_secs_f64();
            delay = delay.max(self.links.delay(self.now, store.address));
            is_useful = true;
        });
        if !is_useful {
            return None;
        }
        let rest = self.input_tokens().saturating_sub(known);
        let time = self.prefill_time(rest) + transfer_time + delay;
        Some(Access { variant, source: Source::Stores, time, cost: time, prefill_tokens: rest })
    }

    /// Whether the others have told this instance which parts they save; see [`super::save`].
    fn knows_orders(&self) -> bool {
        self.view.told_from.is_some_and(|from| self.now >= from)
    }

    /// Visits the parts that an engine would fetch from stores, with their index in the prompt;
    /// returns the number of tokens at the prompt's start that it then holds.
    pub(super) fn stored(
        &self,
        key: MemberKey,
        variant: usize,
        mut visit: impl FnMut(usize, u32, &Store),
    ) -> u32 {
        let Variant { parts, stores, .. } = &self.variants[variant];
        let Member { cache, server, .. } = &self.roster[key];
        let mut known = 0;
        for (index, ((part, tokens), stores)) in parts.iter().zip(stores).enumerate() {
            if !cache.holds(*part) {
                let nearest = stores.iter().max_by_key(|store| store.zone == server.zone);
                let Some(store) = nearest else { break };
                visit(index, *tokens, store);
            }
            known += tokens;
        }
        known
    }
}

/// Duration of a transfer of KV cache, in seconds.
fn transfer(tokens: u32, spec: &EngineSpec, link_bytes: f64, is_near: bool) -> f64 {
    let bytes = f64::from(tokens) * spec.token_bytes as f64;
    bytes / (link_bytes * LINK_SHARE) * if is_near { 1.0 } else { CROSS_ZONE_FACTOR }
}
