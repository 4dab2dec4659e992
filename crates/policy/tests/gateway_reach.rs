//! Tests of the detection of lost paths to upstreams.

use std::time::Duration;

use acacia_policy::Time;
use acacia_policy::gateway::configuration::ServiceName;
use acacia_policy::gateway::reach::{Cause, Reach};

/// Interval between checks whether a probe is due.
const TICK: Duration = Duration::from_millis(25);
/// Duration of a probe whose connections are neither accepted nor refused.
const HANG: Duration = Duration::from_millis(250);
/// Latency target of all requests.
const TARGET: Duration = Duration::from_millis(150);
/// Upstreams of the service.
const SIZE: usize = 5;

const fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// One service, with a prober whose probes take some time.
struct Rig {
    reach: Reach,
    service: ServiceName,
    now: Time,
    /// When the probe in progress ends.
    probe: Option<Time>,
    /// Whether upstreams accept connections, and how long a probe takes.
    accepts: bool,
    took: Duration,
    probes: u32,
}

impl Rig {
    fn new(accepts: bool, took: Duration) -> Self {
        let (reach, service, now) = (Reach::default(), "app".into(), Duration::from_secs(100));
        Self { reach, service, now, probe: None, accepts, took, probes: 0 }
    }

    /// Advances the time in ticks.
    fn pass(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += TICK;
            if self.probe.take_if(|at| *at <= self.now).is_some() {
                self.reach.probed(self.now, &self.service, self.accepts);
            }
            if !self.reach.due(self.now, |_| SIZE).is_empty() {
                assert!(self.probe.is_none(), "one probe of a service at a time");
                self.probes += 1;
                self.probe = Some(self.now + self.took);
            }
        }
    }

    /// Advances the time from check to check, as the prober does without failures; the number of checks.
    fn pass_checks(&mut self, time: Duration) -> u32 {
        let (end, mut checks) = (self.now + time, 0);
        loop {
            let next = self.reach.next_check(self.now, |_| SIZE);
            assert!(next > self.now);
            if next > end {
                self.now = end;
                return checks;
            }
            self.now = next;
            checks += 1;
            if self.probe.take_if(|at| *at <= self.now).is_some() {
                self.reach.probed(self.now, &self.service, self.accepts);
            }
            if !self.reach.due(self.now, |_| SIZE).is_empty() {
                self.probe = Some(self.now + self.took);
            }
        }
    }

    fn send(&mut self, server: u64) -> Time {
        self.reach.sent(self.now, &self.service, server, TARGET);
        self.now
    }

    fn fail(&mut self, server: u64) {
        let sent = self.send(server);
        self.reach.ended(&self.service, server, sent);
        self.reach.failed(self.now, &self.service, server, false);
    }

    fn is_lost(&self) -> bool {
        self.reach.is_lost(&self.service)
    }
}

#[test]
fn probed_loses_path_after_failed_connection_and_probe() {
    for took in [millis(0), HANG] {
        let mut rig = Rig::new(false, took);
        rig.pass(millis(100));
        rig.fail(1);
        assert!(rig.reach.is_suspect(&rig.service) && !rig.is_lost());
        rig.pass(millis(350));
        assert!(rig.is_lost(), "{took:?}");
        let changes = rig.reach.take_changes();
        assert_eq!(changes.len(), 1);
        assert_eq!((changes[0].lost, changes[0].failed), (Some(Cause::Connect), 1));
    }
}

#[test]
fn probed_keeps_path_if_one_upstream_failed() {
    let mut rig = Rig::new(true, millis(30));
    for _ in 0..20 {
        rig.fail(1);
        rig.pass(millis(200));
        assert!(!rig.is_lost() && !rig.reach.is_suspect(&rig.service));
    }
    assert!(rig.reach.take_changes().is_empty());
    assert!(rig.probes <= 20, "{} probes", rig.probes);
}

#[test]
fn due_suspects_silence_of_several_upstreams_only() {
    let mut rig = Rig::new(false, HANG);
    rig.send(1);
    rig.send(1);
    rig.pass(Duration::from_secs(3));
    assert!(!rig.is_lost() && rig.probes == 0, "one upstream is silent");
    rig.send(2);
    rig.pass(millis(800));
    assert!(rig.is_lost());
}

#[test]
fn due_does_not_suspect_silence_while_others_answer() {
    let mut rig = Rig::new(false, HANG);
    rig.send(1);
    rig.send(2);
    for _ in 0..30 {
        rig.pass(millis(100));
        let sent = rig.send(3);
        rig.reach.heard(rig.now, &rig.service, 3, sent, false);
    }
    assert!(!rig.is_lost() && rig.probes == 0);
}

#[test]
fn due_loses_path_after_long_silence_though_connections_are_accepted() {
    let mut rig = Rig::new(true, millis(30));
    let first = rig.send(1);
    rig.send(2);
    rig.pass(millis(1_000));
    assert!(!rig.is_lost() && rig.probes > 0);
    rig.pass(millis(300));
    assert!(rig.is_lost());
    rig.pass(millis(600));
    assert!(rig.is_lost(), "accepted connections don't prove the path");
    assert!(rig.reach.give_up_at(&rig.service, first, TARGET, false).is_none());
    assert!(rig.reach.take_trial(rig.now, &rig.service));
    assert!(!rig.reach.take_trial(rig.now, &rig.service), "one trial at a time");
    assert!(rig.reach.give_up_at(&rig.service, rig.now, TARGET, true).is_some());
    rig.reach.heard(rig.now, &rig.service, 1, first, false);
    assert!(!rig.is_lost());
}

