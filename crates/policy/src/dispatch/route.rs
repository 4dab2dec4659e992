//! Where a request goes.

use acacia_catalog::id::{AdapterId, VersionId};
use rand::RngExt;

use super::event::{Import, Start, Strategy};
use super::fleet::{Member, MemberKey, PoolKey};
use super::job::Core;
use super::machine::Dispatcher;
use super::mutation::Mutation;
use crate::Time;
use crate::cache::{Candidate, Estimate, Prompt, Sources, anchor, estimate, rank};
use crate::request::Work;
use crate::snapshot::Warmth;

/// Pools up to this size are looked at whole.
const FULL_SCAN_LIMIT: usize = 64;
/// Members of a larger pool that are drawn at random.
const SAMPLE_SIZE: usize = 8;
/// Members that a history prefers.
const PREFERRED_COUNT: usize = 3;
/// Versions tried for a request that has streamed nothing.
const VERSION_LIMIT: usize = 4;
/// Prompt tokens a second of an upstream that none of has been seen.
const PREFILL_TOKENS_PER_S: f64 = 8_000.0;
/// Seconds that a request holds a slot, for the wait behind a full upstream.
const SLOT_HOLD_S: f64 = 1.0;
/// Seconds that a full batch adds to a request's first token.
const FULL_BATCH_DELAY_S: f64 = 0.02;
/// Milliseconds by which an upstream under a held permit is preferred, so that it warms.
const WARMING_BONUS_MS: f64 = 50.0;
/// Part of the estimate by which a history's preferred upstream is favoured.
const AFFINITY_BONUS: f64 = 0.1;
/// Part of the estimate that is drawn at random, so that daemons with one report part ways.
const JITTER_RATIO: f64 = 0.1;

/// What a request needs of an upstream.
pub struct Requirement {
    /// The weight version; any when absent.
    pub version: Option<VersionId>,
    /// The adapter.
    pub adapter: Option<AdapterId>,
}

impl Requirement {
    /// What a request needs under the version that it has.
    pub fn of(core: &Core) -> Self {
        Self { version: core.version.clone(), adapter: adapter(core) }
    }

    /// What it needs if it may still change its version.
    pub fn relaxed(core: &Core) -> Self {
        let version = core.version.clone().filter(|_| !may_change_version(core));
        Self { version, adapter: adapter(core) }
    }
}

/// Whether a request may go.
pub enum Choice {
    /// Along this route.
    Go(Route),
    /// Not now.
    Full,
}

/// Where and how a request goes.
pub struct Route {
    /// The upstream.
    pub member: MemberKey,
    /// The version, when it changed.
    pub version: Option<VersionId>,
    /// Whether it needs a permit.
    pub permit: bool,
    /// Blocks to import.
    pub imports: Vec<Import>,
    /// Pieces that the engine will hold.
    pub covered: usize,
    /// Prompt tokens to compute.
    pub computed: u64,
    /// How it begins.
    pub start: Start,
}

impl Member {
    /// Whether it holds what a request needs.
    pub fn satisfies(&self, now: Time, requirement: &Requirement) -> bool {
        match &requirement.version {
            Some(version) => self.holds(now, version, requirement.adapter.as_ref()),
            None => true,
        }
    }
}

/// A member that may be given a request.
struct Eligible {
    member: MemberKey,
    held: usize,
    preferred: bool,
    cold: bool,
}

impl Dispatcher {
    /// Whether any member may come to serve a pool's requests.
    pub(super) fn is_served(&self, now: Time, pool: PoolKey) -> bool {
        let members = &self.fleet.pools[pool].members;
        members.iter().any(|key| self.fleet.members[*key].warmth(now) != Warmth::Closed)
    }

    /// Chooses where a request goes now.
    pub(super) fn choose(&mut self, now: Time, core: &Core) -> Choice {
        if let Some(route) = self.resume(now, core) {
            return Choice::Go(route);
        }
        let pool = &self.fleet.pools[core.pool];
        let weight = core.weight;
        let slots = f64::from(pool.slots) / f64::from(self.fleet.daemons);
        let within = pool.queue.is_within_share(core.org, weight, slots, now);
        if core.sent == 0 && !within {
            return Choice::Full;
        }
        if let Some(route) = self.route(now, core, &Requirement::of(core)) {
            return Choice::Go(route);
        }
        if !may_change_version(core) {
            return Choice::Full;
        }
        for version in self.other_versions(now, core) {
            let requirement = Requirement { version: Some(version.clone()), adapter: None };
            if let Some(route) = self.route(now, core, &requirement) {
                return Choice::Go(Route { version: Some(version), ..route });
            }
        }
        Choice::Full
    }

