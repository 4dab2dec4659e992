//! Upstreams that state how many refusals a second they bear.
//!
//! A brittle upstream may take fewer requests at a time from one moment to the next, and falls over
//! if it has to refuse more than it bears. Its refusals are the sum over all instances, and those of
//! requests under way can't be taken back. So it only gets requests that it has a slot for, and the
//! slots are divided into a [`Share`] for each instance. Where the others' digests show that most
//! slots are free, an instance may use more than its share, for as long as its share of the refusals
//! allows for the case that it is mistaken.
//!
//! With more instances than slots, some have no share. Such an instance passes requests on to one
//! that has, which is the same one each time and gets one at a time: few instances share a helper,
//! so that it isn't overrun.
//!
//! [`Room`] is what refusals tell about the slots: after one, all instances assume no more room than
//! there was, and more again as time passes.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::choice::{Chooser, RECHECK_INTERVAL};
use super::configuration::{Role, Service, ServiceName};
use super::gossip::{Note, ServerKey, stable_hash};
use super::machine::Gateway;
use super::plan::{Attempt, Plan, Step};
use super::roster::{MemberKey, own_rank};
use super::view::{Server, ServerId, View};
use super::window::{Window, distributed};
use crate::Time;

/// Window in which refusals are counted.
const SPAN: Duration = Duration::from_secs(1);
/// Time after which a request that was not refused counts as accepted.
const DECISION_TIME: Duration = Duration::from_millis(200);
/// Time after a refusal in which room for one more request is assumed.
const RECOVERY_INTERVAL: Duration = Duration::from_secs(2);
/// Time after a change in the division of the slots from which an instance uses those that it gained:
/// others learn of the change later, and their requests have to end first.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// Share of the room up to which others' slots may be used, as a divisor.
const BUSY_DIVISOR: u32 = 4;
/// One in this number of slots is left free, and one more: new connections may hold slots briefly.
const SPARE_DIVISOR: u32 = 16;
/// Requests at a time that an instance without a share passes on to one that has.
const MAX_PASSED: u32 = 1;
/// Number of instances with a share that are considered.
const MAX_HELPERS: usize = 3;

/// Share of one instance of what a brittle upstream takes from all instances together.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Share {
    /// Requests at a time.
    pub requests: u32,
    /// Refusals in a second.
    pub refusals: usize,
}

impl Share {
    /// The share of one of `instances` that ranks after `rank` others for an upstream that takes
    /// `room` requests at a time and bears `tolerance` refusals a second. The last instances by rank
    /// come first in the division of refusals, as they may have no share of the requests.
    pub fn new(room: u32, tolerance: f64, instances: u32, rank: usize) -> Self {
        let instances = instances.max(1);
        let requests = divisible(room);
        let refusals = distributed(tolerance);
        let count = instances as usize;
        let from_last = (count - 1).checked_sub(rank);
        let is_extra = from_last.is_some_and(|rank| rank < refusals % count);
        Self {
            requests: requests / instances + u32::from(rank < (requests % instances) as usize),
            refusals: refusals / count + usize::from(is_extra),
        }
    }
}

/// Requests at a time that are divided among all instances, if there is room for `room`. One in any
/// case, as only an answer shows that an upstream is no longer brittle.
fn divisible(room: u32) -> u32 {
    room.saturating_sub(room / SPARE_DIVISOR + 1).max(1)
}

/// The limits of one choice.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The upstream's slots.
    pub slots: u32,
    /// The refusals per second that it bears.
    pub tolerance: f64,
    /// Number of instances.
    pub instances: u32,
    /// Number of instances that rank before this one.
    pub rank: usize,
}

/// What occupies an upstream.
#[derive(Clone, Copy, Debug)]
pub struct Occupancy {
    /// Requests of this instance.
    pub own: u32,
    /// Requests of all instances, by their digests.
    pub all: u32,
    /// Whether an engine's memory is too full for one more.
    pub is_memory_full: bool,
}

