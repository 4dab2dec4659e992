//! Client of plain services.

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

/// Largest answer that is taken, in bytes.
const ANSWER_BYTES: usize = 8 << 20;

/// A client of one instance of a plain service.
#[derive(Clone, Debug)]
pub struct Client {
    pool: Pool,
    address: SocketAddr,
}

/// A call.
#[derive(Clone, Debug)]
pub struct Call {
    /// HTTP method.
    pub method: Method,
    /// Path and query, from the first slash.
    pub path: String,
    /// Content type of the body.
    pub content_type: Option<String>,
    /// The caller's idempotency key, handed on.
    pub idempotency_key: Option<String>,
    /// Body.
    pub body: Bytes,
}

/// A whole answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// HTTP status.
    pub status: StatusCode,
    /// Content type of the body.
    pub content_type: String,
    /// Body.
    pub body: Bytes,
    /// The process life that answered; zero when it names none.
    pub incarnation: Incarnation,
}

impl Client {
    /// A client of the instance at `address`.
    pub fn new(pool: Pool, address: SocketAddr) -> Self {
        Self { pool, address }
    }

    /// Runs a call once; `timeout` is for the whole answer.
    pub async fn call(
        &self,
        attempt: AttemptId,
        call: &Call,
        timeout: Duration,
    ) -> Result<Answer, Failure> {
        let name = format_attempt_id(attempt);
        let mut request = self
            .pool
            .request(call.method.clone(), format!("http://{}{}", self.address, call.path))
            .header(REQUEST_ID, &name)
            .timeout(timeout)
            .body(call.body.clone());
        if let Some(content_type) = &call.content_type {
            request = request.header(CONTENT_TYPE, content_type);
        }
        if let Some(key) = &call.idempotency_key {
            request = request.header("idempotency-key", key);
        }
        let response = request.send().await.map_err(|e| Failure::transport(&e))?;
        read(response, &name).await
    }
}

/// Reads a whole answer and checks whose it is.
async fn read(mut response: reqwest::Response, name: &str) -> Result<Answer, Failure> {
    let echoed = response.headers().get(REQUEST_ID).and_then(|v| v.to_str().ok());
    if echoed != Some(name) {
        return Err(Failure::Broken(Fault::WrongAttempt));
    }
    let mut body = BytesMut::new();
    while let Some(chunk) = response.chunk().await.map_err(|_| Failure::Broken(Fault::Ended))? {
        if body.len() + chunk.len() > ANSWER_BYTES {
            return Err(Failure::Broken(Fault::Malformed("the answer is too large".to_owned())));
        }
        body.extend_from_slice(&chunk);
    }
    let status = response.status();
    if status == StatusCode::SERVICE_UNAVAILABLE || status == StatusCode::TOO_MANY_REQUESTS {
        return Err(Failure::answer(status, response.headers(), &body));
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
