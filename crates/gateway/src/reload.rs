//! Reloads the settings file on SIGHUP and at a fixed interval.
//!
//! New seeds and a new log level apply at once. All other changes apply at the next start and are
//! logged as `restart_needed`.

use std::path::Path;
use std::time::Duration;

use node::settings;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::settings::Settings;

/// Interval at which the file is read without a signal.
const POLL_INTERVAL: Duration = Duration::from_secs(3);

/// Installs the SIGHUP handler. Until then SIGHUP ends the process, so call this first at startup.
///
/// Errors: no signal handler can be installed.
pub fn hangup_signals() -> std::io::Result<Signal> {
    signal(SignalKind::hangup())
}

/// Calls `apply` with each changed version of the settings, until the future is dropped.
pub async fn run(
    mut hangup_signals: Signal,
    file: &Path,
    current: Settings,
    apply: impl Fn(&Settings),
) {
    let mut current = current;
    loop {
        tokio::select! {
            _ = hangup_signals.recv() => log::info!(step = "reload", peer = "settings"; "SIGHUP received: reading the settings"),
            () = tokio::time::sleep(POLL_INTERVAL) => {}
        }
        match settings::load::<Settings>(file) {
            Ok(new) if new == current => {}
            Ok(new) => {
                log_change(&current, &new);
                log::set_max_level(new.log_level.into());
                apply(&new);
                current = new;
            }
            Err(error) => log::error!(step = "reload", peer = "settings"; "{error}"),
        }
    }
}

fn log_change(old: &Settings, new: &Settings) {
    let mut reloadable = old.clone();
    reloadable.seeds.clone_from(&new.seeds);
    reloadable.log_level = new.log_level;
    let restart = reloadable != *new;
    log::info!(
        step = "reload", peer = "settings", seeds = new.seeds.len(), restart_needed = restart;
        "settings are reloaded"
    );
}
