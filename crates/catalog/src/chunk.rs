//! Encoding of a set as immutable, content-addressed chunks.
//!
//! Objects are grouped by kind and by a hash of their name, so that a change of one object alters
//! one chunk. The number of groups of a kind depends on its encoded size. [`join`] reverses
//! [`split`]; [`Root`](crate::Root) lists the chunks of a revision.

use std::collections::{BTreeMap, HashMap};
use std::fmt;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::id::Name;
use crate::object::{
    Adapter, Document, Link, Model, Object, Organisation, Profile, Service, Store, Upstream,
    Version, Zone,
};
use crate::{Problem, Set};

/// Maximum size of a chunk; the key-value service holds values of up to 1 MB.
pub const CHUNK_LIMIT_BYTES: usize = 512 << 10;
/// Target size of a chunk.
const CHUNK_TARGET_BYTES: usize = 8 << 10;
/// Maximum number of buckets per kind.
const BUCKET_LIMIT: usize = 256;

/// The chunk of each slot of a set.
pub type Index = BTreeMap<Slot, Hash>;
/// Encoded chunks by hash.
pub type Chunks = HashMap<Hash, Vec<u8>>;

/// The Blake3 hash of a chunk's bytes.
#[derive(Clone, Copy, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Hash(#[serde(with = "serde_bytes")] [u8; 32]);

impl Hash {
    /// Computes the hash of `bytes`.
    pub fn of(bytes: &[u8]) -> Self {
        Self(*blake3::hash(bytes).as_bytes())
    }

    /// The hash as bytes.
    pub fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }
}

impl fmt::Display for Hash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        blake3::Hash::from_bytes(self.0).to_hex().fmt(f)
    }
}

impl fmt::Debug for Hash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// Identifies a group of objects by kind and bucket.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Slot(u16);

impl Slot {
    fn new(kind: Kind, bucket: u8) -> Self {
        Self((kind as u16) << 8 | u16::from(bucket))
    }
}

/// Why a set can't be split or joined.
#[derive(Debug, Error)]
pub enum Error {
    /// A chunk would be larger than [`CHUNK_LIMIT_BYTES`].
    #[error(
        "chunk of {0} bytes exceeds the limit of {CHUNK_LIMIT_BYTES} bytes; use smaller objects"
    )]
    TooLarge(usize),
    /// A chunk in the index is not among the given chunks.
    #[error("chunk {0} is missing")]
    Missing(Hash),
    /// The bytes do not match the chunk's hash, or are too many.
    #[error("content of chunk {0} does not match its hash")]
    HashMismatch(Hash),
    /// The chunk can't be decoded.
    #[error("failed to decode chunk {0}: {1}")]
    Malformed(Hash, rmp_serde::decode::Error),
    /// An object can't be serialized.
    #[error("failed to encode an object: {0}")]
    Unencodable(#[from] rmp_serde::encode::Error),
    /// The decoded objects are not a valid configuration.
    #[error("the decoded configuration has {} problems", .0.len())]
    Invalid(Vec<Problem>),
}

/// Splits a set into chunks; equal sets give equal chunks.
pub fn split(set: &Set) -> Result<(Index, Chunks), Error> {
    let mut splitter = Splitter::default();
    splitter.add_kind(Kind::Organisation, &set.organisations, Body::Organisations)?;
    splitter.add_kind(Kind::Model, &set.models, Body::Models)?;
    splitter.add_kind(Kind::Version, &set.versions, Body::Versions)?;
    splitter.add_kind(Kind::Adapter, &set.adapters, Body::Adapters)?;
    splitter.add_kind(Kind::Zone, &set.zones, Body::Zones)?;
    splitter.add_kind(Kind::Upstream, &set.upstreams, Body::Upstreams)?;
    splitter.add_kind(Kind::Store, &set.stores, Body::Stores)?;
    splitter.add_kind(Kind::Service, &set.services, Body::Services)?;
    splitter.add_kind(Kind::Link, &set.links, Body::Links)?;
    splitter.add_kind(Kind::Profile, &set.profiles, Body::Profiles)?;
    Ok((splitter.index, splitter.chunks))
}

/// Decodes the chunks of `index` into a set; verifies every chunk and checks the set.
pub fn join(index: &Index, chunks: &Chunks) -> Result<Set, Error> {
    let mut objects = Vec::new();
    for hash in index.values() {
        let bytes = chunks.get(hash).ok_or(Error::Missing(*hash))?;
        objects.extend(decode(*hash, bytes)?);
    }
    Set::check(&Document { objects }).map_err(Error::Invalid)
}

