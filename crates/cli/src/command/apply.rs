//! `acacia apply`.

use std::path::PathBuf;
use std::time::Duration;

use acacia_catalog::id::Revision;
use acacia_operator::call::Accepted;
use acacia_operator::{call, client};
use bpaf::Bpaf;
use tokio::time::sleep;

use crate::connection::{Connection, connection};
use crate::output::{self, Format, format};
use crate::source::Source;
use crate::{Exit, Failure};

/// Attempts at a change while its outcome is unknown.
const UNKNOWN_ATTEMPTS: u32 = 10;
/// Attempts at a change while the key-value service or the daemon does not answer.
const UNREACHABLE_ATTEMPTS: u32 = 3;
/// Delay between two attempts.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Puts a file in force.
#[derive(Bpaf, Clone, Debug)]
pub struct Apply {
    #[bpaf(external)]
    pub(super) format: Format,
    #[bpaf(external)]
    connection: Connection,
    #[bpaf(external)]
    wait: Wait,
    /// Revision that the file is based on; by default the one in the file, or 0 if it has none
    #[bpaf(long, argument("REVISION"))]
    base: Option<Revision>,
    /// Change id, for a retry after an unknown outcome; random by default
    #[bpaf(long, argument("ID"))]
    id: Option<String>,
    /// The configuration; `-` reads standard input
    #[bpaf(positional("FILE"), complete_shell(bpaf::ShellComp::File { mask: Some("*.json") }))]
    file: PathBuf,
}

/// Whether and how long to wait until a change is in force.
#[derive(Bpaf, Clone, Copy, Debug)]
pub struct Wait {
    /// Wait until the change is in force on every live daemon
    #[bpaf(long)]
    wait: bool,
    /// Longest wait, in seconds
    #[bpaf(long, argument("SECONDS"), fallback(10), display_fallback)]
    timeout: u64,
}

impl Wait {
    /// Longest wait in milliseconds; zero if the command should not wait.
    pub(super) fn wait_ms(self) -> u64 {
        if self.wait { self.timeout.saturating_mul(1_000) } else { 0 }
    }

    /// Prints an accepted change; fails if the wait ended before it was in force everywhere.
    pub(super) fn finish(self, format: Format, accepted: &Accepted) -> Result<(), Failure> {
        output::print(format, accepted);
        if self.wait && !accepted.propagation.is_complete() {
            let message = "accepted, but not yet in force on every live daemon";
            return Err(Failure::new(Exit::Pending, "pending", message)
                .hint("run `acacia status` to see which daemons lag behind"));
        }
        Ok(())
    }
}

impl Apply {
    pub(super) async fn run(self) -> Result<(), Failure> {
        let source = Source::read(&self.file)?;
        let client = self.connection.client()?;
        let apply = call::Apply {
            id: self.id.clone().unwrap_or_else(random_id).into(),
            base: self.base.or(source.file.revision).unwrap_or(0),
            document: source.file.document.clone(),
            wait_ms: self.wait.wait_ms(),
        };
        match retry(&apply.id, || client.apply(&apply)).await {
            Ok(accepted) => self.wait.finish(self.format, &accepted),
            Err(failure) => Err(match &failure.fault {
                Some(fault) if !fault.problems.is_empty() => source.invalid(&fault.problems),
                _ => failure,
            }),
        }
    }
}

/// A random 128-bit change id.
pub(super) fn random_id() -> String {
    format!("{:032x}", rand::random::<u128>())
}

/// Repeats a call while its outcome is unknown or the key-value service does not answer. The change
/// id keeps a repeated change from being applied twice.
pub(super) async fn retry<F>(id: &str, call: impl Fn() -> F) -> Result<Accepted, Failure>
where
    F: Future<Output = client::Outcome<Accepted>>,
{
    let mut unknown = false;
    for attempt in 1.. {
        let failure = match call().await {
            Ok(accepted) => return Ok(accepted),
            Err(error) => Failure::from(error),
        };
        let limit = match failure.exit {
            Exit::Unknown => UNKNOWN_ATTEMPTS,
            Exit::Unreachable if unknown => UNKNOWN_ATTEMPTS,
            Exit::Unreachable => UNREACHABLE_ATTEMPTS,
            _ => return Err(failure),
        };
        unknown |= failure.exit == Exit::Unknown;
        if attempt >= limit {
            return Err(if unknown { outcome_unknown(id, failure) } else { failure });
        }
        sleep(RETRY_DELAY).await;
    }
    unreachable!("the attempts are limited")
}

/// The failure if the outcome of any attempt is unknown: that attempt may have been accepted even
/// if the last one was not.
fn outcome_unknown(id: &str, last: Failure) -> Failure {
    let message =
        format!("it is unknown whether the change was accepted; last error: {}", last.message);
    Failure::new(Exit::Unknown, "unknown", message).hint(format!("retry with `--id {id}`"))
}
