//! Client for the platform's list of live and leaving instances, which may be out of date.

use std::net::SocketAddr;
use std::time::Duration;

use acacia_catalog::id::{Incarnation, Name, ZoneId};
use acacia_policy::control::{Instance, InstanceKind};
use serde::Deserialize;
use thiserror::Error;

/// Timeout of a call, unless set.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(2);

/// Why the list can't be read.
#[derive(Debug, Error)]
pub enum Error {
    /// The service gave no complete and valid answer.
    #[error(
        "the list of live instances at {address} gave no valid answer; \
         check the address and the platform"
    )]
    Unreachable {
        /// Address of the service.
        address: SocketAddr,
        /// Underlying error.
        source: reqwest::Error,
    },
    /// The service answered with an error status.
    #[error("the list of live instances at {address} answered with HTTP status {status}")]
    Refused {
        /// Address of the service.
        address: SocketAddr,
        /// HTTP status.
        status: u16,
    },
}

/// A client for the list of instances.
#[derive(Clone, Debug)]
pub struct Client {
    address: SocketAddr,
    http: reqwest::Client,
    timeout: Duration,
}

impl Client {
    /// Creates a client for the list at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, http: crate::http_client(), timeout: DEFAULT_TIMEOUT }
    }

    /// Sets the timeout of a call.
    #[must_use]
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Reads the list.
    ///
    /// # Errors
    /// If the service can't be reached or answers with an error or an invalid body.
    pub async fn read(&self) -> Result<Vec<Instance>, Error> {
        let address = self.address;
        let unreachable = |source| Error::Unreachable { address, source };
        let url = format!("http://{address}/v1/instances");
        let answer = self.http.get(url).timeout(self.timeout).send().await.map_err(unreachable)?;
        if !answer.status().is_success() {
            return Err(Error::Refused { address, status: answer.status().as_u16() });
        }
        let body: Body = answer.json().await.map_err(unreachable)?;
        Ok(body.instances.into_iter().map(Instance::from).collect())
    }
}

#[derive(Deserialize)]
struct Body {
    instances: Vec<Entry>,
}

#[derive(Deserialize)]
struct Entry {
    name: Name,
    kind: InstanceKind,
    address: SocketAddr,
    zone: ZoneId,
    state: State,
    incarnation: Incarnation,
}

#[derive(Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
enum State {
    Live,
    Leaving,
}

impl From<Entry> for Instance {
    fn from(entry: Entry) -> Self {
        Self {
            name: entry.name,
            kind: entry.kind,
            address: entry.address,
            zone: entry.zone,
            leaving: entry.state == State::Leaving,
            incarnation: entry.incarnation,
        }
    }
}
