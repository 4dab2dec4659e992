//! Requests of callers, as the policy sees them.

use acacia_catalog::id::{AdapterId, ModelId, OrganisationId, ServiceId, VersionId};
use acacia_catalog::tokenizer::Token;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use strum::Display;

use crate::Time;

/// Key of a KV cache block: a hash chain over organisation, version, adapter and tokens.
pub type BlockKey = [u8; 32];
/// A caller's key for a request that may run only once.
pub type IdempotencyKey = Arc<str>;
/// Tokens in one KV cache block.
pub const BLOCK_TOKENS: usize = 2_000;

/// One request.
#[derive(Clone, Debug)]
pub struct Request {
    /// The organisation that is charged.
    pub organisation: OrganisationId,
    /// What to run.
    pub work: Work,
    /// Whether it is short or long.
    pub class: Class,
    /// Deadline of the first byte.
    pub deadline: Time,
}

impl Request {
    /// Whether running it twice does no harm.
    pub fn is_idempotent(&self) -> bool {
        match &self.work {
            Work::Prompt(_) => true,
            Work::Call(call) => call.idempotent,
        }
    }
}

/// What a request runs.
#[derive(Clone, Debug)]
pub enum Work {
    /// A completion by a model.
    Prompt(Prompt),
    /// A call of a plain service.
    Call(Call),
}

/// A completion by a model.
#[derive(Clone, Debug)]
pub struct Prompt {
    /// The model.
    pub model: ModelId,
    /// The weight version in service at arrival.
    pub version: VersionId,
    /// The adapter, if any.
    pub adapter: Option<AdapterId>,
    /// The prompt's tokens.
    pub tokens: Arc<[Token]>,
    /// Keys of its full blocks, in order.
    pub blocks: Arc<[BlockKey]>,
    /// Most output tokens.
    pub max_tokens: u32,
}

/// A call of a plain service.
#[derive(Clone, Debug)]
pub struct Call {
    /// The service.
    pub service: ServiceId,
    /// Whether the catalogue lists the operation as idempotent.
    pub idempotent: bool,
    /// The caller's idempotency key, if any.
    pub key: Option<IdempotencyKey>,
    /// Hash of method, path and body, which tells a repeat from another request with the same key.
    pub fingerprint: [u8; 32],
}

/// Whether a request is short or long.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Class {
    /// Served first.
    Short,
    /// Served after short ones, but aged so that it doesn't starve.
    Long,
}
