//! Requests and responses of the administration API.

use std::collections::BTreeMap;

use acacia_catalog::Document;
use acacia_catalog::diff::Difference;
use acacia_catalog::id::Revision;
use acacia_catalog::object::AdminState;
use acacia_policy::control::{ChangeId, OrderDuty, OrderOutcome};
use serde::{Deserialize, Serialize};

/// Prefix of all paths.
pub const PREFIX: &str = "/v1/admin";

/// Request to publish a configuration.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Apply {
    /// Id of the change; calls repeated with the same id apply it only once.
    pub id: ChangeId,
    /// The revision that the change is based on; zero before the first.
    pub base: Revision,
    /// The whole configuration; redacted secrets keep their current value.
    pub document: Document,
    /// Maximum time to wait until it is in force on every live daemon, in milliseconds.
    #[serde(default)]
    pub wait_ms: u64,
}

/// Request to publish an earlier configuration again.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Rollback {
    /// Id of the change.
    pub id: ChangeId,
    /// The revision that the change is based on.
    pub base: Revision,
    /// The revision to return to.
    pub revision: Revision,
    /// Maximum time to wait until it is in force on every live daemon, in milliseconds.
    #[serde(default)]
    pub wait_ms: u64,
}

/// Request to take an availability zone or an upstream out of service or back.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct SetState {
    /// Id of the change.
    pub id: ChangeId,
    /// The new state.
    pub state: AdminState,
    /// Maximum time to wait until it is in force on every live daemon, in milliseconds.
    #[serde(default)]
    pub wait_ms: u64,
}

/// Request to send an order to an upstream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Order {
    /// Unique id of the order.
    pub id: String,
    /// The order itself.
    pub duty: OrderDuty,
}

/// Result of an order.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Ordered {
    /// Unique id of the order.
    pub id: String,
    /// The outcome.
    pub outcome: OrderOutcome,
}

/// Result of checking a valid document.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Checked {
    /// The revision in force.
    pub revision: Revision,
    /// Number of objects in the document.
    pub objects: usize,
    /// Changes that the document would make.
    pub differences: Vec<Difference>,
}

/// An accepted change.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Accepted {
    /// Id of the change.
    pub id: ChangeId,
    /// The revision that the change created, now or in an earlier call.
    pub revision: Revision,
    /// Whether the configuration was altered.
    pub changed: bool,
    /// On how many daemons it is in force.
    #[serde(rename = "force")]
    pub propagation: Propagation,
}

/// Number of daemons on which a revision is in force.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Propagation {
    /// Daemons known to have this or a later revision.
    pub daemons: usize,
    /// Daemons known to be live.
    pub live: usize,
}

impl Propagation {
    /// Whether the revision is in force on every live daemon.
    pub fn is_complete(self) -> bool {
        self.daemons >= self.live
    }
}

/// The configuration of a revision.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Configuration {
    /// Its revision.
    pub revision: Revision,
    /// Its objects, with secrets redacted.
    pub document: Document,
}

/// An accepted change in the history.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HistoryEntry {
    /// The revision that it created.
    pub revision: Revision,
    /// Its id.
    pub change: ChangeId,
    /// The operator who made it.
    pub author: String,
}

/// The spans of one request.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Trace {
    /// The trace id.
    pub id: String,
    /// The spans, ordered by start time.
    pub spans: Vec<Span>,
}

/// One step in the handling of a request.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Span {
    /// Name of the step.
    pub name: String,
    /// Start time, in microseconds since the start of the request.
    pub start_us: u64,
    /// Duration in microseconds.
    pub duration_us: u64,
    /// Further attributes.
    #[serde(default)]
    pub fields: BTreeMap<String, String>,
}
