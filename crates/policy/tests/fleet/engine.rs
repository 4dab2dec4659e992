//! A simulated upstream.

use std::collections::BTreeMap;
use std::time::Duration;

use acacia_catalog::id::{Incarnation, Name, VersionId};
use acacia_policy::control::Fence;

/// Number of one run.
pub type RunId = u64;

/// Answers after which an upstream that reports its load becomes warm.
const WARM_UP_ANSWERS: u32 = 16;
/// Answers per unit of cold limit after which any other upstream becomes warm.
const WARM_UP_ROUNDS: u32 = 2;

/// One request that an upstream runs.
#[derive(Clone, Copy, Debug)]
pub struct Run {
    /// Whether it was sent under a permit for this incarnation.
    pub permitted: bool,
}

/// A simulated upstream.
#[derive(Clone, Debug)]
pub struct Engine {
    pub incarnation: Incarnation,
    pub cold: bool,
    pub reports: bool,
    pub cold_limit: u32,
    pub checks_fence: bool,
    pub runs: BTreeMap<RunId, Run>,
    pub answered: u32,
    pub fence: Fence,
    pub version: Option<VersionId>,
    pub loading: u32,
    /// Orders accepted in this incarnation, and whether they are done; a repeat starts nothing.
    pub orders: BTreeMap<Name, bool>,
    pub restarted_at: Duration,
}

impl Engine {
    pub fn new(reports: bool, cold_limit: u32, checks_fence: bool) -> Self {
        Self {
            incarnation: 1,
            cold: true,
            reports,
            cold_limit,
            checks_fence,
            runs: BTreeMap::new(),
            answered: 0,
            fence: 0,
            version: None,
            loading: 0,
            orders: BTreeMap::new(),
            restarted_at: Duration::ZERO,
        }
    }

    /// Starts a run; returns the number of permitted runs including it.
    pub fn start(&mut self, id: RunId, permitted: bool) -> u32 {
        self.runs.insert(id, Run { permitted });
        self.runs.values().filter(|r| r.permitted).count() as u32
    }

    /// Ends a run successfully; false if it started in an earlier incarnation.
    pub fn finish(&mut self, id: RunId) -> bool {
        if self.runs.remove(&id).is_none() {
            return false;
        }
        self.answered += 1;
        let enough = if self.reports { WARM_UP_ANSWERS } else { WARM_UP_ROUNDS * self.cold_limit };
        if self.answered >= enough {
            self.cold = false;
        }
        true
    }

    /// Starts another incarnation, cold.
    pub fn restart(&mut self, now: Duration) {
        self.incarnation += 1;
        self.cold = true;
        self.answered = 0;
        self.runs.clear();
        self.loading = 0;
        self.orders.clear();
        self.version = None;
        self.restarted_at = now;
    }
}
