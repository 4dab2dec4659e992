//! One request on its way, from admission to its answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use strum::{Display, IntoStaticStr};

use super::call::{CallId, Prompt};
use super::configuration::{ModelName, Organisation, Route, ServiceName, Version};
use super::view::{Server, ServerId, WeightVersion};
use crate::{Time, Verdict};

/// A request that was admitted.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The caller's id of it.
    pub id: CallId,
    /// Its route.
    pub route: Arc<Route>,
    /// The service that its share of the split falls to.
    pub service: ServiceName,
    /// The organisation whose key it carries.
    pub organisation: Option<Arc<Organisation>>,
    /// Its prompt.
    pub prompt: Option<Prompt>,
    /// The configuration that it was admitted by.
    pub version: Version,
    /// When it was read.
    pub arrived: Time,
    /// When its answer must be complete: the caller's deadline or the route's timeout.
    pub deadline: Time,
    /// Upstreams that can't take it.
    pub tried: Vec<ServerId>,
    /// Upstreams that may have run it.
    pub runs: u32,
    /// Times that it was sent.
    pub sends: u32,
    /// What is known of it.
    pub verdict: Verdict,
}

impl Plan {
    /// Time left.
    pub fn left(&self, now: Time) -> Duration {
        self.deadline.saturating_sub(now)
    }

    /// Urgency; zero goes first.
    pub fn priority(&self) -> u32 {
        let organisation = self.organisation.as_ref().and_then(|o| o.priority);
        organisation.unwrap_or(self.route.priority)
    }

    /// Whether it may run once more.
    pub fn may_run_again(&self) -> bool {
        let untouched = self.runs == 0;
        untouched || (self.route.repeat.is_repeatable() && self.runs < self.route.attempts)
    }
}

/// One send of a request to an upstream.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The upstream.
    pub server: Arc<Server>,
    /// How an engine is to run it.
    pub engine: Option<EngineRun>,
    /// Longest wait for the first event or for the whole answer, where another upstream may be tried.
    pub response_timeout: Option<Duration>,
    /// Longest wait between two events, where the stream may go on elsewhere.
    pub event_timeout: Option<Duration>,
    /// Expected time to the first event.
    pub expected: Duration,
    /// Tokens that it has to read for this request.
    pub prefill_tokens: u64,
    /// When it was sent.
    pub sent: Time,
    /// It counted as cold then.
    pub cold: bool,
}

/// What an engine is told beside the request.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineRun {
    /// The model.
    pub model: ModelName,
    /// Weights that the request must run on.
    pub weights: WeightVersion,
    /// Name space of the cached parts that it may use.
    pub salt: String,
    /// Where it may fetch parts from.
    pub fetch: Fetch,
    /// The store that it is to save each part to, once it is read; empty if none.
    pub save: Vec<Option<SocketAddr>>,
    /// Urgency.
    pub priority: u32,
}

/// Where an engine fetches parts that it does not hold.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum Fetch {
    /// Nowhere.
    #[default]
    None,
    /// Whatever another engine holds.
    Engine(SocketAddr),
    /// Each part from a store.
    Stores {
        /// The store of each part; none where it is not fetched.
        sources: Vec<Option<SocketAddr>>,
        /// When a fetch that is not finished is given up, by the servers' clock in milliseconds.
        until: u64,
    },
}

/// What comes next for a request.
#[derive(Clone, Debug)]
pub enum Step {
    /// It is sent.
    Send(Box<Attempt>),
    /// An upstream will be able to take it then.
    Wait(Time),
    /// It is given up.
    Refuse(Refusal),
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Ending {
    /// No connection could be made.
    Unreachable,
    /// The upstream refused it and did not run it.
    Refused,
    /// Another upstream has the address, or this one has other weights; not run.
    Misdirected,
    /// Nothing came within the patience.
    Silent,
    /// The exchange broke after the request was sent.
    Broken,
    /// The upstream's machine acknowledges nothing that is sent.
    Lost,
    /// The upstream answered with a failure.
    Failed,
    /// The upstream answered in full.
    Answered,
    /// The caller left.
    Cancelled,
    /// The deadline passed.
    Expired,
}

impl Ending {
    /// What it says of the attempt.
    pub fn verdict(self) -> Verdict {
        match self {
            Self::Unreachable | Self::Refused | Self::Misdirected => Verdict::NotRun,
            Self::Silent | Self::Broken | Self::Lost | Self::Cancelled | Self::Expired => {
                Verdict::MayHaveRun
            }
            Self::Failed | Self::Answered => Verdict::Ran,
        }
    }
}

/// Why a request is answered by the gateway itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Refusal {
    /// The reason.
    pub reason: Reason,
    /// Whether it may have run.
    pub verdict: Verdict,
    /// When to come back.
    pub retry_after: Option<Duration>,
}

/// Reasons of refusals and failures.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// No configuration is known yet.
    NotReady,
    /// The request is malformed.
    Malformed,
    /// The body is over the limit.
    TooLarge,
    /// No route matches.
    UnknownRoute,
    /// No organisation has the key.
    UnknownKey,
    /// The configuration is too old to deny by.
    StaleConfiguration,
    /// No upstream may take it.
    NoUpstream,
    /// Every upstream refuses or would answer too late.
    Overloaded,
    /// Repeats are used up.
    RetryBudget,
    /// The upstream broke the exchange off.
    Broken,
    /// The deadline passed.
    Expired,
}
