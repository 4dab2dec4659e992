//! Everything about an engine but its answers: load, events, cache pieces and orders.

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

use super::{Client, accept, format_attempt_id, format_block_key, read};
use crate::failure::{Failure, Fault};

/// Longest wait for an answer to a small question.
const ASK_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest wait for a cache block.
const PIECE_TIMEOUT: Duration = Duration::from_secs(30);
/// Largest answer to a small question, in bytes.
const ASK_BYTES: usize = 1 << 20;
/// Largest cache piece, in bytes.
const PIECE_BYTES: usize = 1 << 30;
/// Header with a piece's weight version.
const VERSION: &str = "x-version";
/// Header with the blake3 hash of a piece, in hex.
const CHECKSUM: &str = "x-checksum";
/// Header with the bytes that a piece counts for on a link.
const LOGICAL_BYTES: &str = "x-logical-bytes";

/// A cache piece and what is known of it.
#[derive(Clone, Debug, PartialEq)]
pub struct Block {
    /// Its bytes.
    pub bytes: Bytes,
    /// The weight version that made it.
    pub version: VersionId,
    /// Blake3 hash of the bytes, in hex.
    pub checksum: String,
    /// Bytes that it counts for on a link.
    pub logical_bytes: u64,
}

/// Cache events of an engine; late and with gaps.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Events {
    /// The process life that they are about.
    pub incarnation: Incarnation,
    /// Where to ask on.
    pub next: u64,
    /// Blocks stored.
    pub stored: Vec<BlockKey>,
    /// Blocks removed.
    pub removed: Vec<BlockKey>,
}

impl Client {
    /// Tells the engine to drop an attempt; false when it knows none.
    pub async fn cancel(&self, attempt: AttemptId) -> Result<bool, Failure> {
        let body = serde_json::json!({ "request_id": format_attempt_id(attempt) });
        let request = self.request(Method::POST, "/v1/cancel").timeout(ASK_TIMEOUT).json(&body);
        let answer: Cancelled = ask(request).await?;
        Ok(answer.cancelled)
    }

    /// The engine's load; `now` dates the report.
    pub async fn load(&self, now: Time) -> Result<Load, Failure> {
        let request = self.request(Method::GET, "/v1/load").timeout(ASK_TIMEOUT);
        let report: Report = ask(request).await?;
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

    /// Cache events after number `after`.
    pub async fn events(&self, after: u64) -> Result<Events, Failure> {
        let path = format!("/v1/events?after={after}");
        let request = self.request(Method::GET, &path).timeout(ASK_TIMEOUT);
        let answer: EventsAnswer = ask(request).await?;
        let mut events =
            Events { incarnation: answer.incarnation, next: answer.next, ..Events::default() };
        for event in answer.events {
            match (event.kind.as_str(), block(&event.key)) {
                ("stored", Some(key)) => events.stored.push(key),
                ("removed", Some(key)) => events.removed.push(key),
                _ => {}
            }
        }
        Ok(events)
    }

    /// Reads a cache piece out of the engine; its checksum is verified.
    pub async fn export_block(&self, key: &BlockKey) -> Result<Block, Failure> {
        let path = format!("/v1/kv/{}", format_block_key(key));
        let response = accept(self.request(Method::GET, &path).timeout(PIECE_TIMEOUT)).await?;
        let headers = response.headers().clone();
        let bytes = read(response, PIECE_BYTES).await.map_err(Failure::Broken)?;
        let length = bytes.len() as u64;
        Ok(Block {
            bytes,
            version: text(&headers, VERSION)?.into(),
            checksum: text(&headers, CHECKSUM)?.to_owned(),
            logical_bytes: text(&headers, LOGICAL_BYTES)?.parse().unwrap_or(length),
        })
    }

    /// Puts a cache piece into the engine.
    pub async fn import_block(&self, key: &BlockKey, block: &Block) -> Result<(), Failure> {
        let path = format!("/v1/kv/{}", format_block_key(key));
        let request = self
            .request(Method::PUT, &path)
            .timeout(PIECE_TIMEOUT)
            .header(VERSION, &*block.version)
            .header(CHECKSUM, &block.checksum)
            .header(LOGICAL_BYTES, block.logical_bytes)
            .body(block.bytes.clone());
        let response = request.send().await.map_err(|e| Failure::transport(&e))?;
        if response.status().is_success() {
            return Ok(());
        }
        let (status, headers) = (response.status(), response.headers().clone());
        let body = read(response, ASK_BYTES).await.map_err(Failure::Broken)?;
        Err(Failure::answer(status, &headers, &body))
    }

    /// Gives an order.
    pub async fn order(&self, order: &Order) -> OrderOutcome {
        let body = OrderBody::new(order);
        let request = self.request(Method::POST, "/v1/orders").timeout(ASK_TIMEOUT).json(&body);
        match ask::<Ordered>(request).await {
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
struct Report {
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

/// Sends a small question and reads the whole answer.
async fn ask<T: DeserializeOwned>(request: reqwest::RequestBuilder) -> Result<T, Failure> {
    let response = accept(request).await?;
    let body = read(response, ASK_BYTES).await.map_err(Failure::Broken)?;
    serde_json::from_slice(&body)
        .map_err(|e| Failure::Broken(Fault::Malformed(format!("{e} ({})", StatusCode::OK))))
}

/// A header that must be there.
fn text<'a>(headers: &'a HeaderMap, name: &str) -> Result<&'a str, Failure> {
    headers
        .get(name)
        .and_then(|v| v.to_str().ok())
        .ok_or_else(|| Failure::Broken(Fault::Malformed(format!("no header {name}"))))
}

/// The block that a name in hex names.
fn block(name: &str) -> Option<BlockKey> {
    if name.len() != 64 || !name.is_ascii() {
        return None;
    }
    let mut key = BlockKey::default();
    for (index, byte) in key.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&name[index * 2..index * 2 + 2], 16).ok()?;
    }
    Some(key)
}
