//! A caller: sends requests, retries them and reads the answers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use futures::StreamExt;
use parking_lot::RwLock;
use serde_json::{Value, json};

use super::record::Ending;

/// Most attempts at a request; only requests that may safely run again are retried.
const MAX_SENDS: u32 = 4;
/// Longest delay before a retry.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(5);
/// Timeout for the next byte of an answer.
const READ_TIMEOUT: Duration = Duration::from_secs(60);

/// A load balancer that picks the entry addresses of daemons in turn.
#[derive(Clone, Debug, Default)]
pub struct Balancer {
    entries: Arc<RwLock<Vec<SocketAddr>>>,
    next: Arc<AtomicUsize>,
}

impl Balancer {
    /// A balancer over these entries.
    pub fn new(entries: Vec<SocketAddr>) -> Self {
        Self { entries: Arc::new(RwLock::new(entries)), next: Arc::default() }
    }

    /// Replaces the entries.
    pub fn set(&self, entries: Vec<SocketAddr>) {
        *self.entries.write() = entries;
    }

    /// The next entry in turn; `None` if there are no entries.
    pub fn pick(&self) -> Option<SocketAddr> {
        let entries = self.entries.read();
        let turn = self.next.fetch_add(1, Ordering::Relaxed);
        entries.get(turn % entries.len().max(1)).copied()
    }
}

/// A caller.
#[derive(Clone, Debug)]
pub struct Client {
    http: reqwest::Client,
    balancer: Balancer,
}

/// The result of a request.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The text received so far.
    pub text: String,
    /// How the request ended; the text is not yet checked.
    pub ending: Ending,
    /// Wall time from the first attempt to the first token.
    pub first_token: Option<Duration>,
    /// Number of attempts.
    pub sends: u32,
}

/// Kinds of requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Kind {
    /// A prompt with a streamed answer.
    Prompt,
    /// A call with an idempotency key, which keeps it from running twice.
    Keyed,
    /// A call that may run more than once.
    Lookup,
}

/// The result of one attempt.
enum Attempt {
    /// The request ended.
    Ended(Ending),
    /// The request may be sent again after a delay.
    Retry(Ending, Duration),
}

impl Client {
    /// Creates a caller behind a balancer.
    pub fn new(balancer: Balancer) -> Self {
        let http = reqwest::Client::builder()
            .read_timeout(READ_TIMEOUT)
            .pool_max_idle_per_host(1_024)
            .build()
            .expect("the options are valid");
        Self { http, balancer }
    }

    /// Requests a streamed completion of `prompt` with `tokens` tokens.
    pub async fn complete(&self, key: &str, model: &str, prompt: &str, tokens: usize) -> Answer {
        let body = json!({"model": model, "prompt": prompt, "max_tokens": tokens, "stream": true});
        let body = body.to_string();
        let build = |entry| {
            self.http
                .post(format!("http://{entry}/v1/completions"))
                .bearer_auth(key)
                .header("content-type", "application/json")
                .body(body.clone())
        };
        self.send_with_retries(build, Kind::Prompt).await
    }

    /// Calls a plain service; `idempotency` is the key of a call that must run at most once.
    pub async fn call(
        &self,
        key: &str,
        service: &str,
        path: &str,
        idempotency: Option<&str>,
    ) -> Answer {
        let build = |entry| {
            let url = format!("http://{entry}/v1/services/{service}{path}");
            match idempotency {
                Some(name) => self
                    .http
                    .post(url)
                    .bearer_auth(key)
                    .header("idempotency-key", name)
                    .json(&json!({"reference": name})),
                None => self.http.get(url).bearer_auth(key),
            }
        };
        let kind = if idempotency.is_some() { Kind::Keyed } else { Kind::Lookup };
        self.send_with_retries(build, kind).await
    }

