//! Handles one caller's request, from its head to its answer.

use std::cell::RefCell;
use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;

use acacia_connection::Head;
use acacia_platform::{ingress, upstream};
use acacia_policy::gateway::call::content_hash;
use acacia_policy::gateway::{Attempt, Call, Plan, Reason, Refusal, Step};
use acacia_policy::{Time, Verdict};
use bytes::Bytes;
use futures::StreamExt;
use http::header::{CONNECTION, CONTENT_TYPE};
use http::request::Parts;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};

use crate::attempt::{Outcome, Payload, Stream};
use crate::body::{self, discard};
use crate::forward::{Forwarded, Passed, forward};
use crate::handover;
use crate::hedge::send;
use crate::log::Kind;
use crate::memory::Written;
use crate::relay::{Interrupted, Relay, wait_until};
use crate::traffic::{Phase, Traffic, millis};

/// Body of an answer.
pub type Body = Pin<Box<dyn hyper::body::Body<Data = Bytes, Error = Interrupted>>>;

/// Refusal of a request that another instance passes on while this one stops.
pub const LEAVING: Refusal =
    Refusal { reason: Reason::NoPath, verdict: Verdict::NotRun, retry_after: None };

/// Refusal of a request that may outlast this instance. Other instances can serve it at once.
pub const STOPPING: Refusal = Refusal {
    reason: Reason::Stopping,
    verdict: Verdict::NotRun,
    retry_after: Some(Time::from_millis(50)),
};

/// Who a request comes from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Origin {
    /// A caller.
    Caller,
    /// Another instance, which passes it on.
    Instance,
}

