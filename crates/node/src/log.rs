//! Logs: one JSON object a line on standard output.
//!
//! Lines are written by a thread of their own, so that a reader that has stopped never blocks the
//! process; see [`output`].

pub mod output;

use std::fmt;
use std::str::FromStr;
use std::sync::OnceLock;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use log::LevelFilter;
use log::kv::Error;
use log::kv::Key;
use log::kv::Value;
use log::kv::VisitSource;
use serde::Deserialize;
use serde::Serialize;
use serde::Serializer;
use slog::Drain;

use self::output::Output;

/// Room for a usual line, in bytes.
const LINE_SIZE: usize = 512;

/// Least severe level that is written.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Level {
    Error,
    Warn,
    #[default]
    Info,
    Debug,
}

impl From<Level> for LevelFilter {
    fn from(level: Level) -> LevelFilter {
        match level {
            Level::Error => LevelFilter::Error,
            Level::Warn => LevelFilter::Warn,
            Level::Info => LevelFilter::Info,
            Level::Debug => LevelFilter::Debug,
        }
    }
}

impl FromStr for Level {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "error" => Ok(Level::Error),
            "warn" => Ok(Level::Warn),
            "info" => Ok(Level::Info),
            "debug" => Ok(Level::Debug),
            other => Err(format!("unknown level `{other}`")),
        }
    }
}

/// Appends a record's fields to a JSON object that is being written.
struct Fields<'a>(&'a mut Vec<u8>);

impl<'kvs> VisitSource<'kvs> for Fields<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        push(self.0, key.as_str(), &value);
        Ok(())
    }
}

/// Where this process's lines go, once logging has started.
static OUTPUT: OnceLock<Output> = OnceLock::new();

/// Starts logging for this process; `process` is named on each line.
///
/// Errors: a logger is already set, or no thread can be started.
pub fn start(process: &str, level: Level) -> eyre::Result<()> {
    let output = Output::start(std::io::stdout())?;
    dispatch(process, level, output.clone()).apply()?;
    // The first start has set it; a second one has failed above.
    let _ = OUTPUT.set(output);
    Ok(())
}

/// Waits a little until this process's last lines are written.
pub fn drain() {
    if let Some(output) = OUTPUT.get() {
        output.drain();
    }
}

/// Formats lines for an output.
pub fn dispatch(process: &str, level: Level, output: Output) -> fern::Dispatch {
    let process = process.to_owned();
    let library = LevelFilter::from(level).min(LevelFilter::Warn);
    fern::Dispatch::new()
        .level(library)
        .level_for("entry", level.into())
        .level_for("sidecar", level.into())
        .level_for("node", level.into())
        .level_for("gateway", level.into())
        .level_for("history", level.into())
        .level_for("platform", level.into())
        .chain(fern::Output::call(move |record| {
            output.push(&line(&process, record));
        }))
}

/// A record as one line.
fn line(process: &str, record: &log::Record<'_>) -> Vec<u8> {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let mut line = Vec::with_capacity(LINE_SIZE);
    line.extend_from_slice(b"{\"at_ms\":");
    push_number(&mut line, since.as_millis() as u64);
    push(&mut line, "level", record.level().as_str());
    push(&mut line, "process", process);
    push(&mut line, "module", record.target());
    push(&mut line, "message", record.args());
    if record.key_values().visit(&mut Fields(&mut line)).is_err() {
        push(&mut line, "fields", "unreadable");
    }
    line.extend_from_slice(b"}\n");
    line
}

/// Appends a field to a JSON object that is being written.
fn push(line: &mut Vec<u8>, key: &str, value: impl fmt::Display) {
    line.push(b',');
    push_text(line, key);
    line.push(b':');
    push_text(line, value);
}

fn push_text(line: &mut Vec<u8>, text: impl fmt::Display) {
    if let Err(error) = serde_json::Serializer::new(line).collect_str(&text) {
        unreachable!("a text is JSON: {error}");
    }
}

fn push_number(line: &mut Vec<u8>, number: u64) {
    if let Err(error) = serde_json::Serializer::new(line).serialize_u64(number) {
        unreachable!("a number is JSON: {error}");
    }
}

/// A logger for libraries that write by `slog`.
pub fn slog() -> slog::Logger {
    slog::Logger::root(slog_stdlog::StdLog.fuse(), slog::o!())
}
