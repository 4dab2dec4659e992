//! Reports as a page of plots.

use plotters::coord::Shift;
use plotters::prelude::*;

use super::record::Kind;
use super::report::Report;

/// Size of one plot, in pixels.
const SIZE: (u32, u32) = (900, 340);
/// Space around the labels of an axis, in pixels.
const LABELS: u32 = 60;

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;
type Drawn<'a> = Result<(), DrawingAreaErrorKind<<SVGBackend<'a> as DrawingBackend>::ErrorType>>;

/// Renders reports side by side as one HTML page.
pub fn render(reports: &[Report]) -> String {
    let plots = [
        plot(|area| bars(area, "Time to first token of returns, p95 (s)", reports, return_p95)),
        plot(|area| {
            bars(area, "Computed tokens over the floor", reports, |r| r.tokens.over_floor())
        }),
        plot(|area| bars(area, "Bytes over links (GB)", reports, |r| r.link.total() as f64 / 1e9)),
        plot(|area| scatter(area, reports)),
    ];
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

fn bars(
    area: &Area<'_>,
    title: &str,
    reports: &[Report],
    value: impl Fn(&Report) -> f64,
) -> Result<(), String> {
    draw_bars(area, title, reports, value).map_err(|e| e.to_string())
}

fn draw_bars<'a>(
    area: &Area<'a>,
    title: &str,
    reports: &[Report],
    value: impl Fn(&Report) -> f64,
) -> Drawn<'a> {
    let highest = reports.iter().map(&value).fold(f64::MIN_POSITIVE, f64::max) * 1.1;
    let last = reports.len();
    let mut chart = ChartBuilder::on(area)
        .caption(title, ("sans-serif", 20))
        .margin(10)
        .set_left_and_bottom_label_area_size(LABELS)
        .build_cartesian_2d((0..last).into_segmented(), 0.0..highest)?;
    let name = |at: &SegmentValue<usize>| match at {
        SegmentValue::CenterOf(i) => {
            reports.get(*i).map_or_else(String::new, |r| r.strategy.clone())
        }
        _ => String::new(),
    };
    chart.configure_mesh().disable_x_mesh().x_label_formatter(&name).draw()?;
    let bars = Histogram::vertical(&chart)
        .style(BLUE.mix(0.6).filled())
        .margin(30)
        .data(reports.iter().enumerate().map(|(i, r)| (i, value(r))));
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
        .set_left_and_bottom_label_area_size(LABELS)
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
