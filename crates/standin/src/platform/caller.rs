//! The platform's callers behind its balancer.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use reqwest::{Client, Method, RequestBuilder, Response};
use tokio::time::Instant;

use super::document::{HOST, MODEL};

/// Callers that take entry instances in turn.
#[derive(Debug)]
pub struct Caller {
    client: Client,
    entries: Vec<SocketAddr>,
    next: AtomicUsize,
}

/// What a caller asks.
#[derive(Clone, Debug)]
pub struct Request {
    /// Id of the request.
    pub id: String,
    /// Key of the caller's organisation.
    pub key: String,
    /// What is asked.
    pub operation: Operation,
    /// How long the caller waits.
    pub timeout: Duration,
    /// How often it asks again when it is told that nothing ran.
    pub retries: u32,
}

/// What is asked for.
#[derive(Clone, Debug)]
pub enum Operation {
    /// Something that may be read twice.
    Read,
    /// Something that must be done once.
    Charge,
    /// An answer to a prompt.
    Prompt {
        /// Parts with their tokens.
        parts: Vec<(String, u32)>,
        /// Tokens of the answer.
        output: u32,
    },
}

/// What a caller got.
#[derive(Clone, Debug)]
pub struct Answer {
    /// How it ended.
    pub ending: Ending,
    /// Time to the first event, or to the whole answer where it is plain.
    pub first_event: Option<Duration>,
    /// Times that it was sent.
    pub attempts: u32,
}

/// How a request ended, as its caller saw it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Ending {
    /// The whole answer came, and it was this request's.
    Complete,
    /// It was refused with a status; whether it may have run.
    Refused {
        /// The status.
        status: u16,
        /// Whether it is certain that nothing ran.
        not_run: bool,
    },
    /// The answer broke off, or none came.
    Broken(String),
    /// The answer was another one's.
    Wrong(String),
}

impl Caller {
    /// Callers of some entry instances.
    ///
    /// # Errors
    /// If the client can't be set up.
    pub fn new(entries: Vec<SocketAddr>) -> reqwest::Result<Self> {
        // Another part of the process may have chosen one already; none is used over plain HTTP.
        let _ = rustls::crypto::ring::default_provider().install_default();
        let client = Client::builder().no_proxy().build()?;
        Ok(Self { client, entries, next: AtomicUsize::new(0) })
    }

    /// Sends a request, again if nothing ran and it was told when to come back.
    pub async fn send(&self, request: &Request) -> Answer {
        let deadline = Instant::now() + request.timeout;
        let mut attempts = 0;
        loop {
            attempts += 1;
            let left = deadline.saturating_duration_since(Instant::now());
            let sent = tokio::time::timeout(left, self.attempt(request, left)).await;
            let (outcome, after) = sent
                .unwrap_or_else(|_| ((Ending::Broken("no answer in time".to_owned()), None), None));
            let is_refused = matches!(outcome.0, Ending::Refused { not_run: true, .. });
            let after = after.filter(|after| is_refused && Instant::now() + *after < deadline);
            match after {
                Some(after) if attempts <= request.retries => tokio::time::sleep(after).await,
                _ => {
                    let (ending, first) = outcome;
                    // A caller counts from its first try.
                    let waited = request.timeout - left;
                    return Answer { ending, first_event: first.map(|f| f + waited), attempts };
                }
            }
        }
    }

    /// Whether an instance says that it is ready.
    pub async fn is_ready(&self, ready: SocketAddr) -> bool {
        let answer = self.client.get(format!("http://{ready}/acaciaarch/readyz")).send().await;
        answer.is_ok_and(|answer| answer.status().is_success())
    }

    /// Sends a request once; gives how it ended, the time to its first event, and when to come back.
    async fn attempt(
        &self,
        request: &Request,
        left: Duration,
    ) -> ((Ending, Option<Duration>), Option<Duration>) {
        let begun = Instant::now();
        let response = match self.build(request, left).send().await {
            Ok(response) => response,
            Err(error) => return ((Ending::Broken(error.to_string()), None), None),
        };
        let header = |name: &str| response.headers().get(name)?.to_str().ok().map(str::to_owned);
        let status = response.status();
        if header("x-request-id").as_deref() != Some(&request.id) {
            return ((Ending::Wrong("another request's id".to_owned()), None), None);
        }
        if !status.is_success() {
            // A server says so itself; these statuses of an instance promise it.
            let promised = [401, 403, 404, 408, 421, 429, 503].contains(&status.as_u16());
            let not_run = header("x-not-executed").is_some() || promised;
            let after = header("retry-after").and_then(|text| text.parse().ok());
            let end = Ending::Refused { status: status.as_u16(), not_run };
            return ((end, None), after.map(Duration::from_secs_f64));
        }
        let (end, first) = read_answer(response, request, begun).await;
        ((end, first), None)
    }

    fn build(&self, request: &Request, left: Duration) -> RequestBuilder {
        let turn = self.next.fetch_add(1, Ordering::Relaxed);
        let entry = self.entries[turn % self.entries.len()];
        let (method, path) = match request.operation {
            Operation::Read => (Method::GET, "/read/x"),
            Operation::Charge => (Method::POST, "/charge/x"),
            Operation::Prompt { .. } => (Method::POST, "/ask/x"),
        };
        let builder = self
            .client
            .request(method, format!("http://{entry}{path}"))
            .header("host", HOST)
            .header("x-request-id", &request.id)
            .header("x-deadline-ms", left.as_millis().to_string())
            .bearer_auth(&request.key);
        let Operation::Prompt { parts, output } = &request.operation else { return builder };
        let tokens: u32 = parts.iter().map(|(_, tokens)| tokens).sum();
        let names: Vec<String> =
            parts.iter().map(|(id, tokens)| format!("{id}:{tokens}")).collect();
        builder
            .header("x-model", MODEL)
            .header("x-token-usage", format!("{tokens},{output}"))
            .header("x-prompt-prefix", names.join(","))
            .body("x")
    }
}

/// Reads an answer to its end and judges it.
async fn read_answer(
    mut response: Response,
    request: &Request,
    begun: Instant,
) -> (Ending, Option<Duration>) {
    let mut body = Vec::new();
    let mut first = None;
    loop {
        match response.chunk().await {
            Ok(Some(chunk)) => {
                first.get_or_insert(begun.elapsed());
                body.extend_from_slice(&chunk);
            }
            Ok(None) => break,
            Err(error) => return (Ending::Broken(error.to_string()), first),
        }
    }
    let end = match request.operation {
        Operation::Prompt { output, .. } => {
            check_events(&String::from_utf8_lossy(&body), request, output)
        }
        _ => Ending::Complete,
    };
    match request.operation {
        Operation::Prompt { .. } => (end, first),
        _ => (end, Some(begun.elapsed())),
    }
}

/// Whether a stream holds each of its own events once and in order.
fn check_events(body: &str, request: &Request, output: u32) -> Ending {
    let events: Vec<&str> = body.split_terminator("\n\n").collect();
    let expected = |number: u32| format!("id: {number}\ndata: {} {number}", request.id);
    let wrong = (1..).zip(&events).find(|(number, event)| ***event != expected(*number));
    match wrong {
        Some((_, event)) => Ending::Wrong(format!("the event {event:?}")),
        None if events.len() < output as usize => Ending::Broken("events are missing".to_owned()),
        None if events.len() > output as usize => Ending::Wrong("events to spare".to_owned()),
        None => Ending::Complete,
    }
}
