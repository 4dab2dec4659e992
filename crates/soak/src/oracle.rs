//! The promises, judged by what callers and servers saw.

use std::collections::{BTreeMap, BTreeSet};

use acacia_standin::platform::caller::{Answer, Ending};
use acacia_standin::platform::server::Execution;
use strum::Display;

/// One request and its end.
#[derive(Clone, Debug)]
pub struct Record {
    /// Its id.
    pub id: String,
    /// The organisation whose key it carried.
    pub organisation: String,
    /// It may run at most once.
    pub is_once: bool,
    /// It was asked in the calm after all faults.
    pub is_calm: bool,
    /// What its caller got.
    pub answer: Answer,
}

/// What servers saw.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    /// Requests that ran, in order, at all servers.
    pub seen: Vec<Execution>,
    /// Parts that were used though they were not whole or made on other weights.
    pub wrong_parts: u64,
}

/// A promise that was broken.
#[derive(Clone, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
pub enum Broken {
    /// A caller got what was not its own.
    #[strum(to_string = "{0} got another answer: {1}")]
    Mixed(String, String),
    /// A request that may run at most once ran more often.
    #[strum(to_string = "{0} ran {1} times")]
    Twice(String, usize),
    /// A request ran though its caller was told that it did not.
    #[strum(to_string = "{0} ran though it was refused as not run")]
    Refused(String),
    /// A request ran for another organisation, or its key was passed on.
    #[strum(to_string = "{0} ran for {1:?} or with its key")]
    Apart(String, String),
    /// A request ran that nobody sent.
    #[strum(to_string = "{0} ran and nobody sent it")]
    Unasked(String),
    /// Cached parts were used that were not whole, or made on other weights.
    #[strum(to_string = "{0} cached parts were not whole or made on other weights")]
    Parts(u64),
    /// A planned change lost a request.
    #[strum(to_string = "{0} was lost by a planned change: {1}")]
    Planned(String, String),
    /// In the calm after all faults a request was not served.
    #[strum(to_string = "{0} was not served in the calm: {1}")]
    Unrecovered(String, String),
    /// Something did not come about in time.
    #[strum(to_string = "never: {0}")]
    Never(String),
}

/// The promises that a run broke.
pub fn judge(is_planned: bool, records: &[Record], evidence: &Evidence) -> BTreeSet<Broken> {
    let mut broken = BTreeSet::new();
    let by_id: BTreeMap<&str, &Record> =
        records.iter().map(|record| (&*record.id, record)).collect();
    let mut runs: BTreeMap<&str, usize> = BTreeMap::new();
    for seen in &evidence.seen {
        *runs.entry(&seen.id).or_default() += 1;
        let Some(record) = by_id.get(&*seen.id) else {
            broken.insert(Broken::Unasked(seen.id.clone()));
            continue;
        };
        if seen.organisation != record.organisation || !seen.key.is_empty() {
            broken.insert(Broken::Apart(seen.id.clone(), seen.organisation.clone()));
        }
    }
    for record in records {
        let runs = runs.get(&*record.id).copied().unwrap_or_default();
        broken.extend(judge_one(is_planned, record, runs));
    }
    if evidence.wrong_parts > 0 {
        broken.insert(Broken::Parts(evidence.wrong_parts));
    }
    broken
}

fn judge_one(is_planned: bool, record: &Record, runs: usize) -> Vec<Broken> {
    let mut broken = Vec::new();
    let id = || record.id.clone();
    if record.is_once && runs > 1 {
        broken.push(Broken::Twice(id(), runs));
    }
    match &record.answer.ending {
        Ending::Complete => {}
        Ending::Wrong(what) => broken.push(Broken::Mixed(id(), what.clone())),
        Ending::Refused { not_run, .. } => {
            if *not_run && runs > 0 {
                broken.push(Broken::Refused(id()));
            }
        }
        Ending::Broken(how) if is_planned => broken.push(Broken::Planned(id(), how.clone())),
        Ending::Broken(_) => {}
    }
    if record.is_calm && record.answer.ending != Ending::Complete {
        broken.push(Broken::Unrecovered(id(), format!("{:?}", record.answer.ending)));
    }
    broken
}