    /// Back to the engine whose stream broke, if it lives.
    fn resume(&self, now: Time, core: &Core) -> Option<Route> {
        let interruption = core.interruption.as_ref().filter(|_| core.sent > 0)?;
        let member = self.fleet.members.get(interruption.member)?;
        let permit = match member.warmth(now) {
            Warmth::Warm => false,
            Warmth::Cold if !member.permits.is_empty() => true,
            _ => return None,
        };
        let is_same_process = member.incarnation == interruption.incarnation;
        let still_counted = u32::from(self.detached.contains_key(&interruption.attempt));
        if !is_same_process || member.in_flight - still_counted >= member.slots {
            return None;
        }
        let start = Start::Resume { earlier: interruption.attempt, offset: core.sent };
        Some(Route {
            member: interruption.member,
            version: None,
            permit,
            imports: Vec::new(),
            covered: core.blocks.len(),
            computed: 0,
            start,
        })
    }

    fn route(&mut self, now: Time, core: &Core, requirement: &Requirement) -> Option<Route> {
        let same_version = requirement.version == core.version;
        let options = self.eligible(now, core, requirement, same_version);
        let (member, cold, estimate, imports) = match self.strategy {
            Strategy::LeastLoaded => self.least_loaded(core, options),
            Strategy::Affinity => self.affinity(core, options),
            Strategy::TimeToFirstToken | Strategy::NoImport | Strategy::ExportAll => {
                self.cheapest(now, core, options, same_version)
            }
        }?;
        let start = match core.sent {
            0 => Start::Fresh,
            offset => Start::Continue { offset },
        };
        Some(Route {
            member,
            version: None,
            permit: cold,
            covered: estimate.imports.end,
            computed: estimate.computed as u64,
            imports,
            start,
        })
    }

    /// Members that may be given the request, with the pieces that each seems to hold.
    fn eligible(
        &mut self,
        now: Time,
        core: &Core,
        requirement: &Requirement,
        same_version: bool,
    ) -> Vec<Eligible> {
        let prefixes = match same_version {
            true => self.hints.prefixes(now, &core.blocks),
            false => Vec::new(),
        };
        let preferred = self.preferred(core);
        let mut keys: Vec<MemberKey> = prefixes.iter().map(|(key, _, _)| *key).collect();
        keys.extend(&preferred);
        self.sample_members(core.pool, &mut keys);
        let shard = self.shard(now, core).filter(|shard| core.sent == 0 && !shard.is_empty());
        if let Some(shard) = shard {
            keys = shard;
        }
        keys.sort_unstable();
        keys.dedup();
        keys.into_iter()
            .filter_map(|key| {
                let member = self.fleet.members.get(key).filter(|m| m.pool == core.pool)?;
                let cold = self.usable(now, member, requirement)?;
                let of_member = |p: &&(MemberKey, u64, usize)| {
                    p.0 == key && (member.incarnation == 0 || p.1 == member.incarnation)
                };
                let held = prefixes.iter().find(of_member).map_or(0, |p| p.2);
                let preferred = prefixes.is_empty() && preferred.first() == Some(&key);
                Some(Eligible { member: key, held, preferred, cold })
            })
            .collect()
    }

    /// Whether a member may be given a request now, and whether that takes a permit.
    fn usable(&self, now: Time, member: &Member, requirement: &Requirement) -> Option<bool> {
        let mutation = self.mutation;
        let cold = match member.warmth(now) {
            Warmth::Warm => false,
            Warmth::Cold if mutation == Some(Mutation::SkipPermits) => false,
            Warmth::Cold if !member.permits.is_empty() => true,
            Warmth::Closed | Warmth::Down if mutation == Some(Mutation::IgnoreClosed) => false,
            Warmth::Cold | Warmth::Closed | Warmth::Down => return None,
        };
        let has_slot = match cold {
            true => member.in_flight < member.slots,
            false => {
                member.has_free_slot(now, self.fleet.sharing_daemons())
                    || mutation == Some(Mutation::IgnoreSlots)
            }
        };
        let fits = has_slot && !member.is_avoided(now) && member.satisfies(now, requirement);
        fits.then_some(cold)
    }

