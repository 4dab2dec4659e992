//! Makes servers brittle.

use acacia_standin::{Fault as StandinFault, Unsupported};

use super::Context;
use crate::fault::Fault;
use crate::fixture::SERVERS;

/// Refusals that a server bears in a second.
const TOLERANCES: [u32; 4] = [0, 2, 5, 10];
/// Requests that it lets wait.
const QUEUES: [u32; 3] = [0, 1, 4];

impl Context {
    /// Makes all servers of a service brittle for a while.
    pub(super) async fn embrittle(&self, fault: Fault) -> Result<(), Unsupported> {
        let (service, number) = (fault.target % 2, fault.target / 2);
        let refusals = TOLERANCES[number % TOLERANCES.len()];
        let queue = QUEUES[number / TOLERANCES.len() % QUEUES.len()];
        let state = |refusals| {
            let mut servers = self.fixture.of_kind(service * SERVERS / 2).iter();
            servers.try_for_each(|server| server.fault(StandinFault::Brittle { refusals, queue }))
        };
        state(Some(refusals))?;
        tokio::time::sleep(fault.length).await;
        state(None)
    }
}
