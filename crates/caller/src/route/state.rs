//! Liveness, readiness and the list of models.

use std::sync::Arc;

use salvo::http::{Request, Response};
use salvo::{Depot, FlowCtrl, Handler, async_trait};
use serde_json::json;

use super::{authenticate, respond_with_error, trace};
use crate::Backend;
use crate::server::readiness_status;

/// `GET /healthz`: whether the process runs.
pub(crate) struct Health;

/// `GET /readyz`: whether the load balancer should send requests.
pub(crate) struct Ready<B>(pub(crate) Arc<B>);

/// `GET /v1/models`.
pub(crate) struct Models<B>(pub(crate) Arc<B>);

#[async_trait]
impl Handler for Health {
    async fn handle(
        &self,
        _: &mut Request,
        _: &mut Depot,
        response: &mut Response,
        _: &mut FlowCtrl,
    ) {
        response.body("ok\n");
    }
}

#[async_trait]
impl<B: Backend> Handler for Ready<B> {
    async fn handle(
        &self,
        _: &mut Request,
        _: &mut Depot,
        response: &mut Response,
        _: &mut FlowCtrl,
    ) {
        let ready = self.0.is_ready();
        response.status_code(readiness_status(ready));
        response.body(if ready { "ready\n" } else { "not ready\n" });
    }
}

#[async_trait]
impl<B: Backend> Handler for Models<B> {
    async fn handle(
        &self,
        request: &mut Request,
        _: &mut Depot,
        response: &mut Response,
        _: &mut FlowCtrl,
    ) {
        let trace = trace(request, response);
        match authenticate(request, &*self.0) {
            Ok(organisation) => {
                let models: Vec<_> = self
                    .0
                    .models(&organisation)
                    .iter()
                    .map(|id| json!({ "id": id, "object": "model" }))
                    .collect();
                let body = json!({ "object": "list", "data": models });
                super::respond_with_json(response, body.to_string().into_bytes());
            }
            Err(error) => respond_with_error(response, &trace, &error),
        }
    }
}
