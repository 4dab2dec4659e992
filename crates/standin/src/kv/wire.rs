//! The gateway's JSON: keys and values in base64, 64-bit numbers as decimal strings.

use serde::{Deserialize, Serialize};

/// Bytes as base64.
pub mod base64_bytes {
    use base64::Engine;
    use base64::engine::general_purpose::STANDARD;
    use serde::{Deserialize, Deserializer, Serializer};

    /// Writes base64.
    pub fn serialize<S: Serializer>(bytes: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(bytes))
    }

    /// Reads base64.
    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<u8>, D::Error> {
        let text = String::deserialize(deserializer)?;
        STANDARD.decode(text).map_err(serde::de::Error::custom)
    }
}

/// A 64-bit number as a decimal string.
pub mod decimal {
    use serde::{Deserialize, Deserializer, Serializer};

    /// Writes a string.
    pub fn serialize<S: Serializer>(number: &i64, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(number)
    }

    /// Reads a string.
    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<i64, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}

/// What each answer begins with.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct Header {
    /// The keyspace's revision.
    #[serde(with = "decimal")]
    pub revision: i64,
}

/// A key's state.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct KeyValue {
    /// The key.
    #[serde(with = "base64_bytes")]
    pub key: Vec<u8>,
    /// The value.
    #[serde(with = "base64_bytes", default)]
    pub value: Vec<u8>,
    /// Revision that created the key.
    #[serde(with = "decimal", default)]
    pub create_revision: i64,
    /// Revision of the last change.
    #[serde(with = "decimal", default)]
    pub mod_revision: i64,
    /// Changes since the key was created.
    #[serde(with = "decimal", default)]
    pub version: i64,
    /// The lease it lives under; zero is none.
    #[serde(with = "decimal", default)]
    pub lease: i64,
}

/// A read.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Range {
    /// The first key.
    #[serde(with = "base64_bytes")]
    pub key: Vec<u8>,
    /// The key after the last; empty reads one key.
    #[serde(with = "base64_bytes", default)]
    pub range_end: Vec<u8>,
    /// Most keys; zero is no limit.
    #[serde(with = "decimal", default)]
    pub limit: i64,
}

/// Answer to a read.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct RangeResponse {
    /// Header.
    pub header: Header,
    /// The keys in order.
    #[serde(default)]
    pub kvs: Vec<KeyValue>,
    /// How many keys the range has.
    #[serde(with = "decimal", default)]
    pub count: i64,
}

/// A transaction.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Transaction {
    /// All must hold.
    #[serde(default)]
    pub compare: Vec<Compare>,
    /// Done when they hold.
    #[serde(default)]
    pub success: Vec<Operation>,
    /// Done when they don't.
    #[serde(default)]
    pub failure: Vec<Operation>,
}

impl Transaction {
    /// Whether success would write.
    pub fn writes(&self) -> bool {
        self.success.iter().any(|operation| !matches!(operation, Operation::RequestRange(_)))
    }
}

/// What a comparison looks at.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Target {
    /// Revision of the last change.
    Mod,
}

/// How a comparison compares.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Relation {
    /// The same.
    Equal,
}

/// A comparison.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Compare {
    /// The key.
    #[serde(with = "base64_bytes")]
    pub key: Vec<u8>,
    /// What is compared.
    pub target: Target,
    /// How.
    pub result: Relation,
    /// The expected revision; zero means absent.
    #[serde(with = "decimal")]
    pub mod_revision: i64,
}

/// One step of a transaction.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Operation {
    /// Writes a key.
    RequestPut(Put),
    /// Reads.
    RequestRange(Range),
    /// Deletes a key.
    RequestDeleteRange(Delete),
}

/// A write of one key.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Put {
    /// The key.
    #[serde(with = "base64_bytes")]
    pub key: Vec<u8>,
    /// The value.
    #[serde(with = "base64_bytes", default)]
    pub value: Vec<u8>,
    /// The lease it lives under; zero is none.
    #[serde(with = "decimal", default)]
    pub lease: i64,
}

/// A deletion of one key.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Delete {
    /// The key.
    #[serde(with = "base64_bytes")]
    pub key: Vec<u8>,
}

/// Answer to a transaction.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct TransactionResponse {
    /// Header.
    pub header: Header,
    /// Whether every comparison held.
    #[serde(default)]
    pub succeeded: bool,
    /// One for each step done.
    #[serde(default)]
    pub responses: Vec<Response>,
}

/// Answer to one step of a transaction.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Response {
    /// Written.
    ResponsePut {
        /// Header.
        header: Header,
    },
    /// Read.
    ResponseRange(RangeResponse),
    /// Deleted.
    ResponseDeleteRange {
        /// Header.
        header: Header,
    },
}

/// A request for a lease.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseGrant {
    /// Seconds to live.
    #[serde(rename = "TTL", with = "decimal")]
    pub ttl: i64,
    /// The wanted id; zero lets the service choose.
    #[serde(rename = "ID", with = "decimal", default)]
    pub id: i64,
}

/// A lease named.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Lease {
    /// Its id.
    #[serde(rename = "ID", with = "decimal")]
    pub id: i64,
}

/// A lease's state.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct LeaseStatus {
    /// Its id.
    #[serde(rename = "ID", with = "decimal")]
    pub id: i64,
    /// Seconds to live; zero when it is gone.
    #[serde(rename = "TTL", with = "decimal", default)]
    pub ttl: i64,
}

/// Answer to a renewal.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct KeepAlive {
    /// The lease's state.
    pub result: LeaseStatus,
}

/// A request for a watch.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Watch {
    /// What to watch.
    pub create_request: WatchCreate,
}

/// What to watch.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WatchCreate {
    /// The first key.
    #[serde(with = "base64_bytes")]
    pub key: Vec<u8>,
    /// The key after the last; empty watches one key.
    #[serde(with = "base64_bytes", default)]
    pub range_end: Vec<u8>,
    /// The first revision of interest; zero means from now on.
    #[serde(with = "decimal", default)]
    pub start_revision: i64,
}

/// One line of a watch.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct WatchLine {
    /// What happened.
    pub result: WatchResult,
}

/// What a watch tells.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct WatchResult {
    /// Header.
    pub header: Header,
    /// Changes in order.
    #[serde(default)]
    pub events: Vec<WatchEvent>,
    /// First revision still held, when the start lies before it and the watch ends.
    #[serde(with = "decimal", default)]
    pub compact_revision: i64,
}

/// Kinds of changes.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum EventKind {
    /// Written.
    #[default]
    Put,
    /// Deleted, by a call or a lease's end.
    Delete,
}

/// One change.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct WatchEvent {
    /// Its kind.
    #[serde(rename = "type", default)]
    pub kind: EventKind,
    /// The key after it.
    pub kv: KeyValue,
}
