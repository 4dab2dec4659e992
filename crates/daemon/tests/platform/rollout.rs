//! Orders to move services to a new software version.

mod scene;

use std::time::Duration;

use acacia_standin::Fault;
use acacia_standin::platform::release::{Flaw, Onset, Symptom};
use futures::future::join_all;
use tokio::time::Instant;

use crate::fixture;
use scene::{APP, Case, LLM, Scene};

/// Duration of an order.
const DURATION: Duration = Duration::from_secs(10);
/// Duration of an order whose version turns bad late.
const LONG_DURATION: Duration = Duration::from_secs(12);
/// Time from the order until something happens in the middle of it.
const MIDDLE: Duration = Duration::from_secs(4);
/// Time from the order until a version turns bad late.
const LATE: Duration = Duration::from_secs(6);
/// Time from the begin of the store's silence until a version turns bad.
const SILENCE: Duration = Duration::from_secs(1);
/// Time without a request after which a version gets no more of them. Some of its answers fail, for
/// which a server is avoided for some seconds anyway; that must not pass for a roll-back.
const QUIET_TIME: Duration = Duration::from_secs(10);

/// Only one test at a time has a deployment.
static TURN: tokio::sync::Mutex<()> = tokio::sync::Mutex::const_new(());

/// A good version.
fn good(service: usize) -> Case {
    Case { service, duration: DURATION, flaw: None }
}

/// A version of which this share of the answers fails.
fn failing(service: usize, share: f64, onset: Onset) -> Case {
    let flaw = Flaw { symptom: Symptom::Failure, share, onset, prefix: None };
    Case { service, duration: DURATION, flaw: Some(flaw) }
}

/// Nothing happens in the middle of an order.
async fn nothing(_: &Scene) {}

/// Runs orders for good versions, with something in the middle.
async fn complete(cases: &[Case], in_middle: impl AsyncFn(&Scene)) {
    let _turn = TURN.lock().await;
    let scene = Scene::start().await;
    let events = async {
        let ordered = scene.order(cases).await;
        tokio::time::sleep_until(ordered + MIDDLE).await;
        in_middle(&scene).await;
        join_all(cases.iter().map(|case| scene.end(*case, ordered))).await;
        ordered
    };
    let ordered = scene.run(events).await;
    cases.iter().for_each(|case| scene.check_completed(*case, ordered));
    scene.fixture.stop().await;
}

/// Runs an order for a bad version, with something in the middle.
async fn roll_back(case: Case, in_middle: impl AsyncFn(&Scene)) {
    let _turn = TURN.lock().await;
    let scene = Scene::start().await;
    let events = async {
        let ordered = scene.order(&[case]).await;
        tokio::time::sleep_until(ordered + MIDDLE).await;
        in_middle(&scene).await;
        scene.end(case, ordered).await;
        ordered
    };
    let ordered = scene.run(events).await;
    scene.check_rolled_back(case, ordered);
    scene.fixture.stop().await;
}

/// Guards against good versions that are never completed, and against non-idempotent requests or
/// streams that are still at old servers when these stop.
#[tokio::test(flavor = "multi_thread")]
async fn version_good_is_completed() {
    complete(&[good(APP), good(LLM)], nothing).await;
}

/// Guards against a bad version that gets its full share before anything is known of it.
#[tokio::test(flavor = "multi_thread")]
async fn version_bad_at_once_is_rolled_back() {
    roll_back(failing(APP, 0.5, Onset::Immediate), nothing).await;
}

/// Guards against a share that grows, as a version is good for a while, before it turns bad.
#[tokio::test(flavor = "multi_thread")]
async fn version_bad_late_is_rolled_back() {
    let case = failing(APP, 0.6, Onset::Later(LATE));
    roll_back(Case { duration: LONG_DURATION, ..case }, nothing).await;
}

