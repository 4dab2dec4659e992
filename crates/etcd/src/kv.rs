//! Client for the key-value service.
//!
//! A call that is known not to have run is retried at the next endpoint. A failed read has no
//! effect; a write that failed after some bytes may have been sent is ambiguous.

mod wire;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use acacia_policy::kv::{Entry, Failure, Key, LeaseId, ModRevision, Outcome, Reply, Request};
use bytes::{Bytes, BytesMut};
use reqwest::StatusCode;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::count::{Counters, Counts, Kind};
use wire::{
    EventKind, KeepAlive, LeaseRequest, LeaseStatus, Operation, Range, RangeResponse, Response,
    Transaction, TransactionResponse, Watch, WatchLine,
};

/// Timeout of a call, unless set.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of a watch, unless set; the key is then read once instead.
const DEFAULT_WATCH_TIMEOUT: Duration = Duration::from_secs(60);

/// A client for the key-value service; clones share connections and counters.
#[derive(Clone, Debug)]
pub struct Client {
    endpoints: Arc<[SocketAddr]>,
    /// Index of the endpoint that answered last.
    preferred: Arc<AtomicUsize>,
    http: reqwest::Client,
    counters: Arc<Counters>,
    timeout: Duration,
    watch_timeout: Duration,
}

/// Why a call to one endpoint failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fault {
    /// The call did not run.
    NotRun,
    /// The call may have run.
    MayHaveRun,
    /// The value is too large.
    TooLarge,
}

impl Client {
    /// Creates a client for a service that is available at each of `endpoints`.
    pub fn new(endpoints: Vec<SocketAddr>) -> Self {
        Self {
            endpoints: endpoints.into(),
            preferred: Arc::default(),
            http: crate::http_client(),
            counters: Arc::default(),
            timeout: DEFAULT_TIMEOUT,
            watch_timeout: DEFAULT_WATCH_TIMEOUT,
        }
    }

    /// Sets the timeout of a call.
    #[must_use]
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Sets the timeout of a watch.
    #[must_use]
    pub fn with_watch_timeout(mut self, timeout: Duration) -> Self {
        self.watch_timeout = timeout;
        self
    }

    /// Counts of the calls made so far.
    pub fn counts(&self) -> Counts {
        self.counters.snapshot()
    }

    /// Makes a call.
    pub async fn call(&self, request: Request) -> Outcome {
        let outcome = self.run(request).await;
        match outcome {
            Err(Failure::Unavailable) => self.counters.increment(Kind::Unavailable),
            Err(Failure::Ambiguous) => self.counters.increment(Kind::Ambiguous),
            Ok(_) | Err(Failure::TooLarge) => {}
        }
        outcome
    }

    async fn run(&self, request: Request) -> Outcome {
        match request {
            Request::Get { key } => self.get(&key).await,
            Request::List { prefix } => self.list(&prefix).await,
            Request::Swap { key, expected, value, lease } => {
                let transaction = Transaction::swap(&key, expected, value, lease);
                self.swap(&transaction).await
            }
            Request::Grant { ttl } => self.grant(ttl).await,
            Request::Renew { lease } => self.renew(lease).await,
            Request::Revoke { lease } => self.revoke(lease).await,
            Request::Watch { key, after } => self.watch(&key, after).await,
        }
    }

    async fn get(&self, key: &str) -> Outcome {
        let range: RangeResponse = self.read(Kind::Get, "/v3/kv/range", &Range::one(key)).await?;
        Ok(Reply::Got(range.into_entries()?.pop()))
    }

    async fn list(&self, prefix: &str) -> Outcome {
        let range: RangeResponse =
            self.read(Kind::List, "/v3/kv/range", &Range::prefix(prefix)).await?;
        Ok(Reply::Listed(range.into_entries()?))
    }