#[test]
fn next_check_is_rare_while_upstreams_answer() {
    let mut rig = Rig::new(true, millis(30));
    rig.send(1);
    rig.send(2);
    let mut checks = 0;
    for _ in 0..40 {
        // The requests to the first two are silent all the while.
        checks += rig.pass_checks(millis(200));
        let sent = rig.send(3);
        rig.pass(millis(50));
        rig.reach.heard(rig.now, &rig.service, 3, sent, false);
    }
    assert!(checks <= 40, "{checks} checks in 10 s");
}

#[test]
fn next_check_finds_silence_as_soon() {
    for start in [0, 100, 399] {
        let mut rig = Rig::new(false, HANG);
        rig.pass_checks(millis(start));
        rig.send(1);
        rig.send(2);
        rig.pass_checks(millis(800));
        assert!(rig.is_lost(), "{start}");
    }
}

/// Older connections may live on while new ones are refused.
#[test]
fn heard_on_older_connection_does_not_regain_path() {
    let mut rig = Rig::new(false, millis(0));
    let older = rig.send(1);
    rig.fail(2);
    rig.pass(millis(100));
    assert!(rig.is_lost());
    rig.reach.heard(rig.now, &rig.service, 1, older, false);
    assert!(rig.is_lost());
    rig.accepts = true;
    rig.pass(millis(400));
    assert!(!rig.is_lost());
    let states: Vec<bool> = rig.reach.take_changes().iter().map(|c| c.lost.is_some()).collect();
    assert_eq!(states, [true, false]);
}

/// Regression: beside load, connections stayed open during a probe and were reset afterwards; the path
/// was regained and lost again several times a second, and requests broke each time.
#[test]
fn probed_needs_more_proofs_after_relapse() {
    let mut rig = Rig::new(false, millis(30));
    // Loses the path and returns the number of probes after which it is regained.
    let probes = |rig: &mut Rig| {
        rig.accepts = false;
        rig.fail(1);
        rig.pass(millis(400));
        assert!(rig.is_lost());
        rig.accepts = true;
        let begun = rig.probes - u32::from(rig.probe.is_some());
        while rig.is_lost() {
            rig.pass(TICK);
        }
        rig.probes - begun
    };
    assert_eq!([(); 4].map(|()| probes(&mut rig)), [1, 2, 4, 4]);
    let sent = rig.send(2);
    rig.reach.heard(rig.now, &rig.service, 2, sent, true);
    assert_eq!(probes(&mut rig), 1, "an answer proved the path");
}

#[test]
fn due_probes_other_services_after_loss() {
    let mut rig = Rig::new(false, millis(0));
    let other: ServiceName = "llm".into();
    rig.reach.sent(rig.now, &other, 9, TARGET);
    rig.reach.ended(&other, 9, rig.now);
    rig.fail(1);
    rig.pass(millis(100));
    assert!(rig.is_lost() && rig.reach.is_suspect(&other));
}

#[test]
fn give_up_at_leaves_time_for_answer() {
    let mut rig = Rig::new(false, millis(0));
    let sent = rig.send(1);
    assert_eq!(rig.reach.give_up_at(&rig.service, sent, TARGET, false), None);
    rig.fail(2);
    rig.pass(millis(100));
    let at = rig.reach.give_up_at(&rig.service, sent, TARGET, false);
    assert_eq!(at, Some(sent + millis(500)));
    let slow = Duration::from_secs(2);
    let at = rig.reach.give_up_at(&rig.service, sent, slow, false);
    assert_eq!(at, Some(sent + Duration::from_secs(4)));
}

#[test]
fn failed_loses_path_after_several_new_connections_broke() {
    let mut rig = Rig::new(true, millis(30));
    rig.pass(millis(100));
    for server in [1, 1, 2, 3, 2] {
        assert!(!rig.is_lost());
        let sent = rig.send(server);
        rig.pass(millis(100));
        rig.reach.ended(&rig.service, server, sent);
        rig.reach.failed(rig.now, &rig.service, server, true);
    }
    assert!(rig.is_lost() && !rig.reach.is_unreachable(&rig.service));
    rig.pass(millis(450));
    assert!(!rig.reach.take_trial(rig.now, &rig.service));
    rig.pass(millis(100));
    assert!(rig.reach.take_trial(rig.now, &rig.service) && rig.is_lost());
    let sent = rig.send(3);
    rig.pass(millis(50));
    rig.reach.heard(rig.now, &rig.service, 3, sent, false);
    assert!(rig.is_lost(), "an older connection may live on");
    let sent = rig.send(4);
    rig.pass(millis(50));
    rig.reach.heard(rig.now, &rig.service, 4, sent, true);
    assert!(!rig.is_lost());
}

#[test]
fn failed_keeps_path_if_connections_broke_apart() {
    let mut rig = Rig::new(true, millis(30));
    for server in 0..5 {
        let sent = rig.send(server);
        rig.reach.ended(&rig.service, server, sent);
        rig.reach.failed(rig.now, &rig.service, server, true);
        rig.pass(millis(1_000));
        assert!(!rig.is_lost());
    }
}

/// A request that crashes each upstream is repeated at once.
#[test]
fn failed_keeps_path_if_others_are_answered() {
    let mut rig = Rig::new(true, millis(30));
    for server in 0..8 {
        let sent = rig.send(server);
        rig.pass(millis(50));
        rig.reach.ended(&rig.service, server, sent);
        rig.reach.failed(rig.now, &rig.service, server, true);
        assert!(!rig.is_lost());
        if server % 3 == 2 {
            let sent = rig.send(20);
            rig.pass(millis(50));
            rig.reach.heard(rig.now, &rig.service, 20, sent, false);
        }
    }
}
