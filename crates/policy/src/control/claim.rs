//! Claims of requests that may run only once.
//!
//! Claims are grouped into shards, each of which is one value in the key-value service. A daemon
//! sends its claims to the shard's preferred committer, which writes them in batches by
//! compare-and-swap. Only the swap decides: a daemon that gets no answer from the committer swaps
//! on its own, and at worst one of the two gets a conflict. A claim is granted only once a value
//! held by the service contains the nonce of this daemon's attempt.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use acacia_catalog::id::DaemonId;

use super::outbox::{Outbox, Purpose};
use super::shard::{self, ClaimId, Ending, Nonce, SHARD_COUNT, Shard, ShardNumber};
use super::{Action, Answer, Claim, ClaimOutcome, Mutation, Ticket};
use crate::message::{ClaimEntry, Message, Sender};
use crate::{Time, Verdict, kv};

/// Minimum time between two calls for one shard.
const COMMIT_INTERVAL: Duration = Duration::from_millis(225);
/// Time after which a daemon without an answer from the committer swaps on its own.
const COMMITTER_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Time after which a claim that could not be made is refused.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(250);
/// Age at which the claim of a request that ran is deleted, from when this daemon first saw it.
const RAN_RETENTION: Duration = Duration::from_secs(3_600);
/// Age at which a claim without a known ending is deleted, from when this daemon first saw it.
const UNKNOWN_RETENTION: Duration = Duration::from_secs(86_400);
/// Maximum endings of one shard that wait to be written.
const MAX_ENDINGS: usize = 10_000;

/// Why a call was made.
#[derive(Clone, Debug)]
pub enum Call {
    /// Read a shard.
    Read(ShardNumber),
    /// Replace a shard by this one.
    Swap(ShardNumber, Shard),
}

/// A claim that has no outcome yet.
#[derive(Clone, Debug)]
struct PendingClaim {
    claim: Claim,
    nonce: Nonce,
    since: Time,
    /// The peer that requested it; none for this daemon's own.
    peer: Option<Sender>,
    ticket: Ticket,
    /// From when this daemon swaps on its own.
    own_swap_at: Time,
}

/// One daemon's view of a shard.
#[derive(Default)]
struct ShardState {
    shard: Shard,
    entry_revision: kv::ModRevision,
    known: bool,
    calling: bool,
    next_call_at: Time,
    pending: Vec<PendingClaim>,
    endings: Vec<Ending>,
    seen: BTreeMap<ClaimId, Time>,
}

/// Claims of one daemon, and those that it commits for peers.
pub(super) struct Claims {
    states: Vec<ShardState>,
    granted: BTreeMap<ClaimId, Nonce>,
    mutation: Option<Mutation>,
}

impl Claims {
    pub fn new(mutation: Option<Mutation>) -> Self {
        let states = (0..SHARD_COUNT).map(|_| ShardState::default()).collect();
        Self { states, granted: BTreeMap::new(), mutation }
    }

    /// Handles traffic's request for a claim.
    pub fn request(
        &mut self,
        now: Time,
        ticket: Ticket,
        claim: Claim,
        committer: Option<&Sender>,
        out: &mut Outbox,
    ) {
        if self.mutation == Some(Mutation::SkipClaim) {
            out.push(Action::Claimed(ticket, ClaimOutcome::Granted));
            return;
        }
        let nonce = nonce(&out.me().daemon, ticket);
        let other = committer.filter(|c| c.daemon != out.me().daemon);
        let own_swap_at = if other.is_some() { now + COMMITTER_TIMEOUT } else { now };
        if let Some(committer) = other {
            let entry = ClaimEntry::Want(ticket, claim.clone());
            out.send(committer.address, Message::Claims(vec![entry]));
        }
        let shard = shard::shard(&claim);
        self.state(shard).pending.push(PendingClaim {
            claim,
            nonce,
            since: now,
            peer: None,
            ticket,
            own_swap_at,
        });
    }

