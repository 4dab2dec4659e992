//! Callers of the deployment.

use std::net::SocketAddr;

use acacia_connection::{Connection, Head, IdleState, KeepAlive, encode_head};
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method};

use crate::fixture::TIMEOUT;

/// A caller's answer.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub body: Bytes,
    pub is_complete: bool,
    /// Seconds after which the caller may come back, if the answer states them.
    pub retry_after: Option<f64>,
}

impl Answer {
    /// Ids of the events, in order.
    pub fn event_ids(&self) -> Vec<u32> {
        let text = String::from_utf8_lossy(&self.body);
        text.lines().filter_map(|line| line.strip_prefix("id: ")?.parse().ok()).collect()
    }
}

/// Sends a request over a new connection.
pub async fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&'static str, String)],
    body: &'static [u8],
) -> Answer {
    try_call(address, method, target, headers, body).await.expect("an answer")
}

/// The same; `None` if there is no answer.
pub async fn try_call(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&'static str, String)],
    body: &'static [u8],
) -> Option<Answer> {
    let mut caller = Caller::connect(address).await?;
    let head = request_head(method, target, headers, body.len());
    caller.send(&[&*head, body].concat()).await?;
    caller.answer().await
}

/// Head of a request.
pub fn request_head(
    method: &str,
    target: &str,
    headers: &[(&'static str, String)],
    body_bytes: usize,
) -> Bytes {
    let mut fields = HeaderMap::new();
    for (name, value) in headers {
        fields.insert(HeaderName::from_static(name), HeaderValue::from_str(value).unwrap());
    }
    encode_head(&method.parse().unwrap(), target, &fields, body_bytes)
}

/// A caller's connection.
pub struct Caller(Connection);

impl Caller {
    /// Connects to an instance.
    pub async fn connect(address: SocketAddr) -> Option<Self> {
        let keep_alive =
            KeepAlive { idle: TIMEOUT, interval: TIMEOUT, probes: 2, user_timeout: TIMEOUT };
        Connection::open(address, TIMEOUT, keep_alive).await.ok().map(Self)
    }

    /// Sends some bytes of a request; `None` if the connection is closed.
    pub async fn send(&mut self, bytes: &[u8]) -> Option<()> {
        let bytes = Bytes::copy_from_slice(bytes);
        self.0.send(&Method::POST, &bytes, &Bytes::new()).await.ok()
    }

    /// Reads an answer; `None` if the connection ends before one begins.
    pub async fn answer(&mut self) -> Option<Answer> {
        let head = self.head().await?;
        Some(self.rest(&head).await)
    }

    /// Reads the head of an answer; `None` if the connection ends before one begins.
    pub async fn head(&mut self) -> Option<Head> {
        self.0.head().await.ok()
    }

    /// Reads the rest of an answer.
    pub async fn rest(&mut self, head: &Head) -> Answer {
        let mut received = Vec::new();
        let is_complete = loop {
            match self.0.chunk().await {
                Ok(Some(chunk)) => received.extend_from_slice(&chunk),
                Ok(None) => break true,
                Err(_) => break false,
            }
        };
        let retry_after =
            head.headers.get("retry-after").and_then(|v| v.to_str().ok()?.parse().ok());
        let status = head.status.as_u16();
        Answer { status, body: received.into(), is_complete, retry_after }
    }

    /// Whether the instance keeps the connection open.
    pub fn is_open(&self) -> bool {
        self.0.idle_state() == IdleState::Quiet
    }
}
