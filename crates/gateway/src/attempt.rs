//! One attempt to send a request to one upstream.

use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use std::time::Duration;

use acacia_connection::{Connection, Fault, Framing, Head, KeepAlive, encode_head};
use acacia_platform::upstream::{self, Meaning, Reply};
use acacia_policy::gateway::{Attempt, Ending, Plan};
use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{HeaderMap, Method, StatusCode};

use crate::event::{End, Oversized, Splitter};
use crate::log::Kind;
use crate::memory::Reservation;
use crate::traffic::Traffic;

/// Connect timeout. A reachable server accepts within a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Ends the exchange with a host that stays unreachable. Before that, a second attempt or the
/// deadline limits the wait, as the host of a sound upstream may be silent for a while. Long requests
/// have no user timeout while they are sent; the probes apply to them afterwards.
const KEEP_ALIVE: KeepAlive = KeepAlive {
    idle: Duration::from_secs(1),
    interval: Duration::from_secs(1),
    probes: 4,
    // TCP doubles the time between retransmissions, so the one that ends a silence may be late.
    user_timeout: Duration::from_secs(4),
};
/// Size limit of a skipped body, in bytes. A connection is closed instead of reading more.
const DISCARD_LIMIT: usize = 256 << 10;
/// Longest wait for the rest of a refusal. A longer one costs more than another connection.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(50);
/// Answers to earlier requests that are skipped on one connection.
const STALE_ANSWER_LIMIT: usize = 2;

/// A caller's request, with its whole body.
#[derive(Debug)]
pub struct Payload {
    /// The method.
    pub method: Method,
    /// The request target, including the query.
    pub target: String,
    /// Headers that are forwarded to upstreams.
    pub headers: HeaderMap,
    /// The caller's headers.
    pub original: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// A stream that an attempt is to go on with.
#[derive(Clone, Debug)]
pub struct Continuation {
    /// Id of the last event that the caller received.
    pub last_event: Bytes,
    /// Status of the answer that the caller receives.
    status: StatusCode,
    /// Its media type.
    media_type: Option<String>,
}

impl Continuation {
    /// The rest of an answer after the event with the id `last_event`.
    pub fn new(head: &Head, last_event: Bytes) -> Self {
        Self { last_event, status: head.status, media_type: media_type(head) }
    }

    /// Whether an answer with this head can be the rest of the stream.
    fn is_continued_by(&self, head: &Head) -> bool {
        head.status == self.status && media_type(head) == self.media_type
    }
}

/// Media type of an answer, without its parameters.
fn media_type(head: &Head) -> Option<String> {
    let value = head.headers.get(CONTENT_TYPE)?.to_str().ok()?;
    value.split(';').next().map(|name| name.trim().to_ascii_lowercase())
}

/// The outcome of an attempt.
pub enum Outcome {
    /// The upstream's whole answer, a success or an error.
    Whole(Head, Bytes),
    /// A stream whose first whole events have arrived.
    Stream(Box<Stream>),
    /// No usable answer. The plan records how the attempt ended.
    None,
}

/// A stream whose first events have arrived.
pub struct Stream {
    /// The head of the answer.
    pub head: Head,
    /// The first whole events.
    pub first: Bytes,
    /// The attempt that receives the rest of the stream.
    pub inflight: Inflight,
    /// Splits the stream into events.
    pub splitter: Splitter,
}

/// The state of a request, which its attempts share.
pub type SharedPlan = Rc<RefCell<Plan>>;

/// An attempt in progress. Dropping it cancels the attempt, as the caller has disconnected or
/// another attempt has answered: the connection is closed, which stops the upstream.
pub struct Inflight {
    traffic: Rc<Traffic>,
    /// The state of the request.
    pub plan: SharedPlan,
    /// The attempt.
    pub attempt: Attempt,
    connection: Option<Connection>,
    /// What was received of the answer.
    pub progress: Progress,
    /// How the attempt ends if it is dropped.
    pub on_drop: Rc<Cell<Ending>>,
    /// Whether the attempt has ended.
    pub has_ended: bool,
}

/// What was received of an answer, for the log.
#[derive(Clone, Copy, Debug, Default)]
pub struct Progress {
    /// Framing of the body; none before the head.
    pub framing: Option<Framing>,
    /// Bytes of the event inside which a stream was broken off.
    pub incomplete_bytes: Option<usize>,
    /// Why the exchange failed.
    pub fault: Option<&'static str>,
    /// Whether the connection was opened for this request.
    pub is_new_connection: bool,
}

impl Inflight {
    /// Starts an attempt.
    pub fn new(traffic: Rc<Traffic>, plan: SharedPlan, attempt: Attempt) -> Self {
        Self {
            traffic,
            plan,
            attempt,
            connection: None,
            progress: Progress::default(),
            on_drop: Rc::new(Cell::new(Ending::Cancelled)),
            has_ended: false,
        }
    }

