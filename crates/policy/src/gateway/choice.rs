//! Selection of the upstream for a request.
//!
//! Each eligible upstream has a cost: the time until its first event, in seconds, as estimated from
//! this instance's own requests and the other instances' digests. The cheapest one is selected.
//! Parts that no engine holds yet go to the engine that all instances rank first by the same hash,
//! so that two instances send a new part to the same engine.
//!
//! In a large service only some upstreams are considered: those that hold the prompt's parts, the
//! one that all instances rank first, and a random sample.

use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha12Rng;

use super::access::{Access, Source, Variant};
use super::admission::{self, Admission};
use super::call::Prompt;
use super::configuration::{EngineSpec, Role, Service};
use super::gossip::Digests;
use super::inventory::READ_LIMIT;
use super::link::Links;
use super::machine::{Placement, Terms};
use super::member::{COLD_SPAN, Member};
use super::mesh::Detail;
use super::outdated::{start_end, weights_end};
use super::pace::{FIRST_TOKEN_S, Pace};
use super::plan::{Attempt, EngineRun, Fetch, Plan};
use super::roster::{MemberKey, Roster};
use super::save::Saves;
use super::view::{EXPIRY_LIMIT, View, WeightVersion};
use super::window::{ColdShare, distributed};
use crate::Time;

/// Cost of each request in an engine's batch, in seconds: the time that it adds to each step,
/// summed over the steps of a short answer.
const BATCH_STEP_S: f64 = 0.001;
/// Wait for one request already running at a plain upstream, in seconds; divided by its slots.
const PLAIN_REQUEST_S: f64 = 0.050;
/// Round trip to another availability zone, in seconds.
const ZONE_ROUND_TRIP_S: f64 = 0.002;
/// Cost of an upstream all of whose requests fail, in latency targets: more than any queue that is
/// worth waiting in.
const FAILURE_COST_TARGETS: f64 = 3.0;
/// Cost of an upstream whose entry has expired, in latency targets.
const EXPIRED_COST_TARGETS: f64 = 2.0;
/// Cost of older weights, in latency targets, from [`OLD_WEIGHTS_AGE`] on: an answer then loses a
/// fifth of its value to the caller, whereas a late answer loses four fifths.
const OLD_WEIGHTS_COST_TARGETS: f64 = 0.1;
/// Factor by which a prompt's wait in an engine's queue may exceed the estimate.
const WAIT_SAFETY_FACTOR: f64 = 2.0;
/// Time since the announcement of newer weights after which answers on older ones lose value.
const OLD_WEIGHTS_AGE: Duration = Duration::from_millis(1_200);
/// Number of running requests from which an engine's next request is delayed like earlier ones.
const BUSY_REQUESTS: f64 = 4.0;
/// Maximum random addition to a cost, in seconds, so that instances with equal estimates pick
/// different upstreams.
const JITTER_S: f64 = 0.004;
/// Maximum age of a view by which parts are saved: an older one may miss the loss of a store.
const SAVE_VIEW_MAX_AGE: Duration = Duration::from_millis(2_500);
/// Time without a response, in latency targets, after which another plain upstream is tried: only
/// the slowest hundredth of responses take longer, and a second response can still be in time.
const PLAIN_TIMEOUT_TARGETS: f64 = 0.6;
/// Time without an event, in latency targets, after which another engine is tried. Under load most
/// engines without a response are only busy, and a second prefill of the prompt adds to the load.
const STREAM_TIMEOUT_TARGETS: f64 = 2.0;
/// Minimum time without a response before another upstream is tried, as a factor on the expected
/// time.
const EXPECTED_TIME_FACTOR: f64 = 3.0;
/// Time between events after which a stream continues elsewhere, as a factor on the route's gap
/// target.
const GAP_TARGET_FACTOR: f64 = 1.7;
/// Time after which an upstream that is unavailable for an unknown time is considered again.
pub const RECHECK_INTERVAL: Duration = Duration::from_millis(25);
/// Time after which an upstream is considered again of whose rate limit this instance has no share.
const NO_SHARE_PAUSE: Duration = Duration::from_secs(1);
/// Size of a service up to which all upstreams are considered: twice the sample size, below which
/// sampling costs more than it saves.
const SCAN_LIMIT: usize = 64;
/// Random upstreams of a larger service that are considered besides those that hold the prompt's
/// parts: the best of this many is on average among the best thirtieth of all.
const SAMPLE_SIZE: usize = 32;

