//! Scenarios that once violated a property, shrunk.

mod fleet;

use fleet::op::Op::{
    Change, Claim, Delay, Drop, Duplicate, Heal, Kill, LoseAnswers, Order, Outage, Partition,
    Pause, Request, Restart, Run, Slow, Start, Stop,
};
use fleet::op::{Op, Scenario};

fn assert_holds(seed: u64, ops: Vec<Op>) {
    assert_eq!(Scenario { seed, ops }.run(None).oracle.violation, None);
}

/// A daemon that received the epoch only from peers never joined.
#[test]
fn join_after_outage() {
    assert_holds(1_664_559_489_843_312_834, vec![Outage(1323), Kill(228), Run(55)]);
}

/// Requests handed over by a leaving owner, on an instance without load reports, counted as running
/// for ever.
#[test]
fn hand_over_without_reports() {
    assert_holds(9_977_266_877_159_940_994, vec![Request(159, 131, 4), Stop(236), Kill(117)]);
}

/// After a partition healed, an outdated daemon did not pull what it had missed.
#[test]
fn heal_outdated_daemon() {
    let ops = vec![
        Run(543),
        Request(67, 19, 1),
        Partition(59, true),
        Run(1249),
        Kill(250),
        Partition(113, false),
        Run(2389),
        Change(0, 246),
    ];
    assert_holds(6_116_800_499_968_950_234, ops);
}

/// A daemon whose requests were refused was later granted permits that it never returned.
#[test]
fn grant_after_refusal() {
    let ops = vec![
        LoseAnswers(40),
        Claim(127, 5),
        Drop(54),
        Request(255, 105, 3),
        Stop(136),
        Request(188, 242, 1),
        Pause(127, 539),
        Start,
        Pause(148, 808),
        Run(216),
        Run(487),
        Run(44),
        Run(70),
        Start,
        Partition(245, true),
        Run(402),
        Run(1785),
        Heal,
        Run(923),
        Request(145, 213, 1),
    ];
    assert_holds(994_788_853_719_635_598, ops);
}

/// A permit arrived before the snapshot that opened its upstream again.
#[test]
fn permit_before_snapshot() {
    let ops =
        vec![Change(90, 105), Stop(71), Request(72, 58, 2), Run(902), Run(1258), Change(33, 225)];
    assert_holds(10_489_597_778_257_177_911, ops);
}

/// An instance of a plain service exceeded its cold limit after a pause, a partition and an outage.
#[test]
fn service_after_outage() {
    let ops = vec![
        Run(2856),
        Start,
        Run(3087),
        Run(1665),
        Pause(57, 3019),
        Run(1535),
        LoseAnswers(63),
        Partition(90, false),
        Run(1665),
        Outage(2692),
        Request(11, 116, 1),
        Request(5, 149, 4),
        Heal,
        Outage(1260),
        Run(3737),
        Run(2738),
        Run(422),
        Run(1225),
        Run(1535),
    ];
    assert_holds(14_667_982_480_296_233_849, ops);
}

/// A successor repeated an order that the engine had already completed for its predecessor.
#[test]
fn order_repeated_by_successor() {
    let ops = vec![
        Partition(234, true),
        Run(614),
        Run(2471),
        Order(171, 23),
        Heal,
        Change(109, 66),
        Run(1535),
        Order(46, 121),
        Run(1928),
        Outage(0),
        Run(1068),
        Run(2318),
        Order(26, 0),
        Start,
        Run(1132),
        Partition(251, false),
        Run(2681),
    ];
    assert_holds(4_446_924_861_648_017_913, ops);
}

/// Messages were lost and delayed while a daemon left and a change was published.
#[test]
fn change_with_message_faults() {
    let ops = vec![
        Stop(66),
        Request(198, 42, 2),
        Drop(18),
        Run(770),
        Delay(546),
        Run(1535),
        Change(58, 78),
        Run(2152),
    ];
    assert_holds(3_525_405_582_272_282_923, ops);
}

/// A partitioned daemon treated what it gained in two epochs in quick succession as its own.
#[test]
fn ownership_before_takeover_wait() {
    let ops = vec![
        Run(629),
        Run(3236),
        Run(2363),
        Request(129, 0, 2),
        Run(1535),
        Request(140, 154, 2),
        Run(3958),
        Run(3992),
        Request(162, 74, 1),
        Run(1138),
        Run(2508),
        Run(2432),
        Request(29, 187, 3),
        Run(2407),
        Claim(62, 4),
        Run(1433),
        Duplicate(22),
        Run(885),
        Drop(45),
        Claim(122, 15),
        Request(129, 138, 1),
        Run(116),
        Delay(275),
        Partition(175, true),
        Request(51, 60, 1),
        Run(1801),
    ];
    assert_holds(9_569_381_361_881_462_986, ops);
}

/// A daemon without other calls considered the key-value service down long after it was back.
#[test]
fn chunk_after_outage() {
    let ops = vec![
        Kill(29),
        Run(1468),
        Request(105, 187, 1),
        Request(92, 11, 3),
        Run(3181),
        Run(1535),
        Request(195, 72, 5),
        Run(1931),
        Run(3024),
        Request(94, 212, 3),
        Run(3349),
        Order(1, 51),
        Delay(634),
        Request(0, 42, 1),
        Partition(130, false),
        Run(3805),
        Request(93, 230, 1),
        Run(3473),
        Slow(2827),
        Request(18, 40, 1),
        Change(57, 39),
        Run(968),
        Claim(97, 8),
        Request(185, 0, 1),
        Restart(181),
        Run(1757),
        Run(2547),
        Outage(3656),
        Request(229, 125, 1),
        Request(7, 237, 1),
        Request(65, 85, 1),
        Run(832),
        Run(1213),
    ];
    assert_holds(1_559_177_964_474_910_299, ops);
}

/// A successor repeated an order to an engine that had restarted since.
#[test]
fn order_after_restart() {
    let ops = vec![
        Run(667),
        Outage(1999),
        Stop(67),
        Slow(3181),
        Run(2885),
        Heal,
        Order(60, 255),
        Run(2145),
        Order(187, 144),
        Restart(191),
        Order(144, 35),
    ];
    assert_holds(1, ops);
}

/// A daemon that reached only the key-value service considered the others gone, which still reached
/// each other.
#[test]
fn partitioned_alone_with_service() {
    let ops = vec![
        Partition(150, true),
        Run(2191),
        Run(3979),
        Outage(3218),
        Run(657),
        Run(430),
        Request(197, 206, 2),
        Run(567),
        Request(114, 218, 1),
        Run(1000),
    ];
    assert_holds(11_674_237_205_868_410_337, ops);
}

/// A load report from before a leaving owner's permits were used hid the requests handed over.
#[test]
fn report_before_start() {
    let ops = vec![
        Request(1, 87, 4),
        Pause(17, 148),
        Request(119, 220, 1),
        Request(66, 211, 1),
        Stop(86),
    ];
    assert_holds(18_035_854_056_635_632_094, ops);
}

/// A daemon left alone in the epoch no longer probed the witnesses of earlier epochs.
#[test]
fn earlier_witnesses_asked() {
    let ops = vec![
        Stop(11),
        Run(362),
        Start,
        Run(441),
        Partition(56, false),
        Run(1549),
        Partition(231, true),
        Run(1139),
        Run(863),
    ];
    assert_holds(13_106_783_087_983_372_518, ops);
}
