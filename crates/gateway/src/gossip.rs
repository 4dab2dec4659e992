//! Exchange of load digests between instances, by datagrams.
//!
//! Unlike other communication between processes of this project, it doesn't use HTTP: a lost
//! message is superseded by the next one within milliseconds, and no message may wait for a peer
//! that is slow or unreachable.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use acacia_policy::Time;
use acacia_policy::gateway::gossip::{Digest, Message, Note, Subject, is_large};
use acacia_policy::gateway::mesh::{Mesh, Pacing, Recipients};
use strum::IntoEnumIterator;
use tokio::net::UdpSocket;

use crate::traffic::Traffic;

/// Time for which changes are batched before they are sent: a fifth of the time that a short answer
/// takes.
const SEND_INTERVAL: Duration = Duration::from_millis(15);
/// Interval between full digests, which make up for lost messages.
const FULL_INTERVAL: Duration = Duration::from_millis(700);
/// Size limit of a datagram, below the size that networks commonly carry unfragmented.
pub const DATAGRAM_BYTES: usize = 1_400;
/// Size limit of an empty digest in bytes.
const DIGEST_BYTES: usize = 32;
/// Prefills in one digest, so that it fits a datagram.
const PREFILLS_PER_DIGEST: usize = 16;
/// Digests from peers that may wait for forwarding. More arrive only while the process is
/// suspended, and are outdated by then.
const BATCH_LIMIT: usize = 512;

/// Interval between log lines on the volume of messages.
const VOLUME_INTERVAL: Duration = Duration::from_secs(2);

/// Sends and receives digests until it is dropped.
pub async fn run(traffic: Rc<Traffic>, address: SocketAddr, pacing: Pacing) {
    let socket = match UdpSocket::bind(address).await {
        Ok(socket) => socket,
        Err(error) => {
            tracing::error!(%error, %address, "gossip disabled: failed to bind its socket");
            return;
        }
    };
    let mut tick = tokio::time::interval(SEND_INTERVAL);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let now = traffic.now();
    let prompts = traffic.clone();
    let mut exchange = Exchange {
        traffic,
        pacing,
        socket,
        full_sent: now,
        batch: Vec::new(),
        volume: Volume::default(),
        volume_reported: now,
    };
    let mut buffer = vec![0; DATAGRAM_BYTES * 2];
    loop {
        tokio::select! {
            received = exchange.socket.recv_from(&mut buffer) => match received {
                Ok((length, _)) => exchange.receive(&buffer[..length]),
                Err(error) => tracing::debug!(%error, "datagram not received"),
            },
            () = prompts.untold_prompts.notified(), if pacing == Pacing::Immediate => exchange.flush(),
            _ = tick.tick() => exchange.flush(),
        }
    }
}

/// State of the exchange with other instances.
struct Exchange {
    traffic: Rc<Traffic>,
    pacing: Pacing,
    socket: UdpSocket,
    /// When the last full digest was sent.
    full_sent: Time,
    /// Digests from peers to forward.
    batch: Vec<Digest>,
    /// What was exchanged since the last log line on it.
    volume: Volume,
    /// When that line was written.
    volume_reported: Time,
}

/// Volume of messages.
#[derive(Debug, Default)]
struct Volume {
    sent: u64,
    sent_bytes: u64,
    received: u64,
    received_bytes: u64,
    received_loads: usize,
    received_prefills: usize,
    received_orders: usize,
    received_large_orders: usize,
    received_notes: usize,
}

impl Exchange {
    fn receive(&mut self, bytes: &[u8]) {
        let message: Message = match rmp_serde::from_slice(bytes) {
            Ok(message) => message,
            Err(error) => {
                tracing::warn!(%error, "malformed message from another instance");
                return;
            }
        };
        if message.forward && self.batch.len() < BATCH_LIMIT {
            self.batch.extend(message.digests.iter().cloned());
        }
        let is_urgent = message.forward
            && self.pacing == Pacing::Immediate
            && message
                .digests
                .iter()
                .flat_map(|digest| &digest.prefills)
                .any(|p| is_large(&p.parts));
        let now = self.traffic.now();
        let mut gateway = self.traffic.gateway.borrow_mut();
        self.volume.received += 1;
        self.volume.received_bytes += bytes.len() as u64;
        for digest in message.digests {
            let orders = digest.prefills.iter().filter(|prefill| gateway.is_order(prefill));
            let large = orders.clone().filter(|order| is_large(&order.parts)).count();
            let orders = orders.count();
            self.volume.received_loads += digest.loads.len();
            self.volume.received_prefills += digest.prefills.len() - orders;
            self.volume.received_orders += orders;
            self.volume.received_large_orders += large;
            self.volume.received_notes += digest.notes.len();
            gateway.receive(now, digest);
        }
        drop(gateway);
        if is_urgent {
            self.forward();
        }
    }

    /// Forwards digests from peers within this zone.
    fn forward(&mut self) {
        let batch = std::mem::take(&mut self.batch);
        let (view, zone) = {
            let gateway = self.traffic.gateway.borrow();
            (gateway.view().cloned(), gateway.terms().zone.clone())
        };
        if let Some(view) = view {
            let mesh = Mesh { own_address: view.own_address, zone: &zone, peers: &view.peers };
            self.send(false, &batch, &mesh.zone_peers());
        }
    }

