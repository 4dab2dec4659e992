//! HTTP route that receives batches.

use std::sync::Arc;

use acacia_policy::message::Envelope;
use salvo::http::{ParseError, StatusCode};
use salvo::prelude::*;

use crate::{Counters, MAX_BODY_BYTES, PATH, codec};

/// Receives batches from peers.
pub trait Sink: Send + Sync + 'static {
    /// Accepts or drops a batch without blocking.
    fn deliver(&self, batch: Vec<Envelope>) -> Delivery;
}

impl<F: Fn(Vec<Envelope>) -> Delivery + Send + Sync + 'static> Sink for F {
    fn deliver(&self, batch: Vec<Envelope>) -> Delivery {
        self(batch)
    }
}

/// Outcome of delivering a batch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Delivery {
    /// Accepted.
    Taken,
    /// Dropped, because the queue is full.
    Full,
}

/// Creates the route that passes batches to `sink`.
pub fn router(sink: impl Sink, counters: Arc<Counters>) -> Router {
    Router::with_path(PATH).post(Receiver { sink, counters })
}

struct Receiver<S> {
    sink: S,
    counters: Arc<Counters>,
}

#[async_trait]
impl<S: Sink> Handler for Receiver<S> {
    async fn handle(
        &self,
        request: &mut Request,
        _: &mut Depot,
        response: &mut Response,
        _: &mut FlowCtrl,
    ) {
        response.status_code(self.receive(request).await);
    }
}

impl<S: Sink> Receiver<S> {
    async fn receive(&self, request: &mut Request) -> StatusCode {
        let body = match request.payload_with_max_size(MAX_BODY_BYTES).await {
            Ok(body) => body,
            Err(error) => return self.reject(status_of(&error)),
        };
        match codec::decode(body) {
            Ok(batch) => self.deliver(batch, body.len()),
            Err(codec::Error::TooLarge(_) | codec::Error::TooMany(_)) => {
                self.reject(StatusCode::PAYLOAD_TOO_LARGE)
            }
            Err(_) => self.reject(StatusCode::BAD_REQUEST),
        }
    }

    fn deliver(&self, batch: Vec<Envelope>, bytes: usize) -> StatusCode {
        let messages = batch.len();
        match self.sink.deliver(batch) {
            Delivery::Taken => {
                self.counters.batches.add(1);
                self.counters.messages.add(messages);
                self.counters.bytes.add(bytes);
                StatusCode::NO_CONTENT
            }
            Delivery::Full => {
                self.counters.dropped.add(messages);
                StatusCode::SERVICE_UNAVAILABLE
            }
        }
    }

    fn reject(&self, status: StatusCode) -> StatusCode {
        self.counters.refused.add(1);
        status
    }
}

fn status_of(error: &ParseError) -> StatusCode {
    match error {
        ParseError::PayloadTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        _ => StatusCode::BAD_REQUEST,
    }
}
