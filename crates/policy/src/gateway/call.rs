//! One caller's request, as far as decisions need it.

use std::time::Duration;

use super::configuration::ModelName;

/// Id that the caller gave its request.
pub type CallId = String;
/// Name of one part of a prompt.
pub type PartId = String;

/// A caller's request.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// Its id.
    pub id: CallId,
    /// The host that it names.
    pub host: String,
    /// Its path, without the query.
    pub path: String,
    /// The caller's key.
    pub key: Option<String>,
    /// How long the caller waits from now.
    pub timeout: Option<Duration>,
    /// The prompt, for a model engine.
    pub prompt: Option<Prompt>,
}

/// A prompt that the engine reads part by part.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Prompt {
    /// The model.
    pub model: ModelName,
    /// Tokens to read.
    pub input_tokens: u32,
    /// Most tokens to generate.
    pub output_tokens: u32,
    /// Its parts in order; the last one belongs to this request or its session.
    pub parts: Vec<Part>,
}

/// One part of a prompt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Part {
    /// Its name; two prompts with the same part name it alike.
    pub id: PartId,
    /// Its length.
    pub tokens: u32,
}

impl Prompt {
    /// Parts that other requests may share: all but the last.
    pub fn shared(&self) -> &[Part] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// The longest part that other requests may share.
    pub fn longest_shared(&self) -> Option<&Part> {
        self.shared().iter().max_by_key(|part| part.tokens)
    }

    /// Tokens that the request holds in an engine's memory when it ends.
    pub fn memory_tokens(&self) -> u64 {
        u64::from(self.input_tokens) + u64::from(self.output_tokens)
    }
}
