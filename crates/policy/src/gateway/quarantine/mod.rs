//! Parts of prompts, and whole requests, that crash the upstreams which begin to run them.
//!
//! When an exchange breaks before its answer began, the request as a whole and each shared part of
//! its prompt become suspects of that crash, unless an upstream has just answered on them. Instances
//! tell each other the crashes of each suspect, so all count the same ones. An incarnation of an
//! upstream counts once for a suspect, and one that answers a later request has not crashed. Crashes
//! at the same moment count as one, as they have a common cause, unless they are under one request
//! that was sent again in between. An instance that knows an answer contradicts a report of crashes;
//! a report of one crash is contradicted by a share of them only.
//!
//! An exchange may also break because this instance loses the path to all upstreams. While that is
//! in doubt, a crash counts for this instance only. The others are told once the path turns out to be
//! there, or the upstream is listed no more, or as another incarnation.
//!
//! One crash restricts nothing. From [`TRIAL_COUNT`] crashes on, requests with the suspect are tried
//! one at a time by all instances together: an instance announces its claim to the next trial and
//! sends the request once no other has claimed it first. From [`HOLD_COUNT`] on, requests with the
//! suspect are refused for a while, longer after each failed trial, and then tried in the same way;
//! crashes during a hold change nothing, so the number of trials in a day is bounded. An answer
//! clears the suspect: the first event of an engine, or a plain upstream's whole answer.
//!
//! A sound suspect that came along with the cause shares its crashes. If another suspect accounts
//! for all of them, or several that are held do, requests without these are not refused but tried, so
//! that an answer clears the sound one.

mod gate;
mod report;
mod subject;
mod suspect;

use std::time::Duration;

use rustc_hash::{FxHashMap, FxHashSet};

pub use self::gate::Gate;
pub use self::report::{Clearance, Finding, Sighting, State, Suspicion};
pub use self::subject::{Cause, Kind, Subjects};

use self::gate::{Restriction, TRIAL_SPAN};
use self::suspect::{CRASH_LIMIT, Crash, HOLD_COUNT, Stage, Suspect, TRIAL_COUNT, Trial, millis};
use super::configuration::ServiceName;
use super::gossip::{Note, ServerKey, server_key};
use super::view::{Server, ServerId};
use crate::Time;

/// Time after an answer within which a crash is no evidence against what was answered.
const ANSWER_VALIDITY: Duration = Duration::from_millis(500);
/// Maximum number of suspects.
const SUSPECT_LIMIT: usize = 512;
/// Maximum number of parts and requests, and of upstreams, of which the last answer is known: those
/// of several seconds, by which later reports are contradicted.
const ANSWER_LIMIT: usize = 8_192;
/// Maximum number of notes and findings that wait to be taken.
const PENDING_LIMIT: usize = 512;
/// Maximum number of requests in one digest under which one server crashed: more than a culprit
/// takes along at one instance.
const SINGLE_REPORT_LIMIT: usize = 32;
/// Maximum number of suspects that a full digest repeats.
const REPEATED_SUSPECTS: usize = 64;

/// Hash of a model and a part's name, or of a request, equal on all instances.
pub type SuspectKey = u64;

/// A crash of which the other instances aren't told yet.
#[derive(Clone, Copy, Debug)]
pub struct Withheld<'a> {
    /// The service of the upstream.
    pub service: &'a ServiceName,
    /// The upstream.
    pub server: ServerKey,
    /// Start of its incarnation.
    pub born: Option<u64>,
    /// When the exchange broke.
    pub at: Time,
}

/// What becomes of a crash that a lost path may explain.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Settlement {
    /// It isn't known yet whether it was one.
    Open,
    /// It was a crash.
    Crashed,
    /// The upstream goes on running.
    Alive,
}

/// Restrictions on parts of prompts and on requests.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspects: FxHashMap<SuspectKey, Suspect>,
    /// Upstreams that some suspect's crashes name, and possibly others.
    crashed: FxHashSet<ServerKey>,
    /// When an answer last began on a part or a request, as known here.
    answered: FxHashMap<SuspectKey, Time>,
    /// When the last request was sent that an incarnation of an upstream answered.
    alive: FxHashMap<(ServerKey, u64), Time>,
    notes: Vec<Note>,
    findings: Vec<Finding>,
    /// Whether some crashes may be withheld.
    withholds: bool,
}

