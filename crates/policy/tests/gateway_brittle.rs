//! Tests of upstreams that state how many refusals a second they bear.

mod gateway_crash;
mod gateway_simulation;

use std::time::Duration;

use gateway_crash::Site;
use gateway_crash::brittle::WARNING;
use gateway_crash::load::PlainLoad;

/// Requests that a plain server runs at a time.
const SLOTS: usize = 6;
/// Requests a second of which plain servers have room for all: about a quarter of what four of them
/// can run.
const LIGHT_LOAD: f64 = 90.0;
/// Requests a second of which four plain servers can run about half.
const OVERLOAD: f64 = 700.0;
/// Requests a second that a plain server can run: its slots over the average time of a run.
const PLAIN_RATE: f64 = SLOTS as f64 / 0.070;
/// Time for which servers are brittle.
const BRITTLE_TIME: Duration = Duration::from_secs(15);

const fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Servers of one kind under a load that become brittle.
#[derive(Clone, Copy, Debug)]
struct Case {
    gateways: usize,
    is_plain: bool,
    servers: u32,
    tolerance: usize,
    room: usize,
    load: f64,
    /// Share of digests that are lost.
    loss: f64,
}

impl Case {
    fn plain(gateways: usize, tolerance: usize, room: usize, load: f64) -> Self {
        Self { gateways, is_plain: true, servers: 4, tolerance, room, load, loss: 0.02 }
    }

    fn engines(gateways: usize, tolerance: usize, room: usize, load: f64) -> Self {
        Self { is_plain: false, servers: 9, ..Self::plain(gateways, tolerance, room, load) }
    }

    /// Runs it; returns the share of the requests that are served from the warning's end on.
    fn run(self) -> f64 {
        let mut site = if self.is_plain {
            Site::plain(1, self.gateways, self.servers)
        } else {
            Site::new(1, self.gateways, self.servers)
        };
        site.loss = self.loss;
        self.pass(&mut site, seconds(4));
        let since = site.elapsed();
        site.embrittle(self.tolerance, self.room);
        self.pass(&mut site, BRITTLE_TIME);
        let (falls, allowed) = (site.falls.len(), 2 + self.servers as usize / 10);
        let share = site.sound_share(since + WARNING, site.elapsed() - seconds(1));
        let refusals = site.refusals.iter().filter(|(at, _)| *at >= since + WARNING).count();
        println!("{self:?}: {falls} falls, {refusals} refusals, {share:.3} served");
        assert!(falls <= allowed, "{self:?}: {falls} falls, {allowed} allowed");
        share
    }

    fn pass(self, site: &mut Site, time: Duration) {
        if self.is_plain {
            let load = PlainLoad { sound: self.load, culprit: "/read/x", culprits: 0.0 };
            site.run_plain_load(time, load);
        } else {
            site.run_load(time, self.load, 0.0);
        }
    }
}

/// Plain servers that let hardly any request wait, under several times the requests that they can
/// run; as many are served as half of their slots can run.
#[test]
fn next_keeps_refusals_of_all_instances_within_limit() {
    for gateways in [1, 3, 9, 20, 80] {
        for tolerance in [0, 1, 2, 5, 20] {
            for room in [SLOTS, SLOTS + 1, SLOTS + 4] {
                let case = Case::plain(gateways, tolerance, room, OVERLOAD);
                let share = case.run();
                let possible = PLAIN_RATE * f64::from(case.servers) / OVERLOAD;
                assert!(share > possible / 2.0, "{case:?}: {share} served");
            }
        }
    }
}

/// A server with room is used.
#[test]
fn next_serves_requests_that_brittle_servers_have_room_for() {
    for gateways in [1, 3, 9] {
        for tolerance in [0, 2, 5] {
            let case = Case::plain(gateways, tolerance, SLOTS, LIGHT_LOAD);
            let share = case.run();
            assert!(share > 0.9, "{case:?}: {share} served");
        }
    }
}

/// The shares of the instances bound the refusals by themselves.
#[test]
fn next_keeps_refusals_within_limit_despite_lost_digests() {
    for (gateways, tolerance) in [(3, 5), (9, 0), (9, 2), (9, 5), (80, 5)] {
        for loss in [0.5, 1.0] {
            Case { loss, ..Case::plain(gateways, tolerance, SLOTS, OVERLOAD) }.run();
        }
    }
}

/// Engines, whose memory may be full of fewer requests than they have slots, and plain servers that
/// run fewer requests at a time than they list.
#[test]
fn next_learns_room_from_refusals() {
    for (gateways, tolerance) in [(1, 5), (3, 5), (9, 5), (9, 10), (80, 10)] {
        Case::engines(gateways, tolerance, 12, 300.0).run();
        Case::plain(gateways, tolerance, SLOTS / 2, OVERLOAD).run();
    }
}
