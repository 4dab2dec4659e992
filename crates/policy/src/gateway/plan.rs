//! The state of one request, from admission to its answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use strum::{Display, IntoStaticStr};

use super::call::{CallId, Prompt, Resumption};
use super::canary;
use super::configuration::{ModelName, Organisation, Route, ServiceName, Version};
use super::quarantine::Subjects;
use super::software::StreamKey;
use super::view::{Server, ServerId, SoftwareVersion, WeightVersion};
use crate::{Time, Verdict};

/// A request that was admitted.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Request id assigned by the caller.
    pub id: CallId,
    /// Its route.
    pub route: Arc<Route>,
    /// The service selected by the route's split.
    pub service: ServiceName,
    /// The organisation whose key it carries.
    pub organisation: Option<Arc<Organisation>>,
    /// Its prompt.
    pub prompt: Option<Prompt>,
    /// Key of its stream; of the stream that it takes up, if it does.
    pub stream: StreamKey,
    /// The stream that it takes up, if it does.
    pub resumption: Option<Resumption>,
    /// The only software version that may go on with its stream; none before the first event.
    pub software: Option<SoftwareVersion>,
    /// How an order to move the traffic concerns it.
    pub canary: canary::Seat,
    /// What may crash an upstream that begins to run it.
    pub subjects: Subjects,
    /// The configuration that it was admitted by.
    pub version: Version,
    /// When it was received.
    pub arrived: Time,
    /// Time that the caller had spent before, if it was refused and came back: its deadline is
    /// nearer than the route's timeout then.
    pub waited: Duration,
    /// When its answer must be complete: the caller's deadline or the route's timeout.
    pub deadline: Time,
    /// Upstreams that are not tried again.
    pub tried: Vec<ServerId>,
    /// Upstreams with an attempt in progress.
    pub in_progress: Vec<ServerId>,
    /// Number of upstreams that may have run it, without attempts in progress.
    pub runs: u32,
    /// Whether an upstream crashed under it before it began to answer.
    pub crashed: bool,
    /// Number of times that it was sent.
    pub sends: u32,
    /// Whether it may have run, from all attempts so far.
    pub verdict: Verdict,
    /// Whether another instance passed it on.
    pub is_forwarded: bool,
    /// Instances that it was passed on to.
    pub peers: Vec<SocketAddr>,
    /// Whether its attempt tests a path that is lost.
    pub is_path_trial: bool,
}

impl Plan {
    /// Time left until the deadline.
    pub fn left(&self, now: Time) -> Duration {
        self.deadline.saturating_sub(now)
    }

    /// Records that the caller gets the first events of a stream from this attempt.
    pub fn begin_stream(&mut self, attempt: &Attempt) {
        self.software.get_or_insert_with(|| attempt.server.software.clone());
    }

    /// Whether a server's software may answer the rest of the request.
    pub fn accepts_software(&self, server: &Server) -> bool {
        let is_bound = |software: &SoftwareVersion| *software == server.software;
        self.software.as_ref().is_none_or(is_bound) && self.canary.side.accepts(&server.software)
    }

    /// Priority; zero is the highest.
    pub fn priority(&self) -> u32 {
        let organisation = self.organisation.as_ref().and_then(|o| o.priority);
        organisation.unwrap_or(self.route.priority)
    }

    /// Whether an upstream was tried or is being tried.
    pub fn is_taken(&self, server: &ServerId) -> bool {
        self.tried.contains(server) || self.in_progress.contains(server)
    }

    /// Number of upstreams that may have run it or may run it yet.
    pub fn possible_runs(&self) -> u32 {
        self.runs + self.in_progress.len() as u32
    }

    /// Whether it may run once more.
    pub fn may_run_again(&self) -> bool {
        let runs = self.possible_runs();
        runs == 0 || (self.route.repeat.is_repeatable() && runs < self.route.attempts)
    }
}

/// One send of a request to an upstream.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The upstream.
    pub server: Arc<Server>,
    /// Instructions for an engine.
    pub engine: Option<EngineRun>,
    /// Wait for the first event or the whole answer after which a second attempt starts; none if no
    /// other upstream may be tried.
    pub response_timeout: Option<Duration>,
    /// Wait between two events after which a second attempt starts; none if no other upstream may
    /// continue the stream.
    pub event_timeout: Option<Duration>,
    /// Expected time to the first event; for engines, without the queue.
    pub expected: Duration,
    /// Expected time in an engine's queue.
    pub wait: Duration,
    /// Expected time to the first event, by the load and the prompt alone.
    pub foreseen: Duration,
    /// Outstanding prefill in tokens.
    pub prefill_tokens: u64,
    /// When it was sent.
    pub sent: Time,
    /// When its first event, or its whole plain answer, was received.
    pub began: Option<Time>,
    /// Whether the upstream was cold then.
    pub cold: bool,
}

