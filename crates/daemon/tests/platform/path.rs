//! Instances without a path to the upstreams, while others have one.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use acacia_standin::cut::Cut;
use futures::future::join_all;

use crate::fixture::{Answer, Fixture, call};

/// Instances, and how many of them lose the path.
const INSTANCES: usize = 4;
const CUT: usize = 2;
/// Time after the start of a cut from which shares are compared.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Length of a cut.
const CUT_TIME: Duration = Duration::from_secs(9);
/// Time before and after a cut.
const OPEN_TIME: Duration = Duration::from_secs(3);
/// Time between two requests of a kind at an instance.
const SPACING: Duration = Duration::from_millis(400);
/// Time that a caller waits for its answer.
const DEADLINE: Duration = Duration::from_millis(2_500);

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Kind {
    Plain,
    Once,
    Prompt,
}

/// A caller's first attempt at a request.
struct Attempt {
    instance: usize,
    sent: Instant,
    took: Duration,
    status: u16,
    is_served: bool,
}

/// Regression, RECOVER on Actas Litoral: instances that had lost the path to all upstreams refused
/// all requests.
#[tokio::test(flavor = "multi_thread")]
async fn cut_instances_whose_connections_hang_serve_as_others() {
    check(Cut::Hang).await;
}

/// The same if connections are reset.
#[tokio::test(flavor = "multi_thread")]
async fn cut_instances_whose_connections_are_reset_serve_as_others() {
    check(Cut::Reset).await;
}

/// The same if open connections live on.
#[tokio::test(flavor = "multi_thread")]
async fn cut_instances_with_old_connections_serve_as_others() {
    check(Cut::RefuseNew).await;
}

/// Cuts some instances off for a while and compares how often callers are served.
async fn check(cut: Cut) {
    let fixture = Arc::new(Fixture::start_behind_proxies(INSTANCES).await);
    fixture.shorten_targets();
    let started = Instant::now();
    let load = tokio::spawn(load(fixture.clone(), INSTANCES, OPEN_TIME * 2 + CUT_TIME));
    tokio::time::sleep(OPEN_TIME).await;
    (0..CUT).for_each(|instance| fixture.cut(instance, cut));
    let began = Instant::now();
    tokio::time::sleep(CUT_TIME).await;
    (0..CUT).for_each(|instance| fixture.heal(instance));
    let ended = Instant::now();
    let attempts = load.await.unwrap();
    let share = |from: Instant, to: Instant, is_cut: bool| {
        let of = attempts.iter().filter(|a| (a.instance < CUT) == is_cut);
        let of: Vec<&Attempt> = of.filter(|a| (from..to).contains(&a.sent)).collect();
        (of.iter().filter(|a| a.is_served).count(), of.len())
    };
    let mut summary = format!("{cut:?}:");
    for (what, from, to) in [
        ("before", started, began),
        ("first 3 s", began, began + SETTLE_TIME),
        ("then", began + SETTLE_TIME, ended),
        ("after", ended, ended + OPEN_TIME),
    ] {
        let (own, others) = (share(from, to, true), share(from, to, false));
        summary += &format!(" {what} {}/{}, others {}/{};", own.0, own.1, others.0, others.1);
    }
    let late = |a: &&Attempt| a.sent >= began + SETTLE_TIME && a.sent < ended;
    let mut statuses = BTreeMap::<u16, usize>::new();
    for attempt in attempts.iter().filter(late).filter(|a| !a.is_served) {
        *statuses.entry(attempt.status).or_default() += 1;
    }
    let slowest = attempts.iter().filter(late).map(|a| a.took).max().unwrap_or_default();
    println!("{summary} not served: {statuses:?}, slowest answer {slowest:?}");
    let (own, own_all) = share(began + SETTLE_TIME, ended, true);
    let (others, others_all) = share(began + SETTLE_TIME, ended, false);
    assert!(others_all > 0 && others * 10 > others_all * 9, "{summary}");
    // Served at least two thirds as often as at the other instances.
    assert!(own * 3 * others_all >= others * 2 * own_all, "{summary}");
    let (healed, healed_all) = share(ended + Duration::from_secs(1), ended + OPEN_TIME, true);
    assert!(healed * 10 > healed_all * 9, "{summary}");
    check_runs(&fixture);
}

/// All instances are cut off at the same time.
#[tokio::test(flavor = "multi_thread")]
async fn all_instances_cut_whose_connections_hang_refuse_and_recover() {
    check_all(Cut::Hang).await;
}

/// The same if connections are reset.
#[tokio::test(flavor = "multi_thread")]
async fn all_instances_cut_whose_connections_are_reset_refuse_and_recover() {
    check_all(Cut::Reset).await;
}

