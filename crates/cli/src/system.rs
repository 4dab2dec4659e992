//! A complete system in one process: stand-ins, daemons and a published configuration.

pub mod layout;
pub mod standins;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use acacia_catalog::object::AdminState;
use acacia_daemon::{Daemon, Running, Settings, StartError};
use acacia_operator::call;
use acacia_operator::key::{Key, Role};
use acacia_policy::dispatch::Strategy;
use acacia_policy::snapshot::Warmth;
use futures::future::join_all;
use miette::Diagnostic;
use thiserror::Error;

use layout::Layout;
use standins::Standins;

use crate::load::client::{Balancer, Client};

/// The operators' token of a system of stand-ins.
pub const OPERATOR_TOKEN: &str = "emulated-operator-token";
/// Longest wait for a change to be in force on all daemons.
const APPLY_TIMEOUT_MS: u64 = 10_000;
/// Polls until a system must be ready.
const READY_POLLS: u32 = 400;
/// Time between two polls.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Most rounds of warm-up requests.
const WARM_UP_ROUNDS: usize = 40;
/// Traffic threads of each daemon.
const THREADS: usize = 1;

/// A running system.
pub struct System {
    /// Size of the system.
    pub layout: Layout,
    /// Stand-ins for the external systems.
    pub standins: Standins,
    /// The daemons.
    pub daemons: Vec<Running>,
}

/// Why a system can't be started or changed.
#[derive(Debug, Diagnostic, Error)]
pub enum Error {
    /// A stand-in can't listen.
    #[error("a stand-in can't listen on loopback")]
    #[diagnostic(help("close programs that hold many ports, or raise the limit of open files"))]
    Standin(#[from] io::Error),
    /// A daemon can't start.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Daemon(#[from] StartError),
    /// The administration API refused.
    #[error("the administration API refused: {0}")]
    Operator(#[from] acacia_operator::client::Error),
    /// A client can't be set up.
    #[error("a client can't be set up: {0}")]
    Client(#[from] reqwest::Error),
    /// Some daemons are not ready.
    #[error("only {ready} of {all} daemons were ready in time")]
    #[diagnostic(help("look at the daemons' logs with RUST_LOG=info"))]
    NotReady {
        /// Ready daemons.
        ready: usize,
        /// All daemons.
        all: usize,
    },
}

impl System {
    /// Starts stand-ins and daemons, publishes the configuration and waits until all daemons are
    /// ready.
    ///
    /// # Errors
    /// If a stand-in or daemon can't start, or a daemon is not ready in time.
    pub async fn start(layout: Layout, strategy: Strategy, scale: f64) -> Result<Self, Error> {
        let standins = Standins::start(&layout, scale).await?;
        let mut daemons = Vec::with_capacity(layout.daemons);
        for index in 0..layout.daemons {
            daemons.push(Daemon::start(settings(&layout, &standins, strategy, index))?);
        }
        let system = Self { layout, standins, daemons };
        system.publish(scale).await?;
        system.wait_ready().await?;
        Ok(system)
    }

    /// Addresses where the daemons accept callers.
    pub fn entries(&self) -> Vec<SocketAddr> {
        self.daemons.iter().map(Running::caller_address).collect()
    }

    /// Creates a client of one daemon's administration API.
    ///
    /// # Errors
    /// If the client can't be set up.
    pub fn operator(&self, index: usize) -> Result<acacia_operator::Client, Error> {
        let address = self.daemons[index].operator_address().to_string();
        Ok(acacia_operator::Client::new(address, OPERATOR_TOKEN)?)
    }

    /// Takes a zone out of service or back, and waits until the change is in force on all daemons.
    ///
    /// # Errors
    /// If the administration API refuses the change.
    pub async fn move_zone(
        &self,
        index: usize,
        state: AdminState,
    ) -> Result<call::Accepted, Error> {
        let id = Arc::from(format!("zone-{index}-{state}-{:x}", rand::random::<u64>()));
        let request = call::SetState { id, state, wait_ms: APPLY_TIMEOUT_MS };
        Ok(self.operator(0)?.set_zone_state(&self.layout.zone(index), &request).await?)
    }

    /// Stops every daemon gracefully.
    pub async fn stop(self) {
        for daemon in self.daemons {
            daemon.stop().await;
        }
    }

    async fn publish(&self, scale: f64) -> Result<(), Error> {
        let mut layout = self.layout.clone();
        // Link budgets are in bytes per second of the daemons' time. The stand-ins' time runs
        // `scale` times faster.
        layout.link_bytes = (layout.link_bytes as f64 * scale) as u64;
        let apply = call::Apply {
            id: Arc::from("emulated-system"),
            base: 0,
            document: layout.document(&self.standins.addresses()),
            wait_ms: APPLY_TIMEOUT_MS,
        };
        self.operator(0)?.apply(&apply).await?;
        Ok(())
    }

    /// Sends short prompts and lookups until every daemon considers every upstream warm.
    ///
    /// # Errors
    /// If a daemon's status can't be read.
    pub async fn warm_up(&self) -> Result<(), Error> {
        let client = Client::new(Balancer::new(self.entries()));
        for round in 0..WARM_UP_ROUNDS {
            if self.is_warm().await? {
                break;
            }
            let queries = (0..self.layout.engines * 4).map(|i| {
                let prompt = format!("warm-up {round} {i}");
                let client = client.clone();
                async move { client.complete(&layout::key(0), layout::MODEL, &prompt, 4).await }
            });
            let lookups = (0..self.layout.services * 16).map(|i| {
                let client = client.clone();
                let path = format!("/status/warm-up-{i}");
                async move { client.call(&layout::key(0), layout::SERVICE, &path, None).await }
            });
            tokio::join!(join_all(queries), join_all(lookups));
        }
        Ok(())
    }

    async fn is_warm(&self) -> Result<bool, Error> {
        for index in 0..self.daemons.len() {
            let status = self.operator(index)?.status().await?;
            if status.upstreams.iter().any(|u| u.warmth != Warmth::Warm) {
                return Ok(false);
            }
        }
        Ok(true)
    }

    async fn wait_ready(&self) -> Result<(), Error> {
        for _ in 0..READY_POLLS {
            if self.daemons.iter().all(Running::is_ready) {
                return Ok(());
            }
            tokio::time::sleep(READY_POLL_INTERVAL).await;
        }
        let ready = self.daemons.iter().filter(|d| d.is_ready()).count();
        Err(Error::NotReady { ready, all: self.daemons.len() })
    }
}

fn settings(layout: &Layout, standins: &Standins, strategy: Strategy, index: usize) -> Settings {
    let roles = vec![Role::Read, Role::Apply, Role::Move];
    let mut settings =
        Settings::new(layout.zone(index), vec![standins.kv.address], standins.list.address);
    settings.name = Arc::from(format!("daemon-{index}"));
    settings.seed = Some(index as u64);
    settings.strategy = strategy;
    settings.threads = THREADS;
    settings.operators = vec![Key::of("demo", OPERATOR_TOKEN, roles)];
    settings.times.stop_notice = Duration::ZERO;
    settings
}
