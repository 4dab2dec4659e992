//! What the responses of two versions show, counted by all instances together.
//!
//! Each instance counts the responses that it received, by route, span of the order and version, and
//! tells the others its sums. A sum of a later message includes those of earlier ones, so a lost
//! message costs time only, and a repeated one counts once.
//!
//! The versions are compared within a span and a route: both then had the same requests under the
//! same load, so what makes both of them fail is not taken for a fault of one.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::{OrderKey, Progress, RouteKey};
use crate::gateway::gossip::Incarnation;

/// Spans into which the time at the small share is divided. A version that turns bad late would
/// otherwise be covered up by its earlier responses.
pub const EARLY_SPANS: u8 = 4;
/// The span in which the share rises.
pub const RAMP_SPAN: u8 = EARLY_SPANS;
/// The span in which the target gets all requests.
pub const FULL_SPAN: u8 = EARLY_SPANS + 1;
/// Rows in one message, so that it fits a datagram.
pub const MESSAGE_ROWS: usize = 30;
/// Responses of the old version from which its own route and span are the reference.
const REFERENCE_RESPONSES: u32 = 20;
/// Responses of the old version from which its mean time is known.
const MEAN_RESPONSES: u32 = 5;
/// Factor on the old version's mean time from which a response is slow.
const SLOW_FACTOR: f64 = 2.2;
/// Bad responses without which the target is never found worse.
const MIN_BAD: u32 = 3;

/// Which of the two versions.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(from = "bool", into = "bool")]
pub enum Version {
    /// The version that is replaced, or any other that is not the target.
    Old,
    /// The order's target.
    Target,
}

impl From<bool> for Version {
    fn from(is_target: bool) -> Self {
        if is_target { Self::Target } else { Self::Old }
    }
}

impl From<Version> for bool {
    fn from(version: Version) -> Self {
        version == Version::Target
    }
}

/// Counters of responses, which only grow.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Tally {
    /// Responses, including failures.
    pub responses: u32,
    /// Failures, broken exchanges and crashes.
    pub failed: u32,
    /// Responses whose time was compared.
    pub timed: u32,
    /// Those of them that were slow.
    pub slow: u32,
    /// Sum of the relative times to the first event.
    pub first: u32,
    /// Sum of the times from the first event to the last one, in milliseconds.
    pub rest: u32,
}

impl Tally {
    fn zip(self, other: Self, join: impl Fn(u32, u32) -> u32) -> Self {
        Self {
            responses: join(self.responses, other.responses),
            failed: join(self.failed, other.failed),
            timed: join(self.timed, other.timed),
            slow: join(self.slow, other.slow),
            first: join(self.first, other.first),
            rest: join(self.rest, other.rest),
        }
    }

    /// The sum of two tallies.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        self.zip(other, u32::saturating_add)
    }
}

/// Time of a response, in the units of [`Tally`].
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Timing {
    /// Relative time to the first event.
    pub first: u32,
    /// Time from the first event to the end, in milliseconds.
    pub rest: u32,
    /// Whether the response is complete; otherwise it takes at least this long.
    pub is_complete: bool,
}

/// Which responses a tally counts.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Cell {
    /// The route.
    pub route: RouteKey,
    /// The span of the order in which the requests were sent.
    pub span: u8,
    /// The version.
    pub version: Version,
}

/// What an instance knows of an order, as instances tell each other.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Evidence {
    /// The order.
    pub order: OrderKey,
    /// The instance that counted the responses.
    pub reporter: Incarnation,
    /// Time since the order was first seen, in milliseconds.
    pub age_ms: u32,
    /// How far the reporter is.
    pub progress: Progress,
    /// Its sums, or some of them.
    pub rows: Vec<(Cell, Tally)>,
}

/// The sums of all instances.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    reports: BTreeMap<Incarnation, BTreeMap<Cell, Tally>>,
    sums: BTreeMap<Cell, Tally>,
}

/// How clearly the target is worse than the old version.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct Strength(pub f64);

impl Strength {
    /// Chance alone causes this less than once in a hundred thousand comparisons.
    pub fn is_conclusive(self) -> bool {
        self.0 >= 12.0
    }