    /// Handles the end of a request whose claim was granted by this daemon.
    pub fn finish(
        &mut self,
        claim: Claim,
        verdict: Verdict,
        answer: Option<Answer>,
        committer: Option<&Sender>,
        out: &mut Outbox,
    ) {
        let Some(nonce) = self.granted.remove(&shard::id(&claim)) else { return };
        let ending = Ending { claim, nonce, verdict, answer };
        match committer.filter(|c| c.daemon != out.me().daemon) {
            Some(committer) => {
                out.send(committer.address, Message::Claims(vec![ClaimEntry::End(ending)]));
            }
            None => self.record_ending(ending),
        }
    }

    /// Handles claims that a peer sent to this daemon as their committer.
    pub fn receive(&mut self, now: Time, from: &Sender, entries: Vec<ClaimEntry>) {
        for entry in entries {
            match entry {
                ClaimEntry::End(ending) => self.record_ending(ending),
                ClaimEntry::Want(ticket, claim) => {
                    let nonce = nonce(&from.daemon, ticket);
                    let peer = Some(from.clone());
                    let state = self.state(shard::shard(&claim));
                    if !state.pending.iter().any(|p| p.nonce == nonce) {
                        let claimant = PendingClaim {
                            claim,
                            nonce,
                            since: now,
                            peer,
                            ticket,
                            own_swap_at: now,
                        };
                        state.pending.push(claimant);
                    }
                }
            }
        }
    }

    /// Handles a committer's answer.
    pub fn answered(&mut self, ticket: Ticket, outcome: ClaimOutcome, out: &mut Outbox) {
        for state in &mut self.states {
            let own = |p: &PendingClaim| p.peer.is_none() && p.ticket == ticket;
            let Some(at) = state.pending.iter().position(own) else { continue };
            if outcome == ClaimOutcome::Unavailable {
                // The committer timed out; this daemon swaps on its own.
                state.pending[at].own_swap_at = Time::ZERO;
                return;
            }
            let claimant = state.pending.remove(at);
            complete(&mut self.granted, claimant, outcome, out);
            return;
        }
    }

    /// Handles the result of a call.
    pub fn called(&mut self, now: Time, call: Call, outcome: &kv::Outcome, out: &mut Outbox) {
        let number = match &call {
            Call::Read(number) | Call::Swap(number, _) => *number,
        };
        let state = self.state(number);
        state.calling = false;
        match (call, outcome) {
            (Call::Swap(_, shard), Ok(kv::Reply::Swapped(revision))) => {
                state.adopt(now, shard, *revision);
            }
            (_, Ok(kv::Reply::Got(entry) | kv::Reply::Conflict(entry))) => {
                state.next_call_at = now;
                if let Some(shard) = Shard::decode(entry.as_ref()) {
                    state.adopt(now, shard, entry.as_ref().map_or(0, |e| e.revision));
                }
            }
            (Call::Swap(..), Err(kv::Failure::Ambiguous)) => {
                state.known = false;
                state.next_call_at = now + RETRY_DELAY;
                return;
            }
            _ => {
                state.next_call_at = now + RETRY_DELAY;
                return;
            }
        }
        self.resolve(number, out);
    }

    /// Refuses claims that timed out and writes the pending ones.
    pub fn tick(&mut self, now: Time, out: &mut Outbox) {
        for number in 0..SHARD_COUNT {
            self.expire(now, number, out);
            self.commit(now, number, out);
        }
    }

    /// Whether nothing waits to be written.
    pub fn is_idle(&self) -> bool {
        self.states.iter().all(|s| s.pending.is_empty() && s.endings.is_empty())
    }

    fn state(&mut self, number: ShardNumber) -> &mut ShardState {
        &mut self.states[usize::from(number)]
    }

    fn record_ending(&mut self, ending: Ending) {
        let state = self.state(shard::shard(&ending.claim));
        if state.endings.len() < MAX_ENDINGS {
            state.endings.push(ending);
        }
    }

    fn expire(&mut self, now: Time, number: ShardNumber, out: &mut Outbox) {
        let state = self.state(number);
        let (late, kept): (Vec<_>, Vec<_>) = std::mem::take(&mut state.pending)
            .into_iter()
            .partition(|p| now >= p.since + CLAIM_TIMEOUT);
        state.pending = kept;
        for claimant in late {
            complete(&mut self.granted, claimant, ClaimOutcome::Unavailable, out);
        }
    }

