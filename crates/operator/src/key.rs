//! Operators' keys and what each may do.

use std::sync::atomic::{AtomicU64, Ordering};

use arc_swap::ArcSwap;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

/// A key in the daemon's settings.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// Who holds it; the author of changes made with it.
    pub operator: String,
    /// Blake3 hash, in hex, of the bearer token.
    pub hash: String,
    /// What it may do.
    pub roles: Vec<Role>,
}

impl Key {
    /// The key of a token.
    pub fn of(operator: impl Into<String>, token: &str, roles: impl Into<Vec<Role>>) -> Self {
        let hash = blake3::hash(token.as_bytes()).to_hex().to_string();
        Self { operator: operator.into(), hash, roles: roles.into() }
    }

    /// Whether it may do what `role` may.
    pub fn allows(&self, role: Role) -> bool {
        // Whoever may change something may read.
        role == Role::Read && !self.roles.is_empty() || self.roles.contains(&role)
    }
}

/// What a key may do.
#[derive(Clone, Copy, Debug, Deserialize, Display, EnumString, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Role {
    /// Read configuration and status.
    Read,
    /// Change the configuration and send orders.
    Apply,
    /// Take availability zones and upstreams out and back.
    Move,
}

/// The keys in force; replaced without a restart.
#[derive(Debug, Default)]
pub struct Keys {
    keys: ArcSwap<Vec<Key>>,
    refused: AtomicU64,
}

impl Keys {
    /// These keys.
    pub fn new(keys: Vec<Key>) -> Self {
        Self { keys: ArcSwap::from_pointee(keys), refused: AtomicU64::new(0) }
    }

    /// Puts other keys in force.
    pub fn replace(&self, keys: Vec<Key>) {
        self.keys.store(keys.into());
    }

    /// The key of a token, in time that does not depend on the token's likeness to another.
    pub fn find(&self, token: &str) -> Option<Key> {
        let hash = blake3::hash(token.as_bytes());
        let same = |key: &&Key| blake3::Hash::from_hex(&key.hash).is_ok_and(|h| h == hash);
        self.keys.load().iter().find(same).cloned()
    }

    /// Calls refused so far for want of a key or a role.
    pub fn refused(&self) -> u64 {
        self.refused.load(Ordering::Relaxed)
    }

    /// Counts a refused call.
    pub(crate) fn refuse(&self) {
        self.refused.fetch_add(1, Ordering::Relaxed);
    }
}
