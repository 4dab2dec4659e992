//! What attempts and probes tell about the paths to upstreams.

use std::net::SocketAddr;

use super::configuration::ServiceName;
use super::gossip::server_key;
use super::machine::Gateway;
use super::plan::{Attempt, Ending, Plan};
use super::reach::{Cause, Change};
use super::view::View;
use crate::Time;

/// Upstreams that are probed at a time: if some have failed, others still accept connections.
const PROBED_UPSTREAMS: usize = 3;

/// A service whose path is probed.
#[derive(Clone, Debug, PartialEq)]
pub struct Probe {
    /// The service.
    pub service: ServiceName,
    /// Upstreams to connect to; the path is there if any accepts.
    pub addresses: Vec<SocketAddr>,
}

impl Gateway {
    /// Records that a byte of an answer arrived, on a connection that was opened for the request if
    /// `is_new`.
    pub fn path_heard(&mut self, now: Time, plan: &Plan, attempt: &Attempt, is_new: bool) {
        let key = server_key(&attempt.server.id);
        self.reach.heard(now, &plan.service, key, attempt.sent, is_new);
    }

    /// Records how an attempt ended, before [`Self::ended`]. `has_answer` if a byte of an answer
    /// arrived; `is_new` if the connection was opened for the request.
    pub fn path_ended(
        &mut self,
        now: Time,
        plan: &Plan,
        attempt: &Attempt,
        ending: Ending,
        has_answer: bool,
        is_new: bool,
    ) {
        let key = server_key(&attempt.server.id);
        self.reach.ended(&plan.service, key, attempt.sent);
        match ending {
            Ending::Unreachable => self.reach.failed(now, &plan.service, key, false),
            Ending::Broken | Ending::Lost if !has_answer && is_new => {
                self.reach.failed(now, &plan.service, key, true);
            }
            Ending::Broken | Ending::Lost if !has_answer => self.reach.broke(now, &plan.service),
            _ => {}
        }
    }

    /// The probes that are due. Without calls, no path is ever suspected.
    pub fn probes(&mut self, now: Time) -> Vec<Probe> {
        let roster = &self.roster;
        let due = self.reach.due(now, |service| roster.of_service(service).len());
        self.observe_losses(now);
        due.into_iter().map(|service| self.probe(service)).collect()
    }

    /// When probes may be due next if no attempt fails before.
    pub fn next_probes(&self, now: Time) -> Time {
        self.reach.next_check(now, |service| self.roster.of_service(service).len())
    }

    /// Whether probes don't wait until [`Self::next_probes`], as a failure has raised a suspicion.
    pub fn is_path_in_doubt(&self, service: &ServiceName) -> bool {
        !self.reach.is_open(service)
    }

    /// Probes lost paths at once if they lead to upstreams that are new in this view.
    pub(super) fn probe_new_upstreams(&mut self, view: &View) {
        let Some(before) = &self.view else { return };
        self.reach.hasten(|service| {
            let mut servers = view.servers.values().filter(|server| server.service == *service);
            servers.any(|server| {
                let known = before.servers.get(&server.id);
                known.is_none_or(|known| !known.is_same_incarnation(server))
            })
        });
    }

    fn probe(&mut self, service: ServiceName) -> Probe {
        let mut keys = self.roster.of_service(&service).to_vec();
        if keys.len() > PROBED_UPSTREAMS {
            keys = self.roster.sample(&service, PROBED_UPSTREAMS, &mut self.rng);
            keys.dedup();
        }
        let addresses = keys.into_iter().map(|key| self.roster[key].server.address).collect();
        Probe { service, addresses }
    }

    /// Records whether an upstream accepted the connection of a probe.
    pub fn probed(&mut self, now: Time, service: &ServiceName, is_open: bool) {
        self.reach.probed(now, service, is_open);
        self.observe_losses(now);
    }

    /// Takes back what was concluded about upstreams from failures that a lost path caused, and tells
    /// what it did not cause.
    fn observe_losses(&mut self, now: Time) {
        for change in self.reach.take_changes() {
            if change.lost == Some(Cause::Connect) {
                for key in self.roster.of_service(&change.service).to_vec() {
                    self.roster[key].take_back(now);
                }
            }
            self.mark_outage_changed();
            self.path_changes.push(change);
        }
        self.settle_evidence(now);
    }

    /// Paths that were lost or regained since the last call.
    pub fn take_path_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.path_changes)
    }
}