    fn commit(&mut self, now: Time, number: ShardNumber, out: &mut Outbox) {
        let state = self.state(number);
        let due: BTreeSet<Nonce> =
            state.pending.iter().filter(|p| now >= p.own_swap_at).map(|p| p.nonce).collect();
        let idle = due.is_empty() && state.endings.is_empty();
        if idle || state.calling || now < state.next_call_at {
            return;
        }
        state.calling = true;
        state.next_call_at = now + COMMIT_INTERVAL;
        if !state.known {
            let request = kv::Request::Get { key: shard::key(number) };
            out.call(Purpose::Claim(Call::Read(number)), request);
            return;
        }
        let next = state.next(now, &due);
        let request = kv::Request::Swap {
            key: shard::key(number),
            expected: state.entry_revision,
            value: rmp_serde::to_vec(&next).ok(),
            lease: None,
        };
        out.call(Purpose::Claim(Call::Swap(number, next)), request);
    }

    /// Answers every claim whose outcome is known from the shard.
    fn resolve(&mut self, number: ShardNumber, out: &mut Outbox) {
        let state = &mut self.states[usize::from(number)];
        let pending = std::mem::take(&mut state.pending);
        for claimant in pending {
            match state.outcome(&claimant) {
                Some(outcome) => complete(&mut self.granted, claimant, outcome, out),
                None => state.pending.push(claimant),
            }
        }
    }
}

impl ShardState {
    /// Adopts the shard held by the service and drops the endings that it contains.
    fn adopt(&mut self, now: Time, shard: Shard, revision: kv::ModRevision) {
        if self.known && revision < self.entry_revision {
            return;
        }
        self.endings.retain(|e| {
            let record = shard.records.get(&shard::id(&e.claim));
            record.is_some_and(|r| r.nonce == e.nonce && r.verdict != e.verdict)
        });
        self.seen.retain(|id, _| shard.records.contains_key(id));
        for id in shard.records.keys() {
            self.seen.entry(*id).or_insert(now);
        }
        self.shard = shard;
        self.entry_revision = revision;
        self.known = true;
    }

    /// The shard with the pending claims and endings, without records past retention.
    fn next(&self, now: Time, due: &BTreeSet<Nonce>) -> Shard {
        let mut next = self.shard.clone();
        next.records.retain(|id, r| {
            let age = if r.verdict == Verdict::Ran { RAN_RETENTION } else { UNKNOWN_RETENTION };
            self.seen.get(id).is_none_or(|at| now < *at + age)
        });
        for ending in &self.endings {
            next.record_ending(ending);
        }
        for claimant in self.pending.iter().filter(|p| due.contains(&p.nonce)) {
            if next.has_room() {
                next.add(&claimant.claim, claimant.nonce);
            }
        }
        next.trim_answers();
        next
    }

    /// A claim's outcome according to the shard, if known.
    fn outcome(&self, claimant: &PendingClaim) -> Option<ClaimOutcome> {
        let record = self.shard.records.get(&shard::id(&claimant.claim))?;
        if record.nonce == claimant.nonce {
            return Some(ClaimOutcome::Granted);
        }
        if record.fingerprint != shard::fingerprint(&claimant.claim) {
            return Some(ClaimOutcome::Mismatch);
        }
        let answer = record.answer.clone();
        Some(ClaimOutcome::Taken { verdict: record.verdict, answer })
    }
}

/// Answers the claimant.
fn complete(
    granted: &mut BTreeMap<ClaimId, Nonce>,
    claimant: PendingClaim,
    outcome: ClaimOutcome,
    out: &mut Outbox,
) {
    if let Some(peer) = claimant.peer {
        out.send(peer.address, Message::Claimed(claimant.ticket, outcome));
        return;
    }
    if outcome == ClaimOutcome::Granted {
        granted.insert(shard::id(&claimant.claim), claimant.nonce);
    }
    out.push(Action::Claimed(claimant.ticket, outcome));
}

/// The nonce of a claim attempt; unique, as a daemon's name is unique to its incarnation.
fn nonce(daemon: &DaemonId, ticket: Ticket) -> Nonce {
    let mut hasher = blake3::Hasher::new();
    hasher.update(daemon.as_bytes());
    hasher.update(&[0]);
    hasher.update(&ticket.to_le_bytes());
    shard::first_half(hasher.finalize().as_bytes())
}
