//! A KV cache store: blocks in a memory and a disk tier, with manifests that make them readable.

mod tier;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::{Method, StatusCode};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::counter::{Counter, Tally};
use crate::exchange::{Answer, Call, Reply};
use crate::fault::Fault;
use crate::host::{self, Standin, consume};
use crate::pace::{Pace, scaled, transfer};
use tier::{Block, Location, Tiers};

/// A running KV cache store.
pub type Handle = host::Handle<State>;

/// Settings of the store; durations are model time.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address of the protocol port.
    pub address: SocketAddr,
    /// Address of the control port.
    pub control: SocketAddr,
    /// First incarnation number.
    pub incarnation: u64,
    /// Capacity of the memory tier, in logical bytes.
    pub memory_bytes: u64,
    /// Capacity of the disk tier, in logical bytes.
    pub disk_bytes: u64,
    /// Whether a full store evicts the least recently used block instead of refusing a new one.
    pub evicts: bool,
    /// Latency of the first byte from memory.
    pub memory_latency: Duration,
    /// Latency of the first byte from disk.
    pub disk_latency: Duration,
    /// Logical bytes per second, reads and writes together; zero is unlimited.
    pub bytes_per_second: u64,
    /// Divisor of all model times.
    pub scale: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            control: SocketAddr::from(([127, 0, 0, 1], 0)),
            incarnation: 1,
            memory_bytes: 64 << 30,
            disk_bytes: 512 << 30,
            evicts: false,
            memory_latency: Duration::from_micros(200),
            disk_latency: Duration::from_millis(5),
            bytes_per_second: 2_000_000_000,
            scale: 1.0,
        }
    }
}

/// Serves a store.
///
/// # Errors
/// If a port can't be bound.
pub async fn start(settings: Settings) -> std::io::Result<Handle> {
    let (address, control) = (settings.address, settings.control);
    Handle::start(Arc::new(State::new(settings)), address, control).await
}

/// Describes a complete block; readers look it up before they read the block.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Manifest {
    /// Length of the body in bytes.
    pub length: u64,
    /// BLAKE3 hash of the body, in hex.
    pub checksum: String,
    /// Incarnation of the store that the block was written to.
    pub incarnation: u64,
    /// Size charged for capacity and transfer, in bytes.
    pub logical_bytes: u64,
    /// Weight version that computed the block.
    pub version: String,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Lookup {
    keys: Vec<String>,
}

/// State of the store.
pub struct State {
    settings: Settings,
    tally: Tally,
    content: Mutex<Content>,
    link: Pace,
    full: AtomicBool,
    torn: AtomicU32,
    overwritten: AtomicU32,
}

/// Contents of one incarnation.
struct Content {
    incarnation: u64,
    tiers: Tiers,
    manifests: HashMap<String, Manifest>,
}

impl State {
    fn new(settings: Settings) -> Self {
        let content = Content {
            incarnation: settings.incarnation,
            tiers: Tiers::new(settings.memory_bytes, settings.disk_bytes, settings.evicts),
            manifests: HashMap::new(),
        };
        Self {
            settings,
            tally: Tally::default(),
            content: Mutex::new(content),
            link: Pace::default(),
            full: AtomicBool::new(false),
            torn: AtomicU32::new(0),
            overwritten: AtomicU32::new(0),
        }
    }

    /// Current incarnation.
    pub fn incarnation(&self) -> u64 {
        self.content.lock().incarnation
    }

    fn restart(&self, keep_manifests: bool) {
        let settings = &self.settings;
        let mut content = self.content.lock();
        content.incarnation += 1;
        content.tiers = Tiers::new(settings.memory_bytes, settings.disk_bytes, settings.evicts);
        if !keep_manifests {
            content.manifests.clear();
        }
        self.tally.count(Counter::Restarts);
    }

    async fn route(&self, call: Call) -> Reply {
        let block = call.path.strip_prefix("/v1/blocks/");
        let manifest = call.path.strip_prefix("/v1/manifests/");
        match (&call.method, block, manifest) {
            (&Method::PUT, Some(key), _) => self.write(key, &call).await,
            (&Method::GET, Some(key), _) => self.read(key).await,
            (&Method::DELETE, Some(key), _) => Ok(self.delete(key)),
            (&Method::POST, _, Some("lookup")) => self.look_up(&call),
            (&Method::PUT, _, Some(key)) => self.publish(key, &call),
            (&Method::GET, None, None) if call.path == "/v1/status" => Ok(self.status()),
            _ => Err(Answer::unknown_path()),
        }
    }

