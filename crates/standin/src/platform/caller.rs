//! Callers, with the load balancer of the platform in front of the entry instances.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use reqwest::{Client, ClientBuilder, Method, RequestBuilder, Response};
use tokio::time::Instant;

use super::document::{HOST, MODEL};

/// Sends requests to the entry instances in round-robin order.
#[derive(Debug)]
pub struct Caller {
    client: Client,
    entries: Vec<SocketAddr>,
    next: AtomicUsize,
}

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct Request {
    /// Value of `x-request-id`.
    pub id: String,
    /// API key of the caller's organisation.
    pub key: String,
    /// Requested operation.
    pub operation: Operation,
    /// What it is about; by default [`Operation::resource`].
    pub resource: Resource,
    /// Total time that the caller waits, including retries.
    pub timeout: Duration,
    /// Maximum number of retries after an answer that promises that nothing ran.
    pub retries: u32,
}

/// Operation of a request.
#[derive(Clone, Debug)]
pub enum Operation {
    /// An idempotent read.
    Read,
    /// A write that must run at most once.
    Charge,
    /// A completion of a prompt.
    Prompt {
        /// Ids of the prompt parts with their token counts.
        parts: Vec<(String, u32)>,
        /// Number of output tokens.
        output: u32,
    },
    /// A completion of a prompt whose stream can't be resumed.
    LongPrompt {
        /// Ids of the prompt parts with their token counts.
        parts: Vec<(String, u32)>,
        /// Number of output tokens.
        output: u32,
    },
}

impl Operation {
    /// The resource that all its requests share unless they state another one.
    pub fn resource(&self) -> Resource {
        match self {
            Self::Read => Resource { path: "/read/x", body: "" },
            Self::Charge => Resource { path: "/charge/x", body: "" },
            Self::Prompt { .. } => Resource { path: "/ask/x", body: "x" },
            Self::LongPrompt { .. } => Resource { path: "/long/x", body: "x" },
        }
    }

    /// HTTP method of its requests.
    pub fn method(&self) -> Method {
        match self {
            Self::Read => Method::GET,
            Self::Charge | Self::Prompt { .. } | Self::LongPrompt { .. } => Method::POST,
        }
    }

    /// Whether it must run at most once.
    pub fn is_at_most_once(&self) -> bool {
        matches!(self, Self::Charge | Self::LongPrompt { .. })
    }

    /// Whether its answer is a stream.
    pub fn is_stream(&self) -> bool {
        self.prompt().is_some()
    }

    /// The parts of the prompt and the number of output tokens, if it has a prompt.
    fn prompt(&self) -> Option<(&[(String, u32)], u32)> {
        match self {
            Self::Read | Self::Charge => None,
            Self::Prompt { parts, output } | Self::LongPrompt { parts, output } => {
                Some((parts, *output))
            }
        }
    }
}

/// Path with the query, and body of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Resource {
    /// Path with the query.
    pub path: &'static str,
    /// Body.
    pub body: &'static str,
}

/// Answer as received by the caller.
#[derive(Clone, Debug)]
pub struct Answer {
    /// How the request ended.
    pub ending: Ending,
    /// Time from the first attempt to the first event, or to the end of an answer without events.
    pub first_event: Option<Duration>,
    /// Number of attempts.
    pub attempts: u32,
}

/// How a request ended from the caller's point of view.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Ending {
    /// The answer was complete and correct.
    Complete,
    /// An error status was returned.
    Refused {
        /// HTTP status.
        status: u16,
        /// Whether the answer guarantees that nothing ran.
        not_run: bool,
    },
    /// The answer was missing or incomplete; holds the reason.
    Broken(String),
    /// The answer belongs to another request or has wrong events; holds the reason.
    Wrong(String),
}

impl Caller {
    /// Callers of the given entry instances.
    ///
    /// # Errors
    /// If the HTTP client can't be created.
    pub fn new(entries: Vec<SocketAddr>) -> reqwest::Result<Self> {
        Self::build_client(Client::builder(), entries)
    }

    /// The same, but a connection that was idle for the given time isn't used again.
    ///
    /// # Errors
    /// If the HTTP client can't be created.
    pub fn with_idle_limit(entries: Vec<SocketAddr>, limit: Duration) -> reqwest::Result<Self> {
        Self::build_client(Client::builder().pool_idle_timeout(limit), entries)
    }

    fn build_client(client: ClientBuilder, entries: Vec<SocketAddr>) -> reqwest::Result<Self> {
        // Fails if the process has already installed a provider; plain HTTP never uses it.
        let _ = rustls::crypto::ring::default_provider().install_default();
        let client = client.no_proxy().build()?;
        Ok(Self { client, entries, next: AtomicUsize::new(0) })
    }

    /// Sends a request; retries if nothing ran and the answer has `retry-after`.
    pub async fn send(&self, request: &Request) -> Answer {
        let deadline = Instant::now() + request.timeout;
        let mut attempts = 0;
        loop {
            attempts += 1;
            let left = deadline.saturating_duration_since(Instant::now());
            let sent = tokio::time::timeout(left, self.attempt(request, left)).await;
            let (outcome, after) = sent.unwrap_or_else(|_| {
                ((Ending::Broken("no answer before the deadline".to_owned()), None), None)
            });
            let is_refused = matches!(outcome.0, Ending::Refused { not_run: true, .. });
            let after = after.filter(|after| is_refused && Instant::now() + *after < deadline);
            match after {
                Some(after) if attempts <= request.retries => tokio::time::sleep(after).await,
                _ => {
                    let (ending, first) = outcome;
                    // The caller's latency starts with the first attempt.
                    let waited = request.timeout - left;
                    return Answer { ending, first_event: first.map(|f| f + waited), attempts };
                }
            }
        }
    }

