//! Forwards an event stream from an upstream to a caller.

use std::rc::Rc;
use std::time::Duration;

use acacia_connection::Head;
use acacia_policy::gateway::configuration::Repeat;
use acacia_policy::gateway::{Ending, Plan, Step};
use bytes::Bytes;
use futures::Stream as FutureStream;
use futures::stream::unfold;

use crate::attempt::{Failure, Inflight, Outcome, Payload, Stream, send};
use crate::event::Splitter;
use crate::hedge::{Hedge, Response};
use crate::request::{Completion, log_sent};
use crate::traffic::Traffic;

/// Bytes that are forwarded after the deadline if they are ready, as for a slow caller.
const LATE_BYTES: usize = 1 << 20;

/// The stream was interrupted. The caller's connection is closed without an end, so that the answer
/// is recognisably incomplete.
#[derive(Debug, thiserror::Error)]
#[error("the upstream interrupted the stream")]
pub struct Interrupted;

/// A stream that is being forwarded.
pub struct Relay {
    traffic: Rc<Traffic>,
    payload: Payload,
    head: Head,
    first: Option<Bytes>,
    inflight: Inflight,
    splitter: Splitter,
    completion: Completion,
    /// Bytes forwarded after the deadline.
    late_bytes: usize,
}

/// Result of reading from the upstream.
enum Next {
    Events(Bytes),
    End,
    Broken(Failure),
    /// Another upstream goes on with the stream.
    Resumed(Box<Stream>),
    /// Another upstream has no event after the last one that the caller received.
    Complete(Option<Plan>),
}

impl Relay {
    /// Forwards a stream; `completion` records how it ends.
    pub fn new(
        traffic: Rc<Traffic>,
        payload: Payload,
        stream: Stream,
        completion: Completion,
    ) -> Self {
        let Stream { head, first, inflight, splitter } = stream;
        Self {
            traffic,
            payload,
            head,
            first: Some(first),
            inflight,
            splitter,
            completion,
            late_bytes: 0,
        }
    }

    /// The chunks of the answer to the caller.
    pub fn into_chunks(self) -> impl FutureStream<Item = Result<Bytes, Interrupted>> {
        unfold(Some(self), |relay| async move {
            let mut relay = relay?;
            match relay.next().await {
                Ok(Some(bytes)) => Some((Ok(bytes), Some(relay))),
                Ok(None) => None,
                Err(broken) => {
                    // hyper discards what it has not flushed yet when the body fails.
                    tokio::task::yield_now().await;
                    Some((Err(broken), None))
                }
            }
        })
    }

    async fn next(&mut self) -> Result<Option<Bytes>, Interrupted> {
        if let Some(first) = self.first.take() {
            return Ok(Some(first));
        }
        if self.inflight.plan.is_none() {
            return Ok(None);
        }
        match self.read().await {
            Next::Events(events) => Ok(Some(events)),
            Next::End => match self.inflight.end_stream(&self.head, &mut self.splitter) {
                Ok(rest) => {
                    self.inflight.release(&self.head);
                    let plan = self.inflight.finish(Ending::Answered, None);
                    self.completion.record(&self.traffic, plan.as_ref(), "answered");
                    Ok(Some(rest).filter(|rest| !rest.is_empty()))
                }
                Err(failure) => self.recover(failure).await,
            },
            Next::Broken(failure) => self.recover(failure).await,
            Next::Resumed(stream) => {
                self.inflight.finish(Ending::Silent, None);
                Ok(Some(self.switch_to(*stream)))
            }
            Next::Complete(plan) => {
                self.inflight.finish(Ending::Silent, None);
                self.completion.record(&self.traffic, plan.as_ref(), "answered");
                Ok(None)
            }
        }
    }

    /// Goes on with a stream that another upstream has resumed; returns its first events.
    fn switch_to(&mut self, stream: Stream) -> Bytes {
        let Stream { head, first, inflight, splitter } = stream;
        (self.head, self.inflight, self.splitter) = (head, inflight, splitter);
        first
    }

