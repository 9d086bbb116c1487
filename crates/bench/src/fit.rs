//! Least squares over measured points, with a residual that tells a line from a curve.

use serde::Serialize;

/// Residual above which points don't lie on a line.
const LINE_RESIDUAL: f64 = 0.1;

/// One measurement.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Point {
    /// Size.
    pub x: f64,
    /// What was measured at that size.
    pub y: f64,
}

/// Whether points lie on a line.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Shape {
    Line,
    /// Not to be extended beyond the points.
    Curve,
}

/// A line through points.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Fit {
    pub slope: f64,
    pub intercept: f64,
    /// Root mean square of the deviations, as a part of the mean of what was measured.
    pub residual: f64,
    /// Power of the size that the measurement grows with; none where a point isn't positive.
    pub exponent: Option<f64>,
    pub shape: Shape,
}

impl Fit {
    /// The line through at least three sizes; none if there are fewer.
    pub fn of(points: &[Point]) -> Option<Fit> {
        if distinct(points) < 3 {
            return None;
        }
        let (slope, intercept) = line(points);
        let residual = residual(points, slope, intercept);
        let shape = match residual <= LINE_RESIDUAL {
            true => Shape::Line,
            false => Shape::Curve,
        };
        Some(Fit {
            slope,
            intercept,
            residual,
            exponent: exponent(points),
            shape,
        })
    }

    /// The line's value at a size.
    pub fn at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}

fn distinct(points: &[Point]) -> usize {
    let mut sizes: Vec<f64> = points.iter().map(|point| point.x).collect();
    sizes.sort_by(f64::total_cmp);
    sizes.dedup();
    sizes.len()
}

fn line(points: &[Point]) -> (f64, f64) {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|p| p.x).sum::<f64>() / count;
    let mean_y = points.iter().map(|p| p.y).sum::<f64>() / count;
    let covariance: f64 = points.iter().map(|p| (p.x - mean_x) * (p.y - mean_y)).sum();
    let variance: f64 = points.iter().map(|p| (p.x - mean_x).powi(2)).sum();
    let slope = covariance / variance;
    (slope, mean_y - slope * mean_x)
}

fn residual(points: &[Point], slope: f64, intercept: f64) -> f64 {
    let count = points.len() as f64;
    let deviation = |p: &Point| (p.y - intercept - slope * p.x).powi(2);
    let square = points.iter().map(deviation).sum::<f64>() / count;
    let mean = points.iter().map(|p| p.y.abs()).sum::<f64>() / count;
    match mean > 0.0 {
        true => square.sqrt() / mean,
        false => 0.0,
    }
}

fn exponent(points: &[Point]) -> Option<f64> {
    if points.iter().any(|p| p.x <= 0.0 || p.y <= 0.0) {
        return None;
    }
    let logs = points.iter().map(|p| Point {
        x: p.x.ln(),
        y: p.y.ln(),
    });
    let (slope, _) = line(&logs.collect::<Vec<Point>>());
    Some(slope)
}
