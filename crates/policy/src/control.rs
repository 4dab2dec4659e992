//! The state machine that coordinates a daemon with its peers.
//!
//! [`Control::step`] takes one event and returns actions. Its parts, one file each: `membership`
//! (which daemons are alive, and whether this one may act), `config` and `publication` (the
//! configuration in force), `status` (what is known of upstreams), `owner` and `ownership` (permits
//! for cold upstreams that this daemon grants), `permit` (permits that it requests), `claim` and
//! `shard` (requests that may run only once) and `order` (orders to upstreams).

mod claim;
mod config;
mod epoch;
mod event;
mod membership;
mod mutation;
mod order;
mod outbox;
mod owner;
mod ownership;
mod permit;
mod publication;
mod shard;
mod status;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use acacia_catalog::id::{DaemonId, Revision, UpstreamId};
use rand::seq::IndexedRandom;

pub use config::{ROOT_KEY, Record};
pub use epoch::{EPOCH_KEY, Epoch, EpochNumber};
pub use event::*;
pub use membership::{CONFIRMATION_VALIDITY, DIGEST_INTERVAL, TAKEOVER_WAIT};
pub use mutation::Mutation;
pub use ownership::PERMIT_VALIDITY;
pub use shard::Ending;

use crate::message::{Digest, Envelope, Grant, Message, PermitState, Rumour, Sender};
use crate::snapshot::{Snapshot, Warmth};
use crate::{Time, kv};
use claim::Claims;
use config::Config;
use membership::Membership;
use order::{ORDERS_KEY, Orders};
use outbox::{Outbox, Purpose};
use owner::Owner;
use permit::Demands;
use status::Statuses;

/// Minimum time between two snapshots.
const SNAPSHOT_INTERVAL: Duration = Duration::from_millis(50);
/// Time between two pulls of a first configuration or epoch, and between two rounds of probes for
/// the revision in force at the members.
const PULL_INTERVAL: Duration = Duration::from_millis(500);
/// How long a daemon probes the members for the revision that it published.
const IN_FORCE_PROBE_TIME: Duration = Duration::from_secs(10);
/// Maximum time that a stop waits for the key-value service.
const STOP_TIMEOUT: Duration = Duration::from_secs(5);

/// The decisions of one daemon that involve other daemons.
pub struct Control {
    out: Outbox,
    membership: Membership,
    config: Config,
    statuses: Statuses,
    demands: Demands,
    owner: Owner,
    claims: Claims,
    orders: Orders,
    entered_epoch: EpochNumber,
    order_holder: Option<Sender>,
    digest_at: Time,
    pull_at: Time,
    probe_until: Time,
    published_at: Option<Time>,
    changed: bool,
    stop_by: Option<Time>,
    stopped: bool,
}

impl Control {
    /// A daemon that knows only its identity and addresses of possible peers.
    pub fn new(identity: Identity, peers: Vec<SocketAddr>) -> Self {
        Self::build(&identity, peers, None)
    }

    /// A daemon with one rule switched off, to prove that the tests' checks notice.
    #[doc(hidden)]
    pub fn mutated(identity: Identity, peers: Vec<SocketAddr>, mutation: Mutation) -> Self {
        Self::build(&identity, peers, Some(mutation))
    }

    /// Handles an event; returns the actions to carry out, in order.
    pub fn step(&mut self, now: Time, event: Event) -> Vec<Action> {
        match event {
            Event::Tick => self.tick(now),
            Event::Kv(call, outcome) => self.called(now, call, &outcome),
            Event::Message(envelope) => self.receive(now, envelope),
            Event::Listed(instances) => self.listed(now, &instances),
            Event::Observed(upstream, observation) => self.observe(now, &upstream, &observation),
            Event::PermitWanted { upstream, waiting } => {
                self.request_permits(now, upstream, waiting)
            }
            Event::PermitReturned { permit, usage } => self.demands.return_permit(&permit, usage),
            Event::ClaimWanted(ticket, claim) => self.request_claim(now, ticket, claim),
            Event::ClaimEnded { claim, verdict, answer } => {
                let committer = committer(&self.membership, &claim);
                self.claims.finish(claim, verdict, answer, committer.as_ref(), &mut self.out);
            }
            Event::ChangeWanted(ticket, change) => {
                self.config.publish(ticket, change, &mut self.out);
            }
            Event::OrderWanted(ticket, order) => self.orders.request(now, ticket, order),
            Event::Ordered(order, outcome) => self.orders.ordered(&order, outcome, &mut self.out),
            Event::Stop => {
                self.membership.leave();
                self.stop_by = Some(now + STOP_TIMEOUT);
                self.changed = true;
            }
        }
        self.follow_up(now);
        self.out.take()
    }

