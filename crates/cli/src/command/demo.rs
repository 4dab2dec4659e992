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

/// How long callers ask in the demo of the platform, with each rule: the weights of nine engines
/// change within it.
const PLATFORM_DURATION: Duration = Duration::from_secs(15);

/// Plays a small workload against a whole system on loopback.
#[derive(Bpaf, Clone, Debug)]
pub struct Demo {
    /// Factor by which the stand-ins' time is sped up
    #[bpaf(argument("FACTOR"), fallback(10.0), display_fallback)]
    pub(super) scale: f64,
    /// Seed of the workload
    #[bpaf(argument("NUMBER"), fallback(1), display_fallback)]
    pub(super) seed: u64,
    /// Show the users' platform instead: ours beside least-loaded while weights change and an engine
    /// goes
    pub(super) platform: bool,
    /// Stay up at the end and print the addresses
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
