//! What an upstream states about itself in its answers.
//!
//! These statements are earlier and more reliable than any list: an upstream that says that it is
//! leaving gets no more requests in this incarnation, and one that asks for a pause gets none from
//! this instance before the pause is over. Both bind also if the upstream disappears from the list
//! for a while, so [`Notices`] keeps them for upstreams that are not listed.

use std::sync::Arc;
use std::time::Duration;

use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

use super::configuration::ServiceName;
use super::gossip::{ServerKey, server_key};
use super::statement::{State, Statement};
use super::view::{Server, ServerId};
use crate::Time;

/// Time for which statements of an unlisted upstream are kept; the list of a metadata store that
/// was restored or lost leases is complete again within seconds.
const NOTICE_RETENTION: Duration = Duration::from_secs(600);

/// What the head of one answer states about its sender.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Notice {
    /// Whether it is leaving.
    pub is_leaving: bool,
    /// Time for which it wants no request from this instance.
    pub pause: Option<Duration>,
    /// The rate of requests that it takes.
    pub limit: Statement,
    /// The rate of refusals that it bears.
    pub tolerance: Statement,
}

/// The incarnation of an upstream that stated that it is leaving, as instances tell each other.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Departure {
    /// The upstream.
    pub server: ServerKey,
    /// Start of its incarnation, in milliseconds of Unix time.
    pub born: Option<u64>,
}

impl Departure {
    /// The departure of a listed upstream.
    pub fn of(server: &Server) -> Self {
        Self { server: server_key(&server.id), born: server.born }
    }
}

/// Statements that are in force for one incarnation of an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Standing {
    /// Whether it is leaving.
    pub is_leaving: bool,
    /// Until when it wants no request from this instance.
    pub paused_until: Time,
    /// Its rate limit.
    pub limit: State,
    /// Its limit on refusals.
    pub tolerance: State,
}

impl Standing {
    /// Adds what an answer states that was received at `now`, to a request of `sent`; tells what of
    /// it is news.
    pub fn add(&mut self, now: Time, sent: Time, notice: Notice) -> News {
        let is_leaving = notice.is_leaving && !self.is_leaving;
        self.is_leaving |= notice.is_leaving;
        if let Some(pause) = notice.pause {
            self.paused_until = self.paused_until.max(now.saturating_add(pause));
        }
        News {
            is_leaving,
            is_limit_changed: self.limit.hear(now, sent, notice.limit),
            is_tolerance_changed: self.tolerance.hear(now, sent, notice.tolerance),
        }
    }

    /// Whether it restricts requests at `now`.
    pub fn is_in_force(&self, now: Time) -> bool {
        let limits = [self.limit, self.tolerance];
        self.is_leaving
            || now < self.paused_until
            || limits.iter().any(|limit| limit.in_force(now).is_some())
    }
}

/// What was not known before about an upstream.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct News {
    /// Whether it is news that it is leaving.
    pub is_leaving: bool,
    /// Whether its rate limit has changed.
    pub is_limit_changed: bool,
    /// Whether its limit on refusals has changed.
    pub is_tolerance_changed: bool,
}

/// Statements of upstreams that are not listed now.
#[derive(Debug, Default)]
pub struct Notices {
    kept: FxHashMap<ServerId, Kept>,
}

#[derive(Debug)]
struct Kept {
    server: Arc<Server>,
    standing: Standing,
    since: Time,
}

impl Notices {
    /// Keeps what an upstream stated that is removed from the list.
    pub fn keep(&mut self, now: Time, server: Arc<Server>, standing: Standing) {
        self.kept.retain(|_, kept| now < kept.since + NOTICE_RETENTION);
        if standing.is_in_force(now) {
            self.kept.insert(server.id.clone(), Kept { server, standing, since: now });
        }
    }

    /// The refusals per second that upstreams of a service bear which are not listed.
    pub fn tolerances(&self, now: Time, service: &ServiceName) -> impl Iterator<Item = f64> {
        let kept = self.kept.values().filter(move |kept| kept.server.service == *service);
        kept.filter_map(move |kept| kept.standing.tolerance.in_force(now))
    }

    /// Takes what an upstream stated that is listed again; nothing if it has restarted since.
    pub fn take(&mut self, server: &Server) -> Standing {
        let kept = self.kept.remove(&server.id);
        let same = kept.filter(|kept| kept.server.is_same_incarnation(server));
        same.map(|kept| kept.standing).unwrap_or_default()
    }
}