/// Whether `bytes` have the given hash and are within the size limit.
pub fn verify(hash: Hash, bytes: &[u8]) -> bool {
    bytes.len() <= CHUNK_LIMIT_BYTES && Hash::of(bytes) == hash
}

/// Verifies and decodes the objects of one chunk.
fn decode(hash: Hash, bytes: &[u8]) -> Result<Vec<Object>, Error> {
    if !verify(hash, bytes) {
        return Err(Error::HashMismatch(hash));
    }
    let body: Body = rmp_serde::from_slice(bytes).map_err(|e| Error::Malformed(hash, e))?;
    Ok(body.into_objects())
}

/// Kind of an object; the numbers are part of the encoding.
#[derive(Clone, Copy)]
enum Kind {
    Organisation = 0,
    Model = 1,
    Version = 2,
    Adapter = 3,
    Zone = 4,
    Upstream = 5,
    Store = 6,
    Service = 7,
    Link = 8,
    Profile = 9,
}

/// Content of a chunk.
#[derive(Deserialize, Serialize)]
enum Body {
    Organisations(Vec<Organisation>),
    Models(Vec<Model>),
    Versions(Vec<Version>),
    Adapters(Vec<Adapter>),
    Zones(Vec<Zone>),
    Upstreams(Vec<Upstream>),
    Stores(Vec<Store>),
    Services(Vec<Service>),
    Links(Vec<Link>),
    Profiles(Vec<Profile>),
}

impl Body {
    fn into_objects(self) -> Vec<Object> {
        match self {
            Self::Organisations(list) => list.into_iter().map(Object::Organisation).collect(),
            Self::Models(list) => list.into_iter().map(Object::Model).collect(),
            Self::Versions(list) => list.into_iter().map(Object::Version).collect(),
            Self::Adapters(list) => list.into_iter().map(Object::Adapter).collect(),
            Self::Zones(list) => list.into_iter().map(Object::Zone).collect(),
            Self::Upstreams(list) => list.into_iter().map(Object::Upstream).collect(),
            Self::Stores(list) => list.into_iter().map(Object::Store).collect(),
            Self::Services(list) => list.into_iter().map(Object::Service).collect(),
            Self::Links(list) => list.into_iter().map(Object::Link).collect(),
            Self::Profiles(list) => list.into_iter().map(Object::Profile).collect(),
        }
    }
}

/// Accumulates chunks during [`split`].
#[derive(Default)]
struct Splitter {
    index: Index,
    chunks: Chunks,
}

impl Splitter {
    fn add_kind<T: Clone + Serialize>(
        &mut self,
        kind: Kind,
        objects: &BTreeMap<Name, T>,
        body: impl Fn(Vec<T>) -> Body,
    ) -> Result<(), Error> {
        let list: Vec<&T> = objects.values().collect();
        let count = bucket_count(rmp_serde::to_vec_named(&list)?.len());
        let mut groups: BTreeMap<u8, Vec<T>> = BTreeMap::new();
        for (name, object) in objects {
            groups.entry(bucket(name, count)).or_default().push(object.clone());
        }
        for (bucket, group) in groups {
            self.add(Slot::new(kind, bucket), &body(group))?;
        }
        Ok(())
    }

    fn add(&mut self, slot: Slot, body: &Body) -> Result<(), Error> {
        let bytes = rmp_serde::to_vec_named(body)?;
        if bytes.len() > CHUNK_LIMIT_BYTES {
            return Err(Error::TooLarge(bytes.len()));
        }
        let hash = Hash::of(&bytes);
        self.index.insert(slot, hash);
        self.chunks.insert(hash, bytes);
        Ok(())
    }
}

/// Bucket count for a kind of this size; a power of two, so that few objects move on growth.
fn bucket_count(bytes: usize) -> usize {
    bytes.div_ceil(CHUNK_TARGET_BYTES).next_power_of_two().min(BUCKET_LIMIT)
}

fn bucket(name: &str, count: usize) -> u8 {
    let first = blake3::hash(name.as_bytes()).as_bytes()[0];
    let mask = u8::try_from(count - 1).unwrap_or(u8::MAX);
    first & mask
}
