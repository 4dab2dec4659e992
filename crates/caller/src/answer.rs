//! What the daemon hands back for a caller.

use acacia_catalog::tokenizer::Token;
use bytes::Bytes;
use tokio::sync::mpsc;

use crate::error::Error;

/// A completion's answer as it comes.
pub struct Answer {
    /// Its parts. The channel is bounded, so that a slow reader holds the sender back.
    pub deltas: mpsc::Receiver<Delta>,
    /// Dropped with the answer, which is how the daemon learns that the caller left.
    pub guard: Box<dyn Send + Sync>,
}

/// A part of a completion's answer.
#[derive(Clone, Debug)]
pub enum Delta {
    /// Some output.
    Output {
        /// Text; whole characters only.
        text: String,
        /// Tokens.
        tokens: Vec<Token>,
    },
    /// The answer is whole.
    End {
        /// Why it ended: `stop` or `length`.
        finish: &'static str,
        /// What was counted.
        usage: Usage,
    },
    /// The answer can't be finished.
    Failed(Error),
}

/// Tokens counted for a completion.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the prompt whose work was found in a cache.
    pub cached_tokens: u32,
    /// Tokens of the answer.
    pub completion_tokens: u32,
}

/// A plain service's whole answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: String,
    /// Body.
    pub body: Bytes,
}
