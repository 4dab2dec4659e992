//! Runs attempts; an attempt sends one request to one upstream once.

use std::future::pending;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use acacia_caller::answer::{Delta, Reply, Usage};
use acacia_caller::{Error, backend};
use acacia_policy::control::{Answer, Observation};
use acacia_policy::dispatch::{Attempt, Ending, Event, Reason, Start};
use acacia_policy::{Time, Verdict};
use acacia_upstream::engine::{self, Chunk, Finish, Stream};
use acacia_upstream::failure::Fault;
use acacia_upstream::{Failure, service};
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;
use tracing::Instrument;

use crate::job::{Call, Job, Prompt, Work};
use crate::traffic::Traffic;
use crate::transfer;

/// Largest answer of a plain service that is stored with its claim, in bytes.
const MAX_STORED_ANSWER_BYTES: usize = 4 << 10;

/// Runs an attempt and reports its ending to the dispatcher, unless it is cancelled.
pub async fn run(
    traffic: Arc<Traffic>,
    job: Arc<Job>,
    attempt: Attempt,
    cancelled: CancellationToken,
) {
    let id = attempt.id;
    let span = tracing::info_span!(parent: &job.span, "attempt", upstream = %attempt.upstream);
    let ending = tokio::select! {
        biased;
        () = cancelled.cancelled() => None,
        ending = run_attempt(&traffic, &job, &attempt).instrument(span) => Some(ending),
    };
    if let Some(ending) = ending {
        traffic.ended(id, ending);
    }
}

async fn run_attempt(traffic: &Arc<Traffic>, job: &Job, attempt: &Attempt) -> Ending {
    traffic.metrics.attempts.add(1, &[]);
    tracing::debug!(id = %format_args!("{:032x}", attempt.id), start = ?attempt.start, "attempt");
    match &job.work {
        Work::Prompt(prompt) => Run::new(traffic, job, prompt, attempt).execute().await,
        Work::Call(call) => run_call(traffic, job, call, attempt).await,
    }
}

/// One attempt of a completion.
struct Run<'a> {
    traffic: &'a Arc<Traffic>,
    job: &'a Job,
    prompt: &'a Prompt,
    attempt: &'a Attempt,
    started: Time,
    /// Answer tokens that precede those of the attempt.
    base: u32,
    first_byte: Option<Duration>,
}

/// The next step after a chunk.
enum Next {
    /// Read the next chunk.
    Read,
    /// The attempt is over.
    End(Ending),
}

impl<'a> Run<'a> {
    fn new(
        traffic: &'a Arc<Traffic>,
        job: &'a Job,
        prompt: &'a Prompt,
        attempt: &'a Attempt,
    ) -> Self {
        let base = {
            let mut output = prompt.output.lock();
            let base = output.base(attempt.start);
            output.bases.insert(attempt.id, base);
            base
        };
        let started = traffic.clock.now();
        Self { traffic, job, prompt, attempt, started, base, first_byte: None }
    }

    async fn execute(mut self) -> Ending {
        if self.offset() != self.sent() {
            return self.broken();
        }
        if self.sent() >= self.prompt.max_tokens {
            return self.complete(Finish::Length, 0).await;
        }
        transfer::import(self.traffic, self.job, self.prompt, self.attempt).await;
        let wait = self.traffic.clock.until(self.attempt.first_byte_by);
        let opened = timeout(wait, self.open()).await;
        match opened.unwrap_or(Err(Failure::Broken(Fault::Timeout))) {
            Ok(stream) => self.read(stream).await,
            Err(failure) => self.fail(failure).await,
        }
    }

    /// Number of output tokens after which the attempt starts.
    fn offset(&self) -> u32 {
        match self.attempt.start {
            Start::Fresh => 0,
            Start::Resume { offset, .. } | Start::Continue { offset } => offset,
        }
    }

    /// Number of output tokens sent to the caller.
    fn sent(&self) -> u32 {
        u32::try_from(self.prompt.output.lock().tokens.len()).unwrap_or(u32::MAX)
    }

    fn broken(&self) -> Ending {
        Ending::Broken { tokens: self.sent() }
    }

