//! Orders to upstreams.
//!
//! One daemon sends all orders, so that at most [`MAX_LOADS`] weight loads run at once. An order
//! carries the epoch number as its fencing token. A successor starts no load until the loads of its
//! predecessor have ended, which also covers upstreams that ignore the token.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use acacia_catalog::Set;
use acacia_catalog::id::{Name, UpstreamId};
use acacia_catalog::object::{Role, Upstream};

use super::outbox::Outbox;
use super::{Action, Fence, Mutation, Order, OrderDuty, OrderOutcome, Ticket};
use crate::Time;
use crate::message::{Message, Sender};
use crate::snapshot::Load;

/// Key whose owner sends the orders.
pub const ORDERS_KEY: &str = "orders";
/// Maximum concurrent weight loads.
const MAX_LOADS: usize = 2;
/// Maximum duration of a weight load.
const MAX_LOAD_TIME: Duration = Duration::from_secs(10);
/// Time between two attempts to send an order to the daemon that sends orders.
const RESEND_INTERVAL: Duration = Duration::from_secs(1);
/// Time after which an order without an outcome fails.
const ORDER_TIMEOUT: Duration = Duration::from_secs(120);
/// Time between two load reads of an upstream that loads weights.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum ended orders that are remembered to answer repeats.
const MAX_ENDED: usize = 256;

/// An order requested at this daemon.
struct Request {
    ticket: Ticket,
    order: Order,
    since: Time,
    next_send_at: Time,
}

/// An order that this daemon will send or has sent.
struct Job {
    order: Order,
    requester: Sender,
    sent_at: Option<Time>,
    probe_at: Time,
}

/// The orders that one daemon requests and sends.
#[derive(Default)]
pub(super) struct Orders {
    requests: BTreeMap<Name, Request>,
    jobs: Vec<Job>,
    ended: VecDeque<(Name, OrderOutcome)>,
    loads_allowed_at: Option<Time>,
    mutation: Option<Mutation>,
}

impl Orders {
    pub fn new(mutation: Option<Mutation>) -> Self {
        Self { mutation, ..Self::default() }
    }

    /// Handles an operator's order.
    pub fn request(&mut self, now: Time, ticket: Ticket, order: Order) {
        let request = Request { ticket, order: order.clone(), since: now, next_send_at: now };
        self.requests.insert(order.id, request);
    }

    /// Handles an order that a daemon requests this one to send.
    pub fn receive(&mut self, from: &Sender, order: Order, out: &mut Outbox) {
        if let Some((_, outcome)) = self.ended.iter().find(|(id, _)| *id == order.id) {
            out.send(from.address, Message::Ordered(order, *outcome));
            return;
        }
        if !self.jobs.iter().any(|j| j.order.id == order.id) {
            let probe_at = Time::ZERO;
            self.jobs.push(Job { order, requester: from.clone(), sent_at: None, probe_at });
        }
    }

    /// Handles the outcome of an order requested at this daemon.
    pub fn answered(&mut self, order: &Order, outcome: OrderOutcome, out: &mut Outbox) {
        if let Some(request) = self.requests.remove(&order.id) {
            out.push(Action::OrderEnded(request.ticket, outcome));
        }
    }

    /// Handles an upstream's answer to an order sent by this daemon.
    pub fn ordered(&mut self, order: &Order, outcome: OrderOutcome, out: &mut Outbox) {
        let open = matches!(outcome, OrderOutcome::Accepted | OrderOutcome::Failed);
        if open && is_load(order) {
            // The upstream is loading, or may be; its load report shows when it is done.
            return;
        }
        self.end(&order.id, outcome, out);
    }

    /// Handles a load report of an upstream that may be loading weights.
    pub fn reported(&mut self, upstream: &UpstreamId, load: &Load, out: &mut Outbox) {
        let done = |job: &&Job| {
            let OrderDuty::LoadVersion(version) = &job.order.duty else { return false };
            let loaded = load.version.as_ref() == Some(version);
            let later = job.sent_at.is_some_and(|at| load.sampled_at > at);
            job.order.upstream == *upstream && loaded && later
        };
        if let Some(id) = self.jobs.iter().find(done).map(|j| j.order.id.clone()) {
            self.end(&id, OrderOutcome::Done, out);
        }
    }

    /// Takes over the sending of orders.
    ///
    /// `since` is when the previous holder stopped acting, if there was one.
    pub fn take_over(&mut self, since: Option<Time>) {
        self.loads_allowed_at = Some(since.map_or(Time::ZERO, |at| at + MAX_LOAD_TIME));
    }

