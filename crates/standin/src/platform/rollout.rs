//! Orders to move a service's traffic to another software version, and the state that the system
//! writes.

use std::time::Duration;

use serde::Deserialize;
use serde_json::{Value, json};

use super::store;

/// Bounds of a deployment with rollouts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Share of a service's requests that a bad version may get.
    pub share: f64,
    /// Requests that it may get in addition.
    pub slack: u32,
    /// Time from the bad answer that decides until it gets no more requests.
    pub rollback: Duration,
}

impl Default for Bounds {
    fn default() -> Self {
        Self { share: 0.1, slack: 50, rollback: Duration::from_secs(5) }
    }
}

/// What the system says of an order.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct Status {
    /// The service.
    pub service: String,
    /// The version that its traffic is to move to.
    pub target: String,
    /// How far this is.
    pub state: State,
}

/// How far an order is.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Both versions serve.
    Running,
    /// The new version serves; the old servers stop.
    Completed,
    /// The old version serves; the new servers are to drain.
    RolledBack,
}

impl Status {
    /// The status of a service in the metadata store; none if there is none.
    ///
    /// # Errors
    /// If it is malformed.
    pub fn read(store: &store::Handle, service: &str) -> serde_json::Result<Option<Self>> {
        let value = store.value(&format!("status/rollout/{service}"));
        value.map(|value| serde_json::from_slice(&value)).transpose()
    }
}

/// Key and value in the metadata store of an order to move a service's traffic within some time.
pub fn order(service: &str, target: &str, duration: Duration) -> (String, Value) {
    let value = json!({"service": service, "target": target, "duration_s": duration.as_secs()});
    (format!("op/rollout/{service}"), value)
}
