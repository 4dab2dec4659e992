//! One shard of the claims: the value of one key in the key-value service.

use serde::{Deserialize, Serialize};

use super::{Answer, Claim};
use crate::{Verdict, kv};

/// Number of shards.
pub const SHARD_COUNT: u8 = 4;
/// Maximum bytes of a shard's value; the service holds values of up to a megabyte.
const MAX_SHARD_BYTES: usize = 900_000;
/// Encoded bytes of a record without its answer, rounded up.
const RECORD_BYTES: usize = 104;
/// Maximum body bytes of an answer that is kept.
const MAX_ANSWER_BYTES: usize = 2_048;

/// Number of a shard.
pub type ShardNumber = u8;
/// Id of a claim: a hash of organisation and idempotency key.
pub type ClaimId = [u8; 16];
/// Unique id of one attempt to make a claim.
pub type Nonce = [u8; 16];

/// The claims stored under one key.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Shard {
    /// Claims by id.
    pub records: std::collections::BTreeMap<ClaimId, Record>,
}

/// A claim's entry in a shard.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Record {
    /// Truncated hash of the request.
    pub fingerprint: ClaimId,
    /// The attempt that made the claim.
    pub nonce: Nonce,
    /// Whether the request ran.
    pub verdict: Verdict,
    /// Its answer, if small.
    pub answer: Option<Answer>,
}

/// The end of a claimed request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Ending {
    /// The claim.
    pub claim: Claim,
    /// The attempt that made the claim.
    pub nonce: Nonce,
    /// Whether the request ran.
    pub verdict: Verdict,
    /// Its answer, if small.
    pub answer: Option<Answer>,
}

impl Shard {
    /// Decodes the shard in an entry; empty if the key is absent.
    pub fn decode(entry: Option<&kv::Entry>) -> Option<Self> {
        match entry {
            None => Some(Self::default()),
            Some(entry) => rmp_serde::from_slice(&entry.value).ok(),
        }
    }

    /// Whether another record fits.
    pub fn has_room(&self) -> bool {
        self.bytes() + RECORD_BYTES <= MAX_SHARD_BYTES
    }

    /// Drops answers until the shard fits; never drops a claim.
    pub fn trim_answers(&mut self) {
        let mut bytes = self.bytes();
        for record in self.records.values_mut() {
            if bytes <= MAX_SHARD_BYTES {
                return;
            }
            bytes -= record.answer.take().map_or(0, |a| a.body.len() + a.content_type.len());
        }
    }

    /// Adds a claim; false if its id is taken.
    pub fn add(&mut self, claim: &Claim, nonce: Nonce) -> bool {
        let id = id(claim);
        if self.records.contains_key(&id) {
            return false;
        }
        let fingerprint = fingerprint(claim);
        let verdict = Verdict::MayHaveRun;
        self.records.insert(id, Record { fingerprint, nonce, verdict, answer: None });
        true
    }

    /// Records the end of a claimed request; removes the claim if the request did not run.
    pub fn record_ending(&mut self, ending: &Ending) {
        let id = id(&ending.claim);
        let Some(record) = self.records.get_mut(&id).filter(|r| r.nonce == ending.nonce) else {
            return;
        };
        if ending.verdict == Verdict::NotRun {
            self.records.remove(&id);
            return;
        }
        record.verdict = record.verdict.join(ending.verdict);
        record.answer = ending.answer.clone().filter(|a| a.body.len() <= MAX_ANSWER_BYTES);
    }

    fn bytes(&self) -> usize {
        let answers = self.records.values().filter_map(|r| r.answer.as_ref());
        let bodies: usize = answers.map(|a| a.body.len() + a.content_type.len()).sum();
        self.records.len() * RECORD_BYTES + bodies
    }
}

/// Key of a shard.
pub fn key(shard: ShardNumber) -> kv::Key {
    format!("acacia/claims/{shard}")
}

/// The shard that a claim belongs to.
pub fn shard(claim: &Claim) -> ShardNumber {
    id(claim)[0] % SHARD_COUNT
}

/// The id of a claim.
pub fn id(claim: &Claim) -> ClaimId {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&(claim.organisation.len() as u64).to_le_bytes());
    hasher.update(claim.organisation.as_bytes());
    hasher.update(claim.key.as_bytes());
    first_half(hasher.finalize().as_bytes())
}

/// The truncated hash of a claim's request.
pub fn fingerprint(claim: &Claim) -> ClaimId {
    first_half(&claim.fingerprint)
}

/// The first half of a hash.
pub fn first_half(hash: &[u8; 32]) -> [u8; 16] {
    let mut first_half = [0; 16];
    first_half.copy_from_slice(&hash[..16]);
    first_half
}
