//! Which instances a word goes to.
//!
//! A few instances tell each other directly. Where there are more, a word goes to one hub in each
//! availability zone, which passes it on, gathered with others, to the instances of its zone: it
//! crosses between zones once, and nobody sends to hundreds. Hubs follow from the list of instances,
//! so nobody elects them; one that dies costs its zone the word of a part of the senders until the
//! list says so.

use std::net::SocketAddr;

use super::configuration::ZoneName;
use super::gossip::place;

/// Other instances up to which each is told directly: fewer than the datagrams that hubs would send.
const DIRECT: usize = 16;
/// Hubs of one zone; each passes the word of its part of all senders on. With four, each sends about
/// a megabit a second where eighty instances send a thousand requests a second.
const HUBS: usize = 4;

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
    pub own: Option<SocketAddr>,
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
pub enum Way {
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
        if self.peers.len() <= DIRECT { Detail::All } else { Detail::Large }
    }

    /// Where an own word goes.
    pub fn way(&self) -> Way {
        if self.peers.len() <= DIRECT {
            return Way::Direct(self.peers.iter().map(|peer| peer.address).collect());
        }
        let mut zones: Vec<&ZoneName> = self.peers.iter().map(|peer| &peer.zone).collect();
        zones.push(self.zone);
        zones.sort_unstable();
        zones.dedup();
        let hubs: Vec<SocketAddr> = zones.into_iter().filter_map(|zone| self.hub(zone)).collect();
        let is_hub = self.own.is_some_and(|own| hubs.contains(&own));
        Way::Hubs { hubs: hubs.into_iter().filter(|hub| Some(*hub) != self.own).collect(), is_hub }
    }

    /// The instances that a word which another one sent here is passed on to.
    pub fn onward(&self) -> Vec<SocketAddr> {
        let near = self.peers.iter().filter(|peer| peer.zone == *self.zone);
        near.map(|peer| peer.address).collect()
    }

    /// The hub of a zone for this sender.
    fn hub(&self, zone: &ZoneName) -> Option<SocketAddr> {
        let near = self.peers.iter().filter(|peer| peer.zone == *zone).map(|peer| peer.address);
        let mut near: Vec<SocketAddr> =
            near.chain(self.own.filter(|_| zone == self.zone)).collect();
        near.sort_unstable_by_key(place);
        near.truncate(HUBS);
        let turn = self.own.map_or(0, |own| place(&own));
        near.get(usize::try_from(turn % near.len().max(1) as u64).unwrap_or(0)).copied()
    }
}
