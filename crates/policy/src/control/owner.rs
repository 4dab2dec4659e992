//! The cold upstreams whose permits this daemon grants.

use std::collections::BTreeMap;
use std::time::Duration;

use acacia_catalog::Set;
use acacia_catalog::id::{DaemonId, UpstreamId};
use acacia_catalog::object::{Role, Upstream};

use super::membership::Membership;
use super::outbox::Outbox;
use super::ownership::{Capacity, InheritedLoad, Ownership, SLOW_CLOCK_VALIDITY};
use super::{Action, Line, Mutation, PermitId};
use crate::Time;
use crate::message::{Grant, HandOver, Message, PermitState, Sender};
use crate::snapshot::Load;

/// How long an owner keeps an upstream for which no permits are requested.
const IDLE_RETENTION: Duration = Duration::from_secs(30);
/// Maximum duration of an earlier owner's request on an instance that reports no load.
const MAX_RUN: Duration = Duration::from_secs(10);
/// Largest fleet in which a hand-over is sent to every successor, even if nothing is running.
const SMALL_FLEET: usize = 16;

/// The upstreams that one daemon owns.
pub(super) struct Owner {
    owned: BTreeMap<UpstreamId, Ownership>,
    hand_overs: BTreeMap<DaemonId, HandOver>,
    /// Hand-overs for upstreams for which no permits have been requested since.
    inherited: BTreeMap<UpstreamId, Inherited>,
    /// From when an upstream not in `owned` certainly runs no request of an earlier owner.
    clean_at: Option<Time>,
    next: PermitId,
    mutation: Option<Mutation>,
}

/// Requests that a predecessor left running.
#[derive(Clone, Copy)]
struct Inherited {
    running: u32,
    /// When they have certainly ended, on an instance that reports no load.
    by: Time,
}

impl Owner {
    pub fn new(mutation: Option<Mutation>) -> Self {
        Self {
            owned: BTreeMap::new(),
            hand_overs: BTreeMap::new(),
            inherited: BTreeMap::new(),
            clean_at: None,
            next: 1,
            mutation,
        }
    }

    /// Cold upstreams whose permits this daemon grants.
    pub fn names(&self) -> Vec<UpstreamId> {
        self.owned.keys().cloned().collect()
    }

    /// Enters a new epoch: hands over upstreams that it no longer owns.
    pub fn enter(&mut self, now: Time, membership: &Membership, out: &mut Outbox) {
        let epoch = membership.epoch();
        let me = out.me().daemon.clone();
        let number = epoch.number;
        self.hand_overs.retain(|_, h| h.epoch >= number);
        let first = number == 1 && epoch.member(&me).is_some();
        if first {
            self.clean_at = Some(Time::ZERO);
        }
        if membership.is_continuous() && !first {
            self.hand_over(now, membership, out);
        }
        let mine = |u: &UpstreamId| epoch.owner(u).is_some_and(|o| o.daemon == me);
        let before = |u: &UpstreamId| epoch.owner_before(u).is_some_and(|o| o.daemon == me);
        let continuous = membership.is_continuous();
        self.owned.retain(|upstream, ownership| {
            let keeps = continuous && mine(upstream) && before(upstream);
            if keeps {
                ownership.epoch = number;
                ownership.retain_members(now, |d| epoch.member(d).is_some());
            } else {
                out.push(Action::Log(Line::OwnershipLeft(upstream.clone())));
            }
            keeps
        });
        let alone = continuous && epoch.joined.iter().all(|d| *d != me) && epoch.left.is_empty();
        if !alone && !first {
            self.clean_at = None;
        }
        self.inherited.retain(|u, _| continuous && mine(u) && before(u));
        let handed: Vec<HandOver> =
            self.hand_overs.values().filter(|h| h.epoch == number).cloned().collect();
        handed.iter().for_each(|h| self.inherit(now, h));
    }

