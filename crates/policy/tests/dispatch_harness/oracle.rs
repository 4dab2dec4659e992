//! The oracle: checks the dispatcher's invariants on every event and action.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use acacia_catalog::id::{DaemonId, UpstreamId, VersionId};
use acacia_policy::control::{Permit, Ticket};
use acacia_policy::dispatch::{Action, Attempt, AttemptId, Ending, Event, Refusal, Sizes, Start};
use acacia_policy::request::{BlockKey, Class, Request, Work};
use acacia_policy::snapshot::{Snapshot, Warmth};
use acacia_policy::{Time, Verdict};

use super::fixture::Fixture;
use serde::{Deserialize, Serialize};

/// Most waiting requests of one organisation and class in one pool, as in the dispatcher's queue.
const FLOW_LIMIT: usize = 256;
/// How long a cancelled attempt counts as running, as in the dispatcher.
const CANCEL_GRACE: Duration = Duration::from_secs(2);

/// A violated invariant.
pub type Violation = String;

/// Checks the dispatchers' events and actions.
pub struct Oracle {
    violation: Option<Violation>,
    requests: BTreeMap<Ticket, RequestRecord>,
    attempts: HashMap<AttemptId, AttemptRecord>,
    snapshots: Vec<Arc<Snapshot>>,
    permits: BTreeMap<(DaemonId, u64), PermitRecord>,
    in_flight: HashMap<(usize, UpstreamId), Vec<AttemptId>>,
    /// Outcomes of the requests.
    pub totals: Totals,
}

/// Number of requests and attempts by outcome.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Totals {
    /// Finished: answered, or the caller disconnected.
    pub finished: u32,
    /// Answered from a claim's stored answer.
    pub replayed: u32,
    /// Refused, by reason.
    pub refused: BTreeMap<String, u32>,
    /// Attempts from the first output token.
    pub fresh: u32,
    /// Attempts that resumed a stream on its engine.
    pub resumed: u32,
    /// Attempts that continued a stream elsewhere.
    pub continued: u32,
    /// Attempts under permits.
    pub permits: u32,
}

struct RequestRecord {
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
    ends: u32,
}

struct AttemptRecord {
    ticket: Ticket,
    upstream: UpstreamId,
    incarnation: u64,
    ending: Option<Ending>,
    cancelled: Option<Time>,
    ran: bool,
}

struct PermitRecord {
    dispatcher: usize,
    permit: Permit,
    delivered: bool,
    used: bool,
    returned: u32,
}

impl Oracle {
    /// An oracle for a number of dispatchers.
    pub fn new(dispatchers: usize) -> Self {
        Self {
            violation: None,
            requests: BTreeMap::new(),
            attempts: HashMap::new(),
            snapshots: vec![Arc::default(); dispatchers],
            permits: BTreeMap::new(),
            in_flight: HashMap::new(),
            totals: Totals::default(),
        }
    }

    /// The first violation, as an error.
    pub fn result(&self) -> Result<(), Violation> {
        self.violation.clone().map_or(Ok(()), Err)
    }

    /// Keys of a request's blocks at arrival.
    pub fn blocks(&self, ticket: Ticket) -> Arc<[BlockKey]> {
        self.requests.get(&ticket).map(|w| Arc::clone(&w.blocks)).unwrap_or_default()
    }

    /// Records a request's arrival.
    pub fn arrived(&mut self, dispatcher: usize, ticket: Ticket, request: &Request) {
        let (blocks, version) = match &request.work {
            Work::Prompt(p) => (Arc::clone(&p.blocks), Some(p.version.clone())),
            Work::Call(_) => (Arc::default(), None),
        };
        let request_record = RequestRecord {
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
            ends: 0,
        };
        self.requests.insert(ticket, request_record);
    }

    /// Records a caller's disconnection; false if its request has ended.
    pub fn caller_left(&mut self, ticket: Ticket) -> bool {
        let Some(request_record) = self.requests.get_mut(&ticket) else { return false };
        let open = request_record.ends == 0 && !request_record.left;
        request_record.left |= open;
        open
    }

    /// Records a granted permit.
    pub fn granted(&mut self, dispatcher: usize, permit: &Permit) {
        let key = (permit.owner.clone(), permit.id);
        let granted = PermitRecord {
            dispatcher,
            permit: permit.clone(),
            delivered: false,
            used: false,
            returned: 0,
        };
        self.permits.insert(key, granted);
    }

