//! `acacia rollback`.

use acacia_catalog::id::Revision;
use acacia_operator::call;
use bpaf::Bpaf;

use super::apply::{Wait, random_id, retry, wait};
use crate::Failure;
use crate::connection::{Connection, connection};
use crate::output::{Format, format};

/// Puts an earlier configuration in force; zones and upstreams that are out of service stay out.
#[derive(Bpaf, Clone, Debug)]
pub struct Rollback {
    #[bpaf(external)]
    pub(super) format: Format,
    #[bpaf(external)]
    connection: Connection,
    #[bpaf(external)]
    wait: Wait,
    /// Revision that must be in force now; by default any
    #[bpaf(long, argument("REVISION"))]
    base: Option<Revision>,
    /// Change id, for a retry after an unknown outcome; random by default
    #[bpaf(long, argument("ID"))]
    id: Option<String>,
    /// The revision to return to
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
