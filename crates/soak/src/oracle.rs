//! Checks the guarantees against the observations of callers and servers.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use acacia_standin::platform::brittle::Period;
use acacia_standin::platform::caller::{Answer, Ending};
use acacia_standin::platform::crash;
use acacia_standin::platform::limit::Limit;
use acacia_standin::platform::run::{End, Run};
use acacia_standin::platform::server::Execution;
use strum::Display;
use tokio::time::Instant;

use crate::brittle::judge_falls;
use crate::culprit::{Culprit, Role, Service};
use crate::cut::{self, Span};
use crate::isolation;

/// Time that a server needs for the rest of an answer after a silence.
const REST_TIME: Duration = Duration::from_secs(1);
/// Time before its deadline from which a request may end unanswered.
const DEADLINE_SLACK: Duration = Duration::from_millis(250);
/// The same for the end of a connection: callers state their budgets in whole milliseconds.
const DEADLINE_ROUNDING: Duration = Duration::from_millis(2);
/// Time after its route's timeout within which a request has its answer.
const TIMEOUT_SLACK: Duration = Duration::from_millis(500);

/// Time after the last crash that a culprit may cause until it is held.
const HOLD_TIME: Duration = Duration::from_secs(3);
/// Requests with a culprit that may reach servers later.
const LATER_ARRIVALS: usize = 3;
/// Time from the first statement of a rate limit until all instances keep to it.
const LIMIT_SETTLE_TIME: Duration = Duration::from_secs(3);
/// Window in which requests to a limited server are counted.
const LIMIT_SPAN: Duration = Duration::from_secs(4);
/// Requests allowed in a window, as a factor on the limit, and in addition.
const LIMIT_FACTOR: f64 = 1.5;
const LIMIT_SLACK: f64 = 5.0;
/// Fewest sound requests of which a share is taken.
const SHARE_REQUESTS: usize = 20;

/// One request and its result.
#[derive(Clone, Debug)]
pub struct Record {
    /// Request id.
    pub id: String,
    /// The organisation whose key it was sent with.
    pub organisation: String,
    /// Whether it must run at most once.
    pub is_at_most_once: bool,
    /// Whether it was sent after all faults and the recovery time.
    pub is_after_faults: bool,
    /// The service that it was sent to.
    pub service: Service,
    /// What it has to do with culprits.
    pub role: Role,
    /// The number of the instance that it was sent to.
    pub instance: usize,
    /// When it was sent.
    pub sent: Instant,
    /// Until when its caller waits.
    pub leaving: Instant,
    /// The earliest moment at which its time may have been over: `leaving` or its route's timeout.
    pub deadline: Instant,
    /// The latest moment at which its route's timeout was reached.
    pub latest_timeout: Instant,
    /// When its answer ended.
    pub ended: Instant,
    /// The answer that its caller received.
    pub answer: Answer,
}

/// Observations of the servers.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    /// Requests that ran, server by server, in order.
    pub seen: Vec<Execution>,
    /// Times and ends of these runs, server by server, in order.
    pub runs: Vec<Run>,
    /// What each culprit caused.
    pub crashes: Vec<Crashes>,
    /// Rate limits that servers stated, and the requests that arrived meanwhile.
    pub limits: Vec<Limit>,
    /// Periods of a service's servers, for each time in which they were brittle.
    pub brittle: Vec<Vec<Period>>,
    /// When instances were cut off all servers.
    pub cuts: Vec<Span>,
    /// When instances were stopped or killed, until they were ready again.
    pub restarts: Vec<Span>,
    /// When versions of the weights were announced, where requests must keep up with them.
    pub announcements: Vec<(Instant, u64)>,
    /// When organisations became isolated or were shared again.
    pub isolations: Vec<isolation::Change>,
    /// Cached prompt parts that were used although incomplete or computed with other weights.
    pub wrong_parts: u64,
    /// Whether no instance was stopped, killed or suspended.
    pub has_steady_instances: bool,
    /// Whether the servers were silent at most, and did not fail otherwise.
    pub has_sound_servers: bool,
}

/// What a culprit caused.
#[derive(Clone, Debug)]
pub struct Crashes {
    /// The culprit.
    pub culprit: Culprit,
    /// Its arrivals at servers and their crashes.
    pub record: crash::Record,
    /// Until when it was sent.
    pub until: Instant,
}

