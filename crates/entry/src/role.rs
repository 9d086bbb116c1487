//! The roles that run on the users' platform.

use std::env;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;

use gateway::reload;
use gateway::settings::Settings;
use node::command;
use node::command::Exit;
use node::command::fail;
use platform::Platform;
use platform::object::Client;
use tokio::signal::unix::Signal;

use crate::options::Role;

/// Takes callers' requests.
pub async fn front(role: &Role) -> Exit {
    let Some(file) = file(role) else {
        return fail(Exit::Usage, "which settings file?");
    };
    if role.check {
        return command::check::<Settings>(&file);
    }
    match reload::hangup_signals() {
        Ok(hangups) => command::serve(&file, |settings| run_front(settings, &file, hangups)).await,
        Err(error) => fail(Exit::Failure, error),
    }
}

/// Keeps turns and budgets.
pub async fn history(role: &Role) -> Exit {
    let Some(file) = file(role) else {
        return fail(Exit::Usage, "which settings file?");
    };
    if role.check {
        return command::check::<Settings>(&file);
    }
    match reload::hangup_signals() {
        Ok(hangups) => {
            command::serve(&file, |settings| run_history(settings, &file, hangups)).await
        }
        Err(error) => fail(Exit::Failure, error),
    }
}

async fn run_front(settings: Settings, file: &Path, hangups: Signal) -> eyre::Result<()> {
    node::log::start(&settings.host, settings.log_level)?;
    let objects = Client::new(settings.object_store);
    gateway::controller::run(settings, file, hangups, objects, Arc::new(Platform)).await
}

async fn run_history(settings: Settings, file: &Path, hangups: Signal) -> eyre::Result<()> {
    node::log::start(&settings.host, settings.log_level)?;
    let objects = Client::new(settings.object_store);
    gateway::history_host::run(settings, file, hangups, objects).await
}

/// The settings file: as named, or else by the platform's variable.
fn file(role: &Role) -> Option<PathBuf> {
    let named = role.settings.clone();
    named.or_else(|| env::var_os(platform::SETTINGS_VARIABLE).map(PathBuf::from))
}