impl Quarantine {
    /// Decides on a request, and claims the next trial if it needs one.
    pub fn gate(&mut self, now: Time, subjects: &Subjects) -> Gate {
        if self.suspects.is_empty() {
            return Gate::Open;
        }
        for subject in subjects.iter() {
            if let (Some(suspect), Some(id)) = (self.suspects.get_mut(&subject.key), subject.part) {
                suspect.id.get_or_insert_with(|| id.clone());
            }
        }
        let restricted: Vec<(Cause, SuspectKey, Restriction)> = subjects
            .iter()
            .map(|subject| {
                (subject.cause, subject.key, self.restriction(now, subject.key, subjects))
            })
            .filter(|(.., restriction)| *restriction != Restriction::None)
            .collect();
        let gates = restricted.iter().map(|(cause, key, restriction)| {
            let trial = self.suspects.get(key).and_then(|suspect| suspect.trial);
            restriction.gate(now, *cause, trial)
        });
        let gate = gates.max_by_key(Gate::severity).unwrap_or(Gate::Open);
        if matches!(gate, Gate::Claimed(_)) {
            for (_, key, restriction) in &restricted {
                self.claim(now, *key, *restriction);
            }
        }
        gate
    }

    /// Whether upstreams crashed so often under one of a request's suspects that it is not sent to
    /// several.
    pub fn is_restricted(&self, subjects: &Subjects) -> bool {
        let is_restricted = |key: SuspectKey| {
            self.suspects.get(&key).is_some_and(|suspect| suspect.count() >= TRIAL_COUNT)
        };
        !self.suspects.is_empty() && subjects.keys().any(is_restricted)
    }

    /// The same by the crashes that the other instances were told.
    pub fn is_restricted_for_all(&self, subjects: &Subjects) -> bool {
        let is_restricted = |key: SuspectKey| {
            self.suspects.get(&key).is_some_and(|suspect| suspect.told().count() >= TRIAL_COUNT)
        };
        subjects.keys().any(is_restricted)
    }

    /// Records that a trial is sent.
    pub fn sent(&mut self, now: Time, subjects: &Subjects) {
        if self.suspects.is_empty() {
            return;
        }
        for key in subjects.keys() {
            let Some(suspect) = self.suspects.get_mut(&key) else { continue };
            if suspect.trial.is_some_and(|trial| trial.stage == Stage::Claimed) {
                suspect.trial = Some(Trial { since: now, stage: Stage::Sent });
                self.note(Note::Tried(key));
            }
        }
    }

    /// Records that an attempt sent at `sent` ended before its answer began.
    pub fn given_up(&mut self, sent: Time, subjects: &Subjects) {
        for key in subjects.keys() {
            if let Some(suspect) = self.suspects.get_mut(&key) {
                let own = |trial: &mut Trial| trial.stage == Stage::Sent && trial.since == sent;
                suspect.trial.take_if(own);
            }
        }
    }

    /// Records that an upstream crashed before it began to answer a request sent at `sent`.
    pub fn crashed(&mut self, now: Time, subjects: &Subjects, server: &Server, sent: Time) {
        self.record_crash(now, subjects, server, sent, false);
    }

    /// The same while the path to the upstream may be lost; [`Self::settle`] decides.
    pub fn maybe_crashed(&mut self, now: Time, subjects: &Subjects, server: &Server, sent: Time) {
        self.withholds = true;
        self.record_crash(now, subjects, server, sent, true);
    }

    fn record_crash(
        &mut self,
        now: Time,
        subjects: &Subjects,
        server: &Server,
        sent: Time,
        is_withheld: bool,
    ) {
        let (key, born) = (server_key(&server.id), server.born);
        for subject in subjects.iter() {
            let (id, ran) = (Some(server.id.clone()), Some(now.saturating_sub(sent)));
            let withheld = is_withheld.then(|| server.service.clone());
            let crash = Crash { server: key, born, at: now, ran, id, withheld };
            let kind = subject.cause.kind();
            if self.is_refuted(subject.key, now)
                || self.is_alive(&crash)
                || !self.add(now, kind, subject.key, crash)
            {
                continue;
            }
            if let Some(suspect) = self.suspects.get_mut(&subject.key) {
                if let Some(id) = subject.part {
                    suspect.id.get_or_insert_with(|| id.clone());
                }
                let suspicion = suspicion(subject.key, suspect, now);
                if !is_withheld {
                    self.note(Note::Suspected(suspicion));
                }
            }
            self.report(now, subject.key);
        }
    }

