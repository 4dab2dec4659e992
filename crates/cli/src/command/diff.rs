//! `acacia diff`.

use std::path::PathBuf;

use bpaf::Bpaf;

use crate::connection::{Connection, connection};
use crate::output::{self, Format, format};
use crate::source::Source;
use crate::{Exit, Failure};

/// Shows what a file would change.
#[derive(Bpaf, Clone, Debug)]
pub struct Diff {
    #[bpaf(external)]
    pub(super) format: Format,
    #[bpaf(external, optional)]
    connection: Option<Connection>,
    /// The configuration
    #[bpaf(positional("FILE"), complete_shell(bpaf::ShellComp::File { mask: Some("*.json") }))]
    file: PathBuf,
    /// Another configuration to compare with; by default the one in force
    #[bpaf(positional("OTHER"), complete_shell(bpaf::ShellComp::File { mask: Some("*.json") }))]
    other: Option<PathBuf>,
}

impl Diff {
    pub(super) async fn run(self) -> Result<(), Failure> {
        let source = Source::read(&self.file)?;
        let differences = match (&self.other, &self.connection) {
            (Some(other), _) => {
                let other = Source::read(other)?.check()?;
                acacia_catalog::diff::diff(&source.check()?, &other)
            }
            (None, Some(connection)) => {
                connection.client()?.check(&source.file.document).await?.differences
            }
            (None, None) => {
                return Err(Failure::new(Exit::Usage, "usage", "nothing to compare with")
                    .hint("give a second file, or a daemon with `--server`"));
            }
        };
        output::print(self.format, &differences);
        Ok(())
    }
}