    /// The newest known epoch.
    pub fn epoch(&self) -> &Epoch {
        self.membership.epoch()
    }

    /// Revision in force at this daemon.
    pub fn revision(&self) -> Revision {
        self.config.revision()
    }

    /// The changes that led to the configuration in force at this daemon, oldest first.
    pub fn history(&self) -> Vec<Record> {
        self.config.history()
    }

    /// Whether an upstream takes requests, as known to this daemon.
    pub fn warmth(&self, upstream: &UpstreamId) -> Warmth {
        self.statuses.warmth(upstream)
    }

    fn build(identity: &Identity, peers: Vec<SocketAddr>, mutation: Option<Mutation>) -> Self {
        Self {
            out: Outbox::new(identity),
            membership: Membership::new(peers, mutation),
            config: Config::new(mutation),
            statuses: Statuses::new(mutation),
            demands: Demands::default(),
            owner: Owner::new(mutation),
            claims: Claims::new(mutation),
            orders: Orders::new(mutation),
            entered_epoch: 0,
            order_holder: None,
            digest_at: Time::ZERO,
            pull_at: Time::ZERO,
            probe_until: Time::ZERO,
            published_at: None,
            changed: true,
            stop_by: None,
            stopped: false,
        }
    }

    fn tick(&mut self, now: Time) {
        self.membership.tick(now, &mut self.out);
        let watcher = self.membership.is_watcher();
        self.config.tick(now, watcher, self.membership.peers(), &mut self.out);
        self.pull(now);
        self.send_digests(now);
        self.statuses.tick(now);
        let grants = self.owner.tick(now, &mut self.membership, &mut self.out);
        self.deliver(now, grants);
        for action in self.demands.refuse() {
            self.out.push(action);
        }
        self.claims.tick(now, &mut self.out);
        self.send_orders(now);
        self.stop(now);
    }

    fn called(&mut self, now: Time, call: CallId, outcome: &kv::Outcome) {
        match self.out.ended(call, outcome) {
            Some(Purpose::Epoch(call)) => {
                self.membership.ended(now, call, outcome, &mut self.out);
            }
            Some(Purpose::Config(call)) => {
                let accepted = self.config.ended(now, call, outcome, &mut self.out);
                // The operator waits for the members even if a watch brought the change into force.
                self.probe_until =
                    if accepted { now + IN_FORCE_PROBE_TIME } else { self.probe_until };
                self.changed |= accepted;
            }
            Some(Purpose::Claim(call)) => self.claims.called(now, call, outcome, &mut self.out),
            None => {}
        }
    }

    fn receive(&mut self, now: Time, envelope: Envelope) {
        let from = envelope.from;
        self.membership.note_alive(now, &from.daemon);
        match envelope.message {
            Message::Hello => {}
            Message::Digest(digest) => self.digest(now, &from, &digest),
            Message::EpochPull => {
                let epoch = self.membership.epoch().clone();
                self.out.send(from.address, Message::Epoch(epoch));
            }
            Message::Epoch(epoch) => {
                self.membership.learn(now, epoch, &mut self.out);
            }
            Message::Probe(probe) => {
                let revision = self.config.revision();
                self.membership.probed(&from, &probe, revision, &mut self.out);
            }
            Message::Confirm(confirm) => {
                self.membership.confirmed(now, &from.daemon, &confirm);
            }
            message => self.receive_other(now, &from, message),
        }
    }

