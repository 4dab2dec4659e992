//! `acacia history`.

use bpaf::Bpaf;

use crate::Failure;
use crate::connection::{Connection, connection};
use crate::output::{self, Format, format};

/// Prints accepted changes.
#[derive(Bpaf, Clone, Debug)]
pub struct History {
    #[bpaf(external)]
    pub(super) format: Format,
    #[bpaf(external)]
    connection: Connection,
}

impl History {
    pub(super) async fn run(self) -> Result<(), Failure> {
        output::print(self.format, &self.connection.client()?.history().await?);
        Ok(())
    }
}
