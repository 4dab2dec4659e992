//! Calls of plain services.

use std::sync::Arc;

use acacia_policy::Verdict;
use salvo::http::header::{CONTENT_TYPE, HeaderValue};
use salvo::http::{Request, Response, StatusCode};
use salvo::{Depot, FlowCtrl, Handler, async_trait};

use super::{authenticate, header, read_body, respond_with_error, trace};
use crate::Backend;
use crate::answer::Reply;
use crate::backend::Call;
use crate::error::{Error, VERDICT_HEADER};
use crate::trace::Trace;

/// Header with the key of a request that must run at most once.
const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Maximum length of an idempotency key.
const MAX_KEY_BYTES: usize = 255;
/// Path prefix before the service's name.
const PREFIX: &str = "/v1/services/";

/// `/v1/services/{service}/{path}`, with any method.
pub(crate) struct ServiceRoute<B> {
    pub(crate) backend: Arc<B>,
    pub(crate) max_body_bytes: usize,
}

#[async_trait]
impl<B: Backend> Handler for ServiceRoute<B> {
    async fn handle(
        &self,
        request: &mut Request,
        _: &mut Depot,
        response: &mut Response,
        _: &mut FlowCtrl,
    ) {
        let trace = trace(request, response);
        let answer = match self.parse(request, trace).await {
            Ok(call) => self.backend.call(call).await,
            Err(error) => Err(error),
        };
        match answer {
            Ok(reply) => respond(response, reply),
            Err(error) => respond_with_error(response, &trace, &error),
        }
    }
}

impl<B: Backend> ServiceRoute<B> {
    /// Reads and validates a request.
    async fn parse(&self, request: &mut Request, trace: Trace) -> Result<Call, Error> {
        let organisation = authenticate(request, &*self.backend)?;
        let idempotency_key = idempotency_key(request)?;
        let (service, path) = split_target(request)?;
        let content_type = header(request, CONTENT_TYPE.as_str()).map(str::to_owned);
        let method = request.method().clone();
        let body = read_body(request, self.max_body_bytes).await?;
        let service = service.into();
        Ok(Call { organisation, service, method, path, content_type, idempotency_key, body, trace })
    }
}

/// Reads and validates the idempotency key, if there is one.
fn idempotency_key(request: &Request) -> Result<Option<String>, Error> {
    let Some(value) = request.headers().get(IDEMPOTENCY_KEY) else { return Ok(None) };
    match value.to_str() {
        Ok(key) if !key.is_empty() && key.len() <= MAX_KEY_BYTES => Ok(Some(key.to_owned())),
        _ => Err(Error::invalid(
            "the idempotency key is empty, too long or not plain text",
            "send 1 to 255 visible ASCII characters",
        )),
    }
}

/// Splits a request's URL into the service's name and the path and query at the service, which
/// stay as the caller wrote them.
fn split_target(request: &Request) -> Result<(String, String), Error> {
    let uri = request.uri();
    let rest = uri.path().strip_prefix(PREFIX).and_then(|rest| rest.split_once('/'));
    let Some((service, path)) = rest else {
        return Err(Error::invalid("no path", "call /v1/services/SERVICE/PATH"));
    };
    if path.split('/').any(|part| part == "." || part == "..") {
        return Err(Error::invalid("the path has dot segments", "send the path resolved"));
    }
    let query = uri.query().map(|query| format!("?{query}")).unwrap_or_default();
    Ok((service.to_owned(), format!("/{path}{query}")))
}

/// Forwards a service's answer to the caller.
fn respond(response: &mut Response, reply: Reply) {
    response.status_code(StatusCode::from_u16(reply.status).unwrap_or(StatusCode::BAD_GATEWAY));
    let headers = response.headers_mut();
    if let Ok(value) = HeaderValue::from_str(&reply.content_type) {
        headers.insert(CONTENT_TYPE, value);
    }
    if let Ok(value) = HeaderValue::from_str(&Verdict::Ran.to_string()) {
        headers.insert(VERDICT_HEADER, value);
    }
    response.body(reply.body);
}
