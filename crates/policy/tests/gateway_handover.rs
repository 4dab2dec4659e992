//! Tests of what an instance that starts gets from others.

mod gateway_simulation;

use std::sync::Arc;
use std::time::Duration;

use acacia_policy::Time;
use acacia_policy::gateway::call::{Resumption, content_hash};
use acacia_policy::gateway::handover::Part as Fact;
use acacia_policy::gateway::notice::Notice;
use acacia_policy::gateway::statement::Statement;
use acacia_policy::gateway::{Call, Gateway, Part, Prompt, Reason, Step, View};

use gateway_simulation::{MODEL, terms, view};

const NOW: Time = Duration::from_secs(3_600);
/// When requests are sent: instances that start send nothing to cold upstreams before.
const LATER: Time = Duration::from_secs(3_602);

/// A view of six engines, of which three have a newer version.
fn mixed() -> View {
    let mut view = View { as_of: NOW, ..view(6) };
    for (number, server) in view.servers.values_mut().enumerate() {
        Arc::make_mut(server).software = if number % 2 == 0 { "v1" } else { "v2" }.into();
    }
    view
}

fn gateway(seed: u64, view: &View) -> Gateway {
    let mut gateway = Gateway::new(terms(1_000.0), seed);
    gateway.observe(NOW, Arc::new(view.clone()));
    gateway
}

fn call(id: &str, origin: Option<&str>) -> Call {
    let parts = [id, "own"].map(|part| Part { id: part.to_owned(), tokens: 400 });
    Call {
        id: id.to_owned(),
        host: "svc.example".to_owned(),
        path: "/ask/".to_owned(),
        key: Some("key".to_owned()),
        timeout: Some(Duration::from_secs(5)),
        prompt: Some(Prompt {
            model: MODEL.into(),
            input_tokens: 800,
            output_tokens: 10,
            parts: parts.into(),
        }),
        content: content_hash("POST", "/ask/", b""),
        resumption: origin.map(|origin| Resumption { origin: Some(origin.to_owned()) }),
    }
}

/// Begins a stream at an instance; the version that began it.
fn begin(gateway: &mut Gateway, now: Time, id: &str) -> Arc<str> {
    let mut plan = gateway.admit(now, call(id, None)).expect("a valid request");
    match gateway.next(LATER.max(now), &mut plan) {
        Step::Send(mut attempt) => {
            gateway.began(now, &plan, &mut attempt);
            attempt.server.software.clone()
        }
        step => panic!("{step:?}"),
    }
}

/// The version that a stream must go on at, or why it can't.
fn origin(gateway: &mut Gateway, now: Time, id: &str) -> Result<Option<Arc<str>>, Reason> {
    let plan = gateway.admit(now, call(&format!("{id}-again"), Some(id)));
    plan.map(|plan| plan.software).map_err(|refusal| refusal.reason)
}

/// Hands over what one instance knows to another; the number of facts.
fn hand_over(now: Time, from: &mut Gateway, to: &mut Gateway) -> usize {
    let facts = from.handover(now, true).into_iter();
    facts.map(|fact| to.receive_handover(now, 7, fact)).sum()
}

/// Guards against review/5: what an instance was told before it started it never learned.
#[test]
fn receive_handover_takes_up_stream() {
    let view = mixed();
    let (mut old, mut new) = (gateway(1, &view), gateway(2, &view));
    let software = begin(&mut old, NOW, "a");
    assert_eq!(origin(&mut new, NOW, "a"), Err(Reason::UnknownStream));
    assert_eq!(hand_over(NOW, &mut old, &mut new), 1);
    assert_eq!(origin(&mut new, NOW, "a"), Ok(Some(software)));
}

/// Instances are restarted in turn, so the last one to start is told by ones that were told.
#[test]
fn receive_handover_through_new_instance() {
    let view = mixed();
    let (mut old, mut middle, mut new) = (gateway(1, &view), gateway(2, &view), gateway(3, &view));
    let software = begin(&mut old, NOW, "a");
    hand_over(NOW, &mut old, &mut middle);
    hand_over(NOW, &mut middle, &mut new);
    assert_eq!(origin(&mut new, NOW, "a"), Ok(Some(software)));
}

