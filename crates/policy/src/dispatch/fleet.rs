//! The state of upstreams: the indexed snapshot and what this daemon has observed itself.
//!
//! Members are grouped in pools by what they serve. The index is rebuilt when the configuration
//! changes; other snapshots only update the status of members.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use acacia_catalog::Set;
use acacia_catalog::id::{
    AdapterId, Incarnation, ModelId, ServiceId, UpstreamId, VersionId, ZoneId,
};
use acacia_catalog::object::{AdminState, Role, Upstream};
use rustc_hash::FxHashMap;
use slotmap::{SlotMap, new_key_type};

use super::queue::Queue;
use crate::Time;
use crate::cache::{Links, Rate, ZoneIndex, rank};
use crate::control::Permit;
use crate::request::{Request, Work};
use crate::snapshot::{Load, Snapshot, Standing, Warmth};

/// Age from which a load report is ignored.
const LOAD_MAX_AGE: Duration = Duration::from_secs(3);
/// Starts and ends of own requests remembered for each member since its last report.
const RECENT_CHANGES_LIMIT: usize = 256;
/// How long a leaving notice is valid if no snapshot confirms it.
const LEAVING_NOTICE_TTL: Duration = Duration::from_secs(30);

new_key_type! {
    /// Key of a member.
    pub struct MemberKey;
    /// Key of a pool.
    pub struct PoolKey;
}

/// What the members of one pool serve.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Target {
    /// A model.
    Model(ModelId),
    /// A plain service.
    Service(ServiceId),
}

impl Target {
    /// The target of a request.
    pub fn of(request: &Request) -> Self {
        match &request.work {
            Work::Prompt(prompt) => Self::Model(prompt.model.clone()),
            Work::Call(call) => Self::Service(call.service.clone()),
        }
    }

    fn served(role: &Role) -> Self {
        match role {
            Role::Engine { model, .. } => Self::Model(model.clone()),
            Role::Service { service } => Self::Service(service.clone()),
        }
    }
}

/// All upstreams and pools.
#[derive(Default)]
pub struct Fleet {
    /// Members by key.
    pub members: SlotMap<MemberKey, Member>,
    /// Pools by key.
    pub pools: SlotMap<PoolKey, Pool>,
    /// Live daemons that share the upstreams; at least one.
    pub daemons: u32,
    /// Makes this daemon's random draws differ from those of other daemons.
    salt: u64,
    /// Whether free slots in a load report are divided among daemons, against herds.
    pub herd_damping: bool,
    by_name: FxHashMap<UpstreamId, MemberKey>,
    by_target: FxHashMap<Target, PoolKey>,
    set: Arc<Set>,
}

impl Fleet {
    /// A fleet without upstreams; `salt` makes this daemon's random draws differ from others'.
    pub fn new(salt: u64) -> Self {
        Self { salt, herd_damping: true, ..Self::default() }
    }

    /// Applies a snapshot whose zones are indexed by `links`; returns permits that became unusable.
    pub fn refresh(&mut self, snapshot: &Snapshot, links: &Links) -> Vec<Permit> {
        if !Arc::ptr_eq(&self.set, &snapshot.set) {
            self.rebuild(&snapshot.set);
            for member in self.members.values_mut() {
                member.zone_index = links.zone_index(&member.zone);
            }
        }
        self.daemons = u32::try_from(snapshot.daemons.len()).unwrap_or(u32::MAX).max(1);
        let unknown = Standing::default();
        let sharing = self.sharing();
        let mut unusable = Vec::new();
        for member in self.members.values_mut() {
            let standing = snapshot.upstreams.get(&member.name).unwrap_or(&unknown);
            member.refresh(standing, sharing, &mut unusable);
        }
        self.recount_pools();
        unusable
    }

    /// The pool that serves `target`.
    pub fn pool(&self, target: &Target) -> Option<PoolKey> {
        self.by_target.get(target).copied()
    }

    /// The member of that name.
    pub fn member(&self, name: &UpstreamId) -> Option<MemberKey> {
        self.by_name.get(name).copied()
    }

    /// Applies a load report; returns the upstream's pool.
    pub fn report(&mut self, name: &UpstreamId, load: Load) -> Option<PoolKey> {
        let key = self.member(name)?;
        let sharing = self.sharing();
        let member = &mut self.members[key];
        let before = member.free_slots();
        member.report(load, sharing);
        let (pool, after) = (member.pool, member.free_slots());
        self.pools[pool].recount(before, after);
        Some(pool)
    }

