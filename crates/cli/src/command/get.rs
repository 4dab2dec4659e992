//! `acacia get`.

use std::path::PathBuf;

use acacia_catalog::Object;
use acacia_catalog::id::Revision;
use bpaf::Bpaf;
use serde::Serialize;

use crate::connection::{Connection, connection};
use crate::output::{Format, format};
use crate::{Exit, Failure};

/// Prints a configuration, in the form that `apply` takes.
#[derive(Bpaf, Clone, Debug)]
pub struct Get {
    #[bpaf(external)]
    pub(super) format: Format,
    #[bpaf(external)]
    connection: Connection,
    /// An earlier revision
    #[bpaf(long, argument("REVISION"))]
    revision: Option<Revision>,
    /// File to write to instead of standard output
    #[bpaf(long, argument("FILE"))]
    output: Option<PathBuf>,
}

/// Format of a configuration file.
#[derive(Serialize)]
struct File {
    revision: Revision,
    objects: Vec<Object>,
}

impl Get {
    pub(super) async fn run(self) -> Result<(), Failure> {
        let found = self.connection.client()?.configuration(self.revision).await?;
        let file = File { revision: found.revision, objects: found.document.objects };
        let text = serde_json::to_string_pretty(&file)
            .map_err(|e| Failure::new(Exit::Refused, "unprintable", e.to_string()))?;
        let Some(path) = &self.output else {
            println!("{text}");
            return Ok(());
        };
        std::fs::write(path, text + "\n").map_err(|error| {
            let message = format!("can't write {}: {error}", path.display());
            Failure::new(Exit::Refused, "unwritable", message)
        })
    }
}
