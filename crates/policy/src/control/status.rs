//! Known status of each upstream and KV cache store.
//!
//! Warmth is evidence that expires. A new incarnation, a broken connection, an overload, silence
//! and a missing status all mean cold. Only the owner of an upstream's permits declares it warm;
//! other daemons accept that only for the incarnation that they saw themselves, if any.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use acacia_catalog::Set;
use acacia_catalog::id::{Incarnation, Name, UpstreamId};
use acacia_catalog::object::AdminState;

use super::{Instance, Mutation, Observation};
use crate::Time;
use crate::message::{News, Rumour};
use crate::snapshot::{Load, Standing, Warmth};

/// How long the evidence that an upstream is warm is valid.
const WARM_VALIDITY: Duration = Duration::from_secs(30);
/// How long an unreachable upstream gets no requests at all.
const DOWN_TIME: Duration = Duration::from_secs(1);
/// How long after a rumour that an upstream is cold a rumour that it is warm is ignored.
const PEER_DISTRUST: Duration = Duration::from_secs(5);
/// Maximum hops of a rumour.
const RUMOUR_HOPS: u8 = 4;

/// Status of one upstream or KV cache store.
#[derive(Clone, Debug, Default)]
struct Status {
    incarnation: Incarnation,
    warm_for: Option<Incarnation>,
    seen_at: Time,
    cold_at: Option<Time>,
    distrust_until: Time,
    down_until: Time,
    leaving: Option<Incarnation>,
    listed_leaving: bool,
    load: Option<Load>,
    closed: bool,
    shown: Warmth,
    shown_incarnation: Incarnation,
    is_scheduled: bool,
}

/// Status of all upstreams and KV cache stores.
#[derive(Default)]
pub(super) struct Statuses {
    statuses: BTreeMap<Name, Status>,
    rumours: Vec<Rumour>,
    changed: BTreeSet<Name>,
    /// When the shown warmth of a name may expire.
    expiries: BTreeSet<(Time, Name)>,
    mutation: Option<Mutation>,
}

impl Statuses {
    pub fn new(mutation: Option<Mutation>) -> Self {
        Self { mutation, ..Self::default() }
    }

    /// Applies a new configuration.
    pub fn configure(&mut self, now: Time, set: &Set) {
        let known = |name: &Name| set.upstreams.contains_key(name) || set.stores.contains_key(name);
        self.statuses.retain(|name, _| known(name));
        for (name, closed) in closures(set) {
            let status = self.statuses.entry(name.clone()).or_default();
            status.closed = closed && self.mutation != Some(Mutation::IgnoreClosed);
            self.refresh(now, &name);
        }
    }

    /// Handles an observation; true if the instance turned cold by it.
    pub fn observe(&mut self, now: Time, name: &Name, observation: &Observation) -> bool {
        let Some(status) = self.statuses.get_mut(name) else { return false };
        let was_cold_at = status.cold_at;
        let news = status.observe(now, observation);
        if let Some(news) = news {
            let incarnation = status.incarnation;
            let rumour = Rumour { upstream: name.clone(), incarnation, news, hops: RUMOUR_HOPS };
            self.rumours.push(rumour);
        }
        let cold = status.cold_at != was_cold_at;
        self.refresh(now, name);
        cold
    }

    /// Handles a peer's rumour; true if it is new to this daemon and says cold.
    pub fn receive(&mut self, now: Time, rumour: &Rumour) -> bool {
        let Some(status) = self.statuses.get_mut(&rumour.upstream) else { return false };
        if !status.receive(now, rumour) {
            return false;
        }
        if rumour.hops > 0 {
            self.rumours.push(Rumour { hops: rumour.hops - 1, ..rumour.clone() });
        }
        self.refresh(now, &rumour.upstream);
        rumour.news == News::Cold
    }

