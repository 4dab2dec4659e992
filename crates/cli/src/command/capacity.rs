//! `acacia capacity`.

use std::path::PathBuf;

use bpaf::Bpaf;

use super::load::system_failure;
use crate::capacity::sample::{self, Sample};
use crate::capacity::{measure, table};
use crate::output::{Format, format};
use crate::{Exit, Failure};

/// Measures costs and extrapolates them to the two-year size.
#[derive(Bpaf, Clone, Debug)]
pub enum Capacity {
    /// Measure costs and print samples, one JSON object per line
    #[bpaf(command)]
    Measure {
        #[bpaf(external)]
        format: Format,
    },
    /// Print the tables of docs/CAPACITY.md from files of samples
    #[bpaf(command)]
    Table {
        #[bpaf(external)]
        format: Format,
        /// Files of samples
        #[bpaf(positional("FILE"), some("give at least one file of samples"))]
        files: Vec<PathBuf>,
    },
}

impl Capacity {
    pub(super) fn format(&self) -> Format {
        match self {
            Self::Measure { format } | Self::Table { format, .. } => *format,
        }
    }

    pub(super) async fn run(self) -> Result<(), Failure> {
        match self {
            Self::Measure { .. } => measure::measure(print).await.map_err(system_failure),
            Self::Table { format, files } => tables(format, &files),
        }
    }
}

fn tables(format: Format, files: &[PathBuf]) -> Result<(), Failure> {
    let samples = sample::read(files)
        .map_err(|error| Failure::new(Exit::Refused, "samples", error.to_string()))?;
    match format {
        Format::Text => print!("{}", table::render(&samples)),
        Format::Json => samples.iter().for_each(print),
    }
    Ok(())
}

fn print(sample: &Sample) {
    println!("{}", serde_json::to_string(sample).expect("a sample is plain data"));
}
