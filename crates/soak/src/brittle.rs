//! Checks how often brittle servers fall over.

use std::collections::BTreeMap;
use std::time::Duration;

use acacia_standin::platform::brittle::Period;
use tokio::time::Instant;

use crate::cut::Span;
use crate::oracle::{Record, Violation};

/// Falls that a time of brittleness may have, and in addition the number of servers per further
/// fall.
const FALLS: usize = 2;
const SERVERS_PER_FALL: usize = 10;
/// Time after a restart from which what an instance sends counts.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// The falls in a time in which servers were brittle: the period of the server, and when it fell.
pub fn falls(time: &[Period]) -> impl Iterator<Item = (&Period, Instant)> {
    time.iter().flat_map(|period| period.falls.iter().map(move |at| (period, *at)))
}

/// In one time in which the servers of a service are brittle, few of them fall over. A fall counts
/// unless at least half of the refused requests came by way of instances that were restarting.
pub fn judge_falls(
    time: &[Period],
    records: &BTreeMap<&str, &Record>,
    restarts: &[Span],
) -> Option<Violation> {
    let is_settled = |id: &str, at: Instant| {
        let instance = records.get(id).map(|record| record.instance);
        let mut own = restarts.iter().filter(|restart| Some(restart.instance) == instance);
        !own.any(|restart| restart.from <= at && at < restart.until + SETTLE_TIME)
    };
    let counts = |(period, at): &(&Period, Instant)| {
        let refused = period.recent(*at);
        let (settled, others): (Vec<_>, Vec<_>) =
            refused.partition(|refusal| is_settled(&refusal.id, refusal.at));
        settled.len() > others.len()
    };
    let falls = falls(time).filter(counts).count();
    let servers = time.len();
    let is_violated = falls > FALLS + servers / SERVERS_PER_FALL;
    is_violated.then_some(Violation::FellOver { falls, servers })
}
