//! Permits of cold upstreams: requested on demand, used once, always returned.

use std::time::Duration;

use acacia_catalog::id::{Incarnation, UpstreamId};

use super::event::Action;
use super::fleet::{MemberKey, PoolKey};
use super::job::Core;
use super::machine::Dispatcher;
use super::mutation::Mutation;
use super::route::Requirement;
use crate::Time;
use crate::control::{Permit, Usage};
use crate::snapshot::Warmth;

/// How long an unused permit is held.
const HOLD_TIMEOUT: Duration = Duration::from_millis(300);
/// How long a permit is remembered after its end, to ignore a duplicate message.
const DUPLICATE_WINDOW: Duration = Duration::from_secs(10);
/// How long to wait for an answer before permits are requested again.
const ASK_TIMEOUT: Duration = Duration::from_millis(500);
/// Cold upstreams whose permits are requested at once.
const ASK_LIMIT: usize = 2;

impl Dispatcher {
    /// Accepts a permit, or returns it if it can't be used.
    pub(super) fn permit_granted(&mut self, now: Time, permit: Permit, out: &mut Vec<Action>) {
        let Some(key) = self.fleet.member(&permit.upstream) else {
            return out.push(Action::ReturnPermit(permit, Usage::Unused));
        };
        let member = &mut self.fleet.members[key];
        member.seen_permits.retain(|p| now < p.until + DUPLICATE_WINDOW);
        if member.seen_permits.iter().any(|p| p.is_same(&permit)) {
            return;
        }
        member.seen_permits.push(permit.clone());
        if member.incarnation == 0 {
            // A plain service reports no load, so the owner of its permits learns its incarnation
            // before this daemon does.
            member.incarnation = permit.incarnation;
        }
        let usable = permit.covers(member.incarnation)
            && now < permit.until
            && member.warmth(now) == Warmth::Cold;
        if !usable {
            return out.push(Action::ReturnPermit(permit, Usage::Unused));
        }
        member.ask_permit_after = now;
        member.permits.push((permit, now));
        let pool = member.pool;
        self.dispatch_queued(now, pool, out);
    }

    /// Requests no permits of an upstream for `wait`.
    pub(super) fn permit_refused(&mut self, now: Time, upstream: &UpstreamId, wait: Duration) {
        if let Some(key) = self.fleet.member(upstream) {
            self.fleet.members[key].ask_permit_after = now + wait;
        }
    }

    /// Returns permits that expired or were held too long.
    pub(super) fn return_permits(&mut self, now: Time, out: &mut Vec<Action>) {
        let expired = |(permit, since): &mut (Permit, Time)| {
            permit.until <= now || *since + HOLD_TIMEOUT <= now
        };
        for member in self.fleet.members.values_mut().filter(|m| !m.permits.is_empty()) {
            let returned = member.permits.extract_if(.., expired).map(|(permit, _)| permit);
            out.extend(returned.map(|permit| Action::ReturnPermit(permit, Usage::Unused)));
        }
    }

    /// Takes a valid permit of a member, and returns invalid ones.
    pub(super) fn take_permit(
        &mut self,
        now: Time,
        key: MemberKey,
        out: &mut Vec<Action>,
    ) -> Option<Permit> {
        let member = &mut self.fleet.members[key];
        while let Some((permit, _)) = member.permits.pop() {
            if permit.covers(member.incarnation) && now < permit.until {
                return Some(permit);
            }
            out.push(Action::ReturnPermit(permit, Usage::Unused));
        }
        None
    }

    /// Returns the permit of an attempt that ended.
    pub(super) fn return_permit(
        &self,
        permit: Option<Permit>,
        usage: Usage,
        out: &mut Vec<Action>,
    ) {
        if self.mutation != Some(Mutation::KeepPermits) {
            out.extend(permit.map(|permit| Action::ReturnPermit(permit, usage)));
        }
    }

    /// Requests permits of cold upstreams that could serve a request, for `waiting` requests.
    pub(super) fn ask_permits(
        &mut self,
        now: Time,
        core: &Core,
        waiting: usize,
        out: &mut Vec<Action>,
    ) {
        let cold = self.cold_members(now, core.pool, core);
        for key in cold.into_iter().take(ASK_LIMIT) {
            let member = &mut self.fleet.members[key];
            member.ask_permit_after = now + ASK_TIMEOUT;
            let waiting = u32::try_from(waiting).unwrap_or(u32::MAX).min(member.slots).max(1);
            out.push(Action::AskPermit { upstream: member.name.clone(), waiting });
        }
    }

    /// Cold members whose permits may be requested now, least requests in flight first.
    fn cold_members(&self, now: Time, pool: PoolKey, core: &Core) -> Vec<MemberKey> {
        let members = &self.fleet.members;
        let requirement = Requirement::relaxed(core);
        let mut cold: Vec<MemberKey> = self.fleet.pools[pool]
            .cold
            .iter()
            .filter_map(|key| members.get(*key).map(|m| (*key, m)))
            .filter(|(_, m)| m.warmth(now) == Warmth::Cold && m.ask_permit_after <= now)
            .filter(|(_, m)| m.permits.is_empty() && m.satisfies(now, &requirement))
            .map(|(key, _)| key)
            .collect();
        cold.sort_by_key(|key| members[*key].in_flight);
        cold
    }
}

impl Permit {
    /// Whether it is valid for an incarnation. Zero on either side is unknown and matches any: a
    /// plain service reports no load to the owner, and a new daemon has not seen the upstream yet.
    pub(super) fn covers(&self, incarnation: Incarnation) -> bool {
        self.incarnation == 0 || incarnation == 0 || self.incarnation == incarnation
    }

    /// Whether two messages grant the same permit.
    fn is_same(&self, other: &Self) -> bool {
        self.id == other.id && self.owner == other.owner
    }
}
