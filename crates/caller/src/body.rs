//! Bodies of the callers' interface.

use std::sync::Arc;

use acacia_catalog::id::{AdapterId, ModelId};
use acacia_catalog::tokenizer::Token;
use serde::{Deserialize, Serialize};

use crate::answer::Usage;
use crate::backend;
use crate::chat;
use crate::error::Error;

/// Tokens of an answer when the caller names no limit.
const DEFAULT_MAX_TOKENS: u32 = 256;

/// Body of `POST /v1/completions` and `POST /v1/chat/completions`. Fields not listed are ignored.
#[derive(Clone, Debug, Deserialize)]
pub struct Completion {
    /// The prompt; not of a chat.
    #[serde(default)]
    pub prompt: Option<Prompt>,
    /// The conversation; of a chat only.
    #[serde(default)]
    pub messages: Option<Vec<chat::Message>>,
    /// The model.
    pub model: ModelId,
    /// The adapter.
    #[serde(default)]
    pub adapter: Option<AdapterId>,
    /// Most tokens of the answer.
    #[serde(default, alias = "max_completion_tokens")]
    pub max_tokens: Option<u32>,
    /// Whether to send the answer as it comes.
    #[serde(default)]
    pub stream: bool,
    /// Whether to send token ids beside the text.
    #[serde(default)]
    pub return_token_ids: bool,
    /// Answers wanted; only one is served.
    #[serde(default)]
    pub n: Option<u32>,
}

/// Kinds of requests for a completion.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// A prompt.
    Text,
    /// A conversation.
    Chat,
}

/// A prompt as written.
#[derive(Clone, Debug, Deserialize)]
#[serde(untagged)]
pub enum Prompt {
    /// Text.
    Text(Arc<str>),
    /// Token ids.
    Tokens(Arc<[Token]>),
}

impl From<Prompt> for backend::Prompt {
    fn from(prompt: Prompt) -> Self {
        match prompt {
            Prompt::Text(text) => Self::Text(text),
            Prompt::Tokens(tokens) => Self::Tokens(tokens),
        }
    }
}

impl Completion {
    /// The prompt of a request of this kind.
    pub fn take_prompt(&mut self, kind: Kind) -> Result<backend::Prompt, Error> {
        match (kind, self.prompt.take(), self.messages.take()) {
            (Kind::Text, Some(prompt), None) => Ok(prompt.into()),
            (Kind::Chat, None, Some(messages)) if !messages.is_empty() => {
                Ok(backend::Prompt::Text(chat::render(&messages).into()))
            }
            (Kind::Text, ..) => Err(Error::invalid("no `prompt`", "send text or token ids")),
            (Kind::Chat, ..) => {
                Err(Error::invalid("no `messages`", "send at least one message and no `prompt`"))
            }
        }
    }

    /// Checks what the types can't; the most tokens of the answer.
    pub fn validate(&self) -> Result<u32, Error> {
        if self.n.is_some_and(|n| n != 1) {
            return Err(Error::invalid("`n` must be 1", "send one request for each answer"));
        }
        match self.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS) {
            0 => Err(Error::invalid("`max_tokens` is 0", "ask for at least one token")),
            tokens => Ok(tokens),
        }
    }
}

/// One event of a stream, or a whole answer.
#[derive(Debug, Serialize)]
pub struct Answer<'a> {
    /// Name of the answer.
    pub id: &'a str,
    /// What this is.
    pub object: &'static str,
    /// Unix time in seconds.
    pub created: u64,
    /// The model.
    pub model: &'a str,
    /// The only choice.
    pub choices: [Choice<'a>; 1],
    /// What was counted; in the last event only.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub usage: Option<UsageBody>,
}

/// The only choice of an answer.
#[derive(Debug, Serialize)]
pub struct Choice<'a> {
    /// Always zero.
    pub index: u32,
    /// The output.
    #[serde(flatten)]
    pub output: Output<'a>,
    /// Token ids, when asked for.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub token_ids: Option<&'a [Token]>,
    /// Why the answer ended.
    pub finish_reason: Option<&'static str>,
}

/// Output as each kind of answer carries it.
#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Output<'a> {
    /// Of a completion.
    Text(&'a str),
    /// Of an event of a chat.
    Delta(Message<'a>),
    /// Of a whole chat answer.
    Message(Message<'a>),
}

/// What the model says.
#[derive(Debug, Serialize)]
pub struct Message<'a> {
    /// Always `assistant`.
    pub role: &'static str,
    /// Text.
    pub content: &'a str,
}

/// What was counted.
#[derive(Debug, Serialize)]
pub struct UsageBody {
    prompt_tokens: u32,
    completion_tokens: u32,
    total_tokens: u32,
    prompt_tokens_details: Details,
}

/// More about a prompt's tokens.
#[derive(Debug, Serialize)]
struct Details {
    cached_tokens: u32,
}

impl From<Usage> for UsageBody {
    fn from(usage: Usage) -> Self {
        Self {
            prompt_tokens: usage.prompt_tokens,
            completion_tokens: usage.completion_tokens,
            total_tokens: usage.prompt_tokens.saturating_add(usage.completion_tokens),
            prompt_tokens_details: Details { cached_tokens: usage.cached_tokens },
        }
    }
}
