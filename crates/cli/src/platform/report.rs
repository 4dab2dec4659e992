//! Statistics of a run on the platform.

use std::collections::BTreeMap;
use std::time::Duration;

use acacia_standin::Counter;
use acacia_standin::platform::caller::Ending;
use acacia_standin::platform::server::repeated;
use serde::Serialize;

use super::Cluster;
use super::fault::Fault;
use super::run::{Plan, Record};
use super::workload::Shape;
use crate::load::report::{Percentiles, histogram, summary};

/// Statistics of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Placement rule.
    pub placement: String,
    /// How the load changed over the run.
    pub shape: Shape,
    /// Factor by which the load was multiplied.
    pub load: f64,
    /// Injected faults.
    #[serde(rename = "troubles")]
    pub faults: Vec<Fault>,
    /// Seed of the workload.
    pub seed: u64,
    /// Requests by class.
    pub classes: BTreeMap<String, Class>,
    /// Value of the answers, as a share of the value if all were in time.
    #[serde(rename = "worth")]
    pub value_share: f64,
    /// Prompt tokens computed, as counted by the engines.
    #[serde(rename = "read_tokens")]
    pub prefill_tokens: u64,
    /// Prompt tokens taken from caches, as counted by the engines.
    pub cached_tokens: u64,
    /// Calls that must run at most once and ran more often.
    pub duplicates: u64,
    /// Cached prompt parts that were used although incomplete or computed with other weights.
    pub wrong_parts: u64,
    /// Number of errors by description.
    pub errors: BTreeMap<String, u64>,
}

/// Requests of one class.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Class {
    /// Sent by callers, without retries.
    #[serde(rename = "asked")]
    pub requests: u64,
    /// Answered in full, with the first event within the latency target.
    #[serde(rename = "in_aim")]
    pub in_time: u64,
    /// Answered in full, with the first event after the latency target.
    pub late: u64,
    /// Refused before anything ran.
    pub refused: u64,
    /// Interrupted, or without an answer.
    pub broken: u64,
    /// Received another answer.
    pub wrong: u64,
    /// Attempts by callers, with retries.
    pub sends: u64,
    /// Time to the first event, or to the full answer of a plain call.
    pub first: Percentiles,
}

impl Report {
    /// Summarises a run.
    pub fn new(plan: &Plan, cluster: &Cluster, records: &[Record]) -> Self {
        let classes = plan.profile.classes.iter().enumerate().map(|(number, class)| {
            let records = records.iter().filter(|record| record.class == number);
            (class.name.to_owned(), Class::new(records, class.latency_target))
        });
        let classes: BTreeMap<String, Class> = classes.collect();
        let total_value = |value: &dyn Fn(&Class, (f64, f64)) -> f64| -> f64 {
            plan.profile.classes.iter().map(|c| value(&classes[c.name], c.value)).sum()
        };
        let achieved = total_value(&|class, (full, late)| {
            class.in_time as f64 * full + class.late as f64 * late
        });
        let possible = total_value(&|class, (full, _)| class.requests as f64 * full);
        let engines = |counter| cluster.engines.iter().map(|engine| engine.count(counter)).sum();
        let duplicates = repeated(&cluster.services);
        let wrong: u64 = engines(Counter::WrongPrefixRead);
        Self {
            placement: plan.placement.to_string(),
            shape: plan.shape,
            load: plan.load,
            faults: plan.faults.clone(),
            seed: plan.seed,
            value_share: achieved / possible.max(f64::MIN_POSITIVE),
            prefill_tokens: engines(Counter::PromptTokensComputed),
            cached_tokens: engines(Counter::PromptTokensCached),
            duplicates: duplicates.iter().filter(|id| id.starts_with("charge")).count() as u64,
            wrong_parts: wrong + cluster.cache.count(Counter::WrongBlockRead),
            errors: errors(plan, records),
            classes,
        }
    }

    /// Describes the guarantees that the run violated.
    pub fn violations(&self) -> Vec<String> {
        let wrong = self.classes.values().map(|class| class.wrong).sum();
        [
            (wrong, "requests got the answer of another request"),
            (self.duplicates, "calls that must run at most once ran again"),
            (
                self.wrong_parts,
                "cached prompt parts were used although incomplete or computed with other weights",
            ),
        ]
        .into_iter()
        .filter(|(count, _)| *count > 0)
        .map(|(count, what)| format!("{}: {count} {what}", self.placement))
        .collect()
    }

    /// Share of the prompt tokens that engines computed.
    pub fn prefill_share(&self) -> f64 {
        self.prefill_tokens as f64 / (self.prefill_tokens + self.cached_tokens).max(1) as f64
    }
}

impl Class {
    fn new<'a>(records: impl Iterator<Item = &'a Record>, latency_target: Duration) -> Self {
        let mut class = Self::default();
        let mut times = histogram();
        for Record { answer, .. } in records {
            class.requests += 1;
            class.sends += u64::from(answer.attempts);
            if let Some(first) = answer.first_event {
                times.saturating_record(u64::try_from(first.as_micros()).unwrap_or(u64::MAX));
            }
            match &answer.ending {
                Ending::Complete
                    if answer.first_event.is_some_and(|first| first <= latency_target) =>
                {
                    class.in_time += 1
                }
                Ending::Complete => class.late += 1,
                Ending::Refused { not_run: true, .. } => class.refused += 1,
                Ending::Refused { .. } | Ending::Broken(_) => class.broken += 1,
                Ending::Wrong(_) => class.wrong += 1,
            }
        }
        class.first = summary(&times);
        class
    }
}

fn errors(plan: &Plan, records: &[Record]) -> BTreeMap<String, u64> {
    let mut errors = BTreeMap::new();
    for Record { class, answer } in records {
        let text = match &answer.ending {
            Ending::Complete => continue,
            Ending::Refused { status, not_run } => {
                let verdict = if *not_run { "not run" } else { "may have run" };
                format!("refused with {status} ({verdict})")
            }
            Ending::Broken(reason) => format!("broken: {reason}"),
            Ending::Wrong(reason) => format!("wrong: {reason}"),
        };
        let text = format!("{} {text}", plan.profile.classes[*class].name);
        *errors.entry(text).or_default() += 1;
    }
    errors
}
