//! Checks of instances that are cut off all servers, and of the weights that requests begin on.

use std::collections::BTreeSet;
use std::time::Duration;

use acacia_standin::platform::caller::Ending;
use acacia_standin::platform::run::Run;
use tokio::time::Instant;

use crate::oracle::{Evidence, Record, Violation};

/// Time after which a cut is judged, and an instance is counted again after a restart or a cut.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Fewest requests served at instances that are cut off, as a share of those served at the others.
const SERVED_SHARE: (usize, usize) = (2, 3);
/// Failures allowed there, and in addition the number of requests per further failure.
const FAILED_SLACK: usize = 10;
const FAILED_SPACING: usize = 50;
/// Time after the announcement of newer weights until no request begins on older ones.
const VERSION_TIME: Duration = Duration::from_secs(8);

/// A time in which something concerns an instance.
#[derive(Clone, Copy, Debug)]
pub struct Span {
    /// Number of the instance.
    pub instance: usize,
    /// Begin.
    pub from: Instant,
    /// End.
    pub until: Instant,
}

/// Which instances a request counts for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Side {
    Cut,
    Other,
}

impl Span {
    /// Whether the instance, if cut off, has to serve a request that is sent at this time.
    fn is_judged(&self, at: Instant) -> bool {
        self.from + SETTLE_TIME <= at && at < self.until
    }

    /// Whether the instance is cut off at this time.
    fn contains(&self, at: Instant) -> bool {
        self.from <= at && at < self.until
    }

    /// Whether the request was sent to the instance and underway in this time or shortly after.
    fn concerns(&self, record: &Record) -> bool {
        self.instance == record.instance
            && self.from <= record.ended
            && record.sent < self.until + SETTLE_TIME
    }
}

/// Overlapping cuts of any instances: instances that are cut off have to serve requests, by way of
/// the others.
pub fn judge_recovery(records: &[Record], evidence: &Evidence) -> Vec<Violation> {
    let episodes = episodes(&evidence.cuts);
    episodes.iter().filter_map(|cuts| judge_episode(records, evidence, cuts)).collect()
}

/// Groups of cuts that overlap.
fn episodes(cuts: &[Span]) -> Vec<Vec<Span>> {
    let mut cuts = cuts.to_vec();
    cuts.sort_by_key(|cut| cut.from);
    let mut episodes: Vec<Vec<Span>> = Vec::new();
    for cut in cuts {
        let last = episodes.last_mut();
        match last.filter(|last| last.iter().any(|earlier| cut.from <= earlier.until)) {
            Some(last) => last.push(cut),
            None => episodes.push(vec![cut]),
        }
    }
    episodes
}

fn judge_episode(records: &[Record], evidence: &Evidence, cuts: &[Span]) -> Option<Violation> {
    let instances: BTreeSet<usize> = records.iter().map(|record| record.instance).collect();
    let count = |wanted: Side| {
        let records = records
            .iter()
            .filter(|record| side(record, evidence, cuts) == Some(wanted))
            .filter(|record| !are_all_cut(record, evidence, &instances));
        let served: Vec<bool> =
            records.map(|record| record.answer.ending == Ending::Complete).collect();
        (served.iter().filter(|is_served| **is_served).count(), served.len())
    };
    let (served, all) = count(Side::Cut);
    let (served_by_others, all_of_others) = count(Side::Other);
    let (share, whole) = SERVED_SHARE;
    let is_less = served * all_of_others * whole < served_by_others * all * share;
    let allowed = FAILED_SLACK + (all + all_of_others) / FAILED_SPACING;
    let is_violated = is_less && all - served > allowed;
    is_violated.then_some(Violation::CutOff { served, all, served_by_others, all_of_others })
}

/// Which instances a request counts for while a cut is judged; none if its instance was cut off or
/// restarted shortly before.
fn side(record: &Record, evidence: &Evidence, cuts: &[Span]) -> Option<Side> {
    let is_judged = cuts.iter().any(|cut| cut.is_judged(record.sent));
    if !is_judged || evidence.restarts.iter().any(|restart| restart.concerns(record)) {
        return None;
    }
    let mut own = evidence.cuts.iter().filter(|cut| cut.instance == record.instance);
    if own.any(|cut| cut.is_judged(record.sent)) {
        return Some(Side::Cut);
    }
    let is_near = evidence.cuts.iter().any(|cut| cut.concerns(record));
    (!is_near).then_some(Side::Other)
}

/// Whether all instances were cut off at some moment of a request, which none could serve then.
fn are_all_cut(record: &Record, evidence: &Evidence, instances: &BTreeSet<usize>) -> bool {
    let cuts = &evidence.cuts;
    let begins = cuts.iter().map(|cut| cut.from).filter(|at| *at > record.sent);
    let mut moments = begins.filter(|at| *at <= record.ended).chain([record.sent]);
    let is_cut = |instance: &usize, at: Instant| {
        cuts.iter().any(|cut| cut.instance == *instance && cut.contains(at))
    };
    moments.any(|at| instances.iter().all(|instance| is_cut(instance, at)))
}

/// No request begins on older weights some time after newer ones were announced.
pub fn judge_weights(run: &Run, announcements: &[(Instant, u64)]) -> Option<Violation> {
    let weights = run.weights?;
    let newer = announcements.iter().filter(|(_, version)| *version > weights);
    let (at, version) = *newer.min_by_key(|(at, _)| *at)?;
    let late = run.began.saturating_duration_since(at);
    (late > VERSION_TIME).then(|| Violation::Outdated {
        id: run.id.clone(),
        weights,
        version,
        ms: late.as_millis(),
    })
}
