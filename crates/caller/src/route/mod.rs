//! Route handlers.

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

const JSON: HeaderValue = HeaderValue::from_static("application/json");
/// Response header with the trace id of the request.
const TRACE_ID: &str = "x-trace-id";

/// Reads the trace of a request and writes its id into the response.
fn trace(request: &Request, response: &mut Response) -> Trace {
    let trace = Trace::from_header(header(request, trace::HEADER));
    if let Ok(value) = HeaderValue::from_str(&trace.to_string()) {
        response.headers_mut().insert(TRACE_ID, value);
    }
    trace
}

/// Returns the organisation whose API key the request carries.
fn authenticate(request: &Request, backend: &impl Backend) -> Result<OrganisationId, Error> {
    let mut headers = request.headers().get_all(AUTHORIZATION).iter();
    let (Some(header), None) = (headers.next(), headers.next()) else {
        return Err(Error::unauthorized());
    };
    let key = header.to_str().ok().and_then(|header| header.strip_prefix("Bearer "));
    key.and_then(|key| backend.organisation(key.trim())).ok_or_else(Error::unauthorized)
}

/// The text of a header.
fn header<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    request.headers().get(name)?.to_str().ok()
}

/// Reads a body of at most `max_bytes`.
async fn read_body(request: &mut Request, max_bytes: usize) -> Result<Bytes, Error> {
    use salvo::http::ParseError;
    match request.payload_with_max_size(max_bytes).await {
        Ok(body) => Ok(body.clone()),
        Err(ParseError::PayloadTooLarge) => Err(Error::too_large(max_bytes)),
        Err(error) => {
            Err(Error::invalid(format!("the body can't be read: {error}"), "send it again whole"))
        }
    }
}

/// Responds with an error.
fn respond_with_error(response: &mut Response, trace: &Trace, error: &Error) {
    response.status_code(error.status);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, JSON);
    if let Ok(value) = HeaderValue::from_str(&error.verdict.to_string()) {
        headers.insert(VERDICT_HEADER, value);
    }
    if let Some(delay) = error.retry_after {
        headers.insert(RETRY_AFTER, HeaderValue::from(delay.as_millis().div_ceil(1_000) as u64));
    }
    response.body(error.body(trace));
}

/// Responds with a JSON body.
fn respond_with_json(response: &mut Response, body: Vec<u8>) {
    response.headers_mut().insert(CONTENT_TYPE, JSON);
    response.body(body);
}
