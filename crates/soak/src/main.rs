//! Runs seeds and prints a line for each; fails if a guarantee was violated.

use std::path::PathBuf;
use std::time::Duration;

use acacia_soak::fault::Scenario;
use acacia_soak::regression::REGRESSIONS;
use acacia_soak::run::{Outcome, Plan, run};
use bpaf::Bpaf;
use futures::{StreamExt, stream};
use miette::IntoDiagnostic;

/// Inject faults into real processes, from seeds
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
struct Arguments {
    /// The first seed
    #[bpaf(argument("NUMBER"), fallback(1), display_fallback)]
    seed: u64,
    /// Number of seeds
    #[bpaf(argument("NUMBER"), fallback(1), display_fallback)]
    count: u64,
    /// Run the seeds of known regressions instead
    regressions: bool,
    /// The faults: mixed, silences, crashes, short_budgets, limits, cuts, or brittle
    #[bpaf(argument("NAME"), fallback(Scenario::Mixed), display_fallback)]
    scenario: Scenario,
    /// Seeds that run concurrently
    #[bpaf(argument("NUMBER"), fallback(2), display_fallback)]
    jobs: usize,
    /// Entry instances per seed
    #[bpaf(argument("NUMBER"), fallback(3), display_fallback)]
    instances: usize,
    /// Period in which faults begin
    #[bpaf(argument("SECONDS"), fallback(8), display_fallback)]
    seconds: u64,
    /// The acaciad program; by default the one next to this program
    #[bpaf(argument("FILE"), optional)]
    daemon: Option<PathBuf>,
    /// Folder for the logs of failed seeds
    #[bpaf(argument("FOLDER"), optional)]
    logs: Option<PathBuf>,
}

#[tokio::main]
async fn main() -> miette::Result<()> {
    let arguments = arguments().run();
    let executable = std::env::current_exe().into_diagnostic()?;
    let folder = format!("acacia-soak-{}", std::process::id());
    let plan = Plan {
        daemon: arguments.daemon.unwrap_or_else(|| executable.with_file_name("acaciad")),
        instances: arguments.instances.max(1),
        length: Duration::from_secs(arguments.seconds),
        folder: arguments.logs.unwrap_or_else(|| std::env::temp_dir().join(folder)),
        scenario: arguments.scenario,
        has_later_kinds: !arguments.regressions,
    };
    let seeds: Vec<u64> = if arguments.regressions {
        REGRESSIONS.iter().map(|(seed, _)| *seed).collect()
    } else {
        (arguments.seed..arguments.seed + arguments.count).collect()
    };
    let outcomes = stream::iter(seeds).map(|seed| run(&plan, seed));
    let mut outcomes = std::pin::pin!(outcomes.buffered(arguments.jobs.max(1)));
    let mut failed = Vec::new();
    while let Some(outcome) = outcomes.next().await {
        let outcome = outcome.into_diagnostic()?;
        print(&outcome);
        if outcome.violations.is_empty() {
            // Only logs of failed seeds are kept.
            let _ = std::fs::remove_dir_all(&outcome.folder);
        } else {
            failed.push(outcome.seed);
        }
    }
    if failed.is_empty() {
        return Ok(());
    }
    Err(miette::miette!(
        help = "reproduce one with --seed N and the same --scenario; the folder of its logs is printed above",
        "guarantees were violated with the seeds {failed:?}"
    ))
}

fn print(outcome: &Outcome) {
    let (all, served) = outcome.requests;
    let verdict = if outcome.violations.is_empty() { "kept" } else { "BROKEN" };
    let culprits: String =
        outcome.culprits.iter().map(|culprit| format!(", culprit {culprit}")).collect();
    let falls = match &*outcome.falls {
        [] => String::new(),
        falls => format!(", falls while brittle {falls:?}"),
    };
    println!(
        "seed {}: {verdict}, {served} of {all} requests served{culprits}{falls}",
        outcome.seed
    );
    for violation in &outcome.violations {
        println!("  {violation}");
    }
    if !outcome.violations.is_empty() {
        println!("  logs: {}", outcome.folder.display());
    }
}