/// Cuts all instances off for a while: requests end in good time, and are served again afterwards.
async fn check_all(cut: Cut) {
    let fixture = Arc::new(Fixture::start_behind_proxies(3).await);
    fixture.shorten_targets();
    let load = tokio::spawn(load(fixture.clone(), 3, OPEN_TIME + CUT_TIME + SETTLE_TIME * 2));
    tokio::time::sleep(OPEN_TIME).await;
    let began = Instant::now();
    (0..3).for_each(|instance| fixture.cut(instance, cut));
    tokio::time::sleep(CUT_TIME).await;
    (0..3).for_each(|instance| fixture.heal(instance));
    let ended = Instant::now();
    let attempts = load.await.unwrap();
    let late = attempts.iter().filter(|a| (began + SETTLE_TIME..ended).contains(&a.sent));
    let mut held: Vec<Duration> = late.map(|attempt| attempt.took).collect();
    held.sort_unstable();
    let (median, slow) = (held[held.len() / 2], held[held.len() * 9 / 10]);
    let healed: Vec<_> = attempts.iter().filter(|a| a.sent >= ended + SETTLE_TIME).collect();
    let served = healed.iter().filter(|attempt| attempt.is_served).count();
    println!(
        "{cut:?}: {} requests held for {median:?}, a tenth for over {slow:?}, the longest for {:?}; \
         served {served} of {} afterwards",
        held.len(),
        held[held.len() - 1],
        healed.len()
    );
    // Some are tried on the lost path, as only an answer shows that it is back.
    assert!(slow < DEADLINE / 2, "a tenth of the requests are held for over {slow:?}");
    assert!(served * 10 > healed.len() * 9, "served {served} of {} afterwards", healed.len());
    check_runs(&fixture);
}

/// The instance that a request is passed on to is stopped.
#[tokio::test(flavor = "multi_thread")]
async fn helper_is_stopped_cut_instance_serves_through_other() {
    check_helper(Fixture::terminate).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn helper_is_killed_cut_instance_serves_through_other() {
    check_helper(Fixture::kill).await;
}

/// Cuts one of three instances off and ends another one, while requests are sent to the first.
async fn check_helper(end: fn(&Fixture, usize)) {
    let fixture = Arc::new(Fixture::start_behind_proxies(3).await);
    fixture.shorten_targets();
    fixture.cut(0, Cut::Reset);
    let began = Instant::now();
    let load = tokio::spawn(load(fixture.clone(), 1, CUT_TIME));
    tokio::time::sleep(SETTLE_TIME).await;
    end(&fixture, 1);
    let attempts = load.await.unwrap();
    let late: Vec<&Attempt> = attempts.iter().filter(|a| a.sent >= began + SETTLE_TIME).collect();
    let served = late.iter().filter(|attempt| attempt.is_served).count();
    println!("{served} of {} served after the end of the other instance", late.len());
    assert!(served * 3 >= late.len() * 2, "{served} of {} served", late.len());
    check_runs(&fixture);
}

/// Checks that requests that may run once did not run twice.
fn check_runs(fixture: &Fixture) {
    let mut runs = BTreeMap::<String, usize>::new();
    for execution in fixture.seen().into_iter().filter(|seen| seen.id.starts_with("Once")) {
        *runs.entry(execution.id).or_default() += 1;
    }
    assert!(runs.values().all(|runs| *runs == 1), "a request that may run once ran twice");
}

/// Sends requests of all kinds to the first instances for a while.
async fn load(fixture: Arc<Fixture>, instances: usize, time: Duration) -> Vec<Attempt> {
    let started = Instant::now();
    let mut attempts = Vec::new();
    let mut number = 0;
    while started.elapsed() < time {
        for instance in 0..instances {
            for kind in [Kind::Plain, Kind::Once, Kind::Prompt] {
                number += 1;
                attempts.push(tokio::spawn(attempt(fixture.clone(), instance, kind, number)));
            }
        }
        tokio::time::sleep(SPACING).await;
    }
    join_all(attempts).await.into_iter().map(Result::unwrap).collect()
}

async fn attempt(fixture: Arc<Fixture>, instance: usize, kind: Kind, number: usize) -> Attempt {
    let sent = Instant::now();
    let (address, id) = (fixture.address(instance), format!("{kind:?}-{number}"));
    let mut headers = match kind {
        Kind::Prompt => fixture.prompt(&id, number),
        Kind::Plain | Kind::Once => fixture.headers(&id),
    };
    headers.retain(|(name, _)| *name != "x-deadline-ms");
    headers.push(("x-deadline-ms", DEADLINE.as_millis().to_string()));
    let answer = match kind {
        Kind::Plain => call(address, "GET", "/read/page", &headers, b"").await,
        Kind::Once => call(address, "POST", "/charge/", &headers, b"12345").await,
        Kind::Prompt => call(address, "POST", "/ask/", &headers, b"x").await,
    };
    let is_whole = kind != Kind::Prompt || answer.event_ids() == fixture.all_events();
    assert!(
        answer.status != 200 || is_whole || !answer.is_complete,
        "{id} is incomplete, but looks complete"
    );
    let Answer { status, is_complete, .. } = answer;
    let is_served = status == 200 && is_complete && is_whole;
    Attempt { instance, sent, took: sent.elapsed(), status, is_served }
}
