//! Answers that the daemon returns to a caller.

use acacia_catalog::tokenizer::Token;
use bytes::Bytes;
use tokio::sync::mpsc;

use crate::error::Error;

/// A streamed completion.
pub struct Answer {
    /// Parts of the answer. The channel is bounded, so a slow reader slows the sender down.
    pub deltas: mpsc::Receiver<Delta>,
    /// Dropped with the answer; tells the daemon that the caller disconnected.
    pub guard: Box<dyn Send + Sync>,
}

/// A part of a streamed completion.
#[derive(Clone, Debug)]
pub enum Delta {
    /// Newly generated output.
    Output {
        /// Decoded text; complete characters only.
        text: String,
        /// Generated tokens.
        tokens: Vec<Token>,
    },
    /// The answer is complete.
    End {
        /// Finish reason: `stop` or `length`.
        finish: &'static str,
        /// Token counts.
        usage: Usage,
    },
    /// The answer can't be completed.
    Failed(Error),
}

/// Token counts of a completion.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Usage {
    /// Tokens in the prompt.
    pub prompt_tokens: u32,
    /// Prompt tokens that were found in a KV cache.
    pub cached_tokens: u32,
    /// Tokens in the answer.
    pub completion_tokens: u32,
}

/// Complete answer of a plain service.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Content type of the body.
    pub content_type: String,
    /// Answer body.
    pub body: Bytes,
}
