//! Renders reports as an HTML page of plots.

use plotters::coord::Shift;
use plotters::prelude::*;

use super::record::Kind;
use super::report::Report;
use crate::platform::report as platform;

/// Size of one plot, in pixels.
const SIZE: (u32, u32) = (900, 340);
/// Size of the label area of an axis, in pixels.
const LABEL_SIZE: u32 = 60;

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;
type Drawn<'a> = Result<(), DrawingAreaErrorKind<<SVGBackend<'a> as DrawingBackend>::ErrorType>>;

/// Renders reports side by side as one HTML page.
pub fn render(reports: &[Report]) -> String {
    let rows = |value: &dyn Fn(&Report) -> f64| -> Vec<(String, f64)> {
        reports.iter().map(|report| (report.strategy.clone(), value(report))).collect()
    };
    page([
        bars("Time to first token of returns, p95 (s)", &rows(&return_p95)),
        bars("Computed tokens over the floor", &rows(&|r| r.tokens.over_floor())),
        bars("Bytes over links (GB)", &rows(&|r| r.link.total() as f64 / 1e9)),
        plot(|area| scatter(area, reports)),
    ])
}

/// Renders reports of runs on the platform side by side as one HTML page.
pub fn render_platform(reports: &[platform::Report]) -> String {
    let rows = |value: &dyn Fn(&platform::Report) -> f64| -> Vec<(String, f64)> {
        reports.iter().map(|report| (report.placement.clone(), value(report))).collect()
    };
    let classes = reports.first().into_iter().flat_map(|report| report.classes.keys());
    let times = classes.map(|class| {
        let p95 = |r: &platform::Report| r.classes.get(class).map_or(0.0, |c| c.first.p95_ms);
        bars(&format!("{class}: time to the first event, p95 (ms)"), &rows(&p95))
    });
    let mut plots = vec![
        bars("Worth of the answers, as a part of all", &rows(&|r| r.value_share)),
        bars("Part of the prompts' tokens that was read", &rows(&platform::Report::prefill_share)),
    ];
    plots.extend(times);
    page(plots)
}

fn page(plots: impl IntoIterator<Item = Result<String, String>>) -> String {
    let mut page = String::from("<!doctype html><meta charset=utf-8><title>acacia load</title>");
    for plot in plots {
        page.push_str(&plot.unwrap_or_else(|error| format!("<p>{error}</p>")));
    }
    page
}

fn return_p95(report: &Report) -> f64 {
    report.first_token.get(&Kind::Return).map_or(0.0, |p| p.p95_ms / 1_000.0)
}

fn plot(draw: impl FnOnce(&Area<'_>) -> Result<(), String>) -> Result<String, String> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        area.fill(&WHITE).map_err(|e| e.to_string())?;
        draw(&area)?;
        area.present().map_err(|e| e.to_string())?;
    }
    Ok(svg)
}

/// Plots one bar per name.
fn bars(title: &str, rows: &[(String, f64)]) -> Result<String, String> {
    plot(|area| draw_bars(area, title, rows).map_err(|e| e.to_string()))
}

fn draw_bars<'a>(area: &Area<'a>, title: &str, rows: &[(String, f64)]) -> Drawn<'a> {
    let highest = rows.iter().map(|(_, value)| *value).fold(f64::MIN_POSITIVE, f64::max) * 1.1;
    let mut chart = ChartBuilder::on(area)
        .caption(title, ("sans-serif", 20))
        .margin(10)
        .set_left_and_bottom_label_area_size(LABEL_SIZE)
        .build_cartesian_2d((0..rows.len()).into_segmented(), 0.0..highest)?;
    let name = |at: &SegmentValue<usize>| match at {
        SegmentValue::CenterOf(i) => {
            rows.get(*i).map_or_else(String::new, |(name, _)| name.clone())
        }
        _ => String::new(),
    };
    chart.configure_mesh().disable_x_mesh().x_label_formatter(&name).draw()?;
    let bars = Histogram::vertical(&chart)
        .style(BLUE.mix(0.6).filled())
        .margin(30)
        .data(rows.iter().enumerate().map(|(i, (_, value))| (i, *value)));
    chart.draw_series(bars)?;
    Ok(())
}

fn scatter(area: &Area<'_>, reports: &[Report]) -> Result<(), String> {
    draw_scatter(area, reports).map_err(|e| e.to_string())
}

fn draw_scatter<'a>(area: &Area<'a>, reports: &[Report]) -> Drawn<'a> {
    let all = || reports.iter().flat_map(|r| r.points.iter());
    let longest = all().map(|p| p.0).fold(1.0, f64::max);
    let highest = all().map(|p| p.1).fold(f64::MIN_POSITIVE, f64::max) * 1.1;
    let mut chart = ChartBuilder::on(area)
        .caption("Time to first token of returns (s) over time (s)", ("sans-serif", 20))
        .margin(10)
        .set_left_and_bottom_label_area_size(LABEL_SIZE)
        .build_cartesian_2d(0.0..longest, 0.0..highest)?;
    chart.configure_mesh().draw()?;
    for (i, report) in reports.iter().enumerate() {
        let color = Palette99::pick(i).mix(0.7);
        let points = report.points.iter().map(|p| Circle::new(*p, 2, color.filled()));
        chart
            .draw_series(points)?
            .label(&report.strategy)
            .legend(move |(x, y)| Circle::new((x, y), 3, color.filled()));
    }
    chart.configure_series_labels().border_style(BLACK).draw()?;
    Ok(())
}
