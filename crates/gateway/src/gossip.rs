//! The instances' word to each other, by datagrams.
//!
//! Datagrams rather than HTTP, the house's usual way between its processes: a word that is lost is
//! replaced by the next one within milliseconds, and none must ever wait for a peer that is slow or
//! cut off.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use acacia_policy::gateway::gossip::Tally;
use rand::seq::IndexedRandom;
use tokio::net::UdpSocket;

use crate::traffic::Traffic;

/// Time in which changes gather before they are told: a fifth of what a short answer takes.
const GATHER: Duration = Duration::from_millis(15);
/// Time after which a word is told again though nothing changed, so that a lost one is made good.
const REPEAT: Duration = Duration::from_millis(500);
/// Largest datagram, below the size that networks commonly carry whole.
const DATAGRAM: usize = 1_400;
/// Reads that are told in one datagram, so that it stays below that size.
const READS: usize = 16;
/// Instances that one word goes to; where there are more, others are drawn each time.
const PEERS: usize = 16;

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
    let mut told = traffic.now();
    let mut buffer = vec![0; DATAGRAM * 2];
    loop {
        tokio::select! {
            received = socket.recv_from(&mut buffer) => match received {
                Ok((length, _)) => hear(&traffic, &buffer[..length]),
                Err(error) => tracing::debug!(%error, "a word could not be read"),
            },
            _ = tick.tick() => {
                let now = traffic.now();
                let tally = {
                    let mut gateway = traffic.gateway.borrow_mut();
                    if now >= told + REPEAT { gateway.tally_again() } else { gateway.tally() }
                };
                if let Some(tally) = tally {
                    told = now;
                    tell(&traffic, &socket, tally);
                }
            }
        }
    }
}

fn hear(traffic: &Traffic, bytes: &[u8]) {
    match rmp_serde::from_slice::<Tally>(bytes) {
        Ok(tally) => traffic.gateway.borrow_mut().hear(traffic.now(), tally),
        Err(error) => tracing::warn!(%error, "a word of another instance can't be read"),
    }
}

/// Sends a word to the others. What does not fit the socket's buffer is dropped.
fn tell(traffic: &Traffic, socket: &UdpSocket, tally: Tally) {
    let view = traffic.gateway.borrow().view().cloned();
    let Some(view) = view else { return };
    let peers: Vec<SocketAddr> =
        view.peers.sample(&mut rand::rng(), PEERS.min(view.peers.len())).copied().collect();
    let Tally { life, sequence, loads, reads } = tally;
    let mut rest = &reads[..];
    loop {
        let (some, others) = rest.split_at(rest.len().min(READS));
        rest = others;
        let part = Tally { life, sequence, loads: loads.clone(), reads: some.to_vec() };
        match rmp_serde::to_vec(&part) {
            Ok(bytes) => {
                for peer in &peers {
                    if let Err(error) = socket.try_send_to(&bytes, *peer) {
                        tracing::debug!(%error, %peer, "a word could not be sent");
                    }
                }
            }
            Err(error) => tracing::warn!(%error, "a word can't be encoded"),
        }
        if rest.is_empty() {
            return;
        }
    }
}
