//! Permits for cold upstreams, on the requesting daemon's side.
//!
//! A daemon sends the owner the permits that it holds and wants, in one numbered state that
//! replaces the earlier ones. A grant is valid only for the latest state and only for a short time
//! after that was sent. The owner may therefore free the permits that the next state doesn't list,
//! and no individual message needs to arrive.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use acacia_catalog::id::{DaemonId, Incarnation, UpstreamId};

use super::epoch::EpochNumber;
use super::ownership::PERMIT_VALIDITY;
use super::{Action, Permit, PermitId, Usage};
use crate::Time;
use crate::message::{Grant, PermitState};

/// Time between two permit states while permits are wanted.
const RESEND_INTERVAL: Duration = Duration::from_millis(150);
/// Time between two permit states while permits are held.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered permit states after which waiting requests are refused.
const MAX_UNANSWERED: u32 = 20;
/// Delay after which a refused request may be retried.
pub const RETRY_AFTER: Duration = Duration::from_secs(1);

/// One daemon's demand for permits of one upstream.
#[derive(Default)]
pub(super) struct Demand {
    owner: Option<DaemonId>,
    epoch: EpochNumber,
    number: u64,
    sent: Time,
    next_send_at: Time,
    waiting: u32,
    held: BTreeSet<PermitId>,
    answered: u32,
    dirty: bool,
    acknowledged: bool,
    unanswered: u32,
}

/// One daemon's demand for permits.
#[derive(Default)]
pub(super) struct Demands {
    demands: BTreeMap<UpstreamId, Demand>,
    /// Number of the latest permit state; shared by all upstreams, so that it never decreases.
    number: u64,
}

impl Demands {
    /// Sets the number of requests that wait for an upstream.
    pub fn request(&mut self, now: Time, upstream: UpstreamId, waiting: u32) {
        let demand = self.demands.entry(upstream).or_default();
        if waiting > demand.waiting {
            demand.next_send_at = demand.next_send_at.min(now);
        }
        // The owner must not grant for requests that no longer wait.
        demand.dirty |= waiting < demand.waiting;
        demand.waiting = waiting;
    }

    /// Handles a permit returned by traffic.
    pub fn return_permit(&mut self, permit: &Permit, usage: Usage) {
        let Some(demand) = self.demands.get_mut(&permit.upstream) else { return };
        let current =
            demand.owner.as_ref() == Some(&permit.owner) && demand.held.remove(&permit.id);
        if current {
            demand.answered += u32::from(usage == Usage::Answered);
            demand.dirty = true;
        }
    }

    /// The permit states that are due, each with the owner to send it to.
    pub fn due(
        &mut self,
        now: Time,
        epoch: EpochNumber,
        owner: impl Fn(&UpstreamId) -> Option<DaemonId>,
        seen: impl Fn(&UpstreamId) -> (Incarnation, Option<Time>),
    ) -> Vec<(DaemonId, PermitState)> {
        let mut due = Vec::new();
        self.demands.retain(|_, d| !d.is_finished());
        for (upstream, demand) in self.demands.iter_mut().filter(|(_, d)| d.is_due(now, epoch)) {
            let Some(to) = owner(upstream) else {
                demand.next_send_at = now + RESEND_INTERVAL;
                demand.unanswered += 1;
                continue;
            };
            self.number += 1;
            let number = self.number;
            demand.prepare(now, epoch, &to, number);
            due.push((to, demand.state(upstream, seen(upstream))));
        }
        due
    }

    /// Handles an owner's answer; returns the permits for traffic, or none if the answer is
    /// outdated.
    pub fn granted(&mut self, now: Time, from: &DaemonId, grant: &Grant) -> Option<Vec<Action>> {
        let demand = self.demands.get_mut(&grant.upstream)?;
        let current = demand.owner.as_ref() == Some(from)
            && demand.epoch == grant.epoch
            && demand.number == grant.number
            && now < demand.sent + PERMIT_VALIDITY;
        if !current {
            return None;
        }
        demand.unanswered = 0;
        demand.acknowledged = !demand.dirty;
        Some(demand.accept(&grant.upstream, from, grant))
    }

    /// Refuses the requests for upstreams whose owner has not answered for too long.
    pub fn refuse(&mut self) -> Vec<Action> {
        let mut refused = Vec::new();
        for (upstream, demand) in &mut self.demands {
            if demand.waiting > 0 && demand.unanswered >= MAX_UNANSWERED {
                demand.waiting = 0;
                demand.dirty = true;
                demand.unanswered = 0;
                refused.push(Action::PermitRefused {
                    upstream: upstream.clone(),
                    retry_after: RETRY_AFTER,
                });
            }
        }
        refused
    }
}

impl Demand {
    /// Whether nothing is wanted or held and the owner knows that.
    fn is_finished(&self) -> bool {
        self.waiting == 0 && self.held.is_empty() && self.acknowledged && !self.dirty
    }

    fn is_due(&self, now: Time, epoch: EpochNumber) -> bool {
        let open = self.waiting > 0 || !self.acknowledged || self.epoch != epoch;
        let stale = !self.held.is_empty() && now >= self.sent + KEEPALIVE_INTERVAL;
        self.dirty || stale || (open && now >= self.next_send_at)
    }

    fn prepare(&mut self, now: Time, epoch: EpochNumber, owner: &DaemonId, number: u64) {
        if self.owner.as_ref() != Some(owner) {
            // From now on, load reports count the requests under an earlier owner's permits.
            self.held.clear();
            self.answered = 0;
            self.owner = Some(owner.clone());
        }
        self.epoch = epoch;
        self.number = number;
        self.sent = now;
        self.next_send_at = now + RESEND_INTERVAL;
        self.dirty = false;
        self.acknowledged = false;
        self.unanswered += 1;
    }

    fn state(
        &self,
        upstream: &UpstreamId,
        (incarnation, cold_at): (Incarnation, Option<Time>),
    ) -> PermitState {
        PermitState {
            upstream: upstream.clone(),
            epoch: self.epoch,
            number: self.number,
            sent: self.sent,
            waiting: self.waiting,
            held: self.held.iter().copied().collect(),
            answered: self.answered,
            cold_at,
            incarnation,
        }
    }

    fn accept(&mut self, upstream: &UpstreamId, owner: &DaemonId, grant: &Grant) -> Vec<Action> {
        let mut actions = Vec::new();
        for id in &grant.permits {
            if self.held.insert(*id) {
                self.waiting = self.waiting.saturating_sub(1);
                actions.push(Action::Permit(Permit {
                    id: *id,
                    owner: owner.clone(),
                    upstream: upstream.clone(),
                    incarnation: grant.incarnation,
                    until: self.sent + PERMIT_VALIDITY,
                }));
            }
        }
        if grant.warm {
            self.dirty |= self.waiting > 0;
            self.waiting = 0;
        }
        actions
    }
}
