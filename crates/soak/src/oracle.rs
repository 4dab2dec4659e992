//! The promises, judged by what callers and servers saw.

use std::collections::{BTreeMap, BTreeSet};

use acacia_standin::platform::caller::{Answer, End};
use acacia_standin::platform::server::Seen;
use strum::Display;

/// One request and its end.
#[derive(Clone, Debug)]
pub struct Record {
    /// Its id.
    pub id: String,
    /// The organisation whose key it carried.
    pub organisation: String,
    /// It may run at most once.
    pub is_at_most_once: bool,
    /// It was asked in the calm after all faults.
    pub is_after_faults: bool,
    /// What its caller got.
    pub answer: Answer,
}

/// What servers saw.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    /// Requests that ran, in order, at all servers.
    pub seen: Vec<Seen>,
    /// Parts that were used though they were not whole or made on other weights.
    pub wrong_parts: u64,
}

/// A promise that was broken.
#[derive(Clone, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
pub enum Violation {
    /// A caller got what was not its own.
    #[strum(to_string = "{0} got another answer: {1}")]
    WrongAnswer(String, String),
    /// A request that may run at most once ran more often.
    #[strum(to_string = "{0} ran {1} times")]
    Repeated(String, usize),
    /// A request ran though its caller was told that it did not.
    #[strum(to_string = "{0} ran though it was refused as not run")]
    RefusedButRan(String),
    /// A request ran for another organisation, or its key was passed on.
    #[strum(to_string = "{0} ran for {1:?} or with its key")]
    WrongOrganisation(String, String),
    /// A request ran that nobody sent.
    #[strum(to_string = "{0} ran and nobody sent it")]
    Unsent(String),
    /// Cached parts were used that were not whole, or made on other weights.
    #[strum(to_string = "{0} cached parts were not whole or made on other weights")]
    WrongParts(u64),
    /// A planned change lost a request.
    #[strum(to_string = "{0} was lost by a planned change: {1}")]
    Lost(String, String),
    /// In the calm after all faults a request was not served.
    #[strum(to_string = "{0} was not served in the calm: {1}")]
    Unrecovered(String, String),
    /// Something did not come about in time.
    #[strum(to_string = "never: {0}")]
    TimedOut(String),
}

/// The promises that a run broke.
pub fn judge(is_planned: bool, records: &[Record], evidence: &Evidence) -> BTreeSet<Violation> {
    let mut violations = BTreeSet::new();
    let by_id: BTreeMap<&str, &Record> =
        records.iter().map(|record| (&*record.id, record)).collect();
    let mut runs: BTreeMap<&str, usize> = BTreeMap::new();
    for seen in &evidence.seen {
        *runs.entry(&seen.id).or_default() += 1;
        let Some(record) = by_id.get(&*seen.id) else {
            violations.insert(Violation::Unsent(seen.id.clone()));
            continue;
        };
        if seen.organisation != record.organisation || !seen.key.is_empty() {
            violations
                .insert(Violation::WrongOrganisation(seen.id.clone(), seen.organisation.clone()));
        }
    }
    for record in records {
        let runs = runs.get(&*record.id).copied().unwrap_or_default();
        violations.extend(judge_request(is_planned, record, runs));
    }
    if evidence.wrong_parts > 0 {
        violations.insert(Violation::WrongParts(evidence.wrong_parts));
    }
    violations
}

fn judge_request(is_planned: bool, record: &Record, runs: usize) -> Vec<Violation> {
    let mut violations = Vec::new();
    let id = || record.id.clone();
    if record.is_at_most_once && runs > 1 {
        violations.push(Violation::Repeated(id(), runs));
    }
    match &record.answer.end {
        End::Whole => {}
        End::Wrong(what) => violations.push(Violation::WrongAnswer(id(), what.clone())),
        End::Refused { not_run, .. } => {
            if *not_run && runs > 0 {
                violations.push(Violation::RefusedButRan(id()));
            }
        }
        End::Broken(how) if is_planned => violations.push(Violation::Lost(id(), how.clone())),
        End::Broken(_) => {}
    }
    if record.is_after_faults && record.answer.end != End::Whole {
        violations.push(Violation::Unrecovered(id(), format!("{:?}", record.answer.end)));
    }
    violations
}
