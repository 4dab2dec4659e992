//! Tests of the engine over HTTP: answers, timing model, cache, cold start, orders and faults.

mod http;

use std::collections::BTreeSet;
use std::time::Duration;

use acacia_catalog::tokenizer::{Token, Tokenizer};
use acacia_standin::engine::cache::block_body;
use acacia_standin::engine::wire::{Chunk, Finish};
use acacia_standin::engine::{Handle, Settings, answer, start, weights};
use acacia_standin::{Counter, Fault};
use http::{Reply, get, post, put};
use serde_json::{Value, json};

/// High enough that no test waits noticeably for model time.
const SCALE: f64 = 10_000.0;
const BLOCK: usize = 2_000;

fn settings() -> Settings {
    Settings { scale: SCALE, ..Settings::default() }
}

async fn engine() -> Handle {
    start(settings()).await.expect("a free loopback port")
}

fn prompt(tokens: usize) -> Vec<Token> {
    (0..tokens as Token).collect()
}

fn key(number: u8) -> String {
    blake3::Hash::from_bytes([number; 32]).to_hex().to_string()
}

/// A completion of `n` tokens after `prompt`, with numbered block keys.
fn completion(prompt: &[Token], n: usize, stream: bool) -> Value {
    let keys: Vec<_> = (0..prompt.len() / BLOCK).map(|i| key(i as u8)).collect();
    json!({"model": "model", "prompt": prompt, "max_tokens": n, "stream": stream,
           "version": "v1", "block_keys": keys})
}

async fn complete(engine: &Handle, id: &str, body: &Value) -> Reply {
    post(engine.address, "/v1/completions", id, body).await
}

/// Tokens of a stream; checks that all chunks have the attempt id and consecutive offsets.
fn tokens(chunks: &[Chunk], id: &str, first: u32) -> Vec<Token> {
    let mut offset = first;
    let mut tokens = Vec::new();
    for chunk in chunks {
        assert_eq!((chunk.id.as_str(), chunk.offset), (id, offset));
        offset += chunk.choices[0].token_ids.len() as u32;
        tokens.extend(&chunk.choices[0].token_ids);
    }
    tokens
}

#[test]
fn answer_continues() {
    let mut prompt = prompt(100);
    let whole = answer("v1", &prompt, 20);
    prompt.extend(&whole[..7]);
    assert_eq!(answer("v1", &prompt, 13), whole[7..]);
    assert_ne!(answer("v2", &prompt, 13), whole[7..]);
    assert_ne!(answer(&weights("v1", Some("a")), &prompt, 13), whole[7..]);
    let text = Tokenizer::QuadByte.decode(&whole);
    let text = String::from_utf8(text).unwrap();
    assert_eq!(text.len(), 80);
    assert_eq!(Tokenizer::QuadByte.encode(&text), whole);
}

#[tokio::test]
async fn complete_unstreamed() {
    let engine = engine().await;
    let reply = complete(&engine, "one", &completion(&prompt(50), 8, false)).await;
    let chunk: Chunk = reply.json();
    assert_eq!((chunk.id.as_str(), chunk.offset), ("one", 0));
    assert_eq!(chunk.choices[0].token_ids, answer("v1", &prompt(50), 8));
    assert_eq!(chunk.choices[0].finish_reason, Some(Finish::Length));
    let usage = chunk.usage.unwrap();
    assert_eq!((usage.prompt_tokens, usage.completion_tokens), (50, 8));
    assert_eq!(reply.header("x-request-id"), "one");
    assert_eq!(reply.header("x-incarnation"), "1");
    assert_eq!((engine.count(Counter::Started), engine.count(Counter::Finished)), (1, 1));
}

#[tokio::test]
async fn complete_stream() {
    let engine = engine().await;
    let reply = complete(&engine, "one", &completion(&prompt(50), 8, true)).await;
    let (chunks, done) = reply.events();
    assert!(done);
    assert_eq!(chunks.len(), 8);
    assert_eq!(tokens(&chunks, "one", 0), answer("v1", &prompt(50), 8));
    let finishes: Vec<_> = chunks.iter().filter_map(|c| c.choices[0].finish_reason).collect();
    assert_eq!(finishes, [Finish::Length]);
    assert!(chunks[7].usage.is_some());
}

