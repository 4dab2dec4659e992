//! Weighted fair queueing by organisation, short requests above long ones.
//!
//! Start-time fair queueing: each organisation has a virtual time that grows by the cost of what it
//! was served over its weight, and the one furthest behind goes next. Within that, short requests
//! come before long ones; a long one that has waited [`AGE`] is served at every
//! [`AGED_TURN`]th turn at the latest, so that it never starves.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::Time;
use crate::control::Ticket;
use crate::request::Class;

/// Wait after which a long request no longer yields to every short one.
pub const AGE: Duration = Duration::from_secs(2);
/// Requests of one organisation that may wait in one pool.
pub const LANE_LIMIT: usize = 256;
/// Turns of which one goes to an aged long request.
const AGED_TURN: u64 = 4;
/// Weight of a new sample of the time between two turns.
const PACE_GAIN: f64 = 0.1;

/// Number of an organisation.
pub type Org = u32;
/// Virtual time.
type Tag = u64;

/// What waits for one pool.
#[derive(Default)]
pub struct Queue {
    lanes: FxHashMap<Org, Lane>,
    ready: [BTreeSet<(Tag, Org)>; 2],
    virtual_time: Tag,
    turn: u64,
    length: usize,
    active_weight: u64,
    pace: Option<Duration>,
    last_turn: Option<Time>,
}

/// What waits for one organisation.
struct Lane {
    weight: u32,
    tag: Tag,
    running: u32,
    entries: [VecDeque<Entry>; 2],
}

/// One waiting request.
#[derive(Clone, Copy, Debug)]
pub struct Entry {
    /// Which.
    pub ticket: Ticket,
    /// Who pays for it.
    pub org: Org,
    /// Its class.
    pub class: Class,
    /// What it will cost, in tokens.
    pub cost: u64,
    /// When it came.
    pub since: Time,
}

/// Whether a request was taken into the queue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// It waits.
    Queued,
    /// The organisation's lane is full.
    Full,
}

impl Queue {
    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Adds a request at the end of its lane, which has `weight`.
    pub fn push(&mut self, entry: Entry, weight: u32) -> Admission {
        let lane = self.lane(entry.org, weight);
        if lane.len() >= LANE_LIMIT {
            return Admission::Full;
        }
        self.insert(entry, VecDeque::push_back);
        Admission::Queued
    }

    /// Puts a request back at the head of its lane, whatever the lane's length.
    pub fn push_front(&mut self, entry: Entry, weight: u32) {
        self.lane(entry.org, weight);
        self.insert(entry, VecDeque::push_front);
    }

    /// Takes the next request whose organisation is not in `blocked`; the caller then calls
    /// [`Self::serve`] or [`Self::push_front`].
    pub fn pop(&mut self, now: Time, blocked: &[Org]) -> Option<Entry> {
        let aged = self.turn % AGED_TURN == AGED_TURN - 1;
        let (class, org) = aged
            .then(|| self.aged(now, blocked))
            .flatten()
            .or_else(|| self.least(Class::Short, blocked))
            .or_else(|| self.least(Class::Long, blocked))?;
        self.take(class, org)
    }

    /// Charges an organisation for a request that was dispatched.
    pub fn serve(&mut self, entry: &Entry, weight: u32, now: Time) {
        self.turn += 1;
        self.measure(now);
        let virtual_time = self.virtual_time;
        let lane = self.lane(entry.org, weight);
        let before = lane.tag;
        let start = before.max(virtual_time);
        let after = start + entry.cost.max(1) * 1_000 / u64::from(lane.weight);
        lane.tag = after;
        lane.running += 1;
        self.virtual_time = start;
        self.retag(entry.org, before, after);
    }

    /// Counts a request of an organisation as ended.
    pub fn release(&mut self, org: Org) {
        if let Some(lane) = self.lanes.get_mut(&org) {
            lane.running = lane.running.saturating_sub(1);
        }
        self.forget(org);
    }

    /// Removes a waiting request.
    pub fn remove(&mut self, org: Org, class: Class, ticket: Ticket) -> Option<Entry> {
        let lane = self.lanes.get_mut(&org)?;
        let entries = &mut lane.entries[class as usize];
        let index = entries.iter().position(|e| e.ticket == ticket)?;
        let entry = entries.remove(index)?;
        self.length -= 1;
        self.settle(class, org);
        self.forget(org);
        Some(entry)
    }

