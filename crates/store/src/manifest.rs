//! What makes a block readable.

use acacia_catalog::id::{Incarnation, VersionId};
use serde::{Deserialize, Serialize};

/// Written after all bytes of a block; a block without one is never read.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Manifest {
    /// Bytes of the body.
    pub length: u64,
    /// Blake3 hash of the body, in hex.
    pub checksum: String,
    /// The store's process life that took the block.
    pub incarnation: Incarnation,
    /// Bytes that the block counts for on a link.
    pub logical_bytes: u64,
    /// The weight version that computed it.
    pub version: VersionId,
}

/// What a manifest says beyond the bytes themselves.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Metadata {
    /// Bytes that the block counts for on a link.
    pub logical_bytes: u64,
    /// The weight version that computed it.
    pub version: VersionId,
}