/// Guards against a verdict over all routes, in which the sound ones hide the bad one.
#[tokio::test(flavor = "multi_thread")]
async fn version_bad_on_one_route_is_rolled_back() {
    let prefix = Some("/charge/");
    let flaw = Flaw { symptom: Symptom::Failure, share: 0.7, onset: Onset::Immediate, prefix };
    roll_back(Case { service: APP, duration: LONG_DURATION, flaw: Some(flaw) }, nothing).await;
}

/// Guards against a verdict on failures only.
#[tokio::test(flavor = "multi_thread")]
async fn version_slower_is_rolled_back() {
    let symptom = Symptom::Slowness(3.0);
    let flaw = Flaw { symptom, share: 1.0, onset: Onset::Immediate, prefix: None };
    roll_back(Case { service: APP, duration: LONG_DURATION, flaw: Some(flaw) }, nothing).await;
}

/// Guards against a verdict that leaves out streams and engines.
#[tokio::test(flavor = "multi_thread")]
async fn version_bad_of_engines_is_rolled_back() {
    let case = failing(LLM, 0.7, Onset::Immediate);
    roll_back(Case { duration: LONG_DURATION, ..case }, nothing).await;
}

/// Guards against a completion that is known to the holder of the order lease only.
#[tokio::test(flavor = "multi_thread")]
async fn holder_killed_good_version_is_completed() {
    complete(&[good(APP)], Scene::kill_holder).await;
}

/// Guards against evidence and a verdict that are lost with the holder of the order lease.
#[tokio::test(flavor = "multi_thread")]
async fn holder_killed_bad_version_is_rolled_back() {
    let case = failing(APP, 0.6, Onset::Requests(10));
    roll_back(Case { duration: LONG_DURATION, ..case }, Scene::kill_holder).await;
}

/// Guards against a roll-back that takes effect only after it is written to the metadata store.
#[tokio::test(flavor = "multi_thread")]
async fn store_silent_bad_version_gets_no_more_requests() {
    let _turn = TURN.lock().await;
    let scene = Scene::start().await;
    let case = failing(APP, 0.6, Onset::Immediate);
    let service = &scene.services[APP];
    let events = async {
        let ordered = scene.order(&[Case { flaw: None, ..case }]).await;
        tokio::time::sleep_until(ordered + MIDDLE).await;
        scene.fixture.store.fault(Fault::Frozen { on: true }).unwrap();
        tokio::time::sleep(SILENCE).await;
        service.new_release().set_flaw(case.flaw);
        fixture::eventually("the bad version gets no more requests", async || {
            let record = service.new_release().record();
            let quiet_from = Instant::now() - QUIET_TIME;
            !record.failures.is_empty() && record.count(quiet_from, Instant::now()) == 0
        })
        .await;
        let quiet_from = Instant::now() - QUIET_TIME;
        assert!(service.old_release().record().count(quiet_from, Instant::now()) > 0);
        scene.fixture.store.fault(Fault::Frozen { on: false }).unwrap();
        scene.end(case, ordered).await;
        assert_eq!(service.new_release().record().count(quiet_from, Instant::now()), 0);
        ordered
    };
    let ordered = scene.run(events).await;
    scene.check_rolled_back(case, ordered);
    scene.fixture.stop().await;
}

/// Guards against rollouts that change anything where no order asks for one.
#[tokio::test(flavor = "multi_thread")]
async fn order_absent_nothing_changes() {
    let _turn = TURN.lock().await;
    let scene = Scene::start().await;
    let events = async {
        for service in &scene.services {
            service.start(&scene.fixture, 1).await;
        }
        let begin = Instant::now();
        tokio::time::sleep(MIDDLE).await;
        begin
    };
    let begin = scene.run(events).await;
    for service in &scene.services {
        assert_eq!(service.state(), None, "{}", service.name);
        for release in [service.old_release(), service.new_release()] {
            let count = release.record().count(begin, Instant::now());
            println!("{} {}: {count} requests", service.name, release.version());
            assert!(count > 0, "{} {}", service.name, release.version());
        }
    }
    scene.check_all_served();
    scene.fixture.stop().await;
}