    /// Handles a predecessor's hand-over.
    pub fn receive_hand_over(
        &mut self,
        now: Time,
        from: &Sender,
        handed: HandOver,
        membership: &Membership,
    ) {
        let epoch = membership.epoch();
        if handed.epoch == epoch.number {
            self.inherit(now, &handed);
        }
        self.hand_overs.insert(from.daemon.clone(), handed);
        let all_clean = epoch.members.iter().all(|m| {
            let handed = self.hand_overs.get(&m.daemon);
            epoch.joined.contains(&m.daemon)
                || handed.is_some_and(|h| h.clean && h.epoch == epoch.number)
        });
        if all_clean && epoch.left.is_empty() {
            self.clean_at.get_or_insert(now);
        }
    }

    fn inherit(&mut self, now: Time, handed: &HandOver) {
        for (upstream, running) in &handed.running {
            let by = now + SLOW_CLOCK_VALIDITY + MAX_RUN;
            self.inherited.insert(upstream.clone(), Inherited { running: *running, by });
        }
    }

    /// Handles a daemon's permit state; grants free permits.
    pub fn state(
        &mut self,
        now: Time,
        from: &Sender,
        state: &PermitState,
        set: &Set,
        membership: &mut Membership,
        out: &mut Outbox,
    ) -> Vec<(Sender, Grant)> {
        let upstream = &state.upstream;
        let Some(capacity) = set.upstreams.get(upstream).map(capacity) else { return Vec::new() };
        if !self.owned.contains_key(upstream)
            && !self.take_over(now, upstream, capacity, membership, out)
        {
            return Vec::new();
        }
        let Some(ownership) = self.owned.get_mut(upstream) else { return Vec::new() };
        let was_warm = ownership.is_warm();
        if !ownership.state(now, from, state) {
            return Vec::new();
        }
        let mut grants = self.grant(now, upstream, membership, out);
        let Some(ownership) = self.owned.get(upstream) else { return grants };
        if !was_warm && ownership.is_warm() {
            // The requesting daemon is the first to be told that the upstream is warm.
            grants.retain(|(to, _)| to.daemon != from.daemon);
        }
        if !grants.iter().any(|(to, _)| to.daemon == from.daemon) {
            grants.extend(ownership.answer(&from.daemon, upstream, Vec::new()));
        }
        grants
    }

    /// Grants the free permits of one upstream, if this daemon may act now.
    pub fn grant(
        &mut self,
        now: Time,
        upstream: &UpstreamId,
        membership: &mut Membership,
        out: &mut Outbox,
    ) -> Vec<(Sender, Grant)> {
        let number = membership.epoch().number;
        let Some(ownership) = self.owned.get_mut(upstream) else { return Vec::new() };
        let wanted = ownership.epoch == number && ownership.is_wanted(now);
        if !wanted || !membership.may_act(now, out) {
            return Vec::new();
        }
        if ownership.take_probe(now) {
            out.push(Action::Probe(upstream.clone()));
        }
        let limited = self.mutation != Some(Mutation::IgnoreColdLimit);
        ownership.grant(now, upstream, limited, &mut self.next)
    }

    /// Drops expired state and grants permits that have become free.
    pub fn tick(
        &mut self,
        now: Time,
        membership: &mut Membership,
        out: &mut Outbox,
    ) -> Vec<(Sender, Grant)> {
        self.owned.retain(|_, o| now < o.used_at() + IDLE_RETENTION || o.running() != Some(0));
        if let (None, Some(at)) = (self.clean_at, membership.predecessors_stopped_at()) {
            self.clean_at = Some(at + SLOW_CLOCK_VALIDITY + MAX_RUN);
        }
        self.owned.values_mut().for_each(|o| o.drop_silent(now));
        self.inherited.retain(|_, i| now < i.by);
        let names = self.names();
        names.iter().flat_map(|u| self.grant(now, u, membership, out)).collect()
    }

    /// Handles a load report of an owned upstream.
    pub fn reported(&mut self, now: Time, upstream: &UpstreamId, load: &Load) {
        if let Some(ownership) = self.owned.get_mut(upstream) {
            ownership.reported(now, load);
        }
    }

    /// Handles that an upstream turned cold.
    pub fn reset(&mut self, now: Time, upstream: &UpstreamId, incarnation: u64) {
        if let Some(ownership) = self.owned.get_mut(upstream) {
            ownership.reset(now, incarnation);
        }
    }

