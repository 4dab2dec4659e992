//! Compares the time to first token through a daemon with that of direct calls to its engine.
//!
//! `cargo run --release -p acacia-daemon --example overhead [REQUESTS A SECOND] [SECONDS]
//! [THREADS]`. Requests start at fixed intervals, alternating between both routes, so that both
//! are measured under the same load of the machine.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use acacia_catalog::Document;
use acacia_daemon::{Daemon, Running, Settings};
use acacia_operator::call::Apply;
use acacia_operator::{Client, Key, Role};
use acacia_standin::{engine, kv, list};
use hdrhistogram::Histogram;
use tokio::sync::mpsc;

/// API key of the only organisation.
const KEY: &str = "key";
/// The operator's token.
const TOKEN: &str = "token";
/// Number of unmeasured requests at the start, which open connections and warm up the engine.
const WARM_UP: u32 = 500;

type Failure = Box<dyn std::error::Error + Send + Sync>;

/// Route of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Route {
    Direct,
    Daemon,
}

#[tokio::main]
async fn main() -> Result<(), Failure> {
    let mut arguments = std::env::args().skip(1);
    let rate: u32 = arguments.next().map_or(Ok(1_000), |a| a.parse())?;
    let seconds: u32 = arguments.next().map_or(Ok(10), |a| a.parse())?;
    let threads: Option<usize> = arguments.next().map(|a| a.parse()).transpose()?;
    let kv = kv::start(kv::Settings::default()).await?;
    let list = list::start(list::Settings::default()).await?;
    let engine = engine::start(engine::Settings {
        slots: 8_192,
        prefill_per_token: Duration::ZERO,
        decode_per_token: Duration::from_millis(2),
        ..engine::Settings::default()
    });
    let engine = engine.await?;
    let mut settings = Settings::new("zone", vec![kv.address], list.address);
    settings.operators = vec![Key::of("tester", TOKEN, [Role::Apply])];
    settings.threads = threads.unwrap_or(settings.threads);
    let daemon = Daemon::start(settings)?;
    configure(&daemon, engine.address).await?;
    let http = reqwest::Client::builder().no_proxy().tcp_nodelay(true).build()?;
    let addresses = [engine.address, daemon.caller_address()];
    run_load(&http, addresses, rate, WARM_UP).await?;
    let histograms = run_load(&http, addresses, rate * 2, rate * 2 * seconds).await?;
    for (route, histogram) in [Route::Direct, Route::Daemon].iter().zip(&histograms) {
        let micros = |quantile| histogram.value_at_quantile(quantile);
        println!(
            "{route:?}: {} requests, time to first token p50 {} us, p95 {} us, p99 {} us",
            histogram.len(),
            micros(0.5),
            micros(0.95),
            micros(0.99)
        );
    }
    let added =
        |q| histograms[1].value_at_quantile(q) as i64 - histograms[0].value_at_quantile(q) as i64;
    println!("added: p50 {} us, p99 {} us", added(0.5), added(0.99));
    Ok(())
}

/// Starts `number` requests at `rate` per second, alternating between the routes; returns the times
/// to first token by route, in microseconds.
async fn run_load(
    http: &reqwest::Client,
    [engine, daemon]: [SocketAddr; 2],
    rate: u32,
    number: u32,
) -> Result<[Histogram<u64>; 2], Failure> {
    let (sender, mut times) = mpsc::unbounded_channel();
    let mut ticks = tokio::time::interval(Duration::from_secs(1) / rate);
    for index in 0..number {
        ticks.tick().await;
        let (http, sender) = (http.clone(), sender.clone());
        let route = if index % 2 == 0 { Route::Direct } else { Route::Daemon };
        tokio::spawn(async move {
            let time = match route {
                Route::Direct => first_token(direct(&http, engine, index)).await,
                Route::Daemon => first_token(via_daemon(&http, daemon, index)).await,
            };
            // Fails only if `run_load` has returned with an error.
            let _ = sender.send((route, time));
        });
    }
    drop(sender);
    let mut histograms = [Histogram::new(3)?, Histogram::new(3)?];
    while let Some((route, time)) = times.recv().await {
        let micros = u64::try_from(time?.as_micros())?;
        histograms[usize::from(route == Route::Daemon)].record(micros)?;
    }
    Ok(histograms)
}

fn direct(http: &reqwest::Client, engine: SocketAddr, index: u32) -> reqwest::RequestBuilder {
    let body = serde_json::json!({
        "model": "model", "version": "v1", "prompt": format!("question {index}"),
        "max_tokens": 4, "stream": true, "priority": 0, "block_keys": [],
    });
    let request = http.post(format!("http://{engine}/v1/completions"));
    request.header("x-request-id", format!("direct-{index}")).json(&body)
}

fn via_daemon(http: &reqwest::Client, daemon: SocketAddr, index: u32) -> reqwest::RequestBuilder {
    let body = serde_json::json!({
        "model": "model", "prompt": format!("question {index}"), "max_tokens": 4, "stream": true,
    });
    http.post(format!("http://{daemon}/v1/completions")).bearer_auth(KEY).json(&body)
}

/// Time until the first chunk of the body.
async fn first_token(request: reqwest::RequestBuilder) -> Result<Duration, Failure> {
    let started = Instant::now();
    let mut response = request.send().await?.error_for_status()?;
    response.chunk().await?.ok_or("no token came")?;
    let time = started.elapsed();
    while response.chunk().await?.is_some() {}
    Ok(time)
}

/// Puts a configuration with one engine in force.
async fn configure(daemon: &Running, engine: SocketAddr) -> Result<(), Failure> {
    let document: Document = serde_json::from_value(serde_json::json!({ "objects": [
        { "kind": "zone", "name": "zone", "region": "west" },
        { "kind": "profile", "name": "profile", "short_tokens": 500, "short_deadline_ms": 30_000,
          "long_deadline_ms": 60_000, "recompute_weight_ms": 1_000, "link_weight_ms": 100 },
        { "kind": "model", "name": "model", "serving": "v1", "context_tokens": 100_000 },
        { "kind": "version", "name": "v1", "model": "model", "bytes_per_token": 16_384 },
        { "kind": "link", "name": "link", "from": "zone", "to": "zone",
          "bytes_per_second": 1_000_000_000 },
        { "kind": "organisation", "name": "organisation", "models": ["model"],
          "key_hashes": [blake3::hash(KEY.as_bytes()).to_hex().to_string()],
          "cache_secret": "a long secret that only this run knows", "profile": "profile" },
        { "kind": "upstream", "name": "engine", "zone": "zone", "address": engine,
          "role": { "engine": { "model": "model" } }, "slots": 8_192, "cold_limit": 64 },
    ]}))?;
    let operator = Client::new(format!("http://{}", daemon.operator_address()), TOKEN)?;
    let mut tries = 0;
    loop {
        let id = format!("change-{tries}").into();
        let apply = Apply { id, base: 0, document: document.clone(), wait_ms: 5_000 };
        match operator.apply(&apply).await {
            Ok(_) => break,
            Err(error) if tries == 50 => return Err(error.into()),
            Err(_) => tokio::time::sleep(Duration::from_millis(100)).await,
        }
        tries += 1;
    }
    while !daemon.is_ready() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    Ok(())
}
