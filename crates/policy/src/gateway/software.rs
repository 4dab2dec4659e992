//! Which software version began a stream that its caller takes up.
//!
//! Events of two software versions don't fit into one stream, and servers don't check this. While
//! one version alone serves a service, there is nothing to know. Otherwise instances tell each other
//! the version of each stream that begins. A stream whose version is unknown, as after all instances
//! were killed, is not taken up: nothing in its answer would show that it is mixed.
//!
//! That one version alone serves is known only from a view that was current after the stream had begun.
//! An instance that was suspended, or that the metadata store doesn't answer, lists what served
//! before. So a stream of which nothing is known is taken up by a view that is confirmed after the
//! request has arrived. While an instance is without the metadata store, it tells the others its
//! streams, as they may be without it too.
//!
//! An instance that has just started can't know which versions were listed before. So the versions
//! that serve are recorded in the metadata store, and stay there for a while after the last server
//! of a version has gone. The versions of streams it gets from other instances (see
//! [`super::handover`]).

use std::collections::{BTreeMap, BTreeSet};
use std::hash::Hash;
use std::time::Duration;

use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

use super::call::CallId;
use super::configuration::ServiceName;
use super::gossip::stable_hash;
use super::mesh::Detail;
use super::view::{SoftwareVersion, View};
use crate::Time;

/// Time for which a stream can be taken up; longer than callers wait.
pub const RETENTION: Duration = Duration::from_secs(30);
/// Maximum number of streams that are remembered.
const MAX_STREAMS: usize = 1 << 16;
/// Streams in one note.
const NOTE_STREAMS: usize = 64;
/// Time for which streams are batched where messages go to hundreds of instances: most of what a
/// small message costs there is its frame.
const BATCH_INTERVAL: Duration = Duration::from_millis(250);

/// Hash of a stream's organisation and of the id of the request that began it.
pub type StreamKey = u32;
/// Hash of a software version, equal on all instances.
pub type SoftwareKey = u32;
/// Software versions by service.
pub type Versions = BTreeMap<ServiceName, BTreeSet<SoftwareVersion>>;

/// The key of a stream. Another organisation's stream with the same id has another key.
pub fn stream_key(organisation: Option<&str>, origin: &CallId) -> StreamKey {
    short_hash(&(organisation, origin))
}

/// A hash that is equal on all instances, shortened because it is sent for each stream.
fn short_hash(value: &impl Hash) -> u32 {
    (stable_hash(value) >> 32) as u32
}

/// Streams that began, as instances tell each other, with their versions.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Beginnings(pub Vec<(StreamKey, SoftwareKey)>);

/// What is known of a stream that its caller takes up.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Origin {
    /// This version began it.
    Version(SoftwareVersion),
    /// Some version that is not listed began it.
    Gone,
    /// Any of several versions may have begun it, or one that an outdated view doesn't list.
    Unknown,
}

/// The versions that serve, and the versions of streams.
#[derive(Debug, Default)]
pub struct Streams {
    versions: Versions,
    known: FxHashMap<StreamKey, Known>,
    /// Whether the other instances are told the streams that begin.
    is_telling: bool,
    /// Streams of which the other instances were not told yet.
    untold: Vec<(StreamKey, SoftwareKey)>,
    /// When the oldest of these began.
    untold_since: Time,
    /// When the latest stream began.
    latest: Time,
}

#[derive(Clone, Copy, Debug)]
struct Known {
    software: SoftwareKey,
    since: Time,
    status: Status,
}

/// Where a stream that is known is served.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Status {
    /// Here; it has not ended, so its caller may take it up.
    Open,
    /// Here, and it was answered to its end.
    Ended,
    /// At another instance, or at an earlier incarnation of this one.
    Told,
}

impl Streams {
    /// Updates the versions that serve from a newer view.
    pub fn observe(&mut self, now: Time, view: &View) {
        let mut versions = view.software.clone();
        for server in view.servers.values().chain(view.expired.values().map(|(server, _)| server)) {
            let known = versions.entry(server.service.clone()).or_default();
            if !known.contains(&server.software) {
                known.insert(server.software.clone());
            }
        }
        self.versions = versions;
        let was_telling = self.is_telling;
        self.is_telling = self.is_mixed() || view.unavailable_since.is_some();
        if self.is_telling && !was_telling {
            self.repeat(now);
        }
    }

