//! Counters and latency histograms, served as text.

use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, MeterProvider as _};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

/// Bucket bounds of the latency histograms, in seconds. They lie around the latency targets of
/// callers' requests.
const LATENCY_BOUNDS_S: [f64; 12] =
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.3, 0.4, 0.8, 1.5, 3.0, 10.0];

/// An instance's metrics.
#[derive(Clone)]
pub struct Metrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    attempts: Counter<u64>,
    suspects: Counter<u64>,
    limits: Counter<u64>,
    paths: Counter<u64>,
    passages: Counter<u64>,
    tolerances: Counter<u64>,
    rollouts: Counter<u64>,
    registrations: Counter<u64>,
    connections: Counter<u64>,
    store_calls: Counter<u64>,
    store_bytes: Counter<u64>,
    message_bytes: Counter<u64>,
    lines_dropped: Counter<u64>,
    values_skipped: Counter<u64>,
    memory_bytes: Gauge<u64>,
    memory_reclaimed: Counter<u64>,
    first_byte_seconds: Histogram<f64>,
    answer_seconds: Histogram<f64>,
}

impl Metrics {
    /// Creates all metrics, at zero.
    ///
    /// # Errors
    /// If the Prometheus exporter can't be created.
    pub fn new() -> Result<Self, opentelemetry_sdk::error::OTelSdkError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter().with_registry(registry.clone());
        let provider = SdkMeterProvider::builder().with_reader(exporter.build()?).build();
        let meter = provider.meter("acaciad");
        let counter = |name: &'static str| meter.u64_counter(name).build();
        let histogram = |name: &'static str| {
            let builder = meter.f64_histogram(name).with_unit("s");
            builder.with_boundaries(LATENCY_BOUNDS_S.to_vec()).build()
        };
        Ok(Self {
            requests: counter("acacia_gateway_requests"),
            attempts: counter("acacia_gateway_attempts"),
            suspects: counter("acacia_gateway_suspect_states"),
            limits: counter("acacia_gateway_rate_limit_changes"),
            paths: counter("acacia_gateway_path_changes"),
            passages: counter("acacia_gateway_passed_on"),
            tolerances: counter("acacia_gateway_refusal_limit_changes"),
            rollouts: counter("acacia_gateway_rollout_changes"),
            registrations: counter("acacia_gateway_registration_changes"),
            connections: counter("acacia_gateway_connections"),
            store_calls: counter("acacia_gateway_store_calls"),
            store_bytes: counter("acacia_gateway_store_bytes"),
            message_bytes: counter("acacia_gateway_message_bytes"),
            values_skipped: counter("acacia_gateway_store_values_skipped"),
            lines_dropped: counter("acacia_gateway_log_lines_dropped"),
            memory_bytes: meter.u64_gauge("acacia_gateway_memory_bytes").build(),
            memory_reclaimed: counter("acacia_gateway_memory_reclaimed"),
            first_byte_seconds: histogram("acacia_gateway_first_byte"),
            answer_seconds: histogram("acacia_gateway_answer"),
            registry,
            _provider: provider,
        })
    }

    /// Records the end of a request: its outcome and the time to its answer.
    pub fn request(&self, route: &str, outcome: &'static str, took: Duration) {
        let labels = [KeyValue::new("route", route.to_owned()), KeyValue::new("outcome", outcome)];
        self.requests.add(1, &labels);
        self.answer_seconds.record(took.as_secs_f64(), &labels[..1]);
    }

    /// Counts the end of an attempt.
    pub fn attempt(&self, ending: &'static str) {
        self.attempts.add(1, &[KeyValue::new("ending", ending)]);
    }

    /// Counts a change in the restrictions on a part of prompts or on a request.
    pub fn suspect(&self, kind: &'static str, state: &'static str) {
        let labels = [KeyValue::new("kind", kind), KeyValue::new("state", state)];
        self.suspects.add(1, &labels);
    }

    /// Counts a change of an upstream's rate limit.
    pub fn limit(&self, state: &'static str) {
        self.limits.add(1, &[KeyValue::new("state", state)]);
    }

    /// Counts a path to upstreams that was lost or regained.
    pub fn path(&self, state: &'static str) {
        self.paths.add(1, &[KeyValue::new("state", state)]);
    }

    /// Counts a request that was passed on to another instance.
    pub fn passage(&self, ending: &'static str) {
        self.passages.add(1, &[KeyValue::new("ending", ending)]);
    }

    /// Counts a change of an upstream's limit on refusals.
    pub fn tolerance(&self, state: &'static str) {
        self.tolerances.add(1, &[KeyValue::new("state", state)]);
    }

    /// Counts a change of the progress of an order to move traffic.
    pub fn rollout(&self, progress: &'static str) {
        self.rollouts.add(1, &[KeyValue::new("progress", progress)]);
    }

    /// Counts a change of the status of this instance's entry in the metadata store.
    pub fn registration(&self, status: &'static str) {
        self.registrations.add(1, &[KeyValue::new("status", status)]);
    }

    /// Records the time to the first event or to a whole plain answer.
    pub fn first_byte(&self, route: &str, took: Duration) {
        self.first_byte_seconds
            .record(took.as_secs_f64(), &[KeyValue::new("route", route.to_owned())]);
    }

    /// Counts a new connection to an upstream.
    pub fn connected(&self) {
        self.connections.add(1, &[]);
    }

    /// Counts a call to the metadata store.
    pub fn store_call(&self, kind: &'static str) {
        self.store_calls.add(1, &[KeyValue::new("kind", kind)]);
    }

    /// Counts bytes of changed values that the metadata store sent.
    pub fn store_bytes(&self, kind: &'static str, bytes: u64) {
        self.store_bytes.add(bytes, &[KeyValue::new("kind", kind)]);
    }

    /// Counts bytes of messages that were exchanged with other instances.
    pub fn message_bytes(&self, direction: &'static str, bytes: u64) {
        self.message_bytes.add(bytes, &[KeyValue::new("direction", direction)]);
    }

    /// Counts a malformed value in the metadata store.
    pub fn value_skipped(&self) {
        self.values_skipped.add(1, &[]);
    }

    /// Records the memory in use by holder.
    pub fn memory(&self, usage: &[(&'static str, usize)]) {
        for (holder, bytes) in usage {
            self.memory_bytes.record(*bytes as u64, &[KeyValue::new("holder", *holder)]);
        }
    }

    /// Counts memory or a connection that was given up or refused.
    pub fn memory_reclaimed(&self, holder: &'static str, cause: &'static str) {
        let labels = [KeyValue::new("holder", holder), KeyValue::new("cause", cause)];
        self.memory_reclaimed.add(1, &labels);
    }

    /// Counts dropped log lines.
    pub fn lines_dropped(&self, lines: u64) {
        self.lines_dropped.add(lines, &[]);
    }

    /// All metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        TextEncoder::new()
            .encode_to_string(&self.registry.gather())
            .unwrap_or_else(|error| format!("# the metrics can't be encoded: {error}\n"))
    }
}
