//! Streams whose engine fails: the caller receives each token exactly once.

use acacia_standin::{Counter, Fault};

use crate::system::{Plan, System, expected, read_stream, token_ids};

/// Tokens per answer.
const TOKENS: u32 = 40;

/// Sends one streamed and one unstreamed request, with every engine set to fail once for each.
async fn run_with_fault(fault: &Fault) -> System {
    let system = System::start(Plan::default()).await;
    for stream in [true, false] {
        for engine in &system.engines {
            engine.fault(fault.clone()).expect("engines know the fault");
        }
        let prompt = format!("a question, streamed: {stream}");
        let request = system.completion(0, &prompt, TOKENS, stream);
        let response = system.send_ok(0, request).await;
        if stream {
            assert_eq!(read_stream(response).await, (expected(&prompt, TOKENS), true));
        } else {
            assert_eq!(
                token_ids(&response.json().await.expect("a whole answer")),
                expected(&prompt, TOKENS)
            );
        }
    }
    system
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stream_broken() {
    let system = run_with_fault(&Fault::BrokenStream { token: 7, times: Some(1) }).await;
    assert!(system.at_engines(Counter::Broken) >= 2);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stream_broken_at_first_token() {
    let system = run_with_fault(&Fault::BrokenStream { token: 0, times: Some(1) }).await;
    assert!(system.at_engines(Counter::Broken) >= 2);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stream_chunk_of_other_run() {
    run_with_fault(&Fault::CrossedChunk { token: 9, times: 1 }).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stream_chunk_repeated() {
    run_with_fault(&Fault::DuplicateChunk { token: 11, times: 1 }).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stream_engine_restarted() {
    let system = System::start(Plan::default()).await;
    let request = system.completion(0, "a long answer", 200, true);
    let response = system.send_ok(0, request).await;
    system.until("tokens flow", |s| s.at_engines(Counter::TokensGenerated) > 20).await;
    let busy = |s: &&acacia_standin::engine::Handle| s.count(Counter::Started) > 0;
    system.engines.iter().find(busy).unwrap().fault(Fault::Restart).unwrap();
    assert_eq!(read_stream(response).await, (expected("a long answer", 200), true));
    assert_eq!(system.at_engines(Counter::Restarts), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stream_engine_unreachable() {
    let system = System::start(Plan::default()).await;
    let request = system.completion(1, "a long answer", 200, true);
    let response = system.send_ok(1, request).await;
    system.until("tokens flow", |s| s.at_engines(Counter::TokensGenerated) > 20).await;
    let busy = |s: &&acacia_standin::engine::Handle| s.count(Counter::Started) > 0;
    let busy = system.engines.iter().find(busy).unwrap();
    busy.fault(Fault::Unreachable { on: true }).unwrap();
    assert_eq!(read_stream(response).await, (expected("a long answer", 200), true));
}