    /// Drops all orders to send, as this daemon no longer sends them.
    pub fn step_down(&mut self) {
        self.jobs.clear();
        self.loads_allowed_at = None;
    }

    /// Whether the time from which this daemon may start loads is known.
    pub fn is_ready(&self) -> bool {
        self.loads_allowed_at.is_some()
    }

    /// Whether there is an order to send.
    pub fn is_wanted(&self) -> bool {
        !self.jobs.is_empty()
    }

    /// Fails orders that timed out and sends the others to `holder`, the daemon that sends orders.
    pub fn tick(&mut self, now: Time, holder: Option<&Sender>, out: &mut Outbox) {
        self.expire(now, out);
        let Some(holder) = holder else { return };
        let me = out.me().clone();
        let mut own = Vec::new();
        for request in self.requests.values_mut().filter(|r| now >= r.next_send_at) {
            request.next_send_at = now + RESEND_INTERVAL;
            if holder.daemon == me.daemon {
                own.push(request.order.clone());
            } else {
                out.send(holder.address, Message::Order(request.order.clone()));
            }
        }
        for order in own {
            self.receive(&me, order, out);
        }
    }

    /// Sends the orders that may be sent; the caller must be allowed to act now.
    pub fn send(&mut self, now: Time, fence: Fence, set: &Set, out: &mut Outbox) {
        let Some(loads_allowed_at) = self.loads_allowed_at else { return };
        for at in 0..self.jobs.len() {
            let loads = is_load(&self.jobs[at].order);
            let waits =
                loads && (now < loads_allowed_at || !self.may_load(&self.jobs[at].order, set));
            let waits = waits && self.mutation != Some(Mutation::LoadFreely);
            let job = &mut self.jobs[at];
            if job.sent_at.is_none() && !waits {
                job.sent_at = Some(now);
                job.order.fence = fence;
                out.push(Action::Order(job.order.clone()));
            }
            if loads && job.sent_at.is_some() && now >= job.probe_at {
                job.probe_at = now + PROBE_INTERVAL;
                out.push(Action::Probe(job.order.upstream.clone()));
            }
        }
    }

    /// Whether a load keeps within the limits: [`MAX_LOADS`], a single zone at a time, and at most
    /// half of the model's engines.
    fn may_load(&self, order: &Order, set: &Set) -> bool {
        let running: Vec<&Upstream> = self
            .jobs
            .iter()
            .filter(|j| j.sent_at.is_some() && is_load(&j.order))
            .filter_map(|j| set.upstreams.get(&j.order.upstream))
            .collect();
        let Some(upstream) = set.upstreams.get(&order.upstream) else { return true };
        let engines = set.upstreams.values().filter(|u| model(u) == model(upstream)).count();
        let same = running.iter().filter(|u| model(u) == model(upstream)).count();
        let one_zone = running.iter().all(|u| u.zone == upstream.zone);
        let floor = engines < 2 || same < engines / 2;
        let again = running.iter().any(|u| u.name == upstream.name);
        running.len() < MAX_LOADS && one_zone && floor && !again
    }

    fn expire(&mut self, now: Time, out: &mut Outbox) {
        let late = |r: &&Request| now >= r.since + ORDER_TIMEOUT;
        let sent = |j: &&Job| j.sent_at.is_some_and(|at| now >= at + MAX_LOAD_TIME);
        let ended: Vec<Name> = self.jobs.iter().filter(sent).map(|j| j.order.id.clone()).collect();
        for id in ended {
            self.end(&id, OrderOutcome::Failed, out);
        }
        let orders: Vec<Order> =
            self.requests.values().filter(late).map(|r| r.order.clone()).collect();
        for order in orders {
            self.answered(&order, OrderOutcome::Failed, out);
        }
    }

    fn end(&mut self, id: &Name, outcome: OrderOutcome, out: &mut Outbox) {
        let Some(at) = self.jobs.iter().position(|j| j.order.id == *id) else { return };
        let job = self.jobs.remove(at);
        self.ended.push_back((id.clone(), outcome));
        if self.ended.len() > MAX_ENDED {
            self.ended.pop_front();
        }
        if job.requester.daemon == out.me().daemon {
            self.answered(&job.order, outcome, out);
        } else {
            out.send(job.requester.address, Message::Ordered(job.order, outcome));
        }
    }
}

/// Whether an order makes its upstream load weights.
fn is_load(order: &Order) -> bool {
    matches!(order.duty, OrderDuty::LoadVersion(_))
}

fn model(upstream: &Upstream) -> Option<&Name> {
    match &upstream.role {
        Role::Engine { model, .. } => Some(model),
        Role::Service { .. } => None,
    }
}
