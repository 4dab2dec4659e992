//! Orders to move traffic to new software versions, and their recorded states, in the replica.

use acacia_platform::Document;
use acacia_platform::document::{self, Rollout, RolloutState};
use acacia_platform::store;
use acacia_policy::Time;
use acacia_policy::gateway::canary;
use acacia_policy::gateway::configuration::ServiceName;
use acacia_policy::kv::Revision;

use super::{Replica, Update, malformed};

impl Replica {
    pub(super) fn set_rollout(
        &mut self,
        now: Time,
        change: &store::Change,
        service: &str,
        value: &[u8],
    ) -> Option<Update> {
        let order = match Rollout::decode(service, value) {
            Ok(order) => order,
            Err(problem) => return Some(malformed(&change.key, value, &problem)),
        };
        // The first read tells nothing about the age of an order; other instances may know it.
        let seen = if self.is_current { self.changed_at(now) } else { now };
        let Rollout { target, duration } = order;
        let order = canary::Order { target, duration, revision: change.revision, seen };
        let listing = self.rollouts.entry(service.into()).or_default();
        if listing.order.as_ref().is_some_and(|known| known.revision == order.revision) {
            return None;
        }
        listing.order = Some(order);
        Some(Update::Rollout(service.into()))
    }

    pub(super) fn set_rollout_state(
        &mut self,
        change: &store::Change,
        service: &str,
        value: &[u8],
    ) -> Option<Update> {
        let RolloutState { target, state } = match RolloutState::decode(service, value) {
            Ok(state) => state,
            Err(problem) => return Some(malformed(&change.key, value, &problem)),
        };
        let status = canary::Status { target, state, revision: change.revision };
        let listing = self.rollouts.entry(service.into()).or_default();
        if listing.status.as_ref().is_some_and(|known| known.revision >= status.revision) {
            return None;
        }
        listing.status = Some(status);
        Some(Update::RolloutState(service.into(), state))
    }

    /// What the metadata store has on the rollout of a service.
    pub fn rollout(&self, service: &ServiceName) -> Option<&canary::Listing> {
        self.rollouts.get(service)
    }

    /// The revision of a service's recorded state in the current era.
    pub fn rollout_state_revision(&self, service: &ServiceName) -> Revision {
        let listing = self.rollouts.get(service);
        let status = listing.and_then(|listing| listing.status.as_ref());
        let absent = Revision::absent(self.era);
        status.map_or(absent, |status| self.revision_in_era(status.revision))
    }

    /// Removes the order for a service.
    pub(super) fn remove_rollout(&mut self, service: &str) -> Option<Update> {
        let order = self.rollouts.get_mut(service)?.order.take();
        order.map(|_| Update::Rollout(service.into()))
    }

    /// Removes the recorded state of a service's order.
    pub(super) fn remove_rollout_state(&mut self, service: &str) -> Option<Update> {
        self.rollouts.get_mut(service)?.status = None;
        None
    }

    /// Keys of the orders and of their recorded states.
    pub(super) fn rollout_keys(&self) -> Vec<String> {
        let keys = self.rollouts.iter().flat_map(|(service, listing)| {
            let order = listing.order.iter().map(|_| document::rollout_key(service));
            let status = listing.status.iter().map(|_| document::rollout_state_key(service));
            order.chain(status)
        });
        keys.collect()
    }
}
