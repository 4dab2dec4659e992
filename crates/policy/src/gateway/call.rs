//! The properties of a caller's request that decisions depend on.

use std::time::Duration;

use super::configuration::ModelName;
use super::gossip::stable_hash;

/// Request id assigned by the caller.
pub type CallId = String;
/// Name of one part of a prompt.
pub type PartId = String;
/// Hash of what a request asks for, equal on all instances.
pub type ContentHash = u64;

/// A caller's request.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// Its id.
    pub id: CallId,
    /// The requested host.
    pub host: String,
    /// Its path, without the query.
    pub path: String,
    /// The caller's key.
    pub key: Option<String>,
    /// Time from now until the caller's deadline, if it set one.
    pub timeout: Option<Duration>,
    /// The prompt, for a model engine.
    pub prompt: Option<Prompt>,
    /// Hash of its method, path with query, and body; zero until the body was read.
    pub content: ContentHash,
    /// The stream that it takes up, if it does.
    pub resumption: Option<Resumption>,
}

/// A stream that was broken off and that its caller takes up after the last event it has.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Resumption {
    /// Id of the request that brought the stream's first event; none if the caller doesn't say.
    pub origin: Option<CallId>,
}

/// A prompt, divided into parts that are cached separately.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Prompt {
    /// The model.
    pub model: ModelName,
    /// Length of the prompt in tokens.
    pub input_tokens: u32,
    /// Maximum number of tokens to generate.
    pub output_tokens: u32,
    /// Its parts in order; the last one is specific to this request or its session.
    pub parts: Vec<Part>,
}

/// One part of a prompt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Part {
    /// Its name; equal in all prompts that contain the same part.
    pub id: PartId,
    /// Its length in tokens.
    pub tokens: u32,
}

impl Prompt {
    /// Parts that other requests may contain: all but the last.
    pub fn shared(&self) -> &[Part] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// The longest part that other requests may contain.
    pub fn longest_shared(&self) -> Option<&Part> {
        self.shared().iter().max_by_key(|part| part.tokens)
    }

    /// Tokens that the request occupies in an engine's memory when it completes.
    pub fn memory_tokens(&self) -> u64 {
        u64::from(self.input_tokens) + u64::from(self.output_tokens)
    }
}

/// The hash of what a request asks for.
pub fn content_hash(method: &str, target: &str, body: &[u8]) -> ContentHash {
    stable_hash(&(method, target, body))
}
