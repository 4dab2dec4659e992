//! Actions and open calls of control.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::{Action, CallId, Identity, Line, claim, config, epoch};
use crate::kv;
use crate::message::{Envelope, Message, Sender};

/// The component that made a call to the key-value service.
#[derive(Clone, Debug)]
pub(super) enum Purpose {
    /// Membership.
    Epoch(epoch::Call),
    /// Configuration.
    Config(config::Call),
    /// Claims.
    Claim(claim::Call),
}

/// Actions of the current step and unanswered calls.
pub(super) struct Outbox {
    sender: Sender,
    actions: Vec<Action>,
    calls: BTreeMap<CallId, Purpose>,
    next_call: CallId,
    service_up: bool,
    /// This daemon's random number generator.
    pub rng: ChaCha8Rng,
}

impl Outbox {
    pub fn new(identity: &Identity) -> Self {
        let sender = Sender {
            daemon: identity.daemon.clone(),
            zone: identity.zone.clone(),
            address: identity.address,
        };
        Self {
            sender,
            actions: Vec::new(),
            calls: BTreeMap::new(),
            next_call: 1,
            service_up: true,
            rng: ChaCha8Rng::seed_from_u64(identity.seed),
        }
    }

    /// This daemon, as the sender of messages.
    pub fn me(&self) -> &Sender {
        &self.sender
    }

    /// Whether the key-value service answered the latest call.
    pub fn service_up(&self) -> bool {
        self.service_up
    }

    /// Calls the key-value service.
    pub fn call(&mut self, purpose: Purpose, request: kv::Request) {
        let id = self.next_call;
        self.next_call += 1;
        self.calls.insert(id, purpose);
        self.actions.push(Action::Kv(id, request));
    }

    /// Removes a call that ended and returns its purpose; none for a duplicate answer.
    pub fn ended(&mut self, call: CallId, outcome: &kv::Outcome) -> Option<Purpose> {
        let purpose = self.calls.remove(&call)?;
        // A watch without an answer doesn't mean that the service is down.
        let waits = matches!(
            purpose,
            Purpose::Epoch(epoch::Call::Watch) | Purpose::Config(config::Call::Watch)
        );
        if !waits || *outcome != Err(kv::Failure::Ambiguous) {
            self.note_service(outcome);
        }
        Some(purpose)
    }

    /// Sends a message to a peer.
    pub fn send(&mut self, to: SocketAddr, message: Message) {
        let envelope = Envelope { from: self.sender.clone(), message };
        self.actions.push(Action::Send(to, envelope));
    }

    /// Adds an action.
    pub fn push(&mut self, action: Action) {
        self.actions.push(action);
    }

    /// Removes and returns the actions so far.
    pub fn take(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    fn note_service(&mut self, outcome: &kv::Outcome) {
        let up = !matches!(outcome, Err(kv::Failure::Unavailable | kv::Failure::Ambiguous));
        if up != self.service_up {
            self.service_up = up;
            let line = if up { Line::ServiceBack } else { Line::ServiceDown };
            self.push(Action::Log(line));
        }
    }
}
