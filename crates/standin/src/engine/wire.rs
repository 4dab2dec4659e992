//! JSON of the engine protocol.

use acacia_catalog::tokenizer::{Token, Tokenizer};
use serde::{Deserialize, Serialize};

/// A prompt as text or as token ids.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(untagged)]
pub enum Prompt {
    /// Text, encoded with the tokenizer of the model.
    Text(String),
    /// Token ids.
    Tokens(Vec<Token>),
}

impl Prompt {
    /// Token ids of the prompt.
    pub fn into_tokens(self) -> Vec<Token> {
        match self {
            Self::Text(text) => Tokenizer::QuadByte.encode(&text),
            Self::Tokens(tokens) => tokens,
        }
    }
}

/// A completion request; other fields of the OpenAI format are ignored.
#[derive(Clone, Debug, Deserialize)]
pub struct Completion {
    /// Model to run.
    pub model: String,
    /// Prompt to complete.
    pub prompt: Prompt,
    /// Maximum number of output tokens.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u32,
    /// Whether the answer is streamed.
    #[serde(default)]
    pub stream: bool,
    /// Required weight version; any if absent.
    #[serde(default)]
    pub version: Option<String>,
    /// Adapter to apply.
    #[serde(default)]
    pub adapter: Option<String>,
    /// Priority in the queue; lower numbers are served first.
    #[serde(default)]
    pub priority: u32,
    /// Keys of the full blocks of the prompt, in hex.
    #[serde(default)]
    pub block_keys: Vec<String>,
}

fn default_max_tokens() -> u32 {
    16
}

/// Identifies an attempt to resume or cancel.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Reference {
    /// Id of the attempt.
    pub request_id: String,
    /// Number of output tokens already received.
    #[serde(default)]
    pub offset: u32,
}

/// A complete answer or a chunk of a stream.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Chunk {
    /// Id of the attempt.
    pub id: String,
    /// Exactly one choice.
    pub choices: [Choice; 1],
    /// Number of output tokens before this chunk.
    pub offset: u32,
    /// Token usage, in the last chunk only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

/// Tokens of a chunk.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Choice {
    /// Always zero.
    pub index: u32,
    /// Decoded text of the tokens.
    pub text: String,
    /// Token ids.
    pub token_ids: Vec<Token>,
    /// Reason for the end, in the last chunk only.
    pub finish_reason: Option<Finish>,
}

/// Why an answer ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Finish {
    /// The model ended it.
    Stop,
    /// `max_tokens` was reached.
    Length,
}

/// Token usage of a request.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Usage {
    /// Number of prompt tokens.
    pub prompt_tokens: u32,
    /// Number of output tokens.
    pub completion_tokens: u32,
    /// Details of the prompt tokens.
    pub prompt_tokens_details: PromptDetails,
}

/// Details of the prompt tokens.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PromptDetails {
    /// Number of prompt tokens found in the cache.
    pub cached_tokens: u32,
}

/// A load report.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Load {
    /// Incarnation number.
    pub incarnation: u64,
    /// Weight version loaded.
    pub version: String,
    /// Adapters loaded.
    pub adapters: Vec<String>,
    /// Number of running requests.
    pub running: usize,
    /// Number of waiting requests.
    pub waiting: usize,
    /// Number of slots.
    pub slots: usize,
    /// Whether the engine is loading or cold.
    pub cold: bool,
    /// Number of tokens in the prefix cache.
    pub cached_tokens: usize,
    /// Age of the report, in milliseconds.
    pub sampled_ms_ago: u64,
}

/// Kind of an order.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Duty {
    /// Load a weight version.
    LoadVersion,
    /// Load an adapter.
    LoadAdapter,
    /// Change the role.
    SetRole,
}

/// An order to an engine.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Order {
    /// Kind of the order.
    pub order: Duty,
    /// Name of the version, adapter or role.
    pub name: String,
    /// Fencing token of the sender.
    pub fence: u64,
    /// Unique id; a repeated order is executed only once.
    pub order_id: String,
}

/// Progress of an order.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Progress {
    /// The order is being executed.
    Accepted,
    /// The order is complete.
    Done,
}
