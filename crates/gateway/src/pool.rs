//! Pool of idle connections to upstreams.

use std::collections::HashMap;
use std::time::Duration;

use acacia_connection::{Connection, IdleState};
use acacia_policy::Time;
use acacia_policy::gateway::ServerId;

/// How long an idle connection is kept if its peer advertises no idle time: less than the shortest
/// idle times that servers commonly have.
const DEFAULT_IDLE: Duration = Duration::from_secs(4);
/// How long before the end of the peer's idle time a connection is no longer used: longer than a
/// request takes to reach the peer.
const IDLE_MARGIN: Duration = Duration::from_millis(400);
/// A request that can't be repeated uses a connection only within this fraction of its idle time.
const UNREPEATABLE_DIVISOR: u32 = 2;
/// After a peer closed a connection early, others to it are kept for this fraction of the age at
/// which the closing was noticed.
const EARLY_CLOSE_FACTOR: f64 = 0.7;

/// Idle connections by upstream.
#[derive(Debug, Default)]
pub struct Pool {
    idle: HashMap<ServerId, Vec<Idle>>,
    limits: HashMap<ServerId, Duration>,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    since: Time,
    limit: Duration,
}

impl Pool {
    /// Takes the most recently used connection. For an `unrepeatable` request, connections that the
    /// peer may be about to close are skipped.
    pub fn take(&mut self, now: Time, server: &ServerId, unrepeatable: bool) -> Option<Connection> {
        let waiting = self.idle.get_mut(server)?;
        while let Some(idle) = waiting.pop() {
            let age = now.saturating_sub(idle.since);
            match idle.connection.idle_state() {
                IdleState::Quiet => {}
                IdleState::Unsolicited => continue,
                IdleState::Closed => {
                    let limit = self.limits.entry(server.clone()).or_insert(idle.limit);
                    *limit = (*limit).min(age.mul_f64(EARLY_CLOSE_FACTOR));
                    continue;
                }
            }
            let limit = if unrepeatable { idle.limit / UNREPEATABLE_DIVISOR } else { idle.limit };
            if age < limit {
                return Some(idle.connection);
            }
            if unrepeatable && age < idle.limit {
                waiting.push(idle);
                return None;
            }
        }
        None
    }

    /// Keeps a connection for the next request. `advertised` is the idle time that the peer stated.
    pub fn put(
        &mut self,
        now: Time,
        server: &ServerId,
        connection: Connection,
        advertised: Option<Duration>,
    ) {
        let stated = advertised.map(|limit| limit.saturating_sub(IDLE_MARGIN));
        let observed = self.limits.get(server).copied();
        let limit = stated.unwrap_or(DEFAULT_IDLE).min(observed.unwrap_or(Duration::MAX));
        if limit.is_zero() {
            return;
        }
        let waiting = self.idle.entry(server.clone()).or_default();
        waiting.push(Idle { connection, since: now, limit });
    }

    /// Closes connections to removed upstreams, and those that have been idle for too long.
    pub fn sweep(&mut self, now: Time, is_known: impl Fn(&ServerId) -> bool) {
        self.limits.retain(|server, _| is_known(server));
        self.idle.retain(|server, waiting| {
            waiting.retain(|idle| {
                now.saturating_sub(idle.since) < idle.limit
                    && idle.connection.idle_state() == IdleState::Quiet
            });
            is_known(server) && !waiting.is_empty()
        });
    }

    /// Closes all connections to an upstream.
    pub fn close_all(&mut self, server: &ServerId) {
        self.idle.remove(server);
    }
}
