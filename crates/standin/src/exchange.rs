//! One HTTP exchange as the stand-ins see it: a [`Call`] and its [`Answer`].

use bytes::Bytes;
use futures::StreamExt;
use futures::stream::BoxStream;
use http::header::{CONTENT_TYPE, HeaderName};
use http::{HeaderMap, HeaderValue, Method, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::json;

/// A call with its whole body.
#[derive(Clone, Debug)]
pub struct Call {
    /// Method.
    pub method: Method,
    /// Path with its leading slash.
    pub path: String,
    /// Query without the question mark.
    pub query: String,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl Call {
    /// A header's text; empty when absent.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or("")
    }

    /// The body as JSON, or the answer that refuses it.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, Answer> {
        serde_json::from_slice(&self.body).map_err(|error| {
            Answer::error(StatusCode::BAD_REQUEST, "bad_request", &error.to_string())
        })
    }

    /// A parameter of the query.
    pub fn parameter(&self, name: &str) -> Option<&str> {
        let pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.into_iter().find(|(key, _)| *key == name).map(|(_, value)| value)
    }
}

/// What is sent after the headers.
pub enum Body {
    /// Everything at once.
    Complete(Bytes),
    /// Piece by piece; an error breaks the connection.
    Stream(BoxStream<'static, Result<Bytes, Disconnect>>),
}

/// The connection breaks here.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the stand-in breaks the connection")]
pub struct Disconnect;

/// An answer.
pub struct Answer {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: Box<HeaderMap>,
    /// Body.
    pub body: Body,
    /// Whether the call changed something.
    pub effect: bool,
}

impl Answer {
    /// A JSON body.
    pub fn json(status: StatusCode, value: &impl Serialize) -> Self {
        let body = serde_json::to_vec(value).unwrap_or_default();
        Self::bytes(status, body).with("content-type", "application/json")
    }

    /// A body of bytes.
    pub fn bytes(status: StatusCode, body: impl Into<Bytes>) -> Self {
        let body = Body::Complete(body.into());
        Self { status, headers: Box::default(), body, effect: false }
    }

    /// An error as every protocol of ours writes it.
    pub fn error(status: StatusCode, code: &str, message: &str) -> Self {
        Self::json(status, &json!({"error": {"code": code, "message": message}}))
    }

    /// A body that comes piece by piece.
    pub fn stream(
        content_type: &'static str,
        stream: impl futures::Stream<Item = Result<Bytes, Disconnect>> + Send + 'static,
    ) -> Self {
        let mut headers = Box::<HeaderMap>::default();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
        let body = Body::Stream(stream.boxed());
        Self { status: StatusCode::OK, headers, body, effect: false }
    }

    /// A connection that breaks without an answer.
    pub fn disconnect() -> Self {
        Self::stream("application/json", futures::stream::iter([Err(Disconnect)]))
    }

    /// This answer with the connection breaking in the middle of its body.
    #[must_use]
    pub fn disconnect_midway(self) -> Self {
        let Body::Complete(body) = &self.body else { return Self::disconnect() };
        let half = body.slice(..body.len() / 2);
        let disconnect = async {
            // The server flushes what came before the break only when it is given a turn.
            tokio::task::yield_now().await;
            Err(Disconnect)
        };
        let broken = futures::stream::iter([Ok(half)]).chain(futures::stream::once(disconnect));
        Self { body: Body::Stream(broken.boxed()), ..self }
    }

    /// No such path.
    pub fn unknown_path() -> Self {
        Self::error(StatusCode::NOT_FOUND, "unknown_path", "see docs/PROTOCOLS.md for the paths")
    }

    /// Adds a header.
    #[must_use]
    pub fn with(mut self, name: &'static str, value: impl ToString) -> Self {
        if let Ok(value) = HeaderValue::from_str(&value.to_string()) {
            self.headers.insert(HeaderName::from_static(name), value);
        }
        self
    }

    /// Marks that the call changed something.
    #[must_use]
    pub fn with_effect(mut self) -> Self {
        self.effect = true;
        self
    }
}

/// An answer, or the one that refuses early.
pub type Reply = Result<Answer, Answer>;
