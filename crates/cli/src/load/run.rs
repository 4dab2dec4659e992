//! Runs a workload on a new system, moves a zone meanwhile, and reports the result.

use std::time::Duration;

use acacia_catalog::object::AdminState;
use acacia_policy::dispatch::Strategy;
use acacia_standin::counter::Counter;
use indicatif::ProgressBar;

use super::client::{Balancer, Client};
use super::execute::{self, Target};
use super::record::Record;
use super::report::{self, Link, Phase, Report, Tokens};
use super::workload::{ORGANISATIONS, Shape, User, Workload};
use crate::system::layout::{self, Layout};
use crate::system::{Error, System};

/// Index of the zone that is taken out of service and back.
const MOVED_ZONE: usize = 1;
/// When the zone is taken out, as a share of the workload's length.
const OUT_SHARE: f64 = 0.45;
/// When the zone is taken back, as a share of the workload's length.
const BACK_SHARE: f64 = 0.7;

/// Plan of a run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// User whose workload is run.
    pub user: User,
    /// Shape of the workload.
    pub shape: Shape,
    /// Size of the system.
    pub layout: Layout,
    /// How requests are routed.
    pub strategy: Strategy,
    /// Seed of the workload.
    pub seed: u64,
    /// Factor by which the stand-ins' clock is sped up.
    pub scale: f64,
    /// Whether a zone is taken out of service and back.
    pub zone_move: bool,
}

/// Runs a plan; returns the system, still running, and the report.
///
/// # Errors
/// If the system can't be started or the zone can't be moved.
pub async fn run(plan: &Plan, bar: &ProgressBar) -> Result<(System, Report), Error> {
    let system = System::start(plan.layout.clone(), plan.strategy, plan.scale).await?;
    system.warm_up().await?;
    let before = Counters::read(&system);
    let workload = Workload::draw(&plan.shape, plan.seed);
    let phases = phases(workload.length);
    bar.set_length(workload.items.len() as u64);
    let moves = async {
        if plan.zone_move { move_zone(&system, &phases, plan.scale).await } else { Ok(()) }
    };
    let execution = execute::execute(workload, target(&system, plan), bar);
    let (records, moved) = tokio::join!(execution, moves);
    moved?;
    let report = summarise(plan, &Counters::read(&system).since(&before), &records, &phases);
    Ok((system, report))
}

fn target(system: &System, plan: &Plan) -> Target {
    Target {
        client: Client::new(Balancer::new(system.entries())),
        keys: (0..ORGANISATIONS).map(layout::key).collect(),
        model: layout::MODEL.to_owned(),
        versions: vec![layout::VERSION.to_owned()],
        service: layout::SERVICE.to_owned(),
        scale: plan.scale,
    }
}

fn phases(length: Duration) -> [Phase; 3] {
    let phase = |name: &str, from: f64, to: f64| Phase {
        name: name.to_owned(),
        from: length.mul_f64(from),
        to: length.mul_f64(to),
    };
    [
        phase("steady", 0.0, OUT_SHARE),
        phase("zone out", OUT_SHARE, BACK_SHARE),
        phase("zone back", BACK_SHARE, 1.0),
    ]
}

async fn move_zone(system: &System, phases: &[Phase; 3], scale: f64) -> Result<(), Error> {
    let [_, out, back] = phases;
    tokio::time::sleep(out.from.div_f64(scale)).await;
    system.move_zone(MOVED_ZONE, AdminState::Out).await?;
    tokio::time::sleep((back.from - out.from).div_f64(scale)).await;
    system.move_zone(MOVED_ZONE, AdminState::In).await?;
    Ok(())
}

/// Counters of the stand-ins.
#[derive(Clone, Copy, Debug)]
struct Counters {
    computed: u64,
    imported: u64,
    exported: u64,
    duplicates: u64,
    cold_excess: u64,
    wrong_blocks: u64,
}

impl Counters {
    fn read(system: &System) -> Self {
        let standins = &system.standins;
        Self {
            computed: standins.engines(Counter::PromptTokensComputed),
            imported: standins.engines(Counter::ImportedBytes),
            exported: standins.engines(Counter::ExportedBytes),
            duplicates: standins.services(Counter::Duplicates),
            cold_excess: standins.engines(Counter::ColdExcess)
                + standins.services(Counter::ColdExcess),
            wrong_blocks: standins.engines(Counter::WrongBlockRead)
                + standins.engines(Counter::WrongPrefixRead),
        }
    }

    /// Tokens and bytes counted since `before`; violations are counted from the start of the
    /// system.
    fn since(self, before: &Self) -> Self {
        Self {
            computed: self.computed - before.computed,
            imported: self.imported - before.imported,
            exported: self.exported - before.exported,
            ..self
        }
    }
}

fn summarise(plan: &Plan, counters: &Counters, records: &[Record], phases: &[Phase]) -> Report {
    Report {
        user: plan.user,
        strategy: plan.strategy.to_string(),
        seed: plan.seed,
        scale: plan.scale,
        counts: report::counts(records),
        first_token: report::first_token(records, plan.scale),
        phases: report::phases(records, phases, plan.scale),
        tokens: Tokens {
            prompt: records.iter().map(|r| r.prompt_tokens).sum(),
            computed: counters.computed,
            floor: records.iter().map(|r| r.floor_tokens).sum(),
        },
        link: Link { imported: counters.imported, exported: counters.exported },
        duplicates: counters.duplicates,
        cold_excess: counters.cold_excess,
        wrong_blocks: counters.wrong_blocks,
        errors: report::errors(records),
        points: report::points(records, plan.scale),
    }
}
