//! Valid and invalid responses over TCP from a peer that sends given bytes.

#![expect(clippy::unwrap_used, reason = "a helper that fails fails its test")]

use std::net::SocketAddr;
use std::time::Duration;

use acacia_connection::{Connection, Fault, Framing, IdleState, KeepAlive, encode_head};
use bytes::Bytes;
use http::{HeaderMap, Method};
use quickcheck::{TestResult, quickcheck};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket};

const TIMEOUT: Duration = Duration::from_secs(20);

/// How the peer ends the connection after its answers.
#[derive(Clone, Copy)]
enum End {
    Keep,
    Close,
    Reset,
}

/// Starts a peer that answers each request with the next of `answers`.
async fn start_peer(answers: Vec<Vec<u8>>, end: End) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        for answer in answers {
            let mut buffer = [0; 4096];
            if stream.read(&mut buffer).await.unwrap() == 0 {
                return;
            }
            stream.write_all(&answer).await.unwrap();
        }
        match end {
            End::Keep => std::future::pending().await,
            End::Close => {}
            End::Reset => {
                // A reset discards the answer if the client has not read it yet.
                tokio::time::sleep(Duration::from_millis(100)).await;
                socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
            }
        }
    });
    address
}

async fn connect(address: SocketAddr) -> Connection {
    let keep_alive =
        KeepAlive { idle: TIMEOUT, interval: TIMEOUT, probes: 2, user_timeout: TIMEOUT };
    Connection::open(address, TIMEOUT, keep_alive).await.unwrap()
}

async fn exchange(connection: &mut Connection) -> Result<(u16, Bytes), Fault> {
    let head = encode_head(&Method::GET, "/", &HeaderMap::new(), 0);
    connection.send(&Method::GET, &head, &Bytes::new()).await?;
    let head = connection.head().await?;
    let body = connection.body(1 << 20).await?;
    Ok((head.status.as_u16(), body))
}

async fn exchange_once(answer: &str, end: End) -> (Result<(u16, Bytes), Fault>, Connection) {
    let mut connection = connect(start_peer(vec![answer.as_bytes().to_vec()], end).await).await;
    let answer = exchange(&mut connection).await;
    (answer, connection)
}

#[tokio::test]
async fn body_length() {
    let (answer, connection) =
        exchange_once("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello", End::Keep).await;
    assert_eq!(answer, Ok((200, Bytes::from("hello"))));
    assert!(connection.is_reusable());
    assert_eq!(connection.idle_state(), IdleState::Quiet);
}

#[tokio::test]
async fn body_chunked() {
    let text = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n\
                3;x=y\r\nhel\r\n2\r\nlo\r\n0\r\nt: 1\r\n\r\n";
    let (answer, connection) = exchange_once(text, End::Keep).await;
    assert_eq!(answer, Ok((200, Bytes::from("hello"))));
    assert!(connection.is_reusable());
}

/// Regression: a trailer without end was read until the request's deadline, as only the length of its
/// lines was limited.
#[tokio::test]
async fn body_trailer_too_long() {
    let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n";
    for (lines, is_whole) in [(400, true), (4_000, false)] {
        let text = format!("{head}{}\r\n", "t: 1\r\n".repeat(lines));
        let (answer, _) = exchange_once(&text, End::Keep).await;
        let expected =
            if is_whole { Ok((200, Bytes::from("hello"))) } else { Err(Fault::Malformed) };
        assert_eq!(answer, expected, "{lines} lines");
    }
}

#[tokio::test]
async fn body_until_close() {
    let (answer, connection) = exchange_once("HTTP/1.1 200 OK\r\n\r\nhello", End::Close).await;
    assert_eq!(answer, Ok((200, Bytes::from("hello"))));
    assert!(!connection.is_reusable());
}

#[tokio::test]
async fn body_until_close_reset() {
    let (answer, _) = exchange_once("HTTP/1.1 200 OK\r\n\r\nhello", End::Reset).await;
    assert_eq!(answer, Err(Fault::Reset));
}

#[tokio::test]
async fn exchange_truncated() {
    for text in [
        "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n",
        "HTTP/1.1 200 OK\r\ncontent-le",
        "",
    ] {
        assert_eq!(exchange_once(text, End::Close).await.0, Err(Fault::Closed), "{text:?}");
    }
}

