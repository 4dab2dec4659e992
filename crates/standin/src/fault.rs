//! Faults that can be injected into a stand-in.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumDiscriminants, EnumIter, IntoStaticStr};
use thiserror::Error;

/// A fault to apply or clear; durations are real time, not scaled model time.
#[derive(
    Clone, Debug, Deserialize, Display, EnumDiscriminants, Eq, IntoStaticStr, PartialEq, Serialize,
)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
#[strum(serialize_all = "snake_case")]
#[strum_discriminants(name(FaultKind), derive(Display, EnumIter))]
#[strum_discriminants(strum(serialize_all = "snake_case"))]
#[strum_discriminants(doc = "Kinds of faults, without their parameters.")]
pub enum Fault {
    /// Every answer is delayed; zero clears the fault.
    Slow {
        /// Delay in milliseconds.
        millis: u64,
    },
    /// Every call is refused with `503` and has no effect.
    Down {
        /// Whether the fault is on.
        on: bool,
    },
    /// The port refuses connections and open ones are closed, as after a process crash.
    Unreachable {
        /// Whether the fault is on.
        on: bool,
    },
    /// Connections are accepted but not answered; pending calls continue when the fault ends.
    Frozen {
        /// Whether the fault is on.
        on: bool,
    },
    /// The next calls that change state take effect, but their answer is lost: the connection is
    /// dropped before or halfway through it.
    LostAnswer {
        /// Number of calls affected.
        times: u32,
    },
    /// All leases expire now.
    LeaseLapse,
    /// The metadata store loses what the system wrote since a copy of this age, and begins a new
    /// era; operators and servers write their entries again.
    Restored {
        /// Age of the copy in milliseconds.
        millis: u64,
    },
    /// Every request is refused with `503` and a `Retry-After` of this time; zero clears the fault.
    Paused {
        /// Time in milliseconds.
        millis: u64,
    },
    /// Every answer states a rate limit; none clears the fault.
    Limited {
        /// Requests in 1,000 s that the server takes from all instances together.
        per_1000_s: Option<u32>,
    },
    /// Every answer states how many refusals a second the server bears; from three seconds later,
    /// it lets fewer requests wait and falls over above that. None clears the fault.
    Brittle {
        /// Refusals that it bears in a second.
        refusals: Option<u32>,
        /// Requests that it lets wait for a slot.
        queue: u32,
    },
    /// Nothing is sent for this time, then everything goes on: neither answers nor events; zero
    /// clears the fault.
    Silent {
        /// Time in milliseconds.
        millis: u64,
    },
    /// The connection of every request is closed before anything runs.
    Closing {
        /// Whether the fault is on.
        on: bool,
    },
    /// The instance is cold again, within the same incarnation.
    Cold,
    /// The process restarts: new incarnation, memory lost, cold.
    Restart,
    /// The connection drops before this output token of a stream.
    BrokenStream {
        /// Offset of the token in the answer.
        token: u32,
        /// Number of streams; if absent, every stream until set to zero.
        times: Option<u32>,
    },
    /// A chunk with the id of another attempt is inserted before this output token.
    CrossedChunk {
        /// Offset of the token in the answer.
        token: u32,
        /// Number of streams.
        times: u32,
    },
    /// The chunk with this output token is sent twice.
    DuplicateChunk {
        /// Offset of the token in the answer.
        token: u32,
        /// Number of streams.
        times: u32,
    },
    /// Answers are truncated and the connection is closed normally.
    TruncatedAnswer {
        /// Number of calls affected.
        times: u32,
    },
    /// Every block write is refused with `507`.
    Full {
        /// Whether the fault is on.
        on: bool,
    },
    /// Block reads return a truncated body, with the manifest unchanged.
    TornBlock {
        /// Number of calls affected.
        times: u32,
    },
    /// Block reads return other bytes of the same length, with the manifest unchanged.
    OverwrittenBlock {
        /// Number of calls affected.
        times: u32,
    },
    /// The store restarts without its blocks but keeps the manifests of the previous incarnation.
    StaleManifests,
    /// Orders with an outdated fencing token are executed.
    IgnoredFence {
        /// Whether the fault is on.
        on: bool,
    },
    /// The instance announces that it is leaving and refuses new requests.
    Leaving {
        /// Whether the fault is on.
        on: bool,
    },
}

/// The stand-in does not support the fault.
#[derive(Clone, Debug, Error, PartialEq)]
#[error("the {standin} stand-in does not support the fault `{fault}`; see docs/STANDINS.md")]
pub struct Unsupported {
    /// Kind of the stand-in.
    pub standin: &'static str,
    /// Name of the fault.
    pub fault: &'static str,
}