    async fn swap(&self, transaction: &Transaction) -> Outcome {
        let response: TransactionResponse =
            self.write(Kind::Swap, "/v3/kv/txn", transaction).await?;
        if response.succeeded {
            return Ok(Reply::Swapped(response.header.revision));
        }
        let range = response.responses.into_iter().find_map(|response| match response {
            Response::Range(range) => Some(range),
            Response::Put {} | Response::Delete {} => None,
        });
        // The comparison failed, so nothing was written, whatever else the response contains.
        let entries = range.map(RangeResponse::into_entries).transpose()?;
        Ok(Reply::Conflict(entries.and_then(|mut entries| entries.pop())))
    }

    async fn grant(&self, ttl: Duration) -> Outcome {
        // The service counts whole seconds; rounding up never shortens the requested lease.
        let seconds = ttl.as_secs() + u64::from(ttl.subsec_nanos() > 0);
        let request = LeaseRequest::grant(seconds.max(1).try_into().unwrap_or(LeaseId::MAX));
        let status: LeaseStatus = self.write(Kind::Grant, "/v3/lease/grant", &request).await?;
        Ok(status.into_reply())
    }

    async fn renew(&self, lease: LeaseId) -> Outcome {
        let request = LeaseRequest::lease(lease);
        let response: KeepAlive = self.write(Kind::Renew, "/v3/lease/keepalive", &request).await?;
        Ok(response.result.into_reply())
    }

    async fn revoke(&self, lease: LeaseId) -> Outcome {
        let request = LeaseRequest::lease(lease);
        let _: serde_json::Value = self.write(Kind::Revoke, "/v3/lease/revoke", &request).await?;
        Ok(Reply::Revoked)
    }

    /// Waits for a change of a key in one long call; reads the key if the watch times out or the
    /// service no longer stores the requested revisions.
    async fn watch(&self, key: &Key, after: ModRevision) -> Outcome {
        let waited = tokio::time::timeout(self.watch_timeout, self.await_change(key, after)).await;
        match waited {
            Ok(Ok(WatchEnd::Changed(entry))) => Ok(Reply::Got(entry)),
            Ok(Ok(WatchEnd::Compacted)) | Err(_) => self.get(key).await,
            Ok(Err(failure)) => Err(failure),
        }
    }

    async fn await_change(&self, key: &Key, after: ModRevision) -> Result<WatchEnd, Failure> {
        let watch = Watch::new(key, after + 1);
        let mut answer = self.open_watch(&watch).await?;
        let mut pending = BytesMut::new();
        loop {
            let line = next_line(&mut answer, &mut pending).await?;
            let line: WatchLine =
                serde_json::from_slice(&line).map_err(|_| Failure::Unavailable)?;
            if line.result.compact_revision > 0 {
                return Ok(WatchEnd::Compacted);
            }
            let Some(last) = line.result.events.into_iter().next_back() else { continue };
            match last.kind {
                EventKind::Put => return Ok(WatchEnd::Changed(Some(last.kv.into_entry()?))),
                EventKind::Delete if after > 0 => return Ok(WatchEnd::Changed(None)),
                // The caller already knows that the key is absent.
                EventKind::Delete => {}
            }
        }
    }

    async fn open_watch(&self, watch: &Watch) -> Result<reqwest::Response, Failure> {
        let body = encode(watch)?;
        let sent = self.send_to_any(Kind::Watch, "/v3/watch", &body, None).await;
        sent.map_err(|_| Failure::Unavailable)
    }