    /// Resumes the stream after a failure of its upstream, if it can be resumed.
    async fn recover(&mut self, failure: Failure) -> Result<Option<Bytes>, Interrupted> {
        match self.inflight.fail(failure) {
            Some(plan) => self.resume(plan).await,
            None => Err(Interrupted),
        }
    }

    /// Reads until at least one event is whole.
    async fn read(&mut self) -> Next {
        if self.late_bytes > LATE_BYTES {
            return Next::Broken(Ending::Expired.into());
        }
        let last_event = self.splitter.last_id().cloned();
        let splitter = &mut self.splitter;
        let Some((plan, attempt, connection)) = self.inflight.parts() else {
            return Next::Broken(Ending::Broken.into());
        };
        let is_late = self.traffic.now() >= plan.deadline;
        let is_resumable = is_resumable(plan, last_event.as_ref());
        let timeout = attempt.event_timeout.filter(|_| is_resumable);
        let events = async {
            loop {
                match connection.chunk().await {
                    Ok(Some(bytes)) => match splitter.push(&bytes) {
                        Ok(events) if events.is_empty() => {}
                        Ok(events) => return Next::Events(events),
                        Err(oversized) => return Next::Broken(oversized.into()),
                    },
                    Ok(None) => return Next::End,
                    Err(fault) => return Next::Broken(fault.into()),
                }
            }
        };
        let mut hedge = Hedge::new(&self.traffic, plan, attempt, &self.payload, last_event);
        let response = hedge.race(timeout, events).await;
        let (spent, _) = hedge.into_spent();
        self.inflight.update_plan(spent);
        match response {
            Response::Own(next) => {
                if let (Next::Events(events), true) = (&next, is_late) {
                    self.late_bytes += events.len();
                }
                next
            }
            Response::Other(answer) => match answer.outcome {
                Outcome::Stream(stream) => Next::Resumed(stream),
                Outcome::Whole(..) | Outcome::None => Next::Complete(answer.plan),
            },
            Response::Expired => Next::Broken(Ending::Expired.into()),
        }
    }

    /// Resumes the stream at another upstream, after the last event that the caller received.
    async fn resume(&mut self, mut plan: Plan) -> Result<Option<Bytes>, Interrupted> {
        let last = self.splitter.last_id().cloned();
        if !is_resumable(&plan, last.as_ref()) {
            self.completion.record_broken_off(&self.traffic, &plan, "not_resumable");
            return Err(Interrupted);
        }
        loop {
            let now = self.traffic.now();
            let step = self.traffic.gateway.borrow_mut().next(now, &mut plan);
            let attempt = match step {
                Step::Send(attempt) => *attempt,
                Step::Wait(at) => {
                    wait_until(&self.traffic, at).await;
                    continue;
                }
                Step::Refuse(refusal) => {
                    self.completion.record_broken_off(&self.traffic, &plan, refusal.reason.into());
                    return Err(Interrupted);
                }
            };
            log_sent(&self.traffic, &plan, &attempt);
            let inflight = Inflight::new(self.traffic.clone(), plan, attempt);
            match send(inflight, &self.payload, last.clone()).await {
                (_, Outcome::Stream(stream)) => {
                    return Ok(Some(self.switch_to(*stream)));
                }
                (Some(given_back), Outcome::None) => plan = given_back,
                (given_back, Outcome::Whole(head, _)) => {
                    // If the caller already has the last event, the resumed stream is empty.
                    if head.status.is_success() {
                        self.completion.record(&self.traffic, given_back.as_ref(), "answered");
                        return Ok(None);
                    }
                    match given_back {
                        Some(given_back) => plan = given_back,
                        None => return Err(Interrupted),
                    }
                }
                (None, Outcome::None) => return Err(Interrupted),
            }
        }
    }
}

/// Whether another upstream can go on with a stream after the event `last`.
fn is_resumable(plan: &Plan, last: Option<&Bytes>) -> bool {
    plan.route.repeat == Repeat::ResumableStream && last.is_some()
}

/// Waits until a time of [`Traffic::clock`].
pub async fn wait_until(traffic: &Traffic, at: Duration) {
    tokio::time::sleep(at.saturating_sub(traffic.now())).await;
}
