//! Calls of plain services.

use std::sync::Arc;

use acacia_policy::Verdict;
use salvo::http::header::{CONTENT_TYPE, HeaderValue};
use salvo::http::{Request, Response, StatusCode};
use salvo::{Depot, FlowCtrl, Handler, async_trait};

use super::{fail, header, organisation, payload, trace};
use crate::Backend;
use crate::answer::Reply;
use crate::backend::Call;
use crate::error::{Error, VERDICT_HEADER};
use crate::trace::Trace;

/// Header with the caller's name for a request that may run only once.
const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Longest idempotency key, in bytes.
const KEY_BYTES: usize = 255;
/// Path of the interface before a service's name.
const PREFIX: &str = "/v1/services/";

/// `/v1/services/{service}/{path}`, with any method.
pub(crate) struct ServiceRoute<B> {
    pub(crate) backend: Arc<B>,
    pub(crate) limit: usize,
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
        let answer = match self.read(request, trace).await {
            Ok(call) => self.backend.call(call).await,
            Err(error) => Err(error),
        };
        match answer {
            Ok(whole) => answered(response, whole),
            Err(error) => fail(response, &trace, &error),
        }
    }
}

impl<B: Backend> ServiceRoute<B> {
    /// Reads and checks a request.
    async fn read(&self, request: &mut Request, trace: Trace) -> Result<Call, Error> {
        let organisation = organisation(request, &*self.backend)?;
        let idempotency_key = idempotency_key(request)?;
        let (service, path) = target(request)?;
        let content_type = header(request, CONTENT_TYPE.as_str()).map(str::to_owned);
        let method = request.method().clone();
        let body = payload(request, self.limit).await?;
        let service = service.into();
        Ok(Call { organisation, service, method, path, content_type, idempotency_key, body, trace })
    }
}

/// The caller's idempotency key.
fn idempotency_key(request: &Request) -> Result<Option<String>, Error> {
    let Some(value) = request.headers().get(IDEMPOTENCY_KEY) else { return Ok(None) };
    match value.to_str() {
        Ok(key) if !key.is_empty() && key.len() <= KEY_BYTES => Ok(Some(key.to_owned())),
        _ => Err(Error::invalid(
            "the idempotency key is empty, too long or not plain text",
            "send 1 to 255 visible ASCII characters",
        )),
    }
}

/// The service's name, and the path and query there, as the caller wrote them.
fn target(request: &Request) -> Result<(String, String), Error> {
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

/// Passes a service's answer on.
fn answered(response: &mut Response, whole: Reply) {
    response.status_code(StatusCode::from_u16(whole.status).unwrap_or(StatusCode::BAD_GATEWAY));
    let headers = response.headers_mut();
    if let Ok(value) = HeaderValue::from_str(&whole.content_type) {
        headers.insert(CONTENT_TYPE, value);
    }
    if let Ok(value) = HeaderValue::from_str(&Verdict::Ran.to_string()) {
        headers.insert(VERDICT_HEADER, value);
    }
    response.body(whole.body);
}
