//! A caller's connection.
//!
//! An answer to a caller of HTTP/1.0 has no chunks and ends with its connection. A close then looks
//! like the end of the answer, also if the answer was broken off or the process killed. From the
//! request on, such a connection is therefore set to be reset, until the answer is complete.

use std::cell::Cell;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::timer::Activity;

/// Size limit of one read, in bytes. hyper enlarges its buffer, up to the longest head, after each
/// read that fills it.
const READ_BYTES: usize = (8 << 10) - 1;

/// A caller's connection, as hyper uses it.
pub struct Socket {
    stream: TcpStream,
    closing: Rc<Cell<Closing>>,
    activity: Activity,
}

/// What the end of the connection means to the caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Closing {
    /// Nothing: answers state their ends.
    Plain,
    /// The end of the answer; the connection is to be reset unless the answer is complete.
    Requested,
    /// As `Requested`, and the operating system has been told.
    Armed,
}

impl Socket {
    /// Wraps a connection; `closing` is changed to [`Closing::Requested`] by its owner, and
    /// `activity` records the arrival of bytes.
    pub fn new(stream: TcpStream, closing: Rc<Cell<Closing>>, activity: Activity) -> Self {
        Self { stream, closing, activity }
    }

    /// Makes the operating system reset the connection when it is closed, if that was requested.
    fn arm(&self) -> io::Result<()> {
        if self.closing.get() == Closing::Requested {
            SockRef::from(&self.stream).set_linger(Some(Duration::ZERO))?;
            self.closing.set(Closing::Armed);
        }
        Ok(())
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let limit = buffer.remaining().min(READ_BYTES);
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(limit));
        let polled = Pin::new(&mut self.stream).poll_read(context, &mut part);
        let received = part.filled().len();
        buffer.advance(received);
        if received > 0 {
            self.activity.receive();
        }
        polled
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.arm()?;
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.arm()?;
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    /// Called by hyper after a complete answer only.
    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.closing.get() == Closing::Armed {
            SockRef::from(&self.stream).set_linger(None)?;
            self.closing.set(Closing::Plain);
        }
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