/// The room at a brittle upstream, as far as it is known.
#[derive(Debug)]
pub struct Room {
    /// Requests that it took at a time at the last refusal, and when that was.
    bound: Option<(u32, Time)>,
    /// Refusals of this instance's requests.
    refusals: Window,
    /// Refusals of any instance's requests.
    all_refusals: Window,
    /// Requests beyond the share that may still be refused.
    undecided: Window,
    /// The share of requests by which the last one was decided.
    share: u32,
    /// How the slots are divided, and since when.
    division: Option<(Division, Time)>,
    /// How they were divided before; none if that changed several times in quick succession.
    former: Option<Division>,
}

/// What the division of an upstream's slots depends on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Division {
    instances: u32,
    rank: usize,
}

impl Default for Room {
    fn default() -> Self {
        Self {
            bound: None,
            refusals: Window::new(SPAN),
            all_refusals: Window::new(SPAN),
            undecided: Window::new(DECISION_TIME),
            share: 0,
            division: None,
            former: None,
        }
    }
}

impl Room {
    /// Requests that an upstream with this many slots takes at a time.
    pub fn requests(&self, now: Time, slots: u32) -> u32 {
        let Some((bound, at)) = self.bound else { return slots };
        let recovered = now.saturating_sub(at).as_secs() / RECOVERY_INTERVAL.as_secs();
        slots.min(bound.saturating_add(recovered.try_into().unwrap_or(u32::MAX)))
    }

    /// When the next request may be sent.
    pub fn free_at(&mut self, now: Time, load: Occupancy, limits: Limits) -> Time {
        let Limits { slots, tolerance, instances, rank } = limits;
        let room = self.requests(now, slots);
        let share = self.share(now, room, tolerance, Division { instances, rank });
        self.share = if load.is_memory_full { 0 } else { share.requests };
        let borne = (tolerance / 2.0).ceil().max(1.0) as usize;
        let by_all = self.all_refusals.free_at(now, SPAN, borne);
        let by_own = self.refusals.free_at(now, SPAN, share.refusals.max(1));
        let at = by_all.max(by_own).unwrap_or(now);
        if at > now {
            return at;
        }
        if load.own < self.share && load.all < room {
            return now;
        }
        // All instances with a share of the refusals may see the same free slots.
        let contenders = instances.min(distributed(tolerance).try_into().unwrap_or(u32::MAX));
        let is_free = room == slots
            && load.all <= room / BUSY_DIVISOR
            && load.all.saturating_add(contenders) <= room;
        let refusals = self.refusals.count(now) + self.undecided.count(now);
        let beyond = load.own.saturating_sub(self.share) as usize;
        if is_free && refusals < share.refusals && beyond < share.refusals {
            return now;
        }
        now + RECHECK_INTERVAL
    }

    /// The share by a division of the slots; the lesser of two shares after it has changed.
    fn share(&mut self, now: Time, room: u32, tolerance: f64, division: Division) -> Share {
        let share =
            |division: Division| Share::new(room, tolerance, division.instances, division.rank);
        match self.division {
            Some((known, since)) if known != division => {
                let has_settled = now >= since + SETTLE_TIME;
                self.former = has_settled.then_some(known);
                self.division = Some((division, now));
            }
            Some((_, since)) if now >= since + SETTLE_TIME => return share(division),
            Some(_) => {}
            None => {
                self.division = Some((division, Time::ZERO));
                return share(division);
            }
        }
        let former = self.former.map_or(Share { requests: 0, refusals: 0 }, share);
        let new = share(division);
        Share {
            requests: new.requests.min(former.requests),
            refusals: new.refusals.min(former.refusals),
        }
    }

    /// Records a request that is sent beside `own` ones of this instance.
    pub fn sent(&mut self, now: Time, own: u32) {
        if own >= self.share {
            self.undecided.add(now);
        }
    }

