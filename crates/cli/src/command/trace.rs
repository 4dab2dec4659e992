//! `acacia trace`.

use bpaf::Bpaf;

use crate::Failure;
use crate::connection::{Connection, connection};
use crate::output::{self, Format, format};

/// Shows the hops of a request.
#[derive(Bpaf, Clone, Debug)]
pub struct Trace {
    #[bpaf(external)]
    pub(super) format: Format,
    #[bpaf(external)]
    connection: Connection,
    /// The trace id, as given in answers and errors
    #[bpaf(positional("ID"))]
    id: String,
}

impl Trace {
    pub(super) async fn run(self) -> Result<(), Failure> {
        output::print(self.format, &self.connection.client()?.trace(&self.id).await?);
        Ok(())
    }
}
