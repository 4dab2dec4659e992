//! What goes wrong and what is changed, and when, drawn from a seed.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use strum::{Display, EnumIter, IntoEnumIterator};

/// Longest time that a fault lasts, in milliseconds.
const MAX_DURATION_MS: u64 = 2_500;
/// Shortest time that a fault lasts, in milliseconds.
const MIN_DURATION_MS: u64 = 200;

/// A fault or a change.
#[derive(Clone, Copy, Debug, Display, EnumIter, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Kind {
    /// An instance is told to stop, and started anew when it has.
    Replace,
    /// An instance's settings are written again and it is told to read them.
    Reload,
    /// Another configuration is named, with the same routes.
    Configure,
    /// Newer weights are named.
    #[strum(to_string = "renew")]
    AnnounceWeights,
    /// An instance is killed and started anew.
    Kill,
    /// An instance is paused.
    Pause,
    /// The metadata store refuses every call.
    StoreDown,
    /// The metadata store hangs.
    StoreFrozen,
    /// The metadata store takes calls and loses their answers.
    StoreLosesAnswers,
    /// Every lease of the metadata store runs out.
    LeasesLapse,
    /// The way to the metadata store is slow.
    StoreSlow,
    /// A server's port refuses.
    ServerGone,
    /// A server's connections are held both ways.
    ServerSilent,
    /// What a server answers is held.
    ServerOneWay,
    /// A server's connections are reset.
    ServerReset,
    /// The way to a server is slow.
    ServerSlow,
    /// A model engine breaks streams off.
    StreamsBreak,
    /// The managed store of KV cache loses all.
    CacheLost,
}

impl Kind {
    /// Whether operators do it, so that no request may be lost by it.
    pub fn is_planned(self) -> bool {
        matches!(self, Self::Replace | Self::Reload | Self::Configure | Self::AnnounceWeights)
    }
}

/// One fault of a schedule.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fault {
    /// When it begins, from the start.
    pub at: Duration,
    /// How long it lasts, where it does.
    pub length: Duration,
    /// What it is.
    pub kind: Kind,
    /// Which instance or server, counted around.
    pub target: usize,
}

/// A schedule.
#[derive(Clone, Debug, PartialEq)]
pub struct Schedule {
    /// Only what operators do.
    pub is_planned: bool,
    /// What comes, in no order.
    pub faults: Vec<Fault>,
}

impl Schedule {
    /// Draws a schedule of some length; each third seed has only planned changes.
    pub fn draw(seed: u64, length: Duration) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let is_planned = seed.is_multiple_of(3);
        let kinds: Vec<Kind> = Kind::iter().filter(|k| !is_planned || k.is_planned()).collect();
        // About one a second; with their lengths, more than one at a time.
        let count = length.as_secs().max(1) + rng.random_range(0..4);
        let faults = (0..count).map(|_| Fault {
            at: length.mul_f64(rng.random()),
            length: Duration::from_millis(rng.random_range(MIN_DURATION_MS..MAX_DURATION_MS)),
            kind: kinds[rng.random_range(0..kinds.len())],
            target: rng.random_range(0..64),
        });
        Self { is_planned, faults: faults.collect() }
    }
}
