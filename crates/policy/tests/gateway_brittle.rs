//! Tests of upstreams that state how many refusals a second they bear.

mod gateway_crash;
mod gateway_simulation;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use acacia_policy::gateway::brittle::Share;
use acacia_policy::gateway::forward::Passage;
use acacia_policy::gateway::mesh::Peer;
use acacia_policy::gateway::statement::Statement;
use acacia_policy::gateway::{Notice, Step};
use quickcheck::quickcheck;

use gateway_crash::Site;
use gateway_crash::brittle::{ROOM, WARNING};
use gateway_crash::load::PlainLoad;
use gateway_simulation::Simulation;

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

/// Instances of which most have no slot.
const INSTANCES: u16 = 30;

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
        site.room = if self.is_plain { ROOM } else { usize::MAX };
        self.pass(&mut site, seconds(4));
        let since = site.elapsed();
        site.embrittle(self.tolerance, self.room);
        self.pass(&mut site, BRITTLE_TIME);
        let (falls, allowed) = (site.falls.len(), 2 + self.servers as usize / 10);
        let share = site.sound_share(since + WARNING, site.elapsed() - seconds(1));
        let refusals = site.refusals.iter().filter(|(at, _)| *at >= since + WARNING).count();
        let passed = site.most_passed;
        println!(
            "{self:?}: {falls} falls, {refusals} refusals, {share:.3} served, {passed} passed"
        );
        assert!(falls <= allowed, "{self:?}: {falls} falls, {allowed} allowed");
        let slots = self.servers as usize * (SLOTS - 1);
        let senders = self.gateways.saturating_sub(slots).div_ceil(slots);
        assert!(falls > 0 || passed <= senders, "{self:?}: {passed} at a time at one helper");
        share
    }

    /// The share of the requests that all slots can run.
    fn possible_share(self) -> f64 {
        (PLAIN_RATE * f64::from(self.servers) / self.load).min(1.0)
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
/// run; as many are served as half of their slots can run, also with more instances than slots.
#[test]
fn next_keeps_refusals_of_all_instances_within_limit() {
    let few = [1, 3, 9].map(|gateways| (gateways, &[0, 1, 2, 5, 20][..], SLOTS));
    let queued = [3, 9].map(|gateways| (gateways, &[2, 5][..], SLOTS + 2));
    let many = [(20, &[1, 5, 20][..], SLOTS), (80, &[2][..], SLOTS)];
    for (gateways, tolerances, room) in few.into_iter().chain(queued).chain(many) {
        for tolerance in tolerances {
            let case = Case::plain(gateways, *tolerance, room, OVERLOAD);
            let share = case.run();
            let possible = case.possible_share();
            assert!(share > possible / 2.0, "{case:?}: {share} served");
        }
    }
}

/// Regression: instances without a slot refused what arrived there, while others had free slots.
#[test]
fn next_passes_requests_on_to_instances_with_slots() {
    for tolerance in [0, 5] {
        let case = Case::plain(80, tolerance, SLOTS, LIGHT_LOAD);
        let share = case.run();
        assert!(share > 0.9, "{case:?}: {share} served");
    }
}

/// One of several instances, at whose only plain server the slots are too few for all.
fn instance(number: u16) -> Simulation {
    let address = |number: u16| SocketAddr::from(([127, 0, 0, 1], 7_000 + number));
    let mut simulation = Simulation::new(1);
    simulation.change(|view, _| {
        view.own_address = Some(address(number));
        let others = (0..INSTANCES).filter(|other| *other != number);
        let peer = |other| Peer { address: address(other), zone: "z1".into() };
        view.peers = others.map(peer).collect();
    });
    let tolerance = Statement::Limited(0.0);
    simulation.hear("s0", Notice { tolerance, ..Notice::default() });
    simulation
}

/// The instances with a slot are those that the others pass requests on to, and each of these gets
/// them from few.
#[test]
fn next_spreads_instances_without_slot_over_those_with_one() {
    let (mut own, mut helpers) = (BTreeSet::new(), BTreeMap::<SocketAddr, u16>::new());
    for number in 0..INSTANCES {
        let mut simulation = instance(number);
        let mut plan = simulation.admit("/read/", "key").unwrap();
        match simulation.next(&mut plan) {
            Step::Send(_) => {
                own.extend(simulation.view().own_address);
            }
            Step::Forward(helper) => *helpers.entry(helper).or_default() += 1,
            step => panic!("instance {number}: {step:?}"),
        }
    }
    assert!(helpers.keys().all(|helper| own.contains(helper)), "{own:?} {helpers:?}");
    let count = own.len() as u16;
    let most = helpers.values().max().copied().unwrap();
    assert!(most <= (INSTANCES - count).div_ceil(count), "{helpers:?}");
}

/// An instance that can't be reached is replaced; no other gets more than one request at a time, and
/// none passes on what was passed on to it.
#[test]
fn next_passes_one_request_on_at_a_time() {
    let forwards = |simulation: &mut Simulation| {
        let mut plan = simulation.admit("/read/", "key").unwrap();
        match simulation.next(&mut plan) {
            Step::Forward(helper) => Some((plan, helper)),
            _ => None,
        }
    };
    let all = (0..INSTANCES).map(instance);
    let mut without = all.filter_map(|mut simulation| {
        let (plan, helper) = forwards(&mut simulation)?;
        Some((simulation, plan, helper))
    });
    let (mut simulation, mut plan, first) = without.next().expect("some have no slot");
    assert!(forwards(&mut simulation).is_none(), "one is on its way");
    simulation.forwarded(&mut plan, first, Passage::Refused);
    let Step::Forward(second) = simulation.next(&mut plan) else { panic!("there are others") };
    assert_ne!(first, second);
    simulation.forwarded(&mut plan, second, Passage::Answered);
    assert!(forwards(&mut simulation).is_some_and(|(_, helper)| helper == second));
    let mut forwarded = simulation.admit_forwarded("/read/", "app");
    assert!(!matches!(simulation.next(&mut forwarded), Step::Forward(_) | Step::Send(_)));
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
        // A second run of many gateways takes too long.
        let losses = if gateways > 9 { &[1.0][..] } else { &[0.5, 1.0] };
        for loss in losses {
            Case { loss: *loss, ..Case::plain(gateways, tolerance, SLOTS, OVERLOAD) }.run();
        }
    }
}