    /// Makes a call without side effects, so any failure is unavailable and never ambiguous.
    async fn read<T: DeserializeOwned>(
        &self,
        kind: Kind,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, Failure> {
        let body = encode(body)?;
        let unavailable = |_| Failure::Unavailable;
        let answer =
            self.send_to_any(kind, path, &body, Some(self.timeout)).await.map_err(unavailable)?;
        answer.json().await.map_err(|_| Failure::Unavailable)
    }

    async fn write<T: DeserializeOwned>(
        &self,
        kind: Kind,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, Failure> {
        let body = encode(body)?;
        let sent = self.send_to_any(kind, path, &body, Some(self.timeout)).await;
        let answer = sent.map_err(|fault| match fault {
            Fault::NotRun => Failure::Unavailable,
            Fault::MayHaveRun => Failure::Ambiguous,
            Fault::TooLarge => Failure::TooLarge,
        })?;
        answer.json().await.map_err(|_| Failure::Ambiguous)
    }

    /// Sends a call to the endpoints in turn for as long as it is known not to have run.
    async fn send_to_any(
        &self,
        kind: Kind,
        path: &str,
        body: &Bytes,
        timeout: Option<Duration>,
    ) -> Result<reqwest::Response, Fault> {
        let first = self.preferred.load(Ordering::Relaxed);
        for offset in 0..self.endpoints.len() {
            let index = (first + offset) % self.endpoints.len();
            let url = format!("http://{}{path}", self.endpoints[index]);
            self.counters.increment(kind);
            match self.send_to(&url, body.clone(), timeout).await {
                Err(Fault::NotRun) => {}
                result => {
                    self.preferred.store(index, Ordering::Relaxed);
                    return result;
                }
            }
        }
        Err(Fault::NotRun)
    }

    async fn send_to(
        &self,
        url: &str,
        body: Bytes,
        timeout: Option<Duration>,
    ) -> Result<reqwest::Response, Fault> {
        let mut call = self.http.post(url).header("content-type", "application/json").body(body);
        if let Some(timeout) = timeout {
            call = call.timeout(timeout);
        }
        let answer = call.send().await.map_err(|error| match error.is_connect() {
            true => Fault::NotRun,
            false => Fault::MayHaveRun,
        })?;
        match answer.status() {
            status if status.is_success() => Ok(answer),
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => Err(Fault::NotRun),
            StatusCode::PAYLOAD_TOO_LARGE => Err(Fault::TooLarge),
            // The service rejects malformed requests before it runs them.
            status if status.is_client_error() => Err(Fault::NotRun),
            _ => Err(Fault::MayHaveRun),
        }
    }
}

/// Outcome of a watch.
enum WatchEnd {
    /// The key's state after the change.
    Changed(Option<Entry>),
    /// The service no longer stores the requested revisions.
    Compacted,
}

/// Reads the next line of a watch, without its line break.
async fn next_line(
    answer: &mut reqwest::Response,
    pending: &mut BytesMut,
) -> Result<Bytes, Failure> {
    loop {
        if let Some(end) = pending.iter().position(|byte| *byte == b'\n') {
            let line = pending.split_to(end + 1).freeze();
            return Ok(line.slice(..end));
        }
        match answer.chunk().await {
            Ok(Some(bytes)) => pending.extend_from_slice(&bytes),
            Ok(None) | Err(_) => return Err(Failure::Unavailable),
        }
    }
}

/// Encodes a body as JSON, which can't fail for the types of [`wire`].
fn encode(body: &impl Serialize) -> Result<Bytes, Failure> {
    serde_json::to_vec(body).map(Bytes::from).map_err(|_| Failure::Unavailable)
}

impl Range {
    fn one(key: &str) -> Self {
        Self { key: key.into(), range_end: Vec::new() }
    }

    fn prefix(prefix: &str) -> Self {
        Self { key: prefix.into(), range_end: prefix_end(prefix.as_bytes()) }
    }
}

/// The first key after all keys that start with `prefix`; a zero byte means that there is none.
fn prefix_end(prefix: &[u8]) -> Vec<u8> {
    let mut end = prefix.to_vec();
    while let Some(last) = end.last_mut() {
        if *last < u8::MAX {
            *last += 1;
            return end;
        }
        end.pop();
    }
    vec![0]
}

impl Transaction {
    fn swap(
        key: &str,
        expected: ModRevision,
        value: Option<Vec<u8>>,
        lease: Option<LeaseId>,
    ) -> Self {
        let write = match value {
            Some(value) => Operation::put(key, value, lease),
            None => Operation::delete(key),
        };
        Self::compare(key, expected, write, Operation::Range(Range::one(key)))
    }
}
