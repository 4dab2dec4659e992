//! A TCP proxy that can stall, delay, refuse and reset connections, all or those of one process.

use std::future::pending;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use futures::FutureExt;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::cut::{Cut, Cuts, Owner, Table};

/// Most bytes forwarded at a time.
const BUFFER_BYTES: usize = 16 << 10;

/// Interval between checks whether a connection that is held has been closed.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// End of the first line of a request.
const VERSION: &[u8] = b" HTTP/1.1\r\n";
const LOWER_VERSION: &[u8] = b" HTTP/1.0\r\n";

/// A proxy in front of one server; dropping it resets all connections.
pub struct Proxy {
    /// Address that it listens on.
    pub address: SocketAddr,
    mode: watch::Sender<Mode>,
    resets: watch::Sender<u64>,
    task: JoinHandle<()>,
}

/// How connections are treated.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Mode {
    /// Bytes are forwarded at once.
    #[default]
    Pass,
    /// Bytes are forwarded after a delay.
    Delay(Duration),
    /// Bytes from the server are held until the mode ends, as is the end of the connection; those
    /// from callers are forwarded.
    StallServer,
    /// All bytes and the ends of connections are held until the mode ends.
    Stall,
    /// New connections are reset.
    Refuse,
    /// Requests are forwarded as HTTP/1.0, which has no chunks: an answer without a length ends with
    /// its connection.
    UntilClose,
}

/// Sender of bytes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Sender {
    Caller,
    Server,
}

impl Mode {
    /// How long bytes wait; `None` if they wait until the mode changes.
    fn wait(self, sender: Sender) -> Option<Duration> {
        match (self, sender) {
            (Self::Delay(time), _) => Some(time),
            (Self::Stall, _) | (Self::StallServer, Sender::Server) => None,
            _ => Some(Duration::ZERO),
        }
    }
}

impl Proxy {
    /// Starts a proxy on a free loopback port.
    ///
    /// # Errors
    /// If the port can't be bound.
    pub async fn start(server: SocketAddr) -> io::Result<Self> {
        Self::start_with(server, Cuts::default()).await
    }

    /// Starts a proxy on a free loopback port, with the cuts of a deployment.
    ///
    /// # Errors
    /// If the port can't be bound.
    pub async fn start_with(server: SocketAddr, cuts: Cuts) -> io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let (mode, modes) = watch::channel(Mode::default());
        let (resets, reset) = watch::channel(0);
        let task = tokio::spawn(serve(listener, server, cuts, modes, reset));
        Ok(Self { address, mode, resets, task })
    }

    /// Changes the mode.
    pub fn set(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }

    /// Resets every open connection.
    pub fn reset(&self) {
        self.resets.send_modify(|count| *count += 1);
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
        self.reset();
    }
}

/// A reset of a connection, which is passed on to its other side.
struct Reset;

/// How the connection to one side ended.
#[derive(Debug, Default)]
struct End {
    /// Whether a write found that it was reset. The kernel reports a reset once, so a read would see an
    /// orderly end.
    is_reset: AtomicBool,
}

/// What currently applies to a connection.
#[derive(Clone)]
struct Gate {
    modes: watch::Receiver<Mode>,
    cuts: watch::Receiver<Table>,
    owner: Owner,
}

impl Gate {
    fn cut(&self) -> Option<Cut> {
        self.owner.cut(&self.cuts.borrow())
    }

    /// Waits until bytes of this sender may pass. Returns the mode, and whether they were held.
    async fn pass(&mut self, sender: Sender) -> (Mode, bool) {
        let mut is_held = false;
        loop {
            let mode = *self.modes.borrow_and_update();
            let cut = self.owner.cut(&self.cuts.borrow_and_update());
            if let (Some(time), false) = (mode.wait(sender), cut == Some(Cut::Hang)) {
                tokio::time::sleep(time).await;
                return (mode, is_held);
            }
            is_held = true;
            let changed = tokio::select! {
                changed = self.modes.changed() => changed,
                changed = self.cuts.changed() => changed,
            };
            if changed.is_err() {
                // The proxy is dropped, which resets the connection.
                pending::<()>().await;
            }
        }
    }

    /// Waits until a new connection may reach its server.
    async fn admit(&mut self, caller: &TcpStream) -> Result<(), Reset> {
        let owner = self.owner;
        if self.cut() == Some(Cut::Hang) {
            let ended = tokio::select! {
                ended = self.cuts.wait_for(|table| owner.cut(table) != Some(Cut::Hang)) => ended.is_ok(),
                // Connections that are given up would use up the descriptors during a long cut.
                () = closed(caller) => false,
            };
            if !ended || is_closed(caller) {
                return Err(Reset);
            }
        }
        match self.cut() {
            Some(Cut::Reset | Cut::RefuseNew) => Err(Reset),
            _ => Ok(()),
        }
    }

