//! Reads the platform's list of live and leaving instances, which lags the truth.

use std::net::SocketAddr;
use std::time::Duration;

use acacia_catalog::id::{Incarnation, Name, ZoneId};
use acacia_policy::control::{Instance, InstanceKind};
use serde::Deserialize;
use thiserror::Error;

/// Longest wait for an answer, unless set.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Why the list could not be read.
#[derive(Debug, Error)]
pub enum Error {
    /// No whole answer came.
    #[error("the live list does not answer; is {address} right, and the platform up?")]
    Unreachable {
        /// Where it was asked.
        address: SocketAddr,
        /// What went wrong.
        source: reqwest::Error,
    },
    /// It answered with an error.
    #[error("the live list at {address} answered {status}")]
    Refused {
        /// Where it was asked.
        address: SocketAddr,
        /// HTTP status.
        status: u16,
    },
}

/// A client of the live list.
#[derive(Clone, Debug)]
pub struct Client {
    address: SocketAddr,
    http: reqwest::Client,
    timeout: Duration,
}

impl Client {
    /// A client of the list at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, http: crate::http_client(), timeout: TIMEOUT }
    }

    /// Sets the longest wait for an answer.
    #[must_use]
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Reads the list.
    pub async fn read(&self) -> Result<Vec<Instance>, Error> {
        let address = self.address;
        let unreachable = |source| Error::Unreachable { address, source };
        let url = format!("http://{address}/v1/instances");
        let answer = self.http.get(url).timeout(self.timeout).send().await.map_err(unreachable)?;
        if !answer.status().is_success() {
            return Err(Error::Refused { address, status: answer.status().as_u16() });
        }
        let listing: Listing = answer.json().await.map_err(unreachable)?;
        Ok(listing.instances.into_iter().map(Instance::from).collect())
    }
}

#[derive(Deserialize)]
struct Listing {
    instances: Vec<Listed>,
}

#[derive(Deserialize)]
struct Listed {
    name: Name,
    kind: InstanceKind,
    address: SocketAddr,
    zone: ZoneId,
    state: Presence,
    incarnation: Incarnation,
}

#[derive(Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
enum Presence {
    Live,
    Leaving,
}

impl From<Listed> for Instance {
    fn from(listed: Listed) -> Self {
        Self {
            name: listed.name,
            kind: listed.kind,
            address: listed.address,
            zone: listed.zone,
            leaving: listed.state == Presence::Leaving,
            incarnation: listed.incarnation,
        }
    }
}
