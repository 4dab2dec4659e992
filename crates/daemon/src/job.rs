//! What traffic keeps of one request until it is answered.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use acacia_caller::answer::{Delta, Whole};
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

/// One request.
pub struct Job {
    /// Its number.
    pub ticket: Ticket,
    /// The span of the whole request.
    pub span: Span,
    /// What is asked.
    pub work: Work,
    /// Whether the whole answer was handed over; a caller that leaves then is no news.
    pub answered: AtomicBool,
}

impl Job {
    /// A request that came now.
    pub fn new(ticket: Ticket, span: Span, work: Work) -> Self {
        Self { ticket, span, work, answered: AtomicBool::new(false) }
    }
}

/// What is asked, and who waits for it.
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
    /// Names of the prompt's full pieces, in order.
    pub blocks: Arc<[BlockKey]>,
    /// Most tokens of the answer.
    pub max_tokens: u32,
    /// Where the answer goes.
    pub deltas: mpsc::Sender<Delta>,
    /// The answer so far.
    pub output: Mutex<Output>,
    /// Manifests that stores showed for this prompt.
    pub manifests: Mutex<HashMap<(StoreId, BlockKey), Manifest>>,
}

/// An answer so far.
pub struct Output {
    /// The only attempt that may add to it.
    pub current: Option<AttemptId>,
    /// For each attempt, the tokens before those that its engine counts.
    pub bases: HashMap<AttemptId, u32>,
    /// Tokens sent to the caller.
    pub tokens: Vec<Token>,
    /// Makes text of them.
    pub decoder: Decoder,
}

impl Output {
    /// Nothing yet.
    pub fn new(decoder: Decoder) -> Self {
        Self { current: None, bases: HashMap::new(), tokens: Vec::new(), decoder }
    }

    /// Tokens before those that an attempt's engine counts. A resumed run counts on as the attempt
    /// did that began it.
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
    /// Where the answer goes; empty once it went.
    pub answer: Mutex<Option<oneshot::Sender<Result<Whole, Error>>>>,
}

impl Call {
    /// Answers the caller, unless it was answered or has left.
    pub fn finish(&self, answer: Result<Whole, Error>) {
        if let Some(sender) = self.answer.lock().take() {
            // A caller that left needs no answer.
            let _ = sender.send(answer);
        }
    }
}