    /// Decides on the withheld crashes. The other instances are told those that were some.
    pub fn settle(&mut self, now: Time, decide: impl Fn(Withheld<'_>) -> Settlement) {
        if !std::mem::take(&mut self.withholds) {
            return;
        }
        let (mut suspicions, mut refuted) = (Vec::new(), Vec::new());
        for (key, suspect) in &mut self.suspects {
            let mut is_news = false;
            for crash in &mut suspect.crashes {
                let Some(service) = &crash.withheld else { continue };
                let &mut Crash { server, born, at, .. } = crash;
                match decide(Withheld { service, server, born, at }) {
                    Settlement::Open => self.withholds = true,
                    Settlement::Alive => refuted.push((*key, crash.clone())),
                    Settlement::Crashed => {
                        crash.withheld = None;
                        is_news = true;
                    }
                }
            }
            if is_news {
                suspicions.push(suspicion(*key, suspect, now));
            }
        }
        suspicions.into_iter().for_each(|suspicion| self.note(Note::Suspected(suspicion)));
        for (key, crash) in refuted {
            self.retract(now, key, |known| known.is_same(&crash));
        }
    }

    /// Records that an upstream answered a request that was sent at `sent`, or that an engine began
    /// to.
    pub fn answered(&mut self, now: Time, subjects: &Subjects, server: &Server, sent: Time) {
        self.survived(now, server, sent);
        for key in subjects.keys() {
            if self.clear(now, now, key) {
                self.note_clearance(now, key);
            }
        }
    }

    /// Records what another instance tells of a suspect's crashes; `responds` tells whether this
    /// instance is one of those that answer a report of a single crash.
    pub fn receive(
        &mut self,
        now: Time,
        suspicion: &Suspicion,
        responds: bool,
        id: impl Fn(ServerKey) -> Option<ServerId>,
    ) {
        let key = suspicion.key;
        let kind = if suspicion.is_request { Kind::Request } else { Kind::Part };
        for sighting in suspicion.crashes.iter().take(CRASH_LIMIT) {
            let Sighting { server, born, age_ms, ran_ms } = *sighting;
            let at = now.saturating_sub(Duration::from_millis(age_ms.into()));
            let ran = ran_ms.map(|ran| Duration::from_millis(ran.into()));
            let crash = Crash { server, born, at, ran, id: id(server), withheld: None };
            if self.is_refuted(key, at) {
                // Many instances know an answer on a frequent suspect, and one crash restricts nothing.
                if responds || suspicion.crashes.len() >= TRIAL_COUNT as usize {
                    self.note_clearance(now, key);
                }
            } else if !self.is_alive(&crash) {
                self.add(now, kind, key, crash);
            }
        }
        if self.suspects.get(&key).is_some_and(|suspect| now >= suspect.expires()) {
            self.suspects.remove(&key);
        }
        self.report(now, key);
    }

    /// Records another instance's claim to a trial, or its start. `is_first` tells whether an own
    /// claim at the same time precedes it.
    pub fn receive_trial(&mut self, now: Time, key: SuspectKey, is_first: bool) {
        let Some(suspect) = self.suspects.get_mut(&key) else { return };
        let keeps = suspect.trial.is_some_and(|trial| match trial.stage {
            Stage::Claimed => is_first && now < trial.since + TRIAL_SPAN,
            Stage::Sent => true,
            Stage::Elsewhere => false,
        });
        if !keeps {
            suspect.trial = Some(Trial { since: now, stage: Stage::Elsewhere });
        }
    }

    /// Records another instance's answer.
    pub fn receive_clearance(&mut self, now: Time, clearance: Clearance) {
        let at = now.saturating_sub(Duration::from_millis(clearance.age_ms.into()));
        self.clear(now, at, clearance.key);
    }

    /// What the other instances have to learn since the last call.
    pub fn take_notes(&mut self) -> Vec<Note> {
        std::mem::take(&mut self.notes)
    }

    /// The suspects that restrict requests, the worst ones first, which make up for lost notes.
    pub fn suspicions(&mut self, now: Time) -> Vec<Note> {
        self.expire(now);
        let is_restricted = |(_, suspect): &(_, &Suspect)| {
            suspect.count() >= TRIAL_COUNT && suspect.told().count() >= TRIAL_COUNT
        };
        let mut suspects: Vec<_> = self.suspects.iter().filter(is_restricted).collect();
        suspects.sort_by_key(|(key, suspect)| (std::cmp::Reverse(suspect.rank()), **key));
        let notes = suspects
            .into_iter()
            .take(REPEATED_SUSPECTS)
            .map(|(key, suspect)| Note::Suspected(suspicion(*key, suspect, now)));
        notes.collect()
    }

    /// The changes since the last call.
    pub fn take_findings(&mut self) -> Vec<Finding> {
        std::mem::take(&mut self.findings)
    }

    /// Number of suspects.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Whether there are no suspects.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    fn restriction(&self, now: Time, key: SuspectKey, present: &Subjects) -> Restriction {
        let Some(suspect) = self.suspects.get(&key) else { return Restriction::None };
        if suspect.count() < TRIAL_COUNT {
            return Restriction::None;
        }
        match suspect.held_until() {
            Some(_) if self.is_explained(suspect, present) => Restriction::Trial,
            Some(until) if now < until => Restriction::Hold(until),
            Some(_) => Restriction::HeldTrial,
            None => Restriction::Trial,
        }
    }

