//! The whole run of the program, from the command line to the exit code.

use std::path::Path;
use std::process::ExitCode;

use node::command;
use node::command::Exit;
use node::settings;
use node::shutdown;

use crate::daemon::Daemon;
use crate::options::Command;
use crate::options::Options;
use crate::settings::Settings;

/// Does what the command line asks.
pub fn run(options: Options) -> ExitCode {
    if options.version {
        println!("teasellever-sidecar {}", env!("CARGO_PKG_VERSION"));
        return Exit::Success.into();
    }
    let Some(command) = options.command else {
        return command::fail(Exit::Usage, "no command; see --help").into();
    };
    match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime.block_on(execute(command)).into(),
        Err(error) => command::fail(Exit::Failure, error).into(),
    }
}

async fn execute(command: Command) -> Exit {
    match command {
        Command::Serve(file) => serve(&file.settings).await,
        Command::Check(file) => command::check::<Settings>(&file.settings),
        Command::Dump(dump) => {
            command::dump(&dump.admin, &dump.key_file, dump.skip, dump.limit).await
        }
    }
}

async fn serve(file: &Path) -> Exit {
    let settings = match settings::load::<Settings>(file) {
        Ok(settings) => settings,
        Err(error) => return command::fail(Exit::Settings, error),
    };
    match daemon(settings).await {
        Ok(()) => Exit::Success,
        Err(error) => command::fail(Exit::Failure, format!("{error:#}")),
    }
}

async fn daemon(settings: Settings) -> eyre::Result<()> {
    node::log::start("teasellever-sidecar", settings.log_level)?;
    let daemon = Daemon::start(settings).await?;
    shutdown::requested().await?;
    daemon.drain().await
}