    /// Records that an upstream ran an attempt.
    pub fn ran(&mut self, attempt: AttemptId) {
        if let Some(attempt_record) = self.attempts.get_mut(&attempt) {
            attempt_record.ran = true;
        }
    }

    /// Records an event given to a dispatcher.
    pub fn observe_event(&mut self, _now: Time, d: usize, event: &Event) {
        match event {
            Event::Snapshot(snapshot) => self.snapshots[d] = Arc::clone(snapshot),
            Event::Permit(permit) => {
                let key = (permit.owner.clone(), permit.id);
                if let Some(granted) = self.permits.get_mut(&key) {
                    granted.delivered = true;
                }
            }
            Event::Progress { attempt, tokens } => self.progressed(*attempt, *tokens),
            Event::Ended { attempt, ending } => self.ended(d, *attempt, ending),
            Event::Claimed(ticket, _) => self.update(*ticket, |w| w.claiming = false),
            Event::Found(ticket, _) => self.update(*ticket, |w| w.finding = false),
            _ => {}
        }
    }

    fn update(&mut self, ticket: Ticket, change: impl FnOnce(&mut RequestRecord)) {
        if let Some(request_record) = self.requests.get_mut(&ticket) {
            change(request_record);
        }
    }

    fn progressed(&mut self, attempt: AttemptId, tokens: u32) {
        let Some(attempt_record) = self.attempts.get(&attempt) else { return };
        if let Some(request_record) = self.requests.get_mut(&attempt_record.ticket)
            && request_record.attempts.last() == Some(&attempt)
        {
            request_record.sent = request_record.sent.max(tokens);
        }
    }

    fn ended(&mut self, d: usize, attempt: AttemptId, ending: &Ending) {
        let Some(attempt_record) = self.attempts.get_mut(&attempt) else { return };
        if attempt_record.ending.is_none() {
            attempt_record.ending = Some(ending.clone());
        }
        let in_flight = self.in_flight.entry((d, attempt_record.upstream.clone())).or_default();
        in_flight.retain(|id| *id != attempt);
        if let Some(request_record) = self.requests.get_mut(&attempt_record.ticket)
            && request_record.attempts.last() == Some(&attempt)
        {
            request_record.answered |= matches!(ending, Ending::Complete { .. } | Ending::Rejected);
        }
    }

    /// Checks an action of a dispatcher.
    pub fn observe_action(&mut self, now: Time, d: usize, action: &Action, fixture: &Fixture) {
        match action {
            Action::Start(ticket, attempt) => self.started(now, d, *ticket, attempt, fixture),
            Action::Cancel(attempt, _) => self.cancelled(now, *attempt),
            Action::ReturnPermit(permit, _) => self.returned(permit),
            Action::Finish(ticket) => self.request_finished(*ticket),
            Action::Replay(ticket, _) => {
                self.totals.replayed += 1;
                self.count_end(*ticket);
            }
            Action::Refuse(ticket, refusal) => self.refused(*ticket, *refusal),
            Action::Claim(ticket, _) => self.update(*ticket, |w| w.claiming = true),
            Action::Find(ticket, _) => self.update(*ticket, |w| w.finding = true),
            Action::ClaimEnded { .. } | Action::AskPermit { .. } | Action::Export { .. } => {}
        }
    }

    fn started(
        &mut self,
        now: Time,
        d: usize,
        ticket: Ticket,
        attempt: &Attempt,
        fixture: &Fixture,
    ) {
        self.count(attempt);
        self.check_repeat(ticket);
        self.check_offset(ticket, attempt);
        self.check_block_keys(ticket, attempt, fixture);
        self.check_warmth(now, d, attempt);
        let Some(request_record) = self.requests.get_mut(&ticket) else {
            return self.report_violation("an unknown request was started");
        };
        let over = request_record.ends > 0 || request_record.left;
        request_record.attempts.push(attempt.id);
        let attempt_record = AttemptRecord {
            ticket,
            upstream: attempt.upstream.clone(),
            incarnation: attempt.incarnation,
            ending: None,
            cancelled: None,
            ran: false,
        };
        let is_duplicate = self.attempts.insert(attempt.id, attempt_record).is_some();
        if is_duplicate {
            self.report_violation("an attempt id was used twice");
        }
        if over {
            self.report_violation(format!("request {ticket} was started after its end"));
        }
        self.check_slots(now, d, attempt);
    }

