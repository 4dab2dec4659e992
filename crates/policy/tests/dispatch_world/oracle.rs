//! The watcher: a few lines for each promise.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use acacia_catalog::id::{DaemonId, UpstreamId, VersionId};
use acacia_policy::control::{Permit, Ticket};
use acacia_policy::dispatch::{Action, Attempt, AttemptId, Ending, Event, Refusal, Sizes, Start};
use acacia_policy::request::{BlockKey, Class, Request, Work};
use acacia_policy::snapshot::{Snapshot, Warmth};
use acacia_policy::{Time, Verdict};

use super::scene::Scene;
use serde::{Deserialize, Serialize};

/// Requests of one organisation and class that may wait in one pool.
const LANE_LIMIT: usize = 256;
/// How long a cancelled attempt counts as running.
const CANCEL_GRACE: Duration = Duration::from_secs(2);

/// A broken promise.
pub type Fault = String;

/// What the watcher knows.
pub struct Oracle {
    fault: Option<Fault>,
    requests: BTreeMap<Ticket, Watched>,
    attempts: HashMap<AttemptId, Tried>,
    seen: Vec<Arc<Snapshot>>,
    permits: BTreeMap<(DaemonId, u64), Granted>,
    flights: HashMap<(usize, UpstreamId), Vec<AttemptId>>,
    /// What came of the requests.
    pub tally: Tally,
}

/// What came of the requests of a run.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Tally {
    /// Answered.
    pub finished: u32,
    /// Answered from a claim.
    pub replayed: u32,
    /// Refused, by reason.
    pub refused: BTreeMap<String, u32>,
    /// Attempts begun from nothing.
    pub fresh: u32,
    /// Attempts that resumed a stream on its engine.
    pub resumed: u32,
    /// Attempts that continued a stream elsewhere.
    pub continued: u32,
    /// Attempts under permits.
    pub permits: u32,
}

struct Watched {
    dispatcher: usize,
    request: Request,
    attempts: Vec<AttemptId>,
    sent: u32,
    version: Option<VersionId>,
    blocks: Arc<[BlockKey]>,
    answered: bool,
    left: bool,
    claiming: bool,
    finding: bool,
    finals: u32,
}

struct Tried {
    ticket: Ticket,
    upstream: UpstreamId,
    incarnation: u64,
    ending: Option<Ending>,
    cancelled: Option<Time>,
    ran: bool,
}

struct Granted {
    dispatcher: usize,
    permit: Permit,
    delivered: bool,
    spent: bool,
    returned: u32,
}

impl Oracle {
    /// A watcher of `dispatchers`.
    pub fn new(dispatchers: usize) -> Self {
        Self {
            fault: None,
            requests: BTreeMap::new(),
            attempts: HashMap::new(),
            seen: vec![Arc::default(); dispatchers],
            permits: BTreeMap::new(),
            flights: HashMap::new(),
            tally: Tally::default(),
        }
    }

    /// The first broken promise.
    pub fn verdict(&self) -> Result<(), Fault> {
        self.fault.clone().map_or(Ok(()), Err)
    }

    /// Names of a request's blocks as it came.
    pub fn blocks(&self, ticket: Ticket) -> Arc<[BlockKey]> {
        self.requests.get(&ticket).map(|w| Arc::clone(&w.blocks)).unwrap_or_default()
    }

    /// A request comes.
    pub fn arrived(&mut self, dispatcher: usize, ticket: Ticket, request: &Request) {
        let (blocks, version) = match &request.work {
            Work::Prompt(p) => (Arc::clone(&p.blocks), Some(p.version.clone())),
            Work::Call(_) => (Arc::default(), None),
        };
        let watched = Watched {
            dispatcher,
            request: request.clone(),
            attempts: Vec::new(),
            sent: 0,
            version,
            blocks,
            answered: false,
            left: false,
            claiming: false,
            finding: false,
            finals: 0,
        };
        self.requests.insert(ticket, watched);
    }

    /// A caller leaves; false if its request is over.
    pub fn left(&mut self, ticket: Ticket) -> bool {
        let Some(watched) = self.requests.get_mut(&ticket) else { return false };
        let open = watched.finals == 0 && !watched.left;
        watched.left |= open;
        open
    }

