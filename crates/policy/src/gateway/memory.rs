//! Memory and connections of a process, and who loses them when they run short.
//!
//! Load pattern: hundreds of callers outside anybody's control send bodies of legal size at once, and
//! most stop just short of the end and stay connected; or they read their answers slowly, or hold
//! connections without a request. In calm nothing is refused, however slow a body is. [`Ledger`]
//! counts what is held, by [`Kind`]. If there is no room, a holder is given up: the one that has not
//! progressed for the longest time, or else the newest body, first of an organisation over its
//! share. Connections make room for new ones in the order in which they became idle.

use std::time::Duration;

use rustc_hash::FxHashMap;
use slotmap::{SlotMap, new_key_type};
use strum::{EnumCount, EnumIter, IntoStaticStr};

use crate::Time;

/// Memory of the machine if the settings don't state it, in bytes: that of most instances.
const DEFAULT_MEMORY: u64 = 160_000_000;
/// Open descriptors if the settings don't state them.
const DEFAULT_DESCRIPTORS: u64 = 4_096;
/// Memory of the process without any request, in bytes. A debug build takes 30 MB.
const BASE_MEMORY: u64 = 40_000_000;
/// Part of the rest that requests get. The allocator and the operating system need more than is counted.
const MEMORY_DIVISOR: u64 = 2;
/// Smallest budget, in bytes: some requests of full size are served on any machine.
const MIN_BUDGET: u64 = 16_000_000;
/// Part of the budget that bodies of requests leave to answers.
const ANSWER_DIVISOR: usize = 4;
/// Part of the budget that connections may take.
const CONNECTION_DIVISOR: usize = 2;
/// Memory counted for a connection, in bytes. Its buffers usually take less, and at most twice as much.
pub const CONNECTION_BYTES: usize = 32 << 10;
/// Descriptors for listeners, the metadata store and messages.
const OWN_DESCRIPTORS: u64 = 64;
/// Each caller's request may need a descriptor for an upstream.
const DESCRIPTOR_DIVISOR: u64 = 2;
/// Time without progress after which a holder counts as stalled. A starved instance reads what has
/// arrived within a fraction of it.
const STALL_TIME: Duration = Duration::from_millis(500);

/// Hash of an organisation's name.
pub type OrganisationKey = u64;

new_key_type! {
    /// Key of a [`Ledger`]'s holder.
    pub struct HolderKey;
    /// Key of a caller's connection.
    pub struct ConnectionKey;
}

/// What memory is held for.
#[derive(Clone, Copy, Debug, EnumCount, EnumIter, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Kind {
    /// A request's body.
    Body,
    /// An upstream's whole answer.
    Answer,
    /// A stream that is forwarded.
    Stream,
    /// Buffers of a caller's connection.
    Connection,
}

/// Why a holder lost its memory or a connection was closed.
#[derive(Clone, Copy, Debug, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Cause {
    /// It had not progressed for the longest time.
    Stalled,
    /// It was the newest of an organisation that held more than its share.
    Share,
    /// It was the newest.
    Newest,
    /// All memory is held by requests and answers that are not given up.
    Full,
    /// It was idle for the longest time.
    Idle,
    /// No connection was idle.
    Connections,
}

/// Limits of a process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Terms {
    /// Memory for requests, answers and connections, in bytes.
    pub bytes: usize,
    /// Maximum number of callers' connections.
    pub connections: usize,
}

impl Terms {
    /// The limits on a machine with this memory, in bytes, and so many descriptors.
    pub fn new(memory: Option<u64>, descriptors: Option<u64>) -> Self {
        let rest = memory.unwrap_or(DEFAULT_MEMORY).saturating_sub(BASE_MEMORY);
        let bytes = (rest / MEMORY_DIVISOR).max(MIN_BUDGET);
        let bytes = usize::try_from(bytes).unwrap_or(usize::MAX);
        let descriptors = descriptors.unwrap_or(DEFAULT_DESCRIPTORS);
        let by_descriptors = descriptors.saturating_sub(OWN_DESCRIPTORS) / DESCRIPTOR_DIVISOR;
        let by_descriptors = usize::try_from(by_descriptors.max(1)).unwrap_or(usize::MAX);
        let by_memory = bytes / CONNECTION_DIVISOR / CONNECTION_BYTES;
        Self { bytes, connections: by_descriptors.min(by_memory) }
    }

    /// Memory for bodies, in bytes.
    fn body_bytes(&self) -> usize {
        self.bytes - self.bytes / ANSWER_DIVISOR
    }
}

