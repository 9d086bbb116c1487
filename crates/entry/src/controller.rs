//! The whole run of the program, from the command line to the exit code.

use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use node::command;
use node::command::Exit;
use node::metrics::Metrics;
use node::shutdown;

use crate::member::Member;
use crate::operators;
use crate::operators::Operators;
use crate::options::Command;
use crate::options::Options;
use crate::service::Service;
use crate::settings::Settings;

/// Time for operators' open connections to close.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Does what the command line asks.
pub fn run(options: Options) -> ExitCode {
    if options.version {
        println!("teasellever-entry {}", env!("CARGO_PKG_VERSION"));
        return Exit::Success.into();
    }
    let Some(command) = options.command else {
        return command::fail(Exit::Usage, "no command; see --help").into();
    };
    match &command {
        Command::Front(role) => command::run_on_one_thread(crate::role::front(role)),
        Command::History(role) => command::run_on_one_thread(crate::role::history(role)),
        _ => command::run(execute(command)),
    }
}

async fn execute(command: Command) -> Exit {
    match command {
        Command::Serve(file) => command::serve(&file.settings, daemon).await,
        Command::Check(file) => command::check::<Settings>(&file.settings),
        Command::Ticket(ticket) => match ticket.command {
            Some(command) => crate::command::ticket(command).await,
            None => command::fail(Exit::Usage, "ticket put or show?"),
        },
        Command::Key(key) => match key.command {
            Some(command) => crate::command::key(command).await,
            None => command::fail(Exit::Usage, "key give or withdraw?"),
        },
        Command::Front(role) => crate::role::front(&role).await,
        Command::History(role) => crate::role::history(&role).await,
        Command::Explain(what) => crate::explain::explain(&what.request, &what.files),
        Command::Dump(dump) => {
            command::dump(&dump.admin, &dump.key_file, dump.skip, dump.limit).await
        }
    }
}

async fn daemon(settings: Settings) -> eyre::Result<()> {
    node::log::start(settings.node.as_str(), settings.log_level)?;
    let metrics = Arc::new(Metrics::new()?);
    let address = settings.listen.admin;
    let limit = Duration::from_millis(settings.limits.timeout_max_ms.0);
    let member = Member::start(settings);
    let service = Service::start(Arc::clone(&member), &metrics.meter()).await?;
    let admission = Arc::clone(&service.admission);
    let operators = Operators {
        member,
        admission,
        metrics,
    };
    let admin = operators::serve(operators, address)?;
    shutdown::requested().await?;
    log::info!("stopping as planned");
    service.stop(limit).await;
    let _ = tokio::time::timeout(CLOSE_TIMEOUT, admin.close()).await;
    node::log::drain();
    Ok(())
}
