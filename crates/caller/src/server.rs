//! The listening server.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use salvo::conn::tcp::TcpAcceptor;
use salvo::fuse::FuseConfig;
use salvo::http::StatusCode;
use salvo::server::ServerHandle;
use salvo::{Router, Service};
use tokio::net::TcpSocket;

use crate::Backend;
use crate::body::Kind;
use crate::route::{CompletionRoute, Health, Models, Ready, ServiceRoute};

/// Connections that wait to be accepted.
const BACKLOG: u32 = 4_096;

/// Limits on what callers may send and how slowly.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Largest body, in bytes.
    pub body_bytes: usize,
    /// Largest head of a request, in bytes.
    pub head_bytes: usize,
    /// Connections at once.
    pub connections: usize,
    /// Longest wait until a caller reads on, or sends on.
    pub stall_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_bytes: 8 << 20,
            head_bytes: 32 << 10,
            connections: 20_000,
            stall_timeout: Duration::from_secs(30),
        }
    }
}

/// A server that listens and doesn't yet serve.
pub struct Server {
    server: salvo::Server<TcpAcceptor>,
    address: SocketAddr,
    service: Service,
}

impl Server {
    /// Listens on an address; port zero chooses one.
    pub fn bind(
        address: SocketAddr,
        backend: Arc<impl Backend>,
        limits: Limits,
    ) -> io::Result<Self> {
        let listener = listen(address)?;
        let address = listener.local_addr()?;
        let fuse = FuseConfig::default()
            .with_write_stall_timeout(limits.stall_timeout)
            .with_request_body_timeout(limits.stall_timeout);
        let mut server = salvo::Server::new(TcpAcceptor::try_from(listener)?)
            .fuse_config(fuse)
            .max_connections(limits.connections);
        server.http1_mut().max_buf_size(limits.head_bytes);
        Ok(Self { server, address, service: Service::new(router(&backend, limits)) })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The handle that stops it.
    pub fn handle(&self) -> ServerHandle {
        self.server.handle()
    }

    /// Serves until it is stopped; a graceful stop finishes every request.
    pub async fn serve(self) -> io::Result<()> {
        self.server.try_serve(self.service).await
    }
}

/// Listens without delaying small writes; accepted connections inherit that.
fn listen(address: SocketAddr) -> io::Result<tokio::net::TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    socket.set_nodelay(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// All routes.
fn router<B: Backend>(backend: &Arc<B>, limits: Limits) -> Router {
    let completion =
        |kind| CompletionRoute { backend: backend.clone(), kind, limit: limits.body_bytes };
    let service = ServiceRoute { backend: backend.clone(), limit: limits.body_bytes };
    Router::new()
        .push(Router::with_path("healthz").get(Health))
        .push(Router::with_path("readyz").get(Ready(backend.clone())))
        .push(Router::with_path("v1/completions").post(completion(Kind::Text)))
        .push(Router::with_path("v1/chat/completions").post(completion(Kind::Chat)))
        .push(Router::with_path("v1/models").get(Models(backend.clone())))
        .push(Router::with_path("v1/services/{service}/{**path}").goal(service))
}

/// Status of a daemon that takes requests, or doesn't.
pub(crate) fn readiness(ready: bool) -> StatusCode {
    if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }
}
