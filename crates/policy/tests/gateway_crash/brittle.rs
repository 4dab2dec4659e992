//! Servers that state how many refusals a second they bear, and fall over above that.

use std::time::Duration;

use acacia_policy::gateway::ServerId;
use acacia_policy::gateway::statement::Statement;

use super::{Flight, Site};

/// Time from the first statement until servers may let fewer requests wait.
pub const WARNING: Duration = Duration::from_secs(3);
/// Window in which a server's refusals are counted.
const SPAN: Duration = Duration::from_secs(1);
/// Requests that a plain server takes at a time, six of which it runs.
pub const ROOM: usize = 30;

/// How the servers of a site are brittle.
#[derive(Clone, Copy, Debug)]
pub struct Brittleness {
    /// Refusals in a second above which a server falls over.
    pub tolerance: usize,
    /// When the servers began to state it, since the start.
    pub since: Duration,
    /// Requests that a server takes at a time after the warning.
    pub room: usize,
}

impl Site {
    /// All servers are brittle from now on.
    pub fn embrittle(&mut self, tolerance: usize, room: usize) {
        self.brittleness = Some(Brittleness { tolerance, since: self.elapsed(), room });
    }

    /// What answers state about refusals.
    pub(super) fn tolerance(&self) -> Statement {
        let tolerance = self.brittleness.map(|brittle| brittle.tolerance as f64);
        tolerance.map_or(Statement::Unlimited, Statement::Limited)
    }

    /// Requests that run or wait at a server.
    pub(super) fn running(&self, server: &ServerId) -> impl Iterator<Item = &Flight> {
        let flights = self.flights.iter().filter(|flight| !flight.is_refused);
        flights.filter(move |flight| flight.attempt.server.id == *server)
    }

    /// Whether a server takes one more request.
    pub(super) fn has_room(&self, server: &ServerId) -> bool {
        let is_full = |brittle: &Brittleness| self.elapsed() >= brittle.since + WARNING;
        let room = self.brittleness.filter(is_full).map_or(self.room, |brittle| brittle.room);
        self.running(server).count() < room
    }

    /// A server refuses a request, and falls over if these are too many.
    pub(super) fn turn_away(&mut self, flight: Flight) {
        let (now, server) = (self.elapsed(), flight.attempt.server.id.clone());
        self.flights.push(flight);
        self.refusals.push((now, server.clone()));
        let Some(brittle) = self.brittleness else { return };
        let is_recent = |(at, id): &&(Duration, ServerId)| *id == server && *at + SPAN > now;
        let recent = self.refusals.iter().rev().take(200).filter(is_recent).count();
        if now >= brittle.since + WARNING && recent > brittle.tolerance {
            self.falls.push((now, server.clone()));
            self.crash(&server);
        }
    }
}
