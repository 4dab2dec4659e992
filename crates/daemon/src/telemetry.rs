//! Logging and tracing.

use acacia_caller::trace::Trace;
use acacia_policy::control::Ticket;
use opentelemetry::trace::{
    SpanContext, SpanId, TraceContextExt, TraceFlags, TraceId, TraceState, TracerProvider as _,
};
use opentelemetry_otlp::{Protocol, WithExportConfig};
use opentelemetry_sdk::trace::SdkTracerProvider;
use tracing::Span;
use tracing_opentelemetry::OpenTelemetrySpanExt;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::{EnvFilter, Layer, Registry};

use crate::settings::{Format, Settings};

/// Sets up logging and tracing for the process. The returned provider must be shut down before the
/// process ends, so that the last traces are exported.
pub fn start(settings: &Settings) -> miette::Result<Option<SdkTracerProvider>> {
    let filter = EnvFilter::try_new(&settings.log.level)
        .map_err(|error| miette::miette!("the setting `log.level` is invalid: {error}"))?;
    let lines = match settings.log.format {
        Format::Text => tracing_subscriber::fmt::layer().boxed(),
        Format::Json => tracing_subscriber::fmt::layer().json().boxed(),
    };
    let provider = settings.otlp.as_deref().map(|otlp| provider(otlp, settings)).transpose()?;
    let traces =
        provider.as_ref().map(|p| tracing_opentelemetry::layer().with_tracer(p.tracer("acaciad")));
    let layers: Vec<Box<dyn Layer<Registry> + Send + Sync>> =
        traces.into_iter().map(|l| l.boxed()).chain([lines.with_filter(filter).boxed()]).collect();
    tracing_subscriber::registry()
        .with(layers)
        .try_init()
        .map_err(|error| miette::miette!("logging can't be set up: {error}"))?;
    Ok(provider)
}

/// Creates a provider that exports traces to an OTLP collector.
fn provider(otlp: &str, settings: &Settings) -> miette::Result<SdkTracerProvider> {
    let exporter = opentelemetry_otlp::SpanExporter::builder()
        .with_http()
        .with_protocol(Protocol::HttpBinary)
        .with_endpoint(otlp)
        .build()
        .map_err(|error| miette::miette!("the setting `otlp` is invalid: {error}"))?;
    let resource = opentelemetry_sdk::Resource::builder()
        .with_service_name("acaciad")
        .with_attribute(opentelemetry::KeyValue::new("zone", settings.zone.to_string()))
        .build();
    Ok(SdkTracerProvider::builder().with_batch_exporter(exporter).with_resource(resource).build())
}

/// Creates the span of a request, within its caller's trace.
pub fn request_span(trace: &Trace, ticket: Ticket) -> Span {
    let span = tracing::info_span!("caller", ticket, trace_id = %trace);
    if span.is_disabled() {
        return span;
    }
    let flags = if trace.sampled { TraceFlags::SAMPLED } else { TraceFlags::NOT_SAMPLED };
    let context = SpanContext::new(
        TraceId::from(trace.id),
        SpanId::from(trace.parent.max(1)),
        flags,
        true,
        TraceState::NONE,
    );
    // Fails only without a collector, when no parent is needed.
    let _ = span.set_parent(opentelemetry::Context::new().with_remote_span_context(context));
    span
}
