//! `acacia demo`: runs the whole system on one machine and checks its guarantees.

use std::io::IsTerminal;

use acacia_policy::dispatch::Strategy;
use comfy_table::{Table, presets::UTF8_FULL_CONDENSED};
use indicatif::{ProgressBar, ProgressStyle};

use crate::load::record::Kind;
use crate::load::report::{Count, Percentiles, Report};
use crate::load::run::{self, Plan};
use crate::load::workload::{Shape, User};
use crate::system::layout::{self, Layout};
use crate::system::{Error, OPERATOR_TOKEN, System};

/// Options of the demo.
#[derive(Clone, Debug)]
pub struct Options {
    /// Factor by which the stand-ins' clock is sped up.
    pub scale: f64,
    /// Seed of the workload.
    pub seed: u64,
    /// Whether the system keeps running at the end.
    pub keep: bool,
    /// Whether to print the report as JSON.
    pub json: bool,
}

/// Whether a run kept every guarantee.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// No guarantee was violated.
    Passed,
    /// At least one was violated.
    Failed,
}

/// Runs the demo: the system's own strategy, then least-loaded as a baseline.
///
/// # Errors
/// If a system can't run.
pub async fn demo(options: &Options) -> Result<Verdict, Error> {
    let (system, ours) = run_strategy(options, Strategy::TimeToFirstToken).await?;
    let (baseline_system, baseline) = run_strategy(options, Strategy::LeastLoaded).await?;
    baseline_system.stop().await;
    let violations = violations(&ours);
    print(options, &[ours, baseline], &violations);
    if options.keep {
        keep(&system).await;
    }
    system.stop().await;
    Ok(if violations.is_empty() { Verdict::Passed } else { Verdict::Failed })
}

/// Describes the guarantees that a run violated.
pub fn violations(report: &Report) -> Vec<String> {
    let mut violations = Vec::new();
    let mut check = |count: u64, what: &str| {
        if count > 0 {
            violations.push(format!("{count} {what}"));
        }
    };
    let total = total(report);
    check(total.wrong, "requests got the answer of another request");
    check(total.broken, "answers were interrupted");
    check(total.refused, "requests were refused although the system had capacity");
    check(report.duplicates, "calls that must run at most once ran again");
    check(report.cold_excess, "requests exceeded the limit of a cold upstream");
    check(report.wrong_blocks, "cache blocks belonged to another request");
    violations
}

fn total(report: &Report) -> Count {
    report.counts.values().fold(Count::default(), |sum, c| Count {
        sent: sum.sent + c.sent,
        complete: sum.complete + c.complete,
        refused: sum.refused + c.refused,
        broken: sum.broken + c.broken,
        wrong: sum.wrong + c.wrong,
    })
}

async fn run_strategy(options: &Options, strategy: Strategy) -> Result<(System, Report), Error> {
    let plan = Plan {
        user: User::Actas,
        shape: Shape::small(),
        layout: Layout::small(),
        strategy,
        seed: options.seed,
        scale: options.scale,
        zone_move: true,
    };
    let bar = progress(&strategy.to_string());
    let result = run::run(&plan, &bar).await;
    bar.finish_and_clear();
    result
}

/// A progress bar; hidden if standard error is not a terminal.
pub fn progress(name: &str) -> ProgressBar {
    if !std::io::stderr().is_terminal() {
        return ProgressBar::hidden();
    }
    let style = ProgressStyle::with_template("{msg:14} {wide_bar} {pos}/{len} {elapsed}");
    let bar = ProgressBar::new(0).with_message(name.to_owned());
    bar.set_style(style.expect("the template is valid"));
    bar
}

fn print(options: &Options, reports: &[Report], violations: &[String]) {
    if options.json {
        let text = serde_json::to_string_pretty(reports).expect("a report is plain data");
        println!("{text}");
    } else {
        println!("{}", table(reports));
        for (error, count) in reports.iter().flat_map(|r| &r.errors) {
            println!("{count} x {error}");
        }
    }
    for violation in violations {
        eprintln!("guarantee violated: {violation}");
    }
}

/// Table of reports, one column each.
pub fn table(reports: &[Report]) -> Table {
    let mut table = Table::new();
    table.load_preset(UTF8_FULL_CONDENSED);
    let names = reports.iter().map(|r| r.strategy.clone());
    table.set_header(std::iter::once(String::new()).chain(names));
    let mut row = |name: &str, value: &dyn Fn(&Report) -> String| {
        table.add_row(std::iter::once(name.to_owned()).chain(reports.iter().map(value)));
    };
    row("requests", &|r| total(r).sent.to_string());
    row("answered once and whole", &|r| total(r).complete.to_string());
    row("refused", &|r| total(r).refused.to_string());
    row("broken off", &|r| total(r).broken.to_string());
    row("answered wrongly", &|r| total(r).wrong.to_string());
    row("duplicates at the service", &|r| r.duplicates.to_string());
    row("above a cold limit", &|r| r.cold_excess.to_string());
    for kind in [Kind::First, Kind::Return, Kind::Short] {
        let name = format!("first token, {kind}: p50 / p95 / p99 ms");
        row(&name, &|r| latencies(r.first_token.get(&kind)));
    }
    for phase in ["steady", "zone out", "zone back"] {
        let name = format!("returns, {phase}: p50 / p95 / p99 ms");
        row(&name, &|r| latencies(r.phases.get(phase)));
    }
    row("prompt tokens", &|r| r.tokens.prompt.to_string());
    row("share computed", &|r| percent(r.tokens.computed, r.tokens.prompt));
    row("least share", &|r| percent(r.tokens.floor, r.tokens.prompt));
    row("imported GB", &|r| gigabytes(r.link.imported));
    row("exported GB", &|r| gigabytes(r.link.exported));
    table
}

fn latencies(percentiles: Option<&Percentiles>) -> String {
    let Some(p) = percentiles else { return "-".to_owned() };
    format!("{:.0} / {:.0} / {:.0}", p.p50_ms, p.p95_ms, p.p99_ms)
}

fn percent(part: u64, total: u64) -> String {
    format!("{:.1} %", part as f64 * 100.0 / total.max(1) as f64)
}

fn gigabytes(bytes: u64) -> String {
    format!("{:.1}", bytes as f64 / 1e9)
}

/// Prints the addresses and waits for an interrupt.
async fn keep(system: &System) {
    let entry = system.daemons[0].caller_address();
    let operator = system.daemons[0].operator_address();
    for (name, address, control) in system.standins.table() {
        println!("{name:18} {address}  faults and counters {control}");
    }
    for daemon in &system.daemons {
        println!("daemon             {}", daemon.caller_address());
    }
    let key = layout::key(0);
    println!(
        "\ncurl -N http://{entry}/v1/completions -H 'authorization: Bearer {key}' \
         -H 'content-type: application/json' \
         -d '{{\"model\":\"{}\",\"prompt\":\"acta 12\",\"max_tokens\":8,\"stream\":true}}'",
        layout::MODEL
    );
    println!(
        "curl -X POST http://{entry}/v1/services/{}/bookings -H 'authorization: Bearer {key}' \
         -H 'idempotency-key: parcel-1' -d '{{}}'",
        layout::SERVICE
    );
    println!(
        "curl http://{operator}/v1/admin/status -H 'authorization: Bearer {OPERATOR_TOKEN}'\n"
    );
    println!("press Ctrl-C to stop");
    if let Err(error) = tokio::signal::ctrl_c().await {
        eprintln!("can't wait for an interrupt: {error}");
    }
}
