//! Runs a workload against a system.

use std::sync::Arc;
use std::time::{Duration, Instant};

use acacia_catalog::tokenizer::Tokenizer;
use acacia_policy::request::BLOCK_TOKENS;
use indicatif::ProgressBar;
use tokio::sync::Mutex;
use tokio::task::JoinSet;

use super::client::{Answer, Client};
use super::record::{Ending, Kind, Record};
use super::workload::{Item, Step, TOKEN_BYTES, Workload};

/// The system that a workload runs against.
#[derive(Clone, Debug)]
pub struct Target {
    /// The caller.
    pub client: Client,
    /// API keys, one per organisation.
    pub keys: Vec<String>,
    /// The model that prompts request.
    pub model: String,
    /// The weight versions whose answers are accepted.
    pub versions: Vec<String>,
    /// The plain service that is called.
    pub service: String,
    /// Factor by which the stand-ins' clock is sped up.
    pub scale: f64,
}

/// State of a session.
#[derive(Debug, Default)]
struct Session {
    /// Prompts and answers so far.
    history: String,
    /// Tokens that an engine had in its cache at the end of the last turn.
    cached_tokens: usize,
}

/// State shared by the requests of one run.
#[derive(Debug)]
struct Context {
    target: Target,
    sessions: Vec<Mutex<Session>>,
}

/// Runs a workload and returns a record per request.
pub async fn execute(workload: Workload, target: Target, bar: &ProgressBar) -> Vec<Record> {
    let sessions = (0..workload.sessions).map(|_| Mutex::default()).collect();
    let context = Arc::new(Context { target, sessions });
    let started = Instant::now();
    let mut running = JoinSet::new();
    let mut records = Vec::with_capacity(workload.items.len());
    for item in workload.items {
        let due = item.at.div_f64(context.target.scale);
        tokio::time::sleep(due.saturating_sub(started.elapsed())).await;
        running.spawn(send(Arc::clone(&context), item));
        while let Some(done) = running.try_join_next() {
            collect(done, &mut records, bar);
        }
    }
    while let Some(done) = running.join_next().await {
        collect(done, &mut records, bar);
    }
    records
}

fn collect(
    done: Result<Record, tokio::task::JoinError>,
    records: &mut Vec<Record>,
    bar: &ProgressBar,
) {
    records.push(done.expect("a request's task does not panic"));
    bar.inc(1);
}

async fn send(context: Arc<Context>, item: Item) -> Record {
    let key = &context.target.keys[item.organisation];
    match &item.step {
        Step::Turn { session, returning, text, answer } => {
            let kind = if *returning { Kind::Return } else { Kind::First };
            turn(&context, key, kind, item.at, *session, text, *answer).await
        }
        Step::Short { text, answer } => short(&context, key, item.at, text, *answer).await,
        Step::Booking { number, .. } => booking(&context, key, item.at, *number).await,
        Step::Lookup { number } => {
            let path = format!("/status/{number}");
            let answer =
                context.target.client.call(key, &context.target.service, &path, None).await;
            record(Kind::Lookup, item.at, answer, 0, 0)
        }
    }
}

async fn turn(
    context: &Context,
    key: &str,
    kind: Kind,
    at: Duration,
    session: usize,
    text: &str,
    tokens: usize,
) -> Record {
    let mut session = context.sessions[session].lock().await;
    session.history.push_str(text);
    let prompt = session.history.clone();
    let mut answer = complete(context, key, &prompt, tokens).await;
    let prompt_tokens = prompt.len().div_ceil(TOKEN_BYTES);
    let floor = prompt_tokens - session.cached_tokens / BLOCK_TOKENS * BLOCK_TOKENS;
    if answer.ending == Ending::Complete {
        session.history.push_str(&answer.text);
        session.cached_tokens = prompt_tokens + tokens;
    }
    answer.text.clear();
    record(kind, at, answer, prompt_tokens, floor)
}

async fn short(context: &Context, key: &str, at: Duration, text: &str, tokens: usize) -> Record {
    let answer = complete(context, key, text, tokens).await;
    let prompt_tokens = text.len().div_ceil(TOKEN_BYTES);
    record(Kind::Short, at, answer, prompt_tokens, prompt_tokens)
}

async fn booking(context: &Context, key: &str, at: Duration, number: usize) -> Record {
    let name = format!("booking-{number}");
    let target = &context.target;
    let answer = target.client.call(key, &target.service, "/bookings", Some(&name)).await;
    record(Kind::Booking, at, answer, 0, 0)
}

/// Requests a completion and compares it with the expected text.
async fn complete(context: &Context, key: &str, prompt: &str, tokens: usize) -> Answer {
    let target = &context.target;
    let mut answer = target.client.complete(key, &target.model, prompt, tokens).await;
    if answer.ending == Ending::Complete && !is_expected(target, prompt, tokens, &answer.text) {
        answer.ending = Ending::Wrong("answer of another prompt".to_owned());
    }
    answer
}

fn is_expected(target: &Target, prompt: &str, tokens: usize, text: &str) -> bool {
    let tokenizer = Tokenizer::QuadByte;
    let prompt = tokenizer.encode(prompt);
    target.versions.iter().any(|version| {
        let expected = acacia_standin::engine::answer(version, &prompt, tokens);
        tokenizer.decode(&expected) == text.as_bytes()
    })
}

fn record(kind: Kind, at: Duration, answer: Answer, prompt: usize, floor: usize) -> Record {
    Record {
        kind,
        at,
        ending: answer.ending,
        first_token: answer.first_token,
        prompt_tokens: prompt as u64,
        floor_tokens: floor as u64,
        sends: answer.sends,
    }
}
