//! Which daemons are alive, and whether this one may act on behalf of the others.
//!
//! The epoch is agreed through the key-value service. A holder is a member that acts on what it
//! owns under an epoch. It may do so only while a majority of the epoch's witnesses have confirmed
//! within [`CONFIRMATION_VALIDITY`], by the holder's clock, that they know no newer epoch. A
//! successor acts once a majority of the witnesses of each earlier epoch have adopted its epoch and
//! [`TAKEOVER_WAIT`] has passed since, so that no holder of an earlier epoch still acts. Any two
//! majorities of an epoch's witnesses share a member, which confirms a single epoch at a time; this
//! needs no agreement of clocks and no answer of the service. While the service is down, the epoch
//! doesn't change and holders continue.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use acacia_catalog::id::{DaemonId, Revision};
use rand::RngExt;
use rand::seq::IndexedRandom;

use super::epoch::{Call, EPOCH_KEY, Epoch, EpochNumber, majority};
use super::outbox::{Outbox, Purpose};
use super::{Action, Line, Mutation};
use crate::message::{Confirm, Message, Probe, Sender};
use crate::{Time, kv};

/// How long a witness's confirmation is valid, from the sending of the probe.
pub const CONFIRMATION_VALIDITY: Duration = Duration::from_millis(600);
/// Time between two probes by a holder that needs to act.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// Time after which no holder of an earlier epoch acts: [`CONFIRMATION_VALIDITY`] and a tenth for
/// clock drift.
pub const TAKEOVER_WAIT: Duration = Duration::from_millis(660);
/// Time between two periodic digests.
pub const DIGEST_INTERVAL: Duration = Duration::from_millis(300);
/// Silence after which a member is considered dead.
const SUSPECT_AFTER: Duration = Duration::from_millis(1_000);
/// Delay by which each further monitor of a member waits longer before it removes the member.
const MONITOR_STAGGER: Duration = Duration::from_millis(150);
/// Silence after which a witness of an earlier epoch is considered gone.
///
/// Applies only to witnesses that the list of live instances doesn't show. If the list is missing,
/// a holder isn't waited for that reaches most of its witnesses while all of them are cut off from
/// the service for this long.
const WITNESS_GONE_AFTER: Duration = Duration::from_secs(10);
/// Delay before a failed call is retried.
const RETRY_DELAY: Duration = Duration::from_millis(250);
/// Number of daemons that monitor each member.
const MONITORS: usize = 3;
/// Largest fleet in which epochs and rumours are sent to every member directly.
const SMALL_FLEET: usize = 12;
/// Number of members that a rumour is sent to in a larger fleet.
const FANOUT: usize = 4;
/// Maximum earlier epochs whose witnesses have not yet adopted the current one.
const MAX_EARLIER: usize = 8;

/// One daemon's view of the epoch.
pub(super) struct Membership {
    seeds: Vec<SocketAddr>,
    epoch: Epoch,
    entry_revision: kv::ModRevision,
    adopted_at: Time,
    continuous: bool,
    /// Whether all holders of epochs before the previous one had stopped when this one was adopted.
    predecessors_stopped: bool,
    last_seen: BTreeMap<DaemonId, Time>,
    monitored: Vec<DaemonId>,
    monitors: Vec<SocketAddr>,
    peers: Vec<SocketAddr>,
    watcher: bool,
    /// Addresses of members and of witnesses of earlier epochs.
    known: BTreeMap<DaemonId, SocketAddr>,
    /// Addresses of the daemons on the list of live instances.
    listed: BTreeSet<SocketAddr>,
    confirmed: BTreeMap<DaemonId, Time>,
    adopted: BTreeMap<DaemonId, EpochNumber>,
    settled_at: Option<Time>,
    in_force: BTreeMap<DaemonId, Revision>,
    has_new_revision: bool,
    service_at: Option<Time>,
    swapping: bool,
    watching: bool,
    reading: bool,
    next_call_at: Time,
    next_swap_at: Time,
    probe_at: Time,
    probing_until: Time,
    ticked_at: Time,
    leaving: bool,
    mutation: Option<Mutation>,
}

