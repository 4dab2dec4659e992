//! Documents written by the platform and its operators: settings of an instance, configuration and
//! weight announcements.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::ops::Range;

use parking_lot::Mutex;
use rand::RngExt;
use serde_json::{Value, json};
use socket2::{Domain, Socket, Type};

use super::rollout;

/// Name of the model that engines serve.
pub const MODEL: &str = "m";
/// Value of the `host` header of callers.
pub const HOST: &str = "app.example";
/// Key of the configuration in the metadata store.
pub const CONFIGURATION_KEY: &str = "op/config";

/// Ports of instances: above those of common services, below the ephemeral ports of outgoing
/// connections.
const PORTS: Range<u16> = 12_000..32_000;
/// Number of ports to try; the error of the last one is returned.
const PORT_TRIES: u32 = 50;

/// Ports that this process has drawn. An instance listens later, or not for a while as it restarts.
static DRAWN: Mutex<BTreeSet<u16>> = Mutex::new(BTreeSet::new());

/// Parameters of a small deployment.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Timeout of a request, in milliseconds.
    pub timeout_ms: u64,
    /// Target latency of a request, in milliseconds.
    pub target_latency_ms: u64,
    /// Acceptable gap between two events of a stream, in milliseconds.
    pub gap_target_ms: u64,
    /// Maximum of requests that run concurrently in an engine.
    pub engine_slots: usize,
    /// KV cache capacity of an engine, in tokens.
    pub engine_tokens: u64,
    /// KV cache bytes per token.
    pub token_bytes: u64,
    /// Link bandwidth of an engine or cache store, in Mbit/s.
    pub link_mbps: f64,
    /// Address of the managed KV cache store and its capacity in tokens.
    pub cache: Option<(SocketAddr, u64)>,
}

impl Deployment {
    /// A version of the configuration, with one organisation per name and API key.
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

    /// A version of the configuration whose routes and limits deviate from those of the deployment.
    pub fn varied(
        &self,
        version: u64,
        organisations: &[(&str, &str)],
        variation: &Variation,
    ) -> Value {
        let mut configuration = self.configuration(version, organisations);
        for route in configuration["routes"].as_array_mut().into_iter().flatten() {
            variation.vary(route);
        }
        if let Some(services) = configuration["services"].as_array_mut() {
            for service in &variation.services {
                let copy = services.iter().find(|other| other["name"] == service.copied).cloned();
                services.extend(copy.map(|mut copy| {
                    copy["name"] = json!(service.name);
                    copy
                }));
            }
        }
        configuration["limits"] = json!({
            "max_header_bytes": 64 << 10, "max_body_bytes": 1 << 20,
            "header_timeout_ms": variation.idle_ms, "idle_timeout_ms": variation.idle_ms,
        });
        configuration
    }