    /// Control grants a permit.
    pub fn granted(&mut self, dispatcher: usize, permit: &Permit) {
        let key = (permit.owner.clone(), permit.id);
        let granted = Granted {
            dispatcher,
            permit: permit.clone(),
            delivered: false,
            spent: false,
            returned: 0,
        };
        self.permits.insert(key, granted);
    }

    /// An upstream began an attempt.
    pub fn ran(&mut self, attempt: AttemptId) {
        if let Some(tried) = self.attempts.get_mut(&attempt) {
            tried.ran = true;
        }
    }

    /// A dispatcher is told something.
    pub fn told(&mut self, _now: Time, d: usize, event: &Event) {
        match event {
            Event::Snapshot(snapshot) => self.seen[d] = Arc::clone(snapshot),
            Event::Permit(permit) => {
                let key = (permit.owner.clone(), permit.id);
                if let Some(granted) = self.permits.get_mut(&key) {
                    granted.delivered = true;
                }
            }
            Event::Progress { attempt, tokens } => self.progressed(*attempt, *tokens),
            Event::Ended { attempt, ending } => self.ended(d, *attempt, ending),
            Event::Claimed(ticket, _) => self.settle(*ticket, |w| w.claiming = false),
            Event::Found(ticket, _) => self.settle(*ticket, |w| w.finding = false),
            _ => {}
        }
    }

    fn settle(&mut self, ticket: Ticket, change: impl FnOnce(&mut Watched)) {
        if let Some(watched) = self.requests.get_mut(&ticket) {
            change(watched);
        }
    }

    fn progressed(&mut self, attempt: AttemptId, tokens: u32) {
        let Some(tried) = self.attempts.get(&attempt) else { return };
        if let Some(watched) = self.requests.get_mut(&tried.ticket)
            && watched.attempts.last() == Some(&attempt)
        {
            watched.sent = watched.sent.max(tokens);
        }
    }

    fn ended(&mut self, d: usize, attempt: AttemptId, ending: &Ending) {
        let Some(tried) = self.attempts.get_mut(&attempt) else { return };
        if tried.ending.is_none() {
            tried.ending = Some(ending.clone());
        }
        let flights = self.flights.entry((d, tried.upstream.clone())).or_default();
        flights.retain(|id| *id != attempt);
        if let Some(watched) = self.requests.get_mut(&tried.ticket)
            && watched.attempts.last() == Some(&attempt)
        {
            watched.answered |= matches!(ending, Ending::Complete { .. } | Ending::Rejected);
        }
    }

    /// A dispatcher asks for something.
    pub fn asked(&mut self, now: Time, d: usize, action: &Action, scene: &Scene) {
        match action {
            Action::Start(ticket, attempt) => self.started(now, d, *ticket, attempt, scene),
            Action::Cancel(attempt, _) => self.cancelled(now, *attempt),
            Action::ReturnPermit(permit, _) => self.returned(permit),
            Action::Finish(ticket) => self.finished(*ticket),
            Action::Replay(ticket, _) => {
                self.tally.replayed += 1;
                self.last(*ticket);
            }
            Action::Refuse(ticket, refusal) => self.refused(*ticket, *refusal),
            Action::Claim(ticket, _) => self.settle(*ticket, |w| w.claiming = true),
            Action::Find(ticket, _) => self.settle(*ticket, |w| w.finding = true),
            Action::ClaimEnded { .. } | Action::AskPermit { .. } | Action::Export { .. } => {}
        }
    }

    fn started(&mut self, now: Time, d: usize, ticket: Ticket, attempt: &Attempt, scene: &Scene) {
        self.count(attempt);
        self.check_repeat(ticket);
        self.check_offset(ticket, attempt);
        self.check_names(ticket, attempt, scene);
        self.check_standing(now, d, attempt);
        let Some(watched) = self.requests.get_mut(&ticket) else {
            return self.fail("an unknown request was started");
        };
        let over = watched.finals > 0 || watched.left;
        watched.attempts.push(attempt.id);
        let tried = Tried {
            ticket,
            upstream: attempt.upstream.clone(),
            incarnation: attempt.incarnation,
            ending: None,
            cancelled: None,
            ran: false,
        };
        let doubled = self.attempts.insert(attempt.id, tried).is_some();
        if doubled {
            self.fail("an attempt id was used twice");
        }
        if over {
            self.fail(format!("request {ticket} was started after its end"));
        }
        self.check_slots(now, d, attempt);
    }

