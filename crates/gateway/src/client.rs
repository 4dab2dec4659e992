//! Calls of the control thread to upstreams and stores of KV cache.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use acacia_connection::{Connection, Fault, KeepAlive, Rest, request};
use acacia_platform::upstream::Errand;
use bytes::Bytes;
use http::StatusCode;

/// Longest wait for a connection; servers answer within a few milliseconds, or not at all.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Longest wait for an answer beyond the time that the call itself may wait.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(800);
/// How a silent peer is noticed; calls are short.
const KEEP_ALIVE: KeepAlive = KeepAlive {
    idle: Duration::from_secs(1),
    interval: Duration::from_secs(1),
    probes: 2,
    unacknowledged: Duration::from_millis(800),
};
/// Largest answer.
const ANSWER_LIMIT: usize = 16 << 20;

/// Makes calls, one connection a peer.
#[derive(Debug, Default)]
pub struct Client {
    idle: RefCell<HashMap<SocketAddr, Connection>>,
}

impl Client {
    /// Makes one call. `wait` is how long it may wait at the peer.
    ///
    /// # Errors
    /// If no whole answer came in time; the call may have been carried out.
    pub async fn call(
        &self,
        address: SocketAddr,
        prepared: &Errand,
        wait: Duration,
    ) -> Result<(StatusCode, Bytes), Fault> {
        let kept = self.idle.borrow_mut().remove(&address);
        let exchange = async {
            let mut connection = match kept.filter(|kept| kept.rest() == Rest::Quiet) {
                Some(connection) => connection,
                None => Connection::open(address, CONNECT_TIMEOUT, KEEP_ALIVE).await?,
            };
            let head =
                request(&prepared.method, &prepared.path, &prepared.headers, prepared.body.len());
            connection.send(&prepared.method, &head, &prepared.body).await?;
            let head = connection.head().await?;
            let body = connection.body(ANSWER_LIMIT).await?;
            if connection.is_reusable() {
                self.idle.borrow_mut().insert(address, connection);
            }
            Ok((head.status, body))
        };
        let timeout = tokio::time::timeout(wait + ANSWER_TIMEOUT, exchange);
        timeout.await.unwrap_or(Err(Fault::Closed))
    }
}
