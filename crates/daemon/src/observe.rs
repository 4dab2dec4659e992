//! Endpoints for health, readiness and metrics, on the operators' address.

use std::sync::Arc;

use salvo::http::{Request, Response, StatusCode};
use salvo::{Depot, FlowCtrl, Handler, Router, async_trait};

use crate::traffic::Traffic;

/// Routes `/healthz`, `/readyz` and `/metrics`.
pub fn router(traffic: &Arc<Traffic>) -> Router {
    let page =
        |path: &str, page| Router::with_path(path).get(Endpoint { traffic: traffic.clone(), page });
    Router::new()
        .push(page("healthz", Page::Health))
        .push(page("readyz", Page::Ready))
        .push(page("metrics", Page::Metrics))
}

/// The page that an endpoint serves.
#[derive(Clone, Copy)]
enum Page {
    Health,
    Ready,
    Metrics,
}

struct Endpoint {
    traffic: Arc<Traffic>,
    page: Page,
}

#[async_trait]
impl Handler for Endpoint {
    async fn handle(
        &self,
        _: &mut Request,
        _: &mut Depot,
        response: &mut Response,
        _: &mut FlowCtrl,
    ) {
        match self.page {
            Page::Health => {
                response.body("ok\n");
            }
            Page::Ready if self.traffic.is_ready() => {
                response.body("ready\n");
            }
            Page::Ready => {
                response.status_code(StatusCode::SERVICE_UNAVAILABLE);
                response.body("not ready\n");
            }
            Page::Metrics => {
                response.body(self.traffic.metrics.text());
            }
        }
    }
}
