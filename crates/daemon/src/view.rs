//! The snapshot, with an index derived from its configuration.

use std::collections::HashMap;
use std::sync::Arc;

use acacia_catalog::Set;
use acacia_catalog::id::OrganisationId;
use acacia_policy::Snapshot;

/// Bytes of a key's hash that select its bucket.
const BUCKET_BYTES: usize = 8;

/// The state that traffic threads read.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The snapshot.
    pub snapshot: Arc<Snapshot>,
    keys: Arc<Keys>,
}

impl View {
    /// Creates the view of a snapshot, which shares unchanged parts with the previous view.
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

/// Valid API keys, by the first bytes of their hashes.
#[derive(Debug, Default)]
struct Keys(HashMap<[u8; BUCKET_BYTES], Vec<(blake3::Hash, OrganisationId)>>);

impl Keys {
    fn new(set: &Set) -> Self {
        let mut keys = Self::default();
        for organisation in set.organisations.values() {
            for hash in &organisation.key_hashes {
                // The catalogue validates hashes; a malformed one would match no key.
                let Ok(hash) = blake3::Hash::from_hex(hash) else { continue };
                keys.0.entry(bucket(&hash)).or_default().push((hash, organisation.name.clone()));
            }
        }
        keys
    }

    /// Finds the owner of a key; full hashes are compared in constant time.
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
