//! Parts of prompts that crash the engines which begin to answer on them.
//!
//! When an exchange with an engine breaks before its answer began, each shared part of the prompt
//! becomes a suspect of that crash, unless an engine has just answered on it. Instances tell each
//! other the crashes of each suspect, so all count the same ones; an incarnation of an engine counts
//! once for a part, and crashes at the same moment count as one, as they have a common cause. An
//! incarnation that answers a later request has not crashed. An instance that knows an answer
//! contradicts a report of crashes; a report of one crash is contradicted by a share of them only.
//!
//! One crash restricts nothing. From [`TRIAL_COUNT`] crashes on, requests with the part are tried
//! one at a time by all instances together: an instance announces its claim to the next trial and
//! sends the request once no other has claimed it first. From [`HOLD_COUNT`] on, requests with the
//! part are refused for a while after the newest crash, longer with each further one, and then tried
//! in the same way. An answer that begins on the part at any engine clears it.
//!
//! A sound part that came along with the cause shares its crashes. If another suspect accounts for
//! all of them, requests without that suspect are not refused but tried, so that an answer clears
//! the sound part.

use std::time::Duration;

use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};
use strum::{Display, IntoStaticStr};

use super::call::{Call, PartId, Prompt};
use super::gossip::{Note, ServerKey, server_key, stable_hash};
use super::view::{Server, ServerId};
use crate::Time;

/// Number of crashes from which requests with a part are tried one at a time.
const TRIAL_COUNT: u32 = 2;
/// Number of crashes from which requests with a part are refused.
const HOLD_COUNT: u32 = 3;
/// Time for which a part is held after its third crash.
const HOLD: Duration = Duration::from_secs(20);
/// Growth of that time with each further crash.
const HOLD_FACTOR: u32 = 3;
/// Maximum number of growths, against overflow.
const GROWTH_LIMIT: u32 = 8;
/// Maximum time for which a part is held.
const HOLD_MAX: Duration = Duration::from_secs(600);
/// Crashes within this time of each other count as one.
const SAME_MOMENT: Duration = Duration::from_millis(100);
/// Time after an answer on a part within which a crash is no evidence against it.
const ANSWER_VALIDITY: Duration = Duration::from_millis(500);
/// Time between the claim to a trial and its start, in which claims of other instances arrive.
const CLAIM_DELAY: Duration = Duration::from_millis(60);
/// Time after which a trial without an outcome is given up.
const TRIAL_SPAN: Duration = Duration::from_secs(1);
/// The same for a part that was held.
const HELD_TRIAL_SPAN: Duration = Duration::from_secs(5);
/// Time after which a request that waits for another's trial is decided on again.
const RECHECK_INTERVAL: Duration = Duration::from_millis(25);
/// Time after its newest crash for which a part stays suspected.
const RETENTION: Duration = Duration::from_secs(1_800);
/// Maximum number of suspects.
const SUSPECT_LIMIT: usize = 512;
/// Maximum number of crashes kept of a suspect.
const CRASH_LIMIT: usize = 12;
/// Maximum number of parts, and of engines, of which the last answer is known.
const ANSWER_LIMIT: usize = 4_096;
/// Maximum number of notes and findings that wait to be taken.
const PENDING_LIMIT: usize = 512;
/// Number of suspects that a full digest repeats.
const REPEATED_SUSPECTS: usize = 64;

/// Hash of a model and a part's name, equal on all instances.
pub type SuspectKey = u64;

/// Restrictions on parts of prompts.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspects: FxHashMap<SuspectKey, Suspect>,
    /// When an answer last began on a part, as known here.
    answered: FxHashMap<SuspectKey, Time>,
    /// When the last request was sent that an incarnation of an engine began to answer.
    alive: FxHashMap<(ServerKey, u64), Time>,
    notes: Vec<Note>,
    findings: Vec<Finding>,
}

/// A part under which engines crashed.
#[derive(Clone, Debug, Default)]
struct Suspect {
    id: Option<PartId>,
    /// In order of time.
    crashes: Vec<Crash>,
    trial: Option<Trial>,
    /// The number of crashes in the last finding.
    reported: u32,
}