/// A violated guarantee.
#[derive(Clone, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
pub enum Violation {
    /// A caller received an answer that is not its own, or a cut one that is framed as complete.
    #[strum(to_string = "{0} got a wrong answer: {1}")]
    WrongAnswer(String, String),
    /// A request that must run at most once ran more often.
    #[strum(to_string = "{0} ran {1} times")]
    Repeated(String, usize),
    /// A request ran although it was refused as not run.
    #[strum(to_string = "{0} ran although it was refused as not run")]
    RefusedButRan(String),
    /// A request ran for another organisation, or its key was forwarded to a server.
    #[strum(to_string = "{0} ran for organisation {1:?}, or its key was forwarded")]
    WrongOrganisation(String, String),
    /// A request ran that no caller sent.
    #[strum(to_string = "{0} ran but no caller sent it")]
    Unsent(String),
    /// Cached prompt parts were used although incomplete or computed with other weights.
    #[strum(to_string = "{0} cached prompt parts were incomplete or computed with other weights")]
    WrongParts(u64),
    /// A prompt used the namespace of another organisation, and one of the two was isolated.
    #[strum(to_string = "{0} used parts in namespace {1:?}, which an isolated organisation shares")]
    Foreign(String, String),
    /// A request was lost during planned changes.
    #[strum(to_string = "{0} was lost during planned changes: {1}")]
    Lost(String, String),
    /// A request got neither a whole answer nor a refusal, with time left.
    #[strum(to_string = "{0} got neither a whole answer nor a refusal, {1} ms before its caller \
                         would have left: {2}")]
    Cut(String, u128, String),
    /// A request had no answer after its route's timeout.
    #[strum(to_string = "{0} had no answer {1} ms after its route's timeout")]
    Held(String, u128),
    /// A request failed early although its server was only silent.
    #[strum(to_string = "{0} failed, its run was cancelled while the server was silent: {1}")]
    Abandoned(String, String),
    /// No server crashed, so nothing was checked.
    #[strum(to_string = "no server crashed under the culprit {0}")]
    NotCrashed(Culprit),
    /// A culprit was still sent to servers.
    #[strum(to_string = "culprit {culprit} reached servers {later} times later than 3 s after \
                         crash {last}, {crashes} crashes in all")]
    CrashesOn {
        /// The culprit.
        culprit: Culprit,
        /// Arrivals that were too late.
        later: usize,
        /// Number of the crash after which it was to be held.
        last: usize,
        /// Crashes in all.
        crashes: usize,
    },
    /// Sound requests were served less than half as often as before the crashes.
    #[strum(
        to_string = "{group}: {after} of {all_after} sound requests were served from 6 s after \
                         the crashes, {before} of {all_before} before them"
    )]
    Starved {
        /// What the requests have in common.
        group: Group,
        /// Requests served after the crashes.
        after: usize,
        /// Requests sent after the crashes.
        all_after: usize,
        /// Requests served before the crashes.
        before: usize,
        /// Requests sent before the crashes.
        all_before: usize,
    },
    /// A server with a rate limit got too many requests.
    #[strum(to_string = "a server with a limit of {rate} requests per second got {peak} in 4 s")]
    Exceeded {
        /// The limit, in requests per second.
        rate: String,
        /// The requests.
        peak: usize,
    },
    /// The servers of a service fell over too often while they were brittle.
    #[strum(to_string = "{falls} falls of {servers} servers while they were brittle")]
    FellOver {
        /// Falls that count.
        falls: usize,
        /// Servers of the service.
        servers: usize,
    },
    /// Requests at instances that were cut off all servers were served less than at the others.
    #[strum(
        to_string = "instances that were cut off all servers served {served} of {all} requests, \
                     the others {served_by_others} of {all_of_others}"
    )]
    CutOff {
        /// Requests served at instances that were cut off.
        served: usize,
        /// Requests sent there.
        all: usize,
        /// Requests served at the others meanwhile.
        served_by_others: usize,
        /// Requests sent there.
        all_of_others: usize,
    },
    /// A request began on older weights.
    #[strum(to_string = "{id} began on weights {weights}, {ms} ms after {version} was announced")]
    Outdated {
        /// Id of the request.
        id: String,
        /// The weights that it began on.
        weights: u64,
        /// The first newer version.
        version: u64,
        /// Time since that was announced.
        ms: u128,
    },
    /// A request was not served after all faults and the recovery time.
    #[strum(to_string = "{0} was not served after all faults ended: {1}")]
    Unrecovered(String, String),
    /// A condition was not met in time, or an injected change failed.
    #[strum(to_string = "failed or timed out: {0}")]
    TimedOut(String),
}