    /// Handles the owner's declaration that an upstream is warm.
    ///
    /// False if this daemon has seen another incarnation. With `spread_rumour`, other daemons
    /// are informed by a rumour.
    pub fn warm(
        &mut self,
        now: Time,
        name: &UpstreamId,
        incarnation: Incarnation,
        spread_rumour: bool,
    ) -> bool {
        let Some(status) = self.statuses.get_mut(name) else { return false };
        if status.incarnation == 0 {
            status.incarnation = incarnation;
        }
        let incarnation = if incarnation == 0 { status.incarnation } else { incarnation };
        if status.incarnation != incarnation {
            return false;
        }
        status.warm_for = Some(incarnation);
        status.seen_at = now;
        status.cold_at = None;
        if spread_rumour {
            let news = News::Warm;
            self.rumours.push(Rumour {
                upstream: name.clone(),
                incarnation,
                news,
                hops: RUMOUR_HOPS,
            });
        }
        self.refresh(now, name);
        true
    }

    /// Handles the list of live instances.
    pub fn list(&mut self, now: Time, instances: &[Instance]) {
        for instance in instances {
            let Some(status) = self.statuses.get_mut(&instance.name) else { continue };
            status.listed_leaving = instance.leaving;
            self.refresh(now, &instance.name);
        }
    }

    /// Refreshes statuses that may have expired.
    pub fn tick(&mut self, now: Time) {
        while let Some((at, name)) = self.expiries.pop_first() {
            if at > now {
                self.expiries.insert((at, name));
                return;
            }
            if let Some(status) = self.statuses.get_mut(&name) {
                status.is_scheduled = false;
            }
            self.refresh(now, &name);
        }
    }

    /// Whether an upstream takes requests only under permits.
    pub fn warmth(&self, name: &Name) -> Warmth {
        self.statuses.get(name).map(|r| r.shown).unwrap_or_default()
    }

    /// When this daemon itself last observed that an upstream is cold.
    pub fn cold_at(&self, name: &Name) -> Option<Time> {
        self.statuses.get(name)?.cold_at
    }

    /// The latest known incarnation; zero if unknown.
    pub fn incarnation(&self, name: &Name) -> Incarnation {
        self.statuses.get(name).map_or(0, |r| r.incarnation)
    }

    /// Removes and returns the rumours to pass on.
    pub fn take_rumours(&mut self) -> Vec<Rumour> {
        std::mem::take(&mut self.rumours)
    }

    /// Removes and returns the names whose warmth or incarnation changed.
    pub fn take_changed(&mut self) -> BTreeSet<Name> {
        std::mem::take(&mut self.changed)
    }

    /// The statuses of some names, for a snapshot.
    pub fn view<'a>(&self, names: impl Iterator<Item = &'a Name>) -> BTreeMap<Name, Standing> {
        names.map(|name| (name.clone(), self.standing(name))).collect()
    }

    /// The status of one name, for a snapshot.
    pub fn standing(&self, name: &Name) -> Standing {
        let Some(status) = self.statuses.get(name) else { return Standing::default() };
        Standing {
            warmth: status.shown,
            incarnation: status.incarnation,
            load: status.load.clone(),
        }
    }

    fn refresh(&mut self, now: Time, name: &Name) {
        let Some(status) = self.statuses.get_mut(name) else { return };
        if status.refresh(now) {
            self.changed.insert(name.clone());
        }
        if let Some(at) = status.changes_at().filter(|_| !status.is_scheduled) {
            status.is_scheduled = true;
            self.expiries.insert((at, name.clone()));
        }
    }
}

impl Status {
    /// Updates the shown warmth and incarnation; true if either changed.
    fn refresh(&mut self, now: Time) -> bool {
        let warmth = self.warmth(now);
        let changed = warmth != self.shown || self.incarnation != self.shown_incarnation;
        self.shown = warmth;
        self.shown_incarnation = self.incarnation;
        changed
    }

    /// When the shown warmth may change without an event.
    fn changes_at(&self) -> Option<Time> {
        match self.shown {
            Warmth::Warm => Some(self.seen_at + WARM_VALIDITY),
            Warmth::Down => Some(self.down_until),
            Warmth::Cold | Warmth::Closed => None,
        }
    }