impl Membership {
    pub fn new(seeds: Vec<SocketAddr>, mutation: Option<Mutation>) -> Self {
        Self {
            seeds,
            epoch: Epoch::default(),
            entry_revision: 0,
            adopted_at: Time::ZERO,
            continuous: false,
            predecessors_stopped: false,
            last_seen: BTreeMap::new(),
            monitored: Vec::new(),
            monitors: Vec::new(),
            peers: Vec::new(),
            watcher: false,
            known: BTreeMap::new(),
            listed: BTreeSet::new(),
            confirmed: BTreeMap::new(),
            adopted: BTreeMap::new(),
            settled_at: None,
            in_force: BTreeMap::new(),
            has_new_revision: false,
            service_at: None,
            swapping: false,
            watching: false,
            reading: false,
            next_call_at: Time::ZERO,
            next_swap_at: Time::ZERO,
            probe_at: Time::ZERO,
            probing_until: Time::ZERO,
            ticked_at: Time::ZERO,
            leaving: false,
            mutation,
        }
    }

    /// The newest epoch known.
    pub fn epoch(&self) -> &Epoch {
        &self.epoch
    }

    /// Whether this daemon had adopted the previous epoch too.
    pub fn is_continuous(&self) -> bool {
        self.continuous
    }

    /// Whether this daemon was allowed to act on what it owned in the previous epoch.
    pub fn was_authoritative(&self) -> bool {
        self.continuous && self.predecessors_stopped
    }

    /// Revision in force at each daemon, as last received.
    pub fn in_force(&self) -> &BTreeMap<DaemonId, Revision> {
        &self.in_force
    }

    /// Handles the daemons on the list of live instances; they are contacted before an epoch is
    /// known.
    pub fn list(&mut self, me: SocketAddr, seeds: impl IntoIterator<Item = SocketAddr>) {
        let seeds: Vec<SocketAddr> = seeds.into_iter().collect();
        self.listed = seeds.iter().copied().collect();
        for seed in seeds {
            if seed != me && !self.seeds.contains(&seed) {
                self.seeds.push(seed);
            }
        }
    }

    /// Whether this daemon may act under its epoch now; keeps the probing of witnesses going.
    pub fn may_act(&mut self, now: Time, out: &mut Outbox) -> bool {
        self.probing_until = now + PROBE_INTERVAL * 10;
        self.probe(now, out);
        if self.mutation == Some(Mutation::ActUnconfirmed) {
            return self.epoch.member(&out.me().daemon).is_some();
        }
        self.is_confirmed(now, out)
    }

    /// When the last holder of an earlier epoch stopped acting; none while unknown.
    pub fn predecessors_stopped_at(&self) -> Option<Time> {
        if self.mutation == Some(Mutation::SkipWaitOut) {
            return Some(self.adopted_at);
        }
        if self.epoch.number == 1 {
            // There is no earlier epoch.
            return Some(Time::ZERO);
        }
        self.settled_at.map(|at| at + TAKEOVER_WAIT)
    }

    /// Whether this daemon watches the key-value service for its zone.
    pub fn is_watcher(&self) -> bool {
        self.watcher
    }

    /// Peers to send rumours to: all in a small fleet, else random ones, half of them of this zone.
    pub fn fanout(&self, out: &mut Outbox) -> Vec<SocketAddr> {
        let me = out.me().clone();
        let (near, far): (Vec<&Sender>, Vec<&Sender>) = self
            .epoch
            .members
            .iter()
            .filter(|m| m.daemon != me.daemon)
            .partition(|m| m.zone == me.zone);
        if near.len() + far.len() < SMALL_FLEET {
            return near.iter().chain(&far).map(|m| m.address).collect();
        }
        let close = near.sample(&mut out.rng, FANOUT / 2).map(|m| m.address);
        let mut chosen: Vec<SocketAddr> = close.collect();
        chosen.extend(far.sample(&mut out.rng, FANOUT / 2).map(|m| m.address));
        chosen
    }