/// A crash of an incarnation of an engine.
#[derive(Clone, Debug)]
struct Crash {
    server: ServerKey,
    born: Option<u64>,
    at: Time,
    id: Option<ServerId>,
}

/// A trial of a part, or the claim to it.
#[derive(Clone, Copy, Debug)]
struct Trial {
    since: Time,
    stage: Stage,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    Claimed,
    Sent,
    /// By another instance.
    Elsewhere,
}

/// What the shared parts of a prompt allow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Gate {
    /// The request is sent like any other.
    Open,
    /// The request is sent as the trial of a part.
    Trial,
    /// The request is the next trial; decide again at this time.
    Claimed(Time),
    /// Another trial of a part is under way.
    Busy {
        /// The part's position, from one.
        position: usize,
        /// When to decide again.
        at: Time,
        /// When the trial ends at the latest.
        until: Time,
    },
    /// A part is held.
    Held {
        /// The part's position, from one.
        position: usize,
        /// When it may be tried.
        until: Time,
    },
}

/// A crash, as instances tell each other.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Sighting {
    /// The engine.
    pub server: ServerKey,
    /// Start of its incarnation, in milliseconds of Unix time.
    pub born: Option<u64>,
    /// Time since the crash, in milliseconds.
    pub age_ms: u32,
}

/// The crashes of a part.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Suspicion {
    /// The part.
    pub part: SuspectKey,
    /// Its crashes.
    pub crashes: Vec<Sighting>,
}

/// An answer that began on a part.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Clearance {
    /// The part.
    pub part: SuspectKey,
    /// Time since the answer began, in milliseconds.
    pub age_ms: u32,
}

/// A change in the restrictions on a part, for the log.
#[derive(Clone, Debug)]
pub struct Finding {
    /// Its state from now on.
    pub state: State,
    /// The part's name, if it is known here.
    pub id: Option<PartId>,
    /// Its key.
    pub part: SuspectKey,
    /// The engines that crashed, by id or key, with the time since then.
    pub crashes: Vec<(String, Duration)>,
    /// Time for which it is held.
    pub hold: Option<Duration>,
}

/// State of a part.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum State {
    /// Requests with it are tried one at a time.
    Suspected,
    /// Requests with it are refused for a while.
    Held,
    /// An engine has answered on it, or too few of the engines have crashed.
    Cleared,
    /// Its crashes are too old to count.
    Expired,
}

impl Quarantine {
    /// Decides on a request, and claims the next trial if it needs one.
    pub fn gate(&mut self, now: Time, prompt: &Prompt) -> Gate {
        if self.suspects.is_empty() {
            return Gate::Open;
        }
        let keys: Vec<SuspectKey> = keys(prompt).collect();
        for (key, part) in keys.iter().zip(prompt.shared()) {
            if let Some(suspect) = self.suspects.get_mut(key) {
                suspect.id.get_or_insert_with(|| part.id.clone());
            }
        }
        let restricted: Vec<(usize, SuspectKey, Restriction)> = keys
            .iter()
            .enumerate()
            .map(|(at, key)| (at + 1, *key, self.restriction(now, *key, &keys)))
            .filter(|(.., restriction)| *restriction != Restriction::None)
            .collect();
        let gates = restricted.iter().map(|(position, key, restriction)| {
            let trial = self.suspects.get(key).and_then(|suspect| suspect.trial);
            restriction.gate(now, *position, trial)
        });
        let gate = gates.max_by_key(Gate::severity).unwrap_or(Gate::Open);
        if matches!(gate, Gate::Claimed(_)) {
            for (_, key, restriction) in &restricted {
                self.claim(now, *key, *restriction);
            }
        }
        gate
    }