    /// Whether an organisation runs no more than its share of `slots`.
    pub fn is_within_share(&self, org: Org, weight: u32, slots: u32) -> bool {
        let (running, others) = match self.lanes.get(&org) {
            Some(lane) => (lane.running, self.active_weight),
            None => (0, self.active_weight + u64::from(weight)),
        };
        let share = u64::from(slots) * u64::from(weight) / others.max(1);
        u64::from(running) < share.max(1)
    }

    /// Expected wait of one more request of an organisation.
    pub fn wait(&self, org: Org, weight: u32) -> Option<Duration> {
        let ahead = self.lanes.get(&org).map_or(0, Lane::len);
        let share = self.active_weight.max(u64::from(weight)) as f64 / f64::from(weight.max(1));
        let turns = (ahead as f64 * share).min(self.length as f64);
        self.pace.map(|pace| pace.mul_f64(turns))
    }

    fn lane(&mut self, org: Org, weight: u32) -> &mut Lane {
        let weight = weight.max(1);
        let virtual_time = self.virtual_time;
        let active = &mut self.active_weight;
        self.lanes.entry(org).or_insert_with(|| {
            *active += u64::from(weight);
            Lane { weight, tag: virtual_time, running: 0, entries: Default::default() }
        })
    }

    fn insert(&mut self, entry: Entry, put: impl FnOnce(&mut VecDeque<Entry>, Entry)) {
        let virtual_time = self.virtual_time;
        let Some(lane) = self.lanes.get_mut(&entry.org) else { return };
        let before = lane.tag;
        let tag = if lane.len() == 0 { before.max(virtual_time) } else { before };
        lane.tag = tag;
        put(&mut lane.entries[entry.class as usize], entry);
        self.length += 1;
        self.retag(entry.org, before, tag);
        self.ready[entry.class as usize].insert((tag, entry.org));
    }

    fn retag(&mut self, org: Org, before: Tag, after: Tag) {
        for ready in &mut self.ready {
            if before != after && ready.remove(&(before, org)) {
                ready.insert((after, org));
            }
        }
    }

    fn least(&self, class: Class, blocked: &[Org]) -> Option<(Class, Org)> {
        let ready = &self.ready[class as usize];
        ready.iter().find(|(_, org)| !blocked.contains(org)).map(|(_, org)| (class, *org))
    }

    /// The organisation furthest behind whose oldest long request has aged.
    fn aged(&self, now: Time, blocked: &[Org]) -> Option<(Class, Org)> {
        let class = Class::Long;
        let is_aged = |org: &Org| {
            let head = self.lanes.get(org).and_then(|l| l.entries[class as usize].front());
            head.is_some_and(|e| now >= e.since + AGE)
        };
        let mut orgs = self.ready[class as usize].iter().map(|(_, org)| org);
        orgs.find(|org| !blocked.contains(org) && is_aged(org)).map(|org| (class, *org))
    }

    fn take(&mut self, class: Class, org: Org) -> Option<Entry> {
        let entry = self.lanes.get_mut(&org)?.entries[class as usize].pop_front()?;
        self.length -= 1;
        self.settle(class, org);
        Some(entry)
    }

    /// Drops a lane from the ready set of a class that it has nothing of.
    fn settle(&mut self, class: Class, org: Org) {
        if let Some(lane) = self.lanes.get(&org)
            && lane.entries[class as usize].is_empty()
        {
            self.ready[class as usize].remove(&(lane.tag, org));
        }
    }

    /// Lets go of an organisation whose request left the queue without being served.
    pub fn drop_idle(&mut self, org: Org) {
        self.forget(org);
    }

    /// Forgets an organisation that has nothing waiting or running and no debt.
    fn forget(&mut self, org: Org) {
        if let Some(lane) = self.lanes.get(&org)
            && lane.len() == 0
            && lane.running == 0
        {
            self.active_weight -= u64::from(lane.weight);
            self.lanes.remove(&org);
        }
    }

    fn measure(&mut self, now: Time) {
        if let Some(last) = self.last_turn.filter(|_| self.length > 0) {
            let gap = now.saturating_sub(last);
            self.pace = Some(match self.pace {
                Some(pace) => pace.mul_f64(1.0 - PACE_GAIN) + gap.mul_f64(PACE_GAIN),
                None => gap,
            });
        }
        self.last_turn = Some(now);
    }
}

impl Lane {
    fn len(&self) -> usize {
        self.entries.iter().map(VecDeque::len).sum()
    }
}