    /// Peers to send a periodic digest to: this daemon's monitors and one random member.
    pub fn digest_peers(&self, out: &mut Outbox) -> Vec<SocketAddr> {
        let me = out.me().address;
        let mut peers = self.monitors.clone();
        let other = self.epoch.members.choose(&mut out.rng).map(|m| m.address);
        peers.extend(other.filter(|a| *a != me && !self.monitors.contains(a)));
        if peers.is_empty() {
            peers.extend(self.seeds.choose(&mut out.rng).copied().filter(|a| *a != me));
        }
        peers
    }

    /// Peers to pull from: the other members, or the seeds if there are none.
    pub fn peers(&self) -> &[SocketAddr] {
        if self.peers.is_empty() { &self.seeds } else { &self.peers }
    }

    /// Notes that a peer is alive.
    pub fn note_alive(&mut self, now: Time, from: &DaemonId) {
        if let Some(at) = self.last_seen.get_mut(from) {
            *at = now;
        }
    }

    /// Notes the revision in force at a peer.
    pub fn note_revision(&mut self, from: &DaemonId, revision: Revision) {
        if self.epoch.member(from).is_some() {
            let known = self.in_force.entry(from.clone()).or_default();
            self.has_new_revision |= revision > *known;
            *known = revision.max(*known);
        }
    }

    /// Whether a peer reported a newer revision since the last [`Self::clear_new_revisions`].
    pub fn has_new_revisions(&self) -> bool {
        self.has_new_revision
    }

    /// Resets [`Self::has_new_revisions`].
    pub fn clear_new_revisions(&mut self) {
        self.has_new_revision = false;
    }

    /// Probes every member that isn't known to have a revision in force.
    pub fn probe_outdated(&self, now: Time, revision: Revision, out: &mut Outbox) {
        let me = out.me().daemon.clone();
        let lacks = |m: &&Sender| {
            let known = self.in_force.get(&m.daemon).copied().unwrap_or_default();
            m.daemon != me && known < revision
        };
        for member in self.epoch.members.iter().filter(lacks) {
            let probe = Probe { epoch: self.epoch.number, sent: now };
            out.send(member.address, Message::Probe(probe));
        }
    }

    /// Answers a holder's probe, as a witness.
    pub fn probed(&self, from: &Sender, probe: &Probe, revision: Revision, out: &mut Outbox) {
        let epoch = match self.mutation {
            Some(Mutation::ConfirmAnything) => probe.epoch,
            _ => self.epoch.number,
        };
        let confirm = Confirm { epoch, echo: probe.sent, revision };
        out.send(from.address, Message::Confirm(confirm));
        if probe.epoch < self.epoch.number {
            out.send(from.address, Message::Epoch(self.epoch.clone()));
        }
        if probe.epoch > self.epoch.number {
            out.send(from.address, Message::EpochPull);
        }
    }

    /// Handles a witness's answer.
    pub fn confirmed(&mut self, now: Time, from: &DaemonId, confirm: &Confirm) {
        self.note_revision(from, confirm.revision);
        if confirm.epoch == self.epoch.number && confirm.echo <= now {
            let at = self.confirmed.entry(from.clone()).or_default();
            *at = confirm.echo.max(*at);
        }
        if confirm.epoch >= self.epoch.number {
            self.adopted.insert(from.clone(), confirm.epoch);
            self.settle(now);
        }
    }

    /// Adopts an epoch if it is newer; true if it was.
    pub fn learn(&mut self, now: Time, epoch: Epoch, out: &mut Outbox) -> bool {
        if epoch.number <= self.epoch.number {
            return false;
        }
        self.adopt(now, epoch, out);
        true
    }

