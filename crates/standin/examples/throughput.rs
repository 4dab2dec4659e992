//! Sends load to a running engine stand-in and reports its throughput.
//!
//! Open loop: requests start at a fixed rate, regardless of the answers. Each answer is compared
//! with the expected one. Run it in a release build against another process:
//!
//! ```text
//! acacia-standin engine --address 127.0.0.1:9300 --slots 6000
//! cargo run --release -p acacia-standin --example throughput -- --address 127.0.0.1:9300
//! ```

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use acacia_catalog::tokenizer::Token;
use acacia_standin::engine::answer;
use acacia_standin::engine::wire::Chunk;
use bpaf::Bpaf;
use hdrhistogram::Histogram;
use parking_lot::Mutex;
use serde_json::json;
use tokio::time::Instant;

/// Load to send.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
struct Options {
    /// Address of the engine
    address: SocketAddr,
    /// Requests started per second
    #[bpaf(fallback(1_000))]
    rate: u32,
    /// Total number of requests
    #[bpaf(fallback(10_000))]
    requests: u32,
    /// Tokens per prompt
    #[bpaf(fallback(50))]
    prompt: u32,
    /// Tokens per answer
    #[bpaf(fallback(4))]
    answer: u32,
}

/// Totals of the run.
#[derive(Default)]
struct Report {
    correct: u32,
    wrong: u32,
    failed: u32,
    open: u32,
    open_peak: u32,
    tokens: u64,
}

#[tokio::main]
async fn main() {
    let options = options().run();
    let _ = rustls::crypto::ring::default_provider().install_default();
    let builder = reqwest::Client::builder().no_proxy().tls_certs_only([]);
    let client = builder.build().expect("a client");
    let report = Arc::new(Mutex::new(Report::default()));
    let first_token = Arc::new(Mutex::new(Histogram::<u64>::new(3).expect("three digits")));
    let start = Instant::now();
    let mut running = Vec::new();
    for number in 0..options.requests {
        tokio::time::sleep_until(start + Duration::from_secs(1) * number / options.rate).await;
        let (options, client) = (options.clone(), client.clone());
        let (report, first_token) = (report.clone(), first_token.clone());
        running.push(tokio::spawn(async move {
            record_start(&report);
            let outcome = run(&client, &options, number, &first_token).await;
            record_end(&report, options.answer, outcome);
        }));
    }
    for task in running {
        task.await.expect("the request task does not panic");
    }
    print(&report.lock(), &first_token.lock(), start.elapsed());
}

fn record_start(report: &Mutex<Report>) {
    let mut report = report.lock();
    report.open += 1;
    report.open_peak = report.open_peak.max(report.open);
}

fn record_end(report: &Mutex<Report>, tokens: u32, outcome: Option<bool>) {
    let mut report = report.lock();
    report.open -= 1;
    match outcome {
        Some(true) => {
            report.correct += 1;
            report.tokens += u64::from(tokens);
        }
        Some(false) => report.wrong += 1,
        None => report.failed += 1,
    }
}

/// Whether the answer was correct; `None` if it was missing or incomplete.
async fn run(
    client: &reqwest::Client,
    options: &Options,
    number: u32,
    first_token: &Mutex<Histogram<u64>>,
) -> Option<bool> {
    let prompt: Vec<Token> = (0..options.prompt).map(|i| number ^ (i << 20)).collect();
    let body = json!({"model": "model", "prompt": prompt, "max_tokens": options.answer,
        "stream": true});
    let url = format!("http://{}/v1/completions", options.address);
    let call = client.post(url).header("x-request-id", number.to_string()).json(&body);
    let start = Instant::now();
    let mut response = call.send().await.ok()?.error_for_status().ok()?;
    let mut bytes = Vec::new();
    while let Some(chunk) = response.chunk().await.ok()? {
        if bytes.is_empty() {
            let micros = start.elapsed().as_micros() as u64;
            first_token.lock().record(micros).expect("the histogram resizes automatically");
        }
        bytes.extend_from_slice(&chunk);
    }
    let right = answer("v1", &prompt, options.answer as usize);
    Some(parse_tokens(&bytes)? == right)
}

/// Tokens of a complete stream.
fn parse_tokens(bytes: &[u8]) -> Option<Vec<Token>> {
    let text = std::str::from_utf8(bytes).ok()?.strip_suffix("data: [DONE]\n\n")?;
    let mut tokens = Vec::new();
    for event in text.split_terminator("\n\n") {
        let chunk: Chunk = serde_json::from_str(event.strip_prefix("data: ")?).ok()?;
        let [choice] = chunk.choices;
        tokens.extend(choice.token_ids);
    }
    Some(tokens)
}

fn print(report: &Report, first_token: &Histogram<u64>, took: Duration) {
    let seconds = took.as_secs_f64();
    let quantiles = [0.5, 0.95, 0.99, 1.0].map(|q| first_token.value_at_quantile(q));
    let line = json!({
        "whole": report.correct,
        "wrong": report.wrong,
        "failed": report.failed,
        "open_peak": report.open_peak,
        "seconds": seconds,
        "requests_per_second": f64::from(report.correct) / seconds,
        "tokens_per_second": report.tokens as f64 / seconds,
        "first_token_us": {"p50": quantiles[0], "p95": quantiles[1], "p99": quantiles[2],
            "max": quantiles[3]},
    });
    println!("{line}");
}
