//! Rate limits that upstreams state in their answers.
//!
//! An upstream in need states how many requests a second it takes from all instances together, for
//! as long as its answers say so. [`State`] is what this instance knows of one incarnation of an
//! upstream, from answers to its own requests and from [`Report`]s of other instances.
//!
//! Load pattern: an upstream's prompts or pages are asked for through all instances at once, at
//! several times its limit. Each instance keeps to a [`Share`], so that no request waits for
//! another instance. The shares of all instances add up to the limit; with more instances than
//! requests, only the first instances by a rank that is equal on all of them have one. An instance
//! without a share learns from the others when the limit ends.

use std::time::Duration;

use super::view::ServerId;
use super::window::Window;
use crate::Time;

pub use super::statement::{Report, State, Statement};

/// Window in which requests to a limited upstream are counted.
pub const SPAN: Duration = Duration::from_secs(4);
/// Window in which a share is spread evenly, so that the instances don't spend theirs at once.
const BURST_SPAN: Duration = Duration::from_secs(1);
/// Requests in [`SPAN`] that any upstream gets, as only an answer shows that its limit has ended.
const MIN_REQUESTS: f64 = 1.0;

/// Limit of one instance on requests to an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Share {
    /// Requests in [`SPAN`].
    pub requests: usize,
}

impl Share {
    /// The share of one of `instances` that ranks after `rank` others for the upstream. The shares
    /// of all instances add up to the requests that a limit of `rate` per second allows.
    pub fn new(rate: f64, instances: u32, rank: usize) -> Self {
        let all = (rate * SPAN.as_secs_f64()).max(MIN_REQUESTS) as usize;
        let instances = instances.max(1) as usize;
        let requests = all / instances + usize::from(rank < all % instances);
        Self { requests }
    }

    /// When the instance may send the next request, after those in `sends`; none if it has no
    /// share.
    pub fn free_at(self, now: Time, sends: &mut Window) -> Option<Time> {
        let burst = self.requests.div_ceil((SPAN.as_secs() / BURST_SPAN.as_secs()) as usize);
        let by_span = sends.free_at(now, SPAN, self.requests)?;
        let by_burst = sends.free_at(now, BURST_SPAN, burst)?;
        Some(by_span.max(by_burst))
    }
}

/// A change of an upstream's rate limit, for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// The upstream.
    pub server: ServerId,
    /// Its limit from now on, in requests per second; none if it has ended.
    pub rate: Option<f64>,
    /// Requests that this instance has sent to it within [`SPAN`].
    pub recent_sends: usize,
}
