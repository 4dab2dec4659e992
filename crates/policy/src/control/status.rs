//! What is known of each upstream and store.
//!
//! Warmth is evidence with an age. A new process life, a broken connection, an overload, silence or
//! nothing known at all mean cold. Only the owner of an upstream's permits calls it warm; others
//! believe it for the process life that they saw themselves.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use acacia_catalog::Set;
use acacia_catalog::id::{Incarnation, Name, UpstreamId};
use acacia_catalog::object::Duty;

use super::{Instance, Mutation, Observation};
use crate::Time;
use crate::message::{News, Rumour};
use crate::snapshot::{Load, Standing, Warmth};

/// Age after which the evidence that an upstream is warm is worth nothing.
const WARM_VALIDITY: Duration = Duration::from_secs(30);
/// How long an upstream that didn't answer gets no work at all.
const DOWN_TIME: Duration = Duration::from_secs(1);
/// How long after news of the contrary a peer's word isn't enough.
const PEER_DISTRUST: Duration = Duration::from_secs(5);
/// Hops of a rumour.
const RUMOUR_HOPS: u8 = 4;

/// What is known of one upstream or store.
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

/// What is known of all of them.
#[derive(Default)]
pub(super) struct Statuses {
    statuses: BTreeMap<Name, Status>,
    rumours: Vec<Rumour>,
    changed: BTreeSet<Name>,
    /// When the evidence of a name may be too old.
    expiries: BTreeSet<(Time, Name)>,
    mutation: Option<Mutation>,
}

impl Statuses {
    pub fn new(mutation: Option<Mutation>) -> Self {
        Self { mutation, ..Self::default() }
    }

    /// Takes up a new configuration.
    pub fn configure(&mut self, now: Time, set: &Set) {
        let known = |name: &Name| set.upstreams.contains_key(name) || set.stores.contains_key(name);
        self.statuses.retain(|name, _| known(name));
        for (name, closed) in closures(set) {
            let status = self.statuses.entry(name.clone()).or_default();
            status.closed = closed && self.mutation != Some(Mutation::IgnoreClosed);
            self.refresh(now, &name);
        }
    }

    /// Takes what an instance showed of itself; true when it turned cold by it.
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

    /// Takes a peer's news; true when it is new here and says cold.
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

    /// The owner says that an upstream is warm.
    ///
    /// False when another process life was seen here since.
    pub fn warm(
        &mut self,
        now: Time,
        name: &UpstreamId,
        incarnation: Incarnation,
        tell: bool,
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
        if tell {
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

    /// Takes the live list.
    pub fn list(&mut self, now: Time, instances: &[Instance]) {
        for instance in instances {
            let Some(status) = self.statuses.get_mut(&instance.name) else { continue };
            status.listed_leaving = instance.leaving;
            self.refresh(now, &instance.name);
        }
    }

    /// Lets evidence grow old.
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

    /// When an upstream was last seen cold by this daemon itself.
    pub fn cold_at(&self, name: &Name) -> Option<Time> {
        self.statuses.get(name)?.cold_at
    }

    /// The process life last seen.
    pub fn incarnation(&self, name: &Name) -> Incarnation {
        self.statuses.get(name).map_or(0, |r| r.incarnation)
    }

    /// News since the last call.
    pub fn take_rumours(&mut self) -> Vec<Rumour> {
        std::mem::take(&mut self.rumours)
    }

    /// Names whose warmth changed since the last call.
    pub fn take_changed(&mut self) -> BTreeSet<Name> {
        std::mem::take(&mut self.changed)
    }

    /// All of a kind, for a snapshot.
    pub fn view<'a>(&self, names: impl Iterator<Item = &'a Name>) -> BTreeMap<Name, Standing> {
        names.map(|name| (name.clone(), self.standing(name))).collect()
    }

    /// What is known of one.
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
    /// Updates the warmth and the process life shown; true when either changed.
    fn refresh(&mut self, now: Time) -> bool {
        let warmth = self.warmth(now);
        let changed = warmth != self.shown || self.incarnation != self.shown_incarnation;
        self.shown = warmth;
        self.shown_incarnation = self.incarnation;
        changed
    }

    /// When what is shown may change without any news.
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

    /// Notes the process life that an answer came from.
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

    /// Takes a peer's news; true when it is new here.
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
                // Own evidence of the contrary is stronger; the owner's answer settles it.
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

/// Every upstream and store, and whether operators closed it.
fn closures(set: &Set) -> impl Iterator<Item = (Name, bool)> {
    let out = |zone: &Name| set.zones.get(zone).is_some_and(|z| z.state == Duty::Out);
    let upstreams =
        set.upstreams.values().map(move |u| (u.name.clone(), u.state == Duty::Out || out(&u.zone)));
    let stores = set.stores.values().map(move |s| (s.name.clone(), out(&s.zone)));
    upstreams.chain(stores)
}
