//! Common parts of the daemons' command lines: exit codes, settings check, state dump.

use std::fmt;
use std::fs;
use std::path::Path;
use std::process::ExitCode;

use eyre::WrapErr;
use http::Method;
use http::StatusCode;
use serde::de::DeserializeOwned;

use crate::client;
use crate::settings;
use crate::settings::Check;

/// Outcome of a command; the discriminant is the process's exit code.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// Exit code 0.
    Success,
    /// Failed while running: exit code 1.
    Failure,
    /// Invalid command line: exit code 2.
    Usage,
    /// Settings rejected: exit code 3.
    Settings,
    /// The server replied with an error or refused the request: exit code 4.
    Refused,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> ExitCode {
        ExitCode::from(exit as u8)
    }
}

/// Runs a command to completion on a new multi-threaded runtime.
pub fn run(command: impl Future<Output = Exit>) -> ExitCode {
    match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime.block_on(command).into(),
        Err(error) => fail(Exit::Failure, error).into(),
    }
}

/// Runs a command to completion on the calling thread, for hosts with a fraction of a core.
pub fn run_on_one_thread(command: impl Future<Output = Exit>) -> ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    match runtime {
        Ok(runtime) => runtime.block_on(command).into(),
        Err(error) => fail(Exit::Failure, error).into(),
    }
}

/// Loads settings and runs the daemon until its planned shutdown completes.
pub async fn serve<T, F>(file: &Path, daemon: impl FnOnce(T) -> F) -> Exit
where
    T: DeserializeOwned + Check,
    F: Future<Output = eyre::Result<()>>,
{
    let settings = match settings::load::<T>(file) {
        Ok(settings) => settings,
        Err(error) => return fail(Exit::Settings, error),
    };
    match daemon(settings).await {
        Ok(()) => Exit::Success,
        Err(error) => fail(Exit::Failure, format!("{error:#}")),
    }
}

/// Prints an error on standard error and returns `exit`.
pub fn fail(exit: Exit, error: impl fmt::Display) -> Exit {
    eprintln!("{error:#}");
    exit
}

/// Checks a settings file without starting anything.
pub fn check<T: DeserializeOwned + Check>(file: &Path) -> Exit {
    match settings::load::<T>(file) {
        Ok(_) => {
            println!("{}: ok", file.display());
            Exit::Success
        }
        Err(error) => fail(Exit::Settings, error),
    }
}

/// Reads an operator's key from a file.
///
/// Errors: the file can't be read.
pub fn read_key(file: &Path) -> eyre::Result<String> {
    let text = fs::read_to_string(file).wrap_err_with(|| format!("reading {}", file.display()))?;
    Ok(text.trim().to_owned())
}

/// Prints the state of a running process.
pub async fn dump(admin: &str, key_file: &Path, skip: usize, limit: usize) -> Exit {
    let url = format!("{admin}/v1/state?skip={skip}&limit={limit}");
    send_and_print(Method::GET, &url, key_file, Vec::new()).await
}

/// Sends an operator's request and prints the reply.
pub async fn send_and_print(method: Method, url: &str, key_file: &Path, body: Vec<u8>) -> Exit {
    match exchange(method, url, key_file, body).await {
        Ok((status, body)) if status.is_success() => {
            println!("{body}");
            Exit::Success
        }
        Ok((_, body)) => fail(Exit::Refused, body),
        Err(error) => fail(Exit::Failure, format!("{error:#}")),
    }
}

async fn exchange(
    method: Method,
    url: &str,
    key_file: &Path,
    body: Vec<u8>,
) -> eyre::Result<(StatusCode, String)> {
    let key = read_key(key_file)?;
    let (status, body) = client::send(method, url, &key, body).await?;
    let pretty = serde_json::from_slice::<serde_json::Value>(&body)
        .and_then(|value| serde_json::to_string_pretty(&value))
        .unwrap_or_else(|_| String::from_utf8_lossy(&body).into_owned());
    Ok((status, pretty))
}
