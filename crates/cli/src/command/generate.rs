//! `acacia generate`.

use acacia_catalog::generate::Size;
use bpaf::Bpaf;

use crate::output::{Format, format};
use crate::{Exit, Failure};

/// Prints a configuration of a stated size.
#[derive(Bpaf, Clone, Debug)]
pub struct Generate {
    #[bpaf(external)]
    pub(super) format: Format,
    /// Seed of the secrets; the same seed gives the same configuration
    #[bpaf(long, argument("SEED"), fallback(1), display_fallback)]
    seed: u64,
    /// The size: actas, ferreira or two-years
    #[bpaf(positional("SIZE"))]
    size: Size,
}

impl Generate {
    pub(super) fn run(self) -> Result<(), Failure> {
        let text = serde_json::to_string_pretty(&self.size.plan().document(self.seed))
            .map_err(|e| Failure::new(Exit::Refused, "unprintable", e.to_string()))?;
        println!("{text}");
        Ok(())
    }
}
