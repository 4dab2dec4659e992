//! State of a request until it is answered.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use acacia_caller::answer::{Delta, Reply};
use acacia_caller::text::Decoder;
use acacia_caller::{Error, backend};
use acacia_catalog::id::{AdapterId, ModelId, StoreId};
use acacia_catalog::tokenizer::Token;
use acacia_policy::control::Ticket;
use acacia_policy::dispatch::{AttemptId, Start};
use acacia_policy::request::BlockKey;
use acacia_store::Manifest;
use acacia_upstream::service;
use parking_lot::Mutex;
use tokio::sync::{mpsc, oneshot};
use tracing::Span;

/// A request.
pub struct Job {
    /// The request's number.
    pub ticket: Ticket,
    /// The span of the whole request.
    pub span: Span,
    /// The requested work.
    pub work: Work,
    /// Whether the complete answer was handed to the server, after which it no longer matters
    /// whether the caller leaves.
    pub answered: AtomicBool,
}

impl Job {
    /// Creates an unanswered request.
    pub fn new(ticket: Ticket, span: Span, work: Work) -> Self {
        Self { ticket, span, work, answered: AtomicBool::new(false) }
    }
}

/// The requested work, with the channel for its answer.
pub enum Work {
    /// A completion.
    Prompt(Prompt),
    /// A call of a plain service.
    Call(Call),
}

/// A completion.
pub struct Prompt {
    /// The model.
    pub model: ModelId,
    /// The adapter.
    pub adapter: Option<AdapterId>,
    /// The prompt as the caller sent it.
    pub prompt: backend::Prompt,
    /// The prompt's tokens.
    pub tokens: Arc<[Token]>,
    /// Keys of the prompt's complete KV cache blocks, in order.
    pub blocks: Arc<[BlockKey]>,
    /// Most tokens in the answer.
    pub max_tokens: u32,
    /// Channel for the answer.
    pub deltas: mpsc::Sender<Delta>,
    /// The answer so far.
    pub output: Mutex<Output>,
    /// Manifests that cache stores returned for this prompt's blocks.
    pub manifests: Mutex<HashMap<(StoreId, BlockKey), Manifest>>,
}

/// The part of an answer generated so far.
pub struct Output {
    /// The only attempt that may append tokens.
    pub current: Option<AttemptId>,
    /// By attempt, the number of tokens before the first that its engine counts.
    pub bases: HashMap<AttemptId, u32>,
    /// Tokens sent to the caller.
    pub tokens: Vec<Token>,
    /// Decoder of the tokens into text.
    pub decoder: Decoder,
}

impl Output {
    /// Creates an empty answer.
    pub fn new(decoder: Decoder) -> Self {
        Self { current: None, bases: HashMap::new(), tokens: Vec::new(), decoder }
    }

    /// Number of tokens before the first that an attempt's engine counts. A resumed run continues
    /// the count of the attempt that began it.
    pub fn base(&self, start: Start) -> u32 {
        match start {
            Start::Fresh => 0,
            Start::Continue { offset } => offset,
            Start::Resume { earlier, .. } => self.bases.get(&earlier).copied().unwrap_or(0),
        }
    }
}

/// A call of a plain service.
pub struct Call {
    /// The call.
    pub call: service::Call,
    /// Channel for the answer; empty once it was sent.
    pub answer: Mutex<Option<oneshot::Sender<Result<Reply, Error>>>>,
}

impl Call {
    /// Answers the caller, unless it has been answered or has left.
    pub fn finish(&self, answer: Result<Reply, Error>) {
        if let Some(sender) = self.answer.lock().take() {
            // Fails only if the caller has left.
            let _ = sender.send(answer);
        }
    }
}
