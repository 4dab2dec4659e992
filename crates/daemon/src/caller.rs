//! The daemon as backend of the callers' API.

use std::sync::Arc;

use acacia_caller::answer::{Answer, Reply};
use acacia_caller::text::Decoder;
use acacia_caller::{Backend, Error, backend};
use acacia_catalog::Set;
use acacia_catalog::id::{AdapterId, ModelId, OrganisationId};
use acacia_catalog::object::{Model, Organisation, Profile, Service};
use acacia_catalog::tokenizer::Token;
use acacia_policy::control::Ticket;
use acacia_policy::dispatch::{Reason, Refusal};
use acacia_policy::request::{Call, Class, Prompt, Request, Work};
use acacia_policy::{Verdict, cache};
use acacia_upstream::service;
use parking_lot::Mutex;
use tokio::sync::{mpsc, oneshot};

use crate::job::{self, Job, Output};
use crate::telemetry;
use crate::traffic::Traffic;
use crate::view::View;

/// The backend of the callers' API.
pub struct Callers(pub Arc<Traffic>);

impl Backend for Callers {
    fn is_ready(&self) -> bool {
        self.0.is_ready()
    }

    fn organisation(&self, key: &str) -> Option<OrganisationId> {
        self.0.view().organisation(key)
    }

    fn models(&self, organisation: &OrganisationId) -> Vec<ModelId> {
        let view = self.0.view();
        let organisation = view.snapshot.set.organisations.get(organisation);
        organisation.map(|o| o.models.clone()).unwrap_or_default()
    }

    async fn complete(&self, completion: backend::Completion) -> Result<Answer, Error> {
        let traffic = &self.0;
        let view = ready_view(traffic)?;
        let (prompt, class) = prompt(&view.snapshot.set, &completion)?;
        let ticket = traffic.ticket();
        let (sender, deltas) = mpsc::channel(traffic.settings.limits.held_parts);
        let set = &view.snapshot.set;
        let tokenizer = set.models.get(&prompt.model).map(|m| m.tokenizer).unwrap_or_default();
        let output = Output::new(Decoder::new(tokenizer));
        let work = job::Work::Prompt(job::Prompt {
            model: prompt.model.clone(),
            adapter: prompt.adapter.clone(),
            prompt: completion.prompt,
            tokens: prompt.tokens.clone(),
            blocks: prompt.blocks.clone(),
            max_tokens: prompt.max_tokens,
            deltas: sender,
            output: Mutex::new(output),
            manifests: Mutex::default(),
        });
        let span = telemetry::request_span(&completion.trace, ticket);
        let request = request(traffic, completion.organisation, Work::Prompt(prompt), class);
        traffic.arrive(Job::new(ticket, span, work), request);
        Ok(Answer { deltas, guard: Box::new(Guard { traffic: traffic.clone(), ticket }) })
    }

    async fn call(&self, call: backend::Call) -> Result<Reply, Error> {
        let traffic = &self.0;
        let view = ready_view(traffic)?;
        let (work, class) = self::call(&view.snapshot.set, &call)?;
        let ticket = traffic.ticket();
        let span = telemetry::request_span(&call.trace, ticket);
        let (sender, answer) = oneshot::channel();
        let request = request(traffic, call.organisation, Work::Call(work), class);
        let call = service::Call {
            method: call.method,
            path: call.path,
            content_type: call.content_type,
            idempotency_key: call.idempotency_key,
            body: call.body,
        };
        let work = job::Work::Call(job::Call { call, answer: Mutex::new(Some(sender)) });
        let _guard = Guard { traffic: traffic.clone(), ticket };
        traffic.arrive(Job::new(ticket, span, work), request);
        let interrupted = Refusal {
            reason: Reason::Interrupted,
            verdict: Verdict::MayHaveRun,
            retry_after: None,
        };
        answer.await.unwrap_or_else(|_| Err(interrupted.into()))
    }
}

/// Reports to the dispatcher, when dropped, that a caller has left before its answer was complete.
struct Guard {
    traffic: Arc<Traffic>,
    ticket: Ticket,
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.traffic.caller_left(self.ticket);
    }
}

/// The current view; an error until a configuration is in force.
fn ready_view(traffic: &Traffic) -> Result<Arc<View>, Error> {
    let view = traffic.view();
    if view.snapshot.revision > 0 {
        return Ok(view);
    }
    let refusal = Refusal { reason: Reason::NotReady, verdict: Verdict::NotRun, retry_after: None };
    Err(refusal.into())
}

/// Creates a request with the class and timeout of its profile.
fn request(
    traffic: &Traffic,
    organisation: OrganisationId,
    work: Work,
    (class, wait): (Class, std::time::Duration),
) -> Request {
    let deadline = traffic.clock.now() + wait;
    Request { organisation, work, class, deadline }
}

