//! Client for plain services.

use std::net::SocketAddr;
use std::time::Duration;

use acacia_catalog::id::Incarnation;
use acacia_policy::dispatch::AttemptId;
use bytes::{Bytes, BytesMut};
use http::header::CONTENT_TYPE;
use http::{Method, StatusCode};

use crate::engine::format_attempt_id;
use crate::failure::{Failure, Fault};
use crate::pool::{self, Pool, REQUEST_ID};

/// Largest valid status code (RFC 9110, section 15). The type allows larger ones.
const MAX_STATUS: u16 = 599;
/// Maximum size of an answer.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// A client for one instance of a plain service.
#[derive(Clone, Debug)]
pub struct Client {
    pool: Pool,
    address: SocketAddr,
}

/// A call to a plain service.
#[derive(Clone, Debug)]
pub struct Call {
    /// HTTP method.
    pub method: Method,
    /// Path and query, starting with a slash.
    pub path: String,
    /// Content type of the body.
    pub content_type: Option<String>,
    /// Idempotency key that the caller sent; passed on.
    pub idempotency_key: Option<String>,
    /// Body.
    pub body: Bytes,
}

/// A complete answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// HTTP status.
    pub status: StatusCode,
    /// Content type of the body.
    pub content_type: String,
    /// Body.
    pub body: Bytes,
    /// Incarnation of the upstream; zero if it names none.
    pub incarnation: Incarnation,
}

impl Client {
    /// Creates a client for the instance at `address`.
    pub fn new(pool: Pool, address: SocketAddr) -> Self {
        Self { pool, address }
    }

    /// Makes a call once; `timeout` covers the entire answer.
    pub async fn call(
        &self,
        attempt: AttemptId,
        call: &Call,
        timeout: Duration,
    ) -> Result<Answer, Failure> {
        let attempt_id = format_attempt_id(attempt);
        let mut request = self
            .pool
            .request(call.method.clone(), format!("http://{}{}", self.address, call.path))
            .header(REQUEST_ID, &attempt_id)
            .timeout(timeout)
            .body(call.body.clone());
        if let Some(content_type) = &call.content_type {
            request = request.header(CONTENT_TYPE, content_type);
        }
        if let Some(key) = &call.idempotency_key {
            request = request.header("idempotency-key", key);
        }
        let response = request.send().await.map_err(|e| Failure::from_transport(&e))?;
        read_answer(response, &attempt_id).await
    }
}

/// Reads an answer and verifies that it is for this attempt.
async fn read_answer(mut response: reqwest::Response, attempt_id: &str) -> Result<Answer, Failure> {
    let echoed = response.headers().get(REQUEST_ID).and_then(|v| v.to_str().ok());
    if echoed != Some(attempt_id) {
        return Err(Failure::Broken(Fault::WrongAttempt));
    }
    let status = response.status();
    if status.as_u16() > MAX_STATUS {
        return Err(Failure::Broken(Fault::Status(status)));
    }
    let mut body = BytesMut::new();
    while let Some(chunk) = response.chunk().await.map_err(|_| Failure::Broken(Fault::Ended))? {
        if body.len() + chunk.len() > MAX_ANSWER_BYTES {
            return Err(Failure::Broken(Fault::Malformed(
                "the body exceeds the size limit".to_owned(),
            )));
        }
        body.extend_from_slice(&chunk);
    }
    if status == StatusCode::SERVICE_UNAVAILABLE || status == StatusCode::TOO_MANY_REQUESTS {
        return Err(Failure::from_response(status, response.headers(), &body));
    }
    let headers = response.headers();
    let content_type = headers.get(CONTENT_TYPE).and_then(|v| v.to_str().ok());
    Ok(Answer {
        status,
        content_type: content_type.unwrap_or("application/octet-stream").to_owned(),
        body: body.freeze(),
        incarnation: pool::incarnation(headers),
    })
}
