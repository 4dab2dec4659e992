//! What operators send and get.

use std::collections::BTreeMap;

use acacia_catalog::Document;
use acacia_catalog::diff::Difference;
use acacia_catalog::id::Revision;
use acacia_catalog::object::AdminState;
use acacia_policy::control::{ChangeId, OrderDuty, OrderOutcome};
use serde::{Deserialize, Serialize};

/// Start of every path.
pub const PREFIX: &str = "/v1/admin";

/// Asks to put a configuration in force.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Apply {
    /// Name of the change; asked again with the same name, it happens once.
    pub id: ChangeId,
    /// The revision that the operator started from; zero before the first.
    pub base: Revision,
    /// The whole configuration; redacted secrets stay as they are.
    pub document: Document,
    /// Longest wait, in milliseconds, until it is in force on every live daemon.
    #[serde(default)]
    pub wait_ms: u64,
}

/// Asks to go back to an earlier configuration.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Rollback {
    /// Name of the change.
    pub id: ChangeId,
    /// The revision that the operator started from.
    pub base: Revision,
    /// The revision to go back to.
    pub revision: Revision,
    /// Longest wait, in milliseconds, until it is in force on every live daemon.
    #[serde(default)]
    pub wait_ms: u64,
}

/// Asks to take an availability zone or an upstream out or back.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct SetState {
    /// Name of the change.
    pub id: ChangeId,
    /// Whether it takes new work.
    pub state: AdminState,
    /// Longest wait, in milliseconds, until it is in force on every live daemon.
    #[serde(default)]
    pub wait_ms: u64,
}

/// Asks to send an order to an upstream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Order {
    /// Unique name of the order.
    pub id: String,
    /// What the upstream is to do.
    pub duty: OrderDuty,
}

/// What became of an order.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Ordered {
    /// Unique name of the order.
    pub id: String,
    /// What became of it.
    pub outcome: OrderOutcome,
}

/// A document that keeps every rule.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Checked {
    /// The revision in force.
    pub revision: Revision,
    /// Objects in the document.
    pub objects: usize,
    /// What the document would change.
    pub differences: Vec<Difference>,
}

/// An accepted change.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Accepted {
    /// Its name.
    pub id: ChangeId,
    /// The revision that it made, or that had it already.
    pub revision: Revision,
    /// Whether it changed anything.
    pub changed: bool,
    /// Where it is in force.
    #[serde(rename = "force")]
    pub propagation: Propagation,
}

/// On how many daemons a revision is in force.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Propagation {
    /// Daemons known to have it or a later one.
    pub daemons: usize,
    /// Daemons known to live.
    pub live: usize,
}

impl Propagation {
    /// Whether it is in force on every live daemon.
    pub fn is_complete(self) -> bool {
        self.daemons >= self.live
    }
}

/// A configuration in force.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Configuration {
    /// Its revision.
    pub revision: Revision,
    /// Its objects, with secrets redacted.
    pub document: Document,
}

/// An accepted change, as the history tells it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HistoryEntry {
    /// Its revision.
    pub revision: Revision,
    /// Its name.
    pub change: ChangeId,
    /// Who made it.
    pub author: String,
}

/// The hops of one request.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Trace {
    /// The trace id.
    pub id: String,
    /// Its hops, in order of their start.
    pub spans: Vec<Span>,
}

/// One hop of a request.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Span {
    /// Name of the hop.
    pub name: String,
    /// Microseconds from the start of the request.
    pub start_us: u64,
    /// Microseconds that it took.
    pub duration_us: u64,
    /// What it tells of itself.
    #[serde(default)]
    pub fields: BTreeMap<String, String>,
}
