//! Injects cuts of instances, and restarts of others.

use std::io;

use acacia_standin::cut::Cut;
use futures::future::join_all;
use tokio::time::Instant;

use super::Context;
use crate::cut::Span;
use crate::fault::{Fault, Kind};

impl Context {
    /// Cuts one, most, all but one or all instances off all servers, but not those that are cut off
    /// already or restarting.
    pub(super) async fn cut(&self, fault: Fault, cut: Cut) -> io::Result<()> {
        let count = self.fixture.instances.len();
        let sizes = [1, count / 2 + 1, count.saturating_sub(1).max(1), count];
        let first = fault.target / sizes.len();
        let chosen = (first..first + sizes[fault.target % sizes.len()]).map(|at| at % count);
        let cuts = chosen.map(async |instance| {
            let Ok(process) = self.fixture.instances[instance].process.try_lock() else { return };
            let from = Instant::now();
            process.cut(cut, fault.length).await;
            self.cuts.lock().push(Span { instance, from, until: Instant::now() });
        });
        join_all(cuts).await;
        Ok(())
    }

    /// Restarts an instance that is not cut off, if another one stays.
    pub(super) async fn restart_other(&self, fault: Fault) -> io::Result<()> {
        let instances = &self.fixture.instances;
        let first = fault.target % instances.len();
        let order = (first..first + instances.len()).map(|at| at % instances.len());
        let mut free = order.filter_map(|at| Some((at, instances[at].process.try_lock().ok()?)));
        let (Some((instance, mut process)), Some(_)) = (free.next(), free.next()) else {
            return Ok(());
        };
        let from = Instant::now();
        match fault.kind {
            Kind::ReplaceOther => process.replace().await?,
            _ => process.kill(fault.length).await?,
        }
        instances[instance].wait_ready().await?;
        self.restarts.lock().push(Span { instance, from, until: Instant::now() });
        Ok(())
    }
}
