//! Gateways that lose the path to all servers, and pass requests on to each other.

use std::collections::BTreeSet;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use acacia_policy::gateway::configuration::ServiceName;
use acacia_policy::gateway::forward::Passage;
use acacia_policy::gateway::{Ending, Plan, Reason};
use acacia_policy::{Time, Verdict};

use super::{Flight, Outcome, Site};

/// Ticks between checks whether a probe is due.
const CHECK_TICKS: u64 = 5;
/// Time until a probe succeeds, or a connection is refused.
const PROBE_TIME: (Duration, Duration) = (Duration::from_millis(30), Duration::from_millis(5));
/// Last octets of the address of a gateway.
const GATEWAY_NETWORK: [u8; 4] = [127, 0, 1, 1];

/// Which gateways reach the servers, and what they do about it.
#[derive(Debug, Default)]
pub struct Paths {
    /// Whether suspected paths are probed.
    pub is_probed: bool,
    /// Gateways whose connections to servers are reset.
    cut: BTreeSet<usize>,
    probes: Vec<(Time, usize, ServiceName, bool)>,
    passages: Vec<PassedOn>,
}

/// A request that one gateway has passed on to another.
#[derive(Debug)]
struct PassedOn {
    request: usize,
    from: usize,
    to: usize,
    plan: Plan,
}

impl Site {
    /// Cuts gateways off all servers.
    pub fn cut(&mut self, gateways: impl IntoIterator<Item = usize>) {
        self.paths.cut.extend(gateways);
        let is_cut = |flight: &mut Flight| self.paths.cut.contains(&flight.gateway);
        for flight in self.flights.extract_if(.., is_cut).collect::<Vec<_>>() {
            self.end(flight, Ending::Broken);
        }
    }

    /// Connects all gateways with the servers again.
    pub fn reconnect(&mut self) {
        self.paths.cut.clear();
    }

    pub(super) fn is_cut(&self, gateway: usize) -> bool {
        self.paths.cut.contains(&gateway)
    }

    pub(super) fn probe_paths(&mut self) {
        if !self.paths.is_probed {
            return;
        }
        let now = self.now;
        let ended: Vec<_> = self.paths.probes.extract_if(.., |(at, ..)| *at <= now).collect();
        for (_, gateway, service, is_open) in ended {
            self.gateways[gateway].probed(now, &service, is_open);
        }
        if !self.ticks.is_multiple_of(CHECK_TICKS) {
            return;
        }
        for gateway in 0..self.gateways.len() {
            for probe in self.gateways[gateway].probes(now) {
                let accepts = |address: &SocketAddr| {
                    let mut servers = self.view.servers.values();
                    servers.any(|server| server.address == *address && self.is_up(&server.id))
                };
                let is_open = !self.is_cut(gateway) && probe.addresses.iter().any(accepts);
                let time = if is_open { PROBE_TIME.0 } else { PROBE_TIME.1 };
                self.paths.probes.push((now + time, gateway, probe.service, is_open));
            }
        }
    }

    /// A gateway passes a request on to another.
    pub(super) fn pass_on(&mut self, from: usize, request: usize, plan: Plan, peer: SocketAddr) {
        assert_eq!(peer.ip(), IpAddr::from(GATEWAY_NETWORK), "a gateway");
        assert!(!plan.is_forwarded, "one hop at most");
        let to = usize::from(peer.port()) - 1;
        let call = self.requests[request].call.clone();
        let admitted = self.gateways[to].admit_for(self.now, call, Some(&plan.service));
        let other = admitted.expect("the route is public");
        self.paths.passages.push(PassedOn { request, from, to, plan });
        let passed = self.paths.passages.iter().filter(|passed| passed.to == to).count();
        self.most_passed = self.most_passed.max(passed);
        self.go_on(to, request, other);
    }

    /// A request has ended at a gateway; if another one passed it on, that one learns of it.
    pub(super) fn conclude(&mut self, gateway: usize, request: usize, outcome: Outcome) {
        let is_it = |passed: &PassedOn| (passed.to, passed.request) == (gateway, request);
        let at = self.paths.passages.iter().position(is_it);
        let Some(mut passed) = at.map(|at| self.paths.passages.swap_remove(at)) else {
            self.requests[request].outcome.get_or_insert(outcome);
            return;
        };
        let passage = match outcome {
            Outcome::Served | Outcome::BrokenOff => Passage::Answered,
            Outcome::Refused(Reason::NoPath, Verdict::NotRun) => Passage::Refused,
            Outcome::Refused(_, Verdict::NotRun) => Passage::TurnedAway,
            Outcome::Refused(..) => Passage::Broken,
        };
        let (now, peer) = (self.now, self.address(gateway));
        self.gateways[passed.from].forwarded(now, &mut passed.plan, peer, passage);
        let is_final = match passage {
            Passage::TurnedAway => passed.plan.verdict == Verdict::NotRun,
            _ => passage == Passage::Answered,
        };
        if is_final {
            self.requests[request].outcome.get_or_insert(outcome);
        } else {
            self.go_on(passed.from, request, passed.plan);
        }
    }

    /// The address of a gateway.
    pub(super) fn address(&self, gateway: usize) -> SocketAddr {
        (GATEWAY_NETWORK, gateway as u16 + 1).into()
    }
}
