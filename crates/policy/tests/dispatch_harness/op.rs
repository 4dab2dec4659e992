//! Operations of the fuzz test, generated and shrunk by `quickcheck`.

use quickcheck::{Arbitrary, Gen};
use serde::{Deserialize, Serialize};

/// One operation on the simulation.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case", tag = "op")]
pub enum Op {
    /// A request arrives.
    Arrive {
        /// The dispatcher.
        dispatcher: u8,
        /// What it runs: a prompt or one of three calls.
        kind: u8,
        /// The organisation.
        org: u8,
        /// The prompt.
        history: u8,
        /// Whether it is long.
        class: bool,
        /// Its idempotency key.
        key: u8,
        /// Milliseconds to its deadline.
        deadline: u16,
    },
    /// Many prompts of one organisation arrive.
    Burst {
        /// The dispatcher.
        dispatcher: u8,
        /// The organisation.
        org: u8,
        /// Number of prompts.
        count: u16,
    },
    /// A caller disconnects.
    Leave {
        /// Index among the recent requests.
        which: u8,
    },
    /// Time passes.
    Pass {
        /// Milliseconds.
        ms: u16,
    },
    /// An upstream's process restarts; its attempts break.
    Restart {
        /// The upstream.
        upstream: u8,
    },
    /// The connections of an upstream's attempts break; its process runs on.
    Break {
        /// The upstream.
        upstream: u8,
    },
    /// An upstream becomes warm.
    Warm {
        /// The upstream.
        upstream: u8,
    },
    /// An upstream is closed.
    Close {
        /// The upstream.
        upstream: u8,
    },
    /// An upstream goes down.
    Down {
        /// The upstream.
        upstream: u8,
    },
    /// An upstream becomes cold.
    Cool {
        /// The upstream.
        upstream: u8,
    },
    /// An engine changes its weight version.
    Swap {
        /// The upstream.
        upstream: u8,
    },
    /// Operators change the weight version that new requests run on.
    Serve {
        /// The version.
        version: u8,
    },
    /// An upstream reports its load.
    Report {
        /// The upstream.
        upstream: u8,
    },
    /// A store loses a block.
    Evict {
        /// Index among the stored blocks.
        which: u8,
    },
}

impl Arbitrary for Op {
    fn arbitrary(g: &mut Gen) -> Self {
        let byte = u8::arbitrary(g);
        match u8::arbitrary(g) % 40 {
            0..=13 => Self::Arrive {
                dispatcher: byte,
                kind: u8::arbitrary(g),
                org: u8::arbitrary(g),
                history: u8::arbitrary(g),
                class: bool::arbitrary(g),
                key: u8::arbitrary(g),
                deadline: u16::arbitrary(g),
            },
            14 => Self::Burst {
                dispatcher: byte,
                org: u8::arbitrary(g),
                count: u16::arbitrary(g) % 300,
            },
            15..=16 => Self::Leave { which: byte },
            17..=25 => Self::Pass { ms: u16::arbitrary(g) },
            26 if bool::arbitrary(g) => Self::Break { upstream: byte },
            26 => Self::Restart { upstream: byte },
            27..=30 => Self::Warm { upstream: byte },
            31 => Self::Close { upstream: byte },
            32 => Self::Down { upstream: byte },
            33 => Self::Cool { upstream: byte },
            34 => Self::Swap { upstream: byte },
            35 => Self::Serve { version: byte },
            36..=38 => Self::Report { upstream: byte },
            _ => Self::Evict { which: byte },
        }
    }
}