    /// Chance alone causes this about once in some hundred comparisons: enough not to go on.
    pub fn is_suspicious(self) -> bool {
        self.0 >= 6.0
    }
}

/// A kind of bad response.
struct Fault {
    bad: fn(&Tally) -> u32,
    all: fn(&Tally) -> u32,
    /// Lowest share of the old version's that is assumed.
    floor: f64,
    /// The target's share must exceed the old version's by this factor and this difference.
    factor: f64,
    difference: f64,
}

/// Failures are rare in a good version; slow responses are not.
const FAULTS: [Fault; 2] = [
    Fault {
        bad: |tally| tally.failed,
        all: |tally| tally.responses,
        floor: 0.004,
        factor: 1.5,
        difference: 0.02,
    },
    Fault {
        bad: |tally| tally.slow,
        all: |tally| tally.timed,
        floor: 0.03,
        factor: 2.0,
        difference: 0.1,
    },
];

impl Ledger {
    /// Adds a response that this instance received.
    pub fn record(
        &mut self,
        own: Incarnation,
        cell: Cell,
        has_failed: bool,
        timing: Option<Timing>,
    ) -> bool {
        let is_slow = timing.map(|timing| self.is_slow(cell.route, timing));
        let mut tally = Tally { responses: 1, failed: has_failed.into(), ..Tally::default() };
        match (timing, is_slow.flatten()) {
            // An unfinished response tells something only if it is slow already.
            (Some(timing), slow) if timing.is_complete || slow == Some(true) => {
                tally.timed = 1;
                tally.slow = (slow == Some(true)).into();
                (tally.first, tally.rest) = (timing.first, timing.rest);
            }
            (Some(_), _) if !has_failed => return false,
            _ => {}
        }
        let known = self.reports.entry(own).or_default().entry(cell).or_default();
        *known = known.plus(tally);
        let sum = self.sums.entry(cell).or_default();
        *sum = sum.plus(tally);
        tally.failed + tally.slow > 0
    }

    /// Whether a response is slow beside those of the old version; none if too few are known.
    fn is_slow(&self, route: RouteKey, timing: Timing) -> Option<bool> {
        let old = self.sum(|cell| cell.route == route && cell.version == Version::Old);
        if old.timed < MEAN_RESPONSES {
            return None;
        }
        let limit =
            |sum: u32, least: f64| (f64::from(sum) / f64::from(old.timed)).max(least) * SLOW_FACTOR;
        // Rests of a few milliseconds differ by chance.
        let is_late = f64::from(timing.first) > limit(old.first, 1.0);
        Some(is_late || f64::from(timing.rest) > limit(old.rest, 20.0))
    }

    /// Adds what an instance has counted; whether this holds further bad responses of the target.
    pub fn receive(&mut self, reporter: Incarnation, rows: &[(Cell, Tally)]) -> bool {
        let mut is_worse = false;
        let report = self.reports.entry(reporter).or_default();
        for (cell, tally) in rows {
            let known = report.entry(*cell).or_default();
            let newer = known.zip(*tally, u32::max);
            let increase = newer.zip(*known, u32::saturating_sub);
            *known = newer;
            let sum = self.sums.entry(*cell).or_default();
            *sum = sum.plus(increase);
            is_worse |= cell.version == Version::Target && increase.failed + increase.slow > 0;
        }
        is_worse
    }

    /// The sums of one instance from a span on.
    pub fn rows(&self, reporter: Incarnation, from: u8) -> Vec<(Cell, Tally)> {
        let rows = self.reports.get(&reporter).into_iter().flatten();
        rows.filter(|(cell, _)| cell.span >= from).map(|(cell, tally)| (*cell, *tally)).collect()
    }

    /// The instances that have counted responses.
    pub fn reporters(&self) -> impl Iterator<Item = Incarnation> {
        self.reports.keys().copied()
    }

    /// The sum of the cells that are selected.
    pub fn sum(&self, is_selected: impl Fn(&Cell) -> bool) -> Tally {
        let selected = self.sums.iter().filter(|(cell, _)| is_selected(cell));
        selected.fold(Tally::default(), |sum, (_, tally)| sum.plus(*tally))
    }

