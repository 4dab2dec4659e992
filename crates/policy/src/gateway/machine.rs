//! The state machine that takes requests from admission to their answer.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha12Rng;
use rustc_hash::FxHashMap;
use strum::{Display, EnumString};

use super::brittle;
use super::call::{Call, Prompt};
use super::canary::{self, Canaries};
use super::choice::{Candidate, Chooser};
use super::configuration::{Repeat, Role, Route, ServiceName, ZoneName};
use super::confirmation::Confirmed;
use super::evidence::held;
use super::forward::Helpers;
use super::gossip::{Digests, Incarnation, Load, Prefill, ServerKey, part_keys};
use super::limit;
use super::link::{Blame, Links};
use super::member::Member;
use super::notice::{Departure, Notice};
use super::pace::{Mean, Pace};
use super::plan::{Attempt, Ending, Plan, Reason, Refusal, Step};
use super::preview::Permit;
use super::quarantine::{Gate, Quarantine, Subjects};
use super::reach::{self, Reach};
use super::roster::Roster;
use super::save::{Saves, store_key};
use super::software::{Streams, stream_key};
use super::view::{Server, View, Weights};
use super::window::{ColdTerms, RetryBudget, RetryTerms};
use crate::{Time, Verdict};

/// Minimum retry delay sent to a refused caller; most pauses of upstreams are shorter.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(250);
/// The retry delay is at most the time left divided by this; the platform's callers honour delays
/// of up to a third of it.
const RETRY_AFTER_DIVISOR: u32 = 4;
/// A request waits for a free upstream for at most its latency target divided by this. A refusal
/// within an eighth of the target costs a caller no more time than its own retry would.
const WAIT_DIVISOR: u32 = 4;
/// A plain upstream's answer is expected within the latency target divided by this; any time beyond
/// counts as delay.
const PLAIN_EXPECTED_DIVISOR: u32 = 2;

/// Expected wait in an engine's queue up to which the time to the first token measures the prefill.
const SHORT_WAIT: Duration = Duration::from_millis(20);

/// The deployment's limits.
#[derive(Clone, Debug, PartialEq)]
pub struct Terms {
    /// The availability zone of this instance.
    pub zone: ZoneName,
    /// Limit on repeats.
    pub retries: RetryTerms,
    /// Limit on requests to cold upstreams.
    pub cold: ColdTerms,
    /// Time since the announcement of newer weights for which engines may start requests on older
    /// ones.
    pub weights_limit: Duration,
    /// Time without the metadata store from which no request is denied by the configuration.
    pub stale_after: Duration,
    /// What the choice of an engine takes into account.
    pub placement: Placement,
    /// Whether callers contend for the upstreams' capacity.
    pub under_pressure: bool,
    /// Bounds on the requests to a bad software version.
    pub canary: canary::Terms,
}

/// What the choice of an engine takes into account; all but the first variant are baselines for
/// comparison.
#[derive(Clone, Copy, Debug, Default, Display, EnumString, Eq, PartialEq)]
#[strum(serialize_all = "kebab-case")]
pub enum Placement {
    /// Load, and where the prompt's parts are cached.
    #[default]
    #[strum(serialize = "ours")]
    LoadAndCache,
    /// Only load.
    LeastLoaded,
    /// Nothing; the choice is random.
    Random,
}

