//! Tests of recovery after overload: the share of requests served in time returns to its level
//! within some seconds after each disturbance, at an unchanged rate of arrivals.

mod gateway_fleet;
mod gateway_simulation;

use std::time::Duration;

use gateway_fleet::{Class, Fleet, LONG, SHORT};

/// Gateways and engines of the simulated fleet.
const SIZE: (usize, usize) = (4, 6);
/// Time after a disturbance within which the level must be reached again.
const RECOVERY: Duration = Duration::from_secs(5);
/// Time for which it is observed then.
const OBSERVATION: Duration = Duration::from_secs(6);
/// Share of the former level that counts as reached.
const LEVEL_SHARE: f64 = 0.95;

const fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Runs a disturbance after ten seconds, for each of some seeds; returns the shares in time before
/// it, and after the recovery.
fn shares(
    classes: &[Class],
    length: Duration,
    disturb: impl Fn(&mut Fleet),
) -> Vec<(u64, f64, f64)> {
    let seeds = 0..3;
    let run = |seed| {
        let mut fleet = Fleet::new(seed, SIZE.0, SIZE.1, classes);
        fleet.run_until(seconds(10));
        disturb(&mut fleet);
        let recovered = fleet.elapsed().max(seconds(10) + length) + RECOVERY;
        // Requests that arrived last get their answers.
        fleet.run_until(recovered + OBSERVATION + seconds(4));
        let before = fleet.in_time_share(seconds(4), seconds(10));
        (seed, before, fleet.in_time_share(recovered, recovered + OBSERVATION))
    };
    seeds.map(run).collect()
}

fn assert_recovers(shares: &[(u64, f64, f64)]) {
    for (seed, before, after) in shares {
        assert!(*before > 0.9, "seed {seed}: {before} in time before the disturbance");
        assert!(
            *after >= before * LEVEL_SHARE,
            "seed {seed}: {after} in time after the disturbance, {before} before"
        );
    }
}

/// Load pattern of scale-1 of Keystone Hearth: a quarter of the engines answer nothing for a while.
#[test]
fn fleet_recovers_lost_engines() {
    let dark = seconds(4);
    assert_recovers(&shares(&[LONG, SHORT], dark, |fleet| fleet.darken(2, dark)));
}

/// Load pattern of trouble-2 of Keystone Hearth: the instances are restarted in turn.
#[test]
fn fleet_recovers_restarted_gateways() {
    let restart_all = |fleet: &mut Fleet| {
        for index in 0..SIZE.0 {
            fleet.restart_gateway(index);
            let next = fleet.elapsed() + seconds(1);
            fleet.run_until(next);
        }
    };
    assert_recovers(&shares(&[LONG, SHORT], seconds(4), restart_all));
}

/// Load pattern of quiet-1 of Keystone Hearth: engines reload, twice within four seconds, and hold
/// nothing then.
#[test]
fn fleet_recovers_reloaded_engines() {
    let reload_twice = |fleet: &mut Fleet| {
        fleet.reload(Duration::from_millis(1_300));
        let next = fleet.elapsed() + seconds(4);
        fleet.run_until(next);
        fleet.reload(Duration::from_millis(1_300));
    };
    assert_recovers(&shares(&[LONG, SHORT], seconds(6), reload_twice));
}

/// Load pattern of a burst: twice the usual rate for three seconds. What is refused comes back.
#[test]
fn fleet_recovers_burst() {
    let burst = |fleet: &mut Fleet| {
        fleet.scale_load(2.0);
        let next = fleet.elapsed() + seconds(3);
        fleet.run_until(next);
        fleet.scale_load(0.5);
    };
    assert_recovers(&shares(&[LONG, SHORT], seconds(3), burst));
}
