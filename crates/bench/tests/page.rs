//! The capacity page names only what the committed output of `bench slopes` holds.

use std::collections::BTreeMap;

use serde_json::Value;

const PAGE: &str = include_str!("../../../docs/CAPACITY.md");
const OUTPUT: &str = include_str!("../../../docs/slopes.jsonl");

/// First parts of the names of measures and worked figures.
const FAMILIES: [&str; 26] = [
    "bucket",
    "calls",
    "customer",
    "data",
    "entry",
    "force",
    "heartbeat",
    "history",
    "key",
    "ledger",
    "load",
    "log",
    "map",
    "message",
    "names",
    "node",
    "owner",
    "program",
    "quarantine",
    "queue",
    "region",
    "request",
    "route",
    "shard",
    "sidecar",
    "target",
];

/// Lines of the output by name.
fn lines() -> BTreeMap<String, Value> {
    let values = OUTPUT
        .lines()
        .map(|line| serde_json::from_str(line).expect("a JSON line"));
    values
        .map(|value: Value| {
            let name = value["slope_of"].as_str().or(value["worked"].as_str());
            (name.expect("a named line").to_owned(), value)
        })
        .collect()
}

/// Names on the page: code spans of dotted lower-case words.
fn named() -> Vec<&'static str> {
    let spans = PAGE.split('`').skip(1).step_by(2);
    let dotted = |span: &&str| {
        let mut parts = span.split('.');
        let family = parts.next().unwrap_or_default();
        let words = span
            .chars()
            .all(|c| c.is_ascii_lowercase() || c == '.' || c == '-');
        words && parts.next().is_some() && FAMILIES.contains(&family)
    };
    spans.filter(dotted).collect()
}

#[test]
fn every_figure_named_on_the_page_stands_in_the_output() {
    let lines = lines();
    let named = named();
    assert!(named.len() > 50, "only {} names found", named.len());
    let missing: Vec<_> = named
        .iter()
        .filter(|name| !lines.contains_key(**name))
        .collect();
    assert!(missing.is_empty(), "{missing:?}");
}

#[test]
fn every_slope_covers_three_sizes_at_least() {
    for (name, line) in lines() {
        if line["slope_of"].is_string() {
            let points = line["points"].as_array().map_or(0, Vec::len);
            assert!(points >= 3, "{name} covers {points}");
        }
    }
}

#[test]
fn every_margin_is_budget_over_value() {
    for (name, line) in lines() {
        let number = |field: &str| line[field].as_f64();
        if let (Some(value), Some(budget), Some(margin)) =
            (number("value"), number("budget"), number("margin"))
        {
            let error = (budget / value / margin - 1.0).abs();
            assert!(error < 1e-3, "{name}: {budget} / {value} isn't {margin}");
        }
    }
}

#[test]
fn what_doesnt_fit_is_named_on_the_page() {
    let named = named();
    let fits = |line: &Value| line["margin"].as_f64().is_none_or(|margin| margin >= 1.0);
    let shown = |name: &str| named.contains(&name) || abbreviated(name);
    let over: Vec<String> = lines()
        .into_iter()
        .filter(|(name, line)| !fits(line) && !shown(name))
        .map(|(name, _)| name)
        .collect();
    assert!(over.is_empty(), "not on the page: {over:?}");
}

/// Names that the page gives as `first.part.*.last` or by their last part alone.
fn abbreviated(name: &str) -> bool {
    let last = name.rsplit('.').next().unwrap_or_default();
    PAGE.contains(&format!("`.{last}`")) || PAGE.contains(&format!("`calls.*.{last}`"))
}
