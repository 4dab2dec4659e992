//! Asks other instances, at the start, for what they know, and answers those that start.
//!
//! The exchange is one request on the address for messages of other instances. An answer is a list
//! of [`Part`]s, each with its length before it. An instance of a build without this exchange
//! rejects the request, which counts as an answer without facts.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use acacia_connection::{Connection, Fault, KeepAlive, encode_head};
use acacia_policy::Time;
use acacia_policy::gateway::gossip::Incarnation;
use acacia_policy::gateway::handover::{Part, SOURCES};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use futures::stream::{FuturesUnordered, StreamExt};
use http::header::HOST;
use http::{HeaderMap, HeaderValue, Method, StatusCode};
use rand::seq::SliceRandom;
use tokio::sync::watch;

use crate::traffic::{Traffic, millis};

/// Path of the request. A caller's request that another instance passes on has a header that this one
/// lacks.
pub const PATH: &str = "/acacia/handover";
/// Longest time for which an instance that starts is not ready, as it waits for answers. Callers may
/// have no other instance, so this is far below the time after which instances that start must serve.
const TIMEOUT: Duration = Duration::from_millis(700);
/// Connect timeout. Another instance accepts within a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Number of instances that are asked at most. Where all start at once, none is informed, and each
/// would ask hundreds of others.
const MAX_ASKED: usize = 8;
/// Size limit of an answer: as many streams as an instance remembers take less.
const ANSWER_BYTES: usize = 1 << 20;
/// Ends an exchange with an instance whose host has become unreachable.
const KEEP_ALIVE: KeepAlive = KeepAlive {
    idle: Duration::from_secs(1),
    interval: Duration::from_secs(1),
    probes: 2,
    user_timeout: Duration::from_secs(3),
};

/// What several instances answered.
#[derive(Debug, Default)]
struct Summary {
    asked: usize,
    informed: usize,
    uninformed: usize,
    failed: usize,
    facts: usize,
    bytes: usize,
}

/// Asks other instances once there is a view, and again when they list this one. The instance is
/// ready from the first answers on.
pub async fn run(traffic: Rc<Traffic>) {
    let mut view_time = traffic.view_time.subscribe();
    while traffic.gateway.borrow().view().is_none() {
        if view_time.changed().await.is_err() {
            return;
        }
    }
    ask(&traffic, "start").await;
    traffic.is_informed.set(true);
    if wait_told(&traffic, view_time).await {
        ask(&traffic, "listed").await;
    }
}

/// Waits until the others list this instance, and tell it what they learn; false if it stops before.
async fn wait_told(traffic: &Traffic, mut view_time: watch::Receiver<Time>) -> bool {
    loop {
        let told_from = traffic.gateway.borrow().view().and_then(|view| view.told_from);
        match told_from.map(|from| from.saturating_sub(traffic.now())) {
            Some(Duration::ZERO) => return true,
            Some(left) => tokio::time::sleep(left).await,
            None => {
                if view_time.changed().await.is_err() {
                    return false;
                }
            }
        }
    }
}

/// Asks other instances until enough of them have answered that were informed themselves.
async fn ask(traffic: &Rc<Traffic>, cause: &'static str) {
    let started = traffic.now();
    let view = traffic.gateway.borrow().view().cloned();
    let peers = view.iter().flat_map(|view| &view.peers);
    let mut peers: Vec<SocketAddr> = peers.map(|peer| peer.address).collect();
    if peers.is_empty() {
        return;
    }
    peers.shuffle(&mut rand::rng());
    let listed = peers.len();
    peers.truncate(MAX_ASKED);
    let mut summary = Summary::default();
    let timed_out = tokio::time::timeout(TIMEOUT, gather(traffic, &peers, &mut summary)).await;
    tracing::info!(
        cause,
        peers = listed,
        asked = summary.asked,
        informed = summary.informed,
        uninformed = summary.uninformed,
        failed = summary.failed,
        facts = summary.facts,
        bytes = summary.bytes,
        timed_out = timed_out.is_err(),
        took_ms = millis(traffic.now().saturating_sub(started)),
        "asked other instances for what they know"
    );
}

