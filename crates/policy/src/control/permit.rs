//! Permits for cold upstreams, as the daemon that asks for them sees them.
//!
//! A daemon tells the owner what it holds and wants, in one numbered statement that replaces the
//! earlier ones. A grant counts only for the latest statement and only for a short time after it was
//! sent; so the owner may free what the next statement doesn't list, and no message needs to arrive.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use acacia_catalog::id::{DaemonId, Incarnation, UpstreamId};

use super::epoch::EpochNumber;
use super::ownership::VALID;
use super::{Action, Permit, PermitId, Usage};
use crate::Time;
use crate::message::{Grant, PermitState};

/// Time between two statements while something is wanted.
const AGAIN: Duration = Duration::from_millis(150);
/// Time between two statements while something is held.
const ALIVE: Duration = Duration::from_secs(1);
/// Statements after which a request that nobody answers is told to come back later.
const PATIENCE: u32 = 20;
/// What a request that finds no permit is told.
pub const RETRY_AFTER: Duration = Duration::from_secs(1);

/// One daemon's wishes for one upstream.
#[derive(Default)]
pub(super) struct Wish {
    owner: Option<DaemonId>,
    epoch: EpochNumber,
    number: u64,
    sent: Time,
    next_at: Time,
    waiting: u32,
    held: BTreeSet<PermitId>,
    answered: u32,
    dirty: bool,
    acknowledged: bool,
    unanswered: u32,
}

/// One daemon's wishes.
#[derive(Default)]
pub(super) struct Wishes {
    wishes: BTreeMap<UpstreamId, Wish>,
    /// Numbers statements; one counter for all, so that it never goes back.
    number: u64,
}

impl Wishes {
    /// Sets how many requests wait for an upstream.
    pub fn want(&mut self, now: Time, upstream: UpstreamId, waiting: u32) {
        let wish = self.wishes.entry(upstream).or_default();
        if waiting > wish.waiting {
            wish.next_at = wish.next_at.min(now);
        }
        // The owner must not grant for requests that no longer wait.
        wish.dirty |= waiting < wish.waiting;
        wish.waiting = waiting;
    }

    /// Takes a permit back from traffic.
    pub fn give_back(&mut self, permit: &Permit, usage: Usage) {
        let Some(wish) = self.wishes.get_mut(&permit.upstream) else { return };
        let current = wish.owner.as_ref() == Some(&permit.owner) && wish.held.remove(&permit.id);
        if current {
            wish.answered += u32::from(usage == Usage::Answered);
            wish.dirty = true;
        }
    }

    /// The statements that are due, each with the owner it goes to.
    pub fn due(
        &mut self,
        now: Time,
        epoch: EpochNumber,
        owner: impl Fn(&UpstreamId) -> Option<DaemonId>,
        seen: impl Fn(&UpstreamId) -> (Incarnation, Option<Time>),
    ) -> Vec<(DaemonId, PermitState)> {
        let mut due = Vec::new();
        self.wishes.retain(|_, w| !w.is_over());
        for (upstream, wish) in self.wishes.iter_mut().filter(|(_, w)| w.is_due(now, epoch)) {
            let Some(to) = owner(upstream) else {
                wish.next_at = now + AGAIN;
                wish.unanswered += 1;
                continue;
            };
            self.number += 1;
            let number = self.number;
            wish.prepare(now, epoch, &to, number);
            due.push((to, wish.state(upstream, seen(upstream))));
        }
        due
    }

    /// Takes an owner's answer; the permits that are good, and whether the upstream is warm.
    pub fn granted(&mut self, now: Time, from: &DaemonId, grant: &Grant) -> Option<Vec<Action>> {
        let wish = self.wishes.get_mut(&grant.upstream)?;
        let current = wish.owner.as_ref() == Some(from)
            && wish.epoch == grant.epoch
            && wish.number == grant.number
            && now < wish.sent + VALID;
        if !current {
            return None;
        }
        wish.unanswered = 0;
        wish.acknowledged = !wish.dirty;
        Some(wish.accept(&grant.upstream, from, grant))
    }

    /// Tells traffic of upstreams whose owner grants nothing for long.
    pub fn refuse(&mut self) -> Vec<Action> {
        let mut refused = Vec::new();
        for (upstream, wish) in &mut self.wishes {
            if wish.waiting > 0 && wish.unanswered >= PATIENCE {
                wish.waiting = 0;
                wish.dirty = true;
                wish.unanswered = 0;
                refused.push(Action::PermitRefused {
                    upstream: upstream.clone(),
                    retry_after: RETRY_AFTER,
                });
            }
        }
        refused
    }
}

impl Wish {
    /// Whether nothing is wanted or held, and the owner knows.
    fn is_over(&self) -> bool {
        self.waiting == 0 && self.held.is_empty() && self.acknowledged && !self.dirty
    }

    fn is_due(&self, now: Time, epoch: EpochNumber) -> bool {
        let open = self.waiting > 0 || !self.acknowledged || self.epoch != epoch;
        let stale = !self.held.is_empty() && now >= self.sent + ALIVE;
        self.dirty || stale || (open && now >= self.next_at)
    }

    fn prepare(&mut self, now: Time, epoch: EpochNumber, owner: &DaemonId, number: u64) {
        if self.owner.as_ref() != Some(owner) {
            // What an earlier owner granted is counted by load reports from now on.
            self.held.clear();
            self.answered = 0;
            self.owner = Some(owner.clone());
        }
        self.epoch = epoch;
        self.number = number;
        self.sent = now;
        self.next_at = now + AGAIN;
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
                    until: self.sent + VALID,
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
