//! Sends orders to upstreams, after checking them against the configuration.

use acacia_catalog::Set;
use acacia_catalog::object::{Role, Upstream};
use acacia_policy::control::{self, OrderDuty, OrderOutcome};

use crate::Backend;
use crate::call::{Order, Ordered};
use crate::fault::{Code, Fault};

/// Sends an order to an upstream; fails if it does not match the configuration.
pub(crate) async fn send(
    backend: &impl Backend,
    author: &str,
    upstream: &str,
    order: Order,
) -> Result<Ordered, Fault> {
    let Order { id, duty } = order;
    check(&backend.snapshot().set, upstream, &duty)?;
    let kind: &str = (&duty).into();
    tracing::info!(target: "acacia::audit", author, order = %id, upstream, duty = kind, "sending order");
    let order =
        control::Order { upstream: upstream.into(), duty, fence: 0, id: id.as_str().into() };
    match backend.order(order).await {
        outcome @ (OrderOutcome::Accepted | OrderOutcome::Done) => Ok(Ordered { id, outcome }),
        outcome => {
            let message = format!("upstream `{upstream}` did not accept the order: {outcome}");
            let hint = "see `acacia status`; the order can be sent again with the same id";
            Err(Fault::new(Code::OrderFailed, message, hint))
        }
    }
}

fn check(set: &Set, upstream: &str, duty: &OrderDuty) -> Result<(), Fault> {
    let object =
        set.upstreams.get(upstream).ok_or_else(|| Fault::not_found("upstream", upstream))?;
    let (kind, name, version) = match duty {
        OrderDuty::SetRole(_) => return Ok(()),
        OrderDuty::LoadVersion(name) => ("version", name, Some(name)),
        OrderDuty::LoadAdapter(name) => {
            ("adapter", name, set.adapters.get(name).map(|adapter| &adapter.version))
        }
    };
    let version = version.and_then(|version| set.versions.get(version));
    let version = version.ok_or_else(|| Fault::not_found(kind, name))?;
    if runs_model(object, &version.model) {
        return Ok(());
    }
    let message = format!(
        "{kind} `{name}` belongs to model `{}`, which the upstream does not run",
        version.model
    );
    Err(Fault::new(Code::Invalid, message, "use one of the model that the upstream runs"))
}

/// Whether an upstream is an engine that runs `model`.
fn runs_model(upstream: &Upstream, model: &str) -> bool {
    matches!(&upstream.role, Role::Engine { model: running, .. } if **running == *model)
}
