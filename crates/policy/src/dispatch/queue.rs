//! Weighted fair queueing by organisation, with short requests before long ones.
//!
//! Start-time fair queueing: each organisation has a virtual time that advances by the cost of its
//! served requests divided by its weight, and the one with the least virtual time is served next.
//! Short requests are served before long ones. Every [`AGED_TURN_INTERVAL`]th turn goes to a long
//! request that has waited [`AGING_WAIT`], so that long ones don't starve.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::Time;
use crate::control::Ticket;
use crate::request::Class;

/// Wait after which a long request no longer yields to all short ones.
pub const AGING_WAIT: Duration = Duration::from_secs(2);
/// Requests of one organisation and class that may wait in one pool.
pub const FLOW_LIMIT: usize = 256;
/// One in this many turns goes to an aged long request.
const AGED_TURN_INTERVAL: u64 = 4;
/// How long an organisation counts as active after the end of its last request.
const IDLE_RETENTION: Duration = Duration::from_secs(5);
/// Time over which the number of running requests is averaged.
const AVERAGE_WINDOW: Duration = Duration::from_secs(2);
/// Waiting requests above which an organisation is held strictly to its share.
const BACKLOG_THRESHOLD: usize = 4;
/// Average number of running requests of others from which shares are enforced.
const OTHERS_RUNNING_THRESHOLD: f64 = 0.1;
/// Weight of a new sample in the moving average of the time between turns.
const TURN_INTERVAL_GAIN: f64 = 0.1;

/// Number of an organisation.
pub type Org = u32;
/// Virtual time.
type Tag = u64;

/// The requests that wait for one pool.
#[derive(Default)]
pub struct Queue {
    flows: FxHashMap<Org, Flow>,
    ready: [BTreeSet<(Tag, Org)>; 2],
    virtual_time: Tag,
    turn: u64,
    length: usize,
    load: Average,
    idle: VecDeque<(Time, Org)>,
    active_weight: u64,
    turn_interval: Option<Duration>,
    last_turn: Option<Time>,
}

/// The waiting requests of one organisation.
#[derive(Default)]
struct Flow {
    weight: u32,
    tag: Tag,
    load: Average,
    idle_since: Option<Time>,
    entries: [VecDeque<Entry>; 2],
}

/// One waiting request.
#[derive(Clone, Copy, Debug)]
pub struct Entry {
    /// The request.
    pub ticket: Ticket,
    /// The organisation that is charged.
    pub org: Org,
    /// Its class.
    pub class: Class,
    /// Estimated cost in prompt tokens.
    pub cost: u64,
    /// When it arrived.
    pub since: Time,
}

/// Whether a request was queued.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// It was queued.
    Queued,
    /// The organisation has too many waiting requests of its class.
    Full,
}

impl Queue {
    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Appends a request to its organisation's flow, which has `weight`.
    pub fn push(&mut self, entry: Entry, weight: u32) -> Admission {
        let flow = self.flow(entry.org, weight);
        if flow.entries[entry.class as usize].len() >= FLOW_LIMIT {
            return Admission::Full;
        }
        self.insert(entry, VecDeque::push_back);
        Admission::Queued
    }

    /// Puts a request at the head of its organisation's flow, beyond the limit if necessary.
    pub fn push_front(&mut self, entry: Entry, weight: u32) {
        self.flow(entry.org, weight);
        self.insert(entry, VecDeque::push_front);
    }

    /// Takes the next request whose organisation is not in `blocked`; the caller then calls
    /// [`Self::charge`] or [`Self::push_front`].
    pub fn pop(&mut self, now: Time, blocked: &[Org]) -> Option<Entry> {
        let aged = self.turn % AGED_TURN_INTERVAL == AGED_TURN_INTERVAL - 1;
        let (class, org) = aged
            .then(|| self.aged(now, blocked))
            .flatten()
            .or_else(|| self.least_served(Class::Short, blocked))
            .or_else(|| self.least_served(Class::Long, blocked))?;
        self.take(class, org)
    }

