//! What daemons tell one another.
//!
//! Messages go one way; they may be lost, doubled, late or out of order.

use acacia_catalog::id::{DaemonId, ZoneId};
use serde::{Deserialize, Serialize};

/// A message and its sender.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Envelope {
    /// Who sends.
    pub from: Sender,
    /// What is sent.
    pub message: Message,
}

/// The daemon that sent a message.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Sender {
    /// Its name.
    pub daemon: DaemonId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Where peers reach it.
    pub address: std::net::SocketAddr,
}

/// What one daemon tells another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// The sender lives.
    Hello,
}
