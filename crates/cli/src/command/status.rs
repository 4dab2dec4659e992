//! `acacia status`.

use bpaf::Bpaf;

use crate::Failure;
use crate::connection::{Connection, connection};
use crate::output::{self, Format, format};

/// Shows the state of daemons, upstreams and stores.
#[derive(Bpaf, Clone, Debug)]
pub struct Status {
    #[bpaf(external)]
    pub(super) format: Format,
    #[bpaf(external)]
    connection: Connection,
}

impl Status {
    pub(super) async fn run(self) -> Result<(), Failure> {
        output::print(self.format, &self.connection.client()?.status().await?);
        Ok(())
    }
}
