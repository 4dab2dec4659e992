//! Client of model engines.

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

/// Largest error body that is read, in bytes.
const ERROR_BYTES: usize = 64 << 10;

/// A client of one engine.
#[derive(Clone, Debug)]
pub struct Client {
    pool: Pool,
    address: SocketAddr,
}

/// What an engine is to complete.
#[derive(Clone, Debug)]
pub struct Completion {
    /// The model.
    pub model: ModelId,
    /// The weight version; an engine that holds another refuses.
    pub version: VersionId,
    /// The adapter.
    pub adapter: Option<AdapterId>,
    /// The prompt.
    pub prompt: Prompt,
    /// Most tokens of the answer.
    pub max_tokens: u32,
    /// Priority; lower is sooner.
    pub priority: u32,
    /// Names of the prompt's full pieces, in order.
    pub blocks: std::sync::Arc<[BlockKey]>,
}

/// A prompt as sent.
#[derive(Clone, Debug, Serialize)]
#[serde(untagged)]
pub enum Prompt {
    /// Text.
    Text(std::sync::Arc<str>),
    /// Token ids.
    Tokens(Vec<Token>),
}

/// A whole answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// Output tokens.
    pub tokens: Vec<Token>,
    /// Why it ended.
    pub finish: Finish,
    /// What was counted.
    pub usage: Usage,
}

impl Client {
    /// A client of the engine at `address`.
    pub fn new(pool: Pool, address: SocketAddr) -> Self {
        Self { pool, address }
    }

    /// Starts a completion and hands its stream over as soon as the engine accepted it.
    pub async fn stream(
        &self,
        attempt: AttemptId,
        completion: &Completion,
    ) -> Result<Stream, Failure> {
        let body = wire::Completion::new(completion);
        let response = self.post("/v1/completions", attempt, &body).await?;
        Stream::new(response, attempt, 0)
    }

    /// Runs a completion to its end.
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

    /// Takes up the stream of an earlier attempt at output token `offset`.
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

    /// Sends a body and returns a successful answer, its body unread.
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
        accept(request).await
    }

    fn request(&self, method: Method, path: &str) -> reqwest::RequestBuilder {
        self.pool.request(method, format!("http://{}{path}", self.address))
    }
}

/// The wire form of an attempt's id.
pub fn format_attempt_id(attempt: AttemptId) -> String {
    format!("{attempt:032x}")
}

/// The wire form of a block's name.
pub fn format_block_key(key: &BlockKey) -> String {
    use std::fmt::Write;
    key.iter().fold(String::with_capacity(64), |mut name, byte| {
        // Writing to a string can't fail.
        let _ = write!(name, "{byte:02x}");
        name
    })
}

/// Sends a request; an error answer becomes a failure.
async fn accept(request: reqwest::RequestBuilder) -> Result<reqwest::Response, Failure> {
    let response = request.send().await.map_err(|e| Failure::transport(&e))?;
    if response.status() == StatusCode::OK {
        return Ok(response);
    }
    let (status, headers) = (response.status(), response.headers().clone());
    let body = read(response, ERROR_BYTES).await.map_err(Failure::Broken)?;
    Err(Failure::answer(status, &headers, &body))
}

/// Reads a whole body of at most `limit` bytes.
async fn read(mut response: reqwest::Response, limit: usize) -> Result<Bytes, Fault> {
    let mut body = BytesMut::new();
    while let Some(chunk) = response.chunk().await.map_err(|_| Fault::Ended)? {
        if body.len() + chunk.len() > limit {
            return Err(Fault::Malformed("the answer is too large".to_owned()));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}

/// The process life that an answer names.
fn incarnation(response: &reqwest::Response) -> acacia_catalog::id::Incarnation {
    pool::incarnation(response.headers())
}