    /// Whether suspects that the request does not have account for all crashes of one: one of them
    /// for all, or several that are held.
    fn is_explained(&self, suspect: &Suspect, present: &Subjects) -> bool {
        let explains =
            |other: &Suspect, crash: &Crash| other.crashes.iter().any(|known| known.is_same(crash));
        let absent = self.suspects.iter().filter(|(key, _)| !present.contains(**key));
        let others: Vec<&Suspect> = absent.map(|(_, other)| other).collect();
        let by_one = |other: &&Suspect| suspect.crashes.iter().all(|crash| explains(other, crash));
        let by_held = |crash: &Crash| {
            others.iter().any(|other| other.count() >= HOLD_COUNT && explains(other, crash))
        };
        others.iter().any(by_one) || suspect.crashes.iter().all(by_held)
    }

    fn claim(&mut self, now: Time, key: SuspectKey, restriction: Restriction) {
        let Some(suspect) = self.suspects.get_mut(&key) else { return };
        if suspect.trial.is_none_or(|trial| now >= trial.since + restriction.span()) {
            suspect.trial = Some(Trial { since: now, stage: Stage::Claimed });
            self.note(Note::Tried(key));
        }
    }

    /// Whether an answer shows that a suspect did not cause a crash.
    fn is_refuted(&self, key: SuspectKey, crashed: Time) -> bool {
        self.answered.get(&key).is_some_and(|answered| crashed < *answered + ANSWER_VALIDITY)
    }

    /// Whether an incarnation has answered a request that was sent after it seemed to crash.
    fn is_alive(&self, crash: &Crash) -> bool {
        let answered = crash.born.and_then(|born| self.alive.get(&(crash.server, born)));
        answered.is_some_and(|sent| *sent > crash.at)
    }

    /// Records that an incarnation answers a request sent at `sent`, so has not crashed before.
    pub fn survived(&mut self, now: Time, server: &Server, sent: Time) {
        let Some(born) = server.born else { return };
        let key = (server_key(&server.id), born);
        limit(&mut self.alive);
        let known = self.alive.entry(key).or_insert(sent);
        *known = sent.max(*known);
        if !self.crashed.contains(&key.0) {
            return;
        }
        let is_refuted =
            |crash: &Crash| (crash.server, crash.born) == (key.0, Some(key.1)) && crash.at < sent;
        let affected: Vec<SuspectKey> = self
            .suspects
            .iter()
            .filter(|(_, suspect)| suspect.crashes.iter().any(is_refuted))
            .map(|(key, _)| *key)
            .collect();
        for key in affected {
            self.retract(now, key, is_refuted);
        }
    }

    /// Removes crashes from a suspect.
    fn retract(&mut self, now: Time, key: SuspectKey, is_refuted: impl Fn(&Crash) -> bool) {
        let Some(mut suspect) = self.suspects.remove(&key) else { return };
        let before = suspect.clone();
        suspect.crashes.retain(|crash| !is_refuted(crash));
        if suspect.count() < TRIAL_COUNT {
            self.find(now, State::Cleared, key, &before);
            suspect.trial = None;
        }
        suspect.reported = suspect.reported.min(suspect.standing());
        if !suspect.crashes.is_empty() {
            self.suspects.insert(key, suspect);
        }
    }

