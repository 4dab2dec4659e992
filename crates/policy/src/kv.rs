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