    /// Handles the result of a call; true if the epoch changed.
    pub fn ended(
        &mut self,
        now: Time,
        call: Call,
        outcome: &kv::Outcome,
        out: &mut Outbox,
    ) -> bool {
        if outcome.is_ok() {
            self.service_at = Some(now);
        }
        match call {
            Call::Watch | Call::Read => {
                let flag =
                    if matches!(call, Call::Read) { &mut self.reading } else { &mut self.watching };
                *flag = false;
                self.next_call_at = if outcome.is_ok() { now } else { now + RETRY_DELAY };
            }
            Call::Swap(_) => {
                self.swapping = false;
                self.next_swap_at = now + self.jitter(out);
            }
        }
        match (call, outcome) {
            (Call::Swap(epoch), Ok(kv::Reply::Swapped(revision))) => {
                self.entry_revision = self.entry_revision.max(*revision);
                self.learn(now, epoch, out)
            }
            (_, Ok(kv::Reply::Got(entry) | kv::Reply::Conflict(entry))) => {
                self.take_entry(now, entry.as_ref(), out)
            }
            _ => false,
        }
    }

    /// Starts leaving.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Whether this daemon was leaving and is no longer a member.
    pub fn has_left(&self, me: &DaemonId) -> bool {
        self.leaving && self.epoch.member(me).is_none()
    }

    /// Reads the epoch, proposes the next one and probes, as needed.
    pub fn tick(&mut self, now: Time, out: &mut Outbox) {
        if now > self.ticked_at + SUSPECT_AFTER / 2 {
            // This daemon was paused, so the silence doesn't mean that the others are dead.
            self.last_seen.values_mut().for_each(|at| *at = now);
        }
        self.ticked_at = now;
        self.read(now, out);
        self.propose(now, out);
        if now < self.probing_until || self.settled_at.is_none() {
            self.probe(now, out);
        }
        self.settle(now);
    }

    fn is_confirmed(&self, now: Time, out: &Outbox) -> bool {
        let me = &out.me().daemon;
        if self.epoch.member(me).is_none() {
            return false;
        }
        let fresh = |w: &&DaemonId| {
            *w == me || self.confirmed.get(*w).is_some_and(|at| now < *at + CONFIRMATION_VALIDITY)
        };
        let count = self.epoch.witnesses.iter().filter(fresh).count();
        count >= majority(&self.epoch.witnesses)
    }

    fn probe(&mut self, now: Time, out: &mut Outbox) {
        if now < self.probe_at || self.epoch.number == 0 {
            return;
        }
        self.probe_at = now + PROBE_INTERVAL;
        let earlier = self.epoch.earlier.iter().flatten();
        let earlier = earlier.filter(|_| self.settled_at.is_none());
        let names: BTreeSet<_> = self.epoch.witnesses.iter().chain(earlier).collect();
        let me = out.me().daemon.clone();
        for name in names.into_iter().filter(|n| **n != me) {
            if let Some(address) = self.known.get(name) {
                let probe = Probe { epoch: self.epoch.number, sent: now };
                out.send(*address, Message::Probe(probe));
            }
        }
    }

    /// Notes when a majority of the witnesses of every earlier epoch have adopted this one.
    fn settle(&mut self, now: Time) {
        if self.settled_at.is_some() || self.epoch.number == 0 {
            return;
        }
        let done = |w: &&DaemonId| {
            self.adopted.get(*w).is_some_and(|n| *n >= self.epoch.number) || self.is_gone(now, w)
        };
        let most = |group: &Vec<DaemonId>| group.iter().filter(done).count() >= majority(group);
        if self.epoch.earlier.iter().all(most) {
            self.settled_at = Some(now);
        }
    }

    /// Whether a witness of an earlier epoch is considered gone.
    fn is_gone(&self, now: Time, witness: &DaemonId) -> bool {
        let silent = self.last_seen.get(witness).copied().unwrap_or(self.adopted_at);
        let since = silent.max(self.adopted_at);
        let answers = self.service_at.is_some_and(|at| now < at + WITNESS_GONE_AFTER);
        let listed = self.is_listed(witness) && self.mutation != Some(Mutation::IgnoreList);
        now >= since + WITNESS_GONE_AFTER && answers && !listed
    }

