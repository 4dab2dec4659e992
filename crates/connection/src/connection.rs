//! One connection, from its first request to its last.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::Method;
use socket2::{SockRef, TcpKeepalive};
use strum::{Display, IntoStaticStr};
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::body::{Body, Piece};
use crate::head::Head;

/// Room that is read into at once.
const READ_SIZE: usize = 8 << 10;
/// Largest head of an answer.
const HEAD_LIMIT: usize = 64 << 10;

/// Why an exchange failed.
#[derive(Clone, Copy, Debug, Display, Eq, Error, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Fault {
    /// The bytes are no answer in HTTP/1.
    #[strum(to_string = "the peer sent bytes that are no answer")]
    Malformed,
    /// The peer closed in the middle.
    #[strum(to_string = "the peer closed the connection before the end of its answer")]
    Closed,
    /// The connection was reset.
    #[strum(to_string = "the connection was reset")]
    Reset,
    /// The peer's machine acknowledges nothing.
    #[strum(to_string = "the peer's machine does not answer")]
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

/// How a connection finds out that its peer is gone.
#[derive(Clone, Copy, Debug)]
pub struct KeepAlive {
    /// Silence before the first probe.
    pub idle: Duration,
    /// Time between probes.
    pub interval: Duration,
    /// Probes without an answer.
    pub probes: u32,
    /// Longest time that sent bytes may go without an acknowledgement.
    pub user_timeout: Duration,
}

/// State of a connection between two exchanges.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum IdleState {
    /// Nothing came.
    Quiet,
    /// The peer closed it.
    Closed,
    /// Bytes came that belong to no request.
    Unsolicited,
}

/// A connection to a peer.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    buffer: BytesMut,
    method: Method,
    body: Body,
    whole: bool,
}

impl Connection {
    /// Connects.
    ///
    /// # Errors
    /// If the peer refuses or does not answer in time.
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
            body: Body::Done,
            whole: true,
        })
    }

    /// Writes a request.
    ///
    /// Ends early, and leaves the connection for this exchange only, where the peer answers before
    /// it has read all.
    ///
    /// # Errors
    /// If the connection breaks before anything was answered.
    pub async fn send(&mut self, method: &Method, head: &Bytes, body: &Bytes) -> Result<(), Fault> {
        self.method = method.clone();
        self.whole = false;
        let mut bytes;
        let bytes: &[u8] = if body.is_empty() {
            head
        } else {
            bytes = BytesMut::with_capacity(head.len() + body.len());
            bytes.extend_from_slice(head);
            bytes.extend_from_slice(body);
            &bytes
        };
        let (mut reader, mut writer) = self.stream.split();
        tokio::select! {
            biased;
            written = writer.write_all(bytes) => match written {
                Ok(()) => self.whole = true,
                // A peer that rejects a request may have closed before it read all; its answer
                // can still be there.
                Err(error) => return match error.into() {
                    Fault::Unacknowledged => Err(Fault::Unacknowledged),
                    _ => self.fill().await.map(|_| ()),
                },
            },
            read = reader.read_buf(&mut self.buffer) => {
                if read? == 0 {
                    return Err(Fault::Closed);
                }
            }
        }
        Ok(())
    }

    /// Reads the head of the next answer. Interim answers are passed over.
    ///
    /// # Errors
    /// If the connection ends before, or if the bytes are no answer.
    pub async fn head(&mut self) -> Result<Head, Fault> {
        loop {
            match Head::parse(&mut self.buffer, &self.method)? {
                Some(head) if head.status == 101 => return Err(Fault::Malformed),
                Some(head) if head.status.is_informational() => {}
                Some(head) => {
                    self.body = Body::new(head.framing);
                    self.whole &= head.keeps_alive;
                    return Ok(head);
                }
                None if self.buffer.len() > HEAD_LIMIT => return Err(Fault::Malformed),
                None => {
                    if self.fill().await? == 0 {
                        return Err(Fault::Closed);
                    }
                }
            }
        }
    }

    /// Reads more of the answer's body; nothing at its end.
    ///
    /// # Errors
    /// If the connection ends before the body does, or if its chunks are malformed.
    pub async fn chunk(&mut self) -> Result<Option<Bytes>, Fault> {
        loop {
            match self.body.take(&mut self.buffer)? {
                Piece::Bytes(bytes) => return Ok(Some(bytes)),
                Piece::End => return Ok(None),
                Piece::More => {}
            }
            if self.fill().await? == 0 {
                if self.body == Body::Close {
                    self.body = Body::Done;
                    return Ok(None);
                }
                return Err(Fault::Closed);
            }
        }
    }

    /// Reads the rest of a body.
    ///
    /// # Errors
    /// As [`Connection::chunk`], and if the body is larger than `limit`.
    pub async fn body(&mut self, limit: usize) -> Result<Bytes, Fault> {
        let Some(first) = self.chunk().await? else { return Ok(Bytes::new()) };
        let Some(second) = self.chunk().await? else { return Ok(first) };
        let mut whole = BytesMut::from(first);
        whole.extend_from_slice(&second);
        while let Some(more) = self.chunk().await? {
            if whole.len() + more.len() > limit {
                return Err(Fault::Malformed);
            }
            whole.extend_from_slice(&more);
        }
        Ok(whole.freeze())
    }

    /// Whether another request may follow: the exchange ended whole and no byte is left over.
    pub fn is_reusable(&self) -> bool {
        self.whole && self.body == Body::Done && self.buffer.is_empty()
    }

    /// What the peer did since the last answer.
    pub fn idle_state(&self) -> IdleState {
        let mut byte = [std::mem::MaybeUninit::uninit()];
        match SockRef::from(&self.stream).peek(&mut byte) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => IdleState::Quiet,
            Ok(0) | Err(_) => IdleState::Closed,
            Ok(_) => IdleState::Unsolicited,
        }
    }

    async fn fill(&mut self) -> Result<usize, Fault> {
        if self.buffer.capacity() - self.buffer.len() < READ_SIZE / 4 {
            self.buffer.reserve(READ_SIZE);
        }
        Ok(self.stream.read_buf(&mut self.buffer).await?)
    }
}
