//! The snapshot and what is derived from its configuration.

use std::collections::HashMap;
use std::sync::Arc;

use acacia_catalog::Set;
use acacia_catalog::id::OrganisationId;
use acacia_policy::Snapshot;

/// Bytes of a key's hash that lead to its bucket.
const BUCKET_BYTES: usize = 8;

/// What traffic reads.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The snapshot.
    pub snapshot: Arc<Snapshot>,
    keys: Arc<Keys>,
}

impl View {
    /// The view of a snapshot; shares what hasn't changed with the one before.
    pub fn new(snapshot: Arc<Snapshot>, before: &Self) -> Self {
        let is_unchanged = Arc::ptr_eq(&snapshot.set, &before.snapshot.set);
        let keys =
            if is_unchanged { before.keys.clone() } else { Arc::new(Keys::new(&snapshot.set)) };
        Self { snapshot, keys }
    }

    /// The organisation that an API key belongs to.
    pub fn organisation(&self, key: &str) -> Option<OrganisationId> {
        self.keys.find(&blake3::hash(key.as_bytes()))
    }
}

/// API keys in force, by the start of their hashes.
#[derive(Debug, Default)]
struct Keys(HashMap<[u8; BUCKET_BYTES], Vec<(blake3::Hash, OrganisationId)>>);

impl Keys {
    fn new(set: &Set) -> Self {
        let mut keys = Self::default();
        for organisation in set.organisations.values() {
            for hash in &organisation.key_hashes {
                // The catalogue has checked the hashes; one it let through matches no key.
                let Ok(hash) = blake3::Hash::from_hex(hash) else { continue };
                keys.0.entry(bucket(&hash)).or_default().push((hash, organisation.name.clone()));
            }
        }
        keys
    }

    /// Compares whole hashes in constant time.
    fn find(&self, hash: &blake3::Hash) -> Option<OrganisationId> {
        let bucket = self.0.get(&bucket(hash))?;
        bucket.iter().find(|(known, _)| known == hash).map(|(_, organisation)| organisation.clone())
    }
}

fn bucket(hash: &blake3::Hash) -> [u8; BUCKET_BYTES] {
    let mut bucket = [0; BUCKET_BYTES];
    bucket.copy_from_slice(&hash.as_bytes()[..BUCKET_BYTES]);
    bucket
}
