//! Settings of a daemon, in JSON.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use acacia_catalog::Excerpt;
use acacia_catalog::id::{Name, ZoneId};
use acacia_policy::dispatch::Strategy;
use miette::{Diagnostic, NamedSource, SourceSpan};
use serde::{Deserialize, Deserializer, Serialize};
use strum::{Display, EnumString};
use thiserror::Error;

/// Settings of a daemon.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Prefix of the daemon's id; a random suffix makes the id unique to each incarnation.
    #[serde(default = "default_name")]
    pub name: Name,
    /// The daemon's availability zone.
    pub zone: ZoneId,
    /// Address for callers.
    #[serde(default = "loopback")]
    pub caller: SocketAddr,
    /// Address for operators.
    #[serde(default = "loopback")]
    pub operator: SocketAddr,
    /// Address for peers.
    #[serde(default = "loopback")]
    pub peer: SocketAddr,
    /// Addresses of peers to contact while the key-value service is down.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// Endpoints of the key-value service.
    pub kv: Vec<SocketAddr>,
    /// Address of the platform's list of live instances.
    pub list: SocketAddr,
    /// Seed of the random number generator; random if absent.
    #[serde(default)]
    pub seed: Option<u64>,
    /// Strategy by which requests are distributed over upstreams.
    #[serde(default, deserialize_with = "strategy")]
    pub strategy: Strategy,
    /// Number of traffic threads.
    #[serde(default = "default_threads")]
    pub threads: usize,
    /// Operators' keys; without any, the administration API refuses all requests.
    #[serde(default)]
    pub operators: Vec<acacia_operator::Key>,
    /// Limits on callers.
    #[serde(default)]
    pub limits: Limits,
    /// Intervals and timeouts.
    #[serde(default)]
    pub times: Times,
    /// Logging.
    #[serde(default)]
    pub log: Log,
    /// Address of an OTLP collector for traces, such as `http://127.0.0.1:4318/v1/traces`.
    #[serde(default)]
    pub otlp: Option<String>,
}

/// Limits on callers.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Largest body, in bytes.
    pub body_bytes: usize,
    /// Largest head of a request, in bytes.
    pub head_bytes: usize,
    /// Most open connections.
    pub connections: usize,
    /// Most chunks of an answer buffered for a slow reader.
    pub held_parts: usize,
}

/// Intervals and timeouts, in milliseconds in the file.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Times {
    /// Time that the load balancer takes to notice that an instance is unready.
    #[serde(rename = "stop_notice_ms", deserialize_with = "millis")]
    pub stop_notice: Duration,
    /// Longest wait for a caller to read its answer or to send its request.
    #[serde(rename = "stall_ms", deserialize_with = "millis")]
    pub stall: Duration,
    /// Longest time between two chunks of an engine's answer.
    #[serde(rename = "silence_ms", deserialize_with = "millis")]
    pub silence: Duration,
    /// Interval between reads of an engine's load.
    #[serde(rename = "poll_ms", deserialize_with = "millis")]
    pub poll: Duration,
    /// Interval between reads of the list of live instances.
    #[serde(rename = "list_ms", deserialize_with = "millis")]
    pub list: Duration,
}

/// Logging.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Log {
    /// Format of the lines.
    pub format: Format,
    /// Minimum level, or a filter such as `info,acacia_daemon=debug`.
    pub level: String,
}

/// Format of log lines.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Display, EnumString, Eq, PartialEq, Serialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Format {
    /// Human-readable text.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

impl Settings {
    /// Creates settings with free loopback ports and default values.
    pub fn new(zone: impl Into<ZoneId>, kv: Vec<SocketAddr>, list: SocketAddr) -> Self {
        Self {
            name: default_name(),
            zone: zone.into(),
            caller: loopback(),
            operator: loopback(),
            peer: loopback(),
            peers: Vec::new(),
            kv,
            list,
            seed: None,
            strategy: Strategy::default(),
            threads: default_threads(),
            operators: Vec::new(),
            limits: Limits::default(),
            times: Times::default(),
            log: Log::default(),
            otlp: None,
        }
    }

