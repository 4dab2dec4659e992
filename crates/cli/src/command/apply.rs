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

/// Times that a change is asked for while its outcome is unknown.
const UNKNOWN_ATTEMPTS: u32 = 10;
/// Times that a change is asked for while the key-value service or the daemon does not answer.
const UNREACHABLE_ATTEMPTS: u32 = 3;
/// Time between two of them.
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
    /// Revision that the file was made from; without it, the file's own, or 0 for the first
    #[bpaf(long, argument("REVISION"))]
    base: Option<Revision>,
    /// Name of the change, to ask again after an unknown outcome; random without it
    #[bpaf(long, argument("ID"))]
    id: Option<String>,
    /// The configuration; `-` reads standard input
    #[bpaf(positional("FILE"), complete_shell(bpaf::ShellComp::File { mask: Some("*.json") }))]
    file: PathBuf,
}

/// Whether to wait until a change is in force.
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
    /// Milliseconds to wait.
    pub(super) fn wait_ms(self) -> u64 {
        if self.wait { self.timeout.saturating_mul(1_000) } else { 0 }
    }

    /// Prints an accepted change; fails when it was waited for in vain.
    pub(super) fn finish(self, format: Format, accepted: &Accepted) -> Result<(), Failure> {
        output::print(format, accepted);
        if self.wait && !accepted.force.is_everywhere() {
            let message = "accepted, but not yet in force on every live daemon";
            return Err(Failure::new(Exit::Pending, "pending", message)
                .hint("see `acacia status` for the daemons that lag"));
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

/// A change id that no other change has.
pub(super) fn random_id() -> String {
    format!("{:032x}", rand::random::<u128>())
}

/// Makes a call, and again while its outcome is unknown or the key-value service does not answer;
/// the change id makes that harmless.
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

/// One attempt may have been accepted, whatever became of the last.
fn outcome_unknown(id: &str, last: Failure) -> Failure {
    let message = format!("not known whether the change is accepted; at last: {}", last.message);
    Failure::new(Exit::Unknown, "unknown", message).hint(format!("ask again with `--id {id}`"))
}
