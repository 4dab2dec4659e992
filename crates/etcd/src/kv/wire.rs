//! JSON bodies of the etcd v3 gateway: base64 keys and values, 64-bit numbers as decimal strings.

use std::time::Duration;

use acacia_policy::kv::{Entry, Failure, LeaseId, ModRevision, Reply};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

#[derive(Debug, Serialize)]
pub(super) struct Range {
    #[serde(serialize_with = "to_base64")]
    pub(super) key: Vec<u8>,
    #[serde(serialize_with = "to_base64", skip_serializing_if = "Vec::is_empty")]
    pub(super) range_end: Vec<u8>,
}

#[derive(Debug, Deserialize)]
pub(super) struct RangeResponse {
    #[serde(default)]
    kvs: Vec<KeyValue>,
}

impl RangeResponse {
    pub(super) fn into_entries(self) -> Result<Vec<Entry>, Failure> {
        self.kvs.into_iter().map(KeyValue::into_entry).collect()
    }
}

#[derive(Debug, Deserialize)]
pub(super) struct KeyValue {
    #[serde(deserialize_with = "from_base64")]
    key: Vec<u8>,
    #[serde(deserialize_with = "from_base64", default)]
    value: Vec<u8>,
    #[serde(deserialize_with = "from_decimal", default)]
    mod_revision: ModRevision,
}

impl KeyValue {
    /// Converts to an entry. All keys of this system are text, so others are an error.
    pub(super) fn into_entry(self) -> Result<Entry, Failure> {
        let key = String::from_utf8(self.key).map_err(|_| Failure::Unavailable)?;
        Ok(Entry { key, value: self.value, revision: self.mod_revision })
    }
}

#[derive(Debug, Serialize)]
pub(super) struct Transaction {
    compare: [Compare; 1],
    success: [Operation; 1],
    failure: [Operation; 1],
}

impl Transaction {
    pub(super) fn compare(
        key: &str,
        expected: ModRevision,
        success: Operation,
        failure: Operation,
    ) -> Self {
        let compare =
            Compare { key: key.into(), target: "MOD", result: "EQUAL", mod_revision: expected };
        Self { compare: [compare], success: [success], failure: [failure] }
    }
}

#[derive(Debug, Serialize)]
struct Compare {
    #[serde(serialize_with = "to_base64")]
    key: Vec<u8>,
    target: &'static str,
    result: &'static str,
    #[serde(serialize_with = "to_decimal")]
    mod_revision: ModRevision,
}

#[derive(Debug, Serialize)]
pub(super) enum Operation {
    #[serde(rename = "request_put")]
    Put {
        #[serde(serialize_with = "to_base64")]
        key: Vec<u8>,
        #[serde(serialize_with = "to_base64")]
        value: Vec<u8>,
        #[serde(serialize_with = "to_decimal")]
        lease: LeaseId,
    },
    #[serde(rename = "request_range")]
    Range(Range),
    #[serde(rename = "request_delete_range")]
    Delete {
        #[serde(serialize_with = "to_base64")]
        key: Vec<u8>,
    },
}

impl Operation {
    pub(super) fn put(key: &str, value: Vec<u8>, lease: Option<LeaseId>) -> Self {
        Self::Put { key: key.into(), value, lease: lease.unwrap_or(0) }
    }

    pub(super) fn delete(key: &str) -> Self {
        Self::Delete { key: key.into() }
    }
}

#[derive(Debug, Deserialize)]
pub(super) struct Header {
    #[serde(deserialize_with = "from_decimal")]
    pub(super) revision: ModRevision,
}

#[derive(Debug, Deserialize)]
pub(super) struct TransactionResponse {
    pub(super) header: Header,
    #[serde(default)]
    pub(super) succeeded: bool,
    #[serde(default)]
    pub(super) responses: Vec<Response>,
}

#[derive(Debug, Deserialize)]
pub(super) enum Response {
    #[serde(rename = "response_put")]
    Put {},
    #[serde(rename = "response_range")]
    Range(RangeResponse),
    #[serde(rename = "response_delete_range")]
    Delete {},
}

/// Requests a new lease, or refers to an existing one.
#[derive(Debug, Serialize)]
pub(super) struct LeaseRequest {
    #[serde(rename = "ID", serialize_with = "to_decimal")]
    id: LeaseId,
    #[serde(rename = "TTL", serialize_with = "to_decimal", skip_serializing_if = "is_zero")]
    ttl: i64,
}

impl LeaseRequest {
    pub(super) fn grant(seconds: i64) -> Self {
        Self { id: 0, ttl: seconds }
    }

    pub(super) fn lease(id: LeaseId) -> Self {
        Self { id, ttl: 0 }
    }
}

#[derive(Debug, Deserialize)]
pub(super) struct LeaseStatus {
    #[serde(rename = "ID", deserialize_with = "from_decimal")]
    id: LeaseId,
    #[serde(rename = "TTL", deserialize_with = "from_decimal", default)]
    ttl: i64,
}

impl LeaseStatus {
    pub(super) fn into_reply(self) -> Reply {
        let ttl = Duration::from_secs(self.ttl.try_into().unwrap_or(0));
        Reply::Leased { lease: self.id, ttl }
    }
}

#[derive(Debug, Deserialize)]
pub(super) struct KeepAlive {
    pub(super) result: LeaseStatus,
}

#[derive(Debug, Serialize)]
pub(super) struct Watch {
    create_request: WatchCreate,
}

#[derive(Debug, Serialize)]
struct WatchCreate {
    #[serde(serialize_with = "to_base64")]
    key: Vec<u8>,
    #[serde(serialize_with = "to_decimal")]
    start_revision: ModRevision,
}

impl Watch {
    pub(super) fn new(key: &str, start_revision: ModRevision) -> Self {
        Self { create_request: WatchCreate { key: key.into(), start_revision } }
    }
}

#[derive(Debug, Deserialize)]
pub(super) struct WatchLine {
    pub(super) result: WatchResult,
}

#[derive(Debug, Deserialize)]
pub(super) struct WatchResult {
    #[serde(default)]
    pub(super) events: Vec<WatchEvent>,
    #[serde(deserialize_with = "from_decimal", default)]
    pub(super) compact_revision: ModRevision,
}

#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "UPPERCASE")]
pub(super) enum EventKind {
    #[default]
    Put,
    Delete,
}

#[derive(Debug, Deserialize)]
pub(super) struct WatchEvent {
    #[serde(rename = "type", default)]
    pub(super) kind: EventKind,
    pub(super) kv: KeyValue,
}

fn to_base64<S: Serializer>(bytes: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_str(&STANDARD.encode(bytes))
}

fn from_base64<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<u8>, D::Error> {
    let text = String::deserialize(deserializer)?;
    STANDARD.decode(text).map_err(serde::de::Error::custom)
}

fn to_decimal<S: Serializer>(number: &i64, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_str(number)
}

fn from_decimal<'de, D: Deserializer<'de>>(deserializer: D) -> Result<i64, D::Error> {
    let text = String::deserialize(deserializer)?;
    text.parse().map_err(serde::de::Error::custom)
}

fn is_zero(number: &i64) -> bool {
    *number == 0
}
