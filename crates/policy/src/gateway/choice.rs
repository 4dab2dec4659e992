//! Which upstream a request goes to.
//!
//! Every upstream that may take the request gets a cost: the time until its first event, in
//! seconds, as far as this instance can tell from its own work and from what the others tell. The
//! cheapest one wins. Parts that nobody holds yet go to the engine that all instances rank first by
//! the same hash, so that two instances read a new part at one place.

use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha12Rng;
use rustc_hash::{FxHashMap, FxHasher};

use super::call::{Part, Prompt};
use super::configuration::{EngineTerms, Role, Service};
use super::gossip::{Load, PartKey, Tallies, part_keys};
use super::machine::{Terms, weights_end};
use super::member::{COLD_SPAN, Member};
use super::plan::{Attempt, EngineRun, Fetch, Plan};
use super::save::Saves;
use super::stock::{READ_LIMIT, salt};
use super::view::{Server, ServerId, View, WeightVersion};
use super::window::ColdShare;
use crate::Time;

/// Tokens that an engine reads in a second: the slowest of the engines that the users' sheets name.
const READ_RATE: f64 = 51_000.0;
/// Time to the first token besides reading and waiting, in seconds, by the same sheets.
const FIRST_TOKEN: f64 = 0.050;
/// Time for one more request in an engine's batch, in seconds: what each adds to a step, over the
/// steps of a short answer.
const BATCH_STEP: f64 = 0.001;
/// Time for one request that a plain upstream has before, in seconds, divided by its slots.
const PLAIN_WORK: f64 = 0.050;
/// Way to another availability zone and back, in seconds.
const ZONE_WAY: f64 = 0.002;
/// Cost of an upstream all of whose requests fail, in aims: above any queue worth waiting in.
const FAILURE_COST: f64 = 3.0;
/// Cost of an upstream that may be gone, in aims.
const LAPSED_COST: f64 = 2.0;
/// Cost of older weights, in aims, once answers on them are worth less: a fifth to the users, where a
/// late answer loses four fifths.
const OLD_WEIGHTS_COST: f64 = 0.1;
/// How much longer than expected a prompt may wait in an engine's queue before it begins.
const WAIT_DOUBT: f64 = 2.0;
/// Time from which answers on older weights are worth less to the users.
const OLD_WEIGHTS_AGE: Duration = Duration::from_millis(1_200);
/// Cost of an engine whose memory running requests have filled, in aims.
const FULL_MEMORY_COST: f64 = 0.5;
/// Part of an engine's memory that running requests may fill.
const MEMORY_PART: f64 = 0.8;
/// Random part of a cost, in seconds, so that instances with equal beliefs spread.
const JITTER: f64 = 0.004;
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
/// Age of a view up to which parts are saved by it: an older one may not know of a store's loss.
const SAVE_LIMIT: Duration = Duration::from_millis(2_500);
/// What the reading of parts that another engine holds costs besides its time, as a part of that
/// time: it keeps the engine from other prompts.
const READ_AGAIN_COST: f64 = 1.0;
/// Silence, in aims, from which another plain upstream is tried: late enough for the slowest
/// hundredth of the answers, and early enough for a second one in time.
const PLAIN_PATIENCE: f64 = 0.6;
/// Silence, in aims, from which another engine is tried. Under load most silent engines are only
/// busy, and a second reading of the prompt makes them busier.
const STREAM_PATIENCE: f64 = 2.0;
/// Silence, in expected times, from which another upstream is tried.
const PATIENCE_EXPECTED: f64 = 3.0;
/// Pause between events from which a stream goes on elsewhere, in the pauses that callers accept.
const PAUSE_PART: f64 = 1.7;
/// Time after which an upstream that is out for an unknown time is looked at again.
const PAUSED_LOOK: Duration = Duration::from_millis(25);
/// Time within which an entry that lapsed while the store was away is back, if its upstream lives.
const LAPSE_LIMIT: Duration = Duration::from_millis(1_900);

/// What the choice came to.
pub enum Candidate {
    /// The best upstream.
    Best(Box<Attempt>),
    /// None now; one may take it then.
    Later(Time),
    /// None.
    None,
}