impl Attempt {
    /// Stores that the engine fetches parts from.
    pub fn stores(&self) -> impl Iterator<Item = SocketAddr> {
        let fetch = self.engine.as_ref().map(|run| &run.fetch);
        let sources = match fetch {
            Some(Fetch::Stores { sources, .. }) => &**sources,
            _ => &[],
        };
        sources.iter().flatten().copied()
    }
}

/// Instructions that an engine gets with the request.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineRun {
    /// The model.
    pub model: ModelName,
    /// Version of the weights that the request must run on.
    pub weights: WeightVersion,
    /// Namespace of the cached parts that it may use.
    pub salt: String,
    /// Source from which it may fetch parts.
    pub fetch: Fetch,
    /// The store that it saves each part to after prefill; empty if none.
    pub save: Vec<Option<SocketAddr>>,
    /// Priority; zero is the highest.
    pub priority: u32,
}

/// Source of parts that an engine does not hold.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum Fetch {
    /// None; it computes them.
    #[default]
    None,
    /// Another engine, for all parts that it holds.
    Engine(SocketAddr),
    /// A store for each part.
    Stores {
        /// The store of each part; none if the part is not fetched.
        sources: Vec<Option<SocketAddr>>,
        /// When an unfinished fetch is aborted, in milliseconds of the servers' clock.
        until: u64,
    },
}

/// The next step for a request.
#[derive(Clone, Debug)]
pub enum Step {
    /// Send it.
    Send(Box<Attempt>),
    /// Decide again at this time, when an upstream may be free.
    Wait(Time),
    /// Pass it on to another instance.
    Forward(SocketAddr),
    /// Answer with a refusal.
    Refuse(Refusal),
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Ending {
    /// No connection could be made.
    Unreachable,
    /// The upstream refused it without running it.
    Refused,
    /// Another upstream has the address, or this one has other weights; it was not run.
    Misdirected,
    /// Nothing was received within the timeout, and another attempt has answered.
    Silent,
    /// The exchange broke after the request was sent.
    Broken,
    /// The upstream's host does not acknowledge what is sent.
    Lost,
    /// The upstream answered with a failure.
    Failed,
    /// The upstream answered in full.
    Answered,
    /// The caller disconnected, or another attempt answered first.
    Cancelled,
    /// The deadline passed.
    Expired,
    /// It had not begun when its weights could no longer be used.
    Outdated,
}

impl Ending {
    /// Whether the attempt may have run.
    pub fn verdict(self) -> Verdict {
        match self {
            Self::Unreachable | Self::Refused | Self::Misdirected => Verdict::NotRun,
            Self::Silent
            | Self::Broken
            | Self::Lost
            | Self::Cancelled
            | Self::Expired
            | Self::Outdated => Verdict::MayHaveRun,
            Self::Failed | Self::Answered => Verdict::Ran,
        }
    }
}

/// A request that the gateway itself answers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Refusal {
    /// The reason.
    pub reason: Reason,
    /// Whether it may have run.
    pub verdict: Verdict,
    /// Delay after which the caller may retry.
    pub retry_after: Option<Duration>,
}

/// Reasons for refusals and failures.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// No configuration has been received yet.
    NotReady,
    /// The request is malformed.
    Malformed,
    /// The body exceeds the limit.
    TooLarge,
    /// No route matches.
    UnknownRoute,
    /// No organisation has the key.
    UnknownKey,
    /// The configuration is too old to deny a request by it.
    StaleConfiguration,
    /// The instance stops, and may end before the request does.
    Stopping,
    /// The memory for bodies is exhausted.
    OutOfMemory,
    /// No upstream is eligible.
    NoUpstream,
    /// Another instance passed the request on, and this one has no path to the service either.
    NoPath,
    /// Every upstream refuses or would be free too late.
    Overloaded,
    /// No engine could begin the prompt in time.
    QueueFull,
    /// A shared part of the prompt crashed several engines; the part's position, from one.
    PartHeld(usize),
    /// Several upstreams crashed under the request.
    RequestHeld,
    /// The request takes up a stream, and it isn't known which software version began it.
    UnknownStream,
    /// The retry budget is exhausted.
    RetryBudget,
    /// The exchange with the upstream broke.
    Broken,
    /// The deadline passed.
    Expired,
}
