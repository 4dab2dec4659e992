//! Passing requests on to another instance while this one has no path to their service.
//!
//! The other instance handles such a request as a caller's, but never passes it on again: if it has
//! lost the path too, it refuses, and the next instance is asked. Instances tell each other which
//! services they have lost; if all have, the upstreams have failed, and requests are refused until one
//! accepts a connection.
//! [`super::brittle`] passes requests on, too.

use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha12Rng;
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};
use strum::{Display, IntoStaticStr};

use super::configuration::ServiceName;
use super::gossip::stable_hash;
use super::machine::Gateway;
use super::mesh::Peer;
use super::plan::{Plan, Reason, Step};
use crate::{Time, Verdict};

/// Time for which another instance's statement counts; it is repeated with each full digest.
const OUTAGE_TTL: Duration = Duration::from_millis(2_000);
/// Time for which an instance that refused a request, or could not be reached, gets no other.
const REFUSAL_PAUSE: Duration = Duration::from_secs(1);
/// Number of instances that a request is passed on to.
const MAX_PEERS: usize = 3;
/// Services in one statement, so that it fits a datagram.
const MAX_SERVICES: usize = 64;
/// Time after which a request is considered again whose path is being probed.
pub(super) const PROBE_WAIT: Duration = Duration::from_millis(20);

/// Hash of a service's name, equal on all instances.
pub type ServiceKey = u64;

/// The services to which an instance has lost the path.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Outage {
    /// Where the instance listens for others.
    pub address: SocketAddr,
    /// The services; none if it has all paths.
    pub services: Vec<ServiceKey>,
}

/// How the passing on of a request ended.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Passage {
    /// The other instance could not be reached or has no path itself; the request did not run.
    Refused,
    /// The other instance refused the request as it would any caller's; it did not run.
    TurnedAway,
    /// The exchange broke after the request was sent.
    Broken,
    /// The other instance answered.
    Answered,
    /// The caller disconnected.
    Cancelled,
}

/// What is known about the other instances as to passing requests on.
#[derive(Debug, Default)]
pub struct Helpers {
    outages: FxHashMap<SocketAddr, (Time, Vec<ServiceKey>)>,
    paused: FxHashMap<SocketAddr, Time>,
    /// Requests that this instance passed on and that have not ended.
    outstanding: FxHashMap<SocketAddr, u32>,
    /// Whether others may have an outdated statement of this instance.
    is_changed: bool,
}

impl Helpers {
    /// Records another instance's statement.
    pub fn receive(&mut self, now: Time, outage: &Outage) {
        if outage.services.is_empty() {
            self.outages.remove(&outage.address);
        } else {
            let until = now + OUTAGE_TTL;
            self.outages.insert(outage.address, (until, outage.services.clone()));
        }
    }

    /// The instance to pass a request on to: one with the fewest outstanding requests of this one.
    fn choose(
        &self,
        now: Time,
        service: &ServiceName,
        peers: &[Peer],
        asked: &[SocketAddr],
        rng: &mut ChaCha12Rng,
    ) -> Option<SocketAddr> {
        if asked.len() >= MAX_PEERS {
            return None;
        }
        let is_able = |address: &SocketAddr| self.is_able(now, service, address, asked);
        let able = peers.iter().map(|peer| peer.address).filter(is_able);
        able.min_by_key(|address| (self.outstanding(address), rng.random::<u32>()))
    }

    /// Whether an instance may get a request that was passed on to those `asked` before.
    pub(super) fn is_able(
        &self,
        now: Time,
        service: &ServiceName,
        address: &SocketAddr,
        asked: &[SocketAddr],
    ) -> bool {
        !asked.contains(address)
            && !self.has_lost(now, service_key(service), address)
            && self.paused.get(address).is_none_or(|until| now >= *until)
    }

    /// Number of requests that were passed on to an instance and have not ended.
    pub(super) fn outstanding(&self, address: &SocketAddr) -> u32 {
        self.outstanding.get(address).copied().unwrap_or(0)
    }

    /// Records that a request is passed on to an instance.
    pub(super) fn begin(&mut self, plan: &mut Plan, peer: SocketAddr) -> Step {
        plan.peers.push(peer);
        *self.outstanding.entry(peer).or_default() += 1;
        Step::Forward(peer)
    }