/// A stream keeps its age, so that a fact isn't passed on for ever.
#[test]
fn receive_handover_keeps_age() {
    let view = mixed();
    let (mut old, mut middle, mut new) = (gateway(1, &view), gateway(2, &view), gateway(3, &view));
    begin(&mut old, NOW, "a");
    assert_eq!(hand_over(NOW + Duration::from_secs(3), &mut old, &mut middle), 1);
    // The route's timeout is 5 s.
    assert_eq!(hand_over(NOW + Duration::from_secs(6), &mut middle, &mut new), 0);
}

/// A stream that was answered to its end can't be taken up.
#[test]
fn handover_leaves_out_ended_stream() {
    let view = mixed();
    let (mut old, mut new) = (gateway(1, &view), gateway(2, &view));
    let mut plan = old.admit(NOW, call("a", None)).expect("a valid request");
    let Step::Send(mut attempt) = old.next(LATER, &mut plan) else { panic!("not sent") };
    old.began(LATER, &plan, &mut attempt);
    old.ended(LATER, &mut plan, &attempt, acacia_policy::gateway::Ending::Answered, None);
    assert_eq!(hand_over(LATER, &mut old, &mut new), 0);
}

/// While one version serves, nothing needs to be known, and hundreds of instances start at once.
#[test]
fn handover_single_version_is_small() {
    let view = View { as_of: NOW, ..view(6) };
    let mut old = gateway(1, &view);
    for number in 0..6 {
        begin(&mut old, NOW, &format!("s{number}"));
    }
    let facts = old.handover(NOW, true);
    assert!(matches!(facts[..], [Fact::Source { is_informed: true, .. }]), "{facts:?}");
}

/// An instance that has just started isn't taken for one that knows all.
#[test]
fn handover_new_instance_is_not_informed() {
    let view = mixed();
    let facts = gateway(1, &view).handover(NOW, false);
    assert!(matches!(facts[0], Fact::Source { is_informed: false, .. }));
    let facts = gateway(1, &view).handover(NOW + Duration::from_secs(31), false);
    assert!(matches!(facts[0], Fact::Source { is_informed: true, .. }));
}

/// What an upstream stated must hold for an instance before its own first answer.
fn statement_is_handed_over(notice: Notice, known: impl Fn(&Gateway, &str) -> bool) {
    let view = mixed();
    let (mut old, mut new) = (gateway(1, &view), gateway(2, &view));
    let (id, server) = view.servers.first_key_value().expect("six engines");
    old.heard(NOW, NOW, server, notice);
    assert!(known(&old, id) && !known(&new, id));
    assert_eq!(hand_over(NOW, &mut old, &mut new), 1);
    assert!(known(&new, id));
}

/// An instance that had just started sent without limit until the next full digest of the others.
#[test]
fn receive_handover_limits_rate() {
    let notice = Notice { limit: Statement::Limited(3.0), ..Notice::default() };
    statement_is_handed_over(notice, |gateway, id| {
        gateway.member(id).is_some_and(|member| member.is_limited(NOW))
    });
}

/// An instance that had just started made brittle upstreams fall over, until the next full digest of
/// the others.
#[test]
fn receive_handover_states_brittleness() {
    let notice = Notice { tolerance: Statement::Limited(2.0), ..Notice::default() };
    statement_is_handed_over(notice, |gateway, id| {
        let member = gateway.member(id);
        member.is_some_and(|member| member.standing.tolerance.in_force(NOW) == Some(2.0))
    });
}

/// An instance that had just started sent to an upstream that had said that it leaves.
#[test]
fn receive_handover_states_leaving() {
    let notice = Notice { is_leaving: true, ..Notice::default() };
    statement_is_handed_over(notice, |gateway, id| {
        gateway.member(id).is_some_and(acacia_policy::gateway::Member::is_leaving)
    });
}
