//! The crashes of one suspect, and for how long they hold it back.

use std::time::Duration;

use super::{Kind, Sighting};
use crate::Time;
use crate::gateway::call::PartId;
use crate::gateway::configuration::ServiceName;
use crate::gateway::gossip::ServerKey;
use crate::gateway::view::ServerId;

/// Number of crashes from which requests with a suspect are tried one at a time.
pub const TRIAL_COUNT: u32 = 2;
/// Number of crashes from which requests with a suspect are refused.
pub const HOLD_COUNT: u32 = 3;
/// Number of crashes from which the hold after a failed trial is the last one of [`HOLDS`].
const LAST_HOLD_COUNT: usize = 5;
/// Times for which a suspect is held: after its third crash, and after each failed trial; the last
/// one is repeated.
const HOLDS: [Duration; 3] =
    [Duration::from_secs(20), Duration::from_secs(60), Duration::from_secs(86_400)];
/// Crashes within this time of each other count as one.
const SAME_MOMENT: Duration = Duration::from_millis(100);
/// A crash under a request that was sent after an earlier one, and ran for this time, counts by
/// itself. A connection to an upstream that is gone breaks sooner.
const MIN_RUN: Duration = Duration::from_millis(20);
/// Error of times that instances tell each other, which are whole milliseconds.
const ROUNDING: Duration = Duration::from_millis(1);
/// Time after its newest crash for which a suspect is kept at least.
const RETENTION: Duration = Duration::from_secs(1_800);
/// Maximum number of crashes kept of a suspect.
pub const CRASH_LIMIT: usize = 12;

/// A part or a request under which upstreams crashed.
#[derive(Clone, Debug)]
pub struct Suspect {
    pub kind: Kind,
    /// Name of the part, if it is known.
    pub id: Option<PartId>,
    /// In order of time.
    pub crashes: Vec<Crash>,
    pub trial: Option<Trial>,
    /// What the last finding reported.
    pub reported: Standing,
}

/// A crash of an incarnation of an upstream.
#[derive(Clone, Debug)]
pub struct Crash {
    pub server: ServerKey,
    pub born: Option<u64>,
    pub at: Time,
    /// Time from the send of the request to the crash, if it is known.
    pub ran: Option<Duration>,
    pub id: Option<ServerId>,
    /// The service of the upstream, if the other instances aren't told yet.
    pub withheld: Option<ServiceName>,
}

/// A trial of a suspect, or the claim to it.
#[derive(Clone, Copy, Debug)]
pub struct Trial {
    pub since: Time,
    pub stage: Stage,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    Claimed,
    Sent,
    /// By another instance.
    Elsewhere,
}

/// How far a suspect is restricted; the greater, the more.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Standing {
    /// Number of holds up to now.
    pub holds: usize,
    /// Number of crashes that count.
    pub crashes: u32,
}

impl Standing {
    pub fn is_restricted(self) -> bool {
        self.crashes >= TRIAL_COUNT
    }
}

impl Suspect {
    pub fn new(kind: Kind) -> Self {
        Self { kind, id: None, crashes: Vec::new(), trial: None, reported: Standing::default() }
    }

    /// Adds a crash; true if it is news.
    pub fn add(&mut self, crash: Crash) -> bool {
        if let Some(known) = self.crashes.iter_mut().find(|known| known.is_same(&crash)) {
            known.at = known.at.min(crash.at);
            known.ran = known.ran.into_iter().chain(crash.ran).min();
            known.withheld = known.withheld.take().filter(|_| crash.withheld.is_some());
            self.crashes.sort_by_key(|crash| crash.at);
            return false;
        }
        if self.trial.is_some_and(|trial| crash.at >= trial.since) {
            self.trial = None;
        }
        self.crashes.push(crash);
        self.crashes.sort_by_key(|crash| crash.at);
        if self.crashes.len() > CRASH_LIMIT {
            self.drop_one();
        }
        true
    }

    /// Drops the newest crash that neither counts up to the hold nor begins one.
    fn drop_one(&mut self) {
        let (counted, holds) = (self.counted(), self.holds());
        let is_decisive = |at: usize| {
            counted.iter().take(HOLD_COUNT as usize).any(|index| *index == at)
                || holds.iter().any(|(index, _)| *index == at)
        };
        let at = (0..self.crashes.len()).rfind(|at| !is_decisive(*at)).unwrap_or(0);
        self.crashes.remove(at);
    }

    /// What the other instances are told: the suspect without the crashes that are withheld.
    pub fn told(&self) -> Self {
        let mut told = self.clone();
        told.crashes.retain(|crash| crash.withheld.is_none());
        told
    }

    /// Its crashes, as instances tell each other.
    pub fn sightings(&self, now: Time) -> Vec<Sighting> {
        let sighting = |crash: &Crash| Sighting {
            server: crash.server,
            born: crash.born,
            age_ms: millis(now.saturating_sub(crash.at)),
            ran_ms: crash.ran.map(millis),
        };
        self.crashes.iter().map(sighting).collect()
    }

    /// Number of crashes that count.
    pub fn count(&self) -> u32 {
        self.counted().len() as u32
    }

    /// Indices of the crashes that count.
    fn counted(&self) -> Vec<usize> {
        let mut counted: Vec<usize> = Vec::new();
        for (at, crash) in self.crashes.iter().enumerate() {
            let last = counted.last().map(|last| self.crashes[*last].at);
            let is_repeat = |last| self.kind == Kind::Request && crash.is_sent_after(last);
            if last.is_none_or(|last| crash.at >= last + SAME_MOMENT || is_repeat(last)) {
                counted.push(at);
            }
        }
        counted
    }

    /// The holds, with the indices of the crashes that began them: the third crash, and the first
    /// one after the end of each hold.
    fn holds(&self) -> Vec<(usize, Time)> {
        let mut holds: Vec<(usize, Time)> = Vec::new();
        for at in self.counted().into_iter().skip(HOLD_COUNT as usize - 1) {
            let crashed = self.crashes[at].at;
            if holds.last().is_none_or(|(_, until)| crashed >= *until) {
                let is_last = !holds.is_empty() && at + 1 >= LAST_HOLD_COUNT;
                let time = HOLDS[if is_last { HOLDS.len() - 1 } else { holds.len() }];
                holds.push((at, crashed + time));
            }
        }
        holds
    }

    /// The end of the latest hold, which may be over.
    pub fn held_until(&self) -> Option<Time> {
        self.holds().last().map(|(_, until)| *until)
    }

    pub fn standing(&self) -> Standing {
        Standing { holds: self.holds().len(), crashes: self.count() }
    }

    pub fn newest(&self) -> Time {
        self.crashes.last().map_or(Time::ZERO, |crash| crash.at)
    }

    /// When it is forgotten.
    pub fn expires(&self) -> Time {
        let kept = self.newest() + RETENTION;
        self.held_until().map_or(kept, |until| kept.max(until))
    }

    /// The order in which suspects are kept.
    pub fn rank(&self) -> (Standing, Time) {
        (self.standing(), self.newest())
    }
}

impl Crash {
    /// Whether both are the end of the same incarnation.
    pub fn is_same(&self, other: &Self) -> bool {
        (self.server, self.born) == (other.server, other.born)
    }

    /// Whether the request was sent after another crash and ran.
    fn is_sent_after(&self, other: Time) -> bool {
        self.ran.is_some_and(|ran| ran >= MIN_RUN && self.at + ROUNDING >= other + ran)
    }
}

pub fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
