//! Counters, served at `/metrics`.

use acacia_caller::answer::Usage;
use acacia_policy::Verdict;
use acacia_policy::dispatch::Refusal;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, MeterProvider as _};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

/// A daemon's counters.
pub struct Metrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    /// Attempts at upstreams.
    pub attempts: Counter<u64>,
    /// Failed imports, whose blocks are recomputed.
    pub imports_failed: Counter<u64>,
    /// Exports dropped because the queue was full.
    pub exports_dropped: Counter<u64>,
    /// Processor time of the control thread, in seconds.
    pub control_seconds: Counter<f64>,
    /// Calls to the key-value service, by kind.
    pub kv_calls: Counter<u64>,
    /// Bytes sent to peers.
    pub peer_bytes: Counter<u64>,
    /// Messages sent to peers.
    pub peer_messages: Counter<u64>,
    requests: Counter<u64>,
    refusals: Counter<u64>,
    tokens: Counter<u64>,
    link_bytes: Counter<u64>,
    labels: Labels,
}

/// Labels needed for every request, allocated once.
struct Labels {
    computed: [KeyValue; 1],
    cached: [KeyValue; 1],
    output: [KeyValue; 1],
    import: [KeyValue; 1],
    export: [KeyValue; 1],
}

impl Metrics {
    /// Creates counters at zero.
    pub fn new() -> Result<Self, opentelemetry_sdk::error::OTelSdkError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter().with_registry(registry.clone());
        let provider = SdkMeterProvider::builder().with_reader(exporter.build()?).build();
        let meter = provider.meter("acaciad");
        let counter = |name: &'static str| meter.u64_counter(name).build();
        Ok(Self {
            attempts: counter("acacia_attempts"),
            imports_failed: counter("acacia_imports_failed"),
            exports_dropped: counter("acacia_exports_dropped"),
            control_seconds: meter.f64_counter("acacia_control_cpu").with_unit("s").build(),
            kv_calls: counter("acacia_kv_calls"),
            peer_bytes: counter("acacia_peer_bytes"),
            peer_messages: counter("acacia_peer_messages"),
            requests: counter("acacia_requests"),
            refusals: counter("acacia_refusals"),
            tokens: counter("acacia_tokens"),
            link_bytes: counter("acacia_link_bytes"),
            labels: Labels::new(),
            registry,
            _provider: provider,
        })
    }

    /// Counts a completely answered request and its tokens.
    pub fn answered(&self, usage: &Usage) {
        self.verdict(Verdict::Ran);
        let computed = usage.prompt_tokens.saturating_sub(usage.cached_tokens);
        self.tokens.add(computed.into(), &self.labels.computed);
        self.tokens.add(usage.cached_tokens.into(), &self.labels.cached);
        self.tokens.add(usage.completion_tokens.into(), &self.labels.output);
    }

    /// Counts an ended request by its verdict.
    pub fn verdict(&self, verdict: Verdict) {
        self.requests.add(1, &[KeyValue::new("verdict", verdict.to_string())]);
    }

    /// Counts a refused or failed request.
    pub fn refused(&self, refusal: &Refusal) {
        self.verdict(refusal.verdict);
        let reason: &'static str = refusal.reason.into();
        self.refusals.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts bytes imported into an engine.
    pub fn imported(&self, bytes: u64) {
        self.link_bytes.add(bytes, &self.labels.import);
    }

    /// Counts bytes exported to a cache store.
    pub fn exported(&self, bytes: u64) {
        self.link_bytes.add(bytes, &self.labels.export);
    }

    /// All counters in the Prometheus text format.
    pub fn text(&self) -> String {
        TextEncoder::new().encode_to_string(&self.registry.gather()).unwrap_or_default()
    }
}

impl Labels {
    fn new() -> Self {
        let kind = |kind: &'static str| [KeyValue::new("kind", kind)];
        let direction = |direction: &'static str| [KeyValue::new("direction", direction)];
        Self {
            computed: kind("computed"),
            cached: kind("cached"),
            output: kind("output"),
            import: direction("import"),
            export: direction("export"),
        }
    }
}