    /// Finishes the attempt, unless it has ended.
    pub fn finish(&mut self, ending: Ending, instance: Option<&str>) {
        if !std::mem::replace(&mut self.has_ended, true) {
            let mut plan = self.plan.borrow_mut();
            self.traffic.end_attempt(&mut plan, &self.attempt, ending, instance, self.progress);
        }
    }

    /// Finishes an attempt that failed.
    pub fn fail(&mut self, failure: Failure) {
        self.progress.fault = failure.fault;
        self.finish(failure.ending, failure.instance.as_deref());
    }

    /// Judges the end of a stream and returns what follows its last event.
    ///
    /// # Errors
    /// If the upstream broke the stream off.
    pub fn end_stream(&mut self, head: &Head, splitter: &mut Splitter) -> Result<Bytes, Failure> {
        match splitter.end(head.framing) {
            End::Whole(rest) => Ok(rest),
            End::BrokenOff { incomplete_bytes } => {
                self.progress.incomplete_bytes = Some(incomplete_bytes);
                Err(Failure::broken(
                    "the stream ended inside or before an event, or with an answer",
                ))
            }
        }
    }

    /// The attempt and its connection, unless it has ended.
    pub fn parts(&mut self) -> Option<(&Attempt, &mut Connection)> {
        let connection = self.connection.as_mut().filter(|_| !self.has_ended)?;
        Some((&self.attempt, connection))
    }

    /// Returns the connection to the pool after a whole answer.
    pub fn release(&mut self, head: &Head) {
        let Some(connection) = self.connection.take().filter(Connection::is_reusable) else {
            return;
        };
        let advertised = upstream::idle_time(&head.headers);
        let now = self.traffic.now();
        self.traffic.pool.borrow_mut().put(now, &self.attempt.server.id, connection, advertised);
    }

    /// Records the arrival of bytes.
    pub fn record_bytes(&self) {
        let (now, is_new) = (self.traffic.now(), self.progress.is_new_connection);
        let mut gateway = self.traffic.gateway.borrow_mut();
        gateway.path_heard(now, &self.plan.borrow(), &self.attempt, is_new);
    }

    /// Records the arrival of the first event or of a whole plain answer.
    fn record_first_byte(&mut self) {
        let now = self.traffic.now();
        let mut plan = self.plan.borrow_mut();
        self.traffic.gateway.borrow_mut().began(now, &plan, &mut self.attempt);
        if plan.route.repeat.is_stream() {
            plan.begin_stream(&self.attempt);
        }
        let took = now.saturating_sub(plan.arrived);
        self.traffic.metrics.first_byte(&plan.route.name, took);
    }

    /// Finishes the attempt with the upstream's own answer.
    fn finish_whole(&mut self, head: &Head) {
        self.record_first_byte();
        self.release(head);
        let reply = Reply::read(head.status, &head.headers);
        let ending =
            if reply.meaning == Meaning::Failure { Ending::Failed } else { Ending::Answered };
        self.finish(ending, reply.instance);
    }

