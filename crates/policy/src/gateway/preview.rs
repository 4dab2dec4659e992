//! What the head of a request tells before its body is read.
//!
//! Load pattern: many callers with unknown keys or routes, or with bodies that take longer than their
//! requests may, send large bodies. They are answered by their heads, as [`Gateway::admit`] would.

use std::sync::Arc;
use std::time::Duration;

use super::call::Call;
use super::configuration::{Organisation, Route, Version};
use super::gossip::stable_hash;
use super::machine::{Gateway, not_run};
use super::memory::OrganisationKey;
use super::plan::{Reason, Refusal};
use crate::Time;

/// What is known of a request by its head.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Preview {
    /// The request's deadline.
    pub deadline: Time,
    /// Its organisation.
    pub organisation: OrganisationKey,
}

/// A request's route and organisation in a version of the configuration.
pub(super) struct Permit {
    pub(super) route: Arc<Route>,
    pub(super) organisation: Option<Arc<Organisation>>,
    pub(super) version: Version,
}

impl Gateway {
    /// What is known of a request by its head, before its body is read.
    ///
    /// # Errors
    /// As [`Self::admit`], as to the view, the route and the organisation.
    pub fn preview(&self, now: Time, call: &Call) -> Result<Preview, Refusal> {
        let Permit { route, organisation, .. } = self.permit(now, call)?;
        let time = call.timeout.map_or(route.timeout, |timeout| timeout.min(route.timeout));
        let name = organisation.as_ref().map(|organisation| &*organisation.name);
        Ok(Preview { deadline: now + time, organisation: stable_hash(&name) })
    }

    /// The route and the organisation of a request.
    pub(super) fn permit(&self, now: Time, call: &Call) -> Result<Permit, Refusal> {
        let Some(view) = &self.view else { return Err(not_run(Reason::NotReady)) };
        let configuration = &view.configuration;
        let outage =
            view.unavailable_since.map_or(Duration::ZERO, |since| now.saturating_sub(since));
        let fresh = outage < self.terms.stale_after;
        let deny = |reason| not_run(if fresh { reason } else { Reason::StaleConfiguration });
        let route = configuration
            .route(&call.host, &call.path)
            .ok_or_else(|| deny(Reason::UnknownRoute))?
            .clone();
        let organisation =
            call.key.as_deref().and_then(|key| configuration.organisation(key)).cloned();
        if organisation.is_none() && configuration.has_organisations() && !route.public {
            return Err(deny(Reason::UnknownKey));
        }
        Ok(Permit { route, organisation, version: configuration.version })
    }
}
