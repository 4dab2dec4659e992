//! Manifests, which make blocks readable.

use acacia_catalog::id::{Incarnation, VersionId};
use serde::{Deserialize, Serialize};

/// Description of a block, written after all its bytes; a block without one is never read.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Manifest {
    /// Length of the block, in bytes.
    pub length: u64,
    /// BLAKE3 hash of the block, in hex.
    pub checksum: String,
    /// Incarnation of the store that received the block.
    pub incarnation: Incarnation,
    /// Logical size in bytes, used to account for link bandwidth.
    pub logical_bytes: u64,
    /// Weight version that computed the block.
    pub version: VersionId,
}

/// Properties of a block that don't follow from its bytes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Metadata {
    /// Logical size in bytes, used to account for link bandwidth.
    pub logical_bytes: u64,
    /// Weight version that computed the block.
    pub version: VersionId,
}
