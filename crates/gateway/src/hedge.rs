//! A second attempt beside one whose upstream does not respond.
//!
//! A missing response is no failure: a sound upstream may be silent for a while. So the first
//! attempt goes on, and is cancelled only when the second one has answered; the second one is
//! cancelled if the first answers earlier. If one of them fails, the other goes on, and a third may
//! start beside it. No more than two are in progress at a time, as each one costs an upstream a
//! prefill and the service a part of its retry budget.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use acacia_policy::Time;
use acacia_policy::gateway::{Attempt, Ending};
use futures::future::{FutureExt, LocalBoxFuture};

use crate::attempt::{Continuation, Inflight, Outcome, Payload, SharedPlan, run};
use crate::relay::wait_until;
use crate::request::log_sent;
use crate::traffic::Traffic;

/// Sends a request to one upstream, and to another if that one does not respond in time, until an
/// upstream has answered or all have failed.
pub async fn send(
    traffic: &Rc<Traffic>,
    plan: &SharedPlan,
    attempt: Attempt,
    payload: &Rc<Payload>,
    continuation: Option<Continuation>,
) -> Outcome {
    let hedge = Hedge { is_streaming: false, ..Hedge::new(traffic, plan, payload, continuation) };
    let first = hedge.start(attempt);
    hedge.finish(first).await
}

/// The second attempt beside one that is awaited.
pub struct Hedge {
    traffic: Rc<Traffic>,
    plan: SharedPlan,
    payload: Rc<Payload>,
    /// The stream that another attempt resumes.
    continuation: Option<Continuation>,
    /// Whether the awaited attempt is a stream, which may go on.
    is_streaming: bool,
    /// The second attempt, if it is in progress.
    second: Option<Pending>,
    /// An upstream's answer that is returned if no attempt brings a better one.
    fallback: Option<Outcome>,
}

/// What came first.
pub enum Response<T> {
    /// The response to the awaited attempt.
    Own(T),
    /// The answer to the second attempt.
    Other(Outcome),
    /// The request's deadline.
    Expired,
}

/// An attempt in progress that has not answered.
struct Pending {
    attempt: Attempt,
    /// How the attempt ends if it is dropped.
    on_drop: Rc<Cell<Ending>>,
    outcome: LocalBoxFuture<'static, Outcome>,
}

impl Hedge {
    /// Prepares for the wait for the next events of a stream.
    pub fn new(
        traffic: &Rc<Traffic>,
        plan: &SharedPlan,
        payload: &Rc<Payload>,
        continuation: Option<Continuation>,
    ) -> Self {
        let (traffic, plan, payload) = (traffic.clone(), plan.clone(), payload.clone());
        let (is_streaming, second, fallback) = (true, None, None);
        Self { traffic, plan, payload, continuation, is_streaming, second, fallback }
    }

    /// Waits for the response to an attempt until the request's deadline. Each time that `timeout`
    /// passes without one, a second attempt starts if another upstream could answer in time.
    pub async fn race<T>(
        &mut self,
        attempt: &Attempt,
        timeout: Option<Duration>,
        awaited: impl Future<Output = T>,
    ) -> Response<T> {
        tokio::pin!(awaited);
        loop {
            let left = self.plan.borrow().left(self.traffic.now());
            let Some(second) = &mut self.second else {
                let wait = timeout.map_or(left, |timeout| timeout.min(left));
                if let Ok(response) = tokio::time::timeout(wait, &mut awaited).await {
                    return Response::Own(response);
                }
                if self.plan.borrow().left(self.traffic.now()).is_zero() {
                    return Response::Expired;
                }
                self.second = timeout.and_then(|_| self.start_second(attempt));
                continue;
            };
            let outcome = tokio::select! {
                biased;
                response = &mut awaited => return Response::Own(response),
                outcome = &mut second.outcome => outcome,
                () = tokio::time::sleep(left) => return Response::Expired,
            };
            self.second = None;
            // While the stream may go on, a resumed one without an event is no proof of its end.
            let is_stream = matches!(outcome, Outcome::Stream(_));
            if is_stream || (!self.is_streaming && self.is_answer(&outcome)) {
                return Response::Other(outcome);
            }
            self.keep(outcome);
        }
    }