impl Default for Terms {
    fn default() -> Self {
        Self::new(None, None)
    }
}

/// What to do about memory that is asked for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// It is reserved.
    Granted,
    /// This holder gives its memory up first. It is no holder any more.
    Evict(HolderKey, Cause),
    /// It can't be had.
    Refused(Cause),
}

/// What to do about a new connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Entry {
    /// It is served.
    Admitted(ConnectionKey),
    /// It is served, and this idle one is closed.
    Replaces(ConnectionKey, ConnectionKey),
    /// It is closed.
    Closed,
}

/// A body that arrives, or an answer that is written.
#[derive(Clone, Copy, Debug)]
struct Holder {
    kind: Kind,
    organisation: OrganisationKey,
    /// Position in the order in which holders began.
    number: u64,
    progressed: Time,
    bytes: usize,
}

/// Counts what is held.
#[derive(Clone, Debug)]
pub struct Ledger {
    terms: Terms,
    used: [usize; Kind::COUNT],
    holders: SlotMap<HolderKey, Holder>,
    /// Number of holders so far.
    begun: u64,
    /// Since when each connection has no request; none while it has one.
    connections: SlotMap<ConnectionKey, Option<Time>>,
}

impl Default for Ledger {
    fn default() -> Self {
        Self::new(Terms::default())
    }
}

impl Ledger {
    /// An empty ledger.
    pub fn new(terms: Terms) -> Self {
        Self {
            terms,
            used: [0; Kind::COUNT],
            holders: SlotMap::with_key(),
            begun: 0,
            connections: SlotMap::with_key(),
        }
    }

    /// Replaces the limits.
    pub fn set_terms(&mut self, terms: Terms) {
        self.terms = terms;
    }

    /// Bytes that are held.
    pub fn used(&self, kind: Kind) -> usize {
        self.used[kind as usize]
    }

    fn total(&self) -> usize {
        self.used.iter().sum()
    }

    /// Counts bytes that are held in any case.
    pub fn take(&mut self, kind: Kind, bytes: usize) {
        self.used[kind as usize] += bytes;
    }

    /// Counts bytes that are no longer held.
    pub fn release(&mut self, kind: Kind, bytes: usize) {
        let used = &mut self.used[kind as usize];
        *used = used.saturating_sub(bytes);
    }

    /// Adds a body that begins to arrive.
    pub fn begin_body(&mut self, now: Time, organisation: OrganisationKey) -> HolderKey {
        self.begin(now, Kind::Body, organisation, 0)
    }

    /// Adds an answer that is written to its caller, and whose bytes are counted already.
    pub fn begin_answer(&mut self, now: Time, bytes: usize) -> HolderKey {
        self.begin(now, Kind::Answer, 0, bytes)
    }

    fn begin(
        &mut self,
        now: Time,
        kind: Kind,
        organisation: OrganisationKey,
        bytes: usize,
    ) -> HolderKey {
        self.begun += 1;
        let holder = Holder { kind, organisation, number: self.begun, progressed: now, bytes };
        self.holders.insert(holder)
    }

    /// Records that bytes of a body arrived, or that bytes of an answer were written.
    pub fn progressed(&mut self, now: Time, key: HolderKey) {
        if let Some(holder) = self.holders.get_mut(key) {
            holder.progressed = now;
        }
    }

    /// Enlarges a body that arrives to this size.
    pub fn enlarge(&mut self, now: Time, key: HolderKey, bytes: usize) -> Step {
        let Some(before) = self.holders.get(key).map(|holder| holder.bytes) else {
            return Step::Refused(Cause::Stalled);
        };
        let more = bytes.saturating_sub(before);
        if self.fits(Kind::Body, more) {
            self.take(Kind::Body, more);
            self.holders[key].bytes += more;
            return Step::Granted;
        }
        match self.loser(now, Kind::Body, more, Some(key)) {
            Some((loser, cause)) if loser == key => Step::Refused(cause),
            Some((loser, cause)) => self.evict(loser, cause),
            None => Step::Refused(Cause::Full),
        }
    }

    /// Reserves more bytes for an answer of an upstream.
    pub fn enlarge_answer(&mut self, now: Time, more: usize) -> Step {
        if self.fits(Kind::Answer, more) {
            self.take(Kind::Answer, more);
            return Step::Granted;
        }
        match self.loser(now, Kind::Answer, more, None) {
            Some((loser, cause)) => self.evict(loser, cause),
            None => Step::Refused(Cause::Full),
        }
    }