#[tokio::test]
async fn complete_text_with_adapter() {
    let adapters = vec!["legal".to_owned()];
    let engine = start(Settings { adapters, ..settings() }).await.unwrap();
    let body = json!({"model": "model", "prompt": "A council record.", "adapter": "legal"});
    let chunk: Chunk = complete(&engine, "one", &body).await.json();
    let prompt = Tokenizer::QuadByte.encode("A council record.");
    assert_eq!(chunk.choices[0].token_ids, answer(&weights("v1", Some("legal")), &prompt, 16));
    let body = json!({"model": "model", "prompt": "A", "adapter": "other"});
    complete(&engine, "two", &body).await.expect_error(404, "unknown_adapter");
}

#[tokio::test]
async fn complete_invalid() {
    let engine = engine().await;
    let mut body = completion(&prompt(3), 1, false);
    complete(&engine, "", &body).await.expect_error(400, "bad_request");
    body["version"] = json!("v2");
    complete(&engine, "one", &body).await.expect_error(409, "wrong_version");
    body["model"] = json!("other");
    complete(&engine, "one", &body).await.expect_error(404, "unknown_model");
    body["block_keys"] = json!(["short"]);
    body["model"] = json!("model");
    body["version"] = json!("v1");
    complete(&engine, "one", &body).await.expect_error(400, "bad_request");
    complete(&engine, "one", &json!({"model": 7})).await.expect_error(400, "bad_request");
    assert_eq!(engine.count(Counter::Started), 0);
}

#[tokio::test]
async fn cache_returning_prompt() {
    let engine = engine().await;
    let cached = async |id: &str, tokens: usize| {
        let chunk: Chunk =
            complete(&engine, id, &completion(&prompt(tokens), 1, false)).await.json();
        chunk.usage.unwrap().prompt_tokens_details.cached_tokens as usize
    };
    assert_eq!(cached("one", 4_500).await, 0);
    assert_eq!(cached("two", 6_100).await, 4_000);
    // The last token of a prompt is always computed.
    assert_eq!(cached("three", 6_000).await, 5_999);
    assert_eq!(engine.count(Counter::PromptTokensCached), 9_999);
    assert_eq!(engine.count(Counter::PromptTokensComputed), 4_500 + 2_100 + 1);
}

#[tokio::test]
async fn cache_evicts_end_first() {
    let engine = start(Settings { cache_tokens: 3 * BLOCK, ..settings() }).await.unwrap();
    complete(&engine, "one", &completion(&prompt(3 * BLOCK), 1, false)).await;
    put(engine.address, &format!("/v1/kv/{}", key(9)), &block_headers(9, "v1"), block(9, "v1"))
        .await;
    let chunk: Chunk =
        complete(&engine, "two", &completion(&prompt(3 * BLOCK), 1, false)).await.json();
    assert_eq!(chunk.usage.unwrap().prompt_tokens_details.cached_tokens, 4_000);
}

#[tokio::test]
async fn cache_wrong_prefix() {
    let engine = engine().await;
    complete(&engine, "one", &completion(&prompt(BLOCK), 1, false)).await;
    let mut other = prompt(BLOCK);
    other[0] += 1;
    complete(&engine, "two", &completion(&other, 1, false)).await;
    assert_eq!(engine.count(Counter::WrongPrefixRead), 1);
}

#[tokio::test]
async fn events_lag_and_gaps() {
    let gaps = Settings { event_gap_every: 2, event_lag: Duration::ZERO, ..settings() };
    let engine = start(gaps).await.unwrap();
    complete(&engine, "one", &completion(&prompt(4 * BLOCK), 1, false)).await;
    let events: Value = get(engine.address, "/v1/events?after=0").await.json();
    let seqs: Vec<_> =
        events["events"].as_array().unwrap().iter().map(|e| e["seq"].clone()).collect();
    assert_eq!((json!(seqs), &events["next"]), (json!([1, 3]), &json!(3)));
    let rest: Value = get(engine.address, "/v1/events?after=1").await.json();
    assert_eq!(rest["events"].as_array().unwrap().len(), 1);
    let late = Settings { event_lag: Duration::from_secs(3_600), scale: 1.0, ..settings() };
    let engine = start(late).await.unwrap();
    complete(&engine, "one", &completion(&prompt(BLOCK), 1, false)).await;
    let events: Value = get(engine.address, "/v1/events?after=0").await.json();
    assert_eq!(events["events"], json!([]));
}

fn block(number: u8, version: &str) -> bytes::Bytes {
    block_body(&[number; 32], version)
}

