//! Tests of the software versions of streams that callers take up.

mod gateway_simulation;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use acacia_policy::gateway::call::{Resumption, content_hash};
use acacia_policy::gateway::gossip::{Digest, Note};
use acacia_policy::gateway::mesh::Detail;
use acacia_policy::gateway::{
    Attempt, Call, Ending, Gateway, Part, Plan, Prompt, Reason, Refusal, Step, View,
};
use acacia_policy::{Time, Verdict};

use gateway_simulation::{MODEL, terms, view};

const NOW: Time = Duration::from_secs(3_600);

/// A view of six engines, of which this number has the newer version.
fn mixed(newer: usize) -> View {
    let mut view = View { as_of: NOW, ..view(6) };
    for (id, server) in &mut view.servers {
        let is_newer =
            id.strip_prefix("es").is_some_and(|n| n.parse::<usize>().is_ok_and(|n| n < newer));
        Arc::make_mut(server).software = if is_newer { "v2" } else { "v1" }.into();
    }
    view
}

fn gateway(seed: u64, view: &View) -> Gateway {
    let mut gateway = Gateway::new(terms(1_000.0), seed);
    gateway.observe(NOW, Arc::new(view.clone()));
    gateway
}

/// A prompt that begins a stream, or takes one up.
fn call(id: &str, origin: Option<&str>) -> Call {
    let parts = [id, "own"].map(|part| Part { id: part.to_owned(), tokens: 400 });
    let prompt =
        Prompt { model: MODEL.into(), input_tokens: 800, output_tokens: 10, parts: parts.into() };
    Call {
        id: id.to_owned(),
        host: "svc.example".to_owned(),
        path: "/ask/".to_owned(),
        key: Some("key".to_owned()),
        timeout: Some(Duration::from_secs(5)),
        prompt: Some(prompt),
        content: content_hash("POST", "/ask/", b""),
        resumption: origin.map(|origin| Resumption { origin: Some(origin.to_owned()) }),
    }
}

/// Admits such a prompt.
fn admit(gateway: &mut Gateway, id: &str, origin: Option<&str>) -> Result<Plan, Refusal> {
    gateway.admit(NOW, call(id, origin))
}

fn send(gateway: &mut Gateway, plan: &mut Plan) -> Attempt {
    match gateway.next(NOW + Duration::from_secs(2), plan) {
        Step::Send(attempt) => *attempt,
        step => panic!("{step:?}"),
    }
}

/// Begins a stream; the version that began it.
fn begin(gateway: &mut Gateway, id: &str) -> Arc<str> {
    let mut plan = admit(gateway, id, None).expect("a valid request");
    let mut attempt = send(gateway, &mut plan);
    gateway.began(NOW, &plan, &mut attempt);
    attempt.server.software.clone()
}

/// The version at which a stream that is taken up goes on.
fn take_up(gateway: &mut Gateway, origin: &str) -> Result<Arc<str>, Reason> {
    let taken = admit(gateway, &format!("{origin}-again"), Some(origin));
    let mut plan = taken.map_err(|refusal| {
        assert_eq!(refusal.verdict, Verdict::NotRun);
        refusal.reason
    })?;
    Ok(send(gateway, &mut plan).server.software.clone())
}

fn digests(gateway: &mut Gateway) -> Option<Digest> {
    gateway.digest(NOW, Detail::All)
}

#[test]
fn admit_takes_stream_up_at_same_software() {
    let view = mixed(3);
    let (mut first, mut second) = (gateway(1, &view), gateway(2, &view));
    let ids: Vec<String> = (0..24).map(|number| format!("call-{number}")).collect();
    let begun: Vec<_> = ids.iter().map(|id| begin(&mut first, id)).collect();
    assert_eq!(begun.iter().collect::<BTreeSet<_>>().len(), 2, "both versions begin streams");
    assert_eq!(take_up(&mut second, &ids[0]), Err(Reason::UnknownStream));
    let digest = digests(&mut first).expect("streams began");
    second.receive(NOW, digest);
    for (id, software) in ids.iter().zip(&begun) {
        assert_eq!(take_up(&mut first, id).as_ref(), Ok(software), "{id}");
        assert_eq!(take_up(&mut second, id).as_ref(), Ok(software), "{id}");
    }
    assert_eq!(take_up(&mut second, "forged"), Err(Reason::UnknownStream));
}

