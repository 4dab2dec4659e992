//! Listeners for callers, readiness probes and metrics.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use acacia_platform::ingress::READY_PATH;
use acacia_policy::Time;
use http::{HeaderMap, Request, Response, StatusCode, Version};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::body::discard;
use crate::log::Kind;
use crate::memory::Connected;
use crate::request::{Body, Origin, handle, plain};
use crate::socket::{Closing, Socket};
use crate::timer::{Activity, Timer};
use crate::traffic::{Phase, Traffic};

/// Pause after a failed accept, so that a lack of file descriptors causes no busy loop.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Length of the accept queue. Bursts of callers arrive within a few milliseconds.
const BACKLOG: u32 = 1_024;
/// Smallest limit on a head that is applied, in bytes.
const MIN_HEAD_BYTES: usize = 8 << 10;
/// Size of the longest head, in bytes, for which each connection has a buffer, as the limit may grow.
const HEAD_BUFFER: usize = 64 << 10;

/// Listens on an address.
///
/// # Errors
/// If the address is in use.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = tokio::net::TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Accepts connections of callers, or of other instances, until the phase is [`Phase::Closing`].
pub async fn serve(
    traffic: Rc<Traffic>,
    listener: TcpListener,
    mut phase: watch::Receiver<Phase>,
    origin: Origin,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = phase.wait_for(|phase| *phase == Phase::Closing) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let activity = Activity::new(traffic.clock);
                // Other instances have a few connections each.
                let connected = match origin {
                    Origin::Caller => Connected::new(&traffic, activity.clone()).map(Some),
                    Origin::Instance => Some(None),
                };
                let Some(connected) = connected else { continue };
                traffic.open_connections.set(traffic.open_connections.get() + 1);
                let (traffic, phase) = (traffic.clone(), phase.clone());
                tokio::task::spawn_local(async move {
                    let served = connection(&traffic, stream, phase, origin, activity);
                    match &connected {
                        Some(connected) => tokio::select! {
                            biased;
                            () = connected.replaced() => {}
                            () = served => {}
                        },
                        None => served.await,
                    }
                    traffic.open_connections.set(traffic.open_connections.get() - 1);
                });
            }
            Err(error) => {
                tracing::warn!(%error, "failed to accept a connection");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Serves one connection until it closes.
async fn connection(
    traffic: &Rc<Traffic>,
    stream: TcpStream,
    mut phase: watch::Receiver<Phase>,
    origin: Origin,
    activity: Activity,
) {
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(%error, "failed to set TCP_NODELAY for a caller");
    }
    let buffer = traffic.limits.borrow().head_bytes.max(HEAD_BUFFER);
    let closing = Rc::new(Cell::new(Closing::Plain));
    let socket = Socket::new(stream, closing.clone(), activity.clone());
    let service = service_fn(async |request| {
        activity.begin_request();
        if request.version() < Version::HTTP_11 {
            closing.set(Closing::Requested);
        }
        let limit = traffic.limits.borrow().head_bytes.max(MIN_HEAD_BYTES);
        if head_bytes(&request) > limit {
            discard(request.into_body());
            return Ok(head_too_long(traffic, limit));
        }
        handle(traffic.clone(), origin, request).await
    });
    let connection = http1::Builder::new()
        .timer(Timer::new(traffic.limits.subscribe(), activity.clone()))
        // The timer adds the limits in force.
        .header_read_timeout(Duration::ZERO)
        .max_buf_size(buffer)
        .serve_connection(TokioIo::new(socket), service);
    tokio::pin!(connection);
    let stopping = phase.wait_for(|phase| *phase == Phase::Closing);
    tokio::select! {
        ended = connection.as_mut() => return log_end(ended),
        _ = stopping => connection.as_mut().graceful_shutdown(),
    }
    log_end(connection.await);
}

/// Size of a request's head as it is sent, without optional spaces.
fn head_bytes<B>(request: &Request<B>) -> usize {
    let target = request.uri().path_and_query().map_or(0, |target| target.as_str().len());
    let line = request.method().as_str().len() + target + "  HTTP/1.1\r\n".len();
    let fields = request.headers().iter();
    let fields = fields.map(|(name, value)| name.as_str().len() + value.len() + ": \r\n".len());
    line + fields.sum::<usize>() + "\r\n".len()
}

/// Answer to a request whose head exceeds the limit.
fn head_too_long(traffic: &Traffic, limit: usize) -> Response<Body> {
    let now = traffic.now();
    traffic.metrics.request("", "head_too_long", Time::ZERO);
    if traffic.log_budget.admits(now, Kind::Failure) {
        tracing::warn!(outcome = "refused", reason = "head_too_long", limit, "request ended");
    }
    let text = format!("the head exceeds {limit} bytes; hint: `max_header_bytes`\n");
    plain(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE, HeaderMap::new(), &text)
}

fn log_end(ended: Result<(), hyper::Error>) {
    if let Err(error) = ended {
        tracing::debug!(%error, "a caller's connection ended with an error");
    }
}

/// Serves the platform's readiness probe.
pub async fn serve_ready(traffic: Rc<Traffic>, listener: TcpListener) {
    serve_text(listener, move |path| match path {
        READY_PATH if traffic.is_ready() => (StatusCode::OK, "ready\n".to_owned()),
        READY_PATH => (StatusCode::SERVICE_UNAVAILABLE, "not ready\n".to_owned()),
        _ => (StatusCode::NOT_FOUND, "there is no such page\n".to_owned()),
    })
    .await;
}

/// Serves metrics at `/metrics`.
pub async fn serve_metrics(traffic: Rc<Traffic>, listener: TcpListener) {
    serve_text(listener, move |path| match path {
        "/metrics" => {
            traffic.metrics.memory(&traffic.memory.usage());
            (StatusCode::OK, traffic.metrics.text())
        }
        _ => (StatusCode::NOT_FOUND, "there is no such page; hint: /metrics\n".to_owned()),
    })
    .await;
}

/// Serves answers in plain text.
async fn serve_text(
    listener: TcpListener,
    respond: impl Fn(&str) -> (StatusCode, String) + 'static,
) {
    let respond = Rc::new(respond);
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                tracing::warn!(%error, "failed to accept a connection");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let respond = respond.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(|request: Request<hyper::body::Incoming>| {
                let (status, text) = respond(request.uri().path());
                std::future::ready(Ok::<_, std::convert::Infallible>(plain(
                    status,
                    HeaderMap::new(),
                    &text,
                )))
            });
            let ended = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
            log_end(ended);
        });
    }
}
