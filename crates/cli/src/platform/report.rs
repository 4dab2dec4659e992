//! The figures of one run on the platform.

use std::collections::BTreeMap;
use std::time::Duration;

use acacia_standin::Counter;
use acacia_standin::platform::caller::End;
use acacia_standin::platform::server::repeated;
use serde::Serialize;

use super::Cluster;
use super::fault::Fault;
use super::run::{Plan, Record};
use super::workload::Shape;
use crate::load::report::{Percentiles, histogram, summary};

/// The figures of one run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// How engines were chosen.
    pub placement: String,
    /// How load changed.
    pub shape: Shape,
    /// Factor on the load.
    pub load: f64,
    /// What went wrong.
    #[serde(rename = "troubles")]
    pub faults: Vec<Fault>,
    /// Seed of the workload.
    pub seed: u64,
    /// Requests by class.
    pub classes: BTreeMap<String, Class>,
    /// What the answers are worth, as a part of what all could be.
    #[serde(rename = "worth")]
    pub value_share: f64,
    /// Tokens of prompts that engines read, by their own counters.
    #[serde(rename = "read_tokens")]
    pub prefill_tokens: u64,
    /// Tokens of prompts that needed no reading.
    pub cached_tokens: u64,
    /// Calls that must run at most once and ran again.
    pub duplicates: u64,
    /// Parts that were used though they were made on other weights, or not whole.
    pub wrong_parts: u64,
    /// Ends other than a whole answer, for a reader.
    pub errors: BTreeMap<String, u64>,
}

/// Requests of one class.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Class {
    /// Asked.
    #[serde(rename = "asked")]
    pub requests: u64,
    /// Answered whole within the aim.
    #[serde(rename = "in_aim")]
    pub in_time: u64,
    /// Answered whole later.
    pub late: u64,
    /// Refused before anything ran.
    pub refused: u64,
    /// Broken off, or without an answer.
    pub broken: u64,
    /// Wrongly answered.
    pub wrong: u64,
    /// Sends by callers.
    pub sends: u64,
    /// Time to the first event, or to the whole plain answer.
    pub first: Percentiles,
}

impl Report {
    /// Sums a run up.
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

    /// The promises that the run broke, in words.
    pub fn violations(&self) -> Vec<String> {
        let wrong = self.classes.values().map(|class| class.wrong).sum();
        [
            (wrong, "requests got an answer that was not theirs"),
            (self.duplicates, "calls that must run at most once ran again"),
            (self.wrong_parts, "cached parts were not whole or made on other weights"),
        ]
        .into_iter()
        .filter(|(count, _)| *count > 0)
        .map(|(count, what)| format!("{}: {count} {what}", self.placement))
        .collect()
    }

    /// Part of the prompts' tokens that engines read.
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
            class.sends += u64::from(answer.sends);
            if let Some(first) = answer.first {
                times.saturating_record(u64::try_from(first.as_micros()).unwrap_or(u64::MAX));
            }
            match &answer.end {
                End::Whole if answer.first.is_some_and(|first| first <= latency_target) => {
                    class.in_time += 1
                }
                End::Whole => class.late += 1,
                End::Refused { not_run: true, .. } => class.refused += 1,
                End::Refused { .. } | End::Broken(_) => class.broken += 1,
                End::Wrong(_) => class.wrong += 1,
            }
        }
        class.first = summary(&times);
        class
    }
}

fn errors(plan: &Plan, records: &[Record]) -> BTreeMap<String, u64> {
    let mut errors = BTreeMap::new();
    for Record { class, answer } in records {
        let text = match &answer.end {
            End::Whole => continue,
            End::Refused { status, not_run } => {
                let verdict = if *not_run { "not run" } else { "may have run" };
                format!("refused with {status} ({verdict})")
            }
            End::Broken(reason) => format!("broken: {reason}"),
            End::Wrong(reason) => format!("wrong: {reason}"),
        };
        let text = format!("{} {text}", plan.profile.classes[*class].name);
        *errors.entry(text).or_default() += 1;
    }
    errors
}
