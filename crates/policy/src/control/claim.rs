//! Claims of requests that may run only once.
//!
//! Claims are grouped by shard, each shard one value in the key-value service. A daemon hands its
//! claims to the shard's preferred committer, which writes what has gathered in one swap. The swap
//! alone decides: a daemon that hears nothing from the committer swaps for itself, and at worst one
//! of the two meets a conflict. A claim is granted only when this daemon's own try, by its nonce, is
//! seen in a value that the service holds.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use acacia_catalog::id::DaemonId;

use super::outbox::{Outbox, Purpose};
use super::shard::{self, ClaimId, Ending, Nonce, SHARDS, Shard, ShardNumber};
use super::{Action, Answer, Claim, ClaimOutcome, Sabotage, Ticket};
use crate::message::{ClaimEntry, Message, Sender};
use crate::{Time, Verdict, kv};

/// Time between two swaps of one shard.
const GATHER: Duration = Duration::from_millis(225);
/// Time in which the committer must answer before a daemon swaps for itself.
const PATIENCE: Duration = Duration::from_millis(1_200);
/// How long a claim is tried before it is refused.
const HOLD: Duration = Duration::from_secs(5);
/// Wait after a failed call.
const RETRY: Duration = Duration::from_millis(250);
/// Age after which a finished claim is forgotten, counted from when this daemon first saw it.
const SAFE_AGE: Duration = Duration::from_secs(3_600);
/// Age after which a claim whose end was never told is forgotten.
const UNKNOWN_AGE: Duration = Duration::from_secs(86_400);
/// Most ends of claims that wait for the service.
const ENDINGS: usize = 10_000;

/// Why a call was made.
#[derive(Clone, Debug)]
pub enum Call {
    /// Reading a shard.
    Read(ShardNumber),
    /// Swapping a shard for this one.
    Swap(ShardNumber, Shard),
}

/// Who wants a claim.
#[derive(Clone, Debug)]
struct Want {
    claim: Claim,
    nonce: Nonce,
    since: Time,
    /// The peer that asked for it and its ticket; none for this daemon's own.
    peer: Option<Sender>,
    ticket: Ticket,
    /// When this daemon swaps for itself.
    own_at: Time,
}

/// What one daemon knows of a shard.
#[derive(Default)]
struct Board {
    shard: Shard,
    entry_revision: kv::ModRevision,
    known: bool,
    calling: bool,
    call_at: Time,
    wants: Vec<Want>,
    endings: Vec<Ending>,
    seen: BTreeMap<ClaimId, Time>,
}

/// Claims of one daemon, and those that it commits for others.
pub(super) struct Claims {
    boards: Vec<Board>,
    granted: BTreeMap<ClaimId, Nonce>,
    sabotage: Option<Sabotage>,
}

impl Claims {
    pub fn new(sabotage: Option<Sabotage>) -> Self {
        let boards = (0..SHARDS).map(|_| Board::default()).collect();
        Self { boards, granted: BTreeMap::new(), sabotage }
    }

    /// Takes a claim that traffic wants.
    pub fn want(
        &mut self,
        now: Time,
        ticket: Ticket,
        claim: Claim,
        committer: Option<&Sender>,
        out: &mut Outbox,
    ) {
        if self.sabotage == Some(Sabotage::SkipClaim) {
            out.push(Action::Claimed(ticket, ClaimOutcome::Granted));
            return;
        }
        let nonce = nonce(&out.me().daemon, ticket);
        let other = committer.filter(|c| c.daemon != out.me().daemon);
        let own_at = if other.is_some() { now + PATIENCE } else { now };
        if let Some(committer) = other {
            let entry = ClaimEntry::Want(ticket, claim.clone());
            out.send(committer.address, Message::Claims(vec![entry]));
        }
        let shard = shard::shard(&claim);
        self.board(shard).wants.push(Want { claim, nonce, since: now, peer: None, ticket, own_at });
    }

