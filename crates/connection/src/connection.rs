//! HTTP/1.1 connection that runs one exchange at a time.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use http::Method;
use socket2::{SockRef, TcpKeepalive};
use strum::{Display, IntoStaticStr};
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::body::{Decoder, Segment};
use crate::head::Head;

/// Free space of the buffer for one read.
const READ_BYTES: usize = 8 << 10;
/// Maximum size of a response head.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Maximum number of interim responses before a response.
const MAX_INTERIM_RESPONSES: usize = 16;
/// Size of a request that a peer's receive window takes even while the peer reads nothing.
const WINDOW_BYTES: usize = 16 << 10;

/// Why an exchange failed.
#[derive(Clone, Copy, Debug, Display, Eq, Error, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Fault {
    /// The bytes are not a valid HTTP/1 response.
    #[strum(to_string = "the peer sent a malformed HTTP/1 response")]
    Malformed,
    /// The peer closed the connection before the response was complete.
    #[strum(to_string = "the peer closed the connection before the end of its response")]
    Closed,
    /// The connection was reset.
    #[strum(to_string = "the connection was reset")]
    Reset,
    /// The peer's machine doesn't acknowledge data or is unreachable.
    #[strum(to_string = "the peer's machine does not acknowledge data or is unreachable")]
    Unacknowledged,
}

impl From<io::Error> for Fault {
    fn from(error: io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::TimedOut | io::ErrorKind::HostUnreachable => Self::Unacknowledged,
            _ => Self::Reset,
        }
    }
}

/// TCP settings that detect an unreachable peer.
#[derive(Clone, Copy, Debug)]
pub struct KeepAlive {
    /// Idle time before the first probe.
    pub idle: Duration,
    /// Time between probes.
    pub interval: Duration,
    /// Unanswered probes after which the connection fails.
    pub probes: u32,
    /// Longest time that the bytes of a short request may stay unacknowledged (`TCP_USER_TIMEOUT`).
    /// A request that may not fit into the peer's receive window has no such limit.
    pub user_timeout: Duration,
}

/// State of a connection that waits for the next request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum IdleState {
    /// Open, with no bytes received.
    Quiet,
    /// Closed by the peer.
    Closed,
    /// The peer sent bytes that answer no request.
    Unsolicited,
}

/// A connection to a peer.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    buffer: BytesMut,
    method: Method,
    body: Decoder,
    user_timeout: Duration,
    /// Whether the user timeout is in force.
    is_limited: bool,
    /// Why a write failed, unless the peer had closed its side before. The kernel reports a reset to one
    /// call only; after a write got it, reads return the bytes that arrived, and then an orderly end.
    write_fault: Option<Fault>,
    /// Whether the request was fully written and the peer keeps the connection open.
    can_reuse: bool,
}

impl Connection {
    /// Connects to a peer.
    ///
    /// # Errors
    /// If the peer refuses the connection or doesn't accept it within `timeout`.
    pub async fn open(
        address: SocketAddr,
        timeout: Duration,
        keep_alive: KeepAlive,
    ) -> io::Result<Self> {
        let connecting = TcpStream::connect(address);
        let stream = tokio::time::timeout(timeout, connecting)
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        stream.set_nodelay(true)?;
        let socket = SockRef::from(&stream);
        let probes = TcpKeepalive::new().with_time(keep_alive.idle);
        let probes = probes.with_interval(keep_alive.interval).with_retries(keep_alive.probes);
        socket.set_tcp_keepalive(&probes)?;
        socket.set_tcp_user_timeout(Some(keep_alive.user_timeout))?;
        Ok(Self {
            stream,
            buffer: BytesMut::new(),
            method: Method::GET,
            body: Decoder::Done,
            user_timeout: keep_alive.user_timeout,
            is_limited: true,
            write_fault: None,
            can_reuse: true,
        })
    }

    /// Writes a request.
    ///
    /// Returns early if the peer responds before it has read the entire request; the connection is
    /// then not reusable. How long the peer may take to read a long request is up to the caller.
    ///
    /// # Errors
    /// If the connection breaks before the peer sends anything.
    pub async fn send(&mut self, method: &Method, head: &Bytes, body: &Bytes) -> Result<(), Fault> {
        self.method = method.clone();
        self.can_reuse = false;
        self.limit(head.len() + body.len())?;
        // Both are written at once where they fit, and a long body isn't copied.
        let mut bytes = head.clone().chain(body.clone());
        let (mut reader, mut writer) = self.stream.split();
        tokio::select! {
            biased;
            written = writer.write_all_buf(&mut bytes) => match written {
                Ok(()) => self.can_reuse = true,
                // A peer that rejects a request may close the connection before it has read the
                // entire request; its response can still be read.
                Err(error) => {
                    // Linux returns `EPIPE` if the peer closed its side before the reset. The end that
                    // reads return is the peer's own then.
                    let is_closed = error.kind() == io::ErrorKind::BrokenPipe;
                    match Fault::from(error) {
                        Fault::Unacknowledged => return Err(Fault::Unacknowledged),
                        fault if !is_closed => self.write_fault = Some(fault),
                        _ => {}
                    }
                    self.read_more().await?;
                }
            },
            read = reader.read_buf(&mut self.buffer) => {
                if read? == 0 {
                    return Err(Fault::Closed);
                }
            }
        }
        Ok(())
    }

