//! Faults that a stand-in can be told to show.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumDiscriminants, EnumIter, IntoStaticStr};
use thiserror::Error;

/// A fault switch; times are real, not scaled.
#[derive(
    Clone, Debug, Deserialize, Display, EnumDiscriminants, Eq, IntoStaticStr, PartialEq, Serialize,
)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
#[strum(serialize_all = "snake_case")]
#[strum_discriminants(name(FaultKind), derive(Display, EnumIter))]
#[strum_discriminants(strum(serialize_all = "snake_case"))]
#[strum_discriminants(doc = "Kinds of faults.")]
pub enum Fault {
    /// Every answer waits this long; zero ends it.
    Slow {
        /// Milliseconds.
        millis: u64,
    },
    /// Every call is refused with `503` and no effect.
    Down {
        /// Whether it begins or ends.
        on: bool,
    },
    /// The port refuses connections and open ones are cut, as if the process were gone.
    Unreachable {
        /// Whether it begins or ends.
        on: bool,
    },
    /// Connections are accepted and nothing is answered; at the end, what waited goes on.
    Frozen {
        /// Whether it begins or ends.
        on: bool,
    },
    /// The next calls with an effect take it, and the connection breaks without an answer.
    LostAnswer {
        /// How many.
        times: u32,
    },
    /// Every lease runs out now.
    LeaseLapse,
    /// The instance is in cold start again, in the same process life.
    Cold,
    /// The process dies and comes back: new incarnation, memory lost, cold.
    Restart,
    /// A stream breaks before this output token.
    BrokenStream {
        /// Offset of the token in the whole answer.
        token: u32,
        /// How many streams; absent for every one until set to zero.
        times: Option<u32>,
    },
    /// A chunk of another attempt is put before this output token.
    CrossedChunk {
        /// Offset of the token in the whole answer.
        token: u32,
        /// How many streams.
        times: u32,
    },
    /// The chunk with this output token is sent twice.
    DuplicateChunk {
        /// Offset of the token in the whole answer.
        token: u32,
        /// How many streams.
        times: u32,
    },
    /// Whole answers end in the middle with the connection closed in good order.
    TruncatedAnswer {
        /// How many.
        times: u32,
    },
    /// Every block write is refused with `507`.
    Full {
        /// Whether it begins or ends.
        on: bool,
    },
    /// Reads answer a block cut short, with its manifest standing.
    TornBlock {
        /// How many.
        times: u32,
    },
    /// Reads answer other bytes of the same length, with the manifest standing.
    OverwrittenBlock {
        /// How many.
        times: u32,
    },
    /// The store restarts without its blocks but still shows the manifests of its former life.
    StaleManifests,
    /// Orders with an old fencing number are carried out.
    IgnoredFence {
        /// Whether it begins or ends.
        on: bool,
    },
    /// The instance says that it is leaving and refuses new work.
    Leaving {
        /// Whether it begins or ends.
        on: bool,
    },
}

/// A fault that a stand-in can't show.
#[derive(Clone, Debug, Error, PartialEq)]
#[error("the {standin} stand-in cannot show the fault `{fault}`; see docs/STANDINS.md")]
pub struct Unsupported {
    /// The stand-in.
    pub standin: &'static str,
    /// The fault.
    pub fault: &'static str,
}