/// Decides on all requests of one instance.
pub struct Gateway {
    pub(super) terms: Terms,
    pub(super) view: Option<Arc<View>>,
    /// When it received its first view.
    pub(super) started: Option<Time>,
    pub(super) roster: Roster,
    budgets: FxHashMap<ServiceName, RetryBudget>,
    paces: FxHashMap<ServiceName, Pace>,
    /// Time for which prompts of a route occupy an engine.
    residences: FxHashMap<String, Mean>,
    pub(super) rng: ChaCha12Rng,
    pub(super) digests: Digests,
    pub(super) incarnation: Incarnation,
    pub(super) sequence: u64,
    pub(super) sent_loads: BTreeMap<ServerKey, Load>,
    pub(super) prefills: Vec<Prefill>,
    /// Upstreams that told this instance that they are leaving, and of which the others were not
    /// informed yet.
    pub(super) departures: Vec<Departure>,
    /// Changes of rate limits that were not logged yet.
    pub(super) limit_changes: Vec<limit::Change>,
    /// Rate limits that upstreams stated to this instance, and of which the others were not informed
    /// yet.
    pub(super) limit_reports: Vec<limit::Report>,
    /// News of brittle upstreams.
    pub(super) brittle: brittle::Outbox,
    pub(super) saves: Saves,
    /// The KV cache stores of the view.
    pub(super) stores: FxHashMap<ServerKey, SocketAddr>,
    links: Links,
    pub(super) confirmed: Confirmed,
    pub(super) quarantine: Quarantine,
    /// Software versions of streams.
    pub(super) streams: Streams,
    /// Orders to move traffic to new software versions.
    pub(super) canaries: Canaries,
    /// Paths to upstreams.
    pub(super) reach: Reach,
    /// Other instances that requests may be passed on to.
    pub(super) helpers: Helpers,
    /// Changes of paths that were not logged yet.
    pub(super) path_changes: Vec<reach::Change>,
}

impl Gateway {
    /// A gateway without a view; `seed` determines its random choices.
    pub fn new(terms: Terms, seed: u64) -> Self {
        let mut rng = ChaCha12Rng::seed_from_u64(seed);
        Self {
            terms,
            view: None,
            started: None,
            roster: Roster::default(),
            budgets: FxHashMap::default(),
            paces: FxHashMap::default(),
            residences: FxHashMap::default(),
            digests: Digests::default(),
            incarnation: rng.random(),
            sequence: 0,
            sent_loads: BTreeMap::new(),
            prefills: Vec::new(),
            departures: Vec::new(),
            limit_changes: Vec::new(),
            limit_reports: Vec::new(),
            brittle: brittle::Outbox::default(),
            saves: Saves::default(),
            stores: FxHashMap::default(),
            links: Links::default(),
            confirmed: Confirmed::default(),
            quarantine: Quarantine::default(),
            streams: Streams::default(),
            canaries: Canaries::default(),
            reach: Reach::default(),
            helpers: Helpers::default(),
            path_changes: Vec::new(),
            rng,
        }
    }

    /// The deployment's limits.
    pub fn terms(&self) -> &Terms {
        &self.terms
    }

    /// Replaces the deployment's limits.
    pub fn set_terms(&mut self, terms: Terms) {
        self.terms = terms;
    }

    /// Replaces the view by a newer one.
    pub fn observe(&mut self, now: Time, view: Arc<View>) {
        self.started.get_or_insert(now);
        self.roster.observe(now, &view);
        self.probe_new_upstreams(&view);
        self.streams.observe(now, &view);
        self.observe_orders(now, &view);
        self.links.retain(|address| view.stores.iter().any(|store| store.address == address));
        let stores = view.stores.iter().map(|store| store.address);
        self.stores = stores.map(|address| (store_key(address), address)).collect();
        self.view = Some(view);
    }

    /// The latest view.
    pub fn view(&self) -> Option<&Arc<View>> {
        self.view.as_ref()
    }

    /// The state of an upstream.
    pub fn member(&self, id: &str) -> Option<&Member> {
        self.roster.get(id)
    }

    /// Finds the request's route, service and organisation.
    ///
    /// # Errors
    /// If the gateway has no view, no route matches, no organisation has the key, the route has no
    /// service, or the request takes up a stream whose software version is unknown.
    pub fn admit(&mut self, now: Time, call: Call) -> Result<Plan, Refusal> {
        self.admit_for(now, call, None)
    }