    fn receive_other(&mut self, now: Time, from: &Sender, message: Message) {
        match message {
            Message::RootPull(since) if self.config.revision() > since => {
                let news = self.config.news(since);
                self.out.send(from.address, Message::Root(news));
            }
            Message::Root(news) => {
                self.config.receive_news(now, news, from.address, &mut self.out);
            }
            Message::ChunkPull(hashes) => {
                for chunk in hashes.iter().filter_map(|h| self.config.chunk(h)) {
                    self.out.send(from.address, Message::Chunk(chunk));
                }
            }
            Message::Chunk(chunk) => self.config.receive_chunk(&chunk, &mut self.out),
            Message::Permits(state) => self.permit_state(now, from, &state),
            Message::Grant(grant) => self.granted(now, &from.daemon, &grant),
            Message::HandOver(hand_over) => {
                self.owner.receive_hand_over(now, from, hand_over, &self.membership)
            }
            Message::Claims(entries) => self.claims.receive(now, from, entries),
            Message::Claimed(ticket, outcome) => {
                self.claims.answered(ticket, outcome, &mut self.out);
            }
            Message::Order(order) => self.orders.receive(from, order, &mut self.out),
            Message::Ordered(order, outcome) => {
                self.orders.answered(&order, outcome, &mut self.out);
            }
            _ => {}
        }
    }

    fn digest(&mut self, now: Time, from: &Sender, digest: &Digest) {
        self.membership.note_revision(&from.daemon, digest.revision);
        if digest.epoch > self.membership.epoch().number {
            self.out.send(from.address, Message::EpochPull);
        }
        if self.config.is_behind(digest.revision) {
            let known = self.config.revision();
            self.out.send(from.address, Message::RootPull(known));
        }
        let behind = digest.epoch < self.membership.epoch().number
            || digest.revision < self.config.revision();
        if behind {
            let newer = self.digest_with(Vec::new());
            self.out.send(from.address, Message::Digest(newer));
        }
        for rumour in &digest.rumours {
            if self.statuses.receive(now, rumour) {
                self.owner.reset(now, &rumour.upstream, rumour.incarnation);
            }
        }
    }

    fn listed(&mut self, now: Time, instances: &[Instance]) {
        let daemons = instances.iter().filter(|i| i.kind == InstanceKind::Daemon);
        let me = self.out.me().address;
        self.membership.list(me, daemons.map(|i| i.address));
        self.statuses.list(now, instances);
    }

    fn observe(&mut self, now: Time, upstream: &UpstreamId, observation: &Observation) {
        if self.statuses.observe(now, upstream, observation) {
            let incarnation = self.statuses.incarnation(upstream);
            self.owner.reset(now, upstream, incarnation);
        }
        if let Observation::Reported(load) = observation {
            self.owner.reported(now, upstream, load);
            self.orders.reported(upstream, load, &mut self.out);
            let grants = self.owner.grant(now, upstream, &mut self.membership, &mut self.out);
            self.deliver(now, grants);
        }
    }

    fn request_claim(&mut self, now: Time, ticket: Ticket, claim: Claim) {
        let committer = committer(&self.membership, &claim);
        self.claims.request(now, ticket, claim, committer.as_ref(), &mut self.out);
        self.claims.tick(now, &mut self.out);
    }

    fn request_permits(&mut self, now: Time, upstream: UpstreamId, waiting: u32) {
        if self.statuses.warmth(&upstream) == Warmth::Closed {
            self.out.push(Action::PermitRefused { upstream, retry_after: permit::RETRY_AFTER });
            return;
        }
        self.demands.request(now, upstream, waiting);
    }