fn block_headers(number: u8, version: &str) -> Vec<(&'static str, String)> {
    vec![
        ("x-version", version.to_owned()),
        ("x-checksum", blake3::hash(&block(number, version)).to_hex().to_string()),
        ("x-logical-bytes", "1000".to_owned()),
    ]
}

#[tokio::test]
async fn kv_export_import() {
    let (from, to) = (engine().await, engine().await);
    complete(&from, "one", &completion(&prompt(BLOCK), 1, false)).await;
    let path = format!("/v1/kv/{}", key(0));
    let exported = get(from.address, &path).await;
    assert_eq!(exported.body, block(0, "v1"));
    let mut headers = Vec::new();
    for name in ["x-version", "x-checksum", "x-logical-bytes"] {
        headers.push((name, exported.header(name).to_owned()));
    }
    assert_eq!(put(to.address, &path, &headers, exported.body).await.status, 200);
    let chunk: Chunk = complete(&to, "two", &completion(&prompt(BLOCK + 5), 1, false)).await.json();
    assert_eq!(chunk.usage.unwrap().prompt_tokens_details.cached_tokens, 2_000);
    assert_eq!(to.count(Counter::ImportedBytes), from.count(Counter::ExportedBytes));
    assert_eq!(to.count(Counter::WrongBlockRead), 0);
    get(from.address, &format!("/v1/kv/{}", key(5))).await.expect_error(404, "unknown");
}

#[tokio::test]
async fn kv_import_invalid() {
    let engine = engine().await;
    let path = format!("/v1/kv/{}", key(1));
    let other = put(engine.address, &path, &block_headers(1, "v2"), block(1, "v2")).await;
    other.expect_error(409, "wrong_version");
    let torn = put(engine.address, &path, &block_headers(1, "v1"), block(1, "v1").slice(..9)).await;
    torn.expect_error(422, "bad_checksum");
    assert_eq!(engine.count(Counter::Imports), 0);
    let alien = put(engine.address, &path, &block_headers(2, "v1"), block(2, "v1")).await;
    assert_eq!(alien.status, 200);
    assert_eq!(engine.count(Counter::WrongBlockRead), 1);
}

#[tokio::test]
async fn stream_resumed() {
    let engine = engine().await;
    engine.fault(Fault::BrokenStream { token: 5, times: Some(1) }).unwrap();
    let reply = complete(&engine, "one", &completion(&prompt(50), 12, true)).await;
    assert!(reply.disconnected);
    let (chunks, done) = reply.events();
    assert!(!done);
    let mut all = tokens(&chunks, "one", 0);
    assert_eq!(all.len(), 5);
    let body = json!({"request_id": "one", "offset": 5});
    let (chunks, done) = post(engine.address, "/v1/resume", "two", &body).await.events();
    assert!(done);
    all.extend(tokens(&chunks, "two", 5));
    assert_eq!(all, answer("v1", &prompt(50), 12));
    assert_eq!(engine.count(Counter::PromptTokensComputed), 50);
    assert_eq!((engine.count(Counter::Broken), engine.count(Counter::Resumed)), (1, 1));
    let unknown = json!({"request_id": "nine", "offset": 5});
    let reply = post(engine.address, "/v1/resume", "three", &unknown).await;
    reply.expect_error(404, "unknown_request");
}

#[tokio::test]
async fn stream_broken_repeatedly() {
    let engine = engine().await;
    engine.fault(Fault::BrokenStream { token: 0, times: None }).unwrap();
    for id in ["one", "two", "three"] {
        assert!(complete(&engine, id, &completion(&prompt(5), 3, true)).await.disconnected);
    }
    engine.fault(Fault::BrokenStream { token: 0, times: Some(0) }).unwrap();
    assert!(!complete(&engine, "four", &completion(&prompt(5), 3, true)).await.disconnected);
}

#[tokio::test]
async fn stream_crossed_chunk() {
    let engine = engine().await;
    engine.fault(Fault::CrossedChunk { token: 2, times: 1 }).unwrap();
    let (chunks, _) = complete(&engine, "one", &completion(&prompt(5), 4, true)).await.events();
    let ids: Vec<_> = chunks.iter().map(|chunk| chunk.id == "one").collect();
    assert_eq!(ids, [true, true, false, true, true]);
    assert_ne!(chunks[2].choices[0].token_ids, chunks[3].choices[0].token_ids);
}