    /// Whether the list of live instances shows a daemon's address and no other member has taken
    /// it.
    fn is_listed(&self, daemon: &DaemonId) -> bool {
        let Some(address) = self.known.get(daemon) else { return false };
        let replaced =
            self.epoch.members.iter().any(|m| m.address == *address && m.daemon != *daemon);
        self.listed.contains(address) && !replaced
    }

    fn read(&mut self, now: Time, out: &mut Outbox) {
        let waiting = self.settled_at.is_none()
            && self.service_at.is_none_or(|at| now > at + WITNESS_GONE_AFTER / 4);
        let reads = waiting || self.entry_revision == 0 || !out.service_up();
        let wanted = self.epoch.number == 0 || waiting || self.watcher;
        let busy = if reads { self.reading } else { self.watching };
        if busy || now < self.next_call_at || !wanted {
            return;
        }
        let key = EPOCH_KEY.to_owned();
        if reads {
            self.reading = true;
            out.call(Purpose::Epoch(Call::Read), kv::Request::Get { key });
        } else {
            self.watching = true;
            let request = kv::Request::Watch { key, after: self.entry_revision };
            out.call(Purpose::Epoch(Call::Watch), request);
        }
    }

    fn take_entry(&mut self, now: Time, entry: Option<&kv::Entry>, out: &mut Outbox) -> bool {
        let Some(entry) = entry else {
            // The key is absent, so this daemon tries to create it.
            return self.start(now, out);
        };
        self.entry_revision = self.entry_revision.max(entry.revision);
        match rmp_serde::from_slice::<Epoch>(&entry.value) {
            Ok(epoch) => self.learn(now, epoch, out),
            Err(_) => false,
        }
    }

    fn start(&mut self, now: Time, out: &mut Outbox) -> bool {
        let me = out.me().clone();
        if self.epoch.number == 0 && !self.swapping && !self.leaving {
            self.swap(self.epoch.next(&[], Some(&me), true), out);
        }
        self.next_call_at = now + RETRY_DELAY;
        false
    }

    /// Proposes an epoch that adds this daemon, removes dead members, or removes this daemon when
    /// it is leaving.
    fn propose(&mut self, now: Time, out: &mut Outbox) {
        // If the entry's revision is unknown, the swap gets a conflict that contains it.
        let known = self.epoch.number != 0;
        let full = self.epoch.earlier.len() >= MAX_EARLIER && self.settled_at.is_none();
        if self.swapping || now < self.next_swap_at || !known || full {
            return;
        }
        let me = out.me().clone();
        let member = self.epoch.member(&me.daemon).is_some();
        let settled = self.settled_at.is_some();
        let next = match (self.leaving, member) {
            (true, true) => self.epoch.next(&[me.daemon], None, settled),
            (false, false) => self.epoch.next(&[], Some(&me), settled),
            (false, true) => {
                let dead = self.dead(now, &me.daemon);
                if dead.is_empty() {
                    return;
                }
                self.epoch.next(&dead, None, settled)
            }
            (true, false) => return,
        };
        self.swap(next, out);
    }

    fn swap(&mut self, next: Epoch, out: &mut Outbox) {
        self.swapping = true;
        let request = kv::Request::Swap {
            key: EPOCH_KEY.to_owned(),
            expected: self.entry_revision,
            value: rmp_serde::to_vec(&next).ok(),
            lease: None,
        };
        out.call(Purpose::Epoch(Call::Swap(next)), request);
    }

    /// Monitored members that have been silent for too long.
    fn dead(&self, now: Time, me: &DaemonId) -> Vec<DaemonId> {
        let turn = |daemon: &DaemonId| {
            let ranked = self.epoch.rank(&monitor_key(daemon), MONITORS + 1);
            let mut others = ranked.into_iter().filter(|m| m.daemon != *daemon);
            others.position(|m| m.daemon == *me).unwrap_or(0) as u32
        };
        let silent = |daemon: &&DaemonId| {
            let last_seen = self.last_seen.get(*daemon).copied().unwrap_or(self.adopted_at);
            now >= last_seen + SUSPECT_AFTER
                && now >= last_seen + SUSPECT_AFTER + MONITOR_STAGGER * turn(daemon)
        };
        self.monitored.iter().filter(silent).cloned().collect()
    }

