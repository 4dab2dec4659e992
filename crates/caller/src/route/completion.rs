//! Completions, streamed and complete.

use std::io;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use acacia_catalog::tokenizer::Token;
use acacia_policy::Verdict;
use bytes::Bytes;
use futures::stream;
use salvo::http::header::{CACHE_CONTROL, CONTENT_TYPE, HeaderValue};
use salvo::http::{Request, Response};
use salvo::{Depot, FlowCtrl, Handler, async_trait};

use super::{authenticate, read_body, respond_with_error, respond_with_json, trace};
use crate::Backend;
use crate::answer::{self, Delta, Usage};
use crate::backend;
use crate::body::{Answer, Choice, Completion, Kind, Message, Output};
use crate::error::Error;
use crate::trace::Trace;

/// Last event of a stream.
const DONE: &[u8] = b"data: [DONE]\n\n";

/// `POST /v1/completions` and `POST /v1/chat/completions`.
pub(crate) struct CompletionRoute<B> {
    pub(crate) backend: Arc<B>,
    pub(crate) kind: Kind,
    pub(crate) max_body_bytes: usize,
}

#[async_trait]
impl<B: Backend> Handler for CompletionRoute<B> {
    async fn handle(
        &self,
        request: &mut Request,
        _: &mut Depot,
        response: &mut Response,
        _: &mut FlowCtrl,
    ) {
        let trace = trace(request, response);
        if let Err(error) = self.answer(request, response, trace).await {
            respond_with_error(response, &trace, &error);
        }
    }
}

impl<B: Backend> CompletionRoute<B> {
    async fn answer(
        &self,
        request: &mut Request,
        response: &mut Response,
        trace: Trace,
    ) -> Result<(), Error> {
        let organisation = authenticate(request, &*self.backend)?;
        let body = read_body(request, self.max_body_bytes).await?;
        let mut body: Completion = serde_json::from_slice(&body).map_err(|error| {
            Error::invalid(format!("the body is not valid: {error}"), "send an OpenAI-style body")
        })?;
        let max_tokens = body.validate()?;
        let prompt = body.take_prompt(self.kind)?;
        let (model, adapter) = (body.model.clone(), body.adapter.clone());
        let completion =
            backend::Completion { organisation, model, adapter, prompt, max_tokens, trace };
        let mut answer = self.backend.complete(completion).await?;
        let first = first_delta(&mut answer).await?;
        let encoder = Encoder::new(self.kind, trace, body);
        if encoder.stream {
            stream_answer(response, encoder, first, answer);
        } else {
            let body = collect_answer(&encoder, first, answer).await?;
            respond_with_json(response, body);
        }
        Ok(())
    }
}

/// Receives the first part of an answer; a failure before it can still set the HTTP status.
async fn first_delta(answer: &mut answer::Answer) -> Result<Delta, Error> {
    match answer.deltas.recv().await {
        Some(Delta::Failed(error)) => Err(error),
        Some(delta) => Ok(delta),
        None => Err(interrupted()),
    }
}

/// The error for an answer whose sender was dropped.
fn interrupted() -> Error {
    use acacia_policy::dispatch::{Reason, Refusal};
    let (reason, verdict) = (Reason::Interrupted, Verdict::MayHaveRun);
    Refusal { reason, verdict, retry_after: None }.into()
}

/// Responds with a stream of events.
fn stream_answer(response: &mut Response, encoder: Encoder, first: Delta, answer: answer::Answer) {
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
    let state = Some((encoder, answer, Some(first)));
    response.stream(stream::unfold(state, |state| async move {
        let (encoder, mut answer, first) = state?;
        let next = match first {
            Some(delta) => Some(delta),
            None => answer.deltas.recv().await,
        };
        // Closes the connection, so that an answer without its end doesn't look complete.
        let Some(delta) = next else {
            return Some((Err(io::Error::other("the answer was cut")), None));
        };
        let bytes = Bytes::from(encoder.event(&delta));
        let open = matches!(delta, Delta::Output { .. });
        Some((Ok(bytes), open.then_some((encoder, answer, None))))
    }));
}

/// Collects the parts of an answer and encodes it.
async fn collect_answer(
    encoder: &Encoder,
    first: Delta,
    mut answer: answer::Answer,
) -> Result<Vec<u8>, Error> {
    let (mut text, mut all_tokens) = (String::new(), Vec::new());
    let mut next = Some(first);
    loop {
        match next {
            Some(Delta::Output { text: more, tokens }) => {
                text.push_str(&more);
                all_tokens.extend(tokens);
            }
            Some(Delta::End { finish, usage }) => {
                return Ok(encoder.answer(&text, &all_tokens, finish, usage));
            }
            Some(Delta::Failed(error)) => return Err(error),
            None => return Err(interrupted()),
        }
        next = answer.deltas.recv().await;
    }
}

/// Encodes the parts of one answer.
struct Encoder {
    kind: Kind,
    trace: Trace,
    id: String,
    model: String,
    created: u64,
    stream: bool,
    token_ids: bool,
}

impl Encoder {
    fn new(kind: Kind, trace: Trace, body: Completion) -> Self {
        let prefix = match kind {
            Kind::Text => "cmpl",
            Kind::Chat => "chatcmpl",
        };
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self {
            kind,
            trace,
            id: format!("{prefix}-{trace}"),
            model: body.model.to_string(),
            created: now.as_secs(),
            stream: body.stream,
            token_ids: body.return_token_ids,
        }
    }

    /// Encodes one event; the last is followed by the end mark.
    fn event(&self, delta: &Delta) -> Vec<u8> {
        let mut bytes = b"data: ".to_vec();
        match delta {
            Delta::Output { text, tokens } => {
                bytes.extend(self.encode(self.partial(text), tokens, None, None));
            }
            Delta::End { finish, usage } => {
                bytes.extend(self.encode(self.partial(""), &[], Some(finish), Some(*usage)));
            }
            Delta::Failed(error) => bytes.extend(error.body(&self.trace)),
        }
        bytes.extend(b"\n\n");
        if let Delta::End { .. } = delta {
            bytes.extend(DONE);
        }
        bytes
    }

    /// Encodes a complete answer.
    fn answer(&self, text: &str, tokens: &[Token], finish: &'static str, usage: Usage) -> Vec<u8> {
        let output = match self.kind {
            Kind::Text => Output::Text(text),
            Kind::Chat => Output::Message(Message { role: "assistant", content: text }),
        };
        self.encode(output, tokens, Some(finish), Some(usage))
    }

    fn partial<'a>(&self, text: &'a str) -> Output<'a> {
        match self.kind {
            Kind::Text => Output::Text(text),
            Kind::Chat => Output::Delta(Message { role: "assistant", content: text }),
        }
    }

    fn encode(
        &self,
        output: Output<'_>,
        tokens: &[Token],
        finish_reason: Option<&'static str>,
        usage: Option<Usage>,
    ) -> Vec<u8> {
        let token_ids = self.token_ids.then_some(tokens);
        let object = match (self.kind, self.stream) {
            (Kind::Text, _) => "text_completion",
            (Kind::Chat, true) => "chat.completion.chunk",
            (Kind::Chat, false) => "chat.completion",
        };
        let answer = Answer {
            id: &self.id,
            object,
            created: self.created,
            model: &self.model,
            choices: [Choice { index: 0, output, token_ids, finish_reason }],
            usage: usage.map(Into::into),
        };
        // A struct of strings and numbers always serializes.
        serde_json::to_vec(&answer).unwrap_or_default()
    }
}
