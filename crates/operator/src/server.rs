//! The HTTP routes of the administration API.

use std::sync::Arc;

use acacia_catalog::Document;
use acacia_catalog::id::Revision;
use salvo::http::header::AUTHORIZATION;
use salvo::http::{ParseError, StatusCode};
use salvo::prelude::*;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::call::{Configuration, Ordered, PREFIX};
use crate::change::{self, Target};
use crate::fault::{Body, Code};
use crate::{Backend, Fault, Key, Keys, Role, Status, order};

/// Maximum body size of a call; about six times the `two-years` example configuration.
pub const BODY_LIMIT_BYTES: usize = 32 << 20;

/// Creates the routes of the API.
pub fn router<B: Backend>(backend: Arc<B>, keys: Arc<Keys>) -> Router {
    let call = |call| Endpoint { backend: backend.clone(), keys: keys.clone(), call };
    let path = |path: &str, call| Router::with_path(path).post(call);
    Router::with_path(PREFIX)
        .push(path("check", call(Call::Check)))
        .push(path("apply", call(Call::Apply)))
        .push(path("rollback", call(Call::Rollback)))
        .push(path("zones/{name}", call(Call::Zone)))
        .push(path("upstreams/{name}", call(Call::Upstream)))
        .push(path("upstreams/{name}/orders", call(Call::Order)))
        .push(Router::with_path("configuration").get(call(Call::Configuration)))
        .push(Router::with_path("history").get(call(Call::History)))
        .push(Router::with_path("status").get(call(Call::Status)))
        .push(Router::with_path("traces/{name}").get(call(Call::Trace)))
}

/// The calls of the API.
#[derive(Clone, Copy, Debug)]
enum Call {
    Check,
    Apply,
    Rollback,
    Zone,
    Upstream,
    Order,
    Configuration,
    History,
    Status,
    Trace,
}

impl Call {
    /// The role that the call requires.
    fn role(self) -> Role {
        match self {
            Self::Apply | Self::Rollback | Self::Order => Role::Apply,
            Self::Zone | Self::Upstream => Role::Move,
            Self::Check | Self::Configuration | Self::History | Self::Status | Self::Trace => {
                Role::Read
            }
        }
    }
}

/// The handler of one call.
struct Endpoint<B> {
    backend: Arc<B>,
    keys: Arc<Keys>,
    call: Call,
}

#[async_trait]
impl<B: Backend> Handler for Endpoint<B> {
    async fn handle(
        &self,
        request: &mut Request,
        _: &mut Depot,
        response: &mut Response,
        _: &mut FlowCtrl,
    ) {
        match self.answer(request).await {
            Ok(body) => response.render(Text::Json(body)),
            Err(fault) => {
                let status = StatusCode::from_u16(fault.code.status());
                response.status_code(status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR));
                response.render(Json(Body { error: fault }));
            }
        }
    }
}

impl<B: Backend> Endpoint<B> {
    async fn answer(&self, request: &mut Request) -> Result<String, Fault> {
        let key = self.authenticate(request)?;
        let author = key.operator.as_str();
        let backend = &*self.backend;
        match self.call {
            Call::Check => encode(&change::check(backend, body::<Document>(request).await?)?),
            Call::Apply => encode(&change::apply(backend, author, body(request).await?).await?),
            Call::Rollback => {
                encode(&change::rollback(backend, author, body(request).await?).await?)
            }
            Call::Zone => {
                let target = Target::Zone(object_name(request));
                encode(&change::set_state(backend, author, &target, body(request).await?).await?)
            }
            Call::Upstream => {
                let target = Target::Upstream(object_name(request));
                encode(&change::set_state(backend, author, &target, body(request).await?).await?)
            }
            Call::Order => encode(&self.order(author, request).await?),
            Call::Configuration => encode(&self.configuration(request).await?),
            Call::History => encode(&backend.history().await),
            Call::Status => encode(&Status { refused: self.keys.refused(), ..backend.status() }),
            Call::Trace => encode(&self.trace(&object_name(request))?),
        }
    }

    /// The operator's key, if it is valid and has the required role.
    fn authenticate(&self, request: &Request) -> Result<Key, Fault> {
        let header = request.headers().get(AUTHORIZATION).and_then(|h| h.to_str().ok());
        let token = header.and_then(|h| h.strip_prefix("Bearer "));
        let Some(key) = token.and_then(|token| self.keys.find(token)) else {
            self.keys.count_refused();
            let hint =
                "send `authorization: Bearer KEY` with a key listed in the daemon's settings";
            return Err(Fault::new(Code::Unauthenticated, "missing or invalid operator key", hint));
        };
        let role = self.call.role();
        if key.allows(role) {
            return Ok(key);
        }
        self.keys.count_refused();
        let message = format!("the key of `{}` lacks the role `{role}`", key.operator);
        Err(Fault::new(Code::Forbidden, message, "use a key with this role"))
    }

    async fn order(&self, author: &str, request: &mut Request) -> Result<Ordered, Fault> {
        let upstream = object_name(request);
        order::send(&*self.backend, author, &upstream, body(request).await?).await
    }

    async fn configuration(&self, request: &Request) -> Result<Configuration, Fault> {
        let snapshot = self.backend.snapshot();
        let revision = match request.queries().get("revision") {
            None => snapshot.revision,
            Some(text) => text.parse::<Revision>().map_err(|_| {
                let message = format!("`{text}` is not a revision");
                Fault::new(Code::Malformed, message, "use a whole number")
            })?,
        };
        if revision == snapshot.revision {
            return Ok(Configuration { revision, document: snapshot.set.document().redact() });
        }
        let set = self.backend.set_at(revision).await.ok_or_else(|| {
            let message = format!("revision {revision} is not in the history");
            Fault::new(
                Code::NotFound,
                message,
                "list the available revisions with `acacia history`",
            )
        })?;
        Ok(Configuration { revision, document: set.document().redact() })
    }

    fn trace(&self, id: &str) -> Result<crate::call::Trace, Fault> {
        self.backend.trace(id).ok_or_else(|| {
            let message = format!("this daemon has no trace `{id}`");
            Fault::new(
                Code::NotFound,
                message,
                "query the daemon that answered the request, soon after it",
            )
        })
    }
}

fn object_name(request: &Request) -> String {
    request.param("name").unwrap_or_default()
}

async fn body<T: DeserializeOwned>(request: &mut Request) -> Result<T, Fault> {
    let bytes =
        request.payload_with_max_size(BODY_LIMIT_BYTES).await.map_err(|e| body_fault(&e))?;
    let mut decoder = serde_json::Deserializer::from_slice(bytes);
    let value = serde_path_to_error::deserialize(&mut decoder).map_err(|error| {
        let message = format!("at `{}`: {}", error.path(), error.inner());
        Fault::new(Code::Malformed, message, "correct the field given in the message")
    })?;
    decoder
        .end()
        .map_err(|error| Fault::new(Code::Malformed, error.to_string(), "send one JSON value"))?;
    Ok(value)
}

fn body_fault(error: &ParseError) -> Fault {
    match error {
        ParseError::PayloadTooLarge => {
            let message = format!("the body is larger than {BODY_LIMIT_BYTES} bytes");
            Fault::new(Code::TooLarge, message, "reduce the number of objects in the configuration")
        }
        _ => Fault::new(
            Code::Malformed,
            "the body is incomplete or malformed",
            "send the complete body",
        ),
    }
}

fn encode(value: &impl Serialize) -> Result<String, Fault> {
    serde_json::to_string(value).map_err(|error| {
        Fault::new(Code::Malformed, error.to_string(), "report this as a bug in the daemon")
    })
}
