//! An instance that starts beside others that fail to tell what they know.

use std::net::SocketAddr;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::fixture::{Fixture, call};

/// How another instance fails.
#[derive(Clone, Copy, Debug)]
enum Failure {
    /// It is killed in the middle of its answer.
    BreaksOff,
    /// It is suspended, or its machine is.
    Silence,
    /// Its build has no such exchange.
    OlderBuild,
    /// Its answer holds parts that can't be read.
    Garbled,
    /// Its answer is longer than any instance's.
    Endless,
}

/// Starts a stand-in for another instance; its address for messages.
async fn start_peer(failure: Failure) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, failure));
        }
    });
    address
}

async fn serve(mut stream: TcpStream, failure: Failure) {
    let mut request = [0; 1024];
    let _ = stream.read(&mut request).await;
    let answer: &[u8] = match failure {
        Failure::BreaksOff => b"HTTP/1.1 200 OK\r\ncontent-length: 64\r\n\r\n\0\0\0\x10",
        Failure::Silence => return std::future::pending().await,
        Failure::OlderBuild => b"HTTP/1.1 400 Bad Request\r\ncontent-length: 2\r\n\r\nno",
        Failure::Garbled => {
            b"HTTP/1.1 200 OK\r\ncontent-length: 14\r\n\r\n\0\0\0\x02\xc1\xc1\xff\xff\xff\xffabcd"
        }
        Failure::Endless => b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n",
    };
    let _ = stream.write_all(answer).await;
    if matches!(failure, Failure::Endless) {
        while stream.write_all(&[0; 4096]).await.is_ok() {}
    }
}

/// Checks that an instance beside others that fail in these ways gets ready and serves.
async fn check(failures: &[Failure]) {
    let mut peers = Vec::new();
    for failure in failures {
        peers.push(start_peer(*failure).await);
    }
    let fixture = Fixture::start_beside(&peers).await;
    let answer = call(fixture.address(0), "GET", "/read/a", &fixture.headers("r1"), b"").await;
    assert_eq!(answer.status, 200);
    assert_eq!(fixture.logged(0, &["asked other instances", "\"cause\":\"start\""]), 1);
    fixture.stop().await;
}

/// An instance that starts must not wait for one that was killed while it answered.
#[tokio::test(flavor = "multi_thread")]
async fn start_peer_breaks_off_is_ready() {
    check(&[Failure::BreaksOff]).await;
}

/// An instance that starts must not wait for ones that are suspended.
#[tokio::test(flavor = "multi_thread")]
async fn start_all_peers_silent_is_ready() {
    check(&[Failure::Silence; 4]).await;
}

/// Instances of an earlier build reject the question.
#[tokio::test(flavor = "multi_thread")]
async fn start_peer_of_older_build_is_ready() {
    check(&[Failure::OlderBuild]).await;
}

/// Parts that can't be read must not end the process.
#[tokio::test(flavor = "multi_thread")]
async fn start_peer_garbled_is_ready() {
    check(&[Failure::Garbled]).await;
}

/// An answer without an end must not be kept.
#[tokio::test(flavor = "multi_thread")]
async fn start_peer_endless_is_ready() {
    check(&[Failure::Endless, Failure::BreaksOff]).await;
}

/// Nobody tells anything where all other instances are gone, as after a kill of all.
#[tokio::test(flavor = "multi_thread")]
async fn start_all_peers_gone_is_ready() {
    let gone = TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap();
    let fixture = Fixture::start_beside(&[gone]).await;
    let answer = call(fixture.address(0), "GET", "/read/a", &fixture.headers("r1"), b"").await;
    assert_eq!(answer.status, 200);
    fixture.stop().await;
}