    /// Whether engines crashed so often under one of a prompt's shared parts that a request is not
    /// sent to several.
    pub fn is_restricted(&self, prompt: &Prompt) -> bool {
        let is_restricted = |key: SuspectKey| {
            self.suspects.get(&key).is_some_and(|suspect| suspect.count() >= TRIAL_COUNT)
        };
        !self.suspects.is_empty() && keys(prompt).any(is_restricted)
    }

    /// Records that a trial is sent.
    pub fn sent(&mut self, now: Time, prompt: &Prompt) {
        for key in keys(prompt) {
            let Some(suspect) = self.suspects.get_mut(&key) else { continue };
            if suspect.trial.is_some_and(|trial| trial.stage == Stage::Claimed) {
                suspect.trial = Some(Trial { since: now, stage: Stage::Sent });
                self.note(Note::Tried(key));
            }
        }
    }

    /// Records that an attempt sent at `sent` ended before its answer began.
    pub fn given_up(&mut self, sent: Time, prompt: &Prompt) {
        for key in keys(prompt) {
            if let Some(suspect) = self.suspects.get_mut(&key) {
                let own = |trial: &mut Trial| trial.stage == Stage::Sent && trial.since == sent;
                suspect.trial.take_if(own);
            }
        }
    }

    /// Records that an engine crashed before it began to answer a prompt.
    pub fn crashed(&mut self, now: Time, prompt: &Prompt, server: &Server) {
        let (key, born) = (server_key(&server.id), server.born);
        for (part, id) in keys(prompt).zip(prompt.shared().iter().map(|part| &part.id)) {
            let crash = Crash { server: key, born, at: now, id: Some(server.id.clone()) };
            if self.is_refuted(part, now) || self.is_alive(&crash) || !self.add(now, part, crash) {
                continue;
            }
            if let Some(suspect) = self.suspects.get_mut(&part) {
                suspect.id.get_or_insert_with(|| id.clone());
                let crashes = suspect.sightings(now);
                self.note(Note::Suspected(Suspicion { part, crashes }));
            }
            self.report(now, part);
        }
    }

    /// Records that an engine began to answer a prompt that was sent at `sent`.
    pub fn answered(&mut self, now: Time, prompt: &Prompt, server: &Server, sent: Time) {
        self.survived(now, server, sent);
        for key in keys(prompt) {
            if self.clear(now, now, key) {
                self.note_clearance(now, key);
            }
        }
    }

    /// Records what another instance tells of a part's crashes; `responds` tells whether this
    /// instance is one of those that answer a report of a single crash.
    pub fn receive(
        &mut self,
        now: Time,
        suspicion: &Suspicion,
        responds: bool,
        id: impl Fn(ServerKey) -> Option<ServerId>,
    ) {
        let part = suspicion.part;
        for sighting in suspicion.crashes.iter().take(CRASH_LIMIT) {
            let Sighting { server, born, age_ms } = *sighting;
            let at = now.saturating_sub(Duration::from_millis(age_ms.into()));
            let crash = Crash { server, born, at, id: id(server) };
            if self.is_refuted(part, at) {
                // Many instances know an answer on a frequent part, and one crash restricts nothing.
                if responds || suspicion.crashes.len() >= TRIAL_COUNT as usize {
                    self.note_clearance(now, part);
                }
            } else if now < at + RETENTION && !self.is_alive(&crash) {
                self.add(now, part, crash);
            }
        }
        self.report(now, part);
    }

    /// Records another instance's claim to a trial, or its start. `is_first` tells whether an own
    /// claim at the same time precedes it.
    pub fn receive_trial(&mut self, now: Time, part: SuspectKey, is_first: bool) {
        let Some(suspect) = self.suspects.get_mut(&part) else { return };
        let keeps = suspect.trial.is_some_and(|trial| match trial.stage {
            Stage::Claimed => is_first && now < trial.since + TRIAL_SPAN,
            Stage::Sent => true,
            Stage::Elsewhere => false,
        });
        if !keeps {
            suspect.trial = Some(Trial { since: now, stage: Stage::Elsewhere });
        }
    }