    /// As [`Self::admit`]; `forwarded` is the service of a request that another instance passed on.
    ///
    /// # Errors
    /// As [`Self::admit`].
    pub fn admit_for(
        &mut self,
        now: Time,
        call: Call,
        forwarded: Option<&str>,
    ) -> Result<Plan, Refusal> {
        let Permit { route, organisation, version } = self.permit(now, &call)?;
        let service = self.select_service(&route, forwarded)?;
        let name = organisation.as_ref().map(|organisation| &*organisation.name);
        let origin = call.resumption.as_ref().and_then(|resumption| resumption.origin.as_ref());
        let stream = stream_key(name, origin.unwrap_or(&call.id));
        let software = self.required_software(now, &service, route.repeat, &call, stream)?;
        let limit = call.timeout.map_or(route.timeout, |timeout| timeout.min(route.timeout));
        // The instance that received the request has counted it.
        if forwarded.is_none() {
            self.budget(now, &service).record_first(now);
        }
        let subjects = Subjects::new(name.or(call.key.as_deref()), &call);
        Ok(Plan {
            id: call.id,
            service,
            organisation,
            prompt: call.prompt,
            resumption: call.resumption,
            stream,
            software,
            canary: canary::Seat::default(),
            subjects,
            version,
            arrived: now,
            waited: route.timeout.saturating_sub(limit),
            deadline: now + limit,
            tried: Vec::new(),
            in_progress: Vec::new(),
            runs: 0,
            crashed: false,
            sends: 0,
            verdict: Verdict::NotRun,
            is_forwarded: forwarded.is_some(),
            peers: Vec::new(),
            is_path_trial: false,
            route,
        })
    }

    /// The service of a request: the one that another instance selected, or one by the route's split.
    fn select_service(
        &mut self,
        route: &Route,
        forwarded: Option<&str>,
    ) -> Result<ServiceName, Refusal> {
        let point = self.rng.random::<f64>();
        let selected = forwarded.and_then(|name| route.split.iter().find(|(s, _)| **s == *name));
        let service = selected.map(|(service, _)| service).or_else(|| route.service(point));
        service.cloned().ok_or(not_run(Reason::NoUpstream))
    }

    /// Decides where a request goes next.
    pub fn next(&mut self, now: Time, plan: &mut Plan) -> Step {
        let Some(view) = self.view.clone() else { return Step::Refuse(not_run(Reason::NotReady)) };
        self.digests.expire(now);
        if now >= plan.deadline {
            return self.refuse(now, plan, Reason::Expired, None);
        }
        if !plan.may_run_again() {
            return self.refuse(now, plan, Reason::Broken, None);
        }
        if let Some(step) = self.crash_step(now, plan) {
            return step;
        }
        if let Some(step) = self.path_step(now, plan) {
            return step;
        }
        let is_trial = match self.quarantine.gate(now, &plan.subjects) {
            Gate::Open => false,
            Gate::Trial => true,
            Gate::Claimed(at) => return Step::Wait(at),
            Gate::Busy { at, .. } if at < plan.arrived + wait_limit(&plan.route) => {
                return Step::Wait(at);
            }
            Gate::Busy { cause, until, .. } | Gate::Held { cause, until } => {
                return self.refuse(now, plan, held(cause), Some(until));
            }
        };
        match self.choose(now, &view, plan, is_trial) {
            Candidate::Best(attempt) => self.send(now, plan, *attempt),
            Candidate::Full(after) => self.refuse(now, plan, Reason::QueueFull, Some(now + after)),
            Candidate::Later(at) => match self.pass_to_slot(now, plan) {
                Some(step) => step,
                None if at < plan.arrived + wait_limit(&plan.route) => Step::Wait(at),
                None => self.refuse(now, plan, Reason::Overloaded, Some(at)),
            },
            Candidate::None => self.refuse(now, plan, Reason::NoUpstream, None),
        }
    }

    /// Selects the upstream among the versions that the orders leave.
    fn choose(&mut self, now: Time, view: &View, plan: &mut Plan, is_trial: bool) -> Candidate {
        let split = self.draw_side(now, plan);
        let candidate = Chooser { is_trial, ..self.chooser(now, view, plan) }.choose();
        match (split, candidate) {
            (_, Candidate::Best(attempt)) => Candidate::Best(attempt),
            (Some(split), _) if Self::falls_back(plan, &split) => {
                plan.canary.side = split.old_side();
                Chooser { is_trial, ..self.chooser(now, view, plan) }.choose()
            }
            (_, candidate) => candidate,
        }
    }

