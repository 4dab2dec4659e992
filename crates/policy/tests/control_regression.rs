//! Stories that once broke a promise, shrunk.

mod fleet;

use fleet::op::Op::{
    Ask, Change, Claim, Delay, Double, Down, Drop, Heal, Kill, Lose, Order, Part, Pause, Restart,
    Run, Slow, Start, Stop,
};
use fleet::op::{Op, Story};

fn holds(seed: u64, ops: Vec<Op>) {
    assert_eq!(Story { seed, ops }.play(None).oracle.broken, None);
}

/// A daemon that heard the epoch only from peers never joined.
#[test]
fn join_after_outage() {
    holds(1_664_559_489_843_312_834, vec![Down(1323), Kill(228), Run(55)]);
}

/// What a leaving owner handed over for an instance without load reports never ended.
#[test]
fn hand_over_without_reports() {
    holds(9_977_266_877_159_940_994, vec![Ask(159, 131, 4), Stop(236), Kill(117)]);
}

/// A daemon behind a healed partition waited for others to tell it.
#[test]
fn heal_behind() {
    let ops = vec![
        Run(543),
        Ask(67, 19, 1),
        Part(59, true),
        Run(1249),
        Kill(250),
        Part(113, false),
        Run(2389),
        Change(0, 246),
    ];
    holds(6_116_800_499_968_950_234, ops);
}

/// A daemon that gave up was granted permits that it never gave back.
#[test]
fn grant_after_refusal() {
    let ops = vec![
        Lose(40),
        Claim(127, 5),
        Drop(54),
        Ask(255, 105, 3),
        Stop(136),
        Ask(188, 242, 1),
        Pause(127, 539),
        Start,
        Pause(148, 808),
        Run(216),
        Run(487),
        Run(44),
        Run(70),
        Start,
        Part(245, true),
        Run(402),
        Run(1785),
        Heal,
        Run(923),
        Ask(145, 213, 1),
    ];
    holds(994_788_853_719_635_598, ops);
}

/// A permit came before the snapshot that opened its upstream again.
#[test]
fn permit_before_snapshot() {
    let ops = vec![Change(90, 105), Stop(71), Ask(72, 58, 2), Run(902), Run(1258), Change(33, 225)];
    holds(10_489_597_778_257_177_911, ops);
}

/// A plain service got more than it bears after a pause, a partition and an outage.
#[test]
fn service_after_outage() {
    let ops = vec![
        Run(2856),
        Start,
        Run(3087),
        Run(1665),
        Pause(57, 3019),
        Run(1535),
        Lose(63),
        Part(90, false),
        Run(1665),
        Down(2692),
        Ask(11, 116, 1),
        Ask(5, 149, 4),
        Heal,
        Down(1260),
        Run(3737),
        Run(2738),
        Run(422),
        Run(1225),
        Run(1535),
    ];
    holds(14_667_982_480_296_233_849, ops);
}

/// A successor gave an order again that its predecessor's engine had done.
#[test]
fn order_given_again() {
    let ops = vec![
        Part(234, true),
        Run(614),
        Run(2471),
        Order(171, 23),
        Heal,
        Change(109, 66),
        Run(1535),
        Order(46, 121),
        Run(1928),
        Down(0),
        Run(1068),
        Run(2318),
        Order(26, 0),
        Start,
        Run(1132),
        Part(251, false),
        Run(2681),
    ];
    holds(4_446_924_861_648_017_913, ops);
}

/// Messages lost and late while a daemon leaves and a change is published.
#[test]
fn change_in_bad_weather() {
    let ops = vec![
        Stop(66),
        Ask(198, 42, 2),
        Drop(18),
        Run(770),
        Delay(546),
        Run(1535),
        Change(58, 78),
        Run(2152),
    ];
    holds(3_525_405_582_272_282_923, ops);
}

/// A daemon parted from the others took what it gained in two quick epochs for its own.
#[test]
fn own_before_waiting() {
    let ops = vec![
        Run(629),
        Run(3236),
        Run(2363),
        Ask(129, 0, 2),
        Run(1535),
        Ask(140, 154, 2),
        Run(3958),
        Run(3992),
        Ask(162, 74, 1),
        Run(1138),
        Run(2508),
        Run(2432),
        Ask(29, 187, 3),
        Run(2407),
        Claim(62, 4),
        Run(1433),
        Double(22),
        Run(885),
        Drop(45),
        Claim(122, 15),
        Ask(129, 138, 1),
        Run(116),
        Delay(275),
        Part(175, true),
        Ask(51, 60, 1),
        Run(1801),
    ];
    holds(9_569_381_361_881_462_986, ops);
}

/// A daemon without other calls took the service for down long after it was back.
#[test]
fn chunk_after_outage() {
    let ops = vec![
        Kill(29),
        Run(1468),
        Ask(105, 187, 1),
        Ask(92, 11, 3),
        Run(3181),
        Run(1535),
        Ask(195, 72, 5),
        Run(1931),
        Run(3024),
        Ask(94, 212, 3),
        Run(3349),
        Order(1, 51),
        Delay(634),
        Ask(0, 42, 1),
        Part(130, false),
        Run(3805),
        Ask(93, 230, 1),
        Run(3473),
        Slow(2827),
        Ask(18, 40, 1),
        Change(57, 39),
        Run(968),
        Claim(97, 8),
        Ask(185, 0, 1),
        Restart(181),
        Run(1757),
        Run(2547),
        Down(3656),
        Ask(229, 125, 1),
        Ask(7, 237, 1),
        Ask(65, 85, 1),
        Run(832),
        Run(1213),
    ];
    holds(1_559_177_964_474_910_299, ops);
}

/// A successor repeats an order to an engine that restarted since.
#[test]
fn order_after_restart() {
    let ops = vec![
        Run(667),
        Down(1999),
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
    holds(1, ops);
}

/// A daemon alone with the service took the others, who held on to one another, for gone.
#[test]
fn parted_alone_with_service() {
    let ops = vec![
        Part(150, true),
        Run(2191),
        Run(3979),
        Down(3218),
        Run(657),
        Run(430),
        Ask(197, 206, 2),
        Run(567),
        Ask(114, 218, 1),
        Run(1000),
    ];
    holds(11_674_237_205_868_410_337, ops);
}

/// A report from before the permits of a leaving owner were used hid what it handed over.
#[test]
fn report_before_start() {
    let ops = vec![Ask(1, 87, 4), Pause(17, 148), Ask(119, 220, 1), Ask(66, 211, 1), Stop(86)];
    holds(18_035_854_056_635_632_094, ops);
}

/// A daemon left alone in the epoch no longer asked witnesses of epochs further back.
#[test]
fn earlier_witnesses_asked() {
    let ops = vec![
        Stop(11),
        Run(362),
        Start,
        Run(441),
        Part(56, false),
        Run(1549),
        Part(231, true),
        Run(1139),
        Run(863),
    ];
    holds(13_106_783_087_983_372_518, ops);
}
