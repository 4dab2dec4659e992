//! A stream of events on its way from an upstream to a caller.

use std::rc::Rc;
use std::time::Duration;

use acacia_connection::Head;
use acacia_policy::gateway::configuration::Repeat;
use acacia_policy::gateway::{Ending, Plan, Step};
use bytes::Bytes;
use futures::Stream as FutureStream;
use futures::stream::unfold;

use crate::attempt::{Flight, Message, Outcome, Stream, broken_by, patiently, send};
use crate::event::Splitter;
use crate::request::{End, log_sent};
use crate::traffic::Traffic;

/// The stream broke off: the caller's connection is closed before the end, so that the answer does
/// not look whole.
#[derive(Debug, thiserror::Error)]
#[error("the upstream broke the stream off")]
pub struct BrokenOff;

/// A stream that is passed on.
pub struct Relay {
    traffic: Rc<Traffic>,
    message: Message,
    head: Head,
    first: Option<Bytes>,
    flight: Flight,
    splitter: Splitter,
    end: End,
}

/// What reading brought.
enum Next {
    Bytes(Bytes),
    Whole(Bytes),
    Broken(Ending),
}

impl Relay {
    /// Passes a stream on, to its end or to what is told of it by `end`.
    pub fn new(traffic: Rc<Traffic>, message: Message, stream: Stream, end: End) -> Self {
        let Stream { head, first, flight, splitter } = stream;
        Self { traffic, message, head, first: Some(first), flight, splitter, end }
    }

    /// The chunks of the caller's answer.
    pub fn into_chunks(self) -> impl FutureStream<Item = Result<Bytes, BrokenOff>> {
        unfold(Some(self), |relay| async move {
            let mut relay = relay?;
            match relay.next().await {
                Ok(Some(bytes)) => Some((Ok(bytes), Some(relay))),
                Ok(None) => None,
                Err(broken) => Some((Err(broken), None)),
            }
        })
    }

    async fn next(&mut self) -> Result<Option<Bytes>, BrokenOff> {
        if let Some(first) = self.first.take() {
            return Ok(Some(first));
        }
        if self.flight.plan.is_none() {
            return Ok(None);
        }
        match self.read().await {
            Next::Bytes(events) => Ok(Some(events)),
            Next::Whole(rest) => {
                self.flight.release(&self.head);
                let plan = self.flight.end(Ending::Answered, None);
                self.end.tell(&self.traffic, plan.as_ref(), "answered");
                Ok(Some(rest).filter(|rest| !rest.is_empty()))
            }
            Next::Broken(ending) => match self.flight.end(ending, None) {
                Some(plan) => self.resume(plan).await,
                None => Err(BrokenOff),
            },
        }
    }

    /// Reads until an event is whole.
    async fn read(&mut self) -> Next {
        let splitter = &mut self.splitter;
        let Some((plan, attempt, connection)) = self.flight.parts() else {
            return Next::Broken(Ending::Broken);
        };
        let events = async {
            loop {
                match connection.chunk().await {
                    Ok(Some(bytes)) => {
                        let events = splitter.push(&bytes);
                        if !events.is_empty() {
                            return Next::Bytes(events);
                        }
                    }
                    Ok(None) => return Next::Whole(splitter.rest()),
                    Err(fault) => return Next::Broken(broken_by(fault)),
                }
            }
        };
        let read = patiently(&self.traffic, plan, attempt, attempt.event_timeout, events).await;
        read.unwrap_or_else(Next::Broken)
    }

    /// Goes on at another upstream after the last event that the caller got.
    async fn resume(&mut self, mut plan: Plan) -> Result<Option<Bytes>, BrokenOff> {
        let last = self.splitter.last_id().cloned();
        if plan.route.repeat != Repeat::ResumableStream || last.is_none() {
            self.end.tell(&self.traffic, Some(&plan), "broken_off");
            return Err(BrokenOff);
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
                    let reason: &'static str = refusal.reason.into();
                    tracing::debug!(id = plan.id, reason, "a broken stream can't go on");
                    self.end.tell(&self.traffic, Some(&plan), "broken_off");
                    return Err(BrokenOff);
                }
            };
            log_sent(&self.traffic, &plan, &attempt);
            let flight = Flight::new(self.traffic.clone(), plan, attempt);
            match send(flight, &self.message, last.clone()).await {
                (_, Outcome::Stream(stream)) => {
                    let Stream { head, first, flight, splitter } = *stream;
                    (self.head, self.flight, self.splitter) = (head, flight, splitter);
                    return Ok(Some(first));
                }
                (Some(given_back), Outcome::None) => plan = given_back,
                (given_back, Outcome::Whole(head, body)) => {
                    // A stream whose last event the caller has already ends without another one.
                    if head.status.is_success() && body.is_empty() {
                        self.end.tell(&self.traffic, given_back.as_ref(), "answered");
                        return Ok(None);
                    }
                    match given_back {
                        Some(given_back) => plan = given_back,
                        None => return Err(BrokenOff),
                    }
                }
                (None, Outcome::None) => return Err(BrokenOff),
            }
        }
    }
}

/// Waits until a time of the decisions' clock.
pub async fn wait_until(traffic: &Traffic, at: Duration) {
    tokio::time::sleep(at.saturating_sub(traffic.now())).await;
}
