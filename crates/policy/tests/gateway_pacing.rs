//! Tests of when instances tell others of long prompts.

mod gateway_simulation;

use std::sync::Arc;
use std::time::Duration;

use acacia_policy::Time;
use acacia_policy::gateway::call::content_hash;
use acacia_policy::gateway::mesh::{Detail, Pacing};
use acacia_policy::gateway::{Attempt, Call, Gateway, Part, Prompt, Step};

use gateway_simulation::{MODEL, terms, view};

const NOW: Time = Duration::from_secs(3_600);
/// When prompts are sent: instances that start send nothing to cold upstreams before.
const LATER: Time = Duration::from_secs(3_602);
const LONG_TOKENS: u32 = 10_000;
const SHORT_TOKENS: u32 = 300;

fn gateway(seed: u64) -> Gateway {
    let mut gateway = Gateway::new(terms(1_000.0), seed);
    gateway.observe(NOW, Arc::new(view(6)));
    gateway
}

/// Sends a prompt of this size whose parts no other prompt has.
fn send(gateway: &mut Gateway, id: &str, tokens: u32) -> Attempt {
    let parts = [(id, tokens - 100), ("own", 100)];
    let parts = parts.map(|(part, tokens)| Part { id: format!("{part}-{id}"), tokens });
    let call = Call {
        id: id.to_owned(),
        host: "svc.example".to_owned(),
        path: "/ask/".to_owned(),
        key: Some("key".to_owned()),
        timeout: Some(Duration::from_secs(5)),
        prompt: Some(Prompt {
            model: MODEL.into(),
            input_tokens: tokens,
            output_tokens: 10,
            parts: parts.into(),
        }),
        content: content_hash("POST", "/ask/", b""),
        resumption: None,
    };
    let mut plan = gateway.admit(LATER, call).expect("a valid request");
    match gateway.next(LATER, &mut plan) {
        Step::Send(attempt) => *attempt,
        step => panic!("{step:?}"),
    }
}

/// A short prompt does not wake the exchange: hundreds of them a second would each cost a datagram.
#[test]
fn has_untold_prompt_only_long() {
    let mut gateway = gateway(1);
    send(&mut gateway, "short", SHORT_TOKENS);
    assert!(!gateway.has_untold_prompt());
    send(&mut gateway, "long", LONG_TOKENS);
    assert!(gateway.has_untold_prompt());
    gateway.digest(LATER, Detail::Large).expect("a digest");
    assert!(!gateway.has_untold_prompt(), "it was told");
}

/// Guards against short prompts that wait behind a long one of another instance: where that one was
/// told first, no short prompt is sent to its engine; untold, some are.
#[test]
fn choose_avoids_engine_of_told_long_prompt() {
    let behind = |is_told: bool| {
        let short = (0..40_u64).map(|seed| {
            let (mut other, mut own) = (gateway(2 * seed), gateway(2 * seed + 1));
            let long = send(&mut other, &format!("long{seed}"), LONG_TOKENS);
            if is_told {
                let digest = other.digest(LATER, Detail::Large).expect("a digest");
                own.receive(LATER, digest);
            }
            let short = send(&mut own, &format!("short{seed}"), SHORT_TOKENS);
            usize::from(short.server.id == long.server.id)
        });
        short.sum::<usize>()
    };
    let (told, untold) = (behind(true), behind(false));
    println!("{told} of 40 after a told long prompt, {untold} after an untold one");
    assert_eq!(told, 0);
    assert!(untold > 0, "the load that this test replays");
}

/// Small machines of earlier deployments go on batching.
#[test]
fn pacing_follows_machine_and_contention() {
    let small = Pacing::of(Some(10_000_000), Some(120), false);
    assert_eq!(small, Pacing::Batched);
    assert_eq!(Pacing::of(Some(200_000_000), Some(120), false), Pacing::Batched);
    assert_eq!(Pacing::of(None, None, false), Pacing::Batched, "settings that state no limits");
    assert_eq!(Pacing::of(Some(24_000_000), Some(290), false), Pacing::Immediate);
    assert_eq!(Pacing::of(Some(10_000_000), Some(120), true), Pacing::Immediate);
}