    /// Records a refusal beside `running` requests of all instances.
    fn refused(&mut self, now: Time, slots: u32, running: u32) {
        self.refusals.add(now);
        self.lower(now, slots, running);
    }

    /// Records a refusal of some instance's request, at which the upstream had room for `room`.
    fn lower(&mut self, now: Time, slots: u32, room: u32) {
        self.all_refusals.add(now);
        self.bound = Some((self.requests(now, slots).min(room.max(1)), now));
    }
}

/// A refusal of a brittle upstream, as instances tell each other.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Refusal {
    /// The upstream.
    pub server: ServerKey,
    /// Start of its incarnation, in milliseconds of Unix time.
    pub born: Option<u64>,
    /// Requests that it takes at a time, as far as the sender knows.
    pub room: u32,
}

/// News of brittle upstreams that were not passed on yet.
#[derive(Debug, Default)]
pub struct Outbox {
    /// For the log.
    changes: Vec<Change>,
    /// For the other instances.
    notes: Vec<Note>,
}

/// A change of an upstream's limit on refusals, for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// The upstream.
    pub server: ServerId,
    /// The refusals per second that it bears from now on; none if there is no limit.
    pub tolerance: Option<f64>,
}

impl Chooser<'_> {
    /// When a brittle upstream may get the request.
    pub(super) fn brittle_slot(
        &mut self,
        service: &Service,
        key: MemberKey,
        tolerance: f64,
    ) -> Time {
        let rank = self.turn(key);
        let member = &mut self.roster[key];
        let load = member.own_load.plus(self.digests.load(member.key));
        let is_memory_full = match (&service.role, &self.plan.prompt) {
            (Role::Engine(spec), Some(prompt)) => {
                let memory_tokens = load.memory_tokens + prompt.memory_tokens();
                load.running > 0 && memory_tokens > spec.memory_tokens
            }
            _ => false,
        };
        let (own, all) = (member.own_load.running, load.running);
        // The previous incarnation of this instance may just have used up its share.
        let tolerance = if self.now < self.started + SPAN { 0.0 } else { tolerance };
        let (slots, instances) = (member.server.slots.max(1), division_size(self.view));
        let limits = Limits { slots, tolerance, instances, rank };
        member.room.free_at(self.now, Occupancy { own, all, is_memory_full }, limits)
    }

    /// Number of instances that come before this one in the division of a brittle upstream's slots.
    /// Each upstream of a service continues where the one before it ended, so that all instances
    /// have about as many slots in total.
    fn turn(&mut self, key: MemberKey) -> usize {
        let member = &self.roster[key];
        if let Some(turn) = member.status.turn {
            return turn;
        }
        let (own, slots) = (member.key, member.server.slots.max(1));
        let service = &member.server.service;
        let before = self.roster.of_service(service).iter();
        let before = before.filter(|key| self.roster[**key].key < own).count();
        let instances = division_size(self.view) as usize;
        let rank = own_rank(self.view, service);
        let divided = before * divisible(slots) as usize % instances;
        // Without an address of its own, the instance has no rank.
        let turn = if rank < instances { (rank + instances - divided) % instances } else { rank };
        self.roster[key].status.turn = Some(turn);
        turn
    }
}

/// Number of instances that an upstream's slots are divided among. A change takes effect only after
/// [`SETTLE_TIME`], so that no allowance for unlisted instances is made.
fn division_size(view: &View) -> u32 {
    match view.own_address {
        Some(_) => u32::try_from(view.peers.len() + 1).unwrap_or(u32::MAX),
        None => view.instances.max(1),
    }
}

