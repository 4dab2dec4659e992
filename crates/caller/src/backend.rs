//! What the routes need of the daemon.

use std::future::Future;
use std::sync::Arc;

use acacia_catalog::id::{AdapterId, ModelId, OrganisationId, ServiceId};
use acacia_catalog::tokenizer::Token;
use bytes::Bytes;
use http::Method;

use crate::answer::{Answer, Reply};
use crate::error::Error;
use crate::trace::Trace;

/// The system behind the routes.
pub trait Backend: Send + Sync + 'static {
    /// Whether the balancer should send requests here.
    fn is_ready(&self) -> bool;

    /// The organisation that an API key belongs to.
    fn organisation(&self, key: &str) -> Option<OrganisationId>;

    /// The models that an organisation may use.
    fn models(&self, organisation: &OrganisationId) -> Vec<ModelId>;

    /// Starts a completion. Dropping the answer tells that the caller left.
    fn complete(
        &self,
        completion: Completion,
    ) -> impl Future<Output = Result<Answer, Error>> + Send;

    /// Calls a plain service. Dropping the future tells that the caller left.
    fn call(&self, call: Call) -> impl Future<Output = Result<Reply, Error>> + Send;
}

/// A completion that a caller asked for.
#[derive(Clone, Debug)]
pub struct Completion {
    /// Who asks.
    pub organisation: OrganisationId,
    /// The model.
    pub model: ModelId,
    /// The adapter.
    pub adapter: Option<AdapterId>,
    /// The prompt.
    pub prompt: Prompt,
    /// Most tokens of the answer.
    pub max_tokens: u32,
    /// The caller's trace.
    pub trace: Trace,
}

/// A prompt.
#[derive(Clone, Debug)]
pub enum Prompt {
    /// Text.
    Text(Arc<str>),
    /// Token ids.
    Tokens(Arc<[Token]>),
}

/// A call of a plain service that a caller asked for.
#[derive(Clone, Debug)]
pub struct Call {
    /// Who asks.
    pub organisation: OrganisationId,
    /// The service.
    pub service: ServiceId,
    /// HTTP method.
    pub method: Method,
    /// Path and query at the service, from the first slash.
    pub path: String,
    /// Content type of the body.
    pub content_type: Option<String>,
    /// The caller's idempotency key.
    pub idempotency_key: Option<String>,
    /// Body.
    pub body: Bytes,
    /// The caller's trace.
    pub trace: Trace,
}
