//! The dispatch of waiting requests to upstreams.

use std::sync::Arc;
use std::time::Duration;

use acacia_catalog::id::VersionId;
use rand::RngExt;

use super::event::{Action, Attempt, Reason, Start};
use super::fleet::{MemberKey, PoolKey};
use super::job::{Core, Job, Queued, Running, Stage};
use super::machine::Dispatcher;
use super::mutation::Mutation;
use super::queue::{AGING_WAIT, Entry};
use super::route::{Choice, Route};
use crate::Time;
use crate::cache::chain;
use crate::control::{Permit, Usage};
use crate::request::{BlockKey, Class, Work};
use crate::snapshot::Warmth;

/// Blocked organisations after which a dispatch tries no further ones.
const BLOCKED_LIMIT: usize = 16;
/// Least time allowed for the first byte of a continued stream.
const CONTINUE_FIRST_BYTE_WAIT: Duration = Duration::from_secs(10);
/// Priorities at the engine of a continued stream, a short, an aged long and a long request.
const PRIORITIES: [u32; 4] = [0, 1, 2, 10];

impl Dispatcher {
    /// Dispatches the waiting requests of a pool while slots are free.
    pub(super) fn dispatch_queued(&mut self, now: Time, pool: PoolKey, out: &mut Vec<Action>) {
        let mut blocked = Vec::new();
        while blocked.len() < BLOCKED_LIMIT {
            let Some(entry) = self.fleet.pools[pool].queue.pop(now, &blocked) else { break };
            match self.try_dispatch(now, &entry, out) {
                Outcome::Sent | Outcome::Ended => {}
                Outcome::Waiting(weight) => {
                    self.fleet.pools[pool].queue.push_front(entry, weight);
                    blocked.push(entry.org);
                    if !self.has_free_slot(pool) {
                        break;
                    }
                }
            }
        }
    }

    /// Whether a pool seems to have a free slot, or has a permit.
    fn has_free_slot(&self, pool: PoolKey) -> bool {
        let pool = &self.fleet.pools[pool];
        let permitted =
            |key: &MemberKey| self.fleet.members.get(*key).is_some_and(|m| !m.permits.is_empty());
        pool.free > 0 || pool.cold.iter().any(permitted)
    }

    fn try_dispatch(&mut self, now: Time, entry: &Entry, out: &mut Vec<Action>) -> Outcome {
        let Some(stage) = self.jobs.remove(&entry.ticket) else { return Outcome::Ended };
        let Stage::Queued(job) = stage else {
            self.jobs.insert(entry.ticket, stage);
            return Outcome::Ended;
        };
        let weight = job.core.weight;
        if job.core.sent == 0 && now >= job.core.request.deadline {
            self.jobs.insert(entry.ticket, Stage::Queued(job));
            self.refuse_expired(now, entry, out);
            return Outcome::Ended;
        }
        match self.choose(now, &job.core) {
            Choice::Go(route) => self.dispatch(now, entry, job, route, out),
            Choice::Full => {
                let waiting = self.fleet.pools[job.core.pool].queue.len() + 1;
                self.ask_permits(now, &job.core, waiting, out);
                self.jobs.insert(entry.ticket, Stage::Queued(job));
                Outcome::Waiting(weight)
            }
        }
    }

    fn refuse_expired(&mut self, now: Time, entry: &Entry, out: &mut Vec<Action>) {
        if let Some(Stage::Queued(job)) = self.take(entry.ticket) {
            self.fleet.pools[job.core.pool].queue.release_unserved(entry.org, now);
            job.refuse(Reason::Deadline, None, out);
        }
    }

    fn dispatch(
        &mut self,
        now: Time,
        entry: &Entry,
        mut job: Job<Queued>,
        route: Route,
        out: &mut Vec<Action>,
    ) -> Outcome {
        let weight = job.core.weight;
        self.supersede(now, &mut job.core, &route, out);
        let permit = match route.permit {
            true => self.take_permit(now, route.member, out),
            false => None,
        };
        if route.permit && permit.is_none() {
            self.jobs.insert(entry.ticket, Stage::Queued(job));
            return Outcome::Waiting(weight);
        }
        self.jobs.insert(entry.ticket, Stage::Queued(job));
        let Some(Stage::Queued(job)) = self.take(entry.ticket) else { return Outcome::Ended };
        self.fleet.pools[job.core.pool].queue.charge(entry, weight, now);
        if !route.permit {
            self.ask_permits(now, &job.core, 1, out);
        }
        self.send(now, job, route, permit, out);
        Outcome::Sent
    }

