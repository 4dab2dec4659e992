//! Crowds of callers outside anybody's control that send large bodies, most of which never end.
//!
//! Each test is one load under which processes ran out of memory. It checks that the process lives,
//! that its memory and descriptors stay under a bound, and that other callers are answered while the
//! crowd's connections are still open. Times and shares aren't checked.

use std::fs;
use std::time::Duration;

use acacia_standin::platform::document::Machine;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::task::JoinSet;

use crate::caller::try_call;
use crate::fixture::{self, Fixture, TIMEOUT};

/// Largest legal body, in bytes: the default of `limits.max_body_bytes`.
pub const LEGAL_BYTES: usize = 4 << 20;
/// Bytes that most callers lack to the end of their bodies.
const MISSING_BYTES: usize = 16;
/// Size of a large chunk, and of one write, in bytes.
const PIECE_BYTES: usize = 64 << 10;
/// Number of pieces, and the time between them, of a body that is sent in pieces.
const SLOW_PIECES: usize = 13;
const SLOW_PAUSE: Duration = Duration::from_millis(100);
/// Chunks of one byte that a crowd sends. The unchanged product needed some 40 bytes for each.
const SMALL_CHUNKS: usize = 5_120_000;
/// One caller in so many sends its body to the end.
const ENDING_CALLERS: usize = 16;
/// Longest time for which a crowd sends. A caller that isn't read from stays as it is then.
const SENDING_TIME: Duration = Duration::from_secs(20);
/// An instance is idle if it uses at most so many ticks of a processor, of 10 ms each, in such a span;
/// and the number of checks.
const IDLE_TICKS: u64 = 3;
const IDLE_SPAN: Duration = Duration::from_millis(250);
const IDLE_CHECKS: u32 = 80;
/// Descriptors that a process may have open.
const MAX_FDS: u64 = 512;
/// Number of callers, and the memory that a process may use in megabytes.
const CROWDS: [(usize, u64); 2] = [(160, 160), (60, 110)];
/// Paths of a plain service and of an engine.
pub const PATHS: [&str; 2] = ["/read/", "/ask/"];

const PIECE: &[u8] = &[b'x'; PIECE_BYTES];
pub const LEGAL_BODY: &[u8] = &[b'x'; LEGAL_BYTES];

/// Crowds need processor time, so that no two of them send at once.
pub static TURN: Mutex<()> = Mutex::const_new(());

/// What each caller of a crowd sends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Load {
    /// All but the last bytes of a declared body of legal size.
    Declared,
    /// The same in pieces.
    Pieces,
    /// The same with a key that nobody has.
    UnknownKey,
    /// Large chunks up to the legal size, without an end.
    Chunks,
    /// Chunks of one byte without an end.
    SmallChunks,
    /// A declared body of four times the legal size.
    DeclaredOver,
    /// Chunks of four times the legal size.
    ChunksOver,
}