    /// Records another instance's answer on a part.
    pub fn receive_clearance(&mut self, now: Time, clearance: Clearance) {
        let at = now.saturating_sub(Duration::from_millis(clearance.age_ms.into()));
        self.clear(now, at, clearance.part);
    }

    /// What the other instances have to learn since the last call.
    pub fn take_notes(&mut self) -> Vec<Note> {
        std::mem::take(&mut self.notes)
    }

    /// The suspects with the most crashes that restrict requests, which make up for lost notes.
    pub fn suspicions(&mut self, now: Time) -> Vec<Note> {
        self.expire(now);
        let is_restricted = |(_, suspect): &(_, &Suspect)| suspect.count() >= TRIAL_COUNT;
        let mut suspects: Vec<_> = self.suspects.iter().filter(is_restricted).collect();
        suspects.sort_by_key(|(part, suspect)| (std::cmp::Reverse(suspect.rank()), **part));
        let notes = suspects.into_iter().take(REPEATED_SUSPECTS).map(|(part, suspect)| {
            Note::Suspected(Suspicion { part: *part, crashes: suspect.sightings(now) })
        });
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

    fn restriction(&self, now: Time, key: SuspectKey, present: &[SuspectKey]) -> Restriction {
        let Some(suspect) = self.suspects.get(&key) else { return Restriction::None };
        let (count, until) = (suspect.count(), suspect.held_until());
        if count < TRIAL_COUNT {
            Restriction::None
        } else if count < HOLD_COUNT || self.is_explained(suspect, present) {
            Restriction::Trial
        } else if now < until {
            Restriction::Hold(until)
        } else {
            Restriction::HeldTrial
        }
    }

    /// Whether a suspect that the prompt does not contain accounts for all crashes of one.
    fn is_explained(&self, suspect: &Suspect, present: &[SuspectKey]) -> bool {
        self.suspects.iter().any(|(key, other)| {
            let explains = |crash: &Crash| other.crashes.iter().any(|known| known.is_same(crash));
            !present.contains(key) && suspect.crashes.iter().all(explains)
        })
    }

    fn claim(&mut self, now: Time, key: SuspectKey, restriction: Restriction) {
        let Some(suspect) = self.suspects.get_mut(&key) else { return };
        if suspect.trial.is_none_or(|trial| now >= trial.since + restriction.span()) {
            suspect.trial = Some(Trial { since: now, stage: Stage::Claimed });
            self.note(Note::Tried(key));
        }
    }

    /// Whether an answer on a part shows that it did not cause a crash.
    fn is_refuted(&self, part: SuspectKey, crashed: Time) -> bool {
        self.answered.get(&part).is_some_and(|answered| crashed < *answered + ANSWER_VALIDITY)
    }

    /// Whether an incarnation has answered a request that was sent after it seemed to crash.
    fn is_alive(&self, crash: &Crash) -> bool {
        let answered = crash.born.and_then(|born| self.alive.get(&(crash.server, born)));
        answered.is_some_and(|sent| *sent > crash.at)
    }

    /// Records that an incarnation answers a request sent at `sent`, so has not crashed before.
    fn survived(&mut self, now: Time, server: &Server, sent: Time) {
        let Some(born) = server.born else { return };
        let key = (server_key(&server.id), born);
        limit(&mut self.alive);
        let known = self.alive.entry(key).or_insert(sent);
        *known = sent.max(*known);
        let is_refuted =
            |crash: &Crash| (crash.server, crash.born) == (key.0, Some(key.1)) && crash.at < sent;
        let affected: Vec<SuspectKey> = self
            .suspects
            .iter()
            .filter(|(_, suspect)| suspect.crashes.iter().any(is_refuted))
            .map(|(part, _)| *part)
            .collect();
        for part in affected {
            self.retract(now, part, is_refuted);
        }
    }

    /// Removes crashes from a part.
    fn retract(&mut self, now: Time, part: SuspectKey, is_refuted: impl Fn(&Crash) -> bool) {
        let Some(mut suspect) = self.suspects.remove(&part) else { return };
        let before = suspect.clone();
        suspect.crashes.retain(|crash| !is_refuted(crash));
        if suspect.count() < TRIAL_COUNT {
            self.find(now, State::Cleared, part, &before);
            (suspect.reported, suspect.trial) = (0, None);
        }
        suspect.reported = suspect.reported.min(suspect.count());
        if !suspect.crashes.is_empty() {
            self.suspects.insert(part, suspect);
        }
    }

    /// Adds a crash to a part; true if it is news.
    fn add(&mut self, now: Time, part: SuspectKey, crash: Crash) -> bool {
        if !self.suspects.contains_key(&part) && self.suspects.len() >= SUSPECT_LIMIT {
            self.expire(now);
        }
        if !self.suspects.contains_key(&part) && self.suspects.len() >= SUSPECT_LIMIT {
            let weakest = self.suspects.iter().min_by_key(|(key, suspect)| (suspect.rank(), **key));
            if let Some(key) = weakest.map(|(key, _)| *key) {
                self.suspects.remove(&key);
            }
        }
        self.suspects.entry(part).or_default().add(crash)
    }

    /// Records an answer on a part at `at`; true if it refutes known crashes.
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

    /// Tells the other instances the last answer on a part.
    fn note_clearance(&mut self, now: Time, part: SuspectKey) {
        let is_pending = |note: &Note| matches!(note, Note::Cleared(known) if known.part == part);
        if let Some(at) = self.answered.get(&part)
            && !self.notes.iter().any(is_pending)
        {
            let age_ms = millis(now.saturating_sub(*at));
            self.note(Note::Cleared(Clearance { part, age_ms }));
        }
    }

    fn expire(&mut self, now: Time) {
        let is_old = |suspect: &Suspect| now >= suspect.newest() + RETENTION;
        let old = self.suspects.extract_if(|_, suspect| is_old(suspect));
        for (key, suspect) in old.collect::<Vec<_>>() {
            self.find(now, State::Expired, key, &suspect);
        }
    }

    fn note(&mut self, note: Note) {
        if self.notes.len() < PENDING_LIMIT {
            self.notes.push(note);
        }
    }

    /// Reports a part if more crashes count than in its last finding.
    fn report(&mut self, now: Time, key: SuspectKey) {
        let Some(mut suspect) = self.suspects.remove(&key) else { return };
        let count = suspect.count();
        if count >= TRIAL_COUNT && count > suspect.reported {
            let state = if count >= HOLD_COUNT { State::Held } else { State::Suspected };
            self.find(now, state, key, &suspect);
            suspect.reported = count;
        }
        self.suspects.insert(key, suspect);
    }

    fn find(&mut self, now: Time, state: State, part: SuspectKey, suspect: &Suspect) {
        let is_end = matches!(state, State::Cleared | State::Expired);
        if self.findings.len() >= PENDING_LIMIT || (is_end && suspect.reported == 0) {
            return;
        }
        let crashes = suspect.crashes.iter().map(|crash| {
            let id =
                crash.id.as_ref().map_or(format!("{:016x}", crash.server), ToString::to_string);
            (id, now.saturating_sub(crash.at))
        });
        let hold = (state == State::Held).then(|| suspect.held_until().saturating_sub(now));
        let (id, crashes) = (suspect.id.clone(), crashes.collect());
        self.findings.push(Finding { state, id, part, crashes, hold });
    }
}

impl Suspect {
    /// Adds a crash; true if it is news.
    fn add(&mut self, crash: Crash) -> bool {
        if let Some(known) = self.crashes.iter_mut().find(|known| known.is_same(&crash)) {
            known.at = known.at.min(crash.at);
            self.crashes.sort_by_key(|crash| crash.at);
            return false;
        }
        if self.trial.is_some_and(|trial| crash.at >= trial.since) {
            self.trial = None;
        }
        self.crashes.push(crash);
        self.crashes.sort_by_key(|crash| crash.at);
        if self.crashes.len() > CRASH_LIMIT {
            self.crashes.remove(0);
        }
        true
    }