    /// Reads the head of the response and skips interim responses.
    ///
    /// # Errors
    /// If the connection ends before the head does, if the head is malformed, or after too many
    /// interim responses.
    pub async fn head(&mut self) -> Result<Head, Fault> {
        let mut interim_responses = 0;
        loop {
            match Head::parse(&mut self.buffer, &self.method)? {
                Some(head) if head.status == 101 => return Err(Fault::Malformed),
                Some(head) if head.status.is_informational() => {
                    interim_responses += 1;
                    if interim_responses > MAX_INTERIM_RESPONSES {
                        return Err(Fault::Malformed);
                    }
                }
                Some(head) => {
                    self.body = Decoder::new(head.framing);
                    self.can_reuse &= head.keeps_alive;
                    return Ok(head);
                }
                None if self.buffer.len() > MAX_HEAD_BYTES => return Err(Fault::Malformed),
                None => {
                    if self.read_more().await? == 0 {
                        self.can_reuse = false;
                        return Err(Fault::Closed);
                    }
                }
            }
        }
    }

    /// Reads the next bytes of the response body; `None` at its end.
    ///
    /// # Errors
    /// If the connection ends before the body does, or if the chunked encoding is malformed.
    pub async fn chunk(&mut self) -> Result<Option<Bytes>, Fault> {
        loop {
            match self.body.decode(&mut self.buffer)? {
                Segment::Bytes(bytes) => return Ok(Some(bytes)),
                Segment::End => return Ok(None),
                Segment::Incomplete => {}
            }
            if self.read_more().await? == 0 {
                if self.body == Decoder::UntilClose {
                    self.body = Decoder::Done;
                    return Ok(None);
                }
                return Err(Fault::Closed);
            }
        }
    }

    /// Reads the rest of the response body.
    ///
    /// # Errors
    /// As [`Connection::chunk`], and if the body exceeds `max_bytes`.
    pub async fn body(&mut self, max_bytes: usize) -> Result<Bytes, Fault> {
        self.body_while(|bytes| bytes <= max_bytes).await
    }

    /// Reads the rest of the response body, asking before each chunk whether a body of this many
    /// bytes is still accepted.
    ///
    /// # Errors
    /// As [`Connection::chunk`], and if the body is not accepted.
    pub async fn body_while(
        &mut self,
        mut accepts: impl FnMut(usize) -> bool,
    ) -> Result<Bytes, Fault> {
        let mut check = |bytes| if accepts(bytes) { Ok(()) } else { Err(Fault::Malformed) };
        let Some(first) = self.chunk().await? else { return Ok(Bytes::new()) };
        check(first.len())?;
        let Some(second) = self.chunk().await? else { return Ok(first) };
        let mut body = BytesMut::from(first);
        let mut next = Some(second);
        while let Some(chunk) = next {
            check(body.len() + chunk.len())?;
            body.extend_from_slice(&chunk);
            next = self.chunk().await?;
        }
        Ok(body.freeze())
    }

    /// Skips the rest of the response body.
    ///
    /// # Errors
    /// As [`Connection::chunk`], and if the body exceeds `max_bytes`.
    pub async fn discard(&mut self, max_bytes: usize) -> Result<(), Fault> {
        let mut skipped = 0;
        while let Some(chunk) = self.chunk().await? {
            skipped += chunk.len();
            if skipped > max_bytes {
                return Err(Fault::Malformed);
            }
        }
        Ok(())
    }

    /// Whether another request may follow: the exchange is complete and no bytes are left over.
    pub fn is_reusable(&self) -> bool {
        self.can_reuse && self.body == Decoder::Done && self.buffer.is_empty()
    }

    /// Makes the connection close with a reset, so that the operating system sends nothing of the
    /// request any more.
    ///
    /// # Errors
    /// If the connection has failed.
    pub fn abort(&self) -> io::Result<()> {
        SockRef::from(&self.stream).set_linger(Some(Duration::ZERO))
    }

    /// What the peer has done since the last response.
    pub fn idle_state(&self) -> IdleState {
        let mut byte = [std::mem::MaybeUninit::uninit()];
        match SockRef::from(&self.stream).peek(&mut byte) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => IdleState::Quiet,
            Ok(0) | Err(_) => IdleState::Closed,
            Ok(_) => IdleState::Unsolicited,
        }
    }

    /// Applies the user timeout to a request of this size, or lifts it.
    fn limit(&mut self, request_bytes: usize) -> io::Result<()> {
        // The kernel counts the time for which the peer's window is closed, too, even if the peer
        // acknowledges each probe.
        let is_limited = request_bytes <= WINDOW_BYTES;
        if is_limited != self.is_limited {
            let timeout = is_limited.then_some(self.user_timeout);
            SockRef::from(&self.stream).set_tcp_user_timeout(timeout)?;
            self.is_limited = is_limited;
        }
        Ok(())
    }

    /// Reads more bytes into the buffer; zero at the end of what the peer sent.
    async fn read_more(&mut self) -> Result<usize, Fault> {
        if self.buffer.capacity() - self.buffer.len() < READ_BYTES / 4 {
            self.buffer.reserve(READ_BYTES);
        }
        let count = self.stream.read_buf(&mut self.buffer).await?;
        self.write_fault.filter(|_| count == 0).map_or(Ok(count), Err)
    }
}
