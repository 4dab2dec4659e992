//! Ends of attempts, and whether their requests are retried.

use std::time::Duration;

use super::event::{Action, AttemptId, Ending, Reason};
use super::job::{Failed, Interruption, Job, Running, Stage};
use super::machine::{CANCEL_GRACE, Detached, Dispatcher};
use super::mutation::Mutation;
use super::retry::{self, Budget, Next, State};
use crate::control::{Answer, Usage};
use crate::request::Work;
use crate::{Time, Verdict};

/// How long an upstream gets no new requests after a connection to it failed or broke.
const FAILURE_PAUSE: Duration = Duration::from_millis(200);
/// How long an overloaded upstream gets no new requests if it names no delay.
const OVERLOAD_PAUSE: Duration = Duration::from_millis(100);
/// Longest delay that an upstream may name.
const PAUSE_LIMIT: Duration = Duration::from_secs(5);
/// How long an upstream is treated as cold after it refused a request as cold.
const COLD_PAUSE: Duration = Duration::from_secs(1);
/// How long a refusal of a weight version is remembered.
const VERSION_PAUSE: Duration = Duration::from_secs(1);
/// Delay after which a caller may repeat a request that was given up.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Least computed prompt tokens for which the time to the first byte is a sample of the prefill
/// rate.
const RATE_SAMPLE_MIN_TOKENS: u64 = 500;

impl Dispatcher {
    /// Handles received bytes of an answer.
    pub(super) fn progress(&mut self, now: Time, attempt: AttemptId, tokens: u32) {
        let Some(ticket) = self.attempts.get(&attempt) else { return };
        let Some(Stage::Running(job)) = self.jobs.get_mut(ticket) else { return };
        job.core.sent = job.core.sent.max(tokens);
        if job.stage.has_first_byte {
            return;
        }
        job.stage.has_first_byte = true;
        let (key, computed, since) = (job.stage.member, job.stage.computed, job.stage.since);
        let member = &mut self.fleet.members[key];
        member.pending_tokens = member.pending_tokens.saturating_sub(computed);
        if computed >= RATE_SAMPLE_MIN_TOKENS {
            let took = now.saturating_sub(since);
            member.prefill.observe(now, computed as f64, took);
            self.prefill.observe(now, computed as f64, took);
        }
    }

    /// Handles the end of an attempt.
    pub(super) fn ended(
        &mut self,
        now: Time,
        attempt: AttemptId,
        ending: Ending,
        out: &mut Vec<Action>,
    ) {
        if let Some(detached) = self.detached.remove(&attempt) {
            return self.detached_ended(now, detached, out);
        }
        let Some(ticket) = self.attempts.get(&attempt).copied() else { return };
        if self.mutation != Some(Mutation::AcceptSuperseded) {
            self.attempts.remove(&attempt);
        }
        if !matches!(self.jobs.get(&ticket), Some(Stage::Running(_))) {
            return;
        }
        let Some(Stage::Running(job)) = self.take(ticket) else { return };
        let pool = job.core.pool;
        self.fleet.pools[pool].queue.release(job.core.org, now);
        if !job.stage.has_first_byte {
            let member = &mut self.fleet.members[job.stage.member];
            member.pending_tokens = member.pending_tokens.saturating_sub(job.stage.computed);
        }
        let (job, running) = job.end();
        match ending {
            Ending::Complete { cached_tokens, first_byte, answer } => {
                self.learn_rate(now, &job, &running, cached_tokens, first_byte);
                self.complete(now, job, running, answer, out);
            }
            Ending::Rejected => {
                self.release(now, running, Usage::Answered, out);
                job.answer(None, out);
            }
            Ending::Refused { reason, retry_after } => {
                self.apply_refusal(now, &job, &running, reason, retry_after);
                self.release(now, running, Usage::Failed, out);
                self.retry_or_refuse(now, job, out);
            }
            Ending::Unsent => {
                self.fleet.members[running.member].avoid(now + FAILURE_PAUSE);
                self.release(now, running, Usage::Unused, out);
                self.retry_or_refuse(now, job, out);
            }
            Ending::Broken { tokens } => self.interrupt(now, job, running, tokens, out),
        }
        self.dispatch_queued(now, pool, out);
    }

    /// Releases the slot and returns the permit of an attempt.
    fn release(&mut self, now: Time, running: Running, usage: Usage, out: &mut Vec<Action>) {
        self.fleet.finish(running.member, now);
        self.return_permit(running.permit, usage, out);
    }

    fn complete(
        &mut self,
        now: Time,
        job: Job<Failed>,
        running: Running,
        answer: Option<Answer>,
        out: &mut Vec<Action>,
    ) {
        let mut exports = Vec::new();
        let (member, incarnation, covered) = (running.member, running.incarnation, running.covered);
        self.remember_blocks(now, &job.core, member, incarnation);
        self.export(now, &job.core, member, covered, &mut exports);
        self.release(now, running, Usage::Answered, out);
        job.answer(answer, out);
        out.append(&mut exports);
    }

    /// Samples the prefill rate of an upstream from a complete answer.
    fn learn_rate(
        &mut self,
        now: Time,
        job: &Job<Failed>,
        running: &Running,
        cached: u32,
        first_byte: Duration,
    ) {
        let Work::Prompt(prompt) = &job.core.request.work else { return };
        let computed = (prompt.tokens.len() as u64).saturating_sub(u64::from(cached));
        if running.has_first_byte || running.resumes || computed < RATE_SAMPLE_MIN_TOKENS {
            return;
        }
        let member = &mut self.fleet.members[running.member];
        member.prefill.observe(now, computed as f64, first_byte);
        self.prefill.observe(now, computed as f64, first_byte);
    }

