//! A running daemon.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use acacia_policy::{control, dispatch};
use miette::Diagnostic;
use salvo::server::ServerHandle;
use thiserror::Error;
use tokio::runtime::Runtime;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::assembly;
use crate::settings::Settings;
use crate::traffic::Traffic;

/// Longest wait for the handover of ownership.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval between checks for open requests while the daemon drains.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A daemon, to be started.
pub struct Daemon;

/// A running daemon; killed when dropped.
pub struct Running {
    pub(crate) addresses: Addresses,
    pub(crate) traffic: Arc<Traffic>,
    pub(crate) control: mpsc::Sender<control::Event>,
    pub(crate) servers: Vec<Serving>,
    pub(crate) stopped: watch::Receiver<bool>,
    pub(crate) killed: CancellationToken,
    pub(crate) runtime: Option<Runtime>,
}

/// Addresses on which a daemon listens.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Addresses {
    pub(crate) caller: SocketAddr,
    pub(crate) operator: SocketAddr,
    pub(crate) peer: SocketAddr,
}

/// A running server.
pub(crate) struct Serving {
    pub(crate) handle: ServerHandle,
    pub(crate) task: JoinHandle<()>,
    /// Longest wait for open connections at a stop; unlimited if absent.
    pub(crate) drain_timeout: Option<Duration>,
}

/// Why a daemon did not start.
#[derive(Debug, Diagnostic, Error)]
pub enum StartError {
    /// The daemon can't listen on an address.
    #[error("the daemon can't listen on {address}, its address for {audience}")]
    #[diagnostic(help("free the port, or name another address in the settings"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Users of the address.
        audience: &'static str,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The operating system refused to create threads.
    #[error("the daemon can't start its threads")]
    #[diagnostic(help("raise the limits of threads and memory of the instance"))]
    Threads(#[from] io::Error),
    /// A client or the metrics can't be set up.
    #[error("the daemon can't set up a client or its metrics: {0}")]
    Client(String),
}

impl Daemon {
    /// Starts a daemon on its own threads.
    pub fn start(settings: Settings) -> Result<Running, StartError> {
        // Fails if a provider is already installed, which works as well.
        let _ = rustls::crypto::ring::default_provider().install_default();
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(settings.threads)
            .thread_name("traffic")
            .enable_all()
            .build()?;
        let guard = runtime.enter();
        let mut running = assembly::assemble(settings, runtime.handle())?;
        drop(guard);
        running.runtime = Some(runtime);
        Ok(running)
    }
}

impl Running {
    /// Address for callers.
    pub fn caller_address(&self) -> SocketAddr {
        self.addresses.caller
    }

    /// Address for operators.
    pub fn operator_address(&self) -> SocketAddr {
        self.addresses.operator
    }

    /// Address for peers.
    pub fn peer_address(&self) -> SocketAddr {
        self.addresses.peer
    }

    /// Whether the daemon accepts requests.
    pub fn is_ready(&self) -> bool {
        self.traffic.is_ready()
    }

    /// The daemon's counters in the Prometheus text format.
    pub fn metrics(&self) -> String {
        self.traffic.metrics.text()
    }

    /// Stops the daemon without interrupting requests: it becomes unready at once, hands over its
    /// ownership, refuses new requests once the load balancer had time to notice, and ends after
    /// every answer is complete.
    pub async fn stop(mut self) {
        self.traffic.leave();
        // Fails only if control has already ended.
        let _ = self.control.send(control::Event::Stop).await;
        let notice = tokio::time::sleep(self.traffic.settings.times.stop_notice);
        let handed_over = self.stopped.wait_for(|stopped| *stopped);
        let handed_over = tokio::time::timeout(HANDOVER_TIMEOUT, handed_over);
        let ((), _) = tokio::join!(notice, async { handed_over.await.is_ok() });
        self.traffic.step(dispatch::Event::Stop);
        while self.traffic.open() > 0 {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
        let servers = std::mem::take(&mut self.servers);
        for server in &servers {
            server.handle.stop_graceful(server.drain_timeout);
        }
        for server in servers {
            // Ends once all connections have been flushed and closed.
            let _ = server.task.await;
        }
        self.kill();
    }

    /// Ends the daemon at once, like a crash.
    pub fn kill(&mut self) {
        self.killed.cancel();
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.kill();
    }
}
