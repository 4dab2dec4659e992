//! A client of the administration API.

use std::time::Duration;

use acacia_catalog::Document;
use acacia_catalog::id::Revision;
use reqwest::RequestBuilder;
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

use crate::call::{
    Accepted, Apply, Checked, Configuration, HistoryEntry, Order, Ordered, PREFIX, Rollback,
    SetState, Trace,
};
use crate::fault::Body;
use crate::{Fault, Status};

/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);
/// Timeout for the answer, in addition to the wait that the call asks for.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);

/// A client of one daemon.
#[derive(Clone, Debug)]
pub struct Client {
    http: reqwest::Client,
    server: String,
    token: String,
}

/// Why a call failed.
#[derive(Debug, Error)]
pub enum Error {
    /// The daemon refused the call.
    #[error(transparent)]
    Refused(#[from] Fault),
    /// The request could not be built or the connection failed; the call was not sent.
    #[error("failed to connect to the daemon: {0}")]
    Unreachable(reqwest::Error),
    /// No complete answer arrived; the call may have been processed.
    #[error("no complete answer from the daemon: {0}")]
    AnswerLost(reqwest::Error),
    /// The response is not one of this API.
    #[error("not a response of the administration API (HTTP {status}): {reason}")]
    Unexpected {
        /// HTTP status code.
        status: u16,
        /// Why the body can't be parsed.
        reason: String,
    },
}

/// The result of a call.
pub type Outcome<T> = Result<T, Error>;

impl Client {
    /// Creates a client of the daemon at `server`, such as `127.0.0.1:7000`, for a bearer token.
    ///
    /// Fails if the TLS backend can't be initialised.
    pub fn new(
        server: impl Into<String>,
        token: impl Into<String>,
    ) -> Result<Self, reqwest::Error> {
        // Fails if another client has already installed a provider, which works as well.
        let _ = rustls::crypto::ring::default_provider().install_default();
        let builder = reqwest::Client::builder().no_proxy().connect_timeout(CONNECT_TIMEOUT);
        let mut server = server.into();
        if !server.contains("://") {
            server.insert_str(0, "http://");
        }
        let server = server.trim_end_matches('/').to_owned();
        Ok(Self { http: builder.build()?, server, token: token.into() })
    }

    /// Checks a document without publishing it.
    pub async fn check(&self, document: &Document) -> Outcome<Checked> {
        self.post("check", document, 0).await
    }

    /// Publishes a document as the new configuration.
    pub async fn apply(&self, apply: &Apply) -> Outcome<Accepted> {
        self.post("apply", apply, apply.wait_ms).await
    }

    /// Publishes an earlier configuration again.
    pub async fn rollback(&self, rollback: &Rollback) -> Outcome<Accepted> {
        self.post("rollback", rollback, rollback.wait_ms).await
    }

    /// Takes an availability zone out of service or back.
    pub async fn set_zone_state(&self, zone: &str, call: &SetState) -> Outcome<Accepted> {
        self.post(&format!("zones/{zone}"), call, call.wait_ms).await
    }

    /// Takes an upstream out of service or back.
    pub async fn set_upstream_state(&self, upstream: &str, call: &SetState) -> Outcome<Accepted> {
        self.post(&format!("upstreams/{upstream}"), call, call.wait_ms).await
    }

    /// Sends an order to an upstream.
    pub async fn order(&self, upstream: &str, order: &Order) -> Outcome<Ordered> {
        self.post(&format!("upstreams/{upstream}/orders"), order, 0).await
    }

    /// The configuration of a revision; without one, the configuration in force.
    pub async fn configuration(&self, revision: Option<Revision>) -> Outcome<Configuration> {
        match revision {
            None => self.get("configuration").await,
            Some(revision) => self.get(&format!("configuration?revision={revision}")).await,
        }
    }

    /// Accepted changes, latest first.
    pub async fn history(&self) -> Outcome<Vec<HistoryEntry>> {
        self.get("history").await
    }

    /// Status of the daemons, upstreams and stores.
    pub async fn status(&self) -> Outcome<Status> {
        self.get("status").await
    }

    /// The spans of a recent request.
    pub async fn trace(&self, id: &str) -> Outcome<Trace> {
        self.get(&format!("traces/{id}")).await
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Outcome<T> {
        let url = format!("{}{PREFIX}/{path}", self.server);
        self.send(self.http.get(url).timeout(ANSWER_TIMEOUT)).await
    }

    async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
        wait_ms: u64,
    ) -> Outcome<T> {
        let url = format!("{}{PREFIX}/{path}", self.server);
        let timeout = ANSWER_TIMEOUT + Duration::from_millis(wait_ms);
        self.send(self.http.post(url).json(body).timeout(timeout)).await
    }

    async fn send<T: DeserializeOwned>(&self, request: RequestBuilder) -> Outcome<T> {
        let response = request.bearer_auth(&self.token).send().await.map_err(send_error)?;
        let status = response.status();
        let bytes = response.bytes().await.map_err(Error::AnswerLost)?;
        let unexpected = |e: serde_json::Error| Error::Unexpected {
            status: status.as_u16(),
            reason: e.to_string(),
        };
        if status.is_success() {
            return serde_json::from_slice(&bytes).map_err(unexpected);
        }
        let body: Body = serde_json::from_slice(&bytes).map_err(unexpected)?;
        Err(Error::Refused(body.error))
    }
}

fn send_error(error: reqwest::Error) -> Error {
    if error.is_connect() || error.is_builder() {
        Error::Unreachable(error)
    } else {
        Error::AnswerLost(error)
    }
}
