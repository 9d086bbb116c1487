//! Runs the commands of the command line and maps their results to exit codes.

use std::process::ExitCode;

use node::command;
use node::command::Exit;
use node::shutdown;

use crate::daemon::Daemon;
use crate::options::Command;
use crate::options::Options;
use crate::settings::Settings;

/// Runs the selected command; returns `Exit::Usage` without one.
pub fn run(options: Options) -> ExitCode {
    if options.version {
        println!("teasellever-sidecar {}", env!("CARGO_PKG_VERSION"));
        return Exit::Success.into();
    }
    let Some(command) = options.command else {
        return command::fail(Exit::Usage, "no command; see --help").into();
    };
    command::run(execute(command))
}

async fn execute(command: Command) -> Exit {
    match command {
        Command::Serve(file) => command::serve(&file.settings, run_daemon).await,
        Command::Check(file) => command::check::<Settings>(&file.settings),
        Command::Dump(dump) => {
            command::dump(&dump.admin, &dump.key_file, dump.skip, dump.limit).await
        }
    }
}

async fn run_daemon(settings: Settings) -> eyre::Result<()> {
    node::log::start("teasellever-sidecar", settings.log_level)?;
    let daemon = Daemon::start(settings).await?;
    shutdown::requested().await?;
    let drained = daemon.drain().await;
    node::log::drain();
    drained
}
