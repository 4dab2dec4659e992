//! HTTP client of the control thread, for calls to upstreams and KV cache stores.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use acacia_connection::{Connection, Fault, IdleState, KeepAlive, encode_head};
use acacia_platform::upstream::Request;
use acacia_policy::gateway::duty::Duty;
use bytes::Bytes;
use http::StatusCode;
use tokio::time::Instant;

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
    /// Which peers answer.
    duty: Rc<RefCell<Duty>>,
}

impl Client {
    /// A client that records in `duty` which peers answer.
    pub fn new(duty: Rc<RefCell<Duty>>) -> Self {
        Self { duty, ..Self::default() }
    }

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
        self.call_within(address, prepared, wait + ANSWER_TIMEOUT).await
    }

    /// Makes one call that must be answered within `timeout`.
    ///
    /// # Errors
    /// As [`Self::call`].
    pub async fn call_within(
        &self,
        address: SocketAddr,
        prepared: &Request,
        timeout: Duration,
    ) -> Result<(StatusCode, Bytes), Fault> {
        let answer = self.exchange(address, prepared, timeout).await;
        match answer {
            Ok(_) => self.duty.borrow_mut().answered(address),
            Err(_) => self.duty.borrow_mut().failed(address),
        }
        answer
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        prepared: &Request,
        timeout: Duration,
    ) -> Result<(StatusCode, Bytes), Fault> {
        let end = Instant::now() + timeout;
        let kept = self.idle.borrow_mut().remove(&address);
        let connection = match kept.filter(|kept| kept.idle_state() == IdleState::Quiet) {
            Some(connection) => connection,
            None => Connection::open(address, CONNECT_TIMEOUT.min(timeout), KEEP_ALIVE).await?,
        };
        let mut call = Call(Some(connection));
        let exchanged = tokio::time::timeout_at(end, call.exchange(prepared)).await;
        let answer = exchanged.unwrap_or(Err(Fault::Unacknowledged))?;
        if let Some(connection) = call.0.take().filter(Connection::is_reusable) {
            self.idle.borrow_mut().insert(address, connection);
        }
        Ok(answer)
    }
}

/// A call in progress. One that is given up or dropped resets its connection, so that nothing of it
/// is delivered later.
struct Call(Option<Connection>);

impl Call {
    async fn exchange(&mut self, prepared: &Request) -> Result<(StatusCode, Bytes), Fault> {
        let Some(connection) = &mut self.0 else { return Err(Fault::Closed) };
        exchange(connection, prepared).await
    }
}

impl Drop for Call {
    fn drop(&mut self) {
        if let Some(connection) = &self.0
            && let Err(error) = connection.abort()
        {
            tracing::debug!(%error, "failed to abort a connection");
        }
    }
}

async fn exchange(
    connection: &mut Connection,
    prepared: &Request,
) -> Result<(StatusCode, Bytes), Fault> {
    let Request { method, path, headers, body } = prepared;
    connection.send(method, &encode_head(method, path, headers, body.len()), body).await?;
    let head = connection.head().await?;
    let body = connection.body(ANSWER_LIMIT).await?;
    Ok((head.status, body))
}
