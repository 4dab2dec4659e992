//! Forwards an event stream from an upstream to a caller.

use std::rc::Rc;
use std::time::Duration;

use acacia_connection::Head;
use acacia_policy::gateway::configuration::Repeat;
use acacia_policy::gateway::forward::Passage;
use acacia_policy::gateway::{Ending, Reason, Step};
use bytes::Bytes;
use futures::Stream as FutureStream;
use futures::stream::unfold;

use crate::attempt::{Continuation, Failure, Inflight, Outcome, Payload, Stream};
use crate::event::Splitter;
use crate::hedge::{Hedge, Response, send};
use crate::request::Completion;
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
    payload: Rc<Payload>,
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
    Resumed(Outcome),
}

impl Relay {
    /// Forwards a stream; `completion` records how it ends.
    pub fn new(
        traffic: Rc<Traffic>,
        payload: Rc<Payload>,
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
        if self.inflight.has_ended {
            return Ok(None);
        }
        let (next, hedge) = self.read().await;
        match next {
            Next::Events(events) => {
                self.inflight.record_bytes();
                Ok(Some(events))
            }
            Next::End => match self.inflight.end_stream(&self.head, &mut self.splitter) {
                Ok(rest) => {
                    self.inflight.release(&self.head);
                    self.complete();
                    Ok(Some(rest).filter(|rest| !rest.is_empty()))
                }
                Err(failure) => self.recover(failure, hedge).await,
            },
            Next::Broken(failure) => self.recover(failure, hedge).await,
            Next::Resumed(outcome) => {
                self.inflight.finish(Ending::Silent, None);
                self.go_on(outcome).unwrap_or(Err(Interrupted))
            }
        }
    }

    /// Records that the caller has the whole answer.
    fn complete(&mut self) {
        self.inflight.finish(Ending::Answered, None);
        let plan = self.inflight.plan.borrow();
        self.completion.record(&self.traffic, Some(&plan), "answered");
    }

    /// Goes on with another upstream's answer; none if it is a failure.
    fn go_on(&mut self, outcome: Outcome) -> Option<Result<Option<Bytes>, Interrupted>> {
        match outcome {
            Outcome::Stream(stream) => {
                let Stream { head, first, inflight, splitter } = *stream;
                (self.head, self.inflight, self.splitter) = (head, inflight, splitter);
                Some(Ok(Some(first)))
            }
            // If the caller already has the last event, the rest of the stream is empty.
            Outcome::Whole(head, _) if head.status.is_success() => {
                self.complete();
                Some(Ok(None))
            }
            Outcome::Whole(..) | Outcome::None => None,
        }
    }

    /// Goes on with the second attempt after a failure of the first, or resumes the stream.
    async fn recover(
        &mut self,
        failure: Failure,
        hedge: Hedge,
    ) -> Result<Option<Bytes>, Interrupted> {
        self.inflight.fail(failure);
        let outcome = hedge.take_over().await;
        match self.go_on(outcome) {
            Some(events) => events,
            None => self.resume().await,
        }
    }

    /// Reads until at least one event is whole. A second attempt may be in progress then.
    async fn read(&mut self) -> (Next, Hedge) {
        let continuation = self.continuation();
        let plan = self.inflight.plan.clone();
        let is_resumable = continuation.is_some();
        let mut hedge = Hedge::new(&self.traffic, &plan, &self.payload, continuation);
        if self.late_bytes > LATE_BYTES {
            return (Next::Broken(Ending::Expired.into()), hedge);
        }
        let is_late = self.traffic.now() >= plan.borrow().deadline;
        let splitter = &mut self.splitter;
        let Some((attempt, connection)) = self.inflight.parts() else {
            return (Next::Broken(Ending::Broken.into()), hedge);
        };
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
        let next = match hedge.race(attempt, timeout, events).await {
            Response::Own(next) => next,
            Response::Other(outcome) => Next::Resumed(outcome),
            Response::Expired => Next::Broken(Ending::Expired.into()),
        };
        if let (Next::Events(events), true) = (&next, is_late) {
            self.late_bytes += events.len();
        }
        (next, hedge)
    }

    /// The rest of the stream, if another upstream can go on with it.
    fn continuation(&self) -> Option<Continuation> {
        let is_resumable = self.inflight.plan.borrow().route.repeat == Repeat::ResumableStream;
        let last = self.splitter.last_id().filter(|_| is_resumable)?;
        Some(Continuation::new(&self.head, last.clone()))
    }

    /// Resumes the stream at another upstream, after the last event that the caller received.
    async fn resume(&mut self) -> Result<Option<Bytes>, Interrupted> {
        let plan = self.inflight.plan.clone();
        let Some(continuation) = self.continuation() else {
            self.completion.record_broken_off(&self.traffic, &plan.borrow(), "not_resumable");
            return Err(Interrupted);
        };
        loop {
            let now = self.traffic.now();
            let step = self.traffic.gateway.borrow_mut().next(now, &mut plan.borrow_mut());
            let attempt = match step {
                Step::Send(attempt) => *attempt,
                Step::Wait(at) => {
                    wait_until(&self.traffic, at).await;
                    continue;
                }
                // Other instances don't know the events that the caller has.
                Step::Forward(peer) => {
                    let mut gateway = self.traffic.gateway.borrow_mut();
                    gateway.forwarded(now, &mut plan.borrow_mut(), peer, Passage::TurnedAway);
                    drop(gateway);
                    let reason = Reason::NoUpstream.into();
                    self.completion.record_broken_off(&self.traffic, &plan.borrow(), reason);
                    return Err(Interrupted);
                }
                Step::Refuse(refusal) => {
                    let reason = refusal.reason.into();
                    self.completion.record_broken_off(&self.traffic, &plan.borrow(), reason);
                    return Err(Interrupted);
                }
            };
            let stream = Some(continuation.clone());
            let outcome = send(&self.traffic, &plan, attempt, &self.payload, stream).await;
            if let Some(events) = self.go_on(outcome) {
                return events;
            }
        }
    }
}

/// Waits until a time of [`Traffic::clock`].
pub async fn wait_until(traffic: &Traffic, at: Duration) {
    tokio::time::sleep(at.saturating_sub(traffic.now())).await;
}
