//! How an engine would get a prompt's parts: it has them, reads them, or fetches them from another
//! engine or from stores.

use std::time::Duration;

use rand::RngExt;

use super::call::Prompt;
use super::choice::{Chooser, READ_RATE};
use super::configuration::EngineTerms;
use super::gossip::{PartKey, part_keys};
use super::member::Member;
use super::roster::MemberKey;
use super::stock::{READ_LIMIT, Shelf, salt};
use super::view::WeightVersion;

/// What the engine that all instances rank first for a part is preferred by, in seconds, where
/// nobody holds it: two instances that read the part at one moment read it at one place.
const PRIMARY_GAIN: f64 = 0.010;
/// Part of a link that one fetch gets: others use it too.
const LINK_PART: f64 = 0.7;
/// How much longer a fetch from another zone takes.
const ACROSS: f64 = 2.0;
/// Cost of a fetch whose source may no longer have the part, in seconds.
const FETCH_RISK: f64 = 0.015;
/// Shortest time that is left to a fetch from a store; with less it would be given up half-way.
const LEAST_FETCH: Duration = Duration::from_millis(600);
/// What the reading of parts that another engine holds costs besides its time, as a part of that
/// time: it keeps the engine from other prompts.
const READ_AGAIN_COST: f64 = 1.0;

/// How an engine would get a prompt's parts.
pub struct Access {
    /// The prompt, by its place in [`Chooser::readings`].
    pub(super) reading: usize,
    pub(super) source: Source,
    /// Time until all is there, in seconds.
    pub(super) time: f64,
    /// The same with what it keeps the engine from.
    pub(super) cost: f64,
    pub(super) unread_tokens: u32,
}

/// Where parts come from that an engine does not hold.
pub enum Source {
    Nowhere,
    Engine(MemberKey),
    Stores,
}

/// A prompt on one version of weights.
pub struct Reading<'a> {
    pub(super) weights: WeightVersion,
    pub(super) salt: String,
    pub(super) parts: Vec<(PartKey, u32)>,
    /// Engines that hold the most of it, and how many tokens.
    pub(super) holders: Vec<(MemberKey, u32)>,
    /// The stores that hold each part.
    shelves: Vec<Vec<&'a Shelf>>,
}

impl Chooser<'_> {
    /// The place in `readings` of the prompt on a version of weights.
    pub(super) fn reading(&mut self, weights: WeightVersion, prompt: &Prompt) -> usize {
        let known = self.readings.iter().position(|reading| reading.weights == weights);
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
                && !member.standing.loading
                && !member.standing.evacuated
                && member.standing.lapsed.is_none()
                && member.server.service == self.plan.service
                && member.weights(&prompt.model) == Some(weights)
        });
        let shelves = parts.iter().map(|(key, tokens)| {
            let shelves = self.view.shelves.iter().filter(|shelf| {
                shelf.stock.parts.get(key).is_some_and(|held| held >= tokens)
                    && !self.view.evacuated.contains(&shelf.zone)
            });
            shelves.collect()
        });
        let shelves = shelves.collect();
        self.readings.push(Reading { weights, salt, parts, holders, shelves });
        self.readings.len() - 1
    }

    /// What has to be read at an engine, and from where the rest may come.
    pub(super) fn access(
        &self,
        key: MemberKey,
        reading: usize,
        terms: &EngineTerms,
        is_primary: bool,
    ) -> Access {
        let parts = &self.readings[reading].parts;
        let held = self.roster[key].cache.held_tokens(parts);
        let unread = self.input_tokens().saturating_sub(held);
        let time = f64::from(unread) / READ_RATE;
        let cost = time - if is_primary { PRIMARY_GAIN } else { 0.0 };
        let plain = Access { reading, source: Source::Nowhere, time, cost, unread_tokens: unread };
        let stored = self.store_access(key, reading, terms);
        let elsewhere = self.engine_access(key, reading, terms, held);
        let fetched = [stored, elsewhere].into_iter().flatten();
        let Some(best) = fetched.min_by(|a, b| a.cost.total_cmp(&b.cost)) else { return plain };
        let again = unread.saturating_sub(best.unread_tokens);
        let again = f64::from(again) / READ_RATE * READ_AGAIN_COST;
        if best.cost >= cost + again {
            return Access { cost: cost + again, ..plain };
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
        reading: usize,
        terms: &EngineTerms,
        held: u32,
    ) -> Option<Access> {
        let zone = &self.roster[key].server.zone;
        let others = self.readings[reading].holders.iter().filter(|(other, _)| *other != key);
        let is_near = |other: &MemberKey| self.roster[*other].server.zone == *zone;
        let (source, found) =
            others.max_by_key(|(other, tokens)| (*tokens, is_near(other))).copied()?;
        let fetched = found.checked_sub(held).filter(|tokens| *tokens > 0)?;
        let rest = self.input_tokens().saturating_sub(found);
        let way = transfer(fetched, terms, terms.link_bytes.max(1.0), is_near(&source));
        let time = f64::from(rest) / READ_RATE + way + FETCH_RISK;
        let source = Source::Engine(source);
        Some(Access { reading, source, time, cost: time, unread_tokens: rest })
    }

    /// A fetch of the parts that stores hold beyond this engine, as far as they follow each other.
    fn store_access(&self, key: MemberKey, reading: usize, terms: &EngineTerms) -> Option<Access> {
        // Without the servers' clock a read could not be bounded.
        if self.view.heard + READ_LIMIT < self.now + LEAST_FETCH || self.view.server_clock.is_none()
        {
            return None;
        }
        let zone = &self.roster[key].server.zone;
        let (mut way, mut is_useful) = (0.0, false);
        let known = self.stored(key, reading, |_, tokens, shelf| {
            let link = terms.link_bytes.min(shelf.link_bytes).max(1.0);
            way += transfer(tokens, terms, link, shelf.zone == *zone);
            way += shelf.first_byte.as_secs_f64();
            is_useful = true;
        });
        if !is_useful {
            return None;
        }
        let rest = self.input_tokens().saturating_sub(known);
        let time = f64::from(rest) / READ_RATE + way;
        Some(Access { reading, source: Source::Stores, time, cost: time, unread_tokens: rest })
    }

    /// Visits the parts that an engine would fetch from stores, by their place in the prompt; gives
    /// the tokens from the prompt's start on that it then has.
    pub(super) fn stored(
        &self,
        key: MemberKey,
        reading: usize,
        mut visit: impl FnMut(usize, u32, &Shelf),
    ) -> u32 {
        let Reading { parts, shelves, .. } = &self.readings[reading];
        let Member { cache, server, .. } = &self.roster[key];
        let mut known = 0;
        for (place, ((part, tokens), shelves)) in parts.iter().zip(shelves).enumerate() {
            if !cache.holds(*part) {
                let nearest = shelves.iter().max_by_key(|shelf| shelf.zone == server.zone);
                let Some(shelf) = nearest else { break };
                visit(place, *tokens, shelf);
            }
            known += tokens;
        }
        known
    }
}

/// Time for a transfer of KV cache, in seconds.
fn transfer(tokens: u32, terms: &EngineTerms, link_bytes: f64, is_near: bool) -> f64 {
    let bytes = f64::from(tokens) * terms.token_bytes as f64;
    bytes / (link_bytes * LINK_PART) * if is_near { 1.0 } else { ACROSS }
}
