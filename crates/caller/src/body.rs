//! JSON bodies of the caller API.

use std::sync::Arc;

use acacia_catalog::id::{AdapterId, ModelId};
use acacia_catalog::tokenizer::Token;
use serde::{Deserialize, Serialize};

use crate::answer::Usage;
use crate::backend;
use crate::chat;
use crate::error::Error;

/// Token limit of an answer if the caller sets none.
const DEFAULT_MAX_TOKENS: u32 = 256;

/// Body of `POST /v1/completions` and `POST /v1/chat/completions`. Other fields are ignored.
#[derive(Clone, Debug, Deserialize)]
pub struct Completion {
    /// Prompt of a text completion.
    #[serde(default)]
    pub prompt: Option<Prompt>,
    /// Conversation of a chat completion.
    #[serde(default)]
    pub messages: Option<Vec<chat::Message>>,
    /// Requested model.
    pub model: ModelId,
    /// Requested adapter of the model.
    #[serde(default)]
    pub adapter: Option<AdapterId>,
    /// Maximum number of tokens in the answer.
    #[serde(default, alias = "max_completion_tokens")]
    pub max_tokens: Option<u32>,
    /// Whether to stream the answer.
    #[serde(default)]
    pub stream: bool,
    /// Whether to send token ids in addition to the text.
    #[serde(default)]
    pub return_token_ids: bool,
    /// Number of answers; must be 1.
    #[serde(default)]
    pub n: Option<u32>,
}

/// Kinds of completion requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// Continues a prompt.
    Text,
    /// Answers a conversation.
    Chat,
}

/// A prompt as the caller sends it.
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
    /// Moves the prompt out of a request of this kind.
    ///
    /// # Errors
    /// If the prompt is missing or is of the other kind.
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

    /// Checks the values and returns the token limit of the answer.
    ///
    /// # Errors
    /// If `n` is not 1 or `max_tokens` is 0.
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

/// One event of a stream, or a complete answer.
#[derive(Debug, Serialize)]
pub struct Answer<'a> {
    /// Id of the answer.
    pub id: &'a str,
    /// Object type in the OpenAI API.
    pub object: &'static str,
    /// Creation time, as a Unix time in seconds.
    pub created: u64,
    /// Model that produced the answer.
    pub model: &'a str,
    /// The answer's only choice.
    pub choices: [Choice<'a>; 1],
    /// Token counts; only in the last event.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub usage: Option<UsageBody>,
}

/// The only choice of an answer.
#[derive(Debug, Serialize)]
pub struct Choice<'a> {
    /// Index of the choice; always zero.
    pub index: u32,
    /// Generated output.
    #[serde(flatten)]
    pub output: Output<'a>,
    /// Generated token ids, if the caller requested them.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub token_ids: Option<&'a [Token]>,
    /// Finish reason; only in the last event.
    pub finish_reason: Option<&'static str>,
}

/// Output in the form of each kind of answer.
#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Output<'a> {
    /// Text completion, complete or streamed.
    Text(&'a str),
    /// Event of a streamed chat completion.
    Delta(Message<'a>),
    /// Complete chat completion.
    Message(Message<'a>),
}

/// Message that the model generated.
#[derive(Debug, Serialize)]
pub struct Message<'a> {
    /// Role of the author; always `assistant`.
    pub role: &'static str,
    /// Text of the message.
    pub content: &'a str,
}

/// Token counts of an answer.
#[derive(Debug, Serialize)]
pub struct UsageBody {
    prompt_tokens: u32,
    completion_tokens: u32,
    total_tokens: u32,
    prompt_tokens_details: Details,
}

/// Breakdown of the prompt tokens.
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
