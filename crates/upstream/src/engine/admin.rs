//! Control calls of an engine: cancellation, load, cache events, cache blocks and orders.

use std::time::Duration;

use acacia_catalog::id::{AdapterId, Incarnation, VersionId};
use acacia_policy::Time;
use acacia_policy::control::{Order, OrderDuty, OrderOutcome};
use acacia_policy::dispatch::AttemptId;
use acacia_policy::request::BlockKey;
use acacia_policy::snapshot::Load;
use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::{Client, format_attempt_id, format_block_key, read_body, send};
use crate::failure::{Failure, Fault};

/// Timeout of a control call.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of the transfer of a cache block.
const BLOCK_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum size of the answer to a control call.
const MAX_CONTROL_BYTES: usize = 1 << 20;
/// Maximum size of a cache block.
const MAX_BLOCK_BYTES: usize = 1 << 30;
/// Header with the weight version of a block.
const VERSION_HEADER: &str = "x-version";
/// Header with the BLAKE3 hash of a block, in hex.
const CHECKSUM_HEADER: &str = "x-checksum";
/// Header with the logical size of a block, in bytes, used to account for link bandwidth.
const LOGICAL_BYTES_HEADER: &str = "x-logical-bytes";

/// A cache block with its metadata.
#[derive(Clone, Debug, PartialEq)]
pub struct Block {
    /// Contents.
    pub bytes: Bytes,
    /// Weight version that computed the block.
    pub version: VersionId,
    /// BLAKE3 hash of the contents, in hex.
    pub checksum: String,
    /// Logical size in bytes, used to account for link bandwidth.
    pub logical_bytes: u64,
}

/// Cache events of an engine; may be delayed and incomplete.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Events {
    /// Incarnation of the engine that the events are from.
    pub incarnation: Incarnation,
    /// Number after which to continue reading.
    pub next: u64,
    /// Blocks stored.
    pub stored: Vec<BlockKey>,
    /// Blocks removed.
    pub removed: Vec<BlockKey>,
}

impl Client {
    /// Cancels an attempt; false if the engine doesn't know it.
    pub async fn cancel(&self, attempt: AttemptId) -> Result<bool, Failure> {
        let body = serde_json::json!({ "request_id": format_attempt_id(attempt) });
        let request = self.request(Method::POST, "/v1/cancel").timeout(CONTROL_TIMEOUT).json(&body);
        let answer: Cancelled = send_control(request).await?;
        Ok(answer.cancelled)
    }

    /// Reads the engine's load; `now` is the time of the call.
    pub async fn load(&self, now: Time) -> Result<Load, Failure> {
        let request = self.request(Method::GET, "/v1/load").timeout(CONTROL_TIMEOUT);
        let report: LoadReport = send_control(request).await?;
        Ok(Load {
            sampled_at: now.saturating_sub(Duration::from_millis(report.sampled_ms_ago)),
            incarnation: report.incarnation,
            running: report.running,
            waiting: report.waiting,
            slots: report.slots,
            cold: report.cold,
            version: report.version,
            adapters: report.adapters,
        })
    }

    /// Reads the cache events after number `after`.
    pub async fn events(&self, after: u64) -> Result<Events, Failure> {
        let path = format!("/v1/events?after={after}");
        let request = self.request(Method::GET, &path).timeout(CONTROL_TIMEOUT);
        let answer: EventsAnswer = send_control(request).await?;
        let mut events =
            Events { incarnation: answer.incarnation, next: answer.next, ..Events::default() };
        for event in answer.events {
            match (event.kind.as_str(), parse_block_key(&event.key)) {
                ("stored", Some(key)) => events.stored.push(key),
                ("removed", Some(key)) => events.removed.push(key),
                _ => {}
            }
        }
        Ok(events)
    }

    /// Reads a cache block from the engine. The checksum is passed on and not verified here.
    pub async fn export_block(&self, key: &BlockKey) -> Result<Block, Failure> {
        let path = format!("/v1/kv/{}", format_block_key(key));
        let response = send(self.request(Method::GET, &path).timeout(BLOCK_TIMEOUT)).await?;
        let headers = response.headers().clone();
        let bytes = read_body(response, MAX_BLOCK_BYTES).await.map_err(Failure::Broken)?;
        let length = bytes.len() as u64;
        Ok(Block {
            bytes,
            version: required_header(&headers, VERSION_HEADER)?.into(),
            checksum: required_header(&headers, CHECKSUM_HEADER)?.to_owned(),
            logical_bytes: required_header(&headers, LOGICAL_BYTES_HEADER)?
                .parse()
                .unwrap_or(length),
        })
    }

