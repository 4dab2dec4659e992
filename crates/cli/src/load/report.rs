//! Statistics of a run.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use strum::IntoEnumIterator;

use super::record::{Ending, Kind, Record};
use super::workload::User;

/// Longest time that a histogram records.
const LONGEST_US: u64 = 600_000_000;
/// Significant digits of a histogram.
const DIGITS: u8 = 3;

/// Statistics of a run.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Report {
    /// User whose workload was run.
    pub user: User,
    /// How requests were routed.
    pub strategy: String,
    /// Seed of the workload.
    pub seed: u64,
    /// Factor by which the stand-ins' clock was sped up.
    pub scale: f64,
    /// Requests by kind and result.
    pub counts: BTreeMap<Kind, Count>,
    /// Time to first token by kind, in the stand-ins' time.
    pub first_token: BTreeMap<Kind, Percentiles>,
    /// Time to first token of later turns by phase, in the stand-ins' time.
    pub phases: BTreeMap<String, Percentiles>,
    /// Prompt tokens.
    pub tokens: Tokens,
    /// Bytes moved between stores and engines.
    pub link: Link,
    /// Calls that ran more than once, as counted by the service.
    pub duplicates: u64,
    /// Times that an upstream in cold start exceeded its limit, as counted by the upstream.
    pub cold_excess: u64,
    /// Imported blocks that belonged to another request, as counted by the engines.
    pub wrong_blocks: u64,
    /// Number of errors by description.
    pub errors: BTreeMap<String, u64>,
    /// Time to first token of later turns: time and latency, in seconds of the stand-ins' time.
    pub points: Vec<(f64, f64)>,
}

/// Requests of one kind.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Count {
    /// Sent.
    pub sent: u64,
    /// Received the expected answer in full.
    #[serde(rename = "whole")]
    pub complete: u64,
    /// Refused.
    pub refused: u64,
    /// Interrupted.
    pub broken: u64,
    /// Received another answer.
    pub wrong: u64,
}

/// Percentiles of a latency, in milliseconds.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Percentiles {
    /// Number of samples.
    pub samples: u64,
    /// Median.
    pub p50_ms: f64,
    /// 95th percentile.
    pub p95_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
}

/// Prompt tokens of a run.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Tokens {
    /// Tokens in all prompts.
    pub prompt: u64,
    /// Computed over all requests, as counted by the engines.
    pub computed: u64,
    /// Lower bound of the tokens to compute, over all requests.
    pub floor: u64,
}

impl Tokens {
    /// Ratio of computed tokens to the lower bound.
    pub fn over_floor(&self) -> f64 {
        self.computed as f64 / self.floor.max(1) as f64
    }
}

/// Bytes moved between stores and engines, as counted by the engines.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Link {
    /// Imported into engines.
    pub imported: u64,
    /// Exported from engines.
    pub exported: u64,
}

impl Link {
    /// Total bytes.
    pub fn total(&self) -> u64 {
        self.imported + self.exported
    }
}

/// A named period of a run, in the stand-ins' time.
#[derive(Clone, Debug, PartialEq)]
pub struct Phase {
    /// Name.
    pub name: String,
    /// Start, inclusive.
    pub from: Duration,
    /// End, exclusive.
    pub to: Duration,
}

/// Counts requests by kind and result.
pub fn counts(records: &[Record]) -> BTreeMap<Kind, Count> {
    let mut counts: BTreeMap<Kind, Count> = BTreeMap::new();
    for record in records {
        let count = counts.entry(record.kind).or_default();
        count.sent += 1;
        match record.ending {
            Ending::Complete => count.complete += 1,
            Ending::Refused { .. } => count.refused += 1,
            Ending::Broken(_) => count.broken += 1,
            Ending::Wrong(_) => count.wrong += 1,
        }
    }
    counts
}

/// Counts errors by description.
pub fn errors(records: &[Record]) -> BTreeMap<String, u64> {
    let mut errors = BTreeMap::new();
    for record in records {
        let text = match &record.ending {
            Ending::Complete => continue,
            Ending::Refused { code, verdict } => {
                format!("{} refused: {code} ({verdict})", record.kind)
            }
            Ending::Broken(reason) => format!("{} broken: {reason}", record.kind),
            Ending::Wrong(reason) => format!("{} wrong: {reason}", record.kind),
        };
        *errors.entry(text).or_default() += 1;
    }
    errors
}

/// Time to first token by kind, in the stand-ins' time.
pub fn first_token(records: &[Record], scale: f64) -> BTreeMap<Kind, Percentiles> {
    Kind::iter()
        .map(|kind| (kind, percentiles(records.iter().filter(|r| r.kind == kind), scale)))
        .filter(|(_, p)| p.samples > 0)
        .collect()
}

/// Time to first token of later turns by phase, in the stand-ins' time.
pub fn phases(records: &[Record], phases: &[Phase], scale: f64) -> BTreeMap<String, Percentiles> {
    let of = |phase: &Phase| {
        let inside = records
            .iter()
            .filter(|r| r.kind == Kind::Return && r.at >= phase.from && r.at < phase.to);
        (phase.name.clone(), percentiles(inside, scale))
    };
    phases.iter().map(of).collect()
}

/// Time to first token of later turns: time and latency, in seconds of the stand-ins' time.
pub fn points(records: &[Record], scale: f64) -> Vec<(f64, f64)> {
    let point = |r: &Record| {
        let latency = r.first_token?;
        (r.kind == Kind::Return).then_some((r.at.as_secs_f64(), latency.as_secs_f64() * scale))
    };
    records.iter().filter_map(point).collect()
}

fn percentiles<'a>(records: impl Iterator<Item = &'a Record>, scale: f64) -> Percentiles {
    let mut histogram = histogram();
    for latency in records.filter_map(|r| r.first_token) {
        let micros = latency.mul_f64(scale).as_micros();
        histogram.saturating_record(u64::try_from(micros).unwrap_or(LONGEST_US));
    }
    summary(&histogram)
}

/// An empty histogram of microseconds.
pub fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, LONGEST_US, DIGITS).expect("the bounds are valid")
}

/// The percentiles of a histogram of microseconds.
pub fn summary(histogram: &Histogram<u64>) -> Percentiles {
    let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
    Percentiles { samples: histogram.len(), p50_ms: at(0.50), p95_ms: at(0.95), p99_ms: at(0.99) }
}
