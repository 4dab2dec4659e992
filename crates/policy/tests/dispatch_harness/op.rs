//! Operations of the fuzz, as `quickcheck` draws and shrinks them.

use quickcheck::{Arbitrary, Gen};
use serde::{Deserialize, Serialize};

/// One thing done to the world.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case", tag = "op")]
pub enum Op {
    /// A request comes.
    Arrive {
        /// Where.
        dispatcher: u8,
        /// What it asks: a prompt or one of three calls.
        kind: u8,
        /// Who asks.
        org: u8,
        /// Which history.
        history: u8,
        /// Whether it is long.
        class: bool,
        /// Its idempotency key.
        key: u8,
        /// Milliseconds to its deadline.
        deadline: u16,
    },
    /// Many prompts of one organisation come.
    Burst {
        /// Where.
        dispatcher: u8,
        /// Who asks.
        org: u8,
        /// How many.
        count: u16,
    },
    /// A caller leaves.
    Leave {
        /// Which of the recent ones.
        which: u8,
    },
    /// Time passes.
    Pass {
        /// Milliseconds.
        ms: u16,
    },
    /// An upstream's process restarts; its runs break.
    Restart {
        /// Which.
        upstream: u8,
    },
    /// The connections of an upstream's runs break; its process lives.
    Break {
        /// Which.
        upstream: u8,
    },
    /// An upstream becomes warm.
    Warm {
        /// Which.
        upstream: u8,
    },
    /// An upstream is closed.
    Close {
        /// Which.
        upstream: u8,
    },
    /// An upstream goes down.
    Down {
        /// Which.
        upstream: u8,
    },
    /// An upstream becomes cold.
    Cool {
        /// Which.
        upstream: u8,
    },
    /// An engine changes its weight version.
    Swap {
        /// Which.
        upstream: u8,
    },
    /// Operators change the version that new requests run on.
    Serve {
        /// Which.
        version: u8,
    },
    /// An upstream reports its load.
    Report {
        /// Which.
        upstream: u8,
    },
    /// A store loses a block.
    Evict {
        /// Which.
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
