//! `acacia load`: compares strategies under the same workload.

use std::fs;
use std::io;
use std::path::PathBuf;

use acacia_policy::dispatch::Strategy;
use miette::Diagnostic;
use thiserror::Error;

use crate::demo::{self, Verdict};
use crate::load::page;
use crate::load::report::Report;
use crate::load::run::{self, Plan};
use crate::load::workload::{Shape, User};
use crate::platform;
use crate::system;
use crate::system::layout::Layout;

/// Options of a comparison.
#[derive(Clone, Debug)]
pub struct Options {
    /// User whose workload is run.
    pub user: User,
    /// The strategies to compare.
    pub strategies: Vec<Strategy>,
    /// Factor by which the stand-ins' clock is sped up.
    pub scale: f64,
    /// Seed of the workload.
    pub seed: u64,
    /// Whether a zone is taken out of service and back.
    pub zone_move: bool,
    /// File for the report as JSON; an HTML page of plots is written next to it.
    pub report: Option<PathBuf>,
    /// Whether to print the report as JSON.
    pub json: bool,
}

/// Why a comparison failed.
#[derive(Debug, Diagnostic, Error)]
pub enum Error {
    /// A system can't run.
    #[error(transparent)]
    #[diagnostic(transparent)]
    System(#[from] system::Error),
    /// A deployment on the platform can't run.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Platform(#[from] platform::Error),
    /// A report can't be written.
    #[error("can't write the report to {path}")]
    #[diagnostic(help("choose a file in an existing, writable directory"))]
    Write {
        /// The file.
        path: String,
        /// Cause.
        source: io::Error,
    },
}

/// Runs the strategies one after another and prints their reports side by side.
///
/// # Errors
/// If a system can't run or the report can't be written.
pub async fn compare(options: &Options) -> Result<Verdict, Error> {
    let mut reports = Vec::with_capacity(options.strategies.len());
    for strategy in &options.strategies {
        reports.push(run_strategy(options, *strategy).await?);
    }
    if let Some(path) = &options.report {
        write(path, &json(&reports))?;
        write(&path.with_extension("html"), &page::render(&reports))?;
    }
    if options.json {
        println!("{}", json(&reports));
    } else {
        println!("{}", demo::table(&reports));
    }
    let violations: Vec<_> = reports.iter().flat_map(demo::violations).collect();
    for violation in &violations {
        eprintln!("guarantee violated: {violation}");
    }
    Ok(if violations.is_empty() { Verdict::Passed } else { Verdict::Failed })
}

async fn run_strategy(options: &Options, strategy: Strategy) -> Result<Report, system::Error> {
    let plan = Plan {
        user: options.user,
        shape: Shape::of(options.user),
        layout: Layout::of(options.user),
        strategy,
        seed: options.seed,
        scale: options.scale,
        zone_move: options.zone_move,
    };
    let bar = demo::progress(&strategy.to_string());
    let result = run::run(&plan, &bar).await;
    bar.finish_and_clear();
    let (system, report) = result?;
    system.stop().await;
    Ok(report)
}

fn json(reports: &[Report]) -> String {
    serde_json::to_string_pretty(reports).expect("a report is plain data")
}

pub(crate) fn write(path: &PathBuf, text: &str) -> Result<(), Error> {
    fs::write(path, text)
        .map_err(|source| Error::Write { path: path.display().to_string(), source })
}
