//! Plots attainment against moves per hour from the output of the example `day`.
//!
//! `cargo run --release -p flamingo-place --example frontier -- OUT.svg DAY.txt...`

use plotters::prelude::*;
use std::error::Error;
use std::path::Path;

/// Width and height of the plot, in pixels.
const SIZE: (u32, u32) = (900, 420);
/// Start of the line that heads the table with the sweep.
const TABLE_HEAD: &str = "| moves_weight |";

/// Result for one `moves_weight`.
struct Row {
    weight: String,
    attainment: f64,
    moves: f64,
}

fn rows(text: &str) -> Vec<Row> {
    let table = text
        .lines()
        .skip_while(|line| !line.starts_with(TABLE_HEAD));
    let rows = table.skip(2).filter_map(|line| {
        let mut cells = line.split('|').skip(1).map(str::trim);
        Some(Row {
            weight: cells.next()?.to_owned(),
            attainment: cells.next()?.parse().ok()?,
            moves: cells.next()?.parse().ok()?,
        })
    });
    rows.collect()
}

fn main() -> Result<(), Box<dyn Error>> {
    let mut args = std::env::args().skip(1);
    let out = args.next().ok_or("usage: frontier OUT.svg DAY.txt...")?;
    let mut runs = Vec::new();
    for file in args {
        let text = std::fs::read_to_string(&file)?;
        let name = text.lines().next().unwrap_or_default().to_owned();
        runs.push((name, rows(&text)));
    }
    let all = || runs.iter().flat_map(|(_, rows)| rows);
    let max_moves = all().map(|row| row.moves).fold(0.0, f64::max) + 0.5;
    let min_attainment = all().map(|row| row.attainment).fold(100.0, f64::min) - 2.0;
    let area = SVGBackend::new(Path::new(&out), SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(48)
        .build_cartesian_2d(-0.1..max_moves, min_attainment..101.0)?;
    let mut mesh = chart.configure_mesh();
    mesh.x_desc("moves per hour")
        .y_desc("attainment, %")
        .draw()?;
    for (number, (name, rows)) in runs.iter().enumerate() {
        let colour = Palette99::pick(number).to_rgba();
        let points = rows.iter().map(|row| (row.moves, row.attainment));
        chart
            .draw_series(LineSeries::new(points, colour))?
            .label(name)
            .legend(move |(x, y)| Rectangle::new([(x, y - 4), (x + 12, y + 4)], colour.filled()));
        for row in rows {
            let point = (row.moves, row.attainment);
            chart.draw_series([Circle::new(point, 4, colour.filled())])?;
            let label = Text::new(row.weight.clone(), point, ("sans-serif", 13));
            chart.draw_series([label])?;
        }
    }
    let mut legend = chart.configure_series_labels();
    legend
        .background_style(WHITE)
        .position(SeriesLabelPosition::LowerRight)
        .draw()?;
    area.present()?;
    Ok(())
}
