//! Bandwidth budgets of the links over which cache blocks are transferred.
//!
//! Each link has a token bucket, filled at this daemon's share of the link's budget. Imports, which
//! a caller waits for, may take the bucket into debt, and the debt adds to their cost. Exports may
//! use only what is above half. While the bucket is below half, an organisation may import only if
//! its own share of the link isn't in debt.

use std::collections::HashMap;
use std::time::Duration;

use acacia_catalog::Set;
use acacia_catalog::id::ZoneId;
use rustc_hash::FxHashMap;

use super::estimate::Rate;
use crate::Time;

/// Budget of a link that is not configured, in bytes per second.
const DEFAULT_BUDGET: f64 = 1e9;
/// Depth of a bucket, as time at the link's whole budget.
const DEPTH: Duration = Duration::from_secs(1);
/// Share of a link that one organisation may use while the link is scarce.
const ORGANISATION_SHARE: f64 = 0.25;
/// Debt of a bucket beyond which imports are refused, in depths.
const DEBT_LIMIT: f64 = 4.0;
/// Fraction of a bucket that exports leave unused.
const RESERVE: f64 = 0.5;
/// Number of organisations tracked per link at which those without debt are dropped.
const ORGANISATION_LIMIT: usize = 256;

/// Index of an availability zone.
pub type ZoneIndex = u16;
/// Index of an organisation.
type Org = u32;

/// The links between availability zones.
#[derive(Default)]
pub struct Links {
    zones: HashMap<ZoneId, ZoneIndex>,
    buckets: Vec<Bucket>,
    daemons: f64,
}

/// The current cost of a transfer over a link.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quote {
    /// Seconds until the bucket's debt is paid off.
    pub wait: f64,
    /// Transfer time of one byte, in seconds.
    pub seconds_per_byte: f64,
}

struct Bucket {
    budget: f64,
    level: f64,
    at: Time,
    observed: Rate,
    organisations: FxHashMap<Org, (f64, Time)>,
}

impl Links {
    /// Applies a configuration and the number of daemons that share its budgets.
    pub fn configure(&mut self, set: &Set, daemons: usize) {
        self.daemons = daemons.max(1) as f64;
        for zone in set.zones.keys() {
            let next = ZoneIndex::try_from(self.zones.len()).unwrap_or(ZoneIndex::MAX);
            self.zones.entry(zone.clone()).or_insert(next);
        }
        let count = self.zones.len();
        self.buckets.resize_with(count * (count + 1) / 2, Bucket::default);
        for link in set.links.values() {
            if let (Some(from), Some(to)) = (self.zone_index(&link.from), self.zone_index(&link.to))
            {
                self.bucket(from, to).budget = link.bytes_per_second as f64;
            }
        }
    }

    /// The index of a zone; none if it is not configured.
    pub fn zone_index(&self, zone: &ZoneId) -> Option<ZoneIndex> {
        self.zones.get(zone).copied()
    }

    /// The current cost of an import for `organisation`; none if the import is refused.
    pub fn quote(
        &mut self,
        now: Time,
        from: ZoneIndex,
        to: ZoneIndex,
        organisation: Org,
    ) -> Option<Quote> {
        let daemons = self.daemons;
        let bucket = self.bucket(from, to);
        bucket.fill(now, daemons);
        let depth = bucket.depth();
        let scarce = bucket.level < RESERVE * depth;
        let indebted = || bucket.share(now, organisation, daemons) < 0.0;
        if bucket.level < -DEBT_LIMIT * depth || (scarce && indebted()) {
            return None;
        }
        let speed = bucket.observed.at(now, bucket.budget);
        let wait = (-bucket.level).max(0.0) * daemons / bucket.budget;
        Some(Quote { wait, seconds_per_byte: 1.0 / speed.max(1.0) })
    }

    /// Charges an import.
    pub fn import(
        &mut self,
        now: Time,
        from: ZoneIndex,
        to: ZoneIndex,
        organisation: Org,
        bytes: u64,
    ) {
        let daemons = self.daemons;
        let bucket = self.bucket(from, to);
        bucket.fill(now, daemons);
        bucket.level -= bytes as f64;
        let share = bucket.share(now, organisation, daemons) - bytes as f64;
        bucket.set_share(now, organisation, share);
    }

    /// Charges an export if the bucket is above its reserve; returns the bytes per second to use.
    pub fn export(&mut self, now: Time, from: ZoneIndex, to: ZoneIndex, bytes: u64) -> Option<u64> {
        let daemons = self.daemons;
        let bucket = self.bucket(from, to);
        bucket.fill(now, daemons);
        if bucket.level < RESERVE * bucket.depth() {
            return None;
        }
        bucket.level -= bytes as f64;
        Some((bucket.budget * RESERVE / daemons) as u64)
    }

    /// Adds a sample of the link's speed.
    pub fn observe(
        &mut self,
        now: Time,
        from: ZoneIndex,
        to: ZoneIndex,
        bytes: u64,
        took: Duration,
    ) {
        self.bucket(from, to).observed.observe(now, bytes as f64, took);
    }

    /// The bucket of a link, shared by both directions.
    fn bucket(&mut self, from: ZoneIndex, to: ZoneIndex) -> &mut Bucket {
        let (near, far) = (usize::from(from.min(to)), usize::from(from.max(to)));
        &mut self.buckets[far * (far + 1) / 2 + near]
    }
}

impl Default for Bucket {
    fn default() -> Self {
        Self {
            budget: DEFAULT_BUDGET,
            level: DEFAULT_BUDGET,
            at: Time::ZERO,
            observed: Rate::default(),
            organisations: FxHashMap::default(),
        }
    }
}

impl Bucket {
    fn depth(&self) -> f64 {
        self.budget * DEPTH.as_secs_f64()
    }

    fn fill(&mut self, now: Time, daemons: f64) {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        self.level = (self.level + passed * self.budget / daemons).min(self.depth());
        self.at = now;
    }

    /// Bytes left of an organisation's share; negative when in debt.
    fn share(&self, now: Time, organisation: Org, daemons: f64) -> f64 {
        let depth = self.depth() * ORGANISATION_SHARE;
        let Some((left, at)) = self.organisations.get(&organisation) else { return depth };
        let passed = now.saturating_sub(*at).as_secs_f64();
        (left + passed * self.budget * ORGANISATION_SHARE / daemons).min(depth)
    }

    fn set_share(&mut self, now: Time, organisation: Org, left: f64) {
        if self.organisations.len() >= ORGANISATION_LIMIT {
            self.organisations.retain(|_, (left, _)| *left < 0.0);
        }
        self.organisations.insert(organisation, (left, now));
    }
}
