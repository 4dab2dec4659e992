//! Admission of requests that take up a stream.
//!
//! A request that takes up a stream goes on at the software version that began it, which
//! [`Streams`](super::software::Streams) knows or infers from a view that is current. The caller of
//! [`Gateway::admit_for`] waits for such a view first if [`Gateway::awaits_view`] says so.

use std::time::Duration;

use super::call::Call;
use super::configuration::{Repeat, ServiceName};
use super::machine::{Gateway, not_run};
use super::plan::{Reason, Refusal};
use super::software::{Origin, StreamKey, stream_key};
use super::view::SoftwareVersion;
use crate::Time;

/// Outage of the metadata store that may be over at the next call, such as a connection that was lost
/// while this process was suspended.
const SHORT_OUTAGE: Duration = Duration::from_millis(500);

impl Gateway {
    /// Whether a request takes up a stream whose software version only a view tells that was current
    /// when the request arrived. If the metadata store hasn't answered for some time, there will be none
    /// soon.
    pub fn awaits_view(&self, arrived: Time, call: &Call) -> bool {
        let (Some(view), Some(resumption)) = (&self.view, &call.resumption) else { return false };
        let is_cut_off =
            view.unavailable_since.is_some_and(|since| arrived >= since + SHORT_OUTAGE);
        if arrived <= view.as_of || is_cut_off {
            return false;
        }
        let configuration = &view.configuration;
        let Some(route) = configuration.route(&call.host, &call.path) else { return false };
        let organisation = call.key.as_deref().and_then(|key| configuration.organisation(key));
        let name = organisation.map(|organisation| &*organisation.name);
        let key = resumption.origin.as_ref().map(|origin| stream_key(name, origin));
        route.repeat == Repeat::ResumableStream
            && route.split.iter().any(|(service, _)| self.streams.depends_on_view(service, key))
    }

    /// The software version that a request requires, as it began the stream that is taken up.
    pub(super) fn required_software(
        &self,
        arrived: Time,
        service: &ServiceName,
        repeat: Repeat,
        call: &Call,
        stream: StreamKey,
    ) -> Result<Option<SoftwareVersion>, Refusal> {
        let Some(resumption) = call.resumption.as_ref() else { return Ok(None) };
        if repeat != Repeat::ResumableStream {
            return Ok(None);
        }
        let key = resumption.origin.as_ref().map(|_| stream);
        let is_current = self.view.as_ref().is_some_and(|view| arrived <= view.as_of);
        match self.streams.origin(service, key, is_current) {
            Origin::Version(version) => Ok(Some(version)),
            Origin::Gone => Err(not_run(Reason::NoUpstream)),
            Origin::Unknown => Err(not_run(Reason::UnknownStream)),
        }
    }
}
