//! Plot of the worth of the responses over time.

use std::path::Path;

use lentilshunt_fake::overload::{Discipline, Pattern, Summary};
use plotters::prelude::{
    ChartBuilder, Color, IntoDrawingArea, IntoFont, LineSeries, PathElement, RGBColor, SVGBackend,
    WHITE,
};
use snafu::{ResultExt, Whatever};

/// Width and height of the plot, in pixels.
const SIZE_PIXELS: (u32, u32) = (900, 420);
/// Colours of the disciplines.
const COLOURS: [RGBColor; 6] = [
    RGBColor(44, 140, 86),
    RGBColor(62, 120, 178),
    RGBColor(214, 126, 44),
    RGBColor(130, 130, 130),
    RGBColor(160, 80, 150),
    RGBColor(190, 60, 60),
];

/// Worth of the responses as a fraction of what is owed, by the second of the first try.
pub(super) type Curve = Vec<(f64, f64)>;

/// Returns the mean worth of each second.
pub(super) fn curve(summaries: &[Summary]) -> Curve {
    let seconds = summaries.iter().map(|summary| summary.windows.len()).min();
    let seconds = u32::try_from(seconds.unwrap_or(0)).unwrap_or(u32::MAX);
    let worth = |second: u32| {
        super::mean(summaries, |summary| {
            let window = summary.windows.get(second as usize);
            window.map_or(0.0, lentilshunt_fake::overload::Tally::worth)
        })
    };
    (0..seconds)
        .map(|second| (f64::from(second), worth(second)))
        .collect()
}

/// Draws one curve for each discipline.
///
/// # Errors
///
/// Returns an error when the file cannot be written.
pub(super) fn draw(
    file: &Path,
    pattern: Pattern,
    curves: &[(Discipline, Curve)],
) -> Result<(), Whatever> {
    let area = SVGBackend::new(file, SIZE_PIXELS).into_drawing_area();
    area.fill(&WHITE).whatever_context("cannot draw the plot")?;
    let caption = format!("worth of the responses, {}", pattern.name());
    let mut chart = ChartBuilder::on(&area)
        .caption(caption, ("sans-serif", 18).into_font())
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(52)
        .build_cartesian_2d(0.0..16.0, 0.0..1.0)
        .whatever_context("cannot draw the axes of the plot")?;
    chart
        .configure_mesh()
        .x_desc("seconds")
        .draw()
        .whatever_context("cannot draw the grid of the plot")?;
    for ((discipline, curve), colour) in curves.iter().zip(COLOURS) {
        chart
            .draw_series(LineSeries::new(
                curve.iter().copied(),
                colour.stroke_width(2),
            ))
            .whatever_context("cannot draw a line of the plot")?
            .label(discipline.name())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .draw()
        .whatever_context("cannot draw the legend of the plot")?;
    area.present().whatever_context("cannot write the plot")
}
