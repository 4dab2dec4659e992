//! Selection of the instances that a message is sent to.
//!
//! Up to [`MAX_DIRECT_PEERS`] other instances get messages directly. With more, a message goes to
//! one hub in each availability zone, which forwards it, batched with others, to the instances of
//! its zone: it crosses each zone boundary once, and no sender has hundreds of recipients. Hubs are
//! computed from the list of instances, without an election; while a failed hub is still listed,
//! its zone misses the messages of some senders.
//!
//! Messages are batched, so that a change is known everywhere after some 30 ms. Load pattern: hundreds
//! of short prompts and some long ones a second, which see the same few idle engines. A short prompt that
//! is sent where a long one was sent some milliseconds before waits for all of that one's prefill. So
//! long prompts are told and forwarded at once, by instances whose machines bear more datagrams;
//! see [`Pacing`].

use std::net::SocketAddr;

use super::configuration::ZoneName;
use super::gossip::{PartKey, is_large, stable_hash};

/// Number of other instances up to which messages are sent directly: this takes fewer datagrams
/// than hubs would.
const MAX_DIRECT_PEERS: usize = 16;
/// Fewest hubs of one zone; each forwards the messages of a share of the senders.
const MIN_HUBS: usize = 4;

/// Another instance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Peer {
    /// Where it listens for messages.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
}

/// The instances, from the point of view of one of them.
#[derive(Clone, Copy, Debug)]
pub struct Mesh<'a> {
    /// Where this instance listens, if it is listed.
    pub own_address: Option<SocketAddr>,
    /// Its availability zone.
    pub zone: &'a ZoneName,
    /// The other instances.
    pub peers: &'a [Peer],
}

/// How much an instance's own digest contains.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Detail {
    /// All loads and prompts.
    All,
    /// Only large changes and prompts.
    Large,
}

/// Bandwidth of a link, in bits per second, that bears a datagram for each long prompt. By
/// computation, a hub among 300 instances forwards some 1,500 a second, of 100 bytes.
const FAST_LINK: u64 = 24_000_000;
/// Processor time, in thousandths of a core, that bears them: a datagram takes some 10 µs.
const FAST_PROCESSOR: u64 = 250;

/// When an instance tells, or forwards, that a long prompt was sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Pacing {
    /// At once.
    Immediate,
    /// With the next batch of messages.
    Batched,
}

impl Pacing {
    /// The pacing on a machine with this link, in bits per second, and processor time, in
    /// thousandths of a core. Where callers contend for capacity, datagrams cost less than engines'
    /// time.
    pub fn of(link: Option<u64>, processor: Option<u64>, under_pressure: bool) -> Self {
        let is_fast = link.is_some_and(|link| link >= FAST_LINK)
            && processor.is_some_and(|processor| processor >= FAST_PROCESSOR);
        if is_fast || under_pressure { Self::Immediate } else { Self::Batched }
    }
}

/// Recipients of an instance's own message.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Recipients {
    /// All other instances, which don't forward it.
    Direct(Vec<SocketAddr>),
    /// Hubs, which forward it to their zones.
    Hubs {
        /// The other hubs.
        hubs: Vec<SocketAddr>,
        /// Whether this instance is a hub, and forwards its own message within its zone.
        is_hub: bool,
    },
}

impl Detail {
    /// How much an instance with these peers tells them; less where it goes to hundreds of them.
    pub fn of(peers: &[Peer]) -> Self {
        if peers.len() <= MAX_DIRECT_PEERS { Self::All } else { Self::Large }
    }

    /// Whether the others are told of a prompt with these parts.
    pub fn includes(self, parts: &[(PartKey, u32)]) -> bool {
        self == Self::All || is_large(parts)
    }
}

impl Mesh<'_> {
    /// How much an own digest contains.
    pub fn detail(&self) -> Detail {
        Detail::of(self.peers)
    }

    /// The recipients of an own message.
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

    /// The other instances of this zone, to which a hub forwards messages.
    pub fn zone_peers(&self) -> Vec<SocketAddr> {
        let near = self.peers.iter().filter(|peer| peer.zone == *self.zone);
        near.map(|peer| peer.address).collect()
    }

    /// The hub of a zone for messages of this instance.
    fn hub(&self, zone: &ZoneName) -> Option<SocketAddr> {
        let near = self.peers.iter().filter(|peer| peer.zone == *zone).map(|peer| peer.address);
        let mut near: Vec<SocketAddr> =
            near.chain(self.own_address.filter(|_| zone == self.zone)).collect();
        near.sort_unstable_by_key(stable_hash);
        near.truncate(hub_count(near.len()));
        let sender_hash = self.own_address.map_or(0, |own_address| stable_hash(&own_address));
        near.get(usize::try_from(sender_hash % near.len().max(1) as u64).unwrap_or(0)).copied()
    }
}

/// Number of hubs of a zone with this many instances. A hub sends each message of its senders to all of
/// them, and each of them gets datagrams from all hubs; both grow with the square root.
fn hub_count(instances: usize) -> usize {
    instances.isqrt().max(MIN_HUBS)
}
