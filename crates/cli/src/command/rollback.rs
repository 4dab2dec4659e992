//! `acacia rollback`.

use acacia_catalog::id::Revision;
use acacia_operator::call;
use bpaf::Bpaf;

use super::apply::{Wait, random_id, retry, wait};
use crate::Failure;
use crate::connection::{Connection, connection};
use crate::output::{Format, format};

/// Puts an earlier configuration in force; what is out now stays out.
#[derive(Bpaf, Clone, Debug)]
pub struct Rollback {
    #[bpaf(external)]
    pub(super) format: Format,
    #[bpaf(external)]
    connection: Connection,
    #[bpaf(external)]
    wait: Wait,
    /// Revision that must be in force now; without it, whichever is
    #[bpaf(long, argument("REVISION"))]
    base: Option<Revision>,
    /// Name of the change, to ask again after an unknown outcome; random without it
    #[bpaf(long, argument("ID"))]
    id: Option<String>,
    /// The revision to go back to
    #[bpaf(positional("REVISION"))]
    revision: Revision,
}

impl Rollback {
    pub(super) async fn run(self) -> Result<(), Failure> {
        let client = self.connection.client()?;
        let base = match self.base {
            Some(base) => base,
            None => client.status().await?.revision,
        };
        let rollback = call::Rollback {
            id: self.id.unwrap_or_else(random_id).into(),
            base,
            revision: self.revision,
            wait_ms: self.wait.wait_ms(),
        };
        let accepted = retry(&rollback.id, || client.rollback(&rollback)).await?;
        self.wait.finish(self.format, &accepted)
    }
}
