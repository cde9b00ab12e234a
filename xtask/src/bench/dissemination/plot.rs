//! The results as a drawing.

use std::{ops::Range, path::Path};

use plotters::{
    coord::Shift,
    prelude::{
        ChartBuilder, Color, DrawingArea, IntoDrawingArea, IntoFont, IntoLogRange, LineSeries,
        PathElement, RGBColor, SVGBackend, WHITE,
    },
};
use snafu::{ResultExt, Whatever};

use super::{measure::Result, way::Way};

/// Width and height of the drawing, in pixels.
const SIZE: (u32, u32) = (1200, 480);
/// Colours of the ways.
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
pub(super) fn draw(file: &Path, results: &[Result]) -> std::result::Result<(), Whatever> {
    let area = SVGBackend::new(file, SIZE).into_drawing_area();
    area.fill(&WHITE)
        .whatever_context("the plot cannot be drawn")?;
    let (left, right) = area.split_horizontally(SIZE.0 / 2);
    let convergence = |result: &Result| result.churn.convergence_ms.p99.unwrap_or(0.0);
    panel(
        &left,
        "in force under churn, p99 in ms",
        results,
        10.0..100_000.0,
        convergence,
    )?;
    let bytes = |result: &Result| result.churn.total();
    panel(
        &right,
        "control bytes per node and second under churn",
        results,
        100.0..1_000_000.0,
        bytes,
    )?;
    area.present()
        .whatever_context("the plot cannot be written")
}

fn panel(
    area: &Area<'_>,
    caption: &str,
    results: &[Result],
    range: Range<f64>,
    value: impl Fn(&Result) -> f64,
) -> std::result::Result<(), Whatever> {
    let mut chart = ChartBuilder::on(area)
        .caption(caption, ("sans-serif", 18).into_font())
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(64)
        .build_cartesian_2d((10.0..1000.0).log_scale(), range.log_scale())
        .whatever_context("the plot has no axes")?;
    chart
        .configure_mesh()
        .x_desc("nodes")
        .draw()
        .whatever_context("the plot has no grid")?;
    for (way, colour) in Way::ALL.into_iter().zip(COLOURS) {
        let points = results
            .iter()
            .filter(|result| result.way == way.name())
            .map(|result| {
                (
                    f64::from(u32::try_from(result.nodes).unwrap_or(u32::MAX)),
                    value(result),
                )
            });
        let line = LineSeries::new(points, colour.stroke_width(2)).point_size(3);
        chart
            .draw_series(line)
            .whatever_context("the plot has no lines")?
            .label(way.name())
            .legend(move |(x, y)| {
                PathElement::new(vec![(x, y), (x + 16, y)], colour.stroke_width(2))
            });
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .draw()
        .whatever_context("the plot has no legend")
}