    /// Sends the request to the engine.
    async fn open(&self) -> Result<Stream, Failure> {
        let Some(client) = self.traffic.engine(&self.attempt.upstream) else {
            return Err(Failure::Unsent);
        };
        if let Start::Resume { earlier, offset } = self.attempt.start {
            let offset = offset.saturating_sub(self.base);
            return client.resume(self.attempt.id, earlier, offset).await;
        }
        let Some(version) = self.attempt.version.clone() else { return Err(Failure::Unsent) };
        let completion = engine::Completion {
            model: self.prompt.model.clone(),
            version,
            adapter: self.prompt.adapter.clone(),
            prompt: self.full_prompt(),
            max_tokens: self.prompt.max_tokens - self.base,
            priority: self.attempt.priority,
            blocks: self.attempt.blocks.clone(),
        };
        client.stream(self.attempt.id, &completion).await
    }

    /// The prompt, followed by the answer tokens before the attempt.
    fn full_prompt(&self) -> engine::Prompt {
        match (&self.prompt.prompt, self.base) {
            (backend::Prompt::Text(text), 0) => engine::Prompt::Text(text.clone()),
            (_, base) => {
                let output = self.prompt.output.lock();
                let so_far = output.tokens.iter().take(base as usize);
                engine::Prompt::Tokens(self.prompt.tokens.iter().chain(so_far).copied().collect())
            }
        }
    }

    async fn read(&mut self, mut stream: Stream) -> Ending {
        loop {
            let wait = match self.first_byte {
                None => self.traffic.clock.until(self.attempt.first_byte_by),
                Some(_) => self.traffic.settings.times.silence,
            };
            let chunk = match timeout(wait, stream.next()).await {
                Ok(Ok(Some(chunk))) => chunk,
                Ok(Ok(None)) => return self.fail(Failure::Broken(Fault::Ended)).await,
                Ok(Err(fault)) => return self.fail(Failure::Broken(fault)).await,
                Err(_) => return self.fail(Failure::Broken(Fault::Timeout)).await,
            };
            match self.handle_chunk(chunk, &stream).await {
                Next::Read => {}
                Next::End(ending) => return ending,
            }
        }
    }

    async fn handle_chunk(&mut self, chunk: Chunk, stream: &Stream) -> Next {
        let end = chunk.end;
        if !self.deliver(chunk).await {
            return Next::End(self.broken());
        }
        if self.first_byte.is_none() {
            self.first_byte = Some(self.traffic.clock.now().saturating_sub(self.started));
            let (attempt, tokens) = (self.attempt.id, self.sent());
            self.traffic.step(Event::Progress { attempt, tokens });
        }
        match end {
            None => Next::Read,
            Some((finish, usage)) => {
                let observation = Observation::Answered(stream.incarnation());
                self.traffic.observe(&self.attempt.upstream, observation);
                let cached = usage.prompt_tokens_details.cached_tokens;
                Next::End(self.complete(finish, cached).await)
            }
        }
    }

    /// Sends tokens to the caller; false if they don't continue what the caller has received.
    async fn deliver(&self, chunk: Chunk) -> bool {
        if chunk.tokens.is_empty() {
            return true;
        }
        let permit = self.reserve().await;
        let mut output = self.prompt.output.lock();
        let follows = output.tokens.len() as u64 == u64::from(self.base) + u64::from(chunk.offset);
        let remaining = self.prompt.max_tokens as usize
            - output.tokens.len().min(self.prompt.max_tokens as usize);
        if output.current != Some(self.attempt.id) || !follows || chunk.tokens.len() > remaining {
            return false;
        }
        output.tokens.extend_from_slice(&chunk.tokens);
        let text = output.decoder.push(&chunk.tokens);
        permit.send(Delta::Output { text, tokens: chunk.tokens });
        true
    }