    fn warmth(&self, now: Time) -> Warmth {
        if self.closed || self.listed_leaving || self.leaving == Some(self.incarnation) {
            return Warmth::Closed;
        }
        if now < self.down_until {
            return Warmth::Down;
        }
        let known = self.incarnation != 0 || self.warm_for.is_some();
        let warm =
            known && self.warm_for == Some(self.incarnation) && now < self.seen_at + WARM_VALIDITY;
        if warm { Warmth::Warm } else { Warmth::Cold }
    }

    fn observe(&mut self, now: Time, observation: &Observation) -> Option<News> {
        match observation {
            Observation::Answered(incarnation) => self.see(now, *incarnation),
            Observation::Overloaded(incarnation) => {
                self.see(now, *incarnation);
                self.turn_cold(now);
                Some(News::Cold)
            }
            Observation::Leaving(incarnation) => {
                self.see(now, *incarnation);
                let new = self.leaving != Some(self.incarnation);
                self.leaving = Some(self.incarnation);
                new.then_some(News::Leaving)
            }
            Observation::Unreachable => {
                let new = self.warm_for.is_some();
                self.turn_cold(now);
                self.down_until = now + DOWN_TIME;
                new.then_some(News::Cold)
            }
            Observation::Reported(load) => self.report(now, load),
        }
    }

    fn report(&mut self, now: Time, load: &Load) -> Option<News> {
        let older = self.load.as_ref().is_some_and(|l| l.sampled_at > load.sampled_at);
        if older {
            return None;
        }
        self.load = Some(load.clone());
        let seen = self.see(now, load.incarnation);
        let says_cold = load.cold && self.warm_for.is_some();
        if says_cold {
            self.turn_cold(now);
            return Some(News::Cold);
        }
        seen
    }

    /// Notes the incarnation that an answer came from.
    fn see(&mut self, now: Time, incarnation: Incarnation) -> Option<News> {
        self.seen_at = now;
        self.down_until = Time::ZERO;
        if incarnation == self.incarnation {
            return None;
        }
        let known = self.incarnation != 0;
        self.incarnation = incarnation;
        self.warm_for = None;
        if known {
            self.cold_at = Some(now);
        }
        known.then_some(News::Cold)
    }

    fn turn_cold(&mut self, now: Time) {
        self.warm_for = None;
        self.cold_at = Some(now);
    }

    /// Handles a peer's rumour; true if it is new to this daemon.
    fn receive(&mut self, now: Time, rumour: &Rumour) -> bool {
        match rumour.news {
            News::Leaving => {
                let new = self.leaving != Some(rumour.incarnation);
                self.leaving = Some(rumour.incarnation);
                self.incarnation =
                    if self.incarnation == 0 { rumour.incarnation } else { self.incarnation };
                new
            }
            News::Cold => {
                let new = self.warm_for.is_some();
                self.warm_for = None;
                self.distrust_until = now + PEER_DISTRUST;
                if rumour.incarnation != 0 {
                    self.incarnation = rumour.incarnation;
                }
                new
            }
            News::Warm => {
                // This daemon's own evidence of the contrary prevails until the owner's answer.
                let same = self.incarnation == 0 || self.incarnation == rumour.incarnation;
                let distrusted = self.cold_at.is_some() || now < self.distrust_until;
                let new = same && !distrusted && self.warm_for.is_none();
                if new {
                    self.incarnation = rumour.incarnation;
                    self.warm_for = Some(rumour.incarnation);
                    self.seen_at = now;
                }
                new
            }
        }
    }
}

/// Every upstream and KV cache store, and whether operators closed it.
fn closures(set: &Set) -> impl Iterator<Item = (Name, bool)> {
    let out = |zone: &Name| set.zones.get(zone).is_some_and(|z| z.state == AdminState::Out);
    let upstreams = set
        .upstreams
        .values()
        .map(move |u| (u.name.clone(), u.state == AdminState::Out || out(&u.zone)));
    let stores = set.stores.values().map(move |s| (s.name.clone(), out(&s.zone)));
    upstreams.chain(stores)
}