#[tokio::test]
async fn stream_duplicate_chunk() {
    let engine = engine().await;
    engine.fault(Fault::DuplicateChunk { token: 1, times: 1 }).unwrap();
    let (chunks, _) = complete(&engine, "one", &completion(&prompt(5), 3, true)).await.events();
    let offsets: Vec<_> = chunks.iter().map(|chunk| chunk.offset).collect();
    assert_eq!(offsets, [0, 1, 1, 2]);
}

#[tokio::test]
async fn answer_truncated() {
    let engine = engine().await;
    engine.fault(Fault::TruncatedAnswer { times: 2 }).unwrap();
    let reply = complete(&engine, "one", &completion(&prompt(5), 3, false)).await;
    assert!(!reply.disconnected && serde_json::from_slice::<Chunk>(&reply.body).is_err());
    let reply = complete(&engine, "two", &completion(&prompt(5), 3, true)).await;
    assert!(!reply.disconnected && !reply.events().1);
    assert!(complete(&engine, "three", &completion(&prompt(5), 3, true)).await.events().1);
}

#[tokio::test]
async fn answer_lost() {
    let engine = engine().await;
    engine.fault(Fault::LostAnswer { times: 1 }).unwrap();
    assert!(complete(&engine, "one", &completion(&prompt(5), 3, false)).await.disconnected);
    assert_eq!(engine.count(Counter::Finished), 1);
}

/// An engine whose requests never complete.
async fn endless(settings: Settings) -> Handle {
    let decode_per_token = Duration::from_secs(3_600) * SCALE as u32;
    start(Settings { decode_per_token, ..settings }).await.expect("a free loopback port")
}

async fn until(engine: &Handle, counter: Counter, value: u64) {
    while engine.count(counter) < value {
        tokio::task::yield_now().await;
    }
}

#[tokio::test]
async fn cold_limit_exceeded() {
    // Cold for the whole test, regardless of machine load.
    let long = Settings { cold_period: Duration::from_secs(3_600) * SCALE as u32, ..settings() };
    let engine = endless(long).await;
    engine.fault(Fault::Cold).unwrap();
    let running: Vec<_> = ["one", "two"]
        .map(|id| {
            let address = engine.address;
            let body = completion(&prompt(5), 3, true);
            tokio::spawn(async move { post(address, "/v1/completions", id, &body).await })
        })
        .into();
    until(&engine, Counter::Started, 2).await;
    assert_eq!(engine.count(Counter::FellOver), 0);
    assert!(complete(&engine, "three", &completion(&prompt(5), 3, true)).await.disconnected);
    assert_eq!((engine.count(Counter::FellOver), engine.count(Counter::ColdExcess)), (1, 1));
    assert_eq!((engine.count(Counter::ColdPeak), engine.count(Counter::Started)), (2, 2));
    assert_eq!(engine.incarnation(), 2);
    running.iter().for_each(|run| run.abort());
}

#[tokio::test]
async fn restart_clears_cache() {
    let load_time = Duration::from_secs(3_600) * SCALE as u32;
    let engine = start(Settings { load_time, ..settings() }).await.unwrap();
    complete(&engine, "one", &completion(&prompt(BLOCK), 1, false)).await;
    engine.fault(Fault::Restart).unwrap();
    let reply = complete(&engine, "two", &completion(&prompt(BLOCK), 1, false)).await;
    assert_eq!((reply.header("retry-after"), reply.header("x-incarnation")), ("1", "2"));
    reply.expect_error(503, "cold");
    let load: Value = get(engine.address, "/v1/load").await.json();
    assert_eq!((&load["cold"], &load["cached_tokens"]), (&json!(true), &json!(0)));
    let body = json!({"request_id": "one", "offset": 0});
    let reply = post(engine.address, "/v1/resume", "three", &body).await;
    reply.expect_error(404, "unknown_request");
}

#[tokio::test]
async fn start_cold() {
    let engine = start(Settings { start_cold: true, ..settings() }).await.unwrap();
    let body = completion(&prompt(5), 1, false);
    while complete(&engine, "one", &body).await.status == 503 {
        tokio::task::yield_now().await;
    }
    assert_eq!((engine.count(Counter::Finished), engine.count(Counter::LoadingPeak)), (1, 1));
}

