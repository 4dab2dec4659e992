//! Operators' keys and their roles.

use std::sync::atomic::{AtomicU64, Ordering};

use arc_swap::ArcSwap;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

/// A key in the daemon's settings.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// The operator who uses it; recorded as the author of changes.
    pub operator: String,
    /// Blake3 hash, in hex, of the bearer token.
    pub hash: String,
    /// Roles of the key.
    pub roles: Vec<Role>,
}

impl Key {
    /// Creates a key from a token, of which only the hash is kept.
    pub fn of(operator: impl Into<String>, token: &str, roles: impl Into<Vec<Role>>) -> Self {
        let hash = blake3::hash(token.as_bytes()).to_hex().to_string();
        Self { operator: operator.into(), hash, roles: roles.into() }
    }

    /// Whether the key has the permissions of `role`.
    pub fn allows(&self, role: Role) -> bool {
        // Every role includes read access.
        role == Role::Read && !self.roles.is_empty() || self.roles.contains(&role)
    }
}

/// A set of permissions.
#[derive(Clone, Copy, Debug, Deserialize, Display, EnumString, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Role {
    /// Read the configuration and status.
    Read,
    /// Change the configuration and send orders.
    Apply,
    /// Take availability zones and upstreams out of service and back.
    Move,
}

/// The valid keys; replaceable without a restart.
#[derive(Debug, Default)]
pub struct Keys {
    keys: ArcSwap<Vec<Key>>,
    refused: AtomicU64,
}

impl Keys {
    /// Creates a collection of keys.
    pub fn new(keys: Vec<Key>) -> Self {
        Self { keys: ArcSwap::from_pointee(keys), refused: AtomicU64::new(0) }
    }

    /// Replaces all keys.
    pub fn replace(&self, keys: Vec<Key>) {
        self.keys.store(keys.into());
    }

    /// The key of a token; the time taken does not depend on the token's similarity to a valid one.
    pub fn find(&self, token: &str) -> Option<Key> {
        let hash = blake3::hash(token.as_bytes());
        let matches = |key: &&Key| blake3::Hash::from_hex(&key.hash).is_ok_and(|h| h == hash);
        self.keys.load().iter().find(matches).cloned()
    }

    /// Number of calls refused so far because of a missing key or role.
    pub fn refused(&self) -> u64 {
        self.refused.load(Ordering::Relaxed)
    }

    /// Counts a refused call.
    pub(crate) fn count_refused(&self) {
        self.refused.fetch_add(1, Ordering::Relaxed);
    }
}
