//! `acacia schema`.

use acacia_catalog::Document;
use bpaf::Bpaf;

use crate::output::{Format, format};
use crate::{Exit, Failure};

/// Prints the JSON Schema of configurations.
#[derive(Bpaf, Clone, Debug)]
pub struct Schema {
    #[bpaf(external)]
    pub(super) format: Format,
}

impl Schema {
    pub(super) fn run(self) -> Result<(), Failure> {
        let schema = schemars::schema_for!(Document);
        let text = serde_json::to_string_pretty(&schema)
            .map_err(|e| Failure::new(Exit::Refused, "unprintable", e.to_string()))?;
        println!("{text}");
        Ok(())
    }
}
