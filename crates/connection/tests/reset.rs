//! Answers that arrive while a long request is still being written, from a peer that then resets or
//! closes the connection.
//!
//! The peer uses blocking calls on the only thread of the runtime, so the connection can see the
//! answer and the end at the same time, like a process that had to wait for a processor.

#![expect(clippy::unwrap_used, reason = "a helper that fails fails its test")]

use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::Duration;

use acacia_connection::{Connection, Fault, KeepAlive, encode_head};
use bytes::Bytes;
use http::{HeaderMap, Method};
use socket2::SockRef;
use tokio::net::TcpSocket;

const TIMEOUT: Duration = Duration::from_secs(20);
/// Size of a request, in bytes; more than the buffers of both sockets take.
const REQUEST_BYTES: usize = 32 << 20;
/// Receive window of the peer, in bytes.
const WINDOW_BYTES: u32 = 16 << 10;
/// Time for the kernel to deliver what one side of a connection has done.
const DELIVERY_TIME: Duration = Duration::from_millis(20);

/// Answers, or parts of them, that only the end of the connection delimits.
const UNFRAMED: [&str; 7] = [
    "HTTP/1.1 200 OK\r\n\r\nhel",
    "HTTP/1.1 200 OK\r\n\r\n",
    "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nhel",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\nhel",
    "HTTP/1.0 200 OK\r\n\r\nhel",
    "HTTP/1.1 404 Not Found\r\n\r\nhel",
    "HTTP/1.1 503 Busy\r\n\r\nhel",
];

/// What the peer does after its answer.
#[derive(Clone, Copy, Debug)]
enum End {
    /// Closes its side, and reads the rest of the request later.
    Close,
    /// Resets the connection.
    Reset,
    /// Closes its side, then resets the connection.
    CloseReset,
}

/// When the connection sees the answer.
#[derive(Clone, Copy, Debug)]
enum Order {
    /// Before the end of the connection.
    AnswerFirst,
    /// Together with the end of the connection.
    Together,
}

/// Connects to a peer with a small receive window.
async fn connect() -> (Connection, TcpStream) {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(WINDOW_BYTES).unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(1).unwrap();
    let keep_alive =
        KeepAlive { idle: TIMEOUT, interval: TIMEOUT, probes: 2, user_timeout: TIMEOUT };
    let address = listener.local_addr().unwrap();
    let connection = Connection::open(address, TIMEOUT, keep_alive).await.unwrap();
    let (peer, _) = listener.accept().await.unwrap();
    let peer = peer.into_std().unwrap();
    peer.set_nonblocking(false).unwrap();
    (connection, peer)
}

/// Sends a long request to a peer that reads the first bytes of it, answers and ends the connection.
async fn exchange(answer: &str, end: End, order: Order) -> Result<(u16, Bytes), Fault> {
    let (mut connection, mut peer) = connect().await;
    let head = encode_head(&Method::POST, "/", &HeaderMap::new(), REQUEST_BYTES);
    let body = Bytes::from(vec![b'x'; REQUEST_BYTES]);
    let mut sending = Box::pin(connection.send(&Method::POST, &head, &body));
    let written = tokio::time::timeout(DELIVERY_TIME, &mut sending).await;
    assert!(written.is_err(), "the peer has not read the request: {written:?}");
    peer.read_exact(&mut [0; 64]).unwrap();
    peer.write_all(answer.as_bytes()).unwrap();
    let _peer = match order {
        Order::AnswerFirst => {
            sending.await?;
            end_connection(peer, end)
        }
        Order::Together => {
            let peer = end_connection(peer, end);
            sending.await?;
            peer
        }
    };
    let answer = async {
        let head = connection.head().await?;
        let body = connection.body(100).await?;
        Ok((head.status.as_u16(), body))
    };
    let answer = answer.await;
    assert!(!connection.is_reusable(), "part of the request was not written");
    answer
}

/// Ends the connection; returns the peer if it stays open for reading.
fn end_connection(peer: TcpStream, end: End) -> Option<TcpStream> {
    if matches!(end, End::Close | End::CloseReset) {
        peer.shutdown(Shutdown::Write).unwrap();
        std::thread::sleep(DELIVERY_TIME);
    }
    let is_reset = matches!(end, End::Reset | End::CloseReset);
    if is_reset {
        SockRef::from(&peer).set_linger(Some(Duration::ZERO)).unwrap();
    }
    let kept = (!is_reset).then_some(peer);
    std::thread::sleep(DELIVERY_TIME);
    kept
}

/// MIXED: a write had taken the kernel's only report of the reset, so the reads after it saw an
/// orderly end, and part of a body was a whole answer.
#[tokio::test]
async fn body_until_close_reset() {
    for order in [Order::Together, Order::AnswerFirst] {
        for answer in UNFRAMED {
            let ended = exchange(answer, End::Reset, order).await;
            assert_eq!(ended, Err(Fault::Reset), "{answer:?}, {order:?}");
        }
    }
}

/// A body that ends before its framing says so is broken off, whatever ended the connection.
#[tokio::test]
async fn body_framed_truncated() {
    for order in [Order::Together, Order::AnswerFirst] {
        for answer in [
            "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhel",
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nhel\r\n",
            "HTTP/1.1 200 OK\r\ncontent-le",
        ] {
            for (end, fault) in [
                (End::Reset, Fault::Reset),
                (End::Close, Fault::Closed),
                (End::CloseReset, Fault::Closed),
            ] {
                let ended = exchange(answer, end, order).await;
                assert_eq!(ended, Err(fault), "{answer:?}, {end:?}, {order:?}");
            }
        }
    }
}

/// A body that is whole by its framing needs no end of the connection.
#[tokio::test]
async fn body_framed_whole() {
    for order in [Order::Together, Order::AnswerFirst] {
        for answer in [
            "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello",
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
        ] {
            for end in [End::Reset, End::Close, End::CloseReset] {
                let ended = exchange(answer, end, order).await;
                let whole = Ok((200, Bytes::from("hello")));
                assert_eq!(ended, whole, "{answer:?}, {end:?}, {order:?}");
            }
        }
    }
}

/// A peer that closes its side has sent its whole answer, even if it then refuses the rest of the
/// request.
#[tokio::test]
async fn body_until_close_whole() {
    for order in [Order::Together, Order::AnswerFirst] {
        for end in [End::Close, End::CloseReset] {
            for (status, answer) in [
                (200, "HTTP/1.1 200 OK\r\n\r\nhello"),
                (413, "HTTP/1.1 413 Content Too Large\r\n\r\nhello"),
            ] {
                let ended = exchange(answer, end, order).await;
                let whole = Ok((status, Bytes::from("hello")));
                assert_eq!(ended, whole, "{answer:?}, {end:?}, {order:?}");
            }
        }
    }
}