    /// Takes the end of a request whose claim was granted here.
    pub fn ended(
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
            None => self.end(ending),
        }
    }

    /// Takes claims that a peer hands to this daemon as their committer.
    pub fn take(&mut self, now: Time, from: &Sender, entries: Vec<ClaimEntry>) {
        for entry in entries {
            match entry {
                ClaimEntry::End(ending) => self.end(ending),
                ClaimEntry::Want(ticket, claim) => {
                    let nonce = nonce(&from.daemon, ticket);
                    let peer = Some(from.clone());
                    let board = self.board(shard::shard(&claim));
                    if !board.wants.iter().any(|w| w.nonce == nonce) {
                        let want = Want { claim, nonce, since: now, peer, ticket, own_at: now };
                        board.wants.push(want);
                    }
                }
            }
        }
    }

    /// Takes a committer's answer.
    pub fn answered(&mut self, ticket: Ticket, outcome: ClaimOutcome, out: &mut Outbox) {
        for board in &mut self.boards {
            let own = |w: &Want| w.peer.is_none() && w.ticket == ticket;
            let Some(at) = board.wants.iter().position(own) else { continue };
            if outcome == ClaimOutcome::Unavailable {
                // The committer gave up; this daemon tries for itself.
                board.wants[at].own_at = Time::ZERO;
                return;
            }
            let want = board.wants.remove(at);
            settle(&mut self.granted, want, outcome, out);
            return;
        }
    }

    /// Takes the answer to a call.
    pub fn called(&mut self, now: Time, call: Call, outcome: &kv::Outcome, out: &mut Outbox) {
        let number = match &call {
            Call::Read(number) | Call::Swap(number, _) => *number,
        };
        let board = self.board(number);
        board.calling = false;
        match (call, outcome) {
            (Call::Swap(_, shard), Ok(kv::Reply::Swapped(revision))) => {
                board.enter(now, shard, *revision);
            }
            (_, Ok(kv::Reply::Got(entry) | kv::Reply::Conflict(entry))) => {
                board.call_at = now;
                if let Some(shard) = Shard::decode(entry.as_ref()) {
                    board.enter(now, shard, entry.as_ref().map_or(0, |e| e.revision));
                }
            }
            (Call::Swap(..), Err(kv::Failure::Ambiguous)) => {
                board.known = false;
                board.call_at = now + RETRY;
                return;
            }
            _ => {
                board.call_at = now + RETRY;
                return;
            }
        }
        self.resolve(number, out);
    }

    /// Writes what has gathered; gives up what has waited for too long.
    pub fn tick(&mut self, now: Time, out: &mut Outbox) {
        for number in 0..SHARDS {
            self.give_up(now, number, out);
            self.commit(now, number, out);
        }
    }

    /// Claims that wait.
    pub fn is_idle(&self) -> bool {
        self.boards.iter().all(|b| b.wants.is_empty() && b.endings.is_empty())
    }

    fn board(&mut self, number: ShardNumber) -> &mut Board {
        &mut self.boards[usize::from(number)]
    }

    fn end(&mut self, ending: Ending) {
        let board = self.board(shard::shard(&ending.claim));
        if board.endings.len() < ENDINGS {
            board.endings.push(ending);
        }
    }

    fn give_up(&mut self, now: Time, number: ShardNumber, out: &mut Outbox) {
        let board = self.board(number);
        let (late, kept): (Vec<_>, Vec<_>) =
            std::mem::take(&mut board.wants).into_iter().partition(|w| now >= w.since + HOLD);
        board.wants = kept;
        for want in late {
            settle(&mut self.granted, want, ClaimOutcome::Unavailable, out);
        }
    }

    fn commit(&mut self, now: Time, number: ShardNumber, out: &mut Outbox) {
        let board = self.board(number);
        let due: BTreeSet<Nonce> =
            board.wants.iter().filter(|w| now >= w.own_at).map(|w| w.nonce).collect();
        let idle = due.is_empty() && board.endings.is_empty();
        if idle || board.calling || now < board.call_at {
            return;
        }
        board.calling = true;
        board.call_at = now + GATHER;
        if !board.known {
            let request = kv::Request::Get { key: shard::key(number) };
            out.call(Purpose::Claim(Call::Read(number)), request);
            return;
        }
        let next = board.next(now, &due);
        let request = kv::Request::Swap {
            key: shard::key(number),
            expected: board.entry_revision,
            value: rmp_serde::to_vec(&next).ok(),
            lease: None,
        };
        out.call(Purpose::Claim(Call::Swap(number, next)), request);
    }

    /// Answers every claim whose fate the shard shows.
    fn resolve(&mut self, number: ShardNumber, out: &mut Outbox) {
        let board = &mut self.boards[usize::from(number)];
        let wants = std::mem::take(&mut board.wants);
        for want in wants {
            match board.outcome(&want) {
                Some(outcome) => settle(&mut self.granted, want, outcome, out),
                None => board.wants.push(want),
            }
        }
    }
}

impl Board {
    /// Takes what the service holds.
    fn enter(&mut self, now: Time, shard: Shard, revision: kv::ModRevision) {
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

    /// The shard with what has gathered.
    fn next(&self, now: Time, due: &BTreeSet<Nonce>) -> Shard {
        let mut next = self.shard.clone();
        next.records.retain(|id, r| {
            let age = if r.verdict == Verdict::Ran { SAFE_AGE } else { UNKNOWN_AGE };
            self.seen.get(id).is_none_or(|at| now < *at + age)
        });
        for ending in &self.endings {
            next.end(ending);
        }
        for want in self.wants.iter().filter(|w| due.contains(&w.nonce)) {
            if next.has_room() {
                next.add(&want.claim, want.nonce);
            }
        }
        next.trim();
        next
    }

    /// What the shard shows of a claim.
    fn outcome(&self, want: &Want) -> Option<ClaimOutcome> {
        let record = self.shard.records.get(&shard::id(&want.claim))?;
        if record.nonce == want.nonce {
            return Some(ClaimOutcome::Granted);
        }
        if record.fingerprint != shard::fingerprint(&want.claim) {
            return Some(ClaimOutcome::Mismatch);
        }
        let answer = record.answer.clone();
        Some(ClaimOutcome::Taken { verdict: record.verdict, answer })
    }
}

/// Answers whoever wanted a claim.
fn settle(
    granted: &mut BTreeMap<ClaimId, Nonce>,
    want: Want,
    outcome: ClaimOutcome,
    out: &mut Outbox,
) {
    if let Some(peer) = want.peer {
        out.send(peer.address, Message::Claimed(want.ticket, outcome));
        return;
    }
    if outcome == ClaimOutcome::Granted {
        granted.insert(shard::id(&want.claim), want.nonce);
    }
    out.push(Action::Claimed(want.ticket, outcome));
}

/// The name of a daemon's try; a daemon's name is unique for its process life.
fn nonce(daemon: &DaemonId, ticket: Ticket) -> Nonce {
    let mut hasher = blake3::Hasher::new();
    hasher.update(daemon.as_bytes());
    hasher.update(&[0]);
    hasher.update(&ticket.to_le_bytes());
    shard::short(hasher.finalize().as_bytes())
}
