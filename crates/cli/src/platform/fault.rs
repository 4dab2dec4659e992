//! Faults injected during a run.

use std::time::Duration;

use acacia_standin::Fault as StandinFault;
use acacia_standin::platform::document;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

use super::Cluster;

/// When a fault begins, as a share of the run.
const START_SHARE: f64 = 0.35;
/// How long a fault lasts, as a share of the run.
const DURATION_SHARE: f64 = 0.25;
/// Event before which streams are interrupted.
const BREAK_EVENT: u32 = 4;

/// Kinds of faults.
#[derive(Clone, Copy, Debug, Deserialize, Display, EnumString, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Fault {
    /// An engine is unreachable for a while.
    Engine,
    /// An engine interrupts every stream for a while.
    Streams,
    /// Newer weights are announced.
    Weights,
    /// The metadata store is unreachable for a while.
    Store,
    /// The managed KV cache store loses its contents.
    Cache,
}

impl Fault {
    /// Injects the fault into a run of the given length, and ends it after its time.
    pub async fn inject(self, cluster: &Cluster, length: Duration) {
        tokio::time::sleep(length.mul_f64(START_SHARE)).await;
        self.begin(cluster);
        tokio::time::sleep(length.mul_f64(DURATION_SHARE)).await;
        self.end(cluster);
    }

    fn begin(self, cluster: &Cluster) {
        // Each stand-in supports the fault that is requested from it here.
        let result = match self {
            Self::Engine => cluster.engines[0].fault(StandinFault::Unreachable { on: true }),
            Self::Streams => cluster.engines[0]
                .fault(StandinFault::BrokenStream { token: BREAK_EVENT, times: None }),
            Self::Weights => {
                let (key, value) = document::announcement(2);
                cluster.store.put(&key, &value);
                Ok(())
            }
            Self::Store => cluster.store.fault(StandinFault::Unreachable { on: true }),
            Self::Cache => cluster.cache.fault(StandinFault::Restart),
        };
        result.expect("the stand-in supports the fault");
    }

    fn end(self, cluster: &Cluster) {
        let result = match self {
            Self::Engine => cluster.engines[0].fault(StandinFault::Unreachable { on: false }),
            Self::Streams => cluster.engines[0]
                .fault(StandinFault::BrokenStream { token: BREAK_EVENT, times: Some(0) }),
            Self::Store => cluster.store.fault(StandinFault::Unreachable { on: false }),
            Self::Weights | Self::Cache => Ok(()),
        };
        result.expect("the stand-in supports the fault");
    }
}