/// Result of a choice.
pub enum Candidate {
    /// The best upstream.
    Best(Box<Attempt>),
    /// No engine could begin the prompt in time; room is expected after this time.
    Full(Duration),
    /// None now; one may be eligible at the given time.
    Later(Time),
    /// No upstream is eligible.
    None,
}

/// The inputs of one choice.
pub struct Chooser<'a> {
    /// The current time.
    pub now: Time,
    /// The deployment's limits.
    pub terms: &'a Terms,
    /// The contents of the metadata store.
    pub view: &'a View,
    /// When this instance received its first view.
    pub started: Time,
    /// The request.
    pub plan: &'a Plan,
    /// The known upstreams.
    pub roster: &'a mut Roster,
    /// The other instances' load.
    pub digests: &'a Digests,
    /// Parts that are being saved to stores.
    pub saves: &'a Saves,
    /// Speed of the service's engines.
    pub pace: Pace,
    /// Delays of the stores.
    pub links: &'a Links,
    /// When the view's inventories were last known to be current.
    pub inventories_as_of: Time,
    /// Source of jitter and samples.
    pub rng: &'a mut ChaCha12Rng,
    /// Whether the request may crash the engine, so that the one with the fewest requests is best.
    pub is_trial: bool,
    /// The prompt on each version of the weights considered so far.
    pub variants: Vec<Variant<'a>>,
}

/// An eligible upstream.
struct Offer {
    key: MemberKey,
    /// Its cost in seconds; the cheapest offer is selected.
    cost: f64,
    /// Expected time to the first event, in seconds; for engines, without the queue.
    expected: f64,
    /// Expected time in an engine's queue, in seconds.
    wait: f64,
    /// The part of that time that follows from its load.
    load_wait: f64,
    /// If the request would be refused rather than wait for so long: when room is expected.
    turned_away: Option<Duration>,
    /// How an engine would obtain the prompt's parts.
    access: Option<Access>,
}

impl Offer {
    /// An offer that can be in time comes first, then the cheaper one.
    fn is_better_than(&self, other: &Self) -> bool {
        (self.turned_away.is_some(), self.cost) < (other.turned_away.is_some(), other.cost)
    }
}

/// When an upstream may take the request.
enum Eligibility {
    Now { expired: bool },
    At(Time),
    Never,
}

