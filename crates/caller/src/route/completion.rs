//! Completions, streamed and whole.

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

use super::{fail, json, organisation, payload, trace};
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
    pub(crate) limit: usize,
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
            fail(response, &trace, &error);
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
        let organisation = organisation(request, &*self.backend)?;
        let body = payload(request, self.limit).await?;
        let mut body: Completion = serde_json::from_slice(&body).map_err(|error| {
            Error::invalid(format!("the body is not valid: {error}"), "send an OpenAI-style body")
        })?;
        let max_tokens = body.validate()?;
        let prompt = body.take_prompt(self.kind)?;
        let (model, adapter) = (body.model.clone(), body.adapter.clone());
        let completion =
            backend::Completion { organisation, model, adapter, prompt, max_tokens, trace };
        let mut answer = self.backend.complete(completion).await?;
        let first = first(&mut answer).await?;
        let writer = Writer::new(self.kind, trace, body);
        if writer.stream {
            events(response, writer, first, answer);
        } else {
            let whole = collect(&writer, first, answer).await?;
            json(response, whole);
        }
        Ok(())
    }
}

/// The first part of an answer; until it comes, a refusal is still an error status.
async fn first(answer: &mut answer::Answer) -> Result<Delta, Error> {
    match answer.deltas.recv().await {
        Some(Delta::Failed(error)) => Err(error),
        Some(delta) => Ok(delta),
        None => Err(interrupted()),
    }
}

/// The error of an answer whose sender is gone.
fn interrupted() -> Error {
    use acacia_policy::dispatch::{Reason, Refusal};
    let (reason, verdict) = (Reason::Interrupted, Verdict::MayHaveRun);
    Refusal { reason, verdict, retry_after: None }.into()
}

/// Answers with events as they come.
fn events(response: &mut Response, writer: Writer, first: Delta, answer: answer::Answer) {
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
    let state = Some((writer, answer, Some(first)));
    response.stream(stream::unfold(state, |state| async move {
        let (writer, mut answer, first) = state?;
        let next = match first {
            Some(delta) => Some(delta),
            None => answer.deltas.recv().await,
        };
        // Without its end an answer must not look whole, so the connection is cut.
        let Some(delta) = next else {
            return Some((Err(io::Error::other("the answer was cut")), None));
        };
        let bytes = Bytes::from(writer.event(&delta));
        let open = matches!(delta, Delta::Output { .. });
        Some((Ok(bytes), open.then_some((writer, answer, None))))
    }));
}

/// Collects a whole answer.
async fn collect(
    writer: &Writer,
    first: Delta,
    mut answer: answer::Answer,
) -> Result<Vec<u8>, Error> {
    let (mut text, mut all) = (String::new(), Vec::new());
    let mut next = Some(first);
    loop {
        match next {
            Some(Delta::Output { text: more, tokens }) => {
                text.push_str(&more);
                all.extend(tokens);
            }
            Some(Delta::End { finish, usage }) => {
                return Ok(writer.whole(&text, &all, finish, usage));
            }
            Some(Delta::Failed(error)) => return Err(error),
            None => return Err(interrupted()),
        }
        next = answer.deltas.recv().await;
    }
}

/// Writes the parts of one answer.
struct Writer {
    kind: Kind,
    trace: Trace,
    id: String,
    model: String,
    created: u64,
    stream: bool,
    token_ids: bool,
}

impl Writer {
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

    /// One event; the last brings the end mark with it.
    fn event(&self, delta: &Delta) -> Vec<u8> {
        let mut bytes = b"data: ".to_vec();
        match delta {
            Delta::Output { text, tokens } => {
                bytes.extend(self.write(self.part(text), tokens, None, None));
            }
            Delta::End { finish, usage } => {
                bytes.extend(self.write(self.part(""), &[], Some(finish), Some(*usage)));
            }
            Delta::Failed(error) => bytes.extend(error.body(&self.trace)),
        }
        bytes.extend(b"\n\n");
        if let Delta::End { .. } = delta {
            bytes.extend(DONE);
        }
        bytes
    }

    /// A whole answer.
    fn whole(&self, text: &str, tokens: &[Token], finish: &'static str, usage: Usage) -> Vec<u8> {
        let output = match self.kind {
            Kind::Text => Output::Text(text),
            Kind::Chat => Output::Message(Message { role: "assistant", content: text }),
        };
        self.write(output, tokens, Some(finish), Some(usage))
    }

    fn part<'a>(&self, text: &'a str) -> Output<'a> {
        match self.kind {
            Kind::Text => Output::Text(text),
            Kind::Chat => Output::Delta(Message { role: "assistant", content: text }),
        }
    }

    fn write(
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
