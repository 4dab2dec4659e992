//! Client that sends batches.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use acacia_policy::message::Envelope;

use crate::codec::Error;
use crate::{Counters, PATH, codec};

/// Timeout of one HTTP request.
const SEND_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of idle connections to one peer.
const MAX_IDLE_CONNECTIONS: usize = 2;

/// A client for all peers; clones share connections and counters.
#[derive(Clone, Debug)]
pub struct Client {
    http: reqwest::Client,
    counters: Arc<Counters>,
}

/// Outcome of sending a batch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// Accepted by the peer.
    Sent,
    /// Dropped, at least in part; the peer may have accepted it nevertheless.
    Dropped,
}

impl Client {
    /// Creates a client without connections.
    ///
    /// # Errors
    /// If the TLS backend can't be initialised.
    pub fn new() -> Result<Self, reqwest::Error> {
        // Fails if another client has installed the provider already.
        let _ = rustls::crypto::ring::default_provider().install_default();
        let http = reqwest::Client::builder()
            .no_proxy()
            .timeout(SEND_TIMEOUT)
            .connect_timeout(SEND_TIMEOUT)
            .pool_max_idle_per_host(MAX_IDLE_CONNECTIONS)
            .tcp_nodelay(true)
            .build()?;
        Ok(Self { http, counters: Arc::default() })
    }

    /// Sends a batch once, split into as many requests as the size limits require.
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
                    tracing::warn!(%error, "message to a peer dropped: it can't be sent");
                    self.counters.dropped.add(part.len());
                    outcome = Outcome::Dropped;
                }
            }
        }
        outcome
    }

    /// Counters of sent batches.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    async fn post(&self, peer: SocketAddr, body: Vec<u8>, messages: usize) -> Outcome {
        let bytes = body.len();
        let url = format!("http://{peer}{PATH}");
        if let Ok(true) = self.is_accepted(url, body).await {
            self.counters.batches.add(1);
            self.counters.messages.add(messages);
            self.counters.bytes.add(bytes);
            return Outcome::Sent;
        }
        self.counters.dropped.add(messages);
        Outcome::Dropped
    }

    /// Posts a batch; whether the peer accepted it, once its answer is whole.
    async fn is_accepted(&self, url: String, body: Vec<u8>) -> reqwest::Result<bool> {
        let mut answer = self.http.post(url).body(body).send().await?;
        while answer.chunk().await?.is_some() {}
        Ok(answer.status().is_success())
    }
}