    /// Whether the readiness probe of an instance succeeds.
    pub async fn is_ready(&self, ready: SocketAddr) -> bool {
        let answer = self.client.get(format!("http://{ready}/acaciaarch/readyz")).send().await;
        answer.is_ok_and(|answer| answer.status().is_success())
    }

    /// Sends a request once; returns how it ended, the time to its first event, and `retry-after`.
    async fn attempt(
        &self,
        request: &Request,
        left: Duration,
    ) -> ((Ending, Option<Duration>), Option<Duration>) {
        let start = Instant::now();
        let response = match self.build(request, left).send().await {
            Ok(response) => response,
            Err(error) => return ((Ending::Broken(describe(&error)), None), None),
        };
        let header = |name: &str| response.headers().get(name)?.to_str().ok().map(str::to_owned);
        let status = response.status();
        if header("x-request-id").as_deref() != Some(&request.id) {
            return ((Ending::Wrong("the answer has another request id".to_owned()), None), None);
        }
        if !status.is_success() {
            // Servers state it in the header; instances guarantee it for these statuses.
            let promised = [401, 403, 404, 408, 421, 429, 503].contains(&status.as_u16());
            let not_run = header("x-not-executed").is_some() || promised;
            let after = header("retry-after").and_then(|text| text.parse().ok());
            let ending = match response.bytes().await {
                Ok(_) => Ending::Refused { status: status.as_u16(), not_run },
                Err(error) => Ending::Broken(format!("status {status}, then {}", describe(&error))),
            };
            return ((ending, None), after.map(Duration::from_secs_f64));
        }
        let (ending, first) = read_answer(response, request, start).await;
        ((ending, first), None)
    }

    fn build(&self, request: &Request, left: Duration) -> RequestBuilder {
        let turn = self.next.fetch_add(1, Ordering::Relaxed);
        let entry = self.entries[turn % self.entries.len()];
        let Resource { path, body } = request.resource;
        let builder = self
            .client
            .request(request.operation.method(), format!("http://{entry}{path}"))
            .header("host", HOST)
            .header("x-request-id", &request.id)
            .header("x-deadline-ms", left.as_millis().to_string())
            .bearer_auth(&request.key);
        let builder = if body.is_empty() { builder } else { builder.body(body) };
        let Some((parts, output)) = request.operation.prompt() else { return builder };
        let tokens: u32 = parts.iter().map(|(_, tokens)| tokens).sum();
        let names: Vec<String> =
            parts.iter().map(|(id, tokens)| format!("{id}:{tokens}")).collect();
        builder
            .header("x-model", MODEL)
            .header("x-token-usage", format!("{tokens},{output}"))
            .header("x-prompt-prefix", names.join(","))
    }
}

/// An error with its causes.
fn describe(error: &reqwest::Error) -> String {
    let causes = std::iter::successors(Some(error as &dyn std::error::Error), |e| e.source());
    causes.map(ToString::to_string).collect::<Vec<_>>().join(": ")
}

/// Reads an answer to its end and checks it.
async fn read_answer(
    mut response: Response,
    request: &Request,
    start: Instant,
) -> (Ending, Option<Duration>) {
    let mut body = Vec::new();
    let mut first = None;
    loop {
        match response.chunk().await {
            Ok(Some(chunk)) => {
                first.get_or_insert(start.elapsed());
                body.extend_from_slice(&chunk);
            }
            Ok(None) => break,
            Err(error) => return (Ending::Broken(describe(&error)), first),
        }
    }
    let text = String::from_utf8_lossy(&body);
    let ending = match request.operation {
        Operation::Prompt { output, .. } | Operation::LongPrompt { output, .. } => {
            check_events(&text, request, output)
        }
        // The server names the request and the length of its body.
        Operation::Read | Operation::Charge => {
            let Resource { path, body } = request.resource;
            let path = path.split_once('?').map_or(path, |(path, _)| path);
            let method = request.operation.method();
            check_body(&text, &format!("{method} {path} {}", body.len()))
        }
    };
    match request.operation {
        Operation::Prompt { .. } | Operation::LongPrompt { .. } => (ending, first),
        _ => (ending, Some(start.elapsed())),
    }
}

/// Checks the body of a plain answer.
fn check_body(body: &str, expected: &str) -> Ending {
    if body == expected {
        return Ending::Complete;
    }
    Ending::Wrong(format!("unexpected body {body:?}"))
}

/// Checks that a stream has each event of this request once and in order.
fn check_events(body: &str, request: &Request, output: u32) -> Ending {
    let events: Vec<&str> = body.split_terminator("\n\n").collect();
    let expected = |number: u32| format!("id: {number}\ndata: {} {number}", request.id);
    let wrong = (1..).zip(&events).find(|(number, event)| ***event != expected(*number));
    match wrong {
        Some((_, event)) => Ending::Wrong(format!("unexpected event {event:?}")),
        None if events.len() < output as usize => {
            Ending::Wrong("a complete answer lacks its last events".to_owned())
        }
        None if events.len() > output as usize => {
            Ending::Wrong("there are surplus events".to_owned())
        }
        None => Ending::Complete,
    }
}