    /// Whether all other instances say that they have lost the path to a service. None says so if
    /// there is none.
    fn have_all_lost(&self, now: Time, service: &ServiceName, peers: &[Peer]) -> bool {
        let key = service_key(service);
        !peers.is_empty() && peers.iter().all(|peer| self.has_lost(now, key, &peer.address))
    }

    fn has_lost(&self, now: Time, service: ServiceKey, address: &SocketAddr) -> bool {
        let outage = self.outages.get(address);
        outage.is_some_and(|(until, lost)| now < *until && lost.contains(&service))
    }

    fn end(&mut self, now: Time, peer: SocketAddr, passage: Passage) {
        if let Some(outstanding) = self.outstanding.get_mut(&peer) {
            *outstanding = outstanding.saturating_sub(1);
        }
        if matches!(passage, Passage::Refused | Passage::Broken) {
            self.paused.insert(peer, now + REFUSAL_PAUSE);
        }
    }
}

impl Gateway {
    /// The step of a request whose path is lost or being probed; none if it is as for any other.
    pub(super) fn path_step(&mut self, now: Time, plan: &mut Plan) -> Option<Step> {
        if !self.reach.is_lost(&plan.service) {
            // Further sends would use up the retry budget before the probe has ended.
            let waits = plan.sends > 0
                && plan.verdict == Verdict::NotRun
                && self.reach.is_suspect(&plan.service);
            return waits.then(|| Step::Wait(now + PROBE_WAIT));
        }
        if plan.is_forwarded {
            return Some(self.refuse(now, plan, Reason::NoPath, None));
        }
        if plan.sends == 0
            && plan.route.repeat.is_repeatable()
            && self.reach.take_trial(now, &plan.service)
        {
            plan.is_path_trial = true;
            return None;
        }
        let view = self.view.clone()?;
        let peer = self.helpers.choose(now, &plan.service, &view.peers, &plan.peers, &mut self.rng);
        if peer.is_none()
            && self.reach.is_unreachable(&plan.service)
            && self.helpers.have_all_lost(now, &plan.service, &view.peers)
        {
            // Probes notice within a moment when upstreams accept connections again.
            return Some(self.refuse(now, plan, Reason::NoUpstream, None));
        }
        let peer = peer?;
        // A request that no upstream can have got is no repeat.
        if plan.runs > 0 && !self.take_repeat(now, &plan.service) {
            return Some(self.refuse(now, plan, Reason::RetryBudget, None));
        }
        plan.is_path_trial = false;
        plan.peers.push(peer);
        *self.helpers.outstanding.entry(peer).or_default() += 1;
        Some(Step::Forward(peer))
    }

    /// Records how the passing on of a request ended.
    pub fn forwarded(&mut self, now: Time, plan: &mut Plan, peer: SocketAddr, passage: Passage) {
        self.helpers.end(now, peer, passage);
        let verdict = match passage {
            Passage::Refused | Passage::TurnedAway => Verdict::NotRun,
            Passage::Broken | Passage::Cancelled => Verdict::MayHaveRun,
            Passage::Answered => Verdict::Ran,
        };
        plan.verdict = plan.verdict.join(verdict);
        plan.runs += u32::from(verdict != Verdict::NotRun);
    }

    /// When an attempt without a byte of an answer is given up, as its path is lost.
    pub fn give_up_at(&self, plan: &Plan, sent: Time) -> Option<Time> {
        let target = plan.route.latency_target;
        self.reach.give_up_at(&plan.service, sent, target, plan.is_path_trial)
    }

    /// Notes that other instances have an outdated statement on this one's paths.
    pub(super) fn mark_outage_changed(&mut self) {
        self.helpers.is_changed = true;
    }

    /// This instance's statement, if it has changed or must be repeated.
    pub(super) fn take_outage(&mut self, is_repeated: bool) -> Option<Outage> {
        let services = self.reach.lost().take(MAX_SERVICES).map(service_key).collect::<Vec<_>>();
        let is_due =
            std::mem::take(&mut self.helpers.is_changed) || (is_repeated && !services.is_empty());
        let address = self.view.as_ref().and_then(|view| view.own_address);
        address.filter(|_| is_due).map(|address| Outage { address, services })
    }
}

/// The key of a service.
pub fn service_key(service: &ServiceName) -> ServiceKey {
    stable_hash(&service.as_bytes())
}