    /// Sends this instance's changes, and forwards digests from peers.
    fn flush(&mut self) {
        self.traffic.report_findings();
        self.traffic.report_limits();
        let (view, zone) = {
            let gateway = self.traffic.gateway.borrow();
            (gateway.view().cloned(), gateway.terms().zone.clone())
        };
        let Some(view) = view else { return };
        let mesh = Mesh { own_address: view.own_address, zone: &zone, peers: &view.peers };
        let now = self.traffic.now();
        let digest = {
            let mut gateway = self.traffic.gateway.borrow_mut();
            if now >= self.full_sent + FULL_INTERVAL {
                self.full_sent = now;
                gateway.full_digest(now, mesh.detail())
            } else {
                gateway.digest(now, mesh.detail())
            }
        };
        let own = digest.map(split).unwrap_or_default();
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
        if now >= self.volume_reported + VOLUME_INTERVAL {
            self.volume_reported = now;
            self.report_volume();
        }
    }

    /// Counts and logs what was exchanged since the last call.
    fn report_volume(&mut self) {
        let volume = std::mem::take(&mut self.volume);
        self.traffic.metrics.message_bytes("sent", volume.sent_bytes);
        self.traffic.metrics.message_bytes("received", volume.received_bytes);
        tracing::info!(
            sent = volume.sent,
            sent_bytes = volume.sent_bytes,
            received = volume.received,
            received_bytes = volume.received_bytes,
            loads = volume.received_loads,
            prefills = volume.received_prefills,
            orders = volume.received_orders,
            large_orders = volume.received_large_orders,
            notes = volume.received_notes,
            "messages exchanged"
        );
    }

    /// Sends digests in as few datagrams as possible. A datagram that does not fit the socket's
    /// buffer is dropped.
    fn send(&mut self, forward: bool, digests: &[Digest], peers: &[SocketAddr]) {
        for digests in datagrams(digests) {
            let message = Message { forward, digests: digests.to_vec() };
            let bytes = match rmp_serde::to_vec(&message) {
                Ok(bytes) => bytes,
                Err(error) => {
                    tracing::warn!(%error, "message can't be encoded");
                    continue;
                }
            };
            for peer in peers {
                match self.socket.try_send_to(&bytes, *peer) {
                    Ok(length) => {
                        self.volume.sent += 1;
                        self.volume.sent_bytes += length as u64;
                    }
                    Err(error) => tracing::debug!(%error, %peer, "message not sent"),
                }
            }
        }
    }
}

/// Splits a digest by its prefills and by the subjects of its notes, so that these fit datagrams. The
/// loads stay together.
pub fn split(mut digest: Digest) -> Vec<Digest> {
    let is_apart = |note: &mut Note| note.subject() != Subject::General;
    let mut apart = digest.notes.extract_if(.., is_apart).collect::<Vec<_>>();
    let incarnation = digest.incarnation;
    let is_empty = !digest.is_full
        && digest.loads.is_empty()
        && digest.prefills.is_empty()
        && digest.notes.is_empty();
    let mut digests = if is_empty { Vec::new() } else { split_prefills(digest) };
    for subject in Subject::iter() {
        let is_on_subject = |note: &mut Note| note.subject() == subject;
        let mut notes = apart.extract_if(.., is_on_subject).collect::<Vec<_>>();
        while !notes.is_empty() {
            let notes = notes.drain(..fitting(&notes)).collect();
            // Without a sequence number, it leaves the sender's load as it is.
            digests.push(Digest { incarnation, notes, ..Digest::default() });
        }
    }
    digests
}

/// Number of notes that fit a datagram; at least one.
fn fitting(notes: &[Note]) -> usize {
    let mut size = DIGEST_BYTES;
    let is_within = |note: &&Note| {
        size += note.size_limit();
        size <= DATAGRAM_BYTES
    };
    notes.iter().take_while(is_within).count().max(1)
}

fn split_prefills(digest: Digest) -> Vec<Digest> {
    if digest.prefills.len() <= PREFILLS_PER_DIGEST {
        return vec![digest];
    }
    let Digest { incarnation, sequence, is_full, loads, prefills, notes } = digest;
    let chunks = prefills.chunks(PREFILLS_PER_DIGEST);
    let chunk = |prefills: &[_]| Digest {
        incarnation,
        sequence,
        is_full,
        loads: loads.clone(),
        prefills: prefills.to_vec(),
        notes: notes.clone(),
    };
    chunks.map(chunk).collect()
}

/// Groups consecutive digests so that each group fits a datagram.
pub fn datagrams(digests: &[Digest]) -> Vec<&[Digest]> {
    let mut runs = Vec::new();
    let (mut start, mut size) = (0, 0);
    for (at, digest) in digests.iter().enumerate() {
        let next = bytes(digest);
        let is_other_subject = at > start && subject(digest) != subject(&digests[at - 1]);
        if is_other_subject || (at > start && size + next > DATAGRAM_BYTES) {
            runs.push(&digests[start..at]);
            (start, size) = (at, 0);
        }
        size += next;
    }
    runs.push(&digests[start..]);
    runs
}

/// What the notes of a digest are about, after [`split`].
fn subject(digest: &Digest) -> Subject {
    digest.notes.first().map_or(Subject::General, Note::subject)
}

/// Upper bound of a digest's encoded size in bytes: nine for each number of 64 bits, five for one
/// of 32.
pub fn bytes(digest: &Digest) -> usize {
    let parts: usize = digest.prefills.iter().map(|read| read.parts.len()).sum();
    let notes: usize = digest.notes.iter().map(Note::size_limit).sum();
    DIGEST_BYTES + digest.loads.len() * 34 + digest.prefills.len() * 17 + parts * 15 + notes
}
