//! Compares placement rules under the same workload.

use std::path::PathBuf;
use std::time::Duration;

use acacia_policy::gateway::Placement;
use comfy_table::{Table, presets::UTF8_FULL_CONDENSED};

use super::Error;
use super::fault::Fault;
use super::profile::Profile;
use super::report::{Class, Report};
use super::run::{self, Plan};
use super::workload::Shape;
use crate::compare::write;
use crate::demo::{Verdict, progress};
use crate::load::page;
use crate::load::workload::User;

/// Options of a comparison.
#[derive(Clone, Debug)]
pub struct Options {
    /// User whose workload is run.
    pub user: User,
    /// The placement rules to compare.
    pub placements: Vec<Placement>,
    /// How the load changes over a run.
    pub shape: Shape,
    /// Factor by which the load is multiplied.
    pub load: f64,
    /// How long callers send requests.
    pub length: Duration,
    /// Faults to inject.
    pub faults: Vec<Fault>,
    /// Seed of the workload.
    pub seed: u64,
    /// File for the report as JSON; an HTML page of plots is written next to it.
    pub report: Option<PathBuf>,
    /// Whether to print the report as JSON.
    pub json: bool,
}

/// Runs the placement rules one after another and prints their reports side by side.
///
/// # Errors
/// If a deployment can't run, or the report can't be written.
pub async fn compare(options: &Options) -> Result<Verdict, crate::compare::Error> {
    let mut reports = Vec::new();
    for placement in &options.placements {
        reports.push(run_placement(options, *placement).await?);
    }
    let json = serde_json::to_string_pretty(&reports).expect("a report is plain data");
    if let Some(path) = &options.report {
        write(path, &json)?;
        write(&path.with_extension("html"), &page::render_platform(&reports))?;
    }
    if options.json {
        println!("{json}");
    } else {
        println!("{}", table(&reports));
        for report in &reports {
            for (error, count) in &report.errors {
                println!("{}: {count} x {error}", report.placement);
            }
        }
    }
    let violations: Vec<_> = reports.iter().flat_map(Report::violations).collect();
    for violation in &violations {
        eprintln!("guarantee violated: {violation}");
    }
    Ok(if violations.is_empty() { Verdict::Passed } else { Verdict::Failed })
}

async fn run_placement(options: &Options, placement: Placement) -> Result<Report, Error> {
    let plan = Plan {
        profile: Profile::of(options.user),
        placement,
        shape: options.shape,
        load: options.load,
        length: options.length,
        faults: options.faults.clone(),
        seed: options.seed,
    };
    let bar = progress(&placement.to_string());
    let result = run::run(&plan, &bar).await;
    bar.finish_and_clear();
    result
}

fn table(reports: &[Report]) -> Table {
    let mut table = Table::new();
    table.load_preset(UTF8_FULL_CONDENSED);
    let names = reports.iter().map(|report| report.placement.clone());
    table.set_header(std::iter::once(String::new()).chain(names));
    let mut row = |name: String, value: &dyn Fn(&Report) -> String| {
        table.add_row(std::iter::once(name).chain(reports.iter().map(value)));
    };
    let classes = reports.first().into_iter().flat_map(|report| report.classes.keys());
    for name in classes {
        let of = |report: &Report| report.classes.get(name).cloned().unwrap_or_default();
        row(format!("{name}: asked, in time, late, refused, broken"), &|r| ends(&of(r)));
        row(format!("{name}: first event p50 / p95 / p99 ms"), &|r| {
            let Class { first, .. } = of(r);
            format!("{:.0} / {:.0} / {:.0}", first.p50_ms, first.p95_ms, first.p99_ms)
        });
    }
    row("worth".to_owned(), &|r| format!("{:.3}", r.value_share));
    row("prompts' tokens read".to_owned(), &|r| format!("{:.1}%", r.prefill_share() * 100.0));
    row("wrong answers".to_owned(), &|r| {
        r.classes.values().map(|class| class.wrong).sum::<u64>().to_string()
    });
    row("duplicates".to_owned(), &|r| r.duplicates.to_string());
    row("wrong parts used".to_owned(), &|r| r.wrong_parts.to_string());
    table
}

fn ends(class: &Class) -> String {
    let Class { requests, in_time, late, refused, broken, .. } = class;
    format!("{requests}, {in_time}, {late}, {refused}, {broken}")
}
