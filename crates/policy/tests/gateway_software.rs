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
    let mut view = view(6);
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

/// Admits a prompt that begins a stream, or takes one up.
fn admit(gateway: &mut Gateway, id: &str, origin: Option<&str>) -> Result<Plan, Refusal> {
    let parts = [id, "own"].map(|part| Part { id: part.to_owned(), tokens: 400 });
    let prompt =
        Prompt { model: MODEL.into(), input_tokens: 800, output_tokens: 10, parts: parts.into() };
    gateway.admit(
        NOW,
        Call {
            id: id.to_owned(),
            host: "svc.example".to_owned(),
            path: "/ask/".to_owned(),
            key: Some("key".to_owned()),
            timeout: Some(Duration::from_secs(5)),
            prompt: Some(prompt),
            content: content_hash("POST", "/ask/", b""),
            resumption: origin.map(|origin| Resumption { origin: Some(origin.to_owned()) }),
        },
    )
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