    /// Applies the reason of an upstream's refusal to the routing of later requests.
    fn apply_refusal(
        &mut self,
        now: Time,
        job: &Job<Failed>,
        running: &Running,
        reason: Reason,
        retry_after: Option<Duration>,
    ) {
        let member = &mut self.fleet.members[running.member];
        match reason {
            Reason::Cold => member.mark_cold(now + COLD_PAUSE),
            Reason::Leaving => member.mark_leaving(now),
            Reason::WrongVersion => {
                if let Some(version) = &job.core.version {
                    member.refuse_version(version, now + VERSION_PAUSE);
                }
            }
            _ => {
                let pause = retry_after.unwrap_or(OVERLOAD_PAUSE).min(PAUSE_LIMIT);
                member.avoid(now + pause);
            }
        }
    }

    /// Handles a connection that broke after the request may have reached the upstream.
    fn interrupt(
        &mut self,
        now: Time,
        mut job: Job<Failed>,
        running: Running,
        tokens: u32,
        out: &mut Vec<Action>,
    ) {
        let core = &mut job.core;
        core.verdict = core.verdict.join(Verdict::MayHaveRun);
        core.sent = core.sent.max(tokens);
        let attempt = running.attempt;
        let member = &mut self.fleet.members[running.member];
        member.avoid(now + FAILURE_PAUSE);
        let upstream = member.name.clone();
        let resumable = core.sent > 0 && !running.resumes && !core.abandoned;
        if resumable {
            let (member, incarnation) = (running.member, running.incarnation);
            core.interruption = Some(Interruption { attempt, member, incarnation });
        } else if core.request.is_idempotent() {
            out.push(Action::Cancel(attempt, upstream));
        }
        self.detach(now, running);
        self.retry_or_refuse(now, job, out);
    }

    /// Retries a request after a failed attempt, or refuses it.
    fn retry_or_refuse(&mut self, now: Time, mut job: Job<Failed>, out: &mut Vec<Action>) {
        let core = &job.core;
        if core.abandoned {
            return job.discard(out);
        }
        let state = State {
            idempotent: core.request.is_idempotent()
                || self.mutation == Some(Mutation::RepeatNonIdempotent),
            resumable: matches!(core.request.work, Work::Prompt(_)),
            verdict: core.verdict,
            attempts: core.attempts,
            sent: core.sent,
            deadline_passed: now >= core.request.deadline,
        };
        if self.mutation == Some(Mutation::UnlimitedRetries) {
            self.budget = Budget::unlimited();
        }
        match retry::next(state, &mut self.budget) {
            Next::Retry | Next::Continue => self.enqueue(now, job.retry(), out),
            Next::GiveUp(reason) => {
                if let Some(interruption) = &core.interruption
                    && let Some(member) = self.fleet.members.get(interruption.member)
                {
                    out.push(Action::Cancel(interruption.attempt, member.name.clone()));
                }
                if self.mutation == Some(Mutation::UnderstateVerdict) {
                    job.core.verdict = Verdict::NotRun;
                }
                job.refuse(reason, Some(RETRY_AFTER), out);
            }
        }
    }

    /// Cancels a running request whose caller disconnected; one that isn't idempotent runs on.
    pub(super) fn abandon_running(
        &mut self,
        now: Time,
        mut job: Job<Running>,
        out: &mut Vec<Action>,
    ) {
        if !job.core.request.is_idempotent() {
            job.core.abandoned = true;
            self.jobs.insert(job.core.ticket, Stage::Running(job));
            return;
        }
        let attempt = job.stage.attempt;
        self.attempts.remove(&attempt);
        self.fleet.pools[job.core.pool].queue.release(job.core.org, now);
        let member = &mut self.fleet.members[job.stage.member];
        if !job.stage.has_first_byte {
            member.pending_tokens = member.pending_tokens.saturating_sub(job.stage.computed);
        }
        out.push(Action::Cancel(attempt, member.name.clone()));
        let (job, running) = job.end();
        self.detach(now, running);
        job.discard(out);
    }

    /// Counts an attempt against slots and permits until it ends or its grace period is over.
    fn detach(&mut self, now: Time, running: Running) {
        let until = now + CANCEL_GRACE;
        let detached = Detached { member: running.member, permit: running.permit, until };
        self.detached.insert(running.attempt, detached);
    }

    fn detached_ended(&mut self, now: Time, detached: Detached, out: &mut Vec<Action>) {
        let pool = self.fleet.members[detached.member].pool;
        self.fleet.finish(detached.member, now);
        self.return_permit(detached.permit, Usage::Failed, out);
        self.dispatch_queued(now, pool, out);
    }

    /// Releases detached attempts whose grace period is over.
    pub(super) fn expire_detached(&mut self, now: Time, out: &mut Vec<Action>) {
        let mut expired: Vec<AttemptId> =
            self.detached.iter().filter(|(_, d)| d.until <= now).map(|(id, _)| *id).collect();
        expired.sort_unstable();
        for id in expired {
            if let Some(detached) = self.detached.remove(&id) {
                self.detached_ended(now, detached, out);
            }
        }
    }
}
