//! One call to the key-value service, and what is known when it fails.
//!
//! A call that is known not to have run is tried at the next endpoint. A read that failed had no
//! effect; a write that failed after a byte may have left is ambiguous.

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

use crate::count::{Counts, Kind, Tally};
use wire::{
    Ask, EventKind, KeepAlive, Leased, Operation, Range, Ranged, Response, Transacted, Transaction,
    Watch, WatchLine,
};

/// Longest wait for an answer, unless set.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Longest wait of a watch, after which the key is read once instead.
const WATCH_TIMEOUT: Duration = Duration::from_secs(60);

/// A client of the key-value service; clones share connections and counts.
#[derive(Clone, Debug)]
pub struct Client {
    endpoints: Arc<[SocketAddr]>,
    /// Index of the endpoint that answered last.
    preferred: Arc<AtomicUsize>,
    http: reqwest::Client,
    tally: Arc<Tally>,
    timeout: Duration,
    watch_timeout: Duration,
}

/// How one try at one endpoint failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fault {
    /// Known not to have run.
    NotRun,
    /// It may have run.
    MayHaveRun,
    /// The value is too large.
    TooLarge,
}

impl Client {
    /// A client of a service that answers at each of `endpoints`.
    pub fn new(endpoints: Vec<SocketAddr>) -> Self {
        Self {
            endpoints: endpoints.into(),
            preferred: Arc::default(),
            http: crate::http_client(),
            tally: Arc::default(),
            timeout: TIMEOUT,
            watch_timeout: WATCH_TIMEOUT,
        }
    }

    /// Sets the longest wait for an answer.
    #[must_use]
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Sets the longest wait of a watch.
    #[must_use]
    pub fn with_watch_timeout(mut self, timeout: Duration) -> Self {
        self.watch_timeout = timeout;
        self
    }

    /// Calls made so far, by kind.
    pub fn counts(&self) -> Counts {
        self.tally.read()
    }

