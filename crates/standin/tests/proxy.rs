//! The proxy's modes and cuts, observed at both ends.

#![expect(clippy::unwrap_used, reason = "a helper that fails fails its test")]

use std::io::ErrorKind;
use std::time::Duration;

use acacia_standin::cut::{Cut, Cuts};
use acacia_standin::early;
use acacia_standin::proxy::{Mode, Proxy};
use bytes::Bytes;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// Time in which held bytes must not arrive; short, as the test always waits for its end.
const STALL_CHECK: Duration = Duration::from_millis(100);

async fn pair() -> (Proxy, TcpStream, TcpStream) {
    let server = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let proxy = Proxy::start(server.local_addr().unwrap()).await.unwrap();
    let caller = TcpStream::connect(proxy.address).await.unwrap();
    let (accepted, _) = server.accept().await.unwrap();
    (proxy, caller, accepted)
}

/// A connection of this process, which has cuts.
struct Pair {
    proxy: Proxy,
    cuts: Cuts,
    listener: TcpListener,
    caller: TcpStream,
    server: TcpStream,
}

impl Pair {
    async fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let cuts = Cuts::default();
        cuts.register(std::process::id());
        let address = listener.local_addr().unwrap();
        let proxy = Proxy::start_with(address, cuts.clone()).await.unwrap();
        let caller = TcpStream::connect(proxy.address).await.unwrap();
        let (server, _) = listener.accept().await.unwrap();
        Self { proxy, cuts, listener, caller, server }
    }

    fn cut(&self, cut: Cut) {
        self.cuts.set(std::process::id(), cut);
    }

    fn heal(&self) {
        self.cuts.heal(std::process::id());
    }

    async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.proxy.address).await.unwrap()
    }

    /// Whether a new connection reaches the server.
    async fn is_reached(&self) -> bool {
        timeout(STALL_CHECK, self.listener.accept()).await.is_ok()
    }
}

async fn read(stream: &mut TcpStream) -> std::io::Result<u8> {
    stream.read_u8().await
}

#[tokio::test]
async fn pass_both_directions() {
    let (_proxy, mut caller, mut server) = pair().await;
    caller.write_all(b"a").await.unwrap();
    assert_eq!(read(&mut server).await.unwrap(), b'a');
    server.write_all(b"b").await.unwrap();
    assert_eq!(read(&mut caller).await.unwrap(), b'b');
}

#[tokio::test]
async fn stall_server_holds_its_bytes() {
    let (proxy, mut caller, mut server) = pair().await;
    proxy.set(Mode::StallServer);
    caller.write_all(b"a").await.unwrap();
    assert_eq!(read(&mut server).await.unwrap(), b'a');
    server.write_all(b"b").await.unwrap();
    assert!(timeout(STALL_CHECK, read(&mut caller)).await.is_err());
    proxy.set(Mode::Pass);
    assert_eq!(read(&mut caller).await.unwrap(), b'b');
}

#[tokio::test]
async fn stall_holds_all_bytes() {
    let (proxy, mut caller, mut server) = pair().await;
    proxy.set(Mode::Stall);
    caller.write_all(b"a").await.unwrap();
    assert!(timeout(STALL_CHECK, read(&mut server)).await.is_err());
    proxy.set(Mode::Pass);
    assert_eq!(read(&mut server).await.unwrap(), b'a');
}

#[tokio::test]
async fn reset_closes_connections() {
    let (proxy, mut caller, mut server) = pair().await;
    proxy.reset();
    for stream in [&mut caller, &mut server] {
        let error = read(stream).await.unwrap_err();
        assert!(matches!(error.kind(), ErrorKind::ConnectionReset | ErrorKind::UnexpectedEof));
    }
}

#[tokio::test]
async fn refuse_resets_new_connection() {
    let (proxy, _caller, _server) = pair().await;
    proxy.set(Mode::Refuse);
    let mut other = TcpStream::connect(proxy.address).await.unwrap();
    assert!(read(&mut other).await.is_err());
}

