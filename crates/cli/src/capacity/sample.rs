//! What was measured, one sample a line of JSON.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};

use miette::Diagnostic;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// One measured point.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(untagged)]
pub enum Sample {
    /// Control machines under virtual time.
    Control(Control),
    /// The configuration.
    Catalogue(Catalogue),
    /// Daemons in one process over real sockets.
    Fleet(Fleet),
    /// Requests through one daemon.
    Traffic(Traffic),
}

/// What control costs at one size, from the `slopes` example of the policy package.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Control {
    /// `idle` or `work`.
    pub phase: String,
    /// Daemons.
    pub daemons: f64,
    /// Upstreams.
    pub upstreams: f64,
    /// Organisations.
    pub organisations: f64,
    /// Changes of the configuration a minute.
    pub changes_per_minute: f64,
    /// Claims a second, over all daemons.
    pub claims_per_second: f64,
    /// Reads of the key-value service a second, over all daemons, watches left out.
    pub kv_reads_per_second: f64,
    /// Writes a second, over all daemons.
    pub kv_writes_per_second: f64,
    /// Writes for claims a second, over all daemons.
    pub kv_claim_writes_per_second: f64,
    /// Watches begun a second, over all daemons.
    pub kv_watch_calls_per_second: f64,
    /// Watches waiting, over all daemons.
    pub kv_watches_waiting: f64,
    /// Messages a second, of one daemon.
    pub messages_per_second_per_daemon: f64,
    /// Bytes a second, of one daemon.
    pub bytes_per_second_per_daemon: f64,
    /// Share of a core, of one daemon.
    pub cpu_share_per_daemon: f64,
    /// Bytes of memory, of one daemon.
    pub memory_bytes_per_daemon: f64,
    /// Time until a change is in force everywhere, in milliseconds.
    pub change_spread_ms: f64,
    /// Bytes of the membership.
    #[serde(default)]
    pub epoch_bytes: Option<f64>,
}

/// What the configuration costs at one size.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Catalogue {
    /// Organisations.
    pub catalogue_organisations: f64,
    /// Upstreams.
    pub catalogue_upstreams: f64,
    /// Time to check the whole set, in milliseconds.
    pub check_ms: f64,
    /// Chunks of the set.
    pub chunks: f64,
    /// Bytes of all chunks.
    pub set_bytes: f64,
    /// Bytes of the chunks that one change of one upstream alters.
    pub change_bytes: f64,
}

/// What daemons cost over real sockets while nothing is asked of them.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Fleet {
    /// Daemons in the process.
    pub fleet_daemons: f64,
    /// Calls of the key-value service a second, over all daemons, watches begun among them.
    pub kv_calls_per_second: f64,
    /// Bytes to peers a second, of one daemon.
    pub peer_bytes_per_second: f64,
    /// Processor time of the control thread, as a share of a core, of one daemon.
    pub control_cpu_share: f64,
}

/// What requests cost in one daemon's traffic threads.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Traffic {
    /// Requests sent.
    pub traffic_requests: f64,
    /// Output tokens of each, each its own chunk.
    pub traffic_tokens: f64,
    /// Processor time of one request, in microseconds.
    pub cpu_us_per_request: f64,
}

/// Why samples can't be read or written.
#[derive(Debug, Diagnostic, Error)]
pub enum Error {
    /// A file can't be read or written.
    #[error("{path}: {source}")]
    #[diagnostic(help("name files of samples that exist, one JSON object a line"))]
    File {
        /// The file.
        path: String,
        /// Why.
        source: io::Error,
    },
    /// A line is no sample.
    #[error("{path}, line {line}: not a sample: {source}")]
    #[diagnostic(help("samples come from `acacia capacity measure` and from the slopes example"))]
    Line {
        /// The file.
        path: String,
        /// The line, from one.
        line: usize,
        /// Why.
        source: serde_json::Error,
    },
}

/// Reads the samples of several files.
pub fn read(paths: &[PathBuf]) -> Result<Vec<Sample>, Error> {
    let mut samples = Vec::new();
    for path in paths {
        samples.extend(read_one(path)?);
    }
    Ok(samples)
}

fn read_one(path: &Path) -> Result<Vec<Sample>, Error> {
    let name = path.display().to_string();
    let text =
        fs::read_to_string(path).map_err(|source| Error::File { path: name.clone(), source })?;
    let lines = text.lines().enumerate().filter(|(_, line)| !line.trim().is_empty());
    lines
        .map(|(index, line)| {
            serde_json::from_str(line).map_err(|source| Error::Line {
                path: name.clone(),
                line: index + 1,
                source,
            })
        })
        .collect()
}