    /// The members that a history prefers, best first.
    fn preferred(&self, core: &Core) -> Vec<MemberKey> {
        let Some(first) = core.blocks.first() else { return Vec::new() };
        self.best_ranked(core.pool, anchor(first), PREFERRED_COUNT, |_| true)
    }

    /// The few open members that an organisation with a backlog is kept to, so that the others find
    /// the rest free of it; none if it isn't kept to any.
    fn shard(&self, now: Time, core: &Core) -> Option<Vec<MemberKey>> {
        let pool = &self.fleet.pools[core.pool];
        let weight = core.weight;
        let share = pool.queue.backlogged_share(core.org, weight, now)?;
        let is_open = |key: MemberKey| {
            let member = self.fleet.members.get(key);
            member.is_some_and(|m| m.warmth(now) == Warmth::Warm)
        };
        let count = (pool.members.len() as f64 * share).ceil().max(1.0) as usize;
        Some(self.best_ranked(core.pool, u64::from(core.org), count, is_open))
    }

    /// The first `count` members by rendezvous among those that `may` be taken, best first.
    fn best_ranked(
        &self,
        pool: PoolKey,
        anchor: u64,
        count: usize,
        is_allowed: impl Fn(MemberKey) -> bool,
    ) -> Vec<MemberKey> {
        let pool = &self.fleet.pools[pool];
        let mut best: Vec<(u64, MemberKey)> = Vec::with_capacity(count + 1);
        for (seed, key) in pool.seeds.iter().zip(&pool.members) {
            let rank = rank(*seed, anchor);
            let ranks = best.len() < count || best.last().is_some_and(|(least, _)| rank > *least);
            if ranks && is_allowed(*key) {
                let at = best.partition_point(|(other, _)| *other > rank);
                best.insert(at, (rank, *key));
                best.truncate(count);
            }
        }
        best.into_iter().map(|(_, key)| key).collect()
    }

    /// Adds members to look at: all of a small pool, some of a large one, and those with permits.
    fn sample_members(&mut self, pool: PoolKey, keys: &mut Vec<MemberKey>) {
        let pool = &self.fleet.pools[pool];
        if pool.members.len() <= FULL_SCAN_LIMIT {
            keys.extend(&pool.members);
            return;
        }
        for _ in 0..SAMPLE_SIZE {
            keys.push(pool.members[self.rng.random_range(0..pool.members.len())]);
        }
        let members = &self.fleet.members;
        let permitted =
            |key: &&MemberKey| members.get(**key).is_some_and(|m| !m.permits.is_empty());
        keys.extend(pool.cold.iter().filter(permitted).take(SAMPLE_SIZE));
    }

    fn least_loaded(&mut self, core: &Core, options: Vec<Eligible>) -> Chosen {
        let members = &self.fleet.members;
        let rng = &mut self.rng;
        let load = |o: &Eligible| {
            let member = &members[o.member];
            f64::from(member.busy()) / f64::from(member.slots.max(1))
        };
        let keyed = options.into_iter().map(|o| (load(&o), rng.random::<u32>(), o));
        let least = keyed.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        least.map(|(_, _, o)| (o.member, o.cold, without_cache(core), Vec::new()))
    }

    fn affinity(&mut self, core: &Core, options: Vec<Eligible>) -> Chosen {
        for key in self.preferred(core) {
            if let Some(option) = options.iter().find(|o| o.member == key) {
                return Some((key, option.cold, without_cache(core), Vec::new()));
            }
        }
        self.least_loaded(core, options)
    }

