//! Connections to upstreams that wait for their next request.

use std::collections::HashMap;
use std::time::Duration;

use acacia_connection::{Connection, Rest};
use acacia_policy::Time;
use acacia_policy::gateway::ServerId;

/// How long a connection is kept where its peer does not say: below the shortest idle times that
/// servers commonly have.
const DEFAULT_IDLE: Duration = Duration::from_secs(4);
/// Time before the peer's idle time ends when a connection is no longer used: a request is on its
/// way for less.
const IDLE_MARGIN: Duration = Duration::from_millis(400);
/// Part of its idle time for which a connection may carry a request that can't be repeated.
const UNREPEATABLE_DIVISOR: u32 = 2;
/// Part of the age at which a peer was seen to have closed a connection that others are kept for.
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
    /// Takes the connection that was used last. `careful` leaves those out that the peer may be
    /// about to close.
    pub fn take(&mut self, now: Time, server: &ServerId, unrepeatable: bool) -> Option<Connection> {
        let waiting = self.idle.get_mut(server)?;
        while let Some(idle) = waiting.pop() {
            let age = now.saturating_sub(idle.since);
            match idle.connection.rest() {
                Rest::Quiet => {}
                Rest::Unread => continue,
                Rest::Closed => {
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

    /// Keeps a connection for the next request. `granted` is the idle time that the peer named.
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

    /// Closes connections of upstreams that are gone, and those that are too old.
    pub fn sweep(&mut self, now: Time, is_known: impl Fn(&ServerId) -> bool) {
        self.limits.retain(|server, _| is_known(server));
        self.idle.retain(|server, waiting| {
            waiting.retain(|idle| {
                now.saturating_sub(idle.since) < idle.limit && idle.connection.rest() == Rest::Quiet
            });
            is_known(server) && !waiting.is_empty()
        });
    }

    /// Closes all connections to an upstream.
    pub fn close_all(&mut self, server: &ServerId) {
        self.idle.remove(server);
    }
}
