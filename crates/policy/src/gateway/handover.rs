//! What an instance that starts gets from the others, and what one that stops tells them.
//!
//! Load pattern: all instances are restarted in turn, as for each upgrade, within the time that a
//! stream lasts. Digests tell each fact once, or in turns. An instance that has just started has
//! missed what was told before, and would refuse to take up streams, or send what it must not. So it asks several
//! others for all that they know, before it is ready. A fact keeps its age, so that it expires when
//! it would have at its source.
//!
//! Between an answer and the time when the others list the new instance, they tell it nothing. So
//! it asks again a while later, and an instance that stops repeats its open streams.
//!
//! What no other instance knows is lost, as after a kill of all: streams are then refused.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use strum::IntoEnumIterator;

use super::configuration::{Configuration, Repeat};
use super::gossip::{Digest, Incarnation, Note, Subject};
use super::machine::Gateway;
use super::notice::Departure;
use super::software::{RETENTION, SoftwareKey, StreamKey};
use crate::Time;

/// Number of other instances that are asked: two may fail, or have missed digests.
pub const SOURCES: usize = 3;
/// Unit of a stream's age.
const AGE_UNIT: Duration = Duration::from_millis(100);

/// Streams of one software version, with their ages in tenths of a second.
pub type Ages = Vec<(StreamKey, u16)>;

/// A part of what an instance knows. Each is encoded by itself, so that an instance that does not know
/// one kind of part or note reads the others.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Part {
    /// What the source is.
    Source {
        /// Its incarnation.
        incarnation: Incarnation,
        /// Whether it has asked others itself, or has served for as long as it keeps any fact.
        is_informed: bool,
    },
    /// Streams that may be taken up, by the software version that began them.
    Streams(Vec<(SoftwareKey, Ages)>),
    /// Notes on one subject.
    Notes(Vec<Note>),
}

impl Gateway {
    /// All that an instance that starts needs; `is_informed` tells whether this one was told itself.
    pub fn handover(&mut self, now: Time, is_informed: bool) -> Vec<Part> {
        let has_served = self.started.is_some_and(|started| now >= started + RETENTION);
        let is_informed = is_informed || has_served;
        let mut parts = vec![Part::Source { incarnation: self.incarnation, is_informed }];
        let timeout = self.view().map(|view| stream_timeout(&view.configuration));
        let mut streams = BTreeMap::<SoftwareKey, Ages>::new();
        for (key, software, age) in self.streams.recent(now, timeout.unwrap_or_default()) {
            let age = u16::try_from(age.as_millis() / AGE_UNIT.as_millis()).unwrap_or(u16::MAX);
            streams.entry(software).or_default().push((key, age));
        }
        if !streams.is_empty() {
            parts.push(Part::Streams(streams.into_iter().collect()));
        }
        let notes = self.lasting_notes(now);
        for subject in Subject::iter() {
            let notes = notes.iter().filter(|note| note.subject() == subject);
            let notes: Vec<Note> = notes.cloned().collect();
            if !notes.is_empty() {
                parts.push(Part::Notes(notes));
            }
        }
        parts
    }

    /// Records a part of what another instance knows; the number of its streams and notes.
    pub fn receive_handover(&mut self, now: Time, source: Incarnation, part: Part) -> usize {
        match part {
            Part::Source { .. } => 0,
            Part::Streams(streams) => {
                let each = streams.iter().flat_map(|(software, ages)| {
                    ages.iter().map(move |(key, age)| (*key, *software, AGE_UNIT * u32::from(*age)))
                });
                let mut count = 0;
                for (key, software, age) in each {
                    self.streams.receive_recent(now, key, software, age);
                    count += 1;
                }
                count
            }
            Part::Notes(notes) => {
                let count = notes.len();
                // Without a sequence number, it leaves the source's load as it is.
                self.receive(now, Digest { incarnation: source, notes, ..Digest::default() });
                count
            }
        }
    }

    /// Tells the others the streams that are open here, as this instance stops.
    pub fn repeat_streams(&mut self, now: Time) {
        self.streams.repeat(now);
    }

    /// Notes on all facts that last longer than the interval between digests.
    fn lasting_notes(&mut self, now: Time) -> Vec<Note> {
        let mut notes = self.quarantine.suspicions(now);
        let members = || self.roster.values();
        let leaving = members().filter(|member| member.standing.is_leaving);
        notes.extend(leaving.map(|member| Note::Departed(Departure::of(&member.server))));
        let limits = members().filter_map(|m| m.standing.limit.report(now, &m.server));
        notes.extend(limits.map(Note::Limited));
        let tolerances = members().filter_map(|m| m.standing.tolerance.report(now, &m.server));
        notes.extend(tolerances.map(Note::Brittle));
        notes.extend(self.canaries.all_evidence(now).into_iter().map(Note::Canary));
        notes
    }
}

/// Longest time for which the caller of a stream that may be taken up waits.
fn stream_timeout(configuration: &Configuration) -> Duration {
    let routes = configuration.all_routes();
    let routes = routes.filter(|route| route.repeat == Repeat::ResumableStream);
    routes.map(|route| route.timeout).max().unwrap_or_default().min(RETENTION)
}