/// The instances with a share of a service's brittle upstreams that one without a share passes
/// requests on to, in order; none if this one has a share. `slots` is what the division continues
/// over.
fn helpers(view: &View, service: &ServiceName, slots: usize) -> Vec<SocketAddr> {
    let rank = own_rank(view, service);
    if slots == 0 || rank < slots {
        return Vec::new();
    }
    let mut ranked: Vec<SocketAddr> = view.peers.iter().map(|peer| peer.address).collect();
    ranked.sort_by_cached_key(|address| Reverse(stable_hash(&(*address, service))));
    let turns = (0..MAX_HELPERS.min(slots)).map(|next| (rank % slots + next) % slots);
    turns.filter_map(|turn| ranked.get(turn).copied()).collect()
}

impl Gateway {
    /// Passes a request on to an instance with a share, if all upstreams of its service are brittle
    /// and this one has a share of none.
    pub(super) fn pass_to_slot(&mut self, now: Time, plan: &mut Plan) -> Option<Step> {
        if plan.is_forwarded || plan.sends > 0 || plan.runs > 0 {
            return None;
        }
        let slots = self.brittle_slots(now, &plan.service)?;
        let view = self.view.clone()?;
        let helpers = helpers(&view, &plan.service, slots as usize);
        let is_able =
            |helper: &SocketAddr| self.helpers.is_able(now, &plan.service, helper, &plan.peers);
        let helper = helpers.into_iter().find(is_able)?;
        let has_room = self.helpers.outstanding(&helper) < MAX_PASSED;
        has_room.then(|| self.helpers.begin(plan, helper))
    }

    /// The slots of a service that are divided, if all its upstreams are brittle.
    fn brittle_slots(&self, now: Time, service: &ServiceName) -> Option<u32> {
        let slots = self.roster.of_service(service).iter().map(|key| {
            let is_brittle = self.roster.tolerance(now, *key).is_some();
            is_brittle.then(|| divisible(self.roster[*key].server.slots.max(1)))
        });
        slots.sum()
    }

    /// Records a change of an upstream's limit on refusals that it stated to this instance.
    pub(super) fn tolerance_heard(&mut self, now: Time, server: &Server) {
        self.tolerance_changed(now, &server.id);
        let member = self.roster.get(&server.id);
        let report = member.and_then(|member| member.standing.tolerance.report(now, server));
        self.brittle.notes.extend(report.map(Note::Brittle));
    }

    /// Records a change of an upstream's limit on refusals.
    pub(super) fn tolerance_changed(&mut self, now: Time, id: &ServerId) {
        let Some(member) = self.roster.get(id) else { return };
        let tolerance = member.standing.tolerance.in_force(now);
        self.brittle.changes.push(Change { server: id.clone(), tolerance });
    }

    /// Changes of upstreams' limits on refusals since the last call.
    pub fn take_tolerance_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.brittle.changes)
    }

    /// Notes on brittle upstreams for the next digest.
    pub(super) fn take_brittle_notes(&mut self) -> Vec<Note> {
        std::mem::take(&mut self.brittle.notes)
    }

    /// Records that an upstream refused an attempt, which has ended.
    pub(super) fn refused(&mut self, now: Time, attempt: &Attempt) {
        let Some(key) = self.roster.key(&attempt.server.id) else { return };
        self.roster[key].refused(now);
        if self.roster.tolerance(now, key).is_none() {
            return;
        }
        let member = &mut self.roster[key];
        let running = member.own_load.plus(self.digests.load(member.key)).running;
        let slots = member.server.slots.max(1);
        member.room.refused(now, slots, running);
        let (server, born) = (member.key, member.server.born);
        let room = member.room.requests(now, slots);
        self.brittle.notes.push(Note::Refused(Refusal { server, born, room }));
    }

    /// Records a refusal of another instance's request.
    pub(super) fn receive_refusal(&mut self, now: Time, refusal: &Refusal) {
        let Some(key) = self.roster.by_server_key(refusal.server) else { return };
        let member = &mut self.roster[key];
        if member.server.born == refusal.born {
            let slots = member.server.slots.max(1);
            member.room.lower(now, slots, refusal.room);
        }
    }
}