    /// How clearly the target is worse: on one route or on all, in one span or in all.
    pub fn strength(&self) -> Strength {
        let cells = self.sums.keys().filter(|cell| cell.version == Version::Target);
        let cells: Vec<Cell> = cells.copied().collect();
        let routes: BTreeSet<RouteKey> = cells.iter().map(|cell| cell.route).collect();
        let spans: BTreeSet<u8> = cells.iter().map(|cell| cell.span).collect();
        let mut strongest = 0.0_f64;
        for fault in &FAULTS {
            let terms: Vec<Term> = cells.iter().map(|cell| self.term(fault, *cell)).collect();
            let mut weigh = |is_in: &dyn Fn(&Cell) -> bool| {
                let selected = terms.iter().filter(|term| is_in(&term.cell));
                strongest = strongest.max(strength(fault, selected));
            };
            terms.iter().for_each(|term| weigh(&|cell| *cell == term.cell));
            routes.iter().for_each(|route| weigh(&|cell| cell.route == *route));
            spans.iter().for_each(|span| weigh(&|cell| cell.span == *span));
            weigh(&|_| true);
        }
        Strength(strongest)
    }

    /// The target's bad responses in a cell, beside the old version's.
    fn term(&self, fault: &Fault, cell: Cell) -> Term {
        let target = self.sums.get(&cell).copied().unwrap_or_default();
        let old = self.reference(fault, cell);
        let (bad, all) = ((fault.bad)(&target), (fault.all)(&target));
        let old_all = (fault.all)(&old);
        let old_share = f64::from((fault.bad)(&old)) / f64::from(old_all.max(1));
        Term { cell, bad, all, old_share: old_share.max(fault.floor), old_all }
    }

    /// The responses of the old version: on the same route at the same time, or as near to that as
    /// there are enough.
    fn reference(&self, fault: &Fault, cell: Cell) -> Tally {
        let is_old = |other: &Cell| other.version == Version::Old;
        let of_route = |from: u8, to: u8| {
            self.sum(|o| is_old(o) && o.route == cell.route && (from..=to).contains(&o.span))
        };
        let near = match cell.span {
            // Once the target gets all requests, the time just before is the nearest.
            FULL_SPAN => [of_route(RAMP_SPAN, FULL_SPAN), of_route(EARLY_SPANS - 1, FULL_SPAN)],
            span => [of_route(span, span), of_route(0, FULL_SPAN)],
        };
        let is_enough = |old: &&Tally| (fault.all)(old) >= REFERENCE_RESPONSES;
        near.iter().find(is_enough).copied().unwrap_or_else(|| self.sum(is_old))
    }
}

/// One part of a comparison.
struct Term {
    cell: Cell,
    bad: u32,
    all: u32,
    old_share: f64,
    old_all: u32,
}

/// How much less likely the responses are if both versions have one share of bad ones than if each
/// has its own, as a natural logarithm; zero if the target's isn't far greater.
fn strength<'a>(fault: &Fault, terms: impl Iterator<Item = &'a Term>) -> f64 {
    let (mut bad, mut all, mut expected, mut old_all) = (0, 0, 0.0, 0);
    for term in terms {
        (bad, all) = (bad + term.bad, all + term.all);
        expected += f64::from(term.all) * term.old_share;
        old_all += term.old_all;
    }
    if bad < MIN_BAD || old_all == 0 {
        return 0.0;
    }
    let (count, old_count) = (f64::from(all), f64::from(old_all));
    let (share, old_share) = (f64::from(bad) / count, (expected / count).min(1.0));
    if share <= old_share * fault.factor + fault.difference {
        return 0.0;
    }
    let common = (share * count + old_share * old_count) / (count + old_count);
    count * divergence(share, common) + old_count * divergence(old_share, common)
}

/// Divergence of two shares: the mean of the logarithm of their likelihoods' ratio.
fn divergence(share: f64, other: f64) -> f64 {
    let part = |share: f64, other: f64| {
        if share > 0.0 { share * (share / other).ln() } else { 0.0 }
    };
    part(share, other) + part(1.0 - share, 1.0 - other)
}
