//! A second attempt beside one whose upstream does not respond.
//!
//! A missing response is no failure: a sound upstream may be silent for a while. So the first
//! attempt goes on, and is cancelled only when the second one has answered; the second one is
//! cancelled if the first responds earlier. A second attempt that fails leaves the first as it was,
//! and a third may start beside it. No more than two are in progress at a time, as each one costs
//! an upstream a prefill and the service a part of its retry budget.

use std::rc::Rc;
use std::time::Duration;

use acacia_policy::gateway::{Attempt, Plan};
use bytes::Bytes;

use crate::attempt::{Inflight, Outcome, Payload, send_alone};
use crate::request::log_sent;
use crate::traffic::Traffic;

/// An attempt that is awaited, and the attempts that were made beside it.
pub struct Hedge<'a> {
    traffic: &'a Rc<Traffic>,
    plan: &'a Plan,
    attempt: &'a Attempt,
    payload: &'a Payload,
    /// Id of the event after which a second attempt resumes the stream.
    last_event: Option<Bytes>,
    /// The request after second attempts that failed; none before.
    spent: Option<Plan>,
    /// The failure with which a second upstream answered.
    failure: Option<Outcome>,
}

/// What came first.
pub enum Response<T> {
    /// The response to the awaited attempt.
    Own(T),
    /// The answer to a second attempt.
    Other(Box<Answer>),
    /// The request's deadline.
    Expired,
}

/// The answer to a second attempt.
pub struct Answer {
    /// The request; none if its attempt goes on as a stream.
    pub plan: Option<Plan>,
    /// The answer.
    pub outcome: Outcome,
}

impl<'a> Hedge<'a> {
    /// Prepares for the wait for an attempt.
    pub fn new(
        traffic: &'a Rc<Traffic>,
        plan: &'a Plan,
        attempt: &'a Attempt,
        payload: &'a Payload,
        last_event: Option<Bytes>,
    ) -> Self {
        Self { traffic, plan, attempt, payload, last_event, spent: None, failure: None }
    }

    /// Waits for the attempt's response until the request's deadline. Each time that `timeout`
    /// passes without one, a second attempt starts if another upstream could answer in time.
    pub async fn race<T>(
        &mut self,
        timeout: Option<Duration>,
        awaited: impl Future<Output = T>,
    ) -> Response<T> {
        tokio::pin!(awaited);
        loop {
            let left = self.plan.left(self.traffic.now());
            let wait = timeout.map_or(left, |timeout| timeout.min(left));
            if let Ok(response) = tokio::time::timeout(wait, &mut awaited).await {
                return Response::Own(response);
            }
            let left = self.plan.left(self.traffic.now());
            if left.is_zero() {
                return Response::Expired;
            }
            let Some(second) = timeout.and_then(|_| self.start()) else { continue };
            // Second attempts are rare; the box keeps the futures of all requests small.
            let answer = Box::pin(send_alone(second, self.payload, self.last_event.clone()));
            let (plan, outcome) = tokio::select! {
                biased;
                response = &mut awaited => return Response::Own(response),
                answer = answer => answer,
                () = tokio::time::sleep(left) => return Response::Expired,
            };
            if self.is_answer(&outcome) {
                return Response::Other(Box::new(Answer { plan, outcome }));
            }
            self.record_failure(plan, outcome);
        }
    }

    /// The request after second attempts that failed, if there were any, and the failure with which
    /// an upstream answered one of them.
    pub fn into_spent(self) -> (Option<Plan>, Option<Outcome>) {
        (self.spent, self.failure)
    }

    /// Starts a second attempt.
    fn start(&self) -> Option<Inflight> {
        let now = self.traffic.now();
        let plan = self.spent.as_ref().unwrap_or(self.plan);
        let (plan, attempt) = self.traffic.gateway.borrow_mut().hedge(now, plan, self.attempt)?;
        log_sent(self.traffic, &plan, &attempt);
        Some(Inflight::new(self.traffic.clone(), plan, attempt))
    }

    /// Whether the outcome of a second attempt answers the request.
    fn is_answer(&self, outcome: &Outcome) -> bool {
        match outcome {
            Outcome::Stream(_) => true,
            Outcome::Whole(head, _) if self.last_event.is_some() => head.status.is_success(),
            Outcome::Whole(head, _) => !head.status.is_server_error(),
            Outcome::None => false,
        }
    }

    fn record_failure(&mut self, plan: Option<Plan>, outcome: Outcome) {
        if let Some(beside) = plan {
            self.spent.get_or_insert_with(|| self.plan.clone()).absorb(beside);
        }
        if matches!(outcome, Outcome::Whole(..)) {
            self.failure = Some(outcome);
        }
    }
}