    /// Adds a crash to a suspect; true if it is news.
    fn add(&mut self, now: Time, kind: Kind, key: SuspectKey, crash: Crash) -> bool {
        if !self.suspects.contains_key(&key) && self.suspects.len() >= SUSPECT_LIMIT {
            self.expire(now);
        }
        if !self.suspects.contains_key(&key) && self.suspects.len() >= SUSPECT_LIMIT {
            let weakest = self.suspects.iter().min_by_key(|(key, suspect)| (suspect.rank(), **key));
            if let Some(key) = weakest.map(|(key, _)| *key) {
                self.suspects.remove(&key);
            }
        }
        self.crashed.insert(crash.server);
        if self.crashed.len() > SUSPECT_LIMIT * CRASH_LIMIT {
            let crashes = self.suspects.values().flat_map(|suspect| &suspect.crashes);
            self.crashed = crashes.map(|crash| crash.server).chain([crash.server]).collect();
        }
        self.suspects.entry(key).or_insert_with(|| Suspect::new(kind)).add(crash)
    }

    /// Records an answer at `at`; true if it refutes known crashes.
    fn clear(&mut self, now: Time, at: Time, key: SuspectKey) -> bool {
        limit(&mut self.answered);
        let answered = self.answered.entry(key).or_insert(at);
        *answered = at.max(*answered);
        let refuted = *answered + ANSWER_VALIDITY;
        let is_refuted = |crash: &Crash| crash.at < refuted;
        let suspect = self.suspects.get(&key);
        let is_news = suspect.is_some_and(|suspect| suspect.crashes.iter().any(is_refuted));
        if is_news {
            self.retract(now, key, is_refuted);
        }
        is_news
    }

    /// Tells the other instances the last answer on a suspect.
    fn note_clearance(&mut self, now: Time, key: SuspectKey) {
        let is_pending = |note: &Note| matches!(note, Note::Cleared(known) if known.key == key);
        if let Some(at) = self.answered.get(&key)
            && !self.notes.iter().any(is_pending)
        {
            let age_ms = millis(now.saturating_sub(*at));
            self.note(Note::Cleared(Clearance { key, age_ms }));
        }
    }

    fn expire(&mut self, now: Time) {
        let old = self.suspects.extract_if(|_, suspect| now >= suspect.expires());
        for (key, suspect) in old.collect::<Vec<_>>() {
            self.find(now, State::Expired, key, &suspect);
        }
    }

    fn note(&mut self, note: Note) {
        let is_full = self.notes.len() >= PENDING_LIMIT
            || (is_single_report(&note)
                && self.notes.iter().filter(|note| is_single_report(note)).count()
                    >= SINGLE_REPORT_LIMIT);
        if !is_full {
            self.notes.push(note);
        }
    }

    /// Reports a suspect if it is more restricted than in its last finding.
    fn report(&mut self, now: Time, key: SuspectKey) {
        let Some(mut suspect) = self.suspects.remove(&key) else { return };
        let standing = suspect.standing();
        if standing.is_restricted() && standing > suspect.reported {
            let state = if standing.holds > 0 { State::Held } else { State::Suspected };
            self.find(now, state, key, &suspect);
            suspect.reported = standing;
        }
        self.suspects.insert(key, suspect);
    }

    fn find(&mut self, now: Time, state: State, key: SuspectKey, suspect: &Suspect) {
        let is_end = matches!(state, State::Cleared | State::Expired);
        if self.findings.len() >= PENDING_LIMIT || (is_end && !suspect.reported.is_restricted()) {
            return;
        }
        let crashes = suspect.crashes.iter().map(|crash| {
            let id =
                crash.id.as_ref().map_or(format!("{:016x}", crash.server), ToString::to_string);
            (id, now.saturating_sub(crash.at))
        });
        let held_until = suspect.held_until().filter(|_| state == State::Held);
        let hold = held_until.map(|until| until.saturating_sub(now));
        let (kind, id, crashes) = (suspect.kind, suspect.id.clone(), crashes.collect());
        self.findings.push(Finding { state, kind, id, key, crashes, hold });
    }
}

/// Whether a note reports a single crash of a request.
fn is_single_report(note: &Note) -> bool {
    matches!(note, Note::Suspected(report) if report.is_request && report.crashes.len() == 1)
}

/// The crashes of a suspect, as instances tell each other.
fn suspicion(key: SuspectKey, suspect: &Suspect, now: Time) -> Suspicion {
    let is_request = suspect.kind == Kind::Request;
    Suspicion { key, crashes: suspect.told().sightings(now), is_request }
}

/// Drops the older half of a map of answers that is full.
fn limit<K>(answers: &mut FxHashMap<K, Time>) {
    if answers.len() >= ANSWER_LIMIT {
        let mut times: Vec<Time> = answers.values().copied().collect();
        let (_, median, _) = times.select_nth_unstable(ANSWER_LIMIT / 2);
        answers.retain(|_, at| *at > *median);
    }
}