    fn adopt(&mut self, now: Time, epoch: Epoch, out: &mut Outbox) {
        let me = out.me().clone();
        self.continuous = epoch.number == self.epoch.number + 1;
        self.predecessors_stopped = self.predecessors_stopped_at().is_some_and(|at| now >= at);
        out.push(Action::Log(Line::Epoch(epoch.number, epoch.members.len())));
        self.epoch = epoch;
        self.adopted_at = now;
        self.confirmed.clear();
        self.adopted.retain(|_, number| *number >= self.epoch.number);
        self.adopted.insert(me.daemon.clone(), self.epoch.number);
        self.settled_at = None;
        self.probe_at = now;
        self.assign_monitors(now, &me);
        self.settle(now);
        self.announce(out);
        self.probe(now, out);
    }

    /// Determines monitors, watcher and addresses from the new epoch.
    fn assign_monitors(&mut self, now: Time, me: &Sender) {
        let epoch = &self.epoch;
        let first = epoch.rank_in_zone(&me.zone, "watch", 1);
        self.watcher = first.first().is_some_and(|m| m.daemon == me.daemon);
        let others = epoch.members.iter().filter(|m| m.daemon != me.daemon);
        self.peers = others.map(|m| m.address).collect();
        let watches =
            |m: &&Sender| epoch.is_ranked(&me.daemon, &monitor_key(&m.daemon), &m.daemon, MONITORS);
        let monitored: Vec<DaemonId> =
            epoch.members.iter().filter(watches).map(|m| m.daemon.clone()).collect();
        let ranked = epoch.rank(&monitor_key(&me.daemon), MONITORS + 1);
        let others = ranked.into_iter().filter(|m| m.daemon != me.daemon);
        self.monitors = others.take(MONITORS).map(|m| m.address).collect();
        // Newly monitored members get the full time before they are considered dead.
        for daemon in &monitored {
            if !self.monitored.contains(daemon) {
                self.last_seen.insert(daemon.clone(), now);
            }
        }
        self.monitored = monitored;
        let addresses = epoch.members.iter().chain(&epoch.left);
        self.known.extend(addresses.map(|m| (m.daemon.clone(), m.address)));
        let witnesses: BTreeSet<&DaemonId> = epoch.earlier.iter().flatten().collect();
        let member = |d: &DaemonId| epoch.member(d).is_some();
        self.known.retain(|daemon, _| member(daemon) || witnesses.contains(daemon));
        let known = epoch.members.iter().chain(&epoch.left);
        let names: BTreeSet<_> = known.map(|m| m.daemon.clone()).collect();
        self.last_seen.retain(|daemon, _| names.contains(daemon));
        for name in names {
            self.last_seen.entry(name).or_insert(now);
        }
        self.in_force.retain(|daemon, _| self.epoch.member(daemon).is_some());
    }

    /// Sends the new epoch to its witnesses and earlier ones and, in a small fleet, to everyone.
    fn announce(&self, out: &mut Outbox) {
        let epoch = &self.epoch;
        let concerned = |m: &&Sender| {
            epoch.members.len() <= SMALL_FLEET
                || epoch.witnesses.contains(&m.daemon)
                || epoch.earlier.iter().flatten().any(|w| *w == m.daemon)
        };
        let me = out.me().daemon.clone();
        for member in epoch.members.iter().chain(&epoch.left).filter(concerned) {
            if member.daemon != me {
                out.send(member.address, Message::Epoch(epoch.clone()));
            }
        }
    }

    fn jitter(&self, out: &mut Outbox) -> Duration {
        Duration::from_millis(out.rng.random_range(5..50))
    }
}

fn monitor_key(daemon: &str) -> String {
    format!("monitor/{daemon}")
}
