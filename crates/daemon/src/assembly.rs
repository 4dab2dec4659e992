//! Creates and starts the parts of a daemon.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use acacia_caller::{Limits, Server};
use acacia_catalog::id::DaemonId;
use acacia_etcd::kv;
use acacia_operator::Keys;
use acacia_peer::server::Delivery;
use acacia_policy::control::{self, Control, Identity};
use acacia_policy::dispatch;
use acacia_policy::message::Envelope;
use rand::RngExt;
use salvo::Router;
use salvo::conn::tcp::TcpAcceptor;
use tokio::net::{TcpListener, TcpSocket};
use tokio::runtime::Handle;
use tokio::sync::{mpsc, watch};
use tokio::time::{MissedTickBehavior, interval};
use tokio_util::sync::CancellationToken;

use crate::caller::Callers;
use crate::control::{Pending, Thread};
use crate::daemon::{Addresses, Running, Serving, StartError};
use crate::metric::Metrics;
use crate::observe;
use crate::operator::{ChangeLog, Operators};
use crate::settings::Settings;
use crate::traffic::Traffic;
use crate::{poll, transfer};

/// Longest wait for peers' connections at a stop; a peer may hold an idle one open.
const PEER_DRAIN_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest wait for operators' connections at a stop; an operator whose request takes longer can
/// repeat it with the same change id.
const OPERATOR_DRAIN_TIMEOUT: Duration = Duration::from_secs(12);
/// Capacity of the control thread's event queue.
const CONTROL_QUEUE: usize = 16_384;
/// Capacity of the export queue.
const EXPORT_QUEUE: usize = 1_024;
/// Most connections waiting to be accepted.
const ACCEPT_BACKLOG: u32 = 1_024;
/// Interval between ticks of the dispatcher.
const DISPATCH_TICK: Duration = Duration::from_millis(10);

/// State that several parts need.
struct Common {
    daemon: DaemonId,
    traffic: Arc<Traffic>,
    control: mpsc::Sender<control::Event>,
    pending: Arc<Pending>,
    change_log: Arc<ChangeLog>,
    kv: kv::Client,
}

/// Creates and starts all parts; must be called within the runtime.
pub(crate) fn assemble(settings: Settings, runtime: &Handle) -> Result<Running, StartError> {
    let (operator, operators) = listen(settings.operator, "operators")?;
    let (peer, peers) = listen(settings.peer, "peers")?;
    let seed = settings.seed.unwrap_or_else(|| rand::rng().random());
    let (zone, seeds) = (settings.zone.clone(), settings.peers.clone());
    let identity = Identity { daemon: daemon_id(&settings), zone, address: peer, seed };
    let (control, inbox) = mpsc::channel(CONTROL_QUEUE);
    let (exports, exported) = mpsc::channel(EXPORT_QUEUE);
    let kv = kv::Client::new(settings.kv.clone());
    let metrics = Metrics::new().map_err(|error| StartError::Client(error.to_string()))?;
    let traffic = Traffic::new(settings, seed, metrics, runtime.clone(), control.clone(), exports);
    let common = Common {
        daemon: identity.daemon.clone(),
        traffic: Arc::new(traffic),
        control,
        pending: Arc::default(),
        change_log: Arc::default(),
        kv,
    };
    let (caller, callers) = serve_callers(&common.traffic)?;
    let servers = vec![callers, serve_operators(&common, operators)?, serve_peers(&common, peers)?];
    runtime.spawn(transfer::export_all(common.traffic.clone(), exported));
    runtime.spawn(poll::engines(common.traffic.clone(), common.daemon.clone()));
    runtime.spawn(poll::list(common.traffic.clone(), common.control.clone()));
    runtime.spawn(tick(common.traffic.clone()));
    let (stopped_sender, stopped) = watch::channel(false);
    let killed = CancellationToken::new();
    start_control(&common, Control::new(identity, seeds), inbox, stopped_sender, killed.clone())?;
    let Common { traffic, control, .. } = common;
    let addresses = Addresses { caller, operator, peer };
    Ok(Running { addresses, traffic, control, servers, stopped, killed, runtime: None })
}