    fn count(&mut self, attempt: &Attempt) {
        match attempt.start {
            Start::Fresh => self.tally.fresh += 1,
            Start::Resume { .. } => self.tally.resumed += 1,
            Start::Continue { .. } => self.tally.continued += 1,
        }
        self.tally.permits += u32::from(attempt.permit.is_some());
    }

    /// A request that isn't idempotent starts again only if nothing ran.
    fn check_repeat(&mut self, ticket: Ticket) {
        let Some(watched) = self.requests.get(&ticket) else { return };
        let not_run = |id: &AttemptId| {
            let ending = self.attempts.get(id).and_then(|t| t.ending.as_ref());
            matches!(ending, Some(Ending::Refused { .. } | Ending::Unsent))
        };
        if !watched.request.is_idempotent() && !watched.attempts.iter().all(not_run) {
            self.fail(format!("request {ticket} may run twice"));
        }
        let Some(watched) = self.requests.get(&ticket) else { return };
        let open = watched.attempts.iter().any(|id| {
            let tried = self.attempts.get(id);
            tried.is_some_and(|t| t.ending.is_none() && t.cancelled.is_none())
        });
        if open {
            self.fail(format!("request {ticket} has two attempts at once"));
        }
    }

    /// Streams go on at the exact token.
    fn check_offset(&mut self, ticket: Ticket, attempt: &Attempt) {
        let Some(watched) = self.requests.get(&ticket) else { return };
        let sent = watched.sent;
        let right = match attempt.start {
            Start::Fresh => sent == 0,
            Start::Continue { offset } => offset == sent && sent > 0,
            Start::Resume { earlier, offset } => {
                let same = self.attempts.get(&earlier).is_some_and(|t| {
                    t.ticket == ticket
                        && t.upstream == attempt.upstream
                        && t.incarnation == attempt.incarnation
                        && t.cancelled.is_none()
                });
                same && offset == sent && sent > 0
            }
        };
        if !right {
            self.fail(format!("request {ticket}: {:?} after {sent} tokens", attempt.start));
        }
    }

    /// Blocks are those of the request's own organisation and version, which doesn't change in mid-stream.
    fn check_names(&mut self, ticket: Ticket, attempt: &Attempt, scene: &Scene) {
        let Some(watched) = self.requests.get_mut(&ticket) else { return };
        if watched.sent > 0 && attempt.version != watched.version {
            return self.fail(format!("request {ticket} mixes versions"));
        }
        watched.version = attempt.version.clone();
        let Some(version) = &attempt.version else { return };
        let Some(names) = scene.names(&watched.request, version) else { return };
        let imported = attempt.imports.iter().all(|i| names.contains(&i.block));
        if attempt.blocks != names || !imported {
            self.fail(format!("request {ticket} was given blocks of another version"));
        }
    }

    /// Nothing new on closed upstreams; on cold ones only under a valid permit, once.
    fn check_standing(&mut self, now: Time, d: usize, attempt: &Attempt) {
        let standing = self.seen[d].upstreams.get(&attempt.upstream).cloned().unwrap_or_default();
        match standing.warmth {
            Warmth::Warm => {}
            Warmth::Closed | Warmth::Down => {
                self.fail(format!("{} is {} and got work", attempt.upstream, standing.warmth));
            }
            Warmth::Cold => {
                let good = |g: &&mut Granted| {
                    g.dispatcher == d
                        && g.delivered
                        && !g.spent
                        && g.returned == 0
                        && g.permit.upstream == attempt.upstream
                        && g.permit.incarnation == standing.incarnation
                        && now < g.permit.until
                };
                let key = attempt.permit.as_ref().map(|p| (p.owner.clone(), p.id));
                match key.and_then(|key| self.permits.get_mut(&key)).filter(good) {
                    Some(granted) => granted.spent = true,
                    None => self.fail(format!(
                        "cold {} got work without a permit: {:?} at {now:?} in life {}",
                        attempt.upstream, attempt.permit, standing.incarnation
                    )),
                }
            }
        }
    }

