//! Sends batches.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use acacia_policy::message::Envelope;

use crate::codec::Error;
use crate::{Counters, PATH, codec};

/// Longest time that one batch is tried for.
const TIMEOUT: Duration = Duration::from_secs(1);
/// Idle connections kept to one peer.
const IDLE_CONNECTIONS: usize = 2;

/// Sends to any peer; clones share connections and counters.
#[derive(Clone, Debug)]
pub struct Client {
    http: reqwest::Client,
    counters: Arc<Counters>,
}

/// What became of a batch that was sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The peer took it.
    Sent,
    /// Given up; the peer may have taken it all the same.
    Dropped,
}

impl Client {
    /// A client with no connections yet.
    ///
    /// Fails when the TLS backend can't start.
    pub fn new() -> Result<Self, reqwest::Error> {
        // A provider that another client has installed serves as well.
        let _ = rustls::crypto::ring::default_provider().install_default();
        let http = reqwest::Client::builder()
            .no_proxy()
            .timeout(TIMEOUT)
            .connect_timeout(TIMEOUT)
            .pool_max_idle_per_host(IDLE_CONNECTIONS)
            .tcp_nodelay(true)
            .build()?;
        Ok(Self { http, counters: Arc::default() })
    }

    /// Sends a batch once, in as many bodies as its size takes.
    pub async fn send(&self, peer: SocketAddr, batch: &[Envelope]) -> Outcome {
        let mut outcome = Outcome::Sent;
        let mut parts = vec![batch];
        while let Some(part) = parts.pop() {
            match codec::encode(part) {
                Ok(body) => {
                    if self.post(peer, body, part.len()).await == Outcome::Dropped {
                        outcome = Outcome::Dropped;
                    }
                }
                Err(Error::TooLarge(_) | Error::TooMany(_)) if part.len() > 1 => {
                    let (first, second) = part.split_at(part.len() / 2);
                    parts.extend([second, first]);
                }
                Err(error) => {
                    tracing::warn!(%error, "message dropped");
                    self.counters.dropped.add(part.len());
                    outcome = Outcome::Dropped;
                }
            }
        }
        outcome
    }

    /// What was sent so far.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    async fn post(&self, peer: SocketAddr, body: Vec<u8>, messages: usize) -> Outcome {
        let bytes = body.len();
        let url = format!("http://{peer}{PATH}");
        let answer = self.http.post(url).body(body).send().await;
        if answer.is_ok_and(|answer| answer.status().is_success()) {
            self.counters.batches.add(1);
            self.counters.messages.add(messages);
            self.counters.bytes.add(bytes);
            return Outcome::Sent;
        }
        self.counters.dropped.add(messages);
        Outcome::Dropped
    }
}
