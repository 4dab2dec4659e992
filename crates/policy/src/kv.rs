//! Calls to the platform's key-value service, as data.

use serde::{Deserialize, Serialize};
use strum::IntoStaticStr;
use thiserror::Error;

use crate::Time;

/// A key.
pub type Key = String;
/// Id of a lease that the service granted.
pub type LeaseId = i64;
/// Revision of one key's last change; zero when the key is absent.
pub type ModRevision = i64;

/// One call.
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
    /// Writes one key if its revision is as expected.
    Swap {
        /// The key.
        key: Key,
        /// The expected revision; zero creates.
        expected: ModRevision,
        /// The new value; absent deletes.
        #[serde(with = "serde_bytes")]
        value: Option<Vec<u8>>,
        /// The lease that the key lives under.
        lease: Option<LeaseId>,
    },
    /// Asks for a lease.
    Grant {
        /// How long it lives without renewal.
        ttl: Time,
    },
    /// Renews a lease.
    Renew {
        /// The lease.
        lease: LeaseId,
    },
    /// Gives a lease back; its keys go.
    Revoke {
        /// The lease.
        lease: LeaseId,
    },
    /// Waits for the next change of a key after a revision; answered like `Get`.
    Watch {
        /// The key.
        key: Key,
        /// The revision already known.
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
    /// To `Swap`: written, with the key's new revision.
    Swapped(ModRevision),
    /// To `Swap`: not written; the key's present state.
    Conflict(Option<Entry>),
    /// To `Grant` and `Renew`: the time to live from the moment of the call.
    Leased {
        /// The lease.
        lease: LeaseId,
        /// How long it lives; zero when it is gone.
        ttl: Time,
    },
    /// To `Revoke`.
    Revoked,
}

/// Why there is no answer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Error, PartialEq, Serialize)]
pub enum Failure {
    /// The service refused; the call had no effect.
    #[error("the key-value service is unavailable and did nothing")]
    Unavailable,
    /// No answer came; a write may have taken effect.
    #[error("no answer from the key-value service; a write may have taken effect")]
    Ambiguous,
    /// The value is larger than the service holds.
    #[error("the value is larger than the key-value service holds")]
    TooLarge,
}

/// How a call ended.
pub type Outcome = Result<Reply, Failure>;