    /// Charges an organisation for a dispatched request.
    pub fn charge(&mut self, entry: &Entry, weight: u32, now: Time) {
        self.turn += 1;
        self.record_turn(now);
        let virtual_time = self.virtual_time;
        let flow = self.flow(entry.org, weight);
        let before = flow.tag;
        let start = before.max(virtual_time);
        let after = start + entry.cost.max(1) * 1_000 / u64::from(flow.weight);
        flow.tag = after;
        flow.load.adjust(now, 1);
        self.load.adjust(now, 1);
        self.virtual_time = start;
        self.retag(entry.org, before, after);
    }

    /// Counts the end of a running request.
    pub fn release(&mut self, org: Org, now: Time) {
        if let Some(flow) = self.flows.get_mut(&org) {
            flow.load.adjust(now, -1);
            self.load.adjust(now, -1);
        }
        self.update_idle(org, now);
    }

    /// Removes a waiting request.
    pub fn remove(&mut self, org: Org, class: Class, ticket: Ticket, now: Time) -> Option<Entry> {
        let flow = self.flows.get_mut(&org)?;
        let entries = &mut flow.entries[class as usize];
        let index = entries.iter().position(|e| e.ticket == ticket)?;
        let entry = entries.remove(index)?;
        self.length -= 1;
        self.remove_if_empty(class, org);
        self.update_idle(org, now);
        Some(entry)
    }

    /// Whether one more request keeps an organisation within its share of `slots`. Shares are
    /// enforced only while other organisations run requests.
    pub fn is_within_share(&self, org: Org, weight: u32, slots: f64, now: Time) -> bool {
        let Some(flow) = self.flows.get(&org) else { return true };
        let own = flow.load.at(now);
        if self.load.at(now) - own < OTHERS_RUNNING_THRESHOLD {
            return true;
        }
        let share = slots * f64::from(weight) / self.active_weight.max(1) as f64;
        let fits = f64::from(flow.load.count) < share.floor().max(1.0);
        match flow.len() > BACKLOG_THRESHOLD {
            true => own <= share && fits,
            false => own <= share || fits,
        }
    }

    /// The share of the upstreams of an organisation with a backlog, while other organisations run
    /// requests.
    pub fn backlogged_share(&self, org: Org, weight: u32, now: Time) -> Option<f64> {
        let flow = self.flows.get(&org).filter(|flow| flow.len() > BACKLOG_THRESHOLD)?;
        let others = self.load.at(now) - flow.load.at(now);
        let share = f64::from(weight) / self.active_weight.max(1) as f64;
        (others >= OTHERS_RUNNING_THRESHOLD).then_some(share)
    }

    /// Expected wait of one more request of an organisation and class; `None` without samples.
    pub fn expected_wait(&self, org: Org, weight: u32, class: Class) -> Option<Duration> {
        let ahead = self.flows.get(&org).map_or(0, |flow| flow.ahead(class));
        let share = self.active_weight.max(u64::from(weight)) as f64 / f64::from(weight.max(1));
        let turns = (ahead as f64 * share).min(self.length as f64);
        self.turn_interval.map(|turn_interval| turn_interval.mul_f64(turns))
    }

    fn flow(&mut self, org: Org, weight: u32) -> &mut Flow {
        let weight = weight.max(1);
        let virtual_time = self.virtual_time;
        let active = &mut self.active_weight;
        self.flows.entry(org).or_insert_with(|| {
            *active += u64::from(weight);
            Flow { weight, tag: virtual_time, ..Flow::default() }
        })
    }