/// Answers a request. The future is dropped when the caller disconnects.
pub async fn handle(
    traffic: Rc<Traffic>,
    origin: Origin,
    request: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    let arrived = traffic.now();
    let (head, incoming) = request.into_parts();
    if origin == Origin::Instance && is_handover(&head) {
        discard(incoming);
        let body = Full::new(handover::answer(&traffic)).map_err(never);
        return Ok(answer(StatusCode::OK, HeaderMap::new(), Box::pin(body)));
    }
    let mut call = match ingress::call(&head) {
        Ok(call) => call,
        Err(problem) => {
            discard(incoming);
            return Ok(malformed(&traffic, &problem.to_string()));
        }
    };
    let id = call.id.clone();
    let mut completion = Completion { arrived, id: id.clone() };
    let service = match origin {
        Origin::Caller => None,
        Origin::Instance => ingress::forwarded_service(&head.headers).map(str::to_owned),
    };
    let received = body::read(&traffic, &call, arrived, service.is_some(), incoming).await;
    let mut response = match received {
        Ok(body) => {
            let payload = Payload {
                target: head.uri.path_and_query().map_or("/", |target| target.as_str()).to_owned(),
                headers: upstream::forwarded(&head.headers),
                original: head.headers,
                method: head.method,
                body,
            };
            call.content = content_hash(payload.method.as_str(), &payload.target, &payload.body);
            match admit(&traffic, arrived, call, service.as_deref()).await {
                Ok(plan) => serve(&traffic, plan, payload, completion).await,
                Err(refusal) => {
                    completion.record_refusal(&traffic, None, &refusal);
                    answer_refusal(&id, &refusal)
                }
            }
        }
        Err(refusal) => {
            completion.record_refusal(&traffic, None, &refusal);
            answer_refusal(&id, &refusal)
        }
    };
    if traffic.phase.get() != Phase::Serving {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}

/// Whether another instance that starts asks for what this one knows.
fn is_handover(head: &Parts) -> bool {
    head.uri.path() == handover::PATH && ingress::forwarded_service(&head.headers).is_none()
}

/// Finds the request's route and upstreams; waits for a current view first if the decision depends on it.
async fn admit(
    traffic: &Traffic,
    arrived: Time,
    call: Call,
    service: Option<&str>,
) -> Result<Plan, Refusal> {
    let awaits_view = traffic.gateway.borrow().awaits_view(arrived, &call);
    if awaits_view {
        traffic.confirm_view(arrived).await;
    }
    let plan = traffic.gateway.borrow_mut().admit_for(arrived, call, service)?;
    // An instance that goes on running is asked instead.
    if plan.is_forwarded && traffic.phase.get() != Phase::Serving { Err(LEAVING) } else { Ok(plan) }
}

/// Sends a request to the upstreams that the gateway's decisions select, until it is answered or
/// refused.
async fn serve(
    traffic: &Rc<Traffic>,
    plan: Plan,
    payload: Payload,
    mut completion: Completion,
) -> Response<Body> {
    let (plan, payload) = (Rc::new(RefCell::new(plan)), Rc::new(payload));
    let mut failure: Option<(Head, Bytes)> = None;
    loop {
        let step = next_step(traffic, &mut plan.borrow_mut());
        let attempt = match step {
            Step::Send(attempt) => *attempt,
            Step::Wait(at) => {
                wait_until(traffic, at).await;
                continue;
            }
            Step::Forward(peer) => match forward(traffic, &plan, &payload, peer).await {
                Forwarded::Whole(head, body) => {
                    completion.record(traffic, Some(&plan.borrow()), "passed_on");
                    return answer_whole(traffic, &head, body);
                }
                Forwarded::Stream(stream) => {
                    return answer_passed_on(traffic, *stream, completion);
                }
                Forwarded::None => continue,
            },
            Step::Refuse(refusal) => {
                let plan = plan.borrow();
                // The upstream's own error is more specific than a refusal.
                if let Some((head, body)) = failure {
                    completion.record(traffic, Some(&plan), "failed");
                    return answer_whole(traffic, &head, body);
                }
                completion.record_refusal(traffic, Some(&plan), &refusal);
                return answer_refusal(&plan.id, &refusal);
            }
        };
        match send(traffic, &plan, attempt, &payload, None).await {
            Outcome::Stream(stream) => {
                return answer_stream(traffic, payload, *stream, completion);
            }
            Outcome::Whole(head, body) => {
                let plan = plan.borrow();
                if !head.status.is_server_error() || !plan.may_run_again() {
                    let outcome = if head.status.is_server_error() { "failed" } else { "answered" };
                    completion.record(traffic, Some(&plan), outcome);
                    return answer_whole(traffic, &head, body);
                }
                failure = Some((head, body));
            }
            Outcome::None => {}
        }
    }
}

/// Decides where a request goes next; nowhere if this instance may end before it does.
fn next_step(traffic: &Traffic, plan: &mut Plan) -> Step {
    if traffic.may_end_before(plan) {
        return Step::Refuse(STOPPING);
    }
    traffic.gateway.borrow_mut().next(traffic.now(), plan)
}

/// Records the end of a request, once, in the log and the metrics.
pub struct Completion {
    arrived: Time,
    id: String,
}

impl Completion {
    /// Records that an upstream answered the request.
    pub fn record(&mut self, traffic: &Traffic, plan: Option<&Plan>, outcome: &'static str) {
        self.record_with(traffic, plan, outcome, None);
    }

    /// Records that an answer was broken off, and why it could not go on at another upstream.
    pub fn record_broken_off(&mut self, traffic: &Traffic, plan: &Plan, reason: &'static str) {
        self.record_with(traffic, Some(plan), "broken_off", Some(reason));
    }

    fn record_with(
        &mut self,
        traffic: &Traffic,
        plan: Option<&Plan>,
        outcome: &'static str,
        reason: Option<&'static str>,
    ) {
        let now = traffic.now();
        let took = now.saturating_sub(self.arrived);
        let route = plan.map_or("", |plan| &*plan.route.name);
        traffic.metrics.request(route, outcome, took);
        let kind =
            if matches!(outcome, "answered" | "passed_on") { Kind::Usual } else { Kind::Failure };
        if traffic.log_budget.admits(now, kind) {
            let gateway = traffic.gateway.borrow();
            tracing::info!(
                id = self.id,
                route,
                outcome,
                reason,
                sends = plan.map_or(0, |plan| plan.sends),
                admitted_by = plan.map(|plan| plan.version),
                configuration = gateway.view().map(|view| view.configuration.version),
                took_ms = millis(took),
                "request ended"
            );
        }
    }

    /// Records that the gateway itself refused the request.
    fn record_refusal(&mut self, traffic: &Traffic, plan: Option<&Plan>, refusal: &Refusal) {
        let now = traffic.now();
        let took = now.saturating_sub(self.arrived);
        let reason: &'static str = refusal.reason.into();
        let route = plan.map_or("", |plan| &*plan.route.name);
        traffic.metrics.request(route, reason, took);
        if traffic.log_budget.admits(now, Kind::Failure) {
            let gateway = traffic.gateway.borrow();
            let view = gateway.view();
            tracing::warn!(
                id = self.id,
                route,
                outcome = "refused",
                reason,
                verdict = %refusal.verdict,
                retry_after_ms = refusal.retry_after.map(millis),
                sends = plan.map_or(0, |plan| plan.sends),
                configuration = view.map(|view| view.configuration.version),
                view_age_ms = view.map(|view| millis(now.saturating_sub(view.as_of))),
                detached_ms = view.and_then(|v| v.unavailable_since).map(|at| millis(now.saturating_sub(at))),
                took_ms = millis(took),
                "request ended"
            );
        }
    }
}

/// Logs the upstream of an attempt and the inputs to its choice.
pub fn log_sent(traffic: &Traffic, plan: &Plan, attempt: &Attempt) {
    let now = traffic.now();
    let kind = if plan.sends > 1 { Kind::Failure } else { Kind::Usual };
    if !traffic.log_budget.admits(now, kind) {
        return;
    }
    let run = attempt.engine.as_ref();
    let shared = plan.prompt.as_ref().and_then(|prompt| prompt.longest_shared());
    let gateway = traffic.gateway.borrow();
    let view = gateway.view().filter(|_| plan.resumption.is_some());
    tracing::info!(
        id = plan.id,
        route = plan.route.name,
        configuration = plan.version,
        server = &*attempt.server.id,
        service = &*plan.service,
        zone = &*attempt.server.zone,
        send = plan.sends,
        cold = attempt.cold,
        weights = run.map(|run| run.weights),
        software = &*attempt.server.software,
        takes_up = plan.resumption.as_ref().map(|r| r.origin.as_deref().unwrap_or_default()),
        view_age_ms = view.map(|view| millis(now.saturating_sub(view.as_of))),
        shared_part = shared.map(|part| &*part.id),
        shared_tokens = shared.map(|part| part.tokens),
        unread_tokens = attempt.prefill_tokens,
        fetch = run.map(|run| tracing::field::debug(&run.fetch)),
        save = run.map(|run| tracing::field::debug(&run.save)),
        expected_ms = millis(attempt.expected),
        wait_ms = millis(attempt.wait),
        left_ms = millis(plan.left(now)),
        "sent"
    );
}

/// Answer to a request that can't be parsed.
fn malformed(traffic: &Traffic, problem: &str) -> Response<Body> {
    let now = traffic.now();
    traffic.metrics.request("", "malformed", Time::ZERO);
    if traffic.log_budget.admits(now, Kind::Failure) {
        tracing::warn!(outcome = "refused", reason = "malformed", problem, "request ended");
    }
    plain(StatusCode::BAD_REQUEST, HeaderMap::new(), problem)
}

/// Answer to a request that the gateway refuses.
fn answer_refusal(id: &str, refusal: &Refusal) -> Response<Body> {
    let status = match (refusal.reason, refusal.verdict) {
        (Reason::Malformed, _) => StatusCode::BAD_REQUEST,
        (Reason::TooLarge, _) => StatusCode::PAYLOAD_TOO_LARGE,
        (Reason::UnknownRoute, _) => StatusCode::NOT_FOUND,
        (Reason::UnknownKey, _) => StatusCode::UNAUTHORIZED,
        (_, Verdict::NotRun) => StatusCode::SERVICE_UNAVAILABLE,
        (Reason::Expired, _) => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    };
    let mut headers = HeaderMap::new();
    if let Ok(id) = HeaderValue::from_str(id) {
        headers.insert(ingress::REQUEST_ID, id);
    }
    if let (StatusCode::SERVICE_UNAVAILABLE, Some(after)) = (status, refusal.retry_after) {
        ingress::set_retry_after(&mut headers, after);
    }
    if refusal.reason == Reason::OutOfMemory {
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    if refusal.reason == Reason::NoPath && refusal.verdict == Verdict::NotRun {
        ingress::set_no_path(&mut headers);
    }
    let hint = match refusal.reason {
        Reason::PartHeld(position) => format!(
            "; engines crashed under part {position} of the prompt: send the request without that \
             part, or again after the time in Retry-After"
        ),
        Reason::RequestHeld => {
            "; several upstreams crashed under this request: send it changed, or \
             again after the time in Retry-After"
                .to_owned()
        }
        _ => String::new(),
    };
    plain(status, headers, &format!("{}; {}{hint}\n", refusal.reason, refusal.verdict))
}

fn answer_stream(
    traffic: &Rc<Traffic>,
    payload: Rc<Payload>,
    stream: Stream,
    completion: Completion,
) -> Response<Body> {
    let headers = upstream::returned(&stream.head.headers);
    let status = stream.head.status;
    let counted = traffic.memory.stream();
    let relay = Relay::new(traffic.clone(), payload, stream, completion);
    let chunks = relay.into_chunks().map(move |chunk| {
        let _counted = &counted;
        chunk.map(Frame::data)
    });
    answer(status, headers, Box::pin(StreamBody::new(chunks)))
}

fn answer_passed_on(traffic: &Traffic, stream: Passed, completion: Completion) -> Response<Body> {
    let headers = upstream::returned(&stream.head.headers);
    let status = stream.head.status;
    let counted = traffic.memory.stream();
    let chunks = stream.into_chunks(completion).map(move |chunk| {
        let _counted = &counted;
        chunk.map(Frame::data)
    });
    answer(status, headers, Box::pin(StreamBody::new(chunks)))
}

fn answer_whole(traffic: &Rc<Traffic>, head: &Head, body: Bytes) -> Response<Body> {
    let headers = upstream::returned(&head.headers);
    if Written::is_apt(&body) {
        return answer(head.status, headers, Box::pin(Written::new(traffic, body)));
    }
    answer(head.status, headers, Box::pin(Full::new(body).map_err(never)))
}

/// A short answer in plain text.
pub fn plain(status: StatusCode, mut headers: HeaderMap, text: &str) -> Response<Body> {
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain; charset=utf-8"));
    let body = Box::pin(Full::new(Bytes::copy_from_slice(text.as_bytes())).map_err(never));
    answer(status, headers, body)
}

fn answer(status: StatusCode, headers: HeaderMap, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

fn never(never: Infallible) -> Interrupted {
    match never {}
}