#[tokio::test]
async fn head_malformed() {
    for text in [
        "nonsense\r\n\r\n",
        "HTTP/1.1 200 OK\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nab",
        "HTTP/1.1 200 OK\r\ncontent-length: +1\r\n\r\na",
        "HTTP/1.1 200 OK\r\ncontent-length: 1\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: gzip\r\n\r\na",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1\r\nab\r\n",
        "HTTP/1.1 101 Switching Protocols\r\n\r\n",
    ] {
        assert_eq!(exchange_once(text, End::Keep).await.0, Err(Fault::Malformed), "{text:?}");
    }
}

/// Status codes have three digits, from 100 to 599. What a peer means by others can't be known, nor
/// whether the request has run.
#[tokio::test]
async fn head_invalid_status() {
    for status in [
        "000", "001", "099", "600", "999", "20", "2000", "-20", "+20", "0200", " 200", "2 0",
        "2x0", "\u{b2}00", "",
    ] {
        for fields in ["content-length: 5\r\n\r\nhello", "content-length: 0\r\n\r\n", "\r\nhello"] {
            let text = format!("HTTP/1.1 {status} OK\r\n{fields}");
            let answer = exchange_once(&text, End::Close).await.0;
            assert_eq!(answer, Err(Fault::Malformed), "{text:?}");
        }
    }
    for status in [200, 299, 404, 599] {
        let text = format!("HTTP/1.1 {status} OK\r\ncontent-length: 5\r\n\r\nhello");
        let answer = exchange_once(&text, End::Close).await.0;
        assert_eq!(answer, Ok((status, Bytes::from("hello"))));
    }
}

/// A name of a field is a token. A line with another name can't be passed on, nor be left out, as it
/// may be a framing field to the peer.
#[tokio::test]
async fn head_invalid_field_name() {
    let names = ["x more", "x-more ", " x-more", "x-more\t", "\tx-more", "x\tmore", ""];
    let framing = ["content-length ", "content-length\t", " content-length", "transfer-encoding "];
    let control = (0..=0x20).chain([0x7f]).filter(|byte| *byte != b'\n').map(char::from);
    let control = control.flat_map(|byte| [format!("x{byte}more"), format!("x-more{byte}")]);
    let names = names.into_iter().chain(framing).map(str::to_owned).chain(control);
    let whole = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello";
    for name in names.chain(["x\u{e9}".to_owned(), "x(more)".to_owned(), "x\"more".to_owned()]) {
        for value in ["3", "chunked"] {
            for text in [
                format!("HTTP/1.1 200 OK\r\n{name}: {value}\r\ncontent-length: 5\r\n\r\nhello"),
                format!("HTTP/1.1 103 Early Hints\r\n{name}: {value}\r\n\r\n{whole}"),
            ] {
                let answer = exchange_once(&text, End::Close).await.0;
                assert_eq!(answer, Err(Fault::Malformed), "{text:?}");
            }
        }
    }
    for line in ["x-more", "x-more 3", ": 3", "HTTP/1.1 200 OK"] {
        let text = format!("HTTP/1.1 200 OK\r\n{line}\r\ncontent-length: 5\r\n\r\nhello");
        assert_eq!(exchange_once(&text, End::Close).await.0, Err(Fault::Malformed), "{text:?}");
    }
}

#[tokio::test]
async fn is_reusable_extra_bytes() {
    let text = "HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\naHTTP/1.1 200 OK\r\n\r\n";
    let (answer, connection) = exchange_once(text, End::Keep).await;
    assert!(answer.is_ok());
    assert!(!connection.is_reusable());
}

#[tokio::test]
async fn is_reusable_close_or_http_1_0() {
    for text in [
        "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.0 200 OK\r\ncontent-length: 0\r\n\r\n",
    ] {
        assert!(!exchange_once(text, End::Keep).await.1.is_reusable(), "{text:?}");
    }
}

#[tokio::test]
async fn head_skips_interim_responses() {
    let text = "HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n";
    let (answer, connection) = exchange_once(text, End::Keep).await;
    assert_eq!(answer, Ok((204, Bytes::new())));
    assert!(connection.is_reusable());
}

#[tokio::test]
async fn head_too_many_interim_responses() {
    let interim = "HTTP/1.1 103 Early Hints\r\n\r\n";
    let text = format!("{}HTTP/1.1 204 No Content\r\n\r\n", interim.repeat(17));
    assert_eq!(exchange_once(&text, End::Keep).await.0, Err(Fault::Malformed));
    let text = format!("{}HTTP/1.1 204 No Content\r\n\r\n", interim.repeat(16));
    assert_eq!(exchange_once(&text, End::Keep).await.0, Ok((204, Bytes::new())));
}

