//! Fake upstreams.

use acacia_catalog::id::{Incarnation, UpstreamId, VersionId};
use acacia_policy::dispatch::{Attempt, AttemptId, Reason, Start};
use acacia_policy::snapshot::Warmth;
use rand::RngExt;
use rand_chacha::ChaCha12Rng;

/// An engine or an instance of a plain service.
pub struct Upstream {
    /// Its name.
    pub name: UpstreamId,
    /// Whether it is an engine.
    pub is_engine: bool,
    /// Requests that may run at once.
    pub slots: u32,
    /// Most permits in cold start.
    pub cold_limit: u32,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its state in snapshots.
    pub warmth: Warmth,
    /// Weight version loaded, of an engine.
    pub version: Option<VersionId>,
    /// Running attempts.
    pub runs: Vec<Run>,
}

/// A running attempt.
#[derive(Clone, Debug)]
pub struct Run {
    /// The dispatcher that started it.
    pub dispatcher: usize,
    /// Its id.
    pub attempt: AttemptId,
    /// Output tokens sent, over all attempts.
    pub sent: u32,
}

impl Upstream {
    /// Restarts the process; returns the attempts that break.
    pub fn restart(&mut self) -> Vec<Run> {
        self.incarnation += 1;
        self.warmth = Warmth::Cold;
        std::mem::take(&mut self.runs)
    }

    /// Loads the other version.
    pub fn swap(&mut self) {
        if let Some(version) = &mut self.version {
            *version = if &**version == "v1" { "v2".into() } else { "v1".into() };
        }
    }

    /// The reason for which it refuses an attempt, if any.
    pub fn refusal(
        &self,
        attempt: &Attempt,
        fault_free: bool,
        rng: &mut ChaCha12Rng,
    ) -> Option<Reason> {
        let mut injects_fault = |chance| !fault_free && rng.random_bool(chance);
        if let Start::Resume { .. } = attempt.start
            && injects_fault(0.2)
        {
            return Some(Reason::Overloaded);
        }
        if self.version.is_some() && self.version != attempt.version {
            return Some(Reason::WrongVersion);
        }
        match self.warmth {
            Warmth::Closed => Some(Reason::Leaving),
            Warmth::Down => Some(Reason::Overloaded),
            Warmth::Cold if injects_fault(0.1) => Some(Reason::Cold),
            _ if injects_fault(0.05) => Some(Reason::Overloaded),
            _ => None,
        }
    }
}
