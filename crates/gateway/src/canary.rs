//! Takes the steps of orders to move traffic to new software versions, and tells the control thread
//! what to record of them.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use acacia_platform::document::{RolloutState, rollout_key, rollout_state_key};
use acacia_platform::store::{Client as StoreClient, Written};
use acacia_policy::Time;
use acacia_policy::gateway::canary::{Progress, Resolution};
use acacia_policy::gateway::configuration::ServiceName;
use tokio::sync::watch;

use crate::control::Control;
use crate::traffic::{Traffic, millis};

/// Interval between steps while there is an order.
const STEP_INTERVAL: Duration = Duration::from_millis(25);
/// Time after which a state is written again if the watch has not shown it.
const WRITE_RETRY: Duration = Duration::from_millis(250);

/// The outcomes to record, by service.
pub type Resolutions = BTreeMap<ServiceName, Resolution>;

/// Takes all steps when they are due, until it is dropped.
pub async fn run(traffic: Rc<Traffic>, resolutions: watch::Sender<Resolutions>) {
    let mut view_time = traffic.view_time.subscribe();
    loop {
        if !traffic.gateway.borrow().has_orders() {
            if view_time.changed().await.is_err() {
                return;
            }
            report(&traffic);
            continue;
        }
        let now = traffic.now();
        traffic.gateway.borrow_mut().advance_orders(now);
        report(&traffic);
        let newer = traffic.gateway.borrow().resolutions(now);
        resolutions.send_if_modified(|known| {
            let is_changed = *known != newer;
            *known = newer;
            is_changed
        });
        tokio::time::sleep(STEP_INTERVAL).await;
    }
}

/// Logs and counts changes of the orders' progress.
fn report(traffic: &Traffic) {
    let changes = traffic.gateway.borrow_mut().take_order_changes();
    for change in changes {
        let progress: &'static str = change.progress.into();
        traffic.metrics.rollout(progress);
        let (old, target) = (change.old, change.new);
        if change.progress == Progress::RolledBack {
            tracing::warn!(
                service = &*change.service,
                target = &*change.target,
                progress,
                age_ms = millis(change.age),
                target_responses = target.0,
                target_bad = target.1,
                old_responses = old.0,
                old_bad = old.1,
                "rollout changed"
            );
        } else {
            tracing::info!(
                service = &*change.service,
                target = &*change.target,
                progress,
                age_ms = millis(change.age),
                target_responses = target.0,
                target_bad = target.1,
                old_responses = old.0,
                old_bad = old.1,
                "rollout changed"
            );
        }
    }
}

/// Records the states of orders in the metadata store, for the holder of the order lease.
#[derive(Debug, Default)]
pub struct Recorder {
    written: BTreeMap<ServiceName, (Resolution, Time)>,
}

impl Recorder {
    /// Writes each state that the metadata store doesn't have yet. A final state is never replaced, and
    /// none is written for an order that was replaced meanwhile.
    pub async fn record(&mut self, control: &Control, client: &mut StoreClient) {
        let due = self.due(control);
        for (service, resolution) in due {
            let now = control.clock.now();
            self.written.insert(service.clone(), (resolution.clone(), now));
            let Resolution { order, target, state } = resolution;
            let status = RolloutState { target, state };
            let key = rollout_state_key(&service);
            let order_key = rollout_key(&service);
            let revision = control.replica.borrow().rollout_state_revision(&service);
            let expected = [(&*key, revision), (&*order_key, order)];
            control.metrics.store_call("write");
            let value = status.encode(&service);
            match client.write_if(&key, &value, &expected, None).await {
                Ok(Written::Done(revision)) => tracing::info!(
                    service = &*service,
                    target = &*status.target,
                    state = %status.state,
                    revision = revision.number,
                    "recorded the state of a rollout"
                ),
                // The watch will show what was written meanwhile.
                Ok(Written::Conflict | Written::LeaseEnded) => {
                    tracing::info!(service = &*service, "the state of a rollout has changed");
                }
                Err(failure) => {
                    tracing::info!(%failure, service = &*service, "state of a rollout not recorded");
                }
            }
        }
    }

    /// The states to write now.
    fn due(&self, control: &Control) -> Vec<(ServiceName, Resolution)> {
        let (now, replica) = (control.clock.now(), control.replica.borrow());
        let resolutions = control.resolutions.borrow();
        let due = resolutions.iter().filter(|(service, resolution)| {
            let is_listed = replica.rollout(service).is_some_and(|listing| {
                let status = listing.status.as_ref();
                listing.order.as_ref().is_some_and(|order| {
                    order.revision == resolution.order && resolution.is_unrecorded(order, status)
                })
            });
            let is_repeated = self
                .written
                .get(*service)
                .is_some_and(|(known, at)| known == *resolution && now < *at + WRITE_RETRY);
            is_listed && !is_repeated
        });
        due.map(|(service, resolution)| (service.clone(), resolution.clone())).collect()
    }
}
