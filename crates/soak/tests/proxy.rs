//! The proxy's modes, observed at both ends.

#![expect(clippy::unwrap_used, reason = "a helper that fails fails its test")]

use std::io::ErrorKind;
use std::time::Duration;

use acacia_soak::proxy::{Mode, Proxy};
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
