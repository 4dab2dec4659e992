//! `acacia demo`.

use bpaf::Bpaf;

use super::load::{judged, system_failure};
use crate::Failure;
use crate::demo::{self, Options};
use crate::output::{Format, format};

/// Plays a small workload against a whole system on loopback.
#[derive(Bpaf, Clone, Debug)]
pub struct Demo {
    /// Factor by which the stand-ins' time is sped up
    #[bpaf(argument("FACTOR"), fallback(10.0), display_fallback)]
    pub(super) scale: f64,
    /// Seed of the workload
    #[bpaf(argument("NUMBER"), fallback(1), display_fallback)]
    pub(super) seed: u64,
    /// Stay up at the end and print the addresses
    pub(super) keep: bool,
    #[bpaf(external)]
    pub(super) format: Format,
}

impl Demo {
    pub(super) async fn run(self) -> Result<(), Failure> {
        let Self { scale, seed, keep, format } = self;
        let options = Options { scale, seed, keep, json: format == Format::Json };
        judged(demo::demo(&options).await.map_err(system_failure)?)
    }
}
