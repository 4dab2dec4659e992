//! Client for KV cache stores that verifies all answers.

use std::net::SocketAddr;
use std::time::Duration;

use acacia_catalog::id::Incarnation;
use acacia_policy::request::BlockKey;
use bytes::Bytes;
use reqwest::{Response, StatusCode};
use serde::{Deserialize, Serialize};

use crate::{Error, Manifest, Metadata};

/// Timeout of a call, unless set.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A client for one store; clones share connections.
#[derive(Clone, Debug)]
pub struct Client {
    address: SocketAddr,
    http: reqwest::Client,
    timeout: Duration,
}

/// Result of looking blocks up in a store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct Lookup {
    /// Incarnation of the store.
    pub incarnation: Incarnation,
    /// Manifest of each block in the order of the query, if the store holds one.
    pub manifests: Vec<Option<Manifest>>,
}

#[derive(Serialize)]
struct Query {
    keys: Vec<String>,
}

impl Client {
    /// Creates a client for the store at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, http: http_client(), timeout: DEFAULT_TIMEOUT }
    }

    /// Sets the timeout of a call.
    #[must_use]
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Looks up which of `keys` the store holds; ignores manifests of earlier incarnations.
    ///
    /// # Errors
    /// If the store gives no valid answer.
    pub async fn find(&self, keys: &[BlockKey]) -> Result<Lookup, Error> {
        let query = Query { keys: keys.iter().map(hex).collect() };
        let call = self.http.post(self.url("manifests/lookup")).json(&query);
        let answer = check(call.timeout(self.timeout).send().await?)?;
        let mut lookup: Lookup = answer.json().await?;
        if lookup.manifests.len() != keys.len() {
            let message = "the store answered for a different number of blocks".to_owned();
            return Err(Error::Unreachable(message));
        }
        for manifest in &mut lookup.manifests {
            manifest.take_if(|manifest| manifest.incarnation != lookup.incarnation);
        }
        Ok(lookup)
    }

    /// Reads a block and verifies its length, checksum and incarnation against `manifest`.
    ///
    /// # Errors
    /// If the store doesn't hold the block, gives no valid answer, or the verification fails.
    pub async fn fetch(&self, key: &BlockKey, manifest: &Manifest) -> Result<Bytes, Error> {
        let call = self.http.get(self.block_url(key)).timeout(self.timeout);
        let answer = check(call.send().await?)?;
        if incarnation(&answer)? != manifest.incarnation {
            return Err(Error::Stale);
        }
        let bytes = answer.bytes().await?;
        let has_length = bytes.len() as u64 == manifest.length;
        if has_length && blake3::hash(&bytes).to_hex().as_str() == manifest.checksum {
            Ok(bytes)
        } else {
            Err(Error::Corrupt)
        }
    }

    /// Writes a block, and then the manifest that makes it readable.
    ///
    /// # Errors
    /// If the store is full, has restarted in between, or doesn't confirm both writes.
    pub async fn save(
        &self,
        key: &BlockKey,
        bytes: Bytes,
        metadata: Metadata,
    ) -> Result<Manifest, Error> {
        let checksum = blake3::hash(&bytes).to_hex().to_string();
        let length = bytes.len() as u64;
        let call = self.http.put(self.block_url(key)).timeout(self.timeout);
        let call = call.header("x-checksum", &checksum);
        let call = call.header("x-logical-bytes", metadata.logical_bytes);
        let answer = check(call.body(bytes).send().await?)?;
        let incarnation = incarnation(&answer)?;
        read_to_end(answer).await?;
        let manifest = Manifest {
            length,
            checksum,
            incarnation,
            logical_bytes: metadata.logical_bytes,
            version: metadata.version,
        };
        self.publish(key, &manifest).await?;
        Ok(manifest)
    }

    /// Removes a block and its manifest.
    pub async fn remove(&self, key: &BlockKey) -> Result<(), Error> {
        let call = self.http.delete(self.block_url(key)).timeout(self.timeout);
        read_to_end(check(call.send().await?)?).await
    }

    async fn publish(&self, key: &BlockKey, manifest: &Manifest) -> Result<(), Error> {
        let url = self.url(&format!("manifests/{}", hex(key)));
        let call = self.http.put(url).json(manifest).timeout(self.timeout);
        read_to_end(check(call.send().await?)?).await
    }

    fn block_url(&self, key: &BlockKey) -> String {
        self.url(&format!("blocks/{}", hex(key)))
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}/v1/{path}", self.address)
    }
}

/// Creates an HTTP client without TLS or proxy.
fn http_client() -> reqwest::Client {
    // The library requires a TLS provider even without TLS. Fails if one is installed already.
    let _ = rustls::crypto::ring::default_provider().install_default();
    let builder = reqwest::Client::builder().connect_timeout(CONNECT_TIMEOUT).no_proxy();
    builder.tls_certs_only([]).build().unwrap_or_default()
}

fn hex(key: &BlockKey) -> String {
    blake3::Hash::from_bytes(*key).to_hex().to_string()
}

fn check(answer: Response) -> Result<Response, Error> {
    match answer.status() {
        status if status.is_success() => Ok(answer),
        StatusCode::NOT_FOUND => Err(Error::Missing),
        StatusCode::CONFLICT => Err(Error::Stale),
        StatusCode::INSUFFICIENT_STORAGE => Err(Error::Full),
        // The bytes changed in transit.
        StatusCode::UNPROCESSABLE_ENTITY => Err(Error::Corrupt),
        status => Err(Error::Unreachable(format!("HTTP status {status}"))),
    }
}

/// Reads and drops the body of an answer, which confirms a write only if it is whole.
async fn read_to_end(mut answer: Response) -> Result<(), Error> {
    while answer.chunk().await?.is_some() {}
    Ok(())
}

fn incarnation(answer: &Response) -> Result<Incarnation, Error> {
    let header = answer.headers().get("x-incarnation");
    let number = header.and_then(|value| value.to_str().ok()).and_then(|text| text.parse().ok());
    number.ok_or_else(|| Error::Unreachable("header x-incarnation is missing".to_owned()))
}
