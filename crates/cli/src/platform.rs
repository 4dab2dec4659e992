//! A small deployment on the platform, in one process: stand-ins for the platform, entry instances
//! on threads of their own, and callers.
//!
//! [`profile`] describes a deployment and its callers, [`workload`] generates requests from a seed,
//! [`run`] sends them while [`fault`]s are injected, [`report`] summarises the results, and
//! [`compare`] runs several placement rules.

pub mod compare;
pub mod fault;
pub mod profile;
pub mod report;
pub mod run;
pub mod workload;

use std::io;
use std::path::Path;
use std::time::Duration;

use acacia_gateway::Instance;
use acacia_platform::Settings;
use acacia_policy::gateway::Placement;
use acacia_standin::platform::caller::Caller;
use acacia_standin::platform::document::{self, Addresses, CONFIGURATION_KEY, Deployment, MODEL};
use acacia_standin::platform::server::{self, Engine, Peers, Performance};
use acacia_standin::platform::{cache, store};
use miette::Diagnostic;
use thiserror::Error;

use profile::Profile;

/// Organisations with their keys.
pub const ORGANISATIONS: [(&str, &str); 3] =
    [("north", "key-north"), ("south", "key-south"), ("east", "key-east")];
/// Number of availability zones; instances, servers and engines alternate between them.
const ZONES: usize = 2;
/// Most requests that wait at a server; more are refused.
const QUEUE_LIMIT: usize = 64;
/// Time that an engine takes to load new weights.
const WEIGHT_LOAD_TIME: Duration = Duration::from_millis(570);
/// KV cache size of a token in an engine of the target deployment.
const TOKEN_BYTES: u64 = 163_840;
/// Bandwidth of an engine's or store's link in the target deployment.
const LINK_MBPS: f64 = 280_000.0;
/// Time between two readiness polls.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Polls after which an instance counts as not ready.
const READY_POLLS: u32 = 500;

/// A running deployment with its callers.
pub struct Cluster {
    /// The metadata store.
    pub store: store::Handle,
    /// Servers of the plain service.
    pub services: Vec<server::Handle>,
    /// Model engines.
    pub engines: Vec<server::Handle>,
    /// The managed KV cache store.
    pub cache: cache::Handle,
    /// Entry instances.
    instances: Vec<Instance>,
    caller: Caller,
}

/// Why a deployment can't run.
#[derive(Debug, Diagnostic, Error)]
pub enum Error {
    /// A stand-in can't listen.
    #[error("a stand-in can't listen on loopback")]
    #[diagnostic(help("close programs that hold many ports, or raise the limit of open files"))]
    Standin(#[from] io::Error),
    /// The settings of an instance are invalid.
    #[error(transparent)]
    Settings(#[from] acacia_platform::settings::Problem),
    /// An instance can't start or failed.
    #[error("an entry instance failed: {0}")]
    #[diagnostic(help("look at its log with RUST_LOG=info"))]
    Instance(String),
    /// The callers can't be set up.
    #[error("the callers can't be set up: {0}")]
    Caller(#[from] reqwest::Error),
    /// An instance is not ready in time.
    #[error("the instance at {0} was not ready in time")]
    #[diagnostic(help("look at its log with RUST_LOG=info"))]
    NotReady(std::net::SocketAddr),
}

impl Cluster {
    /// Starts stand-ins and instances, and waits until all instances are ready.
    ///
    /// # Errors
    /// If a stand-in or instance can't start, or an instance is not ready in time.
    pub async fn start(profile: &Profile, placement: Placement) -> Result<Self, Error> {
        let store = store::start().await?;
        let cache = cache::start(profile.cache_tokens).await?;
        let others = Peers::default();
        let mut services = Vec::new();
        for number in 0..profile.services {
            let latency = profile.service_time;
            let settings = server_settings("app", number, latency, profile.service_slots, None);
            services.push(server::start(settings, &store).await?);
        }
        let mut engines = Vec::new();
        for number in 0..profile.engines {
            let engine = engine(profile, &cache, &others);
            let latency = profile.step_time;
            let settings =
                server_settings("llm", number, latency, profile.engine_slots, Some(engine));
            engines.push(server::start(settings, &store).await?);
        }
        let deployment = deployment(profile, &cache);
        store.put(CONFIGURATION_KEY, &deployment.configuration(1, &ORGANISATIONS));
        let mut instances = Vec::new();
        for number in 0..profile.instances {
            instances.push(instance(number, placement, &store)?);
        }
        let caller = Caller::new(instances.iter().map(|instance| instance.address).collect())?;
        let cluster = Self { store, services, engines, cache, instances, caller };
        for instance in &cluster.instances {
            cluster.wait_ready(instance.ready).await?;
        }
        Ok(cluster)
    }

    /// Callers of all instances.
    pub fn caller(&self) -> &Caller {
        &self.caller
    }

    async fn wait_ready(&self, ready: std::net::SocketAddr) -> Result<(), Error> {
        for _ in 0..READY_POLLS {
            if self.caller.is_ready(ready).await {
                return Ok(());
            }
            tokio::time::sleep(READY_POLL_INTERVAL).await;
        }
        Err(Error::NotReady(ready))
    }

    /// Drains and stops every instance.
    ///
    /// # Errors
    /// If an instance failed.
    pub async fn stop(self) -> Result<(), Error> {
        let stops = self.instances.into_iter().map(|instance| {
            tokio::task::spawn_blocking(move || instance.stop().map_err(|error| error.to_string()))
        });
        for stopped in futures::future::join_all(stops).await {
            stopped.map_err(|error| error.to_string()).flatten().map_err(Error::Instance)?;
        }
        Ok(())
    }
}

fn instance(number: usize, placement: Placement, store: &store::Handle) -> Result<Instance, Error> {
    let addresses = Addresses::free()?;
    let text =
        document::settings(&format!("instance-{number}"), &zone(number), &addresses, store.address);
    let settings = Settings::parse(&text, Path::new("settings of the deployment"))?;
    Instance::start(settings, placement).map_err(|error| Error::Instance(error.to_string()))
}

fn deployment(profile: &Profile, cache: &cache::Handle) -> Deployment {
    let millis = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
    Deployment {
        timeout_ms: millis(profile.timeout),
        target_latency_ms: millis(profile.latency_target),
        gap_target_ms: millis(profile.gap_target),
        engine_slots: profile.engine_slots,
        engine_tokens: profile.engine_tokens,
        token_bytes: TOKEN_BYTES,
        link_mbps: LINK_MBPS,
        cache: Some((cache.address, profile.cache_tokens)),
    }
}

fn engine(profile: &Profile, cache: &cache::Handle, others: &Peers) -> Engine {
    let bytes_per_second = LINK_MBPS * 1e6 / 8.0;
    Engine {
        model: MODEL.to_owned(),
        load_time: WEIGHT_LOAD_TIME,
        caches: vec![(cache.address, cache.state())],
        peers: others.clone(),
        performance: Performance {
            prefill_per_token: profile.token_time,
            fetch_per_token: Duration::from_secs_f64(TOKEN_BYTES as f64 / bytes_per_second),
            cache_tokens: profile.engine_tokens,
        },
    }
}

fn server_settings(
    service: &str,
    number: usize,
    latency: Duration,
    slots: usize,
    engine: Option<Engine>,
) -> server::Settings {
    server::Settings {
        id: format!("{service}-{number}"),
        service: service.to_owned(),
        zone: zone(number),
        latency,
        slots,
        queue: QUEUE_LIMIT,
        engine,
    }
}

fn zone(number: usize) -> String {
    format!("z{}", 1 + number % ZONES)
}
