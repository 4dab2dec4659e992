//! JSON bodies of the engine protocol.

use acacia_catalog::tokenizer::Token;
use serde::{Deserialize, Serialize};

use super::{Prompt, format_block_key};

/// Body of `POST /v1/completions`.
#[derive(Serialize)]
pub(super) struct Completion<'a> {
    model: &'a str,
    prompt: &'a Prompt,
    max_tokens: u32,
    stream: bool,
    #[serde(skip_serializing_if = "Option::is_none")]
    adapter: Option<&'a str>,
    version: &'a str,
    priority: u32,
    block_keys: Vec<String>,
}

impl<'a> Completion<'a> {
    pub(super) fn new(completion: &'a super::Completion) -> Self {
        Self {
            model: &completion.model,
            prompt: &completion.prompt,
            max_tokens: completion.max_tokens,
            stream: true,
            adapter: completion.adapter.as_deref(),
            version: &completion.version,
            priority: completion.priority,
            block_keys: completion.blocks.iter().map(format_block_key).collect(),
        }
    }
}

/// Body of `POST /v1/resume`.
#[derive(Serialize)]
pub(super) struct Resume {
    pub(super) request_id: String,
    pub(super) offset: u32,
}

/// One chunk of a stream.
#[derive(Deserialize)]
pub(super) struct Chunk {
    pub(super) id: String,
    pub(super) choices: Vec<Choice>,
    pub(super) offset: u32,
    #[serde(default)]
    pub(super) usage: Option<Usage>,
}

/// The only choice of a chunk.
#[derive(Deserialize)]
pub(super) struct Choice {
    #[serde(default)]
    pub(super) token_ids: Vec<Token>,
    #[serde(default)]
    pub(super) finish_reason: Option<super::Finish>,
}

/// Token counts of an engine's answer.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
pub struct Usage {
    /// Tokens in the prompt.
    pub prompt_tokens: u32,
    /// Tokens in the answer.
    pub completion_tokens: u32,
    /// Breakdown of the prompt tokens.
    #[serde(default)]
    pub prompt_tokens_details: Details,
}

/// Breakdown of prompt tokens.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
pub struct Details {
    /// Tokens that were found in the KV cache.
    #[serde(default)]
    pub cached_tokens: u32,
}
