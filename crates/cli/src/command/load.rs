//! `acacia load`.

use std::path::PathBuf;
use std::time::Duration;

use acacia_policy::dispatch::Strategy;
use acacia_policy::gateway::Placement;
use bpaf::Bpaf;

use crate::compare::{self, Error, Options};
use crate::demo::Verdict;
use crate::load::workload::User;
use crate::output::{Format, format};
use crate::platform::compare as platform;
use crate::platform::fault::Fault;
use crate::platform::workload::Shape;
use crate::{Exit, Failure, system};

/// Runs a user's workload under one or several strategies and compares them.
#[derive(Bpaf, Clone, Debug)]
pub struct Load {
    /// User whose workload is run: actas or ferreira
    #[bpaf(argument("USER"), fallback(User::Actas), display_fallback)]
    pub(super) profile: User,
    /// A strategy: ours, least-loaded, affinity, no-import or export-all; may be repeated
    #[bpaf(argument("STRATEGY"), many)]
    pub(super) strategy: Vec<Strategy>,
    /// Factor by which the stand-ins' clock is sped up
    #[bpaf(argument("FACTOR"), fallback(10.0), display_fallback)]
    pub(super) scale: f64,
    /// Seed of the workload
    #[bpaf(argument("NUMBER"), fallback(1), display_fallback)]
    pub(super) seed: u64,
    /// Take an availability zone out of service and back during the run
    pub(super) zone_move: bool,
    /// Run on the platform instead, with entry instances in this process
    pub(super) platform: bool,
    /// On the platform, a placement rule: ours, least-loaded or random; may be repeated
    #[bpaf(argument("RULE"), many)]
    pub(super) placement: Vec<Placement>,
    /// On the platform, how the load changes: steady, ramp or spike
    #[bpaf(argument("SHAPE"), fallback(Shape::Steady), display_fallback)]
    pub(super) shape: Shape,
    /// On the platform, a fault to inject: engine, streams, weights, store or cache; repeatable
    #[bpaf(long("trouble"), argument("TROUBLE"), many)]
    pub(super) fault: Vec<Fault>,
    /// On the platform, a factor by which the load is multiplied
    #[bpaf(
        argument("FACTOR"),
        fallback(1.0),
        display_fallback,
        guard(is_positive, "must be above zero")
    )]
    pub(super) load: f64,
    /// On the platform, how long callers send requests
    #[bpaf(
        argument("SECONDS"),
        fallback(20.0),
        display_fallback,
        guard(is_positive, "must be above zero")
    )]
    pub(super) seconds: f64,
    /// Write the report to this file as JSON, and an HTML page of plots next to it
    #[bpaf(argument("FILE"), optional)]
    pub(super) report: Option<PathBuf>,
    #[bpaf(external)]
    pub(super) format: Format,
}

impl Load {
    pub(super) async fn run(self) -> Result<(), Failure> {
        if self.platform {
            return self.run_platform().await;
        }
        let mut strategies = self.strategy;
        if strategies.is_empty() {
            strategies.push(Strategy::TimeToFirstToken);
        }
        let options = Options {
            user: self.profile,
            strategies,
            scale: self.scale,
            seed: self.seed,
            zone_move: self.zone_move,
            report: self.report,
            json: self.format == Format::Json,
        };
        check_verdict(compare::compare(&options).await.map_err(failure)?)
    }

    async fn run_platform(self) -> Result<(), Failure> {
        let mut placements = self.placement;
        if placements.is_empty() {
            placements.push(Placement::LoadAndCache);
        }
        let options = platform::Options {
            user: self.profile,
            placements,
            shape: self.shape,
            load: self.load,
            length: Duration::from_secs_f64(self.seconds),
            faults: self.fault,
            seed: self.seed,
            report: self.report,
            json: self.format == Format::Json,
        };
        check_verdict(platform::compare(&options).await.map_err(failure)?)
    }
}

fn is_positive(factor: &f64) -> bool {
    *factor > 0.0
}

/// Fails the command if the run violated a guarantee.
pub(super) fn check_verdict(verdict: Verdict) -> Result<(), Failure> {
    match verdict {
        Verdict::Passed => Ok(()),
        Verdict::Failed => Err(Failure::new(
            Exit::Refused,
            "promise_broken",
            "the run violated guarantees; they are listed above",
        )),
    }
}

/// Converts an error of a system into a failure of the command.
pub(super) fn system_failure(error: system::Error) -> Failure {
    Failure::new(Exit::Refused, "system", error.to_string())
        .hint("close other programs that use many ports, or look at the daemons' logs")
}

/// Converts an error of a comparison into a failure of the command.
pub(super) fn failure(error: Error) -> Failure {
    match error {
        Error::System(error) => system_failure(error),
        Error::Platform(error) => Failure::new(Exit::Refused, "site", error.to_string()).hint(
            "close other programs that use many ports, or look at the logs with RUST_LOG=info",
        ),
        Error::Write { .. } => Failure::new(Exit::Refused, "unwritable", error.to_string())
            .hint("choose a file in an existing, writable directory"),
    }
}
