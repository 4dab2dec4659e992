//! HTTP server and its routes.

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

/// Maximum number of connections waiting to be accepted.
const BACKLOG: u32 = 4_096;

/// Limits on the size of requests, on connections and on slow callers.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// Maximum number of open connections.
    pub connections: usize,
    /// Longest time in which a caller neither reads from the answer nor sends more of the body.
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

/// A server that is bound to its address and doesn't accept connections yet.
pub struct Server {
    server: salvo::Server<TcpAcceptor>,
    address: SocketAddr,
    service: Service,
}

impl Server {
    /// Listens on an address; port zero selects a free port.
    ///
    /// # Errors
    /// If the address can't be bound.
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

    /// The address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The handle that stops the server.
    pub fn handle(&self) -> ServerHandle {
        self.server.handle()
    }

    /// Serves until the server is stopped; a graceful stop completes all running requests.
    pub async fn serve(self) -> io::Result<()> {
        self.server.try_serve(self.service).await
    }
}

/// Listens with `TCP_NODELAY`, which accepted connections inherit, so small writes aren't delayed.
fn listen(address: SocketAddr) -> io::Result<tokio::net::TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    socket.set_nodelay(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Creates all routes.
fn router<B: Backend>(backend: &Arc<B>, limits: Limits) -> Router {
    let completion = |kind| CompletionRoute {
        backend: backend.clone(),
        kind,
        max_body_bytes: limits.body_bytes,
    };
    let service = ServiceRoute { backend: backend.clone(), max_body_bytes: limits.body_bytes };
    Router::new()
        .push(Router::with_path("healthz").get(Health))
        .push(Router::with_path("readyz").get(Ready(backend.clone())))
        .push(Router::with_path("v1/completions").post(completion(Kind::Text)))
        .push(Router::with_path("v1/chat/completions").post(completion(Kind::Chat)))
        .push(Router::with_path("v1/models").get(Models(backend.clone())))
        .push(Router::with_path("v1/services/{service}/{**path}").goal(service))
}

/// HTTP status of a readiness check.
pub(crate) fn readiness_status(ready: bool) -> StatusCode {
    if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }
}