impl Chooser<'_> {
    /// Picks the cheapest upstream.
    pub fn choose(mut self) -> Candidate {
        let configuration = &self.view.configuration;
        let Some(service) = configuration.services.get(&self.plan.service) else {
            return Candidate::None;
        };
        let primary = self.primary();
        if self.roster.of_service(&self.plan.service).len() > SCAN_LIMIT {
            let sampled = self.sample(primary);
            if let Candidate::Best(attempt) = self.cheapest(service, &sampled, primary) {
                return Candidate::Best(attempt);
            }
        }
        let all = self.roster.of_service(&self.plan.service).to_vec();
        self.cheapest(service, &all, primary)
    }

    /// The upstreams of a large service that are considered first.
    fn sample(&mut self, primary: Option<MemberKey>) -> Vec<MemberKey> {
        let mut sampled = self.roster.sample(&self.plan.service, SAMPLE_SIZE, self.rng);
        sampled.extend(primary);
        if let Some(prompt) = &self.plan.prompt {
            let newest = self.view.weights.get(&prompt.model);
            for (version, _) in newest.into_iter().flat_map(|weights| weights.iter().rev().take(2))
            {
                let variant = self.variant(version, prompt);
                sampled.extend(self.variants[variant].holders.iter().map(|(key, _)| *key));
            }
        }
        sampled
    }

    /// The cheapest of some upstreams.
    fn cheapest(
        &mut self,
        service: &Service,
        keys: &[MemberKey],
        primary: Option<MemberKey>,
    ) -> Candidate {
        let mut best: Option<Offer> = None;
        let mut later: Option<Time> = None;
        for key in keys {
            match self.eligibility(service, *key) {
                Eligibility::Never => {}
                Eligibility::At(at) => later = Some(later.map_or(at, |other| other.min(at))),
                Eligibility::Now { expired } => {
                    let Some(offer) = self.cost(service, *key, expired, primary == Some(*key))
                    else {
                        continue;
                    };
                    if best.as_ref().is_none_or(|best| offer.is_better_than(best)) {
                        best = Some(offer);
                    }
                }
            }
        }
        match (best, later) {
            (Some(Offer { turned_away: Some(after), .. }), _) => Candidate::Full(after),
            (Some(offer), _) => Candidate::Best(Box::new(self.attempt(&offer))),
            (None, Some(at)) => Candidate::Later(at),
            (None, None) => Candidate::None,
        }
    }

    /// When an upstream may take the request, apart from the weights that it has.
    fn eligibility(&mut self, service: &Service, key: MemberKey) -> Eligibility {
        let (now, plan, view) = (self.now, self.plan, self.view);
        let member = &mut self.roster[key];
        let status = member.status;
        if member.is_leaving() || status.evacuated || plan.is_taken(&member.server.id) {
            return Eligibility::Never;
        }
        if !plan.accepts_software(&member.server) {
            return Eligibility::Never;
        }
        if status.loading || now < member.available_at() {
            return Eligibility::At(member.available_at().max(now + RECHECK_INTERVAL));
        }
        match connection_share(service, member, view) {
            0 => return Eligibility::Never,
            share if member.own_load.running >= share => {
                return Eligibility::At(now + RECHECK_INTERVAL);
            }
            _ => {}
        }
        if let (Some(rate), true) = (service.cold_rate, member.is_cold(now)) {
            // The previous incarnation of this instance may just have used up its share.
            let from = self.started + COLD_SPAN;
            if now < from {
                return Eligibility::At(from);
            }
            let requests = match ColdShare::new(rate, self.terms.cold, view.instances) {
                ColdShare::Each(requests) => requests,
                ColdShare::First { instances, requests } if member.rank(view) < instances => {
                    requests
                }
                ColdShare::First { .. } => return Eligibility::Never,
            };
            match member.cold_slot(now, requests) {
                Some(at) if at <= now => {}
                Some(at) => return Eligibility::At(at),
                None => return Eligibility::Never,
            }
        }
        let at = self.stated_slot(service, key);
        if at > now {
            return Eligibility::At(at);
        }
        match status.expired {
            Some(returned) if now >= returned + EXPIRY_LIMIT => Eligibility::Never,
            expired => Eligibility::Now { expired: expired.is_some() },
        }
    }

    /// When an upstream may take the request by the limits that it states.
    fn stated_slot(&mut self, service: &Service, key: MemberKey) -> Time {
        let (now, view) = (self.now, self.view);
        let member = &mut self.roster[key];
        if let Some(rate) = member.standing.limit.in_force(now) {
            let at = member.limited_slot(now, rate, view).unwrap_or(now + NO_SHARE_PAUSE);
            if at > now {
                return at;
            }
        }
        let tolerance = self.roster.tolerance(now, key);
        tolerance.map_or(now, |tolerance| self.brittle_slot(service, key, tolerance))
    }

    /// The cost of an upstream by the configured placement; none if its weights can't be used.
    fn cost(
        &mut self,
        service: &Service,
        key: MemberKey,
        expired: bool,
        is_primary: bool,
    ) -> Option<Offer> {
        let offer = self.full_cost(service, key, expired, is_primary)?;
        let access = offer.access.as_ref().map_or(0.0, |access| access.cost);
        let cost = match self.terms.placement {
            _ if self.is_trial => {
                let member = &self.roster[key];
                let load = member.own_load.plus(self.digests.load(member.key));
                f64::from(load.running) + offer.cost.min(1.0)
            }
            Placement::LoadAndCache => offer.cost,
            Placement::LeastLoaded => offer.cost - access,
            Placement::Random => self.rng.random(),
        };
        Some(Offer { cost, ..offer })
    }

    /// The cost by [`Placement::LoadAndCache`], which includes all terms.
    fn full_cost(
        &mut self,
        service: &Service,
        key: MemberKey,
        expired: bool,
        is_primary: bool,
    ) -> Option<Offer> {
        let latency_target = self.plan.route.latency_target.as_secs_f64();
        let member = &self.roster[key];
        let load = member.own_load.plus(self.digests.load(member.key));
        let delay = member.delay(self.now);
        let mut cost = self.rng.random::<f64>() * JITTER_S;
        cost += member.failure_share(self.now) * FAILURE_COST_TARGETS * latency_target;
        cost += if expired { EXPIRED_COST_TARGETS * latency_target } else { 0.0 };
        cost += if member.server.zone == self.terms.zone { 0.0 } else { ZONE_ROUND_TRIP_S };
        let (Role::Engine(spec), Some(prompt)) = (&service.role, &self.plan.prompt) else {
            let slots = f64::from(member.server.slots.max(1));
            cost += delay + PLAIN_REQUEST_S * f64::from(load.running) / slots;
            let expected = latency_target / 2.0 + delay;
            let (wait, turned_away) = (0.0, None);
            let load_wait = 0.0;
            return Some(Offer { key, cost, expected, wait, load_wait, turned_away, access: None });
        };
        // The fewer requests run there, the less the delay of earlier ones says about the next.
        let busy = (f64::from(load.running) / BUSY_REQUESTS).min(1.0);
        let load_wait = self.pace.wait(load, prompt, spec);
        let wait = (delay * busy).max(load_wait);
        let (weights, stale) = self.weights(member, prompt, wait.max(member.lateness(self.now)))?;
        cost += if stale { OLD_WEIGHTS_COST_TARGETS * latency_target } else { 0.0 };
        cost += BATCH_STEP_S * f64::from(load.running);
        cost += wait;
        let variant = self.variant(weights, prompt);
        let access = self.access(key, variant, spec, is_primary);
        let expected = FIRST_TOKEN_S + access.time;
        if self.begins_too_late(prompt, weights, wait + expected) {
            return None;
        }
        let (cost, access) = (cost + access.cost, Some(access));
        let turned_away = self.turned_away(prompt, spec, wait, expected);
        Some(Offer { key, cost, expected, wait, load_wait, turned_away, access })
    }

    /// When room is expected, if a prompt is refused rather than wait at an engine.
    fn turned_away(
        &self,
        prompt: &Prompt,
        spec: &EngineSpec,
        wait: f64,
        expected: f64,
    ) -> Option<Duration> {
        let is_limited = self.terms.placement == Placement::LoadAndCache
            && !admission::is_negligible(prompt, spec);
        let (wait, expected) = (Duration::from_secs_f64(wait), Duration::from_secs_f64(expected));
        match admission::decide(self.now, self.plan, wait, expected) {
            Admission::Refuse(after) if is_limited => Some(after),
            _ => None,
        }
    }

    /// The weights last known of an engine, and whether answers on them have lost value; none if a
    /// prompt that waits for `wait` seconds may no longer begin on them.
    fn weights(
        &self,
        member: &Member,
        prompt: &Prompt,
        wait: f64,
    ) -> Option<(WeightVersion, bool)> {
        let known = member.weights(&prompt.model)?;
        let wanted = self.view.weights.get(&prompt.model);
        let Some(outdated_since) = wanted.and_then(|wanted| wanted.outdated_since(known)) else {
            return Some((known, false));
        };
        let begins = self.now + Duration::from_secs_f64(wait * WAIT_SAFETY_FACTOR);
        if begins >= weights_end(outdated_since, self.terms) {
            return None;
        }
        Some((known, self.now >= outdated_since + OLD_WEIGHTS_AGE))
    }

    /// Whether a prompt that begins after `seconds` would be given up before, as newer weights replace
    /// those of the engine.
    fn begins_too_late(&self, prompt: &Prompt, weights: WeightVersion, seconds: f64) -> bool {
        let newest = self.view.weights.get(&prompt.model);
        let outdated_since = newest.and_then(|newest| newest.outdated_since(weights));
        let begins = self.now + Duration::from_secs_f64(seconds);
        outdated_since.is_some_and(|since| begins >= start_end(since, self.terms))
    }

    /// The store that the engine saves each of the prompt's shared parts to. Parts on older weights
    /// are not saved, as they would take the space of parts on the newest ones; nor are those of a
    /// prompt that the other instances are not told of, as they must know of each order.
    fn save_targets(&self, prompt: &Prompt, variant: &Variant<'_>) -> Vec<Option<SocketAddr>> {
        let parts = &variant.parts;
        let newest = self.view.weights.get(&prompt.model);
        let is_old = newest.is_some_and(|newest| newest.outdated_since(variant.weights).is_some());
        let is_fresh = self.now < self.inventories_as_of + SAVE_VIEW_MAX_AGE;
        let is_told = Detail::of(&self.view.peers).includes(parts);
        if !is_fresh || is_old || !is_told {
            return Vec::new();
        }
        let shared = &parts[..prompt.shared().len().min(parts.len())];
        let mut targets = self.saves.targets(self.now, shared, &self.view.stores);
        if targets.iter().all(Option::is_none) {
            return Vec::new();
        }
        targets.resize(parts.len(), None);
        targets
    }

    /// The engine that all instances rank first for the prompt's longest shared part.
    fn primary(&self) -> Option<MemberKey> {
        let part = self.plan.prompt.as_ref()?.longest_shared()?;
        self.roster.primary(&self.plan.service, &part.id, |member| {
            let is_open = !member.is_leaving() && !member.status.evacuated;
            is_open
                && !member.is_limited(self.now)
                && self.plan.canary.side.accepts(&member.server.software)
        })
    }

    /// Instructions to the selected engine for the prompt.
    fn run(&self, key: MemberKey, prompt: &Prompt, access: &Access) -> EngineRun {
        let variant = &self.variants[access.variant];
        let Variant { weights, salt, parts, .. } = variant;
        let fetch = match access.source {
            Source::Nowhere => Fetch::None,
            Source::Engine(source) => Fetch::Engine(self.roster[source].server.address),
            Source::Stores => {
                let mut sources = vec![None; parts.len()];
                self.stored(key, access.variant, |index, _, store| {
                    sources[index] = Some(store.address);
                });
                let until = self.view.server_time(self.inventories_as_of + READ_LIMIT);
                until.map_or(Fetch::None, |until| Fetch::Stores { sources, until })
            }
        };
        EngineRun {
            model: prompt.model.clone(),
            weights: *weights,
            salt: salt.clone(),
            fetch,
            save: self.save_targets(prompt, variant),
            priority: self.plan.priority(),
        }
    }

    /// The attempt at the selected upstream.
    fn attempt(&self, offer: &Offer) -> Attempt {
        let member = &self.roster[offer.key];
        let route = &self.plan.route;
        let runs_left = route.attempts.saturating_sub(self.plan.runs + 1);
        let is_last = !route.repeat.is_repeatable() || runs_left == 0;
        let targets =
            if route.repeat.is_stream() { STREAM_TIMEOUT_TARGETS } else { PLAIN_TIMEOUT_TARGETS };
        let seconds = (route.latency_target.as_secs_f64() * targets)
            .max((offer.expected + member.delay(self.now)) * EXPECTED_TIME_FACTOR);
        let response_timeout = (!is_last).then(|| Duration::from_secs_f64(seconds));
        let event_timeout =
            route.gap_target.filter(|_| !is_last).map(|gap| gap.mul_f64(GAP_TARGET_FACTOR));
        let engine = self.plan.prompt.as_ref().zip(offer.access.as_ref());
        Attempt {
            server: member.server.clone(),
            engine: engine.map(|(prompt, access)| self.run(offer.key, prompt, access)),
            response_timeout,
            event_timeout,
            expected: Duration::from_secs_f64(offer.expected),
            wait: Duration::from_secs_f64(offer.wait),
            foreseen: Duration::from_secs_f64(offer.expected + offer.load_wait),
            prefill_tokens: offer.access.as_ref().map_or(0, |access| access.prefill_tokens.into()),
            sent: self.now,
            began: None,
            cold: member.is_cold(self.now),
        }
    }
}

/// Maximum number of connections from this instance to one upstream. If there are fewer connections
/// than instances, only the first instances get one, by a rank that is equal on all of them.
fn connection_share(service: &Service, member: &mut Member, view: &View) -> u32 {
    let Some(all) = service.connections else { return u32::MAX };
    match all / view.instances.max(1) {
        0 => u32::from(member.rank(view) < distributed(f64::from(all))),
        share => share,
    }
}
