//! Finds what the logs of several processes say of one request, and prints it in order.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

use eyre::WrapErr;
use node::command::Exit;
use node::command::fail;
use serde_json::Value;

/// Fields that every line has, or that are printed before the others.
const COMMON: [&str; 5] = ["at_ms", "level", "process", "module", "message"];

/// A line that is about the request, its program or its turn.
#[derive(Debug)]
struct Line {
    at_ms: u64,
    text: String,
}

/// Prints the lines about a request, oldest first.
pub fn explain(request: &str, files: &[PathBuf]) -> Exit {
    let mut lines = Vec::new();
    for file in files {
        match read(file, request) {
            Ok(found) => lines.extend(found),
            Err(error) => return fail(Exit::Failure, format!("{error:#}")),
        }
    }
    if lines.is_empty() {
        return fail(
            Exit::Refused,
            format!("no line names the request {request}"),
        );
    }
    // Lines of one process that share a millisecond stay in the order of its log.
    lines.sort_by_key(|line| line.at_ms);
    lines.iter().for_each(|line| println!("{}", line.text));
    Exit::Success
}

fn read(file: &Path, request: &str) -> eyre::Result<Vec<Line>> {
    let text = fs::read_to_string(file).wrap_err_with(|| format!("reading {}", file.display()))?;
    Ok(text
        .lines()
        .filter_map(|line| parse(line, request))
        .collect())
}

/// A line that names the request; what stands before the JSON, as a collector may add, is skipped.
fn parse(line: &str, request: &str) -> Option<Line> {
    if !line.contains(request) {
        return None;
    }
    let json = &line[line.find('{')?..];
    let value: Value = serde_json::from_str(json).ok()?;
    let fields = value.as_object()?;
    if fields.get("request")?.as_str()? != request {
        return None;
    }
    let common = |name: &str| fields.get(name).and_then(Value::as_str).unwrap_or("");
    let at_ms = fields.get("at_ms")?.as_u64()?;
    let mut text = format!(
        "{at_ms} {} {} {}: {}",
        common("process"),
        common("module"),
        common("step"),
        common("message")
    );
    for (name, value) in fields {
        let value = value.as_str().unwrap_or("");
        if !COMMON.contains(&name.as_str()) && name != "step" && !value.is_empty() {
            text.push_str(&format!(" {name}={value}"));
        }
    }
    Some(Line { at_ms, text })
}
