//! Plots of the rows, as SVG.

use std::path::{Path, PathBuf};

use derive_more::{Debug, Display, Error};
use plotters::prelude::*;

use super::report::Row;

/// Result of plotting.
pub type Result<T> = std::result::Result<T, PlotError>;

/// A plot that can't be written.
#[derive(Debug, Display, Error)]
#[display("can't write {}: {text}", path.display())]
pub struct PlotError {
    /// The file.
    path: PathBuf,
    /// Why.
    text: String,
}

/// Size of a picture in pixels.
const PICTURE: (u32, u32) = (1000, 500);
/// Samples joined to one point of a curve.
const JOINED: usize = 10;
/// Largest skew shown.
const MAX_SKEW: f32 = 4.0;

/// Writes, for each size and scenario, the largest skew over time of each policy.
///
/// # Errors
///
/// The directory or a file in it can't be written.
pub fn write(rows: &[Row], dir: &Path) -> Result<()> {
    let failed = |path: &Path, text: String| PlotError {
        path: path.into(),
        text,
    };
    std::fs::create_dir_all(dir).map_err(|error| failed(dir, error.to_string()))?;
    for group in rows.chunk_by(|a, b| (&a.size, &a.scenario) == (&b.size, &b.scenario)) {
        let Some(first) = group.first() else {
            continue;
        };
        let path = dir.join(format!("skew-{}-{}.svg", first.size, first.scenario));
        draw(group, &path).map_err(|error| failed(&path, error.to_string()))?;
    }
    Ok(())
}

fn draw(rows: &[Row], path: &Path) -> std::result::Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::new(path, PICTURE).into_drawing_area();
    area.fill(&WHITE)?;
    let longest = rows.iter().map(|row| row.curve.len()).max().unwrap_or(0);
    let end = longest as f32 / 10.0;
    let mut chart = ChartBuilder::on(&area)
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(40)
        .build_cartesian_2d(0.0..end, 0.0..MAX_SKEW)?;
    chart
        .configure_mesh()
        .x_desc("seconds")
        .y_desc("largest load / mean")
        .draw()?;
    for (number, row) in rows.iter().enumerate() {
        let colour = Palette99::pick(number).to_rgba();
        let joined = row.curve.chunks(JOINED).enumerate();
        let points = joined.map(|(second, chunk)| {
            let most = chunk.iter().copied().fold(0.0, f32::max);
            (second as f32 * JOINED as f32 / 10.0, most.min(MAX_SKEW))
        });
        chart.draw_series(LineSeries::new(points, colour))?;
    }
    area.present()?;
    Ok(())
}