    /// Reads and validates a file.
    pub fn read(path: &Path) -> Result<Self, Box<Fault>> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| Fault::Unreadable { path: path.display().to_string(), source })?;
        Self::parse(&path.display().to_string(), text)
    }

    /// Parses and validates a text; `name` is for errors.
    pub fn parse(name: &str, text: String) -> Result<Self, Box<Fault>> {
        let mut reader = serde_json::Deserializer::from_str(&text);
        let parsed: Result<Self, _> = serde_path_to_error::deserialize(&mut reader);
        let end = reader.end();
        let invalid = |field: String, reason: String, at: usize, text: String| {
            let excerpt = Excerpt::around(&text, at..at);
            let text = NamedSource::new(name, excerpt.text);
            Box::new(Fault::Invalid { field, reason, text, at: excerpt.span.into() })
        };
        match (parsed, end) {
            (Err(error), _) => {
                let inner = error.inner();
                let at = offset(&text, inner.line(), inner.column());
                Err(invalid(error.path().to_string(), inner.to_string(), at, text))
            }
            (Ok(_), Err(error)) => {
                let at = offset(&text, error.line(), error.column());
                Err(invalid(".".to_owned(), error.to_string(), at, text))
            }
            (Ok(settings), Ok(())) => match settings.problem() {
                None => Ok(settings),
                Some((field, reason)) => {
                    let at = text.find(&format!("\"{field}\"")).unwrap_or_default();
                    Err(invalid(field.to_owned(), reason.to_owned(), at, text))
                }
            },
        }
    }

    /// The first invalid setting, with the reason.
    fn problem(&self) -> Option<(&'static str, &'static str)> {
        let checks = [
            (self.zone.is_empty(), "zone", "name the availability zone of this instance"),
            (self.kv.is_empty(), "kv", "name at least one endpoint of the key-value service"),
            (self.threads == 0, "threads", "at least one thread is needed"),
            (self.limits.body_bytes == 0, "body_bytes", "callers must be able to send a body"),
            (self.limits.head_bytes < 8_192, "head_bytes", "the minimum is 8192"),
            (self.limits.connections == 0, "connections", "callers must be able to connect"),
            (self.limits.held_parts == 0, "held_parts", "the minimum is 1"),
            (self.times.poll.is_zero(), "poll_ms", "the minimum is 1"),
            (self.times.list.is_zero(), "list_ms", "the minimum is 1"),
            (self.times.stall.is_zero(), "stall_ms", "the minimum is 1"),
            (self.times.silence.is_zero(), "silence_ms", "the minimum is 1"),
        ];
        checks.into_iter().find(|(invalid, ..)| *invalid).map(|(_, field, reason)| (field, reason))
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self { body_bytes: 8 << 20, head_bytes: 32 << 10, connections: 20_000, held_parts: 32 }
    }
}

impl Default for Times {
    fn default() -> Self {
        Self {
            stop_notice: Duration::from_secs(2),
            stall: Duration::from_secs(30),
            silence: Duration::from_secs(30),
            poll: Duration::from_millis(250),
            list: Duration::from_secs(1),
        }
    }
}

impl Default for Log {
    fn default() -> Self {
        Self { format: Format::Text, level: "info,salvo_core=warn".to_owned() }
    }
}

/// Why settings are unusable.
#[derive(Debug, Diagnostic, Error)]
pub enum Fault {
    /// The file can't be read.
    #[error("the settings file {path} can't be read")]
    #[diagnostic(help("check the path given to --settings and the file's permissions"))]
    Unreadable {
        /// Path of the file.
        path: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A setting is malformed or out of range.
    #[error("the setting `{field}` is invalid: {reason}")]
    #[diagnostic(help("correct the setting at the marked place and run `acaciad --check`"))]
    Invalid {
        /// Path of the setting.
        field: String,
        /// Why it is invalid.
        reason: String,
        /// Excerpt of the file.
        #[source_code]
        text: NamedSource<String>,
        /// Position in the excerpt.
        #[label("here")]
        at: SourceSpan,
    },
}

/// Byte offset of a line and column, both counted from one.
fn offset(text: &str, line: usize, column: usize) -> usize {
    let before: usize = text.split_inclusive('\n').take(line.saturating_sub(1)).map(str::len).sum();
    (before + column.saturating_sub(1)).min(text.len())
}

fn default_name() -> Name {
    "daemon".into()
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn default_threads() -> usize {
    2
}

fn millis<'de, D: Deserializer<'de>>(from: D) -> Result<Duration, D::Error> {
    u64::deserialize(from).map(Duration::from_millis)
}

fn strategy<'de, D: Deserializer<'de>>(from: D) -> Result<Strategy, D::Error> {
    let name = String::deserialize(from)?;
    name.parse().map_err(|_| serde::de::Error::custom(format!("there is no strategy `{name}`")))
}
