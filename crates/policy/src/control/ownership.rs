//! Permits of one cold upstream, on the owner's side.
//!
//! An owner counts the permits that it granted until they are returned, and the requests that
//! earlier owners may have left running. Nothing is granted while the number of the latter is
//! unknown, that is until a load report sampled when no earlier owner could start a request any
//! more. A permit must be used within [`PERMIT_VALIDITY`] of the request for it, by the requesting
//! daemon's clock, so that an owner that is paused while granting can't exceed the limit.

use std::collections::BTreeMap;
use std::time::Duration;

use acacia_catalog::id::{DaemonId, Incarnation, UpstreamId};

use super::PermitId;
use super::epoch::EpochNumber;
use crate::Time;
use crate::message::{Grant, PermitState, Sender};
use crate::snapshot::Load;

/// How long a permit may be used, from the sending of the request for it.
pub const PERMIT_VALIDITY: Duration = Duration::from_millis(400);
/// [`PERMIT_VALIDITY`] by the slowest clock.
pub const SLOW_CLOCK_VALIDITY: Duration = Duration::from_millis(440);
/// Time within which every daemon has received the rumour that an upstream turned cold.
const RUMOUR_DELAY: Duration = Duration::from_millis(1_000);
/// Maximum duration of an earlier owner's request on an instance that reports no load.
const MAX_RUN: Duration = Duration::from_secs(10);
/// Silence after which a holder's permits count as inherited requests.
const HOLDER_TIMEOUT: Duration = Duration::from_secs(5);
/// Minimum time between two reads of an upstream's load.
const PROBE_INTERVAL: Duration = Duration::from_millis(150);
/// Age from which a load report is no evidence that the cold start is over.
const REPORT_VALIDITY: Duration = Duration::from_secs(2);

/// The limits of an upstream.
#[derive(Clone, Copy, Debug)]
pub(super) struct Capacity {
    /// Maximum concurrent requests during cold start.
    pub cold: u32,
    /// Maximum concurrent requests when warm.
    pub slots: u32,
    /// Whether it reports its load.
    pub reports: bool,
}

impl Capacity {
    /// The inherited requests of an upstream on which no earlier owner's request can be running.
    pub fn unseen(self, now: Time) -> InheritedLoad {
        if self.reports { InheritedLoad::Unknown(now) } else { InheritedLoad::Known(0) }
    }
}

/// Requests that earlier owners may have left running.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum InheritedLoad {
    /// At most this many.
    Known(u32),
    /// Unknown; a load sampled at or after this time includes all of them.
    Unknown(Time),
}

/// The permits of one cold upstream.
pub(super) struct Ownership {
    /// The epoch in which this daemon owns it.
    pub epoch: EpochNumber,
    capacity: Capacity,
    incarnation: Incarnation,
    holders: BTreeMap<DaemonId, Holder>,
    inherited: InheritedLoad,
    /// When inherited requests have certainly ended, on an instance that reports no load.
    inherited_until: Time,
    /// From when a load sample includes every request that earlier owners could start.
    visible_from: Time,
    limit: u32,
    answered: u32,
    reported_warm: bool,
    warm: bool,
    warm_at: Time,
    probe_at: Time,
    used_at: Time,
}

/// The permits of one daemon.
struct Holder {
    sender: Sender,
    state: PermitState,
    granted: BTreeMap<PermitId, u64>,
    counted_answers: u32,
    last_seen: Time,
}

impl Ownership {
    pub fn new(
        now: Time,
        epoch: EpochNumber,
        capacity: Capacity,
        inherited: InheritedLoad,
    ) -> Self {
        Self {
            epoch,
            capacity,
            incarnation: 0,
            holders: BTreeMap::new(),
            inherited,
            inherited_until: now + SLOW_CLOCK_VALIDITY + MAX_RUN,
            visible_from: now + SLOW_CLOCK_VALIDITY,
            limit: capacity.cold,
            answered: 0,
            reported_warm: false,
            warm: false,
            warm_at: Time::ZERO,
            probe_at: Time::ZERO,
            used_at: now,
        }
    }

    /// Whether the upstream's cold start is over.
    pub fn is_warm(&self) -> bool {
        self.warm
    }

    /// The incarnation that permits are granted for.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// When the last permit state was received.
    pub fn used_at(&self) -> Time {
        self.used_at
    }

