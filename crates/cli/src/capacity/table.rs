//! Renders samples as the tables of `docs/CAPACITY.md`.

use std::fmt::Write;

use super::fit::{Estimate, TWO_YEARS, estimate, least_squares};
use super::sample::{Catalogue, Control, Fleet, Sample, Traffic};

/// Share of a core that a daemon's control thread may use.
const CPU_SHARE_BUDGET: f64 = 0.022;
/// Memory that control may use per daemon.
const MEMORY_BUDGET_BYTES: f64 = 256.0 * 1024.0 * 1024.0;
/// Control traffic that a daemon may send.
const BYTES_PER_S_BUDGET: f64 = 3_000.0;
/// Write capacity of the key-value service.
const WRITES_PER_S_BUDGET: f64 = 300.0;
/// Read capacity of the key-value service.
const READS_PER_S_BUDGET: f64 = 2_000.0;
/// Longest time for a change to be in force on every daemon.
const PROPAGATION_BUDGET_MS: f64 = 6_000.0;
/// Longest time to check the two-year configuration.
const CHECK_BUDGET_MS: f64 = 100.0;
/// Expected peak load in requests.
const PEAK_REQUESTS_PER_S: f64 = 14_000.0;
/// Expected peak load in generated tokens.
const PEAK_TOKENS_PER_S: f64 = 6_700_000.0;

/// Significant digits of a printed number.
const SIGNIFICANT_DIGITS: i32 = 3;
/// Instances that fail, restart or are replaced in a day.
const REPLACEMENTS_PER_DAY: f64 = 89.0 + 760.0;
/// Membership changes per replaced instance: the old one leaves, the new one joins.
const EPOCHS_PER_REPLACEMENT: f64 = 2.0;
const DAY_S: f64 = 86_400.0;

/// A cost with its budget and the mechanism that limits it.
struct Cost {
    name: &'static str,
    unit: &'static str,
    of: fn(&Control) -> f64,
    budget: f64,
    mechanism: &'static str,
}

const COSTS: [Cost; 7] = [
    Cost {
        name: "control processor time of a daemon",
        unit: "share of a core",
        of: |c| c.cpu_share_per_daemon,
        budget: CPU_SHARE_BUDGET,
        mechanism: "digests that carry only news; indexes by name",
    },
    Cost {
        name: "control memory of a daemon",
        unit: "bytes",
        of: |c| c.memory_bytes_per_daemon,
        budget: MEMORY_BUDGET_BYTES,
        mechanism: "one shared set; records of a few words for each upstream",
    },
    Cost {
        name: "control messages of a daemon",
        unit: "bytes a second",
        of: |c| c.bytes_per_second_per_daemon,
        budget: BYTES_PER_S_BUDGET,
        mechanism: "a bounded number of peers for each daemon; changed chunks only",
    },
    Cost {
        name: "writes to the key-value service, claims left out",
        unit: "a second, all daemons",
        of: |c| c.kv_writes_per_second - c.kv_claim_writes_per_second,
        budget: WRITES_PER_S_BUDGET,
        mechanism: "one swap a change; no renewal for each daemon",
    },
    Cost {
        name: "reads of the key-value service",
        unit: "a second, all daemons",
        of: |c| c.kv_reads_per_second + c.kv_watch_calls_per_second,
        budget: READS_PER_S_BUDGET,
        mechanism: "chunks from peers",
    },
    Cost {
        name: "watches waiting at the key-value service",
        unit: "calls",
        of: |c| c.kv_watches_waiting,
        budget: READS_PER_S_BUDGET,
        mechanism: "a few watchers for each zone, by hash",
    },
    Cost {
        name: "change in force everywhere",
        unit: "ms",
        of: |c| c.change_spread_ms,
        budget: PROPAGATION_BUDGET_MS,
        mechanism: "watch, then digests, then chunks from peers",
    },
];

