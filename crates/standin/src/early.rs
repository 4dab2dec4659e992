//! A server that answers long requests before it has read them, and resets the connection.
//!
//! It blocks its thread from the answer until the reset has arrived. A client on the same thread
//! thus sees both at the same time, as on a busy machine.

use std::io::{self, Write};
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::JoinHandle;

/// Size of a request, in bytes, that is more than the buffers of both sockets take.
pub const LONG_BYTES: usize = 8 << 20;
/// Receive window, in bytes.
const WINDOW_BYTES: u32 = 4 << 10;
/// Time in which clients write what the kernel takes of their requests.
const WRITE_TIME: Duration = Duration::from_millis(100);
/// Time in which the kernel delivers the answer and the reset.
const DELIVERY_TIME: Duration = Duration::from_millis(20);

/// A running server, which ends when it is dropped.
#[derive(Debug)]
pub struct Server {
    /// Its address.
    pub address: SocketAddr,
    task: JoinHandle<()>,
}

impl Server {
    /// Starts a server that gives this answer to each request.
    ///
    /// # Errors
    /// If no port can be bound.
    pub fn start(answer: impl Into<Bytes>) -> io::Result<Self> {
        let answer = answer.into();
        let socket = TcpSocket::new_v4()?;
        socket.set_recv_buffer_size(WINDOW_BYTES)?;
        socket.bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let listener = socket.listen(16)?;
        let address = listener.local_addr()?;
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                // A client that leaves first needs no answer.
                let _ = answer_early(stream, &answer).await;
            }
        });
        Ok(Self { address, task })
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Reads the head of a request, answers and resets the connection.
async fn answer_early(mut stream: TcpStream, answer: &[u8]) -> io::Result<()> {
    let mut head = Vec::new();
    while !head.windows(4).any(|window| window == b"\r\n\r\n") {
        if stream.read_buf(&mut head).await? == 0 {
            return Ok(());
        }
    }
    tokio::time::sleep(WRITE_TIME).await;
    let mut stream = stream.into_std()?;
    stream.set_nonblocking(false)?;
    stream.write_all(answer)?;
    SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
    drop(stream);
    std::thread::sleep(DELIVERY_TIME);
    Ok(())
}
