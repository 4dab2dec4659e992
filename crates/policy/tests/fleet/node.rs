//! One simulated daemon.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use acacia_catalog::id::{Incarnation, Name};
use acacia_policy::control::{Control, Identity, Ticket};
use acacia_policy::snapshot::Warmth;
use acacia_policy::{Snapshot, Time};

use super::NodeId;

/// Port of the first daemon.
const PORT: u16 = 10_000;

/// A simulated daemon.
pub struct Node {
    pub control: Control,
    pub snapshot: Arc<Snapshot>,
    pub paused_until: Duration,
    /// Number of waiting requests by upstream.
    pub waiting: BTreeMap<Name, u32>,
    /// Incarnation of each upstream as seen by the daemon itself.
    pub seen: BTreeMap<Name, Incarnation>,
    pub claims: BTreeMap<Ticket, u32>,
    pub change_names: BTreeMap<Ticket, Name>,
    pub tickets: Ticket,
    pub changes: u64,
    pub started: u64,
    pub last_start: Duration,
    pub refused: u64,
    pub started_at: Duration,
    rate: f64,
}

impl Node {
    pub fn new(control: Control, started_at: Duration, rate: f64) -> Self {
        Self {
            control,
            snapshot: Arc::default(),
            paused_until: Duration::ZERO,
            waiting: BTreeMap::new(),
            seen: BTreeMap::new(),
            claims: BTreeMap::new(),
            change_names: BTreeMap::new(),
            tickets: 0,
            changes: 0,
            started: 0,
            last_start: Duration::ZERO,
            refused: 0,
            started_at,
            rate,
        }
    }

    /// The daemon's own clock, which drifts.
    pub fn local(&self, now: Duration) -> Time {
        now.saturating_sub(self.started_at).mul_f64(self.rate)
    }

    /// Whether an upstream takes requests, according to the published snapshot.
    pub fn warmth(&self, upstream: &Name) -> Warmth {
        self.snapshot.upstreams.get(upstream).map(|s| s.warmth).unwrap_or_default()
    }
}

/// Identity of a daemon.
pub fn identity(id: NodeId, zone: Name, seed: u64) -> Identity {
    Identity { daemon: format!("d{id}").into(), zone, address: address(id), seed }
}

/// Address of a daemon.
pub fn address(id: NodeId) -> SocketAddr {
    (Ipv4Addr::LOCALHOST, PORT + id as u16).into()
}

/// The daemon at an address.
pub fn id(address: SocketAddr) -> NodeId {
    u64::from(address.port() - PORT)
}
