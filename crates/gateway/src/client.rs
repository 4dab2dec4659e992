//! HTTP client of the control thread, for calls to upstreams and KV cache stores.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use acacia_connection::{Connection, Fault, IdleState, KeepAlive, encode_head};
use acacia_platform::upstream::Request;
use bytes::Bytes;
use http::StatusCode;

/// Connect timeout. A reachable server accepts within a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time allowed for an answer, in addition to the time that the call may wait at the peer.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(800);
/// Detects a silent peer. Calls are short, so the time-outs are too.
const KEEP_ALIVE: KeepAlive = KeepAlive {
    idle: Duration::from_secs(1),
    interval: Duration::from_secs(1),
    probes: 2,
    user_timeout: Duration::from_millis(800),
};
/// Size limit of an answer, in bytes.
const ANSWER_LIMIT: usize = 16 << 20;

/// Makes calls, keeping one idle connection per peer.
#[derive(Debug, Default)]
pub struct Client {
    idle: RefCell<HashMap<SocketAddr, Connection>>,
}

impl Client {
    /// Makes one call, which may wait at the peer for up to `wait`.
    ///
    /// # Errors
    /// If no whole answer arrived in time. The peer may have carried out the call.
    pub async fn call(
        &self,
        address: SocketAddr,
        prepared: &Request,
        wait: Duration,
    ) -> Result<(StatusCode, Bytes), Fault> {
        let kept = self.idle.borrow_mut().remove(&address);
        let exchange = async {
            let mut connection = match kept.filter(|kept| kept.idle_state() == IdleState::Quiet) {
                Some(connection) => connection,
                None => Connection::open(address, CONNECT_TIMEOUT, KEEP_ALIVE).await?,
            };
            let head = encode_head(
                &prepared.method,
                &prepared.path,
                &prepared.headers,
                prepared.body.len(),
            );
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
