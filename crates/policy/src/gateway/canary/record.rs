//! What attempts tell about the versions of an order, and where the next attempt may go.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;

use super::evidence::{Timing, Version};
use super::split::{Change, Resolution, Side, Split};
use super::{Surroundings, route_key};
use crate::Time;
use crate::gateway::configuration::{Repeat, ServiceName};
use crate::gateway::gossip::Note;
use crate::gateway::machine::Gateway;
use crate::gateway::mesh::Detail;
use crate::gateway::plan::{Attempt, Ending, Plan};
use crate::gateway::view::{SoftwareVersion, View};

/// Units of relative time in the expected time.
const UNITS: f64 = 100.0;
/// Part of the latency target that is the unit of a plain request's time.
const PLAIN_UNIT_DIVISOR: f64 = 10.0;
/// Longest relative time that counts; one response must not make up a mean.
const MAX_FIRST: u32 = 20_000;
/// Longest time to the end that counts, in milliseconds.
const MAX_REST: u32 = 30_000;

impl Gateway {
    /// Updates the orders from a newer view.
    pub(in crate::gateway) fn observe_orders(&mut self, now: Time, view: &View) {
        if view.rollouts.is_empty() && self.canaries.is_empty() {
            return;
        }
        let mut versions = BTreeMap::<ServiceName, BTreeSet<SoftwareVersion>>::new();
        for server in view.servers.values().filter(|server| !server.leaving) {
            versions.entry(server.service.clone()).or_default().insert(server.software.clone());
        }
        let (terms, own) = (self.terms().canary, self.incarnation);
        self.canaries.observe(now, &view.rollouts, &versions, terms, own);
    }

    /// Takes the steps of all orders that are due. To be called every few hundredths of a second.
    pub fn advance_orders(&mut self, now: Time) {
        for service in self.canaries.services() {
            let around = self.surroundings(now, &service);
            self.canaries.advance(now, &service, around);
        }
    }

    /// Whether there is or was an order.
    pub fn has_orders(&self) -> bool {
        !self.canaries.is_empty()
    }

    /// The states of all orders that belong into the metadata store.
    pub fn resolutions(&self, now: Time) -> BTreeMap<ServiceName, Resolution> {
        let services = self.canaries.services().into_iter();
        let resolutions = services.filter_map(|service| {
            let rollout = self.canaries.rollout(&service).filter(|r| !r.is_withdrawn())?;
            let state = rollout.verdict(now, self.surroundings(now, &service));
            let order = rollout.order();
            let (order, target) = (order.revision, order.target.clone());
            Some((service, Resolution { order, target, state }))
        });
        resolutions.collect()
    }

    /// Changes of the orders' progress since the last call.
    pub fn take_order_changes(&mut self) -> Vec<Change> {
        self.canaries.take_changes()
    }

    /// The state of a service's order.
    pub fn rollout(&self, service: &str) -> Option<&super::Rollout> {
        self.canaries.rollout(&service.into())
    }

    fn surroundings(&self, now: Time, service: &ServiceName) -> Surroundings {
        let Some(rollout) = self.canaries.rollout(service) else { return Surroundings::default() };
        let target = &rollout.order().target;
        let (mut has_target, mut is_drained) = (false, true);
        for key in self.roster.of_service(service) {
            let member = &self.roster[*key];
            if member.server.software == *target {
                has_target |= !member.is_leaving() && !member.status.evacuated;
            } else {
                is_drained &= member.own_load.running == 0;
            }
        }
        let view = self.view.as_ref();
        let silent_since = view.and_then(|view| view.unavailable_since);
        let stale_after = self.terms().stale_after;
        Surroundings {
            is_store_silent: silent_since.is_some_and(|since| now >= since + stale_after),
            has_target,
            is_drained,
            others: view.map_or(0, |view| view.peers.len()),
        }
    }

