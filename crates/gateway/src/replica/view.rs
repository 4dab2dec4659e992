//! Views of the replica for the traffic thread.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use acacia_platform::instance::Presence;
use acacia_policy::Time;
use acacia_policy::gateway::configuration::{ModelName, Role};
use acacia_policy::gateway::inventory::Store;
use acacia_policy::gateway::mesh::Peer;
use acacia_policy::gateway::software::{self, Versions};
use acacia_policy::gateway::{Server, ServerId, View, WeightVersion, Weights};

use super::Replica;

/// Lower bound of the number of instances that share a limit. When a fleet starts all at once, its
/// instances are not all registered when the first one counts them.
const MIN_INSTANCES: u32 = 8;
/// Instances that may have started since the registrations were read.
const UNSEEN_INSTANCES: u32 = 1;

impl Replica {
    /// The current view for the instance `own`; none until a configuration is known.
    pub fn view(&self, own: &str) -> Option<View> {
        let holding = self.holder.as_ref().map(|holder| &holder.holding);
        let loaded = holding.into_iter().flat_map(|holding| {
            holding.loaded.iter().flat_map(|(id, models)| {
                models.iter().map(|(model, version)| (id.clone(), model.clone(), *version))
            })
        });
        let carried = self.carryover.instances(self.as_of);
        let carried = carried.filter(|(name, _)| !self.instances.contains_key(*name));
        let listed = self.instances.iter().map(|(name, instance)| (name, &instance.presence));
        let others = listed.chain(carried).filter(|(name, _)| *name != own);
        let own = self.instances.get(own);
        let evacuated = self.evacuated.iter().chain(self.carryover.evacuated(self.as_of));
        Some(View {
            configuration: self.configuration.clone()?,
            servers: self.listed_servers(),
            expired: self.expired.clone(),
            software: self.recent_software(),
            rollouts: self.rollouts.clone(),
            evacuated: evacuated.cloned().collect(),
            weights: self.announced_weights(),
            loading: holding.map(|h| h.loading.iter().cloned().collect()).unwrap_or_default(),
            loaded: loaded.collect(),
            instances: self.instance_count(),
            own_address: own.and_then(|own| own.presence.peer),
            told_from: own.map(|own| own.told_from),
            peers: others.filter_map(|(_, presence)| peer(presence)).collect(),
            stores: self.cache_stores(),
            as_of: self.as_of,
            revision: self.revision,
            last_removal: self.last_removal,
            server_clock: self.server_clock,
            unavailable_since: self.unavailable_since,
        })
    }

    /// The software versions that serve or served recently, as recorded in the metadata store or
    /// received here.
    fn recent_software(&self) -> Versions {
        let mut versions = self.software.0.clone();
        let seen = self.software_seen.iter();
        let recent = seen.filter(|(_, seen)| self.as_of < **seen + software::RETENTION);
        for ((service, version), _) in recent {
            versions.entry(service.clone()).or_default().insert(version.clone());
        }
        versions
    }

    /// The listed servers. One that was leaving or gone before a restore is leaving still, until it
    /// writes its entry again.
    fn listed_servers(&self) -> BTreeMap<ServerId, Arc<Server>> {
        let servers = self.servers.iter().map(|(id, server)| {
            let is_closed = !server.leaving && self.carryover.is_closed(self.as_of, server);
            let server = if is_closed {
                Arc::new(Server { leaving: true, ..(**server).clone() })
            } else {
                server.clone()
            };
            (id.clone(), server)
        });
        servers.collect()
    }

    /// The announced weights, each with the earliest known announcement time. Versions that were
    /// announced before this instance started are only among these times.
    pub fn announced_weights(&self) -> BTreeMap<ModelName, Weights> {
        let announced = self.weights.iter().map(|(model, weights)| {
            let mut versions: BTreeMap<WeightVersion, Time> = weights.iter().collect();
            for (version, announced) in self.known_announcements.0.get(model).into_iter().flatten()
            {
                if *version <= weights.version() {
                    let received = versions.get(version).copied().unwrap_or(Time::ZERO);
                    versions.insert(*version, self.earliest(received, Some(*announced)));
                }
            }
            (model.clone(), versions.into_iter().collect())
        });
        announced.collect()
    }

    /// The earlier of the time when a version was received and its announcement time in the
    /// metadata store.
    fn earliest(&self, received: Time, announced: Option<u64>) -> Time {
        let announced = announced.zip(self.server_clock).map(|(announced, (known, clock))| {
            let before = Duration::from_millis(clock.saturating_sub(announced));
            let after = Duration::from_millis(announced.saturating_sub(clock));
            (known + after).saturating_sub(before)
        });
        match (received, announced) {
            (Time::ZERO, announced) => announced.unwrap_or(Time::ZERO),
            (received, announced) => {
                announced.map_or(received, |announced| announced.min(received))
            }
        }
    }

    /// KV cache stores whose inventory is known.
    fn cache_stores(&self) -> Vec<Store> {
        let services = self.configuration.iter().flat_map(|c| c.services.values());
        let stores = services.filter_map(|service| {
            let Role::Store(terms) = &service.role else { return None };
            let (inventory, _) = self.inventories.get(&*service.name)?;
            // An inventory of an earlier era may list parts that were freed since.
            let inventory =
                if inventory.era == self.era { inventory.clone() } else { Arc::default() };
            Some(Store {
                address: terms.address,
                zone: terms.zone.clone(),
                capacity_tokens: terms.capacity_tokens,
                link_bytes: terms.link_bytes,
                first_byte: terms.first_byte,
                inventory,
            })
        });
        stores.collect()
    }

    fn instance_count(&self) -> u32 {
        let carried = self.carryover.instances(self.as_of);
        let carried = carried.filter(|(name, _)| !self.instances.contains_key(*name)).count();
        let listed = self.instances.len() + carried;
        let listed = u32::try_from(listed).unwrap_or(u32::MAX - UNSEEN_INSTANCES);
        listed.max(MIN_INSTANCES) + UNSEEN_INSTANCES
    }
}

/// The gossip peer of an instance; none if it has no gossip address.
fn peer(presence: &Presence) -> Option<Peer> {
    let zone = presence.zone.as_str().into();
    presence.peer.map(|address| Peer { address, zone })
}