    /// Tells the other instances all streams that are open here again.
    pub fn repeat(&mut self, now: Time) {
        if !self.is_telling {
            return;
        }
        self.expire(now);
        let open = self.known.iter().filter(|(_, known)| known.status == Status::Open);
        self.untold = open.map(|(key, known)| (*key, known.software)).collect();
        self.untold_since = now;
    }

    /// The streams that may still be taken up if callers wait for `timeout`, with their ages; none
    /// while one version alone serves each service.
    pub fn recent(&self, now: Time, timeout: Duration) -> Vec<(StreamKey, SoftwareKey, Duration)> {
        if !self.is_telling {
            return Vec::new();
        }
        let recent = self.known.iter().filter_map(|(key, known)| {
            let age = now.saturating_sub(known.since);
            let may_go_on = known.status != Status::Ended && age < timeout;
            may_go_on.then_some((*key, known.software, age))
        });
        recent.collect()
    }

    /// Records a stream that another instance knows; it began `age` ago.
    pub fn receive_recent(
        &mut self,
        now: Time,
        key: StreamKey,
        software: SoftwareKey,
        age: Duration,
    ) {
        self.remember(now.saturating_sub(age), key, software, Status::Told);
    }

    /// Whether several versions of a service serve.
    fn is_mixed(&self) -> bool {
        self.versions.values().any(|versions| versions.len() > 1)
    }

    /// Records that a version began a stream.
    pub fn begin(&mut self, now: Time, key: StreamKey, software: &SoftwareVersion) {
        let software = short_hash(software);
        self.remember(now, key, software, Status::Open);
        self.latest = now;
        if self.is_telling {
            if self.untold.is_empty() {
                self.untold_since = now;
            }
            self.untold.push((key, software));
        }
    }

    /// Records that a stream was answered to its end.
    pub fn end(&mut self, key: StreamKey) {
        if let Some(known) = self.known.get_mut(&key) {
            known.status = Status::Ended;
        }
    }

    /// Records another instance's streams.
    pub fn receive(&mut self, now: Time, beginnings: &Beginnings) {
        let streams = beginnings.0.iter();
        streams.for_each(|(key, software)| self.remember(now, *key, *software, Status::Told));
    }

    /// The version that began a stream of a service. `is_current` tells whether the view was current
    /// after the stream had begun.
    pub fn origin(
        &self,
        service: &ServiceName,
        key: Option<StreamKey>,
        is_current: bool,
    ) -> Origin {
        let Some(versions) = self.versions.get(service) else { return Origin::Unknown };
        // What is known of a stream comes first: the view may not have its version yet, or any more.
        if let Some(known) = key.and_then(|key| self.known.get(&key)) {
            let version = versions.iter().find(|version| short_hash(version) == known.software);
            return version.map_or(Origin::Gone, |version| Origin::Version(version.clone()));
        }
        match (versions.len(), versions.first()) {
            (1, Some(version)) if is_current => Origin::Version(version.clone()),
            _ => Origin::Unknown,
        }
    }

    /// Whether a current view may tell or list the version that began a stream.
    pub fn depends_on_view(&self, service: &ServiceName, key: Option<StreamKey>) -> bool {
        let Some(versions) = self.versions.get(service) else { return false };
        match key.and_then(|key| self.known.get(&key)) {
            Some(known) => !versions.iter().any(|version| short_hash(version) == known.software),
            None => versions.len() == 1,
        }
    }

    /// The streams of which the other instances are to be told in a digest between full ones.
    pub fn take_batch(&mut self, detail: Detail) -> Vec<Beginnings> {
        let is_early = self.latest < self.untold_since + BATCH_INTERVAL;
        if detail == Detail::Large && is_early { Vec::new() } else { self.take_untold() }
    }

    /// All streams of which the other instances were not told yet.
    pub fn take_untold(&mut self) -> Vec<Beginnings> {
        let untold = std::mem::take(&mut self.untold);
        untold.chunks(NOTE_STREAMS).map(|streams| Beginnings(streams.to_vec())).collect()
    }

    fn remember(&mut self, since: Time, key: StreamKey, software: SoftwareKey, status: Status) {
        if self.known.len() >= MAX_STREAMS {
            self.expire(since);
        }
        // The first version counts: the stream is bound to it.
        if self.known.len() < MAX_STREAMS {
            self.known.entry(key).or_insert(Known { software, since, status });
        }
    }

    fn expire(&mut self, now: Time) {
        self.known.retain(|_, known| now < known.since + RETENTION);
    }
}
