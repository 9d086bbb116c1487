//! Logs on standard output, one JSON object per line.
//!
//! A separate thread writes the lines, so that a reader that stops reading never blocks the
//! process; see [`output`].

pub mod output;
pub mod throttle;

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

/// Initial capacity of a line, in bytes; enough for most lines.
const LINE_CAPACITY: usize = 512;

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

/// Appends a record's fields to a JSON object under construction.
struct FieldWriter<'a>(&'a mut Vec<u8>);

impl<'kvs> VisitSource<'kvs> for FieldWriter<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        push_field(self.0, key.as_str(), &value);
        Ok(())
    }
}

/// Output of this process's lines; set once logging has started.
static OUTPUT: OnceLock<Output> = OnceLock::new();

/// Starts logging for this process; `process` is named on each line.
///
/// Errors: a logger is already set, or the thread can't be started.
pub fn start(process: &str, level: Level) -> eyre::Result<()> {
    let output = Output::start(std::io::stdout())?;
    dispatch(process, level, output.clone()).apply()?;
    // Never already set: a second start fails at `apply` above.
    let _ = OUTPUT.set(output);
    Ok(())
}

/// Waits for a short time until all lines of this process are written; see [`Output::drain`].
pub fn drain() {
    if let Some(output) = OUTPUT.get() {
        output.drain();
    }
}

/// Builds a logger that writes JSON lines to `output`. Libraries log warnings and errors only.
pub fn dispatch(process: &str, level: Level, output: Output) -> fern::Dispatch {
    let process = process.to_owned();
    let library_level = LevelFilter::from(level).min(LevelFilter::Warn);
    fern::Dispatch::new()
        .level(library_level)
        .level_for("entry", level.into())
        .level_for("sidecar", level.into())
        .level_for("node", level.into())
        .level_for("gateway", level.into())
        .level_for("history", level.into())
        .level_for("platform", level.into())
        .chain(fern::Output::call(move |record| {
            output.push(&format_line(&process, record));
        }))
}

/// Formats a record as one line.
fn format_line(process: &str, record: &log::Record<'_>) -> Vec<u8> {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let mut line = Vec::with_capacity(LINE_CAPACITY);
    line.extend_from_slice(b"{\"at_ms\":");
    push_number(&mut line, since_epoch.as_millis() as u64);
    push_field(&mut line, "level", record.level().as_str());
    push_field(&mut line, "process", process);
    push_field(&mut line, "module", record.target());
    push_field(&mut line, "message", record.args());
    if record
        .key_values()
        .visit(&mut FieldWriter(&mut line))
        .is_err()
    {
        push_field(&mut line, "fields", "unreadable");
    }
    line.extend_from_slice(b"}\n");
    line
}

/// Appends a field to a JSON object under construction.
fn push_field(line: &mut Vec<u8>, key: &str, value: impl fmt::Display) {
    line.push(b',');
    push_string(line, key);
    line.push(b':');
    push_string(line, value);
}

fn push_string(line: &mut Vec<u8>, text: impl fmt::Display) {
    if let Err(error) = serde_json::Serializer::new(line).collect_str(&text) {
        unreachable!("strings always serialize: {error}");
    }
}

fn push_number(line: &mut Vec<u8>, number: u64) {
    if let Err(error) = serde_json::Serializer::new(line).serialize_u64(number) {
        unreachable!("numbers always serialize: {error}");
    }
}

/// Returns a logger for libraries that log through `slog`.
pub fn slog() -> slog::Logger {
    slog::Logger::root(slog_stdlog::StdLog.fuse(), slog::o!())
}