/// One choice.
pub struct Chooser<'a> {
    /// The time.
    pub now: Time,
    /// What the deployment allows.
    pub terms: &'a Terms,
    /// What the store says.
    pub view: &'a View,
    /// When this instance began.
    pub begun: Time,
    /// The request.
    pub plan: &'a Plan,
    /// Beliefs by upstream.
    pub members: &'a mut FxHashMap<ServerId, Member>,
    /// The others' work.
    pub tallies: &'a Tallies,
    /// Parts that are on their way to stores.
    pub saves: &'a Saves,
    /// For jitter.
    pub rng: &'a mut ChaCha12Rng,
}

/// An upstream that may take the request.
struct Offer {
    id: ServerId,
    /// What it costs, in seconds; the cheapest offer wins.
    cost: f64,
    /// Time to the first event without any queue, in seconds.
    expected: f64,
    run: Option<EngineRun>,
    unread_tokens: u64,
}

/// Whether an upstream may take the request.
enum Fitness {
    Now { lapsed: bool },
    At(Time),
    Never,
}

impl Chooser<'_> {
    /// Picks the cheapest upstream.
    pub fn choose(mut self) -> Candidate {
        let Some(service) = self.view.configuration.services.get(&self.plan.service).cloned()
        else {
            return Candidate::None;
        };
        let primary = self.primary();
        let ids: Vec<ServerId> = self.members.keys().cloned().collect();
        let mut best: Option<Offer> = None;
        let mut later: Option<Time> = None;
        for id in ids {
            match self.fitness(&service, &id) {
                Fitness::Never => {}
                Fitness::At(at) => later = Some(later.map_or(at, |other| other.min(at))),
                Fitness::Now { lapsed } => {
                    let Some(offer) = self.cost(&service, &id, lapsed, primary.as_ref()) else {
                        continue;
                    };
                    if best.as_ref().is_none_or(|best| offer.cost < best.cost) {
                        best = Some(offer);
                    }
                }
            }
        }
        match (best, later) {
            (Some(offer), _) => self.attempt(offer),
            (None, Some(at)) => Candidate::Later(at),
            (None, None) => Candidate::None,
        }
    }

    /// Whether an upstream may take the request at all.
    fn fitness(&mut self, service: &Service, id: &ServerId) -> Fitness {
        let (now, plan, view) = (self.now, self.plan, self.view);
        let Some(member) = self.members.get_mut(id) else { return Fitness::Never };
        let server = &member.server;
        let is_other = server.service != plan.service || plan.tried.contains(id);
        if is_other || server.leaving || view.evacuated.contains(&server.zone) {
            return Fitness::Never;
        }
        if view.loading.contains(id) || now < member.paused_until {
            return Fitness::At(member.paused_until.max(now + PAUSED_LOOK));
        }
        if member.own.running >= connection_share(service, view.instances) {
            return Fitness::At(now + PAUSED_LOOK);
        }
        if let (Some(rate), true) = (service.cold_rate, member.is_cold(now)) {
            // A life of this instance that ended just before may have used its share up.
            let from = self.begun + COLD_SPAN;
            if now < from {
                return Fitness::At(from);
            }
            let requests = match ColdShare::new(rate, self.terms.cold, view.instances) {
                ColdShare::Each(requests) => requests,
                ColdShare::First { instances, requests } if own_rank(view, id) < instances => {
                    requests
                }
                ColdShare::First { .. } => return Fitness::Never,
            };
            match member.cold_slot(now, requests) {
                Some(at) if at <= now => {}
                Some(at) => return Fitness::At(at),
                None => return Fitness::Never,
            }
        }
        match view.lapsed.get(id) {
            Some((_, since)) if now >= *since + LAPSE_LIMIT => Fitness::Never,
            lapsed => Fitness::Now { lapsed: lapsed.is_some() },
        }
    }

    /// The cost of an upstream, if it has the right weights.
    fn cost(
        &mut self,
        service: &Service,
        id: &ServerId,
        lapsed: bool,
        primary: Option<&ServerId>,
    ) -> Option<Offer> {
        let aim = self.plan.route.aim.as_secs_f64();
        let member = &self.members[id];
        let load = member.own.plus(self.tallies.load(member.key));
        let delay = member.delay(self.now);
        let mut cost = self.rng.random::<f64>() * JITTER;
        cost += member.failure_share(self.now) * FAILURE_COST * aim;
        cost += if lapsed { LAPSED_COST * aim } else { 0.0 };
        cost += if member.server.zone == self.terms.zone { 0.0 } else { ZONE_WAY };
        let (Role::Engine(terms), Some(prompt)) = (&service.role, &self.plan.prompt) else {
            let slots = f64::from(member.server.slots.max(1));
            cost += delay + PLAIN_WORK * f64::from(load.running) / slots;
            let expected = aim / 2.0 + delay;
            return Some(Offer { id: id.clone(), cost, expected, run: None, unread_tokens: 0 });
        };
        let wait = delay.max(load.unread_tokens as f64 / READ_RATE);
        let (weights, stale) = self.weights(member, prompt, wait)?;
        cost += if stale { OLD_WEIGHTS_COST * aim } else { 0.0 };
        cost += BATCH_STEP * f64::from(load.running);
        cost += wait;
        cost += if is_full(load, prompt, terms) { FULL_MEMORY_COST * aim } else { 0.0 };
        let salt = self.salt(weights);
        let parts = part_keys(prompt, &salt);
        let reading = self.reading(member, prompt, &parts, terms, primary);
        cost += reading.cost;
        let run = EngineRun {
            model: prompt.model.clone(),
            weights,
            salt,
            fetch: reading.fetch,
            // Only the chosen engine is told what to save.
            save: Vec::new(),
            rank: self.plan.rank(),
        };
        let expected = FIRST_TOKEN + reading.time;
        Some(Offer {
            id: id.clone(),
            cost,
            expected,
            run: Some(run),
            unread_tokens: reading.unread_tokens,
        })
    }

    /// The weights that an engine is believed to have, and whether answers on them are worth less;
    /// nothing if a prompt that waits for `wait` seconds may no longer begin on them.
    fn weights(
        &self,
        member: &Member,
        prompt: &Prompt,
        wait: f64,
    ) -> Option<(WeightVersion, bool)> {
        let known = member.weights(&prompt.model)?;
        let wanted = self.view.weights.get(&prompt.model);
        let Some(outdated) = wanted.and_then(|wanted| wanted.outdated(known)) else {
            return Some((known, false));
        };
        let begins = self.now + Duration::from_secs_f64(wait * WAIT_DOUBT);
        if begins >= weights_end(outdated, self.terms) {
            return None;
        }
        Some((known, self.now >= outdated + OLD_WEIGHTS_AGE))
    }

    /// What has to be read at an engine, and from where the rest may come.
    fn reading(
        &self,
        member: &Member,
        prompt: &Prompt,
        parts: &[(PartKey, u32)],
        terms: &EngineTerms,
        primary: Option<&ServerId>,
    ) -> Reading {
        let held = member.cache.held_tokens(parts);
        let unread = prompt.input_tokens.saturating_sub(held);
        let is_primary = primary == Some(&member.server.id);
        let time = f64::from(unread) / READ_RATE;
        let cost = time - if is_primary { PRIMARY_GAIN } else { 0.0 };
        let plain = Reading { time, cost, fetch: Fetch::None, unread_tokens: unread.into() };
        let stored = self.store_fetch(member, prompt, parts, terms);
        let elsewhere = self.engine_fetch(member, prompt, parts, terms, held);
        let fetched = [stored, elsewhere].into_iter().flatten();
        let Some(best) = fetched.min_by(|a, b| a.cost.total_cmp(&b.cost)) else { return plain };
        let again = unread.saturating_sub(u32::try_from(best.unread_tokens).unwrap_or(u32::MAX));
        let again = f64::from(again) / READ_RATE * READ_AGAIN_COST;
        if best.cost >= cost + again {
            return Reading { cost: cost + again, ..plain };
        }
        best
    }

    /// A fetch of whatever another engine holds beyond this one.
    fn engine_fetch(
        &self,
        member: &Member,
        prompt: &Prompt,
        parts: &[(PartKey, u32)],
        terms: &EngineTerms,
        held: u32,
    ) -> Option<Reading> {
        let (source, found) = self.source(member, prompt, parts)?;
        let fetched = found.checked_sub(held).filter(|tokens| *tokens > 0)?;
        let rest = prompt.input_tokens.saturating_sub(found);
        let link = terms.link_bytes.max(1.0);
        let way = transfer(fetched, terms, link, source.server.zone == member.server.zone);
        let time = f64::from(rest) / READ_RATE + way + FETCH_RISK;
        let fetch = Fetch::Engine(source.server.address);
        Some(Reading { time, cost: time, fetch, unread_tokens: rest.into() })
    }

    /// A fetch of the parts that stores hold beyond this engine, as far as they follow each other.
    fn store_fetch(
        &self,
        member: &Member,
        prompt: &Prompt,
        parts: &[(PartKey, u32)],
        terms: &EngineTerms,
    ) -> Option<Reading> {
        let view = self.view;
        let until = view.heard + READ_LIMIT;
        if until < self.now + LEAST_FETCH {
            return None;
        }
        let until = view.server_time(until)?;
        let mut sources = vec![None; parts.len()];
        let (mut known, mut way) = (0, 0.0);
        for ((key, tokens), source) in parts.iter().zip(&mut sources) {
            if !member.cache.holds(*key) {
                let shelves = view.shelves.iter().filter(|shelf| {
                    shelf.stock.parts.get(key).is_some_and(|held| held >= tokens)
                        && !view.evacuated.contains(&shelf.zone)
                });
                let zone = &member.server.zone;
                let Some(shelf) = shelves.max_by_key(|shelf| shelf.zone == *zone) else { break };
                let link = terms.link_bytes.min(shelf.link_bytes).max(1.0);
                way += transfer(*tokens, terms, link, shelf.zone == *zone);
                way += shelf.first_byte.as_secs_f64();
                *source = Some(shelf.address);
            }
            known += tokens;
        }
        if sources.iter().all(Option::is_none) {
            return None;
        }
        let rest = prompt.input_tokens.saturating_sub(known);
        let time = f64::from(rest) / READ_RATE + way;
        let fetch = Fetch::Stores { sources, until };
        Some(Reading { time, cost: time, fetch, unread_tokens: rest.into() })
    }

    /// The stores that the engine is to save the prompt's shared parts to.
    fn saves(&self, prompt: &Prompt, parts: &[(PartKey, u32)]) -> Vec<Option<SocketAddr>> {
        let is_fresh = self.now < self.view.heard + SAVE_LIMIT;
        let shared = if is_fresh { prompt.shared().len() } else { 0 };
        let shelves = &self.view.shelves;
        let store = |part: &(PartKey, u32)| self.saves.store(self.now, *part, shelves);
        let mut stores: Vec<_> = parts[..shared.min(parts.len())].iter().map(store).collect();
        if stores.iter().all(Option::is_none) {
            return Vec::new();
        }
        stores.resize(parts.len(), None);
        stores
    }

    /// The engine that holds the most of a prompt, beside the one that would read it.
    fn source(
        &self,
        reader: &Member,
        prompt: &Prompt,
        parts: &[(PartKey, u32)],
    ) -> Option<(&Member, u32)> {
        let usable = self.members.values().filter(|member| {
            let server = &member.server;
            server.service == reader.server.service
                && server.id != reader.server.id
                && self.now >= member.paused_until
                && !self.view.loading.contains(&server.id)
                && !self.view.lapsed.contains_key(&server.id)
                && !self.view.evacuated.contains(&server.zone)
                && member.weights(&prompt.model) == reader.weights(&prompt.model)
        });
        let held = usable.map(|member| (member, member.cache.held_tokens(parts)));
        held.filter(|(_, tokens)| *tokens > 0)
            .max_by_key(|(member, tokens)| (*tokens, member.server.zone == reader.server.zone))
    }

    /// The engine that all instances rank first for the longest shared part.
    fn primary(&self) -> Option<ServerId> {
        let part = self.plan.prompt.as_ref()?.shared().iter().max_by_key(|part| part.tokens)?;
        let view = self.view;
        let usable = self.members.values().map(|member| &member.server).filter(|server| {
            server.service == self.plan.service
                && !server.leaving
                && !view.evacuated.contains(&server.zone)
        });
        usable.max_by_key(|server| affinity(part, server)).map(|server| server.id.clone())
    }

    /// Name space of cached parts: another organisation's parts are never found where one of the
    /// two is isolated, nor parts made on other weights.
    fn salt(&self, weights: WeightVersion) -> String {
        let organisation = self.plan.organisation.as_ref().filter(|o| o.isolated);
        salt(weights, organisation.map(|organisation| &*organisation.name))
    }

    /// The attempt at the chosen upstream.
    fn attempt(self, mut offer: Offer) -> Candidate {
        if let (Some(prompt), Some(run)) = (&self.plan.prompt, &mut offer.run) {
            run.save = self.saves(prompt, &part_keys(prompt, &run.salt));
        }
        let member = &self.members[&offer.id];
        let route = &self.plan.route;
        let runs_left = route.attempts.saturating_sub(self.plan.runs + 1);
        let is_last = !route.repeat.is_repeatable() || runs_left == 0;
        let aims = if route.repeat.is_stream() { STREAM_PATIENCE } else { PLAIN_PATIENCE };
        let seconds = (route.aim.as_secs_f64() * aims)
            .max((offer.expected + member.delay(self.now)) * PATIENCE_EXPECTED);
        let patience = (!is_last).then(|| Duration::from_secs_f64(seconds));
        let pause = route.pause.filter(|_| !is_last).map(|pause| pause.mul_f64(PAUSE_PART));
        Candidate::Best(Box::new(Attempt {
            server: member.server.clone(),
            engine: offer.run,
            patience,
            pause,
            expected: Duration::from_secs_f64(offer.expected),
            unread_tokens: offer.unread_tokens,
            sent: self.now,
            cold: member.is_cold(self.now),
        }))
    }
}

