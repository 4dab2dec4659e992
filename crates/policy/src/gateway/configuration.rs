//! The operators' configuration of routes, services and organisations, as the gateway uses it.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use strum::{Display, IntoStaticStr};

/// Version of a configuration; grows in uneven steps.
pub type Version = u64;
/// Name of a service.
pub type ServiceName = Arc<str>;
/// Name of an availability zone.
pub type ZoneName = Arc<str>;
/// Name of a model.
pub type ModelName = Arc<str>;

/// One whole configuration.
#[derive(Debug, Default)]
pub struct Configuration {
    /// Its version.
    pub version: Version,
    /// Every service by name.
    pub services: BTreeMap<ServiceName, Service>,
    /// Bounds on what callers may send.
    pub limits: Limits,
    routes: HashMap<String, HashMap<String, Arc<Route>>>,
    keys: Option<HashMap<String, Arc<Organisation>>>,
}

impl Configuration {
    /// Indexes routes by host and prefix, and organisations by key. Without organisations no
    /// request needs a key.
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
        let keys = organisations.map(|organisations| {
            let owned = organisations.into_iter().flat_map(|(organisation, keys)| {
                let organisation = Arc::new(organisation);
                keys.into_iter().map(move |key| (key, organisation.clone()))
            });
            owned.collect()
        });
        let services = services.into_iter().map(|s| (s.name.clone(), s)).collect();
        Self { version, services, limits, routes: by_host, keys }
    }

    /// The route with the longest prefix that begins the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
        let prefixes = self.routes.get(&host)?;
        let ends = path.match_indices('/').map(|(at, _)| at + 1);
        ends.rev().find_map(|end| prefixes.get(&path[..end]))
    }

    /// Whether requests need a key where their route isn't public.
    pub fn has_organisations(&self) -> bool {
        self.keys.is_some()
    }

    /// The organisation that holds a key.
    pub fn organisation(&self, key: &str) -> Option<&Arc<Organisation>> {
        self.keys.as_ref()?.get(key)
    }

    /// How many routes there are.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(HashMap::len).sum()
    }
}

/// Where a kind of request goes and what may be done with it.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// The host it belongs to, in lower case, without a port.
    pub host: String,
    /// The path prefix; begins and ends with a slash.
    pub prefix: String,
    /// Whether a request may be repeated.
    pub repeat: Repeat,
    /// Longest time until the answer is complete.
    pub timeout: Duration,
    /// Time to the answer, or to a stream's first event, that callers are promised.
    pub latency_target: Duration,
    /// Longest pause between events that callers accept, on streams.
    pub gap_target: Option<Duration>,
    /// Upstreams that one request may run on.
    pub attempts: u32,
    /// Urgency; zero goes first.
    pub priority: u32,
    /// Services and their weights.
    pub split: Vec<(ServiceName, u32)>,
    /// Needs no key.
    pub public: bool,
}

impl Route {
    /// The service for a request whose share of the split is `point`, from zero to one.
    pub fn service(&self, point: f64) -> Option<&ServiceName> {
        let total: u32 = self.split.iter().map(|(_, weight)| weight).sum();
        let mut left = point * f64::from(total);
        let found = self.split.iter().filter(|(_, weight)| *weight > 0).find(|(_, weight)| {
            left -= f64::from(*weight);
            left < 0.0
        });
        found.or(self.split.iter().rfind(|(_, weight)| *weight > 0)).map(|(name, _)| name)
    }
}

/// What may be repeated.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Repeat {
    /// May run more than once.
    Idempotent,
    /// May run at most once.
    Once,
    /// A stream of events that may run at most once.
    Stream,
    /// A stream of events that may go on elsewhere after any event.
    ResumableStream,
}

impl Repeat {
    /// May run again after it may have run.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Is answered by a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// A group of upstreams that do the same.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// Connections that one upstream accepts from all callers together.
    pub connections: Option<u32>,
    /// How long an upstream stays cold after a start.
    pub cold_time: Duration,
    /// Requests a second that a cold upstream bears from all callers together; none when it has no
    /// cold start.
    pub cold_rate: Option<f64>,
    /// What it is.
    pub role: Role,
}

/// What a service does.
#[derive(Clone, Debug, PartialEq)]
pub enum Role {
    /// Plain requests.
    Plain,
    /// Model engines.
    Engine(EngineSpec),
    /// A store of kept KV cache, which no route names.
    Store(StoreSpec),
}

/// What a model engine has.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// Requests in one batch.
    pub slots: u32,
    /// Tokens that its memory holds.
    pub memory_tokens: u64,
    /// Bytes of KV cache for one token.
    pub token_bytes: u64,
    /// Bytes a second that its link carries to and from stores and other engines.
    pub link_bytes: f64,
    /// Models that it serves.
    pub models: Vec<ModelName>,
}

/// What a KV cache store has.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreSpec {
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Tokens that it holds.
    pub capacity_tokens: u64,
    /// Never drops a part by itself.
    pub managed: bool,
    /// Bytes a second that its link carries.
    pub link_bytes: f64,
    /// Time before a transfer begins.
    pub first_byte: Duration,
}

/// A customer of the deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct Organisation {
    /// Its name.
    pub name: String,
    /// Urgency that goes before the route's.
    pub priority: Option<u32>,
    /// Shares no cached part with any other organisation.
    pub isolated: bool,
}

/// What a caller may send, and how long it may take.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Largest request head, in bytes.
    pub head_bytes: usize,
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Longest time for a request's head.
    pub head_time: Duration,
    /// Longest time that a connection may wait between requests.
    pub idle_time: Duration,
}

/// Head limit where no configuration names one, a common default of HTTP servers.
const DEFAULT_HEAD_BYTES: usize = 16 << 10;
/// Body limit where no configuration names one, large enough for any prompt of the workloads.
const DEFAULT_BODY_BYTES: usize = 4 << 20;
/// Time for a head where no configuration names one.
const DEFAULT_HEAD_TIME: Duration = Duration::from_secs(3);
/// Idle time where no configuration names one.
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