    /// Reserves a slot in the caller's channel. If the caller has left or doesn't read, never
    /// returns: the attempt waits here until it is cancelled.
    async fn reserve(&self) -> tokio::sync::mpsc::Permit<'_, Delta> {
        let wait = self.traffic.settings.times.stall;
        match timeout(wait, self.prompt.deltas.reserve()).await {
            Ok(Ok(permit)) => permit,
            Ok(Err(_)) | Err(_) => {
                self.traffic.caller_left(self.job.ticket);
                pending().await
            }
        }
    }

    /// Completes the caller's answer.
    async fn complete(&self, finish: Finish, cached_tokens: u32) -> Ending {
        let rest = self.prompt.output.lock().decoder.finish();
        if !rest.is_empty() {
            self.reserve().await.send(Delta::Output { text: rest, tokens: Vec::new() });
        }
        let prompt_tokens = u32::try_from(self.prompt.tokens.len()).unwrap_or(u32::MAX);
        let completion_tokens = self.sent();
        let usage = Usage { prompt_tokens, cached_tokens, completion_tokens };
        let permit = self.reserve().await;
        self.job.answered.store(true, Ordering::Relaxed);
        permit.send(Delta::End { finish: finish.into(), usage });
        self.traffic.metrics.answered(&usage);
        let first_byte = self.first_byte.unwrap_or_default();
        Ending::Complete { cached_tokens, first_byte, answer: None }
    }

    async fn fail(&self, failure: Failure) -> Ending {
        self.traffic.observe_failure(&self.attempt.upstream, &failure);
        if let Start::Resume { .. } = self.attempt.start {
            // The engine no longer knows the run; the tokens already sent remain valid.
            return self.broken();
        }
        match failure {
            Failure::Unsent => Ending::Unsent,
            Failure::Refused { reason, retry_after, .. } => Ending::Refused { reason, retry_after },
            Failure::Rejected { status, message, .. } => {
                let permit = self.reserve().await;
                self.job.answered.store(true, Ordering::Relaxed);
                permit.send(Delta::Failed(Error::rejected(status, message)));
                Ending::Rejected
            }
            Failure::Broken(_) => self.broken(),
        }
    }
}

/// Runs one attempt of a call.
async fn run_call(traffic: &Traffic, job: &Job, call: &Call, attempt: &Attempt) -> Ending {
    let Some(client) = traffic.service(&attempt.upstream) else { return Ending::Unsent };
    let started = traffic.clock.now();
    let wait = attempt.first_byte_by.saturating_sub(started);
    match client.call(attempt.id, &call.call, wait).await {
        Ok(answer) => {
            traffic.observe(&attempt.upstream, Observation::Answered(answer.incarnation));
            let first_byte = traffic.clock.now().saturating_sub(started);
            let stored_answer = stored_answer(&answer);
            job.answered.store(true, Ordering::Relaxed);
            call.finish(Ok(Reply {
                status: answer.status.as_u16(),
                content_type: answer.content_type,
                body: answer.body,
            }));
            traffic.metrics.verdict(Verdict::Ran);
            Ending::Complete { cached_tokens: 0, first_byte, answer: stored_answer }
        }
        Err(failure) => {
            traffic.observe_failure(&attempt.upstream, &failure);
            fail_call(job, call, failure)
        }
    }
}

/// The answer as it is stored with a claim; `None` if it is too large.
fn stored_answer(answer: &service::Answer) -> Option<Answer> {
    (answer.body.len() <= MAX_STORED_ANSWER_BYTES).then(|| Answer {
        status: answer.status.as_u16(),
        content_type: answer.content_type.clone(),
        body: answer.body.to_vec(),
    })
}

fn fail_call(job: &Job, call: &Call, failure: Failure) -> Ending {
    match failure {
        Failure::Unsent => Ending::Unsent,
        Failure::Refused { reason, retry_after, .. } => Ending::Refused { reason, retry_after },
        Failure::Rejected { status, message, .. } => {
            job.answered.store(true, Ordering::Relaxed);
            call.finish(Err(Error::rejected(status, message)));
            Ending::Rejected
        }
        Failure::Broken(_) => Ending::Broken { tokens: 0 },
    }
}

/// What a failure shows of the state of its upstream.
pub fn observation(failure: &Failure) -> Option<Observation> {
    match failure {
        Failure::Unsent | Failure::Broken(Fault::Ended) => Some(Observation::Unreachable),
        Failure::Refused { reason: Reason::Leaving, incarnation, .. } => {
            Some(Observation::Leaving(*incarnation))
        }
        Failure::Refused { reason: Reason::Overloaded | Reason::Cold, incarnation, .. } => {
            Some(Observation::Overloaded(*incarnation))
        }
        Failure::Refused { .. } | Failure::Rejected { .. } | Failure::Broken(_) => None,
    }
}
