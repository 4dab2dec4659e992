//! The instances' word to each other, by datagrams.
//!
//! Datagrams rather than HTTP, the house's usual way between its processes: a word that is lost is
//! replaced by the next one within milliseconds, and none must ever wait for a peer that is slow or
//! cut off.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use acacia_policy::Time;
use acacia_policy::gateway::gossip::{Digest, Message};
use acacia_policy::gateway::mesh::{Mesh, Recipients};
use tokio::net::UdpSocket;

use crate::traffic::Traffic;

/// Time in which changes gather before they are told: a fifth of what a short answer takes.
const GATHER: Duration = Duration::from_millis(15);
/// Time after which all is told again, so that a lost word is made good.
const REPEAT: Duration = Duration::from_millis(700);
/// Largest datagram, below the size that networks commonly carry whole.
const DATAGRAM: usize = 1_400;
/// Reads that are told in one tally, so that it stays below that size.
const READS: usize = 16;
/// Tallies of others that wait to be passed on; more than that come only while the process is
/// stopped, and are old then.
const BATCH: usize = 512;

/// Tells and hears until it is dropped.
pub async fn run(traffic: Rc<Traffic>, address: SocketAddr) {
    let socket = match UdpSocket::bind(address).await {
        Ok(socket) => socket,
        Err(error) => {
            tracing::error!(%error, %address, "no word can be exchanged with other instances");
            return;
        }
    };
    let mut tick = tokio::time::interval(GATHER);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut exchange = Exchange { told: traffic.now(), traffic, socket, batch: Vec::new() };
    let mut buffer = vec![0; DATAGRAM * 2];
    loop {
        tokio::select! {
            received = exchange.socket.recv_from(&mut buffer) => match received {
                Ok((length, _)) => exchange.hear(&buffer[..length]),
                Err(error) => tracing::debug!(%error, "a word could not be read"),
            },
            _ = tick.tick() => exchange.tell(),
        }
    }
}

/// What is told and passed on.
struct Exchange {
    traffic: Rc<Traffic>,
    socket: UdpSocket,
    /// When all was told last.
    told: Time,
    /// Tallies to pass on.
    batch: Vec<Digest>,
}

impl Exchange {
    fn hear(&mut self, bytes: &[u8]) {
        let word: Message = match rmp_serde::from_slice(bytes) {
            Ok(word) => word,
            Err(error) => {
                tracing::warn!(%error, "a word of another instance can't be read");
                return;
            }
        };
        if word.forward && self.batch.len() < BATCH {
            self.batch.extend(word.digests.iter().cloned());
        }
        let now = self.traffic.now();
        let mut gateway = self.traffic.gateway.borrow_mut();
        for tally in word.digests {
            gateway.receive(now, tally);
        }
    }

    /// Tells what is new here, and passes on what others told.
    fn tell(&mut self) {
        let (view, zone) = {
            let gateway = self.traffic.gateway.borrow();
            (gateway.view().cloned(), gateway.terms().zone.clone())
        };
        let Some(view) = view else { return };
        let mesh = Mesh { own_address: view.own_address, zone: &zone, peers: &view.peers };
        let now = self.traffic.now();
        let tally = {
            let mut gateway = self.traffic.gateway.borrow_mut();
            if now >= self.told + REPEAT {
                self.told = now;
                gateway.full_digest(mesh.detail())
            } else {
                gateway.digest(mesh.detail())
            }
        };
        let own = tally.map(split).unwrap_or_default();
        if !own.is_empty() {
            match mesh.recipients() {
                Recipients::Direct(peers) => self.send(false, &own, &peers),
                Recipients::Hubs { hubs, is_hub } => {
                    self.send(true, &own, &hubs);
                    if is_hub {
                        self.batch.extend(own);
                    }
                }
            }
        }
        if !self.batch.is_empty() {
            let batch = std::mem::take(&mut self.batch);
            self.send(false, &batch, &mesh.zone_peers());
        }
    }

    /// Sends tallies in as few datagrams as hold them. What does not fit the socket's buffer is
    /// dropped.
    fn send(&self, forward: bool, digests: &[Digest], peers: &[SocketAddr]) {
        for digests in datagrams(digests) {
            let word = Message { forward, digests: digests.to_vec() };
            let bytes = match rmp_serde::to_vec(&word) {
                Ok(bytes) => bytes,
                Err(error) => {
                    tracing::warn!(%error, "a word can't be encoded");
                    continue;
                }
            };
            for peer in peers {
                if let Err(error) = self.socket.try_send_to(&bytes, *peer) {
                    tracing::debug!(%error, %peer, "a word could not be sent");
                }
            }
        }
    }
}

/// One tally as several that each fit a datagram.
fn split(tally: Digest) -> Vec<Digest> {
    if tally.prefills.len() <= READS {
        return vec![tally];
    }
    let Digest { incarnation, sequence, is_full, loads, prefills } = tally;
    let chunks = prefills.chunks(READS);
    let part = |prefills: &[_]| Digest {
        incarnation,
        sequence,
        is_full,
        loads: loads.clone(),
        prefills: prefills.to_vec(),
    };
    chunks.map(part).collect()
}

/// Runs of tallies that each fit a datagram.
fn datagrams(digests: &[Digest]) -> Vec<&[Digest]> {
    let mut runs = Vec::new();
    let (mut start, mut size) = (0, 0);
    for (at, tally) in digests.iter().enumerate() {
        let next = bytes(tally);
        if at > start && size + next > DATAGRAM {
            runs.push(&digests[start..at]);
            (start, size) = (at, 0);
        }
        size += next;
    }
    runs.push(&digests[start..]);
    runs
}

/// Most bytes that a tally takes: nine for each number of 64 bits, five for one of 32.
fn bytes(tally: &Digest) -> usize {
    let parts: usize = tally.prefills.iter().map(|read| read.parts.len()).sum();
    24 + tally.loads.len() * 34 + tally.prefills.len() * 12 + parts * 15
}