    /// Requests that may be running, for a successor; none while unknown.
    pub fn running(&self) -> Option<u32> {
        match self.inherited {
            InheritedLoad::Known(inherited) => Some(inherited + self.held()),
            InheritedLoad::Unknown(_) => None,
        }
    }

    /// Whether the upstream's load should be read now; notes the time if so.
    pub fn take_probe(&mut self, now: Time) -> bool {
        let wanted = self.holders.values().any(|h| h.state.waiting > 0);
        let cold = !self.reported_warm || self.inherited != InheritedLoad::Known(0);
        let read = wanted && cold && self.capacity.reports && now >= self.probe_at;
        if read {
            self.probe_at = now + PROBE_INTERVAL;
        }
        read
    }

    /// Falls back to the cold limit, as the upstream restarted or was overloaded.
    pub fn reset(&mut self, now: Time, incarnation: Incarnation) {
        self.restart(incarnation);
        self.inherited = match self.inherited {
            InheritedLoad::Unknown(at) => InheritedLoad::Unknown(at.max(now + RUMOUR_DELAY)),
            // Other daemons may have considered it warm and sent requests without a permit.
            InheritedLoad::Known(_) => InheritedLoad::Unknown(now + RUMOUR_DELAY),
        };
    }

    /// Handles a load report.
    pub fn reported(&mut self, now: Time, load: &Load) {
        if self.incarnation == 0 {
            self.incarnation = load.incarnation;
        }
        if load.incarnation != self.incarnation {
            self.reset(now, load.incarnation);
        }
        let running = load.running + load.waiting;
        self.inherited = match self.inherited {
            InheritedLoad::Unknown(at) if load.sampled_at < at => InheritedLoad::Unknown(at),
            InheritedLoad::Unknown(_) => InheritedLoad::Known(running),
            InheritedLoad::Known(inherited) if load.sampled_at < self.visible_from => {
                InheritedLoad::Known(inherited)
            }
            InheritedLoad::Known(inherited) => InheritedLoad::Known(inherited.min(running)),
        };
        self.reported_warm = !load.cold && now.saturating_sub(load.sampled_at) < REPORT_VALIDITY;
    }

    /// Handles a daemon's permit state; false if it is older than the known one.
    pub fn state(&mut self, now: Time, from: &Sender, state: &PermitState) -> bool {
        self.used_at = now;
        let holder = self.holders.entry(from.daemon.clone()).or_insert_with(|| Holder {
            sender: from.clone(),
            state: state.clone(),
            granted: BTreeMap::new(),
            counted_answers: state.answered,
            last_seen: now,
        });
        if state.number < holder.state.number {
            return false;
        }
        if self.incarnation == 0 {
            // A plain service reports no load, so its incarnation is known only to daemons that got
            // an answer from it.
            self.incarnation = state.incarnation;
        }
        let news = state.cold_at > holder.state.cold_at || holder.state.number == state.number;
        let cold = state.cold_at.filter(|_| news).map(|at| state.sent.saturating_sub(at));
        holder.last_seen = now;
        holder.state = state.clone();
        // Grants for earlier states are no longer accepted; permits not held were returned.
        holder.granted.retain(|id, number| *number >= state.number || state.held.contains(id));
        let answered = state.answered.saturating_sub(holder.counted_answers);
        holder.counted_answers = state.answered;
        self.ramp(now, answered);
        // The sender saw the upstream cold after it became warm at this daemon.
        if self.warm && cold.is_some_and(|age| now.saturating_sub(age) >= self.warm_at) {
            self.reset(now, self.incarnation);
        }
        true
    }

    /// Counts the permits of daemons that are no longer members as inherited requests.
    pub fn retain_members(&mut self, now: Time, is_member: impl Fn(&DaemonId) -> bool) {
        let gone: Vec<_> = self.holders.keys().filter(|d| !is_member(d)).cloned().collect();
        for daemon in gone {
            self.drop_holder(now, &daemon);
        }
    }

    /// Counts the permits of daemons that have been silent too long as inherited requests.
    pub fn drop_silent(&mut self, now: Time) {
        let silent = |h: &Holder| now >= h.last_seen + HOLDER_TIMEOUT;
        let gone: Vec<_> =
            self.holders.iter().filter(|(_, h)| silent(h)).map(|(d, _)| d.clone()).collect();
        for daemon in gone {
            self.drop_holder(now, &daemon);
        }
    }