    /// Daemons among which free slots are divided.
    pub fn sharing_daemons(&self) -> u32 {
        if self.herd_damping { self.daemons } else { 1 }
    }

    fn sharing(&self) -> Sharing {
        Sharing { daemons: self.sharing_daemons(), salt: self.salt }
    }

    /// Counts the start of a request on a member.
    pub fn begin(&mut self, key: MemberKey, now: Time) {
        self.adjust_in_flight(key, now, 1);
    }

    /// Counts the end of a request on a member.
    pub fn finish(&mut self, key: MemberKey, now: Time) {
        self.adjust_in_flight(key, now, -1);
        let member = &self.members[key];
        if member.removed && member.in_flight == 0 {
            self.by_name.remove(&member.name);
            self.members.remove(key);
        }
    }

    fn adjust_in_flight(&mut self, key: MemberKey, now: Time, by: i32) {
        let member = &mut self.members[key];
        let before = member.free_slots();
        member.adjust_in_flight(now, by);
        let (pool, after) = (member.pool, member.free_slots());
        self.pools[pool].recount(before, after);
    }

    fn rebuild(&mut self, set: &Arc<Set>) {
        self.set = Arc::clone(set);
        for pool in self.pools.values_mut() {
            pool.members.clear();
            pool.seeds.clear();
        }
        for member in self.members.values_mut() {
            member.removed = true;
        }
        for upstream in set.upstreams.values() {
            self.add_upstream(upstream, set);
        }
        let removable: Vec<MemberKey> = self
            .members
            .iter()
            .filter(|(_, m)| m.removed && m.in_flight == 0 && m.permits.is_empty())
            .map(|(key, _)| key)
            .collect();
        for key in removable {
            let member = self.members.remove(key).expect("key was just listed");
            self.by_name.remove(&member.name);
        }
    }

    fn add_upstream(&mut self, upstream: &Upstream, set: &Set) {
        let target = Target::served(&upstream.role);
        let pool = match self.by_target.get(&target) {
            Some(pool) => *pool,
            None => {
                let pool = self.pools.insert(Pool::default());
                self.by_target.insert(target, pool);
                pool
            }
        };
        let key = match self.by_name.get(&upstream.name) {
            Some(key) => *key,
            None => {
                let key = self.members.insert(Member::new(upstream, pool));
                self.by_name.insert(upstream.name.clone(), key);
                key
            }
        };
        let zone_out = set.zones.get(&upstream.zone).is_some_and(|z| z.state == AdminState::Out);
        let member = &mut self.members[key];
        member.configure(upstream, pool);
        member.out_of_service = zone_out || upstream.state == AdminState::Out;
        let seed = member.seed;
        self.pools[pool].members.push(key);
        self.pools[pool].seeds.push(seed);
    }

    fn recount_pools(&mut self) {
        for pool in self.pools.values_mut() {
            pool.slots = 0;
            pool.free = 0;
            pool.cold.clear();
            for key in &pool.members {
                let member = &self.members[*key];
                match member.warmth {
                    Warmth::Warm => pool.slots += member.slots,
                    Warmth::Cold => pool.cold.push(*key),
                    Warmth::Closed | Warmth::Down => {}
                }
                pool.free += member.free_slots();
            }
        }
    }
}

/// The upstreams that serve one target, and the requests that wait for them.
#[derive(Default)]
pub struct Pool {
    /// Its members.
    pub members: Vec<MemberKey>,
    /// The members' rendezvous hash seeds, in the same order.
    pub seeds: Vec<u64>,
    /// Members in cold start.
    pub cold: Vec<MemberKey>,
    /// Slots of warm members.
    pub slots: u32,
    /// Slots of warm members that seem free.
    pub free: u32,
    /// Requests that wait.
    pub queue: Queue,
}

impl Pool {
    fn recount(&mut self, before: u32, after: u32) {
        self.free = (self.free + after).saturating_sub(before);
    }
}

/// How daemons divide the free slots of a load report.
///
/// All daemons receive the same late report. Each takes an equal share of the free slots and rounds
/// it at random, so that together they start about as many requests as there are free slots.
#[derive(Clone, Copy)]
struct Sharing {
    daemons: u32,
    salt: u64,
}