    async fn write(&self, key: &str, call: &Call) -> Reply {
        if call.header("x-checksum") != blake3::hash(&call.body).to_hex().as_str() {
            let message = "x-checksum does not match the BLAKE3 hash of the body";
            return Err(Answer::error(StatusCode::UNPROCESSABLE_ENTITY, "bad_checksum", message));
        }
        let incarnation = self.incarnation();
        let logical_bytes =
            call.header("x-logical-bytes").parse().unwrap_or(call.body.len() as u64);
        self.transfer(logical_bytes).await;
        let mut content = self.content.lock();
        if content.incarnation != incarnation {
            return Err(Answer::disconnect());
        }
        let block = Block { body: call.body.clone(), logical_bytes };
        let full = self.full.load(Ordering::Relaxed);
        let dropped = if full { None } else { content.tiers.insert(key, block) };
        let Some(dropped) = dropped else {
            self.tally.count(Counter::Full);
            let message = "memory and disk are full; delete blocks first";
            return Err(Answer::error(StatusCode::INSUFFICIENT_STORAGE, "full", message));
        };
        for key in dropped {
            content.manifests.remove(&key);
        }
        self.tally.count(Counter::BlockWrites);
        self.tally.add(Counter::BlockBytesWritten, logical_bytes);
        Ok(Answer::json(StatusCode::OK, &json!({})).with_effect())
    }

    async fn read(&self, key: &str) -> Reply {
        let (incarnation, found) = {
            let mut content = self.content.lock();
            (content.incarnation, content.tiers.get(key))
        };
        let Some((block, location)) = found else {
            return Err(Answer::error(StatusCode::NOT_FOUND, "unknown", "no such block"));
        };
        let wait = match location {
            Location::Memory => self.settings.memory_latency,
            Location::Disk => self.settings.disk_latency,
        };
        tokio::time::sleep(scaled(wait, self.settings.scale)).await;
        self.transfer(block.logical_bytes).await;
        if self.incarnation() != incarnation {
            return Err(Answer::disconnect());
        }
        self.tally.count(Counter::BlockReads);
        self.tally.add(Counter::BlockBytesRead, block.logical_bytes);
        self.tally.add(Counter::DiskReads, u64::from(location == Location::Disk));
        Ok(Answer::bytes(StatusCode::OK, self.corrupt(block.body))
            .with("x-logical-bytes", block.logical_bytes))
    }

    /// Applies the faults that truncate or overwrite a block.
    fn corrupt(&self, body: Bytes) -> Bytes {
        if consume(&self.torn) {
            return body.slice(..body.len() / 2);
        }
        if consume(&self.overwritten) {
            return body.iter().map(|byte| !byte).collect();
        }
        body
    }

    fn delete(&self, key: &str) -> Answer {
        let mut content = self.content.lock();
        let block = content.tiers.remove(key);
        let manifest = content.manifests.remove(key).is_some();
        Answer::json(StatusCode::OK, &json!({"deleted": block || manifest})).with_effect()
    }

    fn publish(&self, key: &str, call: &Call) -> Reply {
        let manifest: Manifest = call.json()?;
        let mut content = self.content.lock();
        if manifest.incarnation != content.incarnation {
            let message = "the store has restarted since the block was written";
            return Err(Answer::error(StatusCode::CONFLICT, "stale_incarnation", message));
        }
        content.manifests.insert(key.to_owned(), manifest);
        self.tally.count(Counter::ManifestWrites);
        Ok(Answer::json(StatusCode::OK, &json!({})).with_effect())
    }

    fn look_up(&self, call: &Call) -> Reply {
        let lookup: Lookup = call.json()?;
        self.tally.count(Counter::Lookups);
        let content = self.content.lock();
        let manifests: Vec<_> = lookup.keys.iter().map(|key| content.manifests.get(key)).collect();
        let body = json!({"incarnation": content.incarnation, "manifests": manifests});
        Ok(Answer::json(StatusCode::OK, &body))
    }

    fn status(&self) -> Answer {
        let content = self.content.lock();
        let body = json!({
            "incarnation": content.incarnation,
            "memory_used": content.tiers.used(Location::Memory),
            "memory_bytes": self.settings.memory_bytes,
            "disk_used": content.tiers.used(Location::Disk),
            "disk_bytes": self.settings.disk_bytes,
        });
        Answer::json(StatusCode::OK, &body)
    }

    async fn transfer(&self, bytes: u64) {
        let cost = transfer(bytes, self.settings.bytes_per_second);
        self.link.occupy(scaled(cost, self.settings.scale)).await;
    }
}

impl Standin for State {
    const NAME: &'static str = "store";

    fn tally(&self) -> &Tally {
        &self.tally
    }

    async fn respond(self: Arc<Self>, call: Call) -> Answer {
        // An answer carries the incarnation in which the call started.
        let incarnation = self.incarnation();
        let answer = self.route(call).await.unwrap_or_else(|refusal| refusal);
        answer.with("x-incarnation", incarnation)
    }

    fn fault(&self, fault: &Fault) -> bool {
        match fault {
            Fault::Restart => self.restart(false),
            Fault::StaleManifests => self.restart(true),
            Fault::Full { on } => self.full.store(*on, Ordering::Relaxed),
            Fault::TornBlock { times } => self.torn.store(*times, Ordering::Relaxed),
            Fault::OverwrittenBlock { times } => self.overwritten.store(*times, Ordering::Relaxed),
            _ => return false,
        }
        true
    }
}
