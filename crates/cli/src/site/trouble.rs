//! What goes wrong during a run.

use std::time::Duration;

use acacia_standin::Fault;
use acacia_standin::platform::document;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

use super::Site;

/// Part of the run at which trouble begins.
const BEGIN: f64 = 0.35;
/// Part of the run that it lasts.
const LENGTH: f64 = 0.25;
/// Event before which broken streams end.
const BREAK_EVENT: u32 = 4;

/// One kind of trouble.
#[derive(Clone, Copy, Debug, Deserialize, Display, EnumString, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Trouble {
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

impl Trouble {
    /// Lets it come, in a run of some length.
    pub async fn play(self, site: &Site, length: Duration) {
        tokio::time::sleep(length.mul_f64(BEGIN)).await;
        self.begin(site);
        tokio::time::sleep(length.mul_f64(LENGTH)).await;
        self.end(site);
    }

    fn begin(self, site: &Site) {
        // Each stand-in shows the faults that it is asked for here.
        let shown = match self {
            Self::Engine => site.engines[0].fault(Fault::Unreachable { on: true }),
            Self::Streams => {
                site.engines[0].fault(Fault::BrokenStream { token: BREAK_EVENT, times: None })
            }
            Self::Weights => {
                let (key, value) = document::announcement(2);
                site.store.put(&key, &value);
                Ok(())
            }
            Self::Store => site.store.fault(Fault::Unreachable { on: true }),
            Self::Cache => site.cache.fault(Fault::Restart),
        };
        shown.expect("the stand-in shows the fault");
    }

    fn end(self, site: &Site) {
        let shown = match self {
            Self::Engine => site.engines[0].fault(Fault::Unreachable { on: false }),
            Self::Streams => {
                site.engines[0].fault(Fault::BrokenStream { token: BREAK_EVENT, times: Some(0) })
            }
            Self::Store => site.store.fault(Fault::Unreachable { on: false }),
            Self::Weights | Self::Cache => Ok(()),
        };
        shown.expect("the stand-in shows the fault");
    }
}