    /// Ends a holder whose bytes go on being counted until [`Self::release`].
    pub fn end(&mut self, key: HolderKey) {
        self.holders.remove(key);
    }

    /// Ends a body that is given up; its bytes are free.
    pub fn cancel_body(&mut self, key: HolderKey) {
        if let Some(holder) = self.holders.remove(key) {
            self.release(Kind::Body, holder.bytes);
        }
    }

    /// An answer's bytes are released by what holds them.
    fn evict(&mut self, key: HolderKey, cause: Cause) -> Step {
        match self.holders.get(key).map(|holder| holder.kind) {
            Some(Kind::Body) => self.cancel_body(key),
            _ => self.end(key),
        }
        Step::Evict(key, cause)
    }

    fn fits(&self, kind: Kind, more: usize) -> bool {
        self.total() + more <= self.terms.bytes && !self.exceeds_share(kind, more)
    }

    /// Whether bodies would take what is left to answers.
    fn exceeds_share(&self, kind: Kind, more: usize) -> bool {
        kind == Kind::Body && self.used(Kind::Body) + more > self.terms.body_bytes()
    }

    /// The holder that makes room for others.
    fn loser(
        &self,
        now: Time,
        kind: Kind,
        more: usize,
        asking: Option<HolderKey>,
    ) -> Option<(HolderKey, Cause)> {
        let only_bodies = self.exceeds_share(kind, more);
        let holders = self.holders.iter();
        let candidates = holders.filter(|(_, holder)| !only_bodies || holder.kind == Kind::Body);
        let others = candidates.filter(|(key, holder)| Some(*key) != asking && holder.bytes > 0);
        let stalest = others.min_by_key(|(_, holder)| (holder.progressed, holder.number));
        if let Some((key, _)) = stalest.filter(|(_, holder)| now >= holder.progressed + STALL_TIME)
        {
            return Some((key, Cause::Stalled));
        }
        let bodies = self.holders.iter().filter(|(key, holder)| {
            holder.kind == Kind::Body && (holder.bytes > 0 || Some(*key) == asking)
        });
        if let Some(organisation) = self.over_share() {
            let own = bodies.clone().filter(|(_, holder)| holder.organisation == organisation);
            if let Some((key, _)) = own.max_by_key(|(_, holder)| holder.number) {
                return Some((key, Cause::Share));
            }
        }
        let (key, _) = bodies.max_by_key(|(_, holder)| holder.number)?;
        Some((key, Cause::Newest))
    }

    /// The organisation whose bodies hold the most, if several have bodies and it holds more than an
    /// equal share of the memory for bodies.
    fn over_share(&self) -> Option<OrganisationKey> {
        let mut held: FxHashMap<OrganisationKey, usize> = FxHashMap::default();
        for holder in self.holders.values().filter(|holder| holder.kind == Kind::Body) {
            *held.entry(holder.organisation).or_default() += holder.bytes;
        }
        let share = self.terms.body_bytes() / held.len().max(1);
        let most = held.iter().max_by_key(|(organisation, bytes)| (**bytes, **organisation));
        let (organisation, bytes) = most?;
        (held.len() > 1 && *bytes > share).then_some(*organisation)
    }

    /// Whether no further connection is served without closing another.
    pub fn is_full(&self) -> bool {
        self.connections.len() >= self.terms.connections
    }

    /// Adds a caller's connection.
    pub fn connect(&mut self, now: Time) -> Entry {
        let longest_idle = || {
            let idle = self.connections.iter().filter_map(|(key, since)| Some(((*since)?, key)));
            idle.min().map(|(_, key)| key)
        };
        let replaced = if !self.is_full() {
            None
        } else if let Some(key) = longest_idle() {
            Some(key)
        } else {
            return Entry::Closed;
        };
        if let Some(key) = replaced {
            self.disconnect(key);
        }
        self.take(Kind::Connection, CONNECTION_BYTES);
        let key = self.connections.insert(Some(now));
        replaced.map_or(Entry::Admitted(key), |replaced| Entry::Replaces(key, replaced))
    }

    /// Records since when a connection has no request; none if it has one.
    pub fn set_idle(&mut self, key: ConnectionKey, since: Option<Time>) {
        if let Some(idle) = self.connections.get_mut(key) {
            *idle = since;
        }
    }

    /// Removes a connection.
    pub fn disconnect(&mut self, key: ConnectionKey) {
        if self.connections.remove(key).is_some() {
            self.release(Kind::Connection, CONNECTION_BYTES);
        }
    }
}
