//! The calls of a store, with every answer verified.

use std::net::SocketAddr;
use std::time::Duration;

use acacia_catalog::id::Incarnation;
use acacia_policy::request::BlockKey;
use bytes::Bytes;
use reqwest::{Response, StatusCode};
use serde::{Deserialize, Serialize};

use crate::{Error, Manifest, Metadata};

/// Longest wait for an answer, unless set.
const TIMEOUT: Duration = Duration::from_secs(10);
/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A client of one store; clones share connections.
#[derive(Clone, Debug)]
pub struct Client {
    address: SocketAddr,
    http: reqwest::Client,
    timeout: Duration,
}

/// What a store holds of the blocks asked for.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct Lookup {
    /// The store's process life.
    pub incarnation: Incarnation,
    /// For each block in order, its manifest if the store holds one.
    pub manifests: Vec<Option<Manifest>>,
}

#[derive(Serialize)]
struct Query {
    keys: Vec<String>,
}

impl Client {
    /// A client of the store at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, http: http_client(), timeout: TIMEOUT }
    }

    /// Sets the longest wait for an answer.
    #[must_use]
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Finds which of `keys` the store holds; manifests of its earlier process lives don't count.
    pub async fn find(&self, keys: &[BlockKey]) -> Result<Lookup, Error> {
        let query = Query { keys: keys.iter().map(hex).collect() };
        let call = self.http.post(self.url("manifests/lookup")).json(&query);
        let answer = check(call.timeout(self.timeout).send().await?)?;
        let mut found: Lookup = answer.json().await?;
        if found.manifests.len() != keys.len() {
            let message = "the store answered about another number of blocks".to_owned();
            return Err(Error::Unreachable(message));
        }
        for manifest in &mut found.manifests {
            manifest.take_if(|manifest| manifest.incarnation != found.incarnation);
        }
        Ok(found)
    }

    /// Reads a block; yields its bytes only if they are those that `manifest` names.
    pub async fn fetch(&self, key: &BlockKey, manifest: &Manifest) -> Result<Bytes, Error> {
        let call = self.http.get(self.block_url(key)).timeout(self.timeout);
        let answer = check(call.send().await?)?;
        if incarnation(&answer)? != manifest.incarnation {
            return Err(Error::Stale);
        }
        let bytes = answer.bytes().await?;
        let whole = bytes.len() as u64 == manifest.length;
        if whole && blake3::hash(&bytes).to_hex().as_str() == manifest.checksum {
            Ok(bytes)
        } else {
            Err(Error::Corrupt)
        }
    }

    /// Writes a block, and after all its bytes the manifest that makes it readable.
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
        let manifest = Manifest {
            length,
            checksum,
            incarnation: incarnation(&answer)?,
            logical_bytes: metadata.logical_bytes,
            version: metadata.version,
        };
        self.publish(key, &manifest).await?;
        Ok(manifest)
    }

    /// Removes a block and its manifest.
    pub async fn remove(&self, key: &BlockKey) -> Result<(), Error> {
        let call = self.http.delete(self.block_url(key)).timeout(self.timeout);
        check(call.send().await?).map(drop)
    }

    async fn publish(&self, key: &BlockKey, manifest: &Manifest) -> Result<(), Error> {
        let url = self.url(&format!("manifests/{}", hex(key)));
        let call = self.http.put(url).json(manifest).timeout(self.timeout);
        check(call.send().await?).map(drop)
    }

    fn block_url(&self, key: &BlockKey) -> String {
        self.url(&format!("blocks/{}", hex(key)))
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}/v1/{path}", self.address)
    }
}

/// A client of plain HTTP, direct to the store's address.
fn http_client() -> reqwest::Client {
    // The library asks for a TLS provider even where no TLS is spoken; a second install is refused.
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
        // The bytes changed on the way.
        StatusCode::UNPROCESSABLE_ENTITY => Err(Error::Corrupt),
        status => Err(Error::Unreachable(format!("status {status}"))),
    }
}

fn incarnation(answer: &Response) -> Result<Incarnation, Error> {
    let header = answer.headers().get("x-incarnation");
    let number = header.and_then(|value| value.to_str().ok()).and_then(|text| text.parse().ok());
    number.ok_or_else(|| Error::Unreachable("no x-incarnation in the answer".to_owned()))
}