/// Asks peers in order, several at a time, and applies what they answer.
async fn gather(traffic: &Rc<Traffic>, peers: &[SocketAddr], summary: &mut Summary) {
    let mut peers = peers.iter();
    let mut pending = FuturesUnordered::new();
    loop {
        while summary.informed + pending.len() < SOURCES
            && let Some(peer) = peers.next()
        {
            summary.asked += 1;
            pending.push(fetch(*peer));
        }
        let Some(answer) = pending.next().await else { return };
        match answer {
            Ok(bytes) => {
                summary.bytes += bytes.len();
                traffic.metrics.message_bytes("received", bytes.len() as u64);
                let (is_informed, facts) = apply(traffic, bytes);
                summary.facts += facts;
                *(if is_informed { &mut summary.informed } else { &mut summary.uninformed }) += 1;
            }
            Err(fault) => {
                tracing::debug!(%fault, "another instance did not tell what it knows");
                summary.failed += 1;
            }
        }
    }
}

/// Fetches what another instance knows; nothing if its build has no such exchange.
async fn fetch(peer: SocketAddr) -> Result<Bytes, Fault> {
    let mut headers = HeaderMap::new();
    headers.insert(HOST, HeaderValue::from_static("instance"));
    let request = encode_head(&Method::GET, PATH, &headers, 0);
    let mut connection = Connection::open(peer, CONNECT_TIMEOUT, KEEP_ALIVE).await?;
    connection.send(&Method::GET, &request, &Bytes::new()).await?;
    let head = connection.head().await?;
    let body = connection.body(ANSWER_BYTES).await?;
    Ok(if head.status == StatusCode::OK { body } else { Bytes::new() })
}

/// Applies an answer; whether its source was informed, and the number of facts.
fn apply(traffic: &Traffic, mut bytes: Bytes) -> (bool, usize) {
    let now = traffic.now();
    let mut source: Incarnation = 0;
    let (mut was_informed, mut facts) = (false, 0);
    while let Some(part) = take_frame(&mut bytes) {
        match rmp_serde::from_slice(&part) {
            Ok(Part::Source { incarnation, is_informed }) => {
                (source, was_informed) = (incarnation, is_informed);
            }
            Ok(part) => {
                facts += traffic.gateway.borrow_mut().receive_handover(now, source, part);
            }
            Err(error) => tracing::debug!(%error, "unknown part of another instance's answer"),
        }
    }
    (was_informed, facts)
}

/// What this instance knows, for one that starts.
pub fn answer(traffic: &Traffic) -> Bytes {
    let parts = traffic.gateway.borrow_mut().handover(traffic.now(), traffic.is_informed.get());
    let mut bytes = BytesMut::new();
    for part in parts {
        match rmp_serde::to_vec(&part) {
            Ok(part) if bytes.len() + part.len() + 4 <= ANSWER_BYTES => {
                bytes.put_u32(u32::try_from(part.len()).unwrap_or(u32::MAX));
                bytes.extend_from_slice(&part);
            }
            Ok(part) => {
                tracing::warn!(bytes = part.len(), "part of an answer to an instance left out");
            }
            Err(error) => {
                tracing::warn!(%error, "part of an answer to an instance can't be encoded");
            }
        }
    }
    traffic.metrics.message_bytes("sent", bytes.len() as u64);
    bytes.freeze()
}

/// The next frame, without its length; none at the end or if it is incomplete.
fn take_frame(bytes: &mut Bytes) -> Option<Bytes> {
    let length = bytes.try_get_u32().ok()?;
    let length = usize::try_from(length).ok()?;
    (length <= bytes.len()).then(|| bytes.split_to(length))
}