    fn route(&self, prefix: &str, kind: &str, service: &str, attempts: u32) -> Value {
        json!({
            "name": format!("r{prefix}"), "host": HOST, "path_prefix": prefix, "kind": kind,
            "timeout_ms": self.timeout_ms, "target_latency_ms": self.target_latency_ms,
            "priority": 1, "service": service, "max_attempts": attempts,
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

/// Settings that deviate from those of a [`Deployment`].
#[derive(Clone, Debug)]
pub struct Variation {
    /// Settings of routes.
    pub routes: Vec<RouteTerms>,
    /// Services that routes are split between, besides those that they name.
    pub services: Vec<SplitService>,
    /// Time for which callers' connections may be idle, and for heads, in milliseconds.
    pub idle_ms: u64,
}

/// Settings of one route.
#[derive(Clone, Copy, Debug)]
pub struct RouteTerms {
    /// Path prefix.
    pub prefix: &'static str,
    /// Timeout of a request, in milliseconds.
    pub timeout_ms: u64,
    /// Target latency of a request, in milliseconds.
    pub target_latency_ms: u64,
    /// Acceptable gap between two events of a stream, in milliseconds.
    pub gap_target_ms: u64,
    /// Maximum of servers that a request is sent to.
    pub attempts: u32,
}

/// A service that takes a share of the requests of another one.
#[derive(Clone, Copy, Debug)]
pub struct SplitService {
    /// Its name.
    pub name: &'static str,
    /// Name of the other one, whose settings it has.
    pub copied: &'static str,
    /// Its share, from 0 to 1.
    pub share: f64,
}

impl Variation {
    /// Changes a route of a configuration.
    fn vary(&self, route: &mut Value) {
        if let Some(terms) = self.routes.iter().find(|terms| route["path_prefix"] == terms.prefix) {
            route["timeout_ms"] = json!(terms.timeout_ms);
            route["target_latency_ms"] = json!(terms.target_latency_ms);
            route["max_attempts"] = json!(terms.attempts);
            if route["kind"] == "streaming" {
                route["gap_target_ms"] = json!(terms.gap_target_ms);
            }
        }
        let split = self.services.iter().find(|service| route["service"] == service.copied);
        if let Some(service) = split {
            route["traffic_split"] = json!([
                {"service": service.copied, "weight": 1.0 - service.share},
                {"service": service.name, "weight": service.share},
            ]);
        }
    }
}

/// Listening addresses of an entry instance.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// Requests of callers.
    pub callers: SocketAddr,
    /// Readiness probe of the platform.
    pub ready: SocketAddr,
    /// Metrics.
    pub metrics: SocketAddr,
    /// Messages of other instances.
    pub peers: SocketAddr,
}

impl Addresses {
    /// Loopback addresses that are currently free and that this process has not drawn before. Their
    /// ports lie below the ephemeral range, so that no outgoing connection takes one before the
    /// instance listens.
    ///
    /// # Errors
    /// If no port can be bound.
    pub fn free() -> std::io::Result<Self> {
        let [callers, ready, metrics, peers] = [(); 4].map(|()| free_address());
        Ok(Self { callers: callers?, ready: ready?, metrics: metrics?, peers: peers? })
    }
}

/// An address with a random port outside the ephemeral range that this process has not drawn before.
fn free_address() -> std::io::Result<SocketAddr> {
    let mut result = Err(std::io::ErrorKind::AddrInUse.into());
    for _ in 0..PORT_TRIES {
        let address = SocketAddr::from(([127, 0, 0, 1], rand::rng().random_range(PORTS)));
        // A port that was drawn before isn't even tried, as its instance may be about to listen.
        if !DRAWN.lock().insert(address.port()) {
            continue;
        }
        result = probe(address).map(|()| address);
        if result.is_ok() {
            break;
        }
    }
    result
}

/// Binds an address without listening at it: a process that is being started by another thread
/// holds a copy of the socket until it runs its program, and would keep the instance from listening.
fn probe(address: SocketAddr) -> std::io::Result<()> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())
}

/// Settings file of an entry instance.
pub fn settings(name: &str, zone: &str, addresses: &Addresses, store: SocketAddr) -> String {
    settings_with(name, zone, addresses, store, None)
}

/// Settings file of an entry instance, in a deployment that has rollouts if there are bounds.
pub fn settings_with(
    name: &str,
    zone: &str,
    addresses: &Addresses,
    store: SocketAddr,
    rollouts: Option<rollout::Bounds>,
) -> String {
    let Addresses { callers, ready, metrics, peers } = addresses;
    let contracts = rollouts.map_or("", |_| "contracts = [\"other\", \"rollout\"]\n");
    let bounds = rollouts.map(|rollout::Bounds { share, slack, rollback }| {
        let rollback_ms = rollback.as_millis();
        format!("expose_share = {share:?}\nexpose_slack = {slack}\nrollback_ms = {rollback_ms}\n")
    });
    let bounds = bounds.unwrap_or_default();
    format!(
        "node_name = \"{name}\"\nzone = \"{zone}\"\nport_range = [{}, {}]\nnew_field = 1\n\
         {contracts}[listen_addrs]\nfront = \"{callers}\"\nready = \"{ready}\"\n\
         [bounds]\nlease_ms = 300\nbudget_slack = 1000\nbudget_ratio = 1.0\nbudget_window_s = 1\n\
         {bounds}[provider]\naddress = \"{store}\"\nform = \"kv\"\nttl_min_ms = 1000\n",
        metrics.port(),
        peers.port(),
    )
}

/// Limits of the machine that an entry instance runs on.
#[derive(Clone, Copy, Debug)]
pub struct Machine {
    /// Memory, in megabytes.
    pub memory_mb: u64,
    /// Maximum number of open descriptors.
    pub max_fds: u64,
}

impl Machine {
    /// Section of a settings file that states the limits.
    pub fn section(&self) -> String {
        format!("[limits]\nmemory_mb = {}\nmax_fds = {}\n", self.memory_mb, self.max_fds)
    }
}

/// Key and value in the metadata store that announce a weight version of the model.
pub fn announcement(version: u64) -> (String, Value) {
    (format!("op/version/{MODEL}"), json!({"model": MODEL, "version": version}))
}
