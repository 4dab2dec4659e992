//! The entries of the instances, and that of the holder of the order lease.

use std::collections::BTreeMap;
use std::time::Duration;

use acacia_platform::instance::Presence;
use acacia_platform::{Document, store};
use acacia_policy::Time;
use acacia_policy::gateway::ephemeral;
use acacia_policy::gateway::save::{LISTING_TIME, REPETITION_TIME};
use acacia_policy::kv::Revision;

use super::{Replica, Update, malformed};

/// The entry of an instance.
#[derive(Clone, Debug)]
pub(super) struct Registration {
    pub(super) presence: Presence,
    row: ephemeral::Row,
    /// The revision at which there was none before.
    created: Revision,
    /// From when on the others have told it what they tell all.
    pub(super) told_from: Time,
}

impl Replica {
    /// Names of the registered instances, in order.
    pub fn instances(&self) -> impl Iterator<Item = &String> {
        self.instances.keys()
    }

    /// The entry of an instance.
    pub fn registration(&self, instance: &str) -> ephemeral::Listing {
        let row = self.instances.get(instance).map(|registration| registration.row);
        ephemeral::Listing { as_of: self.revision, row }
    }

    /// The entry of the holder of the order lease.
    pub fn order_lease(&self) -> ephemeral::Listing {
        let holder = self.holder.as_ref();
        let row = holder.map(|h| ephemeral::Row { lease: h.lease, revision: h.revision });
        ephemeral::Listing { as_of: self.revision, row }
    }

    /// What the registered instances say of themselves.
    pub(super) fn presences(&self) -> BTreeMap<String, Presence> {
        let instances = self.instances.iter();
        instances.map(|(name, instance)| (name.clone(), instance.presence.clone())).collect()
    }

    /// Applies the entry of an instance.
    pub(super) fn set_instance(
        &mut self,
        now: Time,
        change: &store::Change,
        name: &str,
        value: &[u8],
    ) -> Option<Update> {
        let store::Change { key, revision, created, lease, .. } = change;
        match Presence::decode(name, value) {
            Ok(presence) => {
                let old = self.instances.get(name);
                let is_new = old.is_none_or(|old| old.presence != presence);
                // A removal may have been missed.
                let known = old.filter(|old| old.created == *created && !is_new);
                // What the first listing contains, the others list already.
                let listing_time = if self.is_current { LISTING_TIME } else { Duration::ZERO };
                let told_from =
                    known.map_or(now + listing_time + REPETITION_TIME, |known| known.told_from);
                let row = ephemeral::Row { lease: *lease, revision: *revision };
                let registration = Registration { presence, row, created: *created, told_from };
                self.instances.insert(name.to_owned(), registration);
                is_new.then_some(Update::Instances(self.instances.len()))
            }
            Err(problem) => Some(malformed(key, value, &problem)),
        }
    }
}