    fn permit_state(&mut self, now: Time, from: &Sender, state: &PermitState) {
        let number = self.membership.epoch().number;
        if state.epoch > number {
            self.out.send(from.address, Message::EpochPull);
        }
        if state.epoch < number {
            let epoch = self.membership.epoch().clone();
            self.out.send(from.address, Message::Epoch(epoch));
        }
        if state.epoch != number {
            return;
        }
        let set = Arc::clone(self.config.set());
        let closed = self.statuses.warmth(&state.upstream) == Warmth::Closed;
        let open = PermitState { waiting: if closed { 0 } else { state.waiting }, ..state.clone() };
        let (membership, out) = (&mut self.membership, &mut self.out);
        let grants = self.owner.state(now, from, &open, &set, membership, out);
        if let Some(incarnation) = self.owner.warm(&state.upstream) {
            let new = self.statuses.warmth(&state.upstream) == Warmth::Cold;
            self.statuses.warm(now, &state.upstream, incarnation, new);
        }
        self.deliver(now, grants);
    }

    /// Sends grants to the daemons that requested them; its own are applied directly.
    fn deliver(&mut self, now: Time, grants: Vec<(Sender, Grant)>) {
        let me = self.out.me().daemon.clone();
        for (to, grant) in grants {
            if to.daemon == me {
                self.granted(now, &me, &grant);
            } else {
                self.out.send(to.address, Message::Grant(grant));
            }
        }
    }

    fn granted(&mut self, now: Time, from: &DaemonId, grant: &Grant) {
        let Some(actions) = self.demands.granted(now, from, grant) else { return };
        let closed = self.statuses.warmth(&grant.upstream) == Warmth::Closed;
        for action in actions {
            match action {
                Action::Permit(permit) if closed => {
                    self.demands.return_permit(&permit, Usage::Unused);
                }
                action => self.out.push(action),
            }
        }
        if grant.warm && !self.statuses.warm(now, &grant.upstream, grant.incarnation, false) {
            let upstream = grant.upstream.clone();
            self.out.push(Action::PermitRefused { upstream, retry_after: SNAPSHOT_INTERVAL });
        }
    }

    /// Sends the permit states that are due to the owners.
    fn send_permit_states(&mut self, now: Time) {
        let epoch = self.membership.epoch();
        let number = epoch.number;
        let owner = |u: &UpstreamId| epoch.owner(u).map(|o| o.daemon.clone());
        let due = self
            .demands
            .due(now, number, owner, |u| (self.statuses.incarnation(u), self.statuses.cold_at(u)));
        let me = self.out.me().clone();
        for (to, state) in due {
            if to == me.daemon {
                self.permit_state(now, &me, &state);
            } else if let Some(to) = self.membership.epoch().member(&to).map(|m| m.address) {
                self.out.send(to, Message::Permits(state));
            }
        }
    }

    /// Pulls a first configuration and epoch, and probes where a published revision is in force.
    fn pull(&mut self, now: Time) {
        if now < self.pull_at {
            return;
        }
        self.pull_at = now + PULL_INTERVAL;
        let peers = self.membership.peers();
        if self.config.revision() == 0
            && let Some(peer) = peers.choose(&mut self.out.rng)
        {
            self.out.send(*peer, Message::RootPull(0));
        }
        if self.membership.epoch().number == 0
            && let Some(peer) = peers.choose(&mut self.out.rng)
        {
            self.out.send(*peer, Message::EpochPull);
        }
        if now < self.probe_until {
            let revision = self.config.revision();
            self.membership.probe_outdated(now, revision, &mut self.out);
        }
    }

    fn send_digests(&mut self, now: Time) {
        if now < self.digest_at {
            return;
        }
        self.digest_at = now + DIGEST_INTERVAL;
        for peer in self.membership.digest_peers(&mut self.out) {
            let digest = self.digest_with(Vec::new());
            self.out.send(peer, Message::Digest(digest));
        }
    }

    fn digest_with(&self, rumours: Vec<Rumour>) -> Digest {
        let epoch = self.membership.epoch().number;
        Digest { epoch, revision: self.config.revision(), rumours }
    }

