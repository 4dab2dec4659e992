//! `acacia demo`.

use std::time::Duration;

use acacia_policy::gateway::Placement;
use bpaf::Bpaf;

use super::load::{check_verdict, failure, system_failure};
use crate::Failure;
use crate::demo::{self, Options};
use crate::load::workload::User;
use crate::output::{Format, format};
use crate::platform::compare as platform;
use crate::platform::fault::Fault;
use crate::platform::workload::Shape;

/// How long each placement rule is under load in the platform demo: long enough for nine engines to
/// load new weights.
const PLATFORM_DURATION: Duration = Duration::from_secs(15);

/// Runs a small workload against a whole system on loopback.
#[derive(Bpaf, Clone, Debug)]
pub struct Demo {
    /// Factor by which the stand-ins' clock is sped up
    #[bpaf(argument("FACTOR"), fallback(10.0), display_fallback)]
    pub(super) scale: f64,
    /// Seed of the workload
    #[bpaf(argument("NUMBER"), fallback(1), display_fallback)]
    pub(super) seed: u64,
    /// Run on the platform instead: compare ours with least-loaded while weights change and an
    /// engine fails
    pub(super) platform: bool,
    /// Keep the system running at the end and print its addresses
    pub(super) keep: bool,
    #[bpaf(external)]
    pub(super) format: Format,
}

impl Demo {
    pub(super) async fn run(self) -> Result<(), Failure> {
        let Self { scale, seed, platform, keep, format } = self;
        if platform {
            let options = platform::Options {
                user: User::Actas,
                placements: vec![Placement::LoadAndCache, Placement::LeastLoaded],
                shape: Shape::Steady,
                load: 1.0,
                length: PLATFORM_DURATION,
                faults: vec![Fault::Weights, Fault::Engine],
                seed,
                report: None,
                json: format == Format::Json,
            };
            return check_verdict(platform::compare(&options).await.map_err(failure)?);
        }
        let options = Options { scale, seed, keep, json: format == Format::Json };
        check_verdict(demo::demo(&options).await.map_err(system_failure)?)
    }
}
