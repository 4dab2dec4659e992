//! Interface between the routes and the daemon.

use std::future::Future;
use std::sync::Arc;

use acacia_catalog::id::{AdapterId, ModelId, OrganisationId, ServiceId};
use acacia_catalog::tokenizer::Token;
use bytes::Bytes;
use http::Method;

use crate::answer::{Answer, Reply};
use crate::error::Error;
use crate::trace::Trace;

/// Serves the requests that the routes accept.
pub trait Backend: Send + Sync + 'static {
    /// Whether the load balancer should send requests to this instance.
    fn is_ready(&self) -> bool;

    /// The organisation that an API key belongs to, if the key is known.
    fn organisation(&self, key: &str) -> Option<OrganisationId>;

    /// The models that an organisation may use.
    fn models(&self, organisation: &OrganisationId) -> Vec<ModelId>;

    /// Starts a completion. Dropping the answer signals that the caller disconnected.
    fn complete(
        &self,
        completion: Completion,
    ) -> impl Future<Output = Result<Answer, Error>> + Send;

    /// Calls a plain service. Dropping the future signals that the caller disconnected.
    fn call(&self, call: Call) -> impl Future<Output = Result<Reply, Error>> + Send;
}

/// A caller's request for a completion.
#[derive(Clone, Debug)]
pub struct Completion {
    /// Organisation of the caller.
    pub organisation: OrganisationId,
    /// Requested model.
    pub model: ModelId,
    /// Requested adapter of the model.
    pub adapter: Option<AdapterId>,
    /// Prompt to complete.
    pub prompt: Prompt,
    /// Maximum number of tokens in the answer.
    pub max_tokens: u32,
    /// Trace of the request.
    pub trace: Trace,
}

/// A prompt, as text or already tokenized.
#[derive(Clone, Debug)]
pub enum Prompt {
    /// Text.
    Text(Arc<str>),
    /// Token ids.
    Tokens(Arc<[Token]>),
}

/// A caller's call of a plain service.
#[derive(Clone, Debug)]
pub struct Call {
    /// Organisation of the caller.
    pub organisation: OrganisationId,
    /// Requested service.
    pub service: ServiceId,
    /// HTTP method.
    pub method: Method,
    /// Path and query at the service, starting with a slash.
    pub path: String,
    /// Content type of the body.
    pub content_type: Option<String>,
    /// Idempotency key that the caller sent.
    pub idempotency_key: Option<String>,
    /// Request body.
    pub body: Bytes,
    /// Trace of the request.
    pub trace: Trace,
}