    fn chooser<'a>(&'a mut self, now: Time, view: &'a View, plan: &'a Plan) -> Chooser<'a> {
        Chooser {
            now,
            terms: &self.terms,
            view,
            started: self.started.unwrap_or(now),
            plan,
            roster: &mut self.roster,
            digests: &self.digests,
            saves: &self.saves,
            links: &self.links,
            inventories_as_of: self.confirmed.as_of(view),
            pace: self.paces.get(&plan.service).copied().unwrap_or_default(),
            rng: &mut self.rng,
            is_trial: false,
            variants: Vec::new(),
        }
    }

    /// Records an attempt that is sent; refuses the request if the retry budget is exhausted.
    fn send(&mut self, now: Time, plan: &mut Plan, attempt: Attempt) -> Step {
        if plan.sends > 0 && !self.take_repeat(now, &plan.service) {
            return self.refuse(now, plan, Reason::RetryBudget, None);
        }
        plan.sends += 1;
        self.mark_target(plan, &attempt);
        plan.in_progress.push(attempt.server.id.clone());
        self.quarantine.sent(now, &plan.subjects);
        if let Some(member) = self.roster.get_mut(&attempt.server.id) {
            member.sent(now);
            let target = plan.route.latency_target;
            self.reach.sent(now, &plan.service, member.key, target);
            member.room.sent(now, member.own_load.running);
            let memory_tokens = plan.prompt.as_ref().map_or(0, Prompt::memory_tokens);
            let prefill_tokens = attempt.prefill_tokens;
            member.own_load =
                member.own_load.plus(Load { running: 1, prefill_tokens, memory_tokens });
            if let (Some(prompt), Some(run)) = (&plan.prompt, &attempt.engine) {
                let residence =
                    self.residences.get(&*plan.route.name).copied().unwrap_or_default().seconds();
                let prefill = Prefill {
                    server: member.key,
                    parts: part_keys(prompt, &run.salt),
                    residence_ms: (residence * 1_000.0) as u32,
                };
                self.saves.begin(now, plan.deadline, &prefill.parts, &run.save);
                self.record_prefill(now, &prefill);
                self.prefills.push(prefill);
            }
        }
        Step::Send(Box::new(attempt))
    }

    /// Takes a repeat from this instance's share of the retry budget, if one is left.
    pub(super) fn take_repeat(&mut self, now: Time, service: &ServiceName) -> bool {
        let instances = self.view.as_ref().map_or(1, |view| view.instances);
        let terms = self.terms.retries;
        self.budget(now, service).take(now, terms, instances)
    }

    fn budget(&mut self, now: Time, service: &ServiceName) -> &mut RetryBudget {
        let (terms, started) = (self.terms.retries, self.started.unwrap_or(now));
        let budget = self.budgets.entry(service.clone());
        budget.or_insert_with(|| RetryBudget::new(terms, started))
    }

    /// Records the parts that an engine holds after a prompt that this or another instance sent it.
    pub(super) fn record_prefill(&mut self, now: Time, prefill: &Prefill) {
        let Some(key) = self.roster.by_server_key(prefill.server) else { return };
        let member = &self.roster[key];
        let memory = engine_memory(self.view.as_deref(), &member.server.service);
        let load = member.own_load.plus(self.digests.load(member.key));
        let free = memory.saturating_sub(load.memory_tokens);
        let residence = Duration::from_millis(prefill.residence_ms.into());
        self.roster.record_prefill(now, key, &prefill.parts, residence, free);
    }

    /// Records that an attempt's orders to save parts are no longer outstanding.
    fn finish_saves(&mut self, plan: &Plan, attempt: &Attempt) {
        if let (Some(prompt), Some(run), None) = (&plan.prompt, &attempt.engine, attempt.began)
            && !run.save.is_empty()
        {
            self.saves.finish(&part_keys(prompt, &run.salt), &run.save);
        }
    }

    /// Records what an upstream stated about itself in the head of the answer to a request of
    /// `sent`. `server` is its entry when the request was sent; a newer incarnation at the same id
    /// is another upstream.
    pub fn heard(&mut self, now: Time, sent: Time, server: &Arc<Server>, notice: Notice) {
        let news = self.roster.hear(now, sent, server, notice);
        if news.is_leaving {
            self.departures.push(Departure::of(server));
        }
        if news.is_limit_changed {
            self.limit_changes.extend(self.roster.limit_change(now, &server.id));
            let member = self.roster.get(&server.id);
            let report = member.and_then(|member| member.standing.limit.report(now, server));
            self.limit_reports.extend(report);
        }
        if news.is_tolerance_changed {
            self.tolerance_heard(now, server);
        }
    }

    /// Changes of upstreams' rate limits since the last call.
    pub fn take_limit_changes(&mut self) -> Vec<limit::Change> {
        std::mem::take(&mut self.limit_changes)
    }

    /// Starts a second attempt beside one whose upstream does not respond, if another upstream is
    /// likely to answer in time. The first attempt goes on, as a missing response is no failure.
    pub fn hedge(&mut self, now: Time, plan: &mut Plan, attempt: &Attempt) -> Option<Attempt> {
        let other = self.alternative(now, plan)?;
        if let Some(member) = self.roster.get_mut(&attempt.server.id) {
            member.broke(now);
        }
        match self.send(now, plan, other) {
            Step::Send(attempt) => Some(*attempt),
            Step::Wait(_) | Step::Forward(_) | Step::Refuse(_) => None,
        }
    }

    /// An attempt that is likely to answer in time, within the request's limits on repeats.
    fn alternative(&mut self, now: Time, plan: &mut Plan) -> Option<Attempt> {
        let view = self.view.clone()?;
        if self.quarantine.is_restricted(&plan.subjects) {
            return None;
        }
        let terms = self.terms.retries;
        let budget = self.budgets.get_mut(&plan.service);
        let may_repeat = budget.is_some_and(|budget| budget.has_room(now, terms, view.instances));
        if now >= plan.deadline || !plan.may_run_again() || !may_repeat {
            return None;
        }
        let choice = self.choose(now, &view, plan, false);
        let Candidate::Best(other) = choice else { return None };
        let delay = self.roster.get(&other.server.id).map_or(0.0, |member| member.delay(now));
        let wait = other.wait.max(Duration::from_secs_f64(delay));
        (other.expected + wait < plan.route.latency_target).then_some(*other)
    }

    /// Records that an attempt's first event, or its whole plain answer, was received.
    pub fn began(&mut self, now: Time, plan: &Plan, attempt: &mut Attempt) {
        if attempt.engine.is_some() {
            self.quarantine.answered(now, &plan.subjects, &attempt.server, attempt.sent);
        }
        if plan.route.repeat == Repeat::ResumableStream {
            self.streams.begin(now, plan.stream, &attempt.server.software);
        }
        self.finish_saves(plan, attempt);
        attempt.began = Some(now);
        let Some(member) = self.roster.get_mut(&attempt.server.id) else { return };
        let took = now.saturating_sub(attempt.sent);
        let expected = match attempt.engine {
            Some(_) => attempt.expected,
            None => plan.route.latency_target / PLAIN_EXPECTED_DIVISOR,
        };
        let late = took.saturating_sub(expected);
        member.observe_lateness(now, late);
        // A longer delay tells no more than that the queue was too long when the request was sent.
        let late = late.min(plan.route.latency_target);
        let known = Duration::from_secs_f64(member.delay(now)).max(attempt.wait);
        match self.links.attribute(now, attempt.stores(), late, known) {
            Blame::Engine(late) => member.observe_delay(now, late),
            Blame::Stores => {}
        }
        if attempt.engine.is_some() && attempt.wait < SHORT_WAIT {
            let pace = self.paces.entry(plan.service.clone()).or_default();
            pace.observe_prefill(attempt.prefill_tokens, took);
        }
        let own_load = &mut member.own_load;
        own_load.prefill_tokens = own_load.prefill_tokens.saturating_sub(attempt.prefill_tokens);
        attempt.prefill_tokens = 0;
    }

    /// Records how an attempt ended. `instance` is the id that the answering upstream gave, if any.
    pub fn ended(
        &mut self,
        now: Time,
        plan: &mut Plan,
        attempt: &Attempt,
        ending: Ending,
        instance: Option<&str>,
    ) {
        if let Some(at) = plan.in_progress.iter().position(|id| *id == attempt.server.id) {
            plan.in_progress.swap_remove(at);
        }
        plan.verdict = plan.verdict.join(ending.verdict());
        plan.runs += u32::from(ending.verdict() != Verdict::NotRun);
        let is_same = instance == Some(&*attempt.server.id);
        if !(ending == Ending::Misdirected && is_same) {
            plan.tried.push(attempt.server.id.clone());
        }
        self.finish_saves(plan, attempt);
        self.record_evidence(now, plan, attempt, ending);
        self.record_outcome(now, plan, attempt, ending);
        let view = self.view.clone();
        let Some(member) = self.roster.get_mut(&attempt.server.id) else { return };
        let memory_tokens = plan.prompt.as_ref().map_or(0, Prompt::memory_tokens);
        let prefill_tokens = attempt.prefill_tokens;
        member.own_load = member.own_load.minus(Load { running: 1, prefill_tokens, memory_tokens });
        if let (Some(began), Ending::Answered, Some(_)) = (attempt.began, ending, &attempt.engine) {
            let occupied = now.saturating_sub(began) + attempt.expected;
            let pace = self.paces.entry(plan.service.clone()).or_default();
            pace.observe_run(memory_tokens, occupied);
            let residence = self.residences.entry(plan.route.name.clone()).or_default();
            residence.add(occupied, 1.0);
        }
        let service = view.as_ref().and_then(|view| view.configuration.services.get(&plan.service));
        let is_unreachable = self.reach.is_unreachable(&plan.service);
        match ending {
            Ending::Answered => member.responded(now, false),
            Ending::Failed => member.responded(now, true),
            Ending::Refused => self.refused(now, attempt),
            Ending::Misdirected if is_same => {
                if let (Some(run), Some(view)) = (&attempt.engine, &view) {
                    let newest = view.weights.get(&run.model).map_or(run.weights, Weights::version);
                    member.correct_weights(&run.model, run.weights, newest);
                }
            }
            // Tells nothing about the upstream.
            Ending::Unreachable | Ending::Lost | Ending::Broken if is_unreachable => {}
            Ending::Misdirected | Ending::Unreachable | Ending::Lost => {
                member.unreachable(now);
                member.suspect_restart(now, service);
            }
            Ending::Broken => {
                member.broke(now);
                member.suspect_restart(now, service);
            }
            // There may have been no second attempt. An engine may only be busy.
            Ending::Expired if attempt.began.is_none() && attempt.engine.is_none() => {
                member.broke(now);
            }
            // A silence is recorded when the second attempt starts.
            Ending::Silent | Ending::Cancelled | Ending::Expired | Ending::Outdated => {}
        }
    }

    /// Refuses a request.
    pub(super) fn refuse(
        &mut self,
        now: Time,
        plan: &Plan,
        reason: Reason,
        free: Option<Time>,
    ) -> Step {
        let retry_after = (plan.verdict == Verdict::NotRun).then(|| {
            let delay =
                free.map_or(MIN_RETRY_AFTER, |at| at.saturating_sub(now)).max(MIN_RETRY_AFTER);
            let (limit, jitter) = (plan.left(now) / RETRY_AFTER_DIVISOR, self.rng.random::<f64>());
            if delay >= limit && free.is_some() {
                // No upstream is free earlier, so an earlier return would be of no use.
                return delay + MIN_RETRY_AFTER.mul_f64(jitter);
            }
            delay.mul_f64(1.0 + jitter).min(limit)
        });
        Step::Refuse(Refusal { reason, verdict: plan.verdict, retry_after })
    }
}

/// Memory of each engine of a service, in tokens.
fn engine_memory(view: Option<&View>, service: &ServiceName) -> u64 {
    match view.and_then(|view| view.configuration.services.get(service)).map(|s| &s.role) {
        Some(Role::Engine(spec)) => spec.memory_tokens,
        _ => 0,
    }
}

/// Maximum wait for a free upstream.
fn wait_limit(route: &Route) -> Duration {
    route.latency_target / WAIT_DIVISOR
}

/// A refusal of a request that was not sent.
pub(super) fn not_run(reason: Reason) -> Refusal {
    Refusal { reason, verdict: Verdict::NotRun, retry_after: Some(MIN_RETRY_AFTER) }
}