impl Sharing {
    /// A pseudo-random number from 0 to 1, different for each daemon and report.
    fn draw(self, seed: u64, sampled_at: Time) -> f64 {
        let sampled_at_ns = u64::try_from(sampled_at.as_nanos()).unwrap_or(u64::MAX);
        rank(seed ^ self.salt, sampled_at_ns) as f64 / u64::MAX as f64
    }
}

/// One upstream.
pub struct Member {
    /// Its name.
    pub name: UpstreamId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Index of its zone.
    pub zone_index: Option<ZoneIndex>,
    /// The pool it serves.
    pub pool: PoolKey,
    /// Requests it runs at once.
    pub slots: u32,
    /// Its incarnation; zero if unknown.
    pub incarnation: Incarnation,
    /// Requests of this daemon that run there.
    pub in_flight: u32,
    /// Prompt tokens to compute for this daemon's requests there without a first byte.
    pub pending_tokens: u64,
    /// Permits held, with the time of receipt.
    pub permits: Vec<(Permit, Time)>,
    /// Permits received recently, to ignore duplicate messages.
    pub seen_permits: Vec<Permit>,
    /// When permits may next be asked for.
    pub ask_permit_after: Time,
    /// Observed prefill rate in prompt tokens per second.
    pub prefill: Rate,
    /// Rendezvous hash seed, from its name.
    pub seed: u64,
    warmth: Warmth,
    adapters: Vec<AdapterId>,
    load: Option<Load>,
    recent_changes: VecDeque<(Time, i32)>,
    unreported: i32,
    share_limit: u32,
    avoid_until: Time,
    cold_until: Time,
    leaving: Option<(Incarnation, Time)>,
    wrong_version: Option<(VersionId, Time)>,
    out_of_service: bool,
    removed: bool,
}

impl Member {
    fn new(upstream: &Upstream, pool: PoolKey) -> Self {
        Self {
            name: upstream.name.clone(),
            zone: upstream.zone.clone(),
            zone_index: None,
            pool,
            slots: upstream.slots,
            incarnation: 0,
            in_flight: 0,
            pending_tokens: 0,
            permits: Vec::new(),
            seen_permits: Vec::new(),
            ask_permit_after: Time::ZERO,
            prefill: Rate::default(),
            seed: crate::cache::seed(&upstream.name),
            warmth: Warmth::Cold,
            adapters: Vec::new(),
            load: None,
            recent_changes: VecDeque::new(),
            unreported: 0,
            share_limit: 0,
            avoid_until: Time::ZERO,
            cold_until: Time::ZERO,
            leaving: None,
            wrong_version: None,
            out_of_service: false,
            removed: false,
        }
    }

    /// Whether it may take new work at `now`, by the snapshot and by its own answers.
    pub fn warmth(&self, now: Time) -> Warmth {
        let leaving = self
            .leaving
            .as_ref()
            .is_some_and(|(incarnation, until)| *incarnation == self.incarnation && now < *until);
        if self.removed || self.out_of_service || leaving {
            return Warmth::Closed;
        }
        match self.warmth {
            Warmth::Warm if now < self.cold_until => Warmth::Cold,
            warmth => warmth,
        }
    }

    /// Whether it gets no requests at `now` after a failure or an overload.
    pub fn is_avoided(&self, now: Time) -> bool {
        now < self.avoid_until
    }

    /// Requests there by the last report, corrected by this daemon's own since then.
    pub fn busy(&self) -> u32 {
        let reported = self.load.as_ref().map_or(0, |l| l.running + l.waiting);
        let expected = i64::from(reported) + i64::from(self.unreported);
        u32::try_from(expected).unwrap_or(0).max(self.in_flight)
    }

    /// Slots that are free by the last report and this daemon's own requests.
    fn free_slots(&self) -> u32 {
        match self.warmth {
            Warmth::Warm => self.slots.saturating_sub(self.busy()),
            Warmth::Cold | Warmth::Closed | Warmth::Down => 0,
        }
    }

    /// Requests that this daemon started there less those that ended since the last report.
    pub fn unreported(&self) -> i32 {
        self.unreported
    }

    /// Whether there is a slot for one more request if `daemons` share the upstream.
    pub fn has_free_slot(&self, now: Time, daemons: u32) -> bool {
        let fresh = self.load.as_ref().is_some_and(|l| now < l.sampled_at + LOAD_MAX_AGE);
        let share = if fresh { self.share_limit } else { self.slots.div_ceil(daemons) };
        let seems_full = fresh && daemons == 1 && self.busy() >= self.slots;
        !seems_full && self.in_flight < share.min(self.slots)
    }