/// Engines, whose memory may be full of fewer requests than they have slots, and plain servers that
/// run fewer requests at a time than they list.
#[test]
fn next_learns_room_from_refusals() {
    for (gateways, tolerance) in [(1, 5), (3, 5), (9, 5), (9, 10), (20, 10)] {
        Case::engines(gateways, tolerance, 12, 300.0).run();
        Case::plain(gateways, tolerance, SLOTS / 2, OVERLOAD).run();
    }
}

/// Helpers whose slots are not all there, under requests of their own and others'.
#[test]
fn next_learns_room_despite_requests_passed_on() {
    Case::plain(80, 5, SLOTS / 2, OVERLOAD).run();
}

/// Servers that restart while their service is brittle are so from the start, before any answer says
/// so.
#[test]
fn next_expects_restarted_upstreams_to_be_brittle() {
    let case = Case::plain(9, 2, SLOTS, OVERLOAD);
    let mut site = Site::plain(2, case.gateways, case.servers);
    site.room = ROOM;
    case.pass(&mut site, seconds(4));
    site.embrittle(case.tolerance, case.room);
    case.pass(&mut site, WARNING + seconds(2));
    for _ in 0..4 {
        let server = site.servers()[0].clone();
        site.crash(&server);
        case.pass(&mut site, seconds(4));
    }
    assert!(site.falls.len() <= 2, "{:?}", site.falls);
}

/// Regression: once all servers of a service had fallen over, those that came back were overrun, as
/// nobody had stated anything to go by.
#[test]
fn next_expects_upstreams_to_be_brittle_after_all_restarted() {
    let case = Case::plain(9, 0, SLOTS, OVERLOAD);
    let mut site = Site::plain(4, case.gateways, case.servers);
    site.room = ROOM;
    case.pass(&mut site, seconds(4));
    site.embrittle(case.tolerance, case.room);
    case.pass(&mut site, WARNING + seconds(2));
    for server in site.servers() {
        site.crash(&server);
    }
    case.pass(&mut site, seconds(8));
    assert!(site.falls.len() <= 2, "{:?}", site.falls);
}

/// Once servers are no longer brittle, all that they have room for is served again.
#[test]
fn next_sends_as_before_once_servers_are_no_longer_brittle() {
    let case = Case::plain(9, 5, SLOTS, OVERLOAD);
    let mut site = Site::plain(3, case.gateways, case.servers);
    site.room = ROOM;
    case.pass(&mut site, seconds(6));
    let before = site.sound_share(seconds(2), seconds(6));
    site.embrittle(case.tolerance, case.room);
    case.pass(&mut site, BRITTLE_TIME);
    site.brittleness = None;
    let ended = site.elapsed();
    case.pass(&mut site, seconds(6));
    let after = site.sound_share(ended + seconds(1), ended + seconds(5));
    assert!(after > before * 0.9, "{after} served after, {before} before");
}

/// The shares of all instances add up to less than the room, if it is for more than one request, and
/// to no more than the refusals that the upstream bears.
#[test]
fn share_stays_within_room_and_tolerance() {
    fn holds(room: u16, tolerance: u8, instances: u8) -> bool {
        let instances = u32::from(instances).max(1);
        let shares = (0..instances as usize)
            .map(|rank| Share::new(room.into(), tolerance.into(), instances, rank));
        let (requests, refusals) = shares.fold((0, 0), |(requests, refusals), share| {
            (requests + share.requests, refusals + share.refusals)
        });
        requests <= u32::from(room).saturating_sub(1).max(1) && refusals <= tolerance.into()
    }
    quickcheck(holds as fn(u16, u8, u8) -> bool);
    let last = Share::new(6, 5.0, 9, usize::MAX);
    assert_eq!(last, Share { requests: 0, refusals: 0 }, "no address of its own");
}