#[tokio::test]
async fn discard_within_limit() {
    let text = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello";
    for (max_bytes, skipped) in [(5, Ok(())), (4, Err(Fault::Malformed))] {
        let mut connection =
            connect(start_peer(vec![text.as_bytes().to_vec()], End::Keep).await).await;
        let head = encode_head(&Method::GET, "/", &HeaderMap::new(), 0);
        connection.send(&Method::GET, &head, &Bytes::new()).await.unwrap();
        connection.head().await.unwrap();
        assert_eq!(connection.discard(max_bytes).await, skipped);
    }
}

#[tokio::test]
async fn send_early_response() {
    let early = b"HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n".to_vec();
    let mut connection = connect(start_peer(vec![early], End::Keep).await).await;
    let body = Bytes::from(vec![b'x'; 64 << 20]);
    let head = encode_head(&Method::POST, "/", &HeaderMap::new(), body.len());
    connection.send(&Method::POST, &head, &body).await.unwrap();
    let head = connection.head().await.unwrap();
    assert_eq!(head.status, 503);
    assert_eq!(connection.body(10).await, Ok(Bytes::new()));
    assert!(!connection.is_reusable(), "part of the request body was not written");
}

#[tokio::test]
async fn idle_state_closed() {
    let response = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n".to_vec();
    let mut connection = connect(start_peer(vec![response.clone()], End::Close).await).await;
    assert!(exchange(&mut connection).await.is_ok());
    for _ in 0..1_000 {
        if connection.idle_state() == IdleState::Closed {
            return;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    panic!("the closed connection was not detected");
}

#[test]
fn encode_head_sets_framing() {
    let mut headers = HeaderMap::new();
    headers.insert("content-length", "999".parse().unwrap());
    headers.insert("transfer-encoding", "chunked".parse().unwrap());
    let bytes = encode_head(&Method::POST, "/a?b", &headers, 3);
    assert_eq!(&bytes[..], b"POST /a?b HTTP/1.1\r\ncontent-length: 3\r\n\r\n");
}

/// The body doesn't depend on how the bytes of a response are split into segments.
#[test]
fn body_any_segments() {
    fn holds(chunks: Vec<Vec<u8>>, cuts: Vec<u8>) -> TestResult {
        let mut bytes = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n".to_vec();
        for chunk in chunks.iter().filter(|chunk| !chunk.is_empty()) {
            bytes.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
            bytes.extend_from_slice(chunk);
            bytes.extend_from_slice(b"\r\n");
        }
        bytes.extend_from_slice(b"0\r\n\r\n");
        let expected = chunks.concat();
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        let body = runtime.block_on(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let address = listener.local_addr().unwrap();
            tokio::spawn(async move {
                let (mut stream, _) = listener.accept().await.unwrap();
                stream.set_nodelay(true).unwrap();
                let mut rest = &bytes[..];
                for cut in cuts {
                    let (segment, left) = rest.split_at(rest.len().min(usize::from(cut)));
                    rest = left;
                    stream.write_all(segment).await.unwrap();
                    tokio::task::yield_now().await;
                }
                stream.write_all(rest).await.unwrap();
                std::future::pending::<()>().await;
            });
            let mut connection = connect(address).await;
            let head = connection.head().await.unwrap();
            assert_eq!(head.framing, Framing::Chunked);
            connection.body(1 << 20).await
        });
        TestResult::from_bool(body == Ok(Bytes::from(expected)))
    }
    quickcheck(holds as fn(Vec<Vec<u8>>, Vec<u8>) -> TestResult);
}

/// A peer that reads nothing for a second and then goes on is no unreachable one.
#[tokio::test]
async fn send_peer_pauses_before_reading() {
    const BODY_BYTES: usize = 256 << 10;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        let mut received = 0;
        let mut buffer = vec![0; 64 << 10];
        while received < BODY_BYTES {
            let count = stream.read(&mut buffer).await.unwrap();
            assert!(count > 0);
            received += count;
        }
        stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok").await.unwrap();
        std::future::pending::<()>().await;
    });
    let keep_alive = KeepAlive {
        idle: Duration::from_secs(1),
        interval: Duration::from_secs(1),
        probes: 2,
        user_timeout: Duration::from_millis(500),
    };
    let mut connection = Connection::open(address, TIMEOUT, keep_alive).await.unwrap();
    let body = Bytes::from(vec![0; BODY_BYTES]);
    let head = encode_head(&Method::POST, "/", &HeaderMap::new(), body.len());
    connection.send(&Method::POST, &head, &body).await.unwrap();
    assert_eq!(connection.head().await.unwrap().status, 200);
}

