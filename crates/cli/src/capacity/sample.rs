//! Measured samples, stored as one JSON object per line.

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
    /// Control state machines in simulated time.
    Control(Control),
    /// Checks and changes of a configuration.
    Catalogue(Catalogue),
    /// Idle daemons in one process, connected by real sockets.
    Fleet(Fleet),
    /// Requests through one daemon.
    Traffic(Traffic),
}

/// Control costs at one size, as printed by the `slopes` example of the policy package.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Control {
    /// Phase of the run: `idle` or `work`.
    pub phase: String,
    /// Daemons.
    pub daemons: f64,
    /// Upstreams.
    pub upstreams: f64,
    /// Organisations.
    pub organisations: f64,
    /// Configuration changes per minute.
    pub changes_per_minute: f64,
    /// Claims per second, over all daemons.
    pub claims_per_second: f64,
    /// Reads from the key-value service per second, over all daemons, without watches.
    pub kv_reads_per_second: f64,
    /// Writes to the key-value service per second, over all daemons.
    pub kv_writes_per_second: f64,
    /// Writes for claims per second, over all daemons.
    pub kv_claim_writes_per_second: f64,
    /// Watches started per second, over all daemons.
    pub kv_watch_calls_per_second: f64,
    /// Open watches, over all daemons.
    pub kv_watches_waiting: f64,
    /// Messages sent per second and daemon.
    pub messages_per_second_per_daemon: f64,
    /// Bytes sent per second and daemon.
    pub bytes_per_second_per_daemon: f64,
    /// Share of a core that one daemon uses.
    pub cpu_share_per_daemon: f64,
    /// Bytes of memory that one daemon uses.
    pub memory_bytes_per_daemon: f64,
    /// Time until a change is in force on every daemon, in milliseconds.
    pub change_spread_ms: f64,
    /// Size of the encoded membership, in bytes.
    #[serde(default)]
    pub epoch_bytes: Option<f64>,
}

/// Costs of a configuration at one size.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Catalogue {
    /// Organisations.
    pub catalogue_organisations: f64,
    /// Upstreams.
    pub catalogue_upstreams: f64,
    /// Time to check the whole set, in milliseconds.
    pub check_ms: f64,
    /// Chunks that the set is split into.
    pub chunks: f64,
    /// Total size of the chunks, in bytes.
    pub set_bytes: f64,
    /// Size of the chunks altered by a change to one upstream, in bytes.
    pub change_bytes: f64,
}

/// Costs of idle daemons connected by real sockets.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Fleet {
    /// Daemons in the process.
    pub fleet_daemons: f64,
    /// Calls to the key-value service per second, over all daemons, including started watches.
    pub kv_calls_per_second: f64,
    /// Bytes sent to peers per second and daemon.
    pub peer_bytes_per_second: f64,
    /// CPU time of one daemon's control thread, as a share of a core.
    pub control_cpu_share: f64,
}

/// CPU cost of requests in one daemon's traffic threads.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Traffic {
    /// Requests sent.
    pub traffic_requests: f64,
    /// Output tokens per request, each sent as a chunk of its own.
    pub traffic_tokens: f64,
    /// CPU time per request, in microseconds.
    pub cpu_us_per_request: f64,
}

/// Why samples can't be read.
#[derive(Debug, Diagnostic, Error)]
pub enum Error {
    /// A file can't be read.
    #[error("{path}: {source}")]
    #[diagnostic(help("give existing files of samples, one JSON object per line"))]
    File {
        /// The file.
        path: String,
        /// Cause.
        source: io::Error,
    },
    /// A line is not a sample.
    #[error("{path}, line {line}: not a sample: {source}")]
    #[diagnostic(help(
        "samples are printed by `acacia capacity measure` and by the slopes example"
    ))]
    Line {
        /// The file.
        path: String,
        /// The line number, starting at one.
        line: usize,
        /// Cause.
        source: serde_json::Error,
    },
}

/// Reads the samples of several files.
///
/// # Errors
/// If a file can't be read or a line is not a sample.
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
