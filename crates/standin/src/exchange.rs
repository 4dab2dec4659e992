//! An HTTP exchange independent of the server: a [`Call`] and its [`Answer`].

use bytes::Bytes;
use futures::StreamExt;
use futures::stream::BoxStream;
use http::header::{CONTENT_TYPE, HeaderName};
use http::{HeaderMap, HeaderValue, Method, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::json;

/// A call with its complete body.
#[derive(Clone, Debug)]
pub struct Call {
    /// HTTP method.
    pub method: Method,
    /// Path with the leading slash.
    pub path: String,
    /// Query string without the question mark.
    pub query: String,
    /// HTTP headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

impl Call {
    /// Value of a header; empty if absent.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or("")
    }

    /// Body parsed as JSON.
    ///
    /// # Errors
    /// A `400` answer if the body does not parse.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, Answer> {
        serde_json::from_slice(&self.body).map_err(|error| {
            Answer::error(StatusCode::BAD_REQUEST, "bad_request", &error.to_string())
        })
    }

    /// Value of a query parameter, not percent-decoded.
    pub fn parameter(&self, name: &str) -> Option<&str> {
        let pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.into_iter().find(|(key, _)| *key == name).map(|(_, value)| value)
    }
}

/// Body of an answer.
pub enum Body {
    /// Sent as a whole.
    Complete(Bytes),
    /// Sent in chunks; an error closes the connection abruptly.
    Stream(BoxStream<'static, Result<Bytes, Disconnect>>),
}

/// Makes the server drop the connection.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the stand-in dropped the connection")]
pub struct Disconnect;

/// An HTTP answer.
pub struct Answer {
    /// HTTP status.
    pub status: StatusCode,
    /// HTTP headers.
    pub headers: Box<HeaderMap>,
    /// Body, whole or streamed.
    pub body: Body,
    /// Whether the call changed state; only such answers can be lost by a fault.
    pub effect: bool,
}

impl Answer {
    /// An answer with a JSON body.
    pub fn json(status: StatusCode, value: &impl Serialize) -> Self {
        let body = serde_json::to_vec(value).unwrap_or_default();
        Self::bytes(status, body).with("content-type", "application/json")
    }

    /// An answer with a body of bytes.
    pub fn bytes(status: StatusCode, body: impl Into<Bytes>) -> Self {
        let body = Body::Complete(body.into());
        Self { status, headers: Box::default(), body, effect: false }
    }

    /// An error in the JSON format common to all protocols.
    pub fn error(status: StatusCode, code: &str, message: &str) -> Self {
        Self::json(status, &json!({"error": {"code": code, "message": message}}))
    }

    /// A `200` answer with a streamed body.
    pub fn stream(
        content_type: &'static str,
        stream: impl futures::Stream<Item = Result<Bytes, Disconnect>> + Send + 'static,
    ) -> Self {
        let mut headers = Box::<HeaderMap>::default();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
        let body = Body::Stream(stream.boxed());
        Self { status: StatusCode::OK, headers, body, effect: false }
    }

    /// Drops the connection without an answer.
    pub fn disconnect() -> Self {
        Self::stream("application/json", futures::stream::iter([Err(Disconnect)]))
    }

    /// Drops the connection halfway through the body.
    #[must_use]
    pub fn disconnect_midway(self) -> Self {
        let Body::Complete(body) = &self.body else { return Self::disconnect() };
        let half = body.slice(..body.len() / 2);
        let disconnect = async {
            // The server flushes the earlier bytes only if this task yields before the error.
            tokio::task::yield_now().await;
            Err(Disconnect)
        };
        let broken = futures::stream::iter([Ok(half)]).chain(futures::stream::once(disconnect));
        Self { body: Body::Stream(broken.boxed()), ..self }
    }

    /// A `404` answer for an unknown path.
    pub fn unknown_path() -> Self {
        Self::error(StatusCode::NOT_FOUND, "unknown_path", "see docs/PROTOCOLS.md for the paths")
    }

    /// Adds a header; a value that is not valid in a header is ignored.
    #[must_use]
    pub fn with(mut self, name: &'static str, value: impl ToString) -> Self {
        if let Ok(value) = HeaderValue::from_str(&value.to_string()) {
            self.headers.insert(HeaderName::from_static(name), value);
        }
        self
    }

    /// Marks the call as having changed state.
    #[must_use]
    pub fn with_effect(mut self) -> Self {
        self.effect = true;
        self
    }
}

/// A regular answer, or the error answer of a call that ended early.
pub type Reply = Result<Answer, Answer>;