    /// Releases or cancels the interrupted attempt that a new one replaces.
    fn supersede(&mut self, now: Time, core: &mut Core, route: &Route, out: &mut Vec<Action>) {
        let Some(interruption) = core.interruption.take() else { return };
        if matches!(route.start, Start::Resume { .. }) {
            if let Some(detached) = self.detached.remove(&interruption.attempt) {
                self.fleet.finish(detached.member, now);
                self.return_permit(detached.permit, Usage::Failed, out);
            }
        } else if let Some(member) = self.fleet.members.get(interruption.member) {
            out.push(Action::Cancel(interruption.attempt, member.name.clone()));
        }
    }

    fn send(
        &mut self,
        now: Time,
        mut job: Job<Queued>,
        route: Route,
        permit: Option<Permit>,
        out: &mut Vec<Action>,
    ) {
        if let Some(version) = &route.version {
            self.change_version(&mut job.core, version);
        }
        let core = &job.core;
        if core.attempts == 0 {
            self.budget.earn();
        }
        self.charge_links(now, core, &route);
        self.fleet.begin(route.member, now);
        let member = &mut self.fleet.members[route.member];
        member.pending_tokens += route.computed;
        let attempt = Attempt {
            id: self.rng.random(),
            upstream: member.name.clone(),
            permit: permit.clone(),
            incarnation: member.incarnation,
            version: core.version.clone(),
            blocks: self.block_keys(core),
            imports: route.imports,
            start: self.mutated_start(route.start),
            priority: priority(now, core),
            first_byte_by: first_byte_by(now, core),
        };
        let running = Running {
            attempt: attempt.id,
            member: route.member,
            incarnation: attempt.incarnation,
            permit,
            since: now,
            computed: route.computed,
            has_first_byte: false,
            covered: route.covered,
            resumes: matches!(route.start, Start::Resume { .. }),
        };
        let ticket = core.ticket;
        self.attempts.insert(attempt.id, ticket);
        out.push(Action::Start(ticket, attempt));
        self.jobs.insert(ticket, Stage::Running(job.run(running)));
    }

    /// Charges the links for the imports of a route.
    fn charge_links(&mut self, now: Time, core: &Core, route: &Route) {
        let Some(to) = self.fleet.members[route.member].zone_index else { return };
        for imports in route.imports.chunk_by(|a, b| a.store == b.store) {
            let bytes = imports.iter().map(|import| import.logical_bytes).sum();
            if let Some(from) = self.stores.zone(&imports[0].store) {
                self.links.import(now, from, to, core.org, bytes);
            }
        }
    }

    /// Changes the weight version of a request without output.
    fn change_version(&self, core: &mut Core, version: &VersionId) {
        let Work::Prompt(prompt) = &core.request.work else { return };
        core.holdings = None;
        core.version = Some(version.clone());
        let organisation = self.snapshot.set.organisations.get(&core.request.organisation);
        core.blocks = match organisation {
            Some(o) => chain(&o.cache_secret, &prompt.model, version, None, &prompt.tokens).into(),
            None => Arc::default(),
        };
    }

    /// The keys of the blocks that an attempt may use.
    fn block_keys(&self, core: &Core) -> Arc<[BlockKey]> {
        match &core.request.work {
            Work::Prompt(prompt) if self.mutation == Some(Mutation::StaleBlockKeys) => {
                Arc::clone(&prompt.blocks)
            }
            _ => Arc::clone(&core.blocks),
        }
    }

    fn mutated_start(&self, start: Start) -> Start {
        match start {
            Start::Resume { earlier, offset } if self.mutation == Some(Mutation::ShiftOffset) => {
                Start::Resume { earlier, offset: offset + 1 }
            }
            Start::Continue { offset } if self.mutation == Some(Mutation::ShiftOffset) => {
                Start::Continue { offset: offset + 1 }
            }
            start => start,
        }
    }

    /// Whether an upstream may take new work, for tests.
    #[doc(hidden)]
    pub fn warmth(&self, now: Time, upstream: &str) -> Option<Warmth> {
        let key = self.fleet.member(&upstream.into())?;
        Some(self.fleet.members[key].warmth(now))
    }
}

/// The outcome for a request that was next in the queue.
enum Outcome {
    /// It was sent to an upstream.
    Sent,
    /// It ended.
    Ended,
    /// It waits; the weight of its organisation.
    Waiting(u32),
}

fn priority(now: Time, core: &Core) -> u32 {
    let [continued, short, aged, long] = PRIORITIES;
    match core.request.class {
        _ if core.sent > 0 => continued,
        Class::Short => short,
        Class::Long if now >= core.arrived + AGING_WAIT => aged,
        Class::Long => long,
    }
}

fn first_byte_by(now: Time, core: &Core) -> Time {
    match core.sent {
        0 => core.request.deadline,
        _ => core.request.deadline.max(now + CONTINUE_FIRST_BYTE_WAIT),
    }
}
