//! `acacia load`: the same workload under one or several strategies, side by side.

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

/// What a comparison is asked.
#[derive(Clone, Debug)]
pub struct Options {
    /// Whose workload is played.
    pub user: User,
    /// The strategies.
    pub strategies: Vec<Strategy>,
    /// Factor by which the model's time is sped up.
    pub scale: f64,
    /// Seed of the workload.
    pub seed: u64,
    /// Whether a zone leaves and returns.
    pub zone_move: bool,
    /// Where the report goes as JSON; a page of plots goes beside it.
    pub report: Option<PathBuf>,
    /// Whether the report is printed as JSON.
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
    #[error("the report can't be written to {path}")]
    #[diagnostic(help("name a file in a directory that exists and may be written"))]
    Write {
        /// The file.
        path: String,
        /// Why.
        source: io::Error,
    },
}

/// Runs the strategies one after another and reports them side by side.
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
        eprintln!("broken promise: {violation}");
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