    /// Selects the versions that the request's next attempt may go to, by a draw of its own. The split
    /// is returned if the request was drawn for the target.
    pub(in crate::gateway) fn draw_side(&mut self, now: Time, plan: &mut Plan) -> Option<Split> {
        let Some(split) = self.canaries.split(now, &plan.service) else {
            plan.canary.side = Side::default();
            return None;
        };
        if plan.software.is_some() {
            plan.canary.side = split.bound_side();
            return None;
        }
        let share = split.target.as_ref().map_or(0.0, |(_, share)| *share);
        let draw = *plan.canary.draw.get_or_insert_with(|| self.rng.random());
        // A repeat after the target goes to the version that is known.
        let is_for_target = share >= 1.0 || (draw < share && !plan.canary.was_at_target);
        plan.canary.side = if is_for_target { split.target_side() } else { split.old_side() };
        is_for_target.then_some(split)
    }

    /// Whether a request that no upstream of the target takes now goes to an old one. Shortly before
    /// the old ones stop, this would break an answer that can't be repeated.
    pub(in crate::gateway) fn falls_back(plan: &Plan, split: &Split) -> bool {
        let share = split.target.as_ref().map_or(0.0, |(_, share)| *share);
        share < 1.0 || (!split.is_completed && plan.route.repeat == Repeat::Idempotent)
    }

    /// Notes whether an attempt goes to the target.
    pub(in crate::gateway) fn mark_target(&self, plan: &mut Plan, attempt: &Attempt) {
        let rollout = self.canaries.rollout(&plan.service);
        plan.canary.was_at_target |=
            rollout.is_some_and(|rollout| rollout.order().target == attempt.server.software);
    }

    /// Counts how an attempt ended for the version of its upstream.
    pub(in crate::gateway) fn record_outcome(
        &mut self,
        now: Time,
        plan: &Plan,
        attempt: &Attempt,
        ending: Ending,
    ) {
        let is_in_doubt =
            self.reach.is_suspect(&plan.service) || self.reach.is_unreachable(&plan.service);
        let Some(rollout) = self.canaries.rollout_mut(&plan.service) else { return };
        let (has_failed, is_complete) = match ending {
            // Not run.
            Ending::Unreachable | Ending::Refused | Ending::Misdirected => return,
            Ending::Broken | Ending::Lost if is_in_doubt => return,
            Ending::Broken | Ending::Lost | Ending::Failed => (true, false),
            Ending::Answered => (false, true),
            Ending::Silent | Ending::Cancelled | Ending::Expired | Ending::Outdated => {
                (false, false)
            }
        };
        let is_target = attempt.server.software == rollout.order().target;
        // A cold upstream of a good version is slow.
        let is_timed = !has_failed && !attempt.cold;
        if !has_failed && !is_complete && !is_timed {
            return;
        }
        let timing = is_timed.then(|| timing(now, plan, attempt, is_complete));
        let (route, version) = (route_key(&plan.route.name), Version::from(is_target));
        rollout.record(attempt.sent, route, version, has_failed, timing);
        if is_target {
            self.advance_order(now, &plan.service);
        }
    }

    fn advance_order(&mut self, now: Time, service: &Arc<str>) {
        let around = self.surroundings(now, service);
        self.canaries.advance(now, service, around);
    }

    /// What the others are to be told of the orders.
    pub(in crate::gateway) fn order_notes(
        &mut self,
        now: Time,
        detail: Detail,
        is_full: bool,
    ) -> impl Iterator<Item = Note> {
        let is_wide = detail == Detail::Large;
        self.canaries.take_evidence(now, is_full, is_wide).into_iter().map(Note::Canary)
    }
}

/// The time of a response, relative to what such a request takes: an engine that holds no part of a
/// prompt yet takes longer, whatever its version.
fn timing(now: Time, plan: &Plan, attempt: &Attempt, is_complete: bool) -> Timing {
    let unit = match attempt.engine {
        Some(_) => attempt.foreseen.as_secs_f64(),
        None => plan.route.latency_target.as_secs_f64() / PLAIN_UNIT_DIVISOR,
    };
    let unit = unit.max(Duration::from_millis(1).as_secs_f64());
    let first = attempt.began.unwrap_or(now).saturating_sub(attempt.sent).as_secs_f64();
    let rest = now.saturating_sub(attempt.began.unwrap_or(now)).as_millis();
    Timing {
        first: ((first / unit * UNITS) as u32).min(MAX_FIRST),
        rest: u32::try_from(rest).unwrap_or(MAX_REST).min(MAX_REST),
        is_complete,
    }
}