/// Creates the prompt of a completion, if its organisation may use the model and adapter.
fn prompt(
    set: &Set,
    completion: &backend::Completion,
) -> Result<(Prompt, (Class, std::time::Duration)), Error> {
    let unknown = || Error::not_found("model", &completion.model);
    let organisation = set.organisations.get(&completion.organisation).ok_or_else(unknown)?;
    if !organisation.models.contains(&completion.model) {
        return Err(unknown());
    }
    let model = set.models.get(&completion.model).ok_or_else(unknown)?;
    let adapter = completion.adapter.as_ref();
    let adapter =
        adapter.map(|name| permitted_adapter(set, organisation, model, name)).transpose()?;
    let tokens: Arc<[Token]> = match &completion.prompt {
        backend::Prompt::Text(text) => model.tokenizer.encode(text).into(),
        backend::Prompt::Tokens(tokens) => tokens.clone(),
    };
    check_context_length(model, &tokens, completion.max_tokens)?;
    let secret = &organisation.cache_secret;
    let name = adapter.as_deref();
    let blocks = cache::chain(secret, &model.name, &model.serving, name, &tokens).into();
    let wait = class_and_timeout(set, organisation, tokens.len());
    let prompt = Prompt {
        model: model.name.clone(),
        version: model.serving.clone(),
        adapter,
        tokens,
        blocks,
        max_tokens: completion.max_tokens,
    };
    Ok((prompt, wait))
}

/// The adapter, if it belongs to the version that the model serves and the organisation may use it.
fn permitted_adapter(
    set: &Set,
    organisation: &Organisation,
    model: &Model,
    name: &AdapterId,
) -> Result<AdapterId, Error> {
    let adapter = set.adapters.get(name).filter(|adapter| {
        let owner = adapter.organisation.as_ref();
        adapter.version == model.serving && owner.is_none_or(|owner| *owner == organisation.name)
    });
    adapter.map(|adapter| adapter.name.clone()).ok_or_else(|| Error::not_found("adapter", name))
}

fn check_context_length(model: &Model, tokens: &[Token], max_tokens: u32) -> Result<(), Error> {
    if tokens.is_empty() {
        return Err(Error::invalid("the prompt is empty", "send at least one token"));
    }
    let total = tokens.len() as u64 + u64::from(max_tokens);
    if total <= u64::from(model.context_tokens) {
        return Ok(());
    }
    let limit = model.context_tokens;
    let message = format!("prompt and answer need {total} tokens, the model has {limit}");
    Err(Error::invalid(message, "shorten the prompt or lower `max_tokens`"))
}

/// The class of a prompt by its length, and its timeout.
fn class_and_timeout(
    set: &Set,
    organisation: &Organisation,
    tokens: usize,
) -> (Class, std::time::Duration) {
    let new_tokens = u32::try_from(tokens).unwrap_or(u32::MAX);
    let profile = set.profiles.get(&organisation.profile);
    let short = profile.is_none_or(|profile| new_tokens <= profile.short_tokens);
    let class = if short { Class::Short } else { Class::Long };
    (class, profile.map_or(DEFAULT_TIMEOUT, |profile: &Profile| profile.deadline(new_tokens)))
}

/// Timeout of a request without a profile.
const DEFAULT_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(10);

/// Creates a call of a service, if its organisation may use the service.
fn call(set: &Set, call: &backend::Call) -> Result<(Call, (Class, std::time::Duration)), Error> {
    let unknown = || Error::not_found("service", &call.service);
    let organisation = set.organisations.get(&call.organisation).ok_or_else(unknown)?;
    if !organisation.services.contains(&call.service) {
        return Err(unknown());
    }
    let service = set.services.get(&call.service).ok_or_else(unknown)?;
    let work = Call {
        service: service.name.clone(),
        idempotent: is_idempotent(service, call),
        key: call.idempotency_key.as_deref().map(Into::into),
        fingerprint: fingerprint(call),
    };
    Ok((work, class_and_timeout(set, organisation, 0)))
}

/// Whether the catalogue lists the call as idempotent.
fn is_idempotent(service: &Service, call: &backend::Call) -> bool {
    let path = call.path.split('?').next().unwrap_or_default();
    let matches = |operation: &acacia_catalog::object::Operation| {
        operation.method == call.method.as_str() && path.starts_with(&operation.path)
    };
    service.idempotent.iter().any(matches)
}

/// Hash of everything that distinguishes a call from others, apart from its caller and key.
fn fingerprint(call: &backend::Call) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    let content_type = call.content_type.as_deref().unwrap_or_default();
    for part in [&call.service, call.method.as_str(), call.path.as_str(), content_type] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part.as_bytes());
    }
    hasher.update(&call.body);
    hasher.finalize().into()
}