/// Renders all tables as Markdown.
pub fn render(samples: &[Sample]) -> String {
    let mut page = String::new();
    let kinds = ByKind::new(samples);
    // Writing to a string can't fail.
    let _ = two_years(&mut page, &kinds.control);
    let _ = traffic(&mut page, &kinds.traffic);
    let _ = catalogue(&mut page, &kinds.catalogue);
    let _ = fleet(&mut page, &kinds.fleet);
    let _ = points(&mut page, &kinds.control);
    page
}

/// Samples by kind.
#[derive(Default)]
struct ByKind<'a> {
    control: Vec<&'a Control>,
    catalogue: Vec<&'a Catalogue>,
    fleet: Vec<&'a Fleet>,
    traffic: Vec<&'a Traffic>,
}

impl<'a> ByKind<'a> {
    /// Groups samples by kind, without the control samples of idle phases.
    fn new(samples: &'a [Sample]) -> Self {
        let mut kinds = Self::default();
        for sample in samples {
            match sample {
                Sample::Control(control) if control.phase == "work" => kinds.control.push(control),
                Sample::Control(_) => {}
                Sample::Catalogue(catalogue) => kinds.catalogue.push(catalogue),
                Sample::Fleet(fleet) => kinds.fleet.push(fleet),
                Sample::Traffic(traffic) => kinds.traffic.push(traffic),
            }
        }
        kinds
    }
}

fn two_years(page: &mut String, samples: &[&Control]) -> std::fmt::Result {
    writeln!(page, "### Control at the two-year size\n")?;
    writeln!(
        page,
        "{} daemons, {} upstreams, {} organisations, {:.1} changes a minute.\n",
        TWO_YEARS.daemons,
        TWO_YEARS.upstreams,
        TWO_YEARS.organisations,
        TWO_YEARS.changes_per_minute
    )?;
    writeln!(page, "| cost | estimate | unit | budget | holds | from | mechanism |")?;
    writeln!(page, "|---|---|---|---|---|---|---|")?;
    for cost in &COSTS {
        let Some(estimate) = estimate(samples, cost.of) else { continue };
        writeln!(
            page,
            "| {} | {} | {} | {} | {} | {} | {} |",
            cost.name,
            format_number(estimate.value),
            cost.unit,
            format_number(cost.budget),
            verdict(estimate.value, cost.budget),
            derivation(&estimate),
            cost.mechanism
        )?;
    }
    writeln!(page)?;
    let largest = samples.iter().max_by(|a, b| a.daemons.total_cmp(&b.daemons));
    let Some(epoch) = largest.and_then(|c| c.epoch_bytes) else { return Ok(()) };
    writeln!(
        page,
        "No daemon joined or left in these runs. A membership of {} daemons is {} bytes; \
         {REPLACEMENTS_PER_DAY} instances a day that leave and join again make {} bytes a second \
         of it to each daemon, each told once.\n",
        TWO_YEARS.daemons,
        format_number(epoch),
        format_number(REPLACEMENTS_PER_DAY * EPOCHS_PER_REPLACEMENT / DAY_S * epoch)
    )
}

fn derivation(estimate: &Estimate) -> String {
    let (daemons, value) = estimate.from;
    let mut text = format!("{} at {daemons} daemons", format_number(value));
    for (name, slope) in estimate.slopes.iter().filter(|(_, slope)| *slope != 0.0) {
        let _ = write!(text, ", + {} for each {name}", format_number(*slope));
    }
    text
}

fn verdict(value: f64, budget: f64) -> &'static str {
    if value <= budget { "yes" } else { "**no**" }
}

