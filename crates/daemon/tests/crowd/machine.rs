//! Instances on machines with little memory or few descriptors, beside the crowds of [`crate::body`].

use std::time::Duration;

use acacia_standin::platform::document::Machine;
use tokio::net::TcpStream;

use crate::body::{self, LEGAL_BODY, LEGAL_BYTES, Load, PATHS, TURN, answered, descriptors};
use crate::fixture::{Caller, Fixture, call, request_head};
use crate::raw::{self, Answer, End, Request};

/// Memory of the smallest machine, in megabytes.
const SMALLEST_MB: u64 = 88;
/// Callers of a crowd there.
const SMALL_CROWD: usize = 60;
/// Descriptors of a machine with few.
const FEW_FDS: u64 = 160;
/// Connections without a request: more than the descriptors.
const IDLE_CONNECTIONS: usize = 200;
/// Callers that read nothing of their answers, and the size of each answer. It exceeds the buffers of
/// the operating system.
const SILENT_READERS: usize = 24;
const ANSWER_BYTES: usize = 12 << 20;
/// Pieces of a slow body, and the time between them. It takes longer than a stalled one may keep its
/// memory when that is short.
const SLOW_PIECES: usize = 4;
const SLOW_PAUSE: Duration = Duration::from_millis(900);

fn smallest() -> Machine {
    Machine { memory_mb: SMALLEST_MB, max_fds: 512 }
}

/// A slow but steady body of full legal size is served while nobody else needs memory.
#[tokio::test(flavor = "multi_thread")]
async fn machine_smallest_slow_body() {
    let _turn = TURN.lock().await;
    let fixture = Fixture::start_on(smallest()).await;
    for path in ["/charge/", "/ask/"] {
        answered(&fixture, path, b"x").await;
        let mut caller = Caller::connect(fixture.address(0)).await.unwrap();
        let head = request_head("POST", path, &fixture.prompt("slow", 1), LEGAL_BYTES);
        caller.send(&head).await.unwrap();
        for piece in LEGAL_BODY.chunks(LEGAL_BYTES / SLOW_PIECES) {
            tokio::time::sleep(SLOW_PAUSE).await;
            caller.send(piece).await.unwrap();
        }
        let answer = caller.answer().await.unwrap();
        assert_eq!(answer.status, 200, "{path}");
        assert!(answer.is_complete);
    }
    let peak = fixture.peak_memory_kib(0);
    assert!(peak * 1_024 < SMALLEST_MB * 1_000_000, "{peak} KiB");
    assert_eq!(fixture.logged(0, &["memory reclaimed"]), 0);
    fixture.stop().await;
}

/// The smallest machine lives beside a crowd, and serves a request of full legal size.
#[tokio::test(flavor = "multi_thread")]
async fn machine_smallest_crowd() {
    let _turn = TURN.lock().await;
    for load in [Load::Declared, Load::Chunks] {
        for path in PATHS {
            let (peak, _) = body::run(load, path, SMALL_CROWD, SMALLEST_MB).await;
            println!("smallest machine: {load:?} on {path}: {peak} KiB");
            assert!(peak * 1_024 < SMALLEST_MB * 1_000_000, "{load:?} on {path}: {peak} KiB");
        }
    }
}

/// Callers that read nothing of long answers don't use up the memory.
#[tokio::test(flavor = "multi_thread")]
async fn machine_silent_readers() {
    let _turn = TURN.lock().await;
    let fixture = Fixture::start_on(Machine { memory_mb: 160, max_fds: 512 }).await;
    fixture.unregister_services();
    let raw = raw::Server::start(long_or_short).await;
    fixture.register(&raw, "app");
    fixture.answer_of(&raw, "/read/short").await;
    let mut silent = Vec::new();
    for number in 0..SILENT_READERS {
        let mut caller = Caller::connect(fixture.address(0)).await.unwrap();
        let headers = fixture.headers(&format!("long-{number}"));
        caller.send(&request_head("GET", "/read/long", &headers, 0)).await.unwrap();
        // The head only. Without an answer the connection was closed, as it may be.
        let _ = caller.head().await;
        silent.push(caller);
    }
    let answer =
        call(fixture.address(0), "GET", "/read/short", &fixture.headers("short"), b"").await;
    assert_eq!(answer.status, 200);
    let peak = fixture.peak_memory_kib(0);
    println!("silent readers: {peak} KiB");
    assert!(peak * 1_024 < 160 * 1_000_000, "{peak} KiB");
    assert!(!fixture.has_ended(0), "the process lives");
    drop(silent);
    fixture.stop().await;
}

fn long_or_short(request: &Request) -> Answer {
    let body = if request.id.starts_with("long") { vec![b'x'; ANSWER_BYTES] } else { vec![b'x'] };
    let mut bytes = raw::head(request, &format!("content-length: {}\r\n\r\n", body.len()));
    bytes.extend(body);
    Answer { bytes, end: End::Close }
}

/// Connections without a request make room for callers with one.
#[tokio::test(flavor = "multi_thread")]
async fn machine_few_descriptors() {
    let _turn = TURN.lock().await;
    let fixture = Fixture::start_on(Machine { memory_mb: 160, max_fds: FEW_FDS }).await;
    let mut idle = Vec::new();
    for _ in 0..IDLE_CONNECTIONS {
        idle.push(TcpStream::connect(fixture.address(0)).await.unwrap());
    }
    answered(&fixture, "/read/", b"x").await;
    let open = descriptors(&fixture);
    assert!(open <= FEW_FDS, "{open} descriptors");
    assert!(fixture.logged(0, &["memory reclaimed", "idle"]) > 0);
    fixture.stop().await;
}
