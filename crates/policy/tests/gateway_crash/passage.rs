//! Requests that gateways pass on to each other.

use std::net::SocketAddr;

use acacia_policy::gateway::forward::Passage;
use acacia_policy::gateway::{Plan, Reason};

use super::{Outcome, Site};

/// A request that was passed on.
pub struct Passed {
    request: usize,
    /// The gateway that passed it on, its plan there, and where it went.
    gateway: usize,
    plan: Plan,
    peer: SocketAddr,
}

impl Site {
    /// Address of a gateway.
    pub(super) fn address(gateway: usize) -> SocketAddr {
        ([127, 0, 1, 1], gateway as u16 + 1).into()
    }

    /// A gateway passes a request on to another, which goes on with it.
    pub(super) fn pass_on(&mut self, gateway: usize, request: usize, plan: Plan, peer: SocketAddr) {
        assert!(!plan.is_forwarded, "one hop at most");
        let helper = usize::from(peer.port() - 1);
        let forwarded =
            Plan { is_forwarded: true, peers: Vec::new(), arrived: self.now, ..plan.clone() };
        self.passed.push(Passed { request, gateway, plan, peer });
        self.most_passed =
            self.most_passed.max(self.passed.iter().filter(|passed| passed.peer == peer).count());
        self.go_on(helper, request, forwarded);
    }

    /// A request has ended at a gateway; if another one passed it on, that one learns of it.
    pub(super) fn finish(&mut self, request: usize, outcome: Outcome) {
        let passed = self.passed.iter().position(|passed| passed.request == request);
        let Some(passed) = passed.map(|at| self.passed.swap_remove(at)) else {
            self.requests[request].outcome.get_or_insert(outcome);
            return;
        };
        let Passed { gateway, mut plan, peer, .. } = passed;
        let passage = match outcome {
            Outcome::Refused(Reason::NoPath, _) => Passage::Refused,
            Outcome::Refused(..) => Passage::TurnedAway,
            Outcome::Served | Outcome::BrokenOff => Passage::Answered,
        };
        self.gateways[gateway].forwarded(self.now, &mut plan, peer, passage);
        match passage {
            Passage::Refused => self.go_on(gateway, request, plan),
            _ => {
                self.requests[request].outcome.get_or_insert(outcome);
            }
        }
    }
}
