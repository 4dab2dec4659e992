//! What instances tell each other about suspects, and what they log.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use strum::{Display, IntoStaticStr};

use super::{Kind, SuspectKey};
use crate::gateway::call::PartId;
use crate::gateway::gossip::ServerKey;

/// A crash, as instances tell each other.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Sighting {
    /// The upstream.
    pub server: ServerKey,
    /// Start of its incarnation, in milliseconds of Unix time.
    pub born: Option<u64>,
    /// Time since the crash, in milliseconds.
    pub age_ms: u32,
    /// Time from the send of the request to the crash, in milliseconds.
    #[serde(default)]
    pub ran_ms: Option<u32>,
}

/// The crashes of a suspect.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Suspicion {
    /// The suspect.
    pub key: SuspectKey,
    /// Its crashes.
    pub crashes: Vec<Sighting>,
    /// Whether it is a request, and not a part.
    #[serde(default)]
    pub is_request: bool,
}

/// An answer that shows that a suspect does not crash upstreams.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Clearance {
    /// The suspect.
    pub key: SuspectKey,
    /// Time since the answer began, in milliseconds.
    pub age_ms: u32,
}

/// A change in the restrictions on a suspect, for the log.
#[derive(Clone, Debug)]
pub struct Finding {
    /// Its state from now on.
    pub state: State,
    /// What it is.
    pub kind: Kind,
    /// The part's name, if it is known here.
    pub id: Option<PartId>,
    /// Its key.
    pub key: SuspectKey,
    /// The upstreams that crashed, by id or key, with the time since then.
    pub crashes: Vec<(String, Duration)>,
    /// Time for which it is held.
    pub hold: Option<Duration>,
}

/// State of a suspect.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum State {
    /// Requests with it are tried one at a time.
    Suspected,
    /// Requests with it are refused for a while.
    Held,
    /// An upstream has answered on it, or too few of the upstreams have crashed.
    Cleared,
    /// Its crashes are too old to count.
    Expired,
}
