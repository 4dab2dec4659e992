//! A TCP proxy that can stall, delay, refuse and reset connections.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Most bytes forwarded at a time.
const BUFFER_BYTES: usize = 16 << 10;

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
    /// Bytes from the server are held until the mode ends; those from callers are forwarded.
    StallServer,
    /// All bytes are held until the mode ends.
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
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let (mode, modes) = watch::channel(Mode::default());
        let (resets, reset) = watch::channel(0);
        let task = tokio::spawn(serve(listener, server, modes, reset));
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

async fn serve(
    listener: TcpListener,
    server: SocketAddr,
    modes: watch::Receiver<Mode>,
    resets: watch::Receiver<u64>,
) {
    loop {
        // The caller reconnects if its connection could not be accepted.
        let Ok((caller, _)) = listener.accept().await else { continue };
        if *modes.borrow() == Mode::Refuse {
            abort(&caller);
            continue;
        }
        let (modes, mut resets) = (modes.clone(), resets.clone());
        resets.mark_unchanged();
        tokio::spawn(async move {
            let Ok(server) = TcpStream::connect(server).await else {
                abort(&caller);
                return;
            };
            // Handles to reset the connections while the halves of the streams are in use.
            let sockets = [&caller, &server].map(|stream| SockRef::from(stream).try_clone());
            let (from_caller, to_caller) = caller.into_split();
            let (from_server, to_server) = server.into_split();
            let both = async {
                tokio::join!(
                    forward(from_caller, to_server, modes.clone(), Sender::Caller),
                    forward(from_server, to_caller, modes.clone(), Sender::Server),
                );
            };
            tokio::select! {
                () = both => {}
                _ = resets.changed() => {
                    for socket in sockets.into_iter().flatten() {
                        // If this fails, the peer sees an orderly close instead of a reset.
                        let _ = socket.set_linger(Some(Duration::ZERO));
                    }
                }
            }
        });
    }
}

/// Makes the connection close with a reset.
fn abort(stream: &TcpStream) {
    // If this fails, the peer sees an orderly close instead of a reset.
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// Changes the version of the request that begins in these bytes, if one does.
fn lower_version(bytes: &mut [u8]) {
    let end = bytes.windows(VERSION.len()).position(|window| window == VERSION);
    if let Some(at) = end {
        bytes[at..at + VERSION.len()].copy_from_slice(LOWER_VERSION);
    }
}

/// Forwards bytes until their sender closes the connection.
async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut modes: watch::Receiver<Mode>,
    sender: Sender,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok(count @ 1..) = from.read(&mut buffer).await {
        let released = modes.wait_for(|mode| mode.wait(sender).is_some()).await;
        let mode = released.map_or(Mode::Pass, |mode| *mode);
        tokio::time::sleep(mode.wait(sender).unwrap_or_default()).await;
        if mode == Mode::UntilClose && sender == Sender::Caller {
            lower_version(&mut buffer[..count]);
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
    // Fails if the other side has closed first.
    let _ = to.shutdown().await;
}