/// Streams that began before a second version came are told when it comes.
#[test]
fn observe_tells_earlier_streams() {
    let (mut first, mut second) = (gateway(1, &mixed(0)), gateway(2, &mixed(0)));
    begin(&mut first, "call-1");
    assert!(digests(&mut first).expect("a load").notes.is_empty(), "one version needs no messages");
    assert_eq!(take_up(&mut second, "call-1").as_deref(), Ok("v1"));
    for gateway in [&mut first, &mut second] {
        gateway.observe(NOW, Arc::new(mixed(5)));
    }
    second.receive(NOW, digests(&mut first).expect("streams began"));
    assert_eq!(take_up(&mut second, "call-1").as_deref(), Ok("v1"));
}

/// Regression, DRAIN on Actas grown: at the start of a release all instances told each other all
/// streams of the last 30 s at once, which delayed what the metadata store had to say for seconds.
#[test]
fn observe_tells_no_answered_streams() {
    let mut gateway = gateway(1, &mixed(0));
    for number in 0..100 {
        let mut plan = admit(&mut gateway, &format!("call-{number}"), None).expect("is valid");
        let mut attempt = send(&mut gateway, &mut plan);
        gateway.began(NOW, &plan, &mut attempt);
        if number > 0 {
            gateway.ended(NOW, &mut plan, &attempt, Ending::Answered, Some(&attempt.server.id));
        }
    }
    gateway.observe(NOW, Arc::new(mixed(5)));
    let digest = digests(&mut gateway).expect("a stream is in progress");
    let told = digest.notes.iter().map(|note| match note {
        Note::Began(beginnings) => beginnings.0.len(),
        _ => 0,
    });
    assert_eq!(told.sum::<usize>(), 1);
}

/// Where messages go to hundreds of instances, streams are told in batches.
#[test]
fn digest_batches_streams_of_large_mesh() {
    let mut gateway = gateway(1, &mixed(3));
    let messages = (0..100).filter(|number| {
        let at = NOW + Duration::from_millis(15 * number);
        let mut plan = admit(&mut gateway, &format!("call-{number}"), None).expect("is valid");
        let mut attempt = send(&mut gateway, &mut plan);
        gateway.began(at, &plan, &mut attempt);
        gateway.ended(at, &mut plan, &attempt, Ending::Answered, Some(&attempt.server.id));
        let digest = gateway.digest(NOW, Detail::Large);
        let notes = digest.iter().flat_map(|digest| &digest.notes);
        notes.filter(|note| matches!(note, Note::Began(_))).count() > 0
    });
    assert!((4..=6).contains(&messages.count()), "one message in 250 ms");
}

/// A record of the metadata store shows a new instance that another version served before.
#[test]
fn admit_refuses_stream_of_unknown_software() {
    let mut view = mixed(0);
    assert_eq!(take_up(&mut gateway(1, &view), "call-1").as_deref(), Ok("v1"));
    let versions = ["v0", "v1"].map(Arc::from).into();
    view.software.insert("llm".into(), versions);
    assert_eq!(take_up(&mut gateway(1, &view), "call-1"), Err(Reason::UnknownStream));
}

/// Regression, ORDER of review case 2: an instance that the metadata store turned away took streams up at
/// the only version that it listed, although it had been told that another one began them.
#[test]
fn admit_believes_what_was_told_over_old_view() {
    let (mut first, mut second) = (gateway(1, &mixed(3)), gateway(2, &mixed(0)));
    let ids: Vec<String> = (0..24).map(|number| format!("call-{number}")).collect();
    let begun: Vec<_> = ids.iter().map(|id| begin(&mut first, id)).collect();
    second.receive(NOW, digests(&mut first).expect("streams began"));
    for (id, software) in ids.iter().zip(&begun) {
        let taken = match &**software {
            "v1" => Ok(software.clone()),
            _ => Err(Reason::NoUpstream),
        };
        assert_eq!(take_up(&mut second, id), taken, "{id}");
    }
}

