//! Straight lines through measured points.

use serde::Serialize;

/// A line, by least squares.
#[derive(Clone, Copy, PartialEq, Default, Debug)]
#[derive(Serialize)]
pub struct Line {
    /// The value at zero.
    pub base: f64,
    /// What one more adds.
    pub slope: f64,
}

impl Line {
    /// The line through points; flat if there are fewer than two.
    pub fn through(points: &[(f64, f64)]) -> Self {
        let count = points.len().max(1) as f64;
        let x = points.iter().map(|point| point.0).sum::<f64>() / count;
        let y = points.iter().map(|point| point.1).sum::<f64>() / count;
        let square: f64 = points.iter().map(|point| (point.0 - x).powi(2)).sum();
        let cross: f64 = points
            .iter()
            .map(|point| (point.0 - x) * (point.1 - y))
            .sum();
        let slope = if square > 0.0 { cross / square } else { 0.0 };
        Self {
            base: slope.mul_add(-x, y),
            slope,
        }
    }
}
