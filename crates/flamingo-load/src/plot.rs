//! Plots of reports, as SVG.

use crate::error::Error;
use crate::report::{Report, share};
use plotters::prelude::*;
use std::path::Path;

const SIZE: (u32, u32) = (900, 420);

fn failed<E: std::fmt::Display>(error: E) -> Error {
    Error::Plot(error.to_string())
}

/// Plots attainment over the time of each run.
///
/// # Errors
///
/// Returns an error if the file can't be written.
pub fn attainment(path: &Path, reports: &[Report]) -> Result<(), Error> {
    let most = reports.iter().map(|report| report.points.len()).max();
    let most = u32::try_from(most.unwrap_or(1)).unwrap_or(u32::MAX);
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(failed)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(48)
        .build_cartesian_2d(0..most, 0.0..1.0)
        .map_err(failed)?;
    let mut mesh = chart.configure_mesh();
    let mesh = mesh.x_desc("second").y_desc("attainment");
    mesh.draw().map_err(failed)?;
    for (number, report) in reports.iter().enumerate() {
        let points = report.points.iter().zip(0u32..);
        let points = points.filter(|(point, _)| point.sent > 0);
        let points = points.map(|(point, second)| (second, share(point.met, point.sent)));
        let colour = Palette99::pick(number).to_rgba();
        let drawn = chart.draw_series(LineSeries::new(points, colour));
        let label = format!("{} {}", report.run.workload, report.run.variant);
        drawn
            .map_err(failed)?
            .label(label)
            .legend(move |(x, y)| Rectangle::new([(x, y - 4), (x + 12, y + 4)], colour.filled()));
    }
    let mut legend = chart.configure_series_labels();
    let legend = legend
        .background_style(WHITE)
        .position(SeriesLabelPosition::LowerRight);
    legend.draw().map_err(failed)?;
    area.present().map_err(failed)
}

/// Plots attainment against moves, with a point per run.
///
/// # Errors
///
/// Returns an error if the file can't be written.
pub fn frontier(path: &Path, reports: &[Report]) -> Result<(), Error> {
    let moves = |report: &Report| report.engines.loads + report.engines.unloads;
    let most = reports.iter().map(moves).max().unwrap_or(0) + 1;
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(failed)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(48)
        .build_cartesian_2d(0..most, 0.0..1.05)
        .map_err(failed)?;
    let mut mesh = chart.configure_mesh();
    let mesh = mesh.x_desc("moves").y_desc("attainment");
    mesh.draw().map_err(failed)?;
    for (number, report) in reports.iter().enumerate() {
        let colour = Palette99::pick(number).to_rgba();
        let place = (moves(report), report.attainment);
        let point = Circle::new(place, 5, colour.filled());
        let label = Text::new(report.run.variant.clone(), place, ("sans-serif", 14));
        chart.draw_series([point]).map_err(failed)?;
        chart.draw_series([label]).map_err(failed)?;
    }
    area.present().map_err(failed)
}