#[tokio::test]
async fn until_close_lowers_version() {
    let (proxy, mut caller, mut server) = pair().await;
    proxy.set(Mode::UntilClose);
    caller.write_all(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n").await.unwrap();
    let mut received = [0; 27];
    server.read_exact(&mut received).await.unwrap();
    assert_eq!(&received, b"GET / HTTP/1.0\r\nhost: x\r\n\r\n");
    server.write_all(b" HTTP/1.1\r\n").await.unwrap();
    let mut answer = [0; 11];
    caller.read_exact(&mut answer).await.unwrap();
    assert_eq!(&answer, b" HTTP/1.1\r\n");
}

#[tokio::test]
async fn cut_hang_holds_both_directions() {
    let mut pair = Pair::new().await;
    pair.cut(Cut::Hang);
    pair.caller.write_all(b"a").await.unwrap();
    pair.server.write_all(b"b").await.unwrap();
    assert!(timeout(STALL_CHECK, read(&mut pair.server)).await.is_err());
    assert!(timeout(STALL_CHECK, read(&mut pair.caller)).await.is_err());
    pair.heal();
    assert_eq!(read(&mut pair.server).await.unwrap(), b'a');
    assert_eq!(read(&mut pair.caller).await.unwrap(), b'b');
}

#[tokio::test]
async fn cut_hang_loses_bytes_of_reset_sender() {
    let mut pair = Pair::new().await;
    pair.cut(Cut::Hang);
    pair.caller.write_all(b"a").await.unwrap();
    // Until then the proxy has read the bytes.
    assert!(timeout(STALL_CHECK, read(&mut pair.server)).await.is_err());
    SockRef::from(&pair.caller).set_linger(Some(Duration::ZERO)).unwrap();
    drop(pair.caller);
    assert!(timeout(STALL_CHECK, read(&mut pair.server)).await.is_err());
    pair.cuts.heal(std::process::id());
    assert_eq!(read(&mut pair.server).await.unwrap_err().kind(), ErrorKind::ConnectionReset);
}

#[tokio::test]
async fn cut_hang_keeps_bytes_of_closed_sender() {
    let mut pair = Pair::new().await;
    pair.cut(Cut::Hang);
    pair.caller.write_all(b"a").await.unwrap();
    drop(pair.caller);
    assert!(timeout(STALL_CHECK, read(&mut pair.server)).await.is_err());
    pair.cuts.heal(std::process::id());
    assert_eq!(read(&mut pair.server).await.unwrap(), b'a');
    assert_eq!(read(&mut pair.server).await.unwrap_err().kind(), ErrorKind::UnexpectedEof);
}

#[tokio::test]
async fn cut_hang_delays_new_connection() {
    let pair = Pair::new().await;
    pair.cut(Cut::Hang);
    let mut caller = pair.connect().await;
    caller.write_all(b"a").await.unwrap();
    assert!(!pair.is_reached().await);
    pair.heal();
    let (mut server, _) = pair.listener.accept().await.unwrap();
    assert_eq!(read(&mut server).await.unwrap(), b'a');
}

#[tokio::test]
async fn cut_hang_drops_new_connection_closed_meanwhile() {
    let pair = Pair::new().await;
    pair.cut(Cut::Hang);
    let mut caller = pair.connect().await;
    caller.write_all(b"a").await.unwrap();
    assert!(!pair.is_reached().await);
    drop(caller);
    assert!(!pair.is_reached().await);
    pair.heal();
    assert!(!pair.is_reached().await);
}

#[tokio::test]
async fn cut_reset_closes_open_and_new_connections() {
    let mut pair = Pair::new().await;
    pair.cut(Cut::Reset);
    for stream in [&mut pair.caller, &mut pair.server] {
        assert_eq!(read(stream).await.unwrap_err().kind(), ErrorKind::ConnectionReset);
    }
    assert!(read(&mut pair.connect().await).await.is_err());
    assert!(!pair.is_reached().await);
    pair.heal();
    let _caller = pair.connect().await;
    pair.listener.accept().await.unwrap();
}

#[tokio::test]
async fn cut_refuse_new_keeps_open_connection() {
    let mut pair = Pair::new().await;
    pair.cut(Cut::RefuseNew);
    assert!(read(&mut pair.connect().await).await.is_err());
    assert!(!pair.is_reached().await);
    pair.caller.write_all(b"a").await.unwrap();
    assert_eq!(read(&mut pair.server).await.unwrap(), b'a');
    pair.server.write_all(b"b").await.unwrap();
    assert_eq!(read(&mut pair.caller).await.unwrap(), b'b');
}

#[tokio::test]
async fn cut_spares_other_processes() {
    let mut pair = Pair::new().await;
    pair.cuts.register(1);
    pair.cuts.set(1, Cut::Reset);
    pair.caller.write_all(b"a").await.unwrap();
    assert_eq!(read(&mut pair.server).await.unwrap(), b'a');
    let _caller = pair.connect().await;
    pair.listener.accept().await.unwrap();
}

#[tokio::test]
async fn stall_loses_bytes_of_reset_sender() {
    let (proxy, mut caller, mut server) = pair().await;
    proxy.set(Mode::Stall);
    caller.write_all(b"a").await.unwrap();
    assert!(timeout(STALL_CHECK, read(&mut server)).await.is_err());
    SockRef::from(&caller).set_linger(Some(Duration::ZERO)).unwrap();
    drop(caller);
    assert!(timeout(STALL_CHECK, read(&mut server)).await.is_err());
    proxy.set(Mode::Pass);
    assert_eq!(read(&mut server).await.unwrap_err().kind(), ErrorKind::ConnectionReset);
}

/// A server answers before it has read what its caller writes, and resets the connection. A write to
/// the server takes the report of the reset.
#[tokio::test]
async fn reset_during_write_is_passed_on() {
    let answer = Bytes::from_static(b"the answer");
    let server = early::Server::start(answer.clone()).unwrap();
    let proxy = Proxy::start(server.address).await.unwrap();
    let mut caller = TcpStream::connect(proxy.address).await.unwrap();
    let (mut reader, mut writer) = caller.split();
    let request = [&b"\r\n\r\n"[..], &vec![b'x'; early::LONG_BYTES]].concat();
    let mut received = Vec::new();
    let (written, read) =
        tokio::join!(writer.write_all(&request), reader.read_to_end(&mut received));
    assert_eq!(received, answer);
    // The caller's kernel reports the reset once, too.
    let errors = [written.err(), read.err()].into_iter().flatten();
    let kinds: Vec<_> = errors.map(|error| error.kind()).collect();
    assert!(kinds.contains(&ErrorKind::ConnectionReset), "{kinds:?}");
}
