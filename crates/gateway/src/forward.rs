//! Passes requests on to another instance while this one has no path to the upstreams, or no share
//! of brittle ones.
//!
//! The other instance gets the caller's request as it is, on a connection of its own, and handles it
//! like any caller's. Its answer is returned as it arrives. If the caller disconnects, the connection
//! closes, which cancels the request there.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use acacia_connection::{Connection, Fault, Framing, Head, KeepAlive, encode_head};
use acacia_platform::ingress;
use acacia_platform::upstream::Reply;
use acacia_policy::Verdict;
use acacia_policy::gateway::forward::Passage;
use bytes::Bytes;
use futures::Stream;
use futures::stream::unfold;
use http::StatusCode;

use crate::attempt::{Payload, SharedPlan};
use crate::log::Kind;
use crate::memory::Reservation;
use crate::relay::Interrupted;
use crate::request::Completion;
use crate::traffic::{Traffic, millis};

/// Connect timeout. Another instance accepts within a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Ends an exchange with an instance whose host has become unreachable.
const KEEP_ALIVE: KeepAlive = KeepAlive {
    idle: Duration::from_secs(1),
    interval: Duration::from_secs(1),
    probes: 2,
    user_timeout: Duration::from_secs(3),
};

/// The outcome of passing a request on.
pub enum Forwarded {
    /// The whole answer.
    Whole(Head, Bytes),
    /// A stream whose head has arrived.
    Stream(Box<Passed>),
    /// No usable answer. The plan records whether the request may have run.
    None,
}

/// A stream that another instance forwards.
pub struct Passed {
    /// The head of the answer.
    pub head: Head,
    connection: Connection,
    exchange: Exchange,
}

/// A request that is being passed on. Dropping it records that the caller has disconnected.
struct Exchange {
    traffic: Rc<Traffic>,
    plan: SharedPlan,
    peer: SocketAddr,
    has_ended: bool,
}

impl Exchange {
    fn finish(&mut self, passage: Passage) {
        if std::mem::replace(&mut self.has_ended, true) {
            return;
        }
        let now = self.traffic.now();
        let mut plan = self.plan.borrow_mut();
        self.traffic.gateway.borrow_mut().forwarded(now, &mut plan, self.peer, passage);
        let ending: &'static str = passage.into();
        self.traffic.metrics.passage(ending);
        let kind = match passage {
            Passage::Answered => Kind::Usual,
            _ => Kind::Failure,
        };
        if self.traffic.log_budget.admits(now, kind) {
            tracing::info!(
                id = plan.id,
                service = &*plan.service,
                peer = %self.peer,
                ending,
                verdict = %plan.verdict,
                took_ms = millis(now.saturating_sub(plan.arrived)),
                "passed on"
            );
        }
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        self.finish(Passage::Cancelled);
    }
}

/// Passes a request on to another instance.
pub async fn forward(
    traffic: &Rc<Traffic>,
    plan: &SharedPlan,
    payload: &Payload,
    peer: SocketAddr,
) -> Forwarded {
    let (traffic, plan) = (traffic.clone(), plan.clone());
    let mut exchange = Exchange { traffic, plan, peer, has_ended: false };
    let left = exchange.plan.borrow().left(exchange.traffic.now());
    match tokio::time::timeout(left, request(&exchange, payload)).await {
        Ok(Ok(Answer::Whole(head, body))) => whole(&mut exchange, head, body),
        Ok(Ok(Answer::Stream(head, connection))) => {
            Forwarded::Stream(Box::new(Passed { head, connection, exchange }))
        }
        Ok(Err(passage)) => {
            exchange.finish(passage);
            Forwarded::None
        }
        Err(_) => {
            exchange.finish(Passage::Broken);
            Forwarded::None
        }
    }
}

/// Judges a whole answer.
fn whole(exchange: &mut Exchange, head: Head, body: Bytes) -> Forwarded {
    if ingress::has_no_path(&head.headers) {
        exchange.finish(Passage::Refused);
        return Forwarded::None;
    }
    let is_refusal =
        head.status == StatusCode::SERVICE_UNAVAILABLE && !Reply::is_sealed(&head.headers);
    if !is_refusal {
        exchange.finish(Passage::Answered);
        return Forwarded::Whole(head, body);
    }
    exchange.finish(Passage::TurnedAway);
    // The refusal is true for the other instance only if the request did not run before.
    match exchange.plan.borrow().verdict {
        Verdict::NotRun => Forwarded::Whole(head, body),
        _ => Forwarded::None,
    }
}

/// An answer of another instance.
enum Answer {
    Whole(Head, Bytes),
    Stream(Head, Connection),
}

async fn request(exchange: &Exchange, payload: &Payload) -> Result<Answer, Passage> {
    let (bytes, is_stream) = {
        let plan = exchange.plan.borrow();
        let left = plan.left(exchange.traffic.now());
        let headers = ingress::passed_on(&payload.original, &plan.service, left);
        let bytes = encode_head(&payload.method, &payload.target, &headers, payload.body.len());
        (bytes, plan.route.repeat.is_stream())
    };
    let connection = Connection::open(exchange.peer, CONNECT_TIMEOUT, KEEP_ALIVE).await;
    let mut connection = connection.map_err(|_| Passage::Refused)?;
    let broken = |_: Fault| Passage::Broken;
    connection.send(&payload.method, &bytes, &payload.body).await.map_err(broken)?;
    let head = connection.head().await.map_err(broken)?;
    if is_stream && head.status.is_success() {
        return Ok(Answer::Stream(head, connection));
    }
    let mut memory = Reservation::new(&exchange.traffic);
    let body = connection.body_while(|bytes| memory.enlarge(bytes)).await.map_err(broken)?;
    Ok(Answer::Whole(head, memory.keep(body)))
}

impl Passed {
    /// The chunks of the answer to the caller; `completion` records how it ends.
    pub fn into_chunks(
        self,
        completion: Completion,
    ) -> impl Stream<Item = Result<Bytes, Interrupted>> {
        unfold(Some((self, completion)), |state| async move {
            let (mut passed, mut completion) = state?;
            let traffic = passed.exchange.traffic.clone();
            let plan = passed.exchange.plan.clone();
            match passed.connection.chunk().await {
                Ok(Some(bytes)) => Some((Ok(bytes), Some((passed, completion)))),
                // The close of a connection is no proof that the answer is complete.
                Ok(None) if passed.head.framing != Framing::Close => {
                    passed.exchange.finish(Passage::Answered);
                    completion.record(&traffic, Some(&plan.borrow()), "passed_on");
                    None
                }
                Ok(None) | Err(_) => {
                    passed.exchange.finish(Passage::Broken);
                    completion.record_broken_off(&traffic, &plan.borrow(), "passage_broken");
                    // hyper discards what it has not flushed yet when the body fails.
                    tokio::task::yield_now().await;
                    Some((Err(Interrupted), None))
                }
            }
        })
    }
}