/// A peer may answer before it has read the request's body, and read it later.
#[tokio::test]
async fn chunk_peer_answers_before_reading() {
    const BODY_BYTES: usize = 256 << 10;
    const EVENTS: usize = 8;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut buffer = [0; 4096];
        assert!(stream.read(&mut buffer).await.unwrap() > 0);
        stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 16\r\n\r\n").await.unwrap();
        for _ in 0..EVENTS {
            tokio::time::sleep(Duration::from_millis(200)).await;
            stream.write_all(b"x\n").await.unwrap();
        }
        std::future::pending::<()>().await;
    });
    let keep_alive = KeepAlive {
        idle: Duration::from_secs(1),
        interval: Duration::from_secs(1),
        probes: 2,
        user_timeout: Duration::from_millis(500),
    };
    let mut connection = Connection::open(address, TIMEOUT, keep_alive).await.unwrap();
    let body = Bytes::from(vec![0; BODY_BYTES]);
    let head = encode_head(&Method::POST, "/", &HeaderMap::new(), body.len());
    connection.send(&Method::POST, &head, &body).await.unwrap();
    assert_eq!(connection.head().await.unwrap().status, 200);
    assert_eq!(connection.body(100).await.unwrap().len(), 2 * EVENTS);
}

/// The user timeout of a short request holds after a long one, too. The peer's window takes less
/// than the short request and so stands for a host that acknowledges nothing.
#[tokio::test]
async fn send_short_request_after_long_one() {
    const LONG_BYTES: usize = 256 << 10;
    const SHORT_BYTES: usize = 12 << 10;
    const WINDOW_BYTES: u32 = 2 << 10;
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(WINDOW_BYTES).unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(1).unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = vec![0; encode_post(LONG_BYTES).len() + LONG_BYTES];
        stream.read_exact(&mut request).await.unwrap();
        stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok").await.unwrap();
        std::future::pending::<()>().await;
    });
    let keep_alive = KeepAlive {
        idle: TIMEOUT,
        interval: TIMEOUT,
        probes: 2,
        user_timeout: Duration::from_millis(500),
    };
    let mut connection = Connection::open(address, TIMEOUT, keep_alive).await.unwrap();
    let long = Bytes::from(vec![0; LONG_BYTES]);
    connection.send(&Method::POST, &encode_post(LONG_BYTES), &long).await.unwrap();
    assert_eq!(connection.head().await.unwrap().status, 200);
    assert_eq!(connection.body(100).await.unwrap(), "ok");
    assert!(connection.is_reusable());
    let short = Bytes::from(vec![0; SHORT_BYTES]);
    connection.send(&Method::POST, &encode_post(SHORT_BYTES), &short).await.unwrap();
    let head = tokio::time::timeout(TIMEOUT, connection.head()).await.unwrap();
    assert_eq!(head.unwrap_err(), Fault::Unacknowledged);
}

fn encode_post(body_bytes: usize) -> Bytes {
    encode_head(&Method::POST, "/", &HeaderMap::new(), body_bytes)
}

/// MIXED: a head that breaks off after any of its bytes is no answer, on a new connection and on one
/// that was used before.
#[tokio::test]
async fn head_broken_off_after_each_byte() {
    for fields in ["content-length: 2\r\n", "transfer-encoding: chunked\r\n", ""] {
        let head = format!("HTTP/1.1 200 OK\r\nx-response-seal: s\r\n{fields}\r\n");
        for length in 0..head.len() {
            let (answer, connection) = exchange_once(&head[..length], End::Close).await;
            assert_eq!(answer.unwrap_err(), Fault::Closed, "{length} bytes of {head:?}");
            assert!(!connection.is_reusable());
            let whole = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok".to_vec();
            let broken = head.as_bytes()[..length].to_vec();
            let mut kept = connect(start_peer(vec![whole, broken], End::Close).await).await;
            assert_eq!(exchange(&mut kept).await.unwrap().0, 200);
            assert!(exchange(&mut kept).await.is_err(), "{length} bytes of {head:?}");
        }
    }
}