fn traffic(page: &mut String, all: &[&Traffic]) -> std::fmt::Result {
    if all.is_empty() {
        return Ok(());
    }
    writeln!(page, "### Traffic threads of a daemon\n")?;
    writeln!(page, "| requests | output tokens of each | µs of processor time a request |")?;
    writeln!(page, "|---|---|---|")?;
    for t in all {
        let cost = format_number(t.cpu_us_per_request);
        writeln!(page, "| {} | {} | {cost} |", t.traffic_requests, t.traffic_tokens)?;
    }
    let points: Vec<_> = all.iter().map(|t| (t.traffic_tokens, t.cpu_us_per_request)).collect();
    let token = least_squares(&points).max(0.0);
    let count = points.len() as f64;
    let request = points.iter().map(|(tokens, cost)| cost - token * tokens).sum::<f64>() / count;
    let cores = (request * PEAK_REQUESTS_PER_S + token * PEAK_TOKENS_PER_S) / 1e6;
    writeln!(
        page,
        "\nA request costs {} µs and a token {} µs; {PEAK_REQUESTS_PER_S} requests and \
         {PEAK_TOKENS_PER_S} tokens a second take {} cores, {} of a core on each of {} daemons.\n",
        format_number(request),
        format_number(token),
        format_number(cores),
        format_number(cores / TWO_YEARS.daemons),
        TWO_YEARS.daemons
    )
}

fn catalogue(page: &mut String, all: &[&Catalogue]) -> std::fmt::Result {
    if all.is_empty() {
        return Ok(());
    }
    writeln!(page, "### Configuration\n")?;
    writeln!(page, "A change takes one upstream out. Budget of a check: {CHECK_BUDGET_MS} ms.\n")?;
    writeln!(
        page,
        "| organisations | upstreams | check, ms | chunks | bytes | bytes of a change |"
    )?;
    writeln!(page, "|---|---|---|---|---|---|")?;
    for c in all {
        writeln!(
            page,
            "| {} | {} | {} | {} | {} | {} |",
            c.catalogue_organisations,
            c.catalogue_upstreams,
            format_number(c.check_ms),
            c.chunks,
            format_number(c.set_bytes),
            format_number(c.change_bytes)
        )?;
    }
    writeln!(page)
}

fn fleet(page: &mut String, all: &[&Fleet]) -> std::fmt::Result {
    if all.is_empty() {
        return Ok(());
    }
    writeln!(page, "### Daemons over real sockets, idle\n")?;
    writeln!(
        page,
        "| daemons | key-value calls/s, all | bytes/s to peers, each | control, core |"
    )?;
    writeln!(page, "|---|---|---|---|")?;
    for f in all {
        writeln!(
            page,
            "| {} | {} | {} | {} |",
            f.fleet_daemons,
            format_number(f.kv_calls_per_second),
            format_number(f.peer_bytes_per_second),
            format_number(f.control_cpu_share)
        )?;
    }
    writeln!(page)
}

fn points(page: &mut String, samples: &[&Control]) -> std::fmt::Result {
    writeln!(page, "### Measured points of control\n")?;
    writeln!(
        page,
        "| daemons | upstreams | organisations | changes/min | claims/s | writes/s | claim writes/s \
         | reads/s | watches | messages/s | bytes/s | core | memory | spread, ms |"
    )?;
    writeln!(page, "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|")?;
    for c in samples {
        let cells = [
            c.daemons,
            c.upstreams,
            c.organisations,
            c.changes_per_minute,
            c.claims_per_second,
            c.kv_writes_per_second,
            c.kv_claim_writes_per_second,
            c.kv_reads_per_second,
            c.kv_watches_waiting,
            c.messages_per_second_per_daemon,
            c.bytes_per_second_per_daemon,
            c.cpu_share_per_daemon,
            c.memory_bytes_per_daemon,
            c.change_spread_ms,
        ];
        let cells: Vec<String> = cells.into_iter().map(format_number).collect();
        writeln!(page, "| {} |", cells.join(" | "))?;
    }
    writeln!(page)
}

/// Formats a number with three significant digits; from a million on as `1.23M`, integers in full.
fn format_number(value: f64) -> String {
    let size = value.abs();
    if size >= 1e6 {
        return format!("{:.2}M", value / 1e6);
    }
    if size == 0.0 || value.fract() == 0.0 {
        return format!("{value:.0}");
    }
    let decimals = (SIGNIFICANT_DIGITS - 1 - size.log10().floor() as i32).max(0);
    format!("{value:.*}", usize::try_from(decimals).unwrap_or(0))
}