    /// Its crashes, as instances tell each other.
    fn sightings(&self, now: Time) -> Vec<Sighting> {
        let sighting = |crash: &Crash| Sighting {
            server: crash.server,
            born: crash.born,
            age_ms: millis(now.saturating_sub(crash.at)),
        };
        self.crashes.iter().map(sighting).collect()
    }

    /// Number of crashes that count.
    fn count(&self) -> u32 {
        let (mut count, mut last) = (0, None);
        for crash in &self.crashes {
            if last.is_none_or(|last| crash.at >= last + SAME_MOMENT) {
                (count, last) = (count + 1, Some(crash.at));
            }
        }
        count
    }

    fn newest(&self) -> Time {
        self.crashes.last().map_or(Time::ZERO, |crash| crash.at)
    }

    fn held_until(&self) -> Time {
        let further = self.count().saturating_sub(HOLD_COUNT).min(GROWTH_LIMIT);
        self.newest() + (HOLD * HOLD_FACTOR.pow(further)).min(HOLD_MAX)
    }

    /// The order in which suspects are kept.
    fn rank(&self) -> (u32, Time) {
        (self.count(), self.newest())
    }
}

impl Crash {
    /// Whether both are the end of the same incarnation.
    fn is_same(&self, other: &Self) -> bool {
        (self.server, self.born) == (other.server, other.born)
    }
}

/// What the crashes of one part allow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Restriction {
    None,
    Trial,
    /// A trial after a hold.
    HeldTrial,
    Hold(Time),
}

