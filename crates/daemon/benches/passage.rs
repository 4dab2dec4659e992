//! Processor time and memory of two `acaciad` processes for requests that the first serves itself, and
//! for those that it passes on to the second while it has no path to the upstreams. Prints one JSON
//! line for each.

mod process;

use std::io;
use std::time::Duration;

use acacia_standin::cut::{Cut, Cuts};
use acacia_standin::platform::caller::{Answer, Caller, Ending, Operation, Request};
use acacia_standin::platform::document::{CONFIGURATION_KEY, Deployment, MODEL};
use acacia_standin::platform::server::{self, Engine, Peers, Performance, Settings};
use acacia_standin::platform::store;
use acacia_standin::proxy::Proxy;
use futures::StreamExt;
use futures::stream;
use process::Process;
use serde_json::json;

/// Concurrent requests.
const CONCURRENCY: usize = 16;
/// Number of measured plain requests, and of those before them.
const REQUESTS: (usize, usize) = (10_000, 1_000);
/// Number of concurrently open streams, and events per stream.
const STREAMS: (usize, u32) = (100, 200);
/// Interval between the events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(5);
/// Timeout of a caller.
const TIMEOUT: Duration = Duration::from_secs(120);
/// API key of the only organisation.
const KEY: &str = "key";
/// Servers of each service.
const SERVERS: usize = 2;

fn main() -> miette::Result<()> {
    let runtime = tokio::runtime::Runtime::new().map_err(report)?;
    for cut in [None, Some(Cut::Reset)] {
        runtime.block_on(measure(cut)).map_err(report)?;
    }
    Ok(())
}

fn report(error: impl std::fmt::Display) -> miette::Report {
    miette::miette!("{error}")
}

/// Starts the upstreams behind proxies and configures them.
async fn start_upstreams(
    store: &store::Handle,
    cuts: &Cuts,
) -> io::Result<Vec<(server::Handle, Proxy)>> {
    let mut running = Vec::new();
    for number in 0..SERVERS {
        for (service, engine) in [("app", None), ("llm", Some(engine()))] {
            let settings = server_settings(&format!("{service}-{number}"), service, engine);
            let server = server::start(settings, store).await?;
            let proxy = Proxy::start_with(server.address, cuts.clone()).await?;
            server.register_at(store, proxy.address);
            running.push((server, proxy));
        }
    }
    let deployment = Deployment {
        timeout_ms: 120_000,
        target_latency_ms: 60_000,
        gap_target_ms: 60_000,
        engine_slots: STREAMS.0,
        engine_tokens: 100_000_000,
        token_bytes: 1_000,
        link_mbps: 100_000.0,
        cache: None,
    };
    store.put(CONFIGURATION_KEY, &deployment.configuration(1, &[("one", KEY)]));
    Ok(running)
}

/// Measures both processes while the first one is cut off, or not.
async fn measure(cut: Option<Cut>) -> io::Result<()> {
    let store = store::start().await?;
    let cuts = Cuts::default();
    let _running = start_upstreams(&store, &cuts).await?;
    let processes = [Process::start("one", &store)?, Process::start("two", &store)?];
    processes.iter().for_each(|process| cuts.register(process.id()));
    let caller = Caller::new(vec![processes[0].addresses.callers]).map_err(io::Error::other)?;
    for process in &processes {
        while !caller.is_ready(process.addresses.ready).await {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
    if let Some(cut) = cut {
        cuts.set(processes[0].id(), cut);
    }
    let prompt = Operation::Prompt { parts: vec![("a".to_owned(), 100)], output: STREAMS.1 };
    for operation in [&Operation::Read, &prompt] {
        while send_all(&caller, 1, 1, operation).await == 0 {}
    }
    send_all(&caller, CONCURRENCY, REQUESTS.1, &Operation::Read).await;
    let before = cpu_times(&processes)?;
    let served_requests = send_all(&caller, CONCURRENCY, REQUESTS.0, &Operation::Read).await;
    let plain = cpu_times(&processes)?;
    let peaks = [processes[0].peak_memory()?, processes[1].peak_memory()?];
    let served_streams = send_all(&caller, STREAMS.0, STREAMS.0, &prompt).await;
    let streams = cpu_times(&processes)?;
    let micros = |from: &[Duration; 2], to: &[Duration; 2], count: f64| {
        [0, 1].map(|at| ((to[at] - from[at]).as_secs_f64() * 1e6 / count).round())
    };
    let line = json!({
        "is_passed_on": cut.is_some(),
        "served": [served_requests, served_streams],
        "request_cpu_us": micros(&before, &plain, REQUESTS.0 as f64),
        "stream_cpu_us": micros(&plain, &streams, STREAMS.0 as f64),
        "peak_mb_before_streams": peaks,
        "peak_mb_with_100_streams": [processes[0].peak_memory()?, processes[1].peak_memory()?],
    });
    println!("{line}");
    Ok(())
}

fn cpu_times(processes: &[Process; 2]) -> io::Result<[Duration; 2]> {
    Ok([processes[0].cpu_time()?, processes[1].cpu_time()?])
}

/// Sends requests, `at_once` of them concurrently, and returns how many are answered completely.
async fn send_all(caller: &Caller, at_once: usize, count: usize, subject: &Operation) -> usize {
    let requests = (0..count).map(|number| Request {
        id: format!("r{number}"),
        key: KEY.to_owned(),
        operation: subject.clone(),
        resource: subject.resource(),
        timeout: TIMEOUT,
        retries: 0,
    });
    let answers = stream::iter(requests).map(async |ask| caller.send(&ask).await);
    let served = answers.buffer_unordered(at_once);
    let is_served = |answer: &Answer| std::future::ready(answer.ending == Ending::Complete);
    served.filter(is_served).count().await
}

fn engine() -> Engine {
    Engine {
        model: MODEL.to_owned(),
        load_time: Duration::ZERO,
        caches: Vec::new(),
        peers: Peers::default(),
        performance: Performance::default(),
    }
}

fn server_settings(id: &str, service: &str, engine: Option<Engine>) -> Settings {
    Settings {
        id: id.to_owned(),
        service: service.to_owned(),
        zone: "z1".to_owned(),
        latency: if engine.is_some() { EVENT_INTERVAL } else { Duration::ZERO },
        slots: STREAMS.0,
        queue: STREAMS.0,
        engine,
    }
}
