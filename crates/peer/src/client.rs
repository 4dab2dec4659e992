//! Sends batches.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use acacia_policy::message::Envelope;

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
pub enum Sending {
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

    /// Sends a batch once.
    pub async fn send(&self, peer: SocketAddr, batch: &[Envelope]) -> Sending {
        let sent = match codec::encode(batch) {
            Ok(body) => self.post(peer, body).await,
            Err(error) => {
                tracing::warn!(%error, "batch dropped");
                None
            }
        };
        match sent {
            Some(bytes) => {
                self.counters.batches.add(1);
                self.counters.messages.add(batch.len());
                self.counters.bytes.add(bytes);
                Sending::Sent
            }
            None => {
                self.counters.dropped.add(batch.len());
                Sending::Dropped
            }
        }
    }

    /// What was sent so far.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Bytes that the peer took.
    async fn post(&self, peer: SocketAddr, body: Vec<u8>) -> Option<usize> {
        let bytes = body.len();
        let url = format!("http://{peer}{PATH}");
        let response = self.http.post(url).body(body).send().await.ok()?;
        response.status().is_success().then_some(bytes)
    }
}