/// What an engine has to read.
struct Reading {
    /// Time until all is read, in seconds.
    time: f64,
    /// The same with what it keeps the engine from.
    cost: f64,
    fetch: Fetch,
    unread_tokens: u64,
}

/// How many instances come before this one at an upstream, by a hash that all compute alike.
fn own_rank(view: &View, id: &ServerId) -> usize {
    let rank = |address: &SocketAddr| {
        let mut hasher = FxHasher::default();
        address.hash(&mut hasher);
        id.hash(&mut hasher);
        spread(hasher.finish())
    };
    let Some(own) = view.own.as_ref().map(rank) else { return usize::MAX };
    view.peers.iter().filter(|peer| rank(peer) > own).count()
}

/// Spreads a hash whose last steps leave similar keys close together.
fn spread(hash: u64) -> u64 {
    hash.wrapping_mul(0x9E37_79B9_7F4A_7C15).rotate_left(31)
}

/// Connections that this instance may open to one upstream.
fn connection_share(service: &Service, instances: u32) -> u32 {
    service.connections.map_or(u32::MAX, |all| (all / instances.max(1)).max(1))
}

/// Time for a transfer of KV cache, in seconds.
fn transfer(tokens: u32, terms: &EngineTerms, link_bytes: f64, is_near: bool) -> f64 {
    let bytes = f64::from(tokens) * terms.token_bytes as f64;
    bytes / (link_bytes * LINK_PART) * if is_near { 1.0 } else { ACROSS }
}

/// Whether requests fill an engine's memory.
fn is_full(load: Load, prompt: &Prompt, terms: &EngineTerms) -> bool {
    let needed = load.memory_tokens + prompt.memory_tokens();
    load.running > 0 && needed as f64 > terms.memory_tokens as f64 * MEMORY_PART
}

/// Rank of an upstream for a part; the same on all instances.
fn affinity(part: &Part, server: &Server) -> u64 {
    let mut hasher = FxHasher::default();
    part.id.hash(&mut hasher);
    server.id.hash(&mut hasher);
    spread(hasher.finish())
}
