//! A comparison as SVG bars: one panel for each measure, the median over seeds for each setup.

use std::fmt::Write;
use std::path::PathBuf;

use gumdrop::Options;

use crate::replay;
use crate::score::Score;

const BAR: usize = 16;
const PANEL: usize = 420;
const LABEL: usize = 130;
const HEAD: usize = 30;

type Measure = (&'static str, fn(&Score) -> f64);

const MEASURES: [Measure; 4] = [
    ("mean slowdown", |score| score.slowdown_mean),
    ("p95 latency, s", |score| score.latency_p95),
    ("worst customer's slowdown", |score| score.worst_slowdown),
    ("recomputed, Mtoken", |score| score.recomputed_mtokens),
];

/// Arguments of `bench plot`.
#[derive(Debug, Options)]
pub struct Args {
    #[options(help = "show this help")]
    help: bool,
    #[options(free, required, help = "lines that `replay` printed")]
    lines: PathBuf,
    #[options(help = "SVG to write", required, meta = "FILE")]
    output: PathBuf,
}

/// Draws the lines of a comparison.
pub fn run(args: &Args) -> eyre::Result<bool> {
    let scores = replay::read(&args.lines)?;
    std::fs::write(&args.output, draw(&scores))?;
    Ok(true)
}

/// The SVG text.
pub fn draw(scores: &[Score]) -> String {
    let mut setups: Vec<&str> = Vec::new();
    for score in scores {
        if !setups.contains(&score.setup.as_str()) {
            setups.push(&score.setup);
        }
    }
    let height = HEAD + setups.len() * (BAR + 4) + 10;
    let width = PANEL * MEASURES.len();
    let mut out = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{width}\" height=\"{height}\" \
         font-family=\"sans-serif\" font-size=\"12\">\n"
    );
    for (number, (name, measure)) in MEASURES.iter().enumerate() {
        panel(&mut out, number * PANEL, name, &setups, |setup| {
            median(scores, setup, *measure)
        });
    }
    out.push_str("</svg>\n");
    out
}

fn panel(out: &mut String, x: usize, name: &str, setups: &[&str], value: impl Fn(&str) -> f64) {
    let values: Vec<f64> = setups.iter().map(|setup| value(setup)).collect();
    let most = values.iter().copied().fold(f64::MIN_POSITIVE, f64::max);
    let room = (PANEL - LABEL - 70) as f64;
    line(
        out,
        x + LABEL,
        18,
        &format!("<tspan font-weight=\"bold\">{name}</tspan>"),
    );
    for (row, (setup, value)) in setups.iter().zip(&values).enumerate() {
        let y = HEAD + row * (BAR + 4);
        let width = value / most * room;
        line(out, x + 4, y + 12, setup);
        let bar = (x + LABEL, y, width, BAR);
        let _ = writeln!(
            out,
            "<rect x=\"{}\" y=\"{}\" width=\"{:.1}\" height=\"{}\" fill=\"#4878a8\"/>",
            bar.0, bar.1, bar.2, bar.3
        );
        line(
            out,
            x + LABEL + width as usize + 4,
            y + 12,
            &format!("{value:.2}"),
        );
    }
}

fn line(out: &mut String, x: usize, y: usize, text: &str) {
    let _ = writeln!(out, "<text x=\"{x}\" y=\"{y}\">{text}</text>");
}

fn median(scores: &[Score], setup: &str, measure: fn(&Score) -> f64) -> f64 {
    let mut values: Vec<f64> = scores
        .iter()
        .filter(|score| score.setup == setup)
        .map(measure)
        .collect();
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}
