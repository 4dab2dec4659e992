//! One send of a request to one upstream.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use acacia_connection::{Connection, Fault, Head, KeepAlive, request};
use acacia_platform::upstream::{self, Meaning, Reply};
use acacia_policy::gateway::{Attempt, Ending, Plan};
use bytes::Bytes;
use http::{HeaderMap, Method};

use crate::event::Splitter;
use crate::traffic::Traffic;

/// Longest wait for a connection: servers answer within a few milliseconds, or not at all.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// How a silent upstream is noticed: soon enough that few requests wait for it.
const KEEP_ALIVE: KeepAlive = KeepAlive {
    idle: Duration::from_secs(1),
    interval: Duration::from_secs(1),
    probes: 2,
    // Two lost packets are sent again within it; with more, an upstream counts as gone.
    unacknowledged: Duration::from_millis(500),
};
/// Largest answer that is held back until it is whole.
const ANSWER_LIMIT: usize = 16 << 20;
/// Answers to other requests that are passed over on one connection.
const STALE_ANSWER_LIMIT: usize = 2;

/// A caller's request, whole.
#[derive(Debug)]
pub struct Payload {
    /// Its method.
    pub method: Method,
    /// Its target, with the query.
    pub target: String,
    /// The fields that go on to upstreams.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

/// What came of an attempt.
pub enum Outcome {
    /// The upstream's whole answer; a success or a failure of its own.
    Whole(Head, Bytes),
    /// The upstream's stream, with its first whole events.
    Stream(Box<Stream>),
    /// No answer that can be used. What the attempt said of itself is in the plan.
    None,
}

/// A stream that has begun.
pub struct Stream {
    /// The head of the answer.
    pub head: Head,
    /// Its first whole events.
    pub first: Bytes,
    /// What follows.
    pub inflight: Inflight,
    /// Splits it into events.
    pub splitter: Splitter,
}

/// An attempt on its way. If it is dropped, the caller left: the connection closes and the upstream
/// stops.
pub struct Inflight {
    traffic: Rc<Traffic>,
    /// The request.
    pub plan: Option<Plan>,
    attempt: Attempt,
    connection: Option<Connection>,
}

impl Inflight {
    /// Begins an attempt.
    pub fn new(traffic: Rc<Traffic>, plan: Plan, attempt: Attempt) -> Self {
        Self { traffic, plan: Some(plan), attempt, connection: None }
    }

    /// Ends the attempt and gives the request back.
    pub fn finish(&mut self, ending: Ending, instance: Option<&str>) -> Option<Plan> {
        let mut plan = self.plan.take()?;
        self.traffic.end_attempt(&mut plan, &self.attempt, ending, instance);
        Some(plan)
    }

    /// The request, the attempt and the connection of a stream that goes on.
    pub fn parts(&mut self) -> Option<(&Plan, &Attempt, &mut Connection)> {
        Some((self.plan.as_ref()?, &self.attempt, self.connection.as_mut()?))
    }

    /// Keeps the connection for another request, after a whole answer.
    pub fn release(&mut self, head: &Head) {
        let Some(connection) = self.connection.take().filter(Connection::is_reusable) else {
            return;
        };
        let advertised = upstream::idle_time(&head.headers);
        let now = self.traffic.now();
        self.traffic.pool.borrow_mut().put(now, &self.attempt.server.id, connection, advertised);
    }

    /// Takes in that the first event, or a whole plain answer, came.
    fn record_first_byte(&mut self) {
        let now = self.traffic.now();
        if let Some(plan) = &self.plan {
            self.traffic.gateway.borrow_mut().began(now, plan, &mut self.attempt);
            let took = now.saturating_sub(plan.arrived);
            self.traffic.metrics.first_byte(&plan.route.name, took);
        }
    }

