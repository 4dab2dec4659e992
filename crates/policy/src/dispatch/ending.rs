//! How attempts end, and what follows.

use std::time::Duration;

use super::event::{Action, AttemptId, Ending, Reason};
use super::life::{Broken, Failed, Life, Running, Stage};
use super::machine::{CANCEL_GRACE, Dispatcher, Drain};
use super::mutation::Mutation;
use super::retry::{self, Budget, Case, Next};
use crate::control::{Answer, Usage};
use crate::request::Work;
use crate::{Time, Verdict};

/// How long an upstream that could not be reached, or broke off, gets nothing new.
const BROKEN_PAUSE: Duration = Duration::from_millis(200);
/// How long an overloaded upstream gets nothing new, unless it says.
const OVERLOAD_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause that an upstream's word is taken for.
const PAUSE_LIMIT: Duration = Duration::from_secs(5);
/// How long an upstream counts as cold by its own refusal.
const COLD_PAUSE: Duration = Duration::from_secs(1);
/// How long a refusal for the version is remembered.
const VERSION_PAUSE: Duration = Duration::from_secs(1);
/// When to come back after a request was given up on.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Computed tokens from which a first byte tells how fast an upstream computes.
const SAMPLE_TOKENS: u64 = 500;

impl Dispatcher {
    /// Bytes of an answer came.
    pub(super) fn progress(&mut self, now: Time, attempt: AttemptId, tokens: u32) {
        let Some(ticket) = self.attempts.get(&attempt) else { return };
        let Some(Stage::Running(life)) = self.jobs.get_mut(ticket) else { return };
        life.core.sent = life.core.sent.max(tokens);
        if life.stage.begun {
            return;
        }
        life.stage.begun = true;
        let (key, computed, since) = (life.stage.member, life.stage.computed, life.stage.since);
        let member = &mut self.fleet.members[key];
        member.pending_tokens = member.pending_tokens.saturating_sub(computed);
        if computed >= SAMPLE_TOKENS {
            let took = now.saturating_sub(since);
            member.prefill.observe(now, computed as f64, took);
            self.prefill.observe(now, computed as f64, took);
        }
    }

    /// An attempt ended.
    pub(super) fn ended(
        &mut self,
        now: Time,
        attempt: AttemptId,
        ending: Ending,
        out: &mut Vec<Action>,
    ) {
        if let Some(drain) = self.drains.remove(&attempt) {
            return self.drained(now, drain, out);
        }
        let Some(ticket) = self.attempts.get(&attempt).copied() else { return };
        if self.broken != Some(Mutation::AcceptSuperseded) {
            self.attempts.remove(&attempt);
        }
        if !matches!(self.jobs.get(&ticket), Some(Stage::Running(_))) {
            return;
        }
        let Some(Stage::Running(life)) = self.take(ticket) else { return };
        let pool = life.core.pool;
        self.fleet.pools[pool].queue.release(life.core.org, now);
        if !life.stage.begun {
            let member = &mut self.fleet.members[life.stage.member];
            member.pending_tokens = member.pending_tokens.saturating_sub(life.stage.computed);
        }
        let (life, running) = life.end();
        match ending {
            Ending::Complete { cached_tokens, first_byte, answer } => {
                self.learn_rate(now, &life, &running, cached_tokens, first_byte);
                self.complete(now, life, running, answer, out);
            }
            Ending::Rejected => {
                self.free(now, running, Usage::Answered, out);
                life.answer(None, out);
            }
            Ending::Refused { reason, retry_after } => {
                self.heed(now, &life, &running, reason, retry_after);
                self.free(now, running, Usage::Failed, out);
                self.after(now, life, out);
            }
            Ending::Unsent => {
                self.fleet.members[running.member].avoid(now + BROKEN_PAUSE);
                self.free(now, running, Usage::Unused, out);
                self.after(now, life, out);
            }
            Ending::Broken { tokens } => self.broke(now, life, running, tokens, out),
        }
        self.pump(now, pool, out);
    }

    /// Gives a slot and a permit back.
    fn free(&mut self, now: Time, running: Running, usage: Usage, out: &mut Vec<Action>) {
        self.fleet.finish(running.member, now);
        self.give_back(running.permit, usage, out);
    }

    fn complete(
        &mut self,
        now: Time,
        life: Life<Failed>,
        running: Running,
        answer: Option<Answer>,
        out: &mut Vec<Action>,
    ) {
        let mut last = Vec::new();
        let (member, life_number, covered) = (running.member, running.incarnation, running.covered);
        self.remember_blocks(now, &life.core, member, life_number);
        self.export(now, &life.core, member, covered, &mut last);
        self.free(now, running, Usage::Answered, out);
        life.answer(answer, out);
        out.append(&mut last);
    }

    /// Learns how fast an upstream computes from an answer that came whole.
    fn learn_rate(
        &mut self,
        now: Time,
        life: &Life<Failed>,
        running: &Running,
        cached: u32,
        first_byte: Duration,
    ) {
        let Work::Prompt(prompt) = &life.core.request.work else { return };
        let computed = (prompt.tokens.len() as u64).saturating_sub(u64::from(cached));
        if running.begun || running.resumes || computed < SAMPLE_TOKENS {
            return;
        }
        let member = &mut self.fleet.members[running.member];
        member.prefill.observe(now, computed as f64, first_byte);
        self.prefill.observe(now, computed as f64, first_byte);
    }