    /// Takes a connection to the upstream from the pool, or opens one.
    async fn connect(&mut self, is_unrepeatable: bool) -> io::Result<&mut Connection> {
        let server = &self.attempt.server;
        let now = self.traffic.now();
        // Only a new connection proves a path that was lost.
        let is_trial = self.plan.borrow().is_path_trial;
        let kept = (!is_trial)
            .then(|| self.traffic.pool.borrow_mut().take(now, &server.id, is_unrepeatable))
            .flatten();
        let connection = match kept {
            Some(connection) => connection,
            None => {
                self.traffic.metrics.connected();
                self.progress.is_new_connection = true;
                Connection::open(server.address, CONNECT_TIMEOUT, KEEP_ALIVE).await?
            }
        };
        Ok(self.connection.insert(connection))
    }
}

impl Drop for Inflight {
    fn drop(&mut self) {
        // Without a head of an answer, the upstream may not have received the whole request yet.
        if let (Some(connection), None) = (&self.connection, self.progress.framing)
            && let Err(error) = connection.abort()
        {
            tracing::debug!(%error, "failed to abort a connection");
        }
        self.finish(self.on_drop.get(), None);
    }
}

/// Runs an attempt until a whole plain answer or a stream's first event. The caller limits the time.
pub async fn run(
    mut inflight: Inflight,
    payload: Rc<Payload>,
    continuation: Option<Continuation>,
) -> Outcome {
    let traffic = inflight.traffic.clone();
    let run = inflight.attempt.engine.as_ref().map(|run| (run.model.clone(), run.weights));
    let exchange = exchange(&mut inflight, &payload, continuation);
    let received = match run {
        Some((model, weights)) => tokio::select! {
            biased;
            received = exchange => received,
            () = traffic.start_ended(&model, weights) => Err(Ending::Outdated.into()),
        },
        None => exchange.await,
    };
    match received {
        Ok(Received::Whole(head, body)) => {
            inflight.finish_whole(&head);
            Outcome::Whole(head, body)
        }
        Ok(Received::Stream(head, first, splitter)) => {
            Outcome::Stream(Box::new(Stream { head, first, inflight, splitter }))
        }
        Err(failure) => {
            inflight.fail(failure);
            Outcome::None
        }
    }
}

/// The answer that an exchange received.
enum Received {
    Whole(Head, Bytes),
    Stream(Head, Bytes, Splitter),
}

/// How an exchange failed.
#[derive(Debug)]
pub struct Failure {
    ending: Ending,
    /// Instance id from the answer, if it gave one.
    instance: Option<String>,
    /// The cause, for the log.
    fault: Option<&'static str>,
}

impl Failure {
    fn new(ending: Ending, instance: Option<String>) -> Self {
        Self { ending, instance, fault: None }
    }