impl Restriction {
    /// Time after which a trial is given up.
    fn span(self) -> Duration {
        match self {
            Self::HeldTrial => HELD_TRIAL_SPAN,
            _ => TRIAL_SPAN,
        }
    }

    fn gate(self, now: Time, position: usize, trial: Option<Trial>) -> Gate {
        match (self, trial) {
            (Self::None, _) => Gate::Open,
            (Self::Hold(until), _) => Gate::Held { position, until },
            (_, Some(trial)) if now < trial.since + self.span() => {
                let until = trial.since + self.span();
                match (trial.stage, self) {
                    (Stage::Claimed, _) if now >= trial.since + CLAIM_DELAY => Gate::Trial,
                    (Stage::Claimed, _) => Gate::Claimed(trial.since + CLAIM_DELAY),
                    (_, Self::HeldTrial) => Gate::Held { position, until },
                    _ => Gate::Busy { position, at: now + RECHECK_INTERVAL, until },
                }
            }
            _ => Gate::Claimed(now + CLAIM_DELAY),
        }
    }
}

impl Gate {
    /// The most severe gate of a prompt's parts counts.
    fn severity(&self) -> (u32, Time) {
        match self {
            Self::Open => (0, Time::ZERO),
            Self::Trial => (1, Time::ZERO),
            Self::Claimed(at) => (2, *at),
            Self::Busy { until, .. } => (3, *until),
            Self::Held { until, .. } => (4, *until),
        }
    }
}

/// The keys of the parts that other requests may contain.
fn keys(prompt: &Prompt) -> impl Iterator<Item = SuspectKey> + '_ {
    prompt.shared().iter().map(|part| stable_hash(&(&prompt.model, &part.id)))
}

/// The key that a caller's repeats of a request have in common.
pub fn request_key(caller: Option<&str>, call: &Call) -> SuspectKey {
    let model = call.prompt.as_ref().map(|prompt| &prompt.model);
    let parts = call.prompt.iter().flat_map(|prompt| &prompt.parts);
    let parts: Vec<&PartId> = parts.map(|part| &part.id).collect();
    stable_hash(&(caller, &call.host, call.content, model, parts))
}

/// Drops the older half of a map of answers that is full.
fn limit<K>(answers: &mut FxHashMap<K, Time>) {
    if answers.len() >= ANSWER_LIMIT {
        let mut times: Vec<Time> = answers.values().copied().collect();
        let (_, median, _) = times.select_nth_unstable(ANSWER_LIMIT / 2);
        answers.retain(|_, at| *at > *median);
    }
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