    /// Takes in why an upstream refused.
    fn heed(
        &mut self,
        now: Time,
        life: &Life<Failed>,
        running: &Running,
        reason: Reason,
        retry_after: Option<Duration>,
    ) {
        let member = &mut self.fleet.members[running.member];
        match reason {
            Reason::Cold => member.cool(now + COLD_PAUSE),
            Reason::Leaving => member.leave(now),
            Reason::WrongVersion => {
                if let Some(version) = &life.core.version {
                    member.refuse_version(version, now + VERSION_PAUSE);
                }
            }
            _ => {
                let pause = retry_after.unwrap_or(OVERLOAD_PAUSE).min(PAUSE_LIMIT);
                member.avoid(now + pause);
            }
        }
    }

    /// A connection broke after a byte may have left.
    fn broke(
        &mut self,
        now: Time,
        mut life: Life<Failed>,
        running: Running,
        tokens: u32,
        out: &mut Vec<Action>,
    ) {
        let core = &mut life.core;
        core.verdict = core.verdict.join(Verdict::MayHaveRun);
        core.sent = core.sent.max(tokens);
        let attempt = running.attempt;
        let member = &mut self.fleet.members[running.member];
        member.avoid(now + BROKEN_PAUSE);
        let upstream = member.name.clone();
        let resumable = core.sent > 0 && !running.resumes && !core.gone;
        if resumable {
            let (member, incarnation) = (running.member, running.incarnation);
            core.broken = Some(Broken { attempt, member, incarnation });
        } else if core.request.is_idempotent() {
            out.push(Action::Cancel(attempt, upstream));
        }
        self.drain(now, running);
        self.after(now, life, out);
    }

    /// Decides what follows a failed attempt.
    fn after(&mut self, now: Time, mut life: Life<Failed>, out: &mut Vec<Action>) {
        let core = &life.core;
        if core.gone {
            return life.drop(out);
        }
        let case = Case {
            idempotent: core.request.is_idempotent()
                || self.broken == Some(Mutation::RepeatNonIdempotent),
            resumable: matches!(core.request.work, Work::Prompt(_)),
            verdict: core.verdict,
            attempts: core.attempts,
            sent: core.sent,
            late: now >= core.request.deadline,
        };
        if self.broken == Some(Mutation::UnlimitedRetries) {
            self.budget = Budget::unlimited();
        }
        match retry::next(case, &mut self.budget) {
            Next::Again | Next::Continue => self.enqueue(now, life.again(), out),
            Next::GiveUp(reason) => {
                if let Some(broken) = &core.broken
                    && let Some(member) = self.fleet.members.get(broken.member)
                {
                    out.push(Action::Cancel(broken.attempt, member.name.clone()));
                }
                if self.broken == Some(Mutation::UnderstateVerdict) {
                    life.core.verdict = Verdict::NotRun;
                }
                life.refuse(reason, Some(RETRY_AFTER), out);
            }
        }
    }

    /// The caller of a running request left.
    pub(super) fn abandon(&mut self, now: Time, mut life: Life<Running>, out: &mut Vec<Action>) {
        if !life.core.request.is_idempotent() {
            life.core.gone = true;
            self.jobs.insert(life.core.ticket, Stage::Running(life));
            return;
        }
        let attempt = life.stage.attempt;
        self.attempts.remove(&attempt);
        self.fleet.pools[life.core.pool].queue.release(life.core.org, now);
        let member = &mut self.fleet.members[life.stage.member];
        if !life.stage.begun {
            member.pending_tokens = member.pending_tokens.saturating_sub(life.stage.computed);
        }
        out.push(Action::Cancel(attempt, member.name.clone()));
        let (life, running) = life.end();
        self.drain(now, running);
        life.drop(out);
    }

    /// Counts an attempt as running until it surely isn't.
    fn drain(&mut self, now: Time, running: Running) {
        let until = now + CANCEL_GRACE;
        let drain = Drain { member: running.member, permit: running.permit, until };
        self.drains.insert(running.attempt, drain);
    }

    fn drained(&mut self, now: Time, drain: Drain, out: &mut Vec<Action>) {
        let pool = self.fleet.members[drain.member].pool;
        self.fleet.finish(drain.member, now);
        self.give_back(drain.permit, Usage::Failed, out);
        self.pump(now, pool, out);
    }

    /// Lets go of cancelled attempts whose time is up.
    pub(super) fn drop_drains(&mut self, now: Time, out: &mut Vec<Action>) {
        let mut over: Vec<AttemptId> =
            self.drains.iter().filter(|(_, d)| d.until <= now).map(|(id, _)| *id).collect();
        over.sort_unstable();
        for id in over {
            if let Some(drain) = self.drains.remove(&id) {
                self.drained(now, drain, out);
            }
        }
    }
}
