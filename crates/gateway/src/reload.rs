//! Settings that change while the process runs, announced by SIGHUP or not at all.
//!
//! Seeds and the log level are taken at once; what else has changed is named in the log and holds
//! from the next start on.

use std::path::Path;
use std::time::Duration;

use node::settings;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::settings::Settings;

/// Pause between looks at the file.
const PAUSE: Duration = Duration::from_secs(3);

/// Handles SIGHUP from now on; before, it ends the process, so this comes first of all.
///
/// Errors: no signal handler can be installed.
pub fn hangup_signals() -> std::io::Result<Signal> {
    signal(SignalKind::hangup())
}

/// Calls `take` with each new version of the settings, until the task is dropped.
pub async fn run(
    mut hangup_signals: Signal,
    file: &Path,
    current: Settings,
    apply: impl Fn(&Settings),
) {
    let mut current = current;
    loop {
        tokio::select! {
            _ = hangup_signals.recv() => log::info!(step = "reload", peer = "settings"; "reload is asked for"),
            () = tokio::time::sleep(PAUSE) => {}
        }
        match settings::load::<Settings>(file) {
            Ok(new) if new == current => {}
            Ok(new) => {
                report(&current, &new);
                log::set_max_level(new.log_level.into());
                apply(&new);
                current = new;
            }
            Err(error) => log::error!(step = "reload", peer = "settings"; "{error}"),
        }
    }
}

fn report(old: &Settings, new: &Settings) {
    let mut later = old.clone();
    later.seeds.clone_from(&new.seeds);
    later.log_level = new.log_level;
    let restart = later != *new;
    log::info!(
        step = "reload", peer = "settings", seeds = new.seeds.len(), restart_needed = restart;
        "settings are reloaded"
    );
}