    /// Sends a request until it ends or the attempts are used up.
    async fn send_with_retries(
        &self,
        build: impl Fn(SocketAddr) -> reqwest::RequestBuilder,
        kind: Kind,
    ) -> Answer {
        let started = Instant::now();
        let mut answer = Answer {
            text: String::new(),
            ending: Ending::Broken("no entry".to_owned()),
            first_token: None,
            sends: 0,
        };
        while answer.sends < MAX_SENDS {
            let Some(entry) = self.balancer.pick() else { break };
            answer.sends += 1;
            match send(build(entry), kind, started, &mut answer).await {
                Attempt::Ended(ending) => {
                    answer.ending = ending;
                    return answer;
                }
                Attempt::Retry(ending, wait) => {
                    answer.ending = ending;
                    tokio::time::sleep(wait.min(MAX_RETRY_DELAY)).await;
                }
            }
        }
        answer
    }
}

async fn send(
    request: reqwest::RequestBuilder,
    kind: Kind,
    started: Instant,
    answer: &mut Answer,
) -> Attempt {
    let response = match request.send().await {
        Ok(response) => response,
        Err(error) if error.is_connect() => {
            return Attempt::Retry(Ending::Broken("connection failed".to_owned()), Duration::ZERO);
        }
        Err(_) => return Attempt::Ended(Ending::Broken("no answer".to_owned())),
    };
    if !response.status().is_success() {
        return refused(response, kind).await;
    }
    if kind == Kind::Prompt {
        Attempt::Ended(read_stream(response, started, answer).await)
    } else {
        Attempt::Ended(read_body(response, started, answer).await)
    }
}

async fn refused(response: reqwest::Response, kind: Kind) -> Attempt {
    let status = response.status();
    let wait = response
        .headers()
        .get("retry-after")
        .and_then(|v| v.to_str().ok()?.parse().ok())
        .map(Duration::from_secs_f64);
    let body: Value = response.json().await.unwrap_or_default();
    let field = |name: &str| body["error"][name].as_str().unwrap_or(status.as_str()).to_owned();
    let ending = Ending::Refused { code: field("code"), verdict: field("verdict") };
    // A keyed call may be retried whatever the verdict, since its key keeps it from running twice.
    let may_retry = field("verdict") == "not_run" || kind == Kind::Keyed;
    match wait {
        Some(wait) if may_retry => Attempt::Retry(ending, wait),
        _ => Attempt::Ended(ending),
    }
}

async fn read_body(response: reqwest::Response, started: Instant, answer: &mut Answer) -> Ending {
    match response.text().await {
        Ok(text) => {
            answer.first_token = Some(started.elapsed());
            answer.text = text;
            Ending::Complete
        }
        Err(_) => Ending::Broken("body interrupted".to_owned()),
    }
}

async fn read_stream(response: reqwest::Response, started: Instant, answer: &mut Answer) -> Ending {
    let mut bytes = response.bytes_stream();
    let mut pending = Vec::new();
    while let Some(chunk) = bytes.next().await {
        let Ok(chunk) = chunk else { return Ending::Broken("stream interrupted".to_owned()) };
        pending.extend_from_slice(&chunk);
        while let Some(at) = pending.iter().position(|b| *b == b'\n') {
            let line: Vec<u8> = pending.drain(..=at).collect();
            match read_line(&line, started, answer) {
                Line::More => {}
                Line::Done => return Ending::Complete,
                Line::Failed(ending) => return ending,
            }
        }
    }
    Ending::Broken("no [DONE]".to_owned())
}

/// Meaning of one line of an event stream.
enum Line {
    More,
    Done,
    Failed(Ending),
}

fn read_line(line: &[u8], started: Instant, answer: &mut Answer) -> Line {
    let Some(data) = line.trim_ascii().strip_prefix(b"data:") else { return Line::More };
    let data = data.trim_ascii();
    if data == b"[DONE]" {
        return Line::Done;
    }
    let Ok(event) = serde_json::from_slice::<Value>(data) else {
        return Line::Failed(Ending::Broken("event is not JSON".to_owned()));
    };
    if let Some(error) = event.get("error") {
        let code = error["code"].as_str().unwrap_or("unknown");
        return Line::Failed(Ending::Broken(format!("error event: {code}")));
    }
    let text = event["choices"][0]["text"].as_str().unwrap_or_default();
    if !text.is_empty() && answer.first_token.is_none() {
        answer.first_token = Some(started.elapsed());
    }
    answer.text.push_str(text);
    Line::More
}