#[tokio::test(flavor = "multi_thread")]
async fn crowd_declared_memory_is_bounded() {
    check(Load::Declared).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn crowd_pieces_memory_is_bounded() {
    check(Load::Pieces).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn crowd_unknown_key_memory_is_bounded() {
    check(Load::UnknownKey).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn crowd_chunks_memory_is_bounded() {
    check(Load::Chunks).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn crowd_small_chunks_memory_is_bounded() {
    check(Load::SmallChunks).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn crowd_declared_over_limit_memory_is_bounded() {
    check(Load::DeclaredOver).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn crowd_chunks_over_limit_memory_is_bounded() {
    check(Load::ChunksOver).await;
}

/// Runs a load with each crowd on each path. All peaks are measured before one fails the test.
async fn check(load: Load) {
    let _turn = TURN.lock().await;
    let mut excesses = Vec::new();
    for (callers, memory_mb) in CROWDS {
        for path in PATHS {
            let (peak_kib, descriptors) = run(load, path, callers, memory_mb).await;
            let measured = format!(
                "{load:?} on {path} by {callers}: {} MB, {descriptors} descriptors",
                peak_kib * 1_024 / 1_000_000
            );
            println!("{measured}");
            if peak_kib * 1_024 >= memory_mb * 1_000_000 || descriptors > MAX_FDS {
                excesses.push(measured);
            }
        }
    }
    assert!(excesses.is_empty(), "over the bound: {excesses:#?}");
}

/// Runs one crowd; returns the peak of the memory in KiB and the number of descriptors.
pub async fn run(load: Load, path: &'static str, callers: usize, memory_mb: u64) -> (u64, u64) {
    let machine = Machine { memory_mb, max_fds: MAX_FDS };
    let fixture = Fixture::start_on(machine).await;
    answered(&fixture, path, b"x").await;
    let mut crowd = JoinSet::new();
    for number in 0..callers {
        let stream = TcpStream::connect(fixture.address(0)).await.unwrap();
        let head = head(&fixture, load, path, number);
        crowd.spawn(async move {
            let mut stream = stream;
            let sending = send(&mut stream, load, callers, number, &head);
            // An error means that the instance has closed the connection, as it may.
            let _ = tokio::time::timeout(SENDING_TIME, sending).await;
            stream
        });
    }
    let held = crowd.join_all().await;
    // Until then, what was sent may wait in the buffers of the operating system.
    eventually_idle(&fixture).await;
    let descriptors = descriptors(&fixture);
    answered(&fixture, path, b"x").await;
    answered(&fixture, path, LEGAL_BODY).await;
    eventually_idle(&fixture).await;
    assert!(!fixture.has_ended(0), "the process lives");
    let peak = fixture.peak_memory_kib(0);
    drop(held);
    fixture.stop().await;
    (peak, descriptors)
}

/// Head of a request of the crowd.
fn head(fixture: &Fixture, load: Load, path: &str, number: usize) -> String {
    let mut head = format!("POST {path} HTTP/1.1\r\n");
    for (name, value) in fixture.prompt(&format!("crowd-{number}"), 1) {
        let is_unknown = name == "authorization" && load == Load::UnknownKey;
        let value = if is_unknown { "Bearer nobody".to_owned() } else { value };
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&match load {
        Load::Declared | Load::Pieces | Load::UnknownKey => {
            format!("content-length: {LEGAL_BYTES}\r\n\r\n")
        }
        Load::DeclaredOver => format!("content-length: {}\r\n\r\n", 4 * LEGAL_BYTES),
        Load::Chunks | Load::SmallChunks | Load::ChunksOver => {
            "transfer-encoding: chunked\r\n\r\n".to_owned()
        }
    });
    head
}

/// Sends one caller's request.
async fn send(
    stream: &mut TcpStream,
    load: Load,
    callers: usize,
    number: usize,
    head: &str,
) -> std::io::Result<()> {
    stream.write_all(head.as_bytes()).await?;
    let missing = if number.is_multiple_of(ENDING_CALLERS) { 0 } else { MISSING_BYTES };
    match load {
        Load::Declared | Load::UnknownKey => {
            stream.write_all(&LEGAL_BODY[missing..]).await?;
        }
        Load::Pieces => {
            for piece in LEGAL_BODY[missing..].chunks(LEGAL_BYTES.div_ceil(SLOW_PIECES)) {
                stream.write_all(piece).await?;
                tokio::time::sleep(SLOW_PAUSE).await;
            }
        }
        Load::Chunks => send_chunks(stream, LEGAL_BYTES / PIECE_BYTES - 1).await?,
        Load::SmallChunks => {
            let batch = b"1\r\nx\r\n".repeat(1_000);
            for _ in 0..SMALL_CHUNKS / callers / 1_000 {
                stream.write_all(&batch).await?;
            }
        }
        Load::DeclaredOver => {
            for _ in 0..4 * LEGAL_BYTES / PIECE_BYTES {
                stream.write_all(PIECE).await?;
            }
        }
        Load::ChunksOver => send_chunks(stream, 4 * LEGAL_BYTES / PIECE_BYTES).await?,
    }
    Ok(())
}

async fn send_chunks(stream: &mut TcpStream, count: usize) -> std::io::Result<()> {
    for _ in 0..count {
        stream.write_all(format!("{PIECE_BYTES:x}\r\n").as_bytes()).await?;
        stream.write_all(PIECE).await?;
        stream.write_all(b"\r\n").await?;
    }
    Ok(())
}

/// Processor time that the instance has used, in ticks.
fn processor_ticks(fixture: &Fixture) -> u64 {
    let stat = fs::read_to_string(format!("/proc/{}/stat", fixture.process_id(0))).unwrap();
    let (_, fields) = stat.rsplit_once(") ").unwrap();
    let fields: Vec<&str> = fields.split(' ').collect();
    // User and system time are the 14th and 15th field; the state is the third.
    fields[11..=12].iter().map(|ticks| ticks.parse::<u64>().unwrap()).sum()
}

/// Number of descriptors that the instance has open.
pub fn descriptors(fixture: &Fixture) -> u64 {
    fs::read_dir(format!("/proc/{}/fd", fixture.process_id(0))).unwrap().count() as u64
}

/// Waits until the instance has read what it reads, for a bounded time.
async fn eventually_idle(fixture: &Fixture) {
    for _ in 0..IDLE_CHECKS {
        let before = processor_ticks(fixture);
        tokio::time::sleep(IDLE_SPAN).await;
        if processor_ticks(fixture) <= before + IDLE_TICKS {
            return;
        }
    }
}

/// Sends a request until it is answered by its service.
pub async fn answered(fixture: &Fixture, path: &str, body: &'static [u8]) {
    let what = format!("a body of {} bytes on {path} is answered", body.len());
    fixture::eventually(&what, async || {
        let headers = fixture.prompt("ordinary", 2);
        let call = try_call(fixture.address(0), "POST", path, &headers, body);
        let answer = tokio::time::timeout(TIMEOUT, call).await.ok().flatten();
        answer.is_some_and(|answer| answer.status == 200 && answer.is_complete)
    })
    .await;
}
