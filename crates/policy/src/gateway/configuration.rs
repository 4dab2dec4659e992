//! The operators' configuration of routes, services and organisations, indexed for the gateway.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use strum::{Display, IntoStaticStr};

use super::namespace::Namespaces;

/// Version of a configuration; increases in uneven steps.
pub type Version = u64;
/// Name of a service.
pub type ServiceName = Arc<str>;
/// Name of an availability zone.
pub type ZoneName = Arc<str>;
/// Name of a model.
pub type ModelName = Arc<str>;

/// A complete configuration.
#[derive(Debug, Default)]
pub struct Configuration {
    /// Its version.
    pub version: Version,
    /// Every service by name.
    pub services: BTreeMap<ServiceName, Service>,
    /// Limits on callers' requests and connections.
    pub limits: Limits,
    /// Namespaces of cached parts.
    pub namespaces: Namespaces,
    routes: HashMap<String, HashMap<String, Arc<Route>>>,
    keys: Option<HashMap<String, Arc<Organisation>>>,
}

impl Configuration {
    /// Indexes routes by host and prefix, and organisations by key. No request needs a key if
    /// `organisations` is none.
    pub fn new(
        version: Version,
        routes: impl IntoIterator<Item = Route>,
        services: impl IntoIterator<Item = Service>,
        organisations: Option<Vec<(Organisation, Vec<String>)>>,
        limits: Limits,
    ) -> Self {
        let mut by_host: HashMap<String, HashMap<String, Arc<Route>>> = HashMap::new();
        for route in routes {
            let host = by_host.entry(route.host.clone()).or_default();
            host.insert(route.prefix.clone(), Arc::new(route));
        }
        // An organisation without keys may have had some.
        let isolated = organisations.iter().flatten().map(|(organisation, _)| organisation);
        let isolated = isolated.filter(|organisation| organisation.isolated);
        let namespaces = Namespaces::new(isolated.map(|organisation| organisation.name.clone()));
        let keys = organisations.map(|organisations| {
            let owned = organisations.into_iter().flat_map(|(organisation, keys)| {
                let organisation = Arc::new(organisation);
                keys.into_iter().map(move |key| (key, organisation.clone()))
            });
            owned.collect()
        });
        let services = services.into_iter().map(|s| (s.name.clone(), s)).collect();
        Self { version, services, limits, namespaces, routes: by_host, keys }
    }

    /// The route with the longest prefix of the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
        let prefixes = self.routes.get(&host)?;
        let ends = path.match_indices('/').map(|(at, _)| at + 1);
        ends.rev().find_map(|end| prefixes.get(&path[..end]))
    }

    /// Whether requests to routes that aren't public need a key.
    pub fn has_organisations(&self) -> bool {
        self.keys.is_some()
    }

    /// The organisation that holds a key.
    pub fn organisation(&self, key: &str) -> Option<&Arc<Organisation>> {
        self.keys.as_ref()?.get(key)
    }

    /// All routes, in no order.
    pub fn all_routes(&self) -> impl Iterator<Item = &Route> {
        self.routes.values().flat_map(HashMap::values).map(|route| &**route)
    }

    /// The number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(HashMap::len).sum()
    }
}

/// Target services and delivery rules for requests with a host and a path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// The host that it matches, in lower case, without a port.
    pub host: String,
    /// The path prefix; begins and ends with a slash.
    pub prefix: String,
    /// Whether a request may be repeated.
    pub repeat: Repeat,
    /// Maximum time until the answer is complete.
    pub timeout: Duration,
    /// Target for the time to the answer, or to a stream's first event.
    pub latency_target: Duration,
    /// Maximum time between events that callers accept, on streams.
    pub gap_target: Option<Duration>,
    /// Maximum number of upstreams that one request may run on.
    pub attempts: u32,
    /// Priority; zero is the highest.
    pub priority: u32,
    /// Services and their weights.
    pub split: Vec<(ServiceName, u32)>,
    /// Whether requests need no key.
    pub public: bool,
}

impl Route {
    /// The service for a request at `point` of the split, from zero to one.
    pub fn service(&self, point: f64) -> Option<&ServiceName> {
        let total: u64 = self.split.iter().map(|(_, weight)| u64::from(*weight)).sum();
        let mut left = point * total as f64;
        let found = self.split.iter().filter(|(_, weight)| *weight > 0).find(|(_, weight)| {
            left -= f64::from(*weight);
            left < 0.0
        });
        found.or(self.split.iter().rfind(|(_, weight)| *weight > 0)).map(|(name, _)| name)
    }
}

/// Whether and how a request may be repeated.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Repeat {
    /// May run more than once.
    Idempotent,
    /// May run at most once.
    Once,
    /// A stream of events that may run at most once.
    Stream,
    /// A stream of events that another upstream may continue after any event.
    ResumableStream,
}

impl Repeat {
    /// Whether it may run again after it may have run.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// A group of interchangeable upstreams.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// Maximum number of connections that one upstream accepts in total.
    pub connections: Option<u32>,
    /// Time for which an upstream stays cold after a start.
    pub cold_time: Duration,
    /// Requests per second that a cold upstream can take in total; none if it has no cold start.
    pub cold_rate: Option<f64>,
    /// What it does.
    pub role: Role,
}

/// What a service does.
#[derive(Clone, Debug, PartialEq)]
pub enum Role {
    /// Plain requests.
    Plain,
    /// Model engines.
    Engine(EngineSpec),
    /// A KV cache store, which no route refers to.
    Store(StoreSpec),
}

/// Properties of a model engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// Maximum number of requests in one batch.
    pub slots: u32,
    /// Capacity of its memory in tokens.
    pub memory_tokens: u64,
    /// Bytes of KV cache for one token.
    pub token_bytes: u64,
    /// Bandwidth of its link to stores and other engines, in bytes per second.
    pub link_bytes: f64,
    /// Models that it serves.
    pub models: Vec<ModelName>,
}

/// Properties of a KV cache store.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreSpec {
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Capacity in tokens.
    pub capacity_tokens: u64,
    /// Whether the gateway manages its space; such a store never evicts a part by itself.
    pub managed: bool,
    /// Bandwidth of its link, in bytes per second.
    pub link_bytes: f64,
    /// Time until the first byte of a transfer.
    pub first_byte: Duration,
}

/// A customer of the deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct Organisation {
    /// Its name.
    pub name: String,
    /// Priority that overrides the route's.
    pub priority: Option<u32>,
    /// Whether it shares no cached part with any other organisation.
    pub isolated: bool,
}

/// Limits on the size and timing of callers' requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Maximum time to receive a request's head.
    pub head_time: Duration,
    /// Maximum idle time of a connection between requests.
    pub idle_time: Duration,
}

/// Default maximum size of a request head, as is common among HTTP servers.
const DEFAULT_HEAD_BYTES: usize = 16 << 10;
/// Default maximum size of a request body, large enough for any prompt of the workloads.
const DEFAULT_BODY_BYTES: usize = 4 << 20;
/// Default maximum time to receive a request's head.
const DEFAULT_HEAD_TIME: Duration = Duration::from_secs(3);
/// Default maximum idle time.
const DEFAULT_IDLE_TIME: Duration = Duration::from_secs(15);

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_bytes: DEFAULT_HEAD_BYTES,
            body_bytes: DEFAULT_BODY_BYTES,
            head_time: DEFAULT_HEAD_TIME,
            idle_time: DEFAULT_IDLE_TIME,
        }
    }
}