#[tokio::test]
async fn leaving_refuses() {
    let engine = engine().await;
    engine.fault(Fault::Leaving { on: true }).unwrap();
    let reply = complete(&engine, "one", &completion(&prompt(5), 1, false)).await;
    reply.expect_error(503, "leaving");
    assert_eq!((engine.count(Counter::Started), engine.count(Counter::Refused)), (0, 1));
    engine.fault(Fault::Leaving { on: false }).unwrap();
    assert_eq!(complete(&engine, "two", &completion(&prompt(5), 1, false)).await.status, 200);
}

#[tokio::test]
async fn queue_full() {
    let engine = endless(Settings { slots: 1, queue: 1, ..settings() }).await;
    let (address, body) = (engine.address, completion(&prompt(5), 3, true));
    let running: Vec<_> = ["one", "two"]
        .map(|id| {
            let body = body.clone();
            tokio::spawn(async move { post(address, "/v1/completions", id, &body).await })
        })
        .into();
    until(&engine, Counter::Started, 2).await;
    complete(&engine, "three", &body).await.expect_error(503, "overloaded");
    running.iter().for_each(|run| run.abort());
    until(&engine, Counter::Abandoned, 1).await;
}

#[tokio::test]
async fn slots_priority_order() {
    let slots = acacia_standin::slots::Slots::new(1);
    let held = slots.take(0).await;
    let order = std::sync::Arc::new(parking_lot::Mutex::new(Vec::new()));
    let mut waiting = Vec::new();
    for (n, priority) in [(1, 5), (2, 1), (3, 5), (4, 0)] {
        let (slots, order) = (slots.clone(), order.clone());
        waiting.push(tokio::spawn({
            let slots = slots.clone();
            async move {
                let slot = slots.take(priority).await;
                order.lock().push(n);
                drop(slot);
            }
        }));
        while slots.waiting() < n {
            tokio::task::yield_now().await;
        }
    }
    drop(held);
    for task in waiting {
        task.await.unwrap();
    }
    assert_eq!(*order.lock(), [4, 2, 1, 3]);
}

#[tokio::test(start_paused = true)]
async fn loader_concurrent_loads() {
    use acacia_standin::engine::loader::Loader;
    let alone = Duration::from_millis(600);
    let time = async |loads: usize| {
        let loader = Loader::default();
        let start = tokio::time::Instant::now();
        futures::future::join_all((0..loads).map(|_| loader.load(alone))).await;
        assert_eq!(loader.peak() as usize, loads);
        start.elapsed()
    };
    assert_eq!(time(1).await, alone);
    assert_eq!(time(2).await, alone);
    assert_eq!(time(4).await, 2 * alone);
}

#[tokio::test(start_paused = true)]
async fn pace_exact_on_average() {
    use acacia_standin::pace::Pace;
    let pace = Pace::default();
    let start = tokio::time::Instant::now();
    for _ in 0..10_000 {
        pace.occupy(Duration::from_micros(100)).await;
    }
    let error = Duration::from_secs(1).abs_diff(start.elapsed());
    assert!(error <= Duration::from_millis(3), "{error:?}");
}

#[tokio::test]
async fn cancel_running() {
    let engine = endless(settings()).await;
    let (address, body) = (engine.address, completion(&prompt(5), 3, true));
    let running = tokio::spawn(async move { post(address, "/v1/completions", "one", &body).await });
    until(&engine, Counter::Started, 1).await;
    let cancel = json!({"request_id": "one"});
    let reply: Value = post(engine.address, "/v1/cancel", "", &cancel).await.json();
    assert_eq!(reply["cancelled"], json!(true));
    let again: Value = post(engine.address, "/v1/cancel", "", &cancel).await.json();
    assert_eq!(again["cancelled"], json!(false));
    let reply = running.await.unwrap();
    assert!(reply.disconnected);
    assert_eq!((engine.count(Counter::Cancelled), engine.count(Counter::Finished)), (1, 0));
}

async fn order(engine: &Handle, id: &str, name: &str, fence: u64) -> Reply {
    let body = json!({"order": "load_version", "name": name, "fence": fence, "order_id": id});
    post(engine.address, "/v1/orders", "", &body).await
}