    /// After the awaited attempt has failed: waits for the second one, if it is in progress.
    pub async fn take_over(mut self) -> Outcome {
        self.is_streaming = false;
        match self.second.take() {
            Some(second) => self.finish(second).await,
            None => self.fallback.unwrap_or(Outcome::None),
        }
    }

    /// Waits until an attempt has answered or all have failed.
    async fn finish(mut self, mut first: Pending) -> Outcome {
        loop {
            let timeout = first.attempt.response_timeout;
            let given_up = given_up(self.traffic.clone(), self.plan.clone(), first.attempt.sent);
            let response = tokio::select! {
                biased;
                response = self.race(&first.attempt, timeout, &mut first.outcome) => response,
                () = given_up => {
                    for pending in self.second.iter().chain([&first]) {
                        pending.on_drop.set(Ending::Lost);
                    }
                    break;
                }
            };
            match response {
                Response::Own(outcome) if self.is_answer(&outcome) => return outcome,
                Response::Own(outcome) => {
                    self.keep(outcome);
                    match self.second.take() {
                        Some(second) => first = second,
                        None => break,
                    }
                }
                Response::Other(outcome) => {
                    first.on_drop.set(Ending::Silent);
                    return outcome;
                }
                Response::Expired => {
                    for pending in self.second.iter().chain([&first]) {
                        pending.on_drop.set(Ending::Expired);
                    }
                    break;
                }
            }
        }
        self.fallback.unwrap_or(Outcome::None)
    }

    /// Starts an attempt.
    fn start(&self, attempt: Attempt) -> Pending {
        log_sent(&self.traffic, &self.plan.borrow(), &attempt);
        if self.traffic.gateway.borrow().has_untold_prompt() {
            self.traffic.untold_prompts.notify_one();
        }
        let inflight = Inflight::new(self.traffic.clone(), self.plan.clone(), attempt.clone());
        let on_drop = inflight.on_drop.clone();
        let outcome = run(inflight, self.payload.clone(), self.continuation.clone());
        Pending { attempt, on_drop, outcome: outcome.boxed_local() }
    }

    fn start_second(&self, attempt: &Attempt) -> Option<Pending> {
        let now = self.traffic.now();
        let mut gateway = self.traffic.gateway.borrow_mut();
        let second = gateway.hedge(now, &mut self.plan.borrow_mut(), attempt)?;
        drop(gateway);
        Some(self.start(second))
    }

    /// Whether the outcome of an attempt answers the request.
    fn is_answer(&self, outcome: &Outcome) -> bool {
        match outcome {
            Outcome::Stream(_) => true,
            Outcome::Whole(head, _) if self.continuation.is_some() => head.status.is_success(),
            Outcome::Whole(head, _) => !head.status.is_server_error(),
            Outcome::None => false,
        }
    }

    /// Keeps an upstream's own answer, which is more specific than none.
    fn keep(&mut self, outcome: Outcome) {
        let is_of_use = self.continuation.is_none() || self.is_answer(&outcome);
        if is_of_use && matches!(outcome, Outcome::Whole(..)) {
            self.fallback = Some(outcome);
        }
    }
}

/// Waits until an attempt of `sent` is given up, as the path to its service is lost.
async fn given_up(traffic: Rc<Traffic>, plan: SharedPlan, sent: Time) {
    let mut changes = traffic.path_changes.subscribe();
    loop {
        let at = traffic.gateway.borrow().give_up_at(&plan.borrow(), sent);
        match at {
            Some(at) if at <= traffic.now() => return,
            Some(at) => wait_until(&traffic, at).await,
            // The sender lives as long as the thread.
            None if changes.changed().await.is_ok() => {}
            None => std::future::pending().await,
        }
    }
}
