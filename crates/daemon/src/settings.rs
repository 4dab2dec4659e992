//! Settings of one daemon, in JSON.

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

/// Settings of one daemon.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Start of the daemon's name; a random part follows, so that each process life has its own.
    #[serde(default = "default_name")]
    pub name: Name,
    /// The availability zone it stands in.
    pub zone: ZoneId,
    /// Where callers reach it.
    #[serde(default = "loopback")]
    pub caller: SocketAddr,
    /// Where operators reach it.
    #[serde(default = "loopback")]
    pub operator: SocketAddr,
    /// Where peers reach it.
    #[serde(default = "loopback")]
    pub peer: SocketAddr,
    /// Peers to ask while the key-value service is down.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// Endpoints of the key-value service.
    pub kv: Vec<SocketAddr>,
    /// The live list.
    pub list: SocketAddr,
    /// Seed of random choices; chosen at random when absent.
    #[serde(default)]
    pub seed: Option<u64>,
    /// How requests are spread over upstreams.
    #[serde(default, deserialize_with = "strategy")]
    pub strategy: Strategy,
    /// Threads for traffic.
    #[serde(default = "default_threads")]
    pub threads: usize,
    /// Operators' keys; without any, nobody may use the administration API.
    #[serde(default)]
    pub operators: Vec<acacia_operator::Key>,
    /// Limits on callers.
    #[serde(default)]
    pub limits: Limits,
    /// Times of the daemon's own work, in milliseconds.
    #[serde(default)]
    pub times: Times,
    /// The log.
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
    /// Connections at once.
    pub connections: usize,
    /// Parts of an answer held for a slow reader.
    pub held_parts: usize,
}

/// Times of the daemon's own work.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Times {
    /// How long the balancer takes to notice that an instance is unready.
    #[serde(rename = "stop_notice_ms", deserialize_with = "millis")]
    pub stop_notice: Duration,
    /// Longest wait for a reader that doesn't read, or a sender that doesn't send.
    #[serde(rename = "stall_ms", deserialize_with = "millis")]
    pub stall: Duration,
    /// Longest silence between two parts of an engine's answer.
    #[serde(rename = "silence_ms", deserialize_with = "millis")]
    pub silence: Duration,
    /// Time between two load reports of one engine.
    #[serde(rename = "poll_ms", deserialize_with = "millis")]
    pub poll: Duration,
    /// Time between two readings of the live list.
    #[serde(rename = "list_ms", deserialize_with = "millis")]
    pub list: Duration,
}

/// The log.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Log {
    /// How lines are written.
    pub format: Format,
    /// Least level, or a filter such as `info,acacia_daemon=debug`.
    pub level: String,
}

/// How log lines are written.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Display, EnumString, Eq, PartialEq, Serialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Format {
    /// For people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

impl Settings {
    /// Settings of a daemon on free loopback ports.
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

    /// Reads and checks a file.
    pub fn read(path: &Path) -> Result<Self, Box<Fault>> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| Fault::Unreadable { path: path.display().to_string(), source })?;
        Self::parse(&path.display().to_string(), text)
    }

    /// Reads and checks a text; `name` is for the error.
    pub fn parse(name: &str, text: String) -> Result<Self, Box<Fault>> {
        let mut reader = serde_json::Deserializer::from_str(&text);
        let parsed: Result<Self, _> = serde_path_to_error::deserialize(&mut reader);
        let end = reader.end();
        let invalid = |field: String, reason: String, at: usize, text: String| {
            let excerpt = Excerpt::around(&text, at..at);
            let text = NamedSource::new(name, excerpt.text);
            Box::new(Fault::Invalid { field, reason, text, at: excerpt.place.into() })
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

    /// The first value that can't be used, and why.
    fn problem(&self) -> Option<(&'static str, &'static str)> {
        let checks = [
            (self.zone.is_empty(), "zone", "name the availability zone of this instance"),
            (self.kv.is_empty(), "kv", "name at least one endpoint of the key-value service"),
            (self.threads == 0, "threads", "at least one thread is needed"),
            (self.limits.body_bytes == 0, "body_bytes", "callers must be able to send a body"),
            (self.limits.head_bytes < 8_192, "head_bytes", "the least is 8192"),
            (self.limits.connections == 0, "connections", "callers must be able to connect"),
            (self.limits.held_parts == 0, "held_parts", "the least is 1"),
            (self.times.poll.is_zero(), "poll_ms", "the least is 1"),
            (self.times.list.is_zero(), "list_ms", "the least is 1"),
            (self.times.stall.is_zero(), "stall_ms", "the least is 1"),
            (self.times.silence.is_zero(), "silence_ms", "the least is 1"),
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

/// Why settings can't be used.
#[derive(Debug, Diagnostic, Error)]
pub enum Fault {
    /// The file can't be read.
    #[error("the settings file {path} can't be read")]
    #[diagnostic(help("check the path given to --settings and who may read it"))]
    Unreadable {
        /// The file.
        path: String,
        /// Why.
        source: std::io::Error,
    },
    /// A value is wrong.
    #[error("the setting `{field}` is wrong: {reason}")]
    #[diagnostic(help("mend the setting at the marked place and try `acaciad --check`"))]
    Invalid {
        /// Path of the setting.
        field: String,
        /// What is wrong.
        reason: String,
        /// The text.
        #[source_code]
        text: NamedSource<String>,
        /// Where.
        #[label("here")]
        at: SourceSpan,
    },
}

/// Byte offset of a line and column, both from one.
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
