//! Forwards an event stream from an upstream to a caller.

use std::rc::Rc;
use std::time::Duration;

use acacia_connection::Head;
use acacia_policy::gateway::configuration::Repeat;
use acacia_policy::gateway::{Ending, Plan, Step};
use bytes::Bytes;
use futures::Stream as FutureStream;
use futures::stream::unfold;

use crate::attempt::{Failure, Inflight, Outcome, Payload, Stream, send, with_timeout};
use crate::event::Splitter;
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
        }
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
        let splitter = &mut self.splitter;
        let Some((plan, attempt, connection)) = self.inflight.parts() else {
            return Next::Broken(Ending::Broken.into());
        };
        if self.late_bytes > LATE_BYTES {
            return Next::Broken(Ending::Expired.into());
        }
        let is_late = self.traffic.now() >= plan.deadline;
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
        let read = with_timeout(&self.traffic, plan, attempt, attempt.event_timeout, events).await;
        if let (Ok(Next::Events(events)), true) = (&read, is_late) {
            self.late_bytes += events.len();
        }
        read.unwrap_or_else(|ending| Next::Broken(ending.into()))
    }

    /// Resumes the stream at another upstream, after the last event that the caller received.
    async fn resume(&mut self, mut plan: Plan) -> Result<Option<Bytes>, Interrupted> {
        let last = self.splitter.last_id().cloned();
        if plan.route.repeat != Repeat::ResumableStream || last.is_none() {
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
                    let Stream { head, first, inflight, splitter } = *stream;
                    (self.head, self.inflight, self.splitter) = (head, inflight, splitter);
                    return Ok(Some(first));
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

/// Waits until a time of [`Traffic::clock`].
pub async fn wait_until(traffic: &Traffic, at: Duration) {
    tokio::time::sleep(at.saturating_sub(traffic.now())).await;
}