/// Sound requests of which a share is to be served.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
pub enum Group {
    /// All at a service.
    #[strum(to_string = "service {0}")]
    Service(Service),
    /// Those that resemble a culprit.
    #[strum(to_string = "resembling culprit {0}")]
    Resembling(Culprit),
}

impl Group {
    fn contains(self, record: &Record) -> bool {
        match self {
            Self::Service(service) => {
                record.service == service && !matches!(record.role, Role::Culprit(_))
            }
            Self::Resembling(culprit) => record.role == Role::Resembling(culprit),
        }
    }
}

/// Returns the guarantees that a run violated.
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
    violations.extend(records.iter().filter_map(|record| judge_silence(record, &evidence.runs)));
    if evidence.has_steady_instances {
        violations.extend(records.iter().filter_map(|record| judge_cut(record, evidence)));
    }
    violations.extend(evidence.crashes.iter().filter_map(judge_crashes));
    for service in [Service::Plain, Service::Engine] {
        violations.extend(judge_service(records, &evidence.crashes, service));
    }
    violations.extend(evidence.limits.iter().filter_map(judge_limit));
    let brittle = evidence.brittle.iter();
    violations.extend(brittle.filter_map(|time| judge_falls(time, &by_id, &evidence.restarts)));
    violations.extend(cut::judge_recovery(records, evidence));
    let runs = evidence.runs.iter();
    violations.extend(runs.filter_map(|run| cut::judge_weights(run, &evidence.announcements)));
    let foreign = isolation::foreign_uses(&evidence.isolations, &evidence.seen, &evidence.runs);
    violations.extend(foreign.map(|seen| Violation::Foreign(seen.id.clone(), seen.salt.clone())));
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
    match &record.answer.ending {
        Ending::Complete => {}
        Ending::Wrong(what) => violations.push(Violation::WrongAnswer(id(), what.clone())),
        Ending::Refused { not_run, .. } => {
            if *not_run && runs > 0 {
                violations.push(Violation::RefusedButRan(id()));
            }
        }
        Ending::Broken(how) if is_planned => violations.push(Violation::Lost(id(), how.clone())),
        Ending::Broken(_) => {}
    }
    if record.is_after_faults && record.answer.ending != Ending::Complete {
        violations.push(Violation::Unrecovered(id(), format!("{:?}", record.answer.ending)));
    }
    violations
}

/// A request may not end without an answer, with time left, because a server was silent: its run
/// is kept until another one has taken its place. A run that has taken it may break off.
fn judge_silence(record: &Record, runs: &[Run]) -> Option<Violation> {
    let how = match &record.answer.ending {
        Ending::Complete | Ending::Wrong(_) | Ending::Refused { not_run: true, .. } => return None,
        Ending::Refused { status, .. } => format!("status {status}"),
        Ending::Broken(how) => how.clone(),
    };
    if record.ended + DEADLINE_SLACK > record.deadline {
        return None;
    }
    let runs: Vec<&Run> = runs.iter().filter(|run| run.id == record.id).collect();
    let is_abandoned = |run: &&Run| {
        let (Some((at, End::Cancelled)), Some(until)) = (run.end, run.silent_until) else {
            return false;
        };
        until + REST_TIME < record.deadline && !is_replaced(run, at, &runs)
    };
    runs.iter().any(is_abandoned).then(|| Violation::Abandoned(record.id.clone(), how))
}

