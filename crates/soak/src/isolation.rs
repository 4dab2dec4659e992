//! Organisations that become isolated, and uses of their cached prompt parts by others.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use acacia_standin::platform::run::Run;
use acacia_standin::platform::server::Execution;
use tokio::time::Instant;

/// Time after which a configuration is in force at all instances, although some were suspended or
/// without the metadata store.
const APPLY_TIME: Duration = Duration::from_secs(7);

/// The organisations that were isolated from a time on, until the next change.
#[derive(Clone, Debug)]
pub struct Change {
    /// When the configuration was published.
    pub at: Instant,
    /// The isolated organisation, if there was one.
    pub isolated: Option<&'static str>,
}

/// The prompts that used a namespace in which another organisation had made parts, while one of the
/// two was isolated.
pub fn foreign_uses<'a>(
    changes: &'a [Change],
    seen: &'a [Execution],
    runs: &'a [Run],
) -> impl Iterator<Item = &'a Execution> {
    let mut began: BTreeMap<&str, Instant> = BTreeMap::new();
    for run in runs {
        let first = began.entry(&run.id).or_insert(run.began);
        *first = run.began.min(*first);
    }
    let prompts = seen.iter().filter(|seen| !seen.salt.is_empty());
    let mut prompts: Vec<(Instant, &Execution)> =
        prompts.filter_map(|seen| Some((*began.get(&*seen.id)?, seen))).collect();
    prompts.sort_by_key(|(began, _)| *began);
    let mut makers: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
    prompts.into_iter().filter_map(move |(began, seen)| {
        let makers = makers.entry(&seen.salt).or_default();
        makers.insert(&seen.organisation);
        let isolated = isolated_at(changes, began)?;
        let is_shared = makers.len() > 1 && makers.contains(isolated);
        is_shared.then_some(seen)
    })
}

/// The organisation that is isolated at a time, by a configuration that is in force everywhere.
fn isolated_at(changes: &[Change], now: Instant) -> Option<&'static str> {
    let last = changes.iter().rfind(|change| change.at <= now)?;
    last.isolated.filter(|_| last.at + APPLY_TIME <= now)
}
