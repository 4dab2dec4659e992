//! Which instances a word goes to.
//!
//! A few instances tell each other directly. Where there are more, a word goes to one hub in each
//! availability zone, which passes it on, gathered with others, to the instances of its zone: it
//! crosses between zones once, and nobody sends to hundreds. Hubs follow from the list of instances,
//! so nobody elects them; one that dies costs its zone the word of a part of the senders until the
//! list says so.

use std::net::SocketAddr;

use super::configuration::ZoneName;
use super::gossip::stable_hash;

/// Other instances up to which each is told directly: fewer than the datagrams that hubs would send.
const MAX_DIRECT_PEERS: usize = 16;
/// Hubs of one zone; each passes the word of its part of all senders on. With four, each sends about
/// a megabit a second where eighty instances send a thousand requests a second.
const HUBS_PER_ZONE: usize = 4;

/// Another instance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Peer {
    /// Where it listens for a word.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
}

/// The instances, as one of them sees them.
#[derive(Clone, Copy, Debug)]
pub struct Mesh<'a> {
    /// Where this instance listens, if the others know it.
    pub own_address: Option<SocketAddr>,
    /// Its availability zone.
    pub zone: &'a ZoneName,
    /// The other instances.
    pub peers: &'a [Peer],
}

/// How much of an own word is told.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Detail {
    /// All.
    All,
    /// What keeps an engine busy for a while.
    Large,
}

/// Where an own word goes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Recipients {
    /// To all, who keep it.
    Direct(Vec<SocketAddr>),
    /// To hubs, who pass it on; and to this zone's instances, where this one is its hub.
    Hubs {
        /// The hubs.
        hubs: Vec<SocketAddr>,
        /// This instance passes its own word on.
        is_hub: bool,
    },
}

impl Mesh<'_> {
    /// How much of an own word is told: what goes to hundreds is kept short.
    pub fn detail(&self) -> Detail {
        if self.peers.len() <= MAX_DIRECT_PEERS { Detail::All } else { Detail::Large }
    }

    /// Where an own word goes.
    pub fn recipients(&self) -> Recipients {
        if self.peers.len() <= MAX_DIRECT_PEERS {
            return Recipients::Direct(self.peers.iter().map(|peer| peer.address).collect());
        }
        let mut zones: Vec<&ZoneName> = self.peers.iter().map(|peer| &peer.zone).collect();
        zones.push(self.zone);
        zones.sort_unstable();
        zones.dedup();
        let hubs: Vec<SocketAddr> = zones.into_iter().filter_map(|zone| self.hub(zone)).collect();
        let is_hub = self.own_address.is_some_and(|own_address| hubs.contains(&own_address));
        Recipients::Hubs {
            hubs: hubs.into_iter().filter(|hub| Some(*hub) != self.own_address).collect(),
            is_hub,
        }
    }

    /// The instances that a word which another one sent here is passed on to.
    pub fn zone_peers(&self) -> Vec<SocketAddr> {
        let near = self.peers.iter().filter(|peer| peer.zone == *self.zone);
        near.map(|peer| peer.address).collect()
    }

    /// The hub of a zone for this sender.
    fn hub(&self, zone: &ZoneName) -> Option<SocketAddr> {
        let near = self.peers.iter().filter(|peer| peer.zone == *zone).map(|peer| peer.address);
        let mut near: Vec<SocketAddr> =
            near.chain(self.own_address.filter(|_| zone == self.zone)).collect();
        near.sort_unstable_by_key(stable_hash);
        near.truncate(HUBS_PER_ZONE);
        let sender_hash = self.own_address.map_or(0, |own_address| stable_hash(&own_address));
        near.get(usize::try_from(sender_hash % near.len().max(1) as u64).unwrap_or(0)).copied()
    }
}