    /// Makes one call.
    pub async fn call(&self, request: Request) -> Outcome {
        let outcome = self.run(request).await;
        match outcome {
            Err(Failure::Unavailable) => self.tally.count(Kind::Unavailable),
            Err(Failure::Ambiguous) => self.tally.count(Kind::Ambiguous),
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
        let ranged: Ranged = self.read(Kind::Get, "/v3/kv/range", &Range::one(key)).await?;
        Ok(Reply::Got(ranged.into_entries()?.pop()))
    }

    async fn list(&self, prefix: &str) -> Outcome {
        let ranged: Ranged = self.read(Kind::List, "/v3/kv/range", &Range::prefix(prefix)).await?;
        Ok(Reply::Listed(ranged.into_entries()?))
    }

    async fn swap(&self, transaction: &Transaction) -> Outcome {
        let done: Transacted = self.write(Kind::Swap, "/v3/kv/txn", transaction).await?;
        if done.succeeded {
            return Ok(Reply::Swapped(done.header.revision));
        }
        let ranged = done.responses.into_iter().find_map(|response| match response {
            Response::Range(ranged) => Some(ranged),
            Response::Put {} | Response::Delete {} => None,
        });
        // The comparison failed, so that nothing was written, whatever else the answer says.
        let entries = ranged.map(Ranged::into_entries).transpose()?;
        Ok(Reply::Conflict(entries.and_then(|mut entries| entries.pop())))
    }

    async fn grant(&self, ttl: Duration) -> Outcome {
        // The service counts whole seconds; a lease never lives shorter than asked.
        let seconds = ttl.as_secs() + u64::from(ttl.subsec_nanos() > 0);
        let ask = Ask::grant(seconds.max(1).try_into().unwrap_or(LeaseId::MAX));
        let leased: Leased = self.write(Kind::Grant, "/v3/lease/grant", &ask).await?;
        Ok(leased.into_reply())
    }

    async fn renew(&self, lease: LeaseId) -> Outcome {
        let ask = Ask::lease(lease);
        let kept: KeepAlive = self.write(Kind::Renew, "/v3/lease/keepalive", &ask).await?;
        Ok(kept.result.into_reply())
    }

    async fn revoke(&self, lease: LeaseId) -> Outcome {
        let ask = Ask::lease(lease);
        let _: serde_json::Value = self.write(Kind::Revoke, "/v3/lease/revoke", &ask).await?;
        Ok(Reply::Revoked)
    }

    /// Waits for a change as one long call; reads the key when none comes in time.
    async fn watch(&self, key: &Key, after: ModRevision) -> Outcome {
        let waited = tokio::time::timeout(self.watch_timeout, self.await_change(key, after)).await;
        match waited {
            Ok(Ok(Change::Seen(entry))) => Ok(Reply::Got(entry)),
            Ok(Ok(Change::Lost)) | Err(_) => self.get(key).await,
            Ok(Err(failure)) => Err(failure),
        }
    }

    async fn await_change(&self, key: &Key, after: ModRevision) -> Result<Change, Failure> {
        let watch = Watch::new(key, after + 1);
        let mut answer = self.open_watch(&watch).await?;
        let mut pending = BytesMut::new();
        loop {
            let line = next_line(&mut answer, &mut pending).await?;
            let line: WatchLine =
                serde_json::from_slice(&line).map_err(|_| Failure::Unavailable)?;
            if line.result.compact_revision > 0 {
                return Ok(Change::Lost);
            }
            let Some(last) = line.result.events.into_iter().next_back() else { continue };
            match last.kind {
                EventKind::Put => return Ok(Change::Seen(Some(last.kv.into_entry()?))),
                EventKind::Delete if after > 0 => return Ok(Change::Seen(None)),
                // The caller already knows that the key is absent.
                EventKind::Delete => {}
            }
        }
    }

    async fn open_watch(&self, watch: &Watch) -> Result<reqwest::Response, Failure> {
        let body = encode(watch)?;
        let sent = self.try_all(Kind::Watch, "/v3/watch", &body, None).await;
        sent.map_err(|_| Failure::Unavailable)
    }

    /// A call without effect: however it fails, it did nothing.
    async fn read<T: DeserializeOwned>(
        &self,
        kind: Kind,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, Failure> {
        let body = encode(body)?;
        let unavailable = |_| Failure::Unavailable;
        let answer =
            self.try_all(kind, path, &body, Some(self.timeout)).await.map_err(unavailable)?;
        answer.json().await.map_err(|_| Failure::Unavailable)
    }

    async fn write<T: DeserializeOwned>(
        &self,
        kind: Kind,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, Failure> {
        let body = encode(body)?;
        let sent = self.try_all(kind, path, &body, Some(self.timeout)).await;
        let answer = sent.map_err(|fault| match fault {
            Fault::NotRun => Failure::Unavailable,
            Fault::MayHaveRun => Failure::Ambiguous,
            Fault::TooLarge => Failure::TooLarge,
        })?;
        answer.json().await.map_err(|_| Failure::Ambiguous)
    }

    /// Tries the endpoints in turn for as long as the call is known not to have run.
    async fn try_all(
        &self,
        kind: Kind,
        path: &str,
        body: &Bytes,
        timeout: Option<Duration>,
    ) -> Result<reqwest::Response, Fault> {
        let first = self.preferred.load(Ordering::Relaxed);
        for step in 0..self.endpoints.len() {
            let index = (first + step) % self.endpoints.len();
            let url = format!("http://{}{path}", self.endpoints[index]);
            self.tally.count(kind);
            match self.try_one(&url, body.clone(), timeout).await {
                Err(Fault::NotRun) => {}
                ended => {
                    self.preferred.store(index, Ordering::Relaxed);
                    return ended;
                }
            }
        }
        Err(Fault::NotRun)
    }

    async fn try_one(
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
            // The service refuses what it can't read before it does anything.
            status if status.is_client_error() => Err(Fault::NotRun),
            _ => Err(Fault::MayHaveRun),
        }
    }
}

/// How a watch ended.
enum Change {
    /// The key's state after the change.
    Seen(Option<Entry>),
    /// The service no longer holds the changes asked for.
    Lost,
}

/// The next line of a watch, without its end.
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

/// JSON of a body; our own types always have one.
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

/// The first key after all that start with `prefix`; a zero byte stands for no end.
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
