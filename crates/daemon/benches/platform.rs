//! Resource use of one `acaciad` process on the platform: processor time per request and per event,
//! and memory with 300 open streams. Prints one JSON line.

mod process;

use std::io;
use std::time::Duration;

use acacia_standin::platform::caller::{Caller, Ending, Operation, Request};
use acacia_standin::platform::document::{CONFIGURATION_KEY, Deployment, MODEL};
use acacia_standin::platform::server::{self, Engine, Peers, Performance, Settings};
use acacia_standin::platform::store;
use futures::StreamExt;
use futures::stream;
use process::Process;
use serde_json::json;

/// Concurrent requests.
const CONCURRENCY: usize = 16;
/// Number of measured plain requests.
const REQUESTS: usize = 20_000;
/// Number of measured streams, and events per stream.
const STREAMS: (usize, u32) = (64, 1_000);
/// Number of concurrently open streams, and events per stream.
const OPEN_STREAMS: (usize, u32) = (300, 400);
/// Interval between the events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(5);
/// Timeout of a caller.
const TIMEOUT: Duration = Duration::from_secs(120);
/// API key of the only organisation.
const KEY: &str = "key";

fn main() -> miette::Result<()> {
    let runtime = tokio::runtime::Runtime::new().map_err(report)?;
    runtime.block_on(measure()).map_err(report)
}

fn report(error: impl std::fmt::Display) -> miette::Report {
    miette::miette!("{error}")
}

async fn measure() -> io::Result<()> {
    let store = store::start().await?;
    let service = server::start(server_settings("app", None), &store).await?;
    let engine = Engine {
        model: MODEL.to_owned(),
        load_time: Duration::ZERO,
        caches: Vec::new(),
        peers: Peers::default(),
        performance: Performance::default(),
    };
    let engine = server::start(server_settings("llm", Some(engine)), &store).await?;
    let deployment = Deployment {
        timeout_ms: 120_000,
        target_latency_ms: 60_000,
        gap_target_ms: 60_000,
        engine_slots: OPEN_STREAMS.0,
        engine_tokens: 100_000_000,
        token_bytes: 1_000,
        link_mbps: 100_000.0,
        cache: None,
    };
    store.put(CONFIGURATION_KEY, &deployment.configuration(1, &[("one", KEY)]));
    let process = Process::start("one", &store)?;
    let caller = Caller::new(vec![process.addresses.callers]).map_err(io::Error::other)?;
    while !caller.is_ready(process.addresses.ready).await {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let started = process.cpu_time()?;
    let idle = process.peak_memory()?;
    send_all(&caller, CONCURRENCY, REQUESTS, &Operation::Read).await?;
    let plain = process.cpu_time()?;
    let prompt = |output| Operation::Prompt { parts: vec![("a".to_owned(), 100)], output };
    send_all(&caller, STREAMS.0, STREAMS.0, &prompt(STREAMS.1)).await?;
    let streams = process.cpu_time()?;
    send_all(&caller, OPEN_STREAMS.0, OPEN_STREAMS.0, &prompt(OPEN_STREAMS.1)).await?;
    let events = STREAMS.0 as f64 * f64::from(STREAMS.1);
    let micros = |time: Duration, count: f64| time.as_secs_f64() * 1e6 / count;
    let line = json!({
        "start_cpu_ms": started.as_millis() as u64,
        "request_cpu_us": micros(plain - started, REQUESTS as f64),
        "event_cpu_us": micros(streams - plain, events),
        "peak_mb_at_start": idle,
        "peak_mb_with_300_streams": process.peak_memory()?,
    });
    println!("{line}");
    drop((service, engine));
    Ok(())
}

/// Sends requests, `at_once` of them concurrently; an error unless each is answered completely.
async fn send_all(
    caller: &Caller,
    at_once: usize,
    count: usize,
    subject: &Operation,
) -> io::Result<()> {
    let requests = (0..count).map(|number| Request {
        id: format!("r{number}"),
        key: KEY.to_owned(),
        operation: subject.clone(),
        resource: subject.resource(),
        timeout: TIMEOUT,
        retries: 0,
    });
    let answers = stream::iter(requests).map(async |ask| caller.send(&ask).await);
    let mut answers = std::pin::pin!(answers.buffer_unordered(at_once));
    while let Some(answer) = answers.next().await {
        if answer.ending != Ending::Complete {
            return Err(io::Error::other(format!("a request ended with {:?}", answer.ending)));
        }
    }
    Ok(())
}

fn server_settings(service: &str, engine: Option<Engine>) -> Settings {
    Settings {
        id: service.to_owned(),
        service: service.to_owned(),
        zone: "z1".to_owned(),
        latency: if engine.is_some() { EVENT_INTERVAL } else { Duration::ZERO },
        slots: OPEN_STREAMS.0,
        queue: OPEN_STREAMS.0,
        engine,
    }
}