    fn drop_holder(&mut self, now: Time, daemon: &DaemonId) {
        let held = self.holders.remove(daemon).map_or(0, |h| h.granted.len());
        if held > 0 {
            let from = now + SLOW_CLOCK_VALIDITY;
            self.inherited = match self.inherited {
                InheritedLoad::Unknown(at) => InheritedLoad::Unknown(at.max(from)),
                InheritedLoad::Known(_) => InheritedLoad::Unknown(from),
            };
        }
    }

    /// Whether a daemon waits for a permit.
    pub fn is_wanted(&self, now: Time) -> bool {
        !self.warm && self.next_grantee(now).is_some()
    }

    /// Grants free permits; the owner must be allowed to act now.
    ///
    /// `next` is the number of the next permit.
    pub fn grant(
        &mut self,
        now: Time,
        upstream: &UpstreamId,
        limited: bool,
        next: &mut PermitId,
    ) -> Vec<(Sender, Grant)> {
        self.expire(now);
        let mut grants: BTreeMap<DaemonId, Vec<PermitId>> = BTreeMap::new();
        let mut free = if limited { self.free() } else { u32::MAX };
        while let Some(daemon) = self.next_grantee(now).filter(|_| free > 0 && !self.warm) {
            free -= 1;
            let id = *next;
            *next += 1;
            if let Some(holder) = self.holders.get_mut(&daemon) {
                holder.granted.insert(id, holder.state.number);
                holder.state.waiting -= 1;
            }
            grants.entry(daemon).or_default().push(id);
        }
        grants.into_iter().filter_map(|(d, ids)| self.answer(&d, upstream, ids)).collect()
    }

    /// The answer to a daemon's latest permit state.
    pub fn answer(
        &self,
        daemon: &DaemonId,
        upstream: &UpstreamId,
        permits: Vec<PermitId>,
    ) -> Option<(Sender, Grant)> {
        let holder = self.holders.get(daemon)?;
        let grant = Grant {
            upstream: upstream.clone(),
            epoch: self.epoch,
            number: holder.state.number,
            echo: holder.state.sent,
            incarnation: self.incarnation,
            permits,
            warm: self.warm,
        };
        Some((holder.sender.clone(), grant))
    }

    fn restart(&mut self, incarnation: Incarnation) {
        self.incarnation = incarnation;
        self.limit = self.capacity.cold;
        self.answered = 0;
        self.reported_warm = false;
        self.warm = false;
    }

    /// Raises the limit as requests are answered.
    fn ramp(&mut self, now: Time, answered: u32) {
        self.answered += answered;
        let step = if self.capacity.reports { self.limit } else { self.limit * 2 };
        let may = self.reported_warm || !self.capacity.reports;
        if !may || self.answered < step {
            return;
        }
        self.answered = 0;
        self.limit = (self.limit * 2).min(self.capacity.slots);
        if self.limit == self.capacity.slots {
            self.warm = true;
            self.warm_at = now;
        }
    }

    fn expire(&mut self, now: Time) {
        let by = match self.inherited {
            InheritedLoad::Unknown(at) => at + MAX_RUN,
            InheritedLoad::Known(_) => self.inherited_until,
        };
        if now >= by && !self.capacity.reports {
            self.inherited = InheritedLoad::Known(0);
        }
    }

    fn held(&self) -> u32 {
        self.holders.values().map(|h| h.granted.len() as u32).sum()
    }

    fn free(&self) -> u32 {
        match self.inherited {
            InheritedLoad::Unknown(_) => 0,
            InheritedLoad::Known(inherited) => {
                let allowed = if self.may_ramp() { self.limit } else { self.capacity.cold };
                allowed.saturating_sub(self.held() + inherited)
            }
        }
    }

    fn may_ramp(&self) -> bool {
        self.reported_warm || !self.capacity.reports
    }

    /// The waiting daemon with the fewest permits whose state is recent enough for a permit to
    /// arrive in time.
    fn next_grantee(&self, now: Time) -> Option<DaemonId> {
        let recent = |h: &&Holder| h.state.waiting > 0 && now < h.last_seen + PERMIT_VALIDITY / 2;
        let waiting = self.holders.iter().filter(|(_, h)| recent(h));
        waiting.min_by_key(|(_, h)| h.granted.len()).map(|(d, _)| d.clone())
    }
}
