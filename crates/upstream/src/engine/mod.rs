//! Client for model engines.

mod admin;
mod stream;
mod wire;

use std::net::SocketAddr;

use acacia_catalog::id::{AdapterId, ModelId, VersionId};
use acacia_catalog::tokenizer::Token;
use acacia_policy::dispatch::AttemptId;
use acacia_policy::request::BlockKey;
use bytes::{Bytes, BytesMut};
use http::{Method, StatusCode};
use serde::Serialize;

use crate::failure::{Failure, Fault};
use crate::pool::{self, Pool, REQUEST_ID};

pub use admin::{Block, Events};
pub use stream::{Chunk, Finish, Stream};
pub use wire::Usage;

/// Maximum size of an error body.
const MAX_ERROR_BYTES: usize = 64 << 10;

/// A client of one engine.
#[derive(Clone, Debug)]
pub struct Client {
    pool: Pool,
    address: SocketAddr,
}

/// A completion request to an engine.
#[derive(Clone, Debug)]
pub struct Completion {
    /// Model to use.
    pub model: ModelId,
    /// Required weight version; an engine with another version refuses the request.
    pub version: VersionId,
    /// Adapter of the model.
    pub adapter: Option<AdapterId>,
    /// Prompt to complete.
    pub prompt: Prompt,
    /// Maximum number of tokens in the answer.
    pub max_tokens: u32,
    /// Priority; lower values are scheduled first.
    pub priority: u32,
    /// Keys of the prompt's full blocks, in order.
    pub blocks: std::sync::Arc<[BlockKey]>,
}

/// A prompt, as text or already tokenized.
#[derive(Clone, Debug, Serialize)]
#[serde(untagged)]
pub enum Prompt {
    /// Text.
    Text(std::sync::Arc<str>),
    /// Token ids.
    Tokens(Vec<Token>),
}

/// A complete answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// Output tokens.
    pub tokens: Vec<Token>,
    /// Finish reason.
    pub finish: Finish,
    /// Token counts.
    pub usage: Usage,
}

impl Client {
    /// Creates a client for the engine at `address`.
    pub fn new(pool: Pool, address: SocketAddr) -> Self {
        Self { pool, address }
    }

    /// Starts a completion and returns its stream once the engine has accepted the request.
    pub async fn stream(
        &self,
        attempt: AttemptId,
        completion: &Completion,
    ) -> Result<Stream, Failure> {
        let body = wire::Completion::new(completion);
        let response = self.post("/v1/completions", attempt, &body).await?;
        Stream::new(response, attempt, 0)
    }

    /// Runs a completion and returns the complete answer.
    pub async fn complete(
        &self,
        attempt: AttemptId,
        completion: &Completion,
    ) -> Result<Answer, Failure> {
        let mut stream = self.stream(attempt, completion).await?;
        let mut tokens = Vec::new();
        loop {
            let Some(chunk) = stream.next().await.map_err(Failure::Broken)? else {
                return Err(Failure::Broken(Fault::Ended));
            };
            tokens.extend_from_slice(&chunk.tokens);
            if let Some((finish, usage)) = chunk.end {
                return Ok(Answer { tokens, finish, usage });
            }
        }
    }

    /// Resumes the stream of an earlier attempt at output token `offset`.
    pub async fn resume(
        &self,
        attempt: AttemptId,
        earlier: AttemptId,
        offset: u32,
    ) -> Result<Stream, Failure> {
        let body = wire::Resume { request_id: format_attempt_id(earlier), offset };
        let response = self.post("/v1/resume", attempt, &body).await?;
        Stream::new(response, attempt, offset)
    }

    /// Sends a body and returns the successful response without reading its body.
    async fn post(
        &self,
        path: &str,
        attempt: AttemptId,
        body: &impl Serialize,
    ) -> Result<reqwest::Response, Failure> {
        let request = self
            .request(Method::POST, path)
            .header(REQUEST_ID, format_attempt_id(attempt))
            .json(body);
        send(request).await
    }

    fn request(&self, method: Method, path: &str) -> reqwest::RequestBuilder {
        self.pool.request(method, format!("http://{}{path}", self.address))
    }
}

/// Formats an attempt's id as in the engine's protocol.
pub fn format_attempt_id(attempt: AttemptId) -> String {
    format!("{attempt:032x}")
}

/// Formats a block key as in the engine's protocol.
pub fn format_block_key(key: &BlockKey) -> String {
    use std::fmt::Write;
    key.iter().fold(String::with_capacity(64), |mut hex, byte| {
        // Writing to a string can't fail.
        let _ = write!(hex, "{byte:02x}");
        hex
    })
}

/// Sends a request; an error response becomes a failure.
async fn send(request: reqwest::RequestBuilder) -> Result<reqwest::Response, Failure> {
    let response = request.send().await.map_err(|e| Failure::from_transport(&e))?;
    if response.status() == StatusCode::OK {
        return Ok(response);
    }
    let (status, headers) = (response.status(), response.headers().clone());
    let body = read_body(response, MAX_ERROR_BYTES).await.map_err(Failure::Broken)?;
    Err(Failure::from_response(status, &headers, &body))
}

/// Reads a body of at most `max_bytes`.
async fn read_body(mut response: reqwest::Response, max_bytes: usize) -> Result<Bytes, Fault> {
    let mut body = BytesMut::new();
    while let Some(chunk) = response.chunk().await.map_err(|_| Fault::Ended)? {
        if body.len() + chunk.len() > max_bytes {
            return Err(Fault::Malformed("the body exceeds the size limit".to_owned()));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}

/// The incarnation that a response names; zero if it names none.
fn incarnation(response: &reqwest::Response) -> acacia_catalog::id::Incarnation {
    pool::incarnation(response.headers())
}
