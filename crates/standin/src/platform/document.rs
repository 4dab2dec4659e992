//! What the platform and its operators write: a process's settings and the configuration.

use std::net::{SocketAddr, TcpListener};
use std::ops::Range;

use rand::RngExt;
use serde_json::{Value, json};

/// The model that engines serve.
pub const MODEL: &str = "m";
/// The host that callers name.
pub const HOST: &str = "app.example";
/// The key in the metadata store that holds the configuration.
pub const CONFIGURATION_KEY: &str = "op/config";

/// Ports of instances: above those of common services, below those of outgoing connections.
const PORTS: Range<u16> = 12_000..32_000;
/// Ports that are tried until the last one's error is told.
const PORT_TRIES: u32 = 50;

/// A small deployment, as operators describe it.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Longest time of any request, in milliseconds.
    pub timeout_ms: u64,
    /// Time within which answers count in full, in milliseconds.
    pub target_latency_ms: u64,
    /// Pause between two events of a stream that callers accept, in milliseconds.
    pub gap_target_ms: u64,
    /// Requests that an engine works on at once.
    pub engine_slots: usize,
    /// Tokens that an engine's memory holds.
    pub engine_tokens: u64,
    /// Bytes of one token in an engine's memory.
    pub token_bytes: u64,
    /// Megabits a second of an engine's and a store's link.
    pub link_mbps: f64,
    /// The managed store of KV cache, and the tokens that it holds.
    pub cache: Option<(SocketAddr, u64)>,
}

impl Deployment {
    /// The configuration of a version, with one organisation for each name and key.
    pub fn configuration(&self, version: u64, organisations: &[(&str, &str)]) -> Value {
        let organisations: Vec<Value> = organisations
            .iter()
            .map(|(name, key)| json!({"name": name, "api_keys": [key]}))
            .collect();
        let mut prompts = self.route("/ask/", "streaming", "llm", 4);
        prompts["resumable"] = json!(true);
        prompts["gap_target_ms"] = json!(self.gap_target_ms);
        json!({
            "version": version,
            "routes": [
                self.route("/read/", "idempotent", "app", 2),
                self.route("/charge/", "non_idempotent", "app", 2),
                self.route("/long/", "streaming", "llm", 4),
                prompts,
            ],
            "services": self.services(),
            "tenants": organisations,
        })
    }

    fn route(&self, prefix: &str, kind: &str, service: &str, attempts: u32) -> Value {
        json!({
            "name": format!("r{prefix}"), "host": HOST, "path_prefix": prefix, "kind": kind,
            "timeout_ms": self.timeout_ms, "target_latency_ms": self.target_latency_ms, "priority": 1,
            "service": service, "max_attempts": attempts,
        })
    }

    fn services(&self) -> Vec<Value> {
        let mut services = vec![
            json!({"name": "app", "max_conns": 1_000}),
            json!({"name": "llm", "max_conns": 1_000, "engine": {
                "slots": self.engine_slots, "kv_capacity": self.engine_tokens,
                "kv_token_bytes": self.token_bytes, "link_mbps": self.link_mbps,
                "models": [{"name": MODEL}],
            }}),
        ];
        services.extend(self.cache.map(|(address, tokens)| {
            json!({
                "name": "kv", "kv_store_addr": address, "zone": "z1", "kv_capacity": tokens,
                "link_mbps": self.link_mbps, "managed": true, "first_ms": 0.5,
            })
        }));
        services
    }
}

/// Where one entry instance listens.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For the platform's question whether it is ready.
    pub ready: SocketAddr,
    /// For metrics.
    pub metrics: SocketAddr,
    /// For other instances.
    pub peers: SocketAddr,
}

impl Addresses {
    /// Addresses of loopback that were free a moment ago. They lie below the ports that systems give
    /// to outgoing connections, so that none of these takes one before the instance listens.
    ///
    /// # Errors
    /// If no port can be bound.
    pub fn free() -> std::io::Result<Self> {
        // All are held at once, so that no two are the same.
        let held = [(); 4].map(|()| free_listener());
        let [callers, ready, metrics, peers] = held.map(|listener| listener?.local_addr());
        Ok(Self { callers: callers?, ready: ready?, metrics: metrics?, peers: peers? })
    }
}

/// Listens on a port that no outgoing connection is given.
fn free_listener() -> std::io::Result<TcpListener> {
    let any = || SocketAddr::from(([127, 0, 0, 1], rand::rng().random_range(PORTS)));
    (1..PORT_TRIES)
        .find_map(|_| TcpListener::bind(any()).ok())
        .map_or_else(|| TcpListener::bind(any()), Ok)
}

/// The text of an entry instance's settings file.
pub fn settings(name: &str, zone: &str, addresses: &Addresses, store: SocketAddr) -> String {
    let Addresses { callers, ready, metrics, peers } = addresses;
    format!(
        "node_name = \"{name}\"\nzone = \"{zone}\"\nport_range = [{}, {}]\nnew_field = 1\n\
         [listen_addrs]\nfront = \"{callers}\"\nready = \"{ready}\"\n\
         [bounds]\nlease_ms = 300\nbudget_slack = 1000\nbudget_ratio = 1.0\nbudget_window_s = 1\n\
         [provider]\naddress = \"{store}\"\nform = \"kv\"\nttl_min_ms = 1000\n",
        metrics.port(),
        peers.port(),
    )
}

/// The key in the metadata store that names a model's newest weights, and its value.
pub fn announcement(version: u64) -> (String, Value) {
    (format!("op/version/{MODEL}"), json!({"model": MODEL, "version": version}))
}
