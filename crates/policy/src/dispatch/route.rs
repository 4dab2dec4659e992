//! The choice of an upstream for a request.

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

/// Pool size up to which all members are considered.
const FULL_SCAN_LIMIT: usize = 64;
/// Members of a larger pool that are sampled at random.
const SAMPLE_SIZE: usize = 8;
/// Members preferred for a prompt's first block by rendezvous hash.
const PREFERRED_COUNT: usize = 3;
/// Other weight versions tried for a request without output.
const VERSION_LIMIT: usize = 4;
/// Prefill rate assumed before any sample.
const PREFILL_TOKENS_PER_S: f64 = 8_000.0;
/// Time that a request is assumed to hold a slot, for the wait at a full upstream.
const SLOT_HOLD_S: f64 = 1.0;
/// Time that a full batch adds to the first token.
const FULL_BATCH_DELAY_S: f64 = 0.02;
/// Advantage of a cold upstream whose permit is held, so that it warms up.
const WARMING_BONUS_MS: f64 = 50.0;
/// Advantage of the preferred upstream, as a fraction of the estimate.
const AFFINITY_BONUS: f64 = 0.1;
/// Jitter as a fraction of the estimate, so that daemons with the same report choose differently.
const JITTER_RATIO: f64 = 0.1;

/// What an upstream must hold for a request.
pub struct Requirement {
    /// The weight version; any if absent.
    pub version: Option<VersionId>,
    /// The adapter.
    pub adapter: Option<AdapterId>,
}

impl Requirement {
    /// The requirement of a request under its current version.
    pub fn of(core: &Core) -> Self {
        Self { version: core.version.clone(), adapter: adapter(core) }
    }

    /// The requirement of a request, with any version if it may still change.
    pub fn relaxed(core: &Core) -> Self {
        let version = core.version.clone().filter(|_| !may_change_version(core));
        Self { version, adapter: adapter(core) }
    }
}

/// Whether a request may be dispatched.
pub enum Choice {
    /// Dispatched by this route.
    Go(Route),
    /// No upstream may take it now.
    Full,
}

/// The upstream of a request and how it starts there.
pub struct Route {
    /// The upstream.
    pub member: MemberKey,
    /// The version, if it changes.
    pub version: Option<VersionId>,
    /// Whether it needs a permit.
    pub permit: bool,
    /// Blocks to import.
    pub imports: Vec<Import>,
    /// Blocks that the engine will hold after the imports.
    pub covered: usize,
    /// Prompt tokens to compute.
    pub computed: u64,
    /// How the attempt begins.
    pub start: Start,
}

impl Member {
    /// Whether it meets a requirement.
    pub fn satisfies(&self, now: Time, requirement: &Requirement) -> bool {
        match &requirement.version {
            Some(version) => self.holds(now, version, requirement.adapter.as_ref()),
            None => true,
        }
    }
}

/// A member that may take a request.
struct Eligible {
    member: MemberKey,
    held: usize,
    preferred: bool,
    cold: bool,
}

impl Dispatcher {
    /// Whether any member of a pool may serve requests, now or later.
    pub(super) fn is_served(&self, now: Time, pool: PoolKey) -> bool {
        let members = &self.fleet.pools[pool].members;
        members.iter().any(|key| self.fleet.members[*key].warmth(now) != Warmth::Closed)
    }

    /// Chooses an upstream for a request.
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

    /// The route back to the engine of an interrupted stream, if its process still runs.
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

    /// Members that may take the request, with the number of blocks that each seems to hold.
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

    /// Whether a member may take a request now, and whether that needs a permit.
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

    /// The members preferred for the prompt's first block, best first.
    fn preferred(&self, core: &Core) -> Vec<MemberKey> {
        let Some(first) = core.blocks.first() else { return Vec::new() };
        self.best_ranked(core.pool, anchor(first), PREFERRED_COUNT, |_| true)
    }

    /// The warm members that an organisation with a backlog is confined to, which leaves the other
    /// members free for other organisations; none if it isn't confined.
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

    /// The first `count` members by rendezvous hash among those that `is_allowed` accepts, best
    /// first.
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

    /// Adds members to consider: all of a small pool, or a sample of a large one and some with
    /// permits.
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
        let shape = Prompt { tokens: prompt.tokens.len(), blocks: core.blocks.len() };
        let weights = self.weights(&core.request.organisation);
        let holdings = core.holdings.clone().filter(|_| same_version);
        let stores = &self.stores;
        let mut sources = Sources::new(shape.blocks, holdings, |h| stores.zone(&h.store));
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

    /// Quotes the links from the stores to a member's zone, once for each zone.
    fn price_links(&mut self, now: Time, core: &Core, key: MemberKey, sources: &mut Sources) {
        let links = &mut self.links;
        if let Some(to) = self.fleet.members[key].zone_index {
            sources.price(to, |from| links.quote(now, from, to, core.org));
        }
    }

    /// Applies the advantages of cold and of preferred upstreams, and jitter against herds.
    fn adjust_score(&mut self, option: &Eligible, score: f64) -> f64 {
        let warming = if option.cold { WARMING_BONUS_MS } else { 0.0 };
        let preference = if option.preferred { AFFINITY_BONUS } else { 0.0 };
        let jitter =
            if self.fleet.herd_damping { self.rng.random::<f64>() * JITTER_RATIO } else { 0.0 };
        score * (1.0 - preference + jitter) - warming
    }

    /// Weight versions held by upstreams other than the request's.
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

/// An upstream, whether it needs a permit, the estimate and the blocks to import.
type Chosen = Option<(MemberKey, bool, Estimate, Vec<Import>)>;

/// Seconds that a request waits at a member before its prefill.
fn expected_wait_s(member: &Member, prefill: f64, daemons: u32, herd_damping: bool) -> f64 {
    let others = if herd_damping { daemons.saturating_sub(1) } else { 0 };
    let unreported_elsewhere = member.unreported().max(0) as f64 * f64::from(others);
    let busy = f64::from(member.busy()) + unreported_elsewhere;
    let slots = f64::from(member.slots.max(1));
    let queueing = (busy - slots + 1.0).max(0.0) * SLOT_HOLD_S / slots;
    let batch = (busy / slots).min(1.0) * FULL_BATCH_DELAY_S;
    queueing + batch + member.pending_tokens as f64 / prefill.max(1.0)
}

/// The estimate of a strategy that ignores the cache: the whole prompt is computed.
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

/// Whether a request may change its version: it has no output, and no adapter fixes the version.
fn may_change_version(core: &Core) -> bool {
    core.sent == 0 && core.version.is_some() && adapter(core).is_none()
}