    /// Writes a cache block to the engine.
    pub async fn import_block(&self, key: &BlockKey, block: &Block) -> Result<(), Failure> {
        let path = format!("/v1/kv/{}", format_block_key(key));
        let request = self
            .request(Method::PUT, &path)
            .timeout(BLOCK_TIMEOUT)
            .header(VERSION_HEADER, &*block.version)
            .header(CHECKSUM_HEADER, &block.checksum)
            .header(LOGICAL_BYTES_HEADER, block.logical_bytes)
            .body(block.bytes.clone());
        let response = request.send().await.map_err(|e| Failure::from_transport(&e))?;
        let (status, headers) = (response.status(), response.headers().clone());
        let body = read_body(response, MAX_CONTROL_BYTES).await.map_err(Failure::Broken)?;
        if status.is_success() {
            return Ok(());
        }
        Err(Failure::from_response(status, &headers, &body))
    }

    /// Sends an order.
    pub async fn order(&self, order: &Order) -> OrderOutcome {
        let body = OrderBody::new(order);
        let request = self.request(Method::POST, "/v1/orders").timeout(CONTROL_TIMEOUT).json(&body);
        match send_control::<Ordered>(request).await {
            Ok(Ordered { state }) if state == "done" => OrderOutcome::Done,
            Ok(_) => OrderOutcome::Accepted,
            Err(Failure::Rejected { code, .. }) if code == "stale_fence" => OrderOutcome::Stale,
            Err(_) => OrderOutcome::Failed,
        }
    }
}

/// Answer of `/v1/cancel`.
#[derive(Deserialize)]
struct Cancelled {
    cancelled: bool,
}

/// Answer of `/v1/load`.
#[derive(Deserialize)]
struct LoadReport {
    incarnation: Incarnation,
    #[serde(default)]
    version: Option<VersionId>,
    #[serde(default)]
    adapters: Vec<AdapterId>,
    running: u32,
    waiting: u32,
    slots: u32,
    cold: bool,
    #[serde(default)]
    sampled_ms_ago: u64,
}

/// Answer of `/v1/events`.
#[derive(Deserialize)]
struct EventsAnswer {
    incarnation: Incarnation,
    next: u64,
    events: Vec<CacheEvent>,
}

/// One cache event.
#[derive(Deserialize)]
struct CacheEvent {
    kind: String,
    key: String,
}

/// Body of `/v1/orders`.
#[derive(Serialize)]
struct OrderBody<'a> {
    order: &'static str,
    name: &'a str,
    fence: u64,
    order_id: &'a str,
}

impl<'a> OrderBody<'a> {
    fn new(order: &'a Order) -> Self {
        let (OrderDuty::LoadVersion(name)
        | OrderDuty::LoadAdapter(name)
        | OrderDuty::SetRole(name)) = &order.duty;
        Self { order: (&order.duty).into(), name, fence: order.fence, order_id: &order.id }
    }
}

/// Answer of `/v1/orders`.
#[derive(Deserialize)]
struct Ordered {
    state: String,
}

/// Sends a control call and parses its answer.
async fn send_control<T: DeserializeOwned>(request: reqwest::RequestBuilder) -> Result<T, Failure> {
    let response = send(request).await?;
    let body = read_body(response, MAX_CONTROL_BYTES).await.map_err(Failure::Broken)?;
    serde_json::from_slice(&body)
        .map_err(|e| Failure::Broken(Fault::Malformed(format!("{e} ({})", StatusCode::OK))))
}

/// The text of a required header.
fn required_header<'a>(headers: &'a HeaderMap, name: &str) -> Result<&'a str, Failure> {
    headers
        .get(name)
        .and_then(|v| v.to_str().ok())
        .ok_or_else(|| Failure::Broken(Fault::Malformed(format!("header {name} is missing"))))
}

/// Parses a block key of 64 hex digits.
fn parse_block_key(hex: &str) -> Option<BlockKey> {
    if hex.len() != 64 || !hex.is_ascii() {
        return None;
    }
    let mut key = BlockKey::default();
    for (index, byte) in key.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&hex[index * 2..index * 2 + 2], 16).ok()?;
    }
    Some(key)
}
