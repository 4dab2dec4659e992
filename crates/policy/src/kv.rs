//! Calls to the platform's key-value service, as data.

use serde::{Deserialize, Serialize};
use strum::IntoStaticStr;
use thiserror::Error;

use crate::Time;

/// A key.
pub type Key = String;
/// Id of a lease granted by the service.
pub type LeaseId = i64;
/// Revision of a key's last change; zero if the key is absent.
pub type ModRevision = i64;
/// Number of times that the service's contents were restored from an older copy.
pub type Era = u64;

/// Bits of a fencing token that hold the revision; the era is in the higher ones. Together they fit
/// into the 53 bits that every JSON reader represents exactly.
const FENCE_REVISION_BITS: u32 = 40;
/// Highest era that a fencing token can represent.
const FENCE_MAX_ERA: Era = (1 << (53 - FENCE_REVISION_BITS)) - 1;

/// A revision in one era of the service.
///
/// A restored copy gives out again the numbers of the revisions that it has lost, so numbers are
/// comparable only within an era. Revisions are ordered by era first.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Revision {
    /// The era.
    pub era: Era,
    /// The number within the era; zero if the key is absent.
    pub number: ModRevision,
}

impl Revision {
    /// The revision of a key that is absent in an era.
    pub fn absent(era: Era) -> Self {
        Self { era, number: 0 }
    }

    /// A fencing token that is unique and increases over eras. In era zero it equals the number.
    pub fn fencing_token(self) -> u64 {
        let number = u64::try_from(self.number).unwrap_or(0);
        let mask = (1 << FENCE_REVISION_BITS) - 1;
        (self.era.min(FENCE_MAX_ERA) << FENCE_REVISION_BITS) | (number & mask)
    }
}

/// A lease granted in one era. It is over once a later era was seen, although the later era may
/// have granted another lease with the same id.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Lease {
    /// The era.
    pub era: Era,
    /// Its id in that era.
    pub id: LeaseId,
}

/// A call.
#[derive(Clone, Debug, Deserialize, Eq, IntoStaticStr, PartialEq, Serialize)]
#[strum(serialize_all = "snake_case")]
pub enum Request {
    /// Reads one key.
    Get {
        /// The key.
        key: Key,
    },
    /// Reads every key that starts with a prefix.
    List {
        /// The prefix.
        prefix: Key,
    },
    /// Writes one key if its revision is the expected one.
    Swap {
        /// The key.
        key: Key,
        /// The expected revision; zero creates the key.
        expected: ModRevision,
        /// The new value; `None` deletes the key.
        #[serde(with = "serde_bytes")]
        value: Option<Vec<u8>>,
        /// The lease that the key is attached to.
        lease: Option<LeaseId>,
    },
    /// Requests a lease.
    Grant {
        /// Time to live without renewal.
        ttl: Time,
    },
    /// Renews a lease.
    Renew {
        /// The lease.
        lease: LeaseId,
    },
    /// Revokes a lease; its keys are deleted.
    Revoke {
        /// The lease.
        lease: LeaseId,
    },
    /// Waits until a key changes after a revision; answered like `Get`.
    Watch {
        /// The key.
        key: Key,
        /// The latest known revision.
        after: ModRevision,
    },
}

/// A key's value.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// The key.
    pub key: Key,
    /// The value.
    #[serde(with = "serde_bytes")]
    pub value: Vec<u8>,
    /// Revision of its last change.
    pub revision: ModRevision,
}

/// An answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Reply {
    /// To `Get` and `Watch`.
    Got(Option<Entry>),
    /// To `List`.
    Listed(Vec<Entry>),
    /// To `Swap`: written; the key's new revision.
    Swapped(ModRevision),
    /// To `Swap`: not written; the key's current entry.
    Conflict(Option<Entry>),
    /// To `Grant` and `Renew`: the time to live from the moment of the call.
    Leased {
        /// The lease.
        lease: LeaseId,
        /// Time to live; zero if the lease no longer exists.
        ttl: Time,
    },
    /// To `Revoke`.
    Revoked,
}

/// Why a call failed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Error, PartialEq, Serialize)]
pub enum Failure {
    /// The service refused; the call had no effect.
    #[error("the key-value service is unavailable; the call had no effect")]
    Unavailable,
    /// No answer arrived; a write may have taken effect.
    #[error("no answer from the key-value service; a write may have taken effect")]
    Ambiguous,
    /// The value exceeds the service's size limit.
    #[error("the value exceeds the size limit of the key-value service")]
    TooLarge,
}

/// The result of a call.
pub type Outcome = Result<Reply, Failure>;
