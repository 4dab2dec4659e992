//! The handlers of the routes.

mod completion;
mod service;
mod state;

use acacia_catalog::id::OrganisationId;
use bytes::Bytes;
use salvo::http::header::{AUTHORIZATION, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use salvo::http::{Request, Response};

use crate::Backend;
use crate::error::{Error, VERDICT_HEADER};
use crate::trace::{self, Trace};

pub(crate) use completion::CompletionRoute;
pub(crate) use service::ServiceRoute;
pub(crate) use state::{Health, Models, Ready};

/// Content type of JSON.
const JSON: HeaderValue = HeaderValue::from_static("application/json");
/// Header with the id of the request's trace.
const TRACE_ID: &str = "x-trace-id";

/// A request's trace, which its answer names too.
fn trace(request: &Request, response: &mut Response) -> Trace {
    let trace = Trace::from_header(header(request, trace::HEADER));
    if let Ok(value) = HeaderValue::from_str(&trace.to_string()) {
        response.headers_mut().insert(TRACE_ID, value);
    }
    trace
}

/// Whose request it is.
fn organisation(request: &Request, backend: &impl Backend) -> Result<OrganisationId, Error> {
    let mut headers = request.headers().get_all(AUTHORIZATION).iter();
    let (Some(header), None) = (headers.next(), headers.next()) else {
        return Err(Error::unauthorized());
    };
    let key = header.to_str().ok().and_then(|header| header.strip_prefix("Bearer "));
    key.and_then(|key| backend.organisation(key.trim())).ok_or_else(Error::unauthorized)
}

/// A header's text.
fn header<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    request.headers().get(name)?.to_str().ok()
}

/// The whole body.
async fn payload(request: &mut Request, limit: usize) -> Result<Bytes, Error> {
    use salvo::http::ParseError;
    match request.payload_with_max_size(limit).await {
        Ok(body) => Ok(body.clone()),
        Err(ParseError::PayloadTooLarge) => Err(Error::too_large(limit)),
        Err(error) => {
            Err(Error::invalid(format!("the body can't be read: {error}"), "send it again whole"))
        }
    }
}

/// Answers with an error.
fn fail(response: &mut Response, trace: &Trace, error: &Error) {
    response.status_code(error.status);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, JSON);
    if let Ok(value) = HeaderValue::from_str(&error.verdict.to_string()) {
        headers.insert(VERDICT_HEADER, value);
    }
    if let Some(after) = error.retry_after {
        headers.insert(RETRY_AFTER, HeaderValue::from(after.as_millis().div_ceil(1_000) as u64));
    }
    response.body(error.body(trace));
}

/// Answers with whole JSON.
fn json(response: &mut Response, body: Vec<u8>) {
    response.headers_mut().insert(CONTENT_TYPE, JSON);
    response.body(body);
}