    /// The incarnation of an owned upstream whose cold start is over.
    pub fn warm(&self, upstream: &UpstreamId) -> Option<u64> {
        let ownership = self.owned.get(upstream).filter(|o| o.is_warm())?;
        Some(ownership.incarnation())
    }

    /// Starts owning an upstream; false while that is not allowed.
    fn take_over(
        &mut self,
        now: Time,
        upstream: &UpstreamId,
        capacity: Capacity,
        membership: &Membership,
        out: &mut Outbox,
    ) -> bool {
        let Some(inherited_load) = self.inherited_load(now, upstream, capacity, membership, out)
        else {
            return false;
        };
        let number = membership.epoch().number;
        let ownership = Ownership::new(now, number, capacity, inherited_load);
        self.owned.insert(upstream.clone(), ownership);
        out.push(Action::Log(Line::OwnershipTaken(upstream.clone())));
        true
    }

    /// Requests that earlier owners may have left running; none while those may still act.
    fn inherited_load(
        &mut self,
        now: Time,
        upstream: &UpstreamId,
        capacity: Capacity,
        membership: &Membership,
        out: &Outbox,
    ) -> Option<InheritedLoad> {
        let epoch = membership.epoch();
        let before = epoch.owner_before(upstream);
        if let Some(inherited) = self.inherited.remove(upstream) {
            return Some(InheritedLoad::Known(inherited.running));
        }
        let handed = before.and_then(|b| self.hand_overs.get(&b.daemon));
        if handed.is_some_and(|h| h.clean && h.epoch == epoch.number) {
            return Some(capacity.unseen(now));
        }
        let mine = before.is_some_and(|b| b.daemon == out.me().daemon);
        if mine && membership.is_continuous() && self.is_clean(now) {
            return Some(capacity.unseen(now));
        }
        let from = match membership.predecessors_stopped_at() {
            _ if mine && membership.was_authoritative() => now,
            Some(at) if now >= at => at,
            _ => return None,
        };
        if self.mutation == Some(Mutation::ForgetRunning) {
            return Some(InheritedLoad::Known(0));
        }
        let clean = self.is_clean(now);
        Some(if clean {
            capacity.unseen(now)
        } else {
            InheritedLoad::Unknown(from + SLOW_CLOCK_VALIDITY)
        })
    }

    /// Whether an upstream not in `owned` certainly runs no request of an earlier owner.
    fn is_clean(&self, now: Time) -> bool {
        self.clean_at.is_some_and(|at| now >= at)
    }

    /// Sends the successors what may be running.
    fn hand_over(&self, now: Time, membership: &Membership, out: &mut Outbox) {
        let epoch = membership.epoch();
        let me = out.me().daemon.clone();
        let clean = self.is_clean(now);
        let leaves = epoch.member(&me).is_none();
        for member in epoch.members.iter().filter(|m| m.daemon != me) {
            let gains = leaves || epoch.joined.contains(&member.daemon);
            let owns = |u: &UpstreamId| epoch.owner(u).is_some_and(|o| o.daemon == member.daemon);
            let known = self.owned.iter().filter(|(u, _)| owns(u));
            let known = known.filter_map(|(u, o)| Some((u.clone(), o.running()?)));
            let handed = self.inherited.iter().filter(|(u, _)| owns(u));
            let running: Vec<(UpstreamId, u32)> =
                handed.map(|(u, i)| (u.clone(), i.running)).chain(known).collect();
            if gains && (epoch.members.len() <= SMALL_FLEET || !running.is_empty()) {
                let unknown = |(u, o): (&UpstreamId, &Ownership)| owns(u) && o.running().is_none();
                let all = !self.owned.iter().any(unknown);
                let hand_over = HandOver { epoch: epoch.number, running, clean: clean && all };
                out.send(member.address, Message::HandOver(hand_over));
            }
        }
    }
}

fn capacity(upstream: &Upstream) -> Capacity {
    Capacity {
        cold: upstream.cold_limit,
        slots: upstream.slots,
        reports: matches!(upstream.role, Role::Engine { .. }),
    }
}
