//! Logs: one JSON object a line on standard error.

use std::collections::BTreeMap;
use std::str::FromStr;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use log::LevelFilter;
use log::kv::Error;
use log::kv::Key;
use log::kv::Value;
use log::kv::VisitSource;
use serde::Deserialize;
use serde::Serialize;
use slog::Drain;

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

#[derive(Debug, Default)]
struct Fields(BTreeMap<String, String>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        self.0.insert(key.to_string(), value.to_string());
        Ok(())
    }
}

/// Starts logging for this process; `process` is named on each line.
///
/// Errors: a logger is already set.
pub fn start(process: &str, level: Level) -> Result<(), log::SetLoggerError> {
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
        .format(move |out, message, record| {
            let line = line(&process, &message.to_string(), record);
            out.finish(format_args!("{line}"));
        })
        .chain(std::io::stderr())
        .apply()
}

fn line(process: &str, message: &str, record: &log::Record<'_>) -> serde_json::Value {
    let mut fields = Fields::default();
    let _ = record.key_values().visit(&mut fields);
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let mut line = serde_json::json!({
        "at_ms": since.as_millis() as u64,
        "level": record.level().as_str(),
        "process": process,
        "module": record.target(),
        "message": message,
    });
    fields
        .0
        .into_iter()
        .for_each(|(key, value)| line[key] = value.into());
    line
}

/// A logger for libraries that write by `slog`.
pub fn slog() -> slog::Logger {
    slog::Logger::root(slog_stdlog::StdLog.fuse(), slog::o!())
}