/// A request that an instance has read ends with a whole answer, refusal or failure. Excused are:
///
/// - a request whose caller's budget is over, unless its route's timeout was reached long before;
/// - an answer that has begun when its route's timeout is reached: it can only be cut, while any
///   other request gets a failure then;
/// - an answer that has begun and was broken off by a server. Every other run of its request must
///   have ended by itself or have been replaced: one that is cancelled while it works could have
///   gone on.
fn judge_cut(record: &Record, evidence: &Evidence) -> Option<Violation> {
    let Ending::Broken(how) = &record.answer.ending else { return None };
    if record.ended + DEADLINE_ROUNDING >= record.leaving {
        let held = record.leaving.saturating_duration_since(record.latest_timeout);
        return (held > TIMEOUT_SLACK)
            .then(|| Violation::Held(record.id.clone(), held.as_millis()));
    }
    let has_begun = record.answer.first_event.is_some();
    if has_begun && record.ended + DEADLINE_ROUNDING >= record.deadline {
        return None;
    }
    let runs: Vec<&Run> = evidence.runs.iter().filter(|run| run.id == record.id).collect();
    let is_broken_off = runs.iter().any(|run| matches!(run.end, Some((_, End::BrokenOff))));
    let could_go_on = runs.iter().any(|run| match run.end {
        Some((at, End::Cancelled)) => !is_replaced(run, at, &runs),
        None => true,
        Some(_) => false,
    });
    let is_excused = has_begun && !evidence.has_sound_servers && is_broken_off && !could_go_on;
    let left = record.leaving - record.ended;
    (!is_excused).then(|| Violation::Cut(record.id.clone(), left.as_millis(), how.clone()))
}

/// Whether another run has sent an event since the last one of a run that was cancelled at `at`.
fn is_replaced(run: &Run, at: Instant, runs: &[&Run]) -> bool {
    let since = run.sent.last().copied().unwrap_or(run.began);
    runs.iter().flat_map(|other| &other.sent).any(|sent| since < *sent && *sent <= at)
}

impl Crashes {
    /// The crash after which the culprit is to be held; the last one if there are fewer.
    fn last(&self) -> Option<Instant> {
        let crashes = &self.record.crashes;
        crashes.get(self.culprit.max_crashes() - 1).or(crashes.last()).copied()
    }
}

/// A culprit that has crashed servers is held.
fn judge_crashes(crashes: &Crashes) -> Option<Violation> {
    let culprit = crashes.culprit;
    let (count, last) = (crashes.record.crashes.len(), culprit.max_crashes());
    let Some(held) = crashes.last() else { return Some(Violation::NotCrashed(culprit)) };
    let later = crashes.record.arrivals.iter().filter(|at| **at > held + HOLD_TIME).count();
    let is_violated = count >= last && later > LATER_ARRIVALS;
    is_violated.then_some(Violation::CrashesOn { culprit, later, last, crashes: count })
}

/// From some time after a server first stated a limit, it gets at most one and a half times as many
/// requests, and a few more, from all instances together.
fn judge_limit(limit: &Limit) -> Option<Violation> {
    let peak = limit.peak(LIMIT_SETTLE_TIME, LIMIT_SPAN);
    let allowed = limit.rate * LIMIT_SPAN.as_secs_f64() * LIMIT_FACTOR + LIMIT_SLACK;
    (peak as f64 > allowed).then(|| Violation::Exceeded { rate: limit.rate.to_string(), peak })
}

/// Only culprits are held: sound requests at their service are served again, also those that
/// resemble one.
fn judge_service(records: &[Record], crashes: &[Crashes], service: Service) -> Vec<Violation> {
    let crashes = crashes.iter().filter(|crashes| crashes.culprit.service() == service);
    let first = crashes.clone().filter_map(|crashes| crashes.record.crashes.first()).min();
    let last = crashes.clone().filter_map(Crashes::last).max();
    let until = crashes.clone().map(|crashes| crashes.until).min();
    let (Some(first), Some(last), Some(until)) = (first, last, until) else { return Vec::new() };
    let share = |group: Group, is_in: &dyn Fn(&Record) -> bool| {
        let sound = records.iter().filter(|record| group.contains(record) && is_in(record));
        let served: Vec<bool> =
            sound.map(|record| record.answer.ending == Ending::Complete).collect();
        (served.iter().filter(|is_served| **is_served).count(), served.len())
    };
    let (before, all_before) = share(Group::Service(service), &|record| record.ended < *first);
    let resembling = crashes.map(|crashes| Group::Resembling(crashes.culprit));
    let groups = [Group::Service(service)].into_iter().chain(resembling);
    let starved = groups.filter_map(|group| {
        let is_after = |record: &Record| last + 2 * HOLD_TIME < record.sent && record.sent < until;
        let (after, all_after) = share(group, &is_after);
        let is_judged = all_before >= SHARE_REQUESTS && all_after >= SHARE_REQUESTS;
        let is_violated = is_judged && 2 * after * all_before < before * all_after;
        is_violated.then_some(Violation::Starved { group, after, all_after, before, all_before })
    });
    starved.collect()
}
