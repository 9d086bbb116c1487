//! What was measured and what was worked out from it, as JSON lines.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::fit::Fit;
use crate::fit::Point;

/// Significant digits of printed numbers.
const DIGITS: i32 = 4;

/// One measure over several sizes.
#[derive(Debug, Clone, Copy)]
pub struct Measure {
    pub name: &'static str,
    /// Unit of what is measured.
    pub unit: &'static str,
    /// What the size counts.
    pub per: &'static str,
}

#[derive(Debug, Serialize)]
struct Slope<'a> {
    slope_of: &'a str,
    unit: &'a str,
    per: &'a str,
    points: Vec<[f64; 2]>,
    #[serde(flatten)]
    fit: Fit,
}

/// A figure at the target size, worked out from slopes.
#[derive(Debug, Serialize)]
struct Worked<'a> {
    worked: &'a str,
    unit: &'a str,
    value: f64,
    #[serde(skip_serializing_if = "Option::is_none")]
    budget: Option<f64>,
    /// Budget over value; under one it doesn't fit.
    #[serde(skip_serializing_if = "Option::is_none")]
    margin: Option<f64>,
    from: &'a str,
}

/// Prints and remembers.
#[derive(Debug, Default)]
pub struct Report {
    fits: BTreeMap<&'static str, Fit>,
    worked: BTreeMap<&'static str, f64>,
}

impl Report {
    /// Fits and prints what was measured.
    pub fn slope(&mut self, measure: Measure, points: &[Point]) {
        let Some(fit) = Fit::of(points) else {
            return eprintln!("{}: fewer than three sizes", measure.name);
        };
        self.fits.insert(measure.name, fit);
        print(&Slope {
            slope_of: measure.name,
            unit: measure.unit,
            per: measure.per,
            points: points.iter().map(|p| [round(p.x), round(p.y)]).collect(),
            fit: rounded(fit),
        });
    }

    /// Measures at each size, then fits and prints.
    pub fn measure(&mut self, measure: Measure, sizes: &[usize], mut at: impl FnMut(usize) -> f64) {
        let point = |size: &usize| Point {
            x: *size as f64,
            y: at(*size),
        };
        let points: Vec<Point> = sizes.iter().map(point).collect();
        self.slope(measure, &points);
    }

    /// The fitted value of a measure at a size; zero if it wasn't measured.
    pub fn at(&self, name: &str, size: f64) -> f64 {
        self.fits.get(name).map_or(0.0, |fit| fit.at(size))
    }

    /// The slope of a measure; zero if it wasn't measured.
    pub fn slope_of(&self, name: &str) -> f64 {
        self.fits.get(name).map_or(0.0, |fit| fit.slope)
    }

    /// Prints a figure against its budget, which is given with the unit of both.
    pub fn against(
        &mut self,
        (unit, budget): (&'static str, f64),
        name: &'static str,
        value: f64,
        from: &str,
    ) {
        self.worked(name, unit, value, Some(budget), from);
    }

    /// Prints a figure that has no budget.
    pub fn plain(&mut self, unit: &'static str, name: &'static str, value: f64, from: &str) {
        self.worked(name, unit, value, None, from);
    }

    fn worked(
        &mut self,
        name: &'static str,
        unit: &'static str,
        value: f64,
        budget: Option<f64>,
        from: &str,
    ) {
        self.worked.insert(name, value);
        print(&Worked {
            worked: name,
            unit,
            value: round(value),
            budget,
            margin: budget.map(|budget| round(budget / value)),
            from,
        });
    }

    /// A figure that was worked out before; zero if it wasn't.
    pub fn value(&self, name: &str) -> f64 {
        self.worked.get(name).copied().unwrap_or(0.0)
    }
}

fn print(line: &impl Serialize) {
    match serde_json::to_string(line) {
        Ok(line) => println!("{line}"),
        Err(error) => eprintln!("{error}"),
    }
}

fn rounded(fit: Fit) -> Fit {
    Fit {
        slope: round(fit.slope),
        intercept: round(fit.intercept),
        residual: round(fit.residual),
        exponent: fit.exponent.map(round),
        shape: fit.shape,
    }
}

/// A number to the printed digits.
pub fn round(number: f64) -> f64 {
    if number == 0.0 || !number.is_finite() {
        return number;
    }
    let digits = (DIGITS - 1).max(0) as usize;
    format!("{number:.digits$e}").parse().unwrap_or(number)
}
