//! The engine's JSON.

use acacia_catalog::tokenizer::{Token, Tokenizer};
use serde::{Deserialize, Serialize};

/// A prompt as text or as token ids.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(untagged)]
pub enum Prompt {
    /// Text, encoded by the model's tokenizer.
    Text(String),
    /// Token ids.
    Tokens(Vec<Token>),
}

impl Prompt {
    /// Its tokens.
    pub fn into_tokens(self) -> Vec<Token> {
        match self {
            Self::Text(text) => Tokenizer::QuadByte.encode(&text),
            Self::Tokens(tokens) => tokens,
        }
    }
}

/// A request for a completion; fields of OpenAI's body that are not here are ignored.
#[derive(Clone, Debug, Deserialize)]
pub struct Completion {
    /// The model.
    pub model: String,
    /// The prompt.
    pub prompt: Prompt,
    /// Most tokens of the answer.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u32,
    /// Whether the answer is streamed.
    #[serde(default)]
    pub stream: bool,
    /// The weight version; any when absent.
    #[serde(default)]
    pub version: Option<String>,
    /// The adapter.
    #[serde(default)]
    pub adapter: Option<String>,
    /// Place in the queue; lower is sooner.
    #[serde(default)]
    pub priority: u32,
    /// Names of the prompt's full pieces, in hex.
    #[serde(default)]
    pub block_keys: Vec<String>,
}

fn default_max_tokens() -> u32 {
    16
}

/// Names an attempt to go on with or to stop.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Reference {
    /// The attempt.
    pub request_id: String,
    /// Output tokens already known.
    #[serde(default)]
    pub offset: u32,
}

/// An answer or one chunk of it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Chunk {
    /// The attempt.
    pub id: String,
    /// The one choice.
    pub choices: [Choice; 1],
    /// Output tokens before this chunk.
    pub offset: u32,
    /// With the last chunk.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

/// The tokens of a chunk.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Choice {
    /// Always zero.
    pub index: u32,
    /// The tokens as text.
    pub text: String,
    /// The tokens.
    pub token_ids: Vec<Token>,
    /// Why the answer ends here, with the last chunk.
    pub finish_reason: Option<Finish>,
}

/// Why an answer ends.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Finish {
    /// By itself.
    Stop,
    /// At `max_tokens`.
    Length,
}

/// Tokens of a request.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Usage {
    /// Of the prompt.
    pub prompt_tokens: u32,
    /// Of the answer.
    pub completion_tokens: u32,
    /// More about the prompt.
    pub prompt_tokens_details: PromptDetails,
}

/// More about a prompt's tokens.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PromptDetails {
    /// Found in the cache.
    pub cached_tokens: u32,
}

/// A load report.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Load {
    /// Process life.
    pub incarnation: u64,
    /// Weight version loaded.
    pub version: String,
    /// Adapters loaded.
    pub adapters: Vec<String>,
    /// Requests running.
    pub running: usize,
    /// Requests waiting.
    pub waiting: usize,
    /// Slots.
    pub slots: usize,
    /// Whether it is in cold start.
    pub cold: bool,
    /// Tokens in the prefix cache.
    pub cached_tokens: usize,
    /// Age of the report, in milliseconds.
    pub sampled_ms_ago: u64,
}

/// What an order asks.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Duty {
    /// Load a weight version.
    LoadVersion,
    /// Load an adapter.
    LoadAdapter,
    /// Change role.
    SetRole,
}

/// An order.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Order {
    /// What it asks.
    pub order: Duty,
    /// Of the version, adapter or role.
    pub name: String,
    /// Fencing number.
    pub fence: u64,
    /// Unique name; a repeat is carried out once.
    pub order_id: String,
}

/// How far an order is.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Progress {
    /// It runs.
    Accepted,
    /// It has ended.
    Done,
}