    fn cheapest(
        &mut self,
        now: Time,
        core: &Core,
        options: Vec<Eligible>,
        same_version: bool,
    ) -> Chosen {
        let Work::Prompt(prompt) = &core.request.work else {
            return self.least_loaded(core, options);
        };
        let shape = Prompt { tokens: prompt.tokens.len(), pieces: core.blocks.len() };
        let weights = self.weights(&core.request.organisation);
        let holdings = core.holdings.clone().filter(|_| same_version);
        let stores = &self.stores;
        let mut sources = Sources::new(shape.pieces, holdings, |h| stores.zone(&h.store));
        let prior = self.prefill.at(now, PREFILL_TOKENS_PER_S);
        let mut best: Option<(f64, Eligible, Estimate)> = None;
        for option in options {
            self.price_links(now, core, option.member, &mut sources);
            let member = &self.fleet.members[option.member];
            let prefill = member.prefill.at(now, prior);
            let wait =
                expected_wait_s(member, prefill, self.fleet.daemons, self.fleet.herd_damping);
            let candidate = Candidate { held: option.held, wait, prefill };
            let found = estimate(shape, candidate, member.zone_index, &sources, weights);
            let score = self.adjust_score(&option, found.score);
            if best.as_ref().is_none_or(|(least, _, _)| score < *least) {
                best = Some((score, option, found));
            }
        }
        let (_, option, found) = best?;
        let zone_index = self.fleet.members[option.member].zone_index;
        let import = |to| sources.imports(to, found.imports.clone(), &core.blocks);
        let imports = zone_index.map(import).unwrap_or_default();
        Some((option.member, option.cold, found, imports))
    }

    /// Prices the stores' links to a member's zone, once for each zone.
    fn price_links(&mut self, now: Time, core: &Core, key: MemberKey, sources: &mut Sources) {
        let links = &mut self.links;
        if let Some(to) = self.fleet.members[key].zone_index {
            sources.price(to, |from| links.quote(now, from, to, core.org));
        }
    }

    /// Adds preference for warming and for a history's place, and the jitter against herds.
    fn adjust_score(&mut self, option: &Eligible, score: f64) -> f64 {
        let warming = if option.cold { WARMING_BONUS_MS } else { 0.0 };
        let preference = if option.preferred { AFFINITY_BONUS } else { 0.0 };
        let jitter =
            if self.fleet.herd_damping { self.rng.random::<f64>() * JITTER_RATIO } else { 0.0 };
        score * (1.0 - preference + jitter) - warming
    }

    /// Versions of the model other than the request's that upstreams hold.
    fn other_versions(&self, now: Time, core: &Core) -> Vec<VersionId> {
        let pool = &self.fleet.pools[core.pool];
        let mut versions = Vec::new();
        for member in pool.members.iter().filter_map(|key| self.fleet.members.get(*key)) {
            let Some(version) = member.version() else { continue };
            let known = Some(version) == core.version.as_ref() || versions.contains(version);
            let open = matches!(member.warmth(now), Warmth::Warm | Warmth::Cold);
            if open && !known && versions.len() < VERSION_LIMIT {
                versions.push(version.clone());
            }
        }
        versions
    }
}

/// An upstream, whether it takes a permit, what it costs and what to import.
type Chosen = Option<(MemberKey, bool, Estimate, Vec<Import>)>;

/// Seconds that a request waits at a member before its prompt is computed.
fn expected_wait_s(member: &Member, prefill: f64, daemons: u32, herd_damping: bool) -> f64 {
    let others = if herd_damping { daemons.saturating_sub(1) } else { 0 };
    let unreported_elsewhere = member.unreported().max(0) as f64 * f64::from(others);
    let busy = f64::from(member.busy()) + unreported_elsewhere;
    let slots = f64::from(member.slots.max(1));
    let queueing = (busy - slots + 1.0).max(0.0) * SLOT_HOLD_S / slots;
    let batch = (busy / slots).min(1.0) * FULL_BATCH_DELAY_S;
    queueing + batch + member.pending_tokens as f64 / prefill.max(1.0)
}

/// The estimate of a strategy that makes none.
fn without_cache(core: &Core) -> Estimate {
    let computed = match &core.request.work {
        Work::Prompt(prompt) => prompt.tokens.len(),
        Work::Call(_) => 0,
    };
    Estimate { first_token_ms: 0.0, score: 0.0, imports: 0..0, computed }
}

fn adapter(core: &Core) -> Option<AdapterId> {
    match &core.request.work {
        Work::Prompt(prompt) => prompt.adapter.clone(),
        Work::Call(_) => None,
    }
}

/// Whether a request has streamed nothing and is bound to no version by its adapter.
fn may_change_version(core: &Core) -> bool {
    core.sent == 0 && core.version.is_some() && adapter(core).is_none()
}