    fn insert(&mut self, entry: Entry, push: impl FnOnce(&mut VecDeque<Entry>, Entry)) {
        let virtual_time = self.virtual_time;
        let Some(flow) = self.flows.get_mut(&entry.org) else { return };
        let before = flow.tag;
        let tag = if flow.len() == 0 { before.max(virtual_time) } else { before };
        flow.tag = tag;
        push(&mut flow.entries[entry.class as usize], entry);
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

    fn least_served(&self, class: Class, blocked: &[Org]) -> Option<(Class, Org)> {
        let ready = &self.ready[class as usize];
        ready.iter().find(|(_, org)| !blocked.contains(org)).map(|(_, org)| (class, *org))
    }

    /// The organisation with the least virtual time whose oldest long request has aged.
    fn aged(&self, now: Time, blocked: &[Org]) -> Option<(Class, Org)> {
        let class = Class::Long;
        let is_aged = |org: &Org| {
            let head = self.flows.get(org).and_then(|l| l.entries[class as usize].front());
            head.is_some_and(|e| now >= e.since + AGING_WAIT)
        };
        let mut orgs = self.ready[class as usize].iter().map(|(_, org)| org);
        orgs.find(|org| !blocked.contains(org) && is_aged(org)).map(|org| (class, *org))
    }

    fn take(&mut self, class: Class, org: Org) -> Option<Entry> {
        let entry = self.flows.get_mut(&org)?.entries[class as usize].pop_front()?;
        self.length -= 1;
        self.remove_if_empty(class, org);
        Some(entry)
    }

    /// Removes a flow from the ready set of a class in which it has no requests.
    fn remove_if_empty(&mut self, class: Class, org: Org) {
        if let Some(flow) = self.flows.get(&org)
            && flow.entries[class as usize].is_empty()
        {
            self.ready[class as usize].remove(&(flow.tag, org));
        }
    }

    /// Updates an organisation whose request left the queue without being served.
    pub fn release_unserved(&mut self, org: Org, now: Time) {
        self.update_idle(org, now);
    }

    /// Marks an organisation without waiting or running requests as idle, and removes those that
    /// have been idle for [`IDLE_RETENTION`].
    fn update_idle(&mut self, org: Org, now: Time) {
        if let Some(flow) = self.flows.get_mut(&org)
            && flow.is_idle()
        {
            flow.idle_since = Some(now);
            self.idle.push_back((now, org));
        }
        while let Some((since, org)) =
            self.idle.pop_front_if(|(since, _)| *since + IDLE_RETENTION <= now)
        {
            let flow = self.flows.get(&org);
            if let Some(flow) = flow.filter(|l| l.is_idle() && l.idle_since == Some(since)) {
                self.active_weight -= u64::from(flow.weight);
                self.flows.remove(&org);
            }
        }
    }

    fn record_turn(&mut self, now: Time) {
        if let Some(last) = self.last_turn.filter(|_| self.length > 0) {
            let gap = now.saturating_sub(last);
            self.turn_interval = Some(match self.turn_interval {
                Some(turn_interval) => {
                    turn_interval.mul_f64(1.0 - TURN_INTERVAL_GAIN)
                        + gap.mul_f64(TURN_INTERVAL_GAIN)
                }
                None => gap,
            });
        }
        self.last_turn = Some(now);
    }
}

/// A count and its moving average over [`AVERAGE_WINDOW`].
#[derive(Clone, Copy, Default)]
struct Average {
    count: u32,
    value: f64,
    since: Time,
}

impl Average {
    fn at(&self, now: Time) -> f64 {
        let passed = now.saturating_sub(self.since).as_secs_f64();
        let weight = passed / (passed + AVERAGE_WINDOW.as_secs_f64());
        self.value + weight * (f64::from(self.count) - self.value)
    }

    fn adjust(&mut self, now: Time, by: i32) {
        self.value = self.at(now);
        self.since = now;
        self.count = self.count.saturating_add_signed(by);
    }
}

impl Flow {
    /// Requests of this flow that are served before one more of a class.
    fn ahead(&self, class: Class) -> usize {
        let of_class = self.entries[class as usize].len();
        match class {
            Class::Short => of_class,
            Class::Long => self.len().min((of_class + 1) * AGED_TURN_INTERVAL as usize),
        }
    }

    fn is_idle(&self) -> bool {
        self.len() == 0 && self.load.count == 0
    }

    fn len(&self) -> usize {
        self.entries.iter().map(VecDeque::len).sum()
    }
}