#[tokio::test]
async fn order_loads_version() {
    let engine = engine().await;
    complete(&engine, "one", &completion(&prompt(BLOCK), 1, false)).await;
    assert_eq!(order(&engine, "a", "v2", 5).await.json::<Value>()["state"], json!("accepted"));
    while order(&engine, "a", "v2", 5).await.json::<Value>()["state"] != json!("done") {
        tokio::task::yield_now().await;
    }
    assert_eq!(engine.count(Counter::Orders), 1);
    let mut body = completion(&prompt(BLOCK), 1, false);
    complete(&engine, "two", &body).await.expect_error(409, "wrong_version");
    body["version"] = json!("v2");
    let chunk: Chunk = complete(&engine, "three", &body).await.json();
    assert_eq!(chunk.choices[0].token_ids, answer("v2", &prompt(BLOCK), 1));
    assert_eq!(chunk.usage.unwrap().prompt_tokens_details.cached_tokens, 0);
}

#[tokio::test]
async fn order_fence() {
    let engine = engine().await;
    assert_eq!(order(&engine, "a", "v2", 5).await.status, 200);
    order(&engine, "b", "v3", 4).await.expect_error(409, "stale_fence");
    engine.fault(Fault::IgnoredFence { on: true }).unwrap();
    assert_eq!(order(&engine, "c", "v4", 4).await.status, 200);
    let counts = [Counter::StaleOrdersRefused, Counter::StaleOrdersRun, Counter::Orders];
    assert_eq!(counts.map(|counter| engine.count(counter)), [1, 1, 2]);
}

#[tokio::test]
async fn load_report_lags() {
    let load_lag = Duration::from_secs(3_600) * SCALE as u32;
    let engine = start(Settings { load_lag, ..settings() }).await.unwrap();
    let before: Value = get(engine.address, "/v1/load").await.json();
    complete(&engine, "one", &completion(&prompt(BLOCK), 1, false)).await;
    let after: Value = get(engine.address, "/v1/load").await.json();
    assert_eq!((&before["cached_tokens"], &after["cached_tokens"]), (&json!(0), &json!(0)));
    assert_eq!(before["slots"], json!(32));
}

#[tokio::test]
async fn control_faults_and_counters() {
    let engine = engine().await;
    let fault = json!({"broken_stream": {"token": 0, "times": 1}});
    assert_eq!(post(engine.control, "/faults", "", &fault).await.status, 200);
    assert!(complete(&engine, "one", &completion(&prompt(5), 3, true)).await.disconnected);
    let counters: Value = get(engine.control, "/counters").await.json();
    assert_eq!((&counters["broken"], &counters["started"]), (&json!(1), &json!(1)));
    for bad in [json!({"broken_stream": {"token": 0, "time": 1}}), json!("nonsense")] {
        post(engine.control, "/faults", "", &bad).await.expect_error(400, "bad_request");
    }
    let reply = post(engine.control, "/faults", "", &json!("lease_lapse")).await;
    reply.expect_error(422, "unsupported_fault");
    let reply = post(engine.control, "/faults", "", &json!("restart")).await;
    assert_eq!((reply.status, engine.incarnation()), (200, 2));
}

#[tokio::test]
async fn attempt_id_repeated() {
    let engine = engine().await;
    let ids = ["one", "two", "one"];
    for id in ids {
        complete(&engine, id, &completion(&prompt(5), 1, false)).await;
    }
    let fresh = ids.iter().collect::<BTreeSet<_>>().len();
    assert_eq!(engine.count(Counter::Duplicates) as usize, ids.len() - fresh);
}

#[tokio::test]
async fn order_during_prefill() {
    let slow = Settings {
        prefill_per_token: Duration::from_micros(50),
        load_time: Duration::ZERO,
        scale: 1.0,
        ..settings()
    };
    let engine = start(slow).await.unwrap();
    let (address, body) = (engine.address, completion(&prompt(BLOCK), 1, false));
    let running = tokio::spawn(async move { post(address, "/v1/completions", "one", &body).await });
    until(&engine, Counter::Started, 1).await;
    while order(&engine, "a", "v2", 5).await.json::<Value>()["state"] != json!("done") {
        tokio::task::yield_now().await;
    }
    let chunk: Chunk = running.await.unwrap().json();
    assert_eq!(chunk.choices[0].token_ids, answer("v1", &prompt(BLOCK), 1));
    let mut body = completion(&prompt(BLOCK), 1, false);
    body["version"] = json!("v2");
    let chunk: Chunk = complete(&engine, "two", &body).await.json();
    assert_eq!(chunk.usage.unwrap().prompt_tokens_details.cached_tokens, 0);
}
