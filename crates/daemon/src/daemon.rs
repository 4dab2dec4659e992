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

/// Longest wait for ownership to be handed over.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(5);
/// Time between two looks at what is still open.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Starts daemons.
pub struct Daemon;

/// A running daemon. Dropping it kills it.
pub struct Running {
    pub(crate) addresses: Addresses,
    pub(crate) traffic: Arc<Traffic>,
    pub(crate) control: mpsc::Sender<control::Event>,
    pub(crate) servers: Vec<Serving>,
    pub(crate) stopped: watch::Receiver<bool>,
    pub(crate) killed: CancellationToken,
    pub(crate) runtime: Option<Runtime>,
}

/// Where a daemon listens.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Addresses {
    pub(crate) caller: SocketAddr,
    pub(crate) operator: SocketAddr,
    pub(crate) peer: SocketAddr,
}

/// A server that runs.
pub(crate) struct Serving {
    pub(crate) handle: ServerHandle,
    pub(crate) task: JoinHandle<()>,
    /// How long a stop waits for its open connections; for as long as they take when absent.
    pub(crate) drain_timeout: Option<Duration>,
}

/// Why a daemon can't start.
#[derive(Debug, Diagnostic, Error)]
pub enum StartError {
    /// An address can't be listened on.
    #[error("the daemon can't listen on {address}, its address for {audience}")]
    #[diagnostic(help("free the port, or name another address in the settings"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Who would reach it there.
        audience: &'static str,
        /// Why.
        source: io::Error,
    },
    /// The system gives no threads.
    #[error("the daemon can't start its threads")]
    #[diagnostic(help("raise the limits of threads and memory of the instance"))]
    Threads(#[from] io::Error),
    /// A client can't be set up.
    #[error("the daemon can't set its client up: {0}")]
    Client(String),
}

impl Daemon {
    /// Starts a daemon on threads of its own.
    pub fn start(settings: Settings) -> Result<Running, StartError> {
        // A provider that is installed already serves as well.
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
    /// Where callers reach it.
    pub fn caller_address(&self) -> SocketAddr {
        self.addresses.caller
    }

    /// Where operators reach it.
    pub fn operator_address(&self) -> SocketAddr {
        self.addresses.operator
    }

    /// Where peers reach it.
    pub fn peer_address(&self) -> SocketAddr {
        self.addresses.peer
    }

    /// Whether it takes requests.
    pub fn is_ready(&self) -> bool {
        self.traffic.is_ready()
    }

    /// Its counters in Prometheus' text format.
    pub fn metrics(&self) -> String {
        self.traffic.metrics.text()
    }

    /// Stops it and cuts no request: unready at once, ownership handed over, arrivals refused once
    /// the balancer has had its notice, and the end only after every answer is whole.
    pub async fn stop(mut self) {
        self.traffic.leave();
        // Fails only when control has ended already.
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
            // Ends once each connection has been written out and closed.
            let _ = server.task.await;
        }
        self.kill();
    }

    /// Ends it at once, as a crash would.
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