    /// Handles the consequences of any event: a new epoch or configuration, rumours, permit states
    /// and a snapshot.
    fn follow_up(&mut self, now: Time) {
        self.enter_epoch(now);
        let configured = self.config.take_changed();
        if configured {
            self.statuses.configure(now, &Arc::clone(self.config.set()));
            self.changed = true;
            // Traffic must know that an upstream is open before it gets a permit for it.
            self.published_at = None;
            self.publish(now);
        }
        self.send_permit_states(now);
        let rumours = self.statuses.take_rumours();
        if configured || !rumours.is_empty() {
            for peer in self.membership.fanout(&mut self.out) {
                let digest = self.digest_with(rumours.clone());
                self.out.send(peer, Message::Digest(digest));
            }
        }
        for name in self.statuses.take_changed() {
            let warmth = self.statuses.warmth(&name);
            self.out.push(Action::Log(Line::WarmthChanged(name, warmth)));
            self.changed = true;
        }
        self.publish(now);
    }

    fn enter_epoch(&mut self, now: Time) {
        let number = self.membership.epoch().number;
        if number == self.entered_epoch {
            return;
        }
        self.entered_epoch = number;
        self.changed = true;
        self.owner.enter(now, &self.membership, &mut self.out);
        let epoch = self.membership.epoch();
        let me = &self.out.me().daemon;
        self.order_holder = epoch.owner(ORDERS_KEY).cloned();
        let holds = self.order_holder.as_ref().is_some_and(|o| o.daemon == *me);
        let held = epoch.owner_before(ORDERS_KEY).is_some_and(|o| o.daemon == *me);
        if !(holds && held && self.membership.is_continuous()) {
            self.orders.step_down();
        }
    }

    fn send_orders(&mut self, now: Time) {
        self.orders.tick(now, self.order_holder.as_ref(), &mut self.out);
        let me = &self.out.me().daemon;
        let mine = self.order_holder.as_ref().is_some_and(|h| h.daemon == *me);
        if !mine || !self.orders.is_wanted() || !self.membership.may_act(now, &mut self.out) {
            return;
        }
        if !self.orders.is_ready() {
            let first = self.membership.epoch().number == 1;
            match self.membership.predecessors_stopped_at().filter(|at| first || now >= *at) {
                Some(at) => self.orders.take_over((!first).then_some(at)),
                None => return,
            }
        }
        let set = Arc::clone(self.config.set());
        self.orders.send(now, self.membership.epoch().number, &set, &mut self.out);
    }

    fn stop(&mut self, now: Time) {
        let Some(by) = self.stop_by.filter(|_| !self.stopped) else { return };
        let left = self.membership.has_left(&self.out.me().daemon) && self.claims.is_idle();
        if left || now >= by {
            self.stopped = true;
            self.out.push(Action::Stopped);
        }
    }

    fn publish(&mut self, now: Time) {
        let due = self.published_at.is_none_or(|at| now >= at + SNAPSHOT_INTERVAL);
        // Peers' revisions alone justify a snapshot only while an operator may be waiting for them.
        self.changed |= now < self.probe_until && self.membership.has_new_revisions();
        if !self.changed || !due {
            return;
        }
        self.changed = false;
        self.membership.clear_new_revisions();
        self.published_at = Some(now);
        let snapshot = self.snapshot();
        self.out.push(Action::Publish(Arc::new(snapshot)));
    }

    fn snapshot(&self) -> Snapshot {
        let set = Arc::clone(self.config.set());
        let me = self.out.me();
        let members = self.membership.epoch().members.iter();
        let daemons = members.chain([me]).map(|m| (m.daemon.clone(), m.zone.clone())).collect();
        let mut in_force = self.membership.in_force().clone();
        in_force.insert(me.daemon.clone(), self.config.revision());
        Snapshot {
            revision: self.config.revision(),
            upstreams: self.statuses.view(set.upstreams.keys()),
            stores: self.statuses.view(set.stores.keys()),
            set,
            daemons,
            epoch: self.membership.epoch().number,
            in_force,
            owned: self.owner.names(),
            ready: self.config.revision() > 0 && self.stop_by.is_none(),
        }
    }
}

/// The daemon that commits the shard of a claim.
fn committer(membership: &Membership, claim: &Claim) -> Option<Sender> {
    let key = shard::key(shard::shard(claim));
    membership.epoch().owner(&key).cloned()
}
