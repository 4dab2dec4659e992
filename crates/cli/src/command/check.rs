//! `acacia check`.

use std::path::PathBuf;

use acacia_operator::client::Error;
use bpaf::Bpaf;
use serde::Serialize;

use crate::Failure;
use crate::connection::{Connection, connection};
use crate::output::{self, Format, Report, format};
use crate::source::Source;

/// Checks a file; with a connection, also against the configuration in force there.
#[derive(Bpaf, Clone, Debug)]
pub struct Check {
    #[bpaf(external)]
    pub(super) format: Format,
    #[bpaf(external, optional)]
    connection: Option<Connection>,
    /// The configuration; `-` reads standard input
    #[bpaf(positional("FILE"), complete_shell(bpaf::ShellComp::File { mask: Some("*.json") }))]
    file: PathBuf,
}

/// Result of a check that found no problem.
#[derive(Serialize)]
struct Valid {
    objects: usize,
}

impl Report for Valid {
    fn text(&self) -> String {
        format!("{} objects, no problem", self.objects)
    }
}

impl Check {
    pub(super) async fn run(self) -> Result<(), Failure> {
        let source = Source::read(&self.file)?;
        let Some(connection) = &self.connection else {
            let objects = source.check()?.len();
            output::print(self.format, &Valid { objects });
            return Ok(());
        };
        match connection.client()?.check(&source.file.document).await {
            Ok(checked) => output::print(self.format, &checked),
            Err(Error::Refused(fault)) if !fault.problems.is_empty() => {
                return Err(source.invalid(&fault.problems));
            }
            Err(error) => return Err(error.into()),
        }
        Ok(())
    }
}
