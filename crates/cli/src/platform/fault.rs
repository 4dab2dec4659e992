//! What goes wrong during a run.

use std::time::Duration;

use acacia_standin::Fault as StandinFault;
use acacia_standin::platform::document;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

use super::Cluster;

/// Part of the run at which trouble begins.
const START_SHARE: f64 = 0.35;
/// Part of the run that it lasts.
const DURATION_SHARE: f64 = 0.25;
/// Event before which broken streams end.
const BREAK_EVENT: u32 = 4;

/// One kind of trouble.
#[derive(Clone, Copy, Debug, Deserialize, Display, EnumString, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Fault {
    /// An engine is gone for a while.
    Engine,
    /// An engine breaks every stream off for a while.
    Streams,
    /// Newer weights are named.
    Weights,
    /// The metadata store is gone for a while.
    Store,
    /// The managed store of KV cache loses all.
    Cache,
}

impl Fault {
    /// Lets it come, in a run of some length.
    pub async fn inject(self, cluster: &Cluster, length: Duration) {
        tokio::time::sleep(length.mul_f64(START_SHARE)).await;
        self.begin(cluster);
        tokio::time::sleep(length.mul_f64(DURATION_SHARE)).await;
        self.end(cluster);
    }

    fn begin(self, cluster: &Cluster) {
        // Each stand-in shows the faults that it is asked for here.
        let result = match self {
            Self::Engine => cluster.engines[0].fault(StandinFault::Unreachable { on: true }),
            Self::Streams => cluster.engines[0]
                .fault(StandinFault::BrokenStream { token: BREAK_EVENT, times: None }),
            Self::Weights => {
                let (key, value) = document::weights(2);
                cluster.store.put(&key, &value);
                Ok(())
            }
            Self::Store => cluster.store.fault(StandinFault::Unreachable { on: true }),
            Self::Cache => cluster.cache.fault(StandinFault::Restart),
        };
        result.expect("the stand-in shows the fault");
    }

    fn end(self, cluster: &Cluster) {
        let result = match self {
            Self::Engine => cluster.engines[0].fault(StandinFault::Unreachable { on: false }),
            Self::Streams => cluster.engines[0]
                .fault(StandinFault::BrokenStream { token: BREAK_EVENT, times: Some(0) }),
            Self::Store => cluster.store.fault(StandinFault::Unreachable { on: false }),
            Self::Weights | Self::Cache => Ok(()),
        };
        result.expect("the stand-in shows the fault");
    }
}