    /// A connection to the upstream.
    async fn connect(&mut self, is_unrepeatable: bool) -> io::Result<&mut Connection> {
        let server = &self.attempt.server;
        let now = self.traffic.now();
        let kept = self.traffic.pool.borrow_mut().take(now, &server.id, is_unrepeatable);
        let connection = match kept {
            Some(connection) => connection,
            None => {
                self.traffic.metrics.connected();
                Connection::open(server.address, CONNECT_TIMEOUT, KEEP_ALIVE).await?
            }
        };
        Ok(self.connection.insert(connection))
    }
}

impl Drop for Inflight {
    fn drop(&mut self) {
        if let Some(mut plan) = self.plan.take() {
            self.traffic.end_attempt(&mut plan, &self.attempt, Ending::Cancelled, None);
        }
    }
}

/// Sends a request and waits for a whole plain answer, or for a stream's first event.
pub async fn send(
    mut inflight: Inflight,
    payload: &Payload,
    last_event: Option<Bytes>,
) -> (Option<Plan>, Outcome) {
    let Some(plan) = inflight.plan.clone() else { return (None, Outcome::None) };
    let (traffic, attempt) = (inflight.traffic.clone(), inflight.attempt.clone());
    let received = {
        let left = plan.left(traffic.now());
        let exchange = exchange(&mut inflight, payload, last_event, left);
        with_timeout(&traffic, &plan, &attempt, attempt.patience, exchange).await
    };
    match received {
        Ok(Ok(Received::Whole(head, body))) => finish_whole(inflight, head, body),
        Ok(Ok(Received::Stream(head, first, splitter))) => {
            let stream = Stream { head, first, inflight, splitter };
            (None, Outcome::Stream(Box::new(stream)))
        }
        Ok(Err((ending, instance))) => {
            (inflight.finish(ending, instance.as_deref()), Outcome::None)
        }
        Err(ending) => (inflight.finish(ending, None), Outcome::None),
    }
}

/// Waits for something from an upstream until the deadline, or until its patience is over and
/// another upstream could take the request.
///
/// # Errors
/// With how the attempt ended if nothing came.
pub async fn with_timeout<T>(
    traffic: &Traffic,
    plan: &Plan,
    attempt: &Attempt,
    timeout: Option<Duration>,
    awaited: impl Future<Output = T>,
) -> Result<T, Ending> {
    tokio::pin!(awaited);
    loop {
        let left = plan.left(traffic.now());
        let wait = timeout.map_or(left, |timeout| timeout.min(left));
        if let Ok(output) = tokio::time::timeout(wait, &mut awaited).await {
            return Ok(output);
        }
        let now = traffic.now();
        if now >= plan.deadline {
            return Err(Ending::Expired);
        }
        if timeout.is_some() && traffic.gateway.borrow_mut().has_alternative(now, plan, attempt) {
            return Err(Ending::Silent);
        }
    }
}

/// Ends an attempt with the upstream's own answer.
fn finish_whole(mut inflight: Inflight, head: Head, body: Bytes) -> (Option<Plan>, Outcome) {
    inflight.record_first_byte();
    inflight.release(&head);
    let reply = Reply::read(head.status, &head.headers);
    let ending = if reply.meaning == Meaning::Failure { Ending::Failed } else { Ending::Answered };
    let plan = inflight.finish(ending, reply.instance);
    (plan, Outcome::Whole(head, body))
}

/// What an exchange brought.
enum Received {
    Whole(Head, Bytes),
    Stream(Head, Bytes, Splitter),
}

/// How an exchange failed, with the upstream that answered.
type Failure = (Ending, Option<String>);

async fn exchange(
    inflight: &mut Inflight,
    payload: &Payload,
    last_event: Option<Bytes>,
    left: Duration,
) -> Result<Received, Failure> {
    let Some(plan) = inflight.plan.clone() else { return Err((Ending::Cancelled, None)) };
    let is_unrepeatable = !plan.route.repeat.is_repeatable();
    let mut headers = payload.headers.clone();
    let last = last_event.as_ref().and_then(|id| std::str::from_utf8(id).ok());
    upstream::set_attempt(&mut headers, &plan, &inflight.attempt, left, last);
    let bytes = request(&payload.method, &payload.target, &headers, payload.body.len());
    let connection =
        inflight.connect(is_unrepeatable).await.map_err(|_| (Ending::Unreachable, None))?;
    let broken = |fault: Fault| (ending_of(fault), None);
    connection.send(&payload.method, &bytes, &payload.body).await.map_err(broken)?;
    let head = matching_head(connection, &plan.id).await?;
    let reply = Reply::read(head.status, &head.headers);
    let instance = reply.instance.map(str::to_owned);
    match reply.meaning {
        Meaning::NotRun | Meaning::Misdirected => {
            let ending = match reply.meaning {
                Meaning::NotRun => Ending::Refused,
                _ => Ending::Misdirected,
            };
            if connection.body(ANSWER_LIMIT).await.is_ok() {
                inflight.release(&head);
            }
            Err((ending, instance))
        }
        Meaning::Unproven => Err((Ending::Broken, instance)),
        Meaning::Success if plan.route.repeat.is_stream() && head.status.is_success() => {
            first_event(inflight, head, last_event).await
        }
        Meaning::Success | Meaning::Failure => {
            let body = connection.body(ANSWER_LIMIT).await.map_err(broken)?;
            Ok(Received::Whole(head, body))
        }
    }
}

/// What a fault in the middle of an exchange says of the upstream.
pub fn ending_of(fault: Fault) -> Ending {
    match fault {
        Fault::Unacknowledged => Ending::Lost,
        Fault::Malformed | Fault::Closed | Fault::Reset => Ending::Broken,
    }
}

/// The head of the answer to this request. An answer to an earlier one may come before it.
async fn matching_head(connection: &mut Connection, id: &str) -> Result<Head, Failure> {
    for _ in 0..=STALE_ANSWER_LIMIT {
        let head = connection.head().await.map_err(|fault| (ending_of(fault), None))?;
        if Reply::read(head.status, &head.headers).id == Some(id) {
            return Ok(head);
        }
        connection.body(ANSWER_LIMIT).await.map_err(|fault| (ending_of(fault), None))?;
    }
    Err((Ending::Broken, None))
}

/// Waits for the first whole event of a stream.
async fn first_event(
    inflight: &mut Inflight,
    head: Head,
    last_event: Option<Bytes>,
) -> Result<Received, Failure> {
    let mut splitter = Splitter::after(last_event);
    loop {
        let Some((_, _, connection)) = inflight.parts() else {
            return Err((Ending::Cancelled, None));
        };
        match connection.chunk().await {
            Ok(Some(bytes)) => {
                let first = splitter.push(&bytes);
                if !first.is_empty() {
                    inflight.record_first_byte();
                    return Ok(Received::Stream(head, first, splitter));
                }
            }
            Ok(None) => return Ok(Received::Whole(head, splitter.rest())),
            Err(fault) => return Err((ending_of(fault), None)),
        }
    }
}