    /// No more in flight than slots.
    fn check_slots(&mut self, now: Time, d: usize, attempt: &Attempt) {
        let flights = self.flights.entry((d, attempt.upstream.clone())).or_default();
        flights.push(attempt.id);
        let attempts = &self.attempts;
        flights.retain(|id| {
            let cancelled = attempts.get(id).and_then(|t| t.cancelled);
            cancelled.is_none_or(|at| now < at + CANCEL_GRACE)
        });
        let count = flights.len();
        let slots = self.seen[d].set.upstreams.get(&attempt.upstream).map_or(0, |u| u.slots);
        if count > slots as usize {
            self.fail(format!("{count} requests on {} with {slots} slots", attempt.upstream));
        }
    }

    fn cancelled(&mut self, now: Time, attempt: AttemptId) {
        if let Some(tried) = self.attempts.get_mut(&attempt) {
            tried.cancelled.get_or_insert(now);
        }
    }

    /// Every permit is returned, once.
    fn returned(&mut self, permit: &Permit) {
        let key = (permit.owner.clone(), permit.id);
        let Some(granted) = self.permits.get_mut(&key) else {
            return self.fail("an unknown permit was returned");
        };
        granted.returned += 1;
        if granted.returned > 1 {
            self.fail(format!("permit {} was returned twice", permit.id));
        }
    }

    fn finished(&mut self, ticket: Ticket) {
        self.tally.finished += 1;
        self.last(ticket);
        let Some(watched) = self.requests.get(&ticket) else { return };
        if !watched.answered && !watched.left {
            self.fail(format!("request {ticket} was called answered without an answer"));
        }
    }

    /// A refusal's verdict is true.
    fn refused(&mut self, ticket: Ticket, refusal: Refusal) {
        *self.tally.refused.entry(refusal.reason.to_string()).or_default() += 1;
        self.last(ticket);
        let Some(watched) = self.requests.get(&ticket) else { return };
        let ran = watched.attempts.iter().any(|id| self.attempts.get(id).is_some_and(|t| t.ran));
        if refusal.verdict == Verdict::NotRun && ran {
            self.fail(format!("request {ticket} ran and was refused as not run"));
        }
    }

    fn last(&mut self, ticket: Ticket) {
        let Some(watched) = self.requests.get_mut(&ticket) else { return };
        watched.finals += 1;
        if watched.finals > 1 {
            self.fail(format!("request {ticket} was answered twice"));
        }
    }

    /// Queues are bounded.
    pub fn check_bounds(&mut self, d: usize) {
        let mut lanes: HashMap<(&str, bool, Class), usize> = HashMap::new();
        let recent = self.requests.iter().rev().take(4_096);
        let open = recent.filter(|(_, w)| w.dispatcher == d && w.finals == 0);
        for (_, watched) in open {
            if watched.attempts.is_empty() && !watched.claiming && !watched.finding {
                let prompt = matches!(watched.request.work, Work::Prompt(_));
                let class = watched.request.class;
                *lanes.entry((&watched.request.organisation, prompt, class)).or_default() += 1;
            }
        }
        if let Some(count) = lanes.values().max().copied().filter(|c| *c > LANE_LIMIT) {
            self.fail(format!("{count} requests of one organisation wait"));
        }
    }

    /// Nothing is kept once everything is over.
    pub fn check_empty(&mut self, sizes: Sizes) {
        if sizes.jobs + sizes.attempts + sizes.queued + sizes.permits > 0 {
            self.fail(format!("kept after the end: {sizes:?}"));
        }
    }

    /// Every request has its end and every delivered permit is back.
    pub fn close(&mut self) {
        let open = self.requests.iter().find(|(_, w)| w.finals == 0).map(|(t, _)| *t);
        if let Some(ticket) = open {
            self.fail(format!("request {ticket} has no end"));
        }
        let kept = self.permits.values().find(|g| g.delivered && g.returned == 0);
        if let Some(id) = kept.map(|g| g.permit.id) {
            self.fail(format!("permit {id} was never returned"));
        }
    }

    fn fail(&mut self, fault: impl Into<Fault>) {
        self.fault.get_or_insert(fault.into());
    }
}
