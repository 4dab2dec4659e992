//! How an engine would get a prompt's parts: it has them, reads them, or fetches them from another
//! engine or from stores.

use std::time::Duration;

use rand::RngExt;

use super::call::Prompt;
use super::choice::{Chooser, PREFILL_TOKENS_PER_SECOND};
use super::configuration::EngineSpec;
use super::gossip::{PartKey, part_keys};
use super::inventory::{READ_LIMIT, Store, salt};
use super::member::Member;
use super::roster::MemberKey;
use super::view::WeightVersion;

/// What the engine that all instances rank first for a part is preferred by, in seconds, where
/// nobody holds it: two instances that read the part at one moment read it at one place.
const PRIMARY_BONUS_S: f64 = 0.010;
/// Part of a link that one fetch gets: others use it too.
const LINK_SHARE: f64 = 0.7;
/// How much longer a fetch from another zone takes.
const CROSS_ZONE_FACTOR: f64 = 2.0;
/// Cost of a fetch whose source may no longer have the part, in seconds.
const FETCH_RISK_S: f64 = 0.015;
/// Shortest time that is left to a fetch from a store; with less it would be given up half-way.
const MIN_FETCH_TIME: Duration = Duration::from_millis(600);
/// What the reading of parts that another engine holds costs besides its time, as a part of that
/// time: it keeps the engine from other prompts.
const RECOMPUTE_COST_FACTOR: f64 = 1.0;

/// How an engine would get a prompt's parts.
pub struct Access {
    /// The prompt, by its place in [`Chooser::variants`].
    pub(super) variant: usize,
    pub(super) source: Source,
    /// Time until all is there, in seconds.
    pub(super) time: f64,
    /// The same with what it keeps the engine from.
    pub(super) cost: f64,
    pub(super) prefill_tokens: u32,
}

/// Where parts come from that an engine does not hold.
pub enum Source {
    Nowhere,
    Engine(MemberKey),
    Stores,
}

/// A prompt on one version of weights.
pub struct Variant<'a> {
    pub(super) weights: WeightVersion,
    pub(super) salt: String,
    pub(super) parts: Vec<(PartKey, u32)>,
    /// Engines that hold the most of it, and how many tokens.
    pub(super) holders: Vec<(MemberKey, u32)>,
    /// The stores that hold each part.
    stores: Vec<Vec<&'a Store>>,
}

impl Chooser<'_> {
    /// The place in `variants` of the prompt on a version of weights.
    pub(super) fn variant(&mut self, weights: WeightVersion, prompt: &Prompt) -> usize {
        let known = self.variants.iter().position(|variant| variant.weights == weights);
        if let Some(known) = known {
            return known;
        }
        // Another organisation's parts are never found where one of the two is isolated, nor parts
        // made on other weights.
        let organisation = self.plan.organisation.as_ref().filter(|o| o.isolated);
        let salt = salt(weights, organisation.map(|organisation| &*organisation.name));
        let parts = part_keys(prompt, &salt);
        let point = self.rng.random::<u32>() as usize;
        let holders = self.roster.holders(&parts, point, |member| {
            self.now >= member.paused_until
                && !member.status.loading
                && !member.status.evacuated
                && member.status.lapsed.is_none()
                && member.server.service == self.plan.service
                && member.weights(&prompt.model) == Some(weights)
        });
        let stores = parts.iter().map(|(key, tokens)| {
            let stores = self.view.stores.iter().filter(|store| {
                store.inventory.parts.get(key).is_some_and(|held| held >= tokens)
                    && !self.view.evacuated.contains(&store.zone)
            });
            stores.collect()
        });
        let stores = stores.collect();
        self.variants.push(Variant { weights, salt, parts, holders, stores });
        self.variants.len() - 1
    }

    /// What has to be read at an engine, and from where the rest may come.
    pub(super) fn access(
        &self,
        key: MemberKey,
        variant: usize,
        spec: &EngineSpec,
        is_primary: bool,
    ) -> Access {
        let parts = &self.variants[variant].parts;
        let held = self.roster[key].cache.held_tokens(parts);
        let prefill_tokens = self.input_tokens().saturating_sub(held);
        let time = f64::from(prefill_tokens) / PREFILL_TOKENS_PER_SECOND;
        let cost = time - if is_primary { PRIMARY_BONUS_S } else { 0.0 };
        let plain = Access { variant, source: Source::Nowhere, time, cost, prefill_tokens };
        let stored = self.store_access(key, variant, spec);
        let elsewhere = self.engine_access(key, variant, spec, held);
        let fetched = [stored, elsewhere].into_iter().flatten();
        let Some(best) = fetched.min_by(|a, b| a.cost.total_cmp(&b.cost)) else { return plain };
        let recomputed = prefill_tokens.saturating_sub(best.prefill_tokens);
        let recompute_cost =
            f64::from(recomputed) / PREFILL_TOKENS_PER_SECOND * RECOMPUTE_COST_FACTOR;
        if best.cost >= cost + recompute_cost {
            return Access { cost: cost + recompute_cost, ..plain };
        }
        best
    }

    fn input_tokens(&self) -> u32 {
        self.plan.prompt.as_ref().map_or(0, |prompt| prompt.input_tokens)
    }

    /// A fetch of whatever another engine holds beyond this one.
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
        let time = f64::from(rest) / PREFILL_TOKENS_PER_SECOND + transfer_time + FETCH_RISK_S;
        let source = Source::Engine(source);
        Some(Access { variant, source, time, cost: time, prefill_tokens: rest })
    }

    /// A fetch of the parts that stores hold beyond this engine, as far as they follow each other.
    fn store_access(&self, key: MemberKey, variant: usize, spec: &EngineSpec) -> Option<Access> {
        // Without the servers' clock a read could not be bounded.
        if self.view.as_of + READ_LIMIT < self.now + MIN_FETCH_TIME
            || self.view.server_clock.is_none()
        {
            return None;
        }
        let zone = &self.roster[key].server.zone;
        let (mut transfer_time, mut is_useful) = (0.0, false);
        let known = self.stored(key, variant, |_, tokens, store| {
            let link = spec.link_bytes.min(store.link_bytes).max(1.0);
            transfer_time += transfer(tokens, spec, link, store.zone == *zone);
            transfer_time += store.first_byte.as_secs_f64();
            is_useful = true;
        });
        if !is_useful {
            return None;
        }
        let rest = self.input_tokens().saturating_sub(known);
        let time = f64::from(rest) / PREFILL_TOKENS_PER_SECOND + transfer_time;
        Some(Access { variant, source: Source::Stores, time, cost: time, prefill_tokens: rest })
    }

    /// Visits the parts that an engine would fetch from stores, by their place in the prompt; gives
    /// the tokens from the prompt's start on that it then has.
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

/// Time for a transfer of KV cache, in seconds.
fn transfer(tokens: u32, spec: &EngineSpec, link_bytes: f64, is_near: bool) -> f64 {
    let bytes = f64::from(tokens) * spec.token_bytes as f64;
    bytes / (link_bytes * LINK_SHARE) * if is_near { 1.0 } else { CROSS_ZONE_FACTOR }
}
