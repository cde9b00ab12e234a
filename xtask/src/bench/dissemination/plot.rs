//! Plot of the results.

use std::{ops::Range, path::Path};

use plotters::{
    coord::Shift,
    prelude::{
        ChartBuilder, Color, DrawingArea, IntoDrawingArea, IntoFont, IntoLogRange, LineSeries,
        PathElement, RGBColor, SVGBackend, WHITE,
    },
};
use snafu::{ResultExt, Whatever};

use super::{measure::Measurement, strategy_kind::StrategyKind};

/// Width and height of the plot, in pixels.
const SIZE_PIXELS: (u32, u32) = (1200, 480);
/// Colours of the strategies.
const COLOURS: [RGBColor; 4] = [
    RGBColor(130, 130, 130),
    RGBColor(214, 126, 44),
    RGBColor(62, 120, 178),
    RGBColor(44, 140, 86),
];

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;

/// Draws convergence and control bytes under churn over the number of nodes.
///
/// # Errors
///
/// Returns an error when the file cannot be written.
pub(super) fn draw(file: &Path, results: &[Measurement]) -> Result<(), Whatever> {
    let area = SVGBackend::new(file, SIZE_PIXELS).into_drawing_area();
    area.fill(&WHITE).whatever_context("cannot draw the plot")?;
    let (left, right) = area.split_horizontally(SIZE_PIXELS.0 / 2);
    let convergence = |result: &Measurement| result.churn.convergence_ms.p99.unwrap_or(0.0);
    draw_panel(
        &left,
        "in force under churn, p99 in ms",
        results,
        10.0..100_000.0,
        convergence,
    )?;
    let bytes = |result: &Measurement| result.churn.total();
    draw_panel(
        &right,
        "control bytes per node and second under churn",
        results,
        100.0..1_000_000.0,
        bytes,
    )?;
    area.present().whatever_context("cannot write the plot")
}

fn draw_panel(
    area: &Area<'_>,
    caption: &str,
    results: &[Measurement],
    range: Range<f64>,
    value: impl Fn(&Measurement) -> f64,
) -> Result<(), Whatever> {
    let mut chart = ChartBuilder::on(area)
        .caption(caption, ("sans-serif", 18).into_font())
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(64)
        .build_cartesian_2d((10.0..1000.0).log_scale(), range.log_scale())
        .whatever_context("cannot draw the axes of the plot")?;
    chart
        .configure_mesh()
        .x_desc("nodes")
        .draw()
        .whatever_context("cannot draw the grid of the plot")?;
    for (strategy, colour) in StrategyKind::ALL.into_iter().zip(COLOURS) {
        let points = results
            .iter()
            .filter(|result| result.way == strategy.name())
            .map(|result| {
                (
                    f64::from(u32::try_from(result.nodes).unwrap_or(u32::MAX)),
                    value(result),
                )
            });
        let line = LineSeries::new(points, colour.stroke_width(2)).point_size(3);
        chart
            .draw_series(line)
            .whatever_context("cannot draw the lines of the plot")?
            .label(strategy.name())
            .legend(move |(x, y)| {
                PathElement::new(vec![(x, y), (x + 16, y)], colour.stroke_width(2))
            });
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .draw()
        .whatever_context("cannot draw the legend of the plot")
}
