//! JSON of the etcd gateway: keys and values in base64, 64-bit numbers as decimal strings.

use serde::{Deserialize, Serialize};

/// Serialises bytes as base64.
pub mod base64_bytes {
    use base64::Engine;
    use base64::engine::general_purpose::STANDARD;
    use serde::{Deserialize, Deserializer, Serializer};

    /// Encodes bytes.
    pub fn serialize<S: Serializer>(bytes: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(bytes))
    }

    /// Decodes bytes.
    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<u8>, D::Error> {
        let text = String::deserialize(deserializer)?;
        STANDARD.decode(text).map_err(serde::de::Error::custom)
    }
}

/// Serialises a 64-bit number as a decimal string.
pub mod decimal {
    use serde::{Deserialize, Deserializer, Serializer};

    /// Formats a number.
    pub fn serialize<S: Serializer>(number: &i64, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(number)
    }

    /// Parses a number.
    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<i64, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}

/// Common header of answers.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct Header {
    /// Current revision of the keyspace.
    #[serde(with = "decimal")]
    pub revision: i64,
}

/// State of a key.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct KeyValue {
    /// The key.
    #[serde(with = "base64_bytes")]
    pub key: Vec<u8>,
    /// The value.
    #[serde(with = "base64_bytes", default)]
    pub value: Vec<u8>,
    /// Revision at which the key was created.
    #[serde(with = "decimal", default)]
    pub create_revision: i64,
    /// Revision of the last change of the key.
    #[serde(with = "decimal", default)]
    pub mod_revision: i64,
    /// Number of changes since the key was created.
    #[serde(with = "decimal", default)]
    pub version: i64,
    /// Lease of the key; zero is none.
    #[serde(with = "decimal", default)]
    pub lease: i64,
}

/// A read of a key or range.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Range {
    /// First key.
    #[serde(with = "base64_bytes")]
    pub key: Vec<u8>,
    /// Exclusive end; empty reads the single key.
    #[serde(with = "base64_bytes", default)]
    pub range_end: Vec<u8>,
    /// Maximum number of keys returned; zero is unlimited.
    #[serde(with = "decimal", default)]
    pub limit: i64,
}

/// Answer to a read.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct RangeResponse {
    /// Common header.
    pub header: Header,
    /// Keys in ascending order.
    #[serde(default)]
    pub kvs: Vec<KeyValue>,
    /// Number of keys in the range, regardless of the limit.
    #[serde(with = "decimal", default)]
    pub count: i64,
}

/// A transaction.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Transaction {
    /// Conditions, of which all must hold.
    #[serde(default)]
    pub compare: Vec<Compare>,
    /// Steps run if the conditions hold.
    #[serde(default)]
    pub success: Vec<Operation>,
    /// Steps run if a condition fails.
    #[serde(default)]
    pub failure: Vec<Operation>,
}

impl Transaction {
    /// Whether the steps on success write.
    pub fn writes(&self) -> bool {
        self.success.iter().any(|operation| !matches!(operation, Operation::RequestRange(_)))
    }
}

/// Property that a comparison reads.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Target {
    /// Revision of the last change of the key.
    Mod,
}

/// Relation that a comparison requires.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Relation {
    /// Equality.
    Equal,
}

/// A comparison.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Compare {
    /// The key.
    #[serde(with = "base64_bytes")]
    pub key: Vec<u8>,
    /// Property compared.
    pub target: Target,
    /// Required relation.
    pub result: Relation,
    /// Expected revision; zero means that the key does not exist.
    #[serde(with = "decimal")]
    pub mod_revision: i64,
}

/// One step of a transaction.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Operation {
    /// Writes a key.
    RequestPut(Put),
    /// Reads a range.
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
    /// Lease of the key; zero is none.
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
    /// Common header.
    pub header: Header,
    /// Whether every comparison held.
    #[serde(default)]
    pub succeeded: bool,
    /// One response per executed step.
    #[serde(default)]
    pub responses: Vec<Response>,
}

/// Answer to one step of a transaction.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Response {
    /// The key was written.
    ResponsePut {
        /// Common header.
        header: Header,
    },
    /// Result of a read.
    ResponseRange(RangeResponse),
    /// The key was deleted.
    ResponseDeleteRange {
        /// Common header.
        header: Header,
    },
}

/// A request for a lease.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseGrant {
    /// Time to live in seconds.
    #[serde(rename = "TTL", with = "decimal")]
    pub ttl: i64,
    /// Requested id; zero lets the service choose.
    #[serde(rename = "ID", with = "decimal", default)]
    pub id: i64,
}

/// A reference to a lease.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Lease {
    /// Id of the lease.
    #[serde(rename = "ID", with = "decimal")]
    pub id: i64,
}

/// State of a lease.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct LeaseStatus {
    /// Id of the lease.
    #[serde(rename = "ID", with = "decimal")]
    pub id: i64,
    /// Time to live in seconds; zero if the lease does not exist.
    #[serde(rename = "TTL", with = "decimal", default)]
    pub ttl: i64,
}

/// Answer to a renewal.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct KeepAlive {
    /// State of the lease.
    pub result: LeaseStatus,
}

/// A request for a watch.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Watch {
    /// Parameters of the watch.
    pub create_request: WatchCreate,
}

/// Range of keys and start revision of a watch.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WatchCreate {
    /// First key.
    #[serde(with = "base64_bytes")]
    pub key: Vec<u8>,
    /// Exclusive end; empty watches the single key.
    #[serde(with = "base64_bytes", default)]
    pub range_end: Vec<u8>,
    /// First revision to report; zero means the next one.
    #[serde(with = "decimal", default)]
    pub start_revision: i64,
}

/// A line of a watch stream.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct WatchLine {
    /// Changes, or the end of the watch.
    pub result: WatchResult,
}

/// Content of a watch line.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct WatchResult {
    /// Common header.
    pub header: Header,
    /// Changes in order.
    #[serde(default)]
    pub events: Vec<WatchEvent>,
    /// First revision in the history if the start was compacted, which ends the watch; else zero.
    #[serde(with = "decimal", default)]
    pub compact_revision: i64,
}

/// Kind of a change.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum EventKind {
    /// The key was written.
    #[default]
    Put,
    /// The key was deleted, by a call or with its lease.
    Delete,
}

/// A change of a key.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct WatchEvent {
    /// Kind of the change.
    #[serde(rename = "type", default)]
    pub kind: EventKind,
    /// State of the key after the change.
    pub kv: KeyValue,
}