    /// Whether it holds `version` and `adapter`; an unreported version is assumed to match.
    pub fn holds(&self, now: Time, version: &VersionId, adapter: Option<&AdapterId>) -> bool {
        let has_version = self.version().is_none_or(|v| v == version);
        let refused =
            self.wrong_version.as_ref().is_some_and(|(v, until)| v == version && now < *until);
        let has_adapter = adapter.is_none_or(|a| {
            self.adapters.contains(a) || self.load.as_ref().is_some_and(|l| l.adapters.contains(a))
        });
        has_version && !refused && has_adapter
    }

    /// The weight version that it reported.
    pub fn version(&self) -> Option<&VersionId> {
        self.load.as_ref().and_then(|l| l.version.as_ref())
    }

    /// Sends it no requests until `until`.
    pub fn avoid(&mut self, until: Time) {
        self.avoid_until = self.avoid_until.max(until);
    }

    /// Treats it as cold until `until`.
    pub fn mark_cold(&mut self, until: Time) {
        self.cold_until = self.cold_until.max(until);
    }

    /// Records that it is leaving.
    pub fn mark_leaving(&mut self, now: Time) {
        self.leaving = Some((self.incarnation, now + LEAVING_NOTICE_TTL));
    }

    /// Records that it refused a version.
    pub fn refuse_version(&mut self, version: &VersionId, until: Time) {
        self.wrong_version = Some((version.clone(), until));
    }

    fn configure(&mut self, upstream: &Upstream, pool: PoolKey) {
        self.removed = false;
        self.zone = upstream.zone.clone();
        self.slots = upstream.slots;
        self.pool = pool;
        self.adapters = match &upstream.role {
            Role::Engine { adapters, .. } => adapters.clone(),
            Role::Service { .. } => Vec::new(),
        };
    }

    fn refresh(&mut self, standing: &Standing, sharing: Sharing, unusable: &mut Vec<Permit>) {
        // The snapshot's incarnation is zero until the control thread has seen the upstream; a
        // permit may have named the incarnation earlier.
        if standing.incarnation != 0 && self.incarnation != standing.incarnation {
            self.incarnation = standing.incarnation;
            self.load = None;
            self.unreported = 0;
            self.recent_changes.clear();
            self.prefill = Rate::default();
        }
        self.warmth = standing.warmth;
        if let Some(load) = &standing.load {
            self.report(load.clone(), sharing);
        }
        let closed = self.removed || self.out_of_service || self.warmth != Warmth::Cold;
        let incarnation = self.incarnation;
        let stale = |p: &Permit| closed || !p.covers(incarnation);
        unusable.extend(self.permits.extract_if(.., |(p, _)| stale(p)).map(|(p, _)| p));
    }

    /// Applies a load report, and sets this daemon's share of the free slots.
    fn report(&mut self, load: Load, sharing: Sharing) {
        let stale = self.load.as_ref().is_some_and(|l| load.sampled_at <= l.sampled_at);
        if stale || (self.incarnation != 0 && load.incarnation != self.incarnation) {
            return;
        }
        while let Some((_, by)) = self.recent_changes.pop_front_if(|(at, _)| *at <= load.sampled_at)
        {
            self.unreported -= by;
        }
        let own = f64::from(self.in_flight) - f64::from(self.unreported);
        let free = self.slots.saturating_sub(load.running + load.waiting);
        let sharing_daemons = sharing.daemons.min(self.slots).max(1);
        let share = own.max(0.0) + f64::from(free) / f64::from(sharing_daemons);
        let draw = sharing.draw(self.seed, load.sampled_at);
        let rounded = share.trunc() as u32 + u32::from(draw < share.fract());
        self.share_limit = rounded.max(self.slots.div_ceil(sharing.daemons));
        self.load = Some(load);
    }

    fn adjust_in_flight(&mut self, now: Time, by: i32) {
        self.in_flight = self.in_flight.saturating_add_signed(by);
        self.unreported += by;
        self.recent_changes.push_back((now, by));
        if self.recent_changes.len() > RECENT_CHANGES_LIMIT
            && let Some((_, by)) = self.recent_changes.pop_front()
        {
            self.unreported -= by;
        }
    }
}