    fn broken(fault: &'static str) -> Self {
        Self { ending: Ending::Broken, instance: None, fault: Some(fault) }
    }
}

impl From<Ending> for Failure {
    fn from(ending: Ending) -> Self {
        Self::new(ending, None)
    }
}

impl From<Fault> for Failure {
    fn from(fault: Fault) -> Self {
        let ending = match fault {
            Fault::Unacknowledged => Ending::Lost,
            Fault::Malformed | Fault::Closed | Fault::Reset => Ending::Broken,
        };
        Self { ending, instance: None, fault: Some(fault.into()) }
    }
}

impl From<Oversized> for Failure {
    fn from(_: Oversized) -> Self {
        Self::broken("an event of the stream exceeds the size limit")
    }
}

async fn exchange(
    inflight: &mut Inflight,
    payload: &Payload,
    continuation: Option<Continuation>,
) -> Result<Received, Failure> {
    let last_event = continuation.as_ref().map(|continuation| &continuation.last_event);
    let head = request_head(inflight, payload, last_event).await?;
    inflight.progress.framing = Some(head.framing);
    inflight.record_bytes();
    let (traffic, server) = (inflight.traffic.clone(), inflight.attempt.server.clone());
    let reply = Reply::read(head.status, &head.headers);
    if reply.is_from(&server.id) {
        record_statements(&traffic, &inflight.attempt, &reply);
    }
    let instance = reply.instance.map(str::to_owned);
    let is_stream = inflight.plan.borrow().route.repeat.is_stream();
    let Some((_, connection)) = inflight.parts() else {
        return Err(Ending::Cancelled.into());
    };
    match reply.meaning {
        // The request may go to the same upstream again, where the id could not tell this answer,
        // written once more, from the next one. So the connection is not kept.
        Meaning::Misdirected => Err(Failure::new(Ending::Misdirected, instance)),
        Meaning::NotRun => {
            let rest = tokio::time::timeout(DISCARD_TIMEOUT, connection.discard(DISCARD_LIMIT));
            if matches!(rest.await, Ok(Ok(()))) {
                inflight.release(&head);
            }
            Err(Failure::new(Ending::Refused, instance))
        }
        Meaning::Unverified => Err(Failure::new(Ending::Broken, instance)),
        Meaning::Success if continuation.as_ref().is_some_and(|c| !c.is_continued_by(&head)) => {
            let fault = Some("the answer to a resumed stream is of another kind");
            Err(Failure { fault, ..Failure::new(Ending::Failed, instance) })
        }
        Meaning::Success if is_stream && head.status.is_success() => {
            let last_event = continuation.map(|continuation| continuation.last_event);
            first_event(inflight, head, last_event).await
        }
        Meaning::Success | Meaning::Failure => {
            let mut memory = Reservation::new(&traffic);
            let body = connection.body_while(|bytes| memory.enlarge(bytes)).await?;
            Ok(Received::Whole(head, memory.keep(body)))
        }
    }
}

/// Records what an upstream states about itself in the head of its answer.
fn record_statements(traffic: &Traffic, attempt: &Attempt, reply: &Reply<'_>) {
    let (now, server) = (traffic.now(), &attempt.server);
    traffic.gateway.borrow_mut().heard(now, attempt.sent, server, reply.notice);
    traffic.report_limits();
    if reply.is_limit_malformed && traffic.log_budget.admits(now, Kind::Failure) {
        tracing::warn!(server = &*server.id, "ignored a malformed rate limit");
    }
    if reply.is_tolerance_malformed && traffic.log_budget.admits(now, Kind::Failure) {
        tracing::warn!(server = &*server.id, "ignored a malformed limit on refusals");
    }
    if let (Meaning::Misdirected, Some(version)) = (reply.meaning, reply.weights) {
        traffic.gateway.borrow_mut().weights_stated(attempt, version);
    }
}

/// Sends the request and reads the head of its answer.
async fn request_head(
    inflight: &mut Inflight,
    payload: &Payload,
    last_event: Option<&Bytes>,
) -> Result<Head, Failure> {
    let mut headers = payload.headers.clone();
    let last = last_event.and_then(|id| std::str::from_utf8(id).ok());
    let (id, is_unrepeatable) = {
        let plan = inflight.plan.borrow();
        let left = plan.left(inflight.traffic.now());
        upstream::set_attempt(&mut headers, &plan, &inflight.attempt, left, last);
        (plan.id.clone(), !plan.route.repeat.is_repeatable())
    };
    let bytes = encode_head(&payload.method, &payload.target, &headers, payload.body.len());
    let connection = inflight.connect(is_unrepeatable).await.map_err(|_| Ending::Unreachable)?;
    connection.send(&payload.method, &bytes, &payload.body).await?;
    matching_head(connection, &id).await
}

/// Reads the answer to the request with this `id`, skipping answers to earlier requests.
async fn matching_head(connection: &mut Connection, id: &str) -> Result<Head, Failure> {
    for _ in 0..=STALE_ANSWER_LIMIT {
        let head = connection.head().await?;
        if Reply::read(head.status, &head.headers).id == Some(id) {
            return Ok(head);
        }
        connection.discard(DISCARD_LIMIT).await?;
    }
    Err(Ending::Broken.into())
}

/// Waits for the first whole event of a stream.
async fn first_event(
    inflight: &mut Inflight,
    head: Head,
    last_event: Option<Bytes>,
) -> Result<Received, Failure> {
    let mut splitter = Splitter::after(last_event);
    loop {
        let Some((_, connection)) = inflight.parts() else {
            return Err(Ending::Cancelled.into());
        };
        match connection.chunk().await? {
            Some(bytes) => {
                let first = splitter.push(&bytes)?;
                if !first.is_empty() {
                    inflight.record_first_byte();
                    return Ok(Received::Stream(head, first, splitter));
                }
            }
            None => {
                let rest = inflight.end_stream(&head, &mut splitter)?;
                return Ok(Received::Whole(head, rest));
            }
        }
    }
}