    fn count(&mut self, attempt: &Attempt) {
        match attempt.start {
            Start::Fresh => self.totals.fresh += 1,
            Start::Resume { .. } => self.totals.resumed += 1,
            Start::Continue { .. } => self.totals.continued += 1,
        }
        self.totals.permits += u32::from(attempt.permit.is_some());
    }

    /// A request that isn't idempotent is retried only if no attempt may have run it, and no
    /// request has two attempts at once.
    fn check_repeat(&mut self, ticket: Ticket) {
        let Some(request_record) = self.requests.get(&ticket) else { return };
        let not_run = |id: &AttemptId| {
            let ending = self.attempts.get(id).and_then(|t| t.ending.as_ref());
            matches!(ending, Some(Ending::Refused { .. } | Ending::Unsent))
        };
        if !request_record.request.is_idempotent() && !request_record.attempts.iter().all(not_run) {
            self.report_violation(format!("request {ticket} may run twice"));
        }
        let Some(request_record) = self.requests.get(&ticket) else { return };
        let open = request_record.attempts.iter().any(|id| {
            let attempt_record = self.attempts.get(id);
            attempt_record.is_some_and(|t| t.ending.is_none() && t.cancelled.is_none())
        });
        if open {
            self.report_violation(format!("request {ticket} has two attempts at once"));
        }
    }