    /// Waits until open connections are reset.
    async fn reset(&mut self) {
        let owner = self.owner;
        let is_reset = |table: &Table| owner.cut(table) == Some(Cut::Reset);
        if self.cuts.wait_for(is_reset).await.is_err() {
            pending::<()>().await;
        }
    }
}

async fn serve(
    listener: TcpListener,
    server: SocketAddr,
    cuts: Cuts,
    modes: watch::Receiver<Mode>,
    resets: watch::Receiver<u64>,
) {
    loop {
        // The caller reconnects if its connection could not be accepted.
        let Ok((caller, peer)) = listener.accept().await else { continue };
        if *modes.borrow() == Mode::Refuse {
            abort(&caller);
            continue;
        }
        let (modes, mut resets, cuts) = (modes.clone(), resets.clone(), cuts.clone());
        resets.mark_unchanged();
        let Ok(local) = caller.local_addr() else { continue };
        let owner = cuts.owner(peer, local);
        tokio::spawn(async move {
            let gate = Gate { modes, cuts: cuts.subscribe(), owner: owner.await };
            relay(caller, server, gate, resets).await;
        });
    }
}

/// Connects to the server and forwards bytes until the connection ends.
async fn relay(
    mut caller: TcpStream,
    server: SocketAddr,
    mut gate: Gate,
    mut resets: watch::Receiver<u64>,
) {
    let opened = async {
        gate.admit(&caller).await?;
        TcpStream::connect(server).await.map_err(|_| Reset)
    };
    let opened = tokio::select! {
        opened = opened => opened,
        _ = resets.changed() => Err(Reset),
    };
    let Ok(mut server) = opened else {
        abort(&caller);
        return;
    };
    let ended = {
        let (from_caller, to_caller) = caller.split();
        let (from_server, to_server) = server.split();
        let ends = [End::default(), End::default()];
        let [caller_end, server_end] = &ends;
        let both = async {
            tokio::try_join!(
                forward(
                    (from_caller, caller_end),
                    (to_server, server_end),
                    gate.clone(),
                    Sender::Caller
                ),
                forward(
                    (from_server, server_end),
                    (to_caller, caller_end),
                    gate.clone(),
                    Sender::Server
                ),
            )
        };
        let mut gate = gate.clone();
        tokio::select! {
            ended = both => ended.map(|_| ()),
            _ = resets.changed() => Err(Reset),
            () = gate.reset() => Err(Reset),
        }
    };
    if ended.is_err() {
        abort(&caller);
        abort(&server);
    }
}

/// Makes the connection close with a reset.
fn abort(stream: &TcpStream) {
    // If this fails, the peer sees an orderly close instead of a reset.
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// Whether the peer has closed or reset the connection; bytes before that may still be unread.
fn is_closed(stream: &TcpStream) -> bool {
    let ready = stream.ready(Interest::READABLE).now_or_never();
    ready.is_some_and(|ready| ready.map_or(true, |ready| ready.is_read_closed()))
}

/// Waits until the peer has closed or reset the connection.
async fn closed(stream: &TcpStream) {
    while !is_closed(stream) {
        tokio::time::sleep(CLOSE_CHECK_INTERVAL).await;
    }
}

/// Whether the peer has reset the connection; bytes before that may still be unread.
fn is_reset(stream: &TcpStream) -> bool {
    !matches!(stream.take_error(), Ok(None))
}

/// Changes the version of the request that begins in these bytes, if one does.
fn lower_version(bytes: &mut [u8]) {
    let end = bytes.windows(VERSION.len()).position(|window| window == VERSION);
    if let Some(at) = end {
        bytes[at..at + VERSION.len()].copy_from_slice(LOWER_VERSION);
    }
}

/// Forwards bytes until their sender closes the connection. As in a network, bytes that are held
/// are lost if one side resets the connection meanwhile.
async fn forward(
    (mut from, from_end): (ReadHalf<'_>, &End),
    (mut to, to_end): (WriteHalf<'_>, &End),
    mut gate: Gate,
    sender: Sender,
) -> Result<(), Reset> {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let read = from.read(&mut buffer).await;
        let (mode, is_held) = gate.pass(sender).await;
        if is_held && (is_reset(from.as_ref()) || is_reset(to.as_ref())) {
            return Err(Reset);
        }
        let count = read.map_err(|_| Reset)?;
        if count == 0 && from_end.is_reset.load(Ordering::Relaxed) {
            return Err(Reset);
        }
        if count == 0 {
            // Fails if the other side has closed first.
            let _ = to.shutdown().await;
            return Ok(());
        }
        if mode == Mode::UntilClose && sender == Sender::Caller {
            lower_version(&mut buffer[..count]);
        }
        if let Err(error) = to.write_all(&buffer[..count]).await {
            // `EPIPE` means that the other side had closed its side before.
            let is_reset = error.kind() != io::ErrorKind::BrokenPipe;
            to_end.is_reset.store(is_reset, Ordering::Relaxed);
            return Ok(());
        }
    }
}
