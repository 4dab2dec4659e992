//! A set as immutable chunks, each named by the hash of its bytes.
//!
//! Objects are grouped by kind and by a hash of their name, so that a change of one object alters
//! one chunk. The number of groups of a kind follows the bytes that it takes. [`split`] and [`join`]
//! are each other's inverse; [`Root`](crate::Root) tells which chunks a revision consists of.

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

/// Largest chunk, in bytes; the key-value service holds values of 1 MB.
pub const CHUNK_LIMIT_BYTES: usize = 512 << 10;
/// Bytes that a chunk is meant to have.
const CHUNK_TARGET: usize = 8 << 10;
/// Most buckets of one kind.
const BUCKET_LIMIT: usize = 256;

/// Where each part of a set is found.
pub type Index = BTreeMap<Slot, Hash>;
/// The bytes of chunks by name.
pub type Chunks = HashMap<Hash, Vec<u8>>;

/// Name of a chunk: the Blake3 hash of its bytes.
#[derive(Clone, Copy, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Hash(#[serde(with = "serde_bytes")] [u8; 32]);

impl Hash {
    /// The name of `bytes`.
    pub fn of(bytes: &[u8]) -> Self {
        Self(*blake3::hash(bytes).as_bytes())
    }

    /// The bytes of the name.
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

/// A group of objects: kind and bucket.
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
    /// One chunk would be larger than [`CHUNK_LIMIT_BYTES`].
    #[error("a chunk of {0} bytes is above the limit of {CHUNK_LIMIT_BYTES}; use smaller objects")]
    TooLarge(usize),
    /// A chunk that the index names is not at hand.
    #[error("chunk {0} is missing")]
    Missing(Hash),
    /// Bytes that are not those of the chunk.
    #[error("chunk {0} does not have the bytes that its name says")]
    HashMismatch(Hash),
    /// Bytes that are no chunk of this version.
    #[error("chunk {0} can't be read: {1}")]
    Malformed(Hash, rmp_serde::decode::Error),
    /// An object that has no encoding.
    #[error("an object can't be encoded: {0}")]
    Unencodable(#[from] rmp_serde::encode::Error),
    /// The joined objects break a rule.
    #[error("the joined configuration has {} problems", .0.len())]
    Invalid(Vec<Problem>),
}

/// Splits a set; equal sets give equal chunks.
pub fn split(set: &Set) -> Result<(Index, Chunks), Error> {
    let mut split = Split::default();
    split.kind(Kind::Organisation, &set.organisations, Body::Organisations)?;
    split.kind(Kind::Model, &set.models, Body::Models)?;
    split.kind(Kind::Version, &set.versions, Body::Versions)?;
    split.kind(Kind::Adapter, &set.adapters, Body::Adapters)?;
    split.kind(Kind::Zone, &set.zones, Body::Zones)?;
    split.kind(Kind::Upstream, &set.upstreams, Body::Upstreams)?;
    split.kind(Kind::Store, &set.stores, Body::Stores)?;
    split.kind(Kind::Service, &set.services, Body::Services)?;
    split.kind(Kind::Link, &set.links, Body::Links)?;
    split.kind(Kind::Profile, &set.profiles, Body::Profiles)?;
    Ok((split.index, split.chunks))
}

/// Joins the chunks that `index` names; every chunk is verified and the whole set checked.
pub fn join(index: &Index, chunks: &Chunks) -> Result<Set, Error> {
    let mut objects = Vec::new();
    for hash in index.values() {
        let bytes = chunks.get(hash).ok_or(Error::Missing(*hash))?;
        objects.extend(decode(*hash, bytes)?);
    }
    Set::check(&Document { objects }).map_err(Error::Invalid)
}

/// Whether `bytes` are those of the chunk.
pub fn verify(hash: Hash, bytes: &[u8]) -> bool {
    bytes.len() <= CHUNK_LIMIT_BYTES && Hash::of(bytes) == hash
}

/// The objects of one chunk.
fn decode(hash: Hash, bytes: &[u8]) -> Result<Vec<Object>, Error> {
    if !verify(hash, bytes) {
        return Err(Error::HashMismatch(hash));
    }
    let body: Body = rmp_serde::from_slice(bytes).map_err(|e| Error::Malformed(hash, e))?;
    Ok(body.objects())
}

/// Kinds by number; the numbers are part of the encoding.
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

/// What a chunk holds.
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
    fn objects(self) -> Vec<Object> {
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

/// A split in the making.
#[derive(Default)]
struct Split {
    index: Index,
    chunks: Chunks,
}

impl Split {
    fn kind<T: Clone + Serialize>(
        &mut self,
        kind: Kind,
        objects: &BTreeMap<Name, T>,
        body: impl Fn(Vec<T>) -> Body,
    ) -> Result<(), Error> {
        let list: Vec<&T> = objects.values().collect();
        let buckets = buckets(rmp_serde::to_vec_named(&list)?.len());
        let mut groups: BTreeMap<u8, Vec<T>> = BTreeMap::new();
        for (name, object) in objects {
            groups.entry(bucket(name, buckets)).or_default().push(object.clone());
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

/// Buckets for a kind that takes `bytes`: a power of two, so that growth moves few objects.
fn buckets(bytes: usize) -> usize {
    bytes.div_ceil(CHUNK_TARGET).next_power_of_two().min(BUCKET_LIMIT)
}

fn bucket(name: &str, buckets: usize) -> u8 {
    let first = blake3::hash(name.as_bytes()).as_bytes()[0];
    let mask = u8::try_from(buckets - 1).unwrap_or(u8::MAX);
    first & mask
}