/// Regression, ORDER of the users' own runs: an instance that was suspended, or that the metadata store did
/// not answer, took streams up at the only version that it listed, while another one had begun them.
#[test]
fn admit_refuses_unknown_stream_by_old_view() {
    let old = View { as_of: NOW - Duration::from_millis(1), ..mixed(0) };
    let mut gateway = gateway(1, &old);
    begin(&mut gateway, "own");
    assert_eq!(take_up(&mut gateway, "call-1"), Err(Reason::UnknownStream));
    assert_eq!(take_up(&mut gateway, "own").as_deref(), Ok("v1"), "it began here");
    gateway.observe(NOW, Arc::new(mixed(0)));
    assert_eq!(take_up(&mut gateway, "call-1").as_deref(), Ok("v1"), "the view is current");
}

/// A view is worth waiting for only if it tells the version, and if there will be one.
#[test]
fn awaits_view_of_unknown_stream() {
    let old = View { as_of: NOW - Duration::from_millis(1), ..mixed(0) };
    let awaits = |view: View, origin: &str| {
        let mut gateway = gateway(1, &view);
        begin(&mut gateway, "own");
        gateway.awaits_view(NOW, &call("again", Some(origin)))
    };
    assert!(awaits(old.clone(), "call-1"));
    assert!(!awaits(old.clone(), "own"), "its version is known");
    assert!(!awaits(mixed(0), "call-1"), "the view is current");
    assert!(!awaits(View { as_of: old.as_of, ..mixed(3) }, "call-1"), "two versions serve");
    let cut_off = |since| View { unavailable_since: Some(since), ..old.clone() };
    assert!(awaits(cut_off(NOW), "call-1"), "the next call may be answered");
    assert!(!awaits(cut_off(NOW - Duration::from_secs(1)), "call-1"), "there is no newer view");
    let (mut newer, mut second) = (gateway(2, &mixed(6)), gateway(3, &old));
    begin(&mut newer, "told");
    newer.observe(NOW, Arc::new(mixed(3)));
    second.receive(NOW, digests(&mut newer).expect("streams began"));
    assert!(second.awaits_view(NOW, &call("again", Some("told"))), "its version is not listed yet");
}

/// An instance without the metadata store tells the others its streams, as they may be without it too.
#[test]
fn observe_tells_streams_during_outage() {
    let cut_off = View { as_of: Time::ZERO, unavailable_since: Some(NOW), ..mixed(0) };
    let (mut first, mut second) = (gateway(1, &mixed(0)), gateway(2, &cut_off));
    begin(&mut first, "earlier");
    first.observe(NOW, Arc::new(cut_off));
    begin(&mut first, "later");
    second.receive(NOW, digests(&mut first).expect("streams began"));
    for id in ["earlier", "later"] {
        assert_eq!(take_up(&mut second, id).as_deref(), Ok("v1"), "{id}");
    }
    assert_eq!(take_up(&mut second, "other"), Err(Reason::UnknownStream));
}

/// A stream does not go on if no server of its version is left.
#[test]
fn admit_refuses_stream_of_departed_software() {
    let mut first = gateway(1, &mixed(6));
    begin(&mut first, "call-1");
    let mut view = mixed(0);
    view.software.insert("llm".into(), ["v1", "v2"].map(Arc::from).into());
    first.observe(NOW, Arc::new(view));
    let mut plan = admit(&mut first, "again", Some("call-1")).expect("its version is known");
    let Step::Refuse(refusal) = first.next(NOW, &mut plan) else { panic!("it goes on") };
    assert_eq!((refusal.reason, refusal.verdict), (Reason::NoUpstream, Verdict::NotRun));
}