fn serve_callers(traffic: &Arc<Traffic>) -> Result<(SocketAddr, Serving), StartError> {
    let settings = &traffic.settings;
    let limits = Limits {
        body_bytes: settings.limits.body_bytes,
        head_bytes: settings.limits.head_bytes,
        connections: settings.limits.connections,
        stall_timeout: settings.times.stall,
    };
    let address = settings.caller;
    let server = Server::bind(address, Arc::new(Callers(traffic.clone())), limits)
        .map_err(|source| StartError::Listen { address, audience: "callers", source })?;
    let (address, handle) = (server.address(), server.handle());
    let task = tokio::spawn(async move {
        if let Err(error) = server.serve().await {
            tracing::error!(%error, "server for callers failed");
        }
    });
    Ok((address, Serving { handle, task, drain_timeout: None }))
}

fn serve_operators(common: &Common, listener: TcpListener) -> io::Result<Serving> {
    let keys = Keys::new(common.traffic.settings.operators.clone());
    let operators = Operators {
        daemon: common.daemon.clone(),
        traffic: common.traffic.clone(),
        control: common.control.clone(),
        pending: common.pending.clone(),
        change_log: common.change_log.clone(),
        kv: common.kv.clone(),
    };
    let routes = acacia_operator::server::router(Arc::new(operators), Arc::new(keys));
    let routes = Router::new().push(routes).push(observe::router(&common.traffic));
    serve(listener, routes, OPERATOR_DRAIN_TIMEOUT)
}

fn serve_peers(common: &Common, listener: TcpListener) -> io::Result<Serving> {
    let control = common.control.clone();
    let sink = move |batch: Vec<Envelope>| {
        for envelope in batch {
            if control.try_send(control::Event::Message(envelope)).is_err() {
                return Delivery::Full;
            }
        }
        Delivery::Taken
    };
    serve(listener, acacia_peer::server::router(sink, Arc::default()), PEER_DRAIN_TIMEOUT)
}

fn start_control(
    common: &Common,
    control: Control,
    inbox: mpsc::Receiver<control::Event>,
    stopped: watch::Sender<bool>,
    killed: CancellationToken,
) -> Result<(), StartError> {
    let peers = acacia_peer::Client::new().map_err(|e| StartError::Client(e.to_string()))?;
    let thread = Thread {
        daemon: common.daemon.clone(),
        control,
        inbox,
        traffic: common.traffic.clone(),
        kv: common.kv.clone(),
        peers,
        pending: common.pending.clone(),
        change_log: common.change_log.clone(),
        stopped,
        killed,
    };
    thread.spawn()?;
    Ok(())
}

/// Serves the routes on the listener.
fn serve(listener: TcpListener, routes: Router, drain_timeout: Duration) -> io::Result<Serving> {
    let server = salvo::Server::new(TcpAcceptor::try_from(listener)?);
    let handle = server.handle();
    let task = tokio::spawn(async move {
        if let Err(error) = server.try_serve(routes).await {
            tracing::error!(%error, "server for operators or peers failed");
        }
    });
    Ok(Serving { handle, task, drain_timeout: Some(drain_timeout) })
}

fn listen(
    address: SocketAddr,
    audience: &'static str,
) -> Result<(SocketAddr, TcpListener), StartError> {
    let bind = || {
        let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
        socket.set_reuseaddr(true)?;
        socket.set_nodelay(true)?;
        socket.bind(address)?;
        let listener = socket.listen(ACCEPT_BACKLOG)?;
        Ok((listener.local_addr()?, listener))
    };
    bind().map_err(|source| StartError::Listen { address, audience, source })
}

/// An id unique to this incarnation, made of the configured name and a random suffix.
fn daemon_id(settings: &Settings) -> DaemonId {
    let suffix: u32 = rand::rng().random();
    format!("{}-{suffix:08x}", settings.name).into()
}

/// Sends ticks to the dispatcher.
async fn tick(traffic: Arc<Traffic>) {
    let mut ticks = interval(DISPATCH_TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        traffic.step(dispatch::Event::Tick);
    }
}
