//! What must hold some time after all faults.

use std::sync::atomic::Ordering;
use std::time::Duration;

use acacia_standin::platform::caller::{Ending, Operation};
use tokio::time::Instant;

use super::Context;
use crate::fixture::ORGANISATIONS;
use crate::oracle::Violation;
use crate::request;

/// Longest wait for the last weights and the revoked key to be in force: required limit of both.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(14);

impl Context {
    /// Checks that all engines load the latest weights, all instances are listed, and all deny a
    /// revoked key, in time.
    pub(super) async fn check_convergence(&self) -> Vec<Violation> {
        let mut violations = Vec::new();
        let newest = self.weights_version.load(Ordering::Relaxed);
        let is_updated = async || self.fixture.engines().iter().all(|e| e.weights() == newest);
        if !eventually(is_updated).await {
            violations.push(Violation::TimedOut(format!("all engines have weights {newest}")));
        }
        let instances = self.fixture.instances.len();
        let is_listed = async || self.fixture.listed_instances() == instances;
        if !eventually(is_listed).await {
            violations.push(Violation::TimedOut("all instances are listed".to_owned()));
        }
        let version = self.next_version();
        self.fixture.publish(version, &ORGANISATIONS[..1], None);
        let (_, revoked) = ORGANISATIONS[1];
        for (number, instance) in self.fixture.instances.iter().enumerate() {
            let is_denied = async || {
                let id = format!("revoked-{number}");
                let answer =
                    instance.caller.send(&request::single(id, revoked, Operation::Read)).await;
                answer.ending == Ending::Refused { status: 401, not_run: true }
            };
            if !eventually(is_denied).await {
                violations
                    .push(Violation::TimedOut(format!("instance {number} denies a revoked key")));
            }
        }
        violations
    }
}

/// Whether a condition is met within [`CONVERGENCE_TIMEOUT`].
async fn eventually(mut condition: impl AsyncFnMut() -> bool) -> bool {
    let end = Instant::now() + CONVERGENCE_TIMEOUT;
    while Instant::now() < end {
        if condition().await {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    false
}