    /// Streams continue at the exact token.
    fn check_offset(&mut self, ticket: Ticket, attempt: &Attempt) {
        let Some(request_record) = self.requests.get(&ticket) else { return };
        let sent = request_record.sent;
        let is_exact = match attempt.start {
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
        if !is_exact {
            self.report_violation(format!(
                "request {ticket}: {:?} after {sent} tokens",
                attempt.start
            ));
        }
    }

    /// Blocks belong to the request's own organisation and version, which doesn't change within a
    /// stream.
    fn check_block_keys(&mut self, ticket: Ticket, attempt: &Attempt, fixture: &Fixture) {
        let Some(request_record) = self.requests.get_mut(&ticket) else { return };
        if request_record.sent > 0 && attempt.version != request_record.version {
            return self.report_violation(format!("request {ticket} mixes versions"));
        }
        request_record.version = attempt.version.clone();
        let Some(version) = &attempt.version else { return };
        let Some(block_keys) = fixture.block_keys(&request_record.request, version) else { return };
        let imported = attempt.imports.iter().all(|i| block_keys.contains(&i.block));
        if attempt.blocks != block_keys || !imported {
            self.report_violation(format!("request {ticket} was given blocks of another version"));
        }
    }

    /// Closed upstreams get no new work; cold ones only under a valid permit, used once.
    fn check_warmth(&mut self, now: Time, d: usize, attempt: &Attempt) {
        let standing =
            self.snapshots[d].upstreams.get(&attempt.upstream).cloned().unwrap_or_default();
        match standing.warmth {
            Warmth::Warm => {}
            Warmth::Closed | Warmth::Down => {
                self.report_violation(format!(
                    "{} is {} and got work",
                    attempt.upstream, standing.warmth
                ));
            }
            Warmth::Cold => {
                let is_valid = |g: &&mut PermitRecord| {
                    g.dispatcher == d
                        && g.delivered
                        && !g.used
                        && g.returned == 0
                        && g.permit.upstream == attempt.upstream
                        && g.permit.incarnation == standing.incarnation
                        && now < g.permit.until
                };
                let key = attempt.permit.as_ref().map(|p| (p.owner.clone(), p.id));
                match key.and_then(|key| self.permits.get_mut(&key)).filter(is_valid) {
                    Some(granted) => granted.used = true,
                    None => self.report_violation(format!(
                        "cold {} got work without a permit: {:?} at {now:?} in incarnation {}",
                        attempt.upstream, attempt.permit, standing.incarnation
                    )),
                }
            }
        }
    }

    /// An upstream has no more requests in flight from one dispatcher than slots.
    fn check_slots(&mut self, now: Time, d: usize, attempt: &Attempt) {
        let in_flight = self.in_flight.entry((d, attempt.upstream.clone())).or_default();
        in_flight.push(attempt.id);
        let attempts = &self.attempts;
        in_flight.retain(|id| {
            let cancelled = attempts.get(id).and_then(|t| t.cancelled);
            cancelled.is_none_or(|at| now < at + CANCEL_GRACE)
        });
        let count = in_flight.len();
        let slots = self.snapshots[d].set.upstreams.get(&attempt.upstream).map_or(0, |u| u.slots);
        if count > slots as usize {
            self.report_violation(format!(
                "{count} requests on {} with {slots} slots",
                attempt.upstream
            ));
        }
    }

    fn cancelled(&mut self, now: Time, attempt: AttemptId) {
        if let Some(attempt_record) = self.attempts.get_mut(&attempt) {
            attempt_record.cancelled.get_or_insert(now);
        }
    }

    /// No permit is returned twice.
    fn returned(&mut self, permit: &Permit) {
        let key = (permit.owner.clone(), permit.id);
        let Some(granted) = self.permits.get_mut(&key) else {
            return self.report_violation("an unknown permit was returned");
        };
        granted.returned += 1;
        if granted.returned > 1 {
            self.report_violation(format!("permit {} was returned twice", permit.id));
        }
    }

    fn request_finished(&mut self, ticket: Ticket) {
        self.totals.finished += 1;
        self.count_end(ticket);
        let Some(request_record) = self.requests.get(&ticket) else { return };
        if !request_record.answered && !request_record.left {
            self.report_violation(format!("request {ticket} was finished without an answer"));
        }
    }

    /// A request refused as not run did not run.
    fn refused(&mut self, ticket: Ticket, refusal: Refusal) {
        *self.totals.refused.entry(refusal.reason.to_string()).or_default() += 1;
        self.count_end(ticket);
        let Some(request_record) = self.requests.get(&ticket) else { return };
        let ran =
            request_record.attempts.iter().any(|id| self.attempts.get(id).is_some_and(|t| t.ran));
        if refusal.verdict == Verdict::NotRun && ran {
            self.report_violation(format!("request {ticket} ran and was refused as not run"));
        }
    }

    fn count_end(&mut self, ticket: Ticket) {
        let Some(request_record) = self.requests.get_mut(&ticket) else { return };
        request_record.ends += 1;
        if request_record.ends > 1 {
            self.report_violation(format!("request {ticket} ended twice"));
        }
    }

    /// Queues are bounded.
    pub fn check_bounds(&mut self, d: usize) {
        let mut flows: HashMap<(&str, bool, Class), usize> = HashMap::new();
        let recent = self.requests.iter().rev().take(4_096);
        let open = recent.filter(|(_, w)| w.dispatcher == d && w.ends == 0);
        for (_, request_record) in open {
            if request_record.attempts.is_empty()
                && !request_record.claiming
                && !request_record.finding
            {
                let prompt = matches!(request_record.request.work, Work::Prompt(_));
                let class = request_record.request.class;
                *flows.entry((&request_record.request.organisation, prompt, class)).or_default() +=
                    1;
            }
        }
        if let Some(count) = flows.values().max().copied().filter(|c| *c > FLOW_LIMIT) {
            self.report_violation(format!("{count} requests of one organisation wait"));
        }
    }

    /// A dispatcher keeps nothing after the end of all requests.
    pub fn check_empty(&mut self, sizes: Sizes) {
        if sizes.jobs + sizes.attempts + sizes.queued + sizes.permits > 0 {
            self.report_violation(format!(
                "dispatcher keeps state after the end of all requests: {sizes:?}"
            ));
        }
    }

    /// Every request ended and every delivered permit was returned.
    pub fn close(&mut self) {
        let open = self.requests.iter().find(|(_, w)| w.ends == 0).map(|(t, _)| *t);
        if let Some(ticket) = open {
            self.report_violation(format!("request {ticket} never ended"));
        }
        let kept = self.permits.values().find(|g| g.delivered && g.returned == 0);
        if let Some(id) = kept.map(|g| g.permit.id) {
            self.report_violation(format!("permit {id} was never returned"));
        }
    }

    fn report_violation(&mut self, violation: impl Into<Violation>) {
        self.violation.get_or_insert(violation.into());
    }
}
